"""Processor's time for input that is costly to parse."""

from __future__ import annotations

from leadhollow.overload.parsing import (
    COSTLY_PART_BYTES,
    COSTLY_PARTS,
    COSTLY_SHARE,
    ParsingBudget,
)

COST_S = 0.004
CONNECTIONS = 50


class FakeClock:
    def __init__(self) -> None:
        self.now_s = 100.0

    def __call__(self) -> float:
        return self.now_s


def spend(budget: ParsingBudget, clock: FakeClock, *, parts: int, part_bytes: int = 7) -> float:
    """Parse for ``COST_S`` and return the time to wait."""
    began_s = clock()
    clock.now_s += COST_S
    return budget.record(parts=parts, size_bytes=parts * part_bytes, began_s=began_s)


class TestParsingBudget:
    async def test_never_delays_input_of_usual_parts(self):
        clock = FakeClock()
        budget = ParsingBudget(clock=clock)
        assert spend(budget, clock, parts=10 * COSTLY_PARTS) > 0.0
        assert spend(budget, clock, parts=COSTLY_PARTS) == 0.0
        many = 10 * COSTLY_PARTS  # a long read of an ordinary caller
        assert spend(budget, clock, parts=many, part_bytes=COSTLY_PART_BYTES) == 0.0

    # Guards against: each connection keeps to a share, and all together take all of the time.
    async def test_gives_costly_input_of_all_connections_one_share(self):
        clock = FakeClock()
        budget = ParsingBudget(clock=clock)
        due_s = {number: clock() for number in range(CONNECTIONS)}
        began_s, spent_s = clock(), 0.0
        for _ in range(2_000):
            number = min(due_s, key=lambda each: due_s[each])
            clock.now_s = max(clock.now_s, due_s[number])
            due_s[number] = clock.now_s + COST_S + spend(budget, clock, parts=COSTLY_PARTS + 1)
            spent_s += COST_S
        first_turn_s = CONNECTIONS * COST_S
        assert spent_s <= COSTLY_SHARE * (clock() - began_s) + first_turn_s
        assert spent_s >= 0.9 * COSTLY_SHARE * (clock() - began_s)  # nobody waits for nothing


__all__: list[str] = []
