"""Interface to the HTTP API of an origin of weights."""

from __future__ import annotations

from typing import Protocol

from result import Result

from leadhollow.failure import Failure
from leadhollow.weights.named_versions import PieceManifest


class DescribedVersion:
    """Version of a model as its origin describes it."""

    __slots__ = ("manifest", "model", "number")

    def __init__(self, *, model: str, number: int, manifest: PieceManifest) -> None:
        self.model = model
        self.number = number
        self.manifest = manifest


class OriginDialect(Protocol):
    """Builds requests to an origin of weights and decodes its responses."""

    def manifest_target(self, model: str, number: int | None) -> str:
        """Return the path and query of the manifest of a version; None means the newest one."""
        ...

    def read_manifest(self, body: bytes) -> Result[DescribedVersion, Failure]:
        """Decode a manifest."""
        ...

    def piece_target(self, model: str, number: int, index: int) -> str:
        """Return the path and query of one piece."""
        ...


__all__ = ["DescribedVersion", "OriginDialect"]
