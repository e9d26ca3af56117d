"""Randomised soak of the deployed daemon with faults from outside."""
