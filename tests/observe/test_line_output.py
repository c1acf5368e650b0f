"""Tests of line output to sinks that accept all, some or no bytes, or that fail."""

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
    """Accepts as many bytes as a test allows, or fails."""

    def __init__(self, *, room: int = 0) -> None:
        self.room = room
        self.error: OSError | None = None
        self.accepted = b""
        self.attempts = 0
        self.during_write = lambda: None

    def write(self, data: bytes) -> int:
        self.attempts += 1
        during_write, self.during_write = self.during_write, lambda: None
        during_write()
        if self.error is not None:
            raise self.error
        if not self.room:
            raise BlockingIOError
        count = min(self.room, len(data))
        self.room -= count
        self.accepted += data[:count]
        return count


def output_to(sink: FakeSink) -> LineOutput:
    return LineOutput(sink=sink, drop_notice=lambda count: b"dropped %d\n" % count)


def write_all(output: LineOutput, *lines: bytes) -> None:
    for line in lines:
        output.write(line)


class TestOrder:
    def test_rest_of_line_is_written_before_next_line(self):
        sink = FakeSink(room=3)
        output = output_to(sink)
        write_all(output, b"first\n", b"second\n")
        sink.room = 1_000
        output.write(b"third\n")
        assert sink.accepted == b"first\nsecond\nthird\n"

    def test_new_line_retries_buffered_lines(self):
        sink = FakeSink()
        output = output_to(sink)
        write_all(output, b"1\n", b"2\n")
        sink.room = 2
        output.write(b"3\n")
        assert sink.accepted == b"1\n"

    # Guards against: a line logged by garbage collection ends up inside the line being written.
    @pytest.mark.parametrize("held", [True, False])
    def test_line_logged_during_write_comes_after_it(self, held):
        sink = FakeSink()
        output = output_to(sink)
        if held:
            output.write(b"held\n")
        sink.during_write = lambda: output.write(b"inner\n")
        sink.room = 1_000
        output.write(b"outer\n")
        output.flush_at_exit()
        lines = sink.accepted.split()
        assert sorted(lines) == sorted([b"held"] * held + [b"inner", b"outer"])
        assert lines[0] == (b"held" if held else b"outer")


class TestDrops:
    def test_lines_beyond_buffer_limit_are_dropped_and_counted(self):
        sink = FakeSink()
        output = output_to(sink)
        line = b"x" * 999 + b"\n"
        kept = MAX_BUFFERED_BYTES // len(line)
        write_all(output, *[line] * (kept + 5))
        sink.room = 10 * MAX_BUFFERED_BYTES
        output.write(b"after\n")
        assert sink.accepted == line * kept + b"dropped 5\n" + b"after\n"

    def test_line_above_buffer_limit_is_written_if_sink_has_room(self):
        sink = FakeSink(room=10 * MAX_BUFFERED_BYTES)
        output_to(sink).write(b"x" * (2 * MAX_BUFFERED_BYTES))
        assert len(sink.accepted) == 2 * MAX_BUFFERED_BYTES

    def test_lines_lost_by_error_are_counted_in_notice_after_recovery(self):
        sink = FakeSink()
        output = output_to(sink)
        output.write(b"held\n")
        sink.error = OSError(errno.ENOSPC, "full")
        write_all(output, b"1\n", b"2\n")
        sink.error, sink.room = None, 1_000
        output.write(b"after\n")
        assert sink.accepted == b"dropped 3\nafter\n"

    def test_partly_written_line_is_completed_after_error(self):
        sink = FakeSink(room=2)
        output = output_to(sink)
        output.write(b"begun\n")
        sink.error = OSError(errno.ENOSPC, "full")
        output.write(b"second\n")
        sink.error, sink.room = None, 1_000
        output.write(b"after\n")
        assert sink.accepted == b"begun\nsecond\nafter\n"


