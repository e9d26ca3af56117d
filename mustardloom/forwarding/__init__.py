"""Transport of requests: caller to daemon, daemon to daemon or target."""

from mustardloom.forwarding.forwarder import LocalHandler
from mustardloom.forwarding.forwarder import PeerForwarder
from mustardloom.forwarding.ingress import Ingress
from mustardloom.forwarding.target_client import Grant
from mustardloom.forwarding.target_client import TargetClient
from mustardloom.forwarding.target_client import TargetLoad

__all__ = [
    "Grant",
    "Ingress",
    "LocalHandler",
    "PeerForwarder",
    "TargetClient",
    "TargetLoad",
]
