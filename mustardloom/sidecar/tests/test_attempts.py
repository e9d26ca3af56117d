"""Tests of attempts at one request that go on beside each other."""

import asyncio

from mustardloom.http1 import bodies
from mustardloom.http1 import messages
from mustardloom.sidecar import attempts as attempts_lib
from mustardloom.sidecar import work

_OK = work.Answered(messages.Response(200))
_LIMIT_S = 5.0


async def _begin_overdue(attempts):
    """Begins an attempt that may stay unanswered; returns its rest."""
    rest: asyncio.Future[work.Outcome] = asyncio.Future()

    async def start():
        return work.Unanswered(rest)

    await attempts.begin(start)
    return rest


def test_fault_of_one_attempt_does_not_replace_the_answer_to_another():
    """Guards against an error in place of the answer of a target at work."""

    async def scenario():
        attempts = attempts_lib.Attempts(lambda _: None)
        rest = await _begin_overdue(attempts)

        async def start():
            await asyncio.sleep(0.05)
            return _OK

        rest.set_exception(ValueError("reason of a later release"))
        await attempts.begin(start)
        return await attempts.final_outcome(_LIMIT_S)

    assert asyncio.run(scenario()) is _OK


def test_fault_of_one_attempt_leaves_no_run_that_nobody_awaits():
    """Guards against a run that nobody awaits and nobody ends."""

    async def scenario():
        attempts = attempts_lib.Attempts(lambda _: None)
        rest = await _begin_overdue(attempts)
        has_ended = asyncio.Event()

        async def start():
            try:
                return await asyncio.Future()
            finally:
                has_ended.set()

        begun = asyncio.ensure_future(attempts.begin(start))
        await asyncio.sleep(0.01)
        rest.set_exception(ValueError("reason of a later release"))
        await asyncio.sleep(0.01)
        begun.cancel()
        await asyncio.gather(begun, return_exceptions=True)
        attempts.end()
        await asyncio.sleep(0.01)
        return has_ended.is_set()

    assert asyncio.run(scenario())


def test_body_of_a_merged_failure_is_dropped_when_the_caller_leaves():
    """Guards against a target that is kept busy for nobody until a deadline."""

    async def scenario():
        attempts = attempts_lib.Attempts(lambda _: None)
        body = bodies.Body(None, bodies.Turns())
        attempts.merge(work.Answered(messages.Response(500, rest=body)))
        await _begin_overdue(attempts)
        waiting = asyncio.ensure_future(attempts.final_outcome(_LIMIT_S))
        await asyncio.sleep(0.01)
        waiting.cancel()
        await asyncio.gather(waiting, return_exceptions=True)
        # As the router does.
        attempts.end()
        return body.is_dropped()

    assert asyncio.run(scenario())


def test_no_attempt_begins_after_an_earlier_one_was_answered():
    """Guards against a target that begins a run whose answer nobody needs.

    The earlier one was answered while another target was looked for.
    """

    async def scenario():
        attempts = attempts_lib.Attempts(lambda _: None)
        rest = await _begin_overdue(attempts)
        rest.set_result(_OK)
        begun = []

        async def start():
            begun.append(1)
            return await asyncio.Future()

        assert await attempts.begin(start) is _OK
        return begun

    assert asyncio.run(scenario()) == []
