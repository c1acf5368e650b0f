"""Selects the tracker of a version: one for the whole system, or a local one if cut off."""

from __future__ import annotations

from blake3 import blake3

from leadhollow.settings.model import Settings
from leadhollow.state.catalog import Catalog

DOMAIN_LEASE_PREFIX = "domain/"


def domain_lease_name(failure_domain: str) -> str:
    """Return the name of the lease that allows its holder to give orders in a failure domain."""
    return f"{DOMAIN_LEASE_PREFIX}{failure_domain}"


def tracker_addresses(root: str, *, settings: Settings, catalog: Catalog) -> list[str]:
    """Return the addresses of the trackers to try for a version, in order.

    The first is the same in every process, without any message between them: each process ranks the
    failure domains by a hash with the root (rendezvous hashing). The replicas of the own
    failure domain come last; they are used while it is cut off from the others.
    """
    address_by_vm = {peer.vm: peer.address for peer in settings.domain_replicas}
    ranked_holders = []
    for lease in catalog.leases():
        if lease.name.startswith(DOMAIN_LEASE_PREFIX) and lease.holder in address_by_vm:
            rank = blake3(f"{root}\n{lease.name}".encode()).digest()
            ranked_holders.append((rank, address_by_vm[lease.holder]))
    addresses = [address for _, address in sorted(ranked_holders)[:1]]
    own_lease = catalog.lease(domain_lease_name(settings.failure_domain))
    if own_lease is not None and own_lease.holder in address_by_vm:
        addresses.append(address_by_vm[own_lease.holder])
    addresses += [peer.address for peer in settings.own_domain_replicas()]
    return list(dict.fromkeys(addresses))


__all__ = ["DOMAIN_LEASE_PREFIX", "domain_lease_name", "tracker_addresses"]
