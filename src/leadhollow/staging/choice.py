"""Whom to ask for a piece: a neighbour, a stager elsewhere, the origin, or nobody yet."""

from __future__ import annotations

import enum
import random
from collections.abc import Collection

from leadhollow.staging.piece_source import PieceSource
from leadhollow.staging.sharing import Sharing, Stager

IMPORT_ANYWAY_S = 3.0  # for a piece that another one should bring in, and did not
ORIGIN_ANYWAY_S = 4.0  # for a piece that nobody holds although another one should have read it
PER_SOURCE = 2  # pieces ordered from one stager at a time; it serves others too


class Origin(enum.Enum):
    """The origin as a source."""

    ORIGIN = enum.auto()


class SourceChoice:
    """Chooses for the pieces of one version.

    A piece crosses into a failure domain once, and leaves the origin once, as long as those whose
    task that is do it. Others wait for them, and step in after a time. While the origin does not
    answer us that time does not run: the others cannot read it either, and whoever stepped in
    would read the same pieces again once it answers.

    Parameters
    ----------
    own
        This stager.
    """

    __slots__ = (
        "_near",
        "_own",
        "_random",
        "_sharing",
        "_sources",
        "_step_in_from_s",
        "_wanted_since_s",
    )

    def __init__(self, *, own: Stager, number: int, seed: int) -> None:
        self._own = own
        self._near = 0  # bits of the pieces that neighbours hold
        self._random = random.Random(seed)
        self._sharing = Sharing(number=number, stagers=[own])
        self._sources: list[PieceSource] = []
        self._step_in_from_s = 0.0
        self._wanted_since_s: dict[int, float] = {}

    def look(self, sources: Collection[PieceSource], *, number: int, now_s: float) -> None:
        """Take note of who can be asked now."""
        self._sources = [source for source in sources if source.usable(now_s)]
        own_domain = self._own.failure_domain
        self._near = 0
        for source in self._sources:
            if source.stager.failure_domain == own_domain:
                self._near |= source.held.mask()
        stagers = [self._own, *(source.stager for source in self._sources)]
        self._sharing = Sharing(number=number, stagers=stagers)

    def origin_failed(self, now_s: float) -> None:
        """Take note that the origin does not answer."""
        self._step_in_from_s = now_s

    def in_order(self, missing: list[int]) -> list[int]:
        """Give the pieces in the order in which they should be asked for.

        Those we are to bring in come first, because neighbours wait for them.
        """
        shuffled = list(missing)
        self._random.shuffle(shuffled)
        return sorted(shuffled, key=self._rank)

    def source(self, index: int, now_s: float) -> PieceSource | Origin | None:
        """Choose whom to ask for a piece now; None where it has to wait."""
        if self._near >> index & 1:
            return self._freest(self._holders(index, inside=True))
        since_s = self._wanted_since_s.setdefault(index, now_s)
        importer = self._sharing.importer(index, self._own.failure_domain)
        if importer != self._own and now_s - since_s < IMPORT_ANYWAY_S:
            return None
        outside = self._holders(index, inside=False)
        if outside:
            return self._freest(outside)
        steps_in = now_s - max(since_s, self._step_in_from_s) >= ORIGIN_ANYWAY_S
        return Origin.ORIGIN if steps_in or self._reads(index) else None

    def _rank(self, index: int) -> int:
        if self._near >> index & 1:
            return 2
        return 0 if self._reads(index) else 1

    def _reads(self, index: int) -> bool:
        return self._sharing.origin_reader(index) == self._own

    def _holders(self, index: int, *, inside: bool) -> list[PieceSource]:
        own_domain = self._own.failure_domain
        return [
            source
            for source in self._sources
            if index in source.held and (source.stager.failure_domain == own_domain) == inside
        ]

    def _freest(self, sources: list[PieceSource]) -> PieceSource | None:
        free = [source for source in sources if len(source.ordered) < PER_SOURCE]
        return min(free, key=self._busy) if free else None

    def _busy(self, source: PieceSource) -> float:
        """Guess when a source would answer; of equal ones chance decides."""
        return (1 + len(source.ordered)) * source.slice_s * self._random.uniform(0.7, 1.3)


__all__ = ["Origin", "SourceChoice"]
