"""Base class and options of the commands that use the operators' listener."""

from __future__ import annotations

import getpass
import os
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import TypeVar

from cleo.commands.command import Command
from cleo.helpers import option
from cleo.io.inputs.option import Option
from result import Err, Ok, Result

from leadhollow.cli.loop import run_async
from leadhollow.cli.output import print_failure
from leadhollow.codes import Code
from leadhollow.failure import Failure
from leadhollow.operator_client import OperatorClient
from leadhollow.settings.load import load_settings

URLS_VARIABLE = "LEADHOLLOW_OPERATORS"
TOKEN_VARIABLE = "LEADHOLLOW_OPERATOR_TOKEN"

Answer = TypeVar("Answer")


def operator_options() -> list[Option]:
    """Return the options that select the listener and the output format."""
    return [
        option(
            "operators",
            None,
            f"Addresses of operators' listeners, by comma; else ${URLS_VARIABLE}.",
            flag=False,
        ),
        option(
            "settings",
            None,
            "Settings file of a state VM, in place of address and token.",
            flag=False,
        ),
        option("json", None, "Print JSON.", flag=True),
    ]


class OperatorCommand(Command):
    """Base class of commands that send requests to operators' listeners."""

    def ask(  # type: ignore[override]
        self, work: Callable[[OperatorClient], Awaitable[Result[Answer, Failure]]]
    ) -> Result[Answer, Failure]:
        """Open a client, run the work with it and close the client."""
        opened = self._open_client()
        if opened.is_err():
            return Err(opened.unwrap_err())

        async def run_with_client() -> Result[Answer, Failure]:
            client = opened.unwrap()
            try:
                return await work(client)
            finally:
                await client.close()

        return run_async(run_with_client())

    def fail(self, failure: Failure) -> int:
        """Print a failure and return its exit code."""
        return print_failure(failure)

    @property
    def operator(self) -> str:
        """Name of the operator in the history of changes."""
        return getpass.getuser()

    def _open_client(self) -> Result[OperatorClient, Failure]:
        path = self.option("settings")
        if path is not None:
            loaded = load_settings(Path(path))
            if loaded.is_err():
                return Err(loaded.unwrap_err())
            operators = loaded.unwrap().operators
            if operators is None:
                detail = f"{path} is not of a state VM"
                return Err(Failure(code=Code.COMMAND_USAGE, detail=detail))
            url = f"http://{operators.listen}"
            return Ok(OperatorClient(urls=(url,), token=operators.token))
        urls = self.option("operators") or os.environ.get(URLS_VARIABLE, "")
        addresses = tuple(url.strip().rstrip("/") for url in urls.split(",") if url.strip())
        if not addresses:
            detail = f"give --operators, --settings or ${URLS_VARIABLE}"
            return Err(Failure(code=Code.COMMAND_USAGE, detail=detail))
        with_scheme = tuple(url if "://" in url else f"http://{url}" for url in addresses)
        return Ok(OperatorClient(urls=with_scheme, token=os.environ.get(TOKEN_VARIABLE, "")))


__all__ = ["OperatorCommand", "operator_options"]
