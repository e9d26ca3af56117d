"""Splits the requests of a route among its services by weight."""

from mustardloom import ids
from mustardloom.deployment import configuration

__all__ = ["WeightedRoundRobin"]


class WeightedRoundRobin:
    """Smooth weighted round robin for each route.

    Example:
      >>> a = configuration.Share(ids.ServiceId("a"), 3)
      >>> b = configuration.Share(ids.ServiceId("b"), 1)
      >>> round_robin = WeightedRoundRobin()
      >>> route = ids.RouteId("r")
      >>> [round_robin.next_service(route, (a, b)) for _ in range(4)]
      ['a', 'a', 'b', 'a']
    """

    def __init__(self) -> None:
        self._credit_by_route: dict[
            ids.RouteId, dict[ids.ServiceId, float]
        ] = {}

    def next_service(
        self, route: ids.RouteId, shares: tuple[configuration.Share, ...]
    ) -> ids.ServiceId:
        """Returns the service for the next request of a route.

        Args:
          route: The route, whose credits are kept between calls.
          shares: Services of the route with their weights, at least one.
        """
        if len(shares) == 1:
            return shares[0].service
        known = self._credit_by_route.get(route, {})
        credit = {
            share.service: known.get(share.service, 0.0) for share in shares
        }
        total = sum(share.weight for share in shares)
        for share in shares:
            credit[share.service] += share.weight
        chosen = max(credit, key=lambda service: credit[service])
        credit[chosen] -= total
        self._credit_by_route[route] = credit
        return chosen
