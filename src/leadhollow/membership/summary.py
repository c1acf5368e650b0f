"""Summary that a failure domain sends to the others: free capacity by version and service."""

from __future__ import annotations

from leadhollow.membership.members import Member
from leadhollow.wire.generated.ttypes import CapacityLine, DomainSummary

MAX_CANDIDATES = 4
SERVICE_KIND = "service"
ENGINE_KIND = "engine"


def summarise(
    *, failure_domain: str, sequence: int, epoch: int, sender: str, members: list[Member]
) -> DomainSummary:
    """Build the summary of a failure domain.

    Its size depends on the number of versions and services, not on the number of members.
    """
    return DomainSummary(
        failure_domain, sequence, capacity_lines(members), len(members), sender, epoch
    )


def capacity_lines(members: list[Member]) -> list[CapacityLine]:
    """Add up slots by version and service, and list the members with most free slots for each."""
    members_by_key: dict[tuple[str, str], list[Member]] = {}
    for member in members:
        if not member.routable:
            continue
        for key in _capacity_keys(member):
            members_by_key.setdefault(key, []).append(member)
    return [_line(key, providers) for key, providers in sorted(members_by_key.items())]


def _capacity_keys(member: Member) -> list[tuple[str, str]]:
    announcement = member.announcement
    if announcement.kind == SERVICE_KIND:
        return [(str(announcement.service_name), "")]
    return [(str(serving.model), str(serving.root)) for serving in announcement.serving or ()]


def _line(key: tuple[str, str], providers: list[Member]) -> CapacityLine:
    model, root = key
    freest = sorted(providers, key=lambda member: (-member.free_slots, member.name))
    return CapacityLine(
        ENGINE_KIND if root else SERVICE_KIND,
        model,
        root,
        sum(member.announcement.slots for member in providers),
        sum(member.free_slots for member in providers),
        [member.to_view() for member in freest[:MAX_CANDIDATES]],
    )


__all__ = ["ENGINE_KIND", "SERVICE_KIND", "capacity_lines", "summarise"]
