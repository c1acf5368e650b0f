"""Bounds on what callers together make a process hold: memory and descriptors."""
