"""Carries out operators' orders to evacuate and to restore failure domains."""

from __future__ import annotations

import asyncio
from collections.abc import Collection

from result import Err, Ok, Result

from leadhollow.codes import Code
from leadhollow.failure import Failure, failure_from_number
from leadhollow.kernel import active_time, clocks
from leadhollow.observe.logs import get_logger
from leadhollow.state.commands import Answer, SetEvacuation
from leadhollow.state.gateway import LeaderGateway
from leadhollow.state.replica import Replica

STALL_WINDOW_S = 2.0
MAX_STALL_S = 1.0
"""Time for which this process may have been stalled in the last ``STALL_WINDOW_S`` when it reads an
order. A longer stall may have held the order back until its operator, whose client tries another
replica after this time, got an acknowledgement there and gave the opposite order."""

log = get_logger("operators")


class EvacuationOrders:
    """Proposes orders to the leader, whichever replica received them.

    Parameters
    ----------
    domains
        All failure domains of the deployment; empty if they are not known.
    """

    __slots__ = ("_domains", "_gateway", "_replica")

    def __init__(
        self, *, replica: Replica, gateway: LeaderGateway, domains: Collection[str] = ()
    ) -> None:
        self._replica = replica
        self._gateway = gateway
        self._domains = frozenset(domains)

    @property
    def domains(self) -> frozenset[str]:
        """All failure domains of the deployment; empty if they are not known."""
        return self._domains

    async def execute(
        self, domain: str, *, evacuated: bool, timeout_s: float
    ) -> Result[int, Failure]:
        """Evacuate or restore a failure domain.

        Returns
        -------
        int
            Revision at which the failure domain got this state; 0 if it never had another.

        Errors
        ------
        DOMAIN_UNKNOWN
            The deployment has no such failure domain.
        ORDER_OVERTAKEN
            The order may be older than an opposite one; nothing was changed.
        EDIT_UNKNOWN, NO_MAJORITY
            It was not committed in time.
        """
        command = SetEvacuation(
            domain=domain,
            evacuated=evacuated,
            seen_revision=self._replica.machine.catalog.revision,
            received_ms=clocks.wall_ns() // 1_000_000,
        )
        accepted = await self._propose(command, timeout_s)
        what = f"{'evacuation' if evacuated else 'restoration'} of {domain}"
        if accepted.is_err():
            log.warning("order not acknowledged", what=what, failure=str(accepted.unwrap_err()))
        else:
            log.info("order acknowledged", what=what, number=accepted.unwrap())
        return accepted

    async def _propose(self, command: SetEvacuation, timeout_s: float) -> Result[int, Failure]:
        rejected = self._check(command.domain)
        if rejected is not None:
            return Err(rejected)
        proposed = await self._gateway.propose(command, timeout_s=timeout_s)
        if proposed.is_err():
            return Err(proposed.unwrap_err())
        answer = proposed.unwrap()
        assert isinstance(answer, Answer)
        if answer.code:
            return Err(failure_from_number(answer.code, answer.detail))
        return Ok(answer.revision)

    def _check(self, domain: str) -> Failure | None:
        if self._domains and domain not in self._domains:
            known = ", ".join(sorted(self._domains))
            detail = f"failure domain: {domain!r} is none of {known}"
            return Failure(code=Code.DOMAIN_UNKNOWN, detail=detail)
        now_s = asyncio.get_running_loop().time()
        stalled_s = STALL_WINDOW_S - active_time.active_since_s(now_s - STALL_WINDOW_S)
        if stalled_s > MAX_STALL_S:
            detail = f"this replica was stalled for {stalled_s:.1f} s; send the order again"
            return Failure(code=Code.ORDER_OVERTAKEN, detail=detail)
        return None


__all__ = ["EvacuationOrders"]
