"""Benchmark scenarios that measure mustardloom on one machine."""
