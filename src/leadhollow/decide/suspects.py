"""Finds what makes servers end, by merging what all entries have observed.

A server that ends takes all its requests with it, and each of them, or a part of its prompt, may
have been the cause. The table records by fingerprint what ran where. What succeeds anywhere is
cleared. What was present when three servers ended is put in quarantine and is not sent to any
server again. Records can be merged in any order and any number of times.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Callable
from zlib import crc32

from leadhollow.decide.quarantine_rules import SETTLE_S, find_culprits
from leadhollow.decide.server_ends import ServerEnd, Verdict

MAX_ENDS = 256
MAX_SUSPECTS_PER_END = 256  # the batch of an engine has 64 requests at most
MAX_VERDICTS = 1_024
"""Bounds of memory, about 200 kB together. Beyond them the oldest records are dropped first."""

END_VALID_S = 600.0
"""Age at which an end is forgotten. A suspect that is repeated less often than this ends one server
each time and is never put in quarantine."""


class SuspectTable:
    """Servers that ended, what ran there, and quarantine verdicts.

    Parameters
    ----------
    clock
        Returns the loop time.
    """

    __slots__ = ("_checksum", "_clock", "_ends", "_lives_by_suspect", "_verdicts")

    def __init__(self, *, clock: Callable[[], float]) -> None:
        self._clock = clock
        self._ends: OrderedDict[str, ServerEnd] = OrderedDict()
        self._lives_by_suspect: dict[bytes, set[str]] = {}
        self._verdicts: OrderedDict[bytes, Verdict] = OrderedDict()
        self._checksum: int | None = None  # None after a change

    @property
    def empty(self) -> bool:
        """Whether the table has no records."""
        return not self._ends and not self._verdicts

    def ends(self) -> list[ServerEnd]:
        """Return all ends, the oldest first."""
        return list(self._ends.values())

    def end(self, life: str) -> ServerEnd | None:
        """Return the end of a life, or None."""
        return self._ends.get(life)

    def verdicts(self) -> list[Verdict]:
        """Return all verdicts, including those on released suspects."""
        return list(self._verdicts.values())

    def verdict(self, fingerprint: bytes) -> Verdict | None:
        """Return the verdict on a suspect, or None."""
        return self._verdicts.get(fingerprint)

    def is_quarantined(self, fingerprint: bytes) -> bool:
        """Tell whether a suspect is in quarantine."""
        found = self._verdicts.get(fingerprint)
        return found is not None and not found.released

    def suspected_lives(self, fingerprint: bytes) -> set[str]:
        """Return the lives that a suspect may have ended."""
        return set(self._lives_by_suspect.get(fingerprint, ()))

    def is_suspected(self, fingerprint: bytes) -> bool:
        """Tell whether a suspect may have ended any life."""
        return fingerprint in self._lives_by_suspect

    def merge_end(self, update: ServerEnd) -> bool:
        """Merge a record of an end and tell whether it contained anything new."""
        if self._clock() - update.happened_s > END_VALID_S:
            return False
        known = self._ends.get(update.life)
        if known is None:
            known = ServerEnd(life=update.life, happened_s=update.happened_s)
            self._ends[update.life] = known
            self._enforce_bounds()
        self._checksum = None
        room = max(0, MAX_SUSPECTS_PER_END - len(known.ran))
        ran = set(sorted(update.ran - known.ran)[:room])
        cleared = (update.cleared & (known.ran | ran)) - known.cleared
        revived = update.alive and not known.alive
        known.ran |= ran
        known.cleared |= cleared
        known.alive |= update.alive
        suspects = known.suspects
        for fingerprint in known.ran if revived else ran | cleared:
            if fingerprint in suspects:
                self._lives_by_suspect.setdefault(fingerprint, set()).add(update.life)
            else:
                self._drop_suspicion(fingerprint, update.life)
        if revived:
            self._release_all(update.life)
        return bool(ran or cleared or revived)

    def merge_verdict(self, update: Verdict) -> bool:
        """Merge a verdict and tell whether it was new."""
        known = self._verdicts.get(update.fingerprint)
        if known is not None and known.order >= update.order:
            return False
        self._checksum = None
        self._verdicts[update.fingerprint] = update
        self._verdicts.move_to_end(update.fingerprint)
        self._enforce_bounds()
        if not update.released and any(
            self._is_cleared(update.fingerprint, at) for at in update.lives
        ):
            self._release(update)
        return True

    def clear(self, fingerprint: bytes) -> set[str]:
        """Clear a suspect that has succeeded of all ends, and return the lives concerned."""
        lives = self.suspected_lives(fingerprint)
        self._checksum = None
        for life in lives:
            self._ends[life].cleared.add(fingerprint)
            self._drop_suspicion(fingerprint, life)
        return lives

    def mark_alive(self, life: str) -> bool:
        """Record that a server has responded after its supposed end; tell whether this is new."""
        known = self._ends.get(life)
        if known is None or known.alive:
            return False
        return self.merge_end(ServerEnd(life=life, alive=True, happened_s=known.happened_s))

    def release(self, fingerprint: bytes) -> Verdict | None:
        """Release a suspect from quarantine; return None if it is not in quarantine."""
        known = self._verdicts.get(fingerprint)
        if known is None or known.released:
            return None
        self.clear(fingerprint)
        return self._release(known)

    def update_quarantine(self) -> list[Verdict]:
        """Put suspects in quarantine by the current evidence, and return the new verdicts."""
        made: list[Verdict] = []
        while found := find_culprits(
            self._ends.values(), is_quarantined=self.is_quarantined, now_s=self._clock()
        ):
            made += [self._quarantine(fingerprint, ends) for fingerprint, ends in found]
        return made

    def expire(self) -> None:
        """Drop ends that are too old to count."""
        oldest_s = self._clock() - END_VALID_S
        for end in self.ends():
            if end.happened_s < oldest_s:
                self._drop_end(end.life)

    def checksum(self) -> int:
        """Return a number that is equal for equal tables; 0 if it cannot be compared."""
        if self._checksum is None:
            self._checksum = self._compute_checksum()
        return self._checksum

    def settle_time_left_s(self) -> float:
        """Return the time until the newest end may be evaluated; 0 if all may."""
        newest_s = max((end.happened_s for end in self._ends.values()), default=float("-inf"))
        return max(0.0, newest_s + SETTLE_S - self._clock())

    def _compute_checksum(self) -> int:
        if self.empty or len(self._ends) >= MAX_ENDS or len(self._verdicts) >= MAX_VERDICTS:
            return 0
        total = 0
        for end in self._ends.values():
            known = b"".join([*sorted(end.ran), b"/", *sorted(end.cleared), b"%d" % end.alive])
            total ^= crc32(end.life.encode() + known)
        for verdict in self._verdicts.values():
            total ^= crc32(verdict.fingerprint + repr(verdict.order).encode())
        return total or 1

    def _quarantine(self, fingerprint: bytes, ends: list[ServerEnd]) -> Verdict:
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

    def _is_cleared(self, fingerprint: bytes, life: str) -> bool:
        end = self._ends.get(life)
        return end is not None and (end.alive or fingerprint in end.cleared)

    def _drop_suspicion(self, fingerprint: bytes, life: str) -> None:
        """Record that an end no longer counts against a suspect."""
        lives = self._lives_by_suspect.get(fingerprint)
        if lives is not None:
            lives.discard(life)
            if not lives:
                del self._lives_by_suspect[fingerprint]
        verdict = self._verdicts.get(fingerprint)
        if verdict is None or verdict.released or life not in verdict.lives:
            return
        self._release(verdict)

    def _release_all(self, life: str) -> None:
        """Release all suspects whose verdict is based on an end that was none."""
        for verdict in self.verdicts():
            if life in verdict.lives and not verdict.released:
                self._release(verdict)

    def _release(self, verdict: Verdict) -> Verdict:
        released = Verdict(
            fingerprint=verdict.fingerprint,
            number=verdict.number,
            released=True,
            lives=verdict.lives,
            since_s=self._clock(),
        )
        self.merge_verdict(released)
        return released

    def _enforce_bounds(self) -> None:
        while len(self._ends) > MAX_ENDS:
            self._drop_end(next(iter(self._ends)))
        while len(self._verdicts) > MAX_VERDICTS:
            self._verdicts.popitem(last=False)
            self._checksum = None

    def _drop_end(self, life: str) -> None:
        self._checksum = None
        for fingerprint in self._ends.pop(life).ran:
            lives = self._lives_by_suspect.get(fingerprint)
            if lives is not None:
                lives.discard(life)
                if not lives:
                    del self._lives_by_suspect[fingerprint]


__all__ = ["END_VALID_S", "MAX_ENDS", "MAX_SUSPECTS_PER_END", "MAX_VERDICTS", "SuspectTable"]
