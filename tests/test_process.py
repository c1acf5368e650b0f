"""Tests of a real daemon: one process without children or io_uring, stopped by SIGTERM."""

from __future__ import annotations

import json
import signal
import subprocess
import sys
import time
import urllib.request
from pathlib import Path

import msgspec
import pytest

from leadhollow.settings.deployment import DeploymentPlan, LoopbackAddresses, build_settings

TIMEOUT_S = 30.0


def single_vm_settings(folder: Path):
    """Return settings of a deployment of one VM with three roles."""
    plan = DeploymentPlan(
        name="alone",
        entries={"south": 1},
        regions={"south": "south"},
        backends=[],
        wire_token="token-of-the-tests",
        operator_token="token-of-the-tests",
    )
    return build_settings(
        plan, address_of=LoopbackAddresses(), folder_of=lambda vm: str(folder / vm)
    )[0]


@pytest.fixture
def daemon(tmp_path):
    settings = single_vm_settings(tmp_path)
    path = tmp_path / "vm.json"
    path.write_bytes(msgspec.json.encode(settings))
    process = subprocess.Popen(
        [sys.executable, "-m", "leadhollow", "run", str(path)],
        stderr=subprocess.PIPE,
        text=True,
    )
    wait_ready(settings.entry.listen, process)
    yield process
    if process.poll() is None:
        process.kill()
    process.wait()


def wait_ready(listen: str, process: subprocess.Popen) -> None:
    deadline_s = time.monotonic() + TIMEOUT_S
    while time.monotonic() < deadline_s and process.poll() is None:
        try:
            with urllib.request.urlopen(f"http://{listen}/healthz", timeout=1) as response:
                if response.status == 200:
                    return
        except OSError:
            time.sleep(0.05)
    raise AssertionError(process.stderr.read())


def open_files(pid: int) -> list[str]:
    """List the targets of the descriptors of a process; skips those closed in the meantime."""
    targets = []
    for entry in Path(f"/proc/{pid}/fd").iterdir():
        try:
            targets.append(str(entry.readlink()))
        except FileNotFoundError:
            continue  # closed since it was listed; an io_uring would stay open as long as its loop
    return targets


class TestOpenFiles:
    def test_skips_a_descriptor_that_is_closed_in_the_meantime(self, tmp_path, monkeypatch):
        (tmp_path / "kept").symlink_to("target")
        monkeypatch.setattr(Path, "iterdir", lambda _: [tmp_path / "gone", tmp_path / "kept"])
        assert open_files(1) == ["target"]


class TestDaemon:
    def test_opens_no_io_uring(self, daemon):
        targets = open_files(daemon.pid)
        assert targets
        assert "anon_inode:[io_uring]" not in targets

    def test_starts_no_child_process(self, daemon):
        tasks = Path(f"/proc/{daemon.pid}/task")
        children = [(task / "children").read_text().split() for task in tasks.iterdir()]
        assert not any(children)

    def test_does_not_import_the_command_line(self, daemon):
        maps = Path(f"/proc/{daemon.pid}/maps").read_text()
        assert "rapidfuzz" not in maps  # a library that only the command line imports

    def test_stops_on_sigterm_and_only_logs_a_second_one(self, daemon):
        daemon.send_signal(signal.SIGTERM)
        time.sleep(0.2)
        daemon.send_signal(signal.SIGTERM)
        assert daemon.wait(TIMEOUT_S) == 0
        lines = [json.loads(line) for line in daemon.stderr.read().splitlines()]
        messages = [line["message"] for line in lines]
        assert "stopping" in messages
        assert "already stopping, work in progress is not cut" in messages
