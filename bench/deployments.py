"""Example deployments: availability zones, targets, load."""

import dataclasses
import pathlib

__all__ = ["BY_NAME", "Deployment", "Placement", "placements"]

_ROOT = pathlib.Path(__file__).parent.parent
_EXAMPLES = _ROOT / "mustardloom" / "declarations" / "examples"


def placements(
    deployment: "Deployment", count: int | None = None
) -> list["Placement"]:
    """Returns `count` placements spread evenly over services and zones.

    Without a count, returns one placement per service and zone.
    """
    zones = [
        (region, f"{region}-{number}")
        for region in deployment.regions
        for number in (1, 2)
    ]
    one_each = [
        Placement(region, zone, service)
        for service in deployment.services
        for region, zone in zones
    ]
    if count is None:
        return one_each
    return [
        dataclasses.replace(
            one_each[index % len(one_each)], number=index // len(one_each)
        )
        for index in range(count)
    ]


@dataclasses.dataclass(frozen=True, slots=True)
class Deployment:
    """An example deployment.

    Attributes:
      name: Name of the example and of its declaration set.
      regions: Regions, each with two availability zones.
      services: Services with one target per zone.
      capacity: Concurrent requests that a target can handle.
      service_ms: Mean service time of a target.
      caller_mix: Arguments of the caller's request mix, one per service.
    """

    name: str
    regions: tuple[str, ...]
    services: tuple[str, ...]
    capacity: int
    service_ms: int
    caller_mix: tuple[str, ...]

    @property
    def declarations(self) -> pathlib.Path:
        """Path of the example's declarations."""
        return _EXAMPLES / f"{self.name}.yaml"


@dataclasses.dataclass(frozen=True, slots=True)
class Placement:
    """Where a target runs and what it serves.

    Attributes:
      region: Region of its VM.
      zone: Availability zone of its VM.
      service: Service of the target.
      number: Number among the targets of the same service and zone.
    """

    region: str
    zone: str
    service: str
    number: int = 0

    @property
    def vm(self) -> str:
        """Name of its VM, such as `salio-pwani-1`."""
        name = f"{self.service}-{self.zone}"
        return f"{name}-{self.number}" if self.number else name


BY_NAME = {
    "kibanda": Deployment(
        name="kibanda",
        regions=("pwani", "kaskazini", "ziwa"),
        services=("salio", "malipo", "bidhaa"),
        capacity=6,
        service_ms=20,
        caller_mix=(
            "salio=/salio/{key},key=X-Account",
            "malipo=/malipo/{key}",
            "bidhaa=/bidhaa/{key}",
        ),
    ),
    "sagarmatha": Deployment(
        name="sagarmatha",
        regions=("bagmati", "gandaki", "koshi"),
        services=("catalogue", "orders", "fittings"),
        capacity=12,
        service_ms=20,
        caller_mix=(
            "catalogue=/catalogue/{key}/stock",
            "orders=/orders/{key}",
            "fittings=/fittings/{key}",
        ),
    ),
}
