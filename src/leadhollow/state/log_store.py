"""Durable storage of one replica: log entries, the vote and the latest snapshot."""

from __future__ import annotations

import os
from collections.abc import Sequence
from pathlib import Path
from typing import BinaryIO

import msgspec
from result import Err, Ok, Result

from leadhollow.codes import Code
from leadhollow.failure import Failure
from leadhollow.observe.logs import get_logger
from leadhollow.state.files import (
    FILE_MAGIC,
    RECORD_HEADER,
    has_record_after,
    pack_record,
    read_file,
    read_record,
    replace_file,
    sync_folder,
)
from leadhollow.state.log_contents import (
    Entry,
    LogContents,
    Snapshot,
    entry_bytes,
    fitting_count,
)

log = get_logger("log-store")

LOG_FILE = "entries.log"
VOTE_FILE = "vote"
SNAPSHOT_FILE = "snapshot"
REWRITE_RECORD_BYTES = 4 * 1024 * 1024  # a single record of a long log would be unreadable


class Vote(msgspec.Struct, frozen=True, kw_only=True):
    """Election state that a replica must keep over restarts.

    Parameters
    ----------
    voter
        False for a replica that has lost its disk and not yet caught up; it must not vote.
    """

    term: int = 0
    voted_for: str = ""
    voter: bool = True


_entry_decoder = msgspec.msgpack.Decoder(Entry)
_batch_decoder = msgspec.msgpack.Decoder(list[Entry])


