"""Replicated state: the log, its replicas, and the table, leases and claims it holds."""
