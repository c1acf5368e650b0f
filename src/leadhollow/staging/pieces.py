"""Pieces of versions in memory, each checked against its digest when it came."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from leadhollow.weights.bitmap import Bitmap
from leadhollow.weights.named_versions import NamedVersion, PieceManifest

VERSIONS_KEPT = 2  # the one that runs, for others that are empty, and the one that comes


class StagedVersion:
    """One version of one model, whole or in part."""

    __slots__ = ("_changed", "_notify", "_pieces", "held", "manifest", "model", "number")

    def __init__(
        self, *, model: str, number: int, manifest: PieceManifest, notify: Callable[[], None]
    ) -> None:
        self._notify = notify
        self.model = model
        self.number = number
        self.manifest = manifest
        self.held = Bitmap(count=manifest.piece_count)
        self._pieces: dict[int, bytes] = {}
        self._changed = asyncio.Event()

    @property
    def complete(self) -> bool:
        """Whether no piece is missing."""
        return self.held.complete

    def add(self, index: int, data: bytes) -> bool:
        """Keep a piece; False where the bytes are not this piece."""
        if index in self._pieces:
            return True
        if not 0 <= index < self.held.count or not self.manifest.matches(index, data):
            return False
        self._pieces[index] = data
        self.held.add(index)
        self._changed.set()
        self._changed = asyncio.Event()
        self._notify()
        return True

    def piece(self, index: int) -> bytes | None:
        """Give a piece, None where it is not held."""
        return self._pieces.get(index)

    async def wait_changed(self) -> None:
        """Wait for the next piece."""
        await self._changed.wait()


class PieceStore:
    """Versions that this process holds."""

    __slots__ = ("_listeners", "_versions")

    def __init__(self) -> None:
        self._versions: dict[tuple[str, int], StagedVersion] = {}
        self._listeners: list[Callable[[], None]] = []

    def on_piece(self, listener: Callable[[], None]) -> None:
        """Call a function with each piece that is taken."""
        self._listeners.append(listener)

    def find(self, model: str, number: int) -> StagedVersion | None:
        """Find a version."""
        return self._versions.get((model, number))

    def find_or_create(self, version: NamedVersion) -> StagedVersion | None:
        """Find or begin a version; None while it is not described."""
        found = self.find(version.model, version.number)
        if found is not None or version.manifest is None:
            return found
        opened = StagedVersion(
            model=version.model,
            number=version.number,
            manifest=version.manifest,
            notify=self._notify,
        )
        self._versions[(version.model, version.number)] = opened
        self._forget(version.model)
        return opened

    def versions(self, model: str) -> list[StagedVersion]:
        """Give the versions of a model, the newest first."""
        found = [version for (name, _), version in self._versions.items() if name == model]
        return sorted(found, key=lambda version: -version.number)

    def _notify(self) -> None:
        for listener in self._listeners:
            listener()

    def _forget(self, model: str) -> None:
        for old in self.versions(model)[VERSIONS_KEPT:]:
            del self._versions[(old.model, old.number)]


__all__ = ["PieceStore", "StagedVersion"]
