"""Entry point of ``python -m leadhollow``."""

from __future__ import annotations

from leadhollow.run import run

run()
