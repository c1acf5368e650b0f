"""A process that finds the others from seeds: entry, control replica or stager."""
