"""Versions of weights that an operator names and an origin describes."""

from __future__ import annotations

import hashlib

import msgspec

DIGEST_BYTES = {"sha256": 32}


class PieceManifest(msgspec.Struct, frozen=True, kw_only=True):
    """What a version consists of, as its origin says.

    Parameters
    ----------
    algorithm
        Name of the digest.
    digests
        Digests of all pieces in order, one after the other.
    layers
        Layers of the model; each needs the pieces of its part of the file.
    """

    algorithm: str
    chunk_bytes: int
    layers: int
    digests: bytes

    @property
    def piece_count(self) -> int:
        """Number of pieces."""
        return len(self.digests) // DIGEST_BYTES[self.algorithm]

    def matches(self, index: int, data: bytes) -> bool:
        """Tell whether bytes are this piece."""
        size = DIGEST_BYTES[self.algorithm]
        expected = self.digests[index * size : (index + 1) * size]
        return hashlib.new(self.algorithm, data).digest() == expected


class NamedVersion(msgspec.Struct, frozen=True, kw_only=True, tag="weights"):
    """A version that engines shall run.

    Parameters
    ----------
    number
        Higher numbers are newer.
    named
        Whether an operator named it; otherwise engines brought it with them.
    manifest
        None until the origin was read.
    """

    model: str
    number: int
    named: bool
    manifest: PieceManifest | None = None


def weights_key(model: str, number: int) -> str:
    """Catalog key of a version."""
    return f"weights/{model}/{number}"


__all__ = ["DIGEST_BYTES", "NamedVersion", "PieceManifest", "weights_key"]
