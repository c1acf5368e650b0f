"""Handles self-reports of backend servers in responses: that they are leaving or want a back-off.

A self-report takes effect at once at the entry that reads it, whatever control replicas have sent.
The entry also sends it to the control replica that it follows, which relays it to all entries. When
a server is leaving, no entry sends to it any more; when it backs off, other entries prefer other
servers.
"""

from __future__ import annotations

import random
from collections import OrderedDict
from typing import Protocol

from leadhollow.codes import Code
from leadhollow.decide.server import Server
from leadhollow.decide.server_backoff import ServerBackoff
from leadhollow.decide.server_load import OwnCall
from leadhollow.failure import Failure
from leadhollow.forward.dialect import ResponseMetadata
from leadhollow.forward.server_directory import ServerDirectory
from leadhollow.kernel import clocks
from leadhollow.kernel.batching_service import BatchingService
from leadhollow.membership.control_feed import BackoffListener, FullUpdateListener
from leadhollow.membership.self_reports import backoff_report, leaving_report
from leadhollow.observe.logs import get_logger
from leadhollow.wire.generated.ttypes import ServerWord, ServerWords
from leadhollow.wire.peers import PeerPool

BATCH_WINDOW_S = 0.002
REFRESH_S = 1.0  # between repeated reports of leaving servers
MAX_LOGGED = 256  # log lines remembered; one that is forgotten may be logged again
LOG_INTERVAL_S = 1.0  # minimum between log lines about back-offs of the same server

log = get_logger("self-reports")


class SelfReportFeed(Protocol):
    """Feed of a control replica that relays the self-reports that other entries read."""

    @property
    def source(self) -> str:
        """Address of the followed replica; empty while there is none."""
        ...

    def on_full_update(self, listener: FullUpdateListener) -> None:
        """Call a function each time a replica has sent a full update."""
        ...

    def on_backoffs(self, listener: BackoffListener) -> None:
        """Call a function with back-offs that backend servers requested from other entries."""
        ...


class SelfReports(BatchingService):
    """Applies self-reports of backend servers and sends them to the followed control replica."""

    __slots__ = (
        "_directory",
        "_feed",
        "_leaving",
        "_log_times_s",
        "_peers",
        "_random",
        "_unpublished_backoffs",
    )

    def __init__(
        self, *, directory: ServerDirectory, feed: SelfReportFeed, peers: PeerPool, seed: int
    ) -> None:
        self._directory = directory
        self._random = random.Random(seed)
        self._feed = feed
        self._peers = peers
        self._leaving: set[str] = set()  # lives that reported it to this entry
        self._unpublished_backoffs: dict[str, float] = {}  # end of each, by life
        self._log_times_s: OrderedDict[tuple[str, str], float] = OrderedDict()
        super().__init__(batch_window_s=BATCH_WINDOW_S, refresh_s=REFRESH_S)
        feed.on_full_update(self._on_full_update)
        feed.on_backoffs(self._on_peer_backoffs)

    def needs_refresh(self) -> bool:
        """Return whether any known server is leaving."""
        return bool(self._leaving)

    def record_response(
        self,
        server: Server,
        metadata: ResponseMetadata,
        *,
        sent_s: float | None,
        call: OwnCall | None,
    ) -> None:
        """Record what a response says about its server, or about the instance that it names."""
        if metadata.instance not in (None, server.instance.instance):
            named = self._directory.server(metadata.instance or "")
            if named is None:
                return
            server = named
        if not metadata.leaving and metadata.rest_s is None and not metadata.rest_malformed:
            if server.backoff is not None and server.backoff.ended_by(call):
                self._end_backoff(server)
            return
        if metadata.leaving:
            self._record_leaving(server)
        if metadata.rest_malformed:
            failure = Failure(code=Code.REST_MALFORMED)
            self._log_once(server, "rest not taken", failure=str(failure))
        if metadata.rest_s:
            self._record_backoff(server, metadata.rest_s)

    def _record_backoff(self, server: Server, rest_s: float) -> None:
        backoff = self._backoff_of(server)
        if backoff.extend(rest_s):
            self._log_backoff(server, rest_s)
            self._directory.notify_change()
            self._unpublished_backoffs[server.instance.life] = backoff.until_s
            self.note_change()

    def _on_peer_backoffs(self, reports: list[ServerWord]) -> None:
        """Apply back-offs that servers requested from other entries."""
        for report in reports:
            server = self._directory.server_by_life(report.life or "")
            if server is not None:
                self._backoff_of(server).record_peer_backoff(max(0, report.rest_ms or 0) / 1000)
        self._directory.notify_change()

    def _backoff_of(self, server: Server) -> ServerBackoff:
        if server.backoff is None:
            server.backoff = ServerBackoff(clock=clocks.elapsed_s, source=self._random)
        return server.backoff

    def _end_backoff(self, server: Server) -> None:
        server.backoff = None
        log.info("server takes requests again", **_log_fields(server))
        self._directory.notify_change()

    def _record_leaving(self, server: Server) -> None:
        life = server.instance.life
        if life in self._leaving or self._directory.server_by_life(life) is None:
            return
        self._log_once(server, "server leaves")
        self._leaving.add(life)
        self._directory.record_leaving(server)
        self.note_change()

    def _on_full_update(self) -> None:
        """Report leaving servers to a replica that may not know of them."""
        if self._leaving:
            self.note_change()

    async def _publish(self, *, whole: bool) -> None:
        self._leaving = {
            life for life in self._leaving if self._directory.server_by_life(life) is not None
        }
        source = self._feed.source
        if not (self._leaving or self._unpublished_backoffs) or not source:
            return
        connected = await self._peers.connection(source)
        if connected.is_err():
            log.warning("self-reports not sent", failure=str(connected.unwrap_err()))
            return
        connected.unwrap().oneway(ServerWords("", self._pending_reports()))

    def _pending_reports(self) -> list[ServerWord]:
        """Return the self-reports to send; each back-off is sent once."""
        backoffs, self._unpublished_backoffs = self._unpublished_backoffs, {}
        now_s = clocks.elapsed_s()
        reports = [leaving_report(life) for life in sorted(self._leaving)]
        reports += [
            backoff_report(life, end_s - now_s) for life, end_s in backoffs.items() if end_s > now_s
        ]
        return reports

    def _log_once(self, server: Server, message: str, **fields: object) -> None:
        """Log a message once per life of a server."""
        if self._last_logged_s(server, message) is None:
            log.info(message, **_log_fields(server), **fields)

    def _log_backoff(self, server: Server, rest_s: float) -> None:
        message = "server wants rest"
        last_s = self._last_logged_s(server, message)
        now_s = clocks.elapsed_s()
        if last_s is None or now_s - last_s > LOG_INTERVAL_S:
            self._log_times_s[server.instance.life, message] = now_s
            log.info(message, **_log_fields(server), rest_s=rest_s)

    def _last_logged_s(self, server: Server, message: str) -> float | None:
        """Return when a message was last logged for a life; if never, record it and return None."""
        key = (server.instance.life, message)
        last_s = self._log_times_s.get(key)
        if last_s is None:
            self._log_times_s[key] = clocks.elapsed_s()
            while len(self._log_times_s) > MAX_LOGGED:
                self._log_times_s.popitem(last=False)
        return last_s


def _log_fields(server: Server) -> dict[str, object]:
    instance = server.instance
    return {
        "instance": instance.instance,
        "address": instance.address,
        "service": instance.service,
        "known_state": instance.state.name.lower(),
    }


__all__ = ["SelfReportFeed", "SelfReports"]
