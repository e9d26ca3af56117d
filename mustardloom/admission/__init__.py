"""Admission of requests to the local target."""

from mustardloom.admission.deduplication import DeduplicationTable
from mustardloom.admission.deduplication import SlotRecords
from mustardloom.admission.dispatch import Cancellation
from mustardloom.admission.dispatch import Dispatch
from mustardloom.admission.dispatch import Dispatcher
from mustardloom.admission.dispatch import DispatchResult
from mustardloom.admission.dispatch import LeaseView
from mustardloom.admission.dispatch import NoSlotPermit
from mustardloom.admission.dispatch import Probe
from mustardloom.admission.dispatch import SlotId
from mustardloom.admission.dispatch import SlotPermit
from mustardloom.admission.gate import Gate
from mustardloom.admission.gate import GateLoad

__all__ = [
    "Cancellation",
    "DeduplicationTable",
    "Dispatch",
    "DispatchResult",
    "Dispatcher",
    "Gate",
    "GateLoad",
    "LeaseView",
    "NoSlotPermit",
    "Probe",
    "SlotId",
    "SlotPermit",
    "SlotRecords",
]
