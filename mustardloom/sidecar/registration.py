"""Registers a daemon in the store, where other daemons find it."""

import asyncio

import msgspec

from mustardloom import clock as clock_lib
from mustardloom import ids
from mustardloom import objects
from mustardloom.deployment import stored
from mustardloom.sidecar import shared_state

__all__ = ["Registration", "register"]

_RETRY_MS = 500
_LIST_RETRY_MS = 500
_NO_AGE_MS = 0
_MS_PER_S = 1_000


class Registration:
    """Keeps the record of this daemon in the store and finds the others.

    Args:
      store: The store.
      state: Replicas of the stored objects.
      record: Record of this daemon.
      clock: Source of time.
    """

    def __init__(
        self,
        store: shared_state.ObjectStore,
        state: shared_state.SharedState,
        record: stored.DaemonRecord,
        clock: clock_lib.Clock,
    ):
        self._store = store
        self._state = state
        self._record = record
        self._clock = clock
        # Era of the store in which it held the record, None before that.
        self._registered_era: int | None = None
        # Whether the store's list has had the record since then.
        self._was_listed = False

    async def join(self) -> None:
        """Registers this daemon and lists the others.

        All list the records after they have written their own, so of any two
        daemons that start together one finds the other. A store that refuses
        the registration may still answer reads.
        """
        registering = asyncio.ensure_future(self.register())
        try:
            await self._list_daemons(registering)
        finally:
            registering.cancel()

    async def register(self) -> None:
        """Returns once the store holds the record of this daemon."""
        self._was_listed = False
        version = await register(self._store, self._record, self._clock)
        self._registered_era = stored.era_of(version)

    def is_lost(self) -> bool:
        """Returns whether the store has lost the record since `register`.

        A store that was restored from an older copy may lack it, and another
        daemon removes it if it cannot reach this one for long. The answer is
        true once for each loss.
        """
        if self._registered_era is None:
            return False
        replica = self._state.by_kind[stored.Kind.DAEMON]
        is_listed = self._version_in_store() != ids.NO_VERSION
        is_lost = not is_listed and (
            self._was_listed or replica.era > self._registered_era
        )
        self._was_listed = is_listed
        self._registered_era = max(self._registered_era, replica.era)
        return is_lost

    async def end(self) -> None:
        """Deletes the record of this daemon, which is not to start again.

        Raises:
          PlatformUnavailable: The store did not answer.
        """
        self._registered_era = None
        version = self._version_in_store()
        if version != ids.NO_VERSION:
            key = stored.key(stored.Kind.DAEMON, self._record.vm)
            await self._store.delete(key, version)

    def _version_in_store(self) -> ids.Version:
        replica = self._state.by_kind[stored.Kind.DAEMON]
        key = stored.key(stored.Kind.DAEMON, self._record.vm)
        return replica.version_in_store(key)

    async def _list_daemons(self, registering: "asyncio.Future[None]") -> None:
        """Lists the daemons until a list has begun after the registration."""
        while True:
            await asyncio.wait(
                (registering,), timeout=_LIST_RETRY_MS / _MS_PER_S
            )
            is_registered = registering.done()
            listed_ms = await self._state.refresh(
                stored.Kind.DAEMON, _NO_AGE_MS
            )
            if is_registered and listed_ms is not None:
                return
            if is_registered:
                await self._clock.sleep_ms(_LIST_RETRY_MS)


async def register(
    store: shared_state.ObjectStore,
    record: stored.DaemonRecord,
    clock: clock_lib.Clock,
) -> ids.Version:
    """Writes the record of a daemon unless the store already holds it.

    Most daemons are new, so the record is written without a read before.

    Returns:
      The version that the store holds of the record.
    """
    key = stored.key(stored.Kind.DAEMON, record.vm)
    value = msgspec.json.encode(record)
    expected = ids.NO_VERSION
    while True:
        try:
            result = await store.write(key, value, expected)
            if isinstance(result, objects.Written):
                return result.version
            found = result.current or await store.get(key)
        except objects.PlatformUnavailable:
            await clock.sleep_ms(_RETRY_MS)
            continue
        if found is not None and _is_record(found, record):
            return found.version
        expected = ids.NO_VERSION if found is None else found.version


def _is_record(
    stored_object: objects.Versioned, record: stored.DaemonRecord
) -> bool:
    try:
        found = stored.decode_daemon(stored_object.value)
    except ValueError:
        return False
    return found == record
