"""Adapter for the users' platform: translates its names, formats and calls into our types.

The adapter makes no decisions, does not wait and does not retry. No other package uses the
platform's names.
"""
