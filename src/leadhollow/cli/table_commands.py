"""``leadhollow table``: shows, edits, imports and exports the rows of the groups."""

from __future__ import annotations

import hashlib
import secrets
from pathlib import Path

import msgspec
from cleo.helpers import argument, option
from cleo.io.inputs.option import Option
from result import Err, Ok, Result

from leadhollow.cli.operator_command import OperatorCommand, operator_options
from leadhollow.cli.output import print_failure, print_json, print_table, print_text
from leadhollow.cli.row_options import row_options, row_with_options
from leadhollow.codes import Code
from leadhollow.failure import Failure
from leadhollow.operator_client import OperatorClient
from leadhollow.state.commands import RowEdit
from leadhollow.state.operator_replies import EditReply, RowReply
from leadhollow.state.records import HistoryEntry, Row
from leadhollow.state.sheet import read_sheet, write_sheet

DEFAULT_WAIT_MS = 5_000
KEY_BYTES = 24


def wait_option() -> Option:
    """Return the option for how long to wait until an edit is in force."""
    return option(
        "wait-ms",
        None,
        "How long to wait until the edit is in force everywhere.",
        flag=False,
        default=str(DEFAULT_WAIT_MS),
    )


class TableListCommand(OperatorCommand):
    """Lists all rows of the table."""

    name = "table list"
    description = "List all rows of the table."
    options = operator_options()

    def handle(self) -> int:
        """Print the rows."""
        result = self.ask(lambda client: client.rows())
        if result.is_err():
            return self.fail(result.unwrap_err())
        if self.option("json"):
            print_json(result.unwrap())
            return 0
        print_table(
            ("GROUP", "REVISION", "WEIGHT", "CONCURRENCY", "TOKENS/S", "QUEUE", "MODELS"),
            [_list_row(reply) for reply in result.unwrap()],
        )
        return 0


class TableGetCommand(OperatorCommand):
    """Shows one row."""

    name = "table get"
    description = "Show one row as JSON."
    arguments = [argument("group", "Name of the group.")]  # noqa: RUF012
    options = operator_options()

    def handle(self) -> int:
        """Print the row."""
        result = self.ask(lambda client: client.row(self.argument("group")))
        if result.is_err():
            return self.fail(result.unwrap_err())
        if self.option("json"):
            print_json(result.unwrap())
        else:
            text = msgspec.json.encode(result.unwrap())
            print_text(msgspec.json.format(text, indent=2).decode())
        return 0


class TableSetCommand(OperatorCommand):
    """Changes, creates or removes one row."""

    name = "table set"
    description = "Change or create one row; what is not named stays as it is."
    arguments = [argument("group", "Name of the group.")]  # noqa: RUF012
    options = [  # noqa: RUF012
        *row_options(),
        option("new-key", None, "Make an API key, print it once and store its hash.", flag=True),
        option("remove", None, "Remove the row.", flag=True),
        option("expect", None, "Revision you saw; else the present one.", flag=False),
        wait_option(),
        *operator_options(),
    ]
    help = (
        "The edit is refused where somebody else changed the row since the expected revision.\n"
        "Accepted means synced on a majority of state replicas: it never reverts."
    )

    def handle(self) -> int:
        """Send the edit."""
        new_key = secrets.token_urlsafe(KEY_BYTES) if self.option("new-key") else ""
        result = self.ask(lambda client: self._set(client, new_key))
        if result.is_err():
            return self.fail(result.unwrap_err())
        reply = result.unwrap()
        if self.option("json"):
            print_json({**msgspec.to_builtins(reply), "api_key": new_key})
            return 0
        print_text(accepted_text(reply))
        if new_key:
            print_text(f"API key, shown only now: {new_key}")
        return 0

    async def _set(self, client: OperatorClient, new_key: str) -> Result[EditReply, Failure]:
        group = self.argument("group")
        found = await client.row(group)
        if found.is_err() and found.unwrap_err().code is not Code.ROW_UNKNOWN:
            return Err(found.unwrap_err())
        current = found.unwrap() if found.is_ok() else None
        edit = self._edit(group, current, new_key)
        if edit.is_err():
            return Err(edit.unwrap_err())
        return await client.edit(
            [edit.unwrap()], operator=self.operator, wait_ms=int(self.option("wait-ms"))
        )

    def _edit(self, group: str, current: RowReply | None, new_key: str) -> Result[RowEdit, Failure]:
        revision = 0 if current is None else current.revision
        if self.option("expect") is not None:
            revision = int(self.option("expect"))
        if self.option("remove"):
            return Ok(RowEdit(group=group, expected_revision=revision, row=None))
        base = Row(group=group, weight=1.0) if current is None else current.row
        changed = row_with_options(base, self.option)
        if changed.is_err():
            return Err(changed.unwrap_err())
        row = changed.unwrap()
        if new_key:
            digest = hashlib.sha256(new_key.encode()).hexdigest()
            row = msgspec.structs.replace(row, key_sha256s=(*row.key_sha256s, digest)[-2:])
        return Ok(RowEdit(group=group, expected_revision=revision, row=row))


