"""Tests of the account of descriptors."""

import asyncio
import resource

import pytest

from mustardloom import descriptor_budget

_USERS = descriptor_budget.User


def _take_all(share: descriptor_budget.Share) -> int:
    count = 0
    while share.try_take() is not None:
        count += 1
    return count


@pytest.mark.parametrize("user", list(_USERS))
def test_one_user_takes_the_descriptors_of_all(user):
    """Guards against a kind of connection that leaves none to the others."""
    budget = descriptor_budget.DescriptorBudget(400)
    _take_all(budget.share(user))
    for other in _USERS:
        if other not in (user, _USERS.CALLERS):
            share = budget.share(other)
            assert _take_all(share) >= share.guaranteed > 0
    assert budget.held() <= budget.capacity


def test_callers_get_little_of_the_descriptors():
    """Guards against shares that refuse callers while descriptors are free."""
    budget = descriptor_budget.DescriptorBudget(3_884)
    assert _take_all(budget.share(_USERS.CALLERS)) >= 3_500


def test_descriptor_is_given_back_twice():
    """Guards against a close that is told twice and frees two."""
    share = descriptor_budget.DescriptorBudget(400).share(_USERS.TARGET)
    first, _ = share.take(), share.take()
    first.release()
    first.release()
    assert share.held == 1


def test_opening_fails_while_callers_are_idle():
    """Guards against idle callers that keep a link to a peer from opening."""
    budget = descriptor_budget.DescriptorBudget(400)
    callers = budget.share(_USERS.CALLERS)
    peers = budget.share(_USERS.DIALLED_PEERS)
    idle = []
    while (taken := callers.try_take()) is not None:
        idle.append(taken)

    def evict() -> int:
        idle.pop().release()
        return 1

    callers.add_evictor(evict)
    for _ in range(peers.guaranteed + 1):
        peers.take()
    assert callers.evicted == 1
    assert peers.refused == 0


def test_opening_without_a_descriptor_is_not_a_typed_failure():
    """Guards against an error that callers of `connect` do not expect."""
    budget = descriptor_budget.DescriptorBudget(400)
    share = budget.share(_USERS.DIALLED_PEERS)
    _take_all(share)
    with pytest.raises(descriptor_budget.OutOfDescriptors) as raised:
        share.take()
    assert isinstance(raised.value, OSError)
    assert share.refused == 1


def test_limit_of_the_system_is_exceeded(monkeypatch):
    """Guards against a capacity that the system does not give."""
    monkeypatch.setattr(resource, "getrlimit", lambda _: (1_024, 4_096))
    assert descriptor_budget.capacity_for(4_100) < 1_024
    assert descriptor_budget.capacity_for(600) < 400


def test_callers_take_what_a_fetch_waits_for():
    """Guards against a request that ran and gets no descriptor for its answer.

    The fetches get them in the order in which they came.
    """
    budget = descriptor_budget.DescriptorBudget(400)
    callers = budget.share(_USERS.CALLERS)
    fetches = budget.share(_USERS.FETCHES)
    got = []

    async def fetch(name: str) -> None:
        await fetches.take_when_free()
        got.append(name)

    async def play() -> None:
        last = callers.take()
        _take_all(callers)
        waiting = [asyncio.create_task(fetch(name)) for name in "ab"]
        await asyncio.sleep(0)
        last.release()
        assert callers.try_take() is None
        async with asyncio.timeout(5):
            await waiting[0]
        assert got == ["a"]
        waiting[1].cancel()
        await asyncio.gather(*waiting, return_exceptions=True)

    for _ in range(fetches.guaranteed):
        fetches.take()
    asyncio.run(play())
    assert fetches.waiting == 0
    assert budget.held() <= budget.capacity


def _asked_limits(monkeypatch, limits, wanted):
    """Returns the limits that the system was asked for."""
    asked = []
    monkeypatch.setattr(resource, "getrlimit", lambda _: limits)
    monkeypatch.setattr(
        resource, "setrlimit", lambda _, limits: asked.append(limits)
    )
    descriptor_budget.raise_system_limit(wanted)
    return asked


_INFINITY = resource.RLIM_INFINITY


@pytest.mark.parametrize(
    ("limits", "wanted", "asked"),
    [
        ((1_024, 1_048_576), 4_100, [(4_100, 1_048_576)]),
        ((1_024, 2_048), 4_100, [(2_048, 2_048)]),
        ((1_024, _INFINITY), 4_100, [(4_100, _INFINITY)]),
        ((8_192, 8_192), 4_100, []),
        ((4_100, 8_192), 4_100, []),
        ((_INFINITY, _INFINITY), 4_100, []),
    ],
)
def test_soft_limit_takes_most_of_the_descriptors(
    monkeypatch, limits, wanted, asked
):
    """Guards against a default of the system below what the platform gives."""
    assert _asked_limits(monkeypatch, limits, wanted) == asked


def test_refusal_of_a_higher_limit_ends_the_process(monkeypatch):
    """Guards against a start that fails where the limit may not be raised."""

    def refuse(*_):
        raise PermissionError

    monkeypatch.setattr(resource, "getrlimit", lambda _: (1_024, 4_096))
    monkeypatch.setattr(resource, "setrlimit", refuse)
    descriptor_budget.raise_system_limit(4_100)
    assert descriptor_budget.capacity_for(4_100) < 1_024


def test_target_gets_few_of_the_free_descriptors():
    """Guards against requests refused at the target while half are free."""
    budget = descriptor_budget.DescriptorBudget(400)
    assert _take_all(budget.share(_USERS.TARGET)) == 200
