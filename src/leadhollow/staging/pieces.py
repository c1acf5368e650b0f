"""In-memory store of weight pieces, each verified against its digest when it is added."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from leadhollow.weights.bitmap import Bitmap
from leadhollow.weights.named_versions import NamedVersion, PieceManifest

MAX_VERSIONS = 2  # the running one, for stagers that start empty, and the next one


class StagedVersion:
    """The pieces of one version of one model, complete or partial."""

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

    @classmethod
    def of(
        cls, version: NamedVersion, notify: Callable[[], None] = lambda: None
    ) -> StagedVersion | None:
        """Return a version without pieces; None while its manifest is unknown."""
        if version.manifest is None:
            return None
        return cls(
            model=version.model, number=version.number, manifest=version.manifest, notify=notify
        )

    @property
    def complete(self) -> bool:
        """Whether all pieces are held."""
        return self.held.complete

    def add(self, index: int, data: bytes) -> bool:
        """Store a piece.

        Returns
        -------
        bool
            False if the index is out of range or the data does not match the digest.
        """
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
        """Return a piece, None if it is not held."""
        return self._pieces.get(index)

    async def wait_changed(self) -> None:
        """Wait until the next piece is added."""
        await self._changed.wait()


class PieceStore:
    """The versions that this process holds."""

    __slots__ = ("_listeners", "_versions")

    def __init__(self) -> None:
        self._versions: dict[tuple[str, int], StagedVersion] = {}
        self._listeners: list[Callable[[], None]] = []

    def on_piece(self, listener: Callable[[], None]) -> None:
        """Register a function to be called after each added piece."""
        self._listeners.append(listener)

    def find(self, model: str, number: int) -> StagedVersion | None:
        """Return a version, None if this process does not hold it."""
        return self._versions.get((model, number))

    def find_or_create(self, version: NamedVersion) -> StagedVersion | None:
        """Return a version, created empty if needed; None while its manifest is unknown."""
        found = self.find(version.model, version.number)
        created = None if found is not None else StagedVersion.of(version, self._notify)
        if created is None:
            return found
        self._versions[(version.model, version.number)] = created
        self._discard_old(version.model)
        return created

    def versions(self, model: str) -> list[StagedVersion]:
        """Return the versions of a model, newest first."""
        found = [version for (name, _), version in self._versions.items() if name == model]
        return sorted(found, key=lambda version: -version.number)

    def _notify(self) -> None:
        for listener in self._listeners:
            listener()

    def _discard_old(self, model: str) -> None:
        for old in self.versions(model)[MAX_VERSIONS:]:
            del self._versions[(old.model, old.number)]


__all__ = ["PieceStore", "StagedVersion"]
