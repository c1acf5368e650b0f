"""Long requests whose server refuses or answers before they are in, through whole entries."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import ClassVar

import pytest

from leadhollow.forward import body_retention
from tests.node.early_answers import EarlyServer, LongCaller
from tests.node.random_bodies import play
from tests.node.site import Site, route
from tests.support import eventually

SERVERS = 3
LONG_BYTES = 700_000  # more than an entry buffers of a body
AT_ONCE_S = 1.0  # the caller's deadline is at 4 s, the route's timeout at 2 s

Work = Callable[[Site, list[EarlyServer]], Awaitable[None]]


def run_on_site(
    folder: Path,
    work: Work,
    *,
    kind: str = "non_idempotent",
    attempts: int = 1,
    server_type: type[EarlyServer] = EarlyServer,
) -> None:
    """Run a test with plain servers of one service and a route to it."""
    servers = [server_type(instance=f"s-{number}", service="service") for number in range(SERVERS)]

    async def run() -> None:
        async with Site(folder=folder, servers=servers) as site:
            await site.put_routes(
                {**route("/ask/", "service"), "type": kind, "maxAttempts": attempts}
            )

            async def all_known() -> bool:
                found = [await site.post("/ask/", b"short") for _ in range(6)]
                return set(found) == {200} and all(server.ran for server in servers)

            await eventually(all_known, "answers of all servers")
            await work(site, servers)

    asyncio.run(asyncio.wait_for(run(), 60))


def bodies_run(servers: list[EarlyServer]) -> dict[str, str]:
    return {attempt: found for server in servers for attempt, found in server.ran.items()}


@pytest.mark.parametrize("chunked", [True, False], ids=["chunks", "length"])
class TestRefusedEarly:
    # Guards against a body that is sent to a second server without what the first one was sent.
    def test_runs_whole_at_another_server(self, tmp_path, chunked):
        async def work(site: Site, servers: list[EarlyServer]) -> None:
            caller = LongCaller(address=site.callers)
            for server in servers[:2]:
                server.early = lambda: 503
            statuses = [(await caller.request(LONG_BYTES, chunked=chunked))[0] for _ in range(12)]
            caller.close()
            assert sum(server.early_answers for server in servers) > 0
            assert statuses == [200] * 12
            ran = bodies_run(servers)
            assert {attempt: ran[attempt] for attempt in caller.sent} == caller.sent

        run_on_site(tmp_path, work)

    # Guards against a refused request that gets no answer, or one that says that it may have run.
    def test_by_all_servers_is_refused_at_once(self, tmp_path, chunked):
        async def work(site: Site, servers: list[EarlyServer]) -> None:
            caller = LongCaller(address=site.callers)
            for server in servers:
                server.early = lambda: 503
            start_s = time.monotonic()
            status, head, _ = await caller.request(LONG_BYTES, chunked=chunked)
            assert time.monotonic() - start_s < AT_ONCE_S
            assert status == 503
            assert b"retry-after" in head.lower()
            for server in servers:
                server.early = lambda: 0
            assert (await caller.request(LONG_BYTES, chunked=chunked))[0] == 200
            caller.close()

        run_on_site(tmp_path, work)

    # Guards against sending the rest of a body of which an entry without memory kept nothing.
    def test_is_refused_at_once_without_memory_for_its_body(self, tmp_path, chunked, monkeypatch):
        monkeypatch.setattr(body_retention.BodyRetention, "try_reserve", lambda *_: False)

        async def work(site: Site, servers: list[EarlyServer]) -> None:
            for server in servers:
                server.early = lambda: 503
            for _ in range(4):
                caller = LongCaller(address=site.callers)
                sends = sum(server.early_answers for server in servers)
                start_s = time.monotonic()
                status, _, _ = await caller.request(LONG_BYTES, chunked=chunked)
                assert time.monotonic() - start_s < AT_ONCE_S
                assert status == 503
                assert sum(server.early_answers for server in servers) == sends + 1
                caller.close()

        run_on_site(tmp_path, work)


@pytest.mark.parametrize("chunked", [True, False], ids=["chunks", "length"])
class TestEarlyAnswer:
    # Guards against a connection that hangs after an answer that came before the body was in.
    @pytest.mark.parametrize("status", [413, 500, 200])
    def test_of_a_server_leaves_the_connection_in_use(self, tmp_path, chunked, status):
        async def work(site: Site, servers: list[EarlyServer]) -> None:
            for server in servers:
                server.early, server.refuses = (lambda: status), False
            caller = LongCaller(address=site.callers, pause_s=0.005)
            for _ in range(6):
                assert (await caller.request(LONG_BYTES, chunked=chunked))[0] == status
            caller.close()

        run_on_site(tmp_path, work)

    # Guards against the same after an answer of the entry itself.
    @pytest.mark.parametrize(
        ("path", "size", "status"),
        [("/unknown/", LONG_BYTES, 404), ("/keyed/", LONG_BYTES, 401), ("/ask/", 5_000_000, 413)],
    )
    def test_of_the_entry_leaves_the_connection_in_use(self, tmp_path, chunked, path, size, status):
        async def work(site: Site, servers: list[EarlyServer]) -> None:
            groups = [{"name": "g", "apiKeys": ["key"]}]
            keyed = {**route("/keyed/", "service"), "public": False}
            await site.put_routes(route("/ask/", "service"), keyed, organisations=groups)
            await site.pause()
            caller = LongCaller(address=site.callers, path=path)
            for _ in range(3):
                assert (await caller.request(size, chunked=chunked))[0] == status
            caller.path = "/ask/"
            assert (await caller.request(LONG_BYTES, chunked=chunked))[0] == 200
            caller.close()

        run_on_site(tmp_path, work)

    def test_without_servers_leaves_the_connection_in_use(self, tmp_path, chunked):
        async def work(site: Site, servers: list[EarlyServer]) -> None:
            for server in servers:
                server.silent = True
                await site.deregister(server)
            await site.pause()
            caller = LongCaller(address=site.callers, pause_s=0.005)
            for _ in range(3):
                assert (await caller.request(LONG_BYTES, chunked=chunked))[0] == 503
            caller.close()

        run_on_site(tmp_path, work)

    def test_after_the_time_of_the_route_leaves_the_connection_in_use(self, tmp_path, chunked):
        async def work(site: Site, servers: list[EarlyServer]) -> None:
            caller = LongCaller(address=site.callers, pause_s=0.12)  # 2.6 s a body
            assert (await caller.request(LONG_BYTES, chunked=chunked))[0] == 504
            caller.pause_s = 0.0
            assert (await caller.request(LONG_BYTES, chunked=chunked))[0] == 200
            caller.close()

        run_on_site(tmp_path, work)


class TestUnfinishedBody:
    # Guards against a caller that never sends the rest and keeps a connection for ever.
    def test_is_answered_with_408_at_the_time_of_the_route(self, tmp_path):
        async def work(site: Site, servers: list[EarlyServer]) -> None:
            caller = LongCaller(address=site.callers)
            start_s = time.monotonic()
            answer = await caller.send_part(100_000, part=10)
            assert answer.startswith(b"HTTP/1.1 408 ")
            assert b"connection: close" in answer.lower()
            assert (
                time.monotonic() - start_s < 4.0
            )  # the route's timeout is 2 s, and 1 s is left to read
            assert not any(attempt in bodies_run(servers) for attempt in caller.sent)

        run_on_site(tmp_path, work)


class TestRandomRequests:
    # Guards against any mix of sizes, framings and early endings that changes a body or an outcome.
    @pytest.mark.parametrize("seed", [1, 2])
    def test_run_whole_and_get_their_true_outcome(self, tmp_path, seed):
        found = asyncio.run(asyncio.wait_for(play(tmp_path, requests=400, seed=seed), 120))
        assert found.wrong == []
        assert found.statuses[200] > 200


class TestConnections:
    # Guards against a connection that is neither closed nor used again after a repeated request.
    def test_of_failed_responses_are_used_again(self, tmp_path):
        async def work(site: Site, servers: list[EarlyServer]) -> None:
            for server in servers:
                server.fails_each = 4
            for _ in range(150):
                assert await site.post("/ask/", b"short") in (200, 500)
            assert sum(server.failures for server in servers) > 20
            assert max(len(server.open_connections) for server in servers) <= 4

        run_on_site(tmp_path, work, kind="idempotent", attempts=2)


class SlowToFail(EarlyServer):
    """Fails late where it is the first to see an attempt, so that the request is hedged."""

    seen: ClassVar[set[str]] = set()

    async def fails(self, attempt: str) -> bool:
        first = attempt not in self.seen
        self.seen.add(attempt)
        await asyncio.sleep(0.7 if first else 0.3)  # a hedge begins after 0.6 s
        return first


class TestHedgedConnections:
    # Guards against a connection that is neither closed nor used again after a hedge has won.
    def test_of_the_failed_response_is_used_again(self, tmp_path):
        async def work(site: Site, servers: list[EarlyServer]) -> None:
            failures = sum(server.failures for server in servers)
            for _ in range(6):
                assert await site.post("/ask/", b"short") == 200
            assert sum(server.failures for server in servers) == failures + 6
            assert sum(len(server.open_connections) for server in servers) <= 5

        run_on_site(tmp_path, work, kind="idempotent", attempts=2, server_type=SlowToFail)


class TestMemory:
    # Guards against memory of the entry that is never given back.
    def test_is_free_after_all_requests(self, tmp_path, monkeypatch):
        made: list[body_retention.BodyRetention] = []
        monkeypatch.setattr(
            "leadhollow.forward.caller_listener.BodyRetention",
            lambda **bounds: made.append(body_retention.BodyRetention(**bounds)) or made[-1],
        )

        async def work(site: Site, servers: list[EarlyServer]) -> None:
            servers[0].early = lambda: 503
            servers[1].early = lambda: 413
            servers[1].refuses = False
            for _ in range(6):
                caller = LongCaller(address=site.callers)
                await caller.request(LONG_BYTES, chunked=True)
                caller.close()
            await eventually(lambda: made[0].used_bytes == 0, "no memory in use")

        run_on_site(tmp_path, work)
