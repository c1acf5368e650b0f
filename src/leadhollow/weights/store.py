"""Stores the chunks of model versions on the local disk of a backend server."""

from __future__ import annotations

import os
import shutil
import threading
from pathlib import Path

from result import Err, Ok, Result

from leadhollow.codes import Code
from leadhollow.failure import Failure
from leadhollow.observe.logs import get_logger
from leadhollow.state.files import read_file, replace_file
from leadhollow.weights.bitmap import Bitmap
from leadhollow.weights.manifest import Manifest, decode_manifest, root_hash

DATA_FILE = "weights.bin"
MANIFEST_FILE = "manifest"
PROGRESS_FILE = "progress"
COMPLETE_FILE = "complete"
DELETED_MARKER = ".gone-"  # part of the name of a folder that is to be deleted
HEX_DIGITS = frozenset("0123456789abcdef")

log = get_logger("chunk-store")


class StoredVersion:
    """One version on disk, complete or partial.

    Methods that access the disk block and must be called from a worker thread.
    """

    __slots__ = ("_descriptor", "_save_lock", "arrivals", "folder", "held", "manifest", "root")

    def __init__(self, *, folder: Path, root: str, manifest: Manifest) -> None:
        self.folder = folder
        self.root = root
        self.manifest = manifest
        self.held = Bitmap(count=manifest.chunk_count)
        self.arrivals: list[int] = []  # chunks added since the start, in order of arrival
        self._descriptor = -1
        self._save_lock = threading.Lock()

    @property
    def data_path(self) -> Path:
        """Path of the file that an engine loads once the version is complete."""
        return self.folder / DATA_FILE

    def open(self) -> Result[None, Failure]:
        """Open the data file and find the chunks that are intact.

        Chunks recorded as held are read and hashed again because a crash may have lost their bytes.
        """
        try:
            self._descriptor = os.open(self.data_path, os.O_RDWR | os.O_CREAT, 0o644)
            os.truncate(self._descriptor, self.manifest.size_bytes)
            recorded = read_file(self.folder / PROGRESS_FILE).unwrap_or(None)
            if recorded is not None:
                for index in Bitmap.from_bytes(recorded, count=self.manifest.chunk_count).indexes():
                    if self.manifest.chunk_matches(index, self._read(index)):
                        self.held.add(index)
        except OSError as error:
            return Err(Failure(code=Code.STORE_FULL, detail=f"{self.root[:12]}: {error}"))
        return Ok(None)

    def write_chunk(self, index: int, data: bytes) -> Result[None, Failure]:
        """Verify the hash of a chunk and write it. The caller then adds the chunk to ``held``.

        Errors
        ------
        CHUNK_MISMATCH
            The data has another hash or size than the chunk; nothing is written.
        STORE_FULL
            The write failed or was partial.
        """
        if not self.manifest.chunk_matches(index, data):
            return Err(Failure(code=Code.CHUNK_MISMATCH, detail=f"chunk {index}"))
        offset, _ = self.manifest.chunk_range(index)
        try:
            written = os.pwrite(self._descriptor, data, offset)
        except OSError as error:
            return Err(Failure(code=Code.STORE_FULL, detail=str(error)))
        if written != len(data):
            return Err(Failure(code=Code.STORE_FULL, detail="the disk took part of a chunk"))
        return Ok(None)

    def read_chunk(self, index: int) -> Result[bytes, Failure]:
        """Read a held chunk.

        Errors
        ------
        CHUNK_UNKNOWN
            The number is out of range, the chunk is not held or it cannot be read.
        """
        if not 0 <= index < self.manifest.chunk_count or index not in self.held:
            return Err(Failure(code=Code.CHUNK_UNKNOWN, detail=f"chunk {index}"))
        try:
            return Ok(self._read(index))
        except OSError as error:
            return Err(Failure(code=Code.CHUNK_UNKNOWN, detail=str(error)))

    def save_progress(self) -> Result[None, Failure]:
        """Record on disk which chunks are held, for use after a restart. It is thread-safe."""
        with self._save_lock:
            try:
                os.fdatasync(self._descriptor)
            except OSError as error:
                return Err(Failure(code=Code.STORE_FULL, detail=str(error)))
            return replace_file(self.folder / PROGRESS_FILE, self.held.to_bytes())

    def finish(self) -> Result[None, Failure]:
        """Verify all chunks on disk, sync the file and mark the version complete.

        Errors
        ------
        ROOT_MISMATCH
            A chunk on disk is damaged. It is removed from ``held`` and must be fetched again.
        """
        damaged = [
            index
            for index in range(self.manifest.chunk_count)
            if not self.manifest.chunk_matches(index, self._read(index))
        ]
        if damaged:
            self.held.discard_all(damaged)
            return Err(Failure(code=Code.ROOT_MISMATCH, detail=f"chunks {damaged[:8]}"))
        saved = self.save_progress()
        if saved.is_err():
            return saved
        return replace_file(self.folder / COMPLETE_FILE, self.root.encode())

    def close(self) -> None:
        """Close the data file."""
        if self._descriptor >= 0:
            os.close(self._descriptor)
            self._descriptor = -1

    def _read(self, index: int) -> bytes:
        offset, size = self.manifest.chunk_range(index)
        return os.pread(self._descriptor, size, offset)


