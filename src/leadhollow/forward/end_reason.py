"""Reasons why a request ended without a complete response of a backend server."""

from __future__ import annotations

from enum import Enum


class EndReason(Enum):
    """Why a request ended without a complete response; every such request has one of these."""

    NOT_TAKEN = "no backend server took it"
    ENGINE_ENDED = "its backend server ended it"
    WEIGHTS_TOO_OLD = "its backend server's weights became too old before it began"
    ROUTE_TIMEOUT = "the route's timeout came"
    CALLER_DEADLINE = "its caller's deadline came"
    CALLER_LEFT = "its caller left"
    STOPPED = "this process stopped"
    QUARANTINED = "it is in quarantine"


__all__ = ["EndReason"]
