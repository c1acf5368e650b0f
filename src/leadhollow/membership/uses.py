"""Entries' uses of engines and recent decisions on requests, and the wire encoding of both."""

from __future__ import annotations

from collections.abc import Iterable, Mapping, Sequence

from result import Err, Ok, Result

from leadhollow.codes import Code
from leadhollow.decide.pressure import DecisionCounts, DecisionKey
from leadhollow.failure import Failure
from leadhollow.wire.generated.ttypes import EngineUse, ServiceDecisions

MILLI = 1000  # decision counts are sent in thousandths

MIN_REFUSED = 0.05
"""Number of refused requests, weighted by age, below which a service is left out of messages."""


class Use:
    """Requests of entries at one engine.

    Parameters
    ----------
    requests
        Number of requests in progress at the engine.
    unread_tokens
        Prompt tokens of those requests that have not sent their first event yet.
    """

    __slots__ = ("requests", "unread_tokens")

    def __init__(self, *, requests: int, unread_tokens: int) -> None:
        self.requests = requests
        self.unread_tokens = unread_tokens

    def __eq__(self, other: object) -> bool:
        return (
            isinstance(other, Use)
            and self.requests == other.requests
            and self.unread_tokens == other.unread_tokens
        )

    def __hash__(self) -> int:
        return hash((self.requests, self.unread_tokens))

    @property
    def is_empty(self) -> bool:
        """Whether there are no requests at the engine."""
        return self.requests == 0 and self.unread_tokens == 0


NO_USE = Use(requests=0, unread_tokens=0)


def encode_uses(uses: Mapping[str, Use]) -> tuple[list[str], list[EngineUse]]:
    """Encode uses by address as a list of addresses and a record for each of them."""
    records = [
        EngineUse(index, use.requests, use.unread_tokens) for index, use in enumerate(uses.values())
    ]
    return list(uses), records


def decode_uses(
    engines: Sequence[str] | None, records: Iterable[EngineUse] | None
) -> Result[dict[str, Use], Failure]:
    """Decode uses, keyed by address.

    Errors
    ------
    FRAME_MALFORMED
        A record's index is not in the list of engines, or a count is negative.
    """
    addresses = engines or ()
    found: dict[str, Use] = {}
    for record in records or ():
        index = record.engine
        use = Use(requests=record.requests or 0, unread_tokens=record.unread_tokens or 0)
        if index is None or not 0 <= index < len(addresses):
            return Err(Failure(code=Code.FRAME_MALFORMED, detail=f"no engine {index}"))
        if use.requests < 0 or use.unread_tokens < 0:
            return Err(Failure(code=Code.FRAME_MALFORMED, detail=f"use of engine {index}"))
        found[addresses[index]] = use
    return Ok(found)


def encode_decisions(decisions: Mapping[DecisionKey, DecisionCounts]) -> list[ServiceDecisions]:
    """Encode the decisions on requests of each service with at least ``MIN_REFUSED`` refusals."""
    refused: dict[str, float] = {}
    for key, found in decisions.items():
        refused[key.service] = refused.get(key.service, 0.0) + found.refused
    return [
        ServiceDecisions(
            key.service,
            round(found.made * MILLI),
            round(found.refused * MILLI),
            key.urgency or None,
        )
        for key, found in decisions.items()
        if refused[key.service] >= MIN_REFUSED
    ]


def decode_decisions(
    records: Iterable[ServiceDecisions] | None,
) -> dict[DecisionKey, DecisionCounts]:
    """Decode the decisions on requests."""
    return {
        DecisionKey(service=record.name, urgency=record.urgency or 0): DecisionCounts(
            made=(record.made_milli or 0) / MILLI, refused=(record.refused_milli or 0) / MILLI
        )
        for record in records or ()
    }


__all__ = ["NO_USE", "Use", "decode_decisions", "decode_uses", "encode_decisions", "encode_uses"]
