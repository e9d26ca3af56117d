"""Scenarios that measure mustardloom on one machine."""
