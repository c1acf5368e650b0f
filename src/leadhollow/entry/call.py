"""A parsed request of a caller, and the body of a chat completion."""

from __future__ import annotations

import hashlib
from typing import Any

import msgspec
from result import Err, Ok, Result

from leadhollow.codes import Code
from leadhollow.decide.fingerprints import part_fingerprint, request_fingerprint, shared_parts
from leadhollow.failure import Failure
from leadhollow.state.records import StoredRow

AFFINITY_PREFIX_CHARACTERS = 512
CHARACTERS_PER_TOKEN = 4
DEFAULT_MAX_TOKENS = 256
MAX_GENERATED_TOKENS = 131_072
MODEL_PATH = "/v1/chat/completions"
REPEATABLE_METHODS = frozenset({"GET", "HEAD", "OPTIONS", "PUT", "DELETE", "TRACE"})


class ChatMessage(msgspec.Struct, frozen=True, kw_only=True):
    """One message of a conversation; other fields are forwarded without being read."""

    role: str
    content: Any = None


class ChatBody(msgspec.Struct, frozen=True, kw_only=True):
    """Fields of a chat completion request that routing reads."""

    model: str
    messages: list[ChatMessage]
    max_tokens: int | None = None
    stream: bool = False
    priority: int = 0


class Call:
    """Parsed request of one caller.

    Parameters
    ----------
    stored
        Table row of the caller's group.
    model
        Name of the model; empty for a call of a plain service.
    service
        Name of the plain service; empty for a model call.
    repeatable
        Whether the call may be run again after a failure.
    key
        Idempotency key; empty if the caller sent none.
    prompt_tokens, cost_tokens
        Estimated tokens of the prompt alone, and of prompt and output together.
    affinity
        Hash of the prompt's prefix, used for routing; empty for a plain service.
    deadline_s
        Loop time by which the caller wants its response.
    parts
        Fingerprints of the messages that other calls may share.

    Attributes
    ----------
    traits
        Fingerprints of all that may make an engine end: the call, then its parts.
    """

    __slots__ = (
        "affinity",
        "body",
        "cost_tokens",
        "deadline_s",
        "headers",
        "key",
        "method",
        "model",
        "path",
        "priority",
        "prompt_tokens",
        "repeatable",
        "request_id",
        "service",
        "stored",
        "stream",
        "traits",
    )

    def __init__(
        self,
        *,
        request_id: str,
        stored: StoredRow,
        model: str,
        service: str,
        method: str,
        path: str,
        headers: dict[str, str],
        body: bytes,
        repeatable: bool,
        key: str,
        stream: bool,
        prompt_tokens: float,
        cost_tokens: float,
        affinity: bytes,
        priority: int,
        deadline_s: float,
        parts: tuple[bytes, ...] = (),
    ) -> None:
        self.request_id = request_id
        self.stored = stored
        self.model = model
        self.service = service
        self.method = method
        self.path = path
        self.headers = headers
        self.body = body
        self.repeatable = repeatable
        self.key = key
        self.stream = stream
        self.prompt_tokens = prompt_tokens
        self.cost_tokens = cost_tokens
        self.affinity = affinity
        self.priority = priority
        self.deadline_s = deadline_s
        target = f"{service or model}:{path}"
        fields = (method.encode(), target.encode(), self.group.encode())
        self.traits = (request_fingerprint(fields, body), *parts)

    @property
    def group(self) -> str:
        """Name of the caller's group."""
        return self.stored.row.group

    def digest(self) -> str:
        """Compute a hash that detects an idempotency key reused for another request."""
        text = f"{self.method}\n{self.path}\n".encode() + self.body
        return hashlib.sha256(text).hexdigest()


def decode_chat(body: bytes) -> Result[ChatBody, Failure]:
    """Decode the body of a model call.

    Errors
    ------
    REQUEST_MALFORMED
        The body is not JSON, or a field is missing, has the wrong type or is out of range.
    """
    try:
        chat = msgspec.json.decode(body, type=ChatBody)
    except msgspec.MsgspecError as error:
        return Err(Failure(code=Code.REQUEST_MALFORMED, detail=str(error)))
    if not chat.messages:
        return Err(_malformed("messages", "expected at least one message"))
    if chat.max_tokens is not None and not 1 <= chat.max_tokens <= MAX_GENERATED_TOKENS:
        return Err(_malformed("max_tokens", f"expected 1 to {MAX_GENERATED_TOKENS}"))
    return Ok(chat)


def chat_prompt_tokens(chat: ChatBody) -> float:
    """Estimate the tokens of a prompt from its length in characters."""
    characters = sum(len(str(message.content)) for message in chat.messages)
    return characters / CHARACTERS_PER_TOKEN


def chat_cost_tokens(chat: ChatBody) -> float:
    """Estimate the prompt and output tokens of a request before it runs."""
    return chat_prompt_tokens(chat) + (chat.max_tokens or DEFAULT_MAX_TOKENS)


def chat_affinity(chat: ChatBody) -> bytes:
    """Hash the model and the first characters of the prompt."""
    prefix = str(chat.messages[0].content)[:AFFINITY_PREFIX_CHARACTERS]
    return hashlib.sha256(f"{chat.model}\n{prefix}".encode()).digest()[:16]


def chat_parts(chat: ChatBody) -> tuple[bytes, ...]:
    """Return the fingerprints of the messages that other calls of the model may share."""
    messages = [(message.role, str(message.content)) for message in chat.messages]
    model = chat.model.encode()
    return tuple(
        part_fingerprint((model, role.encode()), content.encode())
        for role, content in shared_parts(messages)
    )


def with_resume(body: bytes, *, text: str, tokens: int) -> bytes:
    """Add a field that asks an engine to continue after the text the caller already received."""
    fields = msgspec.json.decode(body)
    fields["resume"] = {"text": text, "tokens": tokens}
    return msgspec.json.encode(fields)


def _malformed(field: str, detail: str) -> Failure:
    return Failure(code=Code.REQUEST_MALFORMED, detail=detail, field=field)


__all__ = [
    "MODEL_PATH",
    "REPEATABLE_METHODS",
    "Call",
    "ChatBody",
    "chat_affinity",
    "chat_cost_tokens",
    "chat_parts",
    "chat_prompt_tokens",
    "decode_chat",
    "with_resume",
]
