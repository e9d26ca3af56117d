"""Routing of requests to members, with retries and hedging."""

from mustardloom.routing.candidates import TargetChooser
from mustardloom.routing.forwarders import Destination
from mustardloom.routing.forwarders import Forwarded
from mustardloom.routing.forwarders import Forwarder
from mustardloom.routing.forwarders import GateLoad
from mustardloom.routing.router import Router
from mustardloom.routing.routes import RouteTable

__all__ = [
    "Destination",
    "Forwarded",
    "Forwarder",
    "GateLoad",
    "RouteTable",
    "Router",
    "TargetChooser",
]
