"""One stream and the engines that write it: who goes on, who is let go, what is learnt."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Awaitable, Callable

import pytest

from leadhollow.forward.stream_attempt import SHORTEST_STALL_S
from tests.forward.stream_world import StreamWorld, event
from tests.other_loop import LOOPS, run_on
from tests.support import eventually

SILENT_S = SHORTEST_STALL_S + 0.4  # until another engine has been asked beside, on a busy machine


async def begun(world: StreamWorld) -> None:
    """Start the stream; its first engine has written one event."""
    world.start()
    await eventually(lambda: "A" in world.answers, "a first engine")
    world.answers["A"].write(event(0))
    await eventually(lambda: world.reply.data == event(0), "a first event")


async def asked_beside(world: StreamWorld) -> None:
    """Start the stream, and let its first engine be silent until another one is asked."""
    await begun(world)
    await eventually(lambda: "B" in world.answers, "a second engine")


@pytest.fixture(params=sorted(LOOPS))
def play(request) -> Callable[[Callable[[], Awaitable[None]]], None]:
    def run(work: Callable[[], Awaitable[None]]) -> None:
        run_on(request.param, work)

    return run


class TestSecondEngine:
    def test_goes_on_where_it_has_the_next_event_first(self, play):
        async def work() -> None:
            world = StreamWorld()
            await asked_beside(world)
            world.answers["B"].write(event(1))
            world.answers["B"].write(b"")
            await world.task
            assert world.reply.data == event(0) + event(1)
            assert world.reply.finished
            assert world.resumed_after == [None, 0]
            assert world.leaks == []

        play(work)

    def test_is_let_go_where_the_first_one_goes_on(self, play):
        async def work() -> None:
            world = StreamWorld()
            await asked_beside(world)
            world.answers["A"].write(event(1))
            await eventually(lambda: world.answers["B"].closed, "the second one to be let go")
            world.answers["A"].write(b"")
            await world.task
            assert world.reply.data == event(0) + event(1)
            assert world.leaks == []

        play(work)

    # Guards against: a server that is let go while it is tried stays out of use for good.
    def test_may_be_used_again_after_it_was_let_go(self, play):
        async def work() -> None:
            world = StreamWorld()
            health, now_s = world.servers["B"].health, asyncio.get_running_loop().time()
            for _ in range(3):
                health.record_failure(now_s - 1.0)
            await asked_beside(world)
            assert not health.usable(now_s + 10.0)
            world.answers["A"].write(event(1))
            await eventually(lambda: world.answers["B"].closed, "the second one to be let go")
            assert health.usable(now_s + 10.0)
            world.task.cancel()

        play(work)

    # Guards against: an engine that hangs keeps a stream from one that could go on with it.
    def test_that_hangs_gives_way_to_a_third(self, play):
        async def work() -> None:
            world = StreamWorld(attempts=3, deadline_s=20.0)
            await asked_beside(world)
            world.answers["A"].write(None)
            await eventually(lambda: "C" in world.answers, "a third engine")
            assert world.servers["B"].broken == 1
            world.answers["C"].write(event(1))
            world.answers["C"].write(b"")
            await world.task
            assert world.reply.data == event(0) + event(1)
            assert world.leaks == []

        play(work)

    # Guards against: one more engine is asked though the first one has gone on.
    def test_is_the_last_where_the_caller_is_slow(self, play):
        async def work() -> None:
            world = StreamWorld(attempts=3)
            await asked_beside(world)
            world.reply.gate = asyncio.Event()
            world.answers["A"].write(event(1))
            await asyncio.sleep(0.02)
            world.answers["B"].write(event(1))
            await asyncio.sleep(0.1)
            assert world.sent == ["A", "B"]
            world.reply.gate.set()
            world.task.cancel()

        play(work)

    # Guards against: an engine that was sent nothing uses up the last attempt.
    def test_that_was_not_sent_anything_costs_no_attempt(self, play):
        async def work() -> None:
            world = StreamWorld()
            world.connect_s["B"] = 5.0
            await begun(world)
            await eventually(lambda: world.call.attempts == 2, "a second engine that is dialled")
            world.answers["A"].write(event(1))
            await eventually(lambda: world.call.attempts == 1, "the attempt to be taken back")
            world.answers["A"].write(None)
            await eventually(lambda: "C" in world.answers, "another engine")
            world.task.cancel()

        play(work)

    # Guards against: one is asked after a hold, though the first one had gone on in it.
    def test_is_not_sent_anything_where_the_first_one_wrote_in_a_hold(self, play):
        async def work() -> None:
            world = StreamWorld()

            def hold_up(name: str) -> None:
                if name == "B":
                    time.sleep(1.0)
                    world.answers["A"].write(event(1))

            world.on_placed = hold_up
            await begun(world)
            await eventually(lambda: world.reply.data == event(0) + event(1), "the next event")
            await asyncio.sleep(0.1)
            assert world.sent == ["A"]
            world.task.cancel()

        play(work)

    # Guards against: a repeat is lost on a connection that was reset with the first one's.
    def test_is_sent_the_request_on_a_connection_of_its_own(self, play):
        async def work() -> None:
            world = StreamWorld()
            await asked_beside(world)
            assert world.fresh == {"A": False, "B": True}
            world.task.cancel()

        play(work)

    # Guards against: an engine's own failure is lost, where the one asked beside it fails too.
    def test_that_fails_leaves_the_first_one_s_answer(self, play):
        async def work() -> None:
            world = StreamWorld()
            world.connect_s["A"], world.failed_status["A"] = SILENT_S + 0.2, 500
            world.connect_s["B"] = 1.0
            world.failing.add("B")
            world.start()
            await eventually(lambda: "A" in world.answers, "the first one's answer")
            world.answers["A"].write(b"why")
            world.answers["A"].write(b"")
            await world.task
            assert world.reply.data == b"why"
            assert world.endings == []

        play(work)


class TestWeightsThatBecomeTooOld:
    # Guards against: an answer that has just begun is cut by the bound of its first event.
    def test_take_back_only_what_has_not_begun(self, play):
        async def work() -> None:
            loop = asyncio.get_running_loop()
            for early_ms in range(-30, 31, 6):
                world = StreamWorld(repeatable=False)
                bound_s = world.begin_by_s["A"] = loop.time() + 0.1
                world.start()
                await asyncio.sleep(0.02)
                loop.call_at(bound_s - early_ms / 1000, world.answers["A"].write, event(0))
                loop.call_at(bound_s - 0.01, time.sleep, 0.02)  # both come in the same turn
                await asyncio.sleep(0.25)
                assert not (world.reply.data and world.endings)
                world.task.cancel()

        play(work)

    # Guards against: an engine's own failure is cut while it is passed on.
    def test_let_an_engine_s_own_failure_come_whole(self, play):
        async def work() -> None:
            world = StreamWorld(attempts=1)
            world.failed_status["A"] = 500
            world.begin_by_s["A"] = asyncio.get_running_loop().time() + 0.2
            world.start()
            await eventually(lambda: "A" in world.answers, "an answer")
            world.answers["A"].write(b"why")
            await asyncio.sleep(0.4)
            world.answers["A"].write(b"")
            await world.task
            assert world.reply.data == b"why"
            assert world.reply.finished

        play(work)

    # Guards against: the second engine is forgotten with its place where it wins at that moment.
    def test_let_the_one_that_was_asked_beside_go_on(self, play):
        async def work() -> None:
            loop = asyncio.get_running_loop()
            world = StreamWorld(deadline_s=10.0)
            bound_s = world.begin_by_s["A"] = loop.time() + SILENT_S + 0.4
            world.start()
            await eventually(lambda: "B" in world.answers, "a second engine")
            loop.call_at(bound_s - 0.01, time.sleep, 0.02)
            loop.call_at(bound_s + 0.001, world.answers["B"].write, event(0))
            await eventually(lambda: world.reply.data == event(0), "its event")
            world.answers["B"].write(b"")
            await world.task
            assert world.endings == []
            assert world.leaks == []

        play(work)


class TestWhatIsLearnt:
    # Guards against: time in which an entry did not run is learnt as an engine's lateness.
    def test_is_not_the_entry_s_own_delay(self, play):
        async def work() -> None:
            world = StreamWorld()
            world.start()
            await eventually(lambda: "A" in world.answers, "an engine")
            await asyncio.sleep(0.15)
            world.answers["A"].write(event(0))
            time.sleep(2.0)
            await eventually(lambda: world.servers["A"].late_ms, "a first event")
            assert max(world.servers["A"].late_ms) < 1_000.0
            world.task.cancel()

        play(work)

    # Guards against: an engine counts as silent while its caller does not read.
    def test_is_not_the_caller_s_delay(self, play):
        async def work() -> None:
            world = StreamWorld()
            await begun(world)
            world.reply.gate = asyncio.Event()
            world.answers["A"].write(event(1))
            await asyncio.sleep(2 * SHORTEST_STALL_S)
            world.reply.gate.set()
            await asyncio.sleep(SHORTEST_STALL_S / 2)
            assert world.sent == ["A"]
            assert world.servers["A"].broken == 0
            world.task.cancel()

        play(work)

    def test_is_one_failure_of_an_engine_that_stays_silent(self, play):
        async def work() -> None:
            world = StreamWorld(attempts=1)
            await begun(world)
            await asyncio.sleep(3 * SHORTEST_STALL_S)
            assert world.servers["A"].broken == 1
            world.task.cancel()

        play(work)

    # Guards against: an event that comes in pieces counts as silence.
    def test_is_that_an_engine_writes_where_an_event_comes_in_pieces(self, play):
        async def work() -> None:
            world = StreamWorld()
            await begun(world)
            for byte in event(1):
                world.answers["A"].write(bytes([byte]))
                await asyncio.sleep(0.1)
            assert world.reply.data == event(0) + event(1)
            assert world.sent == ["A"]
            world.task.cancel()

        play(work)


class TestEvents:
    # Guards against: events that were not passed on count as passed on.
    def test_before_a_gap_are_asked_for_again(self, play):
        async def work() -> None:
            world = StreamWorld()
            await begun(world)
            world.answers["A"].write(event(1) + event(2) + event(9))
            await eventually(lambda: "B" in world.answers, "another engine")
            assert world.resumed_after == [None, 0]
            assert world.reply.data == event(0)
            world.task.cancel()

        play(work)

    def test_without_an_end_are_given_up(self, play):
        async def work() -> None:
            world = StreamWorld()
            await begun(world)
            for _ in range(20):
                world.answers["A"].write(bytes(100_000))
            await eventually(lambda: "B" in world.answers, "another engine")
            assert world.reply.data == event(0)
            world.task.cancel()

        play(work)
