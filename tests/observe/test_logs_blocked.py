"""Tests of a process whose log is not read: it does not block, and dropped lines are counted."""

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

LINE_COUNT = 20_000  # lines that fill both the pipe and the buffer
MAX_STALL_S = 1.0  # above delays of a busy machine, below a wait for the reader
QUIET_S = 0.5


class Reader:
    """Reads log lines of a process."""

    def __init__(self, descriptor: int) -> None:
        self._descriptor = descriptor
        self.data = b""

    def until(self, text: str, *, times: int = 1) -> list[dict[str, object]]:
        """Read until a text occurred a number of times; return all lines so far."""
        deadline_s = time.monotonic() + PATIENCE_S
        while self.data.count(text.encode()) < times or not self.data.endswith(b"\n"):
            left_s = deadline_s - time.monotonic()
            assert left_s > 0, f"{text!r} did not come"
            self._read_some(left_s)
        return self.lines()

    def to_end(self) -> list[dict[str, object]]:
        """Read until the writer ended; return all lines."""
        while self._read_some(PATIENCE_S):
            pass
        return self.lines()

    def lines(self) -> list[dict[str, object]]:
        return [json.loads(line) for line in self.data.decode().splitlines()]

    def _read_some(self, timeout_s: float) -> bool:
        ready, _, _ = select.select([self._descriptor], [], [], timeout_s)
        try:
            data_read = os.read(self._descriptor, 65_536) if ready else b""
        except OSError:  # a terminal whose other end is closed
            data_read = b""
        self.data += data_read.replace(b"\r\n", b"\n")
        return bool(data_read)


def check_lines(lines: list[dict[str, object]]) -> list[int]:
    """Check that lines are in order and notices count the missing ones; return the counts."""
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


class TestBlockedReader:
    # Guards against: an unread log blocks the whole process.
    def test_does_not_stall_event_loop(self, pipe):
        with Writer(stderr=pipe[1]) as writer:
            response = writer.execute(f"lines {LINE_COUNT}")
            assert response["longest_s"] < MAX_STALL_S

    def test_notice_with_count_replaces_dropped_lines(self, pipe):
        with Writer(stderr=pipe[1]) as writer:
            os.close(pipe[1])
            writer.execute(f"lines {LINE_COUNT}")
            reader = Reader(pipe[0])
            reader.until("log lines dropped")
            writer.execute("lines 10")
            assert writer.wait_for_exit() == 0
            lines = reader.to_end()
            counts = check_lines(lines)
            assert len(counts) == 1
            assert sum("number" in line for line in lines) + sum(counts) == LINE_COUNT + 10
            assert lines[-1]["number"] == LINE_COUNT + 9

    def test_buffered_lines_are_written_without_a_new_line(self, pipe):
        with Writer(stderr=pipe[1]) as writer:
            writer.execute("lines 900")
            reader = Reader(pipe[0])
            lines = reader.until('"number":899}')
            assert check_lines(lines) == []
            assert len(lines) == 900

    def test_all_lines_are_counted_if_reader_blocks_repeatedly(self, pipe):
        with Writer(stderr=pipe[1]) as writer:
            os.close(pipe[1])
            reader = Reader(pipe[0])
            for times in range(1, 4):
                writer.execute(f"lines {LINE_COUNT}")
                reader.until("log lines dropped", times=times)
            assert writer.wait_for_exit() == 0
            lines = reader.to_end()
            counts = check_lines(lines)
            assert len(counts) >= 3
            assert sum("number" in line for line in lines) + sum(counts) == 3 * LINE_COUNT

    def test_long_line_is_written_completely(self, pipe):
        with Writer(stderr=pipe[1]) as writer:
            writer.execute("long 150000")
            writer.execute("say after")
            lines = Reader(pipe[0]).until("after")
            assert [line["message"] for line in lines] == ["long", "after"]
            assert len(lines[0]["text"]) == 150_000

    # Guards against: retries use CPU time continuously, or without any buffered lines.
    def test_retries_use_little_cpu_time(self, pipe):
        with Writer(stderr=pipe[1]) as writer:
            cpu_before_s = writer.execute(f"lines {LINE_COUNT}")["usage_s"]
            time.sleep(QUIET_S)
            assert writer.execute("none")["usage_s"] - cpu_before_s < QUIET_S / 2


ENDS = {"end": 0, "exit 3": 3, "raise planted": 1}


