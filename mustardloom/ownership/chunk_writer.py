"""Writes chunks of the slot map conditionally."""

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
    """Writes changed entries, based on the chunk in the replica.

    The state found in the store is applied to the replica, so that the caller
    plans again from it.

    Args:
      replica: Replica that holds the chunks.
      platform: Client of the store.
      publish: Called with each change that was new to the replica.
      metrics: Counts writes by result.
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
          name: Chunk to write.
          changes: New entries by slot.
          size: Number of slots of the chunk, if it may have to be created.

        Returns:
          Whether the store answered. The result is in the replica: the entries
          written, those of another writer, or, after an undecided write, the
          state that the next write has to start from.
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
            return await self._apply_result(key, value, result)
        except objects.PlatformUnavailable:
            self._metrics.increment("ownership.store_unavailable")
            return False

    async def _apply_result(
        self, key: str, value: bytes, result: objects.WriteResult
    ) -> bool:
        match result:
            case objects.Written(version):
                self._metrics.increment("ownership.chunks_written")
                self._apply(objects.Event(key, version, value))
            case objects.Conflict(current):
                self._metrics.increment("ownership.chunk_conflicts")
                self._apply_found(current)
            case objects.Undecided():
                # The write may still take effect later. The next one expects
                # the same version, so only one of them can succeed.
                self._metrics.increment("ownership.chunks_undecided")
                self._apply_found(await self._platform.get(key))
        return True

    def _apply_found(self, found: objects.Versioned | None) -> None:
        if found is not None:
            event = objects.Event(found.key, found.version, found.value)
            self._apply(event)

    def _apply(self, event: objects.Event) -> None:
        # The replica may lack earlier changes of other objects, so its
        # watermark must not advance to the version of this event.
        watermark = self._replica.version
        if self._replica.apply([event], watermark, watermark).changed:
            self._publish(event)
