"""Package relay."""
