"""Settings of one daemon on a deployment."""

import dataclasses

from mustardloom import ids

__all__ = ["Address", "Bounds", "ProcessLimits", "Settings", "StoreSettings"]

Address = tuple[str, int]


@dataclasses.dataclass(frozen=True, slots=True)
class Bounds:
    """Limits that the platform sets for the behaviour of the fleet.

    Attributes:
      drain_ms: Time after a target announces its stop in which it may still
        be sent new requests.
      grace_ms: Time between SIGTERM and SIGKILL.
      retry_ratio: Retries allowed per request of a service.
      retry_window_ms: Window over which retries are counted.
      retry_minimum: Retries allowed in a window, however few requests it has.
      cold_factor: Multiple of a cold target's rate that is tolerated.
      cold_slack: Requests a second tolerated above that.
      hold_limit_ms: Longest time for which keys may be granted.
      quota_window_ms: Window over which usage caps of organisations count.
      quota_overage: Share of a cap's requests in a window tolerated above it.
      quota_slack: Requests in a window tolerated above that.
    """

    drain_ms: int = 2_500
    grace_ms: int = 6_000
    retry_ratio: float = 0.2
    retry_window_ms: int = 10_000
    retry_minimum: float = 60.0
    cold_factor: float = 1.5
    cold_slack: float = 5.0
    hold_limit_ms: int = 10_000
    quota_window_ms: int = 5_000
    quota_overage: float = 0.1
    quota_slack: float = 20.0


@dataclasses.dataclass(frozen=True, slots=True)
class ProcessLimits:
    """Limits of the VM on the resources of this process.

    Attributes:
      max_descriptors: Maximum number of open descriptors.
      memory_mb: Maximum memory.
      pipelined_requests: Maximum number of requests of a caller's connection
        whose answers have not left.
      pipelined_requests_sum: Maximum number of requests of all connections that
        follow one without an answer.
      pipelined_percent: Room for these, of the memory account, beside it.
      partial_heads_percent: Room for heads in part, likewise.
      header_fields_percent: Room for unusually many header fields, likewise.
      small_requests_percent: Room for requests at the sockets that serve only
        small ones, likewise.
    """

    max_descriptors: int = 1_024
    memory_mb: int = 256
    pipelined_requests: int = 8
    pipelined_requests_sum: int = 32
    pipelined_percent: int = 25
    partial_heads_percent: int = 25
    header_fields_percent: int = 25
    small_requests_percent: int = 25


@dataclasses.dataclass(frozen=True, slots=True)
class StoreSettings:
    """Address of the platform's store and its limit on the size of a value."""

    address: Address
    value_bytes: int = 1_048_576


@dataclasses.dataclass(frozen=True, slots=True)
class Settings:
    """Settings of one daemon.

    Attributes:
      vm: Name of the VM.
      ip: Address of the VM.
      availability_zone: Availability zone of the VM.
      region: Region of the VM.
      region_by_zone: Regions of all availability zones.
      caller_address: Listening address for callers and the local target.
      readiness_address: Listening address for the platform's readiness checks.
      announcement_address: Listening address for the local target's heartbeats.
      target_address: Address of the local target.
      service: Service of the local target.
      peer_port: Port for other daemons.
      store: Address and limits of the platform's store.
      heartbeat_ms: Usual time between two heartbeats of the target.
      bounds: Limits on the behaviour of the fleet.
      limits: Limits on the resources of this process.
      is_first_start: Whether the whole fleet starts for the first time.
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
    limits: ProcessLimits = ProcessLimits()
    is_first_start: bool = True
