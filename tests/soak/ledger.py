"""What really happened, as the stand-ins saw it, judged against what callers were told."""

from __future__ import annotations

import time
from collections import Counter, defaultdict
from enum import Enum
from http import HTTPStatus

from tests.soak.arrivals import Arrivals
from tests.soak.bodies import digest, is_long
from tests.soak.cold import Cold
from tests.soak.self_reports import SelfReport, Sender

PROMISED_NOT_RUN = frozenset({408, 421, 429, 503})
FAILURE = 500  # statuses from here on are failures of entries or servers
IN_FORCE_S = 2.0  # bound of a configuration and of a draining engine
VERSION_S = 8.0  # bound of a version
CONTACT_S = 3.0  # undisturbed time after which bounds hold
LIMIT_TOLD_S = 0.5  # from the first answer that names a limit until all entries have to know
LIMIT_WINDOW_S = 4.0
LIMIT_FACTOR = 1.5
LIMIT_SLACK = 5
ON_ITS_WAY_S = 0.3  # what an answer may take from its server to its caller
WITHDRAWN_S = 0.1  # a send that is cut sooner gave its server no chance to answer


class Kind(Enum):
    """What may be repeated."""

    ORDER = "order"  # at most once
    LOOKUP = "lookup"
    STREAM = "stream"
    BOUND = "bound"  # a stream whose route is bound to other regions by each configuration
    GROUP = "group"  # a stream whose group is always bound to `GROUP_REGIONS`


STREAM_KINDS = frozenset({Kind.STREAM, Kind.BOUND, Kind.GROUP})
GROUP_REGIONS = frozenset({"a", "b"})  # each failure domain is a region of the same name


class Run:
    """A request that an engine or service began to work on.

    Attributes
    ----------
    ended_s
        When its whole answer had been taken from it; None while that is not so.
    cut_s
        When whoever had sent it was seen to be gone before that.
    """

    __slots__ = ("began_s", "cut_s", "ended_s", "instance", "request", "service", "version")

    def __init__(
        self, *, request: str, instance: str, service: str, version: int, began_s: float
    ) -> None:
        self.request = request
        self.instance = instance
        self.service = service
        self.version = version
        self.began_s = began_s
        self.ended_s: float | None = None
        self.cut_s: float | None = None

    @property
    def region(self) -> str:
        """Region in which it began."""
        return self.instance.split("-")[-2]


class Told:
    """What a caller was told.

    Attributes
    ----------
    told_s
        When it had heard everything, or nothing more would come.
    """

    __slots__ = (
        "body",
        "entry",
        "kind",
        "request",
        "sent_s",
        "signature",
        "status",
        "told_s",
        "wanted",
    )

    def __init__(
        self, *, request: str, kind: Kind, entry: str, sent_s: float, wanted: bytes = b""
    ) -> None:
        self.request = request
        self.kind = kind
        self.entry = entry
        self.sent_s = sent_s
        self.wanted = wanted  # the whole body of a stream
        self.told_s = sent_s
        self.status = 0  # no answer
        self.body = b""
        self.signature = ""


class Limit:
    """A limit that one incarnation of a backend server names.

    Attributes
    ----------
    named_s
        When it was first named in an answer; None before.
    arrivals_s
        Arrivals from then on for as long as it is named, in order.
    """

    __slots__ = ("arrivals_s", "instance", "named_s", "per_s")

    def __init__(self, *, instance: str, per_s: float) -> None:
        self.instance = instance
        self.per_s = per_s
        self.named_s: float | None = None
        self.arrivals_s: list[float] = []

    def most(self) -> int:
        """Give the most arrivals in any window, once entries had the time to hear of it."""
        if self.named_s is None:
            return 0
        times_s = [at_s for at_s in self.arrivals_s if at_s >= self.named_s + LIMIT_TOLD_S]
        return max(
            (sum(0 <= at_s - begin_s < LIMIT_WINDOW_S for at_s in times_s) for begin_s in times_s),
            default=0,
        )

    def allowed(self) -> float:
        """Give the most that may arrive in a window."""
        return LIMIT_FACTOR * self.per_s * LIMIT_WINDOW_S + LIMIT_SLACK


