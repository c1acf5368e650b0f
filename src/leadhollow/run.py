"""Entry point of the program."""

from __future__ import annotations

import os
import signal
import sys
from pathlib import Path

os.environ.setdefault("UV_USE_IO_URING", "0")  # libuv reads it when the first loop is created


def run() -> None:
    """Run the command line and exit with its code.

    A daemon does not import the command line, since that would take memory for its whole run.
    """
    arguments = sys.argv[1:]
    if arguments == ["platform"]:
        # SIGHUP may come before the handler is installed, and would end the process
        signal.signal(signal.SIGHUP, signal.SIG_IGN)
        from leadhollow.platform.serve import serve as serve_platform

        raise SystemExit(serve_platform())
    if len(arguments) == 2 and arguments[0] == "run" and not arguments[1].startswith("-"):
        from leadhollow.cli.serve import serve

        raise SystemExit(serve(Path(arguments[1])))
    from leadhollow.cli.application import main

    raise SystemExit(main())


__all__ = ["run"]
