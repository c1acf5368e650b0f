"""Requests that are sent to no server any more, and the calls of them that run here."""

from __future__ import annotations

import asyncio
from collections.abc import Iterable, Iterator
from contextlib import contextmanager

from leadhollow.decide.quarantine_rules import ENDS_TO_QUARANTINE
from leadhollow.decide.suspects import SuspectTable
from leadhollow.forward.call import ForwardedCall
from leadhollow.forward.fingerprint import short_fingerprint
from leadhollow.kernel.active_time import active_sleep
from leadhollow.observe.logs import get_logger

VERDICT_S = 0.13
"""From the end of a server to the verdict at an entry: 40 ms until all entries know that it ended,
65 until a replica judges, and the news."""

log = get_logger("quarantine")


class Quarantine:
    """What an entry does about requests in quarantine.

    Parameters
    ----------
    table
        What all entries together know.
    """

    __slots__ = ("_running", "table")

    def __init__(self, *, table: SuspectTable) -> None:
        self.table = table
        self._running: dict[bytes, dict[ForwardedCall, asyncio.Timeout]] = {}

    def is_quarantined(self, call: ForwardedCall) -> bool:
        """Tell whether a request must not be sent."""
        return self.table.is_quarantined(call.fingerprint)

    async def wait_for_verdict(self, call: ForwardedCall) -> None:
        """Let a call wait that may have ended its third server just now, before it is sent again.

        Without it the second send of a call leaves in the moment after the first server has ended,
        before anybody can judge. Who rode along waits too, as far as two ends speak against it.
        """
        if (
            call.sends
            and len(self.table.suspected_lives(call.fingerprint)) + 1 >= ENDS_TO_QUARANTINE
        ):
            await active_sleep(VERDICT_S)

    @contextmanager
    def track(self, call: ForwardedCall, limit: asyncio.Timeout) -> Iterator[None]:
        """Keep a call among those that are broken off once their request is in quarantine.

        Parameters
        ----------
        limit
            Of the call; it is brought forward to end it.
        """
        calls = self._running.setdefault(call.fingerprint, {})
        calls[call] = limit
        try:
            yield
        finally:
            del calls[call]
            if not calls:
                self._running.pop(call.fingerprint, None)

    def abort_calls(self, fingerprints: Iterable[bytes]) -> None:
        """Break off what runs of requests in quarantine.

        A server that has not begun to run it yet, because it still reads or waits, goes on: that
        is most of the time between sending a request and the end of the server.
        """
        now_s = asyncio.get_running_loop().time()
        for fingerprint in fingerprints:
            if not self.table.is_quarantined(fingerprint):
                continue
            calls = self._running.get(fingerprint, {})
            log.warning(
                "request in quarantine",
                fingerprint=short_fingerprint(fingerprint),
                running=len(calls),
            )
            for limit in calls.values():
                if not limit.expired():
                    limit.reschedule(now_s)


__all__ = ["Quarantine"]
