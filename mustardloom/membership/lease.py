"""A member's view of its own lease."""

from mustardloom import clock as clock_lib
from mustardloom import ids

__all__ = ["LEASE_MS", "NO_EXPIRY_MS", "Lease", "WitnessSet", "quorum"]

# Validity of a lease after the send time of the acknowledged renewals.
LEASE_MS = 1_500
# Expiry of a lease that needs no witness.
NO_EXPIRY_MS = 2**62
_ENDED_MS = 0

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
    witness set whose write is undecided, has acknowledged renewals sent less
    than `LEASE_MS` ago. The expiry is computed when an acknowledgement
    arrives, so that the check on each request is one comparison.

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
        self._expires_ms = _ENDED_MS
        self._ended = False

    @property
    def recorded_witnesses(self) -> WitnessSet:
        """Witnesses of the record that is known to be in the store."""
        return self._recorded or ()

    def is_held(self) -> bool:
        """Tells whether the member may serve now."""
        return self._clock.now_ms() < self._expires_ms

    def expires_ms(self) -> int:
        """Returns the own time from which the lease is not held.

        It is `NO_EXPIRY_MS` without witnesses and 0 if never confirmed or
        ended.
        """
        return self._expires_ms

    def acknowledge(self, witness: ids.MemberId, sent_ms: int) -> None:
        """Records that a witness confirmed a renewal sent at `sent_ms`."""
        last_ms = self._sent_ms_by_witness.get(witness, sent_ms)
        self._sent_ms_by_witness[witness] = max(last_ms, sent_ms)
        self._compute()

    def acknowledged_ms(self, witness: ids.MemberId) -> int | None:
        """Returns the send time of the last renewal that was confirmed."""
        return self._sent_ms_by_witness.get(witness)

    def propose(self, witnesses: WitnessSet) -> None:
        """Requires a quorum of `witnesses` too, before they are written."""
        if witnesses not in self._undecided:
            self._undecided.append(witnesses)
        self._compute()

    def set_recorded(self, witnesses: WitnessSet) -> None:
        """Requires only the witnesses that are known to be in the store."""
        self._recorded = witnesses
        self._undecided.clear()
        self._compute()

    def witnesses(self) -> set[ids.MemberId]:
        """Returns all members whose confirmation counts."""
        return {w for group in self._groups() for w in group}

    def end(self) -> None:
        """Ends the lease for good."""
        self._ended = True
        self._compute()

    def _groups(self) -> list[WitnessSet]:
        return [self.recorded_witnesses, *self._undecided]

    def _compute(self) -> None:
        if self._ended or self._recorded is None:
            self._expires_ms = _ENDED_MS
            return
        self._expires_ms = min(self._expiry_of(g) for g in self._groups())

    def _expiry_of(self, witnesses: WitnessSet) -> int:
        if not witnesses:
            return NO_EXPIRY_MS
        sent_ms = sorted(
            (self._sent_ms_by_witness.get(w, -LEASE_MS) for w in witnesses),
            reverse=True,
        )
        return sent_ms[quorum(len(witnesses)) - 1] + LEASE_MS
