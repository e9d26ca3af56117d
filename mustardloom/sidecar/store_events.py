"""Logs what becomes of the store, and passes it on to the other daemons."""

from collections.abc import Callable
from collections.abc import Coroutine
from typing import Any

from mustardloom import clock as clock_lib
from mustardloom import ids
from mustardloom.deployment import stored
from mustardloom.sidecar import events
from mustardloom.sidecar import shared_state
from mustardloom.sidecar import status_sender as status_sender_lib

__all__ = ["StoreEvents"]

_NO_AGE_MS = 0
_CHANGE_DELAY_MS = 1_000


class StoreEvents:
    """Handles losses, returns and odd answers of the store.

    Args:
      state: Replicas of the stored objects.
      status_sender: Sends the status of this daemon to the others.
      clock: Source of time.
      log: Log of this daemon.
      start: Runs a coroutine as a task.
    """

    def __init__(
        self,
        state: shared_state.SharedState,
        status_sender: status_sender_lib.StatusSender,
        clock: clock_lib.Clock,
        log: events.EventLog,
        start: Callable[[Coroutine[Any, Any, None]], None],
    ):
        self._state = state
        self._status_sender = status_sender
        self._clock = clock
        self._log = log
        self._start = start

    def on_change(self, answers: bool) -> None:
        """Handles that the store answers again, or no longer."""
        event = events.Event.STORE_LOST
        if answers:
            event = events.Event.STORE_BACK
        self._log.write(event)
        self._start(self._announce_change(answers))

    def on_restored(self, before: int, era: int) -> None:
        """Handles a store that came back from an older copy.

        Args:
          before: Era of the store so far.
          era: Its era from now on.
        """
        self._log.write(
            events.Event.STORE_RESTORED,
            era=era,
            before=before,
            versions=self._state.versions(),
        )
        self._start(self._read_restored())

    def on_objects_left_out(self, kind: stored.Kind, count: int) -> None:
        """Logs that objects in an answer of the store cannot be read."""
        self._log.write(
            events.Event.OBJECTS_LEFT_OUT, kind=kind.value, objects=count
        )

    def on_answer_ignored(
        self, kind: stored.Kind, found: ids.Version, known: ids.Version
    ) -> None:
        """Logs an answer of the store that is older than a known one."""
        self._log.write(
            events.Event.STORE_ANSWER_IGNORED,
            kind=kind.value,
            found=found,
            known=known,
        )

    async def _read_restored(self) -> None:
        """Lists what daemons write, so that they soon know of the restore."""
        for kind in (stored.Kind.KEY_MAP, stored.Kind.DAEMON):
            await self._state.refresh(kind, _NO_AGE_MS)

    async def _announce_change(self, answers: bool) -> None:
        """Tells all daemons that the store is lost or back, if it stays so.

        They choose the planner and the watchers by this. A single call that
        fails must not make another daemon plan.
        """
        await self._clock.sleep_ms(_CHANGE_DELAY_MS)
        if self._state.store_answers == answers:
            self._status_sender.broadcast()
