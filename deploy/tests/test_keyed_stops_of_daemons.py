"""Tests of overlapping stops of real daemons, for requests with keys."""

import asyncio
import signal

from deploy.tests import daemons
from deploy.tests import exchanges as exchanges_lib

_DEADLINE_MS = 12_000
_TAIL_WORK_S = 4.5
_SHORT_WORK_S = 0.3
_PACE_S = 0.05
_BETWEEN_STOPS_S = 1.3
_BEFORE_END_OF_NOTICE_S = 0.7
_USUAL_REQUESTS = 10


def test_two_stops_cut_a_longer_request_with_a_key(tmp_path):
    """Guards against a run that a daemon begins but cannot end (LOST).

    Requests of its route were short so far. It comes at the end of the notice
    of the daemon beside the target, and early in the stop of that of its
    caller, whose grace it does not exceed. No other target has its key.
    """

    async def play() -> None:
        async with daemons.Fleet(tmp_path, ["desk", "archive"]) as fleet:
            near, far = fleet.vms
            fleet.write_keyed(2)
            await fleet.await_version(2)
            far.target.work_s = _SHORT_WORK_S
            exchanges: list[exchanges_lib.Exchange] = []
            while (
                sum(each.status == 200 for each in exchanges) < _USUAL_REQUESTS
            ):
                await exchanges_lib.ask(near, exchanges, _DEADLINE_MS)
                await asyncio.sleep(_PACE_S)
            far.target.work_s = _TAIL_WORK_S
            far.send_signal(signal.SIGTERM)
            await asyncio.sleep(_BETWEEN_STOPS_S)
            near.send_signal(signal.SIGTERM)
            await asyncio.sleep(_BEFORE_END_OF_NOTICE_S)
            await exchanges_lib.ask(near, exchanges, _DEADLINE_MS)
            assert exchanges_lib.lost(fleet, exchanges) == []

    asyncio.run(play())
