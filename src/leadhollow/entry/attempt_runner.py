"""Runs a call as a sequence of attempts and determines its result."""

from __future__ import annotations

import asyncio

from leadhollow.codes import Code, Outcome
from leadhollow.decide.retry_budget import RepeatCause, RetryBudget
from leadhollow.entry.call import Call, with_resume
from leadhollow.entry.call_result import CallResult
from leadhollow.entry.response_relay import DeliveredResponse, ResponseRelay, ResponseSink
from leadhollow.entry.router import ENGINE_KIND, SERVICE_KIND, Reservation, Router, RoutingRequest
from leadhollow.entry.scheduler import Admission, FairScheduler
from leadhollow.entry.suspects import EntrySuspects
from leadhollow.failure import Failure
from leadhollow.observe.logs import get_logger, log_decision
from leadhollow.state.catalog import Catalog
from leadhollow.state.records import VersionRecord
from leadhollow.wire.generated.ttypes import Dispatch, Tombstone
from leadhollow.wire.peers import PeerPool

MAX_REFUSALS = 16
MAX_FAILURES = 4
TOMBSTONE_TIMEOUT_MS = 1_000
CONFIRMED_REFUSAL_CODES = frozenset(
    {
        Code.BACKEND_REFUSED,
        Code.INCARNATION_OLD,
        Code.TOMBSTONED,
        Code.DRAINING,
        Code.SLOTS_FULL,
    }
)
"""Codes by which a backend role confirms that it did not and will not run an attempt."""

log = get_logger("attempts")


