"""What a line output does with a reader that takes all, some, nothing or fails."""

from __future__ import annotations

import asyncio
import errno
import os
import select
import socket
from pathlib import Path

import pytest

from leadhollow.observe import sinks
from leadhollow.observe.line_output import MAX_BUFFERED_BYTES, LineOutput, LineStream
from leadhollow.observe.sinks import DirectSink, PolledSink, SocketSink, open_sink
from tests.support import eventually


class FakeSink:
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


def output_to(sink: FakeSink) -> LineOutput:
    return LineOutput(sink=sink, drop_notice=lambda count: b"dropped %d\n" % count)


def write_all(output: LineOutput, *lines: bytes) -> None:
    for line in lines:
        output.write(line)


class TestOrder:
    def test_the_rest_of_a_line_comes_before_the_next_one(self):
        sink = FakeSink(room=3)
        output = output_to(sink)
        write_all(output, b"first\n", b"second\n")
        sink.room = 1_000
        output.write(b"third\n")
        assert sink.taken == b"first\nsecond\nthird\n"

    def test_each_new_line_tries_again(self):
        sink = FakeSink()
        output = output_to(sink)
        write_all(output, b"1\n", b"2\n")
        sink.room = 2
        output.write(b"3\n")
        assert sink.taken == b"1\n"

    # Guards against: a line that a collection of garbage writes in the middle of another one.
    @pytest.mark.parametrize("held", [True, False])
    def test_a_line_in_the_middle_of_a_write_comes_after_it(self, held):
        sink = FakeSink()
        output = output_to(sink)
        if held:
            output.write(b"held\n")
        sink.meanwhile = lambda: output.write(b"inner\n")
        sink.room = 1_000
        output.write(b"outer\n")
        output.flush_at_exit()
        lines = sink.taken.split()
        assert sorted(lines) == sorted([b"held"] * held + [b"inner", b"outer"])
        assert lines[0] == (b"held" if held else b"outer")


class TestDrops:
    def test_holds_no_more_than_its_bound_and_counts_the_others(self):
        sink = FakeSink()
        output = output_to(sink)
        line = b"x" * 999 + b"\n"
        kept = MAX_BUFFERED_BYTES // len(line)
        write_all(output, *[line] * (kept + 5))
        sink.room = 10 * MAX_BUFFERED_BYTES
        output.write(b"after\n")
        assert sink.taken == line * kept + b"dropped 5\n" + b"after\n"

    def test_a_line_beyond_the_bound_is_passed_on_where_there_is_room(self):
        sink = FakeSink(room=10 * MAX_BUFFERED_BYTES)
        output_to(sink).write(b"x" * (2 * MAX_BUFFERED_BYTES))
        assert len(sink.taken) == 2 * MAX_BUFFERED_BYTES

    def test_what_an_error_loses_is_counted_and_said_once_it_is_over(self):
        sink = FakeSink()
        output = output_to(sink)
        output.write(b"held\n")
        sink.error = OSError(errno.ENOSPC, "full")
        write_all(output, b"1\n", b"2\n")
        sink.error, sink.room = None, 1_000
        output.write(b"after\n")
        assert sink.taken == b"dropped 3\nafter\n"

    def test_a_line_that_was_begun_goes_on_after_an_error(self):
        sink = FakeSink(room=2)
        output = output_to(sink)
        output.write(b"begun\n")
        sink.error = OSError(errno.ENOSPC, "full")
        output.write(b"second\n")
        sink.error, sink.room = None, 1_000
        output.write(b"after\n")
        assert sink.taken == b"begun\nsecond\nafter\n"


