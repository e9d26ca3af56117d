"""Which daemons vote on the newest key map, and how their set changes.

A daemon that cannot reach the store grants keys as long as a majority confirms
that its key map is the newest one. The map itself names who votes. A change of
the voters takes two majorities, of the set before and of the new one, so that
two maps that follow each other never have majorities without a common member.
See `docs/design/voters.md`.
"""

from collections.abc import Iterable
from collections.abc import Iterator
from collections.abc import Set
import dataclasses

from mustardloom import ids

__all__ = ["Voters", "change", "majority_of", "of"]


@dataclasses.dataclass(frozen=True, slots=True)
class Voters:
    """VMs whose daemons vote on a map.

    Attributes:
      latest: Those of the latest change.
      before: Those before it.

    Example:
      >>> Voters(frozenset("abc"), frozenset("abcd")).has_majority({"a", "b"})
      False
    """

    latest: frozenset[ids.VmId]
    before: frozenset[ids.VmId]

    def all(self) -> frozenset[ids.VmId]:
        """Returns the VMs of both sets."""
        return self.latest | self.before

    def has_majority(self, vms: Set[ids.VmId]) -> bool:
        """Returns whether VMs are a majority of each set."""
        return all(
            len(voters & vms) >= majority_of(voters) for voters in self.sets()
        )

    def needs_one_of(self, vms: Set[ids.VmId]) -> bool:
        """Returns whether no majority of either set lacks all of these VMs."""
        return all(
            len(voters - vms) < majority_of(voters) for voters in self.sets()
        )

    def sets(self) -> Iterator[frozenset[ids.VmId]]:
        """Yields the sets of which a decision needs a majority each."""
        yield self.latest
        if self.before != self.latest:
            yield self.before


def of(vms: Iterable[ids.VmId]) -> Voters:
    """Returns voters that are not changing."""
    voters = frozenset(vms)
    return Voters(voters, voters)


def majority_of(voters: Set[ids.VmId]) -> int:
    """Returns the size of the smallest majority.

    Example:
      >>> majority_of({"a", "b", "c", "d"})
      3
    """
    return len(voters) // 2 + 1


def change(
    known: Voters, wanted: Set[ids.VmId], informed: Set[ids.VmId]
) -> Voters:
    """Returns the voters of the next map.

    Args:
      known: Voters of the newest map.
      wanted: VMs that are to vote.
      informed: VMs whose daemons know a map with the known voters. Without
        them no majority must be possible, or an earlier map might still have
        one after the next change.
    """
    if not wanted or not known.needs_one_of(informed):
        return known
    return Voters(frozenset(wanted), known.latest)
