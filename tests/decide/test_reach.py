"""Tests of requests that no engine may take: refused at once, for the true reason."""

from __future__ import annotations

import asyncio

import pytest

from leadhollow.codes import Code
from leadhollow.decide.eligibility import FailureDomains
from leadhollow.decide.engine_queue import EngineQueue, Waiter
from leadhollow.decide.engine_request import EngineRequest, QueuePriority
from leadhollow.decide.reach import reason_out_of_reach
from leadhollow.decide.server import NO_DOMAIN_RULES
from leadhollow.forward.engine_placement import wait_for_placement
from leadhollow.forward.server_directory import ServerDirectory
from leadhollow.membership.instance_table import InstanceTable
from leadhollow.membership.instances import Instance, InstanceState, ServedVersion
from tests.decide.test_engine_queue import (
    LONG_S,
    SPEC,
    FakeVersionRules,
    make_request,
    make_resumed_request,
)

REGIONS = {"a": "north", "b": "south"}
NORTH = frozenset({"north"})


class Place:
    """A queue of an entry in failure domain ``a``, with one engine in each given domain."""

    def __init__(self, *engine_domains: str) -> None:
        clock = asyncio.get_running_loop().time
        table = InstanceTable(forget_after_s=LONG_S)
        self.domains = FailureDomains(regions=REGIONS)
        self.directory = ServerDirectory(table=table, clock=clock, domains=self.domains)
        self.queue = EngineQueue(
            directory=self.directory,
            versions=FakeVersionRules(),
            failure_domain="a",
            seed=1,
            clock=clock,
        )
        whole = ServedVersion(model="m", version=1, first_layer=0, end_layer=SPEC.layers)
        for number, domain in enumerate(engine_domains):
            table.merge(
                Instance(
                    instance=f"i-{domain}",
                    service="models",
                    address=f"127.0.0.1:{9000 + number}",
                    failure_domain=domain,
                    sequence=1,
                    state=InstanceState.READY,
                    slots=SPEC.slots,
                    served=(whole,),
                    heard_s=clock(),
                )
            )

    def submit(self, request: EngineRequest) -> Waiter:
        return self.queue.submit(request)


class TestReason:
    # the refusal named a rule that was not what kept the request from every engine
    @pytest.mark.parametrize(
        ("engines", "evacuated", "regions", "expected"),
        [
            ("ab", "", NORTH, None),
            ("b", "", NORTH, Code.OUTSIDE_REGIONS),
            ("", "", NORTH, Code.OUTSIDE_REGIONS),
            ("ab", "", frozenset(), Code.OUTSIDE_REGIONS),
            ("ab", "a", NORTH, Code.DOMAIN_EVACUATED),
            ("b", "b", NORTH, Code.OUTSIDE_REGIONS),
            ("ab", "ab", None, Code.DOMAIN_EVACUATED),
            ("ab", "a", None, None),
            ("", "a", None, None),
        ],
    )
    async def test_is_the_rule_that_keeps_the_request_from_every_engine(
        self, engines, evacuated, regions, expected
    ):
        place = Place(*engines)
        place.domains.set_evacuated(set(evacuated))
        assert reason_out_of_reach(place.directory.servers("models"), regions) is expected


class TestRefusal:
    # a request that nobody may serve waited until its decision deadline in vain
    @pytest.mark.parametrize("priority", [QueuePriority.NEW, QueuePriority.CAME_BACK])
    async def test_is_immediate_and_names_the_rule(self, priority):
        place = Place("b")
        request = make_request(decide_s=LONG_S, regions=NORTH, queue_priority=priority)
        waiter = place.submit(request)
        assert waiter.ended
        assert waiter.out_of_reach is Code.OUTSIDE_REGIONS
        placed = await wait_for_placement(place.queue, request)
        assert placed.unwrap_err().code is Code.OUTSIDE_REGIONS

    # refusals of bound requests made the entry refuse others, whose engines had room
    async def test_does_not_raise_the_pressure(self):
        place = Place("b")
        for _ in range(20):
            assert place.submit(make_request(regions=NORTH)).placement is None
        assert place.queue.pressure() == 0.0

    # room at an engine that a request may not use made its caller come back early
    async def test_does_not_count_other_regions_as_room(self):
        place = Place("b")
        assert place.queue.retry_after_s(make_request(regions=NORTH)) >= 1.2

    # a request withheld under shortage was refused as if no engine were allowed
    async def test_without_a_rule_keeps_its_code(self):
        place = Place()
        waiter = place.submit(make_request())
        assert not waiter.ended
        place.queue.on_deadline(waiter)
        assert waiter.ended
        assert waiter.out_of_reach is None

    # a stream that had begun was given up while its only engine restarted
    async def test_is_not_immediate_for_a_resumed_stream(self):
        place = Place("b")
        request = make_resumed_request()
        request.regions = NORTH
        assert not place.submit(request).ended


class TestPlacement:
    # an engine outside the regions was chosen because it was nearer, or less loaded
    async def test_is_within_the_regions(self):
        place = Place("a", "b")
        waiter = place.submit(make_request(regions=frozenset({"south"})))
        assert waiter.placement is not None
        assert waiter.placement.server.instance.instance == "i-b"
        assert waiter.placement.call.regions == {"south"}

    # a deployment that binds nothing got other choices than before the rule existed
    async def test_without_a_bound_is_the_same_as_without_rules(self):
        places = [Place("a", "a2", "b", "b2", "c"), Place("a", "a2", "b", "b2", "c")]
        for server in places[1].directory.all_servers():
            server._domains = NO_DOMAIN_RULES
        chosen = [
            [
                None if placement is None else placement.server.instance.instance
                for placement in (place.submit(make_request()).placement for _ in range(30))
            ]
            for place in places
        ]
        assert chosen[0] == chosen[1]
        assert len(set(chosen[0])) > 2
