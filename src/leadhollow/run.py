"""Single entry of the program."""

from __future__ import annotations

import os
import signal
import sys
from pathlib import Path

os.environ.setdefault("UV_USE_IO_URING", "0")  # read by libuv when the first loop is made


def run() -> None:
    """Run the command line and exit with its code.

    A daemon does not import the command line: it would keep its memory for as long as it runs.
    """
    arguments = sys.argv[1:]
    if arguments == ["platform"]:
        # it may come at any moment, and ends a process that has no handler for it yet
        signal.signal(signal.SIGHUP, signal.SIG_IGN)
        from leadhollow.platform.serve import serve as serve_platform

        raise SystemExit(serve_platform())
    if len(arguments) == 2 and arguments[0] == "run" and not arguments[1].startswith("-"):
        from leadhollow.cli.serve import serve

        raise SystemExit(serve(Path(arguments[1])))
    from leadhollow.cli.application import main

    raise SystemExit(main())


__all__ = ["run"]
