"""Hands the frames of other daemons to the parts of the daemon they concern."""

from collections.abc import Awaitable
from collections.abc import Mapping

from mustardloom import clock as clock_lib
from mustardloom import ids
from mustardloom.deployment import stored
from mustardloom.deployment import targets
from mustardloom.keys import authority
from mustardloom.load_control import quarantine as quarantine_lib
from mustardloom.sidecar import departures
from mustardloom.sidecar import fleet as fleet_lib
from mustardloom.sidecar import forwarder as forwarder_lib
from mustardloom.sidecar import frames
from mustardloom.sidecar import keyspace as keyspace_lib
from mustardloom.sidecar import local_target as local_target_lib
from mustardloom.sidecar import planner as planner_lib
from mustardloom.sidecar import self_report
from mustardloom.sidecar import shared_state
from mustardloom.sidecar import state_exchange as state_exchange_lib
from mustardloom.sidecar import target_memory as target_memory_lib
from mustardloom.sidecar import usage_caps as usage_caps_lib

__all__ = ["PeerFrames"]


class PeerFrames:
    """Receives the frames of other daemons, and makes and receives pongs.

    Args:
      fleet: The daemons, this one included.
      target_memory: What this daemon remembers of the targets beside peers.
      local_target: State of the local target.
      forwarder: Runs the requests of other daemons.
      state: Replicas of the stored objects.
      state_exchange: Exchanges replicas with other daemons.
      report: Reports of this daemon.
      quarantine: Requests that are suspected to crash targets.
      keyspace_by_service: The key spaces, also those that open later.
      planner_by_service: Their planners, likewise.
      caps: Usage caps of organisations.
      clock: Source of time.
    """

    def __init__(
        self,
        fleet: fleet_lib.Fleet,
        target_memory: target_memory_lib.TargetMemory,
        local_target: local_target_lib.LocalTarget,
        forwarder: forwarder_lib.Forwarder,
        state: shared_state.SharedState,
        state_exchange: state_exchange_lib.StateExchange,
        report: self_report.SelfReport,
        quarantine: quarantine_lib.Quarantine,
        keyspace_by_service: Mapping[ids.ServiceId, keyspace_lib.Keyspace],
        planner_by_service: Mapping[ids.ServiceId, planner_lib.Planner],
        caps: usage_caps_lib.UsageCaps,
        clock: clock_lib.Clock,
    ):
        self._fleet = fleet
        self._target_memory = target_memory
        self._local_target = local_target
        self._forwarder = forwarder
        self._state = state
        self._state_exchange = state_exchange
        self._report = report
        self._quarantine = quarantine
        self._keyspace_by_service = keyspace_by_service
        self._planner_by_service = planner_by_service
        self._caps = caps
        self._clock = clock

    def receive(
        self, vm: ids.VmId, frame: frames.Frame
    ) -> Awaitable[frames.Frame | None] | frames.Frame | None:
        """Processes a frame; returns its reply, None if it has none."""
        match frame:
            case frames.Forward():
                return self._forwarder.receive(vm, frame)
            case frames.Fetch():
                return self._state_exchange.on_fetch(frame)
            case frames.AuthorityQuery(service=service):
                keyspace = self._keyspace_of(service)
                if keyspace is not None:
                    return keyspace.confirmer.on_query(frame)
            case frames.ReleaseQuery(service=service):
                keyspace = self._keyspace_of(service)
                if keyspace is not None:
                    return keyspace.on_release_query(frame)
            case frames.LoadQuery():
                return self._report.load_reply(frame)
            case frames.TokenQuery():
                return self._caps.on_token_query(frame)
            case frames.ListingQuery():
                return self._caps.on_listing_query(vm, frame)
            case _:
                self._note(vm, frame)
        return None

    def make_pong(self) -> frames.Pong:
        """Returns the answer to a status or ping."""
        replica = self._state.by_kind[stored.Kind.KEY_MAP]
        reports = []
        for keyspace in self._keyspace_by_service.values():
            if replica.is_listed:
                keyspace.mark_listed()
            reports.append(keyspace.map_report())
        return frames.Pong(
            tuple(reports),
            len(self._fleet.by_vm),
            self._clock.now_ms(),
            replica.era,
        )

    def on_pong(self, vm: ids.VmId, asked_ms: int, pong: frames.Pong) -> None:
        """Processes a peer's answer to a status or ping sent at `asked_ms`."""
        self._caps.on_peer_clock(vm, pong.clock_ms)
        for service, version, is_voter in pong.words:
            keyspace = self._keyspace_of(service)
            if keyspace is not None:
                report = authority.MapReport(
                    asked_ms, version, is_voter, pong.map_era
                )
                keyspace.on_map_report(vm, report)

    def _note(self, vm: ids.VmId, frame: frames.Frame) -> None:
        """Processes a frame that has no reply."""
        match frame:
            case frames.Hello(sender=sender, started_ms=started_ms):
                self._fleet.add_connected(sender)
                self._target_memory.on_hello(vm, started_ms)
            case frames.Status():
                self._fleet.update_status(vm, frame)
                self._state_exchange.fetch_newer(vm, frame.changes)
            case frames.Fetched():
                self._state_exchange.on_pushed(vm, frame)
            case frames.TargetLeft(target, born_until_ms):
                self._local_target.on_left(
                    departures.Departure(
                        targets.TargetId(target), born_until_ms
                    )
                )
            case frames.TargetLimited(target, born_ms, rate_per_s):
                self._local_target.on_limited(
                    targets.TargetInstance(targets.TargetId(target), born_ms),
                    rate_per_s,
                )
            case frames.KeyLoad(service=service, loads=loads):
                planner = self._planner_by_service.get(ids.ServiceId(service))
                if planner is not None:
                    planner.on_key_load(vm, loads)
            case frames.Overdue():
                self._forwarder.on_overdue(vm, frame)
            case frames.Suspect(fingerprint=fingerprint, crashes=crashes):
                self._quarantine.record_peer_report(fingerprint, crashes)
            case _:
                pass

    def _keyspace_of(self, service: str) -> keyspace_lib.Keyspace | None:
        return self._keyspace_by_service.get(ids.ServiceId(service))
