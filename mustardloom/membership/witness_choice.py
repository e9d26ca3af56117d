"""Which members witness a lease."""

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
# The less loaded of this many rendezvous winners is chosen, which bounds the
# number of members per witness far better than the hash alone.
_PICKS = 2


class WitnessRole(enum.Enum):
    """Where a witness is, seen from its member."""

    OWN_ZONE = "own-zone"
    OTHER_ZONE = "other-zone"
    OTHER_REGION = "other-region"


def role_of(
    own: records.MemberRecord, other: records.MemberRecord
) -> WitnessRole:
    """Returns the role that `other` can have for `own`."""
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
    """Returns the witnesses that `own` shall have, at most three.

    A kept witness that fills a role stays. A role without one gets the best
    candidate; roles without any candidate are filled by kept witnesses, then
    by any other member.

    Args:
      own: The member.
      live: All live members; those on the VM of `own` are ignored.
      kept: Its witnesses that may stay.
      avoided: Members that shall not be added now.
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
    """Witnesses chosen so far."""

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
        """Keeps a witness for its role, unless the role is taken."""
        self._by_role.setdefault(role_of(self._own, record), record.member)

    def fill(self, role: WitnessRole) -> None:
        """Adds the best candidate for a role that is not taken."""
        if role in self._by_role:
            return
        taken = list(self._by_role.values())
        best = self._pick(taken, lambda r: role_of(self._own, r) is role)
        if best is not None:
            self._by_role[role] = best

    def complete(
        self, kept: Collection[ids.MemberId]
    ) -> tuple[ids.MemberId, ...]:
        """Returns the witnesses, with others in place of missing roles."""
        chosen = [self._by_role[r] for r in WitnessRole if r in self._by_role]
        chosen.extend(member for member in kept if member not in chosen)
        del chosen[MAX_WITNESSES:]
        while len(chosen) < MAX_WITNESSES:
            best = self._pick(chosen, lambda record: True)
            if best is None:
                break
            chosen.append(best)
        return tuple(chosen)

    def _pick(
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
        best = ranked[:_PICKS]
        return min(best, key=self._load_by_id.__getitem__, default=None)
