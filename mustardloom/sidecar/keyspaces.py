"""Opens a key space and its planner for each service with keys."""

from collections.abc import Callable
from collections.abc import Coroutine
from typing import Any

from mustardloom import clock as clock_lib
from mustardloom import ids
from mustardloom import metrics as metrics_lib
from mustardloom.deployment import settings
from mustardloom.deployment import stored
from mustardloom.sidecar import events
from mustardloom.sidecar import fleet as fleet_lib
from mustardloom.sidecar import gate as gate_lib
from mustardloom.sidecar import keyspace as keyspace_lib
from mustardloom.sidecar import links as links_lib
from mustardloom.sidecar import planner as planner_lib
from mustardloom.sidecar import shared_state
from mustardloom.sidecar import state_exchange as state_exchange_lib
from mustardloom.sidecar import status_sender as status_sender_lib
from mustardloom.sidecar import unreadable_objects

__all__ = ["Keyspaces"]


class Keyspaces:
    """The key spaces of one daemon.

    Args:
      current_settings: Returns the settings in force.
      store: The store.
      state: Replicas of the stored objects.
      exchange: Exchanges replicas with the other daemons.
      status_sender: Sends the status of this daemon to the others.
      fleet: The daemons.
      links: Links to the other daemons.
      gate: Gate of the local target.
      unreadable: Reports stored objects that cannot be read.
      clock: Source of time.
      log: Log of this daemon.
      metrics: Metrics of this daemon.
      start_loop: Runs a loop as a task, again after an unexpected error.

    Attributes:
      by_service: The key spaces.
      planner_by_service: Their planners.
    """

    def __init__(
        self,
        current_settings: Callable[[], settings.Settings],
        store: shared_state.ObjectStore,
        state: shared_state.SharedState,
        exchange: state_exchange_lib.StateExchange,
        status_sender: status_sender_lib.StatusSender,
        fleet: fleet_lib.Fleet,
        links: links_lib.Links,
        gate: gate_lib.Gate,
        unreadable: unreadable_objects.UnreadableObjects,
        clock: clock_lib.Clock,
        log: events.EventLog,
        metrics: metrics_lib.Metrics,
        start_loop: Callable[[Callable[[], Coroutine[Any, Any, None]]], None],
    ):
        self.by_service: dict[ids.ServiceId, keyspace_lib.Keyspace] = {}
        self.planner_by_service: dict[ids.ServiceId, planner_lib.Planner] = {}
        self._current_settings = current_settings
        self._store = store
        self._state = state
        self._exchange = exchange
        self._status_sender = status_sender
        self._fleet = fleet
        self._links = links
        self._gate = gate
        self._unreadable = unreadable
        self._clock = clock
        self._log = log
        self._metrics = metrics
        self._start_loop = start_loop

    def open(self, service: ids.ServiceId) -> None:
        """Opens the key space of a service, unless it is open."""
        if service in self.by_service:
            return
        keyspace = self._new_keyspace(service)
        self.by_service[service] = keyspace
        self.adopt_maps()
        planner = self._new_planner(keyspace)
        self.planner_by_service[service] = planner
        self._start_loop(planner.run)
        self._start_loop(keyspace.become_voter)
        if service == self._current_settings().service:
            self._start_loop(keyspace.renew_authority)
            self._start_loop(keyspace.request_releases)
            self._start_loop(keyspace.report_load)

    def adopt_maps(self) -> None:
        """Adopts the newest key maps of which this daemon knows."""
        by_key = self._state.by_kind[stored.Kind.KEY_MAP].by_key
        for service, keyspace in self.by_service.items():
            found = by_key.get(stored.key(stored.Kind.KEY_MAP, service))
            if found is not None:
                keyspace.adopt(found)

    def _new_keyspace(self, service: ids.ServiceId) -> keyspace_lib.Keyspace:
        keyspace = keyspace_lib.Keyspace(
            service,
            self._current_settings(),
            self._state,
            self._fleet,
            self._links,
            self._gate,
            self._clock,
            self._log,
            self._unreadable,
        )
        keyspace.on_settled = self._status_sender.send
        keyspace.on_newer_map = lambda vm: self._exchange.fetch(
            vm, stored.Kind.KEY_MAP
        )
        return keyspace

    def _new_planner(
        self, keyspace: keyspace_lib.Keyspace
    ) -> planner_lib.Planner:
        planner = planner_lib.Planner(
            self._current_settings().vm,
            keyspace,
            self._store,
            self._fleet,
            self._links,
            self._clock,
            self._log,
            self._metrics,
        )
        planner.send_status = self._status_sender.send
        planner.publish_maps = lambda: self._exchange.publish(
            stored.Kind.KEY_MAP
        )
        return planner
