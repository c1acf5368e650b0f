"""Tests of piece assignment, switch turns, the piece store and the link monitor."""

from __future__ import annotations

import asyncio
import hashlib
from collections import Counter

import pytest
from hypothesis import given
from hypothesis import strategies as st

from leadhollow.staging.link_monitor import MIN_SHARE, LinkMonitor
from leadhollow.staging.piece_assignment import PieceAssignment, Stager
from leadhollow.staging.pieces import PieceStore
from leadhollow.staging.switch_order import SwitchState, may_switch, switch_rank
from leadhollow.weights.named_versions import NamedVersion, PieceManifest

PIECES = [bytes([number]) * 64 for number in range(12)]


def manifest(pieces: list[bytes] = PIECES) -> PieceManifest:
    digests = b"".join(hashlib.sha256(piece).digest() for piece in pieces)
    return PieceManifest(algorithm="sha256", chunk_bytes=64, layers=4, digests=digests)


def stagers(*domains: str) -> list[Stager]:
    return [
        Stager(address=f"10.0.0.{number}:7000", failure_domain=domain)
        for number, domain in enumerate(domains)
    ]


class TestPieceAssignment:
    @given(st.lists(st.sampled_from("abc"), min_size=1, max_size=12), st.integers(1, 9))
    def test_all_stagers_compute_the_same_reader_and_importers(self, domains, number):
        found = stagers(*domains)
        assignments = [
            PieceAssignment(number=number, stagers=found),
            PieceAssignment(number=number, stagers=list(reversed(found))),
        ]
        for index in range(96):
            readers = {assignment.origin_reader(index) for assignment in assignments}
            assert len(readers) == 1
            for domain in set(domains):
                importers = {assignment.importer(index, domain) for assignment in assignments}
                assert len(importers) == 1
                assert importers.pop().failure_domain == domain

    def test_the_reader_is_the_importer_of_its_own_domain(self):
        assignment = PieceAssignment(number=2, stagers=stagers(*"aabbcc"))
        for index in range(96):
            reader = assignment.origin_reader(index)
            assert assignment.importer(index, reader.failure_domain) == reader

    def test_pieces_are_divided_evenly(self):
        assignment = PieceAssignment(number=2, stagers=stagers(*"aaaabbbccc"))
        reads = Counter(assignment.origin_reader(index).address for index in range(96))
        assert max(reads.values()) - min(reads.values()) <= 1
        imports = Counter(assignment.importer(index, "b").address for index in range(96))
        assert max(imports.values()) - min(imports.values()) <= 4


def switch_states(states: str) -> list[SwitchState]:
    """Create engines from letters: done, switching, complete, or not complete (-)."""
    return [
        SwitchState(
            address=f"10.0.0.{number}:80",
            failure_domain="a",
            complete=state != "-",
            switching=state == "s",
            done=state == "d",
        )
        for number, state in enumerate(states)
    ]


def allowed_to_switch(states: str, number: int = 2, *, announced: bool = False) -> list[str]:
    """Return the complete engines that may switch now."""
    engines = switch_states(states)
    return [
        engine.address
        for engine in engines
        if engine.complete and not engine.done and not engine.switching
        if may_switch(engine.address, number, engines, announced=announced)
    ]


class TestMaySwitch:
    def test_half_of_the_engines_may_switch_first(self):
        assert len(allowed_to_switch("cccccccccc")) == 5

    def test_the_others_wait_while_half_is_switching(self):
        assert allowed_to_switch("sssssccccc") == []

    def test_the_others_may_switch_after_half_is_done(self):
        assert len(allowed_to_switch("dddddccccc")) == 5

    def test_a_single_engine_may_switch_at_once(self):
        assert len(allowed_to_switch("c")) == 1

    def test_incomplete_engines_do_not_delay_the_others(self):
        assert len(allowed_to_switch("-----ccccc")) == 5

    def test_the_first_in_order_go_on_after_simultaneous_announcements(self):
        engines = switch_states("ssssssssss")
        allowed = [
            engine.address
            for engine in engines
            if may_switch(engine.address, 2, engines, announced=True)
        ]
        ordered = sorted(
            (state.address for state in engines), key=lambda address: switch_rank(address, 2)
        )
        assert sorted(allowed) == sorted(ordered[:5])

    def test_all_listeners_of_a_vm_have_the_same_rank(self):
        assert switch_rank("10.0.0.1:80", 3) == switch_rank("10.0.0.1:7000", 3)


class TestPieceStore:
    def test_adds_only_pieces_that_match_their_digest(self):
        store = PieceStore()
        version = store.find_or_create(
            NamedVersion(model="m", number=1, named=True, manifest=manifest())
        )
        assert not version.add(0, PIECES[1])
        assert not version.add(0, PIECES[0][:-1])
        assert not version.add(99, PIECES[0])
        assert version.add(0, PIECES[0])
        assert version.piece(0) == PIECES[0]
        assert not version.complete

    def test_does_not_create_a_version_without_a_manifest(self):
        assert PieceStore().find_or_create(NamedVersion(model="m", number=1, named=True)) is None

    def test_discards_old_versions(self):
        store = PieceStore()
        for number in (1, 2, 3):
            store.find_or_create(
                NamedVersion(model="m", number=number, named=True, manifest=manifest())
            )
        assert [version.number for version in store.versions("m")] == [3, 2]


class TestLinkMonitor:
    @pytest.mark.parametrize("lost", [False, True])
    def test_reduces_the_share_on_late_probes_and_on_probes_lost_after_them(self, lost):
        monitor = LinkMonitor(feed=None, peers=None, vm="v")
        monitor.record_probe(0.5, lost=False)
        for _ in range(20):
            monitor.record_probe(0.5, lost=lost)
        assert monitor.share == MIN_SHARE

    def test_keeps_the_share_if_probes_are_lost_after_a_fast_one(self):
        monitor = LinkMonitor(feed=None, peers=None, vm="v")
        monitor.record_probe(0.01, lost=False)
        for _ in range(20):
            monitor.record_probe(1.0, lost=True)
        assert monitor.share == 1.0

    def test_restores_the_share_gradually(self):
        monitor = LinkMonitor(feed=None, peers=None, vm="v")
        monitor.record_probe(0.5, lost=False)
        reduced_share = monitor.share
        monitor.record_probe(0.01, lost=False)
        assert reduced_share < monitor.share < 1.0
        for _ in range(40):
            monitor.record_probe(0.01, lost=False)
        assert monitor.share == 1.0

    def test_counts_the_age_of_a_probe_in_flight_unless_the_replica_changed(self):
        async def run() -> tuple[float, float]:
            feed, peers = FollowedFeed(), UnresponsivePeers()
            monitor = LinkMonitor(feed=feed, peers=peers, vm="v")
            await monitor.start()
            await asyncio.wait_for(peers.asked.wait(), 2)
            await asyncio.sleep(0.05)
            in_flight_s = monitor.delay_s()
            feed.source = "127.0.0.1:2"
            other_source_s = monitor.delay_s()
            await monitor.stop()
            return in_flight_s, other_source_s

        in_flight_s, other_source_s = asyncio.run(run())
        assert in_flight_s >= 0.04
        assert other_source_s == 0.0


class FollowedFeed:
    def __init__(self) -> None:
        self.source = "127.0.0.1:1"


class UnresponsivePeers:
    """Never answers a call."""

    def __init__(self) -> None:
        self.asked = asyncio.Event()

    async def call(self, address, body, *, timeout_ms):
        self.asked.set()
        await asyncio.sleep(3600)
