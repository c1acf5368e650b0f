"""Short exchanges with other processes: one request, the whole answer, a time limit."""

from __future__ import annotations

from result import Err, Ok, Result

from leadhollow.codes import Code
from leadhollow.failure import Failure
from leadhollow.http1.client_connection import ClientConnection, open_connection
from leadhollow.http1.headers import Headers
from leadhollow.http1.messages import RequestHead, ResponseHead
from leadhollow.http1.peer_backoffs import PeerBackoffs
from leadhollow.kernel import clocks
from leadhollow.kernel.active_time import active_timeout
from leadhollow.settings.address import Address

MAX_RESPONSE_BYTES = 16 * 1024 * 1024
IDLE_REUSE_S = 1.0  # well below the shortest idle timeout that a server may have
DEFAULT_CONNECT_TIMEOUT_S = 1.0


class HttpResponse:
    """A whole answer."""

    __slots__ = ("body", "head")

    def __init__(self, *, head: ResponseHead, body: bytes) -> None:
        self.head = head
        self.body = body

    @property
    def status(self) -> int:
        """Status code."""
        return self.head.status


class HttpFetcher:
    """Sends requests to one address after the other, keeping a connection for each in use.

    An address that asked for rest gets nothing until that is over.

    Parameters
    ----------
    connect_timeout_s
        Time in which a connection must open.
    """

    __slots__ = ("_connect_timeout_s", "_idle", "_backoffs")

    def __init__(self, *, connect_timeout_s: float = DEFAULT_CONNECT_TIMEOUT_S) -> None:
        self._connect_timeout_s = connect_timeout_s
        self._idle: dict[str, list[ClientConnection]] = {}
        self._backoffs = PeerBackoffs()

    async def fetch(
        self,
        method: str,
        address: Address,
        target: str,
        *,
        timeout_s: float,
        body: bytes = b"",
        content_type: str = "application/json",
    ) -> Result[HttpResponse, Failure]:
        """Send a request and read the whole answer.

        Errors
        ------
        PEER_LOST
            No connection, or it broke.
        PEER_TIMEOUT
            No whole answer in the time in which it could be heard.
        SERVER_RESTS
            It asked for rest; nothing was sent.
        """
        left_s = self._backoffs.remaining_s(address)
        if left_s > 0:
            detail = f"{address} wants rest for {left_s:.1f} s more"
            return Err(Failure(code=Code.SERVER_RESTS, detail=detail))
        try:
            async with active_timeout(timeout_s):
                return await self._exchange(method, address, target, body, content_type)
        except TimeoutError:
            return Err(Failure(code=Code.PEER_TIMEOUT, detail=f"{address}{target}"))

    def clear_backoff(self, address: Address) -> None:
        """Note that another process has an address: what the former one asked for is over."""
        self._backoffs.forget(address)

    def close(self) -> None:
        """Close idle connections."""
        for connections in self._idle.values():
            for connection in connections:
                connection.close()
        self._idle.clear()

    async def _exchange(
        self, method: str, address: Address, target: str, body: bytes, content_type: str
    ) -> Result[HttpResponse, Failure]:
        opened = await self._connection(address)
        if opened.is_err():
            return Err(opened.unwrap_err())
        connection = opened.unwrap()
        headers = Headers(items=[(b"Host", str(address).encode())])
        if body or method in ("POST", "PUT"):
            headers.add(b"Content-Type", content_type.encode())
            headers.add(b"Content-Length", b"%d" % len(body))
        head = RequestHead(method=method.encode(), target=target.encode(), headers=headers)
        done = False
        try:
            connection.begin_request(head.encode() + body, method=head.method)
            answered = await connection.read_response()
            if answered.is_err():
                return Err(_lost(address, target, answered.unwrap_err()))
            answer = answered.unwrap()
            self._backoffs.record_response(address, answer.head)
            content = await answer.body.read_all(MAX_RESPONSE_BYTES)
            if content.is_err():
                return Err(_lost(address, target, content.unwrap_err()))
            done = True
            return Ok(HttpResponse(head=answer.head, body=content.unwrap()))
        finally:
            if done:
                self._keep(address, connection)
            else:
                connection.close()

    async def _connection(self, address: Address) -> Result[ClientConnection, Failure]:
        idle = self._idle.get(str(address), [])
        now_s = clocks.elapsed_s()
        while idle:
            connection = idle.pop()
            if connection.usable and now_s - connection.idle_since_s < IDLE_REUSE_S:
                return Ok(connection)
            connection.close()
        return await open_connection(address, timeout_s=self._connect_timeout_s)

    def _keep(self, address: Address, connection: ClientConnection) -> None:
        connection.end_exchange()
        if connection.usable:
            self._idle.setdefault(str(address), []).append(connection)
        else:
            connection.close()


def _lost(address: Address, target: str, failure: Failure) -> Failure:
    return Failure(code=Code.PEER_LOST, detail=f"{address}{target}: {failure.detail}")


__all__ = ["HttpAnswer", "HttpCaller"]
