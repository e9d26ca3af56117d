"""Which target owns which keys, and how keys change hands."""
