"""``leadhollow state``: verifies, backs up and restores the state of a stopped VM."""

from __future__ import annotations

from pathlib import Path

from cleo.commands.command import Command
from cleo.helpers import argument, option
from result import Result

from leadhollow.cli.output import print_failure, print_json, print_text
from leadhollow.failure import Failure
from leadhollow.state.backup import StateReport, backup_state, restore_state, verify_state

FOLDER_TEXT = "Folder of the state: DATA_FOLDER/state of a stopped VM."


class _StateCommand(Command):
    """Base class of commands on a state folder."""

    def report(self, result: Result[StateReport, Failure]) -> int:
        """Print a summary of the state, or why the operation failed; returns the exit code."""
        if result.is_err():
            return print_failure(result.unwrap_err())
        found = result.unwrap()
        if self.option("json"):
            print_json(found)
        else:
            print_text(
                f"whole: {found.rows} rows, {found.versions} versions, {found.claims} claims; "
                f"term {found.term}, last entry {found.last_index}, "
                f"snapshot to {found.snapshot_index}, {found.entries} entries after it"
            )
        return 0


class StateVerifyCommand(_StateCommand):
    """Verifies every record of a state folder."""

    name = "state verify"
    description = "Read the state of a stopped VM whole and check every record."
    arguments = [argument("folder", FOLDER_TEXT)]  # noqa: RUF012
    options = [option("json", None, "Print JSON.", flag=True)]  # noqa: RUF012

    def handle(self) -> int:
        """Verify the folder."""
        return self.report(verify_state(Path(self.argument("folder"))))


class StateBackupCommand(_StateCommand):
    """Backs a state folder up into one file."""

    name = "state backup"
    description = "Copy the state of a stopped VM into one checksummed file."
    arguments = [  # noqa: RUF012
        argument("folder", FOLDER_TEXT),
        argument("file", "Backup to write."),
    ]
    options = [option("json", None, "Print JSON.", flag=True)]  # noqa: RUF012

    def handle(self) -> int:
        """Write the backup."""
        folder, target = Path(self.argument("folder")), Path(self.argument("file"))
        return self.report(backup_state(folder, target))


class StateRestoreCommand(_StateCommand):
    """Restores a backup into an empty folder."""

    name = "state restore"
    description = "Bring a backup back into an empty folder, for every state VM alike."
    arguments = [  # noqa: RUF012
        argument("file", "Backup to read."),
        argument("folder", "Empty folder: DATA_FOLDER/state of a stopped VM."),
    ]
    options = [option("json", None, "Print JSON.", flag=True)]  # noqa: RUF012
    help = (
        "Only for a state that is lost on every VM: what was accepted after the backup is gone.\n"
        "One VM that lost its disk needs no backup: start it empty and it learns from the others."
    )

    def handle(self) -> int:
        """Restore the backup."""
        source, folder = Path(self.argument("file")), Path(self.argument("folder"))
        return self.report(restore_state(source, folder))


__all__ = ["StateBackupCommand", "StateRestoreCommand", "StateVerifyCommand"]
