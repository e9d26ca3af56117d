"""Queries, which change nothing."""

from mustardloom.operators.queries.operations import stops

__all__ = ["stops"]
