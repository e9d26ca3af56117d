"""Ownership of slots: the slot map, its reconciliation and planned moves."""

from mustardloom.ownership.assignment import assign
from mustardloom.ownership.assignment import eligible
from mustardloom.ownership.assignment import equal_load
from mustardloom.ownership.assignment import MAX_OVER_MEAN
from mustardloom.ownership.assignment import plan_moves
from mustardloom.ownership.assignment import Receiver
from mustardloom.ownership.assignment import receiver_of
from mustardloom.ownership.assignment import SlotLoad
from mustardloom.ownership.chunk_writer import ChunkWriter
from mustardloom.ownership.chunk_writer import Publish
from mustardloom.ownership.holdings import Entered
from mustardloom.ownership.holdings import EnterResult
from mustardloom.ownership.holdings import Grants
from mustardloom.ownership.holdings import Holdings
from mustardloom.ownership.holdings import Incoming
from mustardloom.ownership.holdings import Interval
from mustardloom.ownership.holdings import LeaseLapsed
from mustardloom.ownership.holdings import LeaseView
from mustardloom.ownership.holdings import NotOwner
from mustardloom.ownership.holdings import PlannedMove
from mustardloom.ownership.moves import ANNOUNCEMENT_EPOCH
from mustardloom.ownership.moves import Mover
from mustardloom.ownership.moves import PeerCalls
from mustardloom.ownership.moves import RequestRecords
from mustardloom.ownership.ranks import ranked
from mustardloom.ownership.reconciler import GroupLoad
from mustardloom.ownership.reconciler import Groups
from mustardloom.ownership.reconciler import IsStopped
from mustardloom.ownership.reconciler import Reconciler
from mustardloom.ownership.slot_map import Changes
from mustardloom.ownership.slot_map import Chunk
from mustardloom.ownership.slot_map import chunk_key
from mustardloom.ownership.slot_map import chunk_of
from mustardloom.ownership.slot_map import CHUNK_SLOTS
from mustardloom.ownership.slot_map import ChunkName
from mustardloom.ownership.slot_map import decode_chunk
from mustardloom.ownership.slot_map import encode_chunk
from mustardloom.ownership.slot_map import parse_chunk_key
from mustardloom.ownership.slot_map import SlotEntry
from mustardloom.ownership.slot_map import SlotMap
from mustardloom.ownership.slot_map import SLOTS_PREFIX
from mustardloom.ownership.slots import ANYWHERE
from mustardloom.ownership.slots import group_of
from mustardloom.ownership.slots import group_regions
from mustardloom.ownership.slots import group_service
from mustardloom.ownership.slots import slot_of

__all__ = [
    "ANNOUNCEMENT_EPOCH",
    "ANYWHERE",
    "CHUNK_SLOTS",
    "MAX_OVER_MEAN",
    "SLOTS_PREFIX",
    "Changes",
    "Chunk",
    "ChunkName",
    "ChunkWriter",
    "EnterResult",
    "Entered",
    "Grants",
    "GroupLoad",
    "Groups",
    "Holdings",
    "Incoming",
    "Interval",
    "IsStopped",
    "LeaseLapsed",
    "LeaseView",
    "Mover",
    "NotOwner",
    "PeerCalls",
    "PlannedMove",
    "Publish",
    "Receiver",
    "Reconciler",
    "RequestRecords",
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
    "parse_chunk_key",
    "plan_moves",
    "ranked",
    "receiver_of",
    "slot_of",
]
