"""Structured logs, and metrics over statsd."""
