"""Policies that assign reads from the origin to the participants of a version.

``ExactLeasePolicy`` is the default; the others are for experiments.
"""

from __future__ import annotations

import random
from collections.abc import Callable
from typing import Protocol

from leadhollow.settings.model import LeaseMode
from leadhollow.weights.bitmap import Bitmap

LEASE_VALID_S = 10.0
HEDGE_AFTER_S = 1.0
PARTS_PER_SHARE = 2  # a grant is the even share of the free chunks, divided by this
MIN_UNREAD = 2  # one chunk being read and one leased ahead
HEDGE_CAP_COPIES = 0.4  # hedged reads per chunk of the version


class ChunkLease:
    """Right of one server to read one chunk from the origin.

    Parameters
    ----------
    is_lost
        Returns whether the connection of the lease holder is closed.
    """

    __slots__ = ("expires_s", "is_lost", "server")

    def __init__(self, *, server: str, expires_s: float, is_lost: Callable[[], bool]) -> None:
        self.server = server
        self.expires_s = expires_s
        self.is_lost = is_lost


class LeaseTable:
    """Chunks of one version by state: free, leased or delivered.

    Attributes
    ----------
    delivered
        Chunks that some server holds.
    free
        Chunks that may be leased, the next one last; entries may be stale.
    revoked
        Revoked chunks by server, to be reported in the reply to its next request.
    hedged_count
        Hedged reads granted so far.
    """

    __slots__ = ("delivered", "free", "hedged_count", "leases", "revoked")

    def __init__(self, *, chunk_count: int) -> None:
        self.delivered = Bitmap(count=chunk_count)
        self.leases: dict[int, ChunkLease] = {}
        self.free = list(range(chunk_count - 1, -1, -1))
        self.revoked: dict[str, list[int]] = {}
        self.hedged_count = 0

    def grant_hedged(self, *, requester: LeaseRequester, now_s: float) -> list[int]:
        """Grant chunks that others have been reading for long, within the cap on hedged reads."""
        slow_expiry_s = now_s + LEASE_VALID_S - HEDGE_AFTER_S
        slow = [
            chunk
            for chunk, lease in self.leases.items()
            if lease.expires_s <= slow_expiry_s
            and lease.server != requester.server
            and chunk not in requester.held
        ]
        cap = int(self.delivered.count * HEDGE_CAP_COPIES) - self.hedged_count
        given = slow[: max(0, min(requester.capacity, cap))]
        self.hedged_count += len(given)
        return given

    def mark_delivered(self, chunks: list[int]) -> None:
        """Record chunks that some server holds, and end their leases."""
        for chunk in chunks:
            self.delivered.add(chunk)
            self.leases.pop(chunk, None)

    def release_expired(self, now_s: float) -> None:
        """End leases that have expired or whose holder has disconnected, and free the chunks."""
        for chunk, lease in list(self.leases.items()):
            if now_s >= lease.expires_s or lease.is_lost():
                del self.leases[chunk]
                self.free.append(chunk)

    def release_stuck(self, chunks: list[int]) -> None:
        """Free delivered chunks that no reachable server holds any more."""
        for chunk in chunks:
            if not 0 <= chunk < self.delivered.count:
                continue
            if chunk in self.delivered and chunk not in self.leases:
                self.delivered.discard_all([chunk])
                self.free.append(chunk)

    def lease_free(self, requester: LeaseRequester, count: int, now_s: float) -> list[int]:
        """Lease up to ``count`` free chunks to a requester."""
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
    """Server that requests leases.

    Parameters
    ----------
    capacity
        How many chunks it can take.
    held
        Chunks that it holds.
    participants
        Number of servers that fetch or hold the version.
    is_lost
        Returns whether its connection is closed.
    """

    __slots__ = ("capacity", "held", "is_lost", "participants", "server")

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
    """Decides which chunks a requester may read from the origin.

    Attributes
    ----------
    exchange
        Whether servers exchange chunks with each other under this policy.
    """

    exchange: bool

    def grant(self, table: LeaseTable, *, requester: LeaseRequester, now_s: float) -> list[int]:
        """Return the chunks granted to a requester."""
        ...


class ExactLeasePolicy:
    """Leases at most as many free chunks as requested, and none if none is free.

    Grants get smaller as the free chunks run out. This keeps one server from having several chunks
    left to read while others have none.
    """

    __slots__ = ()
    exchange = True

    def grant(self, table: LeaseTable, *, requester: LeaseRequester, now_s: float) -> list[int]:
        """Lease free chunks within the capacity of the requester."""
        part = len(table.free) // (PARTS_PER_SHARE * max(requester.participants, 1))
        unread = sum(1 for lease in table.leases.values() if lease.server == requester.server)
        allowed = min(requester.capacity, max(MIN_UNREAD, part) - unread)
        return table.lease_free(requester, max(0, allowed), now_s)


class WidenedLeasePolicy:
    """Leases all free chunks to the first requester.

    Each later requester takes over half of the chunks of the server that has most leased.
    """

    __slots__ = ()
    exchange = True

    def grant(self, table: LeaseTable, *, requester: LeaseRequester, now_s: float) -> list[int]:
        """Lease all free chunks, or else revoke half of the chunks of the largest holder."""
        given = table.lease_free(requester, table.delivered.count, now_s)
        if given or any(lease.server == requester.server for lease in table.leases.values()):
            return given
        by_server: dict[str, list[int]] = {}
        for chunk, lease in table.leases.items():
            by_server.setdefault(lease.server, []).append(chunk)
        if not by_server:
            return []
        largest = max(by_server, key=lambda holder: len(by_server[holder]))
        revoked_chunks = sorted(by_server[largest])[len(by_server[largest]) // 2 + 1 :]
        for chunk in revoked_chunks:
            table.lease_to(requester, chunk, now_s)
        table.revoked.setdefault(largest, []).extend(revoked_chunks)
        return revoked_chunks


class NoLeasePolicy:
    """Grants any chunk that the requester lacks, even if other servers read it too."""

    __slots__ = ("_random", "exchange")

    def __init__(self, *, exchange: bool, seed: int) -> None:
        self.exchange = exchange
        self._random = random.Random(seed)

    def grant(self, table: LeaseTable, *, requester: LeaseRequester, now_s: float) -> list[int]:
        """Grant random chunks that the requester lacks."""
        missing = list(requester.held.missing())
        return self._random.sample(missing, min(requester.capacity, len(missing)))


def lease_policy(mode: LeaseMode, *, seed: int) -> LeasePolicy:
    """Return the policy of a lease mode."""
    match mode:
        case LeaseMode.EXACT:
            return ExactLeasePolicy()
        case LeaseMode.WIDENED:
            return WidenedLeasePolicy()
        case LeaseMode.NONE:
            return NoLeasePolicy(exchange=True, seed=seed)
        case LeaseMode.DIRECT:
            return NoLeasePolicy(exchange=False, seed=seed)


__all__ = [
    "LEASE_VALID_S",
    "ChunkLease",
    "LeasePolicy",
    "LeaseRequester",
    "LeaseTable",
    "lease_policy",
]
