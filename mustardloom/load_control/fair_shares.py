"""Keeps one organisation from using up a target that several ask for.

Load pattern: a target gets more requests than it can finish, most of them from
one organisation, which may also have the highest priority. Without a rule it
fills the queue, and requests of the others are refused as often as its own, or
all of them if they are less urgent.

Two decisions prevent this. Of equally urgent requests, those of an
organisation that has few of them waiting go first (`level`), so that a short
wait is expected for them however long the queue is. And an organisation whose
requests are started much less often than those of all together is underserved:
its next request goes first whatever its priority (`ServedShares`).
"""

import dataclasses

from mustardloom import ids

__all__ = ["ServedShares", "level"]

# The requirement is a quarter; the rest is a margin for the requests that are
# refused between two that go first.
_MIN_RELATIVE_SHARE = 0.3
# An organisation has a few requests a minute at one of many targets, and each
# of its refusals has to be remembered until the next one.
_HALF_LIFE_MS = 10_000
# Decayed number of requests below which an organisation is forgotten; a single
# request is kept for five half-lives.
_MIN_OFFERED = 1 / 32


def level(waiting: int, capacity: int) -> int:
    """Returns the place of a request among equally urgent ones, 0 the first.

    Args:
      waiting: Requests of its organisation that wait for the target.
      capacity: Requests that the target runs at once.

    Example:
      >>> [level(waiting, capacity=4) for waiting in range(5)]
      [0, 0, 1, 1, 2]
    """
    return waiting // max(1, capacity // 2)


@dataclasses.dataclass(slots=True)
class _Counts:
    """Requests of the last seconds; earlier ones count less.

    Attributes:
      offered: Requests that were started or refused.
      started: Requests that were started.
    """

    offered: float = 0.0
    started: float = 0.0
    updated_ms: float = 0.0

    def record(self, was_started: bool, now_ms: float) -> None:
        self.decay(now_ms)
        self.offered += 1
        self.started += was_started

    def decay(self, now_ms: float) -> None:
        age_ms = max(0.0, now_ms - self.updated_ms)
        factor = 0.5 ** (age_ms / _HALF_LIFE_MS)
        self.offered *= factor
        self.started *= factor
        self.updated_ms = now_ms


class ServedShares:
    """How often requests of each organisation are started at one target.

    Example:
      >>> shares = ServedShares()
      >>> for _ in range(10):
      ...     shares.record("a", was_started=True, now_ms=0)
      >>> shares.record("b", was_started=False, now_ms=0)
      >>> [shares.is_underserved(name) for name in ("a", "b", "new")]
      [False, True, False]
    """

    def __init__(self) -> None:
        self._counts_by_organisation: dict[str, _Counts] = {}
        self._total = _Counts()
        self._swept_ms = 0.0

    def record(
        self,
        organisation: ids.OrganisationId | None,
        was_started: bool,
        now_ms: float,
    ) -> None:
        """Counts a request; without an organisation, it counts for none."""
        if organisation is None:
            return
        self._total.record(was_started, now_ms)
        counts = self._counts_by_organisation.setdefault(
            organisation, _Counts(updated_ms=now_ms)
        )
        counts.record(was_started, now_ms)
        if now_ms - self._swept_ms > _HALF_LIFE_MS:
            self._sweep(now_ms)

    def is_underserved(self, organisation: ids.OrganisationId | None) -> bool:
        """Returns whether its next request goes before those of others."""
        if organisation is None:
            return False
        counts = self._counts_by_organisation.get(organisation)
        if counts is None:
            return False
        # The counts of a ratio decay together, so its value does not.
        least = _MIN_RELATIVE_SHARE * self._total.started / self._total.offered
        return counts.started < least * counts.offered

    def _sweep(self, now_ms: float) -> None:
        """Forgets organisations that have sent nothing for some time."""
        self._swept_ms = now_ms
        for organisation, counts in list(self._counts_by_organisation.items()):
            counts.decay(now_ms)
            if counts.offered < _MIN_OFFERED:
                del self._counts_by_organisation[organisation]
