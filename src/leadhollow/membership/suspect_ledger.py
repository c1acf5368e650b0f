"""What one entry knows of ended servers and suspects, and which of it others have not been told."""

from __future__ import annotations

from collections.abc import Callable, Iterable

from result import Err, Ok, Result

from leadhollow.decide.fingerprints import kind_of, short_fingerprint
from leadhollow.decide.recent_successes import RecentSuccesses
from leadhollow.decide.server_ends import ServerEnd
from leadhollow.decide.suspects import SuspectTable
from leadhollow.failure import Failure
from leadhollow.membership.suspect_news import SuspectChanges, merge_news
from leadhollow.observe.logs import get_logger
from leadhollow.wire.generated.ttypes import SuspectNews

log = get_logger("quarantine")


class SuspectLedger:
    """Suspect table of an entry, the recent successes by which it clears, and unsent changes.

    Parameters
    ----------
    clock
        Returns the loop time.
    on_change
        Called when there is a change that others have to be told.

    Attributes
    ----------
    unsent
        Changes that were made here and not sent yet.
    """

    __slots__ = ("_clock", "_on_change", "successes", "table", "unsent")

    def __init__(self, *, clock: Callable[[], float], on_change: Callable[[], None]) -> None:
        self._clock = clock
        self._on_change = on_change
        self.table = SuspectTable(clock=clock)
        self.successes = RecentSuccesses()
        self.unsent = SuspectChanges()

    def record_end(self, end: ServerEnd) -> bool:
        """Record an end that this entry has noticed, and tell whether it was new."""
        if not self.table.merge_end(end):
            return False
        self.unsent.lives.add(end.life)
        self._on_change()
        return True

    def record_success(self, life: str, traits: Iterable[bytes]) -> bool:
        """Record the traits of a request that a server has survived.

        Returns
        -------
        bool
            Whether this revokes an end of that server.
        """
        now_s = self._clock()
        for trait in traits:
            self.successes.add(trait, now_s)
            if self.table.is_suspected(trait):
                self._clear(trait)
        if not self.table.mark_alive(life):
            return False
        self.unsent.lives.add(life)
        self._on_change()
        return True

    def decide(self) -> set[bytes]:
        """Put suspects in quarantine by what is known here; return their fingerprints."""
        quarantined = {verdict.fingerprint for verdict in self.table.update_quarantine()}
        self.unsent.fingerprints |= quarantined
        return quarantined

    def merge(self, update: SuspectNews) -> Result[set[bytes], Failure]:
        """Merge what others know, and clear suspects that succeeded here.

        Returns
        -------
        Result
            Fingerprints with a new verdict.

        Errors
        ------
        FRAME_MALFORMED
            Nothing was merged.
        """
        now_s = self._clock()
        merged = merge_news(self.table, update, now_s)
        if merged.is_err():
            log.warning("suspect update rejected", failure=str(merged.unwrap_err()))
            return Err(merged.unwrap_err())
        changed = merged.unwrap()
        for life in changed.lives:
            end = self.table.end(life)
            for fingerprint in () if end is None else end.suspects:
                if self.successes.contains(fingerprint, now_s):
                    self._clear(fingerprint)
        return Ok(changed.fingerprints)

    def _clear(self, fingerprint: bytes) -> None:
        lives = self.table.clear(fingerprint)
        log.info(
            "request cleared",
            fingerprint=short_fingerprint(fingerprint),
            kind=kind_of(fingerprint).value,
            ends=len(lives),
        )
        self.unsent.lives |= lives
        self._on_change()


__all__ = ["SuspectLedger"]
