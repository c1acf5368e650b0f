"""Tracks the load reports of other engines to decide when this stager's engine may switch."""

from __future__ import annotations

import asyncio
from collections.abc import Mapping

from leadhollow.membership.control_feed import ControlFeed
from leadhollow.staging.pieces import StagedVersion
from leadhollow.staging.switch_order import SwitchState, may_switch
from leadhollow.wire.generated.ttypes import LoadRecord

SWITCH_VALID_S = 3.0
"""Longer than any switch takes; an engine that reported one earlier was lost during it. All other
reported state holds until the engine reports something else or is gone."""


class SwitchCoordinator:
    """Keeps the newest load report of each engine and derives whose turn it is to switch."""

    __slots__ = ("_records", "_reported_s")

    def __init__(self, *, feed: ControlFeed) -> None:
        self._records: dict[str, LoadRecord] = {}
        self._reported_s: dict[str, float] = {}
        feed.on_load(self._update)

    def is_turn(
        self,
        own: str,
        staged: StagedVersion,
        failure_domains: Mapping[str, str],
        *,
        announced: bool,
        left_s: float,
    ) -> bool:
        """Return whether this stager's engine may switch to a version now.

        Parameters
        ----------
        own
            Address of this stager's engine.
        failure_domains
            Failure domain of each engine of the same service, by address.
        announced
            Whether the other stagers have been told that this engine switches.
        left_s
            Time until requests may no longer go to an engine that has not switched.
        """
        now_s = asyncio.get_running_loop().time()
        engines = [
            _switch_state(
                record,
                staged,
                failure_domain=failure_domains[address],
                recent=now_s - self._reported_s[address] < SWITCH_VALID_S,
            )
            for address, record in self._records.items()
            if address in failure_domains and address != own
        ]
        engines.append(
            SwitchState(
                address=own,
                failure_domain=failure_domains.get(own, ""),
                complete=True,
                switching=False,
                done=False,
            )
        )
        return may_switch(own, staged.number, engines, announced=announced, left_s=left_s)

    def _update(self, record: LoadRecord, made_s: float) -> None:
        if made_s >= self._reported_s.get(record.address, 0.0):
            self._records[record.address] = record
            self._reported_s[record.address] = made_s


def _switch_state(
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


__all__ = ["SwitchCoordinator"]