class TestExit:
    @pytest.mark.parametrize("command", ENDS)
    def test_last_lines_are_written_to_slow_reader(self, pipe, command):
        with Writer(stderr=pipe[1]) as writer:
            os.close(pipe[1])
            writer.execute("lines 900")  # more than the pipe holds
            writer.execute("say last")
            writer.send(command)
            time.sleep(0.2)
            reader = Reader(pipe[0])
            reader._read_some(PATIENCE_S)
            time.sleep(0.2)
            while reader._read_some(PATIENCE_S):
                pass
            assert writer.process.wait(PATIENCE_S) == ENDS[command]
            text, _, end = reader.data.partition(b'"message":"last"}\n')
            assert text.count(b"request refused") == 900
            assert (b"RuntimeError: planted" in end) == command.startswith("raise")

    @pytest.mark.parametrize("command", ENDS)
    def test_completes_if_reader_is_blocked(self, pipe, command):
        with Writer(stderr=pipe[1]) as writer:
            writer.execute(f"lines {LINE_COUNT}")
            assert writer.wait_for_exit(command) == ENDS[command]

    def test_completes_if_reader_is_closed(self, pipe):
        with Writer(stderr=pipe[1]) as writer:
            writer.execute("lines 10")
            os.close(pipe[1])
            os.close(pipe[0])
            writer.execute("lines 10")
            assert writer.wait_for_exit() == 0

    # Guards against: output to standard error other than the log blocks on the reader.
    def test_print_to_standard_error_does_not_block(self, pipe):
        with Writer(stderr=pipe[1]) as writer:
            writer.execute("lines 900")
            writer.execute("print printed")
            reader = Reader(pipe[0])
            while b"printed\n" not in reader.data:
                assert reader._read_some(PATIENCE_S)
            assert reader.data.endswith(b'"number":899}\nprinted\n')


class TestOtherFileTypes:
    def test_socket_does_not_block_and_keeps_its_flags(self):
        local_end, remote_end = socket.socketpair()
        with local_end, remote_end, Writer(stderr=remote_end.fileno()) as writer:
            flags = fcntl.fcntl(remote_end, fcntl.F_GETFL)
            response = writer.execute(f"lines {LINE_COUNT}")
            assert response["longest_s"] < MAX_STALL_S
            assert fcntl.fcntl(remote_end, fcntl.F_GETFL) == flags
            remote_end.close()
            reader = Reader(local_end.fileno())
            reader.until("log lines dropped")
            assert writer.wait_for_exit() == 0
            assert sum(check_lines(reader.to_end())) > 0

    def test_terminal_does_not_block_and_keeps_its_flags(self):
        local_end, remote_end = pty.openpty()
        with closing(os.fdopen(local_end, "rb", 0)), Writer(stderr=remote_end) as writer:
            flags = fcntl.fcntl(remote_end, fcntl.F_GETFL)
            response = writer.execute(f"lines {LINE_COUNT}")
            assert response["longest_s"] < MAX_STALL_S
            assert fcntl.fcntl(remote_end, fcntl.F_GETFL) == flags
            os.close(remote_end)
            reader = Reader(local_end)
            reader.until("log lines dropped")
            assert writer.wait_for_exit() == 0
            assert sum(check_lines(reader.to_end())) > 0

    def test_regular_file_gets_every_line(self, tmp_path):
        path = tmp_path / "log"
        with path.open("ab") as file, Writer(stderr=file.fileno()) as writer:
            writer.execute("lines 5000")
            assert writer.wait_for_exit() == 0
        lines = [json.loads(line) for line in path.read_text().splitlines()]
        assert check_lines(lines) == []
        assert len(lines) == 5000

    # Guards against: writes of other processes that share the pipe fail.
    def test_shared_pipe_keeps_its_flags(self, pipe):
        flags = fcntl.fcntl(pipe[1], fcntl.F_GETFL)
        assert not flags & os.O_NONBLOCK
        with Writer(stderr=pipe[1]) as writer:
            writer.execute(f"lines {LINE_COUNT}")
            assert fcntl.fcntl(pipe[1], fcntl.F_GETFL) == flags

    def test_lines_of_two_processes_on_one_pipe_are_not_interleaved(self, pipe):
        with Writer(stderr=pipe[1]) as first, Writer(stderr=pipe[1]) as second:
            os.close(pipe[1])
            reader = Reader(pipe[0])
            reading = threading.Thread(target=reader.to_end)
            reading.start()
            for writer in (first, second):
                writer.send("lines 5000")
            for writer in (first, second):
                assert writer.wait_for_exit() == 0
            reading.join(PATIENCE_S)
            assert reader.lines()  # raises unless each line is valid JSON


REQUEST_COUNT = 1_500  # requests, each with a log line; about 450 lines fill a pipe


def entry_settings() -> dict[str, object]:
    """Return settings of an entry whose control replicas do not exist."""
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
    # Guards against: an entry stops responding because its log is not read.
    async def test_responds_while_its_log_is_not_read(self, tmp_path, pipe):
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
                    async with session.get(f"http://{settings['callers']}/ask") as http_response:
                        return http_response.status

                async def listens() -> int:
                    with suppress(aiohttp.ClientError):
                        return await status()
                    return 0

                await eventually(listens, "an answer")
                assert {await status() for _ in range(REQUEST_COUNT)} == {503}
            process.send_signal(signal.SIGTERM)
            assert await asyncio.to_thread(process.wait, PATIENCE_S) == 0
        finally:
            process.kill()
            process.wait()
        os.close(pipe[1])
        lines = Reader(pipe[0]).to_end()
        assert sum(line["message"] == "request refused" for line in lines) > 100
