"""Conditional writes of chunks of the slot map."""

from collections.abc import Callable
from collections.abc import Mapping

from mustardloom import ids
from mustardloom import metrics as metrics_lib
from mustardloom import objects
from mustardloom.ownership import slot_map
from mustardloom.relay import replica as replica_lib
from mustardloom.store import client as client_lib

__all__ = ["ChunkWriter", "Publish"]

Publish = Callable[[objects.Event], None]


class ChunkWriter:
    """Writes entries on top of the chunk that the replica has.

    Whatever is found in the store is applied to the replica, so that the caller
    plans again from there.
    """

    def __init__(
        self,
        replica: replica_lib.Replica,
        platform: client_lib.PlatformClient,
        publish: Publish,
        metrics: metrics_lib.Metrics,
    ):
        self._replica = replica
        self._platform = platform
        self._publish = publish
        self._metrics = metrics

    async def write(
        self,
        name: slot_map.ChunkName,
        changes: Mapping[ids.SlotIndex, slot_map.SlotEntry],
        size: int = 0,
    ) -> bool:
        """Writes all changes of a chunk in one conditional update.

        Args:
          name: The chunk.
          changes: New entries by slot.
          size: Slots of the chunk, if it may have to be created.

        Returns:
          Whether the store answered. The caller finds the result in the
          replica: its own entries, those of another writer, or, after an
          undecided write, the state that the next write has to start from.
        """
        key = slot_map.chunk_key(name)
        known = self._replica.get(key)
        old_value = known.value if known is not None else None
        entries = list(slot_map.decode_chunk(old_value)) if old_value else []
        entries.extend(slot_map.SlotEntry() for _ in range(size - len(entries)))
        start = name.index * slot_map.CHUNK_SLOTS
        for slot, entry in changes.items():
            entries[slot - start] = entry
        value = slot_map.encode_chunk(entries)
        expected = self._replica.version_of(key)
        try:
            result = await self._platform.update(key, value, expected)
            return await self._settle(key, value, result)
        except objects.PlatformUnavailable:
            self._metrics.increment("ownership.store_unavailable")
            return False

    async def _settle(
        self, key: str, value: bytes, result: objects.WriteResult
    ) -> bool:
        match result:
            case objects.Written(version):
                self._metrics.increment("ownership.chunks_written")
                self._adopt(objects.Event(key, version, value))
            case objects.Conflict(current):
                self._metrics.increment("ownership.chunk_conflicts")
                self._adopt_found(current)
            case objects.Undecided():
                # The write may still take effect later. The next one expects
                # the same version, so that only one of them can.
                self._metrics.increment("ownership.chunks_undecided")
                self._adopt_found(await self._platform.get(key))
        return True

    def _adopt_found(self, found: objects.Versioned | None) -> None:
        if found is not None:
            event = objects.Event(found.key, found.version, found.value)
            self._adopt(event)

    def _adopt(self, event: objects.Event) -> None:
        # Covers no range of versions: changes of other objects before this one
        # may be missing, so the watermark has to stay.
        watermark = self._replica.version
        if self._replica.apply([event], watermark, watermark).changed:
            self._publish(event)
