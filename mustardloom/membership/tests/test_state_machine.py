"""State machine over leases, witnesses and fencers under faults."""

import asyncio

import hypothesis
from hypothesis import stateful
from hypothesis import strategies

from mustardloom.membership.tests import simulation

PLACES = [
    ("pwani", "pwani-a"),
    ("pwani", "pwani-b"),
    ("ziwa", "ziwa-a"),
    ("ziwa", "ziwa-b"),
    ("kaskazini", "kaskazini-a"),
]
VMS = strategies.integers(0, len(PLACES) - 1)


class Faults(stateful.RuleBasedStateMachine):
    """Guards against a fenced member that holds its lease.

    `Fleet.check` runs at every write to the store and every 25 ms.
    """

    def __init__(self):
        super().__init__()
        self.runner = asyncio.Runner()
        self.fleet = self.runner.run(simulation.Fleet(PLACES).start(6_000))

    def process(self, number):
        return self.fleet.by_vm.get(f"vm-{number}")

    @stateful.rule(duration_ms=strategies.integers(1, 60))
    def advance(self, duration_ms):
        self.runner.run(self.fleet.advance(duration_ms * 50))

    @stateful.rule(number=VMS)
    def pause(self, number):
        if process := self.process(number):
            process.pause()

    @stateful.rule(number=VMS)
    def resume(self, number):
        if process := self.process(number):
            self.runner.run(self._resume(process))

    async def _resume(self, process):
        process.resume()

    @stateful.rule(number=VMS, wait_ms=strategies.integers(0, 2_000))
    def restart(self, number, wait_ms):
        if process := self.process(number):
            self.fleet.kill(process)
            self.runner.run(self.fleet.advance(wait_ms))
            self.runner.run(self._start(number))

    async def _start(self, number):
        self.fleet.start_vm(number)

    @stateful.rule(numbers=strategies.sets(VMS, min_size=1, max_size=2))
    def cut(self, numbers):
        self.fleet.cut([p for n in numbers if (p := self.process(n))])

    @stateful.rule(numbers=strategies.sets(VMS, min_size=1, max_size=2))
    def cut_without_store(self, numbers):
        cut = {p.address for n in numbers if (p := self.process(n))}
        self.fleet.network.partition(cut)

    @stateful.rule()
    def heal(self):
        self.fleet.network.loss = 0.0
        self.fleet.store.is_up = True
        self.fleet.heal()

    @stateful.rule()
    def lose_datagrams(self):
        self.fleet.network.loss = 0.3

    @stateful.rule()
    def stop_store(self):
        self.fleet.store.is_up = False

    @stateful.rule(lost=strategies.integers(0, 2))
    def disturb_store(self, lost):
        self.fleet.store.lost_answers = lost
        self.fleet.store.late_writes = 2 - lost

    @stateful.rule(lost=VMS, first=VMS, second=VMS)
    def fence(self, lost, first, second):
        self.runner.run(self._fence(lost, (first, second)))

    async def _fence(self, lost, fencers):
        target = self.process(lost)
        for number in fencers:
            process = self.process(number)
            if target is not None and process is not None:
                process.spawn(process.fencer.fence(target.member))

    @stateful.invariant()
    def fenced_means_not_held(self):
        self.fleet.check()

    def teardown(self):
        self.runner.run(self.fleet.close())
        self.runner.close()


TestFaults = Faults.TestCase
TestFaults.settings = hypothesis.settings(
    derandomize=True,
    database=None,
    deadline=None,
    max_examples=20,
    stateful_step_count=25,
    suppress_health_check=list(hypothesis.HealthCheck),
)
