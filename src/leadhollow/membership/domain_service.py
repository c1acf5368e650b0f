"""The domain role's membership: announcements in, views for the entries out."""

from __future__ import annotations

import asyncio

from result import Err, Ok, Result

from leadhollow.failure import Failure
from leadhollow.kernel.active_time import active_s
from leadhollow.membership.applied_revisions import AppliedRevisions
from leadhollow.membership.members import Member, MemberTable
from leadhollow.membership.summaries import Summaries
from leadhollow.observe.logs import get_logger
from leadhollow.settings.model import Settings
from leadhollow.wire.connection import Connection
from leadhollow.wire.generated.ttypes import (
    Announcement,
    Done,
    Heartbeat,
    ViewUpdate,
    ViewWatch,
)
from leadhollow.wire.handlers import HandlerTable
from leadhollow.wire.streams import StreamSink

VIEW_INTERVAL_S = 0.05
SILENCE_CHECK_S = 0.25

log = get_logger("membership")


class _View:
    """What one watching entry has not been sent yet."""

    __slots__ = ("changed", "domains", "loaded", "removed", "wake")

    def __init__(self) -> None:
        self.changed: set[str] = set()
        self.loaded: set[str] = set()
        self.removed: set[str] = set()
        self.domains: set[str] = set()
        self.wake = asyncio.Event()


class DomainService:
    """Membership of one failure domain, kept by each of its domain roles alike.

    Parameters
    ----------
    applied
        Told which revision each daemon runs.
    summaries
        What other failure domains say of themselves.
    """

    __slots__ = ("_applied", "_summaries", "_tasks", "_views", "changed", "members")

    def __init__(
        self,
        *,
        settings: Settings,
        handlers: HandlerTable,
        applied: AppliedRevisions,
        summaries: Summaries,
    ) -> None:
        self.members = MemberTable(
            suspect_after_s=settings.domain.suspect_after_ms / 1000,
            remove_after_s=settings.domain.remove_after_ms / 1000,
        )
        self.changed = asyncio.Event()
        self._applied = applied
        self._summaries = summaries
        self._views: set[_View] = set()
        self._tasks: list[asyncio.Task[None]] = []
        summaries.on_change(self._show_summary)
        handlers.on_call(Announcement, self._on_announcement)
        handlers.on_oneway(Heartbeat, self._on_heartbeat)
        handlers.on_stream(ViewWatch, self._on_view_watch)

    async def start(self) -> Result[None, Failure]:
        """Begin to watch silence."""
        self._tasks = [asyncio.get_running_loop().create_task(self._watch_silence())]
        return Ok(None)

    async def drain(self) -> None:
        """Nothing of a caller is in progress here."""

    async def stop(self) -> None:
        """Stop all tasks."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def _on_announcement(
        self, announcement: Announcement, connection: Connection
    ) -> Result[Done, Failure]:
        refusal = self.members.announce(announcement, connection, active_s())
        if refusal is not None:
            return Err(refusal)
        if announcement.leaving:
            self._applied.forget(announcement.vm)
        else:
            self._applied.record(
                vm=announcement.vm, revision=announcement.applied_revision or 0, now_s=active_s()
            )
        self._spread()
        return Ok(Done())

    def _on_heartbeat(self, heartbeat: Heartbeat, connection: Connection) -> None:
        member = self.members.heartbeat(heartbeat, connection, active_s())
        if member is None:
            connection.close()  # the sender connects and announces itself again
            return
        self._applied.record(
            vm=member.announcement.vm, revision=heartbeat.applied_revision or 0, now_s=active_s()
        )

    async def _on_view_watch(self, request: ViewWatch, sink: StreamSink) -> Result[None, Failure]:
        view = _View()
        self._views.add(view)
        try:
            members = [member.view() for member in self.members.members() if member.routable]
            await sink.send(ViewUpdate(True, members, [], self._summaries.fresh(), [], []))
            while True:
                await view.wake.wait()
                await asyncio.sleep(VIEW_INTERVAL_S)
                view.wake.clear()
                await sink.send(self._take_update(view))
        finally:
            self._views.discard(view)

    def _take_update(self, view: _View) -> ViewUpdate:
        removed = set(view.removed)
        members = []
        for name in view.changed:
            member = self.members.member(name)
            if member is not None and member.routable:
                members.append(member.view())
            else:
                removed.add(name)
        loaded: list[Member] = [
            member
            for name in view.loaded - view.changed
            if (member := self.members.member(name)) is not None
        ]
        summaries = [self._summaries.latest(domain) for domain in view.domains]
        for waiting in (view.changed, view.removed, view.domains, view.loaded):
            waiting.clear()
        return ViewUpdate(
            False,
            members,
            sorted(removed),
            summaries,
            [member.handle for member in loaded],
            [member.announcement.in_flight for member in loaded],
        )

    def _spread(self) -> None:
        """Note for every view what changed since the last time."""
        changed, removed, loaded = self.members.take_changes()
        if changed or removed:
            self.changed.set()
            self.changed = asyncio.Event()
        if not (changed or removed or loaded):
            return
        for view in self._views:
            view.changed |= changed
            view.loaded |= loaded
            view.removed = (view.removed | removed) - changed
            view.wake.set()

    def _show_summary(self, failure_domain: str) -> None:
        for view in self._views:
            view.domains.add(failure_domain)
            view.wake.set()

    async def _watch_silence(self) -> None:
        while True:
            await asyncio.sleep(SILENCE_CHECK_S)
            self.members.check_silence(active_s())
            self._spread()


__all__ = ["DomainService"]
