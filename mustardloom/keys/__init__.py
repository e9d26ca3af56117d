"""Ownership of keys by targets, and how it changes."""
