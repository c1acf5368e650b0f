"""Placement of requests while failure domains are evacuated."""

from __future__ import annotations

import asyncio
from collections import Counter

from leadhollow.codes import Code
from leadhollow.decide.eligibility import FailureDomains
from leadhollow.decide.engine_queue import EngineQueue, Waiter
from leadhollow.decide.engine_request import EngineRequest
from leadhollow.forward.engine_placement import wait_for_placement
from leadhollow.routing.model import EngineSpec, ServiceRecord
from tests.decide.test_engine_queue import (
    SPEC,
    EnginePool,
    FakeVersionRules,
    make_request,
    make_resumed_request,
)

REGIONS = {"a": "north", "b": "north", "c": "south"}


class DividedPool(EnginePool):
    """Queue of an entry in domain a with engines in several failure domains."""

    def __init__(self, *engine_domains: str) -> None:
        self.domains = FailureDomains(regions=REGIONS)
        super().__init__(domains=self.domains)
        self.domains.on_change(self.board.notify_change)
        self.domains.on_change(self.queue.refuse_out_of_reach)
        for number, domain in enumerate(engine_domains):
            self.engine(f"{'e' * (number + 1)}{domain}", domain=domain, active=0, queued=0)

    def fill(self) -> None:
        """Report all engines as full."""
        for server in self.board.all_servers():
            self.report(server, active=SPEC.slots, queued=3 * SPEC.slots)


def domain_of(waiter: Waiter) -> str:
    assert waiter.placement is not None
    return waiter.placement.server.instance.failure_domain


class TestNewRequests:
    # Guards against: a new request is placed in an evacuated domain, or the local one is missed.
    async def test_go_to_other_domains_and_back(self):
        pool = DividedPool("a", "a", "b", "c")
        assert domain_of(pool.queue.submit(make_request())) == "a"
        pool.domains.set_evacuated({"a", "b"})
        assert {domain_of(pool.queue.submit(make_request())) for _ in range(3)} == {"c"}
        pool.domains.set_evacuated(())
        assert domain_of(pool.queue.submit(make_request())) == "a"

    # Guards against: callers in an evacuated domain are late by the penalty for remote engines.
    async def test_in_an_evacuated_domain_are_predicted_as_elsewhere(self):
        pool = DividedPool("a", "b")
        local = pool.queue.submit(make_request())
        pool.queue.release(local.placement)
        pool.domains.set_evacuated({"a"})
        remote = pool.queue.submit(make_request())
        assert remote.placement.call.predicted_ms == local.placement.call.predicted_ms


class TestRefusal:
    # Guards against: a request waits in vain until its decision deadline.
    async def test_at_once_when_all_domains_are_evacuated(self):
        pool = DividedPool("a", "b")
        pool.domains.set_evacuated({"a", "b"})
        waiter = pool.queue.submit(make_request(decide_s=60.0))
        assert (waiter.ended, waiter.placement) == (True, None)
        placed = await wait_for_placement(pool.queue, make_request(decide_s=60.0))
        assert placed.unwrap_err().code is Code.DOMAIN_EVACUATED
        assert pool.queue.retry_after_s(make_request()) > 0
        assert pool.queue.waiting == 0

    # Guards against: requests that already wait learn too late that they cannot be served.
    async def test_of_waiting_requests_when_the_last_domain_is_evacuated(self):
        pool = DividedPool("a")
        pool.fill()
        request = make_request(on_time_s=0.3, decide_s=60.0)
        waiting = asyncio.create_task(wait_for_placement(pool.queue, request))
        await asyncio.sleep(0)
        assert pool.queue.waiting == 1
        pool.domains.set_evacuated({"a"})
        assert (await waiting).unwrap_err().code is Code.DOMAIN_EVACUATED
        assert pool.queue.waiting == 0

    # Guards against: after the end of an evacuation, entries refuse as if engines were overloaded.
    async def test_does_not_count_as_pressure(self):
        pool = DividedPool("a")
        pool.domains.set_evacuated({"a"})
        for _ in range(50):
            pool.queue.submit(make_request())
        assert pool.queue.pressure() == 0.0

    # Guards against: a stream is given up although the evacuation ends before its caller leaves.
    async def test_is_not_for_resumed_streams(self):
        pool = DividedPool("a")
        pool.domains.set_evacuated({"a"})
        waiter = pool.queue.submit(make_resumed_request())
        assert not waiter.ended
        pool.domains.set_evacuated(())
        assert domain_of(waiter) == "a"

    # Guards against: a refusal says that no engine is known, although an evacuation is the reason.
    async def test_names_the_reason_that_an_operator_can_remove(self):
        pool = DividedPool("a", "c")
        pool.domains.set_evacuated({"a"})
        bound = make_request(regions=frozenset({"north"}))
        assert pool.queue.submit(bound).out_of_reach is Code.DOMAIN_EVACUATED
        pool.domains.set_evacuated({"c"})
        nowhere = make_request(regions=frozenset({"east"}))
        assert pool.queue.submit(nowhere).out_of_reach is Code.OUTSIDE_REGIONS


class TestTrafficThatMoves:
    ENTRIES = 36
    BURST = 2  # requests of each entry within the moment in which no entry knows of the others'
    WIDE = ServiceRecord(
        name="models",
        engine=EngineSpec(
            slots=16,
            stride_steps=SPEC.stride_steps,
            step_ms=SPEC.step_ms,
            read_tokens_per_s=SPEC.read_tokens_per_s,
            usual_prompt_tokens=SPEC.usual_prompt_tokens,
            usual_answer_tokens=SPEC.usual_answer_tokens,
            layers=SPEC.layers,
        ),
    )

    # Guards against: all entries send what they take from one domain to the same engine.
    async def test_is_spread_over_the_engines_that_remain(self):
        """All entries have the same view, and hear nothing of each other for a moment.

        An even spread gives each of the 13 engines that remain 72 / 13 requests, about 6.
        """
        pool = DividedPool(*["a"] * 7, *["b"] * 7, *["c"] * 6)
        pool.domains.set_evacuated({"a"})
        met: Counter[str] = Counter()
        for entry in range(self.ENTRIES):
            queue = EngineQueue(
                directory=pool.board,
                versions=FakeVersionRules(),
                failure_domain="abc"[entry % 3],
                seed=entry,
                clock=asyncio.get_running_loop().time,
            )
            waiters = [queue.submit(self._request()) for _ in range(self.BURST)]
            for waiter in waiters:
                assert waiter.placement is not None
                met[waiter.placement.server.instance.instance] += 1
                waiter.placement.server.remove_call(waiter.placement.call, 0.0)
        assert not any(name.endswith("a") for name in met)
        assert sum(met.values()) == self.ENTRIES * self.BURST
        assert max(met.values()) <= 3 * sum(met.values()) / 13

    def _request(self) -> EngineRequest:
        return make_request(service=self.WIDE, decide_s=60.0)
