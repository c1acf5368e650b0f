"""Predicts what an engine takes for a request, from what its operator declares of it.

An engine works in passes. A pass gives each running request one event (several tokens) and reads
prompts in between; requests beyond its batch wait. Times are in milliseconds.
"""

from __future__ import annotations

from leadhollow.routing.model import EngineSpec

READING_SHARE = 0.1  # of the requests of others that still read their prompt

FIXED_OVERHEAD_MS = 35.0  # of a first event, whatever the load
UNREAD_SHARE = 0.75  # of the prompt tokens without a first event; the rest is read by now
WAITING_SHARE = 0.65  # of a request's time; places become free at any moment of it


class EngineLoad:
    """What an engine has to do.

    Parameters
    ----------
    requests
        Requests in flight there, waiting ones included.
    unread_tokens
        Prompt tokens that it has not read yet.
    context_tokens
        Tokens of all requests that it writes for.
    pace
        How much slower than declared it is; 1 is as declared.
    """

    __slots__ = ("context_tokens", "pace", "requests", "unread_tokens")

    def __init__(
        self, *, requests: float, unread_tokens: float, context_tokens: float, pace: float = 1.0
    ) -> None:
        self.requests = requests
        self.unread_tokens = unread_tokens
        self.context_tokens = context_tokens
        self.pace = pace


class EngineLatencyModel:
    """Times of one kind of engine."""

    __slots__ = ("_usual_ms", "spec")

    def __init__(self, *, spec: EngineSpec) -> None:
        self.spec = spec
        self._usual_ms = self.request_ms(spec.usual_prompt_tokens, spec.usual_answer_tokens)

    def prefill_ms(self, tokens: float) -> float:
        """Time to read a prompt, attention among its tokens included."""
        spec = self.spec
        pairs_million = tokens * tokens / 2 / 1e6
        return 1000 * tokens / spec.read_tokens_per_s + spec.pair_ms_per_million * pairs_million

    def pass_ms(self, requests: float, context_tokens: float) -> float:
        """Time of one pass without reading."""
        spec = self.spec
        running = min(requests, spec.slots)
        step_ms = spec.step_ms + spec.sequence_ms * running
        step_ms += spec.context_ms_per_k * context_tokens / 1000
        return spec.stride_steps * step_ms

    def usual_context_tokens(self, requests: float) -> float:
        """Context of some requests of usual size, half-way through their answers."""
        spec = self.spec
        return requests * (spec.usual_prompt_tokens + spec.usual_answer_tokens / 2)

    def request_ms(self, prompt_tokens: float, answer_tokens: float) -> float:
        """Time of the engine that one request uses up where the batch is full."""
        spec = self.spec
        full_pass_ms = self.pass_ms(spec.slots, self.usual_context_tokens(spec.slots))
        token_ms = full_pass_ms / spec.stride_steps / spec.slots
        return self.prefill_ms(prompt_tokens) + token_ms * answer_tokens

    def first_event_ms(self, demand: EngineLoad, prompt_tokens: float) -> float:
        """Time until the first event of a request that arrives now."""
        return self.ready_ms(demand) + demand.pace * self.prefill_ms(prompt_tokens)

    def ready_ms(self, demand: EngineLoad) -> float:
        """Time until that first event but for reading its own prompt."""
        spec = self.spec
        waiting = max(0.0, demand.requests - spec.slots + 1)
        running = min(demand.requests, spec.slots - 1) + 1
        pass_ms = self.pass_ms(running, demand.context_tokens)
        backlog_ms = 1000 * demand.unread_tokens / spec.read_tokens_per_s
        begun_ms = pass_ms / 2 if demand.requests else 0.0
        waiting_ms = WAITING_SHARE * waiting * self._usual_ms
        backlog_ms *= UNREAD_SHARE
        return FIXED_OVERHEAD_MS + demand.pace * (waiting_ms + begun_ms + backlog_ms + pass_ms)


__all__ = [
    "FIXED_MS",
    "READING_SHARE",
    "UNREAD_SHARE",
    "WAITING_SHARE",
    "EngineDemand",
    "EngineModel",
]
