"""Who brings which piece, whose turn it is, and what counts as a piece."""

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


class TestSharing:
    @given(st.lists(st.sampled_from("abc"), min_size=1, max_size=12), st.integers(1, 9))
    def test_all_agree_on_one_reader_and_one_importer_a_domain(self, domains, number):
        found = stagers(*domains)
        views = [
            PieceAssignment(number=number, stagers=found),
            PieceAssignment(number=number, stagers=list(reversed(found))),
        ]
        for index in range(96):
            readers = {view.origin_reader(index) for view in views}
            assert len(readers) == 1
            for domain in set(domains):
                importers = {view.importer(index, domain) for view in views}
                assert len(importers) == 1
                assert importers.pop().failure_domain == domain

    def test_the_reader_brings_its_own_pieces_in(self):
        sharing = PieceAssignment(number=2, stagers=stagers(*"aabbcc"))
        for index in range(96):
            reader = sharing.origin_reader(index)
            assert sharing.importer(index, reader.failure_domain) == reader

    def test_tasks_are_dealt_out_evenly(self):
        sharing = PieceAssignment(number=2, stagers=stagers(*"aaaabbbccc"))
        reads = Counter(sharing.origin_reader(index).address for index in range(96))
        assert max(reads.values()) - min(reads.values()) <= 1
        imports = Counter(sharing.importer(index, "b").address for index in range(96))
        assert max(imports.values()) - min(imports.values()) <= 4


def standings(states: str) -> list[SwitchState]:
    """Make engines by letter: done, switching, complete, or not complete (-)."""
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


def allowed(states: str, number: int = 2, *, announced: bool = False) -> list[str]:
    """Give the complete engines that may change now."""
    found = standings(states)
    return [
        standing.address
        for standing in found
        if standing.complete and not standing.done and not standing.switching
        if may_switch(standing.address, number, found, announced=announced)
    ]


class TestTurns:
    def test_half_may_go_first(self):
        assert len(allowed("cccccccccc")) == 5

    def test_the_others_wait_while_half_is_changing(self):
        assert allowed("sssssccccc") == []

    def test_the_others_go_once_half_is_done(self):
        assert len(allowed("dddddccccc")) == 5

    def test_one_engine_alone_goes_at_once(self):
        assert len(allowed("c")) == 1

    def test_those_without_all_pieces_hold_nobody_up(self):
        assert len(allowed("-----ccccc")) == 5

    def test_of_those_that_announced_together_the_first_in_order_go_on(self):
        found = standings("ssssssssss")
        going = [
            standing.address
            for standing in found
            if may_switch(standing.address, 2, found, announced=True)
        ]
        in_order = sorted((one.address for one in found), key=lambda one: switch_rank(one, 2))
        assert sorted(going) == sorted(in_order[:5])

    def test_every_listener_of_a_vm_has_the_same_place(self):
        assert switch_rank("10.0.0.1:80", 3) == switch_rank("10.0.0.1:7000", 3)


class TestPieces:
    def test_are_taken_only_with_their_digest(self):
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

    def test_of_a_version_that_is_not_described_cannot_be_taken(self):
        assert PieceStore().find_or_create(NamedVersion(model="m", number=1, named=True)) is None

    def test_of_old_versions_are_forgotten(self):
        store = PieceStore()
        for number in (1, 2, 3):
            store.find_or_create(
                NamedVersion(model="m", number=number, named=True, manifest=manifest())
            )
        assert [version.number for version in store.versions("m")] == [3, 2]


class TestLinkGauge:
    @pytest.mark.parametrize("lost", [False, True])
    def test_slows_down_on_late_probes_and_those_lost_after_them(self, lost):
        gauge = LinkMonitor(feed=None, peers=None, vm="v")
        gauge.record_probe(0.5, lost=False)
        for _ in range(20):
            gauge.record_probe(0.5, lost=lost)
        assert gauge.share == MIN_SHARE

    def test_a_control_replica_that_is_gone_says_nothing_of_the_link(self):
        gauge = LinkMonitor(feed=None, peers=None, vm="v")
        gauge.record_probe(0.01, lost=False)
        for _ in range(20):
            gauge.record_probe(1.0, lost=True)
        assert gauge.share == 1.0

    def test_comes_back_slowly(self):
        gauge = LinkMonitor(feed=None, peers=None, vm="v")
        gauge.record_probe(0.5, lost=False)
        slowed = gauge.share
        gauge.record_probe(0.01, lost=False)
        assert slowed < gauge.share < 1.0
        for _ in range(40):
            gauge.record_probe(0.01, lost=False)
        assert gauge.share == 1.0

    def test_a_probe_on_its_way_tells_of_the_delay_before_it_arrives(self):
        async def run() -> tuple[float, float]:
            feed, peers = FollowedFeed(), SlowPeers()
            gauge = LinkMonitor(feed=feed, peers=peers, vm="v")
            await gauge.start()
            await asyncio.wait_for(peers.asked.wait(), 2)
            await asyncio.sleep(0.05)
            waiting_s = gauge.delay_s()
            feed.source = "127.0.0.1:2"
            elsewhere_s = gauge.delay_s()
            await gauge.stop()
            return waiting_s, elsewhere_s

        waiting_s, elsewhere_s = asyncio.run(run())
        assert waiting_s >= 0.04
        assert elsewhere_s == 0.0


class FollowedFeed:
    def __init__(self) -> None:
        self.source = "127.0.0.1:1"


class SlowPeers:
    """Answers nothing."""

    def __init__(self) -> None:
        self.asked = asyncio.Event()

    async def call(self, address, body, *, timeout_ms):
        self.asked.set()
        await asyncio.sleep(3600)
