"""Registers a daemon in the store, where other daemons find it."""

import msgspec

from mustardloom import clock as clock_lib
from mustardloom import ids
from mustardloom import objects
from mustardloom.deployment import stored
from mustardloom.sidecar import shared_state

__all__ = ["register"]

_RETRY_MS = 500


async def register(
    store: shared_state.ObjectStore,
    record: stored.DaemonRecord,
    clock: clock_lib.Clock,
) -> None:
    """Writes the record of a daemon unless the store already holds it.

    Returns once the store holds it. Most daemons are new, so the record is
    written without a read before.
    """
    key = stored.key(stored.Kind.DAEMON, record.vm)
    value = msgspec.json.encode(record)
    expected = ids.NO_VERSION
    while True:
        try:
            result = await store.write(key, value, expected)
            if isinstance(result, objects.Written):
                return
            found = result.current or await store.get(key)
        except objects.PlatformUnavailable:
            await clock.sleep_ms(_RETRY_MS)
            continue
        if found is not None and _is_record(found, record):
            return
        expected = ids.NO_VERSION if found is None else found.version


def _is_record(
    stored_object: objects.Versioned, record: stored.DaemonRecord
) -> bool:
    try:
        found = msgspec.json.decode(
            stored_object.value, type=stored.DaemonRecord
        )
    except ValueError:
        return False
    return found == record
