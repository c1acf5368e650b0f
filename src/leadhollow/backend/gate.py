"""Gate in front of the engine beside this process: admits or refuses every attempt."""

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
    """Whether the gate admits new attempts."""

    OPEN = "open"
    SWITCHING = "switching"
    DRAINING = "draining"


class Progress(Enum):
    """How far an admitted attempt is."""

    RUNNING = "running"
    FINISHED = "finished"


class Gate:
    """Admits attempts to one engine or service.

    Parameters
    ----------
    slots
        Number of attempts that may run at the same time.
    signal
        Records every change that is to be announced.

    Attributes
    ----------
    incarnation
        Start time of this gate in ns. Attempts that name another one are refused.
    limit
        Request limit of the engine. While it is exhausted, attempts are refused as if no slot were
        free.
    backoff
        Back-off that the engine has requested. Meanwhile attempts are refused in the same way.
    serving_root
        Root hash of the version for which model calls are admitted; empty for none.
    """

    __slots__ = (
        "_attempts",
        "_idle",
        "_tombstones",
        "backoff",
        "in_flight",
        "incarnation",
        "limit",
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
        """Admit an attempt or refuse it permanently.

        Returns
        -------
        Failure or None
            None if the attempt is admitted. A refusal confirms that this dispatch was not run and
            never will be.
        """
        refusal = self._refusal(dispatch)
        key = attempt_key(dispatch)
        if refusal is not None:
            if refusal.code is not Code.DUPLICATE_ATTEMPT:
                self._add_tombstone(key)
            return refusal
        self._attempts[key] = Progress.RUNNING
        self.in_flight += 1
        self._idle.clear()
        self.signal.record_load_change()
        return None

    def release(self, dispatch: Dispatch) -> None:
        """Record that an admitted attempt has ended."""
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
        """Place a tombstone for an attempt that has not arrived, so that it never runs.

        Returns
        -------
        Progress or None
            None if the tombstone is placed, otherwise the progress of the attempt.
        """
        key = (request_id, attempt)
        progress = self._attempts.get(key)
        if progress is None:
            self._add_tombstone(key)
        return progress

    def close(self, state: GateState) -> None:
        """Refuse new attempts. A gate that drains stays in that state."""
        if self.state is not GateState.DRAINING:
            self.state = state
            self.signal.record_urgent_change()

    def open(self) -> None:
        """Admit new attempts again."""
        self.state = GateState.OPEN
        self.signal.record_urgent_change()

    def set_serving_root(self, root: str) -> None:
        """Admit model calls only for the version with this root hash; empty for none."""
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

    def _add_tombstone(self, key: AttemptKey) -> None:
        self._tombstones[key] = None
        while len(self._tombstones) > MAX_TOMBSTONES:
            self._tombstones.popitem(last=False)


def attempt_key(dispatch: Dispatch) -> AttemptKey:
    """Return the key that identifies an attempt."""
    return dispatch.request_id, dispatch.attempt


__all__ = ["AttemptKey", "Gate", "GateState", "Progress", "attempt_key"]
