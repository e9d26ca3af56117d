"""Tests of bodies that pass through in pieces, from source to consumer."""

import asyncio
import itertools

import pytest

from mustardloom.http1 import bodies


def _run(scenario):
    async def run():
        body = bodies.Body(None, bodies.Turns())
        return await asyncio.wait_for(scenario(body), 10)

    return asyncio.run(run())


def test_source_waits_while_a_piece_is_unread():
    """Guards against a body that stands whole in the process."""

    async def scenario(body):
        body.feed(b"x" * bodies.PIECE_BYTES)
        assert body.is_full()
        await body.read()
        assert not body.is_full()
        await body.wait_for_room()

    _run(scenario)


@pytest.mark.parametrize("ends", ["fail", "close"])
def test_body_that_broke_off_is_never_read_to_an_end(ends):
    """Guards against a part of a body that is taken for the whole."""

    async def scenario(body):
        body.feed(b"part")
        assert await body.read() == b"part"
        getattr(body, ends)()
        for _ in range(2):
            with pytest.raises(bodies.BodyBroken):
                await body.read()
        return body.ended.result()

    assert _run(scenario) is False


def test_body_that_is_dropped_after_its_last_byte_arrived_is_not_whole():
    """Guards against a body of which the reader missed the end."""

    async def scenario(body):
        body.feed(b"all")
        body.end()
        body.close()
        with pytest.raises(bodies.BodyBroken):
            await body.read()

    _run(scenario)


def test_one_piece_passes_in_each_iteration_of_the_loop():
    """Guards against small requests that wait for all bodies at each step."""

    async def run():
        turns = bodies.Turns()
        order = []

        async def take(name):
            await turns.next(name)
            order.append(name)

        tasks = [asyncio.ensure_future(take(index)) for index in range(4)]
        tasks[1].cancel()
        seen = []
        while not all(task.done() for task in tasks):
            await asyncio.sleep(0)
            seen.append(len(order))
        return order, seen

    order, seen = asyncio.run(run())
    assert order == [0, 2, 3]
    steps = itertools.pairwise(seen)
    assert all(later - earlier <= 1 for earlier, later in steps)


def test_long_bodies_end_one_after_the_other():
    """Guards against many bodies that all miss their deadlines together."""

    async def run():
        turns = bodies.Turns()
        ended = []

        async def read(name, length):
            body = bodies.Body(length, turns)
            read_bytes = 0
            while read_bytes < length:
                body.feed(b"x" * bodies.PIECE_BYTES)
                read_bytes += len(await body.read())
            ended.append((name, turn.count))

        class Turn:
            count = 0

        turn = Turn()

        async def count():
            while True:
                turn.count += 1
                await asyncio.sleep(0)

        counting = asyncio.ensure_future(count())
        lengths = [40, 40, 2]
        await asyncio.gather(
            *(
                read(name, pieces * bodies.PIECE_BYTES)
                for name, pieces in enumerate(lengths)
            )
        )
        counting.cancel()
        return ended

    ended = asyncio.run(run())
    # The short one gets past, and the first long one ends halfway.
    assert [name for name, _ in ended] == [2, 0, 1]
    assert ended[1][1] < 0.6 * ended[2][1]


def test_time_without_a_byte_counts_only_while_one_is_wanted():
    """Guards against a slow consumer that is taken for a silent sender."""

    async def run():
        body = bodies.Body(4, bodies.Turns())
        body.feed(b"ab")
        await asyncio.sleep(0.01)
        assert body.stalled_s() == 0
        await body.read()
        assert body.stalled_s() == 0
        reading = asyncio.create_task(body.read())
        await asyncio.sleep(0.02)
        assert body.stalled_s() > 0
        body.feed(b"cd")
        assert await reading == b"cd"
        return body.stalled_s()

    assert asyncio.run(run()) == 0
