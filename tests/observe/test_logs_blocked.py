"""Log lines whose reader stands still: nothing waits for it, and what is lost is said."""

from __future__ import annotations

import asyncio
import fcntl
import json
import os
import pty
import select
import signal
import socket
import subprocess
import sys
import threading
import time
from contextlib import closing, suppress

import aiohttp
import pytest

from tests.observe.log_writer import Writer
from tests.support import PATIENCE_S, eventually, free_ports

MANY = 20_000  # lines that fill a pipe and all that may be held back
LONGEST_HOLD_S = 1.0  # far beyond a busy machine, far below a wait for a reader
QUIET_S = 0.5


class Reader:
    """Reads what a process wrote, as far as it has come."""

    def __init__(self, descriptor: int) -> None:
        self._descriptor = descriptor
        self.data = b""

    def until(self, text: str, *, times: int = 1) -> list[dict[str, object]]:
        """Read until a text has come so often; gives all lines so far."""
        deadline_s = time.monotonic() + PATIENCE_S
        while self.data.count(text.encode()) < times or not self.data.endswith(b"\n"):
            left_s = deadline_s - time.monotonic()
            assert left_s > 0, f"{text!r} did not come"
            self._take(left_s)
        return self.lines()

    def to_end(self) -> list[dict[str, object]]:
        """Read until the writer is gone."""
        while self._take(PATIENCE_S):
            pass
        return self.lines()

    def lines(self) -> list[dict[str, object]]:
        return [json.loads(line) for line in self.data.decode().splitlines()]

    def _take(self, timeout_s: float) -> bool:
        ready, _, _ = select.select([self._descriptor], [], [], timeout_s)
        try:
            taken = os.read(self._descriptor, 65_536) if ready else b""
        except OSError:  # a terminal whose other side is closed
            taken = b""
        self.data += taken.replace(b"\r\n", b"\n")
        return bool(taken)


def account(lines: list[dict[str, object]]) -> list[int]:
    """Check that lines are in order and each missing one is counted; gives the counts."""
    expected, pending, counts = 0, 0, []
    for line in lines:
        if line["message"] == "log lines dropped":
            pending += int(line["count"])
            counts.append(int(line["count"]))
        elif "number" in line:
            assert line["number"] == expected + pending
            expected, pending = int(line["number"]) + 1, 0
    return counts


@pytest.fixture
def pipe():
    read, write = os.pipe()
    yield read, write
    for descriptor in (read, write):
        with suppress(OSError):
            os.close(descriptor)


class TestReaderThatStandsStill:
    # Guards against: a log that nobody reads stops the whole process.
    def test_holds_up_nothing(self, pipe):
        with Writer(stderr=pipe[1]) as writer:
            told = writer.tell(f"lines {MANY}")
            assert told["longest_s"] < LONGEST_HOLD_S

    def test_lines_that_were_dropped_are_counted_in_their_place(self, pipe):
        with Writer(stderr=pipe[1]) as writer:
            os.close(pipe[1])
            writer.tell(f"lines {MANY}")
            reader = Reader(pipe[0])
            reader.until("log lines dropped")
            writer.tell("lines 10")
            assert writer.end() == 0
            lines = reader.to_end()
            counts = account(lines)
            assert len(counts) == 1
            assert sum("number" in line for line in lines) + sum(counts) == MANY + 10
            assert lines[-1]["number"] == MANY + 9

    def test_held_lines_come_once_there_is_room_without_a_new_one(self, pipe):
        with Writer(stderr=pipe[1]) as writer:
            writer.tell("lines 900")
            reader = Reader(pipe[0])
            lines = reader.until('"number":899}')
            assert account(lines) == []
            assert len(lines) == 900

    def test_a_reader_that_stops_and_goes_on_several_times_misses_no_count(self, pipe):
        with Writer(stderr=pipe[1]) as writer:
            os.close(pipe[1])
            reader = Reader(pipe[0])
            for times in range(1, 4):
                writer.tell(f"lines {MANY}")
                reader.until("log lines dropped", times=times)
            assert writer.end() == 0
            lines = reader.to_end()
            counts = account(lines)
            assert len(counts) >= 3
            assert sum("number" in line for line in lines) + sum(counts) == 3 * MANY

    def test_a_long_line_comes_whole(self, pipe):
        with Writer(stderr=pipe[1]) as writer:
            writer.tell("long 150000")
            writer.tell("say after")
            lines = Reader(pipe[0]).until("after")
            assert [line["message"] for line in lines] == ["long", "after"]
            assert len(lines[0]["text"]) == 150_000

    # Guards against: retries that go on where nothing is held back.
    def test_costs_little_while_it_lasts_and_nothing_after_it(self, pipe):
        with Writer(stderr=pipe[1]) as writer:
            before_s = writer.tell(f"lines {MANY}")["usage_s"]
            time.sleep(QUIET_S)
            assert writer.tell("none")["usage_s"] - before_s < QUIET_S / 2


ENDS = {"end": 0, "exit 3": 3, "raise planted": 1}