class AttemptRunner:
    """Schedules, dispatches, retries and resumes calls.

    A retry excludes the servers that were tried before. A confirmed refusal may always be retried;
    after a failure only a repeatable call is, within the retry budget. A model call that was partly
    delivered is resumed on an engine with the same version.
    """

    __slots__ = ("_budget", "_catalog", "_peers", "_router", "_scheduler", "_suspects")

    def __init__(
        self,
        *,
        catalog: Catalog,
        router: Router,
        scheduler: FairScheduler,
        peers: PeerPool,
        budget: RetryBudget,
        suspects: EntrySuspects,
    ) -> None:
        self._suspects = suspects
        self._catalog = catalog
        self._router = router
        self._scheduler = scheduler
        self._peers = peers
        self._budget = budget

    async def run(self, call: Call, sink: ResponseSink) -> CallResult:
        """Run a call until it succeeds or may not be retried.

        Returns
        -------
        CallResult
            ``not-executed`` only if nothing was dispatched or every attempt was confirmed as
            refused; ``unknown`` if an attempt may have run without a complete response.
        """
        self._budget.record_request(call.service or call.model)
        delivered = DeliveredResponse()
        excluded: set[str] = set()
        failures = 0
        refusals = 0
        attempt = 0
        while True:
            if self._suspects.is_quarantined(call):
                held = Failure(code=Code.REQUEST_QUARANTINED)
                return self._result(call, delivered, attempt, failures, held)
            routing_request = self._routing_request(call, delivered)
            if isinstance(routing_request, Failure):
                return self._result(call, delivered, attempt, failures, routing_request)
            admission = await self._admit(call, routing_request, excluded, front=attempt > 0)
            if isinstance(admission, Failure):
                return self._result(call, delivered, attempt, failures, admission)
            attempt += 1
            failure = await self._run_attempt(call, admission, attempt, delivered, sink)
            if failure is None:
                self._suspects.record_success(call)
                return self._result(call, delivered, attempt, failures, None)
            server = admission.reservation.member.server
            excluded.add(server)
            if failure.code in CONFIRMED_REFUSAL_CODES:
                self._router.record_refusal(server, failure.code, now_s=_now_s())
                # A full server does not count: the call waits for a slot until its deadline.
                refusals += 0 if failure.code is Code.SLOTS_FULL else 1
                if refusals >= MAX_REFUSALS:
                    final = Failure(code=Code.RETRIES_EXHAUSTED, detail=str(failure))
                    return self._result(call, delivered, attempt, failures, final)
                if len(excluded) > MAX_FAILURES:
                    excluded = {server}
                continue
            failures += 1
            if failure.code is Code.DEADLINE_PASSED:
                return self._result(call, delivered, attempt, failures, failure)
            if failure.code is Code.ENGINE_ENDED:
                # what comes back at this address is another engine, so it is not ejected
                self._router.record_refusal(server, failure.code, now_s=_now_s())
                self._suspects.record_end(failure.detail, call)
                await self._suspects.wait_for_verdict(call)
            else:
                self._router.record_failure(server, now_s=_now_s())
            if not call.repeatable or failures >= MAX_FAILURES or not self._may_repeat(call):
                return self._result(call, delivered, attempt, failures, failure)

    def _may_repeat(self, call: Call) -> bool:
        return self._budget.try_acquire(
            call.service or call.model, RepeatCause.FAILED, request=call.request_id
        )

    def _routing_request(
        self, call: Call, delivered: DeliveredResponse
    ) -> RoutingRequest | Failure:
        if call.service:
            return RoutingRequest(kind=SERVICE_KIND, names=(call.service,), affinity=b"")
        if delivered.root:
            return RoutingRequest(kind=ENGINE_KIND, names=(delivered.root,), affinity=call.affinity)
        roots = [record.root for record in self._versions(call)]
        if not roots:
            return Failure(code=Code.MODEL_NOT_ALLOWED, detail=f"no version of {call.model}")
        return RoutingRequest(kind=ENGINE_KIND, names=tuple(roots), affinity=call.affinity)

    def _versions(self, call: Call) -> list[VersionRecord]:
        """Return the version that the row names, then the one it replaces during a rollout."""
        stored = self._catalog.row(call.group)
        if stored is None or call.model not in stored.row.models:
            return []
        names = [stored.row.models[call.model].version]
        if call.model in stored.previous_versions:
            names.append(stored.previous_versions[call.model])
        records = (self._catalog.version(call.model, name) for name in names)
        return [record for record in records if record is not None]

    async def _admit(
        self, call: Call, routing_request: RoutingRequest, excluded: set[str], *, front: bool
    ) -> Admission | Failure:
        def reserve() -> Reservation | None:
            reservation = self._router.choose(routing_request, excluded=excluded, now_s=_now_s())
            if reservation is None and excluded:
                reservation = self._router.choose(routing_request, excluded=(), now_s=_now_s())
            return reservation

        acquired = await self._scheduler.acquire(
            group=call.group,
            weight=call.stored.row.weight,
            cost=call.cost_tokens,
            queue_limit=call.stored.row.limits.queue,
            reserve=reserve,
            deadline_s=call.deadline_s,
            front=front,
        )
        if acquired.is_ok():
            return acquired.unwrap()
        failure = acquired.unwrap_err()
        if failure.code is Code.DEADLINE_PASSED and not self._router.has_candidates(
            routing_request
        ):
            return Failure(code=Code.NO_CAPACITY)
        return failure

    async def _run_attempt(
        self,
        call: Call,
        admission: Admission,
        attempt: int,
        delivered: DeliveredResponse,
        sink: ResponseSink,
    ) -> Failure | None:
        reservation = admission.reservation
        log_decision(
            "route",
            request_id=call.request_id,
            attempt=attempt,
            group=call.group,
            model=call.model,
            service=call.service,
            root=reservation.name[:12],
            server=reservation.member.server,
            candidates=reservation.candidates,
            reason=reservation.reason,
            table_revision=self._catalog.revision,
        )
        tokens_before = delivered.tokens
        try:
            return await self._dispatch(call, reservation, attempt, delivered, sink)
        finally:
            self._router.release(reservation)
            generated = delivered.tokens - tokens_before
            actual = call.prompt_tokens + generated if generated else call.cost_tokens
            self._scheduler.finish(admission, actual_cost=actual)

    async def _dispatch(
        self,
        call: Call,
        reservation: Reservation,
        attempt: int,
        delivered: DeliveredResponse,
        sink: ResponseSink,
    ) -> Failure | None:
        member = reservation.member
        connected = await self._peers.connection(member.address)
        if connected.is_err():
            self._router.record_failure(member.server, now_s=_now_s())
            detail = f"{member.server} cannot be reached"
            return Failure(code=Code.BACKEND_REFUSED, detail=detail)  # nothing was sent
        stream = connected.unwrap().stream(
            self._dispatch_message(call, reservation, attempt, delivered)
        )
        try:
            failure = await ResponseRelay(
                call=call, root=reservation.name, delivered=delivered, sink=sink
            ).run(stream)
        finally:
            stream.cancel()
        if failure is None:
            self._router.record_success(member.server)
            return None
        if failure.code in (Code.PEER_LOST, Code.PEER_TIMEOUT):
            return await self._place_tombstone(call, reservation, attempt, failure)
        return failure

    def _dispatch_message(
        self, call: Call, reservation: Reservation, attempt: int, delivered: DeliveredResponse
    ) -> Dispatch:
        body = call.body
        if delivered.tokens:
            body = with_resume(body, text=delivered.text(), tokens=delivered.tokens)
        return Dispatch(
            call.request_id,
            attempt,
            reservation.member.incarnation,
            call.group,
            call.model,
            "" if call.service else reservation.name,
            call.repeatable,
            int((call.deadline_s - _now_s()) * 1000),
            call.method,
            call.path,
            call.headers,
            body,
            call.priority,
            not call.service,
        )

    async def _place_tombstone(
        self, call: Call, reservation: Reservation, attempt: int, failure: Failure
    ) -> Failure:
        """After a lost connection, have the backend role block the attempt if it never arrived."""
        member = reservation.member
        reply = await self._peers.call(
            member.address,
            Tombstone(call.request_id, attempt, member.incarnation),
            timeout_ms=TOMBSTONE_TIMEOUT_MS,
        )
        if reply.is_ok() and reply.unwrap().placed:
            return Failure(code=Code.TOMBSTONED)
        return Failure(code=Code.BACKEND_LOST, detail=f"{member.server}: {failure.detail}")

    def _result(
        self,
        call: Call,
        delivered: DeliveredResponse,
        attempts: int,
        failures: int,
        failure: Failure | None,
    ) -> CallResult:
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
        return CallResult(
            outcome=outcome,
            failure=failure,
            attempts=attempts,
            generated_tokens=delivered.tokens,
            version=self._version_of_root(delivered.root),
        )

    def _version_of_root(self, root: str) -> str:
        for record in self._catalog.versions():
            if record.root == root:
                return record.version
        return ""


def _now_s() -> float:
    return asyncio.get_running_loop().time()


__all__ = ["AttemptRunner", "ResponseSink"]
