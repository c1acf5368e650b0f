"""Builds one file that runs as one process: a zipapp with all libraries."""

from __future__ import annotations

import subprocess
import sys


def main() -> None:
    """Build the file named on the command line."""
    subprocess.run(
        [
            sys.executable,
            "-m",
            "shiv",
            "--compressed",
            "--reproducible",
            "--python",
            "/usr/bin/env python3.11",
            "--entry-point",
            "leadhollow.run:run",
            "--output-file",
            sys.argv[1],
            "--constraint",
            "requirements/constraints.txt",
            ".",
        ],
        check=True,
    )


main()
