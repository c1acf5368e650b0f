"""Evacuated failure domains in the replicated state."""

from __future__ import annotations

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st

from leadhollow.codes import Code
from leadhollow.routing.model import CallerLimits, RouteTable
from leadhollow.state.commands import SetEvacuation, decode_command, encode
from leadhollow.state.evacuations import evacuations
from leadhollow.state.machine import StateMachine
from leadhollow.state.route_tables import replacement_command


def order(domain: str, *, evacuated: bool = True, seen: int = 1_000) -> SetEvacuation:
    return SetEvacuation(domain=domain, evacuated=evacuated, seen_revision=seen, received_ms=7_000)


def evacuated(machine: StateMachine) -> list[str]:
    return [found.domain for found in evacuations(machine.catalog)]


class TestSetEvacuation:
    def test_evacuates_and_restores(self):
        machine = StateMachine()
        assert machine.apply(1, order("hall-b")).revision == 1
        assert machine.apply(2, order("hall-a")).revision == 2
        assert evacuated(machine) == ["hall-a", "hall-b"]
        assert machine.apply(3, order("hall-b", evacuated=False)).revision == 3
        assert evacuated(machine) == ["hall-a"]

    def test_resent_order_is_accepted_and_keeps_the_first_time(self):
        machine = StateMachine()
        machine.apply(1, order("hall-a"))
        again = order("hall-a")
        again = msgspec.structs.replace(again, received_ms=again.received_ms + 500)
        assert machine.apply(5, again).code == 0
        assert evacuations(machine.catalog)[0].since_ms == order("hall-a").received_ms

    def test_restoring_what_is_not_evacuated_is_accepted(self):
        machine = StateMachine()
        assert machine.apply(1, order("hall-a", evacuated=False)).code == 0
        assert evacuated(machine) == []

    @pytest.mark.parametrize("wanted", [True, False])
    def test_order_older_than_an_opposite_one_that_changed_nothing_is_rejected(self, wanted):
        """Guards against: an order that its operator gave up is carried out after the opposite."""
        machine = StateMachine()
        machine.apply(1, order("hall-a", evacuated=not wanted))
        machine.apply(2, order("hall-a", evacuated=not wanted))
        late = machine.apply(3, order("hall-a", evacuated=wanted, seen=1))
        assert late.code == Code.ORDER_OVERTAKEN
        assert evacuated(machine) == ([] if wanted else ["hall-a"])

    def test_order_older_than_an_opposite_one_is_rejected(self):
        """Guards against: a copy that a suspended replica held back undoes a newer order."""
        machine = StateMachine()
        machine.apply(10, order("hall-a", seen=9))
        machine.apply(20, order("hall-a", evacuated=False, seen=19))
        late = machine.apply(21, order("hall-a", seen=9))
        assert late.code == Code.ORDER_OVERTAKEN
        assert evacuated(machine) == []
        assert machine.apply(22, order("hall-a", seen=20)).code == 0
        assert evacuated(machine) == ["hall-a"]

    def test_orders_of_other_domains_do_not_matter(self):
        machine = StateMachine()
        machine.apply(10, order("hall-a", seen=9))
        assert machine.apply(11, order("hall-b", seen=2)).code == 0

    def test_stays_when_the_route_table_is_replaced(self):
        machine = StateMachine()
        machine.apply(1, order("hall-a"))
        table = RouteTable(
            number=3, routes=(), services=(), organisations=(), limits=CallerLimits()
        )
        machine.apply(2, replacement_command(table, b"{}"))
        machine.apply(3, replacement_command(table, b"{}"))
        assert evacuated(machine) == ["hall-a"]


class TestSnapshot:
    def test_contains_evacuations_and_the_revisions_of_ended_ones(self):
        """Guards against: after a restart from a snapshot, a late copy revives an evacuation."""
        machine = StateMachine()
        machine.apply(1, order("hall-a"))
        machine.apply(2, order("hall-b"))
        machine.apply(3, order("hall-b", evacuated=False))
        restored = StateMachine()
        restored.restore(machine.snapshot())
        assert evacuated(restored) == ["hall-a"]
        assert restored.apply(4, order("hall-b", seen=2)).code == Code.ORDER_OVERTAKEN

    def test_of_a_release_without_evacuations_is_read(self):
        restored = StateMachine()
        restored.restore(StateMachine().snapshot())
        assert evacuated(restored) == []


class TestCommand:
    def test_is_decoded_as_it_was_encoded(self):
        command = order("hall-a", seen=3)
        assert decode_command(encode(command)).unwrap() == command


orders = st.lists(
    st.tuples(st.sampled_from(["a", "b"]), st.booleans(), st.integers(0, 4)), max_size=20
)


class TestLateCopies:
    @given(orders)
    def test_never_undo_a_newer_order(self, drawn):
        """Guards against: a domain is in a state that a replica ordered before it saw another."""
        machine = StateMachine()
        ordered = {"a": 0, "b": 0}
        for index, (domain, wanted, lag) in enumerate(drawn, start=1):
            before = domain in evacuated(machine)
            seen = max(0, index - 1 - lag)
            answer = machine.apply(index, order(domain, evacuated=wanted, seen=seen))
            after = domain in evacuated(machine)
            if before != after:
                assert ordered[domain] <= seen
            if answer.code == 0:
                ordered[domain] = index
            assert (after == wanted) == (answer.code == 0)
