"""View of an entry: members of its own failure domain and summaries of the others."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from leadhollow.kernel.task_service import TaskService
from leadhollow.membership.summary import ENGINE_KIND, SERVICE_KIND
from leadhollow.observe.logs import get_logger
from leadhollow.settings.model import Settings
from leadhollow.wire.generated.ttypes import (
    CapacityLine,
    DomainSummary,
    MemberView,
    ViewUpdate,
    ViewWatch,
)
from leadhollow.wire.peers import PeerPool
from leadhollow.wire.streams import CallStream

RECONNECT_DELAY_S = 0.1

LoadListener = Callable[[str, int], None]

log = get_logger("view")


class DomainView:
    """Members of the own failure domain and the latest summaries of the others."""

    __slots__ = (
        "_by_handle",
        "_by_key",
        "_changed",
        "_load_listeners",
        "_members",
        "_summaries",
    )

    def __init__(self) -> None:
        self._members: dict[str, MemberView] = {}
        self._by_handle: dict[int, MemberView] = {}
        self._summaries: dict[str, DomainSummary] = {}
        self._by_key: dict[tuple[str, str], list[MemberView]] = {}
        self._changed = asyncio.Event()
        self._load_listeners: list[LoadListener] = []

    def on_load(self, listener: LoadListener) -> None:
        """Call a function with the server and in-flight count of each load report."""
        self._load_listeners.append(listener)

    def report_loads(self) -> None:
        """Call the load listeners with every load that is currently known."""
        for member in self._members.values():
            self._notify_load(member)
        for summary in self._summaries.values():
            for line in summary.lines or ():
                for candidate in line.candidates or ():
                    self._notify_load(candidate)

    def apply(self, update: ViewUpdate) -> None:
        """Apply a snapshot or a delta."""
        if update.snapshot:
            self._members = {}
            self._summaries = {}
        for name in update.removed or ():
            self._members.pop(name, None)
        for member in update.members or ():
            self._members[member.server] = member
            self._notify_load(member)
        for summary in update.summaries or ():
            self._summaries[summary.failure_domain] = summary
            for line in summary.lines or ():
                for candidate in line.candidates or ():
                    self._notify_load(candidate)
        if update.snapshot or update.removed or update.members:
            self._rebuild_index()
        loads = zip(update.load_handles or (), update.load_in_flight or (), strict=False)
        for handle, in_flight in loads:
            loaded = self._by_handle.get(handle)
            if loaded is not None:
                loaded.in_flight = in_flight
                self._notify_load(loaded)
        self._changed.set()
        self._changed = asyncio.Event()

    async def changed(self) -> None:
        """Wait for the next change."""
        await self._changed.wait()

    def serving(self, root: str) -> list[MemberView]:
        """Return the engines of the own failure domain that confirmed a root."""
        return self._by_key.get((ENGINE_KIND, root), [])

    def service(self, name: str) -> list[MemberView]:
        """Return the backend servers of the own failure domain for a plain service."""
        return self._by_key.get((SERVICE_KIND, name), [])

    def member(self, name: str) -> MemberView | None:
        """Return a member of the own failure domain by name."""
        return self._members.get(name)

    def members(self) -> list[MemberView]:
        """Return all members of the own failure domain."""
        return list(self._members.values())

    def remote_lines(self, kind: str, name: str) -> list[CapacityLine]:
        """Return other failure domains' lines for a root or a service, most free slots first.

        Parameters
        ----------
        kind
            ``engine`` if ``name`` is a root, ``service`` if it is a service's name.
        """
        found = [
            line
            for summary in self._summaries.values()
            for line in summary.lines or ()
            if line.kind == kind and (line.root if kind == ENGINE_KIND else line.model) == name
        ]
        found.sort(key=lambda line: -line.free_slots)
        return found

    def summaries(self) -> list[DomainSummary]:
        """Return the summaries of other failure domains."""
        return list(self._summaries.values())

    def _notify_load(self, member: MemberView) -> None:
        for listener in self._load_listeners:
            listener(member.server, member.in_flight or 0)

    def _rebuild_index(self) -> None:
        by_key: dict[tuple[str, str], list[MemberView]] = {}
        for member in self._members.values():
            if member.kind == SERVICE_KIND:
                by_key.setdefault((SERVICE_KIND, member.service_name), []).append(member)
            for serving in member.serving or ():
                by_key.setdefault((ENGINE_KIND, serving.root), []).append(member)
        self._by_key = by_key
        self._by_handle = {member.handle: member for member in self._members.values()}


class ViewFeed(TaskService):
    """Follows the view that one domain role of the own failure domain sends."""

    __slots__ = ("_peers", "_settings", "view")

    def __init__(self, *, settings: Settings, peers: PeerPool) -> None:
        self._settings = settings
        self._peers = peers
        super().__init__()
        self.view = DomainView()

    async def _work(self) -> None:
        replicas = sorted(
            self._settings.own_domain_replicas(), key=lambda peer: peer.vm != self._settings.vm
        )
        while True:
            for replica in replicas:
                connected = await self._peers.connection(replica.address)
                if connected.is_err():
                    continue
                await self._receive_updates(connected.unwrap().stream(ViewWatch(self._settings.vm)))
                log.info("view source lost", source=replica.vm)
            await asyncio.sleep(RECONNECT_DELAY_S)

    async def _receive_updates(self, stream: CallStream) -> None:
        while True:
            received = await stream.next()
            if received.is_err():
                return
            update: ViewUpdate | None = received.unwrap()
            if update is None:
                return
            self.view.apply(update)


__all__ = ["DomainView", "ViewFeed"]
