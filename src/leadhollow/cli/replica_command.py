"""Base class and options of the commands that query one control replica."""

from __future__ import annotations

import getpass
import os

from cleo.commands.command import Command
from cleo.helpers import argument, option
from cleo.io.inputs.argument import Argument
from cleo.io.inputs.option import Option
from result import Result

from leadhollow.cli.loop import run_async
from leadhollow.failure import Failure
from leadhollow.wire.handlers import HandlerTable
from leadhollow.wire.messages import Body
from leadhollow.wire.peers import PeerPool

CALL_TIMEOUT_MS = 2_000
TOKEN_VARIABLE = "LEADHOLLOW_WIRE_TOKEN"
DEFAULT_TOKEN = "leadhollow"  # the default of the settings


class ReplicaCommand(Command):
    """Base class of commands that query a control replica."""

    def ask(self, body: Body) -> Result[Body, Failure]:  # type: ignore[override]
        """Call the replica that the argument names and return its reply."""
        address = self.argument("replica")
        token = os.environ.get(TOKEN_VARIABLE, DEFAULT_TOKEN)

        async def call_replica() -> Result[Body, Failure]:
            peers = PeerPool(
                vm=f"operator-{getpass.getuser()}",
                failure_domain="",
                token=token,
                handlers=HandlerTable(),
            )
            try:
                return await peers.call(address, body, timeout_ms=CALL_TIMEOUT_MS)
            finally:
                await peers.stop()

        return run_async(call_replica())


def replica_argument() -> Argument:
    """Return the argument for the address of the replica."""
    return argument("replica", "Address of a control replica's own port, HOST:PORT.")


def json_option() -> Option:
    """Return the option to print JSON."""
    return option("json", None, "Print JSON.", flag=True)


__all__ = ["ReplicaCommand", "json_option", "replica_argument"]
