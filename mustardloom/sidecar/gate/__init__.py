"""Admission control, queue and dispatch for the local target.

Every request for the local target passes through this package. This is the
gate of `mustardloom-sidecar`; `mustardloom.admission.gate` is the gate of
`mustardloomd`.
"""

from mustardloom.sidecar.gate.gate import Gate
from mustardloom.sidecar.gate.keys import KeyCheck
from mustardloom.sidecar.gate.keys import KeyOwnership
from mustardloom.sidecar.gate.load import GateLoad
from mustardloom.sidecar.gate.target_state import Reachability

__all__ = ["Gate", "GateLoad", "KeyCheck", "KeyOwnership", "Reachability"]
