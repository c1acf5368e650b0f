"""Outgoing HTTP with results in place of exceptions."""

from __future__ import annotations

from collections.abc import Mapping
from pathlib import Path
from typing import TYPE_CHECKING, Any

from result import Err, Ok, Result

from leadhollow.codes import Code
from leadhollow.failure import Failure

if TYPE_CHECKING:
    import aiohttp


class HttpReply:
    """A whole HTTP answer."""

    __slots__ = ("body", "headers", "status")

    def __init__(self, *, status: int, headers: Mapping[str, str], body: bytes) -> None:
        self.status = status
        self.headers = headers
        self.body = body


class HttpClient:
    """One connection pool; the library is imported when first used, to keep idle roles small."""

    __slots__ = ("_session",)

    def __init__(self) -> None:
        self._session: aiohttp.ClientSession | None = None

    def session(self) -> aiohttp.ClientSession:
        """Give the pool, opened on first use."""
        import aiohttp  # imported late: it doubles the memory of a role that never needs it

        if self._session is None or self._session.closed:
            self._session = aiohttp.ClientSession(
                connector=aiohttp.TCPConnector(limit=0, keepalive_timeout=60),
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
    ) -> Result[HttpReply, Failure]:
        """Send a request and read the whole answer; a path as body is sent from its file.

        Errors
        ------
        PEER_ABSENT
            No connection, so nothing was sent.
        PEER_LOST
            The connection broke; the request may have been carried out.
        PEER_TIMEOUT
            No whole answer in time.
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
                received = await response.read()
                return Ok(
                    HttpReply(status=response.status, headers=response.headers, body=received)
                )
        except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError) as error:
            return Err(Failure(code=Code.PEER_ABSENT, detail=f"{url}: {error}"))
        except TimeoutError:
            return Err(Failure(code=Code.PEER_TIMEOUT, detail=url))
        except (aiohttp.ClientError, OSError) as error:
            return Err(Failure(code=Code.PEER_LOST, detail=f"{url}: {error}"))

    async def close(self) -> None:
        """Close the pool."""
        if self._session is not None:
            await self._session.close()


__all__ = ["HttpClient", "HttpReply"]
