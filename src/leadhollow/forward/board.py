"""Backend servers as one entry sees them: what it has running there, what others report, health."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable

from leadhollow.forward.engine_model import READING_SHARE, EngineDemand, EngineModel
from leadhollow.forward.health import Health
from leadhollow.membership.instances import Instance, InstanceState, InstanceTable, ServedVersion
from leadhollow.observe.logs import get_logger
from leadhollow.wire.generated.ttypes import LoadRecord

COUNTS_KEPT = 64
REPORT_VALID_S = 1.5
LATE_WEIGHT = 0.25  # of the newest first event in the running mean
LATE_HALF_LIFE_S = 2.0
USUAL_PATH_MS = 60  # between failure domains, with some pieces of weights in front
PACE_UNIT = 1000  # reports give the pace in thousandths

log = get_logger("board")


class OwnCall:
    """A request of this entry that runs at a backend server.

    Attributes
    ----------
    reading
        Whether no event has come yet, so that its prompt may still be read.
    """

    __slots__ = ("output_tokens", "placed_s", "predicted_ms", "prompt_tokens", "reading")

    def __init__(
        self, *, prompt_tokens: int, output_tokens: float, placed_s: float, predicted_ms: float
    ) -> None:
        self.prompt_tokens = prompt_tokens
        self.output_tokens = output_tokens
        self.placed_s = placed_s
        self.predicted_ms = predicted_ms
        self.reading = True


class Report:
    """Last report of an engine's load, and how many of our own it counted."""

    __slots__ = ("made_s", "own_then", "record")

    def __init__(self, *, record: LoadRecord, made_s: float, own_then: int) -> None:
        self.record = record
        self.made_s = made_s
        self.own_then = own_then

    @property
    def others(self) -> int:
        """Requests of other entries at the time of the report."""
        found = int(self.record.active or 0) + int(self.record.queued or 0)
        return max(0, found - self.own_then)


class Server:
    """One backend server.

    Parameters
    ----------
    instance
        What it last announced.
    """

    __slots__ = ("_counts", "_late_ms", "_late_s", "calls", "health", "instance", "report")

    def __init__(self, *, instance: Instance) -> None:
        self.instance = instance
        self.calls: set[OwnCall] = set()
        self.report: Report | None = None
        self.health = Health()
        self._counts: deque[tuple[float, int]] = deque(maxlen=COUNTS_KEPT)
        self._late_ms = 0.0
        self._late_s = 0.0

    @property
    def own(self) -> int:
        """Requests of this entry that run there."""
        return len(self.calls)

    def add(self, call: OwnCall) -> None:
        """Note a request that goes there."""
        self.calls.add(call)
        self._counts.append((call.placed_s, len(self.calls)))

    def remove(self, call: OwnCall, now_s: float) -> None:
        """Note that a request ended."""
        self.calls.discard(call)
        self._counts.append((now_s, len(self.calls)))

    def note_first_event(self, late_ms: float, now_s: float) -> None:
        """Note how much later than predicted a first event came; negative where sooner."""
        self._late_ms = self.late_ms(now_s) * (1 - LATE_WEIGHT) + late_ms * LATE_WEIGHT
        self._late_s = now_s

    def late_ms(self, now_s: float) -> float:
        """Give how much later than predicted first events come here lately.

        What was seen fades, so that a server is tried again.
        """
        fade: float = 0.5 ** ((now_s - self._late_s) / LATE_HALF_LIFE_S)
        return self._late_ms * fade

    def own_at(self, moment_s: float) -> int:
        """Give the requests of this entry that ran there at an earlier moment."""
        count = 0
        for changed_s, found in self._counts:
            if changed_s > moment_s:
                break
            count = found
        return count

    def take_report(self, record: LoadRecord, made_s: float) -> None:
        """Take a report of load, unless a newer one is known."""
        if self.report is None or made_s >= self.report.made_s:
            self.report = Report(record=record, made_s=made_s, own_then=self.own_at(made_s))

    def fresh_report(self, now_s: float) -> Report | None:
        """Give the last report, None where it is too old to go by."""
        if self.report is None or now_s - self.report.made_s > REPORT_VALID_S:
            return None
        return self.report

    def in_flight(self, now_s: float) -> int:
        """Estimate the requests of all entries that are there now."""
        report = self.fresh_report(now_s)
        return self.own + (0 if report is None else report.others)

    def switching(self, now_s: float) -> bool:
        """Tell whether the engine is about to change its weights."""
        report = self.fresh_report(now_s)
        return report is not None and bool(report.record.switching)

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

    def whole_version(self, model: str, layers: int, now_s: float) -> int | None:
        """Give the version of a model that the engine holds with all its layers."""
        for held in self.served(now_s):
            if held.model == model and held.first_layer == 0 and held.end_layer >= layers:
                return held.version
        return None

    def demand(self, model: EngineModel, now_s: float, unseen: float) -> EngineDemand:
        """Estimate what the engine has to do.

        Parameters
        ----------
        unseen
            Requests that other entries are thought to have sent there a second, and that the
            report does not count yet.
        """
        report = self.fresh_report(now_s)
        others = 0.0 if report is None else float(report.others)
        new_others = 0.0 if report is None else unseen * (now_s - report.made_s)
        unread = sum(call.prompt_tokens for call in self.calls if call.reading)
        unread_others = (others * READING_SHARE + new_others) * model.spec.usual_prompt_tokens
        others += new_others
        pace = 1.0
        if report is not None and report.record.pace_permille:
            pace = max(1.0, report.record.pace_permille / PACE_UNIT)
        requests = self.own + others
        return EngineDemand(
            requests=requests,
            unread_tokens=unread + unread_others,
            context_tokens=model.usual_context_tokens(min(requests, model.spec.slots)),
            pace=pace,
        )


