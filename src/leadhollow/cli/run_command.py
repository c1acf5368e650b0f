"""``leadhollow run`` and ``leadhollow check``: run a process and check settings files."""

from __future__ import annotations

from pathlib import Path

from cleo.commands.command import Command
from cleo.helpers import argument, option

from leadhollow.cli.output import print_json, print_text
from leadhollow.cli.serve import serve
from leadhollow.settings.load import load_settings
from leadhollow.settings.model import Settings
from leadhollow.settings.rules import check_deployment


class RunCommand(Command):
    """Runs one process of the system."""

    name = "run"
    description = "Run one process with the roles that its settings name."
    arguments = [argument("settings", "Settings file of this VM, JSON.")]  # noqa: RUF012
    help = (
        "Starts the services of the roles in the settings and serves until SIGTERM, which drains\n"
        "and stops them. Nothing is started when the settings are wrong; see leadhollow check."
    )

    def handle(self) -> int:
        """Run the process until it is stopped."""
        return serve(Path(self.argument("settings")))


class CheckCommand(Command):
    """Checks settings files."""

    name = "check"
    description = "Check settings files, one by one and against each other."
    arguments = [  # noqa: RUF012
        argument("settings", "Settings files, JSON.", multiple=True),
    ]
    options = [option("json", None, "Print one object for each file.", flag=True)]  # noqa: RUF012
    help = "Prints one line for each file: ok, or its number, field and what is expected there."

    def handle(self) -> int:
        """Check every file; the exit code is that of the first failure."""
        exit_code = 0
        valid_settings: list[Settings] = []
        for name in self.argument("settings"):
            loaded = load_settings(Path(name))
            if loaded.is_ok():
                valid_settings.append(loaded.unwrap())
                self._report(name, "ok", 0, "")
                continue
            failure = loaded.unwrap_err()
            exit_code = exit_code or failure.code.exit_code
            self._report(name, str(failure), int(failure.code), failure.field)
        conflict = check_deployment(valid_settings)
        if conflict is not None:
            exit_code = exit_code or conflict.code.exit_code
            self._report("all files together", str(conflict), int(conflict.code), conflict.field)
        return exit_code

    def _report(self, name: str, text: str, code: int, field: str) -> None:
        if self.option("json"):
            print_json({"file": name, "code": code, "field": field, "detail": text})
        else:
            print_text(f"{name}: {text}")


__all__ = ["CheckCommand", "RunCommand"]
