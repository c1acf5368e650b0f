"""Pool of outgoing connections to other processes, one per address."""

from __future__ import annotations

import asyncio

from result import Err, Ok, Result

from leadhollow.codes import Code
from leadhollow.failure import Failure, failure_from_number
from leadhollow.kernel.active_time import active_timeout
from leadhollow.observe.logs import get_logger
from leadhollow.settings.address import Address
from leadhollow.wire.codec import Frame
from leadhollow.wire.connection import Connection
from leadhollow.wire.generated.ttypes import Hello
from leadhollow.wire.handlers import HandlerTable
from leadhollow.wire.messages import Body, FrameKind
from leadhollow.wire.server import PROTOCOL_VERSION

DIAL_TIMEOUT_MS = 1_000
REDIAL_DELAY_S = 0.2

log = get_logger("peers")


class PeerPool:
    """Dials peers on demand and keeps one connection to each.

    Parameters
    ----------
    vm, failure_domain, token
        Identity of this process, sent in the handshake.
    handlers
        Handlers for calls that peers make over these connections.
    """

    __slots__ = (
        "_closed",
        "_connections",
        "_dial_locks",
        "_handlers",
        "_hello",
        "_no_dial_until_s",
        "_tasks",
        "_unreachable",
        "cut_addresses",
    )

    def __init__(self, *, vm: str, failure_domain: str, token: str, handlers: HandlerTable) -> None:
        self._hello = Hello(vm, failure_domain, token, PROTOCOL_VERSION)
        self._handlers = handlers
        self._connections: dict[str, Connection] = {}
        self._no_dial_until_s: dict[str, float] = {}
        self._dial_locks: dict[str, asyncio.Lock] = {}
        self._tasks: set[asyncio.Task[None]] = set()
        self._closed = False
        self._unreachable: set[str] = set()  # logged once until they are reached again
        self.cut_addresses: set[str] = set()  # for fault tests: these cannot be dialled

    async def connection(self, address: str) -> Result[Connection, Failure]:
        """Return the open connection to an address, dialling if there is none.

        Errors
        ------
        PEER_LOST
            The peer cannot be reached, or dialling it failed a moment ago.
        PEER_REFUSED
            The peer rejected the handshake.
        """
        existing = self._connections.get(address)
        if existing is not None and not existing.closed.is_set():
            return Ok(existing)
        lock = self._dial_locks.setdefault(address, asyncio.Lock())
        async with lock:
            existing = self._connections.get(address)
            if existing is not None and not existing.closed.is_set():
                return Ok(existing)
            loop = asyncio.get_running_loop()
            if self._closed or loop.time() < self._no_dial_until_s.get(address, 0.0):
                return Err(Failure(code=Code.PEER_LOST, detail=f"{address} failed a moment ago"))
            dialled = await self._dial(address)
            if dialled.is_err():
                self._no_dial_until_s[address] = loop.time() + REDIAL_DELAY_S
                self._record_unreachable(address, dialled.unwrap_err())
                return dialled
            self._connections[address] = dialled.unwrap()
            if address in self._unreachable:
                self._unreachable.discard(address)
                log.info("peer reached again", address=address)
            return dialled

    def _record_unreachable(self, address: str, failure: Failure) -> None:
        if address not in self._unreachable:
            self._unreachable.add(address)
            log.info("peer not reached", address=address, failure=str(failure))

    async def call(self, address: str, body: Body, *, timeout_ms: float) -> Result[Body, Failure]:
        """Send a request to an address and wait for its response."""
        connected = await self.connection(address)
        if connected.is_err():
            return Err(connected.unwrap_err())
        return await connected.unwrap().call(body, timeout_ms=timeout_ms)

    def post(self, address: str, body: Body) -> None:
        """Send a one-way message; if the peer must be dialled, this happens in the background.

        The message is dropped if the peer cannot be reached.
        """
        existing = self._connections.get(address)
        if existing is not None and not existing.closed.is_set():
            existing.oneway(body)
            return
        task = asyncio.get_running_loop().create_task(self._dial_and_post(address, body))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _dial_and_post(self, address: str, body: Body) -> None:
        connected = await self.connection(address)
        if connected.is_ok():
            connected.unwrap().oneway(body)

    async def stop(self) -> None:
        """Close every connection."""
        self._closed = True
        for connection in list(self._connections.values()):
            connection.close()
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def cut(self, addresses: set[str]) -> None:
        """Refuse connections to these addresses until the next call; for fault tests.

        An empty set allows all addresses again.
        """
        self.cut_addresses = set(addresses)
        for address in addresses:
            connection = self._connections.pop(address, None)
            if connection is not None:
                connection.close()

    async def _dial(self, address: str) -> Result[Connection, Failure]:
        if address in self.cut_addresses:
            return Err(Failure(code=Code.PEER_LOST, detail=f"{address} is cut off"))
        parsed = Address.parse(address)
        if parsed.is_err():
            return Err(parsed.unwrap_err())
        target = parsed.unwrap()
        connection: Connection | None = None
        try:
            async with active_timeout(DIAL_TIMEOUT_MS / 1000):
                reader, writer = await asyncio.open_connection(
                    target.host, target.port, limit=2**20
                )
                connection = Connection(reader=reader, writer=writer, handlers=self._handlers)
                connection.write(Frame(kind=FrameKind.REQUEST, call_id=0, body=self._hello))
                response = await connection.read_frame()
        except BaseException as error:
            if connection is not None:
                connection.close()
            if not isinstance(error, OSError | TimeoutError):
                raise
            return Err(Failure(code=Code.PEER_LOST, detail=f"{address}: {error or 'timeout'}"))
        checked = _check_handshake(address, response)
        if checked.is_err():
            connection.close()
            return Err(checked.unwrap_err())
        task = asyncio.get_running_loop().create_task(connection.run())
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return Ok(connection)


def _check_handshake(
    address: str, response: Result[Frame | None, Failure]
) -> Result[None, Failure]:
    if response.is_err():
        return Err(response.unwrap_err())
    frame = response.unwrap()
    if frame is None:
        return Err(Failure(code=Code.PEER_LOST, detail=f"{address} closed at the greeting"))
    if frame.kind is FrameKind.ERROR:
        return Err(failure_from_number(frame.code, f"{address}: {frame.detail}"))
    return Ok(None)


__all__ = ["PeerPool"]
