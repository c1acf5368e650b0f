"""Runs a call as one attempt after another, until it has one true ending."""

from __future__ import annotations

import asyncio

from leadhollow.codes import Code, Outcome
from leadhollow.entry.call import Call, with_resume
from leadhollow.entry.call_result import Ending
from leadhollow.entry.response_relay import CallerSink, Delivered, Relay
from leadhollow.entry.retry_budget import RetryBudget
from leadhollow.entry.router import ENGINE_KIND, SERVICE_KIND, Choice, Router, Wish
from leadhollow.entry.scheduler import FairScheduler, Ticket
from leadhollow.failure import Failure
from leadhollow.observe.logs import get_logger, log_decision
from leadhollow.state.catalog import Catalog
from leadhollow.state.records import VersionRecord
from leadhollow.wire.generated.ttypes import Dispatch, Tombstone
from leadhollow.wire.peers import PeerPool

MAXIMUM_REFUSALS = 16
MAXIMUM_FAILURES = 4
TOMBSTONE_TIMEOUT_MS = 1_000
CONFIRMED_REFUSALS = frozenset(
    {
        Code.BACKEND_REFUSED,
        Code.INCARNATION_OLD,
        Code.TOMBSTONED,
        Code.DRAINING,
        Code.SLOTS_FULL,
    }
)
"""Numbers with which a backend role confirms that an attempt was not and will not be run."""

log = get_logger("attempts")


