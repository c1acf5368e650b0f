"""Pieces between stagers on loopback: slice by slice, from whoever holds them."""

from __future__ import annotations

import asyncio
import hashlib
from collections.abc import Awaitable, Callable

from leadhollow.codes import Code
from leadhollow.settings.address import Address
from leadhollow.settings.deployment import Listener, LoopbackAddresses
from leadhollow.staging.piece_assignment import Stager
from leadhollow.staging.piece_fetch import SLICE_BYTES, SLOW_PIECE_S, PieceFetch
from leadhollow.staging.piece_server import PieceServer
from leadhollow.staging.piece_window import PieceWindow
from leadhollow.staging.pieces import PieceStore, StagedVersion
from leadhollow.weights.named_versions import NamedVersion, PieceManifest
from leadhollow.wire.generated.ttypes import SliceRequest
from leadhollow.wire.handlers import HandlerTable
from leadhollow.wire.peers import PeerPool
from leadhollow.wire.server import WireServer
from tests.support import TOKEN, eventually

PIECE_BYTES = 8 * SLICE_BYTES + 100
PIECES = [bytes([number]) * PIECE_BYTES for number in range(8)]
VERSION = NamedVersion(
    model="m",
    number=1,
    named=True,
    manifest=PieceManifest(
        algorithm="sha256",
        chunk_bytes=PIECE_BYTES,
        layers=4,
        digests=b"".join(hashlib.sha256(piece).digest() for piece in PIECES),
    ),
)


class NoOrigin:
    """An origin that answers nobody, and counts who asked."""

    bytes_read = 0

    def __init__(self) -> None:
        self.asked: list[int] = []

    async def piece(self, model: str, number: int, index: int) -> bytes | None:
        self.asked.append(index)
        return None


class HangingOrigin(NoOrigin):
    """An origin that takes requests and never answers."""

    async def piece(self, model: str, number: int, index: int) -> bytes | None:
        self.asked.append(index)
        await asyncio.Event().wait()
        return None


class GoodOrigin(NoOrigin):
    """An origin that answers at once."""

    async def piece(self, model: str, number: int, index: int) -> bytes | None:
        self.asked.append(index)
        return PIECES[index]


class Node:
    """One stager; its link carries what is said."""

    def __init__(self, address: str, *, bytes_per_s: float, domain: str = "a") -> None:
        self.stager = Stager(address=address, failure_domain=domain)
        self.bytes_per_s = bytes_per_s
        self.handlers = HandlerTable()
        self.peers = PeerPool(
            vm=address, failure_domain=domain, token=TOKEN, handlers=self.handlers
        )
        self.wire = WireServer(
            address=Address.parse(address).unwrap(), token=TOKEN, handlers=self.handlers
        )
        self.store = PieceStore()
        self.origin = NoOrigin()
        self.pieces = PieceServer(
            store=self.store,
            handlers=self.handlers,
            link_bytes_per_s=lambda: self.bytes_per_s,
            failure_domain=domain,
        )

    def staged(self) -> StagedVersion:
        version = self.store.find_or_create(VERSION)
        assert version is not None
        return version

    def hold(self, *indexes: int) -> None:
        for index in indexes:
            assert self.staged().add(index, PIECES[index])

    def fetch(
        self, *others: Node, link_share: float = 1.0, origin_bytes_per_s: float = 1e8
    ) -> PieceFetch:
        return PieceFetch(
            version=self.staged(),
            own=self.stager,
            others=lambda: [node.stager for node in others],
            origin=self.origin,
            peers=self.peers,
            link_bytes_per_s=lambda: self.bytes_per_s,
            origin_bytes_per_s=lambda: origin_bytes_per_s,
            window=PieceWindow(link_share=lambda: link_share),
            seed=1,
        )

    async def start(self) -> None:
        assert (await self.wire.start()).is_ok()
        await self.pieces.start()

    async def stop(self) -> None:
        await self.pieces.stop()
        await self.peers.stop()
        await self.wire.stop()


def with_nodes(
    work: Callable[..., Awaitable[None]], *, count: int, bytes_per_s: float = 1e8
) -> None:
    async def run() -> None:
        take = LoopbackAddresses()
        nodes = [
            Node(take(f"n{number}", Listener.WIRE), bytes_per_s=bytes_per_s)
            for number in range(count)
        ]
        for node in nodes:
            await node.start()
        try:
            await work(*nodes)
        finally:
            for node in nodes:
                await node.stop()

    asyncio.run(asyncio.wait_for(run(), 30))


def ask(piece: int, offset: int = 0, *, patience_ms: int = 5_000) -> SliceRequest:
    return SliceRequest("m", 1, piece, offset, SLICE_BYTES, "a", 0, patience_ms)


