"""Stateful test of leases, witnesses and fencers under faults."""

import asyncio

import hypothesis
from hypothesis import stateful
from hypothesis import strategies

from mustardloom.membership.tests import simulation

PLACES = [
    ("pwani", "pwani-a"),
    ("pwani", "pwani-b"),
    ("ziwa", "ziwa-a"),
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
        return self.fleet.by_vm[f"vm-{number}"]

    @stateful.rule(steps=strategies.integers(1, 40))
    def advance(self, steps):
        self.runner.run(self.fleet.advance(steps * 50))

    @stateful.rule(number=VMS, steps=strategies.integers(20, 40))
    def pause(self, number, steps):
        self.process(number).pause()
        self.runner.run(self.fleet.advance(steps * 50))

    @stateful.rule()
    def resume(self):
        self.runner.run(self._resume())

    async def _resume(self):
        for process in self.fleet.by_vm.values():
            process.resume()

    @stateful.rule(number=VMS, steps=strategies.integers(0, 40))
    def restart(self, number, steps):
        self.fleet.kill(self.process(number))
        self.runner.run(self.fleet.advance(steps * 50))
        self.runner.run(self._start(number))

    async def _start(self, number):
        self.fleet.start_vm(number)

    @stateful.rule(number=VMS, store=strategies.booleans())
    def cut(self, number, store):
        process = self.process(number)
        self.fleet.network.partition({process.address})
        process.reaches_store = store

    @stateful.rule(delay_ms=strategies.sampled_from((1, 20, 400)))
    def delay_datagrams(self, delay_ms):
        self.fleet.network.delay_ms = delay_ms

    @stateful.rule(one=VMS, other=VMS)
    def lose_datagrams_between(self, one, other):
        pair = (self.process(one).address, self.process(other).address)
        self.fleet.network.cut_pairs.add(frozenset(pair))

    @stateful.rule()
    def heal(self):
        self.fleet.heal()

    @stateful.rule(is_up=strategies.booleans())
    def switch_store(self, is_up):
        self.fleet.store.is_up = is_up

    @stateful.rule(
        lost=strategies.integers(0, 2), late_ms=strategies.integers(0, 3_000)
    )
    def disturb_writes(self, lost, late_ms):
        self.fleet.store.lost_answers = lost
        self.fleet.store.late_until_ms = self.fleet.clock.now_ms() + late_ms

    @stateful.rule(lost=VMS, first=VMS, second=VMS)
    def fence(self, lost, first, second):
        self.runner.run(self._fence(lost, (first, second)))

    async def _fence(self, lost, fencers):
        member = self.process(lost).member
        for number in fencers:
            process = self.process(number)
            process.spawn(process.fencer.fence(member))

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
    # No shrinking: it takes minutes, and a generated case has few steps.
    phases=(hypothesis.Phase.generate,),
    max_examples=25,
    stateful_step_count=30,
    suppress_health_check=list(hypothesis.HealthCheck),
)
