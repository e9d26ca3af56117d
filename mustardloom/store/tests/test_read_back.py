"""Tests of lost answers, outages and competing writers on a fake clock."""

import asyncio
import dataclasses

import hypothesis
from hypothesis import stateful
from hypothesis import strategies
import pytest

from mustardloom import clock as clock_lib
from mustardloom import ids
from mustardloom import metrics as metrics_lib
from mustardloom import objects
from mustardloom.store import memory
from mustardloom.store import raw
from mustardloom.store import read_back


def _run(scenario):
    async def run():
        clock = clock_lib.FakeClock()
        store = memory.MemoryStore(clock)
        return await scenario(clock, store)

    return asyncio.run(run())


async def _finish(clock, call, limit_ms=30_000):
    task = asyncio.create_task(call)
    await clock.advance(limit_ms)
    return task.result()


def test_write_is_found_after_a_later_write_of_another_writer():
    """Guards against reporting a later write, or a conflict with it.

    The answer to the first write is lost, and another writer changes the object
    before the read-back.
    """

    async def scenario(clock, store):
        first = memory.MemoryPlatform(clock, store)
        other = memory.MemoryPlatform(clock, store)
        store.set_faults(memory.Faults(lose_answers=1))
        task = asyncio.create_task(first.update("a", b"1", ids.NO_VERSION))
        await asyncio.sleep(0)
        await asyncio.sleep(0)
        await asyncio.sleep(0)
        await other.update("a", b"2", ids.Version(1))
        await clock.advance(1_000)
        return await task, await first.get("a")

    result, found = _run(scenario)
    assert result == objects.Written(ids.Version(1))
    assert found.value == b"2"


def test_outage_leaves_the_write_undecided_until_it_is_resolved():
    """Guards against an outage reported as a conflict or a success."""

    async def scenario(clock, store):
        platform = memory.MemoryPlatform(clock, store)
        store.set_faults(memory.Faults(down=True))
        undecided = await _finish(
            clock, platform.update("a", b"1", ids.NO_VERSION)
        )
        unresolved = await _finish(clock, platform.resolve(undecided))
        store.set_faults(memory.Faults())
        return undecided, unresolved, await platform.resolve(unresolved)

    undecided, unresolved, resolved = _run(scenario)
    assert isinstance(undecided, objects.Undecided)
    assert unresolved == undecided
    assert resolved == objects.Written(ids.Version(1))


def test_late_write_is_recognised_when_it_is_repeated():
    """Guards against one write that takes effect twice.

    The first attempt reaches the slow store after the client gave up.
    """

    async def scenario(clock, store):
        platform = memory.MemoryPlatform(clock, store)
        store.set_faults(memory.Faults(slow_ms=10_000))
        undecided = await _finish(
            clock, platform.update("a", b"1", ids.NO_VERSION)
        )
        store.set_faults(memory.Faults())
        return undecided, await platform.resolve(undecided), store.version

    undecided, resolved, version = _run(scenario)
    assert isinstance(undecided, objects.Undecided)
    assert resolved == objects.Written(ids.Version(1))
    assert version == 1


def test_repeated_write_returns_the_result_of_the_first():
    """Guards against a conflict between two attempts of one write."""

    async def scenario(clock, store):
        write = objects.Write("a", b"1", ids.NO_VERSION, ids.OperationId("x"))
        first = await store.write(write)
        other = memory.MemoryPlatform(clock, store)
        await other.update("a", b"2", ids.Version(1))
        return first, await store.write(write), store.version

    first, second, version = _run(scenario)
    assert first == second == objects.Written(ids.Version(1))
    assert version == 2


class _ScriptedStore:
    """Raw store with prepared results of reads and writes."""

    def __init__(self, reads, writes):
        self._reads = iter(reads)
        self._writes = iter(writes)

    async def list_objects(self, prefix):
        raise NotImplementedError

    async def watch(self, after, wait_ms):
        raise NotImplementedError

    async def read(self, key):
        del key
        return next(self._reads)

    async def write(self, write):
        del write
        answer = next(self._writes)
        if isinstance(answer, Exception):
            raise answer
        return answer


