"""Durable files: checksummed records and atomic replacement of whole files."""

from __future__ import annotations

import os
import struct
import zlib
from pathlib import Path

from result import Err, Ok, Result

from leadhollow.codes import Code
from leadhollow.failure import Failure

RECORD_HEADER = struct.Struct(">II")  # length of the payload, CRC-32 of it
FILE_MAGIC = b"LHF1"
MAX_RECORD_BYTES = 64 * 1024 * 1024


def pack_record(payload: bytes) -> bytes:
    """Prefix a payload with its length and checksum."""
    return RECORD_HEADER.pack(len(payload), zlib.crc32(payload)) + payload


def read_record(
    data: bytes | memoryview, offset: int, *, max_bytes: int = MAX_RECORD_BYTES
) -> bytes | None:
    """Read the record at an offset.

    Parameters
    ----------
    max_bytes
        Longest payload; a greater length counts as damage.

    Returns
    -------
    bytes or None
        The payload, or None if there is no complete, undamaged record.
    """
    if offset + RECORD_HEADER.size > len(data):
        return None
    length, checksum = RECORD_HEADER.unpack_from(data, offset)
    start = offset + RECORD_HEADER.size
    if not 0 < length <= max_bytes or start + length > len(data):
        return None
    payload = bytes(data[start : start + length])
    return payload if zlib.crc32(payload) == checksum else None


def has_record_after(data: bytes | memoryview, offset: int) -> bool:
    """Return whether a complete record follows a damaged one at the offset."""
    view = memoryview(data)
    return any(read_record(view, position) is not None for position in range(offset + 1, len(data)))


def replace_file(path: Path, payload: bytes) -> Result[None, Failure]:
    """Replace a file atomically; after a crash either the old or the new content is there.

    Errors
    ------
    DISK_FAILED
        The disk refused a write or a sync.
    """
    temporary = path.with_name(path.name + ".new")
    try:
        with temporary.open("wb") as file:
            file.write(FILE_MAGIC + pack_record(payload))
            file.flush()
            os.fsync(file.fileno())
        temporary.replace(path)
        sync_folder(path.parent)
    except OSError as error:
        return Err(Failure(code=Code.DISK_FAILED, detail=f"{path.name}: {error}"))
    return Ok(None)


def read_file(path: Path) -> Result[bytes | None, Failure]:
    """Read a file that :func:`replace_file` wrote.

    Returns
    -------
    Result
        The payload, or None if there is no such file.

    Errors
    ------
    SNAPSHOT_DAMAGED
        The file exists but is incomplete or damaged.
    """
    try:
        data = path.read_bytes()
    except FileNotFoundError:
        return Ok(None)
    except OSError as error:
        return Err(Failure(code=Code.DISK_FAILED, detail=f"{path.name}: {error}"))
    payload = None
    if data.startswith(FILE_MAGIC):
        payload = read_record(data, len(FILE_MAGIC), max_bytes=len(data))
    if payload is None or len(FILE_MAGIC) + RECORD_HEADER.size + len(payload) != len(data):
        return Err(Failure(code=Code.SNAPSHOT_DAMAGED, detail=f"{path.name} is damaged"))
    return Ok(payload)


def sync_folder(folder: Path) -> None:
    """Sync a folder, which makes renames in it durable."""
    descriptor = os.open(folder, os.O_RDONLY)
    try:
        os.fsync(descriptor)
    finally:
        os.close(descriptor)


__all__ = [
    "FILE_MAGIC",
    "MAX_RECORD_BYTES",
    "RECORD_HEADER",
    "pack_record",
    "read_file",
    "read_record",
    "has_record_after",
    "replace_file",
    "sync_folder",
]
