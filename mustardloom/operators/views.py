"""State of the fleet as known to a daemon, for queries and commands."""

import collections
from collections.abc import Iterable
from collections.abc import Iterator
import dataclasses
import difflib
from typing import Protocol

from mustardloom import clock as clock_lib
from mustardloom import findings
from mustardloom import ids
from mustardloom.declarations import catalog
from mustardloom.declarations import model
from mustardloom.membership import records
from mustardloom.operators import history as history_lib
from mustardloom.operators import parser
from mustardloom.operators import reports as reports_lib
from mustardloom.ownership import slot_map
from mustardloom.ownership import slots as slots_lib
from mustardloom.relay import replica as replica_lib
from mustardloom.routing import home_regions
from mustardloom.routing import routes

__all__ = ["ConfigurationView", "View"]


class ConfigurationView(Protocol):
    """The part of `daemon.configuration.Configuration` that views need."""

    table: routes.RouteTable
    version_by_set: dict[ids.DeclarationSetId, ids.Version]

    def is_stopped(self, record: records.MemberRecord) -> bool:
        """Returns whether a stop of its zone or target applies to a member."""

    def groups(self) -> Iterable[tuple[ids.GroupId, int]]:
        """Yields the placement groups and their numbers of slots."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class View:
    """A daemon's local copy of the stored state, and reports of other daemons.

    Attributes:
      clock: Clock of the process.
      replica: Copy of the store's objects.
      members: Records of all members.
      slots: Owners of all slots.
      configuration: The configuration in force.
      reports: Requests load and configuration reports from daemons.
      history: Last change of owner of each slot.
    """

    clock: clock_lib.Clock
    replica: replica_lib.Replica
    members: records.MemberView
    slots: slot_map.SlotMap
    configuration: ConfigurationView
    reports: reports_lib.ReportCollector
    history: history_lib.OwnerHistory

    def catalog(self) -> catalog.Catalog:
        """Returns the merged declaration sets that are in force."""
        return catalog.build(
            catalog.decode_set(event.value).value
            for event in self.replica.select(model.CONFIG_PREFIX)
            if event.value is not None
        )

    def newest_member(self, vm: str) -> records.MemberRecord | None:
        """Returns the most recently written live record of a VM, if any."""
        found = [r for r in self.members.live() if r.vm == vm]
        versions = self.members.version_by_id
        return max(found, key=lambda r: versions[r.member], default=None)

    def slot_count_by_member(self) -> collections.Counter[ids.MemberId]:
        """Returns how many slots each member owns."""
        return collections.Counter(
            entry.owner
            for entries in self.slots.by_group.values()
            for entry in entries
            if entry.owner is not None
        )

    def slots_of_key(
        self,
        key: parser.Name,
        service: parser.Name,
        organisation: parser.Name | None = None,
    ) -> list[tuple[ids.GroupId, ids.SlotIndex]]:
        """Returns the groups that a key may belong to, and its slot in each.

        There are several if routes of the service have different home regions.

        Raises:
          findings.FindingsError: Names are unknown, the service is not keyed,
            or no route serves the organisation.
        """
        found = list(self.unknown_service(service))
        if organisation is not None:
            found.extend(self.unknown_organisation(organisation))
        findings.raise_if_any(found)
        table = self.configuration.table
        declared = table.services[ids.ServiceId(service.text)]
        if not declared.keyed:
            message = (
                f"service {service.text!r} is not keyed; its keys have no owner"
            )
            findings.raise_if_any([parser.finding(service, message)])
        groups = self._groups(declared.id, organisation)
        if not groups:
            message = (
                f"no route leads to service {service.text!r} for this"
                " organisation or without one"
            )
            findings.raise_if_any([parser.finding(service, message)])
        slot = slots_lib.slot_of(key.text, declared.slot_count)
        return [(group, slot) for group in groups]

    def _groups(
        self, service: ids.ServiceId, name: parser.Name | None
    ) -> list[ids.GroupId]:
        """Returns the groups for requests of an organisation or without one."""
        organisation = None
        if name is not None:
            known = self.configuration.table.organisations
            organisation = known[ids.OrganisationId(name.text)]
        found = set()
        for route in self.catalog().routes_by_id.values():
            if route.service != service or not _serves(route, organisation):
                continue
            regions = home_regions.permitted_regions(route, organisation)
            if regions is not None:
                found.add(slots_lib.group_of(service, regions))
        return sorted(found)

    def unknown_zone(self, name: parser.Name) -> Iterator[findings.Finding]:
        """Yields a finding if the availability zone is not declared."""
        known = self.catalog().region_by_zone.keys()
        yield from _unknown("availability zone", name, known)

    def unknown_vm(self, name: parser.Name) -> Iterator[findings.Finding]:
        """Yields a finding if no live member runs on a VM of that name."""
        known = {record.vm for record in self.members.live()}
        yield from _unknown("target", name, known)

    def unknown_service(self, name: parser.Name) -> Iterator[findings.Finding]:
        """Yields a finding if the service is not declared."""
        known = self.configuration.table.services.keys()
        yield from _unknown("service", name, known)

    def unknown_group(self, name: parser.Name) -> Iterator[findings.Finding]:
        """Yields a finding if the routes result in no such placement group."""
        known = (group for group, _ in self.configuration.groups())
        yield from _unknown("placement group", name, known)

    def unknown_organisation(
        self, name: parser.Name
    ) -> Iterator[findings.Finding]:
        """Yields a finding if the organisation is not declared."""
        known = self.configuration.table.organisations.keys()
        yield from _unknown("organisation", name, known)


def _serves(
    route: model.Route, organisation: model.Organisation | None
) -> bool:
    if not route.organisations or organisation is None:
        return not route.organisations
    return organisation.id in route.organisations


def _unknown(
    kind: str, name: parser.Name, known: Iterable[str]
) -> Iterator[findings.Finding]:
    names = set(known)
    if name.text in names:
        return
    close = difflib.get_close_matches(name.text, sorted(names), n=1)
    hint = f"; did you mean {close[0]!r}?" if close else ""
    yield parser.finding(name, f"unknown {kind} {name.text!r}{hint}")
