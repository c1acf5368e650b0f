"""Keeps quarantined requests and prompt parts away from all servers and aborts their calls."""

from __future__ import annotations

import asyncio
from collections.abc import Iterable, Iterator
from contextlib import contextmanager

from leadhollow.decide.fingerprints import FingerprintKind, kind_of, short_fingerprint
from leadhollow.decide.quarantine_rules import VERDICT_DELAY_S
from leadhollow.decide.quarantine_trials import QuarantineTrials
from leadhollow.decide.suspects import SuspectTable
from leadhollow.forward.call import ForwardedCall
from leadhollow.kernel.active_time import active_sleep
from leadhollow.observe.logs import get_logger

LIVES_TO_DELAY = 1
"""Servers that a trait of a call may have ended, besides the last, from which a retry is delayed.
The last one is not reported yet when the retry is due."""

log = get_logger("quarantine")


class Quarantine:
    """Applies the quarantine at one entry.

    Parameters
    ----------
    table
        Suspects and verdicts that all entries share.
    trials
        Decides which calls are sent all the same, to find out whether a verdict was wrong.
    """

    __slots__ = ("_running", "_trials", "table")

    def __init__(self, *, table: SuspectTable, trials: QuarantineTrials) -> None:
        self.table = table
        self._trials = trials
        self._running: dict[bytes, dict[ForwardedCall, asyncio.Timeout]] = {}

    def is_quarantined(self, call: ForwardedCall) -> bool:
        """Return whether a request must not be sent; a trial may be sent once."""
        if call.is_trial and not call.sends:
            return False
        return any(map(self.table.is_quarantined, call.traits))

    def admits(self, call: ForwardedCall) -> bool:
        """Return whether a new call may be forwarded, as it is in no quarantine or is a trial."""
        held = [trait for trait in call.traits if self.table.is_quarantined(trait)]
        if not held:
            return True
        call.is_trial = self._trials.may_send(held)
        if call.is_trial:
            log.warning(
                "request in quarantine sent as a trial",
                request=call.request_id,
                fingerprint=short_fingerprint(held[0]),
            )
        return call.is_trial

    async def wait_for_verdict(self, call: ForwardedCall) -> None:
        """Delay another send of a call that may have ended servers before its last one.

        Without the delay, the retry of a call leaves right after its server ended, before a replica
        can decide. Innocent calls with a suspect trait are delayed too.
        """
        if call.sends and self._most_lives(call) >= LIVES_TO_DELAY:
            await active_sleep(VERDICT_DELAY_S)

    def _most_lives(self, call: ForwardedCall) -> int:
        """Return the highest number of servers that one trait of a call may have ended."""
        return max(len(self.table.suspected_lives(trait)) for trait in call.traits)

    @contextmanager
    def track(self, call: ForwardedCall, limit: asyncio.Timeout) -> Iterator[None]:
        """Abort a call within this context if it is put into quarantine.

        Parameters
        ----------
        limit
            Timeout of the call; it is rescheduled to now to abort the call.
        """
        for trait in call.traits:
            self._running.setdefault(trait, {})[call] = limit
        try:
            yield
        finally:
            for trait in call.traits:
                calls = self._running[trait]
                del calls[call]
                if not calls:
                    del self._running[trait]

    def abort_calls(self, fingerprints: Iterable[bytes]) -> None:
        """Abort the running calls that a new verdict put into quarantine.

        This saves servers that have not begun to run the request, because they still read or queue
        it. That is most of the time between sending a request and the server end that it causes. An
        answer that has begun goes on if only a part was put into quarantine: a server ends as it
        begins to answer a crashing part, so what goes on may prove that the verdict was wrong.
        """
        now_s = asyncio.get_running_loop().time()
        for fingerprint in fingerprints:
            if not self.table.is_quarantined(fingerprint):
                continue
            spares_begun = kind_of(fingerprint) is FingerprintKind.PART
            aborted = [
                limit
                for call, limit in self._running.get(fingerprint, {}).items()
                if not (spares_begun and call.reply.started)
            ]
            log.warning(
                "request in quarantine",
                fingerprint=short_fingerprint(fingerprint),
                kind=kind_of(fingerprint).value,
                aborted=len(aborted),
            )
            for limit in aborted:
                if not limit.expired():
                    limit.reschedule(now_s)


__all__ = ["Quarantine"]
