"""Route tables, which map hosts and paths of requests to services, and keys to groups."""
