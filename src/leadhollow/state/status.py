"""The system as one state replica sees it."""

from __future__ import annotations

from leadhollow.settings.model import Settings
from leadhollow.state.operator_replies import DomainStatus, StatusReply, VersionStatus
from leadhollow.state.service import StateService


def build_status(settings: Settings, service: StateService) -> StatusReply:
    """Gather what the failure domains reported last."""
    catalog = service.replica.machine.catalog
    replica = service.replica
    known = {record.root: record for record in catalog.versions()}
    reports = service.domain_revisions.domains()
    domains = []
    for name in sorted({peer.failure_domain for peer in settings.domain_replicas}):
        reach = reports.get(name)
        lease = catalog.lease(f"domain/{name}")
        if reach is None:
            domains.append(DomainStatus(failure_domain=name, connected=False))
            continue
        lines = []
        for line in reach.report.lines or ():
            record = known.get(line.root)
            lines.append(
                VersionStatus(
                    kind=line.kind,
                    name=line.model,
                    version="" if record is None else record.version,
                    slots=line.total_slots,
                    free_slots=line.free_slots,
                )
            )
        domains.append(
            DomainStatus(
                failure_domain=name,
                connected=service.domain_revisions.reachable(reach),
                revision=reach.revision,
                daemons=reach.report.daemons or 0,
                behind=tuple(reach.report.behind or ()),
                lease_holder="" if lease is None else lease.holder,
                fence=0 if lease is None else lease.fence,
                origin_bytes=reach.report.origin_bytes or 0,
                serving=tuple(lines),
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
    )


__all__ = ["build_status"]
