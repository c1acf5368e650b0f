"""Version number of this release."""

from __future__ import annotations

VERSION = "0.1.0"

__all__ = ["VERSION"]
