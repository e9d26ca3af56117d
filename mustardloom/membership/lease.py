"""A member's view of its own lease."""

from mustardloom import clock as clock_lib
from mustardloom import ids

__all__ = ["LEASE_MS", "NO_EXPIRY_MS", "Lease", "WitnessSet", "quorum"]

# Validity of a lease after the send time of the acknowledged renewals.
LEASE_MS = 1_500
# Expiry of a lease that needs no witness: it does not lapse.
NO_EXPIRY_MS = 2**62
_NOT_HELD_MS = 0

WitnessSet = tuple[ids.MemberId, ...]


def quorum(witness_count: int) -> int:
    """Returns how many of the witnesses have to confirm a lease.

    Example:
      >>> [quorum(n) for n in (1, 2, 3)]
      [1, 2, 2]
    """
    return witness_count // 2 + 1


class Lease:
    """Lease of one member, confirmed by its witnesses.

    The lease is held while a quorum of the recorded witnesses, and of each
    witness set whose write is undecided, has acknowledged renewals that were
    sent less than `LEASE_MS` ago. The expiry is computed when an
    acknowledgement arrives, so that each request needs only one comparison.

    Example:
      >>> lease = Lease(clock_lib.FakeClock(now_ms=1_000))
      >>> lease.set_recorded((ids.MemberId("w~1"),))
      >>> lease.is_held()
      False
      >>> lease.acknowledge(ids.MemberId("w~1"), sent_ms=900)
      >>> lease.expires_ms()
      2400
    """

    def __init__(self, clock: clock_lib.Clock):
        self._clock = clock
        self._sent_ms_by_witness: dict[ids.MemberId, int] = {}
        # None until the record of the member exists.
        self._recorded: WitnessSet | None = None
        self._undecided: list[WitnessSet] = []
        self._expires_ms = _NOT_HELD_MS
        self._ended = False

    @property
    def recorded_witnesses(self) -> WitnessSet:
        """Witnesses in the record that is known to be in the store."""
        return self._recorded or ()

    def is_held(self) -> bool:
        """Returns whether the member may serve now."""
        return self._clock.now_ms() < self._expires_ms

    def expires_ms(self) -> int:
        """Returns the local time from which the lease is not held.

        It is `NO_EXPIRY_MS` if the record has no witnesses, and 0 if the lease
        was never confirmed or has ended.
        """
        return self._expires_ms

    def acknowledge(self, witness: ids.MemberId, sent_ms: int) -> None:
        """Records that a witness confirmed a renewal sent at `sent_ms`."""
        last_ms = self._sent_ms_by_witness.get(witness, sent_ms)
        self._sent_ms_by_witness[witness] = max(last_ms, sent_ms)
        self._update_expiry()

    def acknowledged_ms(self, witness: ids.MemberId) -> int | None:
        """Returns the send time of the last confirmed renewal, or None."""
        return self._sent_ms_by_witness.get(witness)

    def add_undecided(self, witnesses: WitnessSet) -> None:
        """Also requires a quorum of `witnesses`.

        Called before the write that records them.
        """
        if witnesses not in self._undecided:
            self._undecided.append(witnesses)
        self._update_expiry()

    def set_recorded(self, witnesses: WitnessSet) -> None:
        """Requires only `witnesses`, which are known to be in the store."""
        self._recorded = witnesses
        self._undecided.clear()
        self._update_expiry()

    def witnesses(self) -> set[ids.MemberId]:
        """Returns the members of the recorded and the undecided sets."""
        return {w for witness_set in self._witness_sets() for w in witness_set}

    def end(self) -> None:
        """Ends the lease for good."""
        self._ended = True
        self._update_expiry()

    def _witness_sets(self) -> list[WitnessSet]:
        return [self.recorded_witnesses, *self._undecided]

    def _update_expiry(self) -> None:
        if self._ended or self._recorded is None:
            self._expires_ms = _NOT_HELD_MS
            return
        self._expires_ms = min(
            self._expiry_of(witnesses) for witnesses in self._witness_sets()
        )

    def _expiry_of(self, witnesses: WitnessSet) -> int:
        if not witnesses:
            return NO_EXPIRY_MS
        # A witness that never confirmed counts as sent at -LEASE_MS, that is,
        # as expired at 0.
        sent_ms = sorted(
            (self._sent_ms_by_witness.get(w, -LEASE_MS) for w in witnesses),
            reverse=True,
        )
        return sent_ms[quorum(len(witnesses)) - 1] + LEASE_MS
