"""What other engines report of themselves, as far as a stager needs it."""

from __future__ import annotations

import asyncio
from collections.abc import Mapping

from leadhollow.membership.control_feed import ControlFeed
from leadhollow.staging.pieces import StagedVersion
from leadhollow.staging.switch_order import SwitchState, may_switch
from leadhollow.wire.generated.ttypes import LoadRecord

SWITCH_VALID_S = 3.0
"""Longer than any change of weights takes; an engine that said so before was lost in it. Everything
else that an engine said of its standing holds until it says something else, or is gone."""


class SwitchCoordinator:
    """Newest report of each engine."""

    __slots__ = ("_heard_s", "_records")

    def __init__(self, *, feed: ControlFeed) -> None:
        self._records: dict[str, LoadRecord] = {}
        self._heard_s: dict[str, float] = {}
        feed.on_load(self._take)

    def is_turn(
        self,
        own: str,
        staged: StagedVersion,
        failure_domains: Mapping[str, str],
        *,
        announced: bool,
        left_s: float,
    ) -> bool:
        """Tell whether our engine may change to a version now.

        Parameters
        ----------
        own
            Address of our engine.
        domains
            Failure domain of each engine of the same service, by address.
        announced
            Whether the others have been told that our engine changes.
        left_s
            Time until requests may not go to an engine any more that has not changed.
        """
        now_s = asyncio.get_running_loop().time()
        standings = [
            _standing(
                record,
                staged,
                failure_domain=failure_domains[address],
                recent=now_s - self._heard_s[address] < SWITCH_VALID_S,
            )
            for address, record in self._records.items()
            if address in failure_domains and address != own
        ]
        standings.append(
            SwitchState(
                address=own,
                failure_domain=failure_domains.get(own, ""),
                complete=True,
                switching=False,
                done=False,
            )
        )
        return may_switch(own, staged.number, standings, announced=announced, left_s=left_s)

    def _take(self, record: LoadRecord, made_s: float) -> None:
        if made_s >= self._heard_s.get(record.address, 0.0):
            self._records[record.address] = record
            self._heard_s[record.address] = made_s


def _standing(
    record: LoadRecord, staged: StagedVersion, *, failure_domain: str, recent: bool
) -> SwitchState:
    done = any(
        served.model == staged.model
        and served.version >= staged.number
        and (served.end_layer or 0) - (served.first_layer or 0) >= staged.manifest.layers
        for served in record.models or ()
    )
    complete = record.staged_version == staged.number and (
        record.staged_pieces == staged.held.count
    )
    return SwitchState(
        address=record.address,
        failure_domain=failure_domain,
        complete=complete,
        switching=bool(record.switching) and recent and not done,
        done=done,
    )


__all__ = ["EngineLoads"]
