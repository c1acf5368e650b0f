"""``leadhollow explain``."""

from __future__ import annotations

from pathlib import Path

from cleo.commands.command import Command
from cleo.helpers import argument, option

from leadhollow.cli.output import print_failure, print_json, print_text
from leadhollow.codes import Code
from leadhollow.explain.records import LogRecord, read_records
from leadhollow.explain.story import tell_story
from leadhollow.failure import Failure


class ExplainCommand(Command):
    """Tells what happened to one request."""

    name = "explain"
    description = "Put the story of one request together from the logs of several processes."
    arguments = [  # noqa: RUF012
        argument("request", "Id of the caller's attempt."),
        argument("logs", "Files with log lines.", multiple=True),
    ]
    options = [option("json", None, "Print one JSON object a line.", flag=True)]  # noqa: RUF012

    def handle(self) -> int:
        """Print the story."""
        records: list[LogRecord] = []
        for name in self.argument("logs"):
            try:
                text = Path(name).read_text(encoding="utf-8", errors="replace")
            except OSError as error:
                failure = Failure(code=Code.COMMAND_USAGE, detail=f"{name}: {error.strerror}")
                return print_failure(failure)
            records += read_records(name, text.splitlines())
        request = self.argument("request")
        story = tell_story(request, records)
        if not story:
            failure = Failure(code=Code.COMMAND_USAGE, detail=f"no line names request {request}")
            return print_failure(failure)
        for line in story:
            record = line.record
            if self.option("json"):
                where = {"after_s": round(line.after_s, 6), "source": record.source}
                print_json({**where, "message": record.message, **record.fields})
                continue
            pairs = " ".join(
                f"{name}={value}" for name, value in record.fields.items() if name != "request"
            )
            print_text(f"{line.after_s:9.3f} s  {record.source:20}  {record.message}  {pairs}")
        return 0


__all__ = ["ExplainCommand"]
