"""What the product asks of an origin's interface."""

from __future__ import annotations

from typing import Protocol

from result import Result

from leadhollow.failure import Failure
from leadhollow.weights.named_versions import PieceManifest


class DescribedVersion:
    """A version as its origin describes it."""

    __slots__ = ("manifest", "model", "number")

    def __init__(self, *, model: str, number: int, manifest: PieceManifest) -> None:
        self.model = model
        self.number = number
        self.manifest = manifest


class OriginDialect(Protocol):
    """How an origin of weights is spoken to."""

    def manifest_target(self, model: str, number: int | None) -> str:
        """Give path and query of a version's manifest; None asks for the newest."""
        ...

    def read_manifest(self, body: bytes) -> Result[DescribedVersion, Failure]:
        """Decode a manifest."""
        ...

    def piece_target(self, model: str, number: int, index: int) -> str:
        """Give path and query of one piece."""
        ...


__all__ = ["DescribedVersion", "OriginDialect"]
