"""Who brings which piece where, agreed without a message.

Each piece has one stager that reads it from the origin, and in every other failure domain one that
brings it in from outside; the rest of the domain takes it from there. All who know of the same
stagers come to the same answer, so a piece leaves the origin once and enters each domain once.
Pieces are dealt out in turn, because chance would give some stagers half as much again as others.

A stager follows all of its own domain, and of the others only those whose word it needs: a fleet in
which everybody follows everybody tells each piece to as many as there are, from as many.
"""

from __future__ import annotations

import zlib
from collections.abc import Collection, Sequence
from itertools import accumulate

SUCCESSOR_COUNT = 4
"""Stagers that share the pieces of a lost reader; each follows as many before it in the order, so
that it knows. One alone would read twice as much as the others of a small fleet."""


class Stager:
    """A process beside an engine that takes part in the exchange.

    Parameters
    ----------
    address
        Where its frames go.
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
    """Tasks of one version among the stagers that are known.

    Parameters
    ----------
    number
        Version; each deals the tasks out in another order.
    lost
        Addresses of those that are known and cannot be reached. The others keep their tasks,
        since not everybody knows of it.
    """

    __slots__ = ("_alive", "_alive_before", "_by_domain", "_order", "_places", "_successors")

    def __init__(
        self, *, number: int, stagers: Sequence[Stager], unreachable: Collection[str] = ()
    ) -> None:
        def rank(stager: Stager) -> int:
            return zlib.crc32(f"{number}/{stager.address}".encode())

        self._order = sorted(stagers, key=rank)
        self._places = {stager.address: place for place, stager in enumerate(self._order)}
        self._alive = [stager.address not in unreachable for stager in self._order]
        self._alive_before = [0, *accumulate(map(int, self._alive))]
        self._successors: dict[int, list[Stager]] = {}
        self._by_domain: dict[str, dict[str, int]] = {}
        for stager, alive in zip(self._order, self._alive, strict=True):
            if alive:
                inside = self._by_domain.setdefault(stager.failure_domain, {})
                inside[stager.address] = len(inside)

    def origin_reader(self, index: int) -> Stager:
        """Give the stager that reads a piece from the origin."""
        turn, place = divmod(index, len(self._order))
        if self._alive[place]:
            return self._order[place]
        instead = self._instead_of(place)
        return instead[turn % len(instead)]

    def reader_rank(self, index: int, stager: Stager) -> int:
        """Give how many others come before a stager in reading a piece from the origin."""
        first = index % len(self._order)
        own = self._places[stager.address]
        before = self._alive_between(first, own)
        if self._alive[first]:
            return before
        reader = self.origin_reader(index)
        if reader == stager:
            return 0
        ahead = self._alive_between(first, self._places[reader.address]) < before
        return before if ahead else before + 1

    def importer_rank(self, index: int, stager: Stager) -> int:
        """Give how many others of its domain come before a stager in bringing a piece in."""
        inside = self._by_domain[stager.failure_domain]
        first = inside[self.importer(index, stager.failure_domain).address]
        return (inside[stager.address] - first) % len(inside)

    def importer_count(self, failure_domain: str) -> int:
        """Count the stagers of a failure domain."""
        return len(self._by_domain[failure_domain])

    def importer(self, index: int, failure_domain: str) -> Stager:
        """Give the stager that brings a piece into a failure domain."""
        reader = self.origin_reader(index)
        if reader.failure_domain == failure_domain:
            return reader
        inside = self._by_domain[failure_domain]
        address = list(inside)[index % len(inside)]
        return self._order[self._places[address]]

    def stagers_to_follow(self, own: Stager, *, piece_count: int, max_rank: int) -> set[str]:
        """Give the stagers of other domains whose word one needs.

        Parameters
        ----------
        pieces
            Pieces of the version.
        places
            How far back in the order of importers of its domain one has to know who reads a piece.

        Returns
        -------
        set
            Addresses: of those before it in the order of readers, whose pieces it reads where they
            are lost, of the readers of what it may have to bring in, and of one more holder of
            what it is the first to bring in.
        """
        size = len(self._order)
        at = self._places[own.address]
        found = {self._order[(at - 1 - step) % size] for step in range(min(SUCCESSOR_COUNT, size))}
        domains = sorted(set(self._by_domain) - {own.failure_domain})
        for index in range(piece_count):
            reader = self.origin_reader(index)
            if reader.failure_domain == own.failure_domain:
                continue
            place = self.importer_rank(index, own)
            if place <= max_rank:
                found.add(reader)
            if place == 0:
                found.add(self.importer(index, domains[index % len(domains)]))
        return {stager.address for stager in found if stager.failure_domain != own.failure_domain}

    def _alive_between(self, first: int, place: int) -> int:
        """Count the stagers that are not lost from one place up to another, going round."""
        counted = self._alive_before[place] - self._alive_before[first]
        return counted if place >= first else counted + self._alive_before[-1]

    def _instead_of(self, place: int) -> list[Stager]:
        """Give those that read the pieces of a lost stager."""
        found = self._successors.get(place)
        if found is None:
            size = len(self._order)
            after = [(place + step) % size for step in range(1, size)]
            found = [self._order[other] for other in after if self._alive[other]][:SUCCESSOR_COUNT]
            self._successors[place] = found
        return found


__all__ = ["SUCCESSORS", "Sharing", "Stager"]
