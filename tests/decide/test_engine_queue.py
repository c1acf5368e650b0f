"""Tests of where a request for an engine goes, and when it is refused."""

from __future__ import annotations

import asyncio
import random
import time
from collections.abc import Awaitable, Callable

import pytest

from leadhollow.codes import Code
from leadhollow.decide.engine_queue import MOST_HELD, EngineQueue
from leadhollow.decide.engine_request import EngineRequest, Placement, QueuePriority
from leadhollow.decide.pressure import Pressure
from leadhollow.decide.server import Server
from leadhollow.decide.server_backoff import ServerBackoff
from leadhollow.forward.board import ServerBoard
from leadhollow.forward.places import place
from leadhollow.membership.instance_table import InstanceTable
from leadhollow.membership.instances import Instance, InstanceState, ServedVersion
from leadhollow.membership.uses import NO_USE, Use
from leadhollow.routing.model import EngineSpec, ServiceRecord
from leadhollow.wire.generated.ttypes import LoadRecord

SPEC = EngineSpec(
    slots=4,
    stride_steps=5,
    step_ms=10.0,
    read_tokens_per_s=20_000.0,
    usual_prompt_tokens=1_000.0,
    usual_answer_tokens=100.0,
    layers=16,
)
SERVICE = ServiceRecord(name="models", engine=SPEC)
LONG_S = 60.0


class Weights:
    """Says which weights may be used; the newest version by default without a limit."""

    def __init__(self, *, newest: int = 1, oldest: int = 0, left_s: float = float("inf")) -> None:
        self.number = newest
        self.oldest = oldest
        self.left_s = left_s

    def oldest_allowed(self, model: str) -> int:
        return self.oldest

    def newest(self, model: str) -> int:
        return self.number

    def begin_by_s(self, model: str, version: int) -> float:
        if version >= self.number:
            return float("inf")
        return asyncio.get_running_loop().time() + self.left_s


class EnginePool:
    """A queue with some engines, all in the entry's failure domain unless said otherwise."""

    def __init__(self, weights: Weights | None = None) -> None:
        loop = asyncio.get_running_loop()
        self.table = InstanceTable(forget_after_s=LONG_S)
        self.board = ServerBoard(table=self.table, clock=loop.time)
        self.queue = EngineQueue(
            directory=self.board,
            versions=weights or Weights(),
            failure_domain="a",
            seed=1,
            clock=loop.time,
        )
        self._sequence = 0

    def engine(self, name: str, *, version: int = 1, domain: str = "a", **load: int) -> Server:
        self._sequence += 1
        address = f"127.0.0.1:{9000 + len(name) + ord(name[-1])}"
        self.table.take(
            Instance(
                instance=name,
                service="models",
                address=address,
                failure_domain=domain,
                sequence=self._sequence,
                state=InstanceState.READY,
                slots=SPEC.slots,
                served=(
                    ServedVersion(model="m", version=version, first_layer=0, end_layer=SPEC.layers),
                ),
                heard_s=asyncio.get_running_loop().time(),
            )
        )
        server = self.board.server(name)
        assert server is not None
        if load:
            self.report(server, **load)
        return server

    def report(self, server: Server, *, age_s: float = 0.0, **load: int) -> None:
        record = LoadRecord(address=server.instance.address, **load)
        self.board.take_load(record, asyncio.get_running_loop().time() - age_s)


def make_request(
    *, on_time_s: float = 1.0, decide_s: float = 0.05, **changes: object
) -> EngineRequest:
    now_s = asyncio.get_running_loop().time()
    values: dict[str, object] = {
        "service": SERVICE,
        "model": "m",
        "prompt_tokens": 1_000,
        "output_tokens": 100.0,
        "objective_s": on_time_s,
        "on_time_s": now_s + on_time_s,
        "decide_s": now_s + decide_s,
        "hold_s": now_s + decide_s,
        "standing": QueuePriority.NEW,
        "organisation": "",
        "request_id": "r",
        "excluded": set(),
        "last_attempt": False,
    }
    return EngineRequest(**(values | changes))


