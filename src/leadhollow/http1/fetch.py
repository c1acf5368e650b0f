"""HTTP client for short exchanges with other processes, each with a timeout."""

from __future__ import annotations

from collections.abc import Callable
from enum import Enum

from result import Err, Ok, Result

from leadhollow.codes import Code
from leadhollow.failure import Failure
from leadhollow.http1.client_connection import ClientConnection, open_connection
from leadhollow.http1.headers import Headers
from leadhollow.http1.messages import RequestHead, ResponseHead
from leadhollow.http1.peer_backoffs import PeerBackoffs
from leadhollow.kernel import clocks
from leadhollow.kernel.active_time import active_timeout
from leadhollow.observe.logs import get_logger
from leadhollow.settings.address import Address

MAX_RESPONSE_BYTES = 16 * 1024 * 1024
IDLE_REUSE_S = 1.0  # well below the shortest idle timeout of a server
DEFAULT_CONNECT_TIMEOUT_S = 1.0

log = get_logger("http")


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


class Reuse(Enum):
    """Which connections may carry a request."""

    NEVER = "a new one that carries no other request"
    OTHER_TARGETS = "one that carried requests of this kind with other targets"
    ANY = "one that carried the same request before"


class HttpFetcher:
    """Sends requests and reuses idle connections, for each kind of request to each address.

    These requests carry no id, so a late second response to one looks like the response to the
    next. A connection carries only requests that differ in their query, and each of them once;
    the content then tells a response to another request. No request is sent to an address during a
    back-off that it asked for.

    Parameters
    ----------
    connect_timeout_s
        Timeout for opening a connection.
    """

    __slots__ = ("_backoffs", "_connect_timeout_s", "_idle")

    def __init__(self, *, connect_timeout_s: float = DEFAULT_CONNECT_TIMEOUT_S) -> None:
        self._connect_timeout_s = connect_timeout_s
        self._idle: dict[tuple[str, str, str], list[_Connection]] = {}
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
        reuse: Reuse = Reuse.OTHER_TARGETS,
        may_be_own: Callable[[HttpResponse], bool] = lambda response: True,
        max_response_bytes: int = MAX_RESPONSE_BYTES,
    ) -> Result[HttpResponse, Failure]:
        """Send a request and read the whole response.

        On a connection that carried other requests, a response that cannot be this one's is
        dropped, and so is one behind which more bytes came. A GET is then repeated on a new
        connection.

        Parameters
        ----------
        may_send
            Called when the connection is open, immediately before the request is written; if it
            returns False, nothing is sent.
        reuse
            Which connections may carry the request.
        may_be_own
            Returns whether a response may belong to this request. The first response on a
            connection does.
        max_response_bytes
            Longest acceptable body.

        Errors
        ------
        PEER_LOST
            The connection could not be opened, it was lost, or a response was dropped.
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
        request = _Request(
            method=method,
            address=address,
            target=target,
            body=body,
            content_type=content_type,
            may_send=may_send,
            reuse=reuse,
            may_be_own=may_be_own,
            max_response_bytes=max_response_bytes,
        )
        try:
            async with active_timeout(timeout_s):
                return await self._exchange(request)
        except TimeoutError:
            return Err(Failure(code=Code.PEER_TIMEOUT, detail=request.name))

    def clear_backoff(self, address: Address) -> None:
        """Forget the back-off of an address, because another process has the address now."""
        self._backoffs.forget(address)

    def close(self) -> None:
        """Close idle connections."""
        for connections in self._idle.values():
            for connection in connections:
                connection.http.close()
        self._idle.clear()

    async def _exchange(self, request: _Request) -> Result[HttpResponse, Failure]:
        used = self._take_idle(request)
        if used is not None:
            found = await self._exchange_on(used, request)
            if not used.dropped_response or request.method != "GET":
                return found
        opened = await open_connection(request.address, timeout_s=self._connect_timeout_s)
        if opened.is_err():
            return Err(opened.unwrap_err())
        return await self._exchange_on(_Connection(http=opened.unwrap()), request)

    async def _exchange_on(
        self, connection: _Connection, request: _Request
    ) -> Result[HttpResponse, Failure]:
        if request.may_send is not None and not request.may_send():
            self._keep(request, connection)
            return Err(Failure(code=Code.NOT_SENT, detail=f"{request.method} {request.name}"))
        done = False
        try:
            found = await connection.exchange(request)
            done = found.is_ok()
        finally:
            if done:
                self._keep(request, connection)
            else:
                connection.http.close()
        if found.is_ok():
            self._backoffs.record_response(request.address, found.unwrap().head)
        elif connection.dropped_response:
            log.warning("dropped the response to another request", failure=str(found.unwrap_err()))
        return found

    def _take_idle(self, request: _Request) -> _Connection | None:
        self._close_outdated()
        idle = self._idle.get(request.kind, [])
        while idle:
            connection = idle.pop()
            if connection.may_carry(request):
                return connection
            connection.http.close()
        return None

    def _close_outdated(self) -> None:
        """Close connections that were idle for too long, which count at their servers."""
        oldest_s = clocks.elapsed_s() - IDLE_REUSE_S
        for kind, idle in list(self._idle.items()):
            recent = [connection for connection in idle if connection.http.idle_since_s > oldest_s]
            for connection in idle:
                if connection not in recent:
                    connection.http.close()
            if recent:
                self._idle[kind] = recent
            else:
                del self._idle[kind]

    def _keep(self, request: _Request, connection: _Connection) -> None:
        connection.http.end_exchange()
        if connection.http.usable and request.reuse is not Reuse.NEVER:
            self._idle.setdefault(request.kind, []).append(connection)
        else:
            connection.http.close()


class _Request:
    """A request and what may be done with it."""

    __slots__ = (
        "address",
        "body",
        "content_type",
        "max_response_bytes",
        "may_be_own",
        "may_send",
        "method",
        "reuse",
        "target",
    )

    def __init__(
        self,
        *,
        method: str,
        address: Address,
        target: str,
        body: bytes,
        content_type: str,
        may_send: Callable[[], bool] | None,
        reuse: Reuse,
        may_be_own: Callable[[HttpResponse], bool],
        max_response_bytes: int,
    ) -> None:
        self.method = method
        self.address = address
        self.target = target
        self.body = body
        self.content_type = content_type
        self.may_send = may_send
        self.reuse = reuse
        self.may_be_own = may_be_own
        self.max_response_bytes = max_response_bytes

    @property
    def name(self) -> str:
        """Address and target."""
        return f"{self.address}{self.target}"

    @property
    def kind(self) -> tuple[str, str, str]:
        """Address, method and path; only requests that have them in common share connections."""
        return str(self.address), self.method, self.target.partition("?")[0]

    def encode(self) -> bytes:
        """Return head and body."""
        headers = Headers(items=[(b"Host", str(self.address).encode())])
        if self.body or self.method in ("POST", "PUT"):
            headers.add(b"Content-Type", self.content_type.encode())
            headers.add(b"Content-Length", b"%d" % len(self.body))
        head = RequestHead(
            method=self.method.encode(), target=self.target.encode(), headers=headers
        )
        return head.encode() + self.body


class _Connection:
    """A connection and the targets of the requests that it carried.

    Attributes
    ----------
    dropped_response
        Whether a response was dropped because it may belong to another request.
    """

    __slots__ = ("_targets", "dropped_response", "http")

    def __init__(self, *, http: ClientConnection) -> None:
        self.http = http
        self.dropped_response = False
        self._targets: set[str] = set()

    def may_carry(self, request: _Request) -> bool:
        """Return whether a request may be sent on it."""
        repeated = request.target in self._targets
        if request.reuse is Reuse.NEVER or (repeated and request.reuse is not Reuse.ANY):
            return False
        return self.http.usable and not self.http.has_unread_input()

    async def exchange(self, request: _Request) -> Result[HttpResponse, Failure]:
        """Send a request and read the whole response."""
        used = self.http.exchange_count > 0
        self._targets.add(request.target)
        self.http.begin_request(request.encode(), method=request.method.encode())
        found = await self._read(request)
        foreign = found.is_ok() and not request.may_be_own(found.unwrap())
        if not used or not (foreign or self.http.received_more):
            return found
        self.dropped_response = True
        detail = f"{request.name}: the response may belong to another request"
        return Err(Failure(code=Code.PEER_LOST, detail=detail))

    async def _read(self, request: _Request) -> Result[HttpResponse, Failure]:
        received = await self.http.read_response()
        if received.is_err():
            return Err(_peer_lost(request, received.unwrap_err()))
        response = received.unwrap()
        content = await response.body.read_all(request.max_response_bytes)
        if content.is_err():
            return Err(_peer_lost(request, content.unwrap_err()))
        return Ok(HttpResponse(head=response.head, body=content.unwrap()))


def _peer_lost(request: _Request, failure: Failure) -> Failure:
    return Failure(code=Code.PEER_LOST, detail=f"{request.name}: {failure.detail}")


__all__ = ["HttpFetcher", "HttpResponse", "Reuse"]
