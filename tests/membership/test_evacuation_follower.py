"""Tests of the evacuations that follow from the replicated state."""

from __future__ import annotations

from leadhollow.decide.eligibility import FailureDomains
from leadhollow.membership.evacuation_follower import EvacuationFollower
from leadhollow.state.commands import SetEvacuation
from leadhollow.state.machine import StateMachine


def give_order(machine: StateMachine, index: int, *, evacuated: bool) -> None:
    machine.apply(
        index,
        SetEvacuation(
            domain="hall-a", evacuated=evacuated, seen_revision=index - 1, received_ms=7_000
        ),
    )


class TestEvacuationFollower:
    # a process that read its state before it followed it took no evacuation of before as one, and
    # did not presume the servers of the domain cold when it was restored
    def test_applies_what_is_in_the_catalog_already(self):
        machine = StateMachine()
        give_order(machine, 1, evacuated=True)
        domains = FailureDomains(regions={"hall-a": "north"})
        EvacuationFollower(catalog=machine.catalog, domains=domains)
        assert domains.evacuated == {"hall-a"}

    # servers of a domain that an order restored stayed without requests
    def test_follows_changes(self):
        machine = StateMachine()
        domains = FailureDomains(regions={"hall-a": "north"})
        EvacuationFollower(catalog=machine.catalog, domains=domains)
        give_order(machine, 1, evacuated=True)
        assert domains.evacuated == {"hall-a"}
        give_order(machine, 2, evacuated=False)
        assert domains.evacuated == frozenset()
