"""Settings files: loading, types and validation."""
