"""Home regions: where a request may be served, sent and stored."""

from collections.abc import Iterable
from collections.abc import Set

from mustardloom import ids
from mustardloom import outcomes
from mustardloom.declarations import model
from mustardloom.membership import records

__all__ = ["ingress_addresses", "permits", "permitted_regions", "refusal"]


def permitted_regions(
    route: model.Route, organisation: model.Organisation | None
) -> frozenset[ids.RegionId] | None:
    """Returns the regions that a route and an organisation both permit.

    Returns:
      The permitted regions; empty means any. None if both are restricted and
      have no region in common, so that no region may serve the request.
    """
    by_route = frozenset(route.home_regions)
    by_organisation = frozenset(
        organisation.home_regions if organisation else ()
    )
    if not by_route or not by_organisation:
        return by_route | by_organisation
    return (by_route & by_organisation) or None


def permits(regions: Set[ids.RegionId], region: ids.RegionId) -> bool:
    """Returns whether `region` is permitted; empty `regions` permit any.

    Example:
      >>> permits(frozenset(), ids.RegionId("pwani"))
      True
    """
    return not regions or region in regions


def ingress_addresses(
    members: records.MemberView, regions: Iterable[ids.RegionId]
) -> dict[ids.RegionId, records.Address]:
    """Returns the address of one ingress for each region.

    Members that are leaving are skipped; regions without others are left out.
    """
    address_by_region: dict[ids.RegionId, records.Address] = {}
    wanted = set(regions)
    for record in members.live():
        if record.region not in wanted:
            continue
        if record.state is records.MemberState.LEAVING:
            continue
        address_by_region.setdefault(record.region, record.caller_address)
    return address_by_region


def refusal(
    members: records.MemberView, regions: Set[ids.RegionId]
) -> outcomes.Refused:
    """Returns the refusal by an ingress outside the permitted regions.

    It names the permitted regions, each with an ingress if there is one.
    """
    ordered = tuple(sorted(regions))
    addresses = ingress_addresses(members, ordered)
    descriptions = [
        f"{region} ({addresses[region]})" if region in addresses else region
        for region in ordered
    ]
    return outcomes.Refused(
        outcomes.RefusalReason.HOME_REGION,
        f"served only in {', '.join(descriptions) or 'no region'}",
        regions=ordered,
    )
