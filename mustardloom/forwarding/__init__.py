"""Forwarding of requests to targets."""

from mustardloom.forwarding.target_client import Grant
from mustardloom.forwarding.target_client import TargetClient
from mustardloom.forwarding.target_client import TargetLoad

__all__ = ["Grant", "TargetClient", "TargetLoad"]
