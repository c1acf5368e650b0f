"""Identity of a replica's disk, made when the disk is first used."""

from __future__ import annotations

import secrets
from pathlib import Path

import msgspec
from result import Err, Ok, Result

from leadhollow.codes import Code
from leadhollow.failure import Failure
from leadhollow.state.files import read_file, replace_file, sync_folder
from leadhollow.state.voters import Voter

IDENTITY_FILE = "identity"
IDENTITY_BYTES = 8
SEED_PREFIX = "seed-"


class Identity(msgspec.Struct, frozen=True, kw_only=True):
    """Who a replica is.

    Parameters
    ----------
    replica
        Unique for each disk that was ever used.
    first_voters
        The set that the log began with; empty for a replica that joined later.
    """

    replica: str
    first_voters: tuple[Voter, ...] = ()


def load_identity(
    folder: Path, *, own_address: str, seeds: tuple[Voter, ...], first_start: bool
) -> Result[Identity, Failure]:
    """Read the identity of a folder, or make one and sync it.

    Parameters
    ----------
    seeds
        The voters of a system that starts for the first time.
    first_start
        Whether this is that start. Only then may a seed take the name that the others know it
        by; a disk that was lost since gets a new one and has to join.

    Errors
    ------
    DISK_FAILED
        The folder cannot be read or written.
    IDENTITY_DAMAGED
        The file is there but not whole.
    """
    try:
        folder.mkdir(parents=True, exist_ok=True)
        sync_folder(folder.parent)
    except OSError as error:
        return Err(Failure(code=Code.DISK_FAILED, detail=f"{folder}: {error}"))
    read = read_file(folder / IDENTITY_FILE)
    if read.is_err():
        return Err(Failure(code=Code.IDENTITY_DAMAGED, detail=read.unwrap_err().detail))
    payload = read.unwrap()
    if payload is not None:
        return _decode(payload)
    identity = _make(own_address=own_address, seeds=seeds, first_start=first_start)
    written = replace_file(folder / IDENTITY_FILE, msgspec.msgpack.encode(identity))
    return Err(written.unwrap_err()) if written.is_err() else Ok(identity)


def seed_voter(address: str, failure_domain: str = "") -> Voter:
    """Give the voter that a seed is at the first start."""
    return Voter(replica=f"{SEED_PREFIX}{address}", address=address, failure_domain=failure_domain)


def _make(*, own_address: str, seeds: tuple[Voter, ...], first_start: bool) -> Identity:
    own = next((seed for seed in seeds if seed.address == own_address), None)
    if first_start and own is not None:
        return Identity(replica=own.replica, first_voters=seeds)
    return Identity(replica=secrets.token_hex(IDENTITY_BYTES))


def _decode(payload: bytes) -> Result[Identity, Failure]:
    try:
        return Ok(msgspec.msgpack.decode(payload, type=Identity))
    except msgspec.MsgspecError as error:
        return Err(Failure(code=Code.IDENTITY_DAMAGED, detail=str(error)))


__all__ = ["Identity", "load_identity", "seed_voter"]
