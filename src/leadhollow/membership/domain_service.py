"""Membership service of a domain role: receives announcements and streams views to entries."""

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
SILENCE_CHECK_INTERVAL_S = 0.25

log = get_logger("membership")


class _Subscription:
    """Changes that one subscribed entry has not been sent yet."""

    __slots__ = ("changed", "domains", "loaded", "removed", "wake")

    def __init__(self) -> None:
        self.changed: set[str] = set()
        self.loaded: set[str] = set()
        self.removed: set[str] = set()
        self.domains: set[str] = set()
        self.wake = asyncio.Event()


class DomainService:
    """Membership of one failure domain; each of its domain roles keeps the same state.

    Parameters
    ----------
    applied
        Records which revision each daemon runs.
    summaries
        Summaries received from other failure domains.

    Attributes
    ----------
    members
        The backend servers of this failure domain.
    changed
        Set and replaced on each change of members.
    """

    __slots__ = ("_applied", "_subscriptions", "_summaries", "_tasks", "changed", "members")

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
        self._subscriptions: set[_Subscription] = set()
        self._tasks: list[asyncio.Task[None]] = []
        summaries.on_change(self._queue_summary)
        handlers.on_call(Announcement, self._on_announcement)
        handlers.on_oneway(Heartbeat, self._on_heartbeat)
        handlers.on_stream(ViewWatch, self._on_view_watch)

    async def start(self) -> Result[None, Failure]:
        """Start checking for silent members."""
        self._tasks = [asyncio.get_running_loop().create_task(self._check_silence())]
        return Ok(None)

    async def drain(self) -> None:
        """Do nothing: the service handles no requests of callers."""

    async def stop(self) -> None:
        """Cancel all tasks."""
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
        self._queue_changes()
        return Ok(Done())

    def _on_heartbeat(self, heartbeat: Heartbeat, connection: Connection) -> None:
        member = self.members.heartbeat(heartbeat, connection, active_s())
        if member is None:
            connection.close()  # makes the sender reconnect and announce itself again
            return
        self._applied.record(
            vm=member.announcement.vm, revision=heartbeat.applied_revision or 0, now_s=active_s()
        )

    async def _on_view_watch(self, request: ViewWatch, sink: StreamSink) -> Result[None, Failure]:
        subscription = _Subscription()
        self._subscriptions.add(subscription)
        try:
            members = [member.to_view() for member in self.members.members() if member.routable]
            await sink.send(ViewUpdate(True, members, [], self._summaries.fresh(), [], []))
            while True:
                await subscription.wake.wait()
                await asyncio.sleep(VIEW_INTERVAL_S)
                subscription.wake.clear()
                await sink.send(self._build_update(subscription))
        finally:
            self._subscriptions.discard(subscription)

    def _build_update(self, subscription: _Subscription) -> ViewUpdate:
        removed = set(subscription.removed)
        members = []
        for name in subscription.changed:
            member = self.members.member(name)
            if member is not None and member.routable:
                members.append(member.to_view())
            else:
                removed.add(name)
        loaded: list[Member] = [
            member
            for name in subscription.loaded - subscription.changed
            if (member := self.members.member(name)) is not None
        ]
        summaries = [self._summaries.latest(domain) for domain in subscription.domains]
        for pending in (
            subscription.changed,
            subscription.removed,
            subscription.domains,
            subscription.loaded,
        ):
            pending.clear()
        return ViewUpdate(
            False,
            members,
            sorted(removed),
            summaries,
            [member.handle for member in loaded],
            [member.announcement.in_flight for member in loaded],
        )

    def _queue_changes(self) -> None:
        """Queue the changes since the last call for every subscription."""
        changed, removed, loaded = self.members.take_changes()
        if changed or removed:
            self.changed.set()
            self.changed = asyncio.Event()
        if not (changed or removed or loaded):
            return
        for subscription in self._subscriptions:
            subscription.changed |= changed
            subscription.loaded |= loaded
            subscription.removed = (subscription.removed | removed) - changed
            subscription.wake.set()

    def _queue_summary(self, failure_domain: str) -> None:
        for subscription in self._subscriptions:
            subscription.domains.add(failure_domain)
            subscription.wake.set()

    async def _check_silence(self) -> None:
        while True:
            await asyncio.sleep(SILENCE_CHECK_INTERVAL_S)
            self.members.check_silence(active_s())
            self._queue_changes()


__all__ = ["DomainService"]
