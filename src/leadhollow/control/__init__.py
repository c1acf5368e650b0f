"""Services of a control replica: replicated state, registry of backend servers, feeds."""
