"""Placement of model versions on the engines of a failure domain, and division of its limits."""
