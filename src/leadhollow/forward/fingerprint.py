"""Computes the fingerprints by which requests, and parts of their prompts, are recognised."""

from __future__ import annotations

from collections.abc import Sequence
from functools import lru_cache

from leadhollow.decide.fingerprints import part_fingerprint, request_fingerprint, shared_parts
from leadhollow.forward.request_body import RequestBody
from leadhollow.http1.messages import RequestHead

CACHED_PARTS = 4_096
MAX_CACHED_CHARACTERS = 96
"""Bounds of the cache of fingerprints of parts, which most requests share: about 1 MB."""


def fingerprint_of(head: RequestHead, body: RequestBody, *, organisation: str) -> bytes:
    """Return the digest of a request's method, target, caller and body.

    Of a body that is too long to be buffered, the digest covers only the buffered beginning and the
    declared length: whether a request may be sent must be known before all of it has arrived.

    Parameters
    ----------
    organisation
        Group of the caller, empty on a public route. Its keys may change between attempts.
    """
    fields = (head.method, head.target, organisation.encode(), b"%d" % (body.length or 0))
    return request_fingerprint(fields, body.beginning)


def part_fingerprints(prefix_ids: Sequence[str], *, model: str) -> tuple[bytes, ...]:
    """Return the fingerprints of the prompt parts that requests may share, each once.

    Callers of all groups and routes share a part if they use the same model.
    """
    return tuple(_of_part(part, model) for part in shared_parts(prefix_ids))


def _of_part(part: str, model: str) -> bytes:
    if len(part) + len(model) <= MAX_CACHED_CHARACTERS:
        return _cached(part, model)
    return _compute(part, model)


def _compute(part: str, model: str) -> bytes:
    return part_fingerprint((model.encode(),), part.encode())


_cached = lru_cache(maxsize=CACHED_PARTS)(_compute)


__all__ = [
    "fingerprint_of",
    "part_fingerprints",
]
