"""Who brings which piece where, agreed without a message.

Each piece has one stager that reads it from the origin, and in every other failure domain one that
brings it in from outside; the rest of the domain takes it from there. All who know of the same
stagers come to the same answer, so a piece leaves the origin once and enters each domain once.
Pieces are dealt out in turn, because chance would give some stagers half as much again as others.
"""

from __future__ import annotations

import zlib
from collections.abc import Sequence


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


class Sharing:
    """Tasks of one version among the stagers that are known.

    Parameters
    ----------
    number
        Version; each deals the tasks out in another order.
    """

    __slots__ = ("_by_domain", "_order")

    def __init__(self, *, number: int, stagers: Sequence[Stager]) -> None:
        def rank(stager: Stager) -> int:
            return zlib.crc32(f"{number}/{stager.address}".encode())

        self._order = sorted(stagers, key=rank)
        self._by_domain: dict[str, list[Stager]] = {}
        for stager in self._order:
            self._by_domain.setdefault(stager.failure_domain, []).append(stager)

    def origin_reader(self, index: int) -> Stager:
        """Give the stager that reads a piece from the origin."""
        return self._order[index % len(self._order)]

    def reader_place(self, index: int, stager: Stager) -> int:
        """Give how many others come before a stager in reading a piece from the origin."""
        return (self._order.index(stager) - index) % len(self._order)

    def importer_place(self, index: int, stager: Stager) -> int:
        """Give how many others of its domain come before a stager in bringing a piece in."""
        inside = self._by_domain[stager.failure_domain]
        first = inside.index(self.importer(index, stager.failure_domain))
        return (inside.index(stager) - first) % len(inside)

    def importers(self, failure_domain: str) -> int:
        """Count the stagers of a failure domain."""
        return len(self._by_domain[failure_domain])

    def importer(self, index: int, failure_domain: str) -> Stager:
        """Give the stager that brings a piece into a failure domain."""
        reader = self.origin_reader(index)
        if reader.failure_domain == failure_domain:
            return reader
        inside = self._by_domain[failure_domain]
        return inside[index % len(inside)]


__all__ = ["Sharing", "Stager"]
