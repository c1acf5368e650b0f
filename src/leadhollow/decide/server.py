"""A backend server as an entry sees it: its announcement, reported load and requests in flight."""

from __future__ import annotations

from collections.abc import Callable

from leadhollow.codes import Code
from leadhollow.decide.eligibility import DomainRules, NoDomainRules, Regions
from leadhollow.decide.engine_latency import PREFILL_SHARE, EngineLatencyModel, EngineLoad
from leadhollow.decide.health import Health
from leadhollow.decide.send_limiter import SendLimiter
from leadhollow.decide.server_backoff import ServerBackoff
from leadhollow.decide.server_load import CountHistory, EngineReport, OwnCall
from leadhollow.membership.instances import Instance, InstanceState, ServedVersion
from leadhollow.membership.reporting import MIN_REPORT_INTERVAL_S, VALID_INTERVALS
from leadhollow.membership.uses import NO_USE, Use
from leadhollow.wire.generated.ttypes import LoadRecord

REPORT_VALID_S = VALID_INTERVALS * MIN_REPORT_INTERVAL_S  # in a domain of few engines
LATENESS_WEIGHT = 0.25  # of the newest first event in the moving average
LATENESS_HALF_LIFE_S = 2.0
USUAL_PATH_MS = 60  # between failure domains, behind some pieces of weights
PACE_UNIT = 1000  # reports give the pace in thousandths
NO_DOMAIN_RULES = NoDomainRules()


