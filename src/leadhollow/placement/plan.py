"""Plans which engine of a failure domain runs which version, from the table and the members."""

from __future__ import annotations

from leadhollow.state.catalog import Catalog
from leadhollow.state.records import Policy, VersionRecord


class Engine:
    """State of an engine as far as planning needs it.

    Parameters
    ----------
    serving_root
        Root of the version that it serves; empty if it serves none.
    complete_roots
        Roots of the versions whose weights it has completely.
    """

    __slots__ = ("complete_roots", "name", "serving_root")

    def __init__(self, *, name: str, serving_root: str, complete_roots: frozenset[str]) -> None:
        self.name = name
        self.serving_root = serving_root
        self.complete_roots = complete_roots


class Target:
    """A version that the table names, and its claim on engines.

    Parameters
    ----------
    weight
        Sum of the weights of the rows that name it.
    min_engines
        Minimum number of engines over all failure domains.
    hedge
        Whether a row asks for distribution in the least time, so that slow origin reads may be
        hedged by a second read.
    """

    __slots__ = ("hedge", "min_engines", "version", "weight")

    def __init__(
        self, *, version: VersionRecord, weight: float, min_engines: int, hedge: bool = False
    ) -> None:
        self.version = version
        self.weight = weight
        self.min_engines = min_engines
        self.hedge = hedge


class PlannedStep:
    """Next order to one engine.

    Parameters
    ----------
    activate
        Whether the engine may load the version once it has it; otherwise it only fetches it.
    reason
        For the log.
    """

    __slots__ = ("activate", "engine", "reason", "version")

    def __init__(self, *, engine: str, version: VersionRecord, activate: bool, reason: str) -> None:
        self.engine = engine
        self.version = version
        self.activate = activate
        self.reason = reason


def collect_targets(catalog: Catalog) -> list[Target]:
    """Collect the versions that the rows name, by decreasing weight."""
    weights: dict[str, float] = {}
    min_engines: dict[str, int] = {}
    versions: dict[str, VersionRecord] = {}
    hedged_roots: set[str] = set()
    for stored in catalog.rows():
        for model, choice in stored.row.models.items():
            record = catalog.version(model, choice.version)
            if record is None:
                continue
            versions[record.root] = record
            weights[record.root] = weights.get(record.root, 0.0) + stored.row.weight
            min_engines[record.root] = max(min_engines.get(record.root, 0), choice.minimum_replicas)
            if choice.policy is Policy.LEAST_TIME:
                hedged_roots.add(record.root)
    targets = [
        Target(
            version=record,
            weight=weights[root],
            min_engines=min_engines[root],
            hedge=root in hedged_roots,
        )
        for root, record in versions.items()
    ]
    targets.sort(key=lambda target: (-target.weight, target.version.root))
    return targets


def allocate_engines(
    targets: list[Target], *, engines: int, domain_index: int, domains: int
) -> list[int]:
    """Allocate a number of engines to targets by weight.

    Parameters
    ----------
    domain_index, domains
        Index of the own failure domain, and number of domains. If there are fewer engines than
        targets, each domain starts at a different target, so that together they cover more targets.

    Returns
    -------
    list of int
        Engines for each target; sums to ``engines`` if there is any target.
    """
    counts = [0] * len(targets)
    if not targets:
        return counts
    if engines < len(targets):
        start = domain_index * engines
        for step in range(engines):
            counts[(start + step) % len(targets)] += 1
        return counts
    total = sum(target.weight for target in targets)
    for position, target in enumerate(targets):
        minimum = -(-target.min_engines // max(domains, 1))
        counts[position] = max(1, min(minimum, engines))
    while sum(counts) > engines:
        counts[counts.index(max(counts))] -= 1
    for _ in range(engines - sum(counts)):
        engines_by_weight = [
            (counts[position] / (target.weight / total), position)
            for position, target in enumerate(targets)
        ]
        counts[min(engines_by_weight)[1]] += 1
    return counts


def assign_versions(
    targets: list[Target], counts: list[int], engines: list[Engine]
) -> dict[str, VersionRecord]:
    """Assign a version to each engine, changing as few engines as possible.

    Engines that serve a target keep it. The remaining allocations go to engines that have the
    weights, then to any engine.
    """
    assigned: dict[str, VersionRecord] = {}
    remaining = dict(zip([target.version.root for target in targets], counts, strict=True))
    unassigned = sorted(engines, key=lambda engine: engine.name)
    for matches in (_serves, _has_weights, _matches_any):
        for target in targets:
            root = target.version.root
            for engine in list(unassigned):
                if remaining[root] > 0 and matches(engine, root):
                    assigned[engine.name] = target.version
                    remaining[root] -= 1
                    unassigned.remove(engine)
    return assigned


def plan_steps(assigned: dict[str, VersionRecord], engines: list[Engine]) -> list[PlannedStep]:
    """Plan the next orders: all engines may fetch at once, but they switch versions in waves.

    An engine that serves nothing switches as soon as it can. At most a third of the engines (but at
    least one) is out of service at a time, including those that serve nothing yet, so that the
    others keep serving.
    """
    by_name = {engine.name: engine for engine in engines}
    pending = [
        name
        for name, version in sorted(assigned.items())
        if by_name[name].serving_root != version.root
    ]
    not_serving = [name for name in pending if not by_name[name].serving_root]
    ready = [
        name
        for name in pending
        if by_name[name].serving_root and assigned[name].root in by_name[name].complete_roots
    ]
    allowed = max(1, len(assigned) // 3) - len(not_serving)
    if len(not_serving) == len(engines) or len(engines) == 1:
        allowed = len(engines)
    wave = set(ready[: max(0, allowed)])
    steps = []
    for name, version in sorted(assigned.items()):
        engine = by_name[name]
        if engine.serving_root == version.root:
            reason, activate = "serves it", True
        elif not engine.serving_root:
            reason, activate = "serves nothing", True
        elif name in wave:
            reason, activate = "its turn in the wave", True
        else:
            reason, activate = "waits for its wave", False
        steps.append(PlannedStep(engine=name, version=version, activate=activate, reason=reason))
    return steps


def _serves(engine: Engine, root: str) -> bool:
    return engine.serving_root == root


def _has_weights(engine: Engine, root: str) -> bool:
    return root in engine.complete_roots


def _matches_any(engine: Engine, root: str) -> bool:
    return True


__all__ = [
    "Engine",
    "PlannedStep",
    "Target",
    "allocate_engines",
    "assign_versions",
    "collect_targets",
    "plan_steps",
]
