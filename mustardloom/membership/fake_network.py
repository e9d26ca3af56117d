"""In-memory network for tests, driven by a fake clock."""

import asyncio
import random

from mustardloom import clock as clock_lib
from mustardloom import ids
from mustardloom import metrics as metrics_lib
from mustardloom.membership import datagrams
from mustardloom.membership import records
from mustardloom.relay import authentication

__all__ = ["FakeEndpoint", "FakeNetwork"]


class FakeNetwork:
    """Delivers datagrams with loss, delay and partitions.

    Attributes:
      delay_ms: One-way delay of each datagram.
      loss: Share of datagrams that are lost, from 0 to 1.
      delivered: Number of datagrams delivered so far.
      cut_pairs: Pairs of addresses between which all datagrams are lost.
    """

    def __init__(self, clock: clock_lib.Clock, seed: int = 0):
        self.delay_ms = 1
        self.loss = 0.0
        self.delivered = 0
        self.cut_pairs: set[frozenset[records.Address]] = set()
        self._clock = clock
        self._random = random.Random(seed)
        self._by_address: dict[records.Address, FakeEndpoint] = {}
        self._side_by_address: dict[records.Address, int] = {}
        self._tasks: set[asyncio.Task[None]] = set()

    def attach(
        self, address: records.Address, endpoint: "FakeEndpoint"
    ) -> None:
        """Binds an address to an endpoint.

        Raises:
          OSError: The address is in use.
        """
        if address in self._by_address:
            raise OSError(f"{address} is in use")
        self._by_address[address] = endpoint

    def detach(self, address: records.Address) -> None:
        """Releases an address; datagrams to it are lost."""
        self._by_address.pop(address, None)

    def partition(self, *sides: set[records.Address]) -> None:
        """Cuts the sides from each other and from all other addresses."""
        self._side_by_address = {
            address: number
            for number, side in enumerate(sides, start=1)
            for address in side
        }

    def heal(self) -> None:
        """Ends all partitions, also those of `cut_pairs`."""
        self._side_by_address = {}
        self.cut_pairs.clear()

    def transmit(
        self, source: records.Address, target: records.Address, data: bytes
    ) -> None:
        """Delivers `data` after the delay, unless it is lost."""
        if self._random.random() < self.loss:
            return
        task = asyncio.create_task(self._deliver(source, target, data))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _deliver(
        self, source: records.Address, target: records.Address, data: bytes
    ) -> None:
        await self._clock.sleep_ms(self.delay_ms)
        endpoint = self._by_address.get(target)
        if endpoint is None or not self._are_connected(source, target):
            return
        self.delivered += 1
        endpoint.deliver(data, source)

    def _are_connected(
        self, one: records.Address, other: records.Address
    ) -> bool:
        if frozenset((one, other)) in self.cut_pairs:
            return False
        sides = self._side_by_address
        return sides.get(one) == sides.get(other)


class FakeEndpoint(datagrams.DatagramEndpoint):
    """Endpoint on a fake network.

    A paused endpoint keeps the datagrams that arrive, as the socket of a
    stopped process does, and processes them on `resume`.
    """

    def __init__(
        self,
        network: FakeNetwork,
        address: records.Address,
        member: ids.MemberId,
        authenticator: authentication.Authenticator,
        metrics: metrics_lib.Metrics,
    ):
        super().__init__(member, authenticator, metrics)
        self.address = address
        self._network = network
        self._paused = False
        self._pending: list[tuple[bytes, records.Address]] = []
        network.attach(address, self)

    def deliver(self, data: bytes, source: records.Address) -> None:
        """Receives a datagram, or keeps it while paused."""
        if self._paused:
            self._pending.append((data, source))
            return
        self.receive(data, source)

    def pause(self) -> None:
        """Stops processing datagrams."""
        self._paused = True

    def resume(self) -> None:
        """Processes the datagrams that arrived while it was paused."""
        self._paused = False
        pending = self._pending
        self._pending = []
        for data, source in pending:
            self.receive(data, source)

    def close(self) -> None:
        """See base class."""
        self._network.detach(self.address)

    def _transmit(self, address: records.Address, data: bytes) -> None:
        self._network.transmit(self.address, address, data)
