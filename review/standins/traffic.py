"""Clients that send one request after the other."""

import asyncio
import random

from standins import clients
from standins import configurations
from standins import fleet as fleet_lib

__all__ = ["Traffic"]

_KEYS = 65_536
_DEADLINE_MS = 1_200


class Traffic:
    """Clients of some machines, each with one kept connection.

    Args:
      fleet: The deployment.
      method: Method of the requests.
      path: Their path.
      pause_s: Pause between the requests of a client.
      is_keyed: Whether they carry a random key.
    """

    def __init__(
        self,
        fleet: fleet_lib.Fleet,
        method: str,
        path: str,
        pause_s: float,
        is_keyed: bool = False,
    ):
        self._fleet = fleet
        self._method = method
        self._path = path
        self._pause_s = pause_s
        self._is_keyed = is_keyed
        self._tasks: list[asyncio.Task] = []

    def start(self, vm: fleet_lib.Vm, count: int) -> None:
        """Starts clients on a machine."""
        self._tasks.extend(
            asyncio.ensure_future(self._run(vm)) for _ in range(count)
        )

    async def stop(self) -> None:
        """Stops all clients."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def _run(self, vm: fleet_lib.Vm) -> None:
        client = clients.Client(vm.outbound)
        try:
            while True:
                await self._send(vm, client)
                await asyncio.sleep(self._pause_s)
        finally:
            client.close()

    async def _send(self, vm: fleet_lib.Vm, client: clients.Client) -> None:
        more = {}
        if self._is_keyed:
            more["X-Shard-Key"] = str(random.randrange(_KEYS))
        body = b"" if self._method == "GET" else b"order"
        request_id, data = clients.request_bytes(
            self._method,
            configurations.HOST,
            self._path,
            _DEADLINE_MS,
            body,
            more,
        )
        note = self._fleet.record.note
        note("sent", vm=vm.name, request_id=request_id, **more)
        outcome = await client.send(request_id, data, _DEADLINE_MS / 1_000)
        note("answered", request_id=request_id, status=outcome.status)
