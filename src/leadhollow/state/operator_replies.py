"""Reply bodies of the operator HTTP API, shared by the server and the command line."""

from __future__ import annotations

import msgspec

from leadhollow.state.records import CatalogItem, Row

STALE_HEADER = "Leadhollow-Stale"


class EditReply(msgspec.Struct, frozen=True, kw_only=True):
    """Reply to an edit.

    Parameters
    ----------
    code
        0 if accepted.
    current
        On a conflict, the current rows.
    in_force, not_in_force
        Failure domains in which every daemon has applied the edit, and those in which some have
        not or whose reports are outdated. Set only if the operator chose to wait.
    """

    code: int = 0
    detail: str = ""
    revision: int = 0
    current: tuple[CatalogItem, ...] = ()
    in_force: tuple[str, ...] = ()
    not_in_force: tuple[str, ...] = ()
    waited_ms: int = 0
    dry_run: bool = False


class RowReply(msgspec.Struct, frozen=True, kw_only=True):
    """A table row with its revision."""

    revision: int
    row: Row
    previous_versions: dict[str, str] = {}


class VersionStatus(msgspec.Struct, frozen=True, kw_only=True):
    """Slots of one version or service in one failure domain."""

    kind: str
    name: str
    version: str
    slots: int
    free_slots: int


class DomainStatus(msgspec.Struct, frozen=True, kw_only=True):
    """Last report of a failure domain."""

    failure_domain: str
    connected: bool
    revision: int = 0
    daemons: int = 0
    behind: tuple[str, ...] = ()
    lease_holder: str = ""
    fence: int = 0
    origin_bytes: int = 0
    serving: tuple[VersionStatus, ...] = ()


class FollowerStatus(msgspec.Struct, frozen=True, kw_only=True):
    """How far the log of another replica is behind the leader's.

    Parameters
    ----------
    entries_behind, bytes_behind
        What it is not known to hold.
    progress_age_ms
        Time since its log last grew.
    silent_ms
        Time since it last answered.
    """

    replica: str
    entries_behind: int
    bytes_behind: int
    progress_age_ms: int
    silent_ms: int


class StatusReply(msgspec.Struct, frozen=True, kw_only=True):
    """Status of the system as one state replica knows it.

    Parameters
    ----------
    followers
        The other replicas; empty unless this one leads.
    items, removed_items
        Items of the catalog that are in force, and removed ones that are still kept.
    floor
        Revision up to which removed items may be forgotten.
    """

    vm: str
    role: str
    leader: str
    term: int
    voter: bool
    revision: int
    domains: tuple[DomainStatus, ...]
    followers: tuple[FollowerStatus, ...] = ()
    items: int = 0
    removed_items: int = 0
    floor: int = 0


__all__ = [
    "STALE_HEADER",
    "DomainStatus",
    "EditReply",
    "FollowerStatus",
    "RowReply",
    "StatusReply",
    "VersionStatus",
]
