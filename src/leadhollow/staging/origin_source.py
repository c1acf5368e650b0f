"""Where pieces come from in the first place."""

from __future__ import annotations

from collections.abc import Callable

from leadhollow.http1.fetch import HttpCaller
from leadhollow.observe.logs import get_logger
from leadhollow.settings.address import Address
from leadhollow.weights.origin_dialect import OriginDialect

ORIGIN_TIMEOUT_S = 4.0  # a piece over an origin's link that all stagers share

log = get_logger("origin")


class OriginSource:
    """Reads pieces from the origin.

    Parameters
    ----------
    address
        Gives the origin's address, None while it is not known.
    """

    __slots__ = ("_address", "_dialect", "_http", "bytes_read")

    def __init__(self, *, address: Callable[[], Address | None], dialect: OriginDialect) -> None:
        self._address = address
        self._dialect = dialect
        self._http = HttpCaller()
        self.bytes_read = 0

    async def piece(self, model: str, number: int, index: int) -> bytes | None:
        """Read one piece; None where it did not come."""
        address = self._address()
        if address is None:
            return None
        target = self._dialect.piece_target(model, number, index)
        answered = await self._http.fetch("GET", address, target, timeout_s=ORIGIN_TIMEOUT_S)
        if answered.is_err():
            log.warning("piece not read", index=index, failure=str(answered.unwrap_err()))
            return None
        answer = answered.unwrap()
        self.bytes_read += len(answer.body)
        if answer.status != 200:
            log.warning("piece refused", index=index, status=answer.status)
            return None
        return answer.body


__all__ = ["OriginSource"]
