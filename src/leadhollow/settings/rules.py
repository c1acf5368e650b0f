"""Rules that field types cannot express: ranges, unique names, impossible combinations."""

from __future__ import annotations

import math
from collections.abc import Iterator
from pathlib import PurePosixPath
from urllib.parse import urlsplit

from leadhollow.codes import Code
from leadhollow.failure import Failure
from leadhollow.settings.address import Address
from leadhollow.settings.model import BackendKind, PeerSettings, Role, Settings
from leadhollow.state.row_rules import valid_name

MINIMUM_TOKEN_CHARACTERS = 16
LOG_LEVELS = ("debug", "info", "warning", "error")
STATE_REPLICA_COUNTS = (1, 3, 5)


def check_settings(settings: Settings) -> Failure | None:
    """Return the first rule that the settings of one process break.

    Returns
    -------
    Failure or None
        Names the path of the field and the expected value; None if the settings are valid.
    """
    for failure in _failures(settings):
        return failure
    return None


def check_deployment(settings: list[Settings]) -> Failure | None:
    """Return the first rule that the processes of a deployment break together.

    VMs and backend servers need unique names, and all processes must list the same state replicas.
    """
    seen_vms: set[str] = set()
    seen_servers: set[str] = set()
    for process in settings:
        if process.vm in seen_vms:
            return _duplicate_failure("vm", process.vm)
        seen_vms.add(process.vm)
        if process.backend is not None:
            if process.backend.server in seen_servers:
                return _duplicate_failure("backend.server", process.backend.server)
            seen_servers.add(process.backend.server)
        if process.state_replicas != settings[0].state_replicas:
            detail = f"{process.vm} and {settings[0].vm} name different state replicas"
            return _combination_failure("state_replicas", detail)
    return None


def _failures(settings: Settings) -> Iterator[Failure]:
    yield from _check_names(settings)
    yield from _check_addresses(settings)
    yield from _check_ranges(settings)
    yield from _check_peers("state_replicas", settings.state_replicas)
    yield from _check_peers("domain_replicas", settings.domain_replicas)
    yield from _check_state(settings)
    yield from _check_roles(settings)
    yield from _check_backend(settings)


def _check_names(settings: Settings) -> Iterator[Failure]:
    for field in ("vm", "region", "failure_domain"):
        if not valid_name(getattr(settings, field)):
            yield _field_failure(field, "a name of a-z, 0-9, '.', '_' or '-', at most 63")
    if not settings.roles:
        yield _field_failure("roles", "at least one role")
    if len(set(settings.roles)) != len(settings.roles):
        yield _duplicate_failure("roles", "a role")
    if settings.logs.level not in LOG_LEVELS:
        yield _field_failure("logs.level", f"one of {', '.join(LOG_LEVELS)}")
    tokens = [("wire.token", settings.wire.token)]
    if settings.operators is not None:
        tokens.append(("operators.token", settings.operators.token))
    for field, token in tokens:
        if len(token) < MINIMUM_TOKEN_CHARACTERS:
            yield _field_failure(field, f"at least {MINIMUM_TOKEN_CHARACTERS} characters")


def _check_addresses(settings: Settings) -> Iterator[Failure]:
    addresses = [("wire.listen", settings.wire.listen)]
    if settings.entry is not None:
        addresses.append(("entry.listen", settings.entry.listen))
    if settings.operators is not None:
        addresses.append(("operators.listen", settings.operators.listen))
    if settings.statsd is not None:
        addresses.append(("statsd", settings.statsd))
    seen: dict[str, str] = {}
    for field, address in addresses:
        if Address.parse(address).is_err():
            yield _field_failure(field, f"IP-NUMBER:PORT, found {address!r}")
        if address in seen and not address.endswith(":0"):
            yield _duplicate_failure(field, f"{address}, also {seen[address]},")
        seen[address] = field


def _check_ranges(settings: Settings) -> Iterator[Failure]:
    positive_fields = {
        "drain_deadline_ms": settings.drain_deadline_ms,
        "state.heartbeat_ms": settings.state.heartbeat_ms,
        "state.election_timeout_ms": settings.state.election_timeout_ms,
        "state.snapshot_entries": settings.state.snapshot_entries,
        "state.claim_retention_ms": settings.state.claim_retention_ms,
        "domain.heartbeat_ms": settings.domain.heartbeat_ms,
        "domain.suspect_after_ms": settings.domain.suspect_after_ms,
        "domain.remove_after_ms": settings.domain.remove_after_ms,
        "domain.summary_ms": settings.domain.summary_ms,
        "domain.lease_ttl_ms": settings.domain.lease_ttl_ms,
        "weights.lease_window": settings.weights.lease_window,
        "weights.neighbours_inside": settings.weights.neighbours_inside,
        "weights.neighbours_across": settings.weights.neighbours_across,
    }
    if settings.entry is not None:
        positive_fields["entry.body_limit_bytes"] = settings.entry.body_limit_bytes
        positive_fields["entry.default_deadline_ms"] = settings.entry.default_deadline_ms
        if not 0 <= settings.entry.retry_ratio <= 1:
            yield _field_failure("entry.retry_ratio", "a number from 0 to 1")
        if not 0 <= settings.entry.retry_slack < math.inf:
            yield _field_failure("entry.retry_slack", "a number from 0 on")
        if not 0 < settings.entry.retry_window_s < math.inf:
            yield _field_failure("entry.retry_window_s", "a number above 0")
    for field, value in positive_fields.items():
        if value < 1:
            yield _field_failure(field, f"a whole number above 0, found {value}")
    if settings.state.election_timeout_ms < 3 * settings.state.heartbeat_ms:
        detail = "expected at least three times state.heartbeat_ms"
        yield _combination_failure("state.election_timeout_ms", detail)
    if settings.domain.suspect_after_ms <= settings.domain.heartbeat_ms:
        yield _combination_failure(
            "domain.suspect_after_ms", "expected more than domain.heartbeat_ms"
        )
    if settings.domain.remove_after_ms < settings.domain.suspect_after_ms:
        yield _combination_failure(
            "domain.remove_after_ms", "expected at least domain.suspect_after_ms"
        )


