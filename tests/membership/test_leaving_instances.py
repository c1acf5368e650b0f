"""A life of a backend server that leaves does not become ready again, in any order of records."""

from __future__ import annotations

import asyncio

import pytest
from hypothesis import example, given, settings
from hypothesis import strategies as st

from leadhollow.membership.instance_table import LEAVING_KEPT, InstanceTable
from leadhollow.membership.instances import Instance, InstanceState

NAME = "i-1"
READY = InstanceState.READY
LIVES_MS = (0, 10, 20)
ADDRESS = "10.0.0.1:80"


def make_record(*, born_ms: int, sequence: int, state: InstanceState, name: str = NAME) -> Instance:
    return Instance(
        instance=name,
        service="s",
        address=ADDRESS,
        failure_domain="d",
        sequence=sequence,
        state=state,
        slots=4,
        served=(),
        heard_s=asyncio.get_running_loop().time(),
        born_ms=born_ms,
    )


@pytest.fixture
def table():
    return InstanceTable(forget_after_s=60.0)


lives = st.sampled_from(LIVES_MS)
events = st.lists(
    st.one_of(
        st.tuples(st.just("ready"), lives, st.integers(1, 6)),
        st.tuples(st.just("draining"), lives, st.integers(1, 6)),
        st.tuples(st.just("answer"), lives, st.just(0)),
        st.tuples(st.just("gone"), lives, st.just(0)),
        st.tuples(st.just("forgotten"), lives, st.just(0)),
        st.tuples(st.just("other"), lives, st.just(0)),
    ),
    max_size=25,
)


def apply_event(table: InstanceTable, event: tuple[str, int, int]) -> None:
    kind, born_ms, sequence = event
    match kind:
        case "ready":
            table.merge(make_record(born_ms=born_ms, sequence=sequence, state=InstanceState.READY))
        case "draining":
            table.merge(
                make_record(born_ms=born_ms, sequence=sequence, state=InstanceState.DRAINING)
            )
        case "answer":
            table.record_leaving(f"{NAME}@{born_ms}")
        case "gone":
            table.deregister(NAME, born_ms=born_ms)
        case "forgotten":
            table.forget(NAME)
        case "other":
            table.merge(
                make_record(born_ms=born_ms, sequence=1, state=InstanceState.READY, name="i-2")
            )


class TestLeaving:
    # Guards against: a late record, a dropped table entry or a former life makes a leaving server
    # ready again.
    @settings(max_examples=400, deadline=None)
    @given(events)
    @example([("ready", 20, 1), ("draining", 10, 1), ("forgotten", 0, 0), ("ready", 10, 1)])
    def test_is_final_within_a_life(self, history):
        async def run() -> None:
            table = InstanceTable(forget_after_s=60.0)
            notified: list[Instance] = []
            table.on_change(notified.append)
            left: set[int] = set()
            for event in history:
                if event[0] in ("draining", "answer"):
                    left.add(event[1])
                before = len(notified)
                apply_event(table, event)
                known = table.get(NAME)
                assert known is None or known.born_ms not in left or known.state is not READY
                for instance in notified[before:]:
                    if instance.instance == NAME and instance.born_ms in left:
                        assert instance.state is not READY

        asyncio.run(run())

    async def test_unknown_life_leaves_from_its_first_record(self, table):
        assert table.record_leaving(f"{NAME}@10") is None
        table.merge(make_record(born_ms=10, sequence=1, state=READY))
        known = table.get(NAME)
        assert known is not None
        assert known.state is InstanceState.DRAINING

    async def test_former_life_does_not_affect_the_next_one(self, table):
        table.merge(make_record(born_ms=20, sequence=1, state=READY))
        assert table.record_leaving(f"{NAME}@10") is None
        known = table.get(NAME)
        assert known is not None
        assert known.state is READY

    async def test_is_reported_once(self, table):
        table.merge(make_record(born_ms=10, sequence=5, state=READY))
        left = table.record_leaving(f"{NAME}@10")
        assert left is not None
        assert left.state is InstanceState.DRAINING
        assert table.record_leaving(f"{NAME}@10") is None

    async def test_outdated_record_still_marks_the_life_as_leaving(self, table):
        table.merge(make_record(born_ms=10, sequence=5, state=READY))
        assert table.merge(make_record(born_ms=10, sequence=3, state=InstanceState.DRAINING))
        known = table.get(NAME)
        assert known is not None
        assert (known.state, known.sequence) == (InstanceState.DRAINING, 5)

    # Guards against: a server that drains for long becomes ready again once many others have left.
    async def test_survives_eviction_from_the_set_of_leaving_lives(self, table):
        table.merge(make_record(born_ms=10, sequence=1, state=READY))
        table.record_leaving(f"{NAME}@10")
        for number in range(LEAVING_KEPT):
            table.record_leaving(f"other-{number}@0")
        table.merge(make_record(born_ms=10, sequence=2, state=READY))
        known = table.get(NAME)
        assert known is not None
        assert known.state is InstanceState.DRAINING
