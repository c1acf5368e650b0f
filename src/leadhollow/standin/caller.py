"""Stand-in for a caller: sends requests, checks the responses and records each of them."""

from __future__ import annotations

import asyncio
import itertools
from typing import Any

import aiohttp
import msgspec

from leadhollow.codes import Outcome
from leadhollow.entry.call_result import (
    CODE_HEADER,
    DEADLINE_HEADER,
    OUTCOME_HEADER,
    REPEATABLE_HEADER,
    REQUEST_ID_HEADER,
    VERSION_HEADER,
)
from leadhollow.standin.engine_records import expected_text


class CallRecord(msgspec.Struct, kw_only=True):
    """What a caller observed of one request.

    Parameters
    ----------
    outcome
        Outcome that the response states; empty if the connection ended without one.
    superseded
        Whether the caller sent the request again after the connection ended without an outcome.
    correct
        Whether the response is complete and belongs to this request; None unless the outcome is
        that the request was executed.
    """

    group: str
    repeatable: bool
    key: str = ""
    request_id: str = ""
    status: int = 0
    outcome: str = ""
    code: int = -1
    version: str = ""
    correct: bool | None = None
    received: str = ""
    sent_s: float = 0.0
    first_token_s: float = 0.0
    ended_s: float = 0.0
    error: str = ""
    superseded: bool = False


class Caller:
    """Sends requests of one group.

    Parameters
    ----------
    key
        API key of the group.
    roots
        Root hash of each published version, by version name. The owner adds versions as it
        publishes them.
    """

    __slots__ = ("_call_numbers", "_group", "_key", "_roots", "_session", "records")

    def __init__(
        self, *, group: str, key: str, roots: dict[str, str], session: aiohttp.ClientSession
    ) -> None:
        self._group = group
        self._key = key
        self._roots = roots
        self._session = session
        self._call_numbers = itertools.count()
        self.records: list[CallRecord] = []

    async def chat(
        self,
        url: str,
        *,
        model: str,
        tokens: int,
        prompt: str = "",
        stream: bool = True,
        deadline_ms: int = 0,
    ) -> CallRecord:
        """Send one model request and compare the response with the expected text."""
        text = f"{prompt}call {next(self._call_numbers)} of {self._group}"
        messages = [{"role": "user", "content": text}]
        body = {"model": model, "messages": messages, "max_tokens": tokens, "stream": stream}
        record = CallRecord(group=self._group, repeatable=True)
        headers = {DEADLINE_HEADER: str(deadline_ms)} if deadline_ms else {}
        await self._send(record, "POST", f"{url}/v1/chat/completions", json=body, headers=headers)
        if record.outcome == Outcome.EXECUTED:
            root = self._roots.get(record.version, "")
            record.correct = record.received == expected_text(root, messages, tokens)
        return record

    async def order(
        self, url: str, *, service: str, text: str, key: str = "", repeatable: bool = False
    ) -> CallRecord:
        """Send one request to a plain service; by default it must not be executed twice."""
        record = CallRecord(group=self._group, repeatable=repeatable, key=key)
        headers = {"Content-Type": "text/plain"}
        if key:
            headers["Idempotency-Key"] = key
        if not repeatable:
            headers[REPEATABLE_HEADER] = "false"
        await self._send(
            record, "POST", f"{url}/services/{service}/orders", data=text.encode(), headers=headers
        )
        if record.outcome == Outcome.EXECUTED:
            record.correct = f'"echo": "{text}"' in record.received
        return record

    async def ping(self, url: str, *, service: str) -> int:
        """Return the HTTP status of a GET request, or 0 without a response; records nothing."""
        headers = {"Authorization": f"Bearer {self._key}"}
        try:
            async with self._session.get(
                f"{url}/services/{service}/ping", headers=headers
            ) as response:
                await response.read()
                return response.status
        except (aiohttp.ClientError, OSError):
            return 0

    async def _send(
        self,
        record: CallRecord,
        method: str,
        url: str,
        *,
        headers: dict[str, str] | None = None,
        **body: Any,
    ) -> None:
        loop = asyncio.get_running_loop()
        self.records.append(record)
        record.sent_s = loop.time()
        all_headers = {"Authorization": f"Bearer {self._key}", **(headers or {})}
        try:
            async with self._session.request(method, url, headers=all_headers, **body) as response:
                record.status = response.status
                record.request_id = response.headers.get(REQUEST_ID_HEADER, "")
                if response.content_type == "text/event-stream":
                    await _read_events(response, record)
                else:
                    await _read_body(response, record)
        except (aiohttp.ClientError, OSError, TimeoutError) as error:
            record.error = repr(error)
        record.ended_s = loop.time()


async def _read_body(response: aiohttp.ClientResponse, record: CallRecord) -> None:
    data = await response.read()
    record.outcome = response.headers.get(OUTCOME_HEADER, "")
    record.code = int(response.headers.get(CODE_HEADER, "-1"))
    record.version = response.headers.get(VERSION_HEADER, "")
    record.received = data.decode(errors="replace")
    if record.outcome == Outcome.EXECUTED and record.version:
        completion = msgspec.json.decode(data)
        record.received = completion["choices"][0]["message"]["content"]


async def _read_events(response: aiohttp.ClientResponse, record: CallRecord) -> None:
    loop = asyncio.get_running_loop()
    tokens = []
    event_type = ""
    async for raw_line in response.content:
        line = raw_line.decode().strip()
        if line.startswith("event: "):
            event_type = line.removeprefix("event: ")
        elif line.startswith("data: {"):
            event = msgspec.json.decode(line.removeprefix("data: "))
            if event_type == "outcome":
                record.outcome, record.code = event["outcome"], event["code"]
                record.version = event["version"]
            elif event_type == "error":
                record.outcome, record.code = event["error"]["outcome"], event["error"]["code"]
            else:
                record.first_token_s = record.first_token_s or loop.time()
                tokens.append(event["choices"][0]["delta"]["content"])
            event_type = ""
    record.received = "".join(tokens)


__all__ = ["CallRecord", "Caller"]