class TestRetries:
    async def test_sets_no_timer_while_nothing_is_buffered(self, monkeypatch):
        loop = asyncio.get_running_loop()
        monkeypatch.setattr(loop, "call_later", pytest.fail)
        output = output_to(FakeSink(room=1_000))
        write_all(output, b"1\n", b"2\n")

    async def test_sets_one_timer_for_many_lines(self, monkeypatch):
        loop = asyncio.get_running_loop()
        timers = []
        call_later = loop.call_later

        def record_timer(delay_s, callback, *arguments):
            timers.append(callback)
            return call_later(delay_s, callback, *arguments)

        monkeypatch.setattr(loop, "call_later", record_timer)
        sink = FakeSink()
        output = output_to(sink)
        write_all(output, *[b"line\n"] * 100)
        assert len(timers) == 1
        monkeypatch.undo()
        sink.room = 10_000
        await eventually(lambda: sink.accepted, "the held lines")
        assert sink.accepted == b"line\n" * 100

    # Guards against: endless retries after the reader was closed.
    async def test_sets_no_timer_for_failing_sink(self, monkeypatch):
        loop = asyncio.get_running_loop()
        monkeypatch.setattr(loop, "call_later", pytest.fail)
        sink = FakeSink()
        sink.error = BrokenPipeError()
        write_all(output_to(sink), b"1\n", b"2\n")

    async def test_retries_on_new_loop_after_loop_of_timer_ended(self):
        sink = FakeSink()
        output = output_to(sink)

        async def write() -> None:
            output.write(b"other\n")

        await asyncio.to_thread(lambda: asyncio.run(write()))
        output.write(b"here\n")
        sink.room = 1_000
        await eventually(lambda: sink.accepted == b"other\nhere\n", "the held lines")


class TestFlushAtExit:
    def test_returns_after_timeout(self, monkeypatch):
        monkeypatch.setattr("leadhollow.observe.line_output.FINAL_FLUSH_TIMEOUT_S", 0.05)
        sink = FakeSink()
        output = output_to(sink)
        output.write(b"held\n")
        output.flush_at_exit()
        assert sink.accepted == b""


class TestStream:
    def test_parts_of_line_are_written_at_once(self):
        sink = FakeSink(room=1_000)
        stream = LineStream(output=output_to(sink), descriptor=2)
        print("a", "b", file=stream)
        assert sink.attempts == 1
        assert sink.accepted == b"a b\n"

    def test_unfinished_line_is_written_by_flush(self):
        sink = FakeSink(room=1_000)
        stream = LineStream(output=output_to(sink), descriptor=2)
        stream.write("so far \udc80")
        assert sink.accepted == b""
        stream.flush()
        assert sink.accepted == b"so far \\udc80"


def fill(sink) -> int:
    """Write until there is no room, and return the number of bytes written."""
    total = 0
    while True:
        try:
            total += sink.write(b"x" * select.PIPE_BUF)
        except BlockingIOError:
            return total


class TestSinks:
    @pytest.fixture
    def pipe(self):
        ends = os.pipe()
        yield ends
        for descriptor in ends:
            os.close(descriptor)

    def test_depend_on_file_type(self, pipe, tmp_path):
        local_end, remote_end = socket.socketpair()
        with local_end, remote_end, (tmp_path / "file").open("wb") as file:
            found = [
                open_sink(descriptor)
                for descriptor in (pipe[1], remote_end.fileno(), file.fileno())
            ]
        assert [type(sink) for sink in found] == [DirectSink, SocketSink, DirectSink]

    def test_pipe_is_reopened_and_its_shared_description_stays_blocking(self, pipe):
        assert fill(open_sink(pipe[1])) > 0
        assert os.get_blocking(pipe[1])

    @pytest.mark.parametrize("refused", ["open", "get_blocking"])
    def test_pipe_that_cannot_be_reopened_is_polled(self, pipe, monkeypatch, refused):
        def refuse(*_):
            raise PermissionError

        before = len(list(Path("/proc/self/fd").iterdir()))
        monkeypatch.setattr(sinks.os, refused, refuse)
        sink = open_sink(pipe[1])
        monkeypatch.undo()
        assert isinstance(sink, PolledSink)
        assert len(list(Path("/proc/self/fd").iterdir())) == before
        assert fill(sink) > 0

    def test_write_is_attempted_if_polling_is_not_permitted(self, pipe, monkeypatch):
        sink = PolledSink(descriptor=pipe[1])

        class Refused:
            def poll(self, _):
                raise PermissionError

        sink._poll = Refused()
        assert sink.write(b"line\n") == 5

    def test_write_to_closed_descriptor_raises(self):
        read, write = os.pipe()
        os.close(read)
        os.close(write)
        with pytest.raises(OSError, match="Bad file"):
            open_sink(write).write(b"line\n")
