"""``leadhollow demo``: runs the whole system in one process and checks its guarantees."""

from __future__ import annotations

import asyncio
import signal
import tempfile
from pathlib import Path

from cleo.commands.command import Command
from cleo.helpers import option
from result import Err, Result

from leadhollow.cli.loop import run_async
from leadhollow.cli.output import print_failure, print_json, print_text
from leadhollow.codes import Code
from leadhollow.demo.demo_run import DemoRun
from leadhollow.demo.report import DemoReport, format_report
from leadhollow.failure import Failure
from leadhollow.observe.logs import LogFormat, configure_command_logs


class DemoCommand(Command):
    """Runs the whole system in one process."""

    name = "demo"
    description = "Run the whole system on loopback and check its promises."
    options = [  # noqa: RUF012
        option("model", None, "Model file to publish; else one of 64 MiB is made.", flag=False),
        option("data", None, "Folder for all data; else a temporary one.", flag=False),
        option("keep", None, "Keep the data folder.", flag=True),
        option("log-level", None, "debug, info, warning or error.", flag=False, default="error"),
        option("json", None, "Print the report as one object on the last line.", flag=True),
    ]
    help = (
        "Starts three failure domains with 7 entry VMs and 10 backend servers between stand-ins\n"
        "of engines, a plain service and the origin. Publishes a model, distributes it, runs\n"
        "requests of several groups, changes the version under load, loses one backend server and\n"
        "drains another, then compares what callers were told with what engines and service\n"
        "recorded."
    )

    def handle(self) -> int:
        """Run the demonstration."""
        configure_command_logs(log_format=LogFormat.TEXT, level=self.option("log-level"))
        model = self.option("model")
        model_path = None if model is None else Path(model)
        if model_path is not None and not model_path.is_file():
            failure = Failure(code=Code.FILE_UNREADABLE, detail=f"{model} is no file")
            return print_failure(failure)
        if model_path is not None and model_path.stat().st_size == 0:
            return print_failure(Failure(code=Code.EMPTY_MODEL, detail=f"{model} is empty"))
        result = self._run_in_folder(model_path)
        if result is None:
            print_text("Stopped.")
            return Code.CHECK_FAILED.exit_code
        if result.is_err():
            return print_failure(result.unwrap_err())
        report = result.unwrap()
        print_text(format_report(report))
        if self.option("json"):
            print_json(report)
        return 0 if report.ok else Code.CHECK_FAILED.exit_code

    def _run_in_folder(self, model_path: Path | None) -> Result[DemoReport, Failure] | None:
        if self.option("data") is not None:
            folder = Path(self.option("data"))
            try:
                folder.mkdir(parents=True, exist_ok=True)
            except OSError as error:
                return Err(Failure(code=Code.FILE_UNREADABLE, detail=str(error)))
            return run_async(_run_story(folder, model_path))
        if self.option("keep"):
            folder = Path(tempfile.mkdtemp(prefix="leadhollow-demo-"))
            print_text(f"Data is kept in {folder}")
            return run_async(_run_story(folder, model_path))
        with tempfile.TemporaryDirectory(prefix="leadhollow-demo-") as name:
            return run_async(_run_story(Path(name), model_path))


async def _run_story(folder: Path, model_path: Path | None) -> Result[DemoReport, Failure] | None:
    """Run the demonstration; returns None where SIGINT or SIGTERM stopped it."""
    story = DemoRun(folder=folder, model_path=model_path, on_progress=print_text)
    loop = asyncio.get_running_loop()
    task = loop.create_task(story.run())
    for number in (signal.SIGINT, signal.SIGTERM):
        loop.add_signal_handler(number, task.cancel)
    try:
        return await task
    except asyncio.CancelledError:
        return None


__all__ = ["DemoCommand"]
