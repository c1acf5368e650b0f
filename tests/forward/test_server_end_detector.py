"""Tests of when an entry takes a backend server that broke off requests for ended."""

from __future__ import annotations

import asyncio
from types import SimpleNamespace
from typing import Any

from result import Err, Ok

from leadhollow.codes import Code
from leadhollow.decide.health import Health
from leadhollow.decide.recent_successes import RecentSuccesses
from leadhollow.decide.server_ends import ServerEnd
from leadhollow.failure import Failure
from leadhollow.forward import server_end_detector
from leadhollow.forward.server_end_detector import ServerEndDetector
from leadhollow.membership.instances import InstanceState
from tests.support import eventually

TRAIT = b"t" * 16
SETTLED_S = 0.15  # longer than all attempts of one check


class FakePool:
    """Opens connections to the addresses that listen."""

    def __init__(self) -> None:
        self.listening: set[str] = set()
        self.tried: list[str] = []

    async def acquire(self, address: str, *, fresh: bool) -> Any:
        self.tried.append(address)
        if address in self.listening:
            return Ok(SimpleNamespace())
        return Err(Failure(code=Code.PEER_ABSENT))

    async def preconnect(self, address: str) -> bool:
        return (await self.acquire(address, fresh=True)).is_ok()

    def release(self, address: str, connection: Any) -> None:
        """Take a connection back."""


class Domain:
    """Servers of one failure domain, as one entry sees them."""

    def __init__(self, *names: str) -> None:
        self.pool = FakePool()
        self.pool.listening = set(names)
        self.servers = {name: make_server(name) for name in names}
        self.ends: list[ServerEnd] = []
        self.survived: list[tuple[str, set[bytes]]] = []
        self.replace: Any = None
        directory: Any = SimpleNamespace(
            all_servers=lambda: list(self.servers.values()), on_replaced=self._keep
        )
        self.detector = ServerEndDetector(
            directory=directory,
            pool=self.pool,  # type: ignore[arg-type]
            successes=RecentSuccesses(),
            on_server_end=self.ends.append,
            on_survival=lambda server, traits: self.survived.append(
                (server.instance.instance, set(traits))
            ),
        )

    def _keep(self, listener: Any) -> None:
        self.replace = listener

    def end(self, name: str) -> None:
        """Let a server end that ran a request of this entry."""
        self.pool.listening.discard(name)
        self.detector.record_interruption(self.servers[name], [TRAIT])

    def ended(self) -> list[str]:
        return [end.life for end in self.ends]


def make_server(name: str) -> Any:
    instance = SimpleNamespace(
        instance=name, life=name, address=name, failure_domain="d", state=InstanceState.READY
    )
    return SimpleNamespace(
        instance=instance, health=Health(), calls=[], switching=lambda now_s: False
    )


class TestEndOfAServer:
    async def test_is_reported_if_a_neighbour_accepts_connections(self):
        domain = Domain("a", "b")
        domain.end("a")
        await eventually(lambda: domain.ended() == ["a"], "a reported end")

    async def test_is_not_reported_while_the_server_accepts_connections(self):
        domain = Domain("a", "b")
        domain.detector.record_interruption(domain.servers["a"], [TRAIT])
        await asyncio.sleep(SETTLED_S)
        assert domain.ended() == []

    # Where most servers of a domain had ended, an end was noticed seconds later.
    async def test_is_reported_if_only_the_last_of_many_neighbours_is_left(self):
        domain = Domain("a", "b", "c", "d", "e")
        domain.pool.listening -= {"b", "c", "d"}
        domain.end("a")
        await eventually(lambda: domain.ended() == ["a"], "a reported end")

    # A neighbour that had been silent for a while was not asked, though it accepts connections.
    async def test_is_reported_if_the_only_neighbour_is_silent(self):
        domain = Domain("a", "b")
        domain.detector.record_interruption(domain.servers["b"], [TRAIT])
        domain.end("a")
        await eventually(lambda: domain.ended() == ["a"], "a reported end")

    # An end without a neighbour was noticed only when another life had the address.
    async def test_is_reported_once_a_neighbour_is_back(self):
        domain = Domain("a", "b")
        domain.end("b")
        domain.end("a")
        await asyncio.sleep(SETTLED_S)
        assert domain.ended() == []
        domain.pool.listening.add("b")
        await eventually(lambda: domain.ended() == ["a"], "a reported end")

    async def test_is_not_reported_when_a_cut_domain_is_back(self):
        domain = Domain("a", "b", "c", "d")
        for name in "abcd":
            domain.end(name)
        await asyncio.sleep(SETTLED_S)
        domain.pool.listening |= set("abcd")
        await asyncio.sleep(4 * SETTLED_S)
        assert domain.ended() == []

    async def test_is_reported_when_another_life_has_the_address(self):
        domain = Domain("a", "b")
        domain.end("a")
        domain.end("b")
        domain.replace(domain.servers["a"].instance)
        assert domain.ended() == ["a"]

    # A server that resets connections now and then would take requests of hours ago with its end.
    async def test_counts_only_against_recent_requests(self, monkeypatch):
        monkeypatch.setattr(server_end_detector, "MAX_AGE_S", 0.2)
        domain = Domain("a", "b")
        for number in range(4):
            domain.detector.record_interruption(domain.servers["a"], [b"%d" % number * 16])
            await asyncio.sleep(0.1)
        domain.end("a")
        await eventually(lambda: domain.ended() == ["a"], "a reported end")
        assert domain.ends[0].ran == {TRAIT, b"3" * 16}

    # Refreshed records would keep older ones from being forgotten.
    async def test_is_forgotten_though_an_earlier_server_was_interrupted_again(self, monkeypatch):
        monkeypatch.setattr(server_end_detector, "MAX_AGE_S", 0.2)
        domain = Domain("a", "b", "c", "d")
        domain.detector.record_interruption(domain.servers["a"], [TRAIT])
        domain.detector.record_interruption(domain.servers["b"], [TRAIT])
        await asyncio.sleep(0.15)
        domain.detector.record_interruption(domain.servers["a"], [TRAIT])
        await asyncio.sleep(0.1)
        domain.detector.record_interruption(domain.servers["c"], [TRAIT])
        domain.replace(domain.servers["b"].instance)
        assert domain.ended() == []


class TestResponseThatEndsWithItsConnection:
    async def test_is_survived_by_a_server_that_accepts_connections(self):
        domain = Domain("a", "b")
        domain.detector.record_close(domain.servers["a"], [TRAIT])
        await eventually(lambda: domain.survived == [("a", {TRAIT})], "a survival")
        assert domain.ended() == []

    # A response that the end of its server cut between two events would pass for complete.
    async def test_counts_against_its_request_if_the_server_has_ended(self):
        domain = Domain("a", "b")
        domain.pool.listening.discard("a")
        domain.detector.record_close(domain.servers["a"], [TRAIT])
        await eventually(lambda: domain.ended() == ["a"], "a reported end")
        assert domain.ends[0].ran == {TRAIT}
        assert domain.survived == []

    # The next life at the address would revoke the end of the one that had closed.
    async def test_is_not_survived_once_the_end_of_its_server_is_reported(self):
        domain = Domain("a", "b")
        domain.detector.record_interruption(domain.servers["a"], [TRAIT])
        domain.detector.record_close(domain.servers["a"], [b"c" * 16])
        domain.replace(domain.servers["a"].instance)
        await asyncio.sleep(SETTLED_S)
        assert domain.ends[0].ran == {TRAIT, b"c" * 16}
        assert domain.survived == []
