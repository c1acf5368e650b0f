"""Forwards requests to plain services, with retries and hedged attempts for repeatable requests."""

from __future__ import annotations

import asyncio
import random
from http import HTTPStatus

from result import Err, Ok, Result

from leadhollow.codes import Code
from leadhollow.decide.fingerprints import short_fingerprint
from leadhollow.decide.reach import reason_out_of_reach
from leadhollow.decide.retry_after import RefusalReason, retry_after_backoff_s
from leadhollow.decide.retry_budget import RepeatCause, RetryBudget, cause_of_repeat
from leadhollow.decide.server import Server
from leadhollow.decide.server_load import OwnCall
from leadhollow.failure import Failure
from leadhollow.forward.buffered_response import BufferedResponse, buffer_response, first_successful
from leadhollow.forward.call import ForwardedCall
from leadhollow.forward.exchange import AttemptEnd, AttemptFailure, BackendClient, Exchange
from leadhollow.forward.failure_response import FailureResponder
from leadhollow.forward.response_relay import relay_response
from leadhollow.forward.server_directory import ServerDirectory
from leadhollow.forward.suspect_sync import SuspectSync
from leadhollow.kernel.active_time import active_since_s, active_wait, deadline_at
from leadhollow.observe.logs import get_logger, log_decision

HEDGE_SHARE = 0.6  # share of the objective after which a repeatable request is hedged
MIN_BACKOFF_WAIT_S = 0.02  # between checks while another call probes a server after its back-off
FAR_PENALTY = 0.5  # added to the relative load of a server in another failure domain
PEER_BACKOFF_PENALTY = 2.0  # the same for a server that requested back-off from another entry

log = get_logger("plain")


