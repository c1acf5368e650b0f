"""Claims callers' idempotency keys in the replicated state, and stores results for resends."""

from __future__ import annotations

from result import Err, Ok, Result

from leadhollow.codes import Code, Outcome, code_of
from leadhollow.entry.call import Call
from leadhollow.entry.call_result import CallResult
from leadhollow.failure import Failure
from leadhollow.observe.logs import get_logger
from leadhollow.state.client import StateClient
from leadhollow.state.commands import Claim, ClaimAnswer, FinishClaim

CLAIM_TIMEOUT_MS = 3_000
FINISH_TIMEOUT_MS = 5_000
MAX_KEY_CHARACTERS = 255
MAX_STORED_BODY_BYTES = 64 * 1024

log = get_logger("claims")


class StoredResponse:
    """Response that is stored for a resend."""

    __slots__ = ("body", "content_type", "status")

    def __init__(self, *, status: int, content_type: str, body: bytes) -> None:
        self.status = status
        self.content_type = content_type
        self.body = body


class IdempotencyClaims:
    """Claims idempotency keys and stores the results, through the leader of the replicated state.

    Parameters
    ----------
    entry
        VM of this entry, stored with each claim.
    """

    __slots__ = ("_entry", "_state")

    def __init__(self, *, entry: str, state: StateClient) -> None:
        self._entry = entry
        self._state = state

    async def claim(self, call: Call) -> Result[ClaimAnswer, Failure]:
        """Claim the key of a call, before it is dispatched.

        Errors
        ------
        CLAIM_UNAVAILABLE
            The state has no majority; nothing was run.
        """
        command = Claim(
            group=call.group,
            key=call.key,
            digest=call.digest(),
            request_id=call.request_id,
            entry=self._entry,
        )
        proposed = await self._state.propose(command, timeout_ms=CLAIM_TIMEOUT_MS)
        if proposed.is_err():
            failure = proposed.unwrap_err()
            return Err(Failure(code=Code.CLAIM_UNAVAILABLE, detail=failure.detail))
        answer = proposed.unwrap().answer
        if not isinstance(answer, ClaimAnswer):
            return Err(Failure(code=Code.INTERNAL, detail="unexpected answer to a claim"))
        return Ok(answer)

    async def finish(self, call: Call, result: CallResult, response: StoredResponse) -> None:
        """Store the result of a claimed call; if it did not run, the key becomes free again."""
        body = response.body if len(response.body) <= MAX_STORED_BODY_BYTES else b""
        command = FinishClaim(
            group=call.group,
            key=call.key,
            request_id=call.request_id,
            outcome=result.outcome,
            code=int(result.code),
            status=response.status,
            content_type=response.content_type,
            body=body,
        )
        stored = await self._state.propose(command, timeout_ms=FINISH_TIMEOUT_MS)
        if stored.is_err():
            log.error(
                "result of a claimed call not stored",
                request_id=call.request_id,
                outcome=result.outcome,
                failure=str(stored.unwrap_err()),
            )


def parse_idempotency_key(text: str) -> Result[str, Failure]:
    """Parse an Idempotency-Key header, quoted as in the IETF draft or unquoted."""
    key = text.strip()
    if len(key) >= 2 and key.startswith('"') and key.endswith('"'):
        key = key[1:-1]
    if not 1 <= len(key) <= MAX_KEY_CHARACTERS or not key.isprintable():
        detail = f"expected 1 to {MAX_KEY_CHARACTERS} printable characters"
        return Err(Failure(code=Code.IDEMPOTENCY_KEY_INVALID, detail=detail))
    return Ok(key)


def result_of_claim(answer: ClaimAnswer) -> CallResult | None:
    """Return the result for a resend, or None if the first response is stored for it."""
    if answer.code:
        code = code_of(answer.code) or Code.INTERNAL
        outcome = Outcome.NOT_EXECUTED if code is Code.IDEMPOTENCY_KEY_REUSED else Outcome.UNKNOWN
        return CallResult(outcome=outcome, failure=Failure(code=code))
    finished = answer.finished
    if finished is None or finished.outcome == Outcome.UNKNOWN:
        failure = Failure(code=Code.IDEMPOTENCY_UNKNOWN)
        return CallResult(outcome=Outcome.UNKNOWN, failure=failure)
    return None


__all__ = ["IdempotencyClaims", "StoredResponse", "parse_idempotency_key", "result_of_claim"]
