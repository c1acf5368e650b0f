"""Assembly of one process in the role of entry, control replica or stager.

A process finds the others through the seed addresses in its settings.
"""
