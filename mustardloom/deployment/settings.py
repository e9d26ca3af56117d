"""Settings of one daemon on a deployment."""

import dataclasses

from mustardloom import ids

__all__ = ["Address", "Bounds", "Limits", "Settings", "StoreSettings"]

Address = tuple[str, int]


@dataclasses.dataclass(frozen=True, slots=True)
class Bounds:
    """Times and ratios that the fleet has to keep.

    Attributes:
      drain_ms: Latest start of work at a target that said it leaves.
      grace_ms: Time between SIGTERM and SIGKILL.
      retry_ratio: Repeats allowed for each request of a service.
      retry_window_ms: Window over which repeats are counted.
      retry_minimum: Repeats allowed in a window whatever the traffic is.
      cold_factor: Share of a cold target's rate that is tolerated.
      cold_slack: Requests a second tolerated above that.
      hold_limit_ms: Longest time for which keys may be granted.
    """

    drain_ms: int = 2_500
    grace_ms: int = 6_000
    retry_ratio: float = 0.2
    retry_window_ms: int = 10_000
    retry_minimum: int = 60
    cold_factor: float = 1.5
    cold_slack: int = 5
    hold_limit_ms: int = 10_000


@dataclasses.dataclass(frozen=True, slots=True)
class Limits:
    """What the VM gives to this process."""

    max_descriptors: int = 1_024
    memory_mb: int = 256


@dataclasses.dataclass(frozen=True, slots=True)
class StoreSettings:
    """Where the object store is and what it takes."""

    address: Address
    value_bytes: int = 1_048_576


@dataclasses.dataclass(frozen=True, slots=True)
class Settings:
    """Settings of one daemon.

    Attributes:
      vm: Name of the VM.
      caller_address: Where callers and the local target send requests.
      readiness_address: Where the platform asks whether the daemon is ready.
      announcement_address: Where the local target sends its heartbeats.
      target_address: The local target.
      service: Service of the local target.
      peer_port: Port for other daemons.
      heartbeat_ms: Usual time between two heartbeats of the target.
    """

    vm: ids.VmId
    ip: str
    availability_zone: ids.AvailabilityZoneId
    region: ids.RegionId
    region_by_zone: dict[ids.AvailabilityZoneId, ids.RegionId]
    caller_address: Address
    readiness_address: Address
    announcement_address: Address
    target_address: Address
    service: ids.ServiceId
    peer_port: int
    store: StoreSettings
    heartbeat_ms: int = 1_000
    bounds: Bounds = Bounds()
    limits: Limits = Limits()
