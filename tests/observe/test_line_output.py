"""What a line output does with a reader that takes all, some, nothing or fails."""

from __future__ import annotations

import asyncio
import errno
import os
import select
import socket
from pathlib import Path

import pytest

from leadhollow.observe import outlets
from leadhollow.observe.line_output import HELD_BYTES, LineOutput, LineStream
from leadhollow.observe.outlets import DirectOutlet, PolledOutlet, SocketOutlet, open_outlet
from tests.support import eventually


class Outlet:
    """Takes as many bytes as a test lets it, or fails."""

    def __init__(self, *, room: int = 0) -> None:
        self.room = room
        self.error: OSError | None = None
        self.taken = b""
        self.tries = 0
        self.meanwhile = lambda: None

    def write(self, data: bytes) -> int:
        self.tries += 1
        meanwhile, self.meanwhile = self.meanwhile, lambda: None
        meanwhile()
        if self.error is not None:
            raise self.error
        if not self.room:
            raise BlockingIOError
        count = min(self.room, len(data))
        self.room -= count
        self.taken += data[:count]
        return count


def output_to(outlet: Outlet) -> LineOutput:
    return LineOutput(outlet=outlet, notice=lambda count: b"dropped %d\n" % count)


def write_all(output: LineOutput, *lines: bytes) -> None:
    for line in lines:
        output.write(line)


class TestOrder:
    def test_the_rest_of_a_line_comes_before_the_next_one(self):
        outlet = Outlet(room=3)
        output = output_to(outlet)
        write_all(output, b"first\n", b"second\n")
        outlet.room = 1_000
        output.write(b"third\n")
        assert outlet.taken == b"first\nsecond\nthird\n"

    def test_each_new_line_tries_again(self):
        outlet = Outlet()
        output = output_to(outlet)
        write_all(output, b"1\n", b"2\n")
        outlet.room = 2
        output.write(b"3\n")
        assert outlet.taken == b"1\n"

    # Guards against: a line that a collection of garbage writes in the middle of another one.
    @pytest.mark.parametrize("held", [True, False])
    def test_a_line_in_the_middle_of_a_write_comes_after_it(self, held):
        outlet = Outlet()
        output = output_to(outlet)
        if held:
            output.write(b"held\n")
        outlet.meanwhile = lambda: output.write(b"inner\n")
        outlet.room = 1_000
        output.write(b"outer\n")
        output.finish()
        lines = outlet.taken.split()
        assert sorted(lines) == sorted([b"held"] * held + [b"inner", b"outer"])
        assert lines[0] == (b"held" if held else b"outer")


class TestDrops:
    def test_holds_no_more_than_its_bound_and_counts_the_others(self):
        outlet = Outlet()
        output = output_to(outlet)
        line = b"x" * 999 + b"\n"
        kept = HELD_BYTES // len(line)
        write_all(output, *[line] * (kept + 5))
        outlet.room = 10 * HELD_BYTES
        output.write(b"after\n")
        assert outlet.taken == line * kept + b"dropped 5\n" + b"after\n"

    def test_a_line_beyond_the_bound_is_passed_on_where_there_is_room(self):
        outlet = Outlet(room=10 * HELD_BYTES)
        output_to(outlet).write(b"x" * (2 * HELD_BYTES))
        assert len(outlet.taken) == 2 * HELD_BYTES

    def test_what_an_error_loses_is_counted_and_said_once_it_is_over(self):
        outlet = Outlet()
        output = output_to(outlet)
        output.write(b"held\n")
        outlet.error = OSError(errno.ENOSPC, "full")
        write_all(output, b"1\n", b"2\n")
        outlet.error, outlet.room = None, 1_000
        output.write(b"after\n")
        assert outlet.taken == b"dropped 3\nafter\n"

    def test_a_line_that_was_begun_goes_on_after_an_error(self):
        outlet = Outlet(room=2)
        output = output_to(outlet)
        output.write(b"begun\n")
        outlet.error = OSError(errno.ENOSPC, "full")
        output.write(b"second\n")
        outlet.error, outlet.room = None, 1_000
        output.write(b"after\n")
        assert outlet.taken == b"begun\nsecond\nafter\n"


