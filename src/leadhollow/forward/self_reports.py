"""What backend servers say of themselves in their answers: that they leave, or want rest."""

from __future__ import annotations

from collections import OrderedDict

from leadhollow.codes import Code
from leadhollow.decide.server import Server
from leadhollow.failure import Failure
from leadhollow.forward.board import ServerBoard
from leadhollow.forward.dialect import AnswerFacts
from leadhollow.kernel import clocks
from leadhollow.observe.logs import get_logger

MOST_LOGGED = 256  # lives of servers; of one that is dropped from these, a line may come twice
LOG_PAUSE_S = 1.0  # between two lines on rests of the same server

log = get_logger("self-reports")


class SelfReports:
    """Takes what the answers of backend servers say of these."""

    __slots__ = ("_board", "_logged_s")

    def __init__(self, *, board: ServerBoard) -> None:
        self._board = board
        self._logged_s: OrderedDict[tuple[str, str], float] = OrderedDict()

    def note_answer(self, server: Server, facts: AnswerFacts, *, sent_s: float | None) -> None:
        """Take what an answer says of its server, or of the one that it names."""
        if not facts.leaving and facts.rest_s is None and not facts.rest_malformed:
            return
        if facts.instance not in (None, server.instance.instance):
            named = self._board.server(facts.instance or "")
            if named is None:
                return
            server = named
        if facts.leaving:
            self._log_once(server, "server leaves")
        if facts.rest_malformed:
            failure = Failure(code=Code.REST_MALFORMED)
            self._log_once(server, "rest not taken", failure=str(failure))
        if facts.rest_s is not None:
            self._log_rest(server, facts.rest_s)

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


__all__ = ["SelfReports"]
