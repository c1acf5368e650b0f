"""Model of one server's connection: seeded odd bytes, and what a caller may get of them.

A request's caller may get the request's own answer, whole, or a failure. There is one exception:
bytes that a proper server could have sent in this way. `own_readings` reads the bytes of a
connection on its own, strictly, and returns the answers that nobody could tell from the request's
own one:

- an answer that ends with its connection, which the server ended in order too early, or behind
  bytes that hold no whole head of another answer;
- a body with a length or in chunks, whose missing part other bytes fill up to its last byte, if
  these bytes hold no status line, or if the server had sent nothing behind them yet.
"""

from __future__ import annotations

import itertools
import random
import re
from collections.abc import Callable, Sequence

from tests.forward.odd_server import answer, body_of

STATUS_LINE = re.compile(rb"HTTP/1\.[01] (\d{3})([^\r\n]*)\r\n")
FIELD = re.compile(rb"([!#$%&'*+.^_`|~0-9A-Za-z-]+):[ \t]*([^\r\n]*)\r\n")
ANY_STATUS_LINE = re.compile(rb"HTTP/1\.[01] [1-5]\d\d")
WHOLE_HEAD = re.compile(rb"HTTP/1\.[01] [1-5]\d\d[^\r\n]*\r\n[!-9;-~]+:")
STATUSES = ("200 OK", "200 OK", "200 OK", "500 Internal Server Error", "404 Not Found")
SIZES = (0, 1, 7, 20, 20, 300, 4_000)
NO_HTTP = (b"\x00\x01\x02", b"ICY 200 OK\r\n\r\n", b"\r\n", b"{}\n\n", b"0\r\n\r\n", b"HTTP/9.9 x")
INTERIM = b"HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n"
MAX_PAUSE_S = 0.002

Result = tuple[int, str, bytes]
PartsOf = Callable[[str, int], list[bytes]]


class Plan:
    """What a server sends for one request.

    Attributes
    ----------
    own
        Status, signature and body of the request's own answer.
    pieces
        Bytes that are sent at once, and the pause in s behind them.
    late
        Pieces that are sent after the request's own answer, at a time of their own.
    own_end
        Bytes that are sent up to the end of the request's own answer.
    received
        Bytes behind the answer to the request before, which may count for this one.
    ends
        Whether the server ends the connection in order behind them.
    kinds
        Names of the odd things that it does.
    """

    __slots__ = (
        "ends",
        "first",
        "kinds",
        "late",
        "own",
        "own_end",
        "pieces",
        "received",
        "request_id",
    )

    def __init__(self, *, request_id: str, own: Result) -> None:
        self.request_id = request_id
        self.own = own
        self.pieces: list[tuple[bytes, float]] = []
        self.late: list[tuple[bytes, float]] = []
        self.own_end = 0
        self.ends = False
        self.first = True  # whether it is the first request of its connection
        self.received: list[bytes] = []
        self.kinds: list[str] = []

    @property
    def behind(self) -> list[bytes]:
        """Pieces that are sent behind the request's own answer."""
        found, position = [], 0
        for data, _ in (*self.pieces, *self.late):
            if position + len(data) > self.own_end:
                found.append(data[max(0, self.own_end - position) :])
            position += len(data)
        return found


