"""Which organisation a request belongs to, and where it may run.

Load pattern: callers of many organisations share the daemons. Some of them
send requests without a valid API key, as often as they like; these must cost
little and reach no target.
"""

from collections.abc import Sequence
import enum

from mustardloom import ids
from mustardloom.deployment import configuration

__all__ = ["MAX_KEY_BYTES", "Rejection", "common_regions", "identify"]

# A longer value is not looked up, so that a request without a valid key costs
# no more than one with a key.
MAX_KEY_BYTES = 4_096


class Rejection(enum.Enum):
    """Why a request has no valid API key."""

    MISSING = "missing"
    REPEATED = "repeated"
    EMPTY = "empty"
    TOO_LONG = "too-long"
    FOLDED = "folded"
    UNKNOWN = "unknown"


def identify(
    current: configuration.Configuration,
    route: configuration.Route,
    credentials: Sequence[bytes],
) -> configuration.Organisation | Rejection | None:
    """Returns the organisation of a request.

    Args:
      current: The configuration in force.
      route: Route of the request.
      credentials: Values of all headers that carry an API key.

    Returns:
      The organisation; None if the request needs none, whatever key it has;
      or why its key is not valid.
    """
    if not current.has_organisations or route.is_exempt:
        return None
    if not credentials:
        return Rejection.MISSING
    if len(credentials) > 1:
        return Rejection.REPEATED
    key = credentials[0]
    if not key:
        return Rejection.EMPTY
    if len(key) > MAX_KEY_BYTES:
        return Rejection.TOO_LONG
    found = current.organisation_by_key_digest.get(
        configuration.key_digest(key)
    )
    return found or Rejection.UNKNOWN


def common_regions(
    route: configuration.Route,
    organisation: configuration.Organisation | None,
) -> frozenset[ids.RegionId] | None:
    """Returns the regions that may serve a request, empty for all.

    None if the route and the organisation have no region in common.
    """
    if organisation is None or not organisation.home_regions:
        return route.home_regions
    if not route.home_regions:
        return organisation.home_regions
    return (route.home_regions & organisation.home_regions) or None
