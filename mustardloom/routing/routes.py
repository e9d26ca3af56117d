"""Routes, services and organisations of the configuration in force."""

from collections.abc import Iterable

from mustardloom import ids
from mustardloom.declarations import model

__all__ = ["RouteTable", "segments_of"]

_SEPARATOR = "/"


def segments_of(path: str) -> tuple[str, ...]:
    """Returns the segments of a path, without query and empty segments.

    Example:
      >>> segments_of("/accounts/7?full=1")
      ('accounts', '7')
    """
    bare = path.partition("?")[0]
    return tuple(segment for segment in bare.split(_SEPARATOR) if segment)


class RouteTable:
    """Lookup of routes by path and of services and organisations by id.

    A table is immutable; a change of the configuration builds a new one.

    Attributes:
      services: Services by id.
      organisations: Organisations by id.

    Example:
      >>> route = model.Route(
      ...     id=ids.RouteId("r"), prefix="/a", service=ids.ServiceId("s")
      ... )
      >>> set_id = ids.DeclarationSetId("x")
      >>> table = RouteTable([model.DeclarationSet(id=set_id, routes=(route,))])
      >>> table.match("/a/1").id
      'r'
      >>> table.match("/ab") is None
      True
    """

    def __init__(self, declarations: Iterable[model.DeclarationSet] = ()):
        self.services: dict[ids.ServiceId, model.Service] = {}
        self.organisations: dict[ids.OrganisationId, model.Organisation] = {}
        self._routes: dict[tuple[str, ...], model.Route] = {}
        self._max_segments = 0
        # Sets are added in order of their ids, so that all daemons resolve
        # conflicts between sets in the same way.
        for declared in sorted(declarations, key=lambda each: each.id):
            self._add(declared)

    def match(self, path: str) -> model.Route | None:
        """Returns the route with the longest prefix of `path`, None if none."""
        segments = segments_of(path)
        for length in range(min(len(segments), self._max_segments), -1, -1):
            route = self._routes.get(segments[:length])
            if route is not None:
                return route
        return None

    def _add(self, declared: model.DeclarationSet) -> None:
        for service in declared.services:
            self.services.setdefault(service.id, service)
        for organisation in declared.organisations:
            self.organisations.setdefault(organisation.id, organisation)
        for route in declared.routes:
            segments = segments_of(route.prefix)
            self._routes.setdefault(segments, route)
            self._max_segments = max(self._max_segments, len(segments))
