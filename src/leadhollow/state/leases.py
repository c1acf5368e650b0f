"""Leases granted by the state leader, such as the lease to place models in a failure domain.

A lease is acquired through the replicated log; a renewal only updates the leader's memory.
"""

from __future__ import annotations

from result import Err, Ok, Result

from leadhollow.codes import Code
from leadhollow.failure import Failure
from leadhollow.kernel import clocks
from leadhollow.observe.logs import log_decision
from leadhollow.state.commands import TakeLease
from leadhollow.state.records import LeaseRecord
from leadhollow.state.replica import Replica

CLOCK_DRIFT = 1.05  # ratio by which the clock of one VM may run faster than another's


class LeaseManager:
    """Grants and renews leases while this replica leads.

    A renewal writes no log entry. A new leader does not know when leases were last renewed, so it
    waits the full duration of a lease after its election before it grants the lease to another
    holder.

    Parameters
    ----------
    ttl_ms
        Duration of the leases that are granted.
    """

    __slots__ = ("_renewed_s", "_replica", "_ttl_ms")

    def __init__(self, *, replica: Replica, ttl_ms: int) -> None:
        self._replica = replica
        self._ttl_ms = ttl_ms
        self._renewed_s: dict[str, float] = {}

    async def renew_or_acquire(
        self, *, name: str, holder: str, fence: int
    ) -> Result[LeaseRecord, Failure]:
        """Renew a lease that its holder names by its fence, or try to acquire it.

        Parameters
        ----------
        fence
            Fencing number of the lease to renew; 0 to acquire it.

        Errors
        ------
        NOT_LEADER
            This replica does not lead.
        LEASE_HELD
            Another VM holds the lease or may still assume that it does.
        """
        if not self._replica.ready():
            return Err(Failure(code=Code.NOT_LEADER))
        record = self._replica.machine.catalog.lease(name)
        now_s = clocks.elapsed_s()
        if record is not None and record.holder == holder and record.fence == fence:
            self._renewed_s[name] = now_s
            return Ok(record)
        if record is not None and record.holder != holder:
            free_at_s = self._held_since_s(name) + record.ttl_ms / 1000 * CLOCK_DRIFT
            if now_s < free_at_s:
                return Err(Failure(code=Code.LEASE_HELD, detail=f"{name} is held"))
        return await self._acquire(name, holder, 0 if record is None else record.fence)

    def _held_since_s(self, name: str) -> float:
        since_s = self._replica.leader_since_s
        return max(since_s, self._renewed_s.get(name, since_s))

    async def _acquire(
        self, name: str, holder: str, replaced_fence: int
    ) -> Result[LeaseRecord, Failure]:
        command = TakeLease(
            name=name, holder=holder, ttl_ms=self._ttl_ms, replaced_fence=replaced_fence
        )
        applied = await self._replica.propose(command)
        if applied.is_err():
            return Err(applied.unwrap_err())
        record = self._replica.machine.catalog.lease(name)
        if record is None or record.fence != applied.unwrap().index:
            return Err(Failure(code=Code.LEASE_HELD, detail=f"{name} was taken meanwhile"))
        self._renewed_s[name] = clocks.elapsed_s()
        log_decision("lease given", lease=name, holder=holder, fence=record.fence)
        return Ok(record)


__all__ = ["LeaseManager"]
