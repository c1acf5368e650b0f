"""Assigns to each piece the stagers that obtain it, without any coordination messages.

Each piece has one reader, the stager that reads it from the origin. In every other failure domain
it has one importer, which requests it from another domain; the rest of the domain gets it from the
importer. All stagers that know of the same stagers compute the same assignment, so each piece
leaves the origin once and enters each domain once. Pieces are assigned in turn: with a random
assignment some stagers would get half as much again as others.

A stager follows all stagers of its own domain, but of other domains only those whose announcements
it needs. If all followed all, the announcements of each piece would grow with the square of the
fleet's size.
"""

from __future__ import annotations

import zlib
from collections.abc import Collection, Sequence
from itertools import accumulate

SUCCESSOR_COUNT = 4
"""Stagers that divide the pieces of an unreachable reader. Each follows as many stagers before it
in the order, to notice when one is lost. In a small fleet a single successor would read twice as
much as the others."""


class Stager:
    """A process beside an engine that takes part in the exchange of pieces.

    Parameters
    ----------
    address
        Address of its wire listener.
    """

    __slots__ = ("address", "failure_domain")

    def __init__(self, *, address: str, failure_domain: str) -> None:
        self.address = address
        self.failure_domain = failure_domain

    def __eq__(self, other: object) -> bool:
        return isinstance(other, Stager) and self.address == other.address

    def __hash__(self) -> int:
        return hash(self.address)


class PieceAssignment:
    """Readers and importers of the pieces of one version, among the known stagers.

    Parameters
    ----------
    number
        The version; each version orders the stagers differently.
    unreachable
        Addresses of known stagers that cannot be reached. The others keep their pieces, because not
        every stager knows of the loss.
    """

    __slots__ = (
        "_domain_ranks",
        "_order",
        "_positions",
        "_reachable",
        "_reachable_before",
        "_successors",
    )

    def __init__(
        self, *, number: int, stagers: Sequence[Stager], unreachable: Collection[str] = ()
    ) -> None:
        def rank(stager: Stager) -> int:
            return zlib.crc32(f"{number}/{stager.address}".encode())

        self._order = sorted(stagers, key=rank)
        self._positions = {stager.address: position for position, stager in enumerate(self._order)}
        self._reachable = [stager.address not in unreachable for stager in self._order]
        self._reachable_before = [0, *accumulate(map(int, self._reachable))]
        self._successors: dict[int, list[Stager]] = {}
        self._domain_ranks: dict[str, dict[str, int]] = {}
        for stager, reachable in zip(self._order, self._reachable, strict=True):
            if reachable:
                ranks = self._domain_ranks.setdefault(stager.failure_domain, {})
                ranks[stager.address] = len(ranks)

    def origin_reader(self, index: int) -> Stager:
        """Return the stager that reads a piece from the origin."""
        cycle, position = divmod(index, len(self._order))
        if self._reachable[position]:
            return self._order[position]
        successors = self._successors_of(position)
        return successors[cycle % len(successors)]

    def reader_rank(self, index: int, stager: Stager) -> int:
        """Return how many stagers come before this one in reading a piece from the origin."""
        first = index % len(self._order)
        own = self._positions[stager.address]
        before = self._reachable_between(first, own)
        if self._reachable[first]:
            return before
        reader = self.origin_reader(index)
        if reader == stager:
            return 0
        ahead = self._reachable_between(first, self._positions[reader.address]) < before
        return before if ahead else before + 1

    def importer_rank(self, index: int, stager: Stager) -> int:
        """Return how many stagers of its domain come before this one in importing a piece."""
        ranks = self._domain_ranks[stager.failure_domain]
        first = ranks[self.importer(index, stager.failure_domain).address]
        return (ranks[stager.address] - first) % len(ranks)

    def importer_count(self, failure_domain: str) -> int:
        """Return the number of reachable stagers in a failure domain."""
        return len(self._domain_ranks[failure_domain])

    def importer(self, index: int, failure_domain: str) -> Stager:
        """Return the stager that imports a piece into a failure domain."""
        reader = self.origin_reader(index)
        if reader.failure_domain == failure_domain:
            return reader
        ranks = self._domain_ranks[failure_domain]
        address = list(ranks)[index % len(ranks)]
        return self._order[self._positions[address]]

    def stagers_to_follow(self, own: Stager, *, piece_count: int, max_rank: int) -> set[str]:
        """Return the stagers of other domains whose announcements a stager needs.

        Parameters
        ----------
        piece_count
            Number of pieces of the version.
        max_rank
            Highest importer rank at which the stager has to know the reader of a piece.

        Returns
        -------
        set
            Addresses of three kinds of stagers: those before it in the order, whose pieces it reads
            if they are lost; the readers of pieces that it may have to import; and a second holder
            for each piece that it is the first to import.
        """
        size = len(self._order)
        at = self._positions[own.address]
        found = {self._order[(at - 1 - step) % size] for step in range(min(SUCCESSOR_COUNT, size))}
        domains = sorted(set(self._domain_ranks) - {own.failure_domain})
        for index in range(piece_count):
            reader = self.origin_reader(index)
            if reader.failure_domain == own.failure_domain:
                continue
            rank = self.importer_rank(index, own)
            if rank <= max_rank:
                found.add(reader)
            if rank == 0:
                found.add(self.importer(index, domains[index % len(domains)]))
        return {stager.address for stager in found if stager.failure_domain != own.failure_domain}

    def _reachable_between(self, first: int, position: int) -> int:
        """Count the reachable stagers from one position up to another, wrapping around."""
        counted = self._reachable_before[position] - self._reachable_before[first]
        return counted if position >= first else counted + self._reachable_before[-1]

    def _successors_of(self, position: int) -> list[Stager]:
        """Return the stagers that read the pieces of an unreachable one."""
        found = self._successors.get(position)
        if found is None:
            size = len(self._order)
            after = [(position + step) % size for step in range(1, size)]
            found = [self._order[other] for other in after if self._reachable[other]][
                :SUCCESSOR_COUNT
            ]
            self._successors[position] = found
        return found


__all__ = ["SUCCESSOR_COUNT", "PieceAssignment", "Stager"]
