"""Selects the source of a piece: a local stager, a remote one, the origin, or none yet.

Local stagers are those of the own failure domain, remote ones those of other failure domains.
"""

from __future__ import annotations

import enum
import random
from collections.abc import Collection

from leadhollow.staging.origin_schedule import MAX_RETRY_DELAY_S, READ_AHEAD, OriginSchedule
from leadhollow.staging.piece_assignment import PieceAssignment, Stager
from leadhollow.staging.piece_source import PieceSource
from leadhollow.staging.takeover_delays import MAX_IMPORT_DELAY_S, MAX_READ_DELAY_S, TakeoverDelays

ORIGIN_FAILURE_VALID_S = MAX_RETRY_DELAY_S + 2.0
"""How long the origin counts as unavailable after a failure. A reader retries it only at its
scheduled time, and its attempt takes a moment to fail."""

ORIGIN_RETRY_S = 0.2  # minimum time between a failure of the origin and the next request to it

OVERTAKEN_BY = 2 * READ_AHEAD  # a piece is overdue if others hold one with an index higher by this
MIN_FOLLOWED = 2  # a failure domain counts as cut off only if at least so many stagers are lost
MAX_REQUESTS_PER_SOURCE = 2  # pieces requested from one stager at a time; it serves others too


class Origin(enum.Enum):
    """The origin as a source."""

    ORIGIN = enum.auto()


