"""Ownership of the keys of one service: the key map and grants made from it."""

import asyncio
import collections
from collections.abc import Callable
from collections.abc import Iterator

from mustardloom import clock as clock_lib
from mustardloom import ids
from mustardloom import objects
from mustardloom import slices
from mustardloom.deployment import settings
from mustardloom.deployment import stored
from mustardloom.deployment import targets
from mustardloom.keys import authority as authority_lib
from mustardloom.keys import balancing
from mustardloom.keys import claims as claims_lib
from mustardloom.keys import grants as grants_lib
from mustardloom.keys import key_map
from mustardloom.keys import ledger as ledger_lib
from mustardloom.keys import restoration
from mustardloom.keys import voters as voters_lib
from mustardloom.platform import announcements
from mustardloom.sidecar import events
from mustardloom.sidecar import fleet as fleet_lib
from mustardloom.sidecar import frames
from mustardloom.sidecar import gate as gate_lib
from mustardloom.sidecar import links as links_lib
from mustardloom.sidecar import map_confirmation
from mustardloom.sidecar import shared_state
from mustardloom.sidecar import unreadable_objects

__all__ = ["Keyspace"]

# Timers of this process may fire this late.
_GRANT_MARGIN_MS = 50
# The authority to grant is renewed this long after the last confirmation.
_RENEW_INTERVAL_MS = 2_000
_RENEW_RETRY_MS = 400
# How often a daemon without a target or map checks whether it has them now.
_NEED_CHECK_MS = 100
# Earlier owners are asked this often, so that released keys do not stay
# unserved for longer than a request takes.
_RELEASE_INTERVAL_MS = 60
_RELEASE_TIMEOUT_MS = 400
# Earlier owners usually answer within this time. Without an answer, the time at
# which the keys become free depends on how many daemons know the map, so all
# are pinged.
_PING_AFTER_MS = 300
_PING_INTERVAL_MS = 400
# Weight of the newest second in the rate of keyed requests.
_RATE_SMOOTHING = 0.6
_LOAD_INTERVAL_MS = 1_000
# The target is made to send heartbeats often for this long after a change of
# its rows, and above this utilisation, at which its keys may have to move.
_FREQUENT_REPORTS_MS = 2_000
_BUSY_UTILISATION = 0.6
_MS_PER_S = 1_000


# Rows of first key, last key, requests a second.
RangeLoads = tuple[tuple[int, int, float], ...]


