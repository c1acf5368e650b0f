"""Tests that bound requests stay in their regions whatever happens meanwhile.

More examples by hand: ``python -m tests.forward.test_region_laboratory 10000``.
"""

from __future__ import annotations

import itertools
import sys
from collections import Counter

from absl import logging as absl_logging
from hypothesis import HealthCheck, given, seed, settings
from hypothesis import strategies as st

from leadhollow.membership.instances import InstanceState
from tests.forward.region_entry import DOMAINS, GROUPS, REGION_OF, ROUTES, SERVICES
from tests.forward.region_laboratory import play

PLACES = [
    ("engine", number, service, domain, InstanceState.READY)
    for number, (service, domain) in enumerate(itertools.product(sorted(SERVICES), DOMAINS))
]

entries = st.integers(0, 1)
regions = st.lists(
    st.sampled_from([*sorted(set(REGION_OF.values())), "nowhere"]), max_size=3, unique=True
).map(tuple)
tables = st.dictionaries(st.sampled_from([*ROUTES, *GROUPS]), regions, min_size=1, max_size=4)
states = st.sampled_from([InstanceState.READY] * 4 + [InstanceState.DRAINING, InstanceState.GONE])
engines = st.tuples(
    st.just("engine"),
    st.integers(0, len(PLACES) - 1),
    st.sampled_from(sorted(SERVICES)),
    st.sampled_from(DOMAINS),
    states,
)
calls = st.tuples(
    st.just("call"),
    entries,
    st.integers(0, len(ROUTES) - 1),
    st.integers(0, len(GROUPS) - 1),
    st.integers(2, 8),
)
changes = st.one_of(
    st.tuples(st.just("table"), tables),
    st.tuples(st.just("evacuate"), st.frozensets(st.sampled_from(DOMAINS), max_size=3)),
    st.tuples(st.sampled_from(["cut", "heal"]), entries),
    engines,
)
runs = st.tuples(
    st.frozensets(st.sampled_from(PLACES), min_size=6).map(
        lambda found: sorted(found, key=lambda place: place[1])
    ),
    st.lists(st.one_of(calls, calls, changes), min_size=12, max_size=24),
)
counts: Counter[str] = Counter()


def check(number: int, run: tuple[list[object], list[object]]) -> None:
    before = absl_logging.get_verbosity()
    absl_logging.set_verbosity(absl_logging.FATAL)
    beginning, rest = run
    found = play(number, [*beginning, *rest])
    absl_logging.set_verbosity(before)
    counts.update(examples=1, sends=found.sends, bound_sends=found.bound_sends)
    assert found.breaches == []


class TestBoundRequests:
    # Guards against: first sends, repeats, hedges or resumed streams outside the regions or into an
    # evacuated failure domain; late or untrue refusals of what nobody may serve.
    @settings(max_examples=40, deadline=None, suppress_health_check=[HealthCheck.too_slow])
    @given(st.integers(0, 1_000_000), runs)
    def test_stay_in_their_regions(self, number, run):
        check(number, run)


if __name__ == "__main__":
    examples = settings(
        max_examples=int(sys.argv[1]),
        deadline=None,
        database=None,
        suppress_health_check=list(HealthCheck),
    )
    seed(int(sys.argv[2]) if len(sys.argv) > 2 else 0)(
        examples(given(st.integers(0, 1_000_000), runs)(check))
    )()
    print(dict(counts))
