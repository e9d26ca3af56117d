"""Package daemon."""
