"""Versions of model weights, as an operator names them and an origin describes them."""

from __future__ import annotations

import hashlib

import msgspec

DIGEST_BYTES = {"sha256": 32}


class PieceManifest(msgspec.Struct, frozen=True, kw_only=True):
    """Pieces of a version and their digests, as its origin describes them.

    Parameters
    ----------
    algorithm
        Name of the digest algorithm.
    digests
        Digests of all pieces, concatenated in order.
    layers
        Number of layers of the model. Each layer needs the pieces of its part of the file.
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
        """Whether the data has the digest of this piece."""
        size = DIGEST_BYTES[self.algorithm]
        expected = self.digests[index * size : (index + 1) * size]
        return hashlib.new(self.algorithm, data).digest() == expected


class NamedVersion(msgspec.Struct, frozen=True, kw_only=True, tag="weights"):
    """Version of a model that engines are to run.

    Parameters
    ----------
    number
        Higher numbers are newer.
    named
        Whether an operator named it. Otherwise it is known from engines that already ran it.
    manifest
        None until it has been read from the origin.
    """

    model: str
    number: int
    named: bool
    manifest: PieceManifest | None = None


def weights_key(model: str, number: int) -> str:
    """Return the catalog key of a version."""
    return f"weights/{model}/{number}"


__all__ = ["DIGEST_BYTES", "NamedVersion", "PieceManifest", "weights_key"]