def a_begun_wish(*, hold_s: float = 5.0) -> EngineRequest:
    """Make the wish of a stream whose engine broke off after some events."""
    now_s = asyncio.get_running_loop().time()
    return make_request(
        on_time_s=0.01, decide_s=0.01, hold_s=now_s + hold_s, standing=QueuePriority.RESUMED
    )


def a_last_wish() -> EngineRequest:
    """Make the wish of a caller that was refused before and will not come again."""
    now_s = asyncio.get_running_loop().time()
    return make_request(
        on_time_s=0.01, decide_s=0.01, hold_s=now_s + 0.4, standing=QueuePriority.CAME_BACK
    )


def in_loop(work: Callable[[], Awaitable[None]]) -> None:
    asyncio.run(asyncio.wait_for(work(), 10))


async def placed(group: EnginePool, wish: EngineRequest | None = None) -> Placement:
    found = await place(group.queue, wish or make_request())
    assert found.is_ok(), found
    return found.unwrap()


class TestChoice:
    def test_the_engine_with_less_to_do_gets_the_request(self):
        async def work() -> None:
            group = EnginePool()
            group.engine("busy", active=3, queued=0)
            free = group.engine("free", active=0, queued=0)
            assert (await placed(group)).server is free

        in_loop(work)

    def test_an_engine_of_our_own_domain_goes_first(self):
        async def work() -> None:
            group = EnginePool()
            group.engine("far", domain="b", active=0, queued=0)
            near = group.engine("near", active=0, queued=0)
            assert (await placed(group)).server is near

        in_loop(work)

    # Guards against: a stream spends its last attempt where the first one was lost.
    def test_an_engine_of_a_domain_in_which_one_was_lost_goes_last(self):
        async def work() -> None:
            group = EnginePool()
            group.engine("near", active=0, queued=0)
            far = group.engine("far", domain="b", active=0, queued=0)
            wish = make_request(standing=QueuePriority.RESUMED, lost_domains={"a"})
            assert (await placed(group, wish)).server is far

        in_loop(work)

    # Guards against: a stream that was lost beyond a cut goes on in another domain beyond it.
    def test_an_engine_of_a_third_domain_goes_after_our_own_where_a_far_one_was_lost(self):
        async def work() -> None:
            group = EnginePool()
            group.engine("far", domain="c", active=0, queued=0)
            near = group.engine("near", active=4, queued=1)
            wish = make_request(standing=QueuePriority.RESUMED, lost_domains={"b"})
            assert (await placed(group, wish)).server is near

        in_loop(work)

    # Guards against: the last attempt goes beyond a cut, to engines with newer weights.
    def test_an_engine_of_such_a_domain_goes_last_with_newer_weights_too(self):
        async def work() -> None:
            group = EnginePool(Weights(newest=2, oldest=1))
            group.engine("far", domain="c", version=2, active=0, queued=0)
            near = group.engine("near", version=1, active=0, queued=0)
            wish = make_request(
                standing=QueuePriority.RESUMED, lost_domains={"b"}, last_attempt=True
            )
            assert (await placed(group, wish)).server is near

        in_loop(work)

    def test_an_engine_of_such_a_domain_goes_before_none(self):
        async def work() -> None:
            group = EnginePool()
            near = group.engine("near", active=0, queued=0)
            wish = make_request(standing=QueuePriority.RESUMED, lost_domains={"a"})
            assert (await placed(group, wish)).server is near

        in_loop(work)

    def test_an_engine_behind_a_slow_path_goes_last(self):
        async def work() -> None:
            group = EnginePool()
            group.engine("slow", active=0, queued=0, path_delay_ms=700)
            busy = group.engine("busy", active=3, queued=0, path_delay_ms=5)
            assert (await placed(group)).server is busy

        in_loop(work)

    def test_excluded_switching_and_partial_engines_get_nothing(self):
        async def work() -> None:
            group = EnginePool()
            group.engine("tried", active=0, queued=0)
            group.engine("switching", active=0, queued=0, switching=True)
            part = group.engine("part", active=0, queued=0)
            half = ServedVersion(model="m", version=1, first_layer=0, end_layer=8).record()
            group.report(part, active=0, queued=0, models=[half])
            found = await place(group.queue, make_request(excluded={"tried"}))
            assert found.unwrap_err().code is Code.NO_CAPACITY

        in_loop(work)


