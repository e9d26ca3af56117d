"""Adopts the stored state of the fleet: configuration, zones, daemons, maps."""

from collections.abc import Callable
from collections.abc import Coroutine
from typing import Any

from mustardloom import ids
from mustardloom import objects
from mustardloom.deployment import configuration as deployed
from mustardloom.deployment import settings
from mustardloom.deployment import stored
from mustardloom.platform import configuration as configuration_lib
from mustardloom.sidecar import events
from mustardloom.sidecar import fleet as fleet_lib
from mustardloom.sidecar import gate as gate_lib
from mustardloom.sidecar import keyspaces as keyspaces_lib
from mustardloom.sidecar import registration as registration_lib
from mustardloom.sidecar import self_report
from mustardloom.sidecar import shared_state
from mustardloom.sidecar import unreadable_objects

__all__ = ["StateAdoption"]


class StateAdoption:
    """Hands changes of the stored state to the components of one daemon.

    Args:
      own_record: Record of this daemon.
      state: Replicas of the stored objects.
      fleet: The daemons.
      gate: Gate of the local target.
      report: Reports of this daemon.
      registration: Registration of this daemon in the store.
      keyspaces: The key spaces.
      unreadable: Reports stored objects that cannot be read.
      log: Log of this daemon.
      start: Runs a coroutine as a task.

    Attributes:
      configuration: The configuration in force, None before the first one.
      on_adopted: Called after the configuration has changed.
    """

    def __init__(
        self,
        own_record: stored.DaemonRecord,
        state: shared_state.SharedState,
        fleet: fleet_lib.Fleet,
        gate: gate_lib.Gate,
        report: self_report.SelfReport,
        registration: registration_lib.Registration,
        keyspaces: keyspaces_lib.Keyspaces,
        unreadable: unreadable_objects.UnreadableObjects,
        log: events.EventLog,
        start: Callable[[Coroutine[Any, Any, None]], None],
    ):
        self.configuration: deployed.Configuration | None = None
        self.on_adopted: Callable[[], None] = lambda: None
        self._own_record = own_record
        self._state = state
        self._fleet = fleet
        self._gate = gate
        self._report = report
        self._registration = registration
        self._keyspaces = keyspaces
        self._unreadable = unreadable
        self._log = log
        self._start = start

    def on_change(self, kind: stored.Kind) -> None:
        """Adopts the changed objects of a kind."""
        by_key = self._state.by_kind[kind].by_key
        match kind:
            case stored.Kind.CONFIGURATION:
                main = by_key.get(configuration_lib.KEY)
                if main is not None:
                    self._adopt_configuration(main)
            case stored.Kind.EVACUATION:
                self._adopt_evacuations(set(by_key))
            case stored.Kind.DAEMON:
                self._adopt_daemons(list(by_key.values()))
                if self._registration.is_lost():
                    self._start(self._registration.register())
            case stored.Kind.KEY_MAP:
                self._keyspaces.adopt_maps()

    def _adopt_configuration(self, stored_object: objects.Versioned) -> None:
        try:
            new = configuration_lib.decode(stored_object.value)
        except ValueError as error:
            self._unreadable.report(stored_object, error)
            return
        known = self.configuration
        if known is not None and new.version <= known.version:
            return
        self.configuration = new
        self._report.configuration_version = new.version
        self._log.write(
            events.Event.CONFIGURATION_ADOPTED,
            version=new.version,
            replaces=None if known is None else known.version,
            store_version=stored_object.version,
            routes=len(new.routes),
        )
        self._adopt_services(new)
        self.on_adopted()

    def _adopt_services(self, new: deployed.Configuration) -> None:
        own_service = new.service_by_name.get(self._own_record.service)
        if own_service is not None:
            self._gate.set_cold_rate(own_service.cold_per_s)
        for service in new.service_by_name.values():
            if service.is_keyed:
                self._keyspaces.open(service.name)
        for name, planner in self._keyspaces.planner_by_service.items():
            planner.objective_ms = new.objective_of(name)

    def _adopt_evacuations(self, keys: set[str]) -> None:
        zones = {ids.AvailabilityZoneId(stored.name_of(key)) for key in keys}
        if zones == self._fleet.evacuated_zones:
            return
        self._fleet.evacuated_zones = zones
        self._gate.target.is_evacuated = (
            self._own_record.availability_zone in zones
        )
        self._log.write(
            events.Event.EVACUATION_CHANGED, availability_zones=sorted(zones)
        )

    def _adopt_daemons(self, stored_objects: list[objects.Versioned]) -> None:
        # Of two records with the same address the later one is valid: a new VM
        # may have taken over the address of an earlier one. A store that was
        # restored holds earlier records under their revisions of that time.
        by_address: dict[settings.Address, stored.DaemonRecord] = {}
        for each in sorted(
            stored_objects, key=lambda item: stored.revision_of(item.version)
        ):
            try:
                record = stored.decode_daemon(each.value)
            except ValueError as error:
                self._unreadable.report(each, error)
                continue
            by_address[record.ip, record.port] = record
        self._fleet.set_listed(list(by_address.values()))
