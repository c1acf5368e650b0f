"""Manifest of a model version: the hashes of its chunks in order, identified by one root hash."""

from __future__ import annotations

from collections.abc import Iterator
from pathlib import Path

import msgspec
from blake3 import blake3
from result import Err, Ok, Result

from leadhollow.codes import Code
from leadhollow.failure import Failure

FORMAT_VERSION = 1
DEFAULT_CHUNK_BYTES = 1024 * 1024
MAX_CHUNK_BYTES = 16 * 1024 * 1024
HASH_BYTES = 32
HASH_HEX_DIGITS = 2 * HASH_BYTES


class Manifest(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """Description of an immutable model version.

    Parameters
    ----------
    size_bytes
        Size of the whole file.
    chunk_bytes
        Size of every chunk but the last.
    chunk_hashes
        BLAKE3 of each chunk in order, as hex.
    """

    format: int
    model: str
    version: str
    size_bytes: int
    chunk_bytes: int
    chunk_hashes: tuple[str, ...]

    @property
    def chunk_count(self) -> int:
        """Number of chunks."""
        return len(self.chunk_hashes)

    def chunk_range(self, index: int) -> tuple[int, int]:
        """Return the offset and the size of a chunk, both in bytes."""
        offset = index * self.chunk_bytes
        return offset, min(self.chunk_bytes, self.size_bytes - offset)

    def chunk_matches(self, index: int, data: bytes) -> bool:
        """Whether the data has the size and the hash of this chunk."""
        _, size = self.chunk_range(index)
        return len(data) == size and blake3(data).hexdigest() == self.chunk_hashes[index]


def encode_manifest(manifest: Manifest) -> bytes:
    """Encode a manifest. The root hash of the version is the BLAKE3 of these bytes."""
    return msgspec.json.encode(manifest)


def root_hash(encoded: bytes) -> str:
    """Return the root hash of an encoded manifest, as hex."""
    return str(blake3(encoded).hexdigest())


def decode_manifest(encoded: bytes, *, root: str) -> Result[Manifest, Failure]:
    """Decode a manifest and validate it.

    Errors
    ------
    ROOT_MISMATCH
        The bytes do not match the root hash.
    MANIFEST_INVALID
        A field is malformed, or the chunks do not cover the file exactly.
    """
    if root_hash(encoded) != root:
        return Err(Failure(code=Code.ROOT_MISMATCH, detail="manifest does not match its root"))
    try:
        manifest = msgspec.json.decode(encoded, type=Manifest)
    except msgspec.MsgspecError as error:
        return Err(Failure(code=Code.MANIFEST_INVALID, detail=str(error)))
    failure = check_manifest(manifest)
    return Ok(manifest) if failure is None else Err(failure)


def check_manifest(manifest: Manifest) -> Failure | None:
    """Validate the sizes, the number of chunks and the format of their hashes."""
    if manifest.format != FORMAT_VERSION:
        return _invalid("format", f"expected {FORMAT_VERSION}, found {manifest.format}")
    if manifest.size_bytes < 1:
        return Failure(code=Code.EMPTY_MODEL, field="size_bytes")
    if not 1 <= manifest.chunk_bytes <= MAX_CHUNK_BYTES:
        return _invalid("chunk_bytes", f"expected 1 to {MAX_CHUNK_BYTES}")
    expected = -(-manifest.size_bytes // manifest.chunk_bytes)
    if manifest.chunk_count != expected:
        return _invalid("chunk_hashes", f"expected {expected}, found {manifest.chunk_count}")
    for position, text in enumerate(manifest.chunk_hashes):
        if len(text) != HASH_HEX_DIGITS or not set(text) <= set("0123456789abcdef"):
            return _invalid(f"chunk_hashes[{position}]", "expected 64 lower-case hex digits")
    return None


def build_manifest(
    path: Path, *, model: str, version: str, chunk_bytes: int = DEFAULT_CHUNK_BYTES
) -> Result[Manifest, Failure]:
    """Build the manifest of a model file.

    Errors
    ------
    FILE_UNREADABLE
        The file cannot be read.
    EMPTY_MODEL
        The file is empty.
    """
    try:
        hashes = tuple(blake3(chunk).hexdigest() for chunk in _read_chunks(path, chunk_bytes))
        size_bytes = path.stat().st_size
    except OSError as error:
        return Err(Failure(code=Code.FILE_UNREADABLE, detail=f"{path}: {error.strerror}"))
    manifest = Manifest(
        format=FORMAT_VERSION,
        model=model,
        version=version,
        size_bytes=size_bytes,
        chunk_bytes=chunk_bytes,
        chunk_hashes=hashes,
    )
    failure = check_manifest(manifest)
    return Ok(manifest) if failure is None else Err(failure)


def _read_chunks(path: Path, chunk_bytes: int) -> Iterator[bytes]:
    with path.open("rb") as file:
        while chunk := file.read(chunk_bytes):
            yield chunk


def _invalid(field: str, detail: str) -> Failure:
    return Failure(code=Code.MANIFEST_INVALID, detail=detail, field=field)


__all__ = [
    "DEFAULT_CHUNK_BYTES",
    "Manifest",
    "build_manifest",
    "check_manifest",
    "decode_manifest",
    "encode_manifest",
    "root_hash",
]
