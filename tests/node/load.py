"""Requests at a steady rate, distributed over entries round-robin."""

from __future__ import annotations

import asyncio
import contextlib
import itertools
from collections.abc import Awaitable, Callable, Sequence
from pathlib import Path
from typing import Any

import aiohttp

from tests.node.site import PlainServer, Site, route
from tests.support import eventually

FIELDS = {"X-Model": "m", "X-Token-Usage": "10,3"}
TEST_TIMEOUT_S = 60


def service_route(kind: str) -> dict[str, object]:
    """Describe a route to plain servers or to streaming engines."""
    streams = {"type": "streaming", "resumable": True, "gapTargetMs": 400}
    return {**route("/ask/", "service"), **(streams if kind == "stream" else {})}


class Load:
    """Sends requests at a steady rate while its context is open.

    Parameters
    ----------
    entries
        Indices of the entries that receive them. One that is being restarted gives no status.
    on_send
        Called before each request.

    Attributes
    ----------
    statuses
        Statuses of the responses, in order of arrival.
    """

    def __init__(
        self,
        *,
        site: Site,
        entries: Sequence[int],
        rate_per_s: float = 60.0,
        on_send: Callable[[], None] = lambda: None,
    ) -> None:
        self._on_send = on_send
        self.statuses: list[int] = []
        self._site = site
        self._entries = itertools.cycle(entries)
        self._pause_s = 1 / rate_per_s
        self._requests: set[asyncio.Task[None]] = set()
        self._task: asyncio.Task[None] | None = None

    async def __aenter__(self) -> Load:
        self._task = asyncio.create_task(self._run())
        return self

    async def __aexit__(self, *_: object) -> None:
        assert self._task is not None
        self._task.cancel()
        await asyncio.gather(*self._requests, return_exceptions=True)

    async def _run(self) -> None:
        while True:
            self._on_send()
            request = asyncio.create_task(self._send(next(self._entries)))
            self._requests.add(request)
            request.add_done_callback(self._requests.discard)
            await asyncio.sleep(self._pause_s)

    async def _send(self, entry: int) -> None:
        with contextlib.suppress(aiohttp.ClientError, TimeoutError):
            status = await self._site.post("/ask/a", b"good", entry=entry, fields=FIELDS)
            self.statuses.append(status)


def with_site(
    folder: Path,
    *,
    kind: str,
    servers: Sequence[PlainServer],
    entries: int,
    work: Callable[[Site, Sequence[Any]], Awaitable[None]],
) -> None:
    """Run a test with a site and its servers, once all entries serve requests."""

    async def served(site: Site, entry: int) -> bool:
        return await site.post("/ask/a", b"good", entry=entry, fields=FIELDS) == 200

    async def run() -> None:
        async with Site(folder=folder, servers=servers, entries=entries) as site:
            await site.put_routes(service_route(kind))
            for entry in range(entries):
                await eventually(lambda entry=entry: served(site, entry), "an answer")
            await site.pause()
            await work(site, servers)

    asyncio.run(asyncio.wait_for(run(), TEST_TIMEOUT_S))


__all__ = ["FIELDS", "Load", "service_route", "with_site"]
