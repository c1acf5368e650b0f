"""The log on disk: entries, the vote, and the latest snapshot."""

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

log = get_logger("log-store")

LOG_FILE = "entries.log"
VOTE_FILE = "vote"
SNAPSHOT_FILE = "snapshot"


class Entry(msgspec.Struct, frozen=True, array_like=True):
    """One entry of the log."""

    index: int
    term: int
    command: bytes


class Vote(msgspec.Struct, frozen=True, kw_only=True):
    """What a replica must remember of elections.

    Parameters
    ----------
    voter
        False for a replica that lost its disk and has not caught up since.
    """

    term: int = 0
    voted_for: str = ""
    voter: bool = True


class Snapshot(msgspec.Struct, frozen=True, kw_only=True):
    """The state machine's whole state after an entry."""

    last_index: int
    last_term: int
    data: bytes
    voters: bytes = (
        b""  # the voter set in force at the entry, encoded; empty where it never changes
    )


_entry_decoder = msgspec.msgpack.Decoder(Entry)
_batch_decoder = msgspec.msgpack.Decoder(list[Entry])


class _LogContents:
    """What the disk holds, in memory.

    Snapshot and entries belong together: a position in the list counts from the snapshot. They are
    replaced together, as one object, because the event loop reads them while the disk's thread
    works.
    """

    __slots__ = ("entries", "offsets", "snapshot")

    def __init__(self, *, snapshot: Snapshot, entries: list[Entry], offsets: list[int]) -> None:
        self.snapshot = snapshot
        self.entries = entries
        self.offsets = offsets

    @property
    def last_index(self) -> int:
        """Index of the last entry."""
        return self.entries[-1].index if self.entries else self.snapshot.last_index

    def entry(self, index: int) -> Entry | None:
        """Give one entry, None where it is not held."""
        position = index - self.snapshot.last_index - 1
        if 0 <= position < len(self.entries):
            return self.entries[position]
        return None


