"""Which engine a request should go to: the one that answers soonest."""

from __future__ import annotations

import random
from collections.abc import Collection

from leadhollow.decide.engine_latency import EngineLatencyModel, EngineLoad
from leadhollow.decide.engine_request import EngineRequest
from leadhollow.decide.protocols import EngineSource, VersionRules
from leadhollow.decide.server import Server
from leadhollow.routing.model import EngineSpec

FAR_PENALTY_MS = 60.0
"""A server of another failure domain must answer this much sooner.

The fewer entries choose among the same engines by views that lag, the fewer choose the same one. It
also spares bytes between regions."""

FEW_ENGINES = 5
"""Of the own failure domain, up to which that penalty holds. A domain of more evens out its own
load, and gains less from the engines of others; its entries stay among themselves."""

MOST_PENALTIES = 2.5  # times that penalty, however many engines there are

CHOICES = 4
"""Engines of the own failure domain, and as many elsewhere, that are drawn for a request; the best
of them gets it. If each entry took the best of all, those whose views lag alike would all take the
same one: an engine that has just come, or become free, would get a dozen requests at once."""

SPREAD_MS = 6.0  # random part, so that entries with the same view do not all choose the same
SURE_S = 2.5  # before weights become too old, only servers that are heard of get requests for them
PATH_FACTOR = 4  # a path that was slow may be this much slower when the request takes it
RECENT_SHARE = 0.6  # of the time for which reports count; they come three times in it
SAFE_S = 0.35  # time in which a request begins at a server that is not overloaded
UNHEARD_MS = 250.0  # a server that does not report is thought this much slower than one that does
SHUNNED_MS = 400.0
"""An engine that asked another entry for rest must answer this much sooner than all others: it is
likely to turn our request away too, which costs a repeat."""

LOST_DOMAIN_MS = 400.0
"""An engine must answer this much sooner than all others where what ended the same request before
is likely to be there too: in that failure domain, and on the way out of our own."""

SAME_MOMENT_S = 0.002
"""Time for which engines stay as they were reckoned where nothing is known to have changed; a turn
of the loop takes less, and predictions are some tens of milliseconds off."""


SIZE_TILT = 0.5
"""How much easier large requests are admitted than small ones, as a part of the time in which their
prompts are read.

By its own size a large request would be refused again and again, and small ones would take every
place that is free for a moment. Admitted alike, large ones would still be late more often."""

LARGEST = 3.0  # times the usual prompt, from which a request is admitted no easier


def _size_allowance_ms(model: EngineLatencyModel, prompt_tokens: int) -> float:
    """Give what to add to a predicted first event so that sizes are admitted fairly."""
    usual_tokens = model.spec.usual_prompt_tokens
    own_ms = model.prefill_ms(prompt_tokens)
    usual_ms = model.prefill_ms(usual_tokens)
    tilt_ms = SIZE_TILT * (usual_ms - model.prefill_ms(min(prompt_tokens, LARGEST * usual_tokens)))
    return usual_ms - own_ms + tilt_ms


def _far_penalty_ms(near: int) -> float:
    """Give how much sooner a server elsewhere must answer where so many are in the own domain."""
    return FAR_PENALTY_MS * min(MOST_PENALTIES, max(1.0, near / FEW_ENGINES))


class EngineOption:
    """An engine that a request could go to.

    Parameters
    ----------
    first_ms
        Predicted time until its first event.
    admission_ms
        Time by which it is admitted or refused: nearly that of a request of usual size.
    """

    __slots__ = ("admission_ms", "demand", "first_ms", "server", "version")

    def __init__(
        self,
        *,
        server: Server,
        first_ms: float,
        admission_ms: float,
        demand: EngineLoad,
        version: int,
    ) -> None:
        self.server = server
        self.first_ms = first_ms
        self.admission_ms = admission_ms
        self.demand = demand
        self.version = version


class _Usable:
    """An engine that takes requests now, as all that ask at the same moment see it.

    Parameters
    ----------
    far
        Whether it is of another failure domain.
    shunned
        Whether it asked another entry for rest.

    Attributes
    ----------
    demand
        What it has to do; None until a request looks at it.
    ready_ms
        Time until the first event of a request but for reading its prompt.
    """

    __slots__ = ("demand", "far", "ready_ms", "server", "shunned", "version")

    def __init__(self, *, server: Server, version: int, far: bool) -> None:
        self.server = server
        self.version = version
        self.far = far
        self.shunned = server.backoff is not None and server.backoff.deprioritised
        self.demand: EngineLoad | None = None
        self.ready_ms = 0.0


