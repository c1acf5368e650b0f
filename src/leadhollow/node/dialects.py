"""Set of the deployment-specific external interfaces, each defined by a protocol class."""

from __future__ import annotations

from leadhollow.control.api import ControlDialect
from leadhollow.forward.dialect import CallDialect
from leadhollow.staging.engine_dialect import EngineDialect
from leadhollow.weights.origin_dialect import OriginDialect


class Dialects:
    """Implementations of the external interfaces for one deployment.

    Parameters
    ----------
    control
        Requests of operators and backend servers to control replicas.
    calls
        Requests of callers, as entries receive them and as they are sent to backend servers.
    origin
        Manifests and pieces of weights at the origin.
    engine
        Load reports of an engine, staging of weights and load orders to it.
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
