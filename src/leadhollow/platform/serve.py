"""``leadhollow platform``: runs one process of the platform from the settings it places."""

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
    """Give every interface as the platform writes it."""
    return Dialects(
        control=PlatformControl(),
        calls=PlatformCalls(),
        origin=PlatformOrigin(),
        engine=PlatformEngine(),
    )


def serve(path: Path | None = None) -> int:
    """Run until stopped; gives the exit code."""
    found = path or Path(os.environ.get(SETTINGS_VARIABLE, ""))
    return serve_node(found, platform_dialects())


__all__ = ["platform_dialects", "serve"]
