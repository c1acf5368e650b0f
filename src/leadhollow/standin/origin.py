"""Stand-in of the origin: HTTP files with ranges, behind a link of limited speed."""

from __future__ import annotations

import re
from pathlib import Path

import msgspec
from aiohttp import web

from leadhollow.standin.http_server import StandinServer
from leadhollow.weights.pacing import Pacer

PIECE_BYTES = 256 * 1024
_RANGE = re.compile(r"bytes=(\d+)-(\d+)")


class OriginFaults(msgspec.Struct, kw_only=True):
    """What goes wrong.

    Parameters
    ----------
    stalled
        Requests are taken and never answered.
    failing
        Requests are answered with 503.
    corrupt_every
        Every so many answers have a flipped byte; 0 for none.
    """

    stalled: bool = False
    failing: bool = False
    corrupt_every: int = 0


class OriginStandin:
    """Files under one folder.

    Parameters
    ----------
    link_bytes_per_s
        Speed of its link; all readers share it.
    """

    __slots__ = ("_answers", "_folder", "_pacer", "bytes_by_path", "faults", "server")

    def __init__(self, *, folder: Path, link_bytes_per_s: float) -> None:
        self._folder = folder
        self._pacer = Pacer(rate_bytes_per_s=lambda: link_bytes_per_s)
        self._answers = 0
        self.bytes_by_path: dict[str, int] = {}
        self.faults = OriginFaults()
        application = web.Application(client_max_size=1 << 40)
        application.router.add_get("/{path:.+}", self._get)
        application.router.add_put("/{path:.+}", self._put)
        application.router.add_post("/admin/faults", self._set_faults)
        self.server = StandinServer(application=application)

    def weight_bytes_sent(self, model: str, version: str) -> int:
        """Bytes of a version's weights and manifest that were sent."""
        prefix = f"{model}/{version}/"
        return sum(size for path, size in self.bytes_by_path.items() if path.startswith(prefix))

    async def _set_faults(self, request: web.Request) -> web.Response:
        self.faults = msgspec.json.decode(await request.read(), type=OriginFaults)
        return web.Response(status=204)

    async def _put(self, request: web.Request) -> web.Response:
        path = self._path(request)
        if path is None:
            return web.Response(status=400)
        path.parent.mkdir(parents=True, exist_ok=True)
        with path.open("wb") as file:
            async for piece in request.content.iter_chunked(PIECE_BYTES):
                file.write(piece)
        return web.Response(status=201)

    async def _get(self, request: web.Request) -> web.StreamResponse:
        path = self._path(request)
        if path is None or not path.is_file():
            return web.Response(status=404)
        if self.faults.failing:
            return web.Response(status=503)
        start, end, status = 0, path.stat().st_size - 1, 200
        match = _RANGE.fullmatch(request.headers.get("Range", ""))
        if match is not None:
            start, end, status = int(match[1]), min(int(match[2]), end), 206
            if start > end:
                return web.Response(status=416)
        response = web.StreamResponse(status=status)
        response.content_length = end - start + 1
        await response.prepare(request)
        await self._send(response, path, start, end)
        await response.write_eof()
        return response

    async def _send(self, response: web.StreamResponse, path: Path, start: int, end: int) -> None:
        name = str(path.relative_to(self._folder))
        self._answers += 1
        corrupt = self.faults.corrupt_every and self._answers % self.faults.corrupt_every == 0
        with path.open("rb") as file:
            file.seek(start)
            left = end - start + 1
            while left > 0:
                while self.faults.stalled:
                    await self._pacer.take(PIECE_BYTES)
                piece = file.read(min(PIECE_BYTES, left))
                await self._pacer.take(len(piece))
                self.bytes_by_path[name] = self.bytes_by_path.get(name, 0) + len(piece)
                if corrupt:
                    piece = bytes([piece[0] ^ 1]) + piece[1:]
                await response.write(piece)
                left -= len(piece)

    def _path(self, request: web.Request) -> Path | None:
        path = (self._folder / request.match_info["path"]).resolve()
        return path if path.is_relative_to(self._folder.resolve()) else None


__all__ = ["OriginFaults", "OriginStandin"]
