"""Claims callers' idempotency keys in the replicated state."""

from __future__ import annotations

from result import Err, Ok, Result

from leadhollow.codes import Code, Outcome, code_of
from leadhollow.entry.call import Call
from leadhollow.entry.call_result import Ending
from leadhollow.failure import Failure
from leadhollow.observe.logs import get_logger
from leadhollow.state.client import StateClient
from leadhollow.state.commands import Claim, ClaimAnswer, FinishClaim

CLAIM_TIMEOUT_MS = 3_000
FINISH_TIMEOUT_MS = 5_000
MAXIMUM_KEY_CHARACTERS = 255
STORED_BODY_BYTES = 64 * 1024

log = get_logger("claims")


class KeptAnswer:
    """Answer as it is stored for a resend."""

    __slots__ = ("body", "content_type", "status")

    def __init__(self, *, status: int, content_type: str, body: bytes) -> None:
        self.status = status
        self.content_type = content_type
        self.body = body


class KeyClaims:
    """Claims and finishes keys through the state's leader."""

    __slots__ = ("_entry", "_state")

    def __init__(self, *, entry: str, state: StateClient) -> None:
        self._entry = entry
        self._state = state

    async def claim(self, call: Call) -> Result[ClaimAnswer, Failure]:
        """Claim a call's key before anything is dispatched.

        Errors
        ------
        CLAIM_UNAVAILABLE
            No majority; nothing was run.
        """
        command = Claim(
            group=call.group,
            key=call.key,
            digest=call.digest(),
            request_id=call.request_id,
            entry=self._entry,
        )
        answered = await self._state.propose(command, timeout_ms=CLAIM_TIMEOUT_MS)
        if answered.is_err():
            failure = answered.unwrap_err()
            return Err(Failure(code=Code.CLAIM_UNAVAILABLE, detail=failure.detail))
        answer = answered.unwrap().answer
        if not isinstance(answer, ClaimAnswer):
            return Err(Failure(code=Code.INTERNAL, detail="unexpected answer to a claim"))
        return Ok(answer)

    async def finish(self, call: Call, ending: Ending, kept: KeptAnswer) -> None:
        """Store how a claimed call ended; a key whose call was not run is free again."""
        body = kept.body if len(kept.body) <= STORED_BODY_BYTES else b""
        command = FinishClaim(
            group=call.group,
            key=call.key,
            request_id=call.request_id,
            outcome=ending.outcome,
            code=int(ending.code),
            status=kept.status,
            content_type=kept.content_type,
            body=body,
        )
        stored = await self._state.propose(command, timeout_ms=FINISH_TIMEOUT_MS)
        if stored.is_err():
            log.error(
                "ending of a claimed call not stored",
                request_id=call.request_id,
                outcome=ending.outcome,
                failure=str(stored.unwrap_err()),
            )


def parse_key(text: str) -> Result[str, Failure]:
    """Read an Idempotency-Key header, quoted as in its draft or bare."""
    key = text.strip()
    if len(key) >= 2 and key.startswith('"') and key.endswith('"'):
        key = key[1:-1]
    if not 1 <= len(key) <= MAXIMUM_KEY_CHARACTERS or not key.isprintable():
        detail = f"expected 1 to {MAXIMUM_KEY_CHARACTERS} printable characters"
        return Err(Failure(code=Code.IDEMPOTENCY_KEY_INVALID, detail=detail))
    return Ok(key)


def ending_of_claim(answer: ClaimAnswer) -> Ending | None:
    """Tell a resend what became of the first request; None where its answer is stored."""
    if answer.code:
        code = code_of(answer.code) or Code.INTERNAL
        outcome = Outcome.NOT_EXECUTED if code is Code.IDEMPOTENCY_KEY_REUSED else Outcome.UNKNOWN
        return Ending(outcome=outcome, failure=Failure(code=code))
    finished = answer.finished
    if finished is None or finished.outcome == Outcome.UNKNOWN:
        failure = Failure(code=Code.IDEMPOTENCY_UNKNOWN)
        return Ending(outcome=Outcome.UNKNOWN, failure=failure)
    return None


__all__ = ["KeptAnswer", "KeyClaims", "ending_of_claim", "parse_key"]
