"""Named load patterns that come with the product.

Engines and callers are of one kind in all of them: 16 requests at once, 6 tokens an event, prompts
of 600 to 1,300 tokens that are read at 30,600 tokens a second. Ten engines of this kind carry about
107 requests a second, six about 70, as measured with patterns of growing load.
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
UNEVEN = (
    Domain(name="a", entries=4, engines=2, share=0.33),
    Domain(name="b", entries=2, engines=2, share=0.38),
    Domain(name="c", entries=3, engines=2, share=0.29),
)
"""Callers, entries and engines are not spread alike over the failure domains."""

WIDE = tuple(
    Domain(name=domain.name, entries=domain.entries, engines=engines, share=domain.share)
    for domain, engines in zip(UNEVEN, (3, 3, 4), strict=True)
)


MANY = (
    Domain(name="a", entries=13, engines=8, share=0.33),
    Domain(name="b", entries=13, engines=8, share=0.38),
    Domain(name="c", entries=13, engines=7, share=0.29),
)

MANY_FAR_LAG_MS = 330.0  # of views between failure domains, where there are many entries


def _pattern(
    name: str,
    *changes: Change,
    domains: tuple[Domain, ...] = WIDE,
    length_s: float = 30.0,
    far_view_lag_ms: float = 0.0,
) -> Scenario:
    return Scenario(
        name=name,
        engine=ENGINE,
        kinds=KINDS,
        domains=domains,
        changes=changes,
        length_s=length_s,
        far_view_lag_ms=far_view_lag_ms,
    )


def _resting(share: float) -> tuple[Change, ...]:
    """Let part of the engines turn requests away for ten seconds."""
    return (
        Change(at_s=0.0, load=0.6),
        Change(at_s=6.0, engines_resting=share),
        Change(at_s=16.0, engines_resting=0.0),
    )


def _resting_in_turn(load: float) -> tuple[Change, ...]:
    """Let half of the engines turn requests away for two seconds in four."""
    steps = range(0, 16, 2)
    turns = [
        Change(at_s=6.0 + step, engines_resting=0.5 if step % 4 == 0 else 0.0) for step in steps
    ]
    return (Change(at_s=0.0, load=load), *turns)


def patterns() -> dict[str, Scenario]:
    """Give all patterns by name."""
    found = [
        _pattern("usual", Change(at_s=0, load=0.85)),
        _pattern("overload", domains=UNEVEN),
        _pattern("double", Change(at_s=0, load=1.6), domains=UNEVEN),
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
        _pattern("resting-some", *_resting(0.34)),
        _pattern("resting-half", *_resting(0.5)),
        _pattern("resting-all", *_resting(1.0)),
        _pattern("resting-in-turn", *_resting_in_turn(0.6)),
        _pattern(
            "resting-many",
            *_resting_in_turn(1.4),
            domains=MANY,
            length_s=16.0,
            far_view_lag_ms=MANY_FAR_LAG_MS,
        ),
    ]
    return {scenario.name: scenario for scenario in found}


__all__ = ["patterns"]
