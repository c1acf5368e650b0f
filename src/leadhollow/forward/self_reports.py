"""What backend servers say of themselves in their answers: that they leave, or want rest.

Such a word counts at once at the entry that reads it, whatever control has told. It is told to the
control replica that is followed, and through it to all: that a server leaves binds every entry, a
rest makes others prefer other servers.
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

GATHER_S = 0.002
REFRESH_S = 1.0  # how often it is told again who leaves
MOST_LOGGED = 256  # lives of servers; of one that is dropped from these, a line may come twice
LOG_PAUSE_S = 1.0  # between two lines on rests of the same server

log = get_logger("self-reports")


class RestFeed(Protocol):
    """What is heard of other entries through control."""

    @property
    def source(self) -> str:
        """Address of the replica that is followed, empty while there is none."""
        ...

    def on_full_update(self, listener: FullUpdateListener) -> None:
        """Call a function each time that a replica has told everything."""
        ...

    def on_backoffs(self, listener: BackoffListener) -> None:
        """Call a function with rests that backend servers asked of other entries."""
        ...


class SelfReports(BatchingService):
    """Takes what the answers of backend servers say of these."""

    __slots__ = (
        "_board",
        "_feed",
        "_leaving",
        "_logged_s",
        "_peers",
        "_random",
        "_rests",
    )

    def __init__(
        self, *, directory: ServerDirectory, feed: RestFeed, peers: PeerPool, seed: int
    ) -> None:
        self._board = directory
        self._random = random.Random(seed)
        self._feed = feed
        self._peers = peers
        self._leaving: set[str] = set()  # lives that said so here
        self._rests: dict[str, float] = {}  # ends by life, of those that nobody was told of yet
        self._logged_s: OrderedDict[tuple[str, str], float] = OrderedDict()
        super().__init__(batch_window_s=GATHER_S, refresh_s=REFRESH_S)
        feed.on_full_update(self._on_followed)
        feed.on_backoffs(self._on_rests)

    def needs_refresh(self) -> bool:
        """Tell whether any server that is known said that it leaves."""
        return bool(self._leaving)

    def record_response(
        self,
        server: Server,
        facts: ResponseMetadata,
        *,
        sent_s: float | None,
        call: OwnCall | None,
    ) -> None:
        """Take what an answer says of its server, or of the one that it names."""
        if facts.instance not in (None, server.instance.instance):
            named = self._board.server(facts.instance or "")
            if named is None:
                return
            server = named
        if not facts.leaving and facts.rest_s is None and not facts.rest_malformed:
            if server.backoff is not None and server.backoff.ended_by(call):
                self._end_rest(server)
            return
        if facts.leaving:
            self._note_leaving(server)
        if facts.rest_malformed:
            failure = Failure(code=Code.REST_MALFORMED)
            self._log_once(server, "rest not taken", failure=str(failure))
        if facts.rest_s:
            self._note_rest(server, facts.rest_s)

    def _note_rest(self, server: Server, rest_s: float) -> None:
        rest = self._rest_of(server)
        if rest.extend(rest_s):
            self._log_rest(server, rest_s)
            self._board.notify_change()
            self._rests[server.instance.life] = rest.until_s
            self.note_change()

    def _on_rests(self, words: list[ServerWord]) -> None:
        """Take rests that were asked of other entries."""
        for word in words:
            server = self._board.server_by_life(word.life or "")
            if server is not None:
                self._rest_of(server).record_peer_backoff(max(0, word.rest_ms or 0) / 1000)
        self._board.notify_change()

    def _rest_of(self, server: Server) -> ServerBackoff:
        if server.backoff is None:
            server.backoff = ServerBackoff(clock=clocks.elapsed_s, source=self._random)
        return server.backoff

    def _end_rest(self, server: Server) -> None:
        server.backoff = None
        log.info("server takes requests again", **_named(server))
        self._board.notify_change()

    def _note_leaving(self, server: Server) -> None:
        life = server.instance.life
        if life in self._leaving or self._board.server_by_life(life) is None:
            return
        self._log_once(server, "server leaves")
        self._leaving.add(life)
        self._board.record_leaving(server)
        self.note_change()

    def _on_followed(self) -> None:
        """Tell a replica that may know nothing of it."""
        if self._leaving:
            self.note_change()

    async def _publish(self, *, whole: bool) -> None:
        self._leaving = {
            life for life in self._leaving if self._board.server_by_life(life) is not None
        }
        source = self._feed.source
        if not (self._leaving or self._rests) or not source:
            return
        connected = await self._peers.connection(source)
        if connected.is_err():
            log.warning("self-reports not told", failure=str(connected.unwrap_err()))
            return
        connected.unwrap().oneway(ServerWords("", self._words()))

    def _words(self) -> list[ServerWord]:
        """Give what is to be told; each rest once."""
        rests, self._rests = self._rests, {}
        now_s = clocks.elapsed_s()
        words = [leaving_report(life) for life in sorted(self._leaving)]
        words += [
            backoff_report(life, end_s - now_s) for life, end_s in rests.items() if end_s > now_s
        ]
        return words

    def _log_once(self, server: Server, message: str, **fields: object) -> None:
        """Log what holds for a whole life."""
        if self._logged(server, message) is None:
            log.info(message, **_named(server), **fields)

    def _log_rest(self, server: Server, rest_s: float) -> None:
        message = "server wants rest"
        last_s = self._logged(server, message)
        now_s = clocks.elapsed_s()
        if last_s is None or now_s - last_s > LOG_PAUSE_S:
            self._logged_s[server.instance.life, message] = now_s
            log.info(message, **_named(server), rest_s=rest_s)

    def _logged(self, server: Server, message: str) -> float | None:
        """Give when a line was last logged of a life, None where it was not; notes it then."""
        key = (server.instance.life, message)
        last_s = self._logged_s.get(key)
        if last_s is None:
            self._logged_s[key] = clocks.elapsed_s()
            while len(self._logged_s) > MOST_LOGGED:
                self._logged_s.popitem(last=False)
        return last_s


def _named(server: Server) -> dict[str, object]:
    instance = server.instance
    return {
        "instance": instance.instance,
        "address": instance.address,
        "service": instance.service,
        "known_state": instance.state.name.lower(),
    }


__all__ = ["RestFeed", "SelfReports"]
