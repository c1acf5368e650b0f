"""Stand-in for the origin: serves files over HTTP with ranges, at a limited rate."""

from __future__ import annotations

import re
from pathlib import Path

import msgspec
from aiohttp import web

from leadhollow.standin.http_server import StandinServer
from leadhollow.weights.pacing import Pacer

BLOCK_BYTES = 256 * 1024
_RANGE_PATTERN = re.compile(r"bytes=(\d+)-(\d+)")


class OriginFaults(msgspec.Struct, kw_only=True):
    """Injected faults; ``POST /admin/faults`` sets them.

    Parameters
    ----------
    stalled
        Responses send no body bytes while this is set.
    failing
        Requests are answered with 503.
    corrupt_every
        Every n-th response is corrupted: the lowest bit of the first byte of each block is
        flipped. 0 disables this.
    """

    stalled: bool = False
    failing: bool = False
    corrupt_every: int = 0


class OriginStandin:
    """HTTP origin of the files in one folder.

    Parameters
    ----------
    folder
        Folder of the files; uploads are written there.
    link_bytes_per_s
        Rate limit that all readers share, in bytes per second.
    """

    __slots__ = ("_folder", "_pacer", "_response_count", "bytes_by_path", "faults", "server")

    def __init__(self, *, folder: Path, link_bytes_per_s: float) -> None:
        self._folder = folder.resolve()
        self._pacer = Pacer(rate_bytes_per_s=lambda: link_bytes_per_s)
        self._response_count = 0
        self.bytes_by_path: dict[str, int] = {}
        self.faults = OriginFaults()
        application = web.Application(client_max_size=1 << 40)
        application.router.add_get("/{path:.+}", self._get)
        application.router.add_put("/{path:.+}", self._put)
        application.router.add_post("/admin/faults", self._set_faults)
        self.server = StandinServer(application=application)

    def weight_bytes_sent(self, model: str, version: str) -> int:
        """Return the bytes sent of a version's files, weights and manifest together."""
        prefix = f"{model}/{version}/"
        return sum(size for path, size in self.bytes_by_path.items() if path.startswith(prefix))

    async def _set_faults(self, request: web.Request) -> web.Response:
        self.faults = msgspec.json.decode(await request.read(), type=OriginFaults)
        return web.Response(status=204)

    async def _put(self, request: web.Request) -> web.Response:
        path = self._resolve_path(request)
        if path is None:
            return web.Response(status=400)
        path.parent.mkdir(parents=True, exist_ok=True)
        with path.open("wb") as file:
            async for block in request.content.iter_chunked(BLOCK_BYTES):
                file.write(block)
        return web.Response(status=201)

    async def _get(self, request: web.Request) -> web.StreamResponse:
        path = self._resolve_path(request)
        if path is None or not path.is_file():
            return web.Response(status=404)
        if self.faults.failing:
            return web.Response(status=503)
        start, end, status = 0, path.stat().st_size - 1, 200
        match = _RANGE_PATTERN.fullmatch(request.headers.get("Range", ""))
        if match is not None:
            start, end, status = int(match[1]), min(int(match[2]), end), 206
            if start > end:
                return web.Response(status=416)
        response = web.StreamResponse(status=status)
        response.content_length = end - start + 1
        await response.prepare(request)
        await self._send_range(response, path, start, end)
        await response.write_eof()
        return response

    async def _send_range(
        self, response: web.StreamResponse, path: Path, start: int, end: int
    ) -> None:
        relative_path = str(path.relative_to(self._folder))
        self._response_count += 1
        corrupt = (
            self.faults.corrupt_every and self._response_count % self.faults.corrupt_every == 0
        )
        with path.open("rb") as file:
            file.seek(start)
            remaining = end - start + 1
            while remaining > 0:
                while self.faults.stalled:
                    await self._pacer.take(BLOCK_BYTES)
                block = file.read(min(BLOCK_BYTES, remaining))
                await self._pacer.take(len(block))
                self.bytes_by_path[relative_path] = self.bytes_by_path.get(relative_path, 0) + len(
                    block
                )
                if corrupt:
                    block = bytes([block[0] ^ 1]) + block[1:]
                await response.write(block)
                remaining -= len(block)

    def _resolve_path(self, request: web.Request) -> Path | None:
        path = (self._folder / request.match_info["path"]).resolve()
        return path if path.is_relative_to(self._folder) else None


__all__ = ["OriginFaults", "OriginStandin"]
