"""Runs the replica of a control process.

The replica finds the others through seeds, joins them, and keeps the set of voters complete.
"""

from __future__ import annotations

import asyncio
import zlib
from pathlib import Path

from result import Err, Ok, Result

from leadhollow.control.replica_directory import ReplicaDirectory
from leadhollow.failure import Failure
from leadhollow.kernel import active_time, clocks
from leadhollow.observe.logs import get_logger
from leadhollow.settings.node import NodeSettings
from leadhollow.state.gateway import LeaderGateway
from leadhollow.state.identity import load_identity, seed_voter
from leadhollow.state.join_service import JoinService
from leadhollow.state.log_store import LogStore
from leadhollow.state.replica import Replica, ReplicaRole
from leadhollow.state.voter_manager import VoterManager
from leadhollow.state.voters import Voter
from leadhollow.wire.handlers import HandlerTable
from leadhollow.wire.peers import PeerPool

STATE_FOLDER = "state"
HANDOVER_TIMEOUT_S = 0.6  # an election without handover takes as long; within the stop grace period

log = get_logger("replica")


class ReplicaService:
    """Starts and stops the replica, its joining and its roster of voters."""

    __slots__ = (
        "_handlers",
        "_joining",
        "_peers",
        "_roster",
        "_seeds",
        "_settings",
        "directory",
        "gateway",
        "replica",
    )

    def __init__(self, *, settings: NodeSettings, peers: PeerPool, handlers: HandlerTable) -> None:
        self._settings = settings
        self._peers = peers
        self._handlers = handlers
        self._seeds = settings.seed_wire_addresses
        self._joining: JoinService | None = None
        self._roster: VoterManager | None = None
        self.directory = ReplicaDirectory(clock=_directory_clock_s)
        self.replica: Replica
        self.gateway: LeaderGateway

    async def start(self) -> Result[None, Failure]:
        """Load or create the identity, open the log and join the other replicas."""
        settings = self._settings
        folder = Path(settings.data_folder or ".") / STATE_FOLDER
        loaded = await asyncio.to_thread(
            load_identity,
            folder,
            own_address=settings.wire_address,
            seeds=tuple(seed_voter(address) for address in self._seeds),
            first_start=settings.first_start,
        )
        if loaded.is_err():
            return Err(loaded.unwrap_err())
        identity = loaded.unwrap()
        log.info(
            "replica starts",
            replica=identity.replica,
            first_voters=[voter.replica for voter in identity.first_voters],
            first_start=settings.first_start,
        )
        self.replica = Replica(
            vm=identity.replica,
            voters=identity.first_voters,
            timing=settings.state,
            store=LogStore(folder=folder),
            peers=self._peers,
            seed=zlib.crc32(identity.replica.encode()),
        )
        self.replica.register(self._handlers)
        self.gateway = LeaderGateway(
            replica=self.replica, peers=self._peers, handlers=self._handlers
        )
        started = await self.replica.start()
        if started.is_err():
            return started
        return await self._join(identity.replica)

    async def drain(self) -> None:
        """Hand leadership over to another replica before this one stops."""
        if self.replica.role is ReplicaRole.LEADER:
            handed_over = await self.replica.leadership.transfer_leadership(HANDOVER_TIMEOUT_S)
            log.info("leadership handed over", done=handed_over)

    async def stop(self) -> None:
        """Stop the replica and its services."""
        for service in (self._roster, self._joining):
            if service is not None:
                await service.stop()
        await self.replica.stop()

    def addresses(self) -> list[str]:
        """Return every address at which a replica may be reached, its own included."""
        return list(dict.fromkeys([*self._known_addresses(), *self.directory.addresses()]))

    def _known_addresses(self) -> list[str]:
        """Return the addresses of voters, seeds and, on the leader, learners."""
        addresses = [voter.address for voter in self.replica.voters.voters]
        addresses += [follower.peer.address for follower in self.replica.leadership.followers()]
        return list(dict.fromkeys([*addresses, *self._seeds, self._settings.wire_address]))

    def addresses_with_domains(self) -> list[str]:
        """Return address and failure domain of each replica, separated by a space."""
        followers = [follower.peer for follower in self.replica.leadership.followers()]
        domains = {
            peer.address: peer.failure_domain
            for peer in [*followers, *self.replica.voters.voters]
            if peer.failure_domain
        }
        domains[self._settings.wire_address] = self._settings.failure_domain
        return sorted(
            f"{address} {domains.get(address, '')}" for address in self._known_addresses()
        )

    def use_seeds(self, seeds: tuple[str, ...]) -> None:
        """Replace the seeds at which replicas are looked for."""
        self._seeds = seeds

    async def _join(self, identity: str) -> Result[None, Failure]:
        own = Voter(
            replica=identity,
            address=self._settings.wire_address,
            failure_domain=self._settings.failure_domain,
        )
        self._joining = JoinService(
            replica=self.replica,
            own=own,
            known_addresses=self._known_addresses,
            peers=self._peers,
            handlers=self._handlers,
        )
        wanted = 2 * self._settings.tolerated_losses + 1
        self._roster = VoterManager(replica=self.replica, voter_count=wanted)
        await self._joining.start()
        await self._roster.start()
        return Ok(None)


def _directory_clock_s() -> float:
    """Return the active time plus suspensions, since others may be gone after a long suspension."""
    return active_time.active_s() + clocks.suspended_s()


__all__ = ["STATE_FOLDER", "ReplicaService"]
