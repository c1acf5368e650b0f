"""Tests of the exchange of pieces between stagers on loopback."""

from __future__ import annotations

import asyncio
import hashlib
from collections.abc import Awaitable, Callable

import pytest
from result import Ok

from leadhollow.codes import Code
from leadhollow.settings.address import Address
from leadhollow.settings.deployment import Listener, LoopbackAddresses
from leadhollow.staging.piece_assignment import Stager
from leadhollow.staging.piece_fetch import SLICE_BYTES, SLOW_PIECE_S, PieceFetch
from leadhollow.staging.piece_server import PieceServer
from leadhollow.staging.piece_window import PieceWindow
from leadhollow.staging.pieces import PieceStore, StagedVersion
from leadhollow.weights.named_versions import NamedVersion, PieceManifest
from leadhollow.wire.connection import Connection
from leadhollow.wire.generated.ttypes import SliceReply, SliceRequest
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


class FailingOrigin:
    """An origin that fails all reads and records them."""

    bytes_read = 0

    def __init__(self) -> None:
        self.asked: list[int] = []

    async def piece(self, model: str, number: int, index: int) -> bytes | None:
        self.asked.append(index)
        return None


class HangingOrigin(FailingOrigin):
    """An origin that accepts requests and never answers."""

    async def piece(self, model: str, number: int, index: int) -> bytes | None:
        self.asked.append(index)
        await asyncio.Event().wait()
        return None


class WorkingOrigin(FailingOrigin):
    """An origin that answers at once."""

    async def piece(self, model: str, number: int, index: int) -> bytes | None:
        self.asked.append(index)
        return PIECES[index]


class Node:
    """A stager with a link of the given speed."""

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
        self.origin = FailingOrigin()
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

    def add_pieces(self, *indexes: int) -> None:
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


