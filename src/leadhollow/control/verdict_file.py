"""The verdicts of a control replica in a file of its own, for the time after a loss of power."""

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


class _Kept(msgspec.Struct, frozen=True):
    """One verdict as it is written."""

    fingerprint: str
    number: int
    released: bool
    lives: tuple[str, ...]


_decoder = msgspec.json.Decoder(tuple[_Kept, ...])


def save_verdicts(folder: Path, verdicts: Iterable[Verdict]) -> Result[None, Failure]:
    """Write all verdicts, so that a crash leaves the old file or the new one.

    Errors
    ------
    DISK_FAILED
        The disk refused a write or a sync.
    """
    kept = tuple(
        _Kept(found.fingerprint.hex(), found.number, found.released, found.lives)
        for found in verdicts
    )
    return replace_file(folder / FILE_NAME, msgspec.json.encode(kept))


def load_verdicts(folder: Path, now_s: float) -> list[Verdict]:
    """Read the verdicts; none where there is no file, or it cannot be read.

    A damaged file must not keep a replica from starting: entries and other replicas tell the rest.
    """
    read = read_file(folder / FILE_NAME)
    if read.is_err():
        log.warning("verdicts not read", failure=str(read.unwrap_err()))
        return []
    payload = read.unwrap()
    if payload is None:
        return []
    try:
        kept = _decoder.decode(payload)
        return [
            Verdict(
                fingerprint=bytes.fromhex(found.fingerprint),
                number=found.number,
                released=found.released,
                lives=found.lives,
                since_s=now_s,
            )
            for found in kept
        ]
    except ValueError as error:  # of msgspec too
        log.warning("verdicts not understood", error=str(error))
        return []


__all__ = ["load_verdicts", "save_verdicts"]
