"""Chooses the engine for a request: the one with the earliest predicted first event."""

from __future__ import annotations

import random
from collections.abc import Collection

from leadhollow.codes import Code
from leadhollow.decide.eligibility import common_reason
from leadhollow.decide.engine_latency import EngineLatencyModel, EngineLoad
from leadhollow.decide.engine_request import EngineRequest
from leadhollow.decide.protocols import EngineSource, VersionRules
from leadhollow.decide.server import Server
from leadhollow.routing.model import EngineSpec

REMOTE_PENALTY_MS = 60.0
"""Time by which an engine of another failure domain must respond sooner than a local one.

Entries choose by views that lag behind. The fewer entries choose among the same engines, the fewer
choose the same one. The penalty also saves traffic between regions."""

UNSCALED_PENALTY_ENGINES = 5
"""Number of local engines up to which the remote penalty is unscaled; it grows with more of them.
A larger failure domain balances its own load and gains less from remote engines."""

MAX_PENALTY_FACTOR = 2.5  # upper bound of that scaling

SAMPLE_SIZE = 4
"""Number of local engines, and of remote ones, that are sampled for a request. The best of the
sample gets the request. If every entry took the best of all engines, entries with the same stale
view would all choose the same one: an engine that has just started or become free would get a dozen
requests at once."""

JITTER_MS = 6.0  # random part, so that entries with the same view choose different engines
MIN_TIME_WITHOUT_REPORT_S = 2.5
"""Time before weights become too old below which only engines with a recent report get requests."""

PATH_DELAY_FACTOR = 4  # a slow path may be this much slower by the time the request takes it
# Share of the time for which a report is valid. Three reports arrive in that share of it.
RECENT_REPORT_SHARE = 0.6
MIN_START_TIME_S = 0.35  # time in which a request begins at an engine that is not overloaded
NO_REPORT_PENALTY_MS = 250.0  # for an engine that sends no reports while others do
PEER_BACKOFF_PENALTY_MS = 400.0
"""Time by which an engine that asked another entry to back off must respond sooner than the rest.
It is likely to reject requests of this entry too, and each rejection costs a repeat."""

LOST_DOMAIN_PENALTY_MS = 400.0
"""Time by which an engine must respond sooner than all others if it may share the fault that broke
an earlier attempt of the request: it is in the same failure domain, or beyond the same path out of
the local one."""

CACHE_VALID_S = 0.002
"""Time for which computed engine states are reused if no change was reported. One turn of the event
loop takes less, and predictions are off by some tens of milliseconds anyway."""


LARGE_REQUEST_ADVANTAGE = 0.5
"""Advantage of large requests at admission, as a share of their extra prefill time.

If each request were admitted by its own prefill time, large ones would be refused again and again
while small ones took every slot that is free for a moment. If all sizes were admitted alike, large
requests would still be late more often."""

MAX_SIZE_FACTOR = 3.0  # times the usual prompt; larger requests get no further advantage


def _size_allowance_ms(model: EngineLatencyModel, prompt_tokens: int) -> float:
    """Return the correction of a predicted first event that makes admission fair to all sizes."""
    usual_tokens = model.spec.usual_prompt_tokens
    own_ms = model.prefill_ms(prompt_tokens)
    usual_ms = model.prefill_ms(usual_tokens)
    advantage_ms = LARGE_REQUEST_ADVANTAGE * (
        usual_ms - model.prefill_ms(min(prompt_tokens, MAX_SIZE_FACTOR * usual_tokens))
    )
    return usual_ms - own_ms + advantage_ms


def _remote_penalty_ms(local_engines: int) -> float:
    """Return the penalty of remote engines for a number of usable local ones."""
    return REMOTE_PENALTY_MS * min(
        MAX_PENALTY_FACTOR, max(1.0, local_engines / UNSCALED_PENALTY_ENGINES)
    )


class EngineOption:
    """An engine that a request could be sent to.

    Parameters
    ----------
    first_ms
        Predicted time until the first event of the request.
    admission_ms
        Time that admission goes by: close to that of a request of usual size.
    """

    __slots__ = ("admission_ms", "first_ms", "load", "server", "version")

    def __init__(
        self,
        *,
        server: Server,
        first_ms: float,
        admission_ms: float,
        load: EngineLoad,
        version: int,
    ) -> None:
        self.server = server
        self.first_ms = first_ms
        self.admission_ms = admission_ms
        self.load = load
        self.version = version


