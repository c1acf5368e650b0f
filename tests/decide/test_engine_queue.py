"""Tests of the engine that a request is placed at, and of refusals."""

from __future__ import annotations

import asyncio
import random
import time
from collections.abc import Awaitable, Callable

import pytest

from leadhollow.codes import Code
from leadhollow.decide.eligibility import DomainRules
from leadhollow.decide.engine_queue import MAX_HELD, EngineQueue
from leadhollow.decide.engine_request import EngineRequest, Placement, QueuePriority
from leadhollow.decide.health import FAILURES_TO_EJECT, MAX_EJECTION_S
from leadhollow.decide.pressure import Pressure
from leadhollow.decide.server import NO_DOMAIN_RULES, Server
from leadhollow.decide.server_backoff import ServerBackoff
from leadhollow.forward.engine_placement import wait_for_placement
from leadhollow.forward.server_directory import ServerDirectory
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


class FakeVersionRules:
    """Rules on the versions that may be used. By default the newest may be used without limit."""

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
    """A queue with engines, which are in the failure domain of the entry by default."""

    def __init__(
        self,
        weights: FakeVersionRules | None = None,
        *,
        domains: DomainRules = NO_DOMAIN_RULES,
        seed: int = 1,
    ) -> None:
        loop = asyncio.get_running_loop()
        self.table = InstanceTable(forget_after_s=LONG_S)
        self.board = ServerDirectory(table=self.table, clock=loop.time, domains=domains)
        self.queue = EngineQueue(
            directory=self.board,
            versions=weights or FakeVersionRules(),
            failure_domain="a",
            seed=seed,
            clock=loop.time,
        )
        self._sequence = 0

    def engine(self, name: str, *, version: int = 1, domain: str = "a", **load: int) -> Server:
        self._sequence += 1
        address = f"127.0.0.1:{9000 + len(name) + ord(name[-1])}"
        self.table.merge(
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
        self.board.update_load_report(record, asyncio.get_running_loop().time() - age_s)


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
        "on_time_until_s": now_s + on_time_s,
        "decide_by_s": now_s + decide_s,
        "hold_until_s": now_s + decide_s,
        "queue_priority": QueuePriority.NEW,
        "organisation": "",
        "request_id": "r",
        "excluded": set(),
        "last_attempt": False,
    }
    return EngineRequest(**(values | changes))


def make_resumed_request(*, hold_s: float = 5.0) -> EngineRequest:
    """Make the request of a stream that its engine interrupted after some events."""
    now_s = asyncio.get_running_loop().time()
    return make_request(
        on_time_s=0.01,
        decide_s=0.01,
        hold_until_s=now_s + hold_s,
        queue_priority=QueuePriority.RESUMED,
    )


def make_last_request() -> EngineRequest:
    """Make the request of a caller that was refused before and will not retry."""
    now_s = asyncio.get_running_loop().time()
    return make_request(
        on_time_s=0.01,
        decide_s=0.01,
        hold_until_s=now_s + 0.4,
        queue_priority=QueuePriority.CAME_BACK,
    )


def run_in_loop(work: Callable[[], Awaitable[None]]) -> None:
    asyncio.run(asyncio.wait_for(work(), 10))


async def placed(pool: EnginePool, request: EngineRequest | None = None) -> Placement:
    found = await wait_for_placement(pool.queue, request or make_request())
    assert found.is_ok(), found
    return found.unwrap()