class Server:
    """One backend server.

    Parameters
    ----------
    instance
        Last announcement of the server.
    domains
        What applies to all servers of a failure domain.
    on_use
        Called with its address when the requests of this entry there have changed.
    report_valid_s
        Returns the age up to which a report that arrives now is used.

    Attributes
    ----------
    send_limiter
        Limits the requests of this entry; None while the server states no limit.
    backoff
        Back-off that the server asked for; None if it asked for none or a probe succeeded since.
    dropped
        Whether the server is no longer known. Requests that were placed there must not be sent.
    """

    __slots__ = (
        "_domains",
        "_lateness_ms",
        "_lateness_s",
        "_on_use",
        "_own_counts",
        "_peer_counts",
        "_peer_use",
        "_report_until_s",
        "_unread_tokens",
        "backoff",
        "calls",
        "dropped",
        "health",
        "instance",
        "report",
        "report_valid_s",
        "send_limiter",
    )

    def __init__(
        self,
        *,
        instance: Instance,
        domains: DomainRules = NO_DOMAIN_RULES,
        on_use: Callable[[str], None] = lambda address: None,
        report_valid_s: Callable[[], float] = lambda: REPORT_VALID_S,
    ) -> None:
        self.instance = instance
        self._domains = domains
        self.send_limiter: SendLimiter | None = None
        self.backoff: ServerBackoff | None = None
        self.dropped = False
        self.calls: set[OwnCall] = set()
        self._unread_tokens = 0  # prompt tokens of own calls that have no event yet
        self.report: EngineReport | None = None
        self._report_until_s = 0.0  # when the report becomes too old to use
        self.health = Health()
        self._on_use = on_use
        self.report_valid_s = report_valid_s
        self._peer_use = NO_USE
        self._own_counts = CountHistory()
        self._peer_counts = CountHistory()
        self._lateness_ms = 0.0
        self._lateness_s = 0.0

    @property
    def own_requests(self) -> int:
        """Number of requests of this entry in flight there."""
        return len(self.calls)

    def reason_against(self, regions: Regions | None) -> Code | None:
        """Return why a request must not be placed at the server now, or None if it may be.

        Parameters
        ----------
        regions
            Regions in which the request may be served; None if all may serve it.
        """
        usual = self.instance.state is InstanceState.READY and self._domains.unrestricted
        if not usual or regions is not None or self.dropped:
            reason = self.fixed_reason(regions)
            if reason is not None:
                return reason
        if self.backoff is not None and not self.backoff.admits():
            return Code.SERVER_RESTS
        if self.send_limiter is not None and not self.send_limiter.admits():
            return Code.SERVER_LIMITED
        return None

    def in_reach(self, regions: Regions | None) -> bool:
        """Tell whether a request may go to the server as soon as it has a token and no back-off."""
        return self.fixed_reason(regions) is None

    def fixed_reason(self, regions: Regions | None) -> Code | None:
        """Return the reason that no waiting for a token or for the end of a back-off removes.

        Parameters
        ----------
        regions
            Regions in which the request may be served; None if all may serve it.
        """
        if self.dropped or self.instance.state is not InstanceState.READY:
            return Code.DRAINING
        return self._domains.reason_against(self.instance.failure_domain, regions)

    def claim_send(self, call: OwnCall) -> Code | None:
        """Mark a placed request as sent, or return the reason why it must not be sent.

        The state, rate limit or back-off of the server may have changed after the request was
        placed.
        """
        reason = self.fixed_reason(call.regions)
        if reason is not None:
            return reason
        if self.backoff is not None and not self.backoff.claim_probe(call):
            return Code.SERVER_RESTS
        send_limiter = self.send_limiter
        if send_limiter is not None and call.send_limiter is not send_limiter:
            if not send_limiter.try_acquire():
                return Code.SERVER_LIMITED
            call.send_limiter = send_limiter
        call.sent = True
        return None

    def add_call(self, call: OwnCall) -> None:
        """Record a request that is placed there."""
        if self.backoff is not None:
            self.backoff.claim_probe(call)
        if self.send_limiter is not None and self.send_limiter.try_acquire():
            call.send_limiter = self.send_limiter
        self.health.claim_probe(call, call.placed_s)
        self.calls.add(call)
        self._unread_tokens += call.prompt_tokens
        self._own_counts.record(len(self.calls), call.placed_s)
        self._on_use(self.instance.address)

    def remove_call(self, call: OwnCall, now_s: float) -> None:
        """Record that a request ended, was cancelled or will not be sent."""
        self.health.release_probe(call)
        if self.backoff is not None:
            self.backoff.release_probe(call)
        if call.send_limiter is not None and not call.sent:
            call.send_limiter.refund()
            call.send_limiter = None
        self._end_prefill(call)
        self.calls.discard(call)
        self._own_counts.record(len(self.calls), now_s)
        self._on_use(self.instance.address)

    def record_first_event(self, call: OwnCall) -> None:
        """Record the first event of a request, which ends its prefill."""
        self._end_prefill(call)
        self._on_use(self.instance.address)

    def _end_prefill(self, call: OwnCall) -> None:
        """Stop counting the prompt of a request as unread."""
        if call.in_prefill and call in self.calls:
            self._unread_tokens -= call.prompt_tokens
        call.in_prefill = False

    def use(self) -> Use:
        """Return the requests and unread tokens of this entry there."""
        return Use(requests=len(self.calls), unread_tokens=self._unread_tokens)

    def update_peer_use(self, use: Use, now_s: float) -> None:
        """Set the requests and unread tokens of all other entries there."""
        self._peer_use = use
        self._peer_counts.record(use.requests, now_s)

    def record_lateness(self, late_ms: float, now_s: float) -> None:
        """Record how much later than predicted a first event arrived; negative if earlier."""
        self._lateness_ms = (
            self.lateness_ms(now_s) * (1 - LATENESS_WEIGHT) + late_ms * LATENESS_WEIGHT
        )
        self._lateness_s = now_s

    def lateness_ms(self, now_s: float) -> float:
        """Return how much later than predicted recent first events arrived.

        The value decays over time, so that a slow server is tried again.
        """
        decay: float = 0.5 ** ((now_s - self._lateness_s) / LATENESS_HALF_LIFE_S)
        return self._lateness_ms * decay

    def update_report(self, record: LoadRecord, made_s: float) -> None:
        """Store a load report unless a newer one is known or it belongs to an earlier life."""
        if 0 < (record.born_ms or 0) < self.instance.born_ms:
            return
        if self.report is None or made_s >= self.report.made_s:
            self.report = EngineReport(
                record=record,
                made_s=made_s,
                own_requests=self._own_counts.at(made_s),
                reported_requests=self._peer_counts.at(made_s),
            )
            self._report_until_s = made_s + self.report_valid_s()

    def fresh_report(self, now_s: float) -> EngineReport | None:
        """Return the last report, or None if it is too old to use."""
        if self.report is None or now_s > self._report_until_s:
            return None
        return self.report

    def switching(self, now_s: float) -> bool:
        """Tell whether the engine is about to change its weights."""
        report = self.fresh_report(now_s)
        return report is not None and bool(report.record.switching)

    def record_interruption(self, now_s: float) -> None:
        """Record a request that the server did not finish.

        An engine interrupts requests when it changes its weights. It announces this, and the change
        takes a third of a second, so it does not count as a failure. Otherwise the engine would be
        ejected for longer than that, and then get one request from each entry until the response
        to it had ended.
        """
        if not self.switching(now_s):
            self.health.record_failure(now_s)

    def path_delay_ms(self, now_s: float) -> float:
        """Return the extra round-trip time of small messages to the server's VM."""
        report = self.fresh_report(now_s)
        if report is None or (report.record.path_delay_ms or 0) < USUAL_PATH_MS:
            return 0.0
        return float(report.record.path_delay_ms or 0)

    def served(self, now_s: float) -> tuple[ServedVersion, ...]:
        """Return the weights that the server holds, by its last report or else its announcement."""
        report = self.fresh_report(now_s)
        if report is not None and report.record.models is not None:
            return tuple(ServedVersion.from_record(found) for found in report.record.models)
        return self.instance.served

    def complete_version(self, model: str, layers: int, now_s: float) -> int | None:
        """Return the version of a model that the engine holds with all its layers, or None."""
        for held in self.served(now_s):
            if held.model == model and held.first_layer == 0 and held.end_layer >= layers:
                return held.version
        return None

    def peer_requests(self, now_s: float, *, peer_use_known: bool) -> int:
        """Return the number of requests of other entries there.

        Parameters
        ----------
        peer_use_known
            Whether a control replica relays what other entries have at engines.
        """
        report = self.fresh_report(now_s)
        if peer_use_known:
            return self._peer_use.requests + (0 if report is None else report.unexplained)
        return 0 if report is None else report.peer_requests

    def engine_load(
        self, model: EngineLatencyModel, now_s: float, *, peer_use_known: bool
    ) -> EngineLoad:
        """Estimate the work that the engine still has to do.

        Parameters
        ----------
        peer_use_known
            Whether a control replica relays what other entries have at engines.
        """
        report = self.fresh_report(now_s)
        peer_requests = self.peer_requests(now_s, peer_use_known=peer_use_known)
        unread = float(self._unread_tokens)
        if peer_use_known:
            unread += self._peer_use.unread_tokens
        else:
            unread += peer_requests * PREFILL_SHARE * model.spec.usual_prompt_tokens
        pace = 1.0
        if report is not None and report.record.pace_permille:
            pace = max(1.0, report.record.pace_permille / PACE_UNIT)
        requests = self.own_requests + peer_requests
        return EngineLoad(
            requests=requests,
            unread_tokens=unread,
            context_tokens=model.usual_context_tokens(min(requests, model.spec.slots)),
            pace=pace,
        )


__all__ = ["NO_DOMAIN_RULES", "Server"]
