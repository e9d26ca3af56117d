"""Configuration and stops in force, from the replica of the store."""

from collections.abc import Callable
from collections.abc import Iterator

from loguru import logger
import msgspec

from mustardloom import ids
from mustardloom import metrics as metrics_lib
from mustardloom import store as store_lib
from mustardloom.declarations import catalog
from mustardloom.declarations import model
from mustardloom.membership import records
from mustardloom.ownership import slots
from mustardloom.relay import replica as replica_lib
from mustardloom.routing import home_regions
from mustardloom.routing import routes

__all__ = ["Configuration"]


class Configuration:
    """Routes, services, organisations and stops that are in force.

    If a stored object cannot be decoded, its previous version stays in force.

    Attributes:
      table: Routes, services and organisations, for look-ups per request.
      version_by_set: Version in force of each declaration set.
    """

    def __init__(
        self, replica: replica_lib.Replica, metrics: metrics_lib.Metrics
    ):
        self.table = routes.RouteTable()
        self.version_by_set: dict[ids.DeclarationSetId, ids.Version] = {}
        self._metrics = metrics
        self._sets: dict[str, model.DeclarationSet] = {}
        self._stops: dict[str, model.Stop] = {}
        self._groups: tuple[tuple[ids.GroupId, int], ...] = ()
        self._subscribers: list[Callable[[], None]] = []
        replica.subscribe(model.CONFIG_PREFIX, self._on_set)
        replica.subscribe(model.STOPS_PREFIX, self._on_stop)

    def subscribe(self, subscriber: Callable[[], None]) -> None:
        """Calls `subscriber` after each change."""
        self._subscribers.append(subscriber)

    def is_stopped(self, record: records.MemberRecord) -> bool:
        """Returns whether an active stop covers a member.

        Stops apply to an availability zone or to the target of one VM.
        """
        zone = model.StopKind.AVAILABILITY_ZONE
        keys = (
            model.stop_key(zone, record.availability_zone),
            model.stop_key(model.StopKind.TARGET, record.vm),
        )
        stops = (self._stops.get(key) for key in keys)
        return any(stop is not None and stop.active for stop in stops)

    def groups(self) -> tuple[tuple[ids.GroupId, int], ...]:
        """Returns each placement group with its number of slots."""
        return self._groups

    def _find_groups(self) -> Iterator[tuple[ids.GroupId, int]]:
        for declared in self._sets.values():
            for route in declared.routes:
                service = self.table.services.get(route.service)
                if service is None:
                    continue
                for regions in self._region_sets(route):
                    group = slots.group_of(service.id, regions)
                    yield group, service.slot_count

    def _region_sets(
        self, route: model.Route
    ) -> Iterator[frozenset[ids.RegionId]]:
        """Yields the sets of permitted regions of a route's requests.

        There is one for each organisation that may use the route, and one for
        requests without an organisation if the route is open to all.
        """
        allowed = route.organisations or tuple(self.table.organisations)
        organisations = [self.table.organisations.get(o) for o in allowed]
        if not route.organisations:
            organisations.append(None)
        for organisation in organisations:
            regions = home_regions.permitted_regions(route, organisation)
            if regions is not None:
                yield regions

    def _on_set(self, event: store_lib.Event) -> None:
        set_id = ids.DeclarationSetId(
            event.key.removeprefix(model.CONFIG_PREFIX)
        )
        if event.value is None:
            self._sets.pop(event.key, None)
            self.version_by_set.pop(set_id, None)
        else:
            try:
                stored = catalog.decode_set(event.value)
            except msgspec.DecodeError as error:
                self._reject(event, error)
                return
            self._sets[event.key] = stored.value
            self.version_by_set[set_id] = event.version
        self.table = routes.RouteTable(self._sets.values())
        self._groups = tuple(dict(self._find_groups()).items())
        logger.info(f"{event.key} is in force at version {event.version}")
        self._notify()

    def _on_stop(self, event: store_lib.Event) -> None:
        if event.value is None:
            self._stops.pop(event.key, None)
        else:
            try:
                stored = catalog.decode_stop(event.value)
            except msgspec.DecodeError as error:
                self._reject(event, error)
                return
            self._stops[event.key] = stored.value
        self._notify()

    def _reject(self, event: store_lib.Event, error: Exception) -> None:
        self._metrics.increment("configuration.not_decoded")
        logger.error(
            f"{event.key} version {event.version} "
            f"not decoded, previous version stays in force: {error}"
        )

    def _notify(self) -> None:
        for subscriber in self._subscribers:
            subscriber()
