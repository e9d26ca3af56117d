"""Queries of the operator language; none of them changes anything."""

from mustardloom.operators.queries.configuration import configuration
from mustardloom.operators.queries.language import usage
from mustardloom.operators.queries.operations import audit
from mustardloom.operators.queries.operations import stops
from mustardloom.operators.queries.ownership import moves
from mustardloom.operators.queries.ownership import owner
from mustardloom.operators.queries.ownership import slots
from mustardloom.operators.queries.targets import load
from mustardloom.operators.queries.targets import targets

__all__ = [
    "audit",
    "configuration",
    "load",
    "moves",
    "owner",
    "slots",
    "stops",
    "targets",
    "usage",
]