class ServerBoard:
    """All backend servers that this entry may use.

    Parameters
    ----------
    table
        Backend servers as they announced themselves; its changes are followed.
    """

    __slots__ = ("_by_address", "_clock", "_listeners", "_servers", "_table")

    def __init__(self, *, table: InstanceTable, clock: Callable[[], float]) -> None:
        self._table = table
        self._clock = clock
        self._servers: dict[str, Server] = {}
        self._by_address: dict[str, Server] = {}
        self._listeners: list[Callable[[], None]] = []
        table.on_change(self._on_instance)

    def on_change(self, listener: Callable[[], None]) -> None:
        """Call a function when a place may have become free."""
        self._listeners.append(listener)

    def servers(self, service: str) -> list[Server]:
        """Give the backend servers of a service that take requests."""
        return [
            server
            for server in self._servers.values()
            if server.instance.service == service and server.instance.state is InstanceState.READY
        ]

    def server(self, instance: str) -> Server | None:
        """Find a backend server."""
        return self._servers.get(instance)

    def take_load(self, record: LoadRecord, made_s: float) -> None:
        """Take a report of load."""
        server = self._by_address.get(record.address)
        if server is not None:
            server.take_report(record, made_s)
            self.changed()

    def wrong_instance(self, instance: str) -> None:
        """Note that another incarnation runs at the address of this one."""
        log.warning("another backend server has the address", instance=instance)
        self._table.leave(instance)

    def changed(self) -> None:
        """Tell those who wait for a place."""
        for listener in self._listeners:
            listener()

    def tidy(self) -> None:
        """Drop backend servers that the table does not know any more."""
        for instance in list(self._servers):
            if self._table.get(instance) is None:
                self._drop(instance)

    def _on_instance(self, instance: Instance) -> None:
        if instance.state is InstanceState.GONE:
            self._drop(instance.instance)
        else:
            server = self._servers.get(instance.instance)
            if server is None:
                server = Server(instance=instance)
                self._servers[instance.instance] = server
                log.info(
                    "backend server found",
                    instance=instance.instance,
                    address=instance.address,
                    service=instance.service,
                )
            previous = self._by_address.get(instance.address)
            if previous is not None and previous is not server:
                self._drop(previous.instance.instance)
            server.instance = instance
            self._by_address[instance.address] = server
        self.changed()

    def _drop(self, instance: str) -> None:
        server = self._servers.pop(instance, None)
        if server is None:
            return
        log.info("backend server dropped", instance=instance, own_calls=server.own)
        if self._by_address.get(server.instance.address) is server:
            del self._by_address[server.instance.address]


__all__ = ["OwnCall", "Report", "Server", "ServerBoard"]
