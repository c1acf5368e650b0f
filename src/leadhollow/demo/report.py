"""What the demonstration found, for a person and as one object."""

from __future__ import annotations

import msgspec

from leadhollow.standin.ledgers import Verdict

MAXIMUM_ORIGIN_COPIES = 2.0


class DemoReport(msgspec.Struct, frozen=True, kw_only=True):
    """Figures of one run."""

    ok: bool
    origin_copies: float
    time_to_all_s: float
    change_to_all_s: float
    requests: int
    executed: int
    not_executed: int
    unknown: int
    lost: int
    doubled: int
    wrong_answers: int
    mixed_versions: int
    false_not_executed: int
    edit_in_force_s: float
    resend_same_answer: bool
    resumed_streams: int
    work_after_drain: int
    metrics_received: int
    elapsed_s: float
    failures: tuple[str, ...]


def find_failures(
    *,
    verdict: Verdict,
    origin_copies: float,
    resend_same_answer: bool,
    work_after_drain: int,
    steps: list[str],
) -> tuple[str, ...]:
    """Name every promise that the records show as broken."""
    found = list(steps)
    for name in ("lost", "doubled", "wrong_answers", "mixed_versions", "false_not_executed"):
        count = getattr(verdict, name)
        if count:
            found.append(f"{name}: {count}")
    if not verdict.executed:
        found.append("no request was executed")
    if origin_copies > MAXIMUM_ORIGIN_COPIES:
        found.append(f"origin_copies: {origin_copies:.2f}")
    if not resend_same_answer:
        found.append("the resent call did not get the first answer")
    if work_after_drain:
        found.append(f"work after drain: {work_after_drain}")
    return tuple(found)


def format_report(report: DemoReport) -> str:
    """Render a report for a person."""
    rows = [
        ("Model on every engine after", f"{report.time_to_all_s:.2f} s"),
        ("Copies read from the origin", f"{report.origin_copies:.3f}"),
        ("New version on every engine after", f"{report.change_to_all_s:.2f} s"),
        ("Edit in force at every entry after", f"{report.edit_in_force_s:.3f} s"),
        ("Requests", str(report.requests)),
        ("  executed", str(report.executed)),
        ("  not executed", str(report.not_executed)),
        ("  unknown", str(report.unknown)),
        ("Lost answers", str(report.lost)),
        ("Doubled runs", str(report.doubled)),
        ("Wrong or short answers", str(report.wrong_answers)),
        ("Mixed versions", str(report.mixed_versions)),
        ("False 'not executed'", str(report.false_not_executed)),
        ("Streams resumed elsewhere", str(report.resumed_streams)),
        ("Requests sent to a drained server", str(report.work_after_drain)),
        ("Resent call got the first answer", "yes" if report.resend_same_answer else "no"),
        ("Elapsed", f"{report.elapsed_s:.1f} s"),
    ]
    width = max(len(name) for name, _ in rows)
    lines = [f"{name:<{width}}  {value}" for name, value in rows]
    lines += [f"BROKEN: {failure}" for failure in report.failures]
    lines.append("All promises held." if report.ok else "Not all promises held.")
    return "\n".join(lines)


__all__ = ["DemoReport", "find_failures", "format_report"]
