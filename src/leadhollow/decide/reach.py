"""Whether a request has any backend server in reach, and if not for which reason."""

from __future__ import annotations

from collections.abc import Iterable

from leadhollow.codes import Code
from leadhollow.decide.eligibility import Regions
from leadhollow.decide.server import Server


def reason_out_of_reach(servers: Iterable[Server], regions: Regions | None) -> Code | None:
    """Return the rule that keeps a request from all servers, or None if no rule does.

    Parameters
    ----------
    servers
        All servers of a service that take requests.
    regions
        Regions in which the request may be served; None if all may serve it.

    Returns
    -------
    Code or None
        ``DOMAIN_EVACUATED`` if the request could be served but for an evacuation;
        ``OUTSIDE_REGIONS`` if its regions have no server; None if a server is in reach, and also
        if no server is known at all and the request is bound to no region.
    """
    reason = None if regions is None else Code.OUTSIDE_REGIONS
    for server in servers:
        found = server.fixed_reason(regions)
        if found is None:
            return None
        if found is Code.DOMAIN_EVACUATED:
            reason = found
    return reason


__all__ = ["reason_out_of_reach"]
