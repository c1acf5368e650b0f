"""Server for connections from other leadhollow processes."""

from __future__ import annotations

import asyncio
import hmac

from result import Err, Ok, Result

from leadhollow.codes import Code
from leadhollow.failure import Failure
from leadhollow.kernel.active_time import active_timeout
from leadhollow.observe.logs import get_logger
from leadhollow.observe.repeated_line import RepeatedLine
from leadhollow.settings.address import Address
from leadhollow.wire.codec import Frame
from leadhollow.wire.connection import Connection
from leadhollow.wire.generated.ttypes import Done, Hello
from leadhollow.wire.handlers import HandlerTable
from leadhollow.wire.messages import FrameKind

PROTOCOL_VERSION = 1
HANDSHAKE_TIMEOUT_S = 5.0

log = get_logger("wire")


class WireServer:
    """Accepts connections, checks the handshake and serves calls.

    Parameters
    ----------
    max_unproven
        Largest number of connections whose peer has not proved who it is; a further one ends the
        oldest of them. None without a bound.
    """

    __slots__ = (
        "_connections",
        "_ended_unproven",
        "_handlers",
        "_max_unproven",
        "_server",
        "_stopped",
        "_tasks",
        "_token",
        "_unproven",
        "address",
    )

    def __init__(
        self,
        *,
        address: Address,
        token: str,
        handlers: HandlerTable,
        max_unproven: int | None = None,
    ) -> None:
        self.address = address
        self._max_unproven = max_unproven
        self._unproven: dict[Connection, None] = {}  # in the order of their start
        self._ended_unproven = RepeatedLine(
            log=log, message="connections closed: too many without a handshake"
        )
        self._token = token
        self._handlers = handlers
        self._server: asyncio.Server | None = None
        self._stopped = False
        self._connections: set[Connection] = set()
        self._tasks: set[asyncio.Task[None]] = set()

    async def start(self) -> Result[None, Failure]:
        """Open the listener; port 0 takes a free port."""
        try:
            self._server = await asyncio.start_server(
                self._on_accept, self.address.host, self.address.port, limit=2**20
            )
        except OSError as error:
            return Err(Failure(code=Code.ADDRESS_IN_USE, detail=f"{self.address}: {error}"))
        port = self._server.sockets[0].getsockname()[1]
        self.address = Address(host=self.address.host, port=port)
        return Ok(None)

    async def stop(self) -> None:
        """Close the listener and all connections, including one that was just accepted."""
        self._stopped = True
        if self._server is not None:
            self._server.close()
        for connection in list(self._connections):
            connection.close()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def _on_accept(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Start the task of a connection; asyncio would log the cancellation of its own task."""
        task = asyncio.get_running_loop().create_task(self._serve(reader, writer))
        self._tasks.add(task)
        task.add_done_callback(self._on_task_done)

    def _on_task_done(self, task: asyncio.Task[None]) -> None:
        self._tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            log.error("connection task failed", error=repr(task.exception()))

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        connection = Connection(reader=reader, writer=writer, handlers=self._handlers)
        if self._stopped:
            connection.close()  # its task had not started when stop() closed the others
            return
        self._connections.add(connection)
        try:
            accepted = await self._handshake_in_turn(connection)
            if accepted.is_err():
                failure = accepted.unwrap_err()
                log.warning("handshake rejected", peer=connection.peer_name, failure=str(failure))
                connection.close()
                return
            await connection.run()
        finally:
            self._connections.discard(connection)

    async def _handshake_in_turn(self, connection: Connection) -> Result[None, Failure]:
        if self._max_unproven is not None and len(self._unproven) >= self._max_unproven:
            oldest = next(iter(self._unproven))
            del self._unproven[oldest]
            oldest.close()
            self._ended_unproven.log(limit=self._max_unproven)
        self._unproven[connection] = None
        try:
            return await self._handshake(connection)
        finally:
            self._unproven.pop(connection, None)

    async def _handshake(self, connection: Connection) -> Result[None, Failure]:
        try:
            async with active_timeout(HANDSHAKE_TIMEOUT_S):
                received = await connection.read_frame()
        except TimeoutError:
            return Err(Failure(code=Code.PEER_TIMEOUT, detail="no greeting"))
        if received.is_err():
            return Err(received.unwrap_err())
        frame = received.unwrap()
        if frame is None or not isinstance(frame.body, Hello):
            return Err(Failure(code=Code.PEER_REFUSED, detail="the first frame is no greeting"))
        failure = self._check_hello(frame.body)
        if failure is not None:
            connection.write(
                Frame(
                    kind=FrameKind.ERROR,
                    call_id=frame.call_id,
                    code=int(failure.code),
                    detail=failure.detail,
                )
            )
            return Err(failure)
        connection.hello = frame.body
        connection.write(Frame(kind=FrameKind.RESPONSE, call_id=frame.call_id, body=Done()))
        return Ok(None)

    def _check_hello(self, hello: Hello) -> Failure | None:
        token = hello.token or ""
        if not hmac.compare_digest(token.encode(), self._token.encode()):
            return Failure(code=Code.PEER_REFUSED, detail="wrong token")
        if hello.protocol_version != PROTOCOL_VERSION:
            return Failure(
                code=Code.PEER_REFUSED,
                detail=f"protocol version {hello.protocol_version}, this is {PROTOCOL_VERSION}",
            )
        return None


__all__ = ["PROTOCOL_VERSION", "WireServer"]
