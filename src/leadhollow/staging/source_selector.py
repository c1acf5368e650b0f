"""Whom to ask for a piece: a neighbour, a stager elsewhere, the origin, or nobody yet."""

from __future__ import annotations

import enum
import random
from collections.abc import Collection

from leadhollow.staging.origin_schedule import MAX_RETRY_DELAY_S, READ_AHEAD, OriginSchedule
from leadhollow.staging.piece_assignment import PieceAssignment, Stager
from leadhollow.staging.piece_source import PieceSource
from leadhollow.staging.takeover_delays import MAX_IMPORT_DELAY_S, MAX_READ_DELAY_S, TakeoverDelays

ORIGIN_FAILURE_VALID_S = MAX_RETRY_DELAY_S + 2.0
"""An origin that failed last is taken for away for so long: a reader asks it again only when its
turn comes, and takes a moment to find out."""

ORIGIN_RETRY_S = 0.2  # an origin that did not answer is asked again after it

OVERTAKEN_BY = 2 * READ_AHEAD  # pieces in their order that the origin has come further by then
MIN_FOLLOWED = 2  # stagers of a failure domain that have to be lost for it to be cut off
MAX_REQUESTS_PER_SOURCE = 2  # pieces ordered from one stager at a time; it serves others too


class Origin(enum.Enum):
    """The origin as a source."""

    ORIGIN = enum.auto()