class TestEnd:
    @pytest.mark.parametrize("command", ENDS)
    def test_last_lines_are_written_for_a_slow_reader(self, pipe, command):
        with Writer(stderr=pipe[1]) as writer:
            os.close(pipe[1])
            writer.tell("lines 900")  # more than the pipe holds
            writer.tell("say last")
            writer.begin(command)
            time.sleep(0.2)
            reader = Reader(pipe[0])
            reader._take(PATIENCE_S)
            time.sleep(0.2)
            while reader._take(PATIENCE_S):
                pass
            assert writer.process.wait(PATIENCE_S) == ENDS[command]
            text, _, end = reader.data.partition(b'"message":"last"}\n')
            assert text.count(b"request refused") == 900
            assert (b"RuntimeError: planted" in end) == command.startswith("raise")

    @pytest.mark.parametrize("command", ENDS)
    def test_ends_though_nobody_reads(self, pipe, command):
        with Writer(stderr=pipe[1]) as writer:
            writer.tell(f"lines {MANY}")
            assert writer.end(command) == ENDS[command]

    def test_ends_though_the_reader_is_gone(self, pipe):
        with Writer(stderr=pipe[1]) as writer:
            writer.tell("lines 10")
            os.close(pipe[1])
            os.close(pipe[0])
            writer.tell("lines 10")
            assert writer.end() == 0

    # Guards against: what others than the log write to standard error waits for its reader.
    def test_what_is_printed_to_standard_error_does_not_wait_either(self, pipe):
        with Writer(stderr=pipe[1]) as writer:
            writer.tell("lines 900")
            writer.tell("print printed")
            reader = Reader(pipe[0])
            while b"printed\n" not in reader.data:
                assert reader._take(PATIENCE_S)
            assert reader.data.endswith(b'"number":899}\nprinted\n')


class TestOtherKinds:
    def test_a_socket(self):
        ours, theirs = socket.socketpair()
        with ours, theirs, Writer(stderr=theirs.fileno()) as writer:
            flags = fcntl.fcntl(theirs, fcntl.F_GETFL)
            told = writer.tell(f"lines {MANY}")
            assert told["longest_s"] < LONGEST_HOLD_S
            assert fcntl.fcntl(theirs, fcntl.F_GETFL) == flags
            theirs.close()
            reader = Reader(ours.fileno())
            reader.until("log lines dropped")
            assert writer.end() == 0
            assert sum(account(reader.to_end())) > 0

    def test_a_terminal(self):
        ours, theirs = pty.openpty()
        with closing(os.fdopen(ours, "rb", 0)), Writer(stderr=theirs) as writer:
            flags = fcntl.fcntl(theirs, fcntl.F_GETFL)
            told = writer.tell(f"lines {MANY}")
            assert told["longest_s"] < LONGEST_HOLD_S
            assert fcntl.fcntl(theirs, fcntl.F_GETFL) == flags
            os.close(theirs)
            reader = Reader(ours)
            reader.until("log lines dropped")
            assert writer.end() == 0
            assert sum(account(reader.to_end())) > 0

    def test_a_file_has_every_line(self, tmp_path):
        path = tmp_path / "log"
        with path.open("ab") as file, Writer(stderr=file.fileno()) as writer:
            writer.tell("lines 5000")
            assert writer.end() == 0
        lines = [json.loads(line) for line in path.read_text().splitlines()]
        assert account(lines) == []
        assert len(lines) == 5000

    # Guards against: whoever shares the pipe finds its own writes refused.
    def test_a_shared_pipe_stays_as_it_was_for_the_others(self, pipe):
        flags = fcntl.fcntl(pipe[1], fcntl.F_GETFL)
        assert not flags & os.O_NONBLOCK
        with Writer(stderr=pipe[1]) as writer:
            writer.tell(f"lines {MANY}")
            assert fcntl.fcntl(pipe[1], fcntl.F_GETFL) == flags

    def test_lines_of_two_that_share_a_pipe_are_not_torn(self, pipe):
        with Writer(stderr=pipe[1]) as first, Writer(stderr=pipe[1]) as second:
            os.close(pipe[1])
            reader = Reader(pipe[0])
            reading = threading.Thread(target=reader.to_end)
            reading.start()
            for writer in (first, second):
                writer.begin("lines 5000")
            for writer in (first, second):
                assert writer.end() == 0
            reading.join(PATIENCE_S)
            assert reader.lines()  # each of them is whole JSON


REFUSED = 1_500  # requests, each with a line; some 450 lines fill a pipe


def entry_settings() -> dict[str, object]:
    """Describe an entry whose control is nowhere."""
    host = "127.0.90.1"
    port = free_ports([host], count=5)
    return {
        "vm": "entry",
        "role": "entry",
        "host": host,
        "callers": f"{host}:{port + 2}",
        "readiness": f"{host}:{port + 3}",
        "region": "r",
        "failure_domain": "d",
        "ports": [port, port + 1],
        "seeds": [f"{host}:{port + 4}"],
    }


class TestEntry:
    # Guards against: an entry whose log nobody reads answers nobody.
    async def test_goes_on_answering(self, tmp_path, pipe):
        settings = entry_settings()
        file = tmp_path / "settings.json"
        file.write_text(json.dumps(settings))
        process = subprocess.Popen(
            [sys.executable, "-m", "leadhollow", "platform"],
            env={**os.environ, "LEADHOLLOW_NODE_FILE": str(file)},
            stderr=pipe[1],
        )
        try:
            timeout = aiohttp.ClientTimeout(total=5.0)
            async with aiohttp.ClientSession(timeout=timeout) as session:

                async def status() -> int:
                    async with session.get(f"http://{settings['callers']}/ask") as answer:
                        return answer.status

                async def listens() -> int:
                    with suppress(aiohttp.ClientError):
                        return await status()
                    return 0

                await eventually(listens, "an answer")
                assert {await status() for _ in range(REFUSED)} == {503}
            process.send_signal(signal.SIGTERM)
            assert await asyncio.to_thread(process.wait, PATIENCE_S) == 0
        finally:
            process.kill()
            process.wait()
        os.close(pipe[1])
        lines = Reader(pipe[0]).to_end()
        assert sum(line["message"] == "request refused" for line in lines) > 100
