"""One backend server as an entry sees it: what runs there, what others tell and report."""

from __future__ import annotations

from collections.abc import Callable

from leadhollow.codes import Code
from leadhollow.decide.engine_latency import READING_SHARE, EngineLatencyModel, EngineLoad
from leadhollow.decide.health import Health
from leadhollow.decide.send_limiter import SendLimiter
from leadhollow.decide.server_backoff import ServerBackoff
from leadhollow.decide.server_load import Counts, OwnCall, Report
from leadhollow.membership.instances import Instance, InstanceState, ServedVersion
from leadhollow.membership.reporting import SHORTEST_INTERVAL_S, VALID_INTERVALS
from leadhollow.membership.uses import NO_USE, Use
from leadhollow.wire.generated.ttypes import LoadRecord

REPORT_VALID_S = VALID_INTERVALS * SHORTEST_INTERVAL_S  # in a domain of few engines
LATE_WEIGHT = 0.25  # of the newest first event in the running mean
LATE_HALF_LIFE_S = 2.0
USUAL_PATH_MS = 60  # between failure domains, with some pieces of weights in front
PACE_UNIT = 1000  # reports give the pace in thousandths


class Server:
    """One backend server.

    Parameters
    ----------
    instance
        What it last announced.
    on_use
        Called where what this entry has there changed.
    report_valid_s
        Gives the age from which a report that comes now is too old to go by.

    Attributes
    ----------
    allowance
        What this entry may send there; None while the server names no limit.
    rest
        Rest that it asked for; None where it asked for none, or has answered a request since.
    dropped
        Whether it is not known any more; requests that were placed there must not be sent.
    """

    __slots__ = (
        "_late_ms",
        "_late_s",
        "_on_use",
        "_own_counts",
        "_report_until_s",
        "_told",
        "_told_counts",
        "_unread_tokens",
        "send_limiter",
        "calls",
        "dropped",
        "health",
        "instance",
        "report",
        "report_valid_s",
        "backoff",
    )

    def __init__(
        self,
        *,
        instance: Instance,
        on_use: Callable[[str], None] = lambda address: None,
        report_valid_s: Callable[[], float] = lambda: REPORT_VALID_S,
    ) -> None:
        self.instance = instance
        self.send_limiter: SendLimiter | None = None
        self.backoff: ServerBackoff | None = None
        self.dropped = False
        self.calls: set[OwnCall] = set()
        self._unread_tokens = 0  # of our calls that have no event yet
        self.report: Report | None = None
        self._report_until_s = 0.0  # later the report is too old to go by
        self.health = Health()
        self._on_use = on_use
        self.report_valid_s = report_valid_s
        self._told = NO_USE
        self._own_counts = Counts()
        self._told_counts = Counts()
        self._late_ms = 0.0
        self._late_s = 0.0

    @property
    def own_requests(self) -> int:
        """Requests of this entry that run there."""
        return len(self.calls)

    def admits(self) -> bool:
        """Tell whether its limit and its rest leave room for a request of this entry."""
        if self.backoff is not None and not self.backoff.admits():
            return False
        return self.send_limiter is None or self.send_limiter.admits()

    def claim_send(self, call: OwnCall) -> Code | None:
        """Claim the right to send a request that was placed here; gives why there is none.

        What the server says of itself may have changed after the request was placed. From then on
        it counts as sent.
        """
        if self.dropped or self.instance.state is not InstanceState.READY:
            return Code.DRAINING
        if self.backoff is not None and not self.backoff.claim_probe(call):
            return Code.SERVER_RESTS
        allowance = self.send_limiter
        if allowance is not None and call.permit is not allowance:
            if not allowance.try_acquire():
                return Code.SERVER_LIMITED
            call.permit = allowance
        call.sent = True
        return None

    def add_call(self, call: OwnCall) -> None:
        """Note a request that goes there."""
        if self.backoff is not None:
            self.backoff.claim_probe(call)
        if self.send_limiter is not None and self.send_limiter.try_acquire():
            call.permit = self.send_limiter
        self.calls.add(call)
        self._unread_tokens += call.prompt_tokens
        self._own_counts.note(len(self.calls), call.placed_s)
        self._on_use(self.instance.address)

    def remove_call(self, call: OwnCall, now_s: float) -> None:
        """Note that a request ended."""
        if self.backoff is not None:
            self.backoff.release_probe(call)
        if call.permit is not None and not call.sent:
            call.permit.refund()
            call.permit = None
        self._note_read(call)
        self.calls.discard(call)
        self._own_counts.note(len(self.calls), now_s)
        self._on_use(self.instance.address)

    def record_first_event(self, call: OwnCall) -> None:
        """Note the first event of a request: its prompt is read."""
        self._note_read(call)
        self._on_use(self.instance.address)

    def _note_read(self, call: OwnCall) -> None:
        """Count a prompt no more among those that are being read."""
        if call.in_prefill and call in self.calls:
            self._unread_tokens -= call.prompt_tokens
        call.in_prefill = False

    def use(self) -> Use:
        """Give what this entry has there."""
        return Use(requests=len(self.calls), unread_tokens=self._unread_tokens)

    def update_peer_use(self, use: Use, now_s: float) -> None:
        """Take what other entries have there."""
        self._told = use
        self._told_counts.note(use.requests, now_s)

    def record_lateness(self, late_ms: float, now_s: float) -> None:
        """Note how much later than predicted a first event came; negative where sooner."""
        self._late_ms = self.lateness_ms(now_s) * (1 - LATE_WEIGHT) + late_ms * LATE_WEIGHT
        self._late_s = now_s

    def lateness_ms(self, now_s: float) -> float:
        """Give how much later than predicted first events come here lately.

        What was seen fades, so that a server is tried again.
        """
        fade: float = 0.5 ** ((now_s - self._late_s) / LATE_HALF_LIFE_S)
        return self._late_ms * fade

    def update_report(self, record: LoadRecord, made_s: float) -> None:
        """Take a report of load, unless a newer one is known or it is of a former life."""
        if 0 < (record.born_ms or 0) < self.instance.born_ms:
            return
        if self.report is None or made_s >= self.report.made_s:
            self.report = Report(
                record=record,
                made_s=made_s,
                own_then=self._own_counts.at(made_s),
                told_then=self._told_counts.at(made_s),
            )
            self._report_until_s = made_s + self.report_valid_s()

    def fresh_report(self, now_s: float) -> Report | None:
        """Give the last report, None where it is too old to go by."""
        if self.report is None or now_s > self._report_until_s:
            return None
        return self.report

    def switching(self, now_s: float) -> bool:
        """Tell whether the engine is about to change its weights."""
        report = self.fresh_report(now_s)
        return report is not None and bool(report.record.switching)

    def record_interruption(self, now_s: float) -> None:
        """Note a request that it did not bring to its end.

        An engine breaks requests off where it changes its weights. That was told before and is over
        in a third of a second, so it counts for no failure: it would be out of use for longer, and
        then get one request from each entry until that one's answer had ended.
        """
        if not self.switching(now_s):
            self.health.record_failure(now_s)

    def path_delay_ms(self, now_s: float) -> float:
        """Give how much longer than usual small messages take to the server's VM and back."""
        report = self.fresh_report(now_s)
        if report is None or (report.record.path_delay_ms or 0) < USUAL_PATH_MS:
            return 0.0
        return float(report.record.path_delay_ms or 0)

    def served(self, now_s: float) -> tuple[ServedVersion, ...]:
        """Give the weights it holds, as the newer of report and announcement says."""
        report = self.fresh_report(now_s)
        if report is not None and report.record.models is not None:
            return tuple(ServedVersion.from_record(found) for found in report.record.models)
        return self.instance.served

    def complete_version(self, model: str, layers: int, now_s: float) -> int | None:
        """Give the version of a model that the engine holds with all its layers."""
        for held in self.served(now_s):
            if held.model == model and held.first_layer == 0 and held.end_layer >= layers:
                return held.version
        return None

    def peer_requests(self, now_s: float, *, peer_use_known: bool) -> int:
        """Give the requests of other entries there.

        Parameters
        ----------
        told
            Whether a control replica passes on what other entries tell.
        """
        report = self.fresh_report(now_s)
        if peer_use_known:
            return self._told.requests + (0 if report is None else report.unexplained)
        return 0 if report is None else report.others

    def engine_load(
        self, model: EngineLatencyModel, now_s: float, *, peer_use_known: bool
    ) -> EngineLoad:
        """Estimate what the engine has to do.

        Parameters
        ----------
        told
            Whether a control replica passes on what other entries tell.
        """
        report = self.fresh_report(now_s)
        others = self.peer_requests(now_s, peer_use_known=peer_use_known)
        unread = float(self._unread_tokens)
        if peer_use_known:
            unread += self._told.unread_tokens
        else:
            unread += others * READING_SHARE * model.spec.usual_prompt_tokens
        pace = 1.0
        if report is not None and report.record.pace_permille:
            pace = max(1.0, report.record.pace_permille / PACE_UNIT)
        requests = self.own_requests + others
        return EngineLoad(
            requests=requests,
            unread_tokens=unread,
            context_tokens=model.usual_context_tokens(min(requests, model.spec.slots)),
            pace=pace,
        )


__all__ = ["Server"]
