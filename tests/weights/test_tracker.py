"""Leases of reads from the origin, and assignment of neighbours."""

from __future__ import annotations

import asyncio

import pytest

from leadhollow.settings.model import WeightsSettings
from leadhollow.weights import tracker as tracker_module
from leadhollow.weights.bitmap import Bitmap
from leadhollow.weights.lease_policies import LEASE_VALID_S
from leadhollow.weights.tracker import Tracker
from leadhollow.wire.generated.ttypes import OriginLeaseRequest, SwarmJoin
from leadhollow.wire.handlers import HandlerTable

CHUNKS = 20


class FakeConnection:
    """Connection with only the attribute that leases use."""

    def __init__(self) -> None:
        self.closed = asyncio.Event()


class TrackerClient:
    """Calls the handlers of a tracker directly, with a clock that the test sets."""

    def __init__(self, monkeypatch) -> None:
        self.now_s = 1_000.0
        monkeypatch.setattr(tracker_module, "_now_s", lambda: self.now_s)
        self.connections: dict[str, FakeConnection] = {}
        self.tracker = Tracker(handlers=HandlerTable(), settings=WeightsSettings(), seed=1)

    async def lease(self, server: str, *, window: int = 4, held=(), done=(), stuck=()):
        bitmap = Bitmap(count=CHUNKS)
        bitmap.add_all(held)
        request = OriginLeaseRequest(
            "root", server, bitmap.to_bytes(), window, CHUNKS, list(done), list(stuck)
        )
        connection = self.connections.setdefault(server, FakeConnection())
        return (await self.tracker._on_lease(request, connection)).unwrap().chunks

    async def lease_all(self, server: str, **given) -> list[int]:
        """Request leases until no chunk is free."""
        taken = []
        while part := await self.lease(f"{server}-{len(taken)}", window=CHUNKS, **given):
            taken += part
        return taken

    async def join(self, server: str, domain: str = "d") -> list[str]:
        request = SwarmJoin("root", server, f"{server}:1", domain, 0)
        reply = (await self.tracker._on_join(request, None)).unwrap()
        return [neighbour.server for neighbour in reply.neighbours]


@pytest.fixture
def client(monkeypatch) -> TrackerClient:
    return TrackerClient(monkeypatch)


class TestLeases:
    async def test_no_chunk_is_leased_twice(self, client):
        given = []
        for number in range(40):
            given += await client.lease(f"s{number}")
        assert sorted(given) == list(range(CHUNKS))

    async def test_participant_never_has_more_unread_chunks_than_its_share(self, client):
        for number in range(5):
            await client.join(f"s{number}")
        first = await client.lease("s0", window=16)
        assert len(first) == 2
        assert await client.lease("s0", window=16) == []
        assert len(await client.lease("s0", window=16, done=first)) == 2

    async def test_reply_is_empty_if_no_chunk_is_free(self, client):
        await client.lease_all("a")
        assert await client.lease("b") == []

    async def test_lease_of_a_dead_holder_expires(self, client):
        first = await client.lease_all("a")
        client.now_s += LEASE_VALID_S + 0.1
        assert sorted(await client.lease_all("b")) == sorted(first)

    # each further report of a chunk that nobody holds added it to the free chunks once more
    async def test_chunk_reported_stuck_twice_is_free_once(self, client):
        first = await client.lease("a", window=1)
        await client.lease("a", window=0, done=first)
        await client.lease("b", window=0, stuck=first)
        await client.lease("c", window=0, stuck=first)
        (swarm,) = client.tracker._swarms.values()
        assert list(swarm.lease_table.free).count(first[0]) == 1

    async def test_lease_ends_when_its_holder_disconnects(self, client):
        first = await client.lease("a")
        client.connections["a"].closed.set()
        assert set(first) <= set(await client.lease_all("b"))

    async def test_chunks_that_the_requester_holds_are_not_leased(self, client):
        given = await client.lease_all("a", held=range(15))
        assert sorted(given) == list(range(15, CHUNKS))

    async def test_stuck_chunk_is_leased_again(self, client):
        given = await client.lease_all("a")
        await client.lease("a", done=given)
        assert await client.lease("b") == []
        assert await client.lease("b", stuck=[3]) == [3]

    async def test_stuck_chunk_with_a_lease_is_not_leased_again(self, client):
        await client.lease_all("a")
        assert await client.lease("b", stuck=[3]) == []

    async def test_new_tracker_learns_held_chunks_from_requests(self, client):
        given = await client.lease("a", window=4, held=[0, 1, 2], done=[3])
        assert not set(given) & {0, 1, 2, 3}


class TestNeighbours:
    async def test_first_participant_has_no_neighbours(self, client):
        assert await client.join("a") == []

    async def test_neighbours_are_bounded_and_mostly_local(self, client):
        for number in range(30):
            await client.join(f"in-{number}")
            await client.join(f"out-{number}", "far")
        found = await client.join("me")
        inside = [server for server in found if server.startswith("in-")]
        assert (len(found), len(inside)) == (9, 6)

    async def test_silent_participants_expire(self, client):
        await client.join("a")
        client.now_s += tracker_module.PARTICIPANT_VALID_S + 0.1
        assert await client.join("b") == []
