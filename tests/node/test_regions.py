"""Requests bound to regions, tested with whole processes and engines in two regions."""

from __future__ import annotations

import asyncio
from pathlib import Path
from typing import Any

import pytest
from aiohttp import web

from leadhollow.codes import Code
from leadhollow.node.entry_role import EntryDispatcher
from leadhollow.standin.statsd_sink import StatsdSink
from tests.node.site import HOST, PlainServer, Site, route
from tests.node.streaming import (
    FIELDS,
    Script,
    StreamClient,
    StreamingEngine,
    streaming_route,
)
from tests.support import eventually

REGIONS = {"d": "near", "e": "far"}  # entries are in d
REQUESTS = 30
TEST_TIMEOUT_S = 60
BOUND_KEY, FREE_KEY = "bound-key", "free-key"
ORGANISATIONS = (
    {"name": "bound", "apiKeys": [BOUND_KEY], "allowedRegions": ["far"]},
    {"name": "free", "apiKeys": [FREE_KEY], "allowedRegions": []},
)


class Recording:
    """Records the requests that a server gets.

    Attributes
    ----------
    arrivals
        Path and key of each request, in order of arrival.
    """

    def __init__(self, *, domain: str, **fields: Any) -> None:
        super().__init__(**fields)
        self.failure_domain = domain
        self.arrivals: list[tuple[str, str]] = []
        self._transports: list[asyncio.Transport] = []

    async def _answer(self, request: web.Request) -> web.StreamResponse:
        key = request.headers.get("Authorization", "").removeprefix("Bearer ")
        self.arrivals.append((request.path, key))
        assert request.transport is not None
        self._transports.append(request.transport)
        answer: web.StreamResponse = await super()._answer(request)  # type: ignore[misc]
        return answer

    def break_off(self) -> None:
        """Abort the connections of all requests so far."""
        for transport in self._transports:
            self._loop.call_soon_threadsafe(transport.abort)  # type: ignore[attr-defined]


class RecordingServer(Recording, PlainServer):
    """Plain server that records its requests."""


class RecordingEngine(Recording, StreamingEngine):
    """Engine that records its requests."""


def make_server(kind: str, domain: str, number: int = 0) -> Any:
    name = f"{domain}-{number}"
    if kind == "plain":
        return RecordingServer(domain=domain, instance=name, service="service")
    script = Script(events=2, pause_s=0.01)
    return RecordingEngine(domain=domain, instance=name, service="service", script=script)


def make_route(kind: str, prefix: str, **fields: object) -> dict[str, object]:
    usual = streaming_route(resumable=True) if kind == "stream" else {}
    return {**usual, **route(prefix, "service"), "type": usual.get("type", "idempotent"), **fields}


def make_site(folder: Path, servers: list[Any], **settings: object) -> Site:
    return Site(
        folder=folder, servers=servers, settings={"region": "near", "regions": REGIONS, **settings}
    )


async def post(site: Site, path: str, key: str = "") -> tuple[int, str | None, str]:
    """Send one request; return status, Retry-After and body of the response."""
    headers = {"Host": HOST, "X-Attempt-Id": f"{0xFFFF:016x}", **FIELDS}
    if key:
        headers["Authorization"] = f"Bearer {key}"
    async with site.http.post(f"http://{site.callers}{path}", data=b"x", headers=headers) as answer:
        return answer.status, answer.headers.get("Retry-After"), await answer.text()


async def served(site: Site, path: str, key: str = "") -> bool:
    return (await post(site, path, key))[0] == 200


def run(work: Any) -> None:
    asyncio.run(asyncio.wait_for(work, TEST_TIMEOUT_S))


def table_number(site: Site) -> int:
    return site.entry.kernel.get("dispatching", EntryDispatcher).routes.number