class TestChoice:
    def test_the_less_loaded_engine_is_preferred(self):
        async def work() -> None:
            pool = EnginePool()
            pool.engine("busy", active=3, queued=0)
            free = pool.engine("free", active=0, queued=0)
            assert (await placed(pool)).server is free

        run_in_loop(work)

    def test_a_local_engine_is_preferred(self):
        async def work() -> None:
            pool = EnginePool()
            pool.engine("far", domain="b", active=0, queued=0)
            near = pool.engine("near", active=0, queued=0)
            assert (await placed(pool)).server is near

        run_in_loop(work)

    # Guards against: a stream spends its last attempt in the domain that lost the first one.
    def test_an_engine_of_a_lost_domain_is_used_last(self):
        async def work() -> None:
            pool = EnginePool()
            pool.engine("near", active=0, queued=0)
            far = pool.engine("far", domain="b", active=0, queued=0)
            request = make_request(queue_priority=QueuePriority.RESUMED, lost_domains={"a"})
            assert (await placed(pool, request)).server is far

        run_in_loop(work)

    # Guards against: a stream that a network cut interrupted is resumed beyond the same cut.
    def test_a_local_engine_is_preferred_to_a_third_domain_after_the_loss_of_a_remote_one(self):
        async def work() -> None:
            pool = EnginePool()
            pool.engine("far", domain="c", active=0, queued=0)
            near = pool.engine("near", active=4, queued=1)
            request = make_request(queue_priority=QueuePriority.RESUMED, lost_domains={"b"})
            assert (await placed(pool, request)).server is near

        run_in_loop(work)

    # Guards against: the last attempt is sent beyond a network cut to get newer weights.
    def test_newer_weights_do_not_outweigh_the_loss_of_a_remote_domain(self):
        async def work() -> None:
            pool = EnginePool(FakeVersionRules(newest=2, oldest=1))
            pool.engine("far", domain="c", version=2, active=0, queued=0)
            near = pool.engine("near", version=1, active=0, queued=0)
            request = make_request(
                queue_priority=QueuePriority.RESUMED, lost_domains={"b"}, last_attempt=True
            )
            assert (await placed(pool, request)).server is near

        run_in_loop(work)

    def test_an_engine_of_a_lost_domain_is_used_if_there_is_no_other(self):
        async def work() -> None:
            pool = EnginePool()
            near = pool.engine("near", active=0, queued=0)
            request = make_request(queue_priority=QueuePriority.RESUMED, lost_domains={"a"})
            assert (await placed(pool, request)).server is near

        run_in_loop(work)

    def test_an_engine_behind_a_slow_path_is_used_last(self):
        async def work() -> None:
            pool = EnginePool()
            pool.engine("slow", active=0, queued=0, path_delay_ms=700)
            busy = pool.engine("busy", active=3, queued=0, path_delay_ms=5)
            assert (await placed(pool)).server is busy

        run_in_loop(work)

    def test_excluded_switching_and_incomplete_engines_are_not_used(self):
        async def work() -> None:
            pool = EnginePool()
            pool.engine("tried", active=0, queued=0)
            pool.engine("switching", active=0, queued=0, switching=True)
            part = pool.engine("part", active=0, queued=0)
            half = ServedVersion(model="m", version=1, first_layer=0, end_layer=8).to_record()
            pool.report(part, active=0, queued=0, models=[half])
            found = await wait_for_placement(pool.queue, make_request(excluded={"tried"}))
            assert found.unwrap_err().code is Code.NO_CAPACITY

        run_in_loop(work)


class TestOtherEntries:
    def test_their_requests_count_before_the_engine_reports_them(self):
        async def work() -> None:
            pool = EnginePool()
            chosen = pool.engine("chosen", active=0, queued=0)
            other = pool.engine("other", active=1, queued=0)
            peer_use = Use(requests=3, unread_tokens=4_000)
            pool.board.update_peer_uses({chosen.instance.address: peer_use}, False)
            assert (await placed(pool)).server is other

        run_in_loop(work)

    def test_their_ended_requests_do_not_count_although_the_engine_reported_them(self):
        async def work() -> None:
            pool = EnginePool()
            freed = pool.engine("freed")
            full = Use(requests=4, unread_tokens=0)
            pool.board.update_peer_uses({freed.instance.address: full}, True)
            other = pool.engine("other", active=0, queued=0)
            uses = {other.instance.address: Use(requests=2, unread_tokens=0)}
            await asyncio.sleep(0.05)
            pool.report(freed, age_s=0.02, active=4, queued=0)
            pool.board.update_peer_uses(uses, True)
            assert (await placed(pool)).server is freed

        run_in_loop(work)

    def test_requests_that_no_entry_reported_are_taken_from_the_load_report(self):
        async def work() -> None:
            pool = EnginePool()
            pool.board.update_peer_uses({}, True)
            pool.engine("used", active=4, queued=2)
            free = pool.engine("free", active=1, queued=0)
            assert (await placed(pool)).server is free

        run_in_loop(work)

    def test_load_reports_are_used_without_a_control_replica(self):
        async def work() -> None:
            pool = EnginePool()
            busy = pool.engine("busy", active=3, queued=0)
            assert not pool.board.hears_others()
            assert busy.peer_requests(asyncio.get_running_loop().time(), peer_use_known=False) == 3

        run_in_loop(work)

    def test_listeners_are_called_at_each_change_of_own_use(self):
        async def work() -> None:
            pool = EnginePool()
            server = pool.engine("only", active=0, queued=0)
            seen: list[Use] = []
            pool.board.on_use(lambda address: seen.append(pool.board.use(address)))
            placement = await placed(pool)
            server.record_first_event(placement.call)
            pool.queue.release(placement)
            assert seen == [
                Use(requests=1, unread_tokens=1_000),
                Use(requests=1, unread_tokens=0),
                NO_USE,
            ]

        run_in_loop(work)


