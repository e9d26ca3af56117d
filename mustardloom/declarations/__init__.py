"""Configuration declared in YAML files: model, checks and stored form."""

from mustardloom.declarations.catalog import build
from mustardloom.declarations.catalog import Catalog
from mustardloom.declarations.catalog import decode_set
from mustardloom.declarations.catalog import decode_stop
from mustardloom.declarations.catalog import encode
from mustardloom.declarations.diff import Added
from mustardloom.declarations.diff import Change
from mustardloom.declarations.diff import Changed
from mustardloom.declarations.diff import describe
from mustardloom.declarations.diff import Removed
from mustardloom.declarations.envelope import amend
from mustardloom.declarations.envelope import Amended
from mustardloom.declarations.envelope import audit_key
from mustardloom.declarations.envelope import AuditEntry
from mustardloom.declarations.envelope import StoredObject
from mustardloom.declarations.loading import load
from mustardloom.declarations.loading import LoadedDeclarations
from mustardloom.declarations.model import AvailabilityZone
from mustardloom.declarations.model import config_key
from mustardloom.declarations.model import CONFIG_PREFIX
from mustardloom.declarations.model import DeclarationSet
from mustardloom.declarations.model import KeySource
from mustardloom.declarations.model import KeySourceKind
from mustardloom.declarations.model import Organisation
from mustardloom.declarations.model import Route
from mustardloom.declarations.model import Service
from mustardloom.declarations.model import Stop
from mustardloom.declarations.model import stop_key
from mustardloom.declarations.model import StopKind
from mustardloom.declarations.model import STOPS_PREFIX
from mustardloom.declarations.validation import load_set
from mustardloom.declarations.validation import validate

__all__ = [
    "CONFIG_PREFIX",
    "STOPS_PREFIX",
    "Added",
    "Amended",
    "AuditEntry",
    "AvailabilityZone",
    "Catalog",
    "Change",
    "Changed",
    "DeclarationSet",
    "KeySource",
    "KeySourceKind",
    "LoadedDeclarations",
    "Organisation",
    "Removed",
    "Route",
    "Service",
    "Stop",
    "StopKind",
    "StoredObject",
    "amend",
    "audit_key",
    "build",
    "config_key",
    "decode_set",
    "decode_stop",
    "describe",
    "encode",
    "load",
    "load_set",
    "stop_key",
    "validate",
]
