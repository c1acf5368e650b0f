"""The stager process beside an engine: fetches model weights, orders loads, reports load."""
