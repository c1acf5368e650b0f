"""Who votes: the set of voters, which changes by entries of the log itself.

A set counts from the moment its entry stands in a replica's log, committed or not; an entry that
is cut off the log takes its set with it.
"""

from __future__ import annotations

from collections.abc import Iterable

import msgspec

from leadhollow.state.log_store import Entry

VOTERS_TAG = "change-voters"
_TAG_WINDOW = 48  # the tag is the first field of an encoded command
_TAG_BYTES = VOTERS_TAG.encode()


class Voter(msgspec.Struct, frozen=True, kw_only=True):
    """One replica.

    Parameters
    ----------
    replica
        Identity of its disk; a lost disk comes back under another one.
    address
        Where its frames go.
    """

    replica: str
    address: str
    failure_domain: str


class ChangeVoters(msgspec.Struct, frozen=True, kw_only=True, tag=VOTERS_TAG):
    """Replaces the voter set; the only command that the log itself reads."""

    voters: tuple[Voter, ...]


_decoder = msgspec.msgpack.Decoder(ChangeVoters)


class VoterSet:
    """Voters as one entry of the log named them.

    Parameters
    ----------
    index
        The entry's place in the log; 0 for the set that a replica began with.
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
        """Give all voters but one."""
        return [voter for voter in self.voters if voter.replica != replica]


class VoterHistory:
    """The voter sets that stand in a replica's log, the newest last."""

    __slots__ = ("_sets",)

    def __init__(self, *, initial: Iterable[Voter]) -> None:
        self._sets = [VoterSet(index=0, voters=initial)]

    @property
    def current(self) -> VoterSet:
        """The set in force."""
        return self._sets[-1]

    def record_entries(self, entries: Iterable[Entry]) -> bool:
        """Take the sets that new entries name.

        Returns
        -------
        bool
            Whether the set changed.
        """
        changed = False
        for entry in entries:
            voters = decode_voter_change(entry)
            if voters is not None:
                self._sets.append(VoterSet(index=entry.index, voters=voters))
                changed = True
        return changed

    def revert_from(self, index: int) -> bool:
        """Drop the sets of entries that were cut off the log; True where the set changed."""
        kept = [found for found in self._sets if found.index < index or found.index == 0]
        changed = len(kept) != len(self._sets)
        self._sets = kept
        return changed

    def reset(self, *, index: int, voters: Iterable[Voter]) -> None:
        """Begin from a snapshot."""
        self._sets = [VoterSet(index=index, voters=voters)]

    def at(self, index: int) -> VoterSet:
        """Give the set that was in force at an entry."""
        return max(
            (found for found in self._sets if found.index <= index),
            key=lambda found: found.index,
            default=self._sets[0],
        )

    def compact_before(self, index: int) -> None:
        """Forget sets that a snapshot at this index covers, but the one in force there."""
        base = self.at(index)
        self._sets = [base, *(found for found in self._sets if found.index > base.index)]


def decode_voter_change(entry: Entry) -> tuple[Voter, ...] | None:
    """Give the voters that an entry names, None where it is another command."""
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
        The bytes are no voters.
    """
    return msgspec.msgpack.decode(data, type=tuple[Voter, ...])


__all__ = [
    "ChangeVoters",
    "Voter",
    "VoterBook",
    "VoterSet",
    "decode_voters",
    "encode_voters",
    "voters_of",
]