class TableImportCommand(OperatorCommand):
    """Imports a CSV sheet as one edit."""

    name = "table import"
    description = "Import a CSV sheet as one edit: all of its rows or none."
    arguments = [argument("sheet", "CSV file as table export writes it.")]  # noqa: RUF012
    options = [  # noqa: RUF012
        option("dry-run", None, "Check everything and change nothing.", flag=True),
        wait_option(),
        *operator_options(),
    ]

    def handle(self) -> int:
        """Read the sheet and send it."""
        path = Path(self.argument("sheet"))
        try:
            text = path.read_text(encoding="utf-8")
        except (OSError, UnicodeDecodeError) as error:
            return self.fail(Failure(code=Code.FILE_UNREADABLE, detail=f"{path}: {error}"))
        read = read_sheet(text)
        if read.is_err():
            for failure in read.unwrap_err():
                print_failure(failure, where=str(path))
            return Code.SHEET_INVALID.exit_code
        result = self.ask(lambda client: self._import(client, read.unwrap()))
        if result.is_err():
            return self.fail(result.unwrap_err())
        if self.option("json"):
            print_json(result.unwrap())
        elif self.option("dry-run"):
            print_text(result.unwrap().detail or f"{len(read.unwrap())} rows would be accepted.")
        else:
            print_text(accepted_text(result.unwrap()))
        return 0

    async def _import(self, client: OperatorClient, rows: list[Row]) -> Result[EditReply, Failure]:
        current = await client.rows()
        if current.is_err():
            return Err(current.unwrap_err())
        current_rows = {reply.row.group: reply for reply in current.unwrap()}
        edits = [
            RowEdit(
                group=row.group,
                expected_revision=(
                    current_rows[row.group].revision if row.group in current_rows else 0
                ),
                row=row,
            )
            for row in rows
            if row.group not in current_rows or current_rows[row.group].row != row
        ]
        if not edits:
            return Ok(EditReply(detail="nothing differs"))
        return await client.edit(
            edits,
            operator=self.operator,
            wait_ms=int(self.option("wait-ms")),
            dry_run=self.option("dry-run"),
        )


class TableExportCommand(OperatorCommand):
    """Exports the table as a CSV sheet."""

    name = "table export"
    description = "Print the table as a CSV sheet that table import takes back."
    options = operator_options()

    def handle(self) -> int:
        """Print the sheet."""
        result = self.ask(lambda client: client.rows())
        if result.is_err():
            return self.fail(result.unwrap_err())
        sheet = write_sheet([reply.row for reply in result.unwrap()])
        if self.option("json"):
            print_json({"sheet": sheet})
        else:
            print_text(sheet.rstrip("\n"))
        return 0


class TableHistoryCommand(OperatorCommand):
    """Shows the history of accepted changes."""

    name = "table history"
    description = "Show accepted changes: who, what and at which revision."
    arguments = [argument("group", "Only this group.", optional=True)]  # noqa: RUF012
    options = operator_options()

    def handle(self) -> int:
        """Print the changes, oldest first."""
        result = self.ask(lambda client: client.history(self.argument("group") or ""))
        if result.is_err():
            return self.fail(result.unwrap_err())
        if self.option("json"):
            print_json(result.unwrap())
            return 0
        print_table(
            ("REVISION", "OPERATOR", "GROUP", "CHANGE"),
            [
                (entry.revision, entry.operator, entry.group, _change_text(entry))
                for entry in result.unwrap()
            ],
        )
        return 0


def accepted_text(reply: EditReply) -> str:
    """Return a readable description of an accepted edit."""
    if not reply.revision:
        return reply.detail or "Nothing changed."
    text = f"Accepted as revision {reply.revision}."
    if reply.in_force:
        text += f" In force after {reply.waited_ms} ms in {', '.join(reply.in_force)}."
    if reply.not_in_force:
        text += f" NOT yet in force in {', '.join(reply.not_in_force)}."
    return text


def _list_row(reply: RowReply) -> tuple[object, ...]:
    row = reply.row
    models = ", ".join(f"{model} {choice.version}" for model, choice in row.models.items())
    limits = row.limits
    return (
        row.group,
        reply.revision,
        f"{row.weight:g}",
        limits.concurrency,
        limits.tokens_per_s,
        limits.queue,
        models,
    )


def _change_text(entry: HistoryEntry) -> str:
    if entry.after is None:
        return "removed"
    if entry.before is None:
        return "created"
    before = msgspec.to_builtins(entry.before)
    after = msgspec.to_builtins(entry.after)
    return ", ".join(name for name in after if before.get(name) != after[name]) or "unchanged"


__all__ = [
    "TableExportCommand",
    "TableGetCommand",
    "TableHistoryCommand",
    "TableImportCommand",
    "TableListCommand",
    "TableSetCommand",
    "accepted_text",
]
