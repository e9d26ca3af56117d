"""Ownership of the keys of one service: the map and the grants by it."""

import asyncio
import collections
from collections.abc import Callable
from collections.abc import Iterator
import dataclasses

from mustardloom import clock as clock_lib
from mustardloom import ids
from mustardloom import objects
from mustardloom.deployment import settings
from mustardloom.deployment import stored
from mustardloom.deployment import targets
from mustardloom.keys import authority as authority_lib
from mustardloom.keys import claims as claims_lib
from mustardloom.keys import key_map
from mustardloom.keys import ledger as ledger_lib
from mustardloom.keys import planning
from mustardloom.platform import announcements
from mustardloom.sidecar import events
from mustardloom.sidecar import fleet as fleet_lib
from mustardloom.sidecar import frames
from mustardloom.sidecar import gate as gate_lib
from mustardloom.sidecar import links as links_lib
from mustardloom.sidecar import shared_state

__all__ = ["Keyspace"]

# A hold outlasts a few lost heartbeats and a short restart of the daemon.
_HOLD_MS = 4_000
# What the timers of this process may be late.
_GRANT_MARGIN_MS = 50
# Authority is renewed by one read of the map this often.
_RENEW_MS = 2_000
_RENEW_RETRY_MS = 400
# A store that takes longer is asked by way of another daemon.
_AUTHORITY_CALL_MS = 800
# Keys that are free should not lie idle for longer than a request takes.
_RELEASE_INTERVAL_MS = 60
_RELEASE_CALL_MS = 400
# Earlier owners mostly answer within this time; afterwards it matters how many
# daemons know the map.
_ASK_AFTER_MS = 300
_ASK_INTERVAL_MS = 400
# Weight of the newest second in the rate of keyed requests.
_RATE_SMOOTHING = 0.6
_LOAD_INTERVAL_MS = 1_000
# The target is made to report often for so long after a change of the map,
# and while it is so busy that its keys may have to move.
_PACING_MS = 2_000
_PACING_LOAD = 0.6
_MS_PER_S = 1_000


# First key, last key, requests a second.
RangeLoads = tuple[tuple[int, int, float], ...]