class TestOtherEntries:
    def test_what_they_placed_counts_before_the_engine_reports_it(self):
        async def work() -> None:
            group = EnginePool()
            chosen = group.engine("chosen", active=0, queued=0)
            other = group.engine("other", active=1, queued=0)
            told = Use(requests=3, unread_tokens=4_000)
            group.board.take_told({chosen.instance.address: told}, False)
            assert (await placed(group)).server is other

        in_loop(work)

    def test_what_ended_there_counts_no_more_although_the_engine_reported_it(self):
        async def work() -> None:
            group = EnginePool()
            freed = group.engine("freed")
            full = Use(requests=4, unread_tokens=0)
            group.board.take_told({freed.instance.address: full}, True)
            other = group.engine("other", active=0, queued=0)
            told = {other.instance.address: Use(requests=2, unread_tokens=0)}
            await asyncio.sleep(0.05)
            group.report(freed, age_s=0.02, active=4, queued=0)
            group.board.take_told(told, True)
            assert (await placed(group)).server is freed

        in_loop(work)

    def test_requests_that_nobody_told_of_are_counted_from_the_report(self):
        async def work() -> None:
            group = EnginePool()
            group.board.take_told({}, True)
            group.engine("used", active=4, queued=2)
            free = group.engine("free", active=1, queued=0)
            assert (await placed(group)).server is free

        in_loop(work)

    def test_without_a_control_replica_the_reports_count(self):
        async def work() -> None:
            group = EnginePool()
            busy = group.engine("busy", active=3, queued=0)
            assert not group.board.hears_others()
            assert busy.peer_requests(asyncio.get_running_loop().time(), peer_use_known=False) == 3

        in_loop(work)

    def test_own_use_is_told_at_each_change(self):
        async def work() -> None:
            group = EnginePool()
            server = group.engine("only", active=0, queued=0)
            told: list[Use] = []
            group.board.on_use(lambda address: told.append(group.board.use(address)))
            placement = await placed(group)
            server.record_first_event(placement.call)
            group.queue.release(placement)
            assert told == [
                Use(requests=1, unread_tokens=1_000),
                Use(requests=1, unread_tokens=0),
                NO_USE,
            ]

        in_loop(work)


class TestRefusal:
    def test_a_request_that_would_be_late_waits_and_is_refused(self):
        async def work() -> None:
            group = EnginePool()
            group.engine("full", active=4, queued=6)
            found = await place(group.queue, make_request(on_time_s=0.2))
            assert found.unwrap_err().code is Code.NO_CAPACITY
            assert group.queue.waiting == 0

        in_loop(work)

    def test_a_request_that_waits_gets_the_place_that_becomes_free(self):
        async def work() -> None:
            group = EnginePool()
            server = group.engine("full", active=4, queued=6)
            waiting = asyncio.create_task(
                place(group.queue, make_request(on_time_s=0.3, decide_s=2.0))
            )
            await asyncio.sleep(0.01)
            assert group.queue.waiting == 1
            group.report(server, active=0, queued=0)
            assert (await waiting).unwrap().server is server

        in_loop(work)

    def test_an_engine_with_room_takes_it_late_rather_than_not_at_all(self):
        async def work() -> None:
            group = EnginePool()
            server = group.engine("slow", active=1, queued=0, pace_permille=9_000)
            assert (await placed(group, make_request(on_time_s=0.2))).server is server

        in_loop(work)

    def test_an_idle_engine_takes_it_late_rather_than_not_at_all(self):
        async def work() -> None:
            group = EnginePool()
            group.engine("half", active=2, queued=0, pace_permille=9_000)
            found = await place(group.queue, make_request(on_time_s=0.2))
            assert found.unwrap_err().code is Code.NO_CAPACITY
            idle = group.engine("idle", active=1, queued=0, pace_permille=9_000)
            assert (await placed(group, make_request(on_time_s=0.2))).server is idle

        in_loop(work)


