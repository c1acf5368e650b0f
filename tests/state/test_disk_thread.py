"""Disk work in a thread beside the event loop."""

from __future__ import annotations

import asyncio

from leadhollow.state.disk_thread import DiskThread
from tests.support import BlockingWork


class TestDiskThread:
    # Guards against: a replica that stops blocks the event loop while its disk hangs.
    async def test_stop_waits_for_pending_work_without_blocking_the_loop(self):
        disk = DiskThread()
        work = BlockingWork()
        running = asyncio.create_task(disk.run(work))
        await asyncio.sleep(0)
        await disk.stop()
        assert running.done()
        assert not work.held_up_loop

    async def test_stop_returns_at_once_without_pending_work(self):
        disk = DiskThread()
        assert await disk.run(lambda: 1) == 1
        await disk.stop()
