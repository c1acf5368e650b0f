"""Which requests end the servers that run them, by what all entries have seen together.

A server that ends takes all with it that it runs, and every one of these may have been the cause.
What is kept is who ran where; a request that ends well anywhere is cleared, and one that was there
when three servers ended is in quarantine: it is sent to no server any more. All that is known may
be merged in any order, any number of times.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Callable
from zlib import crc32

from leadhollow.decide.quarantine_rules import SETTLE_S, find_cause
from leadhollow.decide.server_ends import ServerEnd, Verdict

ENDS_KEPT = 256
MAX_REQUESTS_PER_END = 256  # requests of one end; a batch of an engine has 64 at most
VERDICTS_KEPT = 1_024
"""Bounds of memory, some 200 kB together; beyond them the oldest is forgotten first."""

END_VALID_S = 600.0
"""A request that comes again more rarely than that ends one server each time, for good."""


class SuspectTable:
    """All that is known of servers that ended and of the requests that ran there.

    Parameters
    ----------
    clock
        Gives the loop time.
    """

    __slots__ = ("_clock", "_ends", "_ends_of", "_mark", "_verdicts")

    def __init__(self, *, clock: Callable[[], float]) -> None:
        self._clock = clock
        self._ends: OrderedDict[str, ServerEnd] = OrderedDict()
        self._ends_of: dict[bytes, set[str]] = {}
        self._verdicts: OrderedDict[bytes, Verdict] = OrderedDict()
        self._mark: int | None = None  # of what is known; None since something changed

    @property
    def empty(self) -> bool:
        """Whether nothing is known of any request."""
        return not self._ends and not self._verdicts

    def ends(self) -> list[ServerEnd]:
        """Give all ends, the oldest first."""
        return list(self._ends.values())

    def end(self, life: str) -> ServerEnd | None:
        """Find an end."""
        return self._ends.get(life)

    def verdicts(self) -> list[Verdict]:
        """Give all verdicts, those on released requests included."""
        return list(self._verdicts.values())

    def verdict(self, fingerprint: bytes) -> Verdict | None:
        """Find the verdict on a request."""
        return self._verdicts.get(fingerprint)

    def is_quarantined(self, fingerprint: bytes) -> bool:
        """Tell whether a request is in quarantine."""
        found = self._verdicts.get(fingerprint)
        return found is not None and not found.released

    def suspected_lives(self, fingerprint: bytes) -> set[str]:
        """Give the lives that ended under a request that has not been cleared of them."""
        return set(self._ends_of.get(fingerprint, ()))

    def merge_end(self, heard: ServerEnd) -> bool:
        """Merge what is said of an end; tells whether it says anything new."""
        if self._clock() - heard.happened_s > END_VALID_S:
            return False
        known = self._ends.get(heard.life)
        if known is None:
            known = ServerEnd(life=heard.life, happened_s=heard.happened_s)
            self._ends[heard.life] = known
            self._forget_beyond_bounds()
        self._mark = None
        room = max(0, MAX_REQUESTS_PER_END - len(known.ran))
        ran = set(sorted(heard.ran - known.ran)[:room])
        cleared = (heard.cleared & (known.ran | ran)) - known.cleared
        revived = heard.alive and not known.alive
        known.ran |= ran
        known.cleared |= cleared
        known.alive |= heard.alive
        suspects = known.suspects
        for fingerprint in known.ran if revived else ran | cleared:
            if fingerprint in suspects:
                self._ends_of.setdefault(fingerprint, set()).add(heard.life)
            else:
                self._take_back(fingerprint, heard.life)
        if revived:
            self._let_go_all(heard.life)
        return bool(ran or cleared or revived)

    def merge_verdict(self, heard: Verdict) -> bool:
        """Merge a verdict; tells whether it is news."""
        known = self._verdicts.get(heard.fingerprint)
        if known is not None and known.order >= heard.order:
            return False
        self._mark = None
        self._verdicts[heard.fingerprint] = heard
        self._verdicts.move_to_end(heard.fingerprint)
        self._forget_beyond_bounds()
        if not heard.released and any(self._cleared(heard.fingerprint, at) for at in heard.lives):
            self._let_go(heard)
        return True

    def clear(self, fingerprint: bytes) -> set[str]:
        """Take a request's good end for proof that it ended no server; gives the lives."""
        lives = self.suspected_lives(fingerprint)
        self._mark = None
        for life in lives:
            self._ends[life].cleared.add(fingerprint)
            self._take_back(fingerprint, life)
        return lives

    def mark_alive(self, life: str) -> bool:
        """Take an answer of a server for proof that it lives; tells whether that is news."""
        known = self._ends.get(life)
        if known is None or known.alive:
            return False
        return self.merge_end(ServerEnd(life=life, alive=True, happened_s=known.happened_s))

    def release(self, fingerprint: bytes) -> Verdict | None:
        """Let a request go; None where it is not in quarantine."""
        known = self._verdicts.get(fingerprint)
        if known is None or known.released:
            return None
        self.clear(fingerprint)
        return self._let_go(known)

    def update_quarantine(self) -> list[Verdict]:
        """Put in quarantine whoever is to be, and give the verdicts."""
        made: list[Verdict] = []
        while found := find_cause(
            self._ends.values(), holds=self.is_quarantined, now_s=self._clock()
        ):
            made += [self._put_in_quarantine(fingerprint, ends) for fingerprint, ends in found]
        return made

    def expire(self) -> None:
        """Forget ends that say nothing any more."""
        oldest_s = self._clock() - END_VALID_S
        for end in self.ends():
            if end.happened_s < oldest_s:
                self._forget_end(end.life)

    def checksum(self) -> int:
        """Give a number that two tables share where they say the same; 0 where that is unknown."""
        if self._mark is None:
            self._mark = self._make_mark()
        return self._mark

    def settle_time_left_s(self) -> float:
        """Give the time until the newest end may be judged; 0 where all may."""
        newest_s = max((end.happened_s for end in self._ends.values()), default=float("-inf"))
        return max(0.0, newest_s + SETTLE_S - self._clock())

    def _make_mark(self) -> int:
        if self.empty or len(self._ends) >= ENDS_KEPT or len(self._verdicts) >= VERDICTS_KEPT:
            return 0
        total = 0
        for end in self._ends.values():
            known = b"".join([*sorted(end.ran), b"/", *sorted(end.cleared), b"%d" % end.alive])
            total ^= crc32(end.life.encode() + known)
        for verdict in self._verdicts.values():
            total ^= crc32(verdict.fingerprint + repr(verdict.order).encode())
        return total or 1

    def _put_in_quarantine(self, fingerprint: bytes, ends: list[ServerEnd]) -> Verdict:
        known = self._verdicts.get(fingerprint)
        verdict = Verdict(
            fingerprint=fingerprint,
            number=1 if known is None else known.number + 1,
            released=False,
            lives=tuple(sorted(end.life for end in ends)),
            since_s=self._clock(),
        )
        self.merge_verdict(verdict)
        return verdict

    def _cleared(self, fingerprint: bytes, life: str) -> bool:
        end = self._ends.get(life)
        return end is not None and (end.alive or fingerprint in end.cleared)

    def _take_back(self, fingerprint: bytes, life: str) -> None:
        """Note that an end does not speak against a request any more."""
        lives = self._ends_of.get(fingerprint)
        if lives is not None:
            lives.discard(life)
            if not lives:
                del self._ends_of[fingerprint]
        verdict = self._verdicts.get(fingerprint)
        if verdict is None or verdict.released or life not in verdict.lives:
            return
        self._let_go(verdict)

    def _let_go_all(self, life: str) -> None:
        """Let go all that were judged by an end that was none."""
        for verdict in self.verdicts():
            if life in verdict.lives and not verdict.released:
                self._let_go(verdict)

    def _let_go(self, verdict: Verdict) -> Verdict:
        released = Verdict(
            fingerprint=verdict.fingerprint,
            number=verdict.number,
            released=True,
            lives=verdict.lives,
            since_s=self._clock(),
        )
        self.merge_verdict(released)
        return released

    def _forget_beyond_bounds(self) -> None:
        while len(self._ends) > ENDS_KEPT:
            self._forget_end(next(iter(self._ends)))
        while len(self._verdicts) > VERDICTS_KEPT:
            self._verdicts.popitem(last=False)
            self._mark = None

    def _forget_end(self, life: str) -> None:
        self._mark = None
        for fingerprint in self._ends.pop(life).ran:
            lives = self._ends_of.get(fingerprint)
            if lives is not None:
                lives.discard(life)
                if not lives:
                    del self._ends_of[fingerprint]


__all__ = ["ENDS_KEPT", "END_VALID_S", "RAN_KEPT", "VERDICTS_KEPT", "SuspectTable"]
