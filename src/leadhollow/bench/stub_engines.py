"""Many engines behind one listener, for benches that need no tokens."""

from __future__ import annotations

import asyncio
from pathlib import Path

import msgspec
from aiohttp import web

from leadhollow.backend.engine_client import LoadOrder, RunningModel
from leadhollow.standin.engine_records import hash_file
from leadhollow.standin.http_server import StandinServer


class StubLoad(msgspec.Struct, frozen=True, kw_only=True):
    """One load, with a hash of the bytes that were really read."""

    engine: str
    root: str
    file_hash: str
    loaded_s: float


class StubEngines:
    """Each path prefix is an engine that loads at once."""

    __slots__ = ("loads", "models", "server")

    def __init__(self) -> None:
        self.models: dict[str, RunningModel] = {}
        self.loads: list[StubLoad] = []
        application = web.Application()
        application.router.add_get("/{name}/admin/model", self._get)
        application.router.add_post("/{name}/admin/load", self._load)
        self.server = StandinServer(application=application)

    def url(self, name: str) -> str:
        """Give the base address of an engine."""
        return f"{self.server.url}/{name}"

    def serving(self, root: str) -> int:
        """Count the engines that run a root."""
        return sum(1 for model in self.models.values() if model.root == root)

    def forget_all(self) -> None:
        """Restart every engine without a model."""
        self.models.clear()

    async def _get(self, request: web.Request) -> web.Response:
        model = self.models.get(request.match_info["name"], RunningModel())
        return web.Response(body=msgspec.json.encode(model), content_type="application/json")

    async def _load(self, request: web.Request) -> web.Response:
        order = msgspec.json.decode(await request.read(), type=LoadOrder)
        loaded_s = asyncio.get_running_loop().time()
        name = request.match_info["name"]
        self.models[name] = RunningModel(model=order.model, version=order.version, root=order.root)
        file_hash = await asyncio.to_thread(hash_file, Path(order.path))
        self.loads.append(
            StubLoad(engine=name, root=order.root, file_hash=file_hash, loaded_s=loaded_s)
        )
        return await self._get(request)


__all__ = ["StubEngines", "StubLoad"]
