"""Back-offs that peers asked for with a status of 429 or 503 and a Retry-After field."""

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
    """Ends of back-offs by address.

    A new back-off never shortens an earlier one. Time in which the machine is suspended counts.
    """

    __slots__ = ("_until_s",)

    def __init__(self) -> None:
        self._until_s: dict[str, float] = {}

    def record_response(self, address: Address, head: ResponseHead) -> None:
        """Start a back-off if the response asks for one.

        A Retry-After value that is not a number of seconds is ignored.
        """
        if head.status not in BACKOFF_STATUSES:
            return
        backoff_s = parse_decimal(head.headers.get_all(RETRY_AFTER))
        if not backoff_s:
            return
        log.info("peer wants rest", address=str(address), status=head.status, rest_s=backoff_s)
        until_s = clocks.elapsed_s() + backoff_s
        self._until_s[str(address)] = max(until_s, self._until_s.get(str(address), until_s))

    def remaining_s(self, address: Address) -> float:
        """Return the remaining time of the back-off of an address, or 0."""
        until_s = self._until_s.get(str(address))
        if until_s is None:
            return 0.0
        remaining_s = until_s - clocks.elapsed_s()
        if remaining_s > 0:
            return remaining_s
        del self._until_s[str(address)]
        return 0.0

    def forget(self, address: Address) -> None:
        """Remove the back-off of an address, because another process has the address now."""
        self._until_s.pop(str(address), None)


__all__ = ["PeerBackoffs"]
