"""Assembles the command-line application from its commands."""

from __future__ import annotations

from cleo.application import Application
from cleo.exceptions import CleoError

from leadhollow.cli.bench_command import (
    BenchCatchUpCommand,
    BenchControlCommand,
    BenchDistributionCommand,
    BenchFairnessCommand,
    BenchPathCommand,
    BenchRecoveryCommand,
    BenchRequestsCommand,
    BenchTableCommand,
)
from leadhollow.cli.demo_command import DemoCommand
from leadhollow.cli.domain_commands import (
    DomainEvacuateCommand,
    DomainListCommand,
    DomainRestoreCommand,
)
from leadhollow.cli.experiment_command import (
    ExperimentCrashesCommand,
    ExperimentLimitsCommand,
    ExperimentRunCommand,
)
from leadhollow.cli.explain_command import ExplainCommand, ExplainDayCommand, ExplainTableCommand
from leadhollow.cli.model_commands import ModelPublishCommand, ModelRolloutCommand
from leadhollow.cli.output import print_failure
from leadhollow.cli.quarantine_commands import (
    QuarantineListCommand,
    QuarantineReleaseCommand,
    QuarantineShowCommand,
)
from leadhollow.cli.run_command import CheckCommand, RunCommand
from leadhollow.cli.servers_command import ServersCommand
from leadhollow.cli.state_commands import (
    StateBackupCommand,
    StateRestoreCommand,
    StateVerifyCommand,
)
from leadhollow.cli.status_commands import DrainCommand, ErrorsCommand, StatusCommand
from leadhollow.cli.table_commands import (
    TableExportCommand,
    TableGetCommand,
    TableHistoryCommand,
    TableImportCommand,
    TableListCommand,
    TableSetCommand,
)
from leadhollow.codes import Code
from leadhollow.failure import Failure
from leadhollow.version import VERSION

COMMANDS = (
    RunCommand,
    CheckCommand,
    DemoCommand,
    StatusCommand,
    TableListCommand,
    TableGetCommand,
    TableSetCommand,
    TableImportCommand,
    TableExportCommand,
    TableHistoryCommand,
    ModelPublishCommand,
    ModelRolloutCommand,
    DrainCommand,
    ErrorsCommand,
    ExplainCommand,
    ExplainDayCommand,
    ExplainTableCommand,
    ExperimentRunCommand,
    ExperimentCrashesCommand,
    ExperimentLimitsCommand,
    QuarantineListCommand,
    QuarantineShowCommand,
    QuarantineReleaseCommand,
    ServersCommand,
    DomainEvacuateCommand,
    DomainRestoreCommand,
    DomainListCommand,
    StateVerifyCommand,
    StateBackupCommand,
    StateRestoreCommand,
    BenchControlCommand,
    BenchDistributionCommand,
    BenchFairnessCommand,
    BenchRecoveryCommand,
    BenchRequestsCommand,
    BenchPathCommand,
    BenchCatchUpCommand,
    BenchTableCommand,
)


def build_application() -> Application:
    """Build the application with all commands."""
    application = Application("leadhollow", VERSION)
    application.auto_exits(False)
    application.catch_exceptions(False)
    for command in COMMANDS:
        application.add(command())
    return application


def main() -> int:
    """Run the command line with the arguments of this process.

    Returns
    -------
    int
        Exit code: 0, or the class (hundreds digit) of the result code.
    """
    try:
        return build_application().run()
    except CleoError as error:
        return print_failure(Failure(code=Code.COMMAND_USAGE, detail=str(error).strip()))


__all__ = ["build_application", "main"]
