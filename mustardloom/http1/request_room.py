"""Room in the account of memory for the request that a connection reads."""

from collections.abc import Callable

from mustardloom import memory_budget
from mustardloom.http1 import bodies
from mustardloom.http1 import messages
from mustardloom.http1 import request_heads

__all__ = ["RequestRoom"]


class RequestRoom:
    """Room for one request at a time, until it is handed on to be answered.

    Args:
      budget: The account.
      kind: What the requests belong to.
      on_evicted: Called when others need the room of one whose sender was
        silent.
    """

    def __init__(
        self,
        budget: memory_budget.MemoryBudget,
        kind: memory_budget.HoldKind,
        on_evicted: Callable[[], None],
    ):
        self._budget = budget
        self._kind = kind
        self._on_evicted = on_evicted
        self._hold: memory_budget.Hold | None = None
        # For header fields, if their number is unusual.
        self._fields_hold: memory_budget.Hold | None = None

    @property
    def size(self) -> int:
        """Bytes for which there is room."""
        return 0 if self._hold is None else self._hold.size

    def try_hold_pipelined(
        self, max_header_bytes: int, max_requests: int
    ) -> bool:
        """Takes room for a request that follows one without an answer.

        Such requests have a share of their own, and wait if there is no room,
        so that they take none from requests that come alone.

        Args:
          max_header_bytes: Size of the largest head.
          max_requests: Number of such requests of all connections.
        """
        if self._hold is not None:
            return True
        kind = memory_budget.HoldKind.PIPELINED
        if self._budget.holds_by_kind[kind] >= max_requests:
            return False
        size = max_header_bytes + 2 * bodies.INLINE_BYTES
        self._hold = self._budget.try_hold(size, kind)
        return self._hold is not None

    def try_hold(
        self, size: int, is_pipelined: bool, has_arrived: bool
    ) -> bool:
        """Takes room of a size, or changes the size.

        Args:
          size: Number of bytes.
          is_pipelined: Whether the request follows one without an answer.
          has_arrived: Whether all of it has arrived, so that its room is not
            taken away.
        """
        if self._hold is not None:
            return self._hold.resize(size)
        if is_pipelined:
            kind = memory_budget.HoldKind.PIPELINED
            self._hold = self._budget.try_hold(size, kind)
        elif has_arrived:
            self._hold = self._budget.try_hold(size, self._kind)
        else:
            self._hold = self._budget.try_hold_evictable(
                size, self._kind, self._on_evicted
            )
        return self._hold is not None

    def try_hold_fields(self, headers: list[messages.Header]) -> bool:
        """Takes room for header fields beyond a usual number."""
        if len(headers) <= request_heads.USUAL_FIELDS:
            return True
        self._fields_hold = self._budget.try_hold(
            request_heads.extra_fields_bytes(headers),
            memory_budget.HoldKind.HEADER_FIELDS,
        )
        return self._fields_hold is not None

    def hand_on(
        self,
    ) -> tuple[memory_budget.Hold | None, memory_budget.Hold | None]:
        """Returns the room of the request and of its fields.

        It is not taken away any more, and whoever answers gives it back.
        """
        hold, self._hold = self._hold, None
        if isinstance(hold, memory_budget.EvictableHold):
            hold.pin()
        fields_hold, self._fields_hold = self._fields_hold, None
        return hold, fields_hold

    def release(self) -> None:
        """Gives back the room."""
        for hold in (self._hold, self._fields_hold):
            if hold is not None:
                hold.release()
