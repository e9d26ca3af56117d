"""The one account of the descriptors that a process has for its sockets.

A process may open a limited number of descriptors. Whoever is about to accept
or to open a connection takes one here first, so that no kind of connection can
take those that another kind needs: callers, however many come, leave enough for
other daemons, the target, the store and the checks of the platform.
"""

import asyncio
from collections.abc import Callable
import contextlib
import enum
import resource

__all__ = [
    "Descriptor",
    "DescriptorBudget",
    "OutOfDescriptors",
    "Share",
    "User",
    "capacity_for",
    "raise_system_limit",
    "system_limit",
    "unlimited",
]

# Descriptors of a process that the platform reserves for files.
_FILES = 200
# Files that the process itself may have open, out of the limit of the system.
_OWN_FILES = 64
# Listening sockets, and what the event loop needs.
_OWN_SOCKETS = 16
_MIN_CAPACITY = 128
_UNLIMITED = 1 << 62
# Pause between two attempts of whoever waits for a descriptor.
_RETRY_S = 0.02


class User(enum.Enum):
    """What a connection is for."""

    CALLERS = "callers"
    # Links to other daemons.
    DIALLED_PEERS = "dialled_peers"
    # Links of other daemons and bodies that they fetch.
    ACCEPTED_PEERS = "accepted_peers"
    # Bodies that are fetched from other daemons, for requests that run.
    FETCHES = "fetches"
    TARGET = "target"
    STORE = "store"
    READINESS = "readiness"
    METRICS = "metrics"
    ANNOUNCEMENTS = "announcements"


# Shares of the capacity that nobody else gets.
_GUARANTEED_DIVISOR_BY_USER = {
    User.DIALLED_PEERS: 48,
    User.ACCEPTED_PEERS: 48,
    User.FETCHES: 96,
    User.TARGET: 48,
    User.STORE: 160,
    User.READINESS: 160,
    User.METRICS: 160,
    User.ANNOUNCEMENTS: 160,
}
_MIN_GUARANTEED = 8
# Most that these may have, out of what is not guaranteed to others.
_MOST_DIVISOR_BY_USER = {
    User.CALLERS: 1,
    User.DIALLED_PEERS: 2,
    User.ACCEPTED_PEERS: 2,
    User.FETCHES: 2,
    User.TARGET: 2,
    User.READINESS: 8,
    User.METRICS: 8,
    User.ANNOUNCEMENTS: 8,
}


class OutOfDescriptors(OSError):
    """No descriptor is left for another connection of this user."""

    def __init__(self, user: User):
        super().__init__(f"no descriptor left for {user.value}")


class Descriptor:
    """One descriptor that is taken; given back by `release`."""

    __slots__ = ("_share",)

    def __init__(self, share: "Share"):
        self._share: Share | None = share

    def release(self) -> None:
        """Gives the descriptor back; without effect the second time."""
        share, self._share = self._share, None
        if share is not None:
            share.held -= 1


class Share:
    """The descriptors of one user.

    Attributes:
      user: What they are for.
      guaranteed: Number that nobody else gets.
      most: Most that it may have at a time.
      held: Number that it has now.
      waiting: Number of those who wait for one in `take_when_free`.
      refused: Connections that were not opened for want of a descriptor.
      waits: Times at which connections had to wait until they were accepted
        or opened.
      evicted: Idle connections that were closed for others.
      accept_errors: Errors of the system when a connection was accepted.
      last_error: The last one of these errors.
    """

    def __init__(
        self,
        budget: "DescriptorBudget",
        user: User,
        guaranteed: int,
        most: int,
    ):
        self.user = user
        self.guaranteed = guaranteed
        self.most = most
        self.held = 0
        self.waiting = 0
        self.refused = 0
        self.waits = 0
        self.evicted = 0
        self.accept_errors = 0
        self.last_error = ""
        self._budget = budget
        self._evictors: list[Callable[[], int]] = []
        self._turn = asyncio.Lock()

    def take(self) -> Descriptor:
        """Takes a descriptor for a connection that is opened.

        Idle connections are closed for it if there is no other.

        Raises:
          OutOfDescriptors: None is left.
        """
        found = self._take_or_evict()
        if found is None:
            self.refused += 1
            raise OutOfDescriptors(self.user)
        return found

    async def take_when_free(self) -> Descriptor:
        """Takes a descriptor; waits for its turn while there is none.

        Callers get no descriptor that somebody waits for.
        """
        self.waiting += 1
        try:
            async with self._turn:
                while (found := self._take_or_evict()) is None:
                    self.waits += 1
                    await asyncio.sleep(_RETRY_S)
                return found
        finally:
            self.waiting -= 1

    def try_take(self) -> Descriptor | None:
        """Takes a descriptor, or returns None if none is left.

        Example:
          >>> share = DescriptorBudget(200).share(User.STORE)
          >>> taken = [share.try_take() for _ in range(9)]
          >>> taken[-1] is None, share.held
          (True, 8)
          >>> taken[0].release()
          >>> share.held
          7
        """
        if not self._budget.has_room(self):
            return None
        self.held += 1
        return Descriptor(self)

    def _take_or_evict(self) -> Descriptor | None:
        found = self.try_take()
        if found is None and self.make_room():
            found = self.try_take()
        return found

    def make_room(self) -> bool:
        """Closes idle connections; returns whether there were any."""
        return self._budget.make_room(self)

    def add_evictor(self, evict: Callable[[], int]) -> None:
        """Adds a call that closes idle connections and returns how many."""
        self._evictors.append(evict)

    def evict(self) -> int:
        """Closes idle connections of this user; returns how many."""
        closed = sum(evict() for evict in self._evictors)
        self.evicted += closed
        return closed