class AttemptRunner:
    """Schedules, dispatches, retries and resumes calls."""

    __slots__ = ("_budget", "_catalog", "_peers", "_router", "_scheduler")

    def __init__(
        self,
        *,
        catalog: Catalog,
        router: Router,
        scheduler: FairScheduler,
        peers: PeerPool,
        budget: RetryBudget,
    ) -> None:
        self._catalog = catalog
        self._router = router
        self._scheduler = scheduler
        self._peers = peers
        self._budget = budget

    async def run(self, call: Call, sink: CallerSink) -> Ending:
        """Run a call to its one ending.

        Returns
        -------
        Ending
            ``not-executed`` only where nothing was dispatched or each attempt was confirmed as
            refused; ``unknown`` where an attempt may have run without a whole answer.
        """
        self._budget.earn()
        delivered = Delivered()
        excluded: set[str] = set()
        failures = 0
        refusals = 0
        attempt = 0
        while True:
            wish = self._wish(call, delivered)
            if isinstance(wish, Failure):
                return self._end(call, delivered, attempt, failures, wish)
            ticket = await self._take_turn(call, wish, excluded, front=attempt > 0)
            if isinstance(ticket, Failure):
                return self._end(call, delivered, attempt, failures, ticket)
            attempt += 1
            failure = await self._attempt(call, ticket, attempt, delivered, sink)
            if failure is None:
                return self._end(call, delivered, attempt, failures, None)
            server = ticket.choice.member.server
            excluded.add(server)
            if failure.code in CONFIRMED_REFUSALS:
                self._router.refused(server, failure.code, now_s=_now_s())
                refusals += 0 if failure.code is Code.SLOTS_FULL else 1  # a full one is waited for
                if refusals >= MAXIMUM_REFUSALS:
                    final = Failure(code=Code.RETRIES_EXHAUSTED, detail=str(failure))
                    return self._end(call, delivered, attempt, failures, final)
                if len(excluded) > MAXIMUM_FAILURES:
                    excluded = {server}
                continue
            failures += 1
            if failure.code is Code.DEADLINE_PASSED:
                return self._end(call, delivered, attempt, failures, failure)
            self._router.failed(server, now_s=_now_s())
            if not call.repeatable or failures >= MAXIMUM_FAILURES or not self._budget.spend():
                return self._end(call, delivered, attempt, failures, failure)

    def _wish(self, call: Call, delivered: Delivered) -> Wish | Failure:
        if call.service:
            return Wish(kind=SERVICE_KIND, names=(call.service,), affinity=b"")
        if delivered.root:
            return Wish(kind=ENGINE_KIND, names=(delivered.root,), affinity=call.affinity)
        roots = [record.root for record in self._versions(call)]
        if not roots:
            return Failure(code=Code.MODEL_NOT_ALLOWED, detail=f"no version of {call.model}")
        return Wish(kind=ENGINE_KIND, names=tuple(roots), affinity=call.affinity)

    def _versions(self, call: Call) -> list[VersionRecord]:
        """Give the version the row names, then the one it replaces until the rollout is done."""
        stored = self._catalog.row(call.group)
        if stored is None or call.model not in stored.row.models:
            return []
        names = [stored.row.models[call.model].version]
        if call.model in stored.previous_versions:
            names.append(stored.previous_versions[call.model])
        found = (self._catalog.version(call.model, name) for name in names)
        return [record for record in found if record is not None]

    async def _take_turn(
        self, call: Call, wish: Wish, excluded: set[str], *, front: bool
    ) -> Ticket | Failure:
        def place() -> Choice | None:
            choice = self._router.choose(wish, excluded=excluded, now_s=_now_s())
            if choice is None and excluded:
                choice = self._router.choose(wish, excluded=(), now_s=_now_s())
            return choice

        acquired = await self._scheduler.acquire(
            group=call.group,
            weight=call.stored.row.weight,
            cost=call.cost_tokens,
            queue_limit=call.stored.row.limits.queue,
            place=place,
            deadline_s=call.deadline_s,
            front=front,
        )
        if acquired.is_ok():
            return acquired.unwrap()
        failure = acquired.unwrap_err()
        if failure.code is Code.DEADLINE_PASSED and not self._router.exists(wish):
            return Failure(code=Code.NO_CAPACITY)
        return failure

    async def _attempt(
        self, call: Call, ticket: Ticket, attempt: int, delivered: Delivered, sink: CallerSink
    ) -> Failure | None:
        choice = ticket.choice
        log_decision(
            "route",
            request_id=call.request_id,
            attempt=attempt,
            group=call.group,
            model=call.model,
            service=call.service,
            root=choice.name[:12],
            server=choice.member.server,
            candidates=choice.candidates,
            reason=choice.reason,
            table_revision=self._catalog.revision,
        )
        tokens_before = delivered.tokens
        try:
            return await self._dispatch(call, choice, attempt, delivered, sink)
        finally:
            self._router.release(choice)
            generated = delivered.tokens - tokens_before
            actual = call.prompt_tokens + generated if generated else call.cost_tokens
            self._scheduler.finish(ticket, actual_cost=actual)

    async def _dispatch(
        self, call: Call, choice: Choice, attempt: int, delivered: Delivered, sink: CallerSink
    ) -> Failure | None:
        member = choice.member
        connected = await self._peers.connection(member.address)
        if connected.is_err():
            self._router.failed(member.server, now_s=_now_s())
            detail = f"{member.server} cannot be reached"
            return Failure(code=Code.BACKEND_REFUSED, detail=detail)  # nothing was sent
        stream = connected.unwrap().stream(self._message(call, choice, attempt, delivered))
        try:
            failure = await Relay(call=call, root=choice.name, delivered=delivered, sink=sink).run(
                stream
            )
        finally:
            stream.cancel()
        if failure is None:
            self._router.succeeded(member.server)
            return None
        if failure.code in (Code.PEER_LOST, Code.PEER_TIMEOUT):
            return await self._withdraw(call, choice, attempt, failure)
        return failure

    def _message(self, call: Call, choice: Choice, attempt: int, delivered: Delivered) -> Dispatch:
        body = call.body
        if delivered.tokens:
            body = with_resume(body, text=delivered.text(), tokens=delivered.tokens)
        return Dispatch(
            call.request_id,
            attempt,
            choice.member.incarnation,
            call.group,
            call.model,
            "" if call.service else choice.name,
            call.repeatable,
            int((call.deadline_s - _now_s()) * 1000),
            call.method,
            call.path,
            call.headers,
            body,
            call.priority,
            not call.service,
        )

    async def _withdraw(
        self, call: Call, choice: Choice, attempt: int, failure: Failure
    ) -> Failure:
        """After a lost link, have the backend role confirm that the attempt never arrived."""
        member = choice.member
        reply = await self._peers.call(
            member.address,
            Tombstone(call.request_id, attempt, member.incarnation),
            timeout_ms=TOMBSTONE_TIMEOUT_MS,
        )
        if reply.is_ok() and reply.unwrap().placed:
            return Failure(code=Code.TOMBSTONED)
        return Failure(code=Code.BACKEND_LOST, detail=f"{member.server}: {failure.detail}")

    def _end(
        self,
        call: Call,
        delivered: Delivered,
        attempts: int,
        failures: int,
        failure: Failure | None,
    ) -> Ending:
        if failure is None:
            outcome = Outcome.EXECUTED
        elif failures:
            outcome = Outcome.UNKNOWN
        else:
            outcome = Outcome.NOT_EXECUTED
        if failure is not None:
            log.info(
                "call failed",
                request_id=call.request_id,
                group=call.group,
                outcome=outcome,
                failure=str(failure),
            )
        return Ending(
            outcome=outcome,
            failure=failure,
            attempts=attempts,
            generated_tokens=delivered.tokens,
            version=self._version_name(delivered.root),
        )

    def _version_name(self, root: str) -> str:
        for record in self._catalog.versions():
            if record.root == root:
                return record.version
        return ""


def _now_s() -> float:
    return asyncio.get_running_loop().time()


__all__ = ["AttemptRunner", "CallerSink"]