class ChunkStore:
    """All versions on the disk of one VM.

    Parameters
    ----------
    folder
        Contains one folder for each root hash and nothing else.
    """

    __slots__ = ("_folder", "_removed_count", "_versions")

    def __init__(self, *, folder: Path) -> None:
        self._folder = folder
        self._removed_count = 0  # versions removed since the start
        self._versions: dict[str, StoredVersion] = {}

    def version(self, root: str) -> StoredVersion | None:
        """Return an open version, or None."""
        return self._versions.get(root)

    def complete_roots(self) -> list[str]:
        """Return the root hashes of the versions of which all chunks are held."""
        return sorted(root for root, stored in self._versions.items() if stored.held.complete)

    def open_all(self) -> None:
        """Open the versions on disk and delete those removed by an earlier run.

        A damaged version is logged and skipped.
        """
        if not self._folder.is_dir():
            return
        for folder in sorted(self._folder.iterdir()):
            if DELETED_MARKER in folder.name:
                delete_version(folder)
                continue
            encoded = read_file(folder / MANIFEST_FILE).unwrap_or(None)
            if encoded is None or not valid_root(folder.name):
                continue
            opened = self.open_version(folder.name, encoded)
            if opened.is_err():
                log.warning("version skipped", root=folder.name, failure=opened.unwrap_err())

    def open_version(self, root: str, encoded_manifest: bytes) -> Result[StoredVersion, Failure]:
        """Open a version from its encoded manifest, and create it if it is absent.

        Errors
        ------
        PATH_OUTSIDE, ROOT_MISMATCH, MANIFEST_INVALID, EMPTY_MODEL, STORE_FULL
        """
        existing = self._versions.get(root)
        if existing is not None:
            return Ok(existing)
        if not valid_root(root):
            return Err(Failure(code=Code.PATH_OUTSIDE, detail=f"not a root hash: {root!r}"))
        decoded = decode_manifest(encoded_manifest, root=root)
        if decoded.is_err():
            return Err(decoded.unwrap_err())
        folder = self._folder / root
        try:
            folder.mkdir(parents=True, exist_ok=True)
        except OSError as error:
            return Err(Failure(code=Code.STORE_FULL, detail=str(error)))
        saved = replace_file(folder / MANIFEST_FILE, encoded_manifest)
        if saved.is_err():
            return Err(saved.unwrap_err())
        stored = StoredVersion(folder=folder, root=root, manifest=decoded.unwrap())
        opened = stored.open()
        if opened.is_err():
            return Err(opened.unwrap_err())
        self._versions[root] = stored
        return Ok(stored)

    def encoded_manifest(self, root: str) -> bytes | None:
        """Read the encoded manifest of a version; None if it is absent or damaged."""
        if not valid_root(root):
            return None
        encoded = read_file(self._folder / root / MANIFEST_FILE).unwrap_or(None)
        return encoded if encoded is not None and root_hash(encoded) == root else None

    def remove(self, root: str) -> Path | None:
        """Remove a version from the store, and move its files aside for deletion.

        The version may be fetched again at once.

        Returns
        -------
        Path or None
            Folder to pass to :func:`delete_version`. None if the version is not open or its folder
            could not be renamed.
        """
        stored = self._versions.pop(root, None)
        if stored is None:
            return None
        stored.close()
        self._removed_count += 1
        try:
            return stored.folder.rename(
                stored.folder.with_name(f"{root}{DELETED_MARKER}{self._removed_count}")
            )
        except OSError as error:
            log.warning("version not deleted", folder=root, error=str(error))
            return None

    def close(self) -> None:
        """Close all files."""
        for stored in self._versions.values():
            stored.close()


def delete_version(folder: Path) -> None:
    """Delete the files of a removed version. It blocks for long if the version is large."""
    try:
        shutil.rmtree(folder)
    except OSError as error:  # the next start deletes the remaining files
        log.warning("version not deleted", folder=folder.name, error=str(error))


def valid_root(root: str) -> bool:
    """Whether a text is a root hash, and so safe to use as the name of a folder."""
    return len(root) == 64 and set(root) <= HEX_DIGITS


__all__ = ["ChunkStore", "StoredVersion", "delete_version", "valid_root"]