class TestRefusal:
    def test_a_request_that_would_be_late_is_refused_after_waiting(self):
        async def work() -> None:
            pool = EnginePool()
            pool.engine("full", active=4, queued=6)
            found = await wait_for_placement(pool.queue, make_request(on_time_s=0.2))
            assert found.unwrap_err().code is Code.NO_CAPACITY
            assert pool.queue.waiting == 0

        run_in_loop(work)

    def test_a_waiting_request_gets_a_slot_that_becomes_free(self):
        async def work() -> None:
            pool = EnginePool()
            server = pool.engine("full", active=4, queued=6)
            waiting = asyncio.create_task(
                wait_for_placement(pool.queue, make_request(on_time_s=0.3, decide_s=2.0))
            )
            await asyncio.sleep(0.01)
            assert pool.queue.waiting == 1
            pool.report(server, active=0, queued=0)
            assert (await waiting).unwrap().server is server

        run_in_loop(work)

    def test_an_engine_with_free_slots_takes_a_late_request_instead_of_losing_it(self):
        async def work() -> None:
            pool = EnginePool()
            server = pool.engine("slow", active=1, queued=0, pace_permille=9_000)
            assert (await placed(pool, make_request(on_time_s=0.2))).server is server

        run_in_loop(work)

    def test_only_an_idle_engine_takes_a_late_request(self):
        async def work() -> None:
            pool = EnginePool()
            pool.engine("half", active=2, queued=0, pace_permille=9_000)
            found = await wait_for_placement(pool.queue, make_request(on_time_s=0.2))
            assert found.unwrap_err().code is Code.NO_CAPACITY
            idle = pool.engine("idle", active=1, queued=0, pace_permille=9_000)
            assert (await placed(pool, make_request(on_time_s=0.2))).server is idle

        run_in_loop(work)


class TestQueuePriority:
    async def check_second_is_placed_first(
        self, pool: EnginePool, server: Server, first: QueuePriority, second: QueuePriority
    ) -> None:
        """Let two requests wait for a full engine and free a slot for one of them."""
        places = [
            asyncio.create_task(
                wait_for_placement(
                    pool.queue, make_request(on_time_s=0.4, decide_s=0.5, queue_priority=priority)
                )
            )
            for priority in (first, second)
            if not await asyncio.sleep(0.01)
        ]
        await asyncio.sleep(0.01)
        pool.report(server, active=1, queued=2)
        assert (await places[1]).is_ok()
        assert not places[0].done()
        await places[0]

    @pytest.mark.parametrize(
        ("first", "second"),
        [(QueuePriority.NEW, QueuePriority.RESUMED), (QueuePriority.CAME_BACK, QueuePriority.NEW)],
    )
    def test_decides_which_request_gets_a_free_slot(self, first, second):
        async def work() -> None:
            pool = EnginePool()
            server = pool.engine("full", active=4, queued=9)
            await self.check_second_is_placed_first(pool, server, first, second)

        run_in_loop(work)

    def test_a_new_request_goes_before_a_caller_retry_also_after_an_outage(self):
        async def work() -> None:
            pool = EnginePool()
            refused = await wait_for_placement(pool.queue, make_request())
            assert refused.is_err()
            server = pool.engine("back", active=4, queued=9)
            await self.check_second_is_placed_first(
                pool, server, QueuePriority.CAME_BACK, QueuePriority.NEW
            )

        run_in_loop(work)

    def test_a_caller_retry_does_not_get_reserved_slots(self):
        async def work() -> None:
            pool = EnginePool()
            server = pool.engine("used", active=2, queued=0)
            back = await wait_for_placement(
                pool.queue, make_request(queue_priority=QueuePriority.CAME_BACK)
            )
            assert back.unwrap_err().code is Code.NO_CAPACITY
            assert (
                await placed(pool, make_request(queue_priority=QueuePriority.NEW))
            ).server is server

        run_in_loop(work)

    def test_a_resumed_stream_is_placed_even_if_it_has_to_wait_in_the_engine(self):
        async def work() -> None:
            pool = EnginePool()
            server = pool.engine("full", active=4, queued=1)
            request = make_request(on_time_s=0.1, queue_priority=QueuePriority.RESUMED)
            assert (await placed(pool, request)).server is server

        run_in_loop(work)


