"""Ways to share reads of the origin out over the participants of a version.

The first is used; the others are measured against it.
"""

from __future__ import annotations

import random
from collections.abc import Callable
from typing import Protocol

from leadhollow.settings.model import LeaseMode
from leadhollow.weights.bitmap import Bitmap

LEASE_VALID_S = 10.0
HEDGE_AFTER_S = 1.0
SHARES_EACH = 2  # a requester gets this part of its even share at once
LEAST_UNREAD = 2  # one chunk that is read and one leased ahead
HEDGE_CAP_COPIES = 0.4


class ChunkLease:
    """Right of one server to read one chunk.

    Parameters
    ----------
    lost
        Tells whether the connection over which it was given is closed: its reader is gone.
    """

    __slots__ = ("expires_s", "is_lost", "server")

    def __init__(self, *, server: str, expires_s: float, is_lost: Callable[[], bool]) -> None:
        self.server = server
        self.expires_s = expires_s
        self.is_lost = is_lost


class LeaseTable:
    """Which chunks of a version are free, leased or delivered."""

    __slots__ = ("delivered", "hedged_count", "free", "leases", "revoked")

    def __init__(self, *, chunk_count: int) -> None:
        self.delivered = Bitmap(count=chunk_count)
        self.leases: dict[int, ChunkLease] = {}
        self.free = list(range(chunk_count - 1, -1, -1))
        self.revoked: dict[str, list[int]] = {}
        self.hedged_count = 0

    def grant_hedged(self, *, requester: LeaseRequester, now_s: float) -> list[int]:
        """Give chunks that others have been reading for long, within the cap of extra reads."""
        slow_s = now_s + LEASE_VALID_S - HEDGE_AFTER_S
        slow = [
            chunk
            for chunk, lease in self.leases.items()
            if lease.expires_s <= slow_s
            and lease.server != requester.server
            and chunk not in requester.held
        ]
        cap = int(self.delivered.count * HEDGE_CAP_COPIES) - self.hedged_count
        given = slow[: max(0, min(requester.capacity, cap))]
        self.hedged_count += len(given)
        return given

    def mark_delivered(self, chunks: list[int]) -> None:
        """Note chunks that somebody holds."""
        for chunk in chunks:
            self.delivered.add(chunk)
            self.leases.pop(chunk, None)

    def release_expired(self, now_s: float) -> None:
        """Free chunks whose reader is gone or did not deliver in time."""
        for chunk, lease in list(self.leases.items()):
            if now_s >= lease.expires_s or lease.is_lost():
                del self.leases[chunk]
                self.free.append(chunk)

    def release_stuck(self, chunks: list[int]) -> None:
        """Free delivered chunks that nobody can give any more."""
        for chunk in chunks:
            if 0 <= chunk < self.delivered.count and chunk not in self.leases:
                self.delivered.discard_all([chunk])
                self.free.append(chunk)

    def lease_free(self, requester: LeaseRequester, count: int, now_s: float) -> list[int]:
        """Lease up to ``count`` free chunks."""
        given: list[int] = []
        while self.free and len(given) < count:
            chunk = self.free.pop()
            if chunk in self.delivered or chunk in self.leases:
                continue
            self.lease_to(requester, chunk, now_s)
            given.append(chunk)
        return given

    def lease_to(self, requester: LeaseRequester, chunk: int, now_s: float) -> None:
        """Lease one chunk to a requester."""
        self.leases[chunk] = ChunkLease(
            server=requester.server, expires_s=now_s + LEASE_VALID_S, is_lost=requester.is_lost
        )


class LeaseRequester:
    """Who asks for leases.

    Parameters
    ----------
    room
        Chunks that it can take.
    held
        Chunks that it has.
    participants
        How many take part in the version.
    lost
        Tells whether its connection is closed.
    """

    __slots__ = ("held", "is_lost", "participants", "capacity", "server")

    def __init__(
        self,
        *,
        server: str,
        capacity: int,
        held: Bitmap,
        participants: int,
        is_lost: Callable[[], bool],
    ) -> None:
        self.is_lost = is_lost
        self.server = server
        self.capacity = capacity
        self.held = held
        self.participants = participants


class LeasePolicy(Protocol):
    """Decides which chunks a requester may read."""

    exchange: bool

    def grant(self, book: LeaseTable, *, requester: LeaseRequester, now_s: float) -> list[int]:
        """Give chunks to a requester."""
        ...


class ExactLeasePolicy:
    """Never more chunks than asked for; nothing free gives nothing.

    Towards the end less is given at a time, so that no one has several chunks before it while
    others have none.
    """

    __slots__ = ()
    exchange = True

    def grant(self, book: LeaseTable, *, requester: LeaseRequester, now_s: float) -> list[int]:
        """Lease free chunks, no more than there is room for."""
        part = len(book.free) // (SHARES_EACH * max(requester.participants, 1))
        unread = sum(1 for lease in book.leases.values() if lease.server == requester.server)
        allowed = min(requester.capacity, max(LEAST_UNREAD, part) - unread)
        return book.lease_free(requester, max(0, allowed), now_s)


class WidenedLeasePolicy:
    """Everything that is free to the first who asks; later ones take half of the largest lease."""

    __slots__ = ()
    exchange = True

    def grant(self, book: LeaseTable, *, requester: LeaseRequester, now_s: float) -> list[int]:
        """Lease all that is free, or call half of the largest holder's chunks back."""
        given = book.lease_free(requester, book.delivered.count, now_s)
        if given or any(lease.server == requester.server for lease in book.leases.values()):
            return given
        by_server: dict[str, list[int]] = {}
        for chunk, lease in book.leases.items():
            by_server.setdefault(lease.server, []).append(chunk)
        if not by_server:
            return []
        largest = max(by_server, key=lambda holder: len(by_server[holder]))
        taken = sorted(by_server[largest])[len(by_server[largest]) // 2 + 1 :]
        for chunk in taken:
            book.lease_to(requester, chunk, now_s)
        book.revoked.setdefault(largest, []).extend(taken)
        return taken


class NoLeasePolicy:
    """Any chunk that the requester lacks, whoever else reads it."""

    __slots__ = ("_random", "exchange")

    def __init__(self, *, exchange: bool, seed: int) -> None:
        self.exchange = exchange
        self._random = random.Random(seed)

    def grant(self, book: LeaseTable, *, requester: LeaseRequester, now_s: float) -> list[int]:
        """Give random chunks that the requester lacks."""
        missing = list(requester.held.missing())
        return self._random.sample(missing, min(requester.capacity, len(missing)))


def lease_policy(mode: LeaseMode, *, seed: int) -> LeasePolicy:
    """Give the rule of a mode."""
    match mode:
        case LeaseMode.EXACT:
            return ExactLeasePolicy()
        case LeaseMode.WIDENED:
            return WidenedLeasePolicy()
        case LeaseMode.NONE:
            return NoLeasePolicy(exchange=True, seed=seed)
        case LeaseMode.DIRECT:
            return NoLeasePolicy(exchange=False, seed=seed)


__all__ = ["LEASE_VALID_S", "Asker", "ChunkLease", "LeaseBook", "LeaseRule", "lease_rule"]
