"""Load patterns: engines, callers and what befalls them, as checked settings."""

from __future__ import annotations

from pathlib import Path

import msgspec
from result import Err, Ok, Result

from leadhollow.codes import Code
from leadhollow.failure import Failure
from leadhollow.routing.model import EngineSpec

MS_PER_S = 1000.0


class RequestKind(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """One kind of request.

    Parameters
    ----------
    per_s
        Mean arrivals a second over all failure domains.
    worth, late_worth
        What an answer on time, and a late one, is worth.
    prompt_tokens, answer_events
        Mean sizes; both spread log-normally.
    spread
        Standard deviation of the logarithm of sizes.
    """

    name: str
    per_s: float
    worth: float = 1.0
    late_worth: float = 0.25
    objective_ms: float = 400.0
    deadline_ms: float = 6000.0
    prompt_tokens: float = 1000.0
    answer_events: float = 20.0
    spread: float = 0.8


class Domain(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """One failure domain.

    Parameters
    ----------
    share
        Its part of the callers.
    """

    name: str
    entries: int
    engines: int
    share: float


class Change(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """A change at a moment.

    Parameters
    ----------
    load
        From then on the arrivals are this many times the usual ones; None leaves them.
    engines_out
        Part of each domain's engines that serve nothing from then on; None leaves them.
    engines_resting
        Part of each domain's engines that turn every new request away from then on, and ask for
        rest; None leaves them.
    """

    at_s: float
    load: float | None = None
    engines_out: float | None = None
    engines_resting: float | None = None


class Scenario(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """A load pattern.

    Parameters
    ----------
    view_lag_ms
        Age of what entries know of each other at engines of their own failure domain.
    far_view_lag_ms
        Age of what they know of the others' engines; 0 for the same.
    way_ms
        One way between entry and engine, on top of the engine's own times.
    rest_s
        Rest that engines ask for.
    length_s
        How long callers arrive; answers are waited for afterwards.
    """

    name: str
    engine: EngineSpec
    kinds: tuple[RequestKind, ...]
    domains: tuple[Domain, ...]
    changes: tuple[Change, ...] = ()
    view_lag_ms: float = 25.0
    far_view_lag_ms: float = 0.0
    way_ms: float = 4.0
    rest_s: float = 3.0
    length_s: float = 30.0


_decoder = msgspec.json.Decoder(Scenario)


def read_scenario(path: Path) -> Result[Scenario, Failure]:
    """Read and check a scenario file.

    Errors
    ------
    SETTINGS_FIELD
        The file cannot be read, has an unknown field or a value that makes no sense.
    """
    try:
        scenario = _decoder.decode(path.read_bytes())
    except (OSError, msgspec.MsgspecError) as error:
        return Err(Failure(code=Code.SETTINGS_FIELD, detail=f"{path}: {error}"))
    wrong = _wrong(scenario)
    if wrong:
        return Err(Failure(code=Code.SETTINGS_FIELD, detail=f"{path}: {wrong}"))
    return Ok(scenario)


def _wrong(scenario: Scenario) -> str:
    """Name the first field whose value makes no sense, nothing where all do."""
    if not sum(domain.engines for domain in scenario.domains):
        return "domains: no engine in any of them"
    if not scenario.kinds:
        return "kinds: none"
    for place, kind in enumerate(scenario.kinds):
        if kind.per_s < 0 or kind.objective_ms <= 0 or kind.deadline_ms <= 0:
            return f"kinds[{place}]: rates and times must be above 0"
    for place, domain in enumerate(scenario.domains):
        if domain.share < 0 or domain.engines < 0:
            return f"domains[{place}]: negative"
        if domain.entries < 1 and domain.share > 0:
            return f"domains[{place}].entries: none for its callers"
    if scenario.rest_s < 0:
        return "rest_s: negative"
    if scenario.length_s <= 0:
        return "length_s: must be above 0"
    return ""


__all__ = ["MS_PER_S", "Change", "Domain", "RequestKind", "Scenario", "read_scenario"]
