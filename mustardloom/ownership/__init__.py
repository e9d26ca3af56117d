"""Ownership of slots: the slot map, its reconciliation and planned moves."""

from mustardloom.ownership.assignment import assign
from mustardloom.ownership.assignment import eligible
from mustardloom.ownership.assignment import equal_load
from mustardloom.ownership.assignment import make_receiver
from mustardloom.ownership.assignment import MAX_LOAD_OVER_MEAN
from mustardloom.ownership.assignment import plan_moves
from mustardloom.ownership.assignment import Receiver
from mustardloom.ownership.assignment import SlotLoad
from mustardloom.ownership.chunk_writer import ChunkWriter
from mustardloom.ownership.chunk_writer import Publish
from mustardloom.ownership.holdings import Grants
from mustardloom.ownership.holdings import Holdings
from mustardloom.ownership.holdings import LeaseView
from mustardloom.ownership.holdings import PlannedMove
from mustardloom.ownership.moves import ANNOUNCEMENT_EPOCH
from mustardloom.ownership.moves import Mover
from mustardloom.ownership.moves import PeerClient
from mustardloom.ownership.moves import RequestRecords
from mustardloom.ownership.ranks import reconciler_order
from mustardloom.ownership.reconciler import GroupSource
from mustardloom.ownership.reconciler import IsStopped
from mustardloom.ownership.reconciler import LoadByGroup
from mustardloom.ownership.reconciler import Reconciler
from mustardloom.ownership.serving_intervals import ServingInterval
from mustardloom.ownership.slot_admission import AdmitResult
from mustardloom.ownership.slot_admission import Admitted
from mustardloom.ownership.slot_admission import Incoming
from mustardloom.ownership.slot_admission import LeaseLapsed
from mustardloom.ownership.slot_admission import NotOwner
from mustardloom.ownership.slot_map import Chunk
from mustardloom.ownership.slot_map import chunk_key
from mustardloom.ownership.slot_map import chunk_of
from mustardloom.ownership.slot_map import CHUNK_SLOTS
from mustardloom.ownership.slot_map import ChunkName
from mustardloom.ownership.slot_map import decode_chunk
from mustardloom.ownership.slot_map import encode_chunk
from mustardloom.ownership.slot_map import parse_chunk_key
from mustardloom.ownership.slot_map import SlotChanges
from mustardloom.ownership.slot_map import SlotEntry
from mustardloom.ownership.slot_map import SlotMap
from mustardloom.ownership.slot_map import SLOTS_PREFIX
from mustardloom.ownership.slots import ANY_REGION
from mustardloom.ownership.slots import group_of
from mustardloom.ownership.slots import group_regions
from mustardloom.ownership.slots import group_service
from mustardloom.ownership.slots import slot_of

__all__ = [
    "ANNOUNCEMENT_EPOCH",
    "ANY_REGION",
    "CHUNK_SLOTS",
    "MAX_LOAD_OVER_MEAN",
    "SLOTS_PREFIX",
    "AdmitResult",
    "Admitted",
    "Chunk",
    "ChunkName",
    "ChunkWriter",
    "Grants",
    "GroupSource",
    "Holdings",
    "Incoming",
    "IsStopped",
    "LeaseLapsed",
    "LeaseView",
    "LoadByGroup",
    "Mover",
    "NotOwner",
    "PeerClient",
    "PlannedMove",
    "Publish",
    "Receiver",
    "Reconciler",
    "RequestRecords",
    "ServingInterval",
    "SlotChanges",
    "SlotEntry",
    "SlotLoad",
    "SlotMap",
    "assign",
    "chunk_key",
    "chunk_of",
    "decode_chunk",
    "eligible",
    "encode_chunk",
    "equal_load",
    "group_of",
    "group_regions",
    "group_service",
    "make_receiver",
    "parse_chunk_key",
    "plan_moves",
    "reconciler_order",
    "slot_of",
]
