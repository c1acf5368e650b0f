"""Self-reports of servers to several entries, with late, lost and reordered messages and jumps."""

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
    """Clock that includes suspensions, shared by all processes."""

    def __init__(self) -> None:
        self.now_s = 100.0

    def elapsed_s(self) -> float:
        return self.now_s


class Feed:
    """Control feed of one entry, driven by the test."""

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
        self.directory = ServerDirectory(table=self.table, clock=asyncio.get_running_loop().time)
        self.reports = SelfReports(directory=self.directory, feed=self.feed, peers=self, seed=1)

    async def connection(self, address: str):
        return Ok(self)

    def oneway(self, words: ServerWords) -> None:
        self.fleet.in_flight.append((self, words))

    def receive(self, **fields: object) -> None:
        """Receive the response to a request sent now, or earlier if none may be sent now."""
        server = self.directory.server(NAME)
        if server is not None:
            call = OwnCall(prompt_tokens=0, output_tokens=0, placed_s=0.0, predicted_ms=0.0)
            server.claim_send(call)
            metadata = ResponseMetadata(attempt_id=None, signed=True, not_executed=False, **fields)
            self.reports.record_response(server, metadata, sent_s=None, call=call)
            server.remove_call(call, 0.0)

    def may_send(self) -> bool:
        server = self.directory.server(NAME)
        if server is None:
            return False
        call = OwnCall(prompt_tokens=0, output_tokens=0, placed_s=0.0, predicted_ms=0.0)
        allowed = server.claim_send(call) is None
        server.remove_call(call, 0.0)
        return allowed


class Fleet:
    """One server that restarts, a control replica, and entries that may be cut off."""

    def __init__(self, clock: Clock) -> None:
        self.clock = clock
        self.born_ms = 1
        self.sequence = 0
        self.in_flight: list[tuple[Entry, ServerWords]] = []
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
        self.leaving_lives: list[set[str]] = [set() for _ in range(ENTRIES)]  # by entry
        self.backoff_until_s: list[dict[str, float]] = [{} for _ in range(ENTRIES)]

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

    def announcement(self, sequence: int) -> Instance:
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

    async def apply(self, step: tuple[str, int, float]) -> None:
        kind, place, value = step
        entry = self.entries[place]
        known = entry.directory.server(NAME)
        life = "" if known is None else known.instance.life
        match kind:
            case "beat":
                self.sequence += 1
                self.control.merge(self.announcement(self.sequence))
            case "late beat":
                entry.table.merge(self.announcement(max(1, self.sequence - 1)))
            case "restart":
                self.born_ms += 1
                self.sequence = 0
            case "leaves" if life:
                entry.receive(leaving=True)
                self.leaving_lives[place].add(life)
            case "rests" if life:
                entry.receive(rest_s=value)
                ends_s = self.backoff_until_s[place]
                ends_s[life] = max(ends_s.get(life, 0.0), self.clock.now_s + value)
            case "answers":
                entry.receive()
            case "tell":
                await entry.reports._publish(whole=True)
            case "deliver":
                arrived, self.in_flight = self.in_flight, []
                for sender, words in arrived:
                    if not sender.cut:
                        self.relay._on_words(words, Connection())
            case "cut" | "heal":
                entry.cut = kind == "cut"
            case "pass":
                self.clock.now_s += value

    def check(self) -> None:
        for place, entry in enumerate(self.entries):
            known = entry.directory.server(NAME)
            if known is None:
                continue
            life = known.instance.life
            sends = entry.may_send()
            assert not (sends and life in self.leaving_lives[place])
            assert not (sends and self.clock.now_s < self.backoff_until_s[place].get(life, 0.0))


@contextlib.contextmanager
def shared_clock() -> Iterator[Clock]:
    """Make all processes use one clock that the test controls."""
    clock = Clock()
    clocks = self_reports.clocks
    before = clocks.elapsed_s
    clocks.elapsed_s = clock.elapsed_s  # type: ignore[assignment]
    try:
        yield clock
    finally:
        clocks.elapsed_s = before  # type: ignore[assignment]


class TestSelfReportsAcrossEntries:
    # Guards against: an order of responses, updates, restarts, cuts and suspensions in which an
    # entry sends to a server that reported to it that it is leaving or backing off.
    @settings(max_examples=150, deadline=None)
    @given(steps)
    def test_sends_nothing_against_a_self_report(self, drawn_steps):
        async def run() -> None:
            with shared_clock() as clock:
                fleet = Fleet(clock)
                await fleet.apply(("beat", 0, 0.0))
                for step in drawn_steps:
                    await fleet.apply(step)
                    fleet.check()

        asyncio.run(run())

    def test_stops_sending_at_all_entries_once_a_report_is_relayed(self):
        async def run() -> None:
            with shared_clock() as clock:
                fleet = Fleet(clock)
                await fleet.apply(("beat", 0, 0.0))
                assert all(entry.may_send() for entry in fleet.entries)
                for step in (("leaves", 0, 0.0), ("tell", 0, 0.0), ("deliver", 0, 0.0)):
                    await fleet.apply(step)
                assert not any(entry.may_send() for entry in fleet.entries)
                for step in (("restart", 0, 0.0), ("beat", 0, 0.0)):
                    await fleet.apply(step)
                assert all(entry.may_send() for entry in fleet.entries)

        asyncio.run(run())
