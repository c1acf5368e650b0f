from __future__ import annotations

import asyncio
import socket
import time
import weakref

import pytest
import uvloop

from leadhollow.kernel import active_time
from leadhollow.kernel.active_time import ActiveTimer, active_timeout, active_wait, deadline_at
from tests.support import collections_paused

STALLS_S = (0.5, 1.0)
LOOPS = (asyncio.new_event_loop, uvloop.new_event_loop)


class LargeResult:
    """Stands for a response that takes much memory."""


def deadline_after(delay_s: float) -> deadline_at:
    """Return a scope that ends at a deadline."""
    return deadline_at(asyncio.get_running_loop().time() + delay_s)


async def start_clock() -> None:
    """Start the clock of the loop before the first stall."""
    active_time.clock()
    await asyncio.sleep(active_time.TICK_S)


class TestActiveClock:
    async def test_advances_while_the_loop_runs(self):
        await start_clock()
        began_s, began_active_s = asyncio.get_running_loop().time(), active_time.active_s()
        for _ in range(8):
            await asyncio.sleep(0.05)
        passed_s = asyncio.get_running_loop().time() - began_s
        stalled_s = active_time.clock().stalled_s()
        assert active_time.active_s() - began_active_s == pytest.approx(
            passed_s - stalled_s, abs=0.11
        )

    @pytest.mark.parametrize("hold_s", STALLS_S)
    async def test_stops_while_the_loop_is_stalled(self, hold_s):
        await start_clock()
        began_s = active_time.active_s()
        time.sleep(hold_s)
        await asyncio.sleep(0.01)
        assert active_time.active_s() - began_s <= active_time.MAX_STEP_S + 0.1

    async def test_counts_stalls_by_duration(self):
        await start_clock()
        time.sleep(0.7)
        await asyncio.sleep(0.01)
        clock = active_time.clock()
        assert clock.stalled_s() >= 0.4
        assert clock.stall_counts[2] == 1  # 0.5 to 1 s

    async def test_never_advances_faster_than_the_loop_time(self):
        await start_clock()
        began_s, began_active_s = asyncio.get_running_loop().time(), active_time.active_s()
        for _ in range(4):
            time.sleep(0.15)
            await asyncio.sleep(0.02)
        active_s = active_time.active_s() - began_active_s
        assert active_s <= asyncio.get_running_loop().time() - began_s

    @pytest.mark.parametrize("hold_s", STALLS_S)
    async def test_active_time_since_a_loop_time_excludes_stalls(self, hold_s):
        await start_clock()
        before_s = asyncio.get_running_loop().time()
        time.sleep(hold_s)
        assert active_time.active_since_s(before_s) <= active_time.MAX_STEP_S + 0.1
        await asyncio.sleep(active_time.TICK_S)
        after_s = asyncio.get_running_loop().time()
        await asyncio.sleep(0.05)
        assert active_time.active_since_s(before_s) <= active_time.MAX_STEP_S + 0.4
        assert (
            0.04
            <= active_time.active_since_s(after_s)
            <= asyncio.get_running_loop().time() - after_s
        )

    async def test_is_shared_within_a_loop(self):
        assert active_time.clock() is active_time.clock()


class TestActiveTimeout:
    # Guards against: a timeout expires although the peer sent data while this process was stalled.
    @pytest.mark.parametrize("hold_s", STALLS_S)
    async def test_reads_data_that_arrived_during_a_stall(self, hold_s):
        await start_clock()
        reader, writer, peer = await _connected()
        read = asyncio.create_task(_read(reader, 0.4))
        await asyncio.sleep(0.05)
        peer.send(b"x")
        time.sleep(hold_s)
        assert await read == b"x"
        writer.close()
        peer.close()

    # Guards against: the part of a stall that counts as active time uses up the rest of a timeout.
    @pytest.mark.parametrize("new_loop", LOOPS)
    def test_reads_data_that_arrived_just_before_the_timeout(self, new_loop):
        async def wait() -> bytes:
            await start_clock()
            reader, writer, peer = await _connected()
            received: asyncio.Queue[bytes] = asyncio.Queue()
            forwarding = asyncio.create_task(_forward_input(reader, received))
            began_s = asyncio.get_running_loop().time()
            async with active_timeout(0.4):
                while asyncio.get_running_loop().time() - began_s < 0.3:
                    await asyncio.sleep(0.02)
                peer.send(b"x")
                time.sleep(0.5)
                data = await received.get()
            forwarding.cancel()
            writer.close()
            peer.close()
            return data

        with asyncio.Runner(loop_factory=new_loop) as runner:
            assert runner.run(wait()) == b"x"

    async def test_without_a_delay_never_expires(self):
        async with active_timeout(None) as limit:
            await asyncio.sleep(0.02)
        assert not limit.expired()

    async def test_expires_when_the_peer_is_silent(self):
        with pytest.raises(TimeoutError):
            async with active_timeout(0.15) as limit:
                await asyncio.sleep(5.0)
        assert limit.expired()

    async def test_propagates_cancellation(self):
        async def wait() -> None:
            async with active_timeout(5.0):
                await asyncio.sleep(5.0)

        task = asyncio.create_task(wait())
        await asyncio.sleep(0.02)
        task.cancel()
        with pytest.raises(asyncio.CancelledError):
            await task


