"""Peers that asked for patience (429 or 503 with Retry-After), and until when they get nothing."""

from __future__ import annotations

from http import HTTPStatus

from leadhollow.http1.decimal_fields import parse_decimal
from leadhollow.http1.messages import ResponseHead
from leadhollow.kernel import clocks
from leadhollow.observe.logs import get_logger
from leadhollow.settings.address import Address

RETRY_AFTER = b"retry-after"
BACKOFF_STATUSES = (HTTPStatus.TOO_MANY_REQUESTS, HTTPStatus.SERVICE_UNAVAILABLE)

log = get_logger("peer")


class PeerBackoffs:
    """Rests by address; the latest end holds, and suspensions count."""

    __slots__ = ("_until_s",)

    def __init__(self) -> None:
        self._until_s: dict[str, float] = {}

    def record_response(self, address: Address, head: ResponseHead) -> None:
        """Take what an answer asks for; a value that is no number of seconds asks for nothing."""
        if head.status not in BACKOFF_STATUSES:
            return
        rest_s = parse_decimal(head.headers.get_all(RETRY_AFTER))
        if not rest_s:
            return
        log.info("peer wants rest", address=str(address), status=head.status, rest_s=rest_s)
        until_s = clocks.elapsed_s() + rest_s
        self._until_s[str(address)] = max(until_s, self._until_s.get(str(address), until_s))

    def remaining_s(self, address: Address) -> float:
        """Give the time for which an address gets nothing."""
        until_s = self._until_s.get(str(address))
        if until_s is None:
            return 0.0
        left_s = until_s - clocks.elapsed_s()
        if left_s > 0:
            return left_s
        del self._until_s[str(address)]
        return 0.0

    def forget(self, address: Address) -> None:
        """Note that another process has the address."""
        self._until_s.pop(str(address), None)


__all__ = ["PeerRests"]
