"""Package ownership."""