class TestRetries:
    async def test_sets_no_timer_while_nothing_is_held_back(self, monkeypatch):
        loop = asyncio.get_running_loop()
        monkeypatch.setattr(loop, "call_later", pytest.fail)
        output = output_to(Outlet(room=1_000))
        write_all(output, b"1\n", b"2\n")

    async def test_sets_one_timer_for_many_lines(self, monkeypatch):
        loop = asyncio.get_running_loop()
        timers = []
        call_later = loop.call_later

        def note(delay_s, callback, *arguments):
            timers.append(callback)
            return call_later(delay_s, callback, *arguments)

        monkeypatch.setattr(loop, "call_later", note)
        outlet = Outlet()
        output = output_to(outlet)
        write_all(output, *[b"line\n"] * 100)
        assert len(timers) == 1
        monkeypatch.undo()
        outlet.room = 10_000
        await eventually(lambda: outlet.taken, "the held lines")
        assert outlet.taken == b"line\n" * 100

    # Guards against: waking for ever for a reader that is gone.
    async def test_sets_no_timer_for_an_outlet_that_fails(self, monkeypatch):
        loop = asyncio.get_running_loop()
        monkeypatch.setattr(loop, "call_later", pytest.fail)
        outlet = Outlet()
        outlet.error = BrokenPipeError()
        write_all(output_to(outlet), b"1\n", b"2\n")

    async def test_goes_on_when_the_loop_of_its_timer_is_gone(self):
        outlet = Outlet()
        output = output_to(outlet)

        async def write() -> None:
            output.write(b"other\n")

        await asyncio.to_thread(lambda: asyncio.run(write()))
        output.write(b"here\n")
        outlet.room = 1_000
        await eventually(lambda: outlet.taken == b"other\nhere\n", "the held lines")


class TestEnd:
    def test_waits_only_so_long(self, monkeypatch):
        monkeypatch.setattr("leadhollow.observe.line_output.LAST_LINES_S", 0.05)
        outlet = Outlet()
        output = output_to(outlet)
        output.write(b"held\n")
        output.finish()
        assert outlet.taken == b""


class TestStream:
    def test_pieces_of_a_line_come_as_one(self):
        outlet = Outlet(room=1_000)
        stream = LineStream(output=output_to(outlet), descriptor=2)
        print("a", "b", file=stream)
        assert outlet.tries == 1
        assert outlet.taken == b"a b\n"

    def test_a_line_without_an_end_comes_with_a_flush(self):
        outlet = Outlet(room=1_000)
        stream = LineStream(output=output_to(outlet), descriptor=2)
        stream.write("so far \udc80")
        assert outlet.taken == b""
        stream.flush()
        assert outlet.taken == b"so far \\udc80"


def fill(outlet) -> int:
    """Write until there is no room; gives how much was written."""
    total = 0
    while True:
        try:
            total += outlet.write(b"x" * select.PIPE_BUF)
        except BlockingIOError:
            return total


class TestOutlets:
    @pytest.fixture
    def pipe(self):
        ends = os.pipe()
        yield ends
        for descriptor in ends:
            os.close(descriptor)

    def test_fit_what_the_descriptor_stands_for(self, pipe, tmp_path):
        ours, theirs = socket.socketpair()
        with ours, theirs, (tmp_path / "file").open("wb") as file:
            found = [open_outlet(place) for place in (pipe[1], theirs.fileno(), file.fileno())]
        assert [type(outlet) for outlet in found] == [DirectOutlet, SocketOutlet, DirectOutlet]

    def test_a_description_of_our_own_is_used_for_a_pipe(self, pipe):
        assert fill(open_outlet(pipe[1])) > 0
        assert os.get_blocking(pipe[1])

    @pytest.mark.parametrize("refused", ["open", "get_blocking"])
    def test_a_pipe_that_cannot_be_opened_again_is_asked_for_room(self, pipe, monkeypatch, refused):
        def refuse(*_):
            raise PermissionError

        before = len(list(Path("/proc/self/fd").iterdir()))
        monkeypatch.setattr(outlets.os, refused, refuse)
        outlet = open_outlet(pipe[1])
        monkeypatch.undo()
        assert isinstance(outlet, PolledOutlet)
        assert len(list(Path("/proc/self/fd").iterdir())) == before
        assert fill(outlet) > 0

    def test_a_write_is_tried_where_asking_is_refused(self, pipe, monkeypatch):
        outlet = PolledOutlet(descriptor=pipe[1])

        class Refused:
            def poll(self, _):
                raise PermissionError

        outlet._poll = Refused()
        assert outlet.write(b"line\n") == 5

    def test_a_descriptor_that_is_closed_is_an_error_and_no_wait(self):
        read, write = os.pipe()
        os.close(read)
        os.close(write)
        with pytest.raises(OSError, match="Bad file"):
            open_outlet(write).write(b"line\n")
