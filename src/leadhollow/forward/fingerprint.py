"""Computes the fingerprints by which requests, and parts of their prompts, are recognised."""

from __future__ import annotations

from collections.abc import Iterable
from functools import lru_cache

from blake3 import blake3

from leadhollow.decide.fingerprint_kind import FINGERPRINT_BYTES, MAX_PARTS, PART_TAG
from leadhollow.forward.request_body import RequestBody
from leadhollow.http1.messages import RequestHead

PART_DIGEST_BYTES = FINGERPRINT_BYTES - len(PART_TAG)

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
    parts = (head.method, head.target, organisation.encode(), b"%d" % (body.length or 0))
    digest = blake3()
    for part in parts:
        digest.update(b"%d:" % len(part))
        digest.update(part)
    digest.update(body.buffered)
    return digest.digest(FINGERPRINT_BYTES)


def part_fingerprints(prefix_ids: Iterable[str], *, model: str) -> tuple[bytes, ...]:
    """Return the fingerprints of the prompt parts that requests may share, each once.

    The last part of a prompt belongs to one request or session, so the fingerprint of the request
    stands for it. Callers of all groups and routes share a part if they use the same model.
    """
    shared = list(prefix_ids)[:-1]
    return tuple(_part_fingerprint(part, model) for part in dict.fromkeys(shared[:MAX_PARTS]))


def _part_fingerprint(part: str, model: str) -> bytes:
    if len(part) + len(model) <= MAX_CACHED_CHARACTERS:
        return _cached_digest(part, model)
    return _digest(part, model)


def _digest(part: str, model: str) -> bytes:
    named = b"%d:%b%b" % (len(model), model.encode(), part.encode())
    return blake3(named).digest(PART_DIGEST_BYTES) + PART_TAG


_cached_digest = lru_cache(maxsize=CACHED_PARTS)(_digest)


__all__ = [
    "fingerprint_of",
    "part_fingerprints",
]