class TestStanding:
    async def check_the_second_is_placed_first(
        self, group: EnginePool, server: Server, first: QueuePriority, second: QueuePriority
    ) -> None:
        """Let two wait for a full engine, and make room for one of them."""
        places = [
            asyncio.create_task(
                place(group.queue, make_request(on_time_s=0.4, decide_s=0.5, standing=standing))
            )
            for standing in (first, second)
            if not await asyncio.sleep(0.01)
        ]
        await asyncio.sleep(0.01)
        group.report(server, active=1, queued=2)
        assert (await places[1]).is_ok()
        assert not places[0].done()
        await places[0]

    @pytest.mark.parametrize(
        ("first", "second"),
        [(QueuePriority.NEW, QueuePriority.RESUMED), (QueuePriority.CAME_BACK, QueuePriority.NEW)],
    )
    def test_decides_who_gets_the_place_that_becomes_free(self, first, second):
        async def work() -> None:
            group = EnginePool()
            server = group.engine("full", active=4, queued=9)
            await self.check_the_second_is_placed_first(group, server, first, second)

        in_loop(work)

    def test_a_new_request_goes_first_also_after_an_outage(self):
        async def work() -> None:
            group = EnginePool()
            sent_away = await place(group.queue, make_request())
            assert sent_away.is_err()
            server = group.engine("back", active=4, queued=9)
            await self.check_the_second_is_placed_first(
                group, server, QueuePriority.CAME_BACK, QueuePriority.NEW
            )

        in_loop(work)

    def test_what_came_back_gets_only_what_is_spare(self):
        async def work() -> None:
            group = EnginePool()
            server = group.engine("used", active=2, queued=0)
            back = await place(group.queue, make_request(standing=QueuePriority.CAME_BACK))
            assert back.unwrap_err().code is Code.NO_CAPACITY
            assert (await placed(group, make_request(standing=QueuePriority.NEW))).server is server

        in_loop(work)

    def test_a_broken_stream_goes_on_even_where_it_waits_in_the_engine(self):
        async def work() -> None:
            group = EnginePool()
            server = group.engine("full", active=4, queued=1)
            wish = make_request(on_time_s=0.1, standing=QueuePriority.RESUMED)
            assert (await placed(group, wish)).server is server

        in_loop(work)


