"""Versions of the one model of the soak: their pieces, and an origin that hands them out."""

from __future__ import annotations

import hashlib
import random

from aiohttp import web

MODEL = "m"
PIECES = 16
LAYERS = 4
PIECE_BYTES = 8_192


def piece(version: int, index: int) -> bytes:
    """Give the bytes of a piece."""
    return random.Random(f"{version}/{index}").randbytes(PIECE_BYTES)


class Origin:
    """Hands out manifests and pieces; may be away, or spoil what it sends.

    Attributes
    ----------
    newest
        Version that is named.
    """

    def __init__(self, *, seed: int) -> None:
        self.newest = 1
        self.away = False
        self.spoils = 0.0
        self.pieces_sent = 0
        self._random = random.Random(seed)

    def application(self) -> web.Application:
        """Make its HTTP interface."""
        app = web.Application()
        app.router.add_get(f"/-/manifest/{MODEL}", self._manifest)
        app.router.add_get(f"/-/piece/{MODEL}", self._piece)
        return app

    async def _manifest(self, request: web.Request) -> web.Response:
        version = int(request.query.get("version", self.newest))
        if self.away or version > self.newest:
            return web.Response(status=503)
        digests = [hashlib.sha256(piece(version, index)).hexdigest() for index in range(PIECES)]
        described = {"model": MODEL, "version": version, "chunkBytes": PIECE_BYTES}
        return web.json_response({**described, "layers": LAYERS, "digests": digests})

    async def _piece(self, request: web.Request) -> web.Response:
        if self.away:
            return web.Response(status=503)
        data = piece(int(request.query["version"]), int(request.query["pieceIndex"]))
        self.pieces_sent += 1
        if self._random.random() < self.spoils:
            data = data[:-1] + b"?"
        return web.Response(body=data)


__all__ = ["LAYERS", "MODEL", "PIECES", "PIECE_BYTES", "Origin", "piece"]
