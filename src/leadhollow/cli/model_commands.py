"""``leadhollow model``: publishes model files and rolls versions out."""

from __future__ import annotations

import asyncio
from pathlib import Path

import msgspec
from cleo.helpers import argument, option
from result import Err, Ok, Result

from leadhollow.cli.operator_command import OperatorCommand, operator_options
from leadhollow.cli.output import end_progress, print_json, print_progress, print_text
from leadhollow.codes import Code
from leadhollow.failure import Failure
from leadhollow.operator_client import OperatorClient
from leadhollow.state.commands import RowEdit
from leadhollow.state.operator_replies import StatusReply
from leadhollow.weights.manifest import DEFAULT_CHUNK_BYTES

POLL_S = 0.5
DEFAULT_TIMEOUT_S = 1_800


class ModelPublishCommand(OperatorCommand):
    """Publishes a model file as a new version."""

    name = "model publish"
    description = "Hash a model file, put it at the origin and make the version known."
    arguments = [argument("file", "Model file.")]  # noqa: RUF012
    options = [  # noqa: RUF012
        option("model", None, "Name of the model.", flag=False),
        option("version", None, "Name of the version; it can never mean other bytes.", flag=False),
        option("origin", None, "Address of the origin.", flag=False),
        option(
            "chunk-bytes",
            None,
            "Size of a chunk in bytes.",
            flag=False,
            default=str(DEFAULT_CHUNK_BYTES),
        ),
        *operator_options(),
    ]

    def handle(self) -> int:
        """Publish the file and print its version record."""
        for name in ("model", "version", "origin"):
            if not self.option(name):
                detail = f"--{name} is missing"
                return self.fail(Failure(code=Code.COMMAND_USAGE, detail=detail))
        chunk_text = self.option("chunk-bytes")
        if not chunk_text.isdigit() or int(chunk_text) < 1:
            detail = f"--chunk-bytes: expected a whole number, found {chunk_text!r}"
            return self.fail(Failure(code=Code.COMMAND_USAGE, detail=detail))
        result = self.ask(
            lambda client: client.publish(
                Path(self.argument("file")),
                model=self.option("model"),
                version=self.option("version"),
                origin_url=self.option("origin"),
                chunk_bytes=int(chunk_text),
            )
        )
        if result.is_err():
            return self.fail(result.unwrap_err())
        record = result.unwrap()
        if self.option("json"):
            print_json(record)
        else:
            print_text(f"{record.model} {record.version} is published, root {record.root}.")
        return 0


class ModelRolloutCommand(OperatorCommand):
    """Rolls a published version out."""

    name = "model rollout"
    description = "Name a version in the rows that use the model, and follow the rollout."
    arguments = [  # noqa: RUF012
        argument("model", "Name of the model."),
        argument("version", "Published version."),
    ]
    options = [  # noqa: RUF012
        option("group", None, "Only this group's row.", flag=False, multiple=True),
        option("no-wait", None, "Return once the edit is accepted.", flag=True),
        option(
            "timeout-s", None, "How long to follow.", flag=False, default=str(DEFAULT_TIMEOUT_S)
        ),
        *operator_options(),
    ]
    help = "To roll back, roll out the version that ran before."

    def handle(self) -> int:
        """Edit the rows, then follow the rollout until it is complete."""
        result = self.ask(self._roll_out)
        end_progress()
        if result.is_err():
            return self.fail(result.unwrap_err())
        status = result.unwrap()
        if self.option("json"):
            print_json(status)
        else:
            model, version = self.argument("model"), self.argument("version")
            print_text(f"{model} {version}: {_progress_text(status, model, version)}")
        return 0

    async def _roll_out(self, client: OperatorClient) -> Result[StatusReply, Failure]:
        edited = await self._edit_rows(client)
        if edited.is_err():
            return Err(edited.unwrap_err())
        loop = asyncio.get_running_loop()
        deadline_s = loop.time() + float(self.option("timeout-s"))
        model, version = self.argument("model"), self.argument("version")
        while True:
            result = await client.status()
            if result.is_ok():
                status = result.unwrap()
                print_progress(_progress_text(status, model, version))
                if self.option("no-wait") or _is_rolled_out(status, model, version):
                    return Ok(status)
            if loop.time() >= deadline_s:
                detail = "the rollout goes on, but was not done in time"
                return Err(Failure(code=Code.CHECK_FAILED, detail=detail))
            await asyncio.sleep(POLL_S)

    async def _edit_rows(self, client: OperatorClient) -> Result[None, Failure]:
        model, version = self.argument("model"), self.argument("version")
        rows = await client.rows()
        if rows.is_err():
            return Err(rows.unwrap_err())
        selected_groups = set(self.option("group") or ())
        edits = []
        for reply in rows.unwrap():
            row = reply.row
            if model not in row.models or (selected_groups and row.group not in selected_groups):
                continue
            choice = msgspec.structs.replace(row.models[model], version=version)
            changed = msgspec.structs.replace(row, models={**row.models, model: choice})
            if changed != row:
                edits.append(
                    RowEdit(group=row.group, expected_revision=reply.revision, row=changed)
                )
        if not edits:
            return Ok(None)
        edited = await client.edit(edits, operator=self.operator)
        return Err(edited.unwrap_err()) if edited.is_err() else Ok(None)


def _slot_counts(status: StatusReply, model: str, version: str) -> dict[str, tuple[int, int]]:
    """Return, by failure domain, the slots that run the version and all slots of the model."""
    found = {}
    for domain in status.domains:
        lines = [line for line in domain.serving if line.name == model and line.kind == "engine"]
        done = sum(line.slots for line in lines if line.version == version)
        found[domain.failure_domain] = (done, sum(line.slots for line in lines))
    return found


def _is_rolled_out(status: StatusReply, model: str, version: str) -> bool:
    slots = _slot_counts(status, model, version)
    return all(done == total for done, total in slots.values()) and any(
        total for _, total in slots.values()
    )


def _progress_text(status: StatusReply, model: str, version: str) -> str:
    parts = [
        f"{domain} {done}/{total} slots"
        for domain, (done, total) in _slot_counts(status, model, version).items()
    ]
    origin_bytes = sum(domain.origin_bytes for domain in status.domains)
    return f"{', '.join(parts)}; {origin_bytes} bytes read from the origin"


__all__ = ["ModelPublishCommand", "ModelRolloutCommand"]
