"""Membership of failure domains: which backend servers are alive, and what they serve."""
