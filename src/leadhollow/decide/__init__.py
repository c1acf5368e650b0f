"""Decisions on requests: queue order, admission, choice of a server, retries and quarantine.

Nothing here reads a clock, opens a connection or needs an event loop; callers pass times in.
"""