class Keyspace:
    """Keys of one service, seen from one daemon.

    Every daemon keeps the map. The one beside a target of the service also
    grants keys to it; `planner.Planner` changes the map.

    Attributes:
      key: Key of the map in the store.
      bounds: Bounds in force.
      on_settled: Called with the planner once all keys have arrived.
      on_range_loads: Called with the busy parts of the local target's rows.
    """

    def __init__(
        self,
        service: ids.ServiceId,
        own: settings.Settings,
        store: shared_state.ObjectStore,
        state: shared_state.SharedState,
        fleet: fleet_lib.Fleet,
        links: links_lib.Links,
        gate: gate_lib.Gate,
        clock: clock_lib.Clock,
        log: events.EventLog,
    ):
        self.service = service
        self.bounds = own.bounds
        self._own = own
        self._store = store
        self._state = state
        self._fleet = fleet
        self._links = links
        self._gate = gate
        self._clock = clock
        self._log = log
        self.key = stored.key(stored.Kind.KEY_MAP, service)
        self._claims = claims_lib.Claims(own.vm)
        self._version = ids.NO_VERSION
        self._ledger: ledger_lib.GrantLedger | None = None
        self._authority = authority_lib.Authority()
        self._has_authority = False
        self._hits: collections.Counter[int] = collections.Counter()
        self._hits_since_ms = clock.now_ms()
        self._key_rate = 0.0
        # Keys left out of the last answer to make the target report soon.
        self._pacing_key: int | None = None
        self._last_pacing_key: int | None = None
        self._map_changed_ms = 0
        self.on_settled: Callable[[ids.VmId], None] = lambda _: None
        self._asked_ms = 0
        self._adopted_ms = 0
        self._has_waits = asyncio.Event()
        self.on_range_loads: Callable[[RangeLoads], None] = lambda _: None

    # Queries.

    @property
    def current_map(self) -> key_map.KeyMap | None:
        """Returns the newest map, None if there is none."""
        return self._claims.map if self._claims.map.version else None

    @property
    def store_version(self) -> ids.Version:
        """Returns the version of the map's object, `NO_VERSION` if none."""
        return self._version if self.current_map is not None else ids.NO_VERSION

    @property
    def local_instance(self) -> targets.TargetInstance | None:
        """Returns the run of the local target if it takes keys now."""
        if self._ledger is None or not self._is_target_alive():
            return None
        return self._ledger.instance

    @property
    def key_rate(self) -> float:
        """Returns the requests a second for keys of the local target."""
        return self._key_rate

    def pending_keys(self) -> int:
        """Returns the own keys that an earlier owner may hold still."""
        return sum(
            wait.last + 1 - wait.first for wait in self._claims.pending_ranges
        )

    def unreachable_keys(self) -> int:
        """Returns the keys that have no owner or none that can be asked."""
        return sum(
            row.width
            for row in self._claims.map.rows
            if not self._fleet.is_reachable(row.owner)
        )

    @property
    def settled_version(self) -> int:
        """Returns the version of the map if no key is on its way, else 0."""
        return 0 if self._claims.pending_ranges else self._claims.map.version

    def check(self, key: int) -> gate_lib.KeyCheck:
        """Returns whether the local target holds a key."""
        now_ms = self._clock.now_ms()
        if self._ledger is not None and self._ledger.is_granted(key, now_ms):
            return gate_lib.KeyCheck(True)
        row = self._claims.map.row_of(key)
        if row.owner != self._own.vm:
            return gate_lib.KeyCheck(False, owner=row.owner)
        for wait in self._claims.pending_ranges:
            if wait.first <= key <= wait.last:
                return gate_lib.KeyCheck(False, True, wait.previous)
        return gate_lib.KeyCheck(False, is_pending=self._is_target_alive())

    def count_request(self, key: int) -> None:
        """Counts a request for a key that the local target holds."""
        self._hits[key] += 1

    # The local target.

    def on_heartbeat(
        self, announcement: targets.Announcement
    ) -> announcements.Grant | None:
        """Returns what a heartbeat is granted; None renews nothing."""
        now_ms = self._clock.now_ms()
        ledger = self._ledger
        if ledger is None or ledger.instance != announcement.instance:
            ledger = self._new_ledger(announcement.instance, now_ms)
        ledger.observe(announcement, now_ms)
        self._claims.expire(now_ms)
        life = self._claims.map.instance_by_vm.get(self._own.vm)
        if life == announcement.instance:
            self._claims.record_held(announcement.held)
        hold_ms = self._hold_ms(now_ms)
        if hold_ms <= 0:
            return None
        rows = list(self._claims.grantable()) if life == ledger.instance else []
        rows = self._paced(rows, ledger, now_ms)
        ledger.grant(rows, hold_ms, now_ms)
        ranges = tuple(
            each for row in rows for each in self._claims.handovers(row)
        )
        return announcements.Grant(ranges, hold_ms)

    def _paced(
        self,
        rows: list[key_map.Row],
        ledger: ledger_lib.GrantLedger,
        now_ms: int,
    ) -> list[key_map.Row]:
        """Leaves out one idle key while keys move or the target is busy.

        A target that has to release keys reports again within 100 ms, and
        grants travel in the answers to its reports only.
        """
        if self._pacing_key is not None:
            key, self._pacing_key = self._pacing_key, None
            self._claims.record_release(ledger.handovers(key, key))
        is_moving = bool(self._claims.pending_ranges) or (
            now_ms - self._map_changed_ms < _PACING_MS
        )
        if not is_moving and self._gate.load().utilisation < _PACING_LOAD:
            return rows
        for index, row in enumerate(rows):
            if row.width > 1 and not self._hits[row.last]:
                if row.last == self._last_pacing_key:
                    continue
                self._pacing_key = self._last_pacing_key = row.last
                rows[index] = dataclasses.replace(row, last=row.last - 1)
                break
        return rows

    def _new_ledger(
        self, life: targets.TargetInstance, now_ms: int
    ) -> ledger_lib.GrantLedger:
        ledger = ledger_lib.GrantLedger(life)
        if self._ledger is None:
            # This process may have been restarted beside a running target.
            ledger.assume_held_until(
                now_ms + round(_HOLD_MS * ledger_lib.CLOCK_FACTOR)
            )
        self._ledger = ledger
        self._claims.drop_handovers()
        return ledger

    def _hold_ms(self, now_ms: int) -> int:
        """Returns for how long keys may be granted now."""
        self._authority.retain(set(self._fleet.by_vm))
        confirmed_ms = self._authority.confirmed_ms(
            self._claims.map.version, len(self._fleet.by_vm)
        )
        if confirmed_ms is None:
            return 0
        left_ms = confirmed_ms + claims_lib.AUTHORITY_MS - now_ms
        lawful_ms = int(left_ms / ledger_lib.CLOCK_FACTOR) - _GRANT_MARGIN_MS
        has_authority = lawful_ms > 0
        if has_authority != self._has_authority:
            self._has_authority = has_authority
            event = events.Event.AUTHORITY_LOST
            if has_authority:
                event = events.Event.AUTHORITY_BACK
            self._log.write(event, service=self.service, left_ms=left_ms)
        return min(_HOLD_MS, self.bounds.hold_limit_ms, lawful_ms)

    def _is_target_alive(self) -> bool:
        return self._gate.reachability is gate_lib.Reachability.UP

    # The map.

    def mark_listed(self) -> None:
        """Notes that the map was listed by the store in this life."""
        self._authority.is_voter = True

    def adopt(self, found: objects.Versioned) -> None:
        """Takes over the map in a stored object if it is newer."""
        if found.version <= self._version:
            return
        try:
            new = key_map.decode(found.value)
        except ValueError as error:
            self._log.write(
                events.Event.FAULT, object=found.key, error=repr(error)
            )
            return
        self._version = found.version
        if new.version <= self._claims.map.version:
            return
        now_ms = self._clock.now_ms()
        old = self._claims.map
        self._claims.adopt(new)
        self._adopted_ms = now_ms
        if self._claims.pending_ranges:
            self._has_waits.set()
        own_rows = new.owned_by(self._own.vm)
        if old.owned_by(self._own.vm) != own_rows:
            self._map_changed_ms = now_ms
        self._log.write(
            events.Event.KEY_MAP_ADOPTED,
            service=self.service,
            map_version=new.version,
            store_version=found.version,
            own_rows=len(own_rows),
            waits=len(self._claims.pending_ranges),
        )

    async def renew_authority(self) -> None:
        """Confirms again and again that the known map is the newest."""
        while True:
            if not self._needs_authority():
                await self._clock.sleep_ms(_RENEW_RETRY_MS)
                continue
            asked_ms = self._clock.now_ms()
            if await self.read_map():
                self._authority.record_store_read(asked_ms)
                await self._clock.sleep_ms(_RENEW_MS)
            else:
                await self._clock.sleep_ms(_RENEW_RETRY_MS)

    def _needs_authority(self) -> bool:
        if self._own.service != self.service or self._ledger is None:
            return False
        return self.current_map is not None

    async def read_map(self) -> bool:
        """Reads the map from the store, by way of another daemon if need be."""
        try:
            async with asyncio.timeout(_AUTHORITY_CALL_MS / _MS_PER_S):
                found = await self._store.get(self.key)
        except (objects.PlatformUnavailable, TimeoutError):
            return await self._read_map_by_peer()
        if found is not None:
            self.apply_stored(found)
        return found is not None

    async def _read_map_by_peer(self) -> bool:
        for vm in list(self._links.reachable_vms())[:3]:
            try:
                async with asyncio.timeout(_AUTHORITY_CALL_MS / _MS_PER_S):
                    reply = await self._links.call(
                        vm,
                        lambda number: frames.AuthorityQuery(
                            number, self.service
                        ),
                    )
            except (
                TimeoutError,
                links_lib.PeerLost,
                links_lib.PeerUnreachable,
            ):
                continue
            if isinstance(reply, frames.AuthorityReply) and reply.version:
                version = ids.Version(reply.version)
                self.apply_stored(
                    objects.Versioned(self.key, version, reply.value)
                )
                return True
        return False

    async def on_authority_query(
        self, query: frames.AuthorityQuery
    ) -> frames.Frame:
        """Reads the map for a daemon that the store does not answer."""
        try:
            found = await self._store.get(self.key)
        except objects.PlatformUnavailable:
            found = None
        if found is None:
            return frames.AuthorityReply(query.number, 0, b"")
        self.apply_stored(found)
        return frames.AuthorityReply(query.number, found.version, found.value)

    def apply_stored(self, found: objects.Versioned) -> None:
        """Adopts a map that is known to lie in the store."""
        event = objects.Event(found.key, found.version, found.value)
        self._state.apply_event(event, found.version)

    # Keys on their way.

    async def request_releases(self) -> None:
        """Asks earlier owners for the keys that are on their way here."""
        while True:
            if not self._claims.pending_ranges:
                self._has_waits.clear()
                await self._has_waits.wait()
            await self._clock.sleep_ms(_RELEASE_INTERVAL_MS)
            self._spread()
            by_previous: dict[ids.VmId, list[tuple[int, int, int]]] = {}
            for wait in self._claims.pending_ranges:
                spans = by_previous.setdefault(wait.previous, [])
                spans.append((wait.first, wait.last, wait.previous_fence))
            for vm, spans in by_previous.items():
                await self._ask_release(vm, tuple(spans))

    def _spread(self) -> None:
        now_ms = self._clock.now_ms()
        self._authority.retain(set(self._fleet.by_vm))
        self._claims.start_countdowns(self._is_blocking, now_ms)
        self._claims.expire(now_ms)
        unknown = any(
            wait.grants_expire_ms is None
            for wait in self._claims.pending_ranges
        )
        is_due = now_ms - self._asked_ms >= _ASK_INTERVAL_MS
        if unknown and is_due and now_ms - self._adopted_ms >= _ASK_AFTER_MS:
            self._asked_ms = now_ms
            self._links.ping_all()

    def _is_blocking(self, version: int) -> bool:
        return self._authority.excludes_stale_majority(
            version, len(self._fleet.by_vm)
        )

    def on_map_report(
        self, vm: ids.VmId, word: authority_lib.MapReport
    ) -> None:
        """Adopts which map another daemon knows."""
        self._authority.record_report(vm, word)

    def map_report(self) -> tuple[str, int, bool]:
        """Returns what other daemons are told of the map."""
        return (
            self.service,
            self._claims.map.version,
            self._authority.is_voter,
        )

    async def _ask_release(
        self, vm: ids.VmId, spans: tuple[tuple[int, int, int], ...]
    ) -> None:
        version = self._claims.map.version
        try:
            async with asyncio.timeout(_RELEASE_CALL_MS / _MS_PER_S):
                reply = await self._links.call(
                    vm,
                    lambda number: frames.ReleaseQuery(
                        number, self.service, version, spans
                    ),
                )
        except (TimeoutError, links_lib.PeerLost, links_lib.PeerUnreachable):
            return
        if version != self._claims.map.version:
            # The keys may have been back with the earlier owner meanwhile.
            return
        if isinstance(reply, frames.ReleaseReply) and reply.released:
            parts = [ledger_lib.ReleasedRange(*part) for part in reply.released]
            self._claims.record_release(parts)
            if not self._claims.pending_ranges:
                self.on_settled(self._fleet.planner())

    def on_release_query(self, query: frames.ReleaseQuery) -> frames.Frame:
        """Tells which keys the local target no longer holds."""
        released: list[tuple[int, int, str]] = []
        if self._claims.map.version >= query.map_version:
            for first, last, fence in query.ranges:
                released.extend(self._released(first, last, fence))
        if released:
            self._log.write(
                events.Event.KEYS_RELEASED,
                service=self.service,
                map_version=query.map_version,
                ranges=len(released),
                with_handover=sum(1 for each in released if each[2]),
            )
        return frames.ReleaseReply(query.number, tuple(released))

    def _released(
        self, first: int, last: int, fence: int
    ) -> Iterator[tuple[int, int, str]]:
        now_ms = self._clock.now_ms()
        own_rows = self._claims.map.owned_by(self._own.vm)
        if any(row.first <= last and first <= row.last for row in own_rows):
            return
        if not self._claims.can_confirm_release(first, last, fence):
            return
        ledger = self._ledger
        if ledger is None:
            return
        is_gone = self._gate.reachability is gate_lib.Reachability.DOWN
        if not is_gone and not ledger.holds_none(first, last, now_ms):
            return
        for part in ledger.handovers(first, last):
            yield (part.first, part.last, part.handover)

    # Load.

    async def report_load(self) -> None:
        """Tells again and again which keys are busy."""
        while True:
            await self._clock.sleep_ms(_LOAD_INTERVAL_MS)
            self.on_range_loads(tuple(self._measured_loads()))

    def _measured_loads(self) -> Iterator[tuple[int, int, float]]:
        now_ms = self._clock.now_ms()
        passed_s = max(1, now_ms - self._hits_since_ms) / _MS_PER_S
        hits, self._hits = self._hits, collections.Counter()
        self._hits_since_ms = now_ms
        total = hits.total()
        self._key_rate += _RATE_SMOOTHING * (total / passed_s - self._key_rate)
        segments = planning.split_by_load(self._claims.map.rows, hits)
        for segment in segments:
            rate = round(segment.rate / passed_s, 1)
            yield segment.first, segment.last, rate
