"""Receives the summaries of other failure domains."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from result import Err, Ok, Result

from leadhollow.codes import Code
from leadhollow.failure import Failure
from leadhollow.kernel import active_time
from leadhollow.kernel.task_service import TaskService
from leadhollow.observe.logs import get_logger
from leadhollow.wire.connection import Connection
from leadhollow.wire.generated.ttypes import DomainSummary, Done
from leadhollow.wire.handlers import HandlerTable

VALID_S = 3.5  # silence after which the summary of a failure domain is dropped
CHECK_S = 0.5

log = get_logger("summaries")


class Summaries(TaskService):
    """Latest summary of each failure domain that sends summaries.

    A sender omits lines that have not changed since its last summary. Listeners are called only for
    changes.
    """

    __slots__ = ("_last_received_s", "_latest", "_listeners")

    def __init__(self, *, handlers: HandlerTable) -> None:
        self._latest: dict[str, DomainSummary] = {}
        self._last_received_s: dict[str, float] = {}
        self._listeners: list[Callable[[str], None]] = []
        super().__init__()
        handlers.on_call(DomainSummary, self._on_summary)

    def on_change(self, listener: Callable[[str], None]) -> None:
        """Call a function with the name of each failure domain whose summary changed."""
        self._listeners.append(listener)

    def fresh(self) -> list[DomainSummary]:
        """Return the summaries of all failure domains that are not silent."""
        return [self._latest[domain] for domain in self._last_received_s]

    def latest(self, failure_domain: str) -> DomainSummary:
        """Return the summary of one failure domain, an empty one if that domain is silent."""
        if failure_domain in self._last_received_s:
            return self._latest[failure_domain]
        return DomainSummary(failure_domain, 0, [], 0, "", 0, False)

    async def _on_summary(
        self, summary: DomainSummary, connection: Connection
    ) -> Result[Done, Failure]:
        domain = summary.failure_domain
        existing = self._latest.get(domain)
        was_present = domain in self._last_received_s
        if summary.unchanged and (existing is None or existing.sender != summary.sender):
            return Err(Failure(code=Code.SUMMARY_UNKNOWN))
        self._last_received_s[domain] = active_time.active_s()
        if not summary.unchanged and (existing is None or _is_newer(summary, existing)):
            self._latest[domain] = summary
            self._notify(domain)
        elif not was_present:
            self._notify(domain)
        return Ok(Done())

    async def _work(self) -> None:
        while True:
            await asyncio.sleep(CHECK_S)
            now_s = active_time.active_s()
            for domain, received_s in list(self._last_received_s.items()):
                if now_s - received_s >= VALID_S:
                    log.warning(
                        "failure domain is silent; dropping its summary", failure_domain=domain
                    )
                    del self._last_received_s[domain]
                    self._notify(domain)

    def _notify(self, failure_domain: str) -> None:
        for listener in self._listeners:
            listener(failure_domain)


def _is_newer(summary: DomainSummary, existing: DomainSummary) -> bool:
    if summary.sender == existing.sender:
        return (summary.epoch, summary.sequence) > (existing.epoch, existing.sequence)
    return True


__all__ = ["Summaries"]
