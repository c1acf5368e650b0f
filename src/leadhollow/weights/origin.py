"""Reads the manifest and the chunks of a version from the origin over HTTP."""

from __future__ import annotations

from result import Err, Ok, Result

from leadhollow.codes import Code
from leadhollow.failure import Failure
from leadhollow.http_client import HttpClient

MANIFEST_TIMEOUT_S = 30.0
CHUNK_TIMEOUT_S = 30.0


class OriginReader:
    """Reads the files of one version.

    Parameters
    ----------
    url
        Folder of the version at the origin.

    Attributes
    ----------
    bytes_read
        Bytes of all response bodies so far.
    """

    __slots__ = ("_http", "_url", "bytes_read")

    def __init__(self, *, http: HttpClient, url: str) -> None:
        self._http = http
        self._url = url.rstrip("/")
        self.bytes_read = 0

    async def manifest(self) -> Result[bytes, Failure]:
        """Fetch the encoded manifest.

        Errors
        ------
        ORIGIN_FAILED
            The origin did not respond, or its response was not the file.
        """
        fetched = await self._http.fetch(
            "GET", f"{self._url}/manifest", timeout_s=MANIFEST_TIMEOUT_S
        )
        if fetched.is_err():
            return Err(_origin_failure(fetched.unwrap_err()))
        reply = fetched.unwrap()
        if reply.status != 200:
            return Err(Failure(code=Code.ORIGIN_FAILED, detail=f"manifest: HTTP {reply.status}"))
        self.bytes_read += len(reply.body)
        return Ok(reply.body)

    async def chunk(self, offset: int, size: int) -> Result[bytes, Failure]:
        """Fetch a byte range of the weights file.

        Errors
        ------
        ORIGIN_FAILED
            The origin did not respond with exactly this range.
        """
        headers = {"Range": f"bytes={offset}-{offset + size - 1}"}
        fetched = await self._http.fetch(
            "GET", f"{self._url}/weights", headers=headers, timeout_s=CHUNK_TIMEOUT_S
        )
        if fetched.is_err():
            return Err(_origin_failure(fetched.unwrap_err()))
        reply = fetched.unwrap()
        self.bytes_read += len(reply.body)
        if reply.status != 206 or len(reply.body) != size:
            detail = f"range {offset}+{size}: HTTP {reply.status}, {len(reply.body)} bytes"
            return Err(Failure(code=Code.ORIGIN_FAILED, detail=detail))
        return Ok(reply.body)


def _origin_failure(failure: Failure) -> Failure:
    return Failure(code=Code.ORIGIN_FAILED, detail=failure.detail)


__all__ = ["OriginReader"]
