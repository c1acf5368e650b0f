"""Catalog revisions that the daemons of a failure domain have applied."""

from __future__ import annotations

import asyncio


class AppliedRevisions:
    """Applied revision of each VM; VMs that have been silent for long are dropped.

    Parameters
    ----------
    forget_after_s
        Silence in seconds after which a VM is dropped.
    """

    __slots__ = ("_changed", "_forget_after_s", "_last_report_s", "_revisions")

    def __init__(self, *, forget_after_s: float) -> None:
        self._forget_after_s = forget_after_s
        self._revisions: dict[str, int] = {}
        self._last_report_s: dict[str, float] = {}
        self._changed = asyncio.Event()

    def record(self, *, vm: str, revision: int, now_s: float) -> None:
        """Record a VM's report; its revision decreases only if the VM restarted."""
        self._last_report_s[vm] = now_s
        if self._revisions.get(vm) != revision:
            self._revisions[vm] = revision
            self._changed.set()

    def forget(self, vm: str) -> None:
        """Drop a VM that announced its departure."""
        self._last_report_s.pop(vm, None)
        if self._revisions.pop(vm, None) is not None:
            self._changed.set()

    def forget_silent(self, now_s: float) -> None:
        """Drop VMs that have been silent for longer than ``forget_after_s``."""
        for vm, reported_s in list(self._last_report_s.items()):
            if now_s - reported_s > self._forget_after_s:
                self.forget(vm)

    async def changed(self, *, longest_s: float) -> bool:
        """Wait for a change since the last call.

        Returns
        -------
        bool
            False if there was none within ``longest_s``.
        """
        try:
            async with asyncio.timeout(longest_s):
                await self._changed.wait()
        except TimeoutError:
            return False
        self._changed.clear()
        return True

    def lowest(self) -> int:
        """Return the lowest revision that any daemon runs, 0 if none is known."""
        return min(self._revisions.values(), default=0)

    def behind(self, revision: int) -> list[str]:
        """Return the VMs whose daemons run an older revision than the given one, sorted."""
        return sorted(vm for vm, applied in self._revisions.items() if applied < revision)

    def count(self) -> int:
        """Return the number of known daemons."""
        return len(self._revisions)


__all__ = ["AppliedRevisions"]