def test_conflict_of_a_repeated_write_is_read_back():
    """Guards against a conflict reported although the write took effect.

    The first attempt takes effect but its answer is lost. Sixteen later writes
    displace its record before the second attempt, which then conflicts.
    """
    version = ids.Version(3)
    later = tuple(
        objects.RecordedWrite(ids.OperationId(str(n)), ids.Version(n))
        for n in range(5, 5 + raw.MAX_RECORDED_WRITES)
    )
    replaced = objects.Snapshot("a", later[-1].version, b"", later)
    script = _ScriptedStore(
        reads=[objects.Snapshot("a", version, b""), replaced],
        writes=[
            objects.PlatformUnavailable("answer lost"),
            objects.Conflict(replaced.live()),
        ],
    )

    async def scenario(clock, store):
        del store
        metrics = metrics_lib.Metrics()
        client = read_back.ReadBackClient(script, clock, metrics)
        return await _finish(clock, client.update("a", b"1", version))

    assert isinstance(_run(scenario), objects.Undecided)


def test_dropped_record_is_not_taken_for_a_conflict():
    """Guards against a conflict reported although the write took effect.

    Sixteen later writes have displaced the record of the write.
    """
    write = objects.Write("a", b"", ids.Version(3), ids.OperationId("ours"))
    later = tuple(
        objects.RecordedWrite(ids.OperationId(str(n)), ids.Version(n))
        for n in range(5, 5 + raw.MAX_RECORDED_WRITES)
    )
    found = objects.Snapshot("a", later[-1].version, b"", later)
    undecided = objects.Undecided(write.operation, write)
    assert read_back.outcome_from_read_back(write, found) == undecided
    theirs = ids.OperationId("theirs")
    known = (objects.RecordedWrite(theirs, ids.Version(3)), *later[1:])
    found = dataclasses.replace(found, operations=known)
    assert read_back.outcome_from_read_back(write, found) == objects.Conflict(
        found.live()
    )


def test_deleted_object_can_be_created_again():
    """Guards against keys that cannot be used again after a deletion."""

    async def scenario(clock, store):
        platform = memory.MemoryPlatform(clock, store)
        await platform.update("a", b"1", ids.NO_VERSION)
        await platform.delete("a", ids.Version(1))
        return await platform.update("a", b"2", ids.NO_VERSION)

    assert _run(scenario) == objects.Written(ids.Version(3))


def test_late_create_has_no_effect_after_creation_and_deletion():
    """Guards against a delayed create that takes effect after a deletion."""

    async def scenario(clock, store):
        late = objects.Write("a", b"0", ids.NO_VERSION, ids.OperationId("x"))
        platform = memory.MemoryPlatform(clock, store)
        await platform.update("a", b"1", ids.NO_VERSION)
        await platform.delete("a", ids.Version(1))
        return await store.write(late)

    assert _run(scenario) == objects.Conflict(None)


def test_watch_waits_for_changes_and_includes_deletions():
    """Guards against replicas that keep deleted objects."""

    async def scenario(clock, store):
        platform = memory.MemoryPlatform(clock, store)
        await platform.update("a", b"1", ids.NO_VERSION)
        pending_watch = asyncio.create_task(
            platform.watch(ids.Version(1), 5_000)
        )
        await clock.advance(1_000)
        assert not pending_watch.done()
        await platform.delete("a", ids.Version(1))
        empty_watch = platform.watch(ids.Version(2), 5_000)
        return await pending_watch, await _finish(clock, empty_watch)

    batch, empty_watch = _run(scenario)
    event = objects.Event("a", ids.Version(2), None)
    assert batch == objects.WatchBatch((event,), ids.Version(2))
    assert empty_watch == objects.WatchBatch((), ids.Version(2))


def test_pending_watch_fails_when_the_store_goes_down():
    """Guards against watches that stay pending during an outage."""

    async def scenario(clock, store):
        platform = memory.MemoryPlatform(clock, store)
        pending_watch = asyncio.create_task(
            platform.watch(ids.Version(0), 5_000)
        )
        await clock.advance(1_000)
        store.set_faults(memory.Faults(down=True))
        await clock.advance(1)
        with pytest.raises(objects.PlatformUnavailable):
            await pending_watch

    _run(scenario)


def test_read_of_a_slow_store_fails_as_unavailable():
    """Guards against reads without a time limit."""

    async def scenario(clock, store):
        platform = memory.MemoryPlatform(clock, store)
        store.set_faults(memory.Faults(slow_ms=60_000))
        with pytest.raises(objects.PlatformUnavailable):
            await _finish(clock, platform.get("a"))

    _run(scenario)