@pytest.mark.parametrize("kind", ["plain", "stream"])
class TestEnginesOfTwoRegions:
    # Guards against: a request reaches an engine outside the regions of its route or group.
    def test_get_no_request_that_is_bound_to_the_other_region(self, tmp_path, kind):
        async def work() -> None:
            near, far = make_server(kind, "d"), make_server(kind, "e")
            async with make_site(tmp_path, [near, far]) as site:
                await site.put_routes(
                    make_route(kind, "/near/", allowedRegions=["near"]),
                    make_route(kind, "/far/", allowedRegions=["far"]),
                    make_route(kind, "/any/", public=False),
                    organisations=ORGANISATIONS,
                )
                for path, key in (("/near/a", ""), ("/far/a", ""), ("/any/a", BOUND_KEY)):
                    await eventually(lambda path=path, key=key: served(site, path, key), path)
                for _ in range(REQUESTS):
                    answers = await asyncio.gather(
                        post(site, "/near/a"),
                        post(site, "/far/a"),
                        post(site, "/any/a", BOUND_KEY),
                        post(site, "/any/a", FREE_KEY),
                    )
                    assert [status for status, *_ in answers] == [200] * len(answers)
            assert {path for path, _ in near.arrivals} <= {"/near/a", "/any/a"}
            assert {path for path, _ in far.arrivals} <= {"/far/a", "/any/a"}
            assert ("/any/a", BOUND_KEY) not in near.arrivals
            assert len([path for path, _ in far.arrivals if path == "/far/a"]) >= REQUESTS

        run(work())

    # Guards against: a request that nobody may serve is sent somewhere, or refused without reason.
    def test_get_no_request_that_no_region_allows(self, tmp_path, kind):
        async def work() -> None:
            near, far = make_server(kind, "d"), make_server(kind, "e")
            sink = StatsdSink()
            await sink.start()
            async with make_site(tmp_path, [near, far], statsd=f"127.0.0.1:{sink.port}") as site:
                await site.put_routes(
                    make_route(kind, "/ask/"),
                    make_route(kind, "/none/", allowedRegions=["elsewhere"]),
                    make_route(kind, "/any/", public=False, allowedRegions=["near"]),
                    organisations=ORGANISATIONS,
                )
                await eventually(lambda: served(site, "/ask/a"), "an answer")
                for path, key in (("/none/a", ""), ("/any/a", BOUND_KEY)):
                    status, retry_after, body = await post(site, path, key)
                    assert (status, body.split()[0]) == (503, str(int(Code.OUTSIDE_REGIONS)))
                    assert float(retry_after or 0) > 0
                name = "leadhollow.entry-0.refused.outside_regions"
                await eventually(lambda: sink.received[name] == 2, "counts of refusals")
            await sink.stop()
            assert {path for path, _ in (*near.arrivals, *far.arrivals)} == {"/ask/a"}

        run(work())


class TestStream:
    # Guards against: a stream that began before its route was bound is resumed in another region.
    def test_whose_route_is_bound_meanwhile_goes_on_in_the_region(self, tmp_path):
        async def work() -> None:
            near = [make_server("stream", "d", number) for number in range(2)]
            far = make_server("stream", "e")
            async with make_site(tmp_path, [*near, far]) as site:
                await site.put_routes(streaming_route(resumable=True))
                for _ in range(4):
                    await eventually(lambda: served(site, "/ask/a"), "an answer")
                for engine in (*near, far):
                    engine.script.events, engine.script.pause_s = 40, 0.05
                    engine.runs.clear()
                clients = [StreamClient(address=site.callers) for _ in range(12)]
                running = [asyncio.create_task(client.run()) for client in clients]
                await eventually(
                    lambda: all(any(run.written for run in engine.runs) for engine in near),
                    "streams",
                )
                await site.put_routes(streaming_route(resumable=True, allowedRegions=["near"]))
                await eventually(lambda: table_number(site) == site.table_version, "the table")
                before = len(far.arrivals)
                near[0].break_off()
                await asyncio.gather(*running)
                assert len(far.arrivals) == before
                assert any(run.first > 0 for run in near[1].runs)
                assert all(client.whole and client.ids_whole for client in clients)

        run(work())
