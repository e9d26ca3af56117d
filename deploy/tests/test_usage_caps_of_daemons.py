"""Tests that real daemons keep usage caps, by raw HTTP and counts at targets.

They need no type of the product.
"""

import asyncio
import contextlib
import time

from deploy.tests import daemons
from deploy.tests import raw_http
from soak import proxy as proxy_lib

_KEY = "2thhkm1stkey"
_RATE_PER_S = 20
_BURST = 10
_WINDOW_S = 5.0
# (rate x window + burst) x 1.1 + 20
_BOUND = 141
_CONNECTED_S = 4.0
_CUT_S = 8.0
_CALLERS = 3
_PAUSE_S = 0.02
_SAMPLE_S = 0.02
_ADOPTION_LIMIT_S = 10.0


async def _get(vm: daemons.Vm) -> dict[str, str]:
    """Returns the headers of the answer to a request of the organisation."""
    reader, writer = await asyncio.open_connection(*vm.caller_address)
    with contextlib.closing(writer):
        writer.write(
            f"GET /plans/1 HTTP/1.1\r\nHost: {raw_http.HOST}\r\n"
            f"X-Request-Id: {time.monotonic_ns()}-{vm.name}\r\n"
            f"X-Deadline-Ms: 2000\r\nX-Credential: {_KEY}\r\n\r\n".encode()
        )
        return await raw_http.read_headers(reader)


def _most_in_a_window(samples: list[tuple[float, int]]) -> int:
    """Returns the greatest increase of a count within a window."""
    return max(
        later - count
        for start_s, count in samples
        for end_s, later in samples
        if start_s <= end_s <= start_s + _WINDOW_S
    )


def test_cap_holds_while_all_daemons_are_cut_off_from_each_other(tmp_path):
    """Guards against a cap that each daemon grants in full, or not at all."""

    async def play() -> None:
        async with daemons.Fleet(
            tmp_path, ["archive"] * 3, has_proxies=True
        ) as fleet:
            fleet.write_configuration(
                2,
                [
                    {
                        "name": "pulo",
                        "api_keys": [_KEY],
                        "rate_per_s": _RATE_PER_S,
                        "burst": _BURST,
                    }
                ],
            )
            async with asyncio.timeout(_ADOPTION_LIMIT_S):
                while not all(
                    any(
                        event["event"] == "configuration-adopted"
                        and event["version"] == 2
                        for event in vm.events()
                    )
                    for vm in fleet.vms
                ):
                    await asyncio.sleep(_SAMPLE_S)
            statuses: set[str] = set()
            samples: list[tuple[float, int]] = []

            async def call(vm: daemons.Vm) -> None:
                while True:
                    headers = await _get(vm)
                    status = headers["first"].split()[1]
                    statuses.add(status)
                    if status == "429":
                        assert float(headers["retry-after"]) > 0
                    await asyncio.sleep(_PAUSE_S)

            async def sample() -> None:
                while True:
                    runs = sum(len(vm.target.runs) for vm in fleet.vms)
                    samples.append((time.monotonic(), runs))
                    await asyncio.sleep(_SAMPLE_S)

            tasks = [
                asyncio.create_task(call(vm))
                for vm in fleet.vms
                for _ in range(_CALLERS)
            ]
            tasks.append(asyncio.create_task(sample()))
            await asyncio.sleep(_CONNECTED_S)
            for vm in fleet.vms:
                vm.peer_link.set_mode(proxy_lib.Mode.RESET)
            cut_runs = samples[-1][1]
            await asyncio.sleep(_CUT_S)
            for task in tasks:
                assert not task.done() or task.exception() is None
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)
            assert {"200", "429"} <= statuses <= {"200", "429", "503"}
            # Each side goes on with the tokens of its own owners.
            assert samples[-1][1] - cut_runs >= _RATE_PER_S
            assert _most_in_a_window(samples) <= _BOUND
            assert not any(vm.has_ended() for vm in fleet.vms)

    asyncio.run(play())
