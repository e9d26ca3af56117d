"""Long bodies that pass from daemon to daemon in pieces.

A frame names such a body and does not contain it. The body stays with the
daemon that has it until the other one needs it and fetches it, over a
connection of its own: so a request that is refused still has its body, small
frames do not wait behind large bodies, and each body is slowed down by its own
reader only.
"""

import asyncio
import secrets

from mustardloom import clock as clock_lib
from mustardloom import descriptor_budget
from mustardloom import ids
from mustardloom import memory_budget
from mustardloom.deployment import settings
from mustardloom.http1 import bodies
from mustardloom.http1 import client
from mustardloom.http1 import messages
from mustardloom.http1 import server
from mustardloom.http1 import sockets
from mustardloom.sidecar import frames
from mustardloom.sidecar import small_requests

__all__ = ["PREFACE", "FetchedBody", "Transfers"]

# First byte of a connection that fetches a body. A link begins with compressed
# data, which cannot begin with it.
PREFACE = b"\xff"
_TOKEN_BYTES = 12
# Time for an opening packet that is dropped at a full queue and sent again
# after a second.
_CONNECT_TIMEOUT_MS = 2_000
_MS_PER_S = 1_000
_OK = 200
_NOT_FOUND = 404


class Transfers:
    """Offers bodies to other daemons and fetches theirs.

    Args:
      passage: How bodies pass through this process.
      clock: Source of time.
      fetch_share: Descriptors for the connections that it opens.
      accept_share: Descriptors for those that other daemons open.

    Attributes:
      server: Serves the bodies that are offered.
    """

    def __init__(
        self,
        passage: client.Passage,
        clock: clock_lib.Clock,
        fetch_share: descriptor_budget.Share | None = None,
        accept_share: descriptor_budget.Share | None = None,
    ):
        self.server = server.HttpServer(
            self._serve,
            clock,
            lambda: small_requests.LIMITS,
            budget=passage.budget,
            share=accept_share,
            kind=memory_budget.HoldKind.SERVICE,
        )
        self._fetch_share = fetch_share
        self._passage = passage
        self._clock = clock
        self._body_by_token: dict[str, bodies.BodySource] = {}

    def offer(self, body: bodies.BodySource) -> frames.Transfer:
        """Returns the name under which another daemon can fetch a body once."""
        token = secrets.token_urlsafe(_TOKEN_BYTES)
        self._body_by_token[token] = body
        if isinstance(body, bodies.Body):
            body.released.add_done_callback(
                lambda _: self._body_by_token.pop(token, None)
            )
        length = body.length
        return frames.Transfer(
            token, frames.UNKNOWN_LENGTH if length is None else length
        )

    def offered(self) -> int:
        """Returns the number of bodies that nobody has fetched yet."""
        return len(self._body_by_token)

    def is_busy(self) -> bool:
        """Returns whether a body is offered, or being fetched."""
        return bool(self._body_by_token) or self.server.is_busy()

    def withdraw(self, transfer: frames.Transfer) -> None:
        """Ends an offer; a body that is being fetched goes on."""
        self._body_by_token.pop(transfer.token, None)

    def fetch(
        self,
        vm: ids.VmId,
        address: settings.Address,
        transfer: frames.Transfer,
        deadline_ms: int,
    ) -> "FetchedBody":
        """Returns a body that another daemon offers.

        Args:
          vm: The VM of the other daemon.
          address: Where it listens for links.
          transfer: The body.
          deadline_ms: Local time at which the body is broken off.
        """
        return FetchedBody(
            vm,
            address,
            transfer,
            deadline_ms,
            self._passage,
            self._clock,
            self._fetch_share,
        )

    async def _serve(self, request: messages.Request) -> messages.Response:
        body = self._body_by_token.pop(request.target.removeprefix("/"), None)
        if body is None:
            return messages.Response(_NOT_FOUND)
        return messages.Response(_OK, rest=body)


class FetchedBody:
    """A body at another daemon; fetched when it is first read or opened.

    See `bodies.BodySource`.
    """

    def __init__(
        self,
        vm: ids.VmId,
        address: settings.Address,
        transfer: frames.Transfer,
        deadline_ms: int,
        passage: client.Passage,
        clock: clock_lib.Clock,
        share: descriptor_budget.Share | None = None,
    ):
        known = transfer.length != frames.UNKNOWN_LENGTH
        self.length = transfer.length if known else None
        self.is_taken = False
        self._vm = vm
        self._address = address
        self._token = transfer.token
        self._deadline_ms = deadline_ms
        self._passage = passage
        self._clock = clock
        self._share = share
        self._is_closed = False
        self._connection: client.Connection | None = None
        # Room for what the connection receives.
        self._window: memory_budget.Hold | None = None
        self._source: bodies.BodySource | None = None

    async def open(self) -> None:
        """Begins to fetch the body.

        Raises:
          BodyBroken: The other daemon cannot be reached or has it no more.
        """
        if self._is_closed:
            raise bodies.BodyBroken
        self.is_taken = True
        left_s = max(0, self._deadline_ms - self._clock.now_ms()) / _MS_PER_S
        try:
            async with asyncio.timeout(left_s):
                self._source = await self._request()
        except (
            client.ConnectFailed,
            client.ClosedEarly,
            client.Incomplete,
            TimeoutError,
        ) as error:
            self.close()
            raise bodies.BodyBroken(f"body at {self._vm}: {error!r}") from error
        except asyncio.CancelledError:
            self.close()
            raise
        timer = asyncio.get_running_loop().call_later(left_s, self.close)
        if isinstance(self._source, bodies.Body):
            self._source.released.add_done_callback(lambda _: timer.cancel())

    def stalled_s(self) -> float:
        """Returns for how long its consumer has waited for its source."""
        if isinstance(self._source, bodies.Body):
            return self._source.stalled_s()
        return 0.0

    async def read(self) -> bytes:
        """See `BodySource`."""
        if self._source is None:
            await self.open()
        assert self._source is not None
        return await self._source.read()

    def close(self) -> None:
        """See `BodySource`."""
        self._is_closed = True
        if self._source is not None:
            self._source.close()
        if self._connection is not None:
            self._connection.close()
        if self._window is not None:
            self._window.release()

    async def _request(self) -> bodies.BodySource:
        self._connection = await client.connect(
            self._address,
            _CONNECT_TIMEOUT_MS,
            self._unread_bytes(),
            self._share,
            may_wait=True,
        )
        request = messages.Request(
            "GET", f"/{self._token}", ((b"Host", b"transfer"),), b""
        )
        response = await self._connection.exchange(
            PREFACE + messages.encode_request(request), passage=self._passage
        )
        if response.status != _OK:
            raise client.Incomplete(f"status {response.status}")
        return response.rest or bodies.WholeBody(response.body)

    def _unread_bytes(self) -> int:
        """Returns how much may arrive at a time, by the room there is."""
        self._window = self._passage.budget.try_hold(
            sockets.REMOTE_UNREAD_BYTES,
            memory_budget.HoldKind.RECEIVE_WINDOW,
        )
        if self._window is None:
            return sockets.LOCAL_UNREAD_BYTES
        return sockets.REMOTE_UNREAD_BYTES
