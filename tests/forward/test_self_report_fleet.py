"""Leaving and resting servers before several entries, with whatever is late, cut or suspended."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import Iterator

from hypothesis import given, settings
from hypothesis import strategies as st
from result import Ok

from leadhollow.control.self_report_relay import SelfReportRelay
from leadhollow.decide.server_load import OwnCall
from leadhollow.forward import self_reports
from leadhollow.forward.dialect import ResponseMetadata
from leadhollow.forward.self_reports import SelfReports
from leadhollow.forward.server_directory import ServerDirectory
from leadhollow.membership.instance_table import InstanceTable
from leadhollow.membership.instances import Instance, InstanceState
from leadhollow.wire.generated.ttypes import ServerWord, ServerWords
from leadhollow.wire.handlers import HandlerTable

ENTRIES = 3
NAME = "i-1"

entries = st.integers(0, ENTRIES - 1)
steps = st.lists(
    st.one_of(
        st.tuples(st.just("leaves"), entries, st.just(0.0)),
        st.tuples(st.just("rests"), entries, st.sampled_from([0.05, 1.0, 3.0, 600.0])),
        st.tuples(st.just("answers"), entries, st.just(0.0)),
        st.tuples(st.just("beat"), st.just(0), st.just(0.0)),
        st.tuples(st.just("late beat"), entries, st.just(0.0)),
        st.tuples(st.just("tell"), entries, st.just(0.0)),
        st.tuples(st.just("deliver"), st.just(0), st.just(0.0)),
        st.tuples(st.just("cut"), entries, st.just(0.0)),
        st.tuples(st.just("heal"), entries, st.just(0.0)),
        st.tuples(st.just("pass"), st.just(0), st.sampled_from([0.02, 0.4, 2.0, 30.0])),
        st.tuples(st.just("restart"), st.just(0), st.just(0.0)),
    ),
    max_size=40,
)


class Clock:
    """Time with suspensions, as all processes share it."""

    def __init__(self) -> None:
        self.now_s = 100.0

    def elapsed_s(self) -> float:
        return self.now_s


class Feed:
    """Takes what an entry is told."""

    def __init__(self) -> None:
        self.source = "control"

    def on_full_update(self, listener) -> None:
        self.followed = listener

    def on_backoffs(self, listener) -> None:
        self.rests = listener


class Connection:
    hello = None


class Entry:
    def __init__(self, fleet: Fleet) -> None:
        self.fleet = fleet
        self.feed = Feed()
        self.cut = False
        self.table = InstanceTable(forget_after_s=60.0)
        self.board = ServerDirectory(table=self.table, clock=asyncio.get_running_loop().time)
        self.reports = SelfReports(directory=self.board, feed=self.feed, peers=self, seed=1)

    async def connection(self, address: str):
        return Ok(self)

    def oneway(self, words: ServerWords) -> None:
        self.fleet.on_their_way.append((self, words))

    def hear(self, **facts: object) -> None:
        """Take the answer to a request that was sent now, or before where none may be."""
        server = self.board.server(NAME)
        if server is not None:
            call = OwnCall(prompt_tokens=0, output_tokens=0, placed_s=0.0, predicted_ms=0.0)
            server.claim_send(call)
            said = ResponseMetadata(attempt_id=None, signed=True, not_executed=False, **facts)
            self.reports.record_response(server, said, sent_s=None, call=call)
            server.remove_call(call, 0.0)

    def may_send(self) -> bool:
        server = self.board.server(NAME)
        if server is None:
            return False
        call = OwnCall(prompt_tokens=0, output_tokens=0, placed_s=0.0, predicted_ms=0.0)
        allowed = server.claim_send(call) is None
        server.remove_call(call, 0.0)
        return allowed


class Fleet:
    """One server and its lives, a control replica, and entries that are cut off now and then."""

    def __init__(self, clock: Clock) -> None:
        self.clock = clock
        self.born_ms = 1
        self.sequence = 0
        self.on_their_way: list[tuple[Entry, ServerWords]] = []
        self.entries = [Entry(self) for _ in range(ENTRIES)]
        self.relay = SelfReportRelay(
            own_address="control",
            replicas=lambda: ["control"],
            leaving_table=self,
            peers=None,
            handlers=HandlerTable(),
        )
        self.relay.on_change(self._tell_rests)
        self.control = InstanceTable(forget_after_s=60.0)
        self.control.on_change(self._tell_entries)
        self.left: list[set[str]] = [set() for _ in range(ENTRIES)]  # lives that said so, by entry
        self.rest_until_s: list[dict[str, float]] = [{} for _ in range(ENTRIES)]

    @property
    def life(self) -> str:
        return f"{NAME}@{self.born_ms}"

    def mark_leaving(self, life: str) -> None:
        self.control.record_leaving(life)

    def _tell_entries(self, instance: Instance) -> None:
        for entry in self.entries:
            if not entry.cut:
                record = instance.to_record(asyncio.get_running_loop().time())
                entry.table.merge(Instance.from_record(record, asyncio.get_running_loop().time()))

    def _tell_rests(self, lives: set[str], vm: str) -> None:
        words: list[ServerWord] = self.relay.encode_backoffs(lives)
        for entry in self.entries:
            if not entry.cut:
                entry.feed.rests(words)

    def record(self, sequence: int) -> Instance:
        return Instance(
            instance=NAME,
            service="s",
            address="10.0.0.1:80",
            failure_domain="d",
            sequence=sequence,
            state=InstanceState.READY,
            slots=4,
            served=(),
            heard_s=asyncio.get_running_loop().time(),
            born_ms=self.born_ms,
        )

    async def play(self, step: tuple[str, int, float]) -> None:
        kind, place, value = step
        entry = self.entries[place]
        known = entry.board.server(NAME)
        life = "" if known is None else known.instance.life
        match kind:
            case "beat":
                self.sequence += 1
                self.control.merge(self.record(self.sequence))
            case "late beat":
                entry.table.merge(self.record(max(1, self.sequence - 1)))
            case "restart":
                self.born_ms += 1
                self.sequence = 0
            case "leaves" if life:
                entry.hear(leaving=True)
                self.left[place].add(life)
            case "rests" if life:
                entry.hear(rest_s=value)
                ends_s = self.rest_until_s[place]
                ends_s[life] = max(ends_s.get(life, 0.0), self.clock.now_s + value)
            case "answers":
                entry.hear()
            case "tell":
                await entry.reports._publish(whole=True)
            case "deliver":
                arrived, self.on_their_way = self.on_their_way, []
                for sender, words in arrived:
                    if not sender.cut:
                        self.relay._on_words(words, Connection())
            case "cut" | "heal":
                entry.cut = kind == "cut"
            case "pass":
                self.clock.now_s += value

    def check(self) -> None:
        for place, entry in enumerate(self.entries):
            known = entry.board.server(NAME)
            if known is None:
                continue
            life = known.instance.life
            sends = entry.may_send()
            assert not (sends and life in self.left[place])
            assert not (sends and self.clock.now_s < self.rest_until_s[place].get(life, 0.0))


@contextlib.contextmanager
def clock_of_processes() -> Iterator[Clock]:
    """Let all parts go by one clock in the hand of the test."""
    clock = Clock()
    clocks = self_reports.clocks
    before = clocks.elapsed_s
    clocks.elapsed_s = clock.elapsed_s  # type: ignore[assignment]
    try:
        yield clock
    finally:
        clocks.elapsed_s = before  # type: ignore[assignment]


class TestFleet:
    # Guards against: an order of answers, news, lives, cuts and suspensions in which an entry sends
    # to a server that told it that it leaves or rests.
    @settings(max_examples=150, deadline=None)
    @given(steps)
    def test_sends_nothing_to_a_server_against_its_own_word(self, played):
        async def run() -> None:
            with clock_of_processes() as clock:
                fleet = Fleet(clock)
                await fleet.play(("beat", 0, 0.0))
                for step in played:
                    await fleet.play(step)
                    fleet.check()

        asyncio.run(run())

    def test_in_touch_all_stop_once_one_has_told(self):
        async def run() -> None:
            with clock_of_processes() as clock:
                fleet = Fleet(clock)
                await fleet.play(("beat", 0, 0.0))
                assert all(entry.may_send() for entry in fleet.entries)
                for step in (("leaves", 0, 0.0), ("tell", 0, 0.0), ("deliver", 0, 0.0)):
                    await fleet.play(step)
                assert not any(entry.may_send() for entry in fleet.entries)
                for step in (("restart", 0, 0.0), ("beat", 0, 0.0)):
                    await fleet.play(step)
                assert all(entry.may_send() for entry in fleet.entries)

        asyncio.run(run())
