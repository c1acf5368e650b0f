"""Forwards a request to a plain service; what may be repeated is tried again where that helps."""

from __future__ import annotations

import asyncio
import random
from http import HTTPStatus

from result import Err, Ok, Result

from leadhollow.codes import Code
from leadhollow.decide.retry_after import RefusalReason, retry_after_backoff_s
from leadhollow.decide.retry_budget import RetryBudget
from leadhollow.decide.server import Server
from leadhollow.decide.server_load import OwnCall
from leadhollow.failure import Failure
from leadhollow.forward.buffered_response import BufferedResponse, buffer_response, first_successful
from leadhollow.forward.call import ForwardedCall
from leadhollow.forward.exchange import AttemptEnd, AttemptFailure, BackendClient, Exchange
from leadhollow.forward.failure_response import FailureResponder
from leadhollow.forward.fingerprint import short_fingerprint
from leadhollow.forward.response_relay import relay_response
from leadhollow.forward.server_directory import ServerDirectory
from leadhollow.forward.suspect_sync import SuspectSync
from leadhollow.http1.messages import Framing
from leadhollow.kernel.active_time import active_since_s, active_wait, deadline_at
from leadhollow.observe.logs import get_logger, log_decision

HEDGE_SHARE = 0.6  # of the objective; then another server may answer a repeatable request sooner
MOST_SENDS = 6
REST_STEP_S = 0.02  # between two looks at servers whose rest is over, while one request finds out
FAR_PENALTY = 0.5  # a server of another failure domain counts as if it had this much more to do
SHUNNED_PENALTY = 2.0  # in the same terms, of one that wants rest of another entry

log = get_logger("plain")


