"""Finds what happened to requests and route tables from the logs of several processes."""
