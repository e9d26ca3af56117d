"""Membership: records, leases that witnesses confirm, and fencing."""

from mustardloom.membership.announcer import Announcer
from mustardloom.membership.announcer import TargetAnnouncement
from mustardloom.membership.datagrams import DatagramEndpoint
from mustardloom.membership.datagrams import UdpEndpoint
from mustardloom.membership.fake_network import FakeEndpoint
from mustardloom.membership.fake_network import FakeNetwork
from mustardloom.membership.fencing import Fenced
from mustardloom.membership.fencing import Fencer
from mustardloom.membership.fencing import FenceResult
from mustardloom.membership.fencing import fencing_candidates
from mustardloom.membership.lapse_handler import LapseHandler
from mustardloom.membership.lease import Lease
from mustardloom.membership.lease_renewer import LeaseRenewer
from mustardloom.membership.own_record import EndReason
from mustardloom.membership.own_record import LifeEnded
from mustardloom.membership.own_record import OwnRecord
from mustardloom.membership.records import Address
from mustardloom.membership.records import MemberRecord
from mustardloom.membership.records import MemberState
from mustardloom.membership.records import MemberView
from mustardloom.membership.witness import WitnessTable

__all__ = [
    "Address",
    "Announcer",
    "DatagramEndpoint",
    "EndReason",
    "FakeEndpoint",
    "FakeNetwork",
    "FenceResult",
    "Fenced",
    "Fencer",
    "LapseHandler",
    "Lease",
    "LeaseRenewer",
    "LifeEnded",
    "MemberRecord",
    "MemberState",
    "MemberView",
    "OwnRecord",
    "TargetAnnouncement",
    "UdpEndpoint",
    "WitnessTable",
    "fencing_candidates",
]