def _check_peers(field: str, peers: tuple[PeerSettings, ...]) -> Iterator[Failure]:
    names: set[str] = set()
    addresses: set[str] = set()
    for position, peer in enumerate(peers):
        path = f"{field}[{position}]"
        parsed = Address.parse(peer.address)
        if parsed.is_err() or parsed.unwrap().port == 0:
            yield _field_failure(f"{path}.address", f"IP-NUMBER:PORT, found {peer.address!r}")
        if not valid_name(peer.vm):
            yield _field_failure(f"{path}.vm", "a name of a-z, 0-9, '.', '_' or '-', at most 63")
        if peer.vm in names:
            yield _duplicate_failure(f"{path}.vm", peer.vm)
        if peer.address in addresses:
            yield _duplicate_failure(f"{path}.address", peer.address)
        names.add(peer.vm)
        addresses.add(peer.address)


def _check_state(settings: Settings) -> Iterator[Failure]:
    replicas = settings.state_replicas
    if len(replicas) not in STATE_REPLICA_COUNTS:
        detail = f"expected 1, 3 or 5 replicas for a majority, found {len(replicas)}"
        yield _combination_failure("state_replicas", detail)
    domains = {peer.failure_domain for peer in settings.domain_replicas}
    state_domains = {peer.failure_domain for peer in replicas}
    if len(replicas) >= 3 and len(domains) >= 3 and len(state_domains) < 3:
        detail = "the loss of one failure domain would take the majority; spread over three"
        yield _combination_failure("state_replicas", detail)
    for domain in sorted(state_domains):
        replica_count = sum(1 for peer in replicas if peer.failure_domain == domain)
        if len(state_domains) > 1 and replica_count > len(replicas) // 2:
            yield _combination_failure("state_replicas", f"{domain} holds a majority by itself")


def _check_roles(settings: Settings) -> Iterator[Failure]:
    sections = {Role.ENTRY: "entry", Role.BACKEND: "backend"}
    for role, section in sections.items():
        present = getattr(settings, section) is not None
        if settings.has_role(role) and not present:
            yield _combination_failure(section, f"role {role.value} needs this section")
        if present and not settings.has_role(role):
            yield _combination_failure(section, f"given without role {role.value}")
    if settings.has_role(Role.STATE):
        if settings.data_folder is None:
            yield _combination_failure("data_folder", "role state needs a folder on a disk")
        if settings.vm not in {peer.vm for peer in settings.state_replicas}:
            yield _combination_failure(
                "state_replicas", f"role state, but {settings.vm} is not listed"
            )
        if settings.operators is None:
            yield _combination_failure("operators", "role state needs this section")
    if settings.has_role(Role.DOMAIN):
        own = [peer.vm for peer in settings.own_domain_replicas()]
        if settings.vm not in own:
            detail = f"role domain, but {settings.vm} is not listed for {settings.failure_domain}"
            yield _combination_failure("domain_replicas", detail)
    if not settings.own_domain_replicas():
        yield _combination_failure("domain_replicas", f"none in {settings.failure_domain}")


def _check_backend(settings: Settings) -> Iterator[Failure]:
    backend = settings.backend
    if backend is None:
        return
    if not valid_name(backend.server):
        yield _field_failure("backend.server", "a name of a-z, 0-9, '.', '_' or '-', at most 63")
    if backend.slots < 1:
        yield _field_failure("backend.slots", f"a whole number above 0, found {backend.slots}")
    if backend.link_bytes_per_s < 1:
        yield _field_failure("backend.link_bytes_per_s", "a whole number above 0")
    if not 0 < backend.weights_share <= 1:
        yield _field_failure("backend.weights_share", "more than 0 and at most 1")
    url = urlsplit(backend.url)
    if url.scheme not in ("http", "https") or not url.hostname:
        yield _field_failure("backend.url", f"an http or https address, found {backend.url!r}")
    if backend.kind is BackendKind.SERVICE and not valid_name(backend.service):
        yield _combination_failure("backend.service", "kind service needs the service's name")
    if backend.kind is BackendKind.ENGINE and backend.service:
        yield _combination_failure("backend.service", "expected empty for an engine")
    if backend.kind is BackendKind.ENGINE:
        folder = settings.data_folder
        if folder is None or not PurePosixPath(folder).is_absolute():
            yield _combination_failure(
                "data_folder", "an engine's chunk store needs an absolute path"
            )


def _field_failure(field: str, expected: str) -> Failure:
    return Failure(code=Code.SETTINGS_FIELD, detail=f"expected {expected}", field=field)


def _combination_failure(field: str, detail: str) -> Failure:
    return Failure(code=Code.SETTINGS_COMBINATION, detail=detail, field=field)


def _duplicate_failure(field: str, name: str) -> Failure:
    return Failure(code=Code.SETTINGS_DUPLICATE, detail=f"{name} stands twice", field=field)


__all__ = ["check_settings", "check_deployment"]
