"""Which revision each daemon of a failure domain runs."""

from __future__ import annotations

import asyncio


class AppliedRevisions:
    """Applied revisions by VM; a VM that is not heard for long is not counted.

    Parameters
    ----------
    forget_after_s
        Silence after which a VM counts as gone.
    """

    __slots__ = ("_changed", "_forget_after_s", "_heard_s", "_revisions")

    def __init__(self, *, forget_after_s: float) -> None:
        self._forget_after_s = forget_after_s
        self._revisions: dict[str, int] = {}
        self._heard_s: dict[str, float] = {}
        self._changed = asyncio.Event()

    def record(self, *, vm: str, revision: int, now_s: float) -> None:
        """Take a report; a revision never goes back unless the VM restarted."""
        self._heard_s[vm] = now_s
        if self._revisions.get(vm) != revision:
            self._revisions[vm] = revision
            self._changed.set()

    def forget(self, vm: str) -> None:
        """Drop a VM that said goodbye."""
        self._heard_s.pop(vm, None)
        if self._revisions.pop(vm, None) is not None:
            self._changed.set()

    def forget_silent(self, now_s: float) -> None:
        """Drop VMs that are not heard any more."""
        for vm, heard_s in list(self._heard_s.items()):
            if now_s - heard_s > self._forget_after_s:
                self.forget(vm)

    async def changed(self, *, longest_s: float) -> bool:
        """Wait for a change since the last call; False where none came in time."""
        try:
            async with asyncio.timeout(longest_s):
                await self._changed.wait()
        except TimeoutError:
            return False
        self._changed.clear()
        return True

    def lowest(self) -> int:
        """Give the revision that every daemon runs at least."""
        return min(self._revisions.values(), default=0)

    def behind(self, revision: int) -> list[str]:
        """Name the daemons that run less than a revision."""
        return sorted(vm for vm, applied in self._revisions.items() if applied < revision)

    def count(self) -> int:
        """Count the daemons heard."""
        return len(self._revisions)


__all__ = ["AppliedRevisions"]
