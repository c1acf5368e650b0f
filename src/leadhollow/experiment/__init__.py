"""Load patterns played in virtual time against the decisions that entries really run."""
