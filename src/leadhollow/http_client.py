"""HTTP client that returns failures as results instead of raising exceptions."""

from __future__ import annotations

from collections.abc import Mapping
from pathlib import Path
from typing import TYPE_CHECKING, Any

from result import Err, Ok, Result

from leadhollow.codes import Code
from leadhollow.failure import Failure

if TYPE_CHECKING:
    import aiohttp

MAX_REPLY_BYTES = 64 * 1024 * 1024


class HttpReply:
    """A complete HTTP response."""

    __slots__ = ("body", "headers", "status")

    def __init__(self, *, status: int, headers: Mapping[str, str], body: bytes) -> None:
        self.status = status
        self.headers = headers
        self.body = body


class HttpClient:
    """HTTP client that opens a connection for each request.

    Requests carry no id that their responses name, so only the first response of a connection is
    sure to belong to its request.

    aiohttp is imported on first use, since it doubles the memory of a role that never needs it.
    """

    __slots__ = ("_session",)

    def __init__(self) -> None:
        self._session: aiohttp.ClientSession | None = None

    def session(self) -> aiohttp.ClientSession:
        """Return the session, opened on first use."""
        import aiohttp  # imported late to save memory

        if self._session is None or self._session.closed:
            self._session = aiohttp.ClientSession(
                connector=aiohttp.TCPConnector(limit=0, force_close=True),
                timeout=aiohttp.ClientTimeout(total=None, sock_connect=5),
                auto_decompress=False,
            )
        return self._session

    async def fetch(
        self,
        method: str,
        url: str,
        *,
        headers: Mapping[str, str] | None = None,
        body: bytes | Path | None = None,
        json: Any = None,
        timeout_s: float,
        max_bytes: int = MAX_REPLY_BYTES,
    ) -> Result[HttpReply, Failure]:
        """Send a request and read the whole response.

        Parameters
        ----------
        body
            Bytes to send, or the path of a file whose content is sent.
        timeout_s
            Time limit of the whole exchange.
        max_bytes
            Longest acceptable body of the response.

        Errors
        ------
        PEER_ABSENT
            The connection failed; nothing was sent.
        PEER_LOST
            The connection broke; the request may have been carried out.
        PEER_TIMEOUT
            The response was not complete in time.
        BODY_TOO_LARGE
            The body is too long; the rest was not read.
        """
        import aiohttp

        try:
            data = body.open("rb") if isinstance(body, Path) else body
            async with self.session().request(
                method,
                url,
                headers=headers,
                data=data,
                json=json,
                timeout=aiohttp.ClientTimeout(total=timeout_s),
            ) as response:
                received = bytearray()
                async for part in response.content.iter_any():
                    received += part
                    if len(received) > max_bytes:
                        detail = f"{url}: more than {max_bytes} bytes"
                        return Err(Failure(code=Code.BODY_TOO_LARGE, detail=detail))
                return Ok(
                    HttpReply(
                        status=response.status, headers=response.headers, body=bytes(received)
                    )
                )
        except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError) as error:
            return Err(Failure(code=Code.PEER_ABSENT, detail=f"{url}: {error}"))
        except TimeoutError:
            return Err(Failure(code=Code.PEER_TIMEOUT, detail=url))
        except (aiohttp.ClientError, OSError) as error:
            return Err(Failure(code=Code.PEER_LOST, detail=f"{url}: {error}"))

    async def close(self) -> None:
        """Close the connections."""
        if self._session is not None:
            await self._session.close()


__all__ = ["HttpClient", "HttpReply"]
