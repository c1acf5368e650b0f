"""Load patterns as checked settings: engines, callers, failure domains and changes over time."""

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
        Mean arrival rate over all failure domains.
    worth, late_worth
        Worth of a response on time, and of a late one.
    objective_ms, deadline_ms
        Time to the first event that counts as on time, and time that bounds waiting and retries.
    prompt_tokens, answer_events
        Mean sizes of prompt and response; both have a log-normal distribution.
    spread
        Standard deviation of the logarithm of sizes.
    urgency
        Urgency; 0 is the most urgent.
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
    urgency: int = 0


class Domain(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """One failure domain.

    Parameters
    ----------
    share
        Its share of the callers.
    """

    name: str
    entries: int
    engines: int
    share: float


class Change(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """A change at one time, in effect until the next change of the same field.

    Parameters
    ----------
    load
        Arrival rate as a multiple of the usual one; None leaves it unchanged.
    engines_out
        Share of each domain's engines that are stopped; None leaves it unchanged.
    engines_resting
        Share of each domain's engines that refuse every new request and ask for a back-off; None
        leaves it unchanged.
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
        Age of what entries know of each other's use of engines in their own failure domain.
    far_view_lag_ms
        The same for engines of other failure domains; 0 means equal to ``view_lag_ms``.
    way_ms
        One-way delay between entry and engine, on top of the engine's own latency.
    rest_s
        Back-off that engines ask for.
    length_s
        Time during which callers arrive; the run continues until their requests have ended.
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
    error_detail = _wrong(scenario)
    if error_detail:
        return Err(Failure(code=Code.SETTINGS_FIELD, detail=f"{path}: {error_detail}"))
    return Ok(scenario)


def _wrong(scenario: Scenario) -> str:
    """Return an error for the first invalid field, or an empty string."""
    if not sum(domain.engines for domain in scenario.domains):
        return "domains: no engine in any of them"
    if not scenario.kinds:
        return "kinds: none"
    for index, kind in enumerate(scenario.kinds):
        if kind.per_s < 0 or kind.objective_ms <= 0 or kind.deadline_ms <= 0:
            return f"kinds[{index}]: rates and times must be above 0"
    for index, domain in enumerate(scenario.domains):
        if domain.share < 0 or domain.engines < 0:
            return f"domains[{index}]: negative"
        if domain.entries < 1 and domain.share > 0:
            return f"domains[{index}].entries: none for its callers"
    if scenario.rest_s < 0:
        return "rest_s: negative"
    if scenario.length_s <= 0:
        return "length_s: must be above 0"
    return ""


__all__ = ["MS_PER_S", "Change", "Domain", "RequestKind", "Scenario", "read_scenario"]
