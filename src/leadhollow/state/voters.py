"""Voter sets of the replicated log, which are changed by entries of the log itself.

A set is in force as soon as its entry is in a replica's log, committed or not. If the entry is cut
off the log, the set before it is in force again.
"""

from __future__ import annotations

from collections.abc import Iterable

import msgspec

from leadhollow.state.log_contents import Entry

VOTERS_TAG = "change-voters"
_TAG_WINDOW = 48  # the tag is the first field of an encoded command
_TAG_BYTES = VOTERS_TAG.encode()


class Voter(msgspec.Struct, frozen=True, kw_only=True):
    """A replica that votes, or a learner that may become a voter.

    Parameters
    ----------
    replica
        Identity of its disk; a replica that loses its disk gets a new one.
    address
        Address at which other replicas reach it.
    """

    replica: str
    address: str
    failure_domain: str


class ChangeVoters(msgspec.Struct, frozen=True, kw_only=True, tag=VOTERS_TAG):
    """Command that replaces the voter set; the only one that the log itself decodes."""

    voters: tuple[Voter, ...]


_decoder = msgspec.msgpack.Decoder(ChangeVoters)


class VoterSet:
    """Voter set of one entry of the log.

    Parameters
    ----------
    index
        Log index of the entry; 0 for the set with which a replica started.
    """

    __slots__ = ("_by_replica", "index", "voters")

    def __init__(self, *, index: int, voters: Iterable[Voter]) -> None:
        self.index = index
        self.voters = tuple(voters)
        self._by_replica = {voter.replica: voter for voter in self.voters}

    def __contains__(self, replica: str) -> bool:
        return replica in self._by_replica

    def __len__(self) -> int:
        return len(self.voters)

    def others(self, replica: str) -> list[Voter]:
        """Return all voters except one."""
        return [voter for voter in self.voters if voter.replica != replica]


class VoterHistory:
    """Voter sets in a replica's log, the newest last."""

    __slots__ = ("_sets",)

    def __init__(self, *, initial: Iterable[Voter]) -> None:
        self._sets = [VoterSet(index=0, voters=initial)]

    @property
    def current(self) -> VoterSet:
        """Voter set in force."""
        return self._sets[-1]

    def record_entries(self, entries: Iterable[Entry]) -> bool:
        """Add the voter sets of new entries.

        Returns
        -------
        bool
            Whether the set in force changed.
        """
        changed = False
        for entry in entries:
            voters = decode_voter_change(entry)
            if voters is not None:
                self._sets.append(VoterSet(index=entry.index, voters=voters))
                changed = True
        return changed

    def revert_from(self, index: int) -> bool:
        """Remove the sets of entries from an index on; return whether the set in force changed."""
        kept = [found for found in self._sets if found.index < index or found.index == 0]
        changed = len(kept) != len(self._sets)
        self._sets = kept
        return changed

    def reset(self, *, index: int, voters: Iterable[Voter]) -> None:
        """Replace all sets by that of a snapshot."""
        self._sets = [VoterSet(index=index, voters=voters)]

    def at(self, index: int) -> VoterSet:
        """Return the set in force at a log index."""
        return max(
            (found for found in self._sets if found.index <= index),
            key=lambda found: found.index,
            default=self._sets[0],
        )

    def compact_before(self, index: int) -> None:
        """Remove the sets before the one in force at the index of a snapshot."""
        base = self.at(index)
        self._sets = [base, *(found for found in self._sets if found.index > base.index)]


def decode_voter_change(entry: Entry) -> tuple[Voter, ...] | None:
    """Return the voters of an entry, None if it is another command."""
    if _TAG_BYTES not in entry.command[:_TAG_WINDOW]:
        return None
    try:
        return _decoder.decode(entry.command).voters
    except msgspec.MsgspecError:
        return None


def encode_voters(voters: Iterable[Voter]) -> bytes:
    """Encode a set for a snapshot."""
    return msgspec.msgpack.encode(list(voters))


def decode_voters(data: bytes) -> tuple[Voter, ...]:
    """Decode a set that :func:`encode_voters` encoded.

    Raises
    ------
    msgspec.MsgspecError
        The bytes are not an encoded voter set.
    """
    return msgspec.msgpack.decode(data, type=tuple[Voter, ...])


__all__ = [
    "ChangeVoters",
    "Voter",
    "VoterHistory",
    "VoterSet",
    "decode_voters",
    "encode_voters",
    "decode_voter_change",
]
