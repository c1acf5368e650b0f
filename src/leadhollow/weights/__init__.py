"""Distribution of model weights: manifests, chunk store, and exchange of chunks between servers."""