class PlainForwarder:
    """Forwards the requests for plain services of one entry."""

    __slots__ = (
        "_budget",
        "_client",
        "_directory",
        "_failure_domain",
        "_random",
        "_responder",
        "_suspects",
    )

    def __init__(
        self,
        *,
        directory: ServerDirectory,
        budget: RetryBudget,
        responder: FailureResponder,
        client: BackendClient,
        suspects: SuspectSync,
        failure_domain: str,
        seed: int,
    ) -> None:
        self._suspects = suspects
        self._directory = directory
        self._budget = budget
        self._responder = responder
        self._client = client
        self._failure_domain = failure_domain
        self._random = random.Random(seed)

    async def run(self, call: ForwardedCall) -> None:
        """Forward one request and complete or abort its reply."""
        quarantine = self._suspects.quarantine
        try:
            async with deadline_at(call.deadline_s) as limit:
                with quarantine.track(call, limit):
                    await self._run(call)
        except TimeoutError:
            if quarantine.is_quarantined(call):
                await self._responder.quarantined(call)
            else:
                await self._responder.timed_out(call)

    async def _run(self, call: ForwardedCall) -> None:
        excluded: set[str] = set()
        failure = Failure(code=Code.NO_CAPACITY)
        fallback: BufferedResponse | None = None
        while await self._may_send_after_verdict(call):
            server = self._choose_server(call, excluded)
            if server is None:
                if await self._wait_for_backoff(call, excluded):
                    continue
                failure = self._no_server_failure(call, failure)
                break
            if call.sends and not self._may_repeat(call, cause_of_repeat(failure)):
                failure = Failure(code=Code.RETRIES_EXHAUSTED)
                break
            excluded.add(server.instance.instance)
            attempted = await self._send_hedged(call, server, excluded)
            if attempted.is_err():
                failure = attempted.unwrap_err().failure
                continue
            response = attempted.unwrap()
            failed = response.server_error and response.complete
            if response.successful or not (failed and self._may_send(call)):
                await self._relay(call, response)
                return
            response.release_connection()
            fallback = response
            failure = Failure(code=Code.ENGINE_FAILED, detail=f"status {response.exchange.status}")
        if fallback is not None and fallback.exchange.metadata.signed:
            await self._relay(call, fallback)
        elif self._suspects.quarantine.is_quarantined(call):
            await self._responder.quarantined(call)
        elif call.attempts:
            await self._responder.unknown(call, failure)
        else:
            await self._responder.not_run(call, failure, retry_after_s=self._retry_after_s(call))

    async def _relay(self, call: ForwardedCall, response: BufferedResponse) -> None:
        if not self._responder.may_relay(call, response.exchange):
            response.exchange.finish()
            await self._responder.unproven(call, response.exchange)
            return
        passed = await relay_response(
            call, response.exchange, buffered=response.body, complete=response.complete
        )
        if passed.is_err():
            self._responder.broken_off(call, passed.unwrap_err())

    def _retry_after_s(self, call: ForwardedCall) -> float:
        """Return the time after which a caller whose request did not run should retry."""
        left_s = self._backoff_left_s(call, set())
        if left_s is not None:
            return retry_after_backoff_s(left_s, rank=call.rank, source=self._random)
        return RefusalReason.NO_SERVER.retry_after_s(self._random)

    async def _wait_for_backoff(self, call: ForwardedCall, excluded: set[str]) -> bool:
        """Wait for the first back-off to end, unless that is too late; return whether it waited."""
        left_s = self._backoff_left_s(call, excluded)
        if left_s is None:
            return False
        wait_s = max(left_s, MIN_BACKOFF_WAIT_S)
        if asyncio.get_running_loop().time() + wait_s > min(call.objective_s, call.deadline_s):
            return False
        await asyncio.sleep(wait_s)
        return True

    def _backoff_left_s(self, call: ForwardedCall, excluded: set[str]) -> float | None:
        """Return the time until the first back-off ends; None if a server is not backing off.

        Parameters
        ----------
        excluded
            Names of instances that must not be tried again.
        """
        backoffs = [
            server.backoff
            for server in self._directory.servers(call.service)
            if server.instance.instance not in excluded and server.in_reach(call.regions)
        ]
        left_s = [backoff.remaining_s() for backoff in backoffs if backoff is not None]
        return min(left_s, default=None) if len(left_s) == len(backoffs) else None

    def _no_server_failure(self, call: ForwardedCall, failure: Failure) -> Failure:
        """Return a failure that says if no server is in reach, else the last attempt's failure."""
        servers = self._directory.servers(call.service)
        out_of_reach = reason_out_of_reach(servers, call.regions)
        if out_of_reach is not None and not call.attempts:
            return Failure(code=out_of_reach)
        if servers:
            return failure
        detail = f"no backend server of {call.service} is known here"
        return Failure(code=Code.NO_CAPACITY, detail=detail)

    async def _may_send_after_verdict(self, call: ForwardedCall) -> bool:
        if self._may_send(call):
            await self._suspects.quarantine.wait_for_verdict(call)
        return self._may_send(call)

    def _may_send(self, call: ForwardedCall) -> bool:
        if self._suspects.quarantine.is_quarantined(call):
            return False
        return call.may_be_sent()

    def _may_repeat(self, call: ForwardedCall, cause: RepeatCause) -> bool:
        return self._budget.try_acquire(call.service, cause, request=call.request_id)

    async def _send_hedged(
        self, call: ForwardedCall, server: Server, excluded: set[str]
    ) -> Result[BufferedResponse, AttemptFailure]:
        """Send an attempt to one server, and a hedge to a second one if the first takes long."""
        loop = asyncio.get_running_loop()
        first = loop.create_task(self._attempt(call, server))
        tasks = {first}
        chosen: Result[BufferedResponse, AttemptFailure] | None = None
        try:
            left_s = HEDGE_SHARE * call.route.objective_ms / 1000 - active_since_s(call.received_s)
            if self._may_hedge(call) and not await active_wait(tasks, max(0.0, left_s)):
                second = self._choose_server(call, excluded)
                if second is not None and self._may_repeat(call, RepeatCause.HEDGED):
                    excluded.add(second.instance.instance)
                    tasks.add(loop.create_task(self._attempt(call, second)))
            chosen = await first_successful(tasks)
            return chosen
        finally:
            for task in tasks:
                _discard(task, chosen)

    def _may_hedge(self, call: ForwardedCall) -> bool:
        repeatable = call.route.repeatable and call.body.complete
        return repeatable and call.attempts + 1 < call.route.attempts

    def _choose_server(self, call: ForwardedCall, excluded: set[str]) -> Server | None:
        """Choose the least loaded server, among the healthy ones if there are any."""
        now_s = asyncio.get_running_loop().time()
        candidates = [
            server
            for server in self._directory.servers(call.service)
            if server.instance.instance not in excluded
            and server.reason_against(call.regions) is None
        ]
        healthy = [server for server in candidates if server.health.usable(now_s)]
        peers_known = self._directory.hears_others()
        ranked = sorted(
            healthy or candidates,
            key=lambda server: self._cost(server, now_s, peers_known=peers_known),
        )
        if not ranked:
            return None
        chosen = ranked[0]
        log_decision(
            "service chosen",
            request=call.request_id,
            instance=chosen.instance.instance,
            domain=chosen.instance.failure_domain,
            own=chosen.own_requests,
            healthy=len(healthy),
            found=len(candidates),
        )
        return chosen

    def _cost(self, server: Server, now_s: float, *, peers_known: bool) -> float:
        far = server.instance.failure_domain != self._failure_domain
        running = server.own_requests + server.peer_requests(now_s, peer_use_known=peers_known)
        load = running / max(1, server.instance.slots)
        penalty = FAR_PENALTY if far else 0.0
        if server.backoff is not None and server.backoff.deprioritised:
            penalty += PEER_BACKOFF_PENALTY
        return load + penalty + self._random.uniform(0, 0.2)

    async def _attempt(
        self, call: ForwardedCall, server: Server
    ) -> Result[BufferedResponse, AttemptFailure]:
        loop = asyncio.get_running_loop()
        own_call = OwnCall(
            prompt_tokens=0,
            output_tokens=0,
            placed_s=loop.time(),
            predicted_ms=0.0,
            regions=call.regions,
        )
        server.add_call(own_call)
        call.sends += 1
        call.record_dispatch(server.instance.instance)
        try:
            return await self._exchange(call, server, own_call)
        finally:
            server.remove_call(own_call, loop.time())
            self._directory.notify_change()

    async def _exchange(
        self, call: ForwardedCall, server: Server, own_call: OwnCall
    ) -> Result[BufferedResponse, AttemptFailure]:
        instance = server.instance
        call.attempts += 1  # undone if it is certain that nothing ran
        began = await self._client.send(
            server=server,
            own_call=own_call,
            head=call.head,
            body=call.body,
            attempt_id=call.request_id,
            dispatch=call.dispatch(instance=instance.instance),
            fresh=not call.route.repeatable,
        )
        if began.is_err():
            error = began.unwrap_err()
            self._record_failure(call, server, error)
            return Err(error)
        exchange = began.unwrap()
        try:
            return await self._receive(call, server, exchange)
        except BaseException:
            exchange.abort()
            raise

    async def _receive(
        self, call: ForwardedCall, server: Server, exchange: Exchange
    ) -> Result[BufferedResponse, AttemptFailure]:
        if exchange.metadata.not_executed or exchange.status == HTTPStatus.MISDIRECTED_REQUEST:
            return Err(self._record_refusal(call, server, exchange))
        taken = await buffer_response(exchange)
        if taken.is_err():
            error = AttemptFailure(end=AttemptEnd.UNKNOWN, failure=taken.unwrap_err())
            self._record_failure(call, server, error)
            exchange.abort()
            return Err(error)
        response = taken.unwrap()
        if exchange.status < HTTPStatus.BAD_REQUEST and not exchange.metadata.signed:
            failure = Failure(code=Code.ENGINE_FAILED, detail="a success without a signature")
            error = AttemptFailure(end=AttemptEnd.UNKNOWN, failure=failure)
            self._record_failure(call, server, error)
            exchange.abort()
            return Err(error)
        if response.server_error:
            server.health.record_failure(asyncio.get_running_loop().time())
        else:
            server.health.record_success()
            self._suspects.record_complete(server, call, exchange.response.head.framing)
        log.info(
            "response received",
            request=call.request_id,
            fingerprint=short_fingerprint(call.fingerprint),
            instance=server.instance.instance,
            status=exchange.status,
            size_bytes=response.body.size_bytes,
            **exchange.log_fields(),
            after_ms=round((asyncio.get_running_loop().time() - call.received_s) * 1000),
        )
        return Ok(response)

    def _record_refusal(
        self, call: ForwardedCall, server: Server, exchange: Exchange
    ) -> AttemptFailure:
        call.attempts -= 1
        instance = server.instance.instance
        if exchange.metadata.instance not in (None, instance):
            self._directory.record_instance_mismatch(instance)
        log.info(
            "server refused the request",
            request=call.request_id,
            instance=instance,
            status=exchange.status,
        )
        failure = Failure(code=Code.BACKEND_REFUSED, detail=f"status {exchange.status}")
        exchange.abort()
        return AttemptFailure(end=AttemptEnd.NOT_EXECUTED, failure=failure)

    def _record_failure(self, call: ForwardedCall, server: Server, error: AttemptFailure) -> None:
        now_s = asyncio.get_running_loop().time()
        if not error.may_have_run:
            call.attempts -= 1
        if error.end is AttemptEnd.WITHHELD:
            call.sends -= 1
            if call.sends:
                self._budget.refund(call.service)
            log.info(
                "request not sent to the server",
                request=call.request_id,
                failure=str(error.failure),
            )
            return
        if error.end is AttemptEnd.NOT_SENT:
            server.health.record_unreachable(now_s)
        elif call.body.failure is None:
            server.health.record_failure(now_s)
            self._suspects.record_interruption(server, call)
        log.warning(
            "attempt failed",
            request=call.request_id,
            fingerprint=short_fingerprint(call.fingerprint),
            parts=[short_fingerprint(part) for part in call.parts],
            instance=server.instance.instance,
            end=error.end.value,
            failure=str(error.failure),
        )


def _discard(
    task: asyncio.Task[Result[BufferedResponse, AttemptFailure]],
    chosen: Result[BufferedResponse, AttemptFailure] | None,
) -> None:
    """Cancel an attempt that is no longer needed, and release the connection of its response.

    This does not wait, since the caller may leave meanwhile and the chosen response would be lost.
    """

    def release(ended: asyncio.Task[Result[BufferedResponse, AttemptFailure]]) -> None:
        if ended.cancelled() or ended.exception() is not None or ended.result() is chosen:
            return
        if ended.result().is_ok():
            ended.result().unwrap().exchange.finish()

    if task.done():
        release(task)
    else:
        task.cancel()
        task.add_done_callback(release)


__all__ = ["PlainForwarder"]