class SourceSelector:
    """Chooses for the pieces of one version.

    A piece crosses into a failure domain once, and leaves the origin once, as long as those whose
    task that is do it. Others step in one after the other: a stager on a slow link, or one that
    hangs, would keep everybody waiting. Whoever steps in at the origin has read its own part: the
    others must have come as far; or others are seen to have read pieces much later than the one
    that is missing. While the origin does not answer us no time runs, because it
    answers the others no more than us. Pieces are read in their order, at the pace of the origin's
    link, or sooner where it turns out to be faster than was declared.

    Parameters
    ----------
    own
        This stager.
    """

    __slots__ = (
        "_away_until_s",
        "_failed_s",
        "_far",
        "_import_s",
        "_inside",
        "_near",
        "_outside",
        "_outside_since_s",
        "_own",
        "_passed_s",
        "_patience",
        "_random",
        "_read_s",
        "_shared_among",
        "_sharing",
        "_sources",
        "_step_in_from_s",
        "_turns",
        "_unread",
    )

    def __init__(self, *, own: Stager, number: int, seed: int, delays: TakeoverDelays) -> None:
        self._own = own
        self._patience = delays
        self._away_until_s = 0.0
        self._failed_s = float("-inf")  # when the origin failed, unless it answered since
        self._near = 0  # bits of the pieces that neighbours hold
        self._far = 0  # and of those that others hold
        self._read_s = MAX_READ_DELAY_S
        self._import_s = MAX_IMPORT_DELAY_S
        self._random = random.Random(seed)
        self._sharing = PieceAssignment(number=number, stagers=[own])
        self._shared_among: tuple[frozenset[str], frozenset[str]] = frozenset(), frozenset()
        self._sources: list[PieceSource] = []
        self._inside: list[tuple[PieceSource, int]] = []  # usable ones with what they hold
        self._outside: list[tuple[PieceSource, int]] = []
        self._step_in_from_s: float | None = None  # while our own part is not read
        self._outside_since_s: dict[int, float] = {}
        self._turns: OriginSchedule | None = None  # from the first look on
        self._unread: list[int] = []  # as of the last order
        self._passed_s: dict[int, float] = {}  # when others were seen to have read much later ones

    def update(
        self,
        sources: Collection[PieceSource],
        *,
        number: int,
        now_s: float,
        unfollowed: Collection[Stager] = (),
    ) -> None:
        """Take note of who can be asked now.

        Parameters
        ----------
        others
            Stagers that take part and are not followed.
        """
        self._sources = [source for source in sources if source.is_usable(now_s)]
        own_domain = self._own.failure_domain
        self._inside = []
        self._outside = []
        self._near = self._far = 0
        for source in self._sources:
            held = source.held.to_int()
            if source.stager.failure_domain == own_domain:
                self._near |= held
                self._inside.append((source, held))
            else:
                self._far |= held
                self._outside.append((source, held))
        if self._turns is None:
            self._turns = OriginSchedule(begin_s=now_s, piece_s=self._patience.origin_piece_s())
        was_away = self._turns.unavailable
        self._turns.record_held(self._near | self._far, now_s)
        if was_away and not self._turns.unavailable:
            self._failed_s = float("-inf")
        # one that only hangs keeps its tasks: dealt out anew, all would be read twice
        lost = _lost(sources, unfollowed, now_s)
        followed = [source.stager for source in sources]
        known = frozenset(stager.address for stager in (*followed, *unfollowed))
        if (known, lost) != self._shared_among:
            self._shared_among = known, lost
            stagers = [self._own, *followed, *unfollowed]
            self._sharing = PieceAssignment(number=number, stagers=stagers, unreachable=lost)

    def stagers_to_follow(self, *, piece_count: int, max_rank: int) -> set[str]:
        """Give the stagers of other domains that have to be followed."""
        return self._sharing.stagers_to_follow(
            self._own, piece_count=piece_count, max_rank=max_rank
        )

    def record_origin_failure(self, now_s: float) -> None:
        """Take note that the origin does not answer."""
        self._step_in_from_s = None
        self._failed_s = now_s
        self._away_until_s = now_s + ORIGIN_RETRY_S
        if self._turns is not None:
            self._turns.record_failure(self._unread, now_s)

    def record_origin_success(self, now_s: float) -> None:
        """Take note that the origin sent a piece."""
        self._failed_s = float("-inf")
        if self._turns is not None:
            self._turns.record_success(now_s)

    def blocked(self, missing: list[int], now_s: float) -> bool:
        """Tell whether nobody holds some of these pieces and the origin does not answer."""
        if now_s - self._failed_s > ORIGIN_FAILURE_VALID_S:
            return False
        held = self._near | self._far
        return any(not held >> index & 1 for index in missing)

    def prioritise(self, missing: list[int], now_s: float) -> list[int]:
        """Give the pieces in the order in which they should be asked for.

        Those we are to bring in come first, because neighbours wait for them.
        """
        self._be_patient(missing)
        if any(self._reads(index) for index in missing):
            self._step_in_from_s = None
        elif self._step_in_from_s is None:
            self._step_in_from_s = now_s
        shuffled = list(missing)
        self._random.shuffle(shuffled)
        return sorted(shuffled, key=self._rank)

    def choose(self, index: int, now_s: float) -> PieceSource | Origin | None:
        """Choose whom to ask for a piece now; None where it has to wait."""
        if self._near >> index & 1:
            return self._freest(self._holders(index, inside=True))
        outside = self._holders(index, inside=False)
        if outside:
            return self._freest(outside) if self._imports(index, now_s) else None
        if now_s < self._away_until_s:
            return None
        if self._reads(index):
            return Origin.ORIGIN if now_s >= self._due_s(index) else None
        return Origin.ORIGIN if self._steps_in(index, now_s) else None

    def available_elsewhere(self, index: int, source: PieceSource, now_s: float) -> bool:
        """Tell whether a piece can be had of another holder or of the origin."""
        others = [one for one in self._sources if one is not source and index in one.held]
        return bool(others) or now_s >= self._away_until_s

    def _be_patient(self, missing: list[int]) -> None:
        """Work out how long others are waited for, by what is left for them to do."""
        held = self._near | self._far
        self._unread = [index for index in missing if not held >> index & 1]
        outside = sum(1 for index in missing if (self._far & ~self._near) >> index & 1)
        importers = self._sharing.importer_count(self._own.failure_domain)
        self._read_s = self._patience.read_delay_s(len(self._unread))
        self._import_s = self._patience.import_delay_s(outside, importers)

    def _imports(self, index: int, now_s: float) -> bool:
        """Tell whether it is our turn to bring in a piece that is held elsewhere."""
        since_s = self._outside_since_s.setdefault(index, now_s)
        return now_s - since_s >= self._import_s * self._sharing.importer_rank(index, self._own)

    def _steps_in(self, index: int, now_s: float) -> bool:
        """Tell whether it is our turn to read a piece that others should have read."""
        if self._step_in_from_s is not None:
            from_s = max(self._step_in_from_s, self._due_s(index))
        elif (self._near | self._far) >> (index + OVERTAKEN_BY):
            from_s = self._passed_s.setdefault(index, now_s)
        else:
            return False
        place = self._sharing.reader_rank(index, self._own)
        return now_s - from_s >= self._read_s * place

    def _due_s(self, index: int) -> float:
        """Give the time from which a piece may be read; past where the origin has come so far."""
        if self._turns is None:
            return float("-inf")
        come_near = (self._near | self._far) >> max(0, index - READ_AHEAD)
        if come_near and not self._turns.unavailable:
            return float("-inf")
        return self._turns.due_s(index)

    def _rank(self, index: int) -> int:
        if self._near >> index & 1:
            return 2
        return 0 if self._reads(index) else 1

    def _reads(self, index: int) -> bool:
        return self._sharing.origin_reader(index) == self._own

    def _holders(self, index: int, *, inside: bool) -> list[PieceSource]:
        holders = self._inside if inside else self._outside
        return [source for source, held in holders if held >> index & 1]

    def _freest(self, sources: list[PieceSource]) -> PieceSource | None:
        free = [source for source in sources if len(source.requested) < MAX_REQUESTS_PER_SOURCE]
        return min(free, key=self._busy) if free else None

    def _busy(self, source: PieceSource) -> float:
        """Guess when a source would answer; of equal ones chance decides."""
        return (1 + len(source.requested)) * source.slice_s * self._random.uniform(0.7, 1.3)


def _lost(
    sources: Collection[PieceSource], others: Collection[Stager], now_s: float
) -> frozenset[str]:
    """Give the addresses of stagers that cannot be reached.

    Where that is so for all that are followed of a failure domain, it is taken to be cut off: the
    pieces of those that are not followed would be waited for in vain.
    """
    found = {source.stager.address for source in sources if source.is_unreachable(now_s)}
    followed: dict[str, list[bool]] = {}
    for source in sources:
        reached = followed.setdefault(source.stager.failure_domain, [])
        reached.append(source.stager.address not in found)
    cut_off = {
        domain
        for domain, reached in followed.items()
        if len(reached) >= MIN_FOLLOWED and not any(reached)
    }
    found.update(stager.address for stager in others if stager.failure_domain in cut_off)
    return frozenset(found)


__all__ = ["Origin", "SourceChoice"]