class TestHolding:
    def test_the_last_request_of_a_caller_is_held_until_a_slot_is_left_over(self):
        async def work() -> None:
            pool = EnginePool()
            server = pool.engine("full", active=4, queued=9)
            holding = asyncio.create_task(wait_for_placement(pool.queue, make_last_request()))
            await asyncio.sleep(0.05)
            assert pool.queue.waiting == 1
            pool.queue.pump_held()
            assert not holding.done()
            pool.report(server, active=0, queued=0)
            pool.queue.pump_held()
            assert (await holding).unwrap().server is server

        run_in_loop(work)

    def test_new_requests_go_before_held_ones(self):
        async def work() -> None:
            pool = EnginePool()
            server = pool.engine("full", active=4, queued=9)
            holding = asyncio.create_task(wait_for_placement(pool.queue, make_last_request()))
            await asyncio.sleep(0.05)
            new = asyncio.create_task(
                wait_for_placement(pool.queue, make_request(on_time_s=0.1, decide_s=5.0))
            )
            await asyncio.sleep(0.01)
            pool.report(server, active=2, queued=0, pace_permille=9_000)
            pool.queue.pump_held()
            assert not holding.done()
            new.cancel()
            await asyncio.wait([new])
            pool.queue.pump_held()
            holding.cancel()
            await asyncio.wait([holding])
            assert pool.queue.waiting == 0

        run_in_loop(work)

    def test_a_held_request_is_refused_at_its_deadline(self):
        async def work() -> None:
            pool = EnginePool()
            pool.engine("full", active=4, queued=9)
            found = await wait_for_placement(pool.queue, make_last_request())
            assert found.unwrap_err().code is Code.NO_CAPACITY
            assert pool.queue.waiting == 0

        run_in_loop(work)

    def test_no_request_is_held_while_new_requests_are_refused(self):
        async def work() -> None:
            pool = EnginePool()
            pool.engine("full", active=4, queued=9)
            for _ in range(12):
                await wait_for_placement(pool.queue, make_request(on_time_s=0.01, decide_s=0.0))
            await wait_for_placement(pool.queue, make_last_request())
            holding = asyncio.create_task(wait_for_placement(pool.queue, make_last_request()))
            await asyncio.sleep(0.1)
            assert holding.done()

        run_in_loop(work)

    def test_no_request_is_held_if_no_engine_serves(self):
        async def work() -> None:
            pool = EnginePool()
            holding = asyncio.create_task(wait_for_placement(pool.queue, make_last_request()))
            await asyncio.sleep(0.1)
            assert holding.done()

        run_in_loop(work)

    # Guards against: an interrupted stream is given up while its caller still waits for an event.
    def test_a_resumed_stream_waits_for_an_engine_to_appear(self):
        async def work() -> None:
            pool = EnginePool()
            holding = asyncio.create_task(wait_for_placement(pool.queue, make_resumed_request()))
            await asyncio.sleep(0.1)
            assert not holding.done()
            server = pool.engine("comes", active=0, queued=0)
            pool.queue.pump_held()
            assert (await holding).unwrap().server is server

        run_in_loop(work)

    def test_a_resumed_stream_goes_before_new_requests(self):
        async def work() -> None:
            pool = EnginePool()
            server = pool.engine("full", active=4, queued=9)
            holding = asyncio.create_task(wait_for_placement(pool.queue, make_resumed_request()))
            await asyncio.sleep(0.05)
            new = asyncio.create_task(
                wait_for_placement(pool.queue, make_request(on_time_s=0.1, decide_s=5.0))
            )
            await asyncio.sleep(0.01)
            pool.report(server, active=4, queued=0, pace_permille=9_000)
            pool.queue.pump_held()
            assert (await holding).unwrap().server is server
            assert not new.done()
            new.cancel()

        run_in_loop(work)

    def test_a_resumed_stream_is_refused_at_its_deadline(self):
        async def work() -> None:
            pool = EnginePool()
            found = await wait_for_placement(pool.queue, make_resumed_request(hold_s=0.1))
            assert found.unwrap_err().code is Code.NO_CAPACITY
            assert pool.queue.waiting == 0

        run_in_loop(work)

    def test_the_number_of_held_requests_is_bounded(self):
        async def work() -> None:
            pool = EnginePool()
            pool.engine("full", active=4, queued=9)
            holding = [
                asyncio.create_task(wait_for_placement(pool.queue, make_last_request()))
                for _ in range(MAX_HELD + 3)
            ]
            await asyncio.sleep(0.1)
            assert pool.queue.waiting == MAX_HELD
            assert sum(1 for task in holding if task.done()) == 3
            await asyncio.gather(*holding)

        run_in_loop(work)