def run_with_nodes(
    work: Callable[..., Awaitable[None]], *, count: int, bytes_per_s: float = 1e8
) -> None:
    async def run() -> None:
        next_address = LoopbackAddresses()
        nodes = [
            Node(next_address(f"n{number}", Listener.WIRE), bytes_per_s=bytes_per_s)
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


def slice_request(piece: int, offset: int = 0, *, patience_ms: int = 5_000) -> SliceRequest:
    return SliceRequest("m", 1, piece, offset, SLICE_BYTES, "a", 0, patience_ms)


class TestPieceFetch:
    def test_fetches_all_pieces_from_their_holders(self):
        async def work(first: Node, second: Node, receiver: Node) -> None:
            first.add_pieces(0, 1, 2, 3)
            second.add_pieces(4, 5, 6, 7)
            await receiver.fetch(first, second).run()
            assert [receiver.staged().piece(index) for index in range(8)] == PIECES
            assert receiver.origin.asked == []

        run_with_nodes(work, count=3)

    def test_reads_a_piece_from_the_origin_if_its_only_holder_is_slow(self):
        async def work(slow: Node, receiver: Node) -> None:
            slow.bytes_per_s = SLICE_BYTES * 2  # one piece takes more than four seconds
            slow.add_pieces(7)
            receiver.add_pieces(*range(7))
            receiver.origin = WorkingOrigin()
            began_s = asyncio.get_running_loop().time()
            await receiver.fetch(slow).run()
            assert receiver.staged().piece(7) == PIECES[7]
            assert asyncio.get_running_loop().time() - began_s < SLOW_PIECE_S + 1.5
            assert receiver.origin.asked == [7]

        run_with_nodes(work, count=2)

    def test_keeps_a_slow_source_if_the_piece_is_not_available_elsewhere(self):
        async def work(slow: Node, receiver: Node) -> None:
            slow.bytes_per_s = SLICE_BYTES * 4
            slow.add_pieces(7)
            receiver.add_pieces(*range(7))
            await receiver.fetch(slow).run()
            assert receiver.staged().piece(7) == PIECES[7]

        run_with_nodes(work, count=2)

    # Guards against: a slice that is not the requested one is a part of a piece, or is requested
    # again and again.
    @pytest.mark.parametrize("size", [0, 1, SLICE_BYTES + 1, 2 * PIECE_BYTES])
    def test_takes_only_slices_of_the_requested_size(self, size):
        async def work(odd: Node, good: Node, receiver: Node) -> None:
            requests = 0

            async def on_slice(request: SliceRequest, _: Connection):
                nonlocal requests
                requests += 1
                if not good.staged().held.held_count:
                    good.add_pieces(7)
                return Ok(SliceReply(PIECES[7][:1] * size, 0))

            odd.handlers.on_call(SliceRequest, on_slice)
            odd.add_pieces(7)
            receiver.add_pieces(*range(7))
            await receiver.fetch(odd, good).run()
            assert receiver.staged().piece(7) == PIECES[7]
            assert requests < 5

        run_with_nodes(work, count=3)

    def test_continues_a_piece_at_another_source_after_the_first_is_lost(self):
        async def work(first: Node, second: Node, receiver: Node) -> None:
            first.add_pieces(*range(8))
            fetch = asyncio.create_task(receiver.fetch(first, second).run())
            await eventually(lambda: first.pieces.bytes_sent > 0)
            second.add_pieces(*range(8))
            await first.stop()
            await fetch
            sent = first.pieces.bytes_sent + second.pieces.bytes_sent
            assert receiver.staged().complete
            assert sent < 1.5 * 8 * PIECE_BYTES

        run_with_nodes(work, count=3, bytes_per_s=100_000)

    def test_does_not_wait_for_a_silent_origin_over_a_slow_link(self):
        async def work(holder: Node, slow: Node) -> None:
            slow.origin = HangingOrigin()
            fetch = asyncio.create_task(slow.fetch(holder, link_share=0.1).run())
            await eventually(lambda: slow.origin.asked)
            holder.add_pieces(*range(8))
            await eventually(lambda: slow.staged().held.held_count >= 7)
            fetch.cancel()
            await asyncio.gather(fetch, return_exceptions=True)

        run_with_nodes(work, count=2)

    def test_fetches_a_damaged_piece_from_another_source(self):
        async def work(damaged: Node, intact: Node, receiver: Node) -> None:
            damaged.add_pieces(*range(8))
            damaged.staged()._pieces[3] = bytes(PIECE_BYTES)
            fetch = asyncio.create_task(receiver.fetch(damaged, intact).run())
            await eventually(lambda: receiver.staged().held.held_count == 7)
            intact.add_pieces(*range(8))
            await fetch
            assert receiver.staged().piece(3) == PIECES[3]

        run_with_nodes(work, count=3)


class TestPieceServer:
    def test_sends_the_requested_slice(self):
        async def work(sender: Node, receiver: Node) -> None:
            sender.add_pieces(2)
            connection = (await receiver.peers.connection(sender.stager.address)).unwrap()
            last = PIECE_BYTES - PIECE_BYTES % SLICE_BYTES
            reply = (await connection.call(slice_request(2, last), timeout_ms=5_000)).unwrap()
            assert reply.data == PIECES[2][last:]

        run_with_nodes(work, count=2)

    def test_rejects_requests_for_data_that_it_does_not_hold(self):
        async def work(sender: Node, receiver: Node) -> None:
            sender.add_pieces(2)
            connection = (await receiver.peers.connection(sender.stager.address)).unwrap()
            for request in (
                slice_request(3),
                slice_request(99),
                slice_request(2, PIECE_BYTES),
                slice_request(2, -1),
            ):
                result = await connection.call(request, timeout_ms=5_000)
                assert result.unwrap_err().code is Code.CHUNK_UNKNOWN

        run_with_nodes(work, count=2)

    def test_does_not_send_a_slice_after_its_requester_stopped_waiting(self):
        async def work(sender: Node, receiver: Node) -> None:
            sender.add_pieces(2)
            connection = (await receiver.peers.connection(sender.stager.address)).unwrap()
            served = connection.call(slice_request(2), timeout_ms=20_000)
            expired = connection.call(
                slice_request(2, SLICE_BYTES, patience_ms=50), timeout_ms=20_000
            )
            results = await asyncio.gather(served, expired)
            assert results[0].is_ok()
            assert results[1].unwrap_err().code is Code.PEER_TIMEOUT
            assert sender.pieces.bytes_sent < 2 * SLICE_BYTES

        run_with_nodes(work, count=2, bytes_per_s=30_000)

    def test_charges_all_sent_bytes_to_its_pacer(self):
        async def work(sender: Node, receiver: Node) -> None:
            sender.add_pieces(*range(8))
            await receiver.fetch(sender).run()
            sent_bytes = sender.pieces.bytes_sent
            assert sent_bytes >= 8 * PIECE_BYTES
            assert sender.pieces._pacer.bytes_taken == sent_bytes

        run_with_nodes(work, count=2)
