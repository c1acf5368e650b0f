"""The only way to the engine: which attempts may run, and which never will."""

from __future__ import annotations

import asyncio
from collections import OrderedDict
from enum import Enum

from leadhollow.backend.change_signal import ChangeSignal
from leadhollow.backend.engine_limit import EngineLimit
from leadhollow.backend.engine_rest import EngineRest
from leadhollow.codes import Code
from leadhollow.failure import Failure
from leadhollow.kernel import clocks
from leadhollow.wire.generated.ttypes import Dispatch

TOMBSTONES_KEPT = 100_000
FINISHED_KEPT = 100_000


AttemptKey = tuple[str, int]


class GateState(Enum):
    """Whether new work is taken."""

    OPEN = "open"
    SWITCHING = "switching"
    DRAINING = "draining"


class Progress(Enum):
    """What became of an attempt."""

    RUNNING = "running"
    FINISHED = "finished"


class Gate:
    """Admits attempts to one engine or service.

    Parameters
    ----------
    slots
        How many attempts may run at once.
    signal
        Told of every change that is announced.

    Attributes
    ----------
    limit
        What the engine says of the requests that it takes; while it leaves no room, entries are
        refused as where no slot is free.
    rest
        Rest that the engine asks for; meanwhile entries are refused likewise.
    """

    __slots__ = (
        "_attempts",
        "_idle",
        "_tombstones",
        "in_flight",
        "incarnation",
        "limit",
        "rest",
        "serving_root",
        "signal",
        "slots",
        "state",
    )

    def __init__(self, *, slots: int, signal: ChangeSignal) -> None:
        self.slots = slots
        self.signal = signal
        self.incarnation = clocks.wall_ns()
        self.limit = EngineLimit()
        self.rest = EngineRest()
        self.state = GateState.OPEN
        self.serving_root = ""
        self.in_flight = 0
        self._attempts: OrderedDict[AttemptKey, Progress] = OrderedDict()
        self._tombstones: OrderedDict[AttemptKey, None] = OrderedDict()
        self._idle = asyncio.Event()
        self._idle.set()

    def enter(self, dispatch: Dispatch) -> Failure | None:
        """Admit an attempt, or refuse it for good.

        Returns
        -------
        Failure or None
            A refusal confirms that this attempt was not run and never will be.
        """
        refusal = self._refusal(dispatch)
        key = key_of(dispatch)
        if refusal is not None:
            if refusal.code is not Code.DUPLICATE_ATTEMPT:
                self._bury(key)
            return refusal
        self._attempts[key] = Progress.RUNNING
        self.in_flight += 1
        self._idle.clear()
        self.signal.load_changed()
        return None

    def leave(self, dispatch: Dispatch) -> None:
        """Note that an admitted attempt ended."""
        key = key_of(dispatch)
        self.rest.end(key)
        self._attempts[key] = Progress.FINISHED
        self._attempts.move_to_end(key)
        while len(self._attempts) > FINISHED_KEPT:
            self._attempts.popitem(last=False)
        self.in_flight -= 1
        if not self.in_flight:
            self._idle.set()
        self.signal.load_changed()

    def withdraw(self, request_id: str, attempt: int) -> Progress | None:
        """Put a tombstone on an attempt that has not arrived.

        Returns
        -------
        Progress or None
            None where the tombstone is placed, else how far the attempt is.
        """
        key = (request_id, attempt)
        progress = self._attempts.get(key)
        if progress is None:
            self._bury(key)
        return progress

    def close(self, state: GateState) -> None:
        """Refuse new work."""
        if self.state is not GateState.DRAINING:
            self.state = state
            self.signal.changed()

    def open(self) -> None:
        """Take new work again."""
        self.state = GateState.OPEN
        self.signal.changed()

    def serve(self, root: str) -> None:
        """Admit model calls for this root only; empty for none."""
        self.serving_root = root
        self.signal.changed()

    async def wait_idle(self) -> None:
        """Wait until no attempt runs."""
        await self._idle.wait()

    def _refusal(self, dispatch: Dispatch) -> Failure | None:
        key = key_of(dispatch)
        if dispatch.incarnation != self.incarnation:
            return Failure(code=Code.INCARNATION_OLD)
        if key in self._tombstones:
            return Failure(code=Code.TOMBSTONED)
        if key in self._attempts:
            return Failure(code=Code.DUPLICATE_ATTEMPT)
        if self.state is not GateState.OPEN:
            return Failure(code=Code.DRAINING, detail=f"the gate is {self.state.value}")
        if dispatch.model_call and dispatch.root != self.serving_root:
            return Failure(code=Code.BACKEND_REFUSED, detail="another version runs here")
        if self.in_flight >= self.slots:
            return Failure(code=Code.SLOTS_FULL)
        if not self.rest.take(key):
            return Failure(code=Code.SLOTS_FULL, detail="the engine wants rest")
        if not self.limit.take():
            self.rest.end(key)
            return Failure(code=Code.SLOTS_FULL, detail="the engine's limit leaves no room")
        return None

    def _bury(self, key: AttemptKey) -> None:
        self._tombstones[key] = None
        while len(self._tombstones) > TOMBSTONES_KEPT:
            self._tombstones.popitem(last=False)


def key_of(dispatch: Dispatch) -> AttemptKey:
    """Give what tells an attempt from all others."""
    return dispatch.request_id, dispatch.attempt


__all__ = ["AttemptKey", "Gate", "GateState", "Progress", "key_of"]
