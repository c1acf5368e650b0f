"""The route table: which hosts and paths go to which services, for which groups."""