class SourceSelector:
    """Selects the sources of the pieces of one version.

    A piece enters a failure domain once and leaves the origin once, as long as the assigned stagers
    obtain it. Otherwise the next stagers take over, one after the other: a stager on a slow link,
    or one that hangs, would delay all others.

    A stager takes over a read from the origin after it has read its own pieces, because the others
    should have finished theirs by then; or after others are seen to hold pieces that come much
    later in the order. While the origin does not answer this stager, the takeover delay does not
    run, because the origin does not answer the others either. Pieces are read in order, at the
    speed of the origin's link, or sooner if the link proves faster than declared.

    Parameters
    ----------
    own
        This stager.
    number
        The version.
    """

    __slots__ = (
        "_assignment",
        "_assignment_inputs",
        "_delays",
        "_import_delay_s",
        "_local_pieces",
        "_local_sources",
        "_origin_blocked_until_s",
        "_origin_failed_s",
        "_overtaken_s",
        "_own",
        "_own_part_read_s",
        "_random",
        "_read_delay_s",
        "_remote_pieces",
        "_remote_since_s",
        "_remote_sources",
        "_schedule",
        "_sources",
        "_unread",
    )

    def __init__(self, *, own: Stager, number: int, seed: int, delays: TakeoverDelays) -> None:
        self._own = own
        self._delays = delays
        self._origin_blocked_until_s = 0.0
        self._origin_failed_s = float("-inf")  # time of the failure, unless it answered since
        self._local_pieces = 0  # bit mask of the pieces that local stagers hold
        self._remote_pieces = 0  # bit mask of the pieces that remote stagers hold
        self._read_delay_s = MAX_READ_DELAY_S
        self._import_delay_s = MAX_IMPORT_DELAY_S
        self._random = random.Random(seed)
        self._assignment = PieceAssignment(number=number, stagers=[own])
        self._assignment_inputs: tuple[frozenset[str], frozenset[str]] = frozenset(), frozenset()
        self._sources: list[PieceSource] = []
        self._local_sources: list[tuple[PieceSource, int]] = []  # usable, with the pieces they hold
        self._remote_sources: list[tuple[PieceSource, int]] = []
        self._own_part_read_s: float | None = None  # None while own pieces are missing
        self._remote_since_s: dict[int, float] = {}
        self._schedule: OriginSchedule | None = None  # created by the first update
        self._unread: list[int] = []  # as of the last call of prioritise()
        self._overtaken_s: dict[int, float] = {}  # when others were seen to hold much later pieces

    def update(
        self,
        sources: Collection[PieceSource],
        *,
        number: int,
        now_s: float,
        unfollowed: Collection[Stager] = (),
    ) -> None:
        """Update the sources that can be used now.

        Parameters
        ----------
        unfollowed
            Stagers that take part and are not followed.
        """
        self._sources = [source for source in sources if source.is_usable(now_s)]
        own_domain = self._own.failure_domain
        self._local_sources = []
        self._remote_sources = []
        self._local_pieces = self._remote_pieces = 0
        for source in self._sources:
            held = source.held.to_int()
            if source.stager.failure_domain == own_domain:
                self._local_pieces |= held
                self._local_sources.append((source, held))
            else:
                self._remote_pieces |= held
                self._remote_sources.append((source, held))
        if self._schedule is None:
            self._schedule = OriginSchedule(begin_s=now_s, piece_s=self._delays.origin_piece_s())
        was_unavailable = self._schedule.unavailable
        self._schedule.record_held(self._local_pieces | self._remote_pieces, now_s)
        if was_unavailable and not self._schedule.unavailable:
            self._origin_failed_s = float("-inf")
        # A stager that only hangs keeps its pieces; after a reassignment all would be read twice.
        unreachable = _unreachable(sources, unfollowed, now_s)
        followed = [source.stager for source in sources]
        known = frozenset(stager.address for stager in (*followed, *unfollowed))
        if (known, unreachable) != self._assignment_inputs:
            self._assignment_inputs = known, unreachable
            stagers = [self._own, *followed, *unfollowed]
            self._assignment = PieceAssignment(
                number=number, stagers=stagers, unreachable=unreachable
            )

    def stagers_to_follow(self, *, piece_count: int, max_rank: int) -> set[str]:
        """Return the stagers of other failure domains that have to be followed."""
        return self._assignment.stagers_to_follow(
            self._own, piece_count=piece_count, max_rank=max_rank
        )

    def record_origin_failure(self, now_s: float) -> None:
        """Record that the origin did not answer."""
        self._own_part_read_s = None
        self._origin_failed_s = now_s
        self._origin_blocked_until_s = now_s + ORIGIN_RETRY_S
        if self._schedule is not None:
            self._schedule.record_failure(self._unread, now_s)

    def record_origin_success(self, now_s: float) -> None:
        """Record that the origin sent a piece."""
        self._origin_failed_s = float("-inf")
        if self._schedule is not None:
            self._schedule.record_success(now_s)

    def blocked(self, missing: list[int], now_s: float) -> bool:
        """Return whether no stager holds some of these pieces and the origin does not answer."""
        if now_s - self._origin_failed_s > ORIGIN_FAILURE_VALID_S:
            return False
        held = self._local_pieces | self._remote_pieces
        return any(not held >> index & 1 for index in missing)

    def prioritise(self, missing: list[int], now_s: float) -> list[int]:
        """Return the pieces in the order in which they should be requested.

        Pieces that this stager reads from the origin come first, because local stagers wait for
        them.
        """
        self._update_delays(missing)
        if any(self._is_reader(index) for index in missing):
            self._own_part_read_s = None
        elif self._own_part_read_s is None:
            self._own_part_read_s = now_s
        shuffled = list(missing)
        self._random.shuffle(shuffled)
        return sorted(shuffled, key=self._priority)

    def choose(self, index: int, now_s: float) -> PieceSource | Origin | None:
        """Return the source to request a piece from now; None if it has to wait."""
        if self._local_pieces >> index & 1:
            return self._least_busy(self._holders(index, local=True))
        remote = self._holders(index, local=False)
        if remote:
            return self._least_busy(remote) if self._may_import(index, now_s) else None
        if now_s < self._origin_blocked_until_s:
            return None
        if self._is_reader(index):
            return Origin.ORIGIN if now_s >= self._due_s(index) else None
        return Origin.ORIGIN if self._takes_over_read(index, now_s) else None

    def available_elsewhere(self, index: int, source: PieceSource, now_s: float) -> bool:
        """Return whether a piece is available from another holder or from the origin."""
        others = [other for other in self._sources if other is not source and index in other.held]
        return bool(others) or now_s >= self._origin_blocked_until_s

    def _update_delays(self, missing: list[int]) -> None:
        """Compute the takeover delays from the amount of work that is left."""
        held = self._local_pieces | self._remote_pieces
        self._unread = [index for index in missing if not held >> index & 1]
        remote_only = sum(
            1 for index in missing if (self._remote_pieces & ~self._local_pieces) >> index & 1
        )
        importers = self._assignment.importer_count(self._own.failure_domain)
        self._read_delay_s = self._delays.read_delay_s(len(self._unread))
        self._import_delay_s = self._delays.import_delay_s(remote_only, importers)

    def _may_import(self, index: int, now_s: float) -> bool:
        """Return whether this stager may import a piece that only remote stagers hold."""
        since_s = self._remote_since_s.setdefault(index, now_s)
        return now_s - since_s >= self._import_delay_s * self._assignment.importer_rank(
            index, self._own
        )

    def _takes_over_read(self, index: int, now_s: float) -> bool:
        """Return whether this stager may read a piece from the origin that another should have."""
        if self._own_part_read_s is not None:
            from_s = max(self._own_part_read_s, self._due_s(index))
        elif (self._local_pieces | self._remote_pieces) >> (index + OVERTAKEN_BY):
            from_s = self._overtaken_s.setdefault(index, now_s)
        else:
            return False
        rank = self._assignment.reader_rank(index, self._own)
        return now_s - from_s >= self._read_delay_s * rank

    def _due_s(self, index: int) -> float:
        """Return the time from which a piece may be read; ``-inf`` if reading has reached it."""
        if self._schedule is None:
            return float("-inf")
        is_next = (self._local_pieces | self._remote_pieces) >> max(0, index - READ_AHEAD)
        if is_next and not self._schedule.unavailable:
            return float("-inf")
        return self._schedule.due_s(index)

    def _priority(self, index: int) -> int:
        if self._local_pieces >> index & 1:
            return 2
        return 0 if self._is_reader(index) else 1

    def _is_reader(self, index: int) -> bool:
        return self._assignment.origin_reader(index) == self._own

    def _holders(self, index: int, *, local: bool) -> list[PieceSource]:
        holders = self._local_sources if local else self._remote_sources
        return [source for source, held in holders if held >> index & 1]

    def _least_busy(self, sources: list[PieceSource]) -> PieceSource | None:
        free = [source for source in sources if len(source.requested) < MAX_REQUESTS_PER_SOURCE]
        return min(free, key=self._expected_delay) if free else None

    def _expected_delay(self, source: PieceSource) -> float:
        """Estimate the time until a source would answer; random between similar sources."""
        return (1 + len(source.requested)) * source.slice_s * self._random.uniform(0.7, 1.3)


def _unreachable(
    sources: Collection[PieceSource], unfollowed: Collection[Stager], now_s: float
) -> frozenset[str]:
    """Return the addresses of stagers that cannot be reached.

    If no followed stager of a failure domain can be reached, the whole domain counts as cut off.
    Otherwise this stager would wait in vain for the pieces of the domain's stagers that it does not
    follow.
    """
    found = {source.stager.address for source in sources if source.is_unreachable(now_s)}
    reached_by_domain: dict[str, list[bool]] = {}
    for source in sources:
        reached = reached_by_domain.setdefault(source.stager.failure_domain, [])
        reached.append(source.stager.address not in found)
    cut_off = {
        domain
        for domain, reached in reached_by_domain.items()
        if len(reached) >= MIN_FOLLOWED and not any(reached)
    }
    found.update(stager.address for stager in unfollowed if stager.failure_domain in cut_off)
    return frozenset(found)


__all__ = ["Origin", "SourceSelector"]