class TestEndOfWait:
    def test_a_slot_is_released_if_the_caller_left_in_the_same_turn(self):
        async def work() -> None:
            pool = EnginePool()
            server = pool.engine("full", active=4, queued=9)
            waiting = asyncio.create_task(
                wait_for_placement(pool.queue, make_request(decide_s=5.0))
            )
            await asyncio.sleep(0.01)
            pool.report(server, active=0, queued=0)  # the request is placed in this turn
            waiting.cancel()
            await asyncio.wait([waiting])
            assert waiting.cancelled()
            assert server.own_requests == 0

        run_in_loop(work)

    def test_a_slot_is_used_if_the_wait_ended_in_the_same_turn(self):
        async def work() -> None:
            loop = asyncio.get_running_loop()
            pool = EnginePool()
            server = pool.engine("full", active=4, queued=9)
            end_s = loop.time() + 0.05
            loop.call_at(end_s - 0.0005, lambda: time.sleep(0.002))  # both timers are due then
            loop.call_at(end_s - 0.0001, lambda: pool.report(server, active=0, queued=0))
            found = await wait_for_placement(pool.queue, make_request(decide_s=0.05))
            assert found.is_ok()
            assert server.own_requests == 1

        run_in_loop(work)


class TestPressure:
    def test_rises_with_refusals_and_decays(self):
        pressure = Pressure()
        assert pressure.level(0.0) == 0.0
        for _ in range(20):
            pressure.record(refused=True, now_s=1.0)
        assert pressure.level(1.0) == 1.0
        for moment in range(2, 9):
            pressure.record(refused=False, now_s=float(moment))
        assert pressure.level(9.0) < 0.5

    def test_a_single_refusal_counts_little_among_many_decisions(self):
        pressure = Pressure()
        pressure.record(refused=True, now_s=1.0)
        pressure.record(refused=False, now_s=1.0)
        assert pressure.level(1.0) < 1.0 + 1e-9
        pressure.record(refused=False, now_s=1.0)
        for _ in range(17):
            pressure.record(refused=False, now_s=1.0)
        assert pressure.level(1.0) <= 0.25 + 1e-9

    def test_tracks_the_shortest_recent_objective(self):
        pressure = Pressure()
        assert pressure.shortest_objective_s(0.5, 0.0) == 0.5
        assert pressure.shortest_objective_s(0.4, 0.1) == 0.4
        assert pressure.shortest_objective_s(0.5, 0.2) == 0.4
        assert pressure.shortest_objective_s(0.5, 9.0) == 0.5

    def test_a_request_that_may_be_late_is_refused_under_pressure(self):
        async def work() -> None:
            pool = EnginePool()
            pool.engine("used", active=3, queued=0)
            calm = await wait_for_placement(pool.queue, make_request(on_time_s=0.25))
            pool.queue.release(calm.unwrap())
            for _ in range(12):
                refused = await wait_for_placement(
                    pool.queue, make_request(on_time_s=0.01, decide_s=0.0)
                )
                assert refused.is_err()
            pressed = await wait_for_placement(
                pool.queue, make_request(on_time_s=0.25, decide_s=0.0)
            )
            assert pressed.unwrap_err().code is Code.NO_CAPACITY

        run_in_loop(work)

    def test_an_engine_with_many_free_slots_ignores_the_pressure(self):
        async def work() -> None:
            pool = EnginePool()
            full = pool.engine("full", active=4, queued=9)
            for _ in range(12):
                refused = await wait_for_placement(
                    pool.queue, make_request(on_time_s=0.25, decide_s=0.0)
                )
                assert refused.is_err()
            pool.report(full, active=2, queued=0)
            assert (
                await wait_for_placement(pool.queue, make_request(on_time_s=0.2, decide_s=0.0))
            ).is_ok()

        run_in_loop(work)

    def test_a_large_request_is_admitted_like_a_usual_one(self):
        async def work() -> None:
            pool = EnginePool()
            pool.engine("used", active=3, queued=0)
            large = make_request(on_time_s=0.25, prompt_tokens=4_000, decide_s=0.0)
            assert (await wait_for_placement(pool.queue, large)).is_ok()

        run_in_loop(work)


