"""What entries have at engines and lately decided on requests, and how it travels."""

from __future__ import annotations

from collections.abc import Iterable, Mapping, Sequence

from result import Err, Ok, Result

from leadhollow.codes import Code
from leadhollow.decide.pressure import DecisionCounts
from leadhollow.failure import Failure
from leadhollow.wire.generated.ttypes import EngineUse, ServiceDecisions

MILLI = 1000  # decisions travel in thousandths

TOLD_FROM = 0.05
"""Refused requests, older ones counting less, below which there is nothing to tell: while nobody is
refused anywhere, nothing of it travels."""


class Use:
    """Requests at one engine.

    Parameters
    ----------
    requests
        Requests that were sent there and have not ended.
    unread_tokens
        Prompt tokens of those whose first event has not come yet.
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
        """Whether there is nothing at the engine."""
        return self.requests == 0 and self.unread_tokens == 0


NO_USE = Use(requests=0, unread_tokens=0)


def encode_uses(uses: Mapping[str, Use]) -> tuple[list[str], list[EngineUse]]:
    """Encode uses by address as a list of addresses and one record for each of them."""
    records = [
        EngineUse(place, use.requests, use.unread_tokens) for place, use in enumerate(uses.values())
    ]
    return list(uses), records


def decode_uses(
    engines: Sequence[str] | None, records: Iterable[EngineUse] | None
) -> Result[dict[str, Use], Failure]:
    """Decode uses by address.

    Errors
    ------
    FRAME_MALFORMED
        A record names no engine of the list, or counts below nothing.
    """
    known = engines or ()
    found: dict[str, Use] = {}
    for record in records or ():
        place = record.engine
        use = Use(requests=record.requests or 0, unread_tokens=record.unread_tokens or 0)
        if place is None or not 0 <= place < len(known):
            return Err(Failure(code=Code.FRAME_MALFORMED, detail=f"no engine {place}"))
        if use.requests < 0 or use.unread_tokens < 0:
            return Err(Failure(code=Code.FRAME_MALFORMED, detail=f"use of engine {place}"))
        found[known[place]] = use
    return Ok(found)


def encode_decisions(decisions: Mapping[str, DecisionCounts]) -> list[ServiceDecisions]:
    """Encode what was decided on requests for services, as far as any was refused."""
    return [
        ServiceDecisions(name, round(found.made * MILLI), round(found.refused * MILLI))
        for name, found in decisions.items()
        if found.refused >= TOLD_FROM
    ]


def decode_decisions(records: Iterable[ServiceDecisions] | None) -> dict[str, DecisionCounts]:
    """Decode what was decided on requests, by service."""
    return {
        record.name: DecisionCounts(
            made=(record.made_milli or 0) / MILLI, refused=(record.refused_milli or 0) / MILLI
        )
        for record in records or ()
    }


__all__ = ["NO_USE", "Use", "decode_decisions", "decode_uses", "encode_decisions", "encode_uses"]
