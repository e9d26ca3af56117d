"""Tests of what a witness confirms and states."""

import asyncio

from mustardloom.membership import datagrams
from mustardloom.membership.tests import simulation

DELAY_MS = 100


async def _start():
    return await simulation.Fleet([("pwani", "pwani-a")] * 3).start()


def test_lease_counts_from_the_send_time():
    """Guards against a lease that the delay of acknowledgements extends."""

    async def scenario():
        fleet = await _start()
        fleet.network.delay_ms = DELAY_MS
        await fleet.advance(2_000)
        lease = fleet.by_vm["vm-0"].incarnation.lease
        for _ in range(40):
            await fleet.advance(25)
            left_ms = lease.expires_ms() - fleet.clock.now_ms()
            assert left_ms <= 1_500 - 2 * DELAY_MS

    asyncio.run(scenario())


def test_member_whose_entry_was_dropped_is_refused():
    """Guards against a member that resumes after its entry was dropped."""

    async def scenario():
        fleet = await _start()
        requester, witness = fleet.by_vm["vm-0"], fleet.by_vm["vm-1"]
        answers: list[datagrams.Renewed] = []
        requester.endpoint.handle(
            datagrams.Renewed, lambda message, *_: answers.append(message)
        )
        dropped = fleet.new_member(requester.vm)
        requester.endpoint.start_incarnation(dropped)
        renew = datagrams.Renew(
            sender=dropped, receiver=witness.member, acknowledged=True
        )
        sequence = requester.endpoint.send(witness.address, renew)
        await fleet.advance(25)
        refused = {a.renewal: a.refused for a in answers}
        assert refused[sequence]

    asyncio.run(scenario())


def test_new_incarnation_answers_for_earlier_ones():
    """Guards against GONE while the process still confirms the lease."""

    async def scenario():
        fleet = await _start()
        member, witness = fleet.by_vm["vm-0"], fleet.by_vm["vm-1"]
        earlier = witness.member
        witness.endpoint.start_incarnation(fleet.new_member(witness.vm))
        stated = witness.table.make_statement(earlier, member.member)
        assert stated is datagrams.Statement.HELD
        other_process = fleet.new_member(witness.vm)
        stated = witness.table.make_statement(other_process, member.member)
        assert stated is datagrams.Statement.GONE

    asyncio.run(scenario())