class TestWeights:
    def test_engines_with_weights_that_are_too_old_are_not_used(self):
        async def work() -> None:
            pool = EnginePool(FakeVersionRules(newest=2, oldest=2))
            pool.engine("old", version=1, active=0, queued=0)
            new = pool.engine("new", version=2, active=3, queued=0)
            assert (await placed(pool)).server is new

        run_in_loop(work)

    @pytest.mark.parametrize("path_delay_ms", [5, 400])
    def test_near_the_age_limit_only_engines_behind_a_fast_path_are_used(self, path_delay_ms):
        async def work() -> None:
            pool = EnginePool(FakeVersionRules(newest=2, left_s=1.5))
            pool.engine("old", version=1, active=0, queued=0, path_delay_ms=path_delay_ms)
            found = await wait_for_placement(pool.queue, make_request())
            assert found.is_ok() is (path_delay_ms == 5)

        run_in_loop(work)

    def test_near_the_age_limit_an_engine_without_a_recent_report_is_not_used(self):
        async def work() -> None:
            pool = EnginePool(FakeVersionRules(newest=2, left_s=1.5))
            server = pool.engine("old", version=1)
            pool.report(server, age_s=1.0, active=0, queued=0)
            assert (await wait_for_placement(pool.queue, make_request())).is_err()

        run_in_loop(work)

    def test_the_held_version_is_required_once_old_versions_are_too_old(self):
        async def work() -> None:
            pool = EnginePool(FakeVersionRules(newest=3, oldest=2))
            pool.engine("newest", version=3, active=0, queued=0)
            assert (await placed(pool)).expected_version == 3

        run_in_loop(work)

    def test_no_version_is_required_while_none_is_too_old(self):
        async def work() -> None:
            pool = EnginePool(FakeVersionRules(newest=3, oldest=0))
            pool.engine("old", version=1, active=0, queued=0)
            assert (await placed(pool)).expected_version is None

        run_in_loop(work)

    def test_a_last_attempt_uses_only_the_newest_weights(self):
        async def work() -> None:
            pool = EnginePool(FakeVersionRules(newest=2, left_s=7.0))
            pool.engine("old", version=1, active=0, queued=0)
            new = pool.engine("new", version=2, active=3, queued=0)
            assert (await placed(pool, make_request(last_attempt=True))).server is new

        run_in_loop(work)