class AnswerPlanner:
    """Plans the answers of one server from a seed.

    Parameters
    ----------
    odd_share
        Share of the requests that are answered in an odd way.
    parts_of
        Gives the parts of the body of an answer to a request, by the request's id and a size.
    name
        Name of the server in the signatures of its answers, if it has one.
    statuses
        Those of its answers, each as likely as the others.
    """

    __slots__ = ("_name", "_odd_share", "_parts_of", "_random", "_statuses")

    def __init__(
        self,
        *,
        seed: int,
        odd_share: float = 0.6,
        parts_of: PartsOf | None = None,
        name: str = "",
        statuses: Sequence[str] = STATUSES,
    ) -> None:
        self._random = random.Random(seed)
        self._odd_share = odd_share
        self._name = name
        self._statuses = statuses
        self._parts_of = parts_of or (lambda request_id, size: [body_of(request_id, size)])

    def plan(self, request_id: str, earlier: Sequence[str]) -> Plan:
        """Plan the answer to a request; the connection has served the earlier ones."""
        source = self._random
        status, size = source.choice(self._statuses), source.choice(SIZES)
        framing = source.choices(("length", "chunked", "none"), (5, 4, 1))[0]
        parts = self._parts_of(request_id, size)
        plan = Plan(
            request_id=request_id, own=(int(status[:3]), self._sign(request_id), b"".join(parts))
        )
        plan.first = not earlier
        named = source.random() < 0.97
        if not named:
            plan.kinds.append("no id")
        own = answer(
            request_id,
            status=status,
            framing=framing,
            named=named,
            parts=parts,
            signature=self._sign(request_id),
        )
        plan.ends = framing == "none"
        before = after = b""
        if source.random() < self._odd_share:
            for _ in range(source.choice((1, 1, 2, 3))):
                before += self._before(plan, request_id, earlier)
            if source.random() < 0.25:
                own = self._cut(plan, own, request_id, earlier)
            elif source.random() < 0.6:
                after = self._behind(plan, request_id, earlier)
        plan.own_end = len(before + own)
        plan.pieces = self._split(before + own)
        if plan.ends or source.random() < 0.4:  # in the segment of the answer, or right behind it
            plan.pieces = self._split(before + own + after)
        elif after:
            plan.late = [(b"", source.choice((0.0, 0.0005, MAX_PAUSE_S))), *self._split(after)]
        if source.random() < 0.02:
            plan.ends = True
        return plan

    def _before(self, plan: Plan, request_id: str, earlier: Sequence[str]) -> bytes:
        source = self._random
        kind = source.choice(("none", "interim", "copy", "copy", "beginning", "no-http"))
        if kind == "interim":
            plan.kinds.append("interim")
            return INTERIM * source.choice((1, 3))
        if kind in ("copy", "beginning") and earlier:
            copy = self._copy(plan, request_id, earlier)
            if kind == "copy":
                return copy
            plan.kinds.append("beginning")
            return copy[: source.randrange(len(copy))]
        if kind == "no-http" and source.random() < 0.5:
            plan.kinds.append("no-http")
            return source.choice(NO_HTTP)
        return b""

    def _behind(self, plan: Plan, request_id: str, earlier: Sequence[str]) -> bytes:
        source = self._random
        kind = source.choice(("copy", "copy", "beginning", "beginning", "no-http", "interim"))
        if kind == "interim":
            plan.kinds.append("interim behind")
            return INTERIM
        if kind == "no-http":
            plan.kinds.append("no-http behind")
            return source.choice(NO_HTTP)
        copy = self._copy(plan, request_id, [*earlier, request_id])
        plan.kinds.append(f"{kind} behind")
        return copy if kind == "copy" else copy[: source.randrange(len(copy))]

    def _cut(self, plan: Plan, own: bytes, request_id: str, earlier: Sequence[str]) -> bytes:
        """Cut the answer anywhere; others follow, or nothing, or the end of the connection."""
        source = self._random
        kept = own[: source.randrange(len(own))]
        then = source.choice(("others", "others", "others", "fill", "stall", "end"))
        plan.kinds.append(f"cut, then {then}")
        if then == "fill":  # exactly as long as what is missing
            copy = self._copy(plan, request_id, [*earlier, request_id])
            missing = len(own) - len(kept)
            return kept + copy[:missing] + copy[missing:] * source.choice((0, 1))
        if then == "others":
            for _ in range(source.choice((1, 2, 3))):
                copy = self._copy(plan, request_id, [*earlier, request_id])
                kept += copy if source.random() < 0.6 else copy[: source.randrange(len(copy))]
        plan.ends = then == "end"
        return kept

    def _copy(self, plan: Plan, request_id: str, earlier: Sequence[str]) -> bytes:
        """Return a second answer to an earlier request, which names it, nobody, or two."""
        source = self._random
        of = source.choice(earlier)
        kind = source.choice(("id", "id", "none", "none", "two"))
        plan.kinds.append(f"copy with {kind}")
        fields = (f"X-Attempt-Id: {request_id}x",) if kind == "two" else ()
        if kind == "two" and of != request_id:
            fields = (f"X-Attempt-Id: {request_id}",)
        status = source.choice(self._statuses)
        parts = self._parts_of(of, source.choice(SIZES))
        if of == request_id:  # a second answer to the request itself says the same
            status = next(each for each in self._statuses if each.startswith(str(plan.own[0])))
            parts = [plan.own[2]]
        framing = source.choice(("length", "length", "chunked", "none"))
        return answer(
            of,
            *fields,
            status=status,
            named=kind != "none",
            framing=framing,
            parts=parts,
            signature=self._sign(of),
        )

    def _sign(self, request_id: str) -> str:
        return f"{request_id}/{self._name}" if self._name else request_id

    def _split(self, data: bytes) -> list[tuple[bytes, float]]:
        """Split bytes at random places into pieces that are sent one after another."""
        source = self._random
        if not data:
            return []
        count = source.choice((0, 0, 1, 1, 2, 4))
        cuts = sorted({0, len(data), *(source.randrange(len(data) + 1) for _ in range(count))})
        pauses = (0.0, 0.0003, MAX_PAUSE_S)
        return [(data[begin:end], source.choice(pauses)) for begin, end in itertools.pairwise(cuts)]


