"""The interfaces that a process speaks to the outside, each behind a protocol."""

from __future__ import annotations

from leadhollow.control.api import ControlDialect
from leadhollow.forward.dialect import CallDialect
from leadhollow.staging.engine_dialect import EngineDialect
from leadhollow.weights.origin_dialect import OriginDialect


class Dialects:
    """Everything that a deployment writes in its own way.

    Parameters
    ----------
    control
        Calls of operators and backend servers to control replicas.
    calls
        Requests of callers, as they come in and as backend servers get them.
    origin
        Manifests and pieces.
    engine
        Reports, stages and orders of an engine.
    """

    __slots__ = ("calls", "control", "engine", "origin")

    def __init__(
        self,
        *,
        control: ControlDialect,
        calls: CallDialect,
        origin: OriginDialect,
        engine: EngineDialect,
    ) -> None:
        self.control = control
        self.calls = calls
        self.origin = origin
        self.engine = engine


__all__ = ["Dialects"]
