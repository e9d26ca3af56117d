"""Declarations of operators, kept in files under version control."""

from mustardloom.declarations.model import AvailabilityZone
from mustardloom.declarations.model import DeclarationSet
from mustardloom.declarations.model import KeySource
from mustardloom.declarations.model import KeySourceKind
from mustardloom.declarations.model import Organisation
from mustardloom.declarations.model import Route
from mustardloom.declarations.model import Service
from mustardloom.declarations.model import Stop
from mustardloom.declarations.model import StopKind

__all__ = [
    "AvailabilityZone",
    "DeclarationSet",
    "KeySource",
    "KeySourceKind",
    "Organisation",
    "Route",
    "Service",
    "Stop",
    "StopKind",
]