class LogStore:
    """Durable log of one replica.

    Every method that writes blocks on the disk: call it from a worker thread.

    Parameters
    ----------
    folder
        Where the three files live.
    """

    __slots__ = ("_file", "_folder", "_contents", "vote")

    def __init__(self, *, folder: Path) -> None:
        self._folder = folder
        self._file: BinaryIO | None = None
        nothing = Snapshot(last_index=0, last_term=0, data=b"")
        self._contents = _LogContents(snapshot=nothing, entries=[], offsets=[])
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
        """Whether this disk never held a replica."""
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
        image = self._contents
        return image.entries[-1].term if image.entries else image.snapshot.last_term

    def term_at(self, index: int) -> int | None:
        """Give the term of an entry, None where it is not held."""
        image = self._contents
        if index == image.snapshot.last_index:
            return image.snapshot.last_term
        entry = image.entry(index)
        return None if entry is None else entry.term

    def entry(self, index: int) -> Entry | None:
        """Give one entry, None where it is not held."""
        return self._contents.entry(index)

    def entries_from(self, index: int, *, limit: int) -> list[Entry]:
        """Give up to ``limit`` entries from an index on."""
        image = self._contents
        position = max(0, index - image.snapshot.last_index - 1)
        return image.entries[position : position + limit]

    def open(self) -> Result[None, Failure]:
        """Read what the disk holds; a torn tail is cut.

        Errors
        ------
        LOG_DAMAGED
            A damaged record has whole ones after it; the message names its offset.
        SNAPSHOT_DAMAGED
            The snapshot or the vote is not whole.
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
        """Write entries after the last one and sync them together.

        One write is one record: after a loss of power any part of what was not synced may be
        missing, so a whole record after a damaged one proves damage to what was synced.
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
        self._contents.offsets.extend([start] * len(entries))
        self._contents.entries.extend(entries)
        return Ok(None)

    def truncate_from(self, index: int) -> Result[None, Failure]:
        """Drop this entry and all after it."""
        image = self._contents
        position = index - self.first_index
        if self._file is None or not 0 <= position < len(image.entries):
            return Ok(None)
        if position and image.offsets[position - 1] == image.offsets[position]:
            return self._rewrite(image.entries[:position], image.snapshot)  # within one record
        try:
            self._file.truncate(image.offsets[position])
            self._file.seek(image.offsets[position])
            os.fsync(self._file.fileno())
        except OSError as error:
            return Err(Failure(code=Code.DISK_FAILED, detail=str(error)))
        del image.entries[position:]
        del image.offsets[position:]
        return Ok(None)

    def save_vote(self, vote: Vote) -> Result[None, Failure]:
        """Remember a term and vote before it is told to anyone."""
        saved = replace_file(self._folder / VOTE_FILE, msgspec.msgpack.encode(vote))
        if saved.is_ok():
            self.vote = vote
        return saved

    def save_snapshot(self, snapshot: Snapshot) -> Result[None, Failure]:
        """Keep a snapshot and drop the entries that it covers."""
        saved = replace_file(self._folder / SNAPSHOT_FILE, msgspec.msgpack.encode(snapshot))
        if saved.is_err():
            return saved
        if self.term_at(snapshot.last_index) == snapshot.last_term:
            kept = [entry for entry in self.entries if entry.index > snapshot.last_index]
        else:
            kept = []
        return self._rewrite(kept, snapshot)

    def recover(self) -> Result[None, Failure]:
        """Write the log anew from memory, after the disk refused a write or a sync.

        What was not synced then is in no state to build on: the kernel may have dropped it.
        """
        return self._rewrite(list(self._contents.entries), self._contents.snapshot)

    def close(self) -> None:
        """Close the log's file."""
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
                self._contents = _LogContents(snapshot=snapshot, entries=[], offsets=[])
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
            log.warning("torn tail cut", offset=offset, lost_bytes=len(data) - offset)
        return self._open_at(offset)

    def _load_record(self, payload: bytes, offset: int) -> Result[None, Failure]:
        try:
            entries = _decode_record(payload)
        except msgspec.MsgspecError as error:
            detail = f"{LOG_FILE}: record at offset {offset}: {error}"
            return Err(Failure(code=Code.LOG_DAMAGED, detail=detail))
        for entry in entries:
            if entry.index <= self.snapshot.last_index:
                continue  # a crash came between the snapshot and the shorter log
            if entry.index != self.last_index + 1:
                detail = (
                    f"{LOG_FILE}: entry {entry.index} after {self.last_index} at offset {offset}"
                )
                return Err(Failure(code=Code.LOG_DAMAGED, detail=detail))
            self._contents.offsets.append(offset)
            self._contents.entries.append(entry)
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

    def _rewrite(self, kept: list[Entry], snapshot: Snapshot) -> Result[None, Failure]:
        path = self._folder / LOG_FILE
        temporary = path.with_name(path.name + ".new")
        content = FILE_MAGIC
        offsets = [len(FILE_MAGIC)] * len(kept)
        if kept:
            content += pack_record(msgspec.msgpack.encode(kept))
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
        self._contents = _LogContents(snapshot=snapshot, entries=kept, offsets=offsets)
        return self._open_at(len(content))

    def _undo_write(self, offset: int) -> None:
        if self._file is None:
            return
        file, self._file = self._file, None  # closed until recovered: a sync failed, or a write
        try:
            file.truncate(offset)
            file.close()
        except OSError as error:
            log.error("the log could not be cut back after a failed write", error=str(error))


def _decode_record(payload: bytes) -> list[Entry]:
    """Decode the entries of one write; earlier releases wrote each entry as a record."""
    try:
        return _batch_decoder.decode(payload)
    except msgspec.ValidationError:
        return [_entry_decoder.decode(payload)]


__all__ = ["Entry", "LogStore", "Snapshot", "Vote"]
