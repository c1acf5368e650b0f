"""The users' platform: names, formats and calls, translated into the product's own types.

Nothing here decides, waits or tries again, and nothing outside knows the names that stand here.
"""
