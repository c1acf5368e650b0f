"""Self-checking run of the whole system in one process, with stand-ins around it."""
