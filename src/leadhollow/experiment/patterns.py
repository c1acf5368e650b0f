"""Named load patterns that come with the product.

All use one kind of engine and the same callers: 16 slots, 6 tokens per event, prompts of 600 to
1,300 tokens that are read at 30,600 tokens per second. Ten such engines carry about 107 requests
per second, six about 70.
"""

from __future__ import annotations

from leadhollow.experiment.scenario import Change, Domain, RequestKind, Scenario
from leadhollow.routing.model import EngineSpec

ENGINE = EngineSpec(
    slots=16,
    memory_tokens=1_640_000,
    stride_steps=6,
    step_ms=6.73,
    sequence_ms=0.0219,
    context_ms_per_k=0.0068,
    read_tokens_per_s=30_600.0,
    pair_ms_per_million=0.647,
    chunk_tokens=2_048,
    layers=16,
    usual_prompt_tokens=930.0,
    usual_answer_tokens=122.0,
)
KINDS = (
    RequestKind(name="long", per_s=37.0, worth=2.5, late_worth=0.62, prompt_tokens=1290.0),
    RequestKind(name="middle", per_s=27.0, worth=2.1, late_worth=0.53, prompt_tokens=787.0),
    RequestKind(
        name="short",
        per_s=31.0,
        worth=1.3,
        late_worth=0.33,
        objective_ms=300.0,
        prompt_tokens=607.0,
        answer_events=11.6,
    ),
)
UNEVEN_DOMAINS = (
    Domain(name="a", entries=4, engines=2, share=0.33),
    Domain(name="b", entries=2, engines=2, share=0.38),
    Domain(name="c", entries=3, engines=2, share=0.29),
)
"""Callers, entries and engines are spread unevenly over the failure domains."""

WIDE_DOMAINS = tuple(
    Domain(name=domain.name, entries=domain.entries, engines=engines, share=domain.share)
    for domain, engines in zip(UNEVEN_DOMAINS, (3, 3, 4), strict=True)
)


MANY_DOMAINS = (
    Domain(name="a", entries=13, engines=8, share=0.33),
    Domain(name="b", entries=13, engines=8, share=0.38),
    Domain(name="c", entries=13, engines=7, share=0.29),
)

URGENCY_KINDS = tuple(
    RequestKind(name=name, per_s=40.0, prompt_tokens=900.0, answer_events=20.0, urgency=urgency)
    for urgency, name in enumerate(("urgent", "ordinary", "lenient"))
)
"""Equal amounts of work that differ in urgency only; together as much as ten engines carry."""

MANY_REMOTE_LAG_MS = 330.0  # view lag between failure domains with many entries


def _pattern(
    name: str,
    *changes: Change,
    kinds: tuple[RequestKind, ...] = KINDS,
    domains: tuple[Domain, ...] = WIDE_DOMAINS,
    length_s: float = 30.0,
    far_view_lag_ms: float = 0.0,
) -> Scenario:
    return Scenario(
        name=name,
        engine=ENGINE,
        kinds=kinds,
        domains=domains,
        changes=changes,
        length_s=length_s,
        far_view_lag_ms=far_view_lag_ms,
    )


def _refusing(share: float) -> tuple[Change, ...]:
    """Return changes in which a share of the engines refuse requests for ten seconds."""
    return (
        Change(at_s=0.0, load=0.6),
        Change(at_s=6.0, engines_resting=share),
        Change(at_s=16.0, engines_resting=0.0),
    )


def _refusing_intermittently(load: float) -> tuple[Change, ...]:
    """Return changes in which half of the engines refuse requests for 2 s in every 4 s."""
    steps = range(0, 16, 2)
    cycles = [
        Change(at_s=6.0 + step, engines_resting=0.5 if step % 4 == 0 else 0.0) for step in steps
    ]
    return (Change(at_s=0.0, load=load), *cycles)


def patterns() -> dict[str, Scenario]:
    """Return all patterns by name."""
    scenarios = [
        _pattern("usual", Change(at_s=0, load=0.85)),
        _pattern("overload", domains=UNEVEN_DOMAINS),
        _pattern("double", Change(at_s=0, load=1.6), domains=UNEVEN_DOMAINS),
        _pattern(
            "outage",
            Change(at_s=0.0, load=0.9),
            Change(at_s=8.0, engines_out=1.0),
            Change(at_s=13.0, engines_out=0.0),
        ),
        _pattern(
            "blink",
            Change(at_s=0.0, load=1.0),
            Change(at_s=6.0, engines_out=1.0),
            Change(at_s=7.5, engines_out=0.0),
            length_s=20.0,
        ),
        _pattern(
            "half-out",
            Change(at_s=0.0, load=0.9),
            Change(at_s=8.0, engines_out=0.5),
            Change(at_s=13.0, engines_out=0.0),
        ),
        _pattern(
            "ramp",
            Change(at_s=0.0, engines_out=0.4, load=0.55),
            Change(at_s=3.0, load=0.7),
            Change(at_s=4.5, load=0.85),
            Change(at_s=6.0, load=1.0),
            Change(at_s=9.0, engines_out=0.0),
        ),
        _pattern("urgency", kinds=URGENCY_KINDS, length_s=12.0),
        _pattern("urgency-overload", Change(at_s=0, load=1.3), kinds=URGENCY_KINDS, length_s=12.0),
        _pattern("urgency-double", Change(at_s=0, load=2.0), kinds=URGENCY_KINDS, length_s=12.0),
        _pattern("resting-some", *_refusing(0.34)),
        _pattern("resting-half", *_refusing(0.5)),
        _pattern("resting-all", *_refusing(1.0)),
        _pattern("resting-in-turn", *_refusing_intermittently(0.6)),
        _pattern(
            "resting-many",
            *_refusing_intermittently(1.4),
            domains=MANY_DOMAINS,
            length_s=16.0,
            far_view_lag_ms=MANY_REMOTE_LAG_MS,
        ),
    ]
    return {scenario.name: scenario for scenario in scenarios}


__all__ = ["patterns"]
