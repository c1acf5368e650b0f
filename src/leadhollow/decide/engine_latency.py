"""Predicts how long an engine takes for a request, from the figures that its operator declares.

An engine works in passes. A pass generates one event (several tokens) for each running request and
prefills prompts in between. Requests above its batch size wait. Times are in milliseconds.
"""

from __future__ import annotations

from leadhollow.routing.model import EngineSpec

PREFILL_SHARE = 0.1  # of the requests of other entries that are still in prefill

FIXED_OVERHEAD_MS = 35.0  # of a first event, independent of the load
UNREAD_SHARE = 0.75  # of the prompt tokens without a first event; the others are prefilled already
WAITING_SHARE = 0.65  # of the time of a request; slots become free at any moment of it


class EngineLoad:
    """Work that an engine still has to do.

    Parameters
    ----------
    requests
        Requests in flight at the engine, including waiting ones.
    unread_tokens
        Prompt tokens that are not prefilled yet.
    context_tokens
        Context tokens of all requests that the engine generates for.
    pace
        Slowdown compared with the declared speed; 1 is the declared speed.
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
    """Latencies of one kind of engine."""

    __slots__ = ("_usual_ms", "spec")

    def __init__(self, *, spec: EngineSpec) -> None:
        self.spec = spec
        self._usual_ms = self.request_ms(spec.usual_prompt_tokens, spec.usual_answer_tokens)

    def prefill_ms(self, tokens: float) -> float:
        """Return the time to prefill a prompt, including attention among its tokens."""
        spec = self.spec
        pairs_million = tokens * tokens / 2 / 1e6
        return 1000 * tokens / spec.read_tokens_per_s + spec.pair_ms_per_million * pairs_million

    def pass_ms(self, requests: float, context_tokens: float) -> float:
        """Return the time of one pass without prefill."""
        spec = self.spec
        running = min(requests, spec.slots)
        step_ms = spec.step_ms + spec.sequence_ms * running
        step_ms += spec.context_ms_per_k * context_tokens / 1000
        return spec.stride_steps * step_ms

    def usual_context_tokens(self, requests: float) -> float:
        """Return the context of requests of usual size, half-way through their answers."""
        spec = self.spec
        return requests * (spec.usual_prompt_tokens + spec.usual_answer_tokens / 2)

    def request_ms(self, prompt_tokens: float, answer_tokens: float) -> float:
        """Return the engine time that one request consumes while the batch is full."""
        spec = self.spec
        full_pass_ms = self.pass_ms(spec.slots, self.usual_context_tokens(spec.slots))
        token_ms = full_pass_ms / spec.stride_steps / spec.slots
        return self.prefill_ms(prompt_tokens) + token_ms * answer_tokens

    def first_event_ms(self, load: EngineLoad, prompt_tokens: float) -> float:
        """Return the time until the first event of a request that arrives now."""
        return self.base_first_event_ms(load) + load.pace * self.prefill_ms(prompt_tokens)

    def base_first_event_ms(self, load: EngineLoad) -> float:
        """Return the time until the first event without the prefill of the request itself."""
        spec = self.spec
        waiting = max(0.0, load.requests - spec.slots + 1)
        running = min(load.requests, spec.slots - 1) + 1
        pass_ms = self.pass_ms(running, load.context_tokens)
        backlog_ms = 1000 * load.unread_tokens / spec.read_tokens_per_s
        current_pass_ms = pass_ms / 2 if load.requests else 0.0
        waiting_ms = WAITING_SHARE * waiting * self._usual_ms
        backlog_ms *= UNREAD_SHARE
        return FIXED_OVERHEAD_MS + load.pace * (waiting_ms + current_pass_ms + backlog_ms + pass_ms)


__all__ = [
    "FIXED_OVERHEAD_MS",
    "PREFILL_SHARE",
    "UNREAD_SHARE",
    "WAITING_SHARE",
    "EngineLatencyModel",
    "EngineLoad",
]
