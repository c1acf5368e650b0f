"""``leadhollow platform``: runs one process with the settings file that the platform provides."""

from __future__ import annotations

import os
from pathlib import Path

from leadhollow.node.dialects import Dialects
from leadhollow.node.run import serve_node
from leadhollow.platform.callers import PlatformCalls
from leadhollow.platform.control import PlatformControl
from leadhollow.platform.engines import PlatformEngine
from leadhollow.platform.origin import PlatformOrigin

SETTINGS_VARIABLE = "LEADHOLLOW_NODE_FILE"


def platform_dialects() -> Dialects:
    """Return the platform's implementation of every interface."""
    return Dialects(
        control=PlatformControl(),
        calls=PlatformCalls(),
        origin=PlatformOrigin(),
        engine=PlatformEngine(),
    )


def serve(path: Path | None = None) -> int:
    """Run the process until it is stopped, and return its exit code.

    Parameters
    ----------
    path
        Settings file; by default the one named by the environment variable of the platform.
    """
    settings_path = path or Path(os.environ.get(SETTINGS_VARIABLE, ""))
    return serve_node(settings_path, platform_dialects())


__all__ = ["platform_dialects", "serve"]
