"""The process beside each engine or plain service."""
