"""Self-reports of backend servers at one control replica: merged, and passed on once."""

from __future__ import annotations

import asyncio

import pytest

from leadhollow.control.self_report_relay import SAME_REST_S, SelfReportRelay
from leadhollow.wire.generated.ttypes import Hello, ServerWord, ServerWords
from leadhollow.wire.handlers import HandlerTable


class Posts:
    """Keeps what is sent to other replicas."""

    def __init__(self) -> None:
        self.sent: list[tuple[str, ServerWords]] = []

    def post(self, address: str, body: ServerWords) -> None:
        self.sent.append((address, body))


class Leaving:
    def __init__(self) -> None:
        self.lives: list[str] = []

    def mark_leaving(self, life: str) -> None:
        self.lives.append(life)


class Connection:
    def __init__(self, vm: str) -> None:
        self.hello = Hello(vm=vm)


class Replica:
    def __init__(self) -> None:
        self.posts = Posts()
        self.leaving = Leaving()
        self.told: list[set[str]] = []
        self.relay = SelfReportRelay(
            own_address="a",
            replicas=lambda: ["a", "b", "c"],
            leaving_table=self.leaving,
            peers=self.posts,
            handlers=HandlerTable(),
        )
        self.relay.on_change(lambda lives, vm: self.told.append(lives))

    def hear(self, *words: ServerWord, address: str = "", vm: str = "entry") -> None:
        self.relay._on_words(ServerWords(address, list(words)), Connection(vm))


def rest(rest_ms: int, life: str = "i-1@7") -> ServerWord:
    return ServerWord(life=life, rest_ms=rest_ms)


def leaving(life: str = "i-1@7") -> ServerWord:
    return ServerWord(life=life, leaving=True)


class TestRests:
    async def test_that_an_entry_tells_go_to_entries_and_replicas(self):
        replica = Replica()
        replica.hear(rest(3_000))
        assert replica.told == [{"i-1@7"}]
        assert [address for address, _ in replica.posts.sent] == ["b", "c"]
        [word] = replica.posts.sent[0][1].words
        assert (word.life, word.leaving, word.told_by) == ("i-1@7", None, "entry")
        assert 2_900 < word.rest_ms <= 3_000

    async def test_that_a_replica_tells_go_to_entries_only(self):
        replica = Replica()
        replica.hear(rest(3_000), address="b")
        assert replica.told == [{"i-1@7"}]
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
        replica.hear(rest(30), rest(60_000, "i-2@7"))
        assert replica.relay.lives_in_backoff() == {"i-1@7", "i-2@7"}
        await asyncio.sleep(0.05)
        assert replica.relay.lives_in_backoff() == {"i-2@7"}
        assert [word.life for word in replica.relay.encode_backoffs(["i-1@7", "i-2@7"])] == [
            "i-2@7"
        ]

    @pytest.mark.parametrize(
        "word",
        [ServerWord(rest_ms=9), rest(-1), leaving("")],
    )
    async def test_that_are_malformed_are_not_taken(self, word):
        replica = Replica()
        replica.hear(rest(3_000), word)
        assert (replica.told, replica.leaving.lives) == ([], [])


class TestLeaving:
    async def test_goes_the_way_of_heartbeats_and_is_passed_on_once(self):
        replica = Replica()
        for _ in range(2):
            replica.hear(leaving())
        assert replica.leaving.lives == ["i-1@7", "i-1@7"]
        assert [address for address, _ in replica.posts.sent] == ["b", "c"]
        assert replica.told == []


class TestWhoTold:
    # Guards against: another replica names the one that passed a word on as who heard it.
    async def test_is_the_vm_that_heard_it_at_every_replica(self):
        first, second = Replica(), Replica()
        first.hear(leaving(), rest(3_000, "i-2@7"), vm="entry-3")
        _, passed_on = first.posts.sent[0]
        second.hear(*passed_on.words, address="a", vm="control-1")
        for replica in (first, second):
            known = replica.relay.backoff("i-2@7")
            assert known is not None
            assert (replica.relay.leaving_reported_by["i-1@7"], known.vm) == ("entry-3", "entry-3")