class TestRetries:
    async def test_sets_no_timer_while_nothing_is_held_back(self, monkeypatch):
        loop = asyncio.get_running_loop()
        monkeypatch.setattr(loop, "call_later", pytest.fail)
        output = output_to(FakeSink(room=1_000))
        write_all(output, b"1\n", b"2\n")

    async def test_sets_one_timer_for_many_lines(self, monkeypatch):
        loop = asyncio.get_running_loop()
        timers = []
        call_later = loop.call_later

        def note(delay_s, callback, *arguments):
            timers.append(callback)
            return call_later(delay_s, callback, *arguments)

        monkeypatch.setattr(loop, "call_later", note)
        sink = FakeSink()
        output = output_to(sink)
        write_all(output, *[b"line\n"] * 100)
        assert len(timers) == 1
        monkeypatch.undo()
        sink.room = 10_000
        await eventually(lambda: sink.taken, "the held lines")
        assert sink.taken == b"line\n" * 100

    # Guards against: waking for ever for a reader that is gone.
    async def test_sets_no_timer_for_an_outlet_that_fails(self, monkeypatch):
        loop = asyncio.get_running_loop()
        monkeypatch.setattr(loop, "call_later", pytest.fail)
        sink = FakeSink()
        sink.error = BrokenPipeError()
        write_all(output_to(sink), b"1\n", b"2\n")

    async def test_goes_on_when_the_loop_of_its_timer_is_gone(self):
        sink = FakeSink()
        output = output_to(sink)

        async def write() -> None:
            output.write(b"other\n")

        await asyncio.to_thread(lambda: asyncio.run(write()))
        output.write(b"here\n")
        sink.room = 1_000
        await eventually(lambda: sink.taken == b"other\nhere\n", "the held lines")


class TestEnd:
    def test_waits_only_so_long(self, monkeypatch):
        monkeypatch.setattr("leadhollow.observe.line_output.LAST_LINES_S", 0.05)
        sink = FakeSink()
        output = output_to(sink)
        output.write(b"held\n")
        output.flush_at_exit()
        assert sink.taken == b""


class TestStream:
    def test_pieces_of_a_line_come_as_one(self):
        sink = FakeSink(room=1_000)
        stream = LineStream(output=output_to(sink), descriptor=2)
        print("a", "b", file=stream)
        assert sink.tries == 1
        assert sink.taken == b"a b\n"

    def test_a_line_without_an_end_comes_with_a_flush(self):
        sink = FakeSink(room=1_000)
        stream = LineStream(output=output_to(sink), descriptor=2)
        stream.write("so far \udc80")
        assert sink.taken == b""
        stream.flush()
        assert sink.taken == b"so far \\udc80"


def fill(sink) -> int:
    """Write until there is no room; gives how much was written."""
    total = 0
    while True:
        try:
            total += sink.write(b"x" * select.PIPE_BUF)
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
            found = [open_sink(place) for place in (pipe[1], theirs.fileno(), file.fileno())]
        assert [type(sink) for sink in found] == [DirectSink, SocketSink, DirectSink]

    def test_a_description_of_our_own_is_used_for_a_pipe(self, pipe):
        assert fill(open_sink(pipe[1])) > 0
        assert os.get_blocking(pipe[1])

    @pytest.mark.parametrize("refused", ["open", "get_blocking"])
    def test_a_pipe_that_cannot_be_opened_again_is_asked_for_room(self, pipe, monkeypatch, refused):
        def refuse(*_):
            raise PermissionError

        before = len(list(Path("/proc/self/fd").iterdir()))
        monkeypatch.setattr(outlets.os, refused, refuse)
        sink = open_sink(pipe[1])
        monkeypatch.undo()
        assert isinstance(sink, PolledSink)
        assert len(list(Path("/proc/self/fd").iterdir())) == before
        assert fill(sink) > 0

    def test_a_write_is_tried_where_asking_is_refused(self, pipe, monkeypatch):
        sink = PolledSink(descriptor=pipe[1])

        class Refused:
            def poll(self, _):
                raise PermissionError

        sink._poll = Refused()
        assert sink.write(b"line\n") == 5

    def test_a_descriptor_that_is_closed_is_an_error_and_no_wait(self):
        read, write = os.pipe()
        os.close(read)
        os.close(write)
        with pytest.raises(OSError, match="Bad file"):
            open_sink(write).write(b"line\n")