class Keyspace:
    """Keys of one service, as one daemon knows them.

    Every daemon keeps the key map. A daemon with a local target of the service
    also grants keys to it. `planner.Planner` changes the map.

    Attributes:
      key: Key of the map's object in the store.
      confirmer: Confirms that the known map is the newest one.
      bounds: Bounds in force.
      on_settled: Called with the VM of the planner once earlier owners have
        released all keys of this VM.
      on_range_loads: Called with the busy parts of the local target's rows.
      on_newer_map: Called with the VM of a daemon that knows a map which this
        one lacks and which the store has lost.
    """

    def __init__(
        self,
        service: ids.ServiceId,
        own_settings: settings.Settings,
        state: shared_state.SharedState,
        fleet: fleet_lib.Fleet,
        links: links_lib.Links,
        gate: gate_lib.Gate,
        clock: clock_lib.Clock,
        log: events.EventLog,
        unreadable: unreadable_objects.UnreadableObjects,
    ):
        self.service = service
        self.bounds = own_settings.bounds
        self._settings = own_settings
        self._state = state
        self._fleet = fleet
        self._links = links
        self._gate = gate
        self._clock = clock
        self._log = log
        self._unreadable_objects = unreadable
        self.key = stored.key(stored.Kind.KEY_MAP, service)
        self.confirmer = map_confirmation.MapConfirmer(
            service,
            state,
            fleet,
            links,
            clock,
            lambda: self._version,
            self.apply_stored,
        )
        self._grants = grants_lib.Grants(own_settings.vm)
        self._claims = self._grants.claims
        self._version = ids.NO_VERSION
        self._authority = authority_lib.Authority(own_settings.vm)
        # Version of the first known map with its voters.
        self._voters_version = 0
        self._has_authority = False
        self._hits: collections.Counter[int] = collections.Counter()
        self._hits_since_ms = clock.now_ms()
        self._key_rate = 0.0
        self._own_rows_changed_ms = 0
        self.on_settled: Callable[[ids.VmId], None] = lambda _: None
        self._pinged_ms = 0
        self._adopted_ms = 0
        self._has_pending = asyncio.Event()
        self.on_range_loads: Callable[[RangeLoads], None] = lambda _: None
        self.on_newer_map: Callable[[ids.VmId], None] = lambda _: None

    # Queries.

    @property
    def current_map(self) -> key_map.KeyMap | None:
        """Returns the newest known map, None before the first one."""
        return self._claims.map if self._claims.map.version else None

    @property
    def store_version(self) -> ids.Version:
        """Returns the version of the map's object, `NO_VERSION` if none."""
        if stored.era_of(self._version) == self.store_era:
            return self._version
        replica = self._state.by_kind[stored.Kind.KEY_MAP]
        return replica.version_in_store(self.key)

    @property
    def is_first_start(self) -> bool:
        """Returns whether no target can hold keys by an earlier map."""
        return self._settings.is_first_start

    @property
    def store_era(self) -> int:
        """Returns the latest era of the store in which maps are known."""
        return self._state.by_kind[stored.Kind.KEY_MAP].era

    @property
    def is_established(self) -> bool:
        """Returns whether the known map was written in the store's era.

        Otherwise the store was restored from a copy, and the map must be
        written again before the store can confirm it.
        """
        current = self.current_map
        if current is not None:
            return restoration.is_established(current.era, self.store_era)
        replica = self._state.by_kind[stored.Kind.KEY_MAP]
        return self.key not in replica.by_key

    @property
    def local_instance(self) -> targets.TargetInstance | None:
        """Returns the local target's instance, None if it cannot take keys."""
        return self._grants.instance if self._is_target_up() else None

    @property
    def key_rate(self) -> float:
        """Returns the smoothed requests a second for the target's keys."""
        return self._key_rate

    def pending_keys(self) -> int:
        """Returns how many keys of this VM an earlier owner may still hold."""
        return sum(
            pending.last + 1 - pending.first
            for pending in self._claims.pending_ranges
        )

    def unreachable_keys(self) -> int:
        """Returns how many keys have no owner or an unreachable one."""
        return sum(
            row.width
            for row in self._claims.map.rows
            if not self._fleet.is_reachable(row.owner)
        )

    @property
    def settled_version(self) -> int:
        """Returns the map's version, 0 while an earlier owner may hold keys."""
        return 0 if self._claims.pending_ranges else self._claims.map.version

    def check(self, key: int) -> gate_lib.KeyCheck:
        """Returns whether the local target holds a key, or who may hold it."""
        now_ms = self._clock.now_ms()
        if self._grants.is_granted(key, now_ms):
            return gate_lib.KeyCheck(True)
        row = self._claims.map.row_of(key)
        if row.owner != self._settings.vm:
            return gate_lib.KeyCheck(False, owner=row.owner)
        pending = self._claims.pending_at(key)
        if pending is not None:
            return gate_lib.KeyCheck(False, True, pending.previous)
        return gate_lib.KeyCheck(False, is_pending=self._is_target_up())

    def count_request(self, key: int) -> None:
        """Counts a request for a key that the local target holds."""
        self._hits[key] += 1

    # Voters.

    @property
    def voters(self) -> voters_lib.Voters:
        """Returns the VMs that vote on the known map."""
        return self._voters_of(self._claims.map)

    def informed_voters(self) -> set[ids.VmId]:
        """Returns the VMs that know a map with the present voters."""
        self._authority.retain(set(self._fleet.by_vm))
        return self._authority.informed(self._voters_version)

    def names(self, vm: ids.VmId) -> bool:
        """Returns whether the map names a VM as owner, earlier one or voter."""
        is_voter = self.current_map is not None and vm in self.voters.all()
        return is_voter or self.names_owner(vm)

    def names_owner(self, vm: ids.VmId) -> bool:
        """Returns whether the map names a VM as owner or earlier one."""
        return self._claims.map.names_in_rows(vm)

    def _voters_of(self, known: key_map.KeyMap) -> voters_lib.Voters:
        """Returns the voters of a map, all known VMs if it names none."""
        return known.voters or voters_lib.of(self._fleet.by_vm)

    # The local target.

    async def on_heartbeat(
        self, announcement: targets.Announcement
    ) -> announcements.Grant | None:
        """Adopts the newest heartbeat of the local target; returns its grant.

        Returns:
          All keys that the target is to hold; None, which renews no grant, if
          the authority to grant has run out.
        """
        await self._grants.observe_paced(announcement, self._clock)
        now_ms = self._clock.now_ms()
        hold_ms = self._hold_ms(now_ms)
        if hold_ms <= 0:
            return None
        ranges = self._grants.grant(
            hold_ms,
            now_ms,
            self._needs_reports(now_ms),
            lambda key: not self._hits[key],
        )
        return announcements.Grant(ranges, hold_ms)

    def _needs_reports(self, now_ms: int) -> bool:
        """Returns whether the target is to send its next heartbeat soon."""
        is_moving = bool(self._claims.pending_ranges) or (
            now_ms - self._own_rows_changed_ms < _FREQUENT_REPORTS_MS
        )
        return is_moving or self._gate.load().utilisation >= _BUSY_UTILISATION

    def _hold_ms(self, now_ms: int) -> int:
        """Returns for how long keys may be granted now; not at all if <= 0."""
        self._authority.retain(set(self._fleet.by_vm))
        confirmed_ms = self._authority.confirmed_ms(
            self._claims.map.version, self.voters
        )
        if confirmed_ms is None:
            return 0
        left_ms = confirmed_ms + claims_lib.AUTHORITY_MS - now_ms
        allowed_ms = int(left_ms / ledger_lib.CLOCK_FACTOR) - _GRANT_MARGIN_MS
        has_authority = allowed_ms > 0
        if has_authority != self._has_authority:
            self._has_authority = has_authority
            event = events.Event.AUTHORITY_LOST
            if has_authority:
                event = events.Event.AUTHORITY_BACK
            self._log.write(event, service=self.service, left_ms=left_ms)
        return min(grants_lib.HOLD_MS, self.bounds.hold_limit_ms, allowed_ms)

    def _is_target_up(self) -> bool:
        return self._gate.target.reachability is gate_lib.Reachability.UP

    # The map.

    def mark_listed(self) -> None:
        """Notes that the store has listed the map since this process began.

        From now on answers of this daemon can confirm that no newer map exists.
        """
        if self.is_established:
            self._authority.is_voter = True

    def adopt(self, stored_map: objects.Versioned) -> None:
        """Adopts the map in a stored object if it is newer."""
        if stored_map.version == self._version:
            return
        try:
            new = key_map.decode(stored_map.value)
        except ValueError as error:
            self._unreadable_objects.report(stored_map, error)
            return
        if new.version < self._claims.map.version:
            return
        if not self._may_adopt(new, stored_map.version):
            return
        self._version = stored_map.version
        if new.version == self._claims.map.version:
            return
        now_ms = self._clock.now_ms()
        old = self._claims.map
        self._claims.adopt(new)
        # What others knew in an earlier era of the store may be lost.
        if new.voters != old.voters or new.era != old.era:
            self._voters_version = new.version
        self._adopted_ms = now_ms
        if self._claims.pending_ranges:
            self._has_pending.set()
        own_rows = new.owned_by(self._settings.vm)
        if old.owned_by(self._settings.vm) != own_rows:
            self._own_rows_changed_ms = now_ms
        self._log.write(
            events.Event.KEY_MAP_ADOPTED,
            service=self.service,
            map_version=new.version,
            store_version=stored_map.version,
            own_rows=len(own_rows),
            waits=len(self._claims.pending_ranges),
        )

    def _may_adopt(self, new: key_map.KeyMap, version: ids.Version) -> bool:
        """Returns whether a map can be the newest one.

        A map that was restored from a copy may be older than maps that are
        lost. Once a restore is known, maps of earlier eras change nothing any
        more, so that what this daemon reports stays true.
        """
        if not restoration.is_established(new.era, stored.era_of(version)):
            return False
        is_present = restoration.is_established(new.era, self.store_era)
        return is_present or self.current_map is None

    def restoration_basis(self) -> tuple[key_map.KeyMap | None, bool]:
        """Returns the newest map known from before a restore of the store.

        Returns:
          The map, None if there is none; and whether it was in use, rather
          than read from the restored copy, which may be out of date.
        """
        replica = self._state.by_kind[stored.Kind.KEY_MAP]
        found = replica.by_key.get(self.key)
        current = self.current_map
        if found is None:
            return current, True
        try:
            other = key_map.decode(found.value)
        except ValueError:
            return current, True
        was_in_use = restoration.is_established(
            other.era, stored.era_of(found.version)
        )
        if current is None:
            return other, was_in_use
        if was_in_use and other.version > current.version:
            return other, True
        return current, True

    def owners_without_newer_map(
        self, basis: key_map.KeyMap
    ) -> set[ids.VmId] | None:
        """Returns the daemons that know a map and surely no newer one.

        Returns None if too few daemons have reported since the restore of the
        store, or one of them knows a newer map.
        """
        self._authority.retain(set(self._fleet.by_vm))
        known = self._authority.owners_without_newer_map(
            basis.version, self._voters_of(basis), self.store_era
        )
        current = self.current_map
        is_known_here = current is not None and current.version == basis.version
        if known is not None and is_known_here:
            known.add(self._settings.vm)
        return known

    def newest_reported(self) -> int:
        """Returns the highest version of a map that a daemon reported."""
        return self._authority.newest_reported()

    async def become_voter(self) -> None:
        """Confirms once that this process knows the newest map.

        From then on its answers count in a majority of daemons.
        """
        while not self._authority.is_voter:
            if self.current_map is None or not await self.confirmer.confirm():
                await self._clock.sleep_ms(_RENEW_RETRY_MS)
                continue
            # Without effect if the store was restored meanwhile.
            self.mark_listed()

    async def renew_authority(self) -> None:
        """Renews the authority to grant keys, until cancelled."""
        while True:
            if not self._needs_authority():
                await self._clock.sleep_ms(_NEED_CHECK_MS)
                continue
            confirmed_ms = await self.confirmer.confirm()
            if confirmed_ms is None:
                await self._clock.sleep_ms(_RENEW_RETRY_MS)
                continue
            self._authority.record_store_read(confirmed_ms)
            due_ms = confirmed_ms + _RENEW_INTERVAL_MS
            await self._clock.sleep_ms(
                max(_RENEW_RETRY_MS, due_ms - self._clock.now_ms())
            )

    def _needs_authority(self) -> bool:
        if self._settings.service != self.service:
            return False
        if self._grants.instance is None:
            return False
        return self.current_map is not None

    def apply_stored(self, stored_map: objects.Versioned) -> None:
        """Adds a map that the store holds to the local replica.

        The change of the replica then leads to `adopt`.
        """
        event = objects.Event(
            stored_map.key, stored_map.version, stored_map.value
        )
        self._state.apply_event(event, stored_map.version)

    # Handover of keys.

    async def request_releases(self) -> None:
        """Asks earlier owners to release keys of this VM, until cancelled."""
        while True:
            if not self._claims.pending_ranges:
                self._has_pending.clear()
                await self._has_pending.wait()
            await self._clock.sleep_ms(_RELEASE_INTERVAL_MS)
            self._expire_pending()
            by_previous: dict[ids.VmId, list[tuple[int, int, int]]] = {}
            for pending in self._claims.pending_ranges:
                ranges = by_previous.setdefault(pending.previous, [])
                ranges.append(
                    (pending.first, pending.last, pending.previous_fence)
                )
            for vm, ranges in by_previous.items():
                for part in slices.split(ranges):
                    await self._request_release(vm, tuple(part))

    def _expire_pending(self) -> None:
        """Ends waits for earlier owners whose grants have run out.

        When they run out is unknown until enough daemons know the map by which
        the keys moved, so all daemons are pinged until then.
        """
        now_ms = self._clock.now_ms()
        self._authority.retain(set(self._fleet.by_vm))
        self._claims.start_countdowns(self._excludes_stale_majority, now_ms)
        self._claims.expire(now_ms)
        has_unknown = any(
            pending.grants_expire_ms is None
            for pending in self._claims.pending_ranges
        )
        is_due = now_ms - self._pinged_ms >= _PING_INTERVAL_MS
        if (
            has_unknown
            and is_due
            and now_ms - self._adopted_ms >= _PING_AFTER_MS
        ):
            self._pinged_ms = now_ms
            self._links.ping_all()

    def _excludes_stale_majority(self, version: int) -> bool:
        return self.voters.needs_one_of(self._authority.informed(version))

    def on_map_report(
        self, vm: ids.VmId, report: authority_lib.MapReport
    ) -> None:
        """Records which version of the map another daemon knows."""
        self._authority.record_report(vm, report)
        is_newer = report.version > self._claims.map.version
        if is_newer and not self.is_established:
            self.on_newer_map(vm)

    def map_report(self) -> tuple[str, int, bool]:
        """Returns this daemon's report to other daemons about the map.

        Returns:
          The service, the version of the known map, and whether this daemon has
          read the map from the store since its process began.
        """
        return (
            self.service,
            self._claims.map.version,
            self._authority.is_voter,
        )

    async def _request_release(
        self, vm: ids.VmId, ranges: tuple[tuple[int, int, int], ...]
    ) -> None:
        version = self._claims.map.version
        try:
            async with asyncio.timeout(_RELEASE_TIMEOUT_MS / _MS_PER_S):
                reply = await self._links.call(
                    vm,
                    lambda number: frames.ReleaseQuery(
                        number, self.service, version, ranges
                    ),
                )
        except (TimeoutError, links_lib.PeerLost, links_lib.PeerUnreachable):
            return
        if isinstance(reply, frames.ReleaseReply) and reply.released:
            parts = (ledger_lib.ReleasedRange(*part) for part in reply.released)
            self._claims.record_release(
                claims_lib.Release(vm, version, tuple(parts))
            )
            if not self._claims.pending_ranges:
                self.on_settled(self._fleet.planner())

    def on_release_query(self, query: frames.ReleaseQuery) -> frames.Frame:
        """Returns which keys of a query the local target no longer holds."""
        released: list[tuple[int, int, str]] = []
        if self._claims.map.version >= query.map_version:
            now_ms = self._clock.now_ms()
            is_gone = (
                self._gate.target.reachability is gate_lib.Reachability.DOWN
            )
            left_tokens = grants_lib.MAX_TOKENS
            for first, last, fence in query.ranges:
                for part in self._grants.released(
                    first, last, fence, now_ms, is_gone, left_tokens
                ):
                    released.append((part.first, part.last, part.handover))
                    left_tokens -= bool(part.handover)
        if released:
            self._log.write(
                events.Event.KEYS_RELEASED,
                service=self.service,
                map_version=query.map_version,
                ranges=len(released),
                with_handover=sum(1 for each in released if each[2]),
            )
        return frames.ReleaseReply(query.number, tuple(released))

    # Load.

    async def report_load(self) -> None:
        """Reports rates of busy keys to `on_range_loads`, until cancelled."""
        while True:
            await self._clock.tick_ms(_LOAD_INTERVAL_MS)
            self.on_range_loads(tuple(self._measured_loads()))

    def _measured_loads(self) -> Iterator[tuple[int, int, float]]:
        now_ms = self._clock.now_ms()
        passed_s = max(1, now_ms - self._hits_since_ms) / _MS_PER_S
        hits, self._hits = self._hits, collections.Counter()
        self._hits_since_ms = now_ms
        total = hits.total()
        self._key_rate += _RATE_SMOOTHING * (total / passed_s - self._key_rate)
        # Only rows with load, so that the work does not grow with the fleet.
        rows = {self._claims.map.row_of(key): None for key in sorted(hits)}
        segments = balancing.split_by_load(rows, hits)
        for segment in segments:
            rate = round(segment.rate / passed_s, 1)
            yield segment.first, segment.last, rate
