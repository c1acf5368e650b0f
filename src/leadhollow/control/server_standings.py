"""Answers operators' queries for the leaving state, back-off and rate limit of servers."""

from __future__ import annotations

from result import Ok, Result

from leadhollow.control.registry import Registry, ReportedLoad
from leadhollow.control.self_report_relay import SelfReportRelay
from leadhollow.decide.rate_source import StrictestRate
from leadhollow.failure import Failure
from leadhollow.kernel import clocks
from leadhollow.membership.instances import Instance, InstanceState
from leadhollow.wire.connection import Connection
from leadhollow.wire.generated.ttypes import ServerStanding, ServerStandings, StandingQuery
from leadhollow.wire.handlers import HandlerTable

NO_LIMIT = -1.0
NOT_LEAVING = -1


class ServerStandingsHandler:
    """Answers a :class:`StandingQuery` with what this replica knows of each backend server."""

    __slots__ = ("_leaving_since_s", "_limits", "_registry", "_self_reports")

    def __init__(
        self,
        *,
        registry: Registry,
        self_reports: SelfReportRelay,
        limits: StrictestRate,
        handlers: HandlerTable,
    ) -> None:
        self._registry = registry
        self._self_reports = self_reports
        self._limits = limits
        self._leaving_since_s: dict[str, float] = {}  # time at which it became known, by life
        registry.on_change(self._on_change)
        handlers.on_call(StandingQuery, self._on_query)

    def _on_change(self, instances: list[Instance], loads: list[ReportedLoad]) -> None:
        for instance in instances:
            if instance.state is InstanceState.DRAINING:
                self._leaving_since_s.setdefault(instance.life, clocks.elapsed_s())
            elif instance.state is InstanceState.GONE:
                self._leaving_since_s.pop(instance.life, None)

    async def _on_query(
        self, query: StandingQuery, connection: Connection
    ) -> Result[ServerStandings, Failure]:
        known = self._registry.table.instances()
        lives = {instance.life for instance in known}
        self._leaving_since_s = {
            life: since_s for life, since_s in self._leaving_since_s.items() if life in lives
        }
        ordered = sorted(known, key=lambda instance: (instance.service, instance.instance))
        return Ok(ServerStandings([self._build_standing(instance) for instance in ordered]))

    def _build_standing(self, instance: Instance) -> ServerStanding:
        now_s = clocks.elapsed_s()
        leaving_ms = NOT_LEAVING
        if instance.state is InstanceState.DRAINING:
            leaving_ms = round((now_s - self._leaving_since_s.get(instance.life, now_s)) * 1000)
        backoff = self._self_reports.backoff(instance.life)
        limit = self._limits.rate_limit(instance.life)
        return ServerStanding(
            instance.to_record(clocks.steady_s()),
            leaving_ms,
            self._self_reports.leaving_reported_by.get(instance.life, ""),
            0 if backoff is None else round((backoff.end_s - now_s) * 1000),
            "" if backoff is None else backoff.vm,
            NO_LIMIT if limit is None else limit.per_s,
        )


__all__ = ["NOT_LEAVING", "NO_LIMIT", "ServerStandingsHandler"]
