"""News of servers that ended and of requests in quarantine, as they travel."""

from __future__ import annotations

from collections.abc import Iterable

from result import Err, Ok, Result

from leadhollow.codes import Code
from leadhollow.decide.server_ends import ServerEnd, Verdict
from leadhollow.decide.suspects import MAX_REQUESTS_PER_END, SuspectTable
from leadhollow.failure import Failure
from leadhollow.wire.generated.ttypes import ServerEnd as EndRecord
from leadhollow.wire.generated.ttypes import SuspectNews
from leadhollow.wire.generated.ttypes import Verdict as VerdictRecord

MOST_RECORDS = 2_048  # of one message: all that a table keeps
FINGERPRINT_BYTES = 16


class SuspectChanges:
    """What a message said that was not known.

    Attributes
    ----------
    lives
        Ends of which more is known now.
    fingerprints
        Requests on which there is another verdict.
    """

    __slots__ = ("fingerprints", "lives")

    def __init__(self) -> None:
        self.lives: set[str] = set()
        self.fingerprints: set[bytes] = set()

    def __bool__(self) -> bool:
        return bool(self.lives or self.fingerprints)

    def merge(self, other: SuspectChanges) -> None:
        """Take in what else changed."""
        self.lives |= other.lives
        self.fingerprints |= other.fingerprints

    def pop_all(self) -> SuspectChanges:
        """Give what changed and begin anew."""
        taken = SuspectChanges()
        taken.merge(self)
        self.lives = set()
        self.fingerprints = set()
        return taken


def all_records(table: SuspectTable) -> SuspectChanges:
    """Name all that a table knows."""
    changed = SuspectChanges()
    changed.lives = {end.life for end in table.ends()}
    changed.fingerprints = {verdict.fingerprint for verdict in table.verdicts()}
    return changed


def encode_news(
    table: SuspectTable, changed: SuspectChanges, now_s: float, *, address: str = ""
) -> SuspectNews:
    """Encode what changed; times travel as ages, because clocks differ.

    Parameters
    ----------
    address
        Where the sender may be told what it lacks; empty where it has other ways to hear it.
    """
    ends = [table.end(life) for life in sorted(changed.lives)]
    verdicts = [table.verdict(fingerprint) for fingerprint in sorted(changed.fingerprints)]
    return SuspectNews(
        address,
        table.checksum(),
        [_end_record(end, now_s) for end in ends if end is not None],
        [_verdict_record(verdict, now_s) for verdict in verdicts if verdict is not None],
    )


def merge_news(
    table: SuspectTable, news: SuspectNews, now_s: float
) -> Result[SuspectChanges, Failure]:
    """Merge what a message says.

    Errors
    ------
    FRAME_MALFORMED
        It is larger than any table, or something in it is no fingerprint; nothing of it is taken.
    """
    ends, verdicts = news.ends or (), news.verdicts or ()
    failure = _check(ends, verdicts)
    if failure is not None:
        return Err(failure)
    changed = SuspectChanges()
    for end in ends:
        if table.merge_end(_end(end, now_s)):
            changed.lives.add(end.life)
    for verdict in verdicts:
        if table.merge_verdict(_verdict(verdict, now_s)):
            changed.fingerprints.add(verdict.fingerprint)
    return Ok(changed)


def _check(ends: Iterable[EndRecord], verdicts: Iterable[VerdictRecord]) -> Failure | None:
    ends, verdicts = list(ends), list(verdicts)
    if len(ends) + len(verdicts) > MOST_RECORDS:
        return _malformed(f"{len(ends)} ends and {len(verdicts)} verdicts")
    if any(not end.life for end in ends):
        return _malformed("an end without a life")
    if any(len(end.ran or ()) > MAX_REQUESTS_PER_END for end in ends):
        return _malformed("an end under more requests than a server runs")
    named = [found for end in ends for found in (*(end.ran or ()), *(end.cleared or ()))]
    named += [verdict.fingerprint or b"" for verdict in verdicts]
    wrong = [found for found in named if len(found) != FINGERPRINT_BYTES]
    return _malformed(f"a fingerprint of {len(wrong[0])} bytes") if wrong else None


def _malformed(detail: str) -> Failure:
    return Failure(code=Code.FRAME_MALFORMED, detail=f"news of suspects: {detail}")


def _end_record(end: ServerEnd, now_s: float) -> EndRecord:
    age_ms = int((now_s - end.happened_s) * 1000)
    return EndRecord(end.life, sorted(end.ran), sorted(end.cleared), age_ms, end.alive)


def _end(record: EndRecord, now_s: float) -> ServerEnd:
    return ServerEnd(
        life=record.life,
        ran=record.ran or (),
        cleared=record.cleared or (),
        alive=bool(record.alive),
        happened_s=now_s - max(0, record.age_ms or 0) / 1000,
    )


def _verdict_record(verdict: Verdict, now_s: float) -> VerdictRecord:
    age_ms = int((now_s - verdict.since_s) * 1000)
    return VerdictRecord(
        verdict.fingerprint, verdict.number, verdict.released, list(verdict.lives), age_ms
    )


def _verdict(record: VerdictRecord, now_s: float) -> Verdict:
    return Verdict(
        fingerprint=record.fingerprint,
        number=int(record.number or 0),
        released=bool(record.released),
        lives=tuple(record.lives or ()),
        since_s=now_s - max(0, record.age_ms or 0) / 1000,
    )


__all__ = ["Changed", "encode_news", "all_records", "merge_news"]
