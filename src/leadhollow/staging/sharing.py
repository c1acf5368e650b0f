"""Who brings which piece where, agreed without a message.

Each piece has one stager that reads it from the origin, and in every other failure domain one that
brings it in from outside; the rest of the domain takes it from there. All come to the same answer
by rendezvous hashing, so a piece leaves the origin once and enters each failure domain once.
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


def origin_reader(index: int, number: int, stagers: Sequence[Stager]) -> Stager | None:
    """Give the stager that reads a piece from the origin."""
    return max(stagers, key=lambda stager: _rank(index, number, stager), default=None)


def importer(
    index: int, number: int, failure_domain: str, stagers: Sequence[Stager]
) -> Stager | None:
    """Give the stager that brings a piece into a failure domain."""
    reader = origin_reader(index, number, stagers)
    if reader is not None and reader.failure_domain == failure_domain:
        return reader
    inside = [stager for stager in stagers if stager.failure_domain == failure_domain]
    return origin_reader(index, number, inside)


def _rank(index: int, number: int, stager: Stager) -> int:
    return zlib.crc32(f"{number}/{index}/{stager.address}".encode())


__all__ = ["Stager", "importer", "origin_reader"]
