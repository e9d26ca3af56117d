"""What a daemon knows of the fleet, for queries and commands."""

from collections.abc import Iterable
from collections.abc import Iterator
import dataclasses
import difflib
from typing import Protocol

from mustardloom import clock as clocks
from mustardloom import findings
from mustardloom import ids
from mustardloom.declarations import catalog
from mustardloom.declarations import model
from mustardloom.membership import records
from mustardloom.operators import parser
from mustardloom.ownership import slot_map
from mustardloom.relay import replica as replicas
from mustardloom.routing import routes

__all__ = ["ConfigurationView", "View"]


class ConfigurationView(Protocol):
    """The part of `daemon.configuration.Configuration` that is needed."""

    table: routes.RouteTable
    version_by_set: dict[ids.SetId, ids.Version]

    def is_stopped(self, record: records.MemberRecord) -> bool:
        """Tells whether a stop covers a member."""

    def groups(self) -> Iterator[tuple[ids.GroupId, int]]:
        """Yields the placement groups and their numbers of slots."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class View:
    """Views over the replica of a daemon.

    Attributes:
      clock: Clock of the process.
      replica: Copy of the store's objects.
      members: All members.
      slots: All owners.
      configuration: The accepted configuration.
    """

    clock: clocks.Clock
    replica: replicas.Replica
    members: records.Members
    slots: slot_map.SlotMap
    configuration: ConfigurationView

    def catalog(self) -> catalog.Catalog:
        """Returns all declarations that are in force."""
        return catalog.build(
            catalog.decode_set(event.value).value
            for event in self.replica.select(model.CONFIG_PREFIX)
            if event.value is not None
        )

    def of_vm(self, vm: str) -> records.MemberRecord | None:
        """Returns the newest live member of a VM."""
        found = [r for r in self.members.live() if r.vm == vm]
        versions = self.members.version_by_id
        return max(found, key=lambda r: versions[r.member], default=None)

    def unknown_zone(self, name: parser.Name) -> Iterator[findings.Finding]:
        """Yields a finding if there is no such availability zone."""
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

    def unknown_organisation(
        self, name: parser.Name
    ) -> Iterator[findings.Finding]:
        """Yields a finding if the organisation is not declared."""
        known = self.configuration.table.organisations.keys()
        yield from _unknown("organisation", name, known)


def _unknown(
    kind: str, name: parser.Name, known: Iterable[str]
) -> Iterator[findings.Finding]:
    names = set(known)
    if name.text in names:
        return
    close = difflib.get_close_matches(name.text, sorted(names), n=1)
    hint = f"; did you mean {close[0]!r}?" if close else ""
    yield parser.finding(name, f"unknown {kind} {name.text!r}{hint}")