class TestHolding:
    def test_a_caller_that_does_not_come_again_waits_for_room_that_is_left_over(self):
        async def work() -> None:
            group = EnginePool()
            server = group.engine("full", active=4, queued=9)
            holding = asyncio.create_task(place(group.queue, a_last_wish()))
            await asyncio.sleep(0.05)
            assert group.queue.waiting == 1
            group.queue.pump_held()
            assert not holding.done()
            group.report(server, active=0, queued=0)
            group.queue.pump_held()
            assert (await holding).unwrap().server is server

        in_loop(work)

    def test_new_requests_go_before_it(self):
        async def work() -> None:
            group = EnginePool()
            server = group.engine("full", active=4, queued=9)
            holding = asyncio.create_task(place(group.queue, a_last_wish()))
            await asyncio.sleep(0.05)
            new = asyncio.create_task(place(group.queue, make_request(on_time_s=0.1, decide_s=5.0)))
            await asyncio.sleep(0.01)
            group.report(server, active=2, queued=0, pace_permille=9_000)
            group.queue.pump_held()
            assert not holding.done()
            new.cancel()
            await asyncio.wait([new])
            group.queue.pump_held()
            holding.cancel()
            await asyncio.wait([holding])
            assert group.queue.waiting == 0

        in_loop(work)

    def test_it_is_refused_at_the_end_of_its_time(self):
        async def work() -> None:
            group = EnginePool()
            group.engine("full", active=4, queued=9)
            found = await place(group.queue, a_last_wish())
            assert found.unwrap_err().code is Code.NO_CAPACITY
            assert group.queue.waiting == 0

        in_loop(work)

    def test_nobody_is_held_while_new_requests_are_refused(self):
        async def work() -> None:
            group = EnginePool()
            group.engine("full", active=4, queued=9)
            for _ in range(12):
                await place(group.queue, make_request(on_time_s=0.01, decide_s=0.0))
            await place(group.queue, a_last_wish())
            holding = asyncio.create_task(place(group.queue, a_last_wish()))
            await asyncio.sleep(0.1)
            assert holding.done()

        in_loop(work)

    def test_nobody_is_held_where_no_engine_serves(self):
        async def work() -> None:
            group = EnginePool()
            holding = asyncio.create_task(place(group.queue, a_last_wish()))
            await asyncio.sleep(0.1)
            assert holding.done()

        in_loop(work)

    # Guards against: a broken stream is given up while its caller still waits for the next event.
    def test_a_stream_that_was_begun_waits_for_an_engine_that_comes(self):
        async def work() -> None:
            group = EnginePool()
            holding = asyncio.create_task(place(group.queue, a_begun_wish()))
            await asyncio.sleep(0.1)
            assert not holding.done()
            server = group.engine("comes", active=0, queued=0)
            group.queue.pump_held()
            assert (await holding).unwrap().server is server

        in_loop(work)

    def test_a_stream_that_was_begun_goes_before_new_requests(self):
        async def work() -> None:
            group = EnginePool()
            server = group.engine("full", active=4, queued=9)
            holding = asyncio.create_task(place(group.queue, a_begun_wish()))
            await asyncio.sleep(0.05)
            new = asyncio.create_task(place(group.queue, make_request(on_time_s=0.1, decide_s=5.0)))
            await asyncio.sleep(0.01)
            group.report(server, active=4, queued=0, pace_permille=9_000)
            group.queue.pump_held()
            assert (await holding).unwrap().server is server
            assert not new.done()
            new.cancel()

        in_loop(work)

    def test_a_stream_that_was_begun_is_given_up_in_time(self):
        async def work() -> None:
            group = EnginePool()
            found = await place(group.queue, a_begun_wish(hold_s=0.1))
            assert found.unwrap_err().code is Code.NO_CAPACITY
            assert group.queue.waiting == 0

        in_loop(work)

    def test_only_so_many_are_held(self):
        async def work() -> None:
            group = EnginePool()
            group.engine("full", active=4, queued=9)
            holding = [
                asyncio.create_task(place(group.queue, a_last_wish())) for _ in range(MOST_HELD + 3)
            ]
            await asyncio.sleep(0.1)
            assert group.queue.waiting == MOST_HELD
            assert sum(1 for task in holding if task.done()) == 3
            await asyncio.gather(*holding)

        in_loop(work)


class TestLeaving:
    def test_a_place_that_was_given_as_the_caller_left_is_given_back(self):
        async def work() -> None:
            group = EnginePool()
            server = group.engine("full", active=4, queued=9)
            waiting = asyncio.create_task(place(group.queue, make_request(decide_s=5.0)))
            await asyncio.sleep(0.01)
            group.report(server, active=0, queued=0)  # the place is given in this turn
            waiting.cancel()
            await asyncio.wait([waiting])
            assert waiting.cancelled()
            assert server.own_requests == 0

        in_loop(work)

    def test_a_place_that_was_given_as_the_wait_ended_is_used(self):
        async def work() -> None:
            loop = asyncio.get_running_loop()
            group = EnginePool()
            server = group.engine("full", active=4, queued=9)
            end_s = loop.time() + 0.05
            loop.call_at(end_s - 0.0005, lambda: time.sleep(0.002))  # both timers are due then
            loop.call_at(end_s - 0.0001, lambda: group.report(server, active=0, queued=0))
            found = await place(group.queue, make_request(decide_s=0.05))
            assert found.is_ok()
            assert server.own_requests == 1

        in_loop(work)


