"""The only way to the engine: which attempts may run, and which never will."""

from __future__ import annotations

import asyncio
from collections import OrderedDict
from enum import Enum

from leadhollow.backend.change_signal import ChangeSignal
from leadhollow.backend.engine_backoff import EngineBackoff
from leadhollow.backend.engine_limit import EngineLimit
from leadhollow.codes import Code
from leadhollow.failure import Failure
from leadhollow.kernel import clocks
from leadhollow.wire.generated.ttypes import Dispatch

MAX_TOMBSTONES = 100_000
MAX_RECORDED_ATTEMPTS = 100_000


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
        "backoff",
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
        self.backoff = EngineBackoff()
        self.state = GateState.OPEN
        self.serving_root = ""
        self.in_flight = 0
        self._attempts: OrderedDict[AttemptKey, Progress] = OrderedDict()
        self._tombstones: OrderedDict[AttemptKey, None] = OrderedDict()
        self._idle = asyncio.Event()
        self._idle.set()

    def admit(self, dispatch: Dispatch) -> Failure | None:
        """Admit an attempt, or refuse it for good.

        Returns
        -------
        Failure or None
            A refusal confirms that this attempt was not run and never will be.
        """
        refusal = self._refusal(dispatch)
        key = attempt_key(dispatch)
        if refusal is not None:
            if refusal.code is not Code.DUPLICATE_ATTEMPT:
                self._bury(key)
            return refusal
        self._attempts[key] = Progress.RUNNING
        self.in_flight += 1
        self._idle.clear()
        self.signal.record_load_change()
        return None

    def release(self, dispatch: Dispatch) -> None:
        """Note that an admitted attempt ended."""
        key = attempt_key(dispatch)
        self.backoff.release(key)
        self._attempts[key] = Progress.FINISHED
        self._attempts.move_to_end(key)
        while len(self._attempts) > MAX_RECORDED_ATTEMPTS:
            self._attempts.popitem(last=False)
        self.in_flight -= 1
        if not self.in_flight:
            self._idle.set()
        self.signal.record_load_change()

    def place_tombstone(self, request_id: str, attempt: int) -> Progress | None:
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
            self.signal.record_urgent_change()

    def open(self) -> None:
        """Take new work again."""
        self.state = GateState.OPEN
        self.signal.record_urgent_change()

    def set_serving_root(self, root: str) -> None:
        """Admit model calls for this root only; empty for none."""
        self.serving_root = root
        self.signal.record_urgent_change()

    async def wait_idle(self) -> None:
        """Wait until no attempt runs."""
        await self._idle.wait()

    def _refusal(self, dispatch: Dispatch) -> Failure | None:
        key = attempt_key(dispatch)
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
        if not self.backoff.claim(key):
            return Failure(code=Code.SLOTS_FULL, detail="the engine wants rest")
        if not self.limit.take():
            self.backoff.release(key)
            return Failure(code=Code.SLOTS_FULL, detail="the engine's limit leaves no room")
        return None

    def _bury(self, key: AttemptKey) -> None:
        self._tombstones[key] = None
        while len(self._tombstones) > MAX_TOMBSTONES:
            self._tombstones.popitem(last=False)


def attempt_key(dispatch: Dispatch) -> AttemptKey:
    """Give what tells an attempt from all others."""
    return dispatch.request_id, dispatch.attempt


__all__ = ["AttemptKey", "Gate", "GateState", "Progress", "key_of"]
