"""Verification, backup and restore of a state folder while its process is stopped."""

from __future__ import annotations

from pathlib import Path

import msgspec
from result import Err, Ok, Result

from leadhollow.codes import Code
from leadhollow.failure import Failure
from leadhollow.state.commands import decode_command
from leadhollow.state.files import read_file, replace_file
from leadhollow.state.log_contents import Entry, Snapshot
from leadhollow.state.log_store import LogStore, Vote
from leadhollow.state.machine import StateMachine

FORMAT = 1


class StateReport(msgspec.Struct, frozen=True, kw_only=True):
    """Summary of a state folder."""

    term: int
    voter: bool
    snapshot_index: int
    last_index: int
    entries: int
    rows: int
    versions: int
    claims: int


class Backup(msgspec.Struct, frozen=True, kw_only=True):
    """Content of a backup file.

    Parameters
    ----------
    entries
        Entries after the snapshot, including uncommitted ones, which a replica keeps, too.
    """

    format: int
    vote: Vote
    snapshot: Snapshot
    entries: list[Entry]


def verify_state(folder: Path) -> Result[StateReport, Failure]:
    """Read a state folder and apply all its entries.

    The only change on disk is that an incomplete record at the end of the log is cut off.

    Errors
    ------
    FILE_UNREADABLE
        The folder does not exist.
    LOG_DAMAGED, SNAPSHOT_DAMAGED, COMMAND_INVALID
        The state is damaged or unknown; the detail names the place.
    """
    if not folder.is_dir():
        return Err(Failure(code=Code.FILE_UNREADABLE, detail=f"{folder} is no folder"))
    store = LogStore(folder=folder)
    opened = store.open()
    if opened.is_err():
        return Err(opened.unwrap_err())
    try:
        return _replay(store)
    finally:
        store.close()


def backup_state(folder: Path, target: Path) -> Result[StateReport, Failure]:
    """Verify a state folder and copy it into one checksummed file."""
    verified = verify_state(folder)
    if verified.is_err():
        return verified
    store = LogStore(folder=folder)
    opened = store.open()
    if opened.is_err():
        return Err(opened.unwrap_err())
    backup = Backup(
        format=FORMAT,
        vote=store.vote or Vote(),
        snapshot=store.snapshot,
        entries=list(store.entries),
    )
    store.close()
    written = replace_file(target, msgspec.msgpack.encode(backup))
    return Err(written.unwrap_err()) if written.is_err() else verified


def restore_state(source: Path, folder: Path) -> Result[StateReport, Failure]:
    """Restore a backup into an empty folder.

    Errors
    ------
    FILE_UNREADABLE
        The backup does not exist, or the folder is not empty.
    SNAPSHOT_DAMAGED
        The backup is incomplete or damaged.
    """
    read = read_file(source)
    if read.is_err():
        return Err(read.unwrap_err())
    payload = read.unwrap()
    if payload is None:
        return Err(Failure(code=Code.FILE_UNREADABLE, detail=f"{source} is no file"))
    try:
        backup = msgspec.msgpack.decode(payload, type=Backup)
    except msgspec.MsgspecError as error:
        return Err(Failure(code=Code.SNAPSHOT_DAMAGED, detail=f"{source}: {error}"))
    if folder.exists() and any(folder.iterdir()):
        return Err(Failure(code=Code.FILE_UNREADABLE, detail=f"{folder} is not empty"))
    written = _write(backup, folder)
    return Err(written.unwrap_err()) if written.is_err() else verify_state(folder)


def _write(backup: Backup, folder: Path) -> Result[None, Failure]:
    store = LogStore(folder=folder)
    for step in (
        store.open,
        lambda: store.save_snapshot(backup.snapshot) if backup.snapshot.last_index else Ok(None),
        lambda: store.append(backup.entries) if backup.entries else Ok(None),
        lambda: store.save_vote(backup.vote),
    ):
        done = step()
        if done.is_err():
            return done
    store.close()
    return Ok(None)


def _replay(store: LogStore) -> Result[StateReport, Failure]:
    machine = StateMachine()
    if store.snapshot.last_index:
        try:
            machine.restore(store.snapshot.data)
        except msgspec.MsgspecError as error:
            return Err(Failure(code=Code.SNAPSHOT_DAMAGED, detail=str(error)))
    for entry in store.entries:
        command = decode_command(entry.command)
        if command.is_err():
            failure = command.unwrap_err()
            detail = f"entry {entry.index}: {failure.detail}"
            return Err(Failure(code=failure.code, detail=detail))
        machine.apply(entry.index, command.unwrap())
    vote = store.vote or Vote(voter=False)
    return Ok(
        StateReport(
            term=vote.term,
            voter=vote.voter,
            snapshot_index=store.snapshot.last_index,
            last_index=store.last_index,
            entries=len(store.entries),
            rows=len(machine.catalog.rows()),
            versions=len(machine.catalog.versions()),
            claims=machine.claim_count(),
        )
    )


__all__ = ["StateReport", "backup_state", "restore_state", "verify_state"]
