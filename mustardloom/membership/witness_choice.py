"""Choice of the members that witness a lease."""

import collections
from collections.abc import Callable
from collections.abc import Collection
from collections.abc import Iterable
import enum

import xxhash

from mustardloom import ids
from mustardloom.membership import records

__all__ = [
    "MAX_WITNESSES",
    "WitnessRole",
    "choose_witnesses",
    "rendezvous_weight",
    "role_of",
]

MAX_WITNESSES = 3
# The least loaded of this many candidates with the highest rendezvous weights
# is chosen. That bounds the number of members per witness far better than the
# hash alone.
_TOP_CANDIDATES = 2


class WitnessRole(enum.Enum):
    """Location of a witness relative to its member."""

    OWN_ZONE = "own-zone"
    OTHER_ZONE = "other-zone"
    OTHER_REGION = "other-region"


def role_of(
    own: records.MemberRecord, other: records.MemberRecord
) -> WitnessRole:
    """Returns the role that `other` would have as a witness of `own`."""
    if other.region != own.region:
        return WitnessRole.OTHER_REGION
    if other.availability_zone != own.availability_zone:
        return WitnessRole.OTHER_ZONE
    return WitnessRole.OWN_ZONE


def rendezvous_weight(key: str, candidate: str) -> int:
    """Returns the rendezvous weight of a candidate for a key."""
    return int(xxhash.xxh64_intdigest(f"{key}\0{candidate}".encode()))


def choose_witnesses(
    own: records.MemberRecord,
    live: Iterable[records.MemberRecord],
    kept: Collection[ids.MemberId],
    avoided: Collection[ids.MemberId] = (),
) -> tuple[ids.MemberId, ...]:
    """Returns the witnesses that `own` is to have, at most three.

    The first kept witness of each role stays. A role without one gets the best
    candidate. The place of a role without any candidate goes to a further kept
    witness, or else to any other member.

    Args:
      own: The member that needs witnesses.
      live: All live members; those on the VM of `own` are ignored.
      kept: Current witnesses of `own` that may stay.
      avoided: Members that must not be added now.
    """
    others = [record for record in live if record.vm != own.vm]
    choice = _Choice(own, others, avoided)
    by_id = {record.member: record for record in others}
    for member in kept:
        if member in by_id:
            choice.keep(by_id[member])
    for role in WitnessRole:
        choice.fill(role)
    return choice.complete(kept)


class _Choice:
    """The witnesses chosen so far, by role."""

    def __init__(
        self,
        own: records.MemberRecord,
        others: list[records.MemberRecord],
        avoided: Collection[ids.MemberId],
    ):
        self._own = own
        self._avoided = set(avoided)
        self._by_role: dict[WitnessRole, ids.MemberId] = {}
        self._others = others
        self._load_by_id = collections.Counter(
            witness for record in others for witness in record.witnesses
        )

    def keep(self, record: records.MemberRecord) -> None:
        """Keeps a witness in its role, unless the role is taken."""
        self._by_role.setdefault(role_of(self._own, record), record.member)

    def fill(self, role: WitnessRole) -> None:
        """Adds the best candidate for a role, unless the role is taken."""
        if role in self._by_role:
            return
        taken = list(self._by_role.values())
        best = self._best_candidate(
            taken, lambda r: role_of(self._own, r) is role
        )
        if best is not None:
            self._by_role[role] = best

    def complete(
        self, kept: Collection[ids.MemberId]
    ) -> tuple[ids.MemberId, ...]:
        """Returns the witnesses, with other members for roles not taken."""
        chosen = [self._by_role[r] for r in WitnessRole if r in self._by_role]
        chosen.extend(member for member in kept if member not in chosen)
        del chosen[MAX_WITNESSES:]
        while len(chosen) < MAX_WITNESSES:
            best = self._best_candidate(chosen, lambda record: True)
            if best is None:
                break
            chosen.append(best)
        return tuple(chosen)

    def _best_candidate(
        self,
        taken: list[ids.MemberId],
        fits: Callable[[records.MemberRecord], bool],
    ) -> ids.MemberId | None:
        vms = {ids.vm_of(member) for member in taken}
        ranked = sorted(
            (
                record.member
                for record in self._others
                if record.member not in self._avoided
                and record.vm not in vms
                and record.state is not records.MemberState.LEAVING
                and fits(record)
            ),
            key=lambda member: rendezvous_weight(self._own.member, member),
            reverse=True,
        )
        best = ranked[:_TOP_CANDIDATES]
        return min(best, key=self._load_by_id.__getitem__, default=None)
