"""Members of one failure domain: the backend servers that announce themselves to it."""

from __future__ import annotations

from enum import Enum

from leadhollow.codes import Code
from leadhollow.failure import Failure
from leadhollow.observe.logs import get_logger
from leadhollow.wire.connection import Connection
from leadhollow.wire.generated.ttypes import Announcement, Heartbeat, MemberView

PROPAGATED_FIELDS = (
    "incarnation",
    "address",
    "slots",
    "draining",
    "serving",
    "complete_roots",
    "engine_lost",
)
"""Fields of an announcement whose changes are sent to entries and placement at once."""

log = get_logger("membership")


class MemberHealth(Enum):
    """Whether a member sends heartbeats."""

    ALIVE = "alive"
    SUSPECT = "suspect"


class Member:
    """One backend server, its last announcement and the connection that it came on."""

    __slots__ = ("announcement", "connection", "handle", "health", "heard_s")

    def __init__(
        self, *, announcement: Announcement, connection: Connection, handle: int, heard_s: float
    ) -> None:
        self.announcement = announcement
        self.handle = handle
        self.connection = connection
        self.health = MemberHealth.ALIVE
        self.heard_s = heard_s

    @property
    def name(self) -> str:
        """Name of the backend server."""
        return str(self.announcement.server)

    @property
    def routable(self) -> bool:
        """Whether it may get new requests."""
        return self.health is MemberHealth.ALIVE and not self.announcement.draining

    @property
    def free_slots(self) -> int:
        """Slots that were free as of the last announcement or heartbeat."""
        return max(0, int(self.announcement.slots) - int(self.announcement.in_flight))

    def serves(self, root: str) -> bool:
        """Return whether the engine confirmed that it serves a root."""
        return any(serving.root == root for serving in self.announcement.serving or ())

    def to_view(self) -> MemberView:
        """Convert to the record that entries receive."""
        announcement = self.announcement
        return MemberView(
            announcement.server,
            announcement.incarnation,
            announcement.address,
            announcement.failure_domain,
            announcement.kind,
            announcement.service_name,
            announcement.slots,
            announcement.in_flight,
            announcement.draining,
            announcement.serving,
            self.handle,
        )


class MemberTable:
    """Members by name; silent ones are first suspected, then removed.

    Parameters
    ----------
    suspect_after_s
        Silence after which a member gets no new requests.
    remove_after_s
        Silence after which a member is removed.
    """

    __slots__ = (
        "_by_connection",
        "_changed",
        "_loaded",
        "_members",
        "_next_handle",
        "_remove_after_s",
        "_removed",
        "_suspect_after_s",
    )

    def __init__(self, *, suspect_after_s: float, remove_after_s: float) -> None:
        self._members: dict[str, Member] = {}
        self._suspect_after_s = suspect_after_s
        self._remove_after_s = remove_after_s
        self._by_connection: dict[Connection, str] = {}
        self._next_handle = 1
        self._changed: set[str] = set()
        self._loaded: set[str] = set()
        self._removed: set[str] = set()

    def members(self) -> list[Member]:
        """Return all members, sorted by name."""
        return sorted(self._members.values(), key=lambda member: member.name)

    def member(self, name: str) -> Member | None:
        """Return a member by name."""
        return self._members.get(name)

    def announce(
        self, announcement: Announcement, connection: Connection, now_s: float
    ) -> Failure | None:
        """Add, update or remove a member according to its announcement.

        Returns
        -------
        Failure or None
            ``NAME_TAKEN`` if a live process on another VM uses the name; ``INCARNATION_OLD`` for a
            late announcement of a process that was replaced.
        """
        name = announcement.server
        existing = self._members.get(name)
        if existing is not None:
            refusal = _check_announcement(existing, announcement)
            if refusal is not None:
                log.warning("announcement refused", server=name, failure=str(refusal))
                return refusal
        if announcement.leaving:
            self._remove(name)
            return None
        changed = existing is None or _has_changed(existing, announcement)
        if existing is None or existing.announcement.incarnation != announcement.incarnation:
            log.info("backend server joined", server=name, incarnation=announcement.incarnation)
        if existing is None:
            handle, self._next_handle = self._next_handle, self._next_handle + 1
        else:
            handle = existing.handle
            self._by_connection.pop(existing.connection, None)
        self._members[name] = Member(
            announcement=announcement, connection=connection, handle=handle, heard_s=now_s
        )
        self._by_connection[connection] = name
        self._removed.discard(name)
        if changed:
            self._changed.add(name)
        return None

    def heartbeat(
        self, heartbeat: Heartbeat, connection: Connection, now_s: float
    ) -> Member | None:
        """Update a member from its heartbeat.

        Returns
        -------
        Member or None
            The sender; None if no member announced itself on this connection.
        """
        member = self._members.get(self._by_connection.get(connection, ""))
        if member is None or member.connection is not connection:
            return None
        member.heard_s = now_s
        if member.health is not MemberHealth.ALIVE:
            member.health = MemberHealth.ALIVE
            self._changed.add(member.name)
        if member.announcement.in_flight != heartbeat.in_flight:
            member.announcement.in_flight = heartbeat.in_flight
            self._loaded.add(member.name)
        member.announcement.applied_revision = heartbeat.applied_revision
        return member

    def take_changes(self) -> tuple[set[str], set[str], set[str]]:
        """Return and clear the pending changes.

        Returns
        -------
        tuple of set
            Names of members that changed, that were removed, and whose load changed.
        """
        taken = (self._changed, self._removed, self._loaded)
        self._changed, self._removed, self._loaded = set(), set(), set()
        return taken

    def check_silence(self, now_s: float) -> None:
        """Suspect members that are silent or disconnected, and remove those silent for longer."""
        for member in list(self._members.values()):
            silence_s = now_s - member.heard_s
            if silence_s >= self._remove_after_s:
                log.warning("backend server removed", server=member.name, silence_s=silence_s)
                self._remove(member.name)
                continue
            unreachable = member.connection.closed.is_set() or silence_s >= self._suspect_after_s
            if unreachable and member.health is MemberHealth.ALIVE:
                log.warning("backend server suspected", server=member.name, silence_s=silence_s)
                member.health = MemberHealth.SUSPECT
                self._changed.add(member.name)

    def _remove(self, name: str) -> None:
        member = self._members.pop(name, None)
        if member is not None:
            self._by_connection.pop(member.connection, None)
            self._removed.add(name)
            self._changed.discard(name)


def _check_announcement(existing: Member, announcement: Announcement) -> Failure | None:
    previous = existing.announcement
    if announcement.incarnation == previous.incarnation:
        return None
    if announcement.incarnation < previous.incarnation:
        return Failure(code=Code.INCARNATION_OLD)
    moved = announcement.vm != previous.vm
    alive = existing.health is MemberHealth.ALIVE and not existing.connection.closed.is_set()
    if moved and alive:
        return Failure(code=Code.NAME_TAKEN, detail=f"{previous.server} is alive on {previous.vm}")
    return None


def _has_changed(existing: Member, announcement: Announcement) -> bool:
    previous = existing.announcement
    return existing.health is not MemberHealth.ALIVE or any(
        getattr(previous, field) != getattr(announcement, field) for field in PROPAGATED_FIELDS
    )


__all__ = ["Member", "MemberHealth", "MemberTable"]
