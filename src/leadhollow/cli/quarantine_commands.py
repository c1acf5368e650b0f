"""``leadhollow quarantine``: lists, shows and releases what is in quarantine."""

from __future__ import annotations

import getpass

from cleo.helpers import argument, option
from result import Err, Ok, Result

from leadhollow.cli.output import print_failure, print_json, print_table, print_text
from leadhollow.cli.replica_command import ReplicaCommand, json_option, replica_argument
from leadhollow.codes import Code
from leadhollow.decide.fingerprints import count_requests, kind_of
from leadhollow.failure import Failure
from leadhollow.wire.generated.ttypes import (
    ServerEnd,
    SuspectNews,
    SuspectQuery,
    SuspectRelease,
    Verdict,
)


class _QuarantineCommand(ReplicaCommand):
    """Base class of commands that ask a control replica for its verdicts."""

    def verdicts(self) -> Result[tuple[SuspectNews, list[Verdict]], Failure]:
        """Return the suspect table of the replica and its verdicts."""
        result = self.ask(SuspectQuery(getpass.getuser()))
        if result.is_err():
            return Err(result.unwrap_err())
        news: SuspectNews = result.unwrap()
        return Ok((news, list(news.verdicts or ())))


class QuarantineListCommand(_QuarantineCommand):
    """Lists the requests and prompt parts in quarantine."""

    name = "quarantine list"
    description = "List the requests, and parts of prompts, that are sent to no server any more."
    arguments = [replica_argument()]  # noqa: RUF012
    options = [  # noqa: RUF012
        option("all", None, "Those that were released too.", flag=True),
        json_option(),
    ]

    def handle(self) -> int:
        """Print one line per fingerprint."""
        result = self.verdicts()
        if result.is_err():
            return print_failure(result.unwrap_err())
        _, verdicts = result.unwrap()
        shown = [found for found in verdicts if self.option("all") or not found.released]
        if self.option("json"):
            print_json([_document(found) for found in shown])
            return 0
        rows = [
            (
                found.fingerprint.hex(),
                kind_of(found.fingerprint).value,
                "released" if found.released else "held",
                found.number,
                round((found.age_ms or 0) / 1000),
                len(found.lives or ()),
            )
            for found in shown
        ]
        print_table(("FINGERPRINT", "KIND", "STATE", "TIMES", "SINCE_S", "SERVERS"), rows)
        return 0


class QuarantineShowCommand(_QuarantineCommand):
    """Shows why a request or a prompt part is in quarantine."""

    name = "quarantine show"
    description = (
        "Show the servers that ended under a request or part, and how many others ran there."
    )
    arguments = [  # noqa: RUF012
        replica_argument(),
        argument("fingerprint", "Its first digits; log lines show twelve."),
    ]
    options = [json_option()]  # noqa: RUF012

    def handle(self) -> int:
        """Print one line per server."""
        match = self.find_verdict()
        if match.is_err():
            return print_failure(match.unwrap_err())
        news, verdict = match.unwrap()
        ends = {end.life: end for end in news.ends or ()}
        rows = []
        for life in verdict.lives or ():
            end = ends.get(life)
            others = "forgotten" if end is None else _count_others(verdict, end)
            rows.append((life, others, "" if end is None else round(end.age_ms / 1000)))
        if self.option("json"):
            servers = [{"life": row[0], "others": row[1], "since_s": row[2]} for row in rows]
            print_json({**_document(verdict), "servers": servers})
        else:
            kind = kind_of(verdict.fingerprint).value
            state = "released" if verdict.released else "held"
            print_text(f"{verdict.fingerprint.hex()} {kind} {state}")
            print_table(("SERVER", "OTHERS", "SINCE_S"), rows)
        return 0

    def find_verdict(self) -> Result[tuple[SuspectNews, Verdict], Failure]:
        """Find the only verdict whose fingerprint begins with the argument."""
        result = self.verdicts()
        if result.is_err():
            return Err(result.unwrap_err())
        news, verdicts = result.unwrap()
        return _match_fingerprint(self.argument("fingerprint"), verdicts).map(
            lambda found: (news, found)
        )


class QuarantineReleaseCommand(QuarantineShowCommand):
    """Releases a request or a prompt part from quarantine."""

    name = "quarantine release"
    description = "Let a request or part be sent again, until three more servers end under it."
    help = "The servers that ended under it speak against it no more. All entries know in a second."

    def handle(self) -> int:
        """Release the request or part and print its fingerprint."""
        match = self.find_verdict()
        if match.is_err():
            return print_failure(match.unwrap_err())
        _, verdict = match.unwrap()
        released = self.ask(SuspectRelease(verdict.fingerprint, getpass.getuser()))
        if released.is_err():
            return print_failure(released.unwrap_err())
        if self.option("json"):
            print_json({**_document(verdict), "released": True})
        else:
            print_text(f"{verdict.fingerprint.hex()} is sent again.")
        return 0


def _match_fingerprint(text: str, verdicts: list[Verdict]) -> Result[Verdict, Failure]:
    wanted = text.lower()
    if not wanted or not all(letter in "0123456789abcdef" for letter in wanted):
        return Err(Failure(code=Code.FINGERPRINT_INVALID, detail=text))
    found = [verdict for verdict in verdicts if verdict.fingerprint.hex().startswith(wanted)]
    if len(found) > 1:
        detail = f"{len(found)} fingerprints begin with {text}"
        return Err(Failure(code=Code.FINGERPRINT_INVALID, detail=detail))
    if not found:
        return Err(Failure(code=Code.FINGERPRINT_UNKNOWN, detail=text))
    return Ok(found[0])


def _count_others(verdict: Verdict, end: ServerEnd) -> int:
    return count_requests(end.ran or (), besides=verdict.fingerprint)


def _document(verdict: Verdict) -> dict[str, object]:
    return {
        "fingerprint": verdict.fingerprint.hex(),
        "kind": kind_of(verdict.fingerprint).value,
        "released": bool(verdict.released),
        "number": int(verdict.number),
        "since_s": round((verdict.age_ms or 0) / 1000),
        "lives": list(verdict.lives or ()),
    }


__all__ = ["QuarantineListCommand", "QuarantineReleaseCommand", "QuarantineShowCommand"]