class LogStore:
    """Log, vote and snapshot of one replica, on disk and in memory.

    Methods that write block on the disk: call them from a worker thread.

    Parameters
    ----------
    folder
        Folder of the three files; it is created by :meth:`open`.
    """

    __slots__ = ("_contents", "_file", "_folder", "vote")

    def __init__(self, *, folder: Path) -> None:
        self._folder = folder
        self._file: BinaryIO | None = None
        empty = Snapshot(last_index=0, last_term=0, data=b"")
        self._contents = LogContents(snapshot=empty, entries=[], offsets=[])
        self.vote: Vote | None = None

    @property
    def entries(self) -> list[Entry]:
        """Entries after the snapshot."""
        return self._contents.entries

    @property
    def snapshot(self) -> Snapshot:
        """Latest snapshot."""
        return self._contents.snapshot

    @property
    def never_used(self) -> bool:
        """Whether no replica has ever written to this folder."""
        return self.vote is None and not self.entries and not self.snapshot.last_index

    @property
    def first_index(self) -> int:
        """Index of the first entry after the snapshot."""
        return self.snapshot.last_index + 1

    @property
    def last_index(self) -> int:
        """Index of the last entry."""
        return self._contents.last_index

    @property
    def last_term(self) -> int:
        """Term of the last entry."""
        contents = self._contents
        return contents.entries[-1].term if contents.entries else contents.snapshot.last_term

    def term_at(self, index: int) -> int | None:
        """Return the term of an entry, None if it is not in the log."""
        contents = self._contents
        if index == contents.snapshot.last_index:
            return contents.snapshot.last_term
        entry = contents.entry(index)
        return None if entry is None else entry.term

    def entry(self, index: int) -> Entry | None:
        """Return an entry, None if it is not in the log."""
        return self._contents.entry(index)

    def entries_from(self, index: int, *, limit: int) -> list[Entry]:
        """Return up to ``limit`` entries from an index on."""
        contents = self._contents
        position = max(0, index - contents.snapshot.last_index - 1)
        return contents.entries[position : position + limit]

    def entries_within(self, index: int, *, limit: int, max_bytes: int) -> list[Entry]:
        """Return up to ``limit`` entries from an index on that have up to ``max_bytes`` together.

        The first entry is returned whatever its size.
        """
        entries = self.entries_from(index, limit=limit)
        return entries[: fitting_count(map(entry_bytes, entries), max_bytes)]

    def bytes_through(self, index: int) -> int:
        """Return the bytes of the entries from the snapshot up to an index."""
        contents = self._contents
        return contents.bytes_before(index - contents.snapshot.last_index)

    def bytes_after(self, index: int) -> int:
        """Return the bytes that a log lacks that ends at an index.

        Where the entries are no longer in the log, the snapshot is counted in their place.
        """
        contents = self._contents
        position = index - contents.snapshot.last_index
        missing = contents.bytes_before(len(contents.sizes)) - contents.bytes_before(position)
        return missing if position >= 0 else missing + len(contents.snapshot.data)

    def open(self) -> Result[None, Failure]:
        """Read vote, snapshot and entries; an incomplete record at the end is cut off.

        Errors
        ------
        LOG_DAMAGED
            A complete record follows a damaged one; the detail has its offset.
        SNAPSHOT_DAMAGED
            The snapshot or the vote is incomplete or damaged.
        DISK_FAILED
            The disk cannot be read.
        """
        try:
            self._folder.mkdir(parents=True, exist_ok=True)
            sync_folder(self._folder.parent)
        except OSError as error:
            return Err(Failure(code=Code.DISK_FAILED, detail=str(error)))
        for name in (VOTE_FILE, SNAPSHOT_FILE):
            loaded = self._load_file(name)
            if loaded.is_err():
                return loaded
        return self._load_entries()

    def append(self, entries: Sequence[Entry]) -> Result[None, Failure]:
        """Append entries in one write and sync them.

        All entries of one write form one record. After a power loss any part of an unsynced write
        may be missing. A complete record after a damaged one therefore proves that synced data
        was damaged.
        """
        if self._file is None:
            return Err(Failure(code=Code.DISK_FAILED, detail="the log is not open"))
        start = self._file.tell()
        try:
            self._file.write(pack_record(msgspec.msgpack.encode(list(entries))))
            self._file.flush()
            os.fsync(self._file.fileno())
        except OSError as error:
            self._undo_write(start)
            return Err(Failure(code=Code.DISK_FAILED, detail=str(error)))
        self._contents.extend(entries, [start] * len(entries))
        return Ok(None)

    def truncate_from(self, index: int) -> Result[None, Failure]:
        """Remove an entry and all after it."""
        contents = self._contents
        position = index - self.first_index
        if self._file is None or not 0 <= position < len(contents.entries):
            return Ok(None)
        if position and contents.offsets[position - 1] == contents.offsets[position]:
            return self._rewrite(
                contents.entries[:position], contents.snapshot
            )  # cut within a record
        try:
            self._file.truncate(contents.offsets[position])
            self._file.seek(contents.offsets[position])
            os.fsync(self._file.fileno())
        except OSError as error:
            return Err(Failure(code=Code.DISK_FAILED, detail=str(error)))
        contents.cut(position)
        return Ok(None)

    def save_vote(self, vote: Vote) -> Result[None, Failure]:
        """Write a term and vote; must be done before any other replica learns of them."""
        saved = replace_file(self._folder / VOTE_FILE, msgspec.msgpack.encode(vote))
        if saved.is_ok():
            self.vote = vote
        return saved

    def save_snapshot(self, snapshot: Snapshot) -> Result[None, Failure]:
        """Write a snapshot and remove the entries that it covers."""
        saved = replace_file(self._folder / SNAPSHOT_FILE, msgspec.msgpack.encode(snapshot))
        if saved.is_err():
            return saved
        if self.term_at(snapshot.last_index) == snapshot.last_term:
            remaining = [entry for entry in self.entries if entry.index > snapshot.last_index]
        else:
            remaining = []
        return self._rewrite(remaining, snapshot)

    def recover(self) -> Result[None, Failure]:
        """Rewrite the log file from memory after a failed write or sync.

        After a failed sync the kernel may have dropped the unsynced pages, so the file must not
        be appended to.
        """
        return self._rewrite(list(self._contents.entries), self._contents.snapshot)

    def close(self) -> None:
        """Close the log file."""
        if self._file is not None:
            self._file.close()
            self._file = None

    def _load_file(self, name: str) -> Result[None, Failure]:
        read = read_file(self._folder / name)
        if read.is_err():
            return Err(read.unwrap_err())
        payload = read.unwrap()
        if payload is None:
            return Ok(None)
        try:
            if name == VOTE_FILE:
                self.vote = msgspec.msgpack.decode(payload, type=Vote)
            else:
                snapshot = msgspec.msgpack.decode(payload, type=Snapshot)
                self._contents = LogContents(snapshot=snapshot, entries=[], offsets=[])
        except msgspec.MsgspecError as error:
            return Err(Failure(code=Code.SNAPSHOT_DAMAGED, detail=f"{name}: {error}"))
        return Ok(None)

    def _load_entries(self) -> Result[None, Failure]:
        path = self._folder / LOG_FILE
        try:
            data = path.read_bytes() if path.exists() else b""
        except OSError as error:
            return Err(Failure(code=Code.DISK_FAILED, detail=str(error)))
        if not data.startswith(FILE_MAGIC):
            if len(data) >= len(FILE_MAGIC):
                return Err(Failure(code=Code.LOG_DAMAGED, detail=f"{LOG_FILE}: not a log file"))
            return self._rewrite([], self.snapshot)
        offset = len(FILE_MAGIC)
        while offset < len(data):
            payload = read_record(data, offset)
            if payload is None:
                break
            decoded = self._load_record(payload, offset)
            if decoded.is_err():
                return decoded
            offset += RECORD_HEADER.size + len(payload)
        if offset < len(data):
            if has_record_after(data, offset):
                detail = f"{LOG_FILE}: damaged record at offset {offset}"
                return Err(Failure(code=Code.LOG_DAMAGED, detail=detail))
            log.warning(
                "incomplete record at the end of the log cut off",
                offset=offset,
                lost_bytes=len(data) - offset,
            )
        return self._open_at(offset)

    def _load_record(self, payload: bytes, offset: int) -> Result[None, Failure]:
        try:
            entries = _decode_record(payload)
        except msgspec.MsgspecError as error:
            detail = f"{LOG_FILE}: record at offset {offset}: {error}"
            return Err(Failure(code=Code.LOG_DAMAGED, detail=detail))
        for entry in entries:
            if entry.index <= self.snapshot.last_index:
                continue  # crash after the snapshot was written, before the log was shortened
            if entry.index != self.last_index + 1:
                detail = (
                    f"{LOG_FILE}: entry {entry.index} after {self.last_index} at offset {offset}"
                )
                return Err(Failure(code=Code.LOG_DAMAGED, detail=detail))
            self._contents.extend([entry], [offset])
        return Ok(None)

    def _open_at(self, offset: int) -> Result[None, Failure]:
        try:
            self._file = (self._folder / LOG_FILE).open("r+b")
            self._file.truncate(offset)
            self._file.seek(offset)
            os.fsync(self._file.fileno())
        except OSError as error:
            return Err(Failure(code=Code.DISK_FAILED, detail=str(error)))
        return Ok(None)

    def _rewrite(self, remaining: list[Entry], snapshot: Snapshot) -> Result[None, Failure]:
        path = self._folder / LOG_FILE
        temporary = path.with_name(path.name + ".new")
        content = FILE_MAGIC
        offsets: list[int] = []
        while len(offsets) < len(remaining):
            rest = remaining[len(offsets) :]
            batch = rest[: fitting_count(map(entry_bytes, rest), REWRITE_RECORD_BYTES)]
            offsets += [len(content)] * len(batch)
            content += pack_record(msgspec.msgpack.encode(batch))
        try:
            with temporary.open("wb") as file:
                file.write(content)
                file.flush()
                os.fsync(file.fileno())
            self.close()
            temporary.replace(path)
            sync_folder(self._folder)
        except OSError as error:
            return Err(Failure(code=Code.DISK_FAILED, detail=str(error)))
        self._contents = LogContents(snapshot=snapshot, entries=remaining, offsets=offsets)
        return self._open_at(len(content))

    def _undo_write(self, offset: int) -> None:
        if self._file is None:
            return
        file, self._file = self._file, None  # stays closed until recover(): a write or sync failed
        try:
            file.truncate(offset)
            file.close()
        except OSError as error:
            log.error("cannot truncate the log after a failed write", error=str(error))


def _decode_record(payload: bytes) -> list[Entry]:
    """Decode the entries of a record; earlier releases wrote one entry per record."""
    try:
        return _batch_decoder.decode(payload)
    except msgspec.ValidationError:
        return [_entry_decoder.decode(payload)]


__all__ = ["LogStore", "Vote"]