class PlainForwarder:
    """Forwards the plain requests of one entry."""

    __slots__ = (
        "_board",
        "_budget",
        "_ending",
        "_exchanger",
        "_failure_domain",
        "_random",
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
        self._board = directory
        self._budget = budget
        self._ending = responder
        self._exchanger = client
        self._failure_domain = failure_domain
        self._random = random.Random(seed)

    async def run(self, call: ForwardedCall) -> None:
        """Forward one request to its end."""
        quarantine = self._suspects.quarantine
        try:
            async with deadline_at(call.deadline_s) as limit:
                with quarantine.track(call, limit):
                    await self._run(call)
        except TimeoutError:
            if quarantine.is_quarantined(call):
                await self._ending.quarantined(call)
            else:
                await self._ending.timed_out(call)

    async def _run(self, call: ForwardedCall) -> None:
        excluded: set[str] = set()
        failure = Failure(code=Code.NO_CAPACITY)
        fallback: BufferedResponse | None = None
        while await self._may_try_now(call):
            server = self._choose(call, excluded)
            if server is None:
                if await self._wait_for_rest(call, excluded):
                    continue
                failure = self._nobody(call, failure)
                break
            if call.sends and not self._budget.try_acquire(call.service):
                failure = Failure(code=Code.RETRIES_EXHAUSTED)
                break
            excluded.add(server.instance.instance)
            attempted = await self._attempt_hedged(call, server, excluded)
            if attempted.is_err():
                failure = attempted.unwrap_err().failure
                continue
            answer = attempted.unwrap()
            if answer.successful or not (answer.server_error and self._may_try(call)):
                await self._pass_on(call, answer)
                return
            fallback = answer
        if fallback is not None and fallback.exchange.metadata.signed:
            await self._pass_on(call, fallback)
        elif self._suspects.quarantine.is_quarantined(call):
            await self._ending.quarantined(call)
        elif call.attempts:
            await self._ending.unknown(call, failure)
        else:
            await self._ending.not_run(call, failure, retry_after_s=self._retry_after_s(call))

    async def _pass_on(self, call: ForwardedCall, answer: BufferedResponse) -> None:
        passed = await relay_response(
            call, answer.exchange, buffered=answer.data, complete=answer.complete
        )
        if passed.is_err():
            self._ending.broken_off(call, passed.unwrap_err())

    def _retry_after_s(self, call: ForwardedCall) -> float:
        """Give the time after which a caller should come back whose request did not run."""
        left_s = self._rest_left_s(call, set())
        if left_s is not None:
            return retry_after_backoff_s(left_s, rank=call.rank, source=self._random)
        return RefusalReason.NO_SERVER.retry_after_s(self._random)

    async def _wait_for_rest(self, call: ForwardedCall, excluded: set[str]) -> bool:
        """Wait for the first server that rests, where it takes requests while that is of use."""
        left_s = self._rest_left_s(call, excluded)
        if left_s is None:
            return False
        wait_s = max(left_s, REST_STEP_S)
        if asyncio.get_running_loop().time() + wait_s > min(call.objective_s, call.deadline_s):
            return False
        await asyncio.sleep(wait_s)
        return True

    def _rest_left_s(self, call: ForwardedCall, excluded: set[str]) -> float | None:
        """Give the time until the first server takes requests again; None where one does not rest.

        Parameters
        ----------
        excluded
            Servers that must not be tried again.
        """
        rests = [
            server.backoff
            for server in self._board.servers(call.service)
            if server.instance.instance not in excluded
        ]
        left_s = [rest.remaining_s() for rest in rests if rest is not None]
        return min(left_s, default=None) if len(left_s) == len(rests) else None

    def _nobody(self, call: ForwardedCall, failure: Failure) -> Failure:
        """Say that the service has no server at all; else the last attempt's failure stands."""
        if self._board.servers(call.service):
            return failure
        detail = f"no backend server of {call.service} is known here"
        return Failure(code=Code.NO_CAPACITY, detail=detail)

    async def _may_try_now(self, call: ForwardedCall) -> bool:
        if self._may_try(call):
            await self._suspects.quarantine.wait_for_verdict(call)
        return self._may_try(call)

    def _may_try(self, call: ForwardedCall) -> bool:
        if self._suspects.quarantine.is_quarantined(call):
            return False
        if call.sends >= MOST_SENDS or call.attempts >= call.route.attempts:
            return False
        return call.attempts == 0 or (call.route.repeatable and call.body.complete)

    async def _attempt_hedged(
        self, call: ForwardedCall, server: Server, excluded: set[str]
    ) -> Result[BufferedResponse, AttemptFailure]:
        """Attempt at one server, and at a second one where the first takes long."""
        loop = asyncio.get_running_loop()
        first = loop.create_task(self._attempt(call, server))
        tasks = {first}
        try:
            left_s = HEDGE_SHARE * call.route.objective_ms / 1000 - active_since_s(call.received_s)
            if self._may_hedge(call) and not await active_wait(tasks, max(0.0, left_s)):
                second = self._choose(call, excluded)
                if second is not None and self._budget.try_acquire(call.service):
                    excluded.add(second.instance.instance)
                    tasks.add(loop.create_task(self._attempt(call, second)))
            return await first_successful(tasks)
        finally:
            for task in tasks:
                await _discard(task)

    def _may_hedge(self, call: ForwardedCall) -> bool:
        repeatable = call.route.repeatable and call.body.complete
        return repeatable and call.attempts + 1 < call.route.attempts

    def _choose(self, call: ForwardedCall, excluded: set[str]) -> Server | None:
        """Choose the server with the least to do; a healthy one, if there is any."""
        now_s = asyncio.get_running_loop().time()
        found = [
            server
            for server in self._board.servers(call.service)
            if server.instance.instance not in excluded and server.admits()
        ]
        healthy = [server for server in found if server.health.usable(now_s)]
        told = self._board.hears_others()
        ranked = sorted(healthy or found, key=lambda server: self._rank(server, now_s, told=told))
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
            found=len(found),
        )
        return chosen

    def _rank(self, server: Server, now_s: float, *, told: bool) -> float:
        far = server.instance.failure_domain != self._failure_domain
        running = server.own_requests + server.peer_requests(now_s, peer_use_known=told)
        load = running / max(1, server.instance.slots)
        penalty = FAR_PENALTY if far else 0.0
        if server.backoff is not None and server.backoff.deprioritised:
            penalty += SHUNNED_PENALTY
        return load + penalty + self._random.uniform(0, 0.2)

    async def _attempt(
        self, call: ForwardedCall, server: Server
    ) -> Result[BufferedResponse, AttemptFailure]:
        loop = asyncio.get_running_loop()
        running = OwnCall(prompt_tokens=0, output_tokens=0, placed_s=loop.time(), predicted_ms=0.0)
        server.add_call(running)
        server.health.record_start(loop.time())
        call.sends += 1
        call.record_dispatch(server.instance.instance)
        try:
            return await self._exchange(call, server, running)
        finally:
            server.remove_call(running, loop.time())
            self._board.notify_change()

    async def _exchange(
        self, call: ForwardedCall, server: Server, running: OwnCall
    ) -> Result[BufferedResponse, AttemptFailure]:
        instance = server.instance
        call.attempts += 1  # taken back where it is certain that nothing ran
        began = await self._exchanger.send(
            server=server,
            own_call=running,
            head=call.head,
            body=call.body,
            attempt_id=call.request_id,
            dispatch=call.dispatch(instance=instance.instance),
            fresh=not call.route.repeatable,
        )
        if began.is_err():
            failed = began.unwrap_err()
            self._note_failure(call, server, failed)
            return Err(failed)
        exchange = began.unwrap()
        try:
            return await self._take(call, server, exchange)
        except BaseException:
            exchange.abort()
            raise

    async def _take(
        self, call: ForwardedCall, server: Server, exchange: Exchange
    ) -> Result[BufferedResponse, AttemptFailure]:
        if exchange.metadata.not_executed or exchange.status == HTTPStatus.MISDIRECTED_REQUEST:
            return Err(self._refused(call, server, exchange))
        taken = await buffer_response(exchange)
        if taken.is_err():
            failed = AttemptFailure(end=AttemptEnd.UNKNOWN, failure=taken.unwrap_err())
            self._note_failure(call, server, failed)
            exchange.abort()
            return Err(failed)
        answer = taken.unwrap()
        if exchange.status < HTTPStatus.BAD_REQUEST and not exchange.metadata.signed:
            failure = Failure(code=Code.ENGINE_FAILED, detail="a success without a signature")
            failed = AttemptFailure(end=AttemptEnd.UNKNOWN, failure=failure)
            self._note_failure(call, server, failed)
            exchange.abort()
            return Err(failed)
        if answer.server_error:
            server.health.record_failure(asyncio.get_running_loop().time())
        else:
            server.health.record_success()
            if exchange.response.head.framing is not Framing.UNTIL_CLOSE:
                self._suspects.record_success(server, call.fingerprint)
        log.info(
            "answer taken",
            request=call.request_id,
            fingerprint=short_fingerprint(call.fingerprint),
            instance=server.instance.instance,
            status=exchange.status,
            framing=exchange.response.head.framing.value,
            size_bytes=len(answer.data),
            after_ms=round((asyncio.get_running_loop().time() - call.received_s) * 1000),
        )
        return Ok(answer)

    def _refused(self, call: ForwardedCall, server: Server, exchange: Exchange) -> AttemptFailure:
        call.attempts -= 1
        instance = server.instance.instance
        server.health.record_inconclusive()
        if exchange.metadata.instance not in (None, instance):
            self._board.record_instance_mismatch(instance)
        log.info(
            "server refused", request=call.request_id, instance=instance, status=exchange.status
        )
        failure = Failure(code=Code.BACKEND_REFUSED, detail=f"status {exchange.status}")
        exchange.abort()
        return AttemptFailure(end=AttemptEnd.NOT_EXECUTED, failure=failure)

    def _note_failure(self, call: ForwardedCall, server: Server, failed: AttemptFailure) -> None:
        now_s = asyncio.get_running_loop().time()
        if not failed.may_have_run:
            call.attempts -= 1
        if failed.end is AttemptEnd.WITHHELD:
            call.sends -= 1
            if call.sends:
                self._budget.refund(call.service)
            server.health.record_inconclusive()
            log.info("server withheld", request=call.request_id, failure=str(failed.failure))
            return
        if failed.end is AttemptEnd.NOT_SENT:
            server.health.record_unreachable(now_s)
        else:
            server.health.record_failure(now_s)
            self._suspects.record_interruption(server, call.fingerprint)
        log.warning(
            "attempt failed",
            request=call.request_id,
            fingerprint=short_fingerprint(call.fingerprint),
            instance=server.instance.instance,
            end=failed.end.value,
            failure=str(failed.failure),
        )


async def _discard(task: asyncio.Task[Result[BufferedResponse, AttemptFailure]]) -> None:
    """Break off an attempt that is not needed any more."""
    if not task.done():
        task.cancel()
        await asyncio.wait([task])


__all__ = ["PlainForwarder"]
