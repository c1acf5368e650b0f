"""Entry role: accepts callers' HTTP requests, schedules them and routes them to backend servers."""
