"""Package forwarding."""
