"""Wire encoding of updates about server ends and requests in quarantine."""

from __future__ import annotations

from collections.abc import Iterable

from result import Err, Ok, Result

from leadhollow.codes import Code
from leadhollow.decide.fingerprints import FINGERPRINT_BYTES
from leadhollow.decide.server_ends import ServerEnd, Verdict
from leadhollow.decide.suspects import MAX_SUSPECTS_PER_END, SuspectTable
from leadhollow.failure import Failure
from leadhollow.wire.generated.ttypes import ServerEnd as EndRecord
from leadhollow.wire.generated.ttypes import SuspectNews
from leadhollow.wire.generated.ttypes import Verdict as VerdictRecord

MAX_RECORDS = 2_048  # per message: a full table


class SuspectChanges:
    """Keys of the records of a suspect table that changed.

    Attributes
    ----------
    lives
        Lives whose server end changed.
    fingerprints
        Requests whose verdict changed.
    """

    __slots__ = ("fingerprints", "lives")

    def __init__(self) -> None:
        self.lives: set[str] = set()
        self.fingerprints: set[bytes] = set()

    def __bool__(self) -> bool:
        return bool(self.lives or self.fingerprints)

    def merge(self, other: SuspectChanges) -> None:
        """Add the changes of another set."""
        self.lives |= other.lives
        self.fingerprints |= other.fingerprints

    def pop_all(self) -> SuspectChanges:
        """Return all changes and clear this set."""
        changes = SuspectChanges()
        changes.merge(self)
        self.lives = set()
        self.fingerprints = set()
        return changes


def all_records(table: SuspectTable) -> SuspectChanges:
    """Return the keys of all records of a table."""
    changed = SuspectChanges()
    changed.lives = {end.life for end in table.ends()}
    changed.fingerprints = {verdict.fingerprint for verdict in table.verdicts()}
    return changed


def encode_news(
    table: SuspectTable, changed: SuspectChanges, now_s: float, *, address: str = ""
) -> SuspectNews:
    """Encode changed records, with times as ages, because clocks of machines differ.

    Parameters
    ----------
    address
        Address to which a peer may send records that the sender lacks; empty if the sender gets
        them another way.
    """
    ends = [table.end(life) for life in sorted(changed.lives)]
    verdicts = [table.verdict(fingerprint) for fingerprint in sorted(changed.fingerprints)]
    return SuspectNews(
        address,
        table.checksum(),
        [_encode_end(end, now_s) for end in ends if end is not None],
        [_encode_verdict(verdict, now_s) for verdict in verdicts if verdict is not None],
    )


def merge_news(
    table: SuspectTable, news: SuspectNews, now_s: float
) -> Result[SuspectChanges, Failure]:
    """Merge the records of a message into a table and return what changed.

    Errors
    ------
    FRAME_MALFORMED
        The message is larger than a full table, has an end without a life, or contains an invalid
        fingerprint or too many of them; none of it is merged.
    """
    ends, verdicts = news.ends or (), news.verdicts or ()
    failure = _check(ends, verdicts)
    if failure is not None:
        return Err(failure)
    changed = SuspectChanges()
    for end in ends:
        if table.merge_end(_decode_end(end, now_s)):
            changed.lives.add(end.life)
    for verdict in verdicts:
        if table.merge_verdict(_decode_verdict(verdict, now_s)):
            changed.fingerprints.add(verdict.fingerprint)
    return Ok(changed)


def _check(ends: Iterable[EndRecord], verdicts: Iterable[VerdictRecord]) -> Failure | None:
    ends, verdicts = list(ends), list(verdicts)
    if len(ends) + len(verdicts) > MAX_RECORDS:
        return _malformed(f"{len(ends)} ends and {len(verdicts)} verdicts")
    if any(not end.life for end in ends):
        return _malformed("an end without a life")
    if any(len(end.ran or ()) > MAX_SUSPECTS_PER_END for end in ends):
        return _malformed("an end under more suspects than a server runs")
    fingerprints = [found for end in ends for found in (*(end.ran or ()), *(end.cleared or ()))]
    fingerprints += [verdict.fingerprint or b"" for verdict in verdicts]
    invalid = [found for found in fingerprints if len(found) != FINGERPRINT_BYTES]
    return _malformed(f"a fingerprint of {len(invalid[0])} bytes") if invalid else None


def _malformed(detail: str) -> Failure:
    return Failure(code=Code.FRAME_MALFORMED, detail=f"news of suspects: {detail}")


def _encode_end(end: ServerEnd, now_s: float) -> EndRecord:
    age_ms = int((now_s - end.happened_s) * 1000)
    return EndRecord(end.life, sorted(end.ran), sorted(end.cleared), age_ms, end.alive)


def _decode_end(record: EndRecord, now_s: float) -> ServerEnd:
    return ServerEnd(
        life=record.life,
        ran=record.ran or (),
        cleared=record.cleared or (),
        alive=bool(record.alive),
        happened_s=now_s - max(0, record.age_ms or 0) / 1000,
    )


def _encode_verdict(verdict: Verdict, now_s: float) -> VerdictRecord:
    age_ms = int((now_s - verdict.since_s) * 1000)
    return VerdictRecord(
        verdict.fingerprint, verdict.number, verdict.released, list(verdict.lives), age_ms
    )


def _decode_verdict(record: VerdictRecord, now_s: float) -> Verdict:
    return Verdict(
        fingerprint=record.fingerprint,
        number=int(record.number or 0),
        released=bool(record.released),
        lives=tuple(record.lives or ()),
        since_s=now_s - max(0, record.age_ms or 0) / 1000,
    )


__all__ = ["SuspectChanges", "all_records", "encode_news", "merge_news"]
