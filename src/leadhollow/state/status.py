"""Status of the system as one state replica knows it, for operators."""

from __future__ import annotations

from leadhollow.kernel import active_time
from leadhollow.settings.model import Settings
from leadhollow.state.operator_replies import (
    DomainStatus,
    FollowerStatus,
    StatusReply,
    VersionStatus,
)
from leadhollow.state.replica import Replica
from leadhollow.state.service import StateService


def build_status(settings: Settings, service: StateService) -> StatusReply:
    """Combine the last reports of all failure domains with the state of this replica."""
    catalog = service.replica.machine.catalog
    replica = service.replica
    versions_by_root = {record.root: record for record in catalog.versions()}
    reports = service.domain_revisions.domains()
    domains = []
    for name in sorted({peer.failure_domain for peer in settings.domain_replicas}):
        report = reports.get(name)
        lease = catalog.lease(f"domain/{name}")
        if report is None:
            domains.append(DomainStatus(failure_domain=name, connected=False))
            continue
        serving = []
        for entry in report.report.lines or ():
            record = versions_by_root.get(entry.root)
            serving.append(
                VersionStatus(
                    kind=entry.kind,
                    name=entry.model,
                    version="" if record is None else record.version,
                    slots=entry.total_slots,
                    free_slots=entry.free_slots,
                )
            )
        domains.append(
            DomainStatus(
                failure_domain=name,
                connected=service.domain_revisions.is_connected(report),
                revision=report.revision,
                daemons=report.report.daemons or 0,
                behind=tuple(report.report.behind or ()),
                lease_holder="" if lease is None else lease.holder,
                fence=0 if lease is None else lease.fence,
                origin_bytes=report.report.origin_bytes or 0,
                serving=tuple(serving),
            )
        )
    return StatusReply(
        vm=settings.vm,
        role=replica.role.value,
        leader=replica.leader_vm,
        term=replica.term,
        voter=replica.vote.voter,
        revision=catalog.revision,
        domains=tuple(domains),
        followers=tuple(follower_statuses(replica)),
        items=catalog.live_items,
        removed_items=catalog.removed_items,
        floor=catalog.floor,
    )


def follower_statuses(replica: Replica) -> list[FollowerStatus]:
    """Return how far the other replicas are behind; empty unless this replica leads."""
    store = replica.store
    leadership = replica.leadership
    now_s = active_time.active_s()
    return [
        FollowerStatus(
            replica=follower.peer.replica,
            entries_behind=store.last_index - follower.match_index,
            bytes_behind=store.bytes_after(follower.match_index),
            progress_age_ms=round((now_s - follower.progressed_s) * 1000),
            silent_ms=round(leadership.silence_s(follower.peer.replica) * 1000),
        )
        for follower in leadership.followers()
    ]


__all__ = ["build_status", "follower_statuses"]
