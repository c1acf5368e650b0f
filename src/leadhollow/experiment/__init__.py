"""Simulations in virtual time that run load patterns against the decision objects of entries."""
