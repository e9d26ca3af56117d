"""Transport of requests: from callers, and between daemons."""

from mustardloom.forwarding.forwarder import LocalHandler
from mustardloom.forwarding.forwarder import PeerForwarder
from mustardloom.forwarding.ingress import Ingress

__all__ = ["Ingress", "LocalHandler", "PeerForwarder"]
