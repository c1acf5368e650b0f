"""Requests in parts: order, lost and repeated parts, bounds."""

from __future__ import annotations

from leadhollow.codes import Code
from leadhollow.state.request_parts import (
    MAX_REQUEST_BYTES,
    PART_BYTES,
    PartAssembler,
    PartedRequest,
)
from leadhollow.wire.generated.ttypes import Hello, RequestPart, SnapshotRequest
from leadhollow.wire.messages import BODY_NUMBERS

SNAPSHOT = SnapshotRequest(3, "leader", 9, 2, bytes(range(256)) * 3_000, b"", "follower")


def parted(transfer: int = 1) -> PartedRequest:
    return PartedRequest(request=SNAPSHOT, transfer=transfer, replica="follower")


class TestPartAssembler:
    def test_request_is_whole_after_its_last_part(self):
        sender, assembler = parted(), PartAssembler()
        whole = None
        while whole is None:
            part = sender.next_part()
            assert len(part.data) <= PART_BYTES
            whole = assembler.add(part).unwrap()
            sender.continue_at(assembler.received_bytes)
        assert whole == SNAPSHOT
        assert assembler.received_bytes == 0

    def test_part_that_comes_twice_is_ignored(self):
        sender, assembler = parted(), PartAssembler()
        assembler.add(sender.next_part())
        assembler.add(sender.next_part())
        assert assembler.received_bytes == PART_BYTES

    def test_sender_goes_on_after_what_the_receiver_holds(self):
        sender, assembler = parted(), PartAssembler()
        assembler.add(sender.next_part())
        assert sender.continue_at(assembler.received_bytes)
        assert sender.next_part().offset == PART_BYTES
        assert not sender.continue_at(0)  # the receiver has restarted
        assert sender.next_part().offset == 0

    def test_part_of_another_request_discards_what_was_received(self):
        first, second, assembler = parted(1), parted(2), PartAssembler()
        assembler.add(first.next_part())
        first.continue_at(PART_BYTES)
        assembler.add(second.next_part())
        assert assembler.received_bytes == PART_BYTES
        assembler.add(first.next_part())
        assert assembler.received_bytes == 0

    def test_request_above_the_limit_is_rejected(self):
        part = parted().next_part()
        part.size = MAX_REQUEST_BYTES + 1
        assert PartAssembler().add(part).unwrap_err().code is Code.FRAME_TOO_LARGE

    def test_type_that_never_comes_in_parts_is_rejected(self):
        part = RequestPart(1, "leader", "follower", 1, BODY_NUMBERS[Hello], 0, 1, b"x")
        assert PartAssembler().add(part).unwrap_err().code is Code.FRAME_TYPE_UNKNOWN

    def test_bytes_that_are_no_request_are_rejected(self):
        number = BODY_NUMBERS[SnapshotRequest]
        part = RequestPart(1, "leader", "follower", 1, number, 0, 3, b"\xff\xff\xff")
        assert PartAssembler().add(part).unwrap_err().code is Code.FRAME_MALFORMED
