"""Work on a disk, beside an event loop that goes on."""

from __future__ import annotations

import asyncio

from leadhollow.state.disk_thread import DiskThread
from tests.support import BlockingWork


class TestDiskThread:
    # Guards against: a replica that stops holds up its process while its disk hangs.
    async def test_waits_for_work_in_progress_without_holding_up_the_loop(self):
        disk = DiskThread()
        work = BlockingWork()
        running = asyncio.create_task(disk.run(work))
        await asyncio.sleep(0)
        await disk.stop()
        assert running.done()
        assert not work.held_up_loop

    async def test_ends_at_once_where_there_is_none(self):
        disk = DiskThread()
        assert await disk.run(lambda: 1) == 1
        await disk.stop()
