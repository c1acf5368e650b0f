"""Entries and snapshot of a replica's log in memory, with the bytes that they take."""

from __future__ import annotations

from collections.abc import Iterable, Sequence

import msgspec

ENTRY_OVERHEAD_BYTES = 24  # index, term and the lengths of the fields


class Entry(msgspec.Struct, frozen=True, array_like=True):
    """One entry of the replicated log; ``command`` is encoded."""

    index: int
    term: int
    command: bytes


class Snapshot(msgspec.Struct, frozen=True, kw_only=True):
    """Complete state of the state machine after an entry of the log.

    Parameters
    ----------
    last_index, last_term
        The last entry that the snapshot covers.
    voters
        Encoded voter set in force at that entry; empty if the set never changes.
    """

    last_index: int
    last_term: int
    data: bytes
    voters: bytes = b""


def entry_bytes(entry: Entry) -> int:
    """Return the approximate size of an entry on disk and on the wire."""
    return len(entry.command) + ENTRY_OVERHEAD_BYTES


class LogContents:
    """In-memory copy of the snapshot and the entries on disk.

    Positions in the list of entries count from the snapshot. Both are therefore replaced together,
    as one object: the event loop reads them while the disk thread writes.

    Parameters
    ----------
    offsets
        File offset of the record of each entry; entries of one write share a record.

    Attributes
    ----------
    sizes
        Bytes of the entries up to each entry.
    """

    __slots__ = ("entries", "offsets", "sizes", "snapshot")

    def __init__(self, *, snapshot: Snapshot, entries: list[Entry], offsets: list[int]) -> None:
        self.snapshot = snapshot
        self.entries: list[Entry] = []
        self.offsets: list[int] = []
        self.sizes: list[int] = []
        self.extend(entries, offsets)

    def extend(self, entries: Sequence[Entry], offsets: Sequence[int]) -> None:
        """Add entries at the end."""
        total = self.sizes[-1] if self.sizes else 0
        for entry in entries:
            total += entry_bytes(entry)
            self.sizes.append(total)
        self.offsets.extend(offsets)
        self.entries.extend(entries)

    def cut(self, position: int) -> None:
        """Remove the entries from a position on."""
        del self.entries[position:]
        del self.offsets[position:]
        del self.sizes[position:]

    def bytes_before(self, position: int) -> int:
        """Return the bytes of the entries before a position."""
        position = min(position, len(self.sizes))
        return self.sizes[position - 1] if position > 0 else 0

    @property
    def last_index(self) -> int:
        """Index of the last entry, or of the snapshot if there is none."""
        return self.entries[-1].index if self.entries else self.snapshot.last_index

    def entry(self, index: int) -> Entry | None:
        """Return an entry, None if it is not in the log."""
        position = index - self.snapshot.last_index - 1
        if 0 <= position < len(self.entries):
            return self.entries[position]
        return None


def fitting_count(sizes: Iterable[int], max_bytes: int) -> int:
    """Return how many of the first items fit into ``max_bytes`` together, at least one."""
    total = 0
    count = 0
    for size in sizes:
        total += size
        if count and total > max_bytes:
            break
        count += 1
    return count


__all__ = ["Entry", "LogContents", "Snapshot", "entry_bytes", "fitting_count"]