class TestPieceFetch:
    def test_takes_each_piece_whole_from_those_that_hold_it(self):
        async def work(one: Node, two: Node, empty: Node) -> None:
            one.hold(0, 1, 2, 3)
            two.hold(4, 5, 6, 7)
            await empty.fetch(one, two).run()
            assert [empty.staged().piece(index) for index in range(8)] == PIECES
            assert empty.origin.asked == []

        with_nodes(work, count=3)

    def test_what_only_a_slow_source_holds_is_read_at_the_origin_in_time(self):
        async def work(slow: Node, empty: Node) -> None:
            slow.bytes_per_s = SLICE_BYTES * 2  # one piece takes more than four seconds
            slow.hold(7)
            empty.hold(*range(7))
            empty.origin = GoodOrigin()
            began_s = asyncio.get_running_loop().time()
            await empty.fetch(slow).run()
            assert empty.staged().piece(7) == PIECES[7]
            assert asyncio.get_running_loop().time() - began_s < SLOW_PIECE_S + 1.5
            assert empty.origin.asked == [7]

        with_nodes(work, count=2)

    def test_a_slow_source_is_kept_where_the_piece_cannot_be_had_elsewhere(self):
        async def work(slow: Node, empty: Node) -> None:
            slow.bytes_per_s = SLICE_BYTES * 4
            slow.hold(7)
            empty.hold(*range(7))
            await empty.fetch(slow).run()
            assert empty.staged().piece(7) == PIECES[7]

        with_nodes(work, count=2)

    def test_goes_on_with_the_same_piece_at_another_source_after_one_is_lost(self):
        async def work(one: Node, two: Node, empty: Node) -> None:
            one.hold(*range(8))
            fetch = asyncio.create_task(empty.fetch(one, two).run())
            await eventually(lambda: one.pieces.bytes_sent > 0)
            two.hold(*range(8))
            await one.stop()
            await fetch
            sent = one.pieces.bytes_sent + two.pieces.bytes_sent
            assert empty.staged().complete
            assert sent < 1.5 * 8 * PIECE_BYTES

        with_nodes(work, count=3, bytes_per_s=100_000)

    def test_over_a_slow_link_waits_for_no_origin_that_is_silent(self):
        async def work(one: Node, slow: Node) -> None:
            slow.origin = HangingOrigin()
            fetch = asyncio.create_task(slow.fetch(one, link_share=0.1).run())
            await eventually(lambda: slow.origin.asked)
            one.hold(*range(8))
            await eventually(lambda: slow.staged().held.held_count >= 7)
            fetch.cancel()
            await asyncio.gather(fetch, return_exceptions=True)

        with_nodes(work, count=2)

    def test_a_spoilt_piece_is_taken_from_elsewhere(self):
        async def work(bad: Node, good: Node, empty: Node) -> None:
            bad.hold(*range(8))
            bad.staged()._pieces[3] = bytes(PIECE_BYTES)
            fetch = asyncio.create_task(empty.fetch(bad, good).run())
            await eventually(lambda: empty.staged().held.held_count == 7)
            good.hold(*range(8))
            await fetch
            assert empty.staged().piece(3) == PIECES[3]

        with_nodes(work, count=3)


class TestPieceServer:
    def test_sends_the_part_that_was_asked_for(self):
        async def work(one: Node, two: Node) -> None:
            one.hold(2)
            connection = (await two.peers.connection(one.stager.address)).unwrap()
            last = PIECE_BYTES - PIECE_BYTES % SLICE_BYTES
            reply = (await connection.call(ask(2, last), timeout_ms=5_000)).unwrap()
            assert reply.data == PIECES[2][last:]

        with_nodes(work, count=2)

    def test_says_what_it_does_not_hold(self):
        async def work(one: Node, two: Node) -> None:
            one.hold(2)
            connection = (await two.peers.connection(one.stager.address)).unwrap()
            for request in (ask(3), ask(99), ask(2, PIECE_BYTES), ask(2, -1)):
                answered = await connection.call(request, timeout_ms=5_000)
                assert answered.unwrap_err().code is Code.CHUNK_UNKNOWN

        with_nodes(work, count=2)

    def test_sends_nothing_that_was_waited_for_too_long(self):
        async def work(one: Node, two: Node) -> None:
            one.hold(2)
            connection = (await two.peers.connection(one.stager.address)).unwrap()
            first = connection.call(ask(2), timeout_ms=20_000)
            late = connection.call(ask(2, SLICE_BYTES, patience_ms=50), timeout_ms=20_000)
            answers = await asyncio.gather(first, late)
            assert answers[0].is_ok()
            assert answers[1].unwrap_err().code is Code.PEER_TIMEOUT
            assert one.pieces.bytes_sent < 2 * SLICE_BYTES

        with_nodes(work, count=2, bytes_per_s=30_000)

    def test_keeps_to_the_pace_of_its_link(self):
        async def work(one: Node, two: Node) -> None:
            one.hold(*range(8))
            await two.fetch(one).run()
            bytes_in_time = one.pieces.bytes_sent
            assert bytes_in_time >= 8 * PIECE_BYTES
            assert one.pieces._pacer.bytes_taken == bytes_in_time

        with_nodes(work, count=2)
