"""Wire encoding of backend servers' rate limits and of entries' requests for shares of them.

Times are sent as ages, because clocks of machines differ. A request for shares also carries the
time of its entry's own clock, from which the lease counts.
"""

from __future__ import annotations

import math
from collections.abc import Iterable

from result import Err, Ok, Result

from leadhollow.codes import Code
from leadhollow.decide.limit_table import MAX_LIMITS, NEVER_S, ServerLimit
from leadhollow.decide.share_allocator import EntryDemand
from leadhollow.failure import Failure
from leadhollow.wire.generated.ttypes import (
    LimitNews,
    LimitRecord,
    ServiceRate,
    ShareRequest,
)

MAX_REQUESTS = 4_096  # per message; an entry sends one, a replica those of its entries
NEVER_MS = -1


def encode_limits(limits: Iterable[ServerLimit], now_s: float) -> list[LimitRecord]:
    """Encode rate limits, with times as ages at ``now_s``."""
    return [
        LimitRecord(
            limit.life,
            limit.per_s,
            _age_ms(limit.advertised_s, now_s),
            NEVER_MS if limit.lifted_s == NEVER_S else _age_ms(limit.lifted_s, now_s),
        )
        for limit in limits
    ]


def decode_limits(news: LimitNews, now_s: float) -> Result[list[ServerLimit], Failure]:
    """Decode the rate limits of a message.

    Errors
    ------
    FRAME_MALFORMED
        A limit has no life or no valid rate, or there are more than a table keeps.
    """
    records = news.limits or ()
    if len(records) > MAX_LIMITS:
        return Err(_malformed(f"{len(records)} limits"))
    for record in records:
        if not record.life:
            return Err(_malformed("a limit without a life"))
        if record.per_s is None or not 0 <= record.per_s < math.inf:
            return Err(_malformed(f"a limit of {record.per_s} a second"))
    return Ok([_decode_limit(record, now_s) for record in records])


def encode_request(demand: EntryDemand, *, asked_ms: int) -> ShareRequest:
    """Encode an entry's request for shares."""
    rates = [ServiceRate(service, per_s) for service, per_s in sorted(demand.per_s.items())]
    return ShareRequest(demand.vm, demand.failure_domain, asked_ms, rates)


def decode_request(request: ShareRequest, now_s: float) -> Result[EntryDemand, Failure]:
    """Decode an entry's request for shares.

    Errors
    ------
    FRAME_MALFORMED
        The entry's name is missing, or a demand is not a valid rate.
    """
    if not request.vm:
        return Err(_malformed("a request for shares without an entry"))
    rates = {rate.service_name: rate.per_s for rate in request.demand or ()}
    if any(per_s is None or not 0 <= per_s < math.inf for per_s in rates.values()):
        return Err(_malformed(f"demand of {request.vm}"))
    return Ok(
        EntryDemand(
            vm=request.vm,
            failure_domain=request.failure_domain or "",
            per_s=rates,
            heard_s=now_s,
        )
    )


def _decode_limit(record: LimitRecord, now_s: float) -> ServerLimit:
    lifted_ms = NEVER_MS if record.lifted_age_ms is None else record.lifted_age_ms
    return ServerLimit(
        life=record.life,
        per_s=record.per_s,
        advertised_s=now_s - max(0, record.named_age_ms or 0) / 1000,
        lifted_s=NEVER_S if lifted_ms < 0 else now_s - lifted_ms / 1000,
    )


def _age_ms(time_s: float, now_s: float) -> int:
    return max(0, round((now_s - time_s) * 1000))


def _malformed(detail: str) -> Failure:
    return Failure(code=Code.FRAME_MALFORMED, detail=f"news of limits: {detail}")


__all__ = [
    "MAX_REQUESTS",
    "decode_limits",
    "decode_request",
    "encode_limits",
    "encode_request",
]
