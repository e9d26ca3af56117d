"""Admission of requests to the local target."""

from mustardloom.admission.deduplication import RequestIds
from mustardloom.admission.deduplication import SlotRecords
from mustardloom.admission.dispatch import Cancellation
from mustardloom.admission.dispatch import Dispatch
from mustardloom.admission.dispatch import Dispatcher
from mustardloom.admission.dispatch import DispatchResult
from mustardloom.admission.dispatch import Entry
from mustardloom.admission.dispatch import LeaseView
from mustardloom.admission.dispatch import OpenEntry
from mustardloom.admission.dispatch import Placement
from mustardloom.admission.dispatch import Probe
from mustardloom.admission.gate import Gate
from mustardloom.admission.gate import GateLoad

__all__ = [
    "Cancellation",
    "Dispatch",
    "DispatchResult",
    "Dispatcher",
    "Entry",
    "Gate",
    "GateLoad",
    "LeaseView",
    "OpenEntry",
    "Placement",
    "Probe",
    "RequestIds",
    "SlotRecords",
]
