"""HTTP client for short exchanges with other processes, each with a timeout."""

from __future__ import annotations

from collections.abc import Callable

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
IDLE_REUSE_S = 1.0  # well below the shortest idle timeout of a server
DEFAULT_CONNECT_TIMEOUT_S = 1.0


class HttpResponse:
    """A response that was read completely."""

    __slots__ = ("body", "head")

    def __init__(self, *, head: ResponseHead, body: bytes) -> None:
        self.head = head
        self.body = body

    @property
    def status(self) -> int:
        """Status code of the response."""
        return self.head.status


class HttpFetcher:
    """Sends requests and reuses idle connections, for each address.

    No request is sent to an address during a back-off that it asked for.

    Parameters
    ----------
    connect_timeout_s
        Timeout for opening a connection.
    """

    __slots__ = ("_backoffs", "_connect_timeout_s", "_idle")

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
        may_send: Callable[[], bool] | None = None,
        own_connection: bool = False,
    ) -> Result[HttpResponse, Failure]:
        """Send a request and read the whole response.

        Parameters
        ----------
        own_connection
            Whether the request has a connection for itself. Only the first response on a connection
            is sure to belong to its request.
        may_send
            Called when the connection is open, immediately before the request is written; if it
            returns False, nothing is sent.

        Errors
        ------
        PEER_LOST
            The connection could not be opened, or it was lost.
        PEER_TIMEOUT
            The response was not complete in time. Only active time counts.
        SERVER_RESTS
            The address asked for a back-off that is not over; nothing was sent.
        NOT_SENT
            ``may_send`` returned False.
        """
        remaining_s = self._backoffs.remaining_s(address)
        if remaining_s > 0:
            detail = f"{address} wants rest for {remaining_s:.1f} s more"
            return Err(Failure(code=Code.SERVER_RESTS, detail=detail))
        try:
            async with active_timeout(timeout_s):
                return await self._exchange(
                    method,
                    address,
                    target,
                    body,
                    content_type,
                    may_send=may_send,
                    own_connection=own_connection,
                )
        except TimeoutError:
            return Err(Failure(code=Code.PEER_TIMEOUT, detail=f"{address}{target}"))

    def clear_backoff(self, address: Address) -> None:
        """Forget the back-off of an address, because another process has the address now."""
        self._backoffs.forget(address)

    def close(self) -> None:
        """Close idle connections."""
        for connections in self._idle.values():
            for connection in connections:
                connection.close()
        self._idle.clear()

    async def _exchange(
        self,
        method: str,
        address: Address,
        target: str,
        body: bytes,
        content_type: str,
        *,
        may_send: Callable[[], bool] | None,
        own_connection: bool,
    ) -> Result[HttpResponse, Failure]:
        connected = await self._connection(address, own=own_connection)
        if connected.is_err():
            return Err(connected.unwrap_err())
        connection = connected.unwrap()
        headers = Headers(items=[(b"Host", str(address).encode())])
        if body or method in ("POST", "PUT"):
            headers.add(b"Content-Type", content_type.encode())
            headers.add(b"Content-Length", b"%d" % len(body))
        head = RequestHead(method=method.encode(), target=target.encode(), headers=headers)
        if may_send is not None and not may_send():
            self._keep(address, connection)
            return Err(Failure(code=Code.NOT_SENT, detail=f"{method} {address}{target}"))
        done = False
        try:
            connection.begin_request(head.encode() + body, method=head.method)
            received = await connection.read_response()
            if received.is_err():
                return Err(_peer_lost(address, target, received.unwrap_err()))
            response = received.unwrap()
            self._backoffs.record_response(address, response.head)
            content = await response.body.read_all(MAX_RESPONSE_BYTES)
            if content.is_err():
                return Err(_peer_lost(address, target, content.unwrap_err()))
            done = True
            return Ok(HttpResponse(head=response.head, body=content.unwrap()))
        finally:
            if done and own_connection:
                connection.end_exchange()
                connection.close()
            elif done:
                self._keep(address, connection)
            else:
                connection.close()

    async def _connection(
        self, address: Address, *, own: bool
    ) -> Result[ClientConnection, Failure]:
        idle = [] if own else self._idle.get(str(address), [])
        now_s = clocks.elapsed_s()
        while idle:
            connection = idle.pop()
            recent = now_s - connection.idle_since_s < IDLE_REUSE_S
            if connection.usable and recent and not connection.has_unread_input():
                return Ok(connection)
            connection.close()
        return await open_connection(address, timeout_s=self._connect_timeout_s)

    def _keep(self, address: Address, connection: ClientConnection) -> None:
        connection.end_exchange()
        if connection.usable:
            self._idle.setdefault(str(address), []).append(connection)
        else:
            connection.close()


def _peer_lost(address: Address, target: str, failure: Failure) -> Failure:
    return Failure(code=Code.PEER_LOST, detail=f"{address}{target}: {failure.detail}")


__all__ = ["HttpFetcher", "HttpResponse"]