class _UsableEngine:
    """An engine that takes requests now, with its state cached for requests of the same moment.

    Parameters
    ----------
    remote
        Whether it is in another failure domain.

    Attributes
    ----------
    deprioritised
        Whether it asked another entry to back off.
    load
        Its load; None until it is first needed.
    base_ms
        Predicted time until the first event of a request, without the prefill of its prompt.
    """

    __slots__ = ("base_ms", "deprioritised", "load", "remote", "server", "version")

    def __init__(self, *, server: Server, version: int, remote: bool) -> None:
        self.server = server
        self.version = version
        self.remote = remote
        self.deprioritised = server.backoff is not None and server.backoff.deprioritised
        self.load: EngineLoad | None = None
        self.base_ms = 0.0


class EngineChooser:
    """Chooses among the engines that may take a request.

    All waiting requests ask again in the same turn of the event loop whenever a slot may have
    become free. The state of an engine is computed once for all of them, and only if one of them
    considers the engine.

    Parameters
    ----------
    failure_domain
        Failure domain of this entry. Engines elsewhere are penalised for distance and traffic cost.
    source
        Source of the random part by which entries with the same view choose differently.
    """

    __slots__ = (
        "_cache",
        "_cached_s",
        "_directory",
        "_failure_domain",
        "_models",
        "_random",
        "_versions",
    )

    def __init__(
        self,
        *,
        directory: EngineSource,
        versions: VersionRules,
        failure_domain: str,
        source: random.Random,
    ) -> None:
        self._directory = directory
        self._versions = versions
        self._failure_domain = failure_domain
        self._random = source
        self._models: dict[str, EngineLatencyModel] = {}
        self._cache: dict[tuple[str, str], list[_UsableEngine]] = {}  # by service and model
        self._cached_s = 0.0

    def invalidate(self) -> None:
        """Drop the cached engine states after a change."""
        self._cache.clear()

    def best(
        self, request: EngineRequest, now_s: float, *, of_all: bool = False
    ) -> EngineOption | None:
        """Return the engine with the earliest predicted response, or None if none may be used.

        Parameters
        ----------
        of_all
            Whether to compare all engines instead of a random sample.
        """
        spec = request.service.engine
        if spec is None:
            return None
        model = self._model(request.service.name, spec)
        prefill_ms = model.prefill_ms(request.prompt_tokens)
        eligible = self._eligible(request, spec, now_s)
        local = [found for found in eligible if not found.remote]
        remote_ms = _remote_penalty_ms(len(local))
        if not of_all:
            remote = [found for found in eligible if found.remote]
            eligible = [*self._sample(local), *self._sample(remote)]
        best: _UsableEngine | None = None
        best_load: EngineLoad | None = None
        best_ms = best_rank = float("inf")
        for found in eligible:
            load = found.load or self._compute_load(found, request, model, now_s)
            first_ms = found.base_ms + load.pace * prefill_ms
            rank = (
                first_ms + JITTER_MS * self._random.random() + (remote_ms if found.remote else 0.0)
            )
            rank += PEER_BACKOFF_PENALTY_MS if found.deprioritised else 0.0
            if request.lost_domains and self._may_share_fault(found, request.lost_domains):
                rank += LOST_DOMAIN_PENALTY_MS
            if rank < best_rank:
                best, best_load, best_ms, best_rank = found, load, first_ms, rank
        if best is None or best_load is None:
            return None
        return EngineOption(
            server=best.server,
            first_ms=best_ms,
            admission_ms=best_ms + _size_allowance_ms(model, request.prompt_tokens),
            load=best_load,
            version=best.version,
        )

    def _may_share_fault(self, found: _UsableEngine, lost_domains: Collection[str]) -> bool:
        """Tell whether the fault that broke a request in other domains may affect this engine."""
        if found.server.instance.failure_domain in lost_domains:
            return True
        return found.remote and any(domain != self._failure_domain for domain in lost_domains)

    def backoff_remaining_s(self, request: EngineRequest, now_s: float) -> float | None:
        """Return the time until the first engine is usable whose back-off alone prevents it now.

        None if no engine in back-off could otherwise take the request.
        """
        spec = request.service.engine
        if spec is None:
            return None
        oldest = self._versions.oldest_allowed(request.model)
        left_s = [
            server.backoff.remaining_s()
            for server in self._directory.servers(request.service.name)
            if server.backoff is not None
            and server.in_reach(request.regions)
            and server.instance.instance not in request.excluded
            and self._usable_version(server, request.model, spec, oldest, now_s) is not None
        ]
        return min(left_s, default=None)

    def reason_against_all(self, request: EngineRequest) -> Code | None:
        """Return why no failure domain with engines may take a request, or None if one may.

        None too if no engines are known.
        """
        return common_reason(
            server.domain_reason(request.regions)
            for server in self._directory.servers(request.service.name)
        )

    def _sample(self, found: list[_UsableEngine]) -> list[_UsableEngine]:
        return found if len(found) <= SAMPLE_SIZE else self._random.sample(found, SAMPLE_SIZE)

    def _model(self, service: str, spec: EngineSpec) -> EngineLatencyModel:
        model = self._models.get(service)
        if model is None or model.spec is not spec:
            model = self._models[service] = EngineLatencyModel(spec=spec)
        return model

    def _eligible(
        self, request: EngineRequest, spec: EngineSpec, now_s: float
    ) -> list[_UsableEngine]:
        """Return the engines that this request may be sent to."""
        found = self._usable(request.service.name, request.model, spec, now_s)
        if request.regions is not None:
            found = [one for one in found if one.server.reason_against(request.regions) is None]
        if request.excluded:
            found = [one for one in found if one.server.instance.instance not in request.excluded]
        if not request.last_attempt:
            return found
        newest = self._versions.newest(request.model)
        newer = [one for one in found if one.version >= newest]
        if all(self._may_share_fault(one, request.lost_domains) for one in newer):
            return found
        return newer

    def _compute_load(
        self, found: _UsableEngine, request: EngineRequest, model: EngineLatencyModel, now_s: float
    ) -> EngineLoad:
        """Compute the load of an engine and cache it for all requests of the same moment."""
        server = found.server
        load = server.engine_load(model, now_s, peer_use_known=self._directory.hears_others())
        delay_ms = max(0.0, server.lateness_ms(now_s), server.path_delay_ms(now_s))
        if server.fresh_report(now_s) is None and self._any_reports(request, model.spec, now_s):
            delay_ms += NO_REPORT_PENALTY_MS
        found.load = load
        found.base_ms = model.base_first_event_ms(load) + delay_ms
        return load

    def _any_reports(self, request: EngineRequest, spec: EngineSpec, now_s: float) -> bool:
        """Tell whether any engine reports its load, so that a missing report is suspicious."""
        usable = self._usable(request.service.name, request.model, spec, now_s)
        return any(found.server.fresh_report(now_s) is not None for found in usable)

    def _usable(
        self, service: str, model: str, spec: EngineSpec, now_s: float
    ) -> list[_UsableEngine]:
        """Return the engines that take requests for a model now."""
        if now_s - self._cached_s > CACHE_VALID_S:
            self._cache.clear()
        cached = self._cache.get((service, model))
        if cached is not None:
            return cached
        if not self._cache:
            self._cached_s = now_s
        oldest = self._versions.oldest_allowed(model)
        found = self._cache[service, model] = []
        for server in self._directory.servers(service):
            if server.reason_against(None) is not None:
                continue
            version = self._usable_version(server, model, spec, oldest, now_s)
            if version is not None:
                remote = server.instance.failure_domain != self._failure_domain
                found.append(_UsableEngine(server=server, version=version, remote=remote))
        return found

    def _usable_version(
        self, server: Server, model: str, spec: EngineSpec, oldest: int, now_s: float
    ) -> int | None:
        """Return the weights on which a server could begin a request now, or None.

        The rate limit and the back-off of the server are not considered.

        Parameters
        ----------
        oldest
            Lowest version that a request may begin on.
        """
        if not server.health.usable(now_s) or server.switching(now_s):
            return None
        version = server.complete_version(model, spec.layers, now_s)
        if version is None or version < oldest:
            return None
        return version if self._begins_in_time(model, server, version, now_s) else None

    def _begins_in_time(self, model: str, server: Server, version: int, now_s: float) -> bool:
        """Tell whether a request reliably begins before the weights of the server are too old."""
        left_s = self._versions.begin_by_s(model, version) - now_s
        left_s -= PATH_DELAY_FACTOR * server.path_delay_ms(now_s) / 1000
        if left_s > MIN_TIME_WITHOUT_REPORT_S:
            return True
        report = server.fresh_report(now_s)
        recent_s = RECENT_REPORT_SHARE * server.report_valid_s()
        return left_s > MIN_START_TIME_S and report is not None and now_s - report.made_s < recent_s


__all__ = ["EngineChooser", "EngineOption"]
