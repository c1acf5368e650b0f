"""``leadhollow explain``: finds the fate of requests and route tables in log files."""

from __future__ import annotations

from pathlib import Path

from cleo.commands.command import Command
from cleo.helpers import argument, option
from result import Err, Ok, Result

from leadhollow.cli.output import print_failure, print_json, print_table, print_text
from leadhollow.codes import Code
from leadhollow.explain.losses import Loss, LossTable, classify_losses
from leadhollow.explain.records import LogRecord, read_records
from leadhollow.explain.table_propagation import TablePropagation, trace_table
from leadhollow.explain.timeline import build_timeline
from leadhollow.failure import Failure


class ExplainCommand(Command):
    """Shows what happened to one request."""

    name = "explain"
    description = "Put the story of one request together from the logs of several processes."
    arguments = [  # noqa: RUF012
        argument("request", "Id of the caller's attempt."),
        argument("logs", "Files with log lines.", multiple=True),
    ]
    options = [option("json", None, "Print one JSON object a line.", flag=True)]  # noqa: RUF012

    def handle(self) -> int:
        """Print the timeline of the request."""
        read = _read_logs(self.argument("logs"))
        if read.is_err():
            return print_failure(read.unwrap_err())
        records = read.unwrap()
        request = self.argument("request")
        timeline = build_timeline(request, records)
        if not timeline:
            failure = Failure(code=Code.COMMAND_USAGE, detail=f"no line names request {request}")
            return print_failure(failure)
        for event in timeline:
            record = event.record
            if self.option("json"):
                where = {"after_s": round(event.after_s, 6), "source": record.source}
                print_json({**where, "message": record.message, **record.fields})
                continue
            pairs = " ".join(
                f"{name}={value}" for name, value in record.fields.items() if name != "request"
            )
            print_text(f"{event.after_s:9.3f} s  {record.source:20}  {record.message}  {pairs}")
        return 0


class ExplainDayCommand(Command):
    """Counts lost attempts by cause and second."""

    name = "explain day"
    description = "Count what entries refused, answered late or broke off, by cause."
    arguments = [argument("logs", "Files with log lines.", multiple=True)]  # noqa: RUF012
    options = [  # noqa: RUF012
        option("objective-ms", None, "Time until the first event.", flag=False, default="400"),
        option("seconds", None, "Also print each second.", flag=True),
        option("json", None, "Print one JSON object.", flag=True),
    ]

    def handle(self) -> int:
        """Print the counts."""
        objective = self.option("objective-ms")
        if not objective.isdigit() or int(objective) < 1:
            detail = f"--objective-ms: expected a whole number above 0, found {objective!r}"
            return print_failure(Failure(code=Code.COMMAND_USAGE, detail=detail))
        read = _read_logs(self.argument("logs"))
        if read.is_err():
            return print_failure(read.unwrap_err())
        table = classify_losses(read.unwrap(), objective_ms=float(objective))
        if self.option("json"):
            print_json(_loss_document(table))
            return 0
        rows = [(loss.value, table.by_cause[loss]) for loss in Loss if table.by_cause[loss]]
        print_table(("cause", "attempts"), rows)
        print_text(f"{sum(table.by_cause.values())} of {table.attempts} attempts")
        if self.option("seconds"):
            seconds = sorted(table.by_second)
            found = [(second, sum(table.by_second[second].values())) for second in seconds]
            print_table(("second", "attempts lost"), found)
        return 0


class ExplainTableCommand(Command):
    """Shows when one route table came into force."""

    name = "explain table"
    description = "Tell when a route table was acknowledged, and when each entry had it in force."
    arguments = [  # noqa: RUF012
        argument("number", "Number of the table."),
        argument("logs", "Files with log lines.", multiple=True),
    ]
    options = [option("json", None, "Print one JSON object.", flag=True)]  # noqa: RUF012

    def handle(self) -> int:
        """Print acknowledgements and entries."""
        text = self.argument("number")
        if not text.isdigit():
            detail = f"number: expected a whole number, found {text!r}"
            return print_failure(Failure(code=Code.COMMAND_USAGE, detail=detail))
        read = _read_logs(self.argument("logs"))
        if read.is_err():
            return print_failure(read.unwrap_err())
        propagation = trace_table(int(text), read.unwrap())
        if propagation is None:
            detail = f"no line says that route table {text} was acknowledged"
            return print_failure(Failure(code=Code.COMMAND_USAGE, detail=detail))
        if self.option("json"):
            print_json(_propagation_document(propagation))
            return 0
        acknowledged = [(source, f"{after_s:.3f}") for source, after_s in propagation.acknowledged]
        print_table(("acknowledged by", "after s"), acknowledged)
        print_table(
            ("entry", "in force after s", "last table", "last event of its feed"),
            [
                (
                    entry.source,
                    "never" if entry.after_s is None else f"{entry.after_s:.3f}",
                    entry.number,
                    entry.last_event,
                )
                for entry in propagation.entries
            ],
        )
        return 0


def _propagation_document(propagation: TablePropagation) -> dict[str, object]:
    return {
        "acknowledged": [
            {"source": source, "after_s": round(after_s, 6)}
            for source, after_s in propagation.acknowledged
        ],
        "entries": [
            {
                "source": entry.source,
                "after_s": None if entry.after_s is None else round(entry.after_s, 6),
                "number": entry.number,
                "last_event": entry.last_event,
            }
            for entry in propagation.entries
        ],
    }


def _loss_document(table: LossTable) -> dict[str, object]:
    return {
        "attempts": table.attempts,
        "by_cause": {loss.name.lower(): count for loss, count in table.by_cause.items()},
        "by_second": {
            str(second): {loss.name.lower(): count for loss, count in losses.items()}
            for second, losses in sorted(table.by_second.items())
        },
    }


def _read_logs(names: list[str]) -> Result[list[LogRecord], Failure]:
    """Read the log lines of all files; other lines are skipped."""
    records: list[LogRecord] = []
    for name in names:
        try:
            text = Path(name).read_text(encoding="utf-8", errors="replace")
        except OSError as error:
            detail = f"{name}: {error.strerror}"
            return Err(Failure(code=Code.COMMAND_USAGE, detail=detail))
        records += read_records(name, text.splitlines())
    return Ok(records)


__all__ = ["ExplainCommand", "ExplainDayCommand", "ExplainTableCommand"]
