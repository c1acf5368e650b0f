"""Forwards callers' requests to backend servers that are reached directly."""
