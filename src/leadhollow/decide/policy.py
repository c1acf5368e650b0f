"""Optional parts of the behaviour of the queue, which experiments compare with their absence."""

from __future__ import annotations

import msgspec


class QueuePolicy(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """Options of one queue. Entries run with the defaults.

    Parameters
    ----------
    holds
        Whether requests of callers that will not retry are held for slots that are left over.
    uses_pressure
        Whether the margin before an objective grows with the share of recently refused requests.
    uses_room
        Whether engines with many free slots take requests whatever the pressure is.
    shares_pressure
        Whether refusals of the other entries count in the pressure.
    balances
        Whether an entry that refuses less than the others leaves engines to them.
    keeps_rests
        Whether an engine that asked this entry to back off gets none of its requests meanwhile.
    tells_rests
        Whether other entries are told of a back-off, and prefer other engines.
    """

    holds: bool = True
    uses_pressure: bool = True
    uses_room: bool = True
    shares_pressure: bool = True
    balances: bool = True
    keeps_rests: bool = True
    tells_rests: bool = True


__all__ = ["QueuePolicy"]
