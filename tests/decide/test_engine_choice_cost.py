"""What it costs to choose among a hundred engines while several requests wait."""

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
def reckonings(monkeypatch) -> list[str]:
    found: list[str] = []
    demand = Server.engine_load

    def counted(self, model, now_s, *, told):
        found.append(self.instance.instance)
        return demand(self, model, now_s, peer_use_known=told)

    monkeypatch.setattr(Server, "demand", counted)
    return found


def a_full_group() -> tuple[EnginePool, list[Server]]:
    group = EnginePool()
    servers = []
    for number in range(ENGINES):
        server = group.engine(f"{'e' * number}x")
        servers.append(server)
    told = {
        server.instance.address: Use(requests=4 * SPEC.slots, unread_tokens=60_000)
        for server in servers
    }
    group.board.take_told(told, True)
    return group, servers


class TestRequestsThatWait:
    async def test_reckon_each_engine_once_a_turn(self, reckonings, monkeypatch):
        monkeypatch.setattr(engine_choice, "SAME_MOMENT_S", 60.0)
        group, servers = a_full_group()
        waiters = [group.queue.submit(make_request()) for _ in range(WAITERS)]
        assert not any(waiter.ended for waiter in waiters)
        reckonings.clear()
        group.queue.pump()
        assert reckonings == []  # nothing has changed since they were submitted
        free = Use(requests=0, unread_tokens=0)
        group.board.take_told({servers[0].instance.address: free}, False)
        placed = sum(1 for waiter in waiters if waiter.ended)
        assert placed >= 1
        assert len(reckonings) <= (placed + 1) * ENGINES

    async def test_see_a_place_at_once_that_a_request_gave_back(self):
        group, servers = a_full_group()
        free = Use(requests=SPEC.slots - 1, unread_tokens=0)
        group.board.take_told({servers[0].instance.address: free}, False)
        first = group.queue.submit(make_request())
        assert first.placement is not None
        second = group.queue.submit(make_request(on_time_s=0.3, decide_s=5.0))
        assert not second.ended
        group.queue.release(first.placement)
        assert second.placement is not None
        assert second.placement.server is first.placement.server

    async def test_do_not_go_by_what_was_reckoned_a_moment_ago(self):
        group, servers = a_full_group()
        waiter = group.queue.submit(make_request(decide_s=5.0))
        assert not waiter.ended
        await asyncio.sleep(0.01)
        servers[0].update_peer_use(Use(requests=0, unread_tokens=0), 0.0)  # nobody is told of it
        group.queue.pump()
        assert waiter.placement is not None
