"""Tests of the cost of choosing among a hundred engines while several requests wait."""

from __future__ import annotations

import asyncio

import pytest

from leadhollow.decide import engine_choice
from leadhollow.decide.server import Server
from leadhollow.membership.uses import Use
from tests.decide.test_engine_queue import SPEC, EnginePool, make_request

ENGINES = 102
WAITERS = 12


@pytest.fixture
def computed_loads(monkeypatch) -> list[str]:
    """Names of the engines whose load was computed, in order."""
    found: list[str] = []
    engine_load = Server.engine_load

    def counted(self, model, now_s, *, peer_use_known):
        found.append(self.instance.instance)
        return engine_load(self, model, now_s, peer_use_known=peer_use_known)

    monkeypatch.setattr(Server, "engine_load", counted)
    return found


def make_full_pool() -> tuple[EnginePool, list[Server]]:
    pool = EnginePool()
    servers = []
    for number in range(ENGINES):
        server = pool.engine(f"{'e' * number}x")
        servers.append(server)
    uses = {
        server.instance.address: Use(requests=4 * SPEC.slots, unread_tokens=60_000)
        for server in servers
    }
    pool.board.update_peer_uses(uses, True)
    return pool, servers


class TestWaitingRequests:
    async def test_compute_the_load_of_each_engine_once_per_turn(self, computed_loads, monkeypatch):
        monkeypatch.setattr(engine_choice, "CACHE_VALID_S", 60.0)
        pool, servers = make_full_pool()
        waiters = [pool.queue.submit(make_request()) for _ in range(WAITERS)]
        assert not any(waiter.ended for waiter in waiters)
        computed_loads.clear()
        pool.queue.pump()
        assert computed_loads == []  # nothing has changed since the requests were submitted
        free = Use(requests=0, unread_tokens=0)
        pool.board.update_peer_uses({servers[0].instance.address: free}, False)
        placed = sum(1 for waiter in waiters if waiter.ended)
        assert placed >= 1
        assert len(computed_loads) <= (placed + 1) * ENGINES

    async def test_get_a_released_slot_at_once(self):
        pool, servers = make_full_pool()
        free = Use(requests=SPEC.slots - 1, unread_tokens=0)
        pool.board.update_peer_uses({servers[0].instance.address: free}, False)
        first = pool.queue.submit(make_request())
        assert first.placement is not None
        second = pool.queue.submit(make_request(on_time_s=0.3, decide_s=5.0))
        assert not second.ended
        pool.queue.release(first.placement)
        assert second.placement is not None
        assert second.placement.server is first.placement.server

    async def test_do_not_use_cached_loads_after_a_moment(self):
        pool, servers = make_full_pool()
        waiter = pool.queue.submit(make_request(decide_s=5.0))
        assert not waiter.ended
        await asyncio.sleep(0.01)
        servers[0].update_peer_use(Use(requests=0, unread_tokens=0), 0.0)  # without a notification
        pool.queue.pump()
        assert waiter.placement is not None
