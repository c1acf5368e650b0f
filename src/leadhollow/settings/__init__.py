"""Settings files: their classes, strict decoding and validation."""