class Table:
    """A configuration that was sent."""

    __slots__ = ("acknowledged_s", "body", "lookup_service", "number", "regions")

    def __init__(
        self, *, number: int, body: bytes, lookup_service: str, regions: frozenset[str]
    ) -> None:
        self.number = number
        self.body = body
        self.lookup_service = lookup_service
        self.regions = regions  # of the bound route
        self.acknowledged_s: float | None = None


class Ledger:
    """Everything that was seen in one run."""

    __slots__ = (
        "accepted",
        "arrivals",
        "bodies",
        "colds",
        "disturbances",
        "limits",
        "named",
        "runs",
        "self_reports",
        "senders",
        "tables",
        "told",
        "violations",
    )

    def __init__(self) -> None:
        self.bodies: dict[str, str] = {}  # digests by request of the callers
        self.runs: dict[str, list[Run]] = defaultdict(list)
        self.arrivals = Arrivals()
        self.accepted: Counter[str] = Counter()  # sends that no server refused, by request
        self.told: list[Told] = []
        self.tables: list[Table] = []
        self.named: dict[int, float] = {}  # acknowledgement of each version
        self.limits: list[Limit] = []
        self.colds: list[Cold] = []
        self.self_reports: list[SelfReport] = []
        self.senders: dict[str, Sender] = {}  # entry that each request was sent to
        self.disturbances: list[float] = []
        self.violations: list[str] = []

    def now_s(self) -> float:
        """Give the time that all entries of the ledger go by."""
        return time.monotonic()

    def disturb(self) -> None:
        """Note that a fault begins or ends now."""
        self.disturbances.append(self.now_s())

    def calm(self, moment_s: float) -> bool:
        """Tell whether nothing was disturbed in the contact time before a moment, or just after."""
        return not any(
            moment_s - CONTACT_S < disturbed_s < moment_s + 0.1 for disturbed_s in self.disturbances
        )

    def break_rule(self, text: str) -> None:
        """Note a broken promise."""
        self.violations.append(text)

    def acknowledged(self, before_s: float) -> int:
        """Give the newest configuration that was acknowledged before a moment."""
        return max(
            (
                table.number
                for table in self.tables
                if table.acknowledged_s is not None and table.acknowledged_s < before_s
            ),
            default=0,
        )

    def is_long(self, request: str) -> bool:
        """Return whether a request of the callers has a long body."""
        return request in self.bodies and is_long(request)

    def judge_body(self, request: str, body: bytes) -> None:
        """Compare the body that is about to run with the one that was sent."""
        sent = self.bodies.get(request)
        if sent is not None and digest(body) != sent:
            self.break_rule(f"UNASKED {request}: runs with another body of {len(body)} bytes")

    def judge(self) -> list[str]:
        """Give every broken promise."""
        found = list(self.violations)
        for told in self.told:
            found += self._judge_request(told)
        for runs in self.runs.values():
            for run in runs:
                found += self._judge_version(run)
        found += [
            f"LIMIT {limit.instance}: {limit.most()} requests in {LIMIT_WINDOW_S:.0f} s at "
            f"{limit.per_s} a second, allowed {limit.allowed():.1f}"
            for limit in self.limits
            if limit.most() > limit.allowed()
        ]
        for cold in self.colds:
            found += cold.judge()
        passed_on_s = {
            told.signature: told.told_s for told in self.told if told.status == HTTPStatus.OK
        }
        for report in self.self_reports:
            found += report.judge(passed_on_s, calm=self.calm)
        return found

    def _judge_request(self, told: Told) -> list[str]:
        runs = self.runs.get(told.request, [])
        found = []
        if told.kind is Kind.ORDER and len(runs) > 1:
            found.append(f"TWICE {told.request}: {[run.instance for run in runs]}")
        if told.status in PROMISED_NOT_RUN and runs:
            found.append(f"REFUSED {told.request}: told {told.status}, ran at {runs[0].instance}")
        if told.status == 200:
            found += self._judge_success(told, runs)
        if told.kind is Kind.LOOKUP:
            found += self._judge_route(told, runs)
        found += [text for run in runs for text in self._judge_region(told, run)]
        if told.status >= FAILURE and self.calm(told.told_s) and self.calm(told.sent_s):
            found += self._judge_failure(told, runs)
        return found

    def _judge_failure(self, told: Told, runs: list[Run]) -> list[str]:
        """Judge a failure that an undisturbed entry told: nothing was there, all had a chance."""
        latest_s = told.told_s - ON_ITS_WAY_S
        ready = [run for run in runs if run.ended_s is not None and run.ended_s < latest_s]
        cut = [run for run in runs if run.cut_s is not None]
        withdrawn = [run for run in cut if (run.cut_s or 0.0) - run.began_s < WITHDRAWN_S]
        return [
            f"{rule} {told.request}: told {told.status}, ran at {run.instance}"
            for rule, broken in (("READY", ready), ("WITHDRAWN", withdrawn))
            for run in broken
        ]

    def columns(self) -> dict[str, int]:
        """Count what callers lose though engines did, or could have done, their work."""
        rules = [text.partition(" ")[0] for text in self.judge()]
        return {
            "ready and not delivered": rules.count("READY"),
            "withdrawn before it could run": rules.count("WITHDRAWN"),
            "falsely said not to have run": rules.count("REFUSED"),
        }

    def _judge_success(self, told: Told, runs: list[Run]) -> list[str]:
        instances = {run.instance for run in runs}
        if not any(told.signature == f"{told.request}/{name}" for name in instances):
            return [f"FOREIGN {told.request}: signature {told.signature!r}, ran at {instances}"]
        wanted = told.wanted or told.signature.encode()
        if told.body != wanted:
            return [f"FOREIGN {told.request}: body {told.body[-60:]!r}, wanted {wanted[-60:]!r}"]
        return []

    def _judge_route(self, told: Told, runs: list[Run]) -> list[str]:
        if not self.calm(told.sent_s):
            return []
        oldest = self.acknowledged(told.sent_s - IN_FORCE_S)
        allowed = {table.lookup_service for table in self.tables if table.number >= oldest}
        return [
            f"CONFIG {told.request}: ran at {run.service} by {told.entry}, {told.sent_s:.2f} s, "
            f"table {oldest} or newer allows {allowed}"
            for run in runs
            if run.service not in allowed
        ]

    def _judge_region(self, told: Told, run: Run) -> list[str]:
        if told.kind is Kind.GROUP:
            allowed = [GROUP_REGIONS]
        elif told.kind is Kind.BOUND and self.calm(run.began_s):
            oldest = self.acknowledged(run.began_s - IN_FORCE_S)
            allowed = [table.regions for table in self.tables if table.number >= oldest]
        else:
            return []
        if any(run.region in regions for regions in allowed):
            return []
        found = [sorted(regions) for regions in allowed]
        return [f"REGION {told.request}: sent to {run.instance} by {told.entry}, allowed {found}"]

    def _judge_version(self, run: Run) -> list[str]:
        if not run.version or not self.calm(run.began_s):
            return []
        due = [n for n, named_s in self.named.items() if run.began_s - named_s > VERSION_S]
        if not due or run.version >= max(due):
            return []
        return [f"VERSION {run.request}: began on {run.version}, {max(due)} was due"]


__all__ = [
    "CONTACT_S",
    "GROUP_REGIONS",
    "IN_FORCE_S",
    "PROMISED_NOT_RUN",
    "STREAM_KINDS",
    "Kind",
    "Ledger",
    "Limit",
    "Run",
    "Table",
    "Told",
]
