"""Self-reports of backend servers at one control replica: merged, and passed on once."""

from __future__ import annotations

import asyncio

import pytest

from leadhollow.control.self_report_relay import SAME_REST_S, SelfReportRelay
from leadhollow.wire.generated.ttypes import ServerWord, ServerWords
from leadhollow.wire.handlers import HandlerTable


class Posts:
    """Keeps what is sent to other replicas."""

    def __init__(self) -> None:
        self.sent: list[tuple[str, ServerWords]] = []

    def post(self, address: str, body: ServerWords) -> None:
        self.sent.append((address, body))


class Leaving:
    def __init__(self) -> None:
        self.lives: list[tuple[str, int]] = []

    def take_leaving(self, instance: str, *, born_ms: int) -> None:
        self.lives.append((instance, born_ms))


class Connection:
    hello = None


class Replica:
    def __init__(self) -> None:
        self.posts = Posts()
        self.leaving = Leaving()
        self.told: list[set[tuple[str, int]]] = []
        self.relay = SelfReportRelay(
            own_address="a",
            replicas=lambda: ["a", "b", "c"],
            leaving=self.leaving,
            peers=self.posts,
            handlers=HandlerTable(),
        )
        self.relay.on_change(lambda lives, vm: self.told.append(lives))

    def hear(self, *words: ServerWord, address: str = "") -> None:
        self.relay._on_words(ServerWords(address, list(words)), Connection())


def rest(rest_ms: int, instance: str = "i-1") -> ServerWord:
    return ServerWord(instance, 7, False, rest_ms)


class TestRests:
    async def test_that_an_entry_tells_go_to_entries_and_replicas(self):
        replica = Replica()
        replica.hear(rest(3_000))
        assert replica.told == [{("i-1", 7)}]
        assert [address for address, _ in replica.posts.sent] == ["b", "c"]
        [word] = replica.posts.sent[0][1].words
        assert (word.instance, word.born_ms, word.leaving) == ("i-1", 7, False)
        assert 2_900 < word.rest_ms <= 3_000

    async def test_that_a_replica_tells_go_to_entries_only(self):
        replica = Replica()
        replica.hear(rest(3_000), address="b")
        assert replica.told == [{("i-1", 7)}]
        assert replica.posts.sent == []

    # Guards against: the same rest, that each of many entries is asked for, told as many times.
    async def test_that_many_entries_tell_are_passed_on_once(self):
        replica = Replica()
        for _ in range(39):
            replica.hear(rest(3_000))
        assert len(replica.told) == 1
        replica.hear(rest(3_000 + round(SAME_REST_S * 1_000) + 100))
        assert len(replica.told) == 2

    async def test_end(self):
        replica = Replica()
        replica.hear(rest(30), rest(60_000, "i-2"))
        assert replica.relay.resting() == {("i-1", 7), ("i-2", 7)}
        await asyncio.sleep(0.05)
        assert replica.relay.resting() == {("i-2", 7)}
        assert [word.instance for word in replica.relay.news([("i-1", 7), ("i-2", 7)])] == ["i-2"]

    @pytest.mark.parametrize(
        "word",
        [ServerWord(None, 0, False, 9), rest(-1), ServerWord("i-1", -1, True, 0)],
    )
    async def test_that_are_malformed_are_not_taken(self, word):
        replica = Replica()
        replica.hear(rest(3_000), word)
        assert (replica.told, replica.leaving.lives) == ([], [])


class TestLeaving:
    async def test_goes_the_way_of_heartbeats(self):
        replica = Replica()
        replica.hear(ServerWord("i-1", 7, True, 0))
        assert replica.leaving.lives == [("i-1", 7)]
        assert (replica.told, replica.posts.sent) == ([], [])