class TestBackoff:
    """Engines that asked this entry, or another one, to back off."""

    @staticmethod
    def in_backoff(pool: EnginePool, name: str, backoff_s: float, **load: int) -> Server:
        server = pool.engine(name, **({"active": 0, "queued": 0} | load))
        clock = asyncio.get_running_loop().time
        server.backoff = ServerBackoff(clock=clock, source=random.Random(1))
        server.backoff.extend(backoff_s)
        return server

    @staticmethod
    async def refused_after_s(pool: EnginePool, request: EngineRequest) -> float:
        began_s = asyncio.get_running_loop().time()
        found = await wait_for_placement(pool.queue, request)
        assert found.unwrap_err().code is Code.NO_CAPACITY
        return asyncio.get_running_loop().time() - began_s

    def test_a_request_is_refused_at_once_if_all_backoffs_end_too_late(self):
        async def work() -> None:
            pool = EnginePool()
            self.in_backoff(pool, "long", 9.0)
            self.in_backoff(pool, "short", 3.0)
            request = make_request(decide_s=0.5)
            assert await self.refused_after_s(pool, request) < 0.5
            urgent_s = pool.queue.retry_after_s(make_request(rank=0))
            later_s = pool.queue.retry_after_s(make_request(rank=3))
            assert 3.0 <= urgent_s < later_s < 4.5

        run_in_loop(work)

    def test_a_request_waits_for_a_backoff_that_ends_in_time(self):
        async def work() -> None:
            pool = EnginePool()
            engine = self.in_backoff(pool, "short", 0.1)
            request = make_request(on_time_s=2.0, decide_s=0.01)
            waiting = asyncio.create_task(wait_for_placement(pool.queue, request))
            await asyncio.sleep(0.3)
            pool.queue.pump()
            assert (await waiting).unwrap().server is engine

        run_in_loop(work)

    # Guards against: a request waits for the back-off of an engine that could not take it anyway.
    @pytest.mark.parametrize("load", [{"switching": True}, {"models": []}])
    def test_the_backoff_of_an_engine_that_is_unusable_anyway_is_ignored(self, load):
        async def work() -> None:
            pool = EnginePool()
            self.in_backoff(pool, "other", 0.1, **load)
            request = make_request(on_time_s=2.0, decide_s=0.05)
            assert 0.04 < await self.refused_after_s(pool, request) < 1.5
            assert pool.queue.retry_after_s(request) >= 1.0

        run_in_loop(work)

    def test_an_engine_that_asked_another_entry_to_back_off_is_used_last(self):
        async def work() -> None:
            pool = EnginePool()
            avoided = pool.engine("shunned", active=0, queued=0)
            avoided.backoff = ServerBackoff(
                clock=asyncio.get_running_loop().time, source=random.Random(1)
            )
            avoided.backoff.record_peer_backoff(60.0)
            busy = pool.engine("busy", active=3, queued=0)
            assert (await placed(pool)).server is busy
            pool.report(busy, active=4, queued=40)
            assert (await placed(pool)).server is avoided

        run_in_loop(work)


class TestProbeOfAnEjectedEngine:
    # Guards against: a request that was placed as the probe and not sent keeps the engine unused
    # until another answer of it ends.
    def test_that_is_released_leaves_the_engine_usable(self):
        async def work() -> None:
            pool = EnginePool()
            engine = pool.engine("e", active=0, queued=0)
            now_s = asyncio.get_running_loop().time()
            engine.health.record_failure(now_s - MAX_EJECTION_S, weight=FAILURES_TO_EJECT)
            probe = await placed(pool)
            assert not engine.health.usable(now_s + 60.0)
            pool.queue.release(probe)
            assert (await placed(pool)).server is engine

        run_in_loop(work)

    # Guards against: the end of a request that was sent before the ejection allows a second probe.
    def test_is_not_ended_by_another_request(self):
        async def work() -> None:
            pool = EnginePool()
            engine = pool.engine("e", active=0, queued=0)
            earlier = await placed(pool)
            now_s = asyncio.get_running_loop().time()
            engine.health.record_failure(now_s - MAX_EJECTION_S, weight=FAILURES_TO_EJECT)
            await placed(pool)
            pool.queue.release(earlier)
            assert not engine.health.usable(now_s + 60.0)

        run_in_loop(work)
