"""Randomised soak test of the deployed daemon under injected faults."""