class TestPressure:
    def test_rises_with_refusals_and_fades(self):
        pressure = Pressure()
        assert pressure.level(0.0) == 0.0
        for _ in range(20):
            pressure.note(refused=True, now_s=1.0)
        assert pressure.level(1.0) == 1.0
        for moment in range(2, 9):
            pressure.note(refused=False, now_s=float(moment))
        assert pressure.level(9.0) < 0.5

    def test_a_single_refusal_says_little(self):
        pressure = Pressure()
        pressure.note(refused=True, now_s=1.0)
        pressure.note(refused=False, now_s=1.0)
        assert pressure.level(1.0) < 1.0 + 1e-9
        pressure.note(refused=False, now_s=1.0)
        for _ in range(17):
            pressure.note(refused=False, now_s=1.0)
        assert pressure.level(1.0) <= 0.25 + 1e-9

    def test_knows_the_shortest_objective_of_what_comes(self):
        pressure = Pressure()
        assert pressure.shortest_objective_s(0.5, 0.0) == 0.5
        assert pressure.shortest_objective_s(0.4, 0.1) == 0.4
        assert pressure.shortest_objective_s(0.5, 0.2) == 0.4
        assert pressure.shortest_objective_s(0.5, 9.0) == 0.5

    def test_where_somebody_is_refused_anyway_nobody_is_taken_that_may_be_late(self):
        async def work() -> None:
            group = EnginePool()
            group.engine("used", active=3, queued=0)
            calm = await place(group.queue, make_request(on_time_s=0.25))
            group.queue.release(calm.unwrap())
            for _ in range(12):
                refused = await place(group.queue, make_request(on_time_s=0.01, decide_s=0.0))
                assert refused.is_err()
            pressed = await place(group.queue, make_request(on_time_s=0.25, decide_s=0.0))
            assert pressed.unwrap_err().code is Code.NO_CAPACITY

        in_loop(work)

    def test_an_engine_with_many_free_places_takes_requests_whatever_was_refused_before(self):
        async def work() -> None:
            group = EnginePool()
            full = group.engine("full", active=4, queued=9)
            for _ in range(12):
                refused = await place(group.queue, make_request(on_time_s=0.25, decide_s=0.0))
                assert refused.is_err()
            group.report(full, active=2, queued=0)
            assert (await place(group.queue, make_request(on_time_s=0.2, decide_s=0.0))).is_ok()

        in_loop(work)

    def test_a_large_request_is_taken_like_a_usual_one(self):
        async def work() -> None:
            group = EnginePool()
            group.engine("used", active=3, queued=0)
            large = make_request(on_time_s=0.25, prompt_tokens=4_000, decide_s=0.0)
            assert (await place(group.queue, large)).is_ok()

        in_loop(work)


class TestWeights:
    def test_too_old_ones_get_nothing(self):
        async def work() -> None:
            group = EnginePool(Weights(newest=2, oldest=2))
            group.engine("old", version=1, active=0, queued=0)
            new = group.engine("new", version=2, active=3, queued=0)
            assert (await placed(group)).server is new

        in_loop(work)

    @pytest.mark.parametrize("path_delay_ms", [5, 400])
    def test_near_the_bound_only_engines_behind_a_quick_path_get_requests_for_old_ones(
        self, path_delay_ms
    ):
        async def work() -> None:
            group = EnginePool(Weights(newest=2, left_s=1.5))
            group.engine("old", version=1, active=0, queued=0, path_delay_ms=path_delay_ms)
            found = await place(group.queue, make_request())
            assert found.is_ok() is (path_delay_ms == 5)

        in_loop(work)

    def test_near_the_bound_an_engine_that_was_not_heard_of_lately_gets_nothing(self):
        async def work() -> None:
            group = EnginePool(Weights(newest=2, left_s=1.5))
            server = group.engine("old", version=1)
            group.report(server, age_s=1.0, active=0, queued=0)
            assert (await place(group.queue, make_request())).is_err()

        in_loop(work)

    def test_an_engine_is_asked_for_the_weights_it_holds_once_old_ones_are_too_old(self):
        async def work() -> None:
            group = EnginePool(Weights(newest=3, oldest=2))
            group.engine("newest", version=3, active=0, queued=0)
            assert (await placed(group)).expected_version == 3

        in_loop(work)

    def test_any_weights_will_do_while_none_are_too_old(self):
        async def work() -> None:
            group = EnginePool(Weights(newest=3, oldest=0))
            group.engine("old", version=1, active=0, queued=0)
            assert (await placed(group)).expected_version is None

        in_loop(work)

    def test_a_request_that_may_run_once_more_only_goes_to_the_newest(self):
        async def work() -> None:
            group = EnginePool(Weights(newest=2, left_s=7.0))
            group.engine("old", version=1, active=0, queued=0)
            new = group.engine("new", version=2, active=3, queued=0)
            assert (await placed(group, make_request(last_attempt=True))).server is new

        in_loop(work)


