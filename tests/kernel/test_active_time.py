from __future__ import annotations

import asyncio
import socket
import time

import pytest
import uvloop

from leadhollow.kernel import active_time
from leadhollow.kernel.active_time import ActiveTimer, active_timeout, active_wait, deadline_at

HOLDS_S = (0.5, 1.0)
LOOPS = (asyncio.new_event_loop, uvloop.new_event_loop)


async def settle() -> None:
    """Let the clock begin before anything is held up."""
    active_time.clock()
    await asyncio.sleep(active_time.TICK_S)


class TestHearingClock:
    async def test_goes_on_with_the_loop(self):
        await settle()
        began_s, began_heard_s = asyncio.get_running_loop().time(), active_time.active_s()
        for _ in range(8):
            await asyncio.sleep(0.05)
        passed_s = asyncio.get_running_loop().time() - began_s
        held_s = active_time.clock().stalled_s()
        assert active_time.active_s() - began_heard_s == pytest.approx(passed_s - held_s, abs=0.11)

    @pytest.mark.parametrize("hold_s", HOLDS_S)
    async def test_stands_still_while_the_loop_does(self, hold_s):
        await settle()
        began_s = active_time.active_s()
        time.sleep(hold_s)
        await asyncio.sleep(0.01)
        assert active_time.active_s() - began_s <= active_time.MAX_STEP_S + 0.1

    async def test_counts_holds_by_their_length(self):
        await settle()
        time.sleep(0.7)
        await asyncio.sleep(0.01)
        clock = active_time.clock()
        assert clock.stalled_s() >= 0.4
        assert clock.stall_counts[2] == 1  # between a half and a whole second

    async def test_never_goes_faster_than_the_loops_time(self):
        await settle()
        began_s, began_heard_s = asyncio.get_running_loop().time(), active_time.active_s()
        for _ in range(4):
            time.sleep(0.15)
            await asyncio.sleep(0.02)
        heard_s = active_time.active_s() - began_heard_s
        assert heard_s <= asyncio.get_running_loop().time() - began_s

    @pytest.mark.parametrize("hold_s", HOLDS_S)
    async def test_tells_for_how_long_it_could_hear_since_a_loop_time(self, hold_s):
        await settle()
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

    async def test_is_one_for_all_of_a_loop(self):
        assert active_time.clock() is active_time.clock()


class TestHeardTimeout:
    # Guards against: what a peer sent while this process did not run is taken for its silence.
    @pytest.mark.parametrize("hold_s", HOLDS_S)
    async def test_lets_what_arrived_in_a_hold_be_read(self, hold_s):
        await settle()
        reader, writer, peer = await _connected()
        read = asyncio.create_task(_read(reader, 0.4))
        await asyncio.sleep(0.05)
        peer.send(b"x")
        time.sleep(hold_s)
        assert await read == b"x"
        writer.close()
        peer.close()

    # Guards against: the part of a hold that counts as heard is the rest of somebody's patience.
    @pytest.mark.parametrize("new_loop", LOOPS)
    def test_lets_input_be_read_that_came_in_the_last_of_a_patience(self, new_loop):
        async def wait() -> bytes:
            await settle()
            reader, writer, peer = await _connected()
            passed_on: asyncio.Queue[bytes] = asyncio.Queue()
            passing = asyncio.create_task(_pass_on(reader, passed_on))
            began_s = asyncio.get_running_loop().time()
            async with active_timeout(0.4):
                while asyncio.get_running_loop().time() - began_s < 0.3:
                    await asyncio.sleep(0.02)
                peer.send(b"x")
                time.sleep(0.5)
                data = await passed_on.get()
            passing.cancel()
            writer.close()
            peer.close()
            return data

        with asyncio.Runner(loop_factory=new_loop) as runner:
            assert runner.run(wait()) == b"x"

    async def test_without_a_time_bounds_nothing(self):
        async with active_timeout(None) as limit:
            await asyncio.sleep(0.02)
        assert not limit.expired()

    async def test_ends_a_wait_for_a_peer_that_is_silent(self):
        with pytest.raises(TimeoutError):
            async with active_timeout(0.15) as limit:
                await asyncio.sleep(5.0)
        assert limit.expired()

    async def test_does_not_change_a_cancellation(self):
        async def wait() -> None:
            async with active_timeout(5.0):
                await asyncio.sleep(5.0)

        task = asyncio.create_task(wait())
        await asyncio.sleep(0.02)
        task.cancel()
        with pytest.raises(asyncio.CancelledError):
            await task


class TestDeadline:
    async def test_ends_work_in_time(self):
        loop = asyncio.get_running_loop()
        began_s = loop.time()
        with pytest.raises(TimeoutError):
            async with deadline_at(began_s + 0.1):
                await asyncio.sleep(5.0)
        assert loop.time() - began_s < 1.0

    # Guards against: an answer that had come in time is dropped, since the timer ran first.
    async def test_takes_what_had_arrived_before_it_ends(self):
        await settle()
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

    async def test_may_be_brought_forward(self):
        loop = asyncio.get_running_loop()
        with pytest.raises(TimeoutError):
            async with deadline_at(loop.time() + 5.0) as limit:
                limit.reschedule(loop.time())
                await asyncio.sleep(5.0)


class TestHeardTimer:
    async def test_calls_back_unless_cancelled(self):
        called: list[str] = []
        ActiveTimer(delay_s=0.02, callback=lambda: called.append("kept"))
        ActiveTimer(delay_s=0.02, callback=lambda: called.append("cancelled")).cancel()
        await asyncio.sleep(0.3)
        assert called == ["kept"]

    # Guards against: a wait for a peer never ends where each round of the loop takes long.
    async def test_calls_back_on_a_loop_that_is_always_late(self):
        called = asyncio.Event()
        ActiveTimer(delay_s=0.1, callback=called.set)
        for _ in range(60):
            time.sleep(0.04)
            await asyncio.sleep(0)
        assert called.is_set()


class TestHeardWait:
    async def test_ends_with_the_first_that_is_done(self):
        quick = asyncio.create_task(asyncio.sleep(0.02))
        slow = asyncio.create_task(asyncio.sleep(5.0))
        assert await active_wait({quick, slow}, 3.0)
        assert quick.done() and not slow.done()
        slow.cancel()

    async def test_lets_what_it_waits_for_go_on(self):
        slow = asyncio.create_task(asyncio.sleep(0.3))
        assert not await active_wait({slow}, 0.05)
        await slow

    async def test_sees_what_arrived_in_a_hold(self):
        await settle()
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
    ours, peer = socket.socketpair()
    ours.setblocking(False)
    reader, writer = await asyncio.open_connection(sock=ours)
    return reader, writer, peer


async def _pass_on(reader: asyncio.StreamReader, taken: asyncio.Queue[bytes]) -> None:
    while data := await reader.read(10):
        await asyncio.sleep(0)
        taken.put_nowait(data)


async def _read(reader: asyncio.StreamReader, patience_s: float) -> bytes:
    async with active_timeout(patience_s):
        return await reader.read(10)
