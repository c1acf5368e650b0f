"""HTTP client of the engine on the same VM."""

from __future__ import annotations

from collections.abc import Callable

from result import Err, Ok, Result

from leadhollow.codes import Code
from leadhollow.failure import Failure
from leadhollow.http1.fetch import HttpFetcher, HttpResponse, Reuse
from leadhollow.observe.logs import get_logger
from leadhollow.settings.address import Address
from leadhollow.staging.engine_dialect import EngineDialect, EngineReport, LoadOrder

REPORT_TIMEOUT_S = 0.5
STAGE_TIMEOUT_S = 2.0
ORDER_TIMEOUT_S = 1.0
MAX_ANSWER_BYTES = 256 * 1024  # of a report, a list, or what is said of an order or a write
MAX_PIECE_BYTES = 16 * 1024 * 1024
ACCEPTED_STATUSES = (200, 202)
FAILED_STATUSES = (500, 502, 504)  # do not tell whether the engine acted on the request

log = get_logger("engine")


class LocalEngine:
    """The engine beside this process."""

    __slots__ = ("_address", "_dialect", "_http", "_newest_report")

    def __init__(self, *, address: Address, dialect: EngineDialect) -> None:
        self._address = address
        self._dialect = dialect
        self._http = HttpFetcher(connect_timeout_s=REPORT_TIMEOUT_S)
        self._newest_report = (0, 0)

    async def report(self) -> Result[EngineReport, Failure]:
        """Request the engine's report.

        A report that is older than a known one is that of an earlier request, unless it is the
        first on its connection. Then the engine has started again.
        """
        target = self._dialect.report_target()
        result = await self._fetch(
            "GET", target, REPORT_TIMEOUT_S, reuse=Reuse.ANY, may_be_own=self._is_no_older
        )
        if result.is_err():
            return Err(result.unwrap_err())
        parsed = self._parse_report(result.unwrap())
        if parsed.is_ok():
            self._newest_report = _age(parsed.unwrap())
        return parsed

    async def stage_piece(self, model: str, index: int, data: bytes) -> Result[None, Failure]:
        """Write a piece to the stage."""
        target = self._dialect.stage_piece_target(model, index)
        result = await self._fetch("PUT", target, STAGE_TIMEOUT_S, body=data)
        return Ok(None) if result.is_ok() else Err(result.unwrap_err())

    async def read_staged_piece(self, model: str, index: int) -> Result[bytes, Failure]:
        """Read a staged piece back."""
        target = self._dialect.staged_piece_target(model, index)
        result = await self._fetch(
            "GET", target, STAGE_TIMEOUT_S, max_response_bytes=MAX_PIECE_BYTES
        )
        return Ok(result.unwrap().body) if result.is_ok() else Err(result.unwrap_err())

    async def list_staged(self, model: str) -> Result[list[int], Failure]:
        """List the staged pieces."""
        result = await self._fetch("GET", self._dialect.staged_list_target(model), STAGE_TIMEOUT_S)
        if result.is_err():
            return Err(result.unwrap_err())
        return self._dialect.parse_staged_list(result.unwrap().body)

    async def order_load(
        self, order: LoadOrder, may_send: Callable[[], bool]
    ) -> Result[None, Failure]:
        """Order the engine to load, on a connection that carries nothing else.

        Parameters
        ----------
        may_send
            Called immediately before the order is written.

        Errors
        ------
        LOAD_REFUSED
            The engine refused the order.
        PEER_ABSENT, SERVER_RESTS, NOT_SENT
            The order was not sent.

        After any other failure, the engine may have accepted the order, or accept it later.
        """
        result = await self._fetch(
            "POST",
            self._dialect.order_target(),
            ORDER_TIMEOUT_S,
            body=self._dialect.encode_order(order),
            may_send=may_send,
            reuse=Reuse.NEVER,
        )
        return Ok(None) if result.is_ok() else Err(result.unwrap_err())

    def clear_backoff(self) -> None:
        """Clear the back-off of the engine after it restarted."""
        self._http.clear_backoff(self._address)

    def close(self) -> None:
        """Close idle connections."""
        self._http.close()

    def _is_no_older(self, response: HttpResponse) -> bool:
        """Return whether a response is a failure, or a report that is no older than known ones."""
        if response.status not in ACCEPTED_STATUSES:
            return True
        parsed = self._parse_report(response)
        return parsed.is_ok() and _age(parsed.unwrap()) >= self._newest_report

    def _parse_report(self, response: HttpResponse) -> Result[EngineReport, Failure]:
        return self._dialect.parse_report(response.head, response.body)

    async def _fetch(
        self,
        method: str,
        target: str,
        timeout_s: float,
        *,
        body: bytes = b"",
        may_send: Callable[[], bool] | None = None,
        reuse: Reuse = Reuse.OTHER_TARGETS,
        may_be_own: Callable[[HttpResponse], bool] = lambda response: True,
        max_response_bytes: int = MAX_ANSWER_BYTES,
    ) -> Result[HttpResponse, Failure]:
        result = await self._http.fetch(
            method,
            self._address,
            target,
            timeout_s=timeout_s,
            body=body,
            may_send=may_send,
            reuse=reuse,
            may_be_own=may_be_own,
            max_response_bytes=max_response_bytes,
        )
        if result.is_err():
            return result
        response = result.unwrap()
        if response.status not in ACCEPTED_STATUSES:
            detail = f"{method} {target}: status {response.status}: {response.body[:200]!r}"
            failed = response.status in FAILED_STATUSES
            return Err(
                Failure(code=Code.ENGINE_FAILED if failed else Code.LOAD_REFUSED, detail=detail)
            )
        return Ok(response)


def _age(report: EngineReport) -> tuple[int, int]:
    """Return when the engine started, and how many orders it has begun since."""
    return report.born_ms, report.sequence


__all__ = ["LocalEngine"]