class TestRests:
    """Engines that asked this entry, or another one, for rest."""

    @staticmethod
    def resting(group: EnginePool, name: str, rest_s: float, **load: int) -> Server:
        server = group.engine(name, **({"active": 0, "queued": 0} | load))
        clock = asyncio.get_running_loop().time
        server.backoff = ServerBackoff(clock=clock, source=random.Random(1))
        server.backoff.extend(rest_s)
        return server

    @staticmethod
    async def refused_after_s(group: EnginePool, wish: EngineRequest) -> float:
        began_s = asyncio.get_running_loop().time()
        found = await place(group.queue, wish)
        assert found.unwrap_err().code is Code.NO_CAPACITY
        return asyncio.get_running_loop().time() - began_s

    def test_that_all_last_too_long_refuse_at_once_and_name_the_first_end(self):
        async def work() -> None:
            group = EnginePool()
            self.resting(group, "long", 9.0)
            self.resting(group, "short", 3.0)
            wish = make_request(decide_s=0.5)
            assert await self.refused_after_s(group, wish) < 0.5
            urgent_s = group.queue.retry_after_s(make_request(rank=0))
            later_s = group.queue.retry_after_s(make_request(rank=3))
            assert 3.0 <= urgent_s < later_s < 4.5

        in_loop(work)

    def test_that_end_in_time_are_waited_for(self):
        async def work() -> None:
            group = EnginePool()
            engine = self.resting(group, "short", 0.1)
            wish = make_request(on_time_s=2.0, decide_s=0.01)
            waiting = asyncio.create_task(place(group.queue, wish))
            await asyncio.sleep(0.3)
            group.queue.pump()
            assert (await waiting).unwrap().server is engine

        in_loop(work)

    # Guards against: a request kept for the end of a rest whose engine could not take it anyway.
    @pytest.mark.parametrize("load", [{"switching": True}, {"models": []}])
    def test_of_engines_that_could_not_take_the_request_anyway_count_for_nothing(self, load):
        async def work() -> None:
            group = EnginePool()
            self.resting(group, "other", 0.1, **load)
            wish = make_request(on_time_s=2.0, decide_s=0.05)
            assert 0.04 < await self.refused_after_s(group, wish) < 1.5
            assert group.queue.retry_after_s(wish) >= 1.0

        in_loop(work)

    def test_that_an_engine_asked_of_another_entry_make_others_preferred(self):
        async def work() -> None:
            group = EnginePool()
            shunned = group.engine("shunned", active=0, queued=0)
            shunned.backoff = ServerBackoff(
                clock=asyncio.get_running_loop().time, source=random.Random(1)
            )
            shunned.backoff.record_peer_backoff(60.0)
            busy = group.engine("busy", active=3, queued=0)
            assert (await placed(group)).server is busy
            group.report(busy, active=4, queued=40)
            assert (await placed(group)).server is shunned

        in_loop(work)
