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


def patterns() -> dict[str, Scenario]:
    """Give all patterns by name."""
    found = [
        Scenario(
            name="usual",
            engine=ENGINE,
            kinds=KINDS,
            domains=WIDE,
            changes=(Change(at_s=0, load=0.85),),
        ),
        Scenario(name="overload", engine=ENGINE, kinds=KINDS, domains=UNEVEN),
        Scenario(
            name="double",
            engine=ENGINE,
            kinds=KINDS,
            domains=UNEVEN,
            changes=(Change(at_s=0, load=1.6),),
        ),
        Scenario(
            name="outage",
            engine=ENGINE,
            kinds=KINDS,
            domains=WIDE,
            changes=(
                Change(at_s=0.0, load=0.9),
                Change(at_s=8.0, engines_out=1.0),
                Change(at_s=13.0, engines_out=0.0),
            ),
        ),
        Scenario(
            name="blink",
            engine=ENGINE,
            kinds=KINDS,
            domains=WIDE,
            length_s=20.0,
            changes=(
                Change(at_s=0.0, load=1.0),
                Change(at_s=6.0, engines_out=1.0),
                Change(at_s=7.5, engines_out=0.0),
            ),
        ),
        Scenario(
            name="half-out",
            engine=ENGINE,
            kinds=KINDS,
            domains=WIDE,
            changes=(
                Change(at_s=0.0, load=0.9),
                Change(at_s=8.0, engines_out=0.5),
                Change(at_s=13.0, engines_out=0.0),
            ),
        ),
        Scenario(
            name="ramp",
            engine=ENGINE,
            kinds=KINDS,
            domains=WIDE,
            changes=(
                Change(at_s=0.0, engines_out=0.4, load=0.55),
                Change(at_s=3.0, load=0.7),
                Change(at_s=4.5, load=0.85),
                Change(at_s=6.0, load=1.0),
                Change(at_s=9.0, engines_out=0.0),
            ),
        ),
    ]
    found += [
        Scenario(
            name=f"resting-{name}",
            engine=ENGINE,
            kinds=KINDS,
            domains=WIDE,
            changes=(
                Change(at_s=0.0, load=0.6),
                Change(at_s=6.0, engines_resting=share),
                Change(at_s=16.0, engines_resting=0.0),
            ),
        )
        for name, share in (("some", 0.34), ("half", 0.5), ("all", 1.0))
    ]
    found.append(
        Scenario(
            name="resting-in-turn",
            engine=ENGINE,
            kinds=KINDS,
            domains=WIDE,
            changes=(
                Change(at_s=0.0, load=0.6),
                *(
                    Change(at_s=6.0 + step, engines_resting=0.5 if step % 4 == 0 else 0.0)
                    for step in range(0, 16, 2)
                ),
            ),
        )
    )
    return {scenario.name: scenario for scenario in found}


__all__ = ["patterns"]
