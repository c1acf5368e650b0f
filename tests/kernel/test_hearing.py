from __future__ import annotations

import asyncio
import socket
import time

import pytest

from leadhollow.kernel import hearing
from leadhollow.kernel.hearing import HeardTimer, deadline_at, heard_timeout

HOLDS_S = (0.5, 1.0)


async def settle() -> None:
    """Let the clock begin before anything is held up."""
    hearing.clock()
    await asyncio.sleep(hearing.TICK_S)


class TestHearingClock:
    async def test_goes_on_with_the_loop(self):
        await settle()
        began_s, began_heard_s = asyncio.get_running_loop().time(), hearing.heard_s()
        for _ in range(8):
            await asyncio.sleep(0.05)
        passed_s = asyncio.get_running_loop().time() - began_s
        held_s = hearing.clock().held_s()
        assert hearing.heard_s() - began_heard_s == pytest.approx(passed_s - held_s, abs=0.11)

    @pytest.mark.parametrize("hold_s", HOLDS_S)
    async def test_stands_still_while_the_loop_does(self, hold_s):
        await settle()
        began_s = hearing.heard_s()
        time.sleep(hold_s)
        await asyncio.sleep(0.01)
        assert hearing.heard_s() - began_s <= hearing.LONGEST_STEP_S + 0.1

    async def test_counts_holds_by_their_length(self):
        await settle()
        time.sleep(0.7)
        await asyncio.sleep(0.01)
        clock = hearing.clock()
        assert clock.held_s() >= 0.4
        assert clock.holds[2] == 1  # between a half and a whole second

    async def test_is_one_for_all_of_a_loop(self):
        assert hearing.clock() is hearing.clock()


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

    async def test_ends_a_wait_for_a_peer_that_is_silent(self):
        with pytest.raises(TimeoutError):
            async with heard_timeout(0.15) as limit:
                await asyncio.sleep(5.0)
        assert limit.expired()

    async def test_does_not_change_a_cancellation(self):
        async def wait() -> None:
            async with heard_timeout(5.0):
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
        HeardTimer(delay_s=0.02, callback=lambda: called.append("kept"))
        HeardTimer(delay_s=0.02, callback=lambda: called.append("cancelled")).cancel()
        await asyncio.sleep(0.3)
        assert called == ["kept"]


async def _connected() -> tuple[asyncio.StreamReader, asyncio.StreamWriter, socket.socket]:
    ours, peer = socket.socketpair()
    ours.setblocking(False)
    reader, writer = await asyncio.open_connection(sock=ours)
    return reader, writer, peer


async def _read(reader: asyncio.StreamReader, patience_s: float) -> bytes:
    async with heard_timeout(patience_s):
        return await reader.read(10)
