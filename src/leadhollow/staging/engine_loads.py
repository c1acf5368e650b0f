"""What other engines report of themselves, as far as a stager needs it."""

from __future__ import annotations

import asyncio

from leadhollow.membership.control_feed import ControlFeed
from leadhollow.staging.pieces import StagedVersion
from leadhollow.staging.turns import EngineStanding, may_switch
from leadhollow.wire.generated.ttypes import LoadRecord

SWITCH_VALID_S = 3.0
"""Longer than any change of weights takes; an engine that said so before was lost in it. Everything
else that an engine said of its standing holds until it says something else, or is gone."""


class EngineLoads:
    """Newest report of each engine."""

    __slots__ = ("_heard_s", "_records")

    def __init__(self, *, feed: ControlFeed) -> None:
        self._records: dict[str, LoadRecord] = {}
        self._heard_s: dict[str, float] = {}
        feed.on_load(self._take)

    def is_turn(
        self, own: str, staged: StagedVersion, addresses: set[str], *, announced: bool
    ) -> bool:
        """Tell whether our engine may change to a version now.

        Parameters
        ----------
        own
            Address of our engine.
        addresses
            Engines of the same service.
        announced
            Whether the others have been told that our engine changes.
        """
        now_s = asyncio.get_running_loop().time()
        standings = [
            _standing(record, staged, recent=now_s - self._heard_s[address] < SWITCH_VALID_S)
            for address, record in self._records.items()
            if address in addresses and address != own
        ]
        standings.append(EngineStanding(address=own, complete=True, switching=False, done=False))
        return may_switch(own, staged.number, standings, announced=announced)

    def _take(self, record: LoadRecord, made_s: float) -> None:
        if made_s >= self._heard_s.get(record.address, 0.0):
            self._records[record.address] = record
            self._heard_s[record.address] = made_s


def _standing(record: LoadRecord, staged: StagedVersion, *, recent: bool) -> EngineStanding:
    done = any(
        served.model == staged.model
        and served.version >= staged.number
        and (served.end_layer or 0) - (served.first_layer or 0) >= staged.manifest.layers
        for served in record.models or ()
    )
    complete = record.staged_version == staged.number and (
        record.staged_pieces == staged.held.count
    )
    return EngineStanding(
        address=record.address,
        complete=complete,
        switching=bool(record.switching) and recent and not done,
        done=done,
    )


__all__ = ["EngineLoads"]