class _RecordingStore(memory.MemoryStore):
    """Store that records each write that took effect, in version order."""

    def __init__(self, clock):
        super().__init__(clock)
        self.effects = []

    def live_version(self, key):
        found = self._by_key.get(key, objects.Snapshot(key)).live()
        return found.version if found else ids.NO_VERSION

    def _store(self, found, write):
        self.effects.append((write, found.version))
        return super()._store(found, write)


class _OperationRecorder:
    """Raw store that records the operation ids of the writes sent to it."""

    def __init__(self, store):
        self._store = store
        self.operations = set()
        self.read = store.read
        self.list_objects = store.list_objects
        self.watch = store.watch

    async def write(self, write):
        self.operations.add(write.operation)
        return await self._store.write(write)


@dataclasses.dataclass
class _Attempt:
    recorder: _OperationRecorder
    client: read_back.ReadBackClient
    task: asyncio.Task[objects.WriteResult]


class StoreMachine(stateful.RuleBasedStateMachine):
    """Competing writers on a store with all of its faults.

    Guards against results that contradict what took effect: `Written` with
    another version, `Conflict` of a write that took effect, or a write that
    took effect twice.
    """

    def __init__(self):
        super().__init__()
        self._runner = asyncio.Runner()
        self._clock = clock_lib.FakeClock()
        self._recording_store = self._run(self._make_store())
        self._attempts = []
        self._values = 0

    async def _make_store(self):
        return _RecordingStore(self._clock)

    def _run(self, call):
        return self._runner.run(call)

    def _start(self, method, *arguments):
        recorder = _OperationRecorder(self._recording_store)
        client = read_back.ReadBackClient(
            recorder, self._clock, metrics_lib.Metrics()
        )

        async def start():
            call = getattr(client, method)(*arguments)
            task = asyncio.create_task(call)
            await asyncio.sleep(0)
            return task

        self._attempts.append(_Attempt(recorder, client, self._run(start())))

    @stateful.rule(key=strategies.sampled_from("ab"))
    def update(self, key):
        self._values += 1
        value = str(self._values).encode()
        self._start(
            "update", key, value, self._recording_store.live_version(key)
        )

    @stateful.rule(key=strategies.sampled_from("ab"))
    def delete(self, key):
        self._start("delete", key, self._recording_store.live_version(key))

    @stateful.rule(
        down=strategies.booleans(),
        slow_ms=strategies.sampled_from([0, 10, 900, 1_500, 4_000]),
        lose_answers=strategies.integers(0, 3),
    )
    def set_faults(self, down, slow_ms, lose_answers):
        faults = memory.Faults(down, slow_ms, lose_answers)

        async def change():
            self._recording_store.set_faults(faults)

        self._run(change())

    @stateful.rule(duration_ms=strategies.sampled_from([1, 30, 500, 2_000]))
    def advance(self, duration_ms):
        self._run(self._clock.advance(duration_ms))

    def teardown(self):
        async def settle():
            self._recording_store.set_faults(memory.Faults())
            await self._clock.advance(20_000)
            for attempt in self._attempts:
                await self._check(attempt)

        self._run(settle())
        self._check_versions()
        self._runner.close()

    async def _check(self, attempt):
        result = attempt.task.result()
        if isinstance(result, objects.Undecided):
            call = attempt.client.resolve(result)
            result = await _finish(self._clock, call)
        made = [
            ids.Version(index + 1)
            for index, (write, _) in enumerate(self._recording_store.effects)
            if write.operation in attempt.recorder.operations
        ]
        match result:
            case objects.Written(version):
                assert made == [version]
            case objects.Conflict():
                assert made == []
            case objects.Undecided(_, objects.Write() as write):
                assert len(made) <= 1
                changes = [e for e, _ in self._recording_store.effects]
                of_key = [e for e in changes if e.key == write.key]
                assert len(of_key) >= raw.MAX_RECORDED_WRITES

    def _check_versions(self):
        last: dict[str, ids.Version] = {}
        for index, (write, previous) in enumerate(
            self._recording_store.effects
        ):
            assert write.expected == previous
            assert previous == last.get(write.key, ids.NO_VERSION)
            last[write.key] = ids.Version(index + 1)


StoreMachine.TestCase.settings = hypothesis.settings(
    derandomize=True,
    max_examples=150,
    stateful_step_count=25,
    deadline=None,
    database=None,
)
TestStore = StoreMachine.TestCase
