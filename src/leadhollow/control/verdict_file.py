"""File that keeps the verdicts of a control replica across a power loss."""

from __future__ import annotations

from collections.abc import Iterable
from pathlib import Path

import msgspec
from result import Result

from leadhollow.decide.server_ends import Verdict
from leadhollow.failure import Failure
from leadhollow.observe.logs import get_logger
from leadhollow.state.files import read_file, replace_file

FILE_NAME = "quarantine"

log = get_logger("quarantine")


class _StoredVerdict(msgspec.Struct, frozen=True):
    """One verdict as it is stored."""

    fingerprint: str
    number: int
    released: bool
    lives: tuple[str, ...]


_decoder = msgspec.json.Decoder(tuple[_StoredVerdict, ...])


def save_verdicts(folder: Path, verdicts: Iterable[Verdict]) -> Result[None, Failure]:
    """Write all verdicts atomically: after a crash the file has the old or the new content.

    Errors
    ------
    DISK_FAILED
        The disk refused a write or a sync.
    """
    stored = tuple(
        _StoredVerdict(verdict.fingerprint.hex(), verdict.number, verdict.released, verdict.lives)
        for verdict in verdicts
    )
    return replace_file(folder / FILE_NAME, msgspec.json.encode(stored))


def load_verdicts(folder: Path, now_s: float) -> list[Verdict]:
    """Read the verdicts; return none if the file is missing or unreadable.

    A damaged file must not keep a replica from starting. Entries and other replicas resend their
    verdicts.
    """
    read = read_file(folder / FILE_NAME)
    if read.is_err():
        log.warning("verdicts not read", failure=str(read.unwrap_err()))
        return []
    payload = read.unwrap()
    if payload is None:
        return []
    try:
        stored = _decoder.decode(payload)
        return [
            Verdict(
                fingerprint=bytes.fromhex(verdict.fingerprint),
                number=verdict.number,
                released=verdict.released,
                lives=verdict.lives,
                since_s=now_s,
            )
            for verdict in stored
        ]
    except ValueError as error:  # the base class of msgspec errors too
        log.warning("verdict file malformed", error=str(error))
        return []


__all__ = ["load_verdicts", "save_verdicts"]
