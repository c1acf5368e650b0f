"""Beside an engine: brings weights to its stage, orders it to load them, reports its load."""
