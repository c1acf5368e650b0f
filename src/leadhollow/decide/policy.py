"""What of the queue's behaviour may be chosen, so that it can be measured against its absence."""

from __future__ import annotations

import msgspec


class QueuePolicy(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """Choices of one queue; the defaults are what entries run.

    Parameters
    ----------
    holds
        Whether callers that come no more are kept for room that is left over.
    uses_pressure
        Whether the margin before an objective grows with the share of requests refused lately.
    uses_room
        Whether engines with many free places take requests whatever the pressure is.
    shares_pressure
        Whether what the other entries refused counts in it.
    balances
        Whether an entry that refuses less than the others leaves engines to them.
    keeps_rests
        Whether an engine that asked this entry for rest gets none of its requests meanwhile.
    tells_rests
        Whether other entries are told of it, and prefer other engines.
    """

    holds: bool = True
    uses_pressure: bool = True
    uses_room: bool = True
    shares_pressure: bool = True
    balances: bool = True
    keeps_rests: bool = True
    tells_rests: bool = True


__all__ = ["QueuePolicy"]
