"""What a daemon reports of itself and its target: statuses, load, gauges."""

from mustardloom import ids
from mustardloom.sidecar import fleet as fleet_lib
from mustardloom.sidecar import forwarder as forwarder_lib
from mustardloom.sidecar import frames
from mustardloom.sidecar import gate as gate_lib
from mustardloom.sidecar import keyspace as keyspace_lib
from mustardloom.sidecar import links as links_lib
from mustardloom.sidecar import local_target as local_target_lib
from mustardloom.sidecar import shared_state

__all__ = ["SelfReport"]

_PERCENT = 100


class SelfReport:
    """Reports of one daemon.

    Args:
      fleet: The daemons, this one included.
      gate: Gate of the local target.
      target: State of the local target.
      forwarder: Runs the requests of other daemons.
      state: Replicas of the stored objects.
      links: Links to the other daemons.
      keyspace_by_service: The key spaces, also those that open later.

    Attributes:
      is_stopping: Whether this daemon is shutting down.
      configuration_version: Operators' version of the configuration in force,
        0 before the first one.
    """

    def __init__(
        self,
        fleet: fleet_lib.Fleet,
        gate: gate_lib.Gate,
        target: local_target_lib.LocalTarget,
        forwarder: forwarder_lib.Forwarder,
        state: shared_state.SharedState,
        links: links_lib.Links,
        keyspace_by_service: dict[ids.ServiceId, keyspace_lib.Keyspace],
    ):
        self.is_stopping = False
        self.configuration_version = 0
        self._own_service = fleet.own_record.service
        self._gate = gate
        self._target = target
        self._forwarder = forwarder
        self._state = state
        self._links = links
        self._keyspace_by_service = keyspace_by_service

    def load_reply(self, query: frames.LoadQuery) -> frames.LoadReply:
        """Returns the answer to a question for the load of the target."""
        load = self._gate.load()
        return frames.LoadReply(
            query.number,
            self._gate.is_open(),
            load.limit,
            load.running,
            load.waiting,
            round(load.service_ms),
            round(load.failure_share * _PERCENT),
            load.rate_limit_per_s,
        )

    def status(self, receiver: ids.VmId) -> frames.Status:
        """Returns the status for another daemon, or for this one."""
        load = self._gate.load()
        announcement = self._target.announcement
        instance = None if announcement is None else announcement.instance
        departure = self._target.departure
        keyspace = self._keyspace_by_service.get(self._own_service)
        return frames.Status(
            target="" if instance is None else instance.target,
            born_ms=0 if instance is None else instance.born_ms,
            phase=int(self._target.phase),
            limit=load.limit,
            running=load.running,
            waiting=load.waiting,
            sent_by_you=self._forwarder.open_by_vm[receiver],
            service_ms=round(load.service_ms),
            steady_service_ms=round(load.steady_service_ms),
            failure_percent=round(load.failure_share * _PERCENT),
            key_rate=0 if keyspace is None else round(keyspace.key_rate),
            is_stopping=self.is_stopping,
            settled_version=(
                0 if keyspace is None else keyspace.settled_version
            ),
            store_answers=self._state.store_answers,
            changes=self._state.versions(),
            rate_limit_per_s=load.rate_limit_per_s,
            left_target="" if departure is None else departure.target,
            left_born_until_ms=(
                0 if departure is None else departure.born_until_ms
            ),
        )

    def gauges(self) -> dict[str, float]:
        """Returns the gauges of the metrics page by name."""
        load = self._gate.load()
        keyspaces = self._keyspace_by_service.values()
        return {
            "gate_running_requests": load.running,
            "gate_waiting_requests": load.waiting,
            "gate_limit_requests": load.limit,
            "gate_service_time_ms": load.service_ms,
            "gate_utilisation_ratio": load.utilisation,
            "target_rate_limit_per_s": (load.rate_limit_per_s or 0.0),
            "target_is_leaving": int(self._target.is_leaving),
            "configuration_version": self.configuration_version,
            "store_answers": int(self._state.store_answers),
            "store_era": self._state.store_era,
            "peers_reachable": sum(1 for _ in self._links.reachable_vms()),
            "keys_waiting_for_earlier_owner": sum(
                each.pending_keys() for each in keyspaces
            ),
            "keys_without_reachable_owner": sum(
                each.unreachable_keys() for each in keyspaces
            ),
        }
