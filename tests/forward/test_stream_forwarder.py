"""Streams over failing, silent and late engines: takeover, cancellation and recorded health."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Awaitable, Callable

import pytest

from leadhollow.forward.stream_attempt import MIN_SILENCE_S
from tests.forward.stream_world import StreamWorld, event
from tests.other_loop import LOOPS, run_on
from tests.support import eventually

HEDGE_AFTER_S = MIN_SILENCE_S + 0.4  # after which a hedge has started, also on a busy machine


async def start_stream(world: StreamWorld) -> None:
    """Start the stream and let its first engine send one event."""
    world.start()
    await eventually(lambda: "A" in world.responses, "a first engine")
    world.responses["A"].write(event(0))
    await eventually(lambda: world.reply.data == event(0), "a first event")


async def start_hedged(world: StreamWorld) -> None:
    """Start the stream and let its first engine be silent until a hedge is sent."""
    await start_stream(world)
    await eventually(lambda: "B" in world.responses, "a second engine")


@pytest.fixture(params=sorted(LOOPS))
def play(request) -> Callable[[Callable[[], Awaitable[None]]], None]:
    def run(work: Callable[[], Awaitable[None]]) -> None:
        run_on(request.param, work)

    return run


class TestHedge:
    def test_takes_over_if_it_has_the_next_event_first(self, play):
        async def work() -> None:
            world = StreamWorld()
            await start_hedged(world)
            world.responses["B"].write(event(1))
            world.responses["B"].write(b"")
            await world.task
            assert world.reply.data == event(0) + event(1)
            assert world.reply.finished
            assert world.resumed_after == [None, 0]
            assert world.leaks == []

        play(work)

    def test_is_cancelled_if_the_first_engine_continues(self, play):
        async def work() -> None:
            world = StreamWorld()
            await start_hedged(world)
            world.responses["A"].write(event(1))
            await eventually(lambda: world.responses["B"].closed, "the second one to be let go")
            world.responses["A"].write(b"")
            await world.task
            assert world.reply.data == event(0) + event(1)
            assert world.leaks == []

        play(work)

    # Guards against: a server whose probe request is cancelled stays ejected forever.
    def test_leaves_a_probed_engine_usable_after_cancellation(self, play):
        async def work() -> None:
            world = StreamWorld()
            health, now_s = world.servers["B"].health, asyncio.get_running_loop().time()
            for _ in range(3):
                health.record_failure(now_s - 1.0)
            await start_hedged(world)
            assert not health.usable(now_s + 10.0)
            world.responses["A"].write(event(1))
            await eventually(lambda: world.responses["B"].closed, "the second one to be let go")
            assert health.usable(now_s + 10.0)
            world.task.cancel()

        play(work)

    # Guards against: a repeat that the budget forbids stays the probe of the engine that was found
    # for it.
    def test_that_gets_no_permission_leaves_a_probed_engine_usable(self, play):
        async def work() -> None:
            world = StreamWorld()
            world.failing.add("A")
            world.run._context.budget.try_acquire = lambda *_, **__: False
            health, now_s = world.servers["B"].health, asyncio.get_running_loop().time()
            for _ in range(3):
                health.record_failure(now_s - 1.0)
            await world.start()
            assert world.sent == ["A"]
            assert world.leaks == []
            assert health.usable(now_s + 10.0)

        play(work)

    # Guards against: a hanging hedge keeps the stream from an engine that could resume it.
    def test_that_hangs_is_replaced_by_a_third_engine(self, play):
        async def work() -> None:
            world = StreamWorld(attempts=3, deadline_s=20.0)
            await start_hedged(world)
            world.responses["A"].write(None)
            await eventually(lambda: "C" in world.responses, "a third engine")
            assert world.servers["B"].broken == 1
            world.responses["C"].write(event(1))
            world.responses["C"].write(b"")
            await world.task
            assert world.reply.data == event(0) + event(1)
            assert world.leaks == []

        play(work)

    # Guards against: another engine gets the request although the first one continued.
    def test_starts_no_other_while_the_caller_is_slow(self, play):
        async def work() -> None:
            world = StreamWorld(attempts=3)
            await start_hedged(world)
            world.reply.gate = asyncio.Event()
            world.responses["A"].write(event(1))
            await asyncio.sleep(0.02)
            world.responses["B"].write(event(1))
            await asyncio.sleep(0.1)
            assert world.sent == ["A", "B"]
            world.reply.gate.set()
            world.task.cancel()

        play(work)

    # Guards against: an engine that was sent nothing uses up the last attempt.
    def test_that_was_not_sent_counts_as_no_attempt(self, play):
        async def work() -> None:
            world = StreamWorld()
            world.connect_s["B"] = 5.0
            await start_stream(world)
            await eventually(lambda: world.call.attempts == 2, "a second engine that is dialled")
            world.responses["A"].write(event(1))
            await eventually(lambda: world.call.attempts == 1, "the attempt to be taken back")
            world.responses["A"].write(None)
            await eventually(lambda: "C" in world.responses, "another engine")
            world.task.cancel()

        play(work)

    # Guards against: a hedge is sent although the first engine continued during a loop stall.
    def test_is_not_sent_if_the_first_engine_continued_during_a_stall(self, play):
        async def work() -> None:
            world = StreamWorld()

            def hold_up(name: str) -> None:
                if name == "B":
                    time.sleep(1.0)
                    world.responses["A"].write(event(1))

            world.on_placed = hold_up
            await start_stream(world)
            await eventually(lambda: world.reply.data == event(0) + event(1), "the next event")
            await asyncio.sleep(0.1)
            assert world.sent == ["A"]
            world.task.cancel()

        play(work)

    # Guards against: a retry is lost on a pooled connection that broke together with the first one.
    def test_is_sent_on_a_new_connection(self, play):
        async def work() -> None:
            world = StreamWorld()
            await start_hedged(world)
            assert world.fresh == {"A": False, "B": True}
            world.task.cancel()

        play(work)

    # Guards against: an engine's failure response is lost if the hedge fails too.
    def test_that_fails_leaves_the_failure_response_of_the_first_engine(self, play):
        async def work() -> None:
            world = StreamWorld()
            world.connect_s["A"], world.error_status["A"] = HEDGE_AFTER_S + 0.2, 500
            world.connect_s["B"] = 1.0
            world.failing.add("B")
            world.start()
            await eventually(lambda: "A" in world.responses, "the first one's answer")
            world.responses["A"].write(b"why")
            world.responses["A"].write(b"")
            await world.task
            assert world.reply.data == b"why"
            assert world.endings == []

        play(work)


class TestWeightsTooOld:
    # Guards against: a response that has just started is cut by the deadline of its first event.
    def test_cancel_only_a_request_without_a_first_event(self, play):
        async def work() -> None:
            loop = asyncio.get_running_loop()
            for before_ms in range(-30, 31, 6):
                world = StreamWorld(repeatable=False)
                deadline_s = world.begin_by_s["A"] = loop.time() + 0.1
                world.start()
                await asyncio.sleep(0.02)
                loop.call_at(deadline_s - before_ms / 1000, world.responses["A"].write, event(0))
                loop.call_at(deadline_s - 0.01, time.sleep, 0.02)  # both are due at once
                await asyncio.sleep(0.25)
                assert not (world.reply.data and world.endings)
                world.task.cancel()

        play(work)

    # Guards against: an engine's failure response is cut while it is relayed.
    def test_let_a_failure_response_complete(self, play):
        async def work() -> None:
            world = StreamWorld(attempts=1)
            world.error_status["A"] = 500
            world.begin_by_s["A"] = asyncio.get_running_loop().time() + 0.2
            world.start()
            await eventually(lambda: "A" in world.responses, "an answer")
            world.responses["A"].write(b"why")
            await asyncio.sleep(0.4)
            world.responses["A"].write(b"")
            await world.task
            assert world.reply.data == b"why"
            assert world.reply.finished

        play(work)

    # Guards against: a hedge that wins at the deadline is dropped and its placement leaks.
    def test_let_the_hedge_take_over(self, play):
        async def work() -> None:
            loop = asyncio.get_running_loop()
            world = StreamWorld(deadline_s=10.0)
            deadline_s = world.begin_by_s["A"] = loop.time() + HEDGE_AFTER_S + 0.4
            world.start()
            await eventually(lambda: "B" in world.responses, "a second engine")
            loop.call_at(deadline_s - 0.01, time.sleep, 0.02)
            loop.call_at(deadline_s + 0.001, world.responses["B"].write, event(0))
            await eventually(lambda: world.reply.data == event(0), "its event")
            world.responses["B"].write(b"")
            await world.task
            assert world.endings == []
            assert world.leaks == []

        play(work)


class TestRecordedHealth:
    # Guards against: an event loop stall of the entry is recorded as lateness of the engine.
    def test_excludes_stalls_of_the_entry(self, play):
        async def work() -> None:
            world = StreamWorld()
            world.start()
            await eventually(lambda: "A" in world.responses, "an engine")
            await asyncio.sleep(0.15)
            world.responses["A"].write(event(0))
            time.sleep(2.0)
            await eventually(lambda: world.servers["A"].lateness_ms, "a first event")
            assert max(world.servers["A"].lateness_ms) < 1_000.0
            world.task.cancel()

        play(work)

    # Guards against: an engine counts as silent while the caller does not read.
    def test_excludes_delays_of_the_caller(self, play):
        async def work() -> None:
            world = StreamWorld()
            await start_stream(world)
            world.reply.gate = asyncio.Event()
            world.responses["A"].write(event(1))
            await asyncio.sleep(2 * MIN_SILENCE_S)
            world.reply.gate.set()
            await asyncio.sleep(MIN_SILENCE_S / 2)
            assert world.sent == ["A"]
            assert world.servers["A"].broken == 0
            world.task.cancel()

        play(work)

    def test_counts_one_failure_of_an_engine_that_stays_silent(self, play):
        async def work() -> None:
            world = StreamWorld(attempts=1)
            await start_stream(world)
            await asyncio.sleep(3 * MIN_SILENCE_S)
            assert world.servers["A"].broken == 1
            world.task.cancel()

        play(work)

    # Guards against: an engine whose event arrives in pieces counts as silent.
    def test_counts_no_silence_while_an_event_arrives_in_pieces(self, play):
        async def work() -> None:
            world = StreamWorld()
            await start_stream(world)
            for byte in event(1):
                world.responses["A"].write(bytes([byte]))
                await asyncio.sleep(0.1)
            assert world.reply.data == event(0) + event(1)
            assert world.sent == ["A"]
            world.task.cancel()

        play(work)


class TestEvents:
    # Guards against: events that were not relayed count as relayed.
    def test_before_a_gap_are_requested_again(self, play):
        async def work() -> None:
            world = StreamWorld()
            await start_stream(world)
            world.responses["A"].write(event(1) + event(2) + event(9))
            await eventually(lambda: "B" in world.responses, "another engine")
            assert world.resumed_after == [None, 0]
            assert world.reply.data == event(0)
            world.task.cancel()

        play(work)

    # Guards against: another response within a stream is relayed instead of resuming elsewhere.
    def test_behind_another_head_are_requested_again(self, play):
        async def work() -> None:
            world = StreamWorld()
            await start_stream(world)
            head = b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n"
            world.responses["A"].write(head + event(1))
            await eventually(lambda: "B" in world.responses, "another engine")
            assert world.resumed_after == [None, 0]
            assert world.reply.data == event(0)
            world.task.cancel()

        play(work)

    def test_without_an_end_are_abandoned(self, play):
        async def work() -> None:
            world = StreamWorld()
            await start_stream(world)
            for _ in range(20):
                world.responses["A"].write(bytes(100_000))
            await eventually(lambda: "B" in world.responses, "another engine")
            assert world.reply.data == event(0)
            world.task.cancel()

        play(work)