class EngineChooser:
    """Chooses among the engines that may take a request.

    Requests that wait ask again whenever something may have become free, all of them in the same
    turn. Engines are reckoned once for all of these, and only those that one of them looks at.

    Parameters
    ----------
    failure_domain
        Ours; engines elsewhere cost a way and its price.
    source
        Of the random part by which entries with the same view differ.
    """

    __slots__ = (
        "_board",
        "_failure_domain",
        "_known",
        "_looked_s",
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
        self._board = directory
        self._versions = versions
        self._failure_domain = failure_domain
        self._random = source
        self._models: dict[str, EngineLatencyModel] = {}
        self._known: dict[tuple[str, str], list[_Usable]] = {}  # as of the same moment
        self._looked_s = 0.0

    def forget(self) -> None:
        """Reckon engines anew: what is known of them has changed."""
        self._known.clear()

    def best(
        self, wish: EngineRequest, now_s: float, *, of_all: bool = False
    ) -> EngineOption | None:
        """Give the engine that answers soonest, None where none may take the request.

        Parameters
        ----------
        of_all
            Whether all engines are looked at, and not just some that are drawn.
        """
        spec = wish.service.engine
        if spec is None:
            return None
        model = self._model(wish.service.name, spec)
        read_ms = model.prefill_ms(wish.prompt_tokens)
        eligible = self._eligible(wish, spec, now_s)
        near = [found for found in eligible if not found.far]
        far_ms = _far_penalty_ms(len(near))
        if not of_all:
            far = [found for found in eligible if found.far]
            eligible = [*self._draw(near), *self._draw(far)]
        best: _Usable | None = None
        best_demand: EngineLoad | None = None
        best_ms = best_rank = float("inf")
        for found in eligible:
            demand = found.demand or self._reckon(found, wish, model, now_s)
            first_ms = found.ready_ms + demand.pace * read_ms
            rank = first_ms + SPREAD_MS * self._random.random() + (far_ms if found.far else 0.0)
            rank += SHUNNED_MS if found.shunned else 0.0
            if wish.lost_domains and self._shares_fault(found, wish.lost_domains):
                rank += LOST_DOMAIN_MS
            if rank < best_rank:
                best, best_demand, best_ms, best_rank = found, demand, first_ms, rank
        if best is None or best_demand is None:
            return None
        return EngineOption(
            server=best.server,
            first_ms=best_ms,
            admission_ms=best_ms + _size_allowance_ms(model, wish.prompt_tokens),
            demand=best_demand,
            version=best.version,
        )

    def _shares_fault(self, found: _Usable, lost_domains: Collection[str]) -> bool:
        """Tell whether what ended a request in other domains may end it at this engine too."""
        if found.server.instance.failure_domain in lost_domains:
            return True
        return found.far and any(domain != self._failure_domain for domain in lost_domains)

    def rest_left_s(self, wish: EngineRequest, now_s: float) -> float | None:
        """Give the time until the first engine takes requests that only its rest keeps from it.

        None where no engine rests that could take the request otherwise.
        """
        spec = wish.service.engine
        if spec is None:
            return None
        oldest = self._versions.oldest_allowed(wish.model)
        left_s = [
            server.backoff.remaining_s()
            for server in self._board.servers(wish.service.name)
            if server.backoff is not None
            and server.instance.instance not in wish.excluded
            and self._version_to_take(server, wish.model, spec, oldest, now_s) is not None
        ]
        return min(left_s, default=None)

    def _draw(self, found: list[_Usable]) -> list[_Usable]:
        return found if len(found) <= CHOICES else self._random.sample(found, CHOICES)

    def _model(self, service: str, spec: EngineSpec) -> EngineLatencyModel:
        model = self._models.get(service)
        if model is None or model.spec is not spec:
            model = self._models[service] = EngineLatencyModel(spec=spec)
        return model

    def _eligible(self, wish: EngineRequest, spec: EngineSpec, now_s: float) -> list[_Usable]:
        """Give the engines that may get a request."""
        found = self._usable(wish.service.name, wish.model, spec, now_s)
        if wish.excluded:
            found = [one for one in found if one.server.instance.instance not in wish.excluded]
        if not wish.last_attempt:
            return found
        newest = self._versions.newest(wish.model)
        newer = [one for one in found if one.version >= newest]
        if all(self._shares_fault(one, wish.lost_domains) for one in newer):
            return found
        return newer

    def _reckon(
        self, found: _Usable, wish: EngineRequest, model: EngineLatencyModel, now_s: float
    ) -> EngineLoad:
        """Reckon what an engine has to do, once for all requests of the same moment."""
        server = found.server
        demand = server.engine_load(model, now_s, peer_use_known=self._board.hears_others())
        delay_ms = max(0.0, server.lateness_ms(now_s), server.path_delay_ms(now_s))
        if server.fresh_report(now_s) is None and self._heard(wish, model.spec, now_s):
            delay_ms += UNHEARD_MS
        found.demand = demand
        found.ready_ms = model.ready_ms(demand) + delay_ms
        return demand

    def _heard(self, wish: EngineRequest, spec: EngineSpec, now_s: float) -> bool:
        """Tell whether any engine reports, so that one that does not stands out."""
        usable = self._usable(wish.service.name, wish.model, spec, now_s)
        return any(found.server.fresh_report(now_s) is not None for found in usable)

    def _usable(self, service: str, model: str, spec: EngineSpec, now_s: float) -> list[_Usable]:
        """Give the engines that take requests for a model now."""
        if now_s - self._looked_s > SAME_MOMENT_S:
            self._known.clear()
        known = self._known.get((service, model))
        if known is not None:
            return known
        if not self._known:
            self._looked_s = now_s
        oldest = self._versions.oldest_allowed(model)
        found = self._known[service, model] = []
        for server in self._board.servers(service):
            if not server.admits():
                continue
            version = self._version_to_take(server, model, spec, oldest, now_s)
            if version is not None:
                far = server.instance.failure_domain != self._failure_domain
                found.append(_Usable(server=server, version=version, far=far))
        return found

    def _version_to_take(
        self, server: Server, model: str, spec: EngineSpec, oldest: int, now_s: float
    ) -> int | None:
        """Give the weights on which a server could begin a request now, None where it could not.

        What it admits of this entry's requests is not asked here.

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
        """Tell whether a request will surely begin before the server's weights are too old."""
        left_s = self._versions.begin_by_s(model, version) - now_s
        left_s -= PATH_FACTOR * server.path_delay_ms(now_s) / 1000
        if left_s > SURE_S:
            return True
        report = server.fresh_report(now_s)
        recent_s = RECENT_SHARE * server.report_valid_s()
        return left_s > SAFE_S and report is not None and now_s - report.made_s < recent_s


__all__ = ["EngineChooser", "EngineOption"]