class DescriptorBudget:
    """Divides the descriptors for sockets among their users.

    Each user gets its guaranteed share; what is left goes to whoever comes
    first, within bounds.

    Args:
      capacity: Number of descriptors for connections.
    """

    def __init__(self, capacity: int):
        self.capacity = capacity
        self._share_by_user = {user: self._new_share(user) for user in User}

    def share(self, user: User) -> Share:
        """Returns the share of a user."""
        return self._share_by_user[user]

    def shares(self) -> list[Share]:
        """Returns the shares of all users."""
        return list(self._share_by_user.values())

    def held(self) -> int:
        """Returns the number of descriptors that are taken."""
        return sum(share.held for share in self._share_by_user.values())

    def has_room(self, share: Share) -> bool:
        """Returns whether a user may take another descriptor."""
        if share.held < share.guaranteed:
            return True
        if share.held >= share.most:
            return False
        spoken_for = sum(
            max(each.held, each.guaranteed)
            for each in self._share_by_user.values()
        )
        if share.user is User.CALLERS:
            spoken_for += self._awaited()
        return spoken_for < self.capacity

    def _awaited(self) -> int:
        """Returns how many descriptors those who wait can get."""
        return sum(
            min(each.waiting, each.most - each.held)
            for each in self._share_by_user.values()
        )

    def make_room(self, share: Share) -> bool:
        """Closes idle connections, so that a user may take a descriptor.

        Those of the user itself, or of callers while it has less than its most.

        Returns:
          Whether some were closed.
        """
        if share.evict():
            return True
        callers = self._share_by_user[User.CALLERS]
        return share.held < share.most and callers.evict() > 0

    def _new_share(self, user: User) -> Share:
        divisor = _GUARANTEED_DIVISOR_BY_USER.get(user)
        guaranteed = 0
        if divisor is not None:
            guaranteed = max(_MIN_GUARANTEED, self.capacity // divisor)
        most_divisor = _MOST_DIVISOR_BY_USER.get(user)
        most = guaranteed
        if most_divisor is not None:
            most = max(guaranteed, self.capacity // most_divisor)
        return Share(self, user, guaranteed, most)


def capacity_for(max_descriptors: int) -> int:
    """Returns the number of connections of a process with this limit.

    Args:
      max_descriptors: Limit of the platform, files included. The limit of the
        system may be lower.
    """
    sockets = min(max_descriptors - _FILES, system_limit() - _OWN_FILES)
    return max(_MIN_CAPACITY, sockets - _OWN_SOCKETS)


def raise_system_limit(max_descriptors: int) -> None:
    """Raises the limit of the system on this process if it is lower.

    It stays as it is if the system refuses.

    Args:
      max_descriptors: Limit of the platform, files included.
    """
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    wanted = max_descriptors
    if hard != resource.RLIM_INFINITY:
        wanted = min(wanted, hard)
    if soft == resource.RLIM_INFINITY or soft >= wanted:
        return
    with contextlib.suppress(OSError, ValueError):
        resource.setrlimit(resource.RLIMIT_NOFILE, (wanted, hard))


def system_limit() -> int:
    """Returns how many descriptors the system lets this process have."""
    soft, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    return _UNLIMITED if soft == resource.RLIM_INFINITY else soft


def unlimited() -> Share:
    """Returns a share that never refuses, for processes without a limit."""
    return DescriptorBudget(_UNLIMITED).share(User.CALLERS)
