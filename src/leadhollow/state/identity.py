"""Identity of a replica's disk, created when the disk is first used."""

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
    """Identity of a replica, stored on its disk.

    Parameters
    ----------
    replica
        Unique for each disk that was ever used.
    first_voters
        Voter set with which the log started; empty for a replica that joined later.
    """

    replica: str
    first_voters: tuple[Voter, ...] = ()


def load_identity(
    folder: Path, *, own_address: str, seeds: tuple[Voter, ...], first_start: bool
) -> Result[Identity, Failure]:
    """Read the identity in a folder, or create one and sync it.

    Parameters
    ----------
    seeds
        Voters at the first start of the system.
    first_start
        Whether this is the first start. Only then does a seed get the identity by which the other
        seeds know it. If its disk is lost later, it gets a new identity and must join.

    Errors
    ------
    DISK_FAILED
        The folder cannot be read or written.
    IDENTITY_DAMAGED
        The file exists but is incomplete or damaged.
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
    identity = _create_identity(own_address=own_address, seeds=seeds, first_start=first_start)
    written = replace_file(folder / IDENTITY_FILE, msgspec.msgpack.encode(identity))
    return Err(written.unwrap_err()) if written.is_err() else Ok(identity)


def seed_voter(address: str, failure_domain: str = "") -> Voter:
    """Return the voter of a seed at the first start."""
    return Voter(replica=f"{SEED_PREFIX}{address}", address=address, failure_domain=failure_domain)


def _create_identity(*, own_address: str, seeds: tuple[Voter, ...], first_start: bool) -> Identity:
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