def own_readings(plan: Plan) -> list[Result]:
    """Return the answers that the bytes sent to a request may pass for, read from its start."""
    sent = [*plan.received, *(data for data, _ in (*plan.pieces, *plan.late))]
    ends = set()
    total = 0
    for data in sent:
        total += len(data)
        ends.add(total)
    stream, position, own_id = b"".join(sent), 0, plan.request_id
    first = plan.first
    while (head := _read_head(stream, position)) is not None:
        status, fields, position = head
        if 100 < status < 200:
            continue
        ids = {value for name, value in fields if name == b"x-attempt-id"}
        found = _read_body(stream, position, fields, status=status, ended=plan.ends)
        if found is None:
            return []
        body, end, until_close = found
        if ids == {own_id.encode()} or (not ids and first):
            signature = next(value for name, value in fields if name == b"x-response-signature")
            if until_close:
                proper = WHOLE_HEAD.search(body) is None
            else:
                proper = b"HTTP/1." not in body or end in ends
            return [(status, signature.decode(), body)] if proper else []
        if not ids or until_close:
            return []
        first, position = False, end
    return []


def _read_head(stream: bytes, position: int) -> tuple[int, list[tuple[bytes, bytes]], int] | None:
    """Read a head; return status, fields and where it ends, None if there is no proper one."""
    while stream.startswith(b"\r\n", position):  # empty lines before a head are allowed
        position += len(b"\r\n")
    line = STATUS_LINE.match(stream, position)
    if line is None or ANY_STATUS_LINE.search(line[2]):
        return None
    fields, position = [], line.end()
    while (field := FIELD.match(stream, position)) is not None:
        if ANY_STATUS_LINE.search(field[2]):
            return None
        fields.append((field[1].lower(), field[2]))
        position = field.end()
    if stream[position : position + 2] != b"\r\n":
        return None
    return int(line[1]), fields, position + 2


def _read_body(
    stream: bytes,
    position: int,
    fields: list[tuple[bytes, bytes]],
    *,
    status: int,
    ended: bool,
) -> tuple[bytes, int, bool] | None:
    """Read a body; return it, its end, and whether the end of the connection is its end."""
    named = dict(fields)
    if b"transfer-encoding" in named:
        body = b""
        while (size := re.compile(rb"([0-9a-fA-F]+)\r\n").match(stream, position)) is not None:
            length = int(size[1], 16)
            position = size.end() + length + 2
            if position > len(stream) or stream[position - 2 : position] != b"\r\n":
                return None
            if length == 0:
                return body, position, False
            body += stream[size.end() : position - 2]
        return None
    if b"content-length" in named:
        end = position + int(named[b"content-length"])
        return None if end > len(stream) else (stream[position:end], end, False)
    return (stream[position:], len(stream), True) if ended else None


__all__ = ["AnswerPlanner", "Plan", "Result", "own_readings"]