class TestDeadlineAt:
    async def test_expires_at_the_deadline(self):
        loop = asyncio.get_running_loop()
        began_s = loop.time()
        with pytest.raises(TimeoutError):
            async with deadline_at(began_s + 0.1):
                await asyncio.sleep(5.0)
        assert loop.time() - began_s < 1.0

    # Guards against: an answer that arrived in time is dropped because the timer runs first.
    async def test_reads_data_that_arrived_before_the_deadline(self):
        await start_clock()
        reader, writer, peer = await _connected()

        async def read() -> bytes:
            async with deadline_at(asyncio.get_running_loop().time() + 0.4):
                return await reader.read(10)

        reading = asyncio.create_task(read())
        await asyncio.sleep(0.05)
        peer.send(b"x")
        time.sleep(0.8)
        assert await reading == b"x"
        writer.close()
        peer.close()

    async def test_can_be_rescheduled_to_an_earlier_time(self):
        loop = asyncio.get_running_loop()
        with pytest.raises(TimeoutError):
            async with deadline_at(loop.time() + 5.0) as limit:
                limit.reschedule(loop.time())
                await asyncio.sleep(5.0)


class TestScopeThatHasEnded:
    # Guards against: what each task under a limit returned stays until a collection of garbage.
    @pytest.mark.parametrize("scope", [active_timeout, deadline_after])
    async def test_keeps_nothing_that_its_task_returned(self, scope):
        async def work() -> LargeResult:
            async with scope(5.0):
                await asyncio.sleep(0)
            return LargeResult()

        with collections_paused():
            task = asyncio.create_task(work())
            returned = weakref.ref(await task)
            del task
            await asyncio.sleep(0)
            assert returned() is None


class TestActiveTimer:
    async def test_calls_back_unless_cancelled(self):
        called: list[str] = []
        ActiveTimer(delay_s=0.02, callback=lambda: called.append("kept"))
        ActiveTimer(delay_s=0.02, callback=lambda: called.append("cancelled")).cancel()
        await asyncio.sleep(0.3)
        assert called == ["kept"]

    # Guards against: a timeout on a peer never expires if every iteration of the loop is slow.
    async def test_calls_back_on_a_loop_that_is_always_late(self):
        called = asyncio.Event()
        ActiveTimer(delay_s=0.1, callback=called.set)
        for _ in range(60):
            time.sleep(0.04)
            await asyncio.sleep(0)
        assert called.is_set()


class TestActiveWait:
    async def test_returns_when_the_first_task_is_done(self):
        quick = asyncio.create_task(asyncio.sleep(0.02))
        slow = asyncio.create_task(asyncio.sleep(5.0))
        assert await active_wait({quick, slow}, 3.0)
        assert quick.done() and not slow.done()
        slow.cancel()

    async def test_does_not_cancel_the_tasks(self):
        slow = asyncio.create_task(asyncio.sleep(0.3))
        assert not await active_wait({slow}, 0.05)
        await slow

    async def test_sees_data_that_arrived_during_a_stall(self):
        await start_clock()
        reader, writer, peer = await _connected()
        read = asyncio.create_task(reader.read(10))
        waits = asyncio.create_task(active_wait({read}, 0.4))
        await asyncio.sleep(0.05)
        peer.send(b"x")
        time.sleep(1.0)
        assert await waits
        writer.close()
        peer.close()


async def _connected() -> tuple[asyncio.StreamReader, asyncio.StreamWriter, socket.socket]:
    local, peer = socket.socketpair()
    local.setblocking(False)
    reader, writer = await asyncio.open_connection(sock=local)
    return reader, writer, peer


async def _forward_input(reader: asyncio.StreamReader, received: asyncio.Queue[bytes]) -> None:
    while data := await reader.read(10):
        await asyncio.sleep(0)
        received.put_nowait(data)


async def _read(reader: asyncio.StreamReader, timeout_s: float) -> bytes:
    async with active_timeout(timeout_s):
        return await reader.read(10)
