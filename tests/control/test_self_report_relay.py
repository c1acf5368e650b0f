"""Self-reports of backend servers at one control replica: merging, and relaying once."""

from __future__ import annotations

import asyncio

import pytest

from leadhollow.control.self_report_relay import MIN_BACKOFF_CHANGE_S, SelfReportRelay
from leadhollow.wire.generated.ttypes import Hello, ServerWord, ServerWords
from leadhollow.wire.handlers import HandlerTable


class FakePeers:
    """Peer pool that keeps the messages sent to other replicas."""

    def __init__(self) -> None:
        self.sent: list[tuple[str, ServerWords]] = []

    def post(self, address: str, body: ServerWords) -> None:
        self.sent.append((address, body))


class FakeLeavingTable:
    def __init__(self) -> None:
        self.lives: list[str] = []

    def mark_leaving(self, life: str) -> None:
        self.lives.append(life)


class Connection:
    def __init__(self, vm: str) -> None:
        self.hello = Hello(vm=vm)


class Replica:
    def __init__(self) -> None:
        self.peers_stub = FakePeers()
        self.leaving = FakeLeavingTable()
        self.changes: list[set[str]] = []
        self.relay = SelfReportRelay(
            own_address="a",
            replicas=lambda: ["a", "b", "c"],
            leaving_table=self.leaving,
            peers=self.peers_stub,
            handlers=HandlerTable(),
        )
        self.relay.on_change(lambda lives, vm: self.changes.append(lives))

    def receive(self, *words: ServerWord, address: str = "", vm: str = "entry") -> None:
        self.relay._on_words(ServerWords(address, list(words)), Connection(vm))


def backoff(rest_ms: int, life: str = "i-1@7") -> ServerWord:
    return ServerWord(life=life, rest_ms=rest_ms)


def leaving(life: str = "i-1@7") -> ServerWord:
    return ServerWord(life=life, leaving=True)


class TestBackoffs:
    async def test_backoff_from_an_entry_goes_to_entries_and_replicas(self):
        replica = Replica()
        replica.receive(backoff(3_000))
        assert replica.changes == [{"i-1@7"}]
        assert [address for address, _ in replica.peers_stub.sent] == ["b", "c"]
        [word] = replica.peers_stub.sent[0][1].words
        assert (word.life, word.leaving, word.told_by) == ("i-1@7", None, "entry")
        assert 2_900 < word.rest_ms <= 3_000

    async def test_backoff_from_a_replica_goes_to_entries_only(self):
        replica = Replica()
        replica.receive(backoff(3_000), address="b")
        assert replica.changes == [{"i-1@7"}]
        assert replica.peers_stub.sent == []

    # Guards against: a back-off that a server asks of many entries is relayed once per entry.
    async def test_backoff_reported_by_many_entries_is_relayed_once(self):
        replica = Replica()
        for _ in range(39):
            replica.receive(backoff(3_000))
        assert len(replica.changes) == 1
        replica.receive(backoff(3_000 + round(MIN_BACKOFF_CHANGE_S * 1_000) + 100))
        assert len(replica.changes) == 2

    async def test_backoff_expires(self):
        replica = Replica()
        replica.receive(backoff(30), backoff(60_000, "i-2@7"))
        assert replica.relay.lives_in_backoff() == {"i-1@7", "i-2@7"}
        await asyncio.sleep(0.05)
        assert replica.relay.lives_in_backoff() == {"i-2@7"}
        assert [word.life for word in replica.relay.encode_backoffs(["i-1@7", "i-2@7"])] == [
            "i-2@7"
        ]

    @pytest.mark.parametrize(
        "word",
        [ServerWord(rest_ms=9), backoff(-1), leaving("")],
    )
    async def test_malformed_report_rejects_the_message(self, word):
        replica = Replica()
        replica.receive(backoff(3_000), word)
        assert (replica.changes, replica.leaving.lives) == ([], [])


class TestLeaving:
    async def test_leaving_goes_to_the_registry_and_is_relayed_once(self):
        replica = Replica()
        for _ in range(2):
            replica.receive(leaving())
        assert replica.leaving.lives == ["i-1@7", "i-1@7"]
        assert [address for address, _ in replica.peers_stub.sent] == ["b", "c"]
        assert replica.changes == []


class TestReporter:
    # Guards against: another replica names the relaying replica as the reporter.
    async def test_reporter_is_the_vm_of_the_entry_at_every_replica(self):
        first, second = Replica(), Replica()
        first.receive(leaving(), backoff(3_000, "i-2@7"), vm="entry-3")
        _, relayed = first.peers_stub.sent[0]
        second.receive(*relayed.words, address="a", vm="control-1")
        for replica in (first, second):
            known = replica.relay.backoff("i-2@7")
            assert known is not None
            assert (replica.relay.leaving_reported_by["i-1@7"], known.vm) == ("entry-3", "entry-3")
