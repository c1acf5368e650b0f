"""Data path of an entry: forwards callers' requests to backend servers over direct connections."""
