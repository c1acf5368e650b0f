"""Report of a demo run: its figures, the checks on them and a table for the terminal."""

from __future__ import annotations

import msgspec

from leadhollow.standin.ledgers import Verdict

MAX_ORIGIN_COPIES = 2.0


class DemoReport(msgspec.Struct, frozen=True, kw_only=True):
    """Figures of one demo run; ``leadhollow demo --json`` prints it as JSON.

    Parameters
    ----------
    ok
        Whether no check failed.
    origin_copies
        Bytes of the first version that the origin sent, divided by the size of its model file.
    time_to_all_s
        Seconds until the first version ran on every engine.
    change_to_all_s
        Seconds until the second version ran on every live engine.
    edit_in_force_s
        Longer of the two times until every entry applied an added and a removed group.
    resend_same_answer
        Whether a request sent twice with one idempotency key got the same response.
    resumed_streams
        Runs that engines started in the middle of a response.
    work_after_drain
        Requests that reached the drained backend server after the grace period.
    metrics_received
        Lines that the statsd stand-in received.
    failures
        Failed checks, as text.
    """

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
    step_failures: list[str],
) -> tuple[str, ...]:
    """List the checks that failed.

    Parameters
    ----------
    step_failures
        Failures that the steps of the run reported themselves; they come first.
    """
    failures = list(step_failures)
    for name in ("lost", "doubled", "wrong_answers", "mixed_versions", "false_not_executed"):
        count = getattr(verdict, name)
        if count:
            failures.append(f"{name}: {count}")
    if not verdict.executed:
        failures.append("no request was executed")
    if origin_copies > MAX_ORIGIN_COPIES:
        failures.append(f"origin_copies: {origin_copies:.2f}")
    if not resend_same_answer:
        failures.append("the resent call did not get the first answer")
    if work_after_drain:
        failures.append(f"work after drain: {work_after_drain}")
    return tuple(failures)


def format_report(report: DemoReport) -> str:
    """Format a report as a table for the terminal."""
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
