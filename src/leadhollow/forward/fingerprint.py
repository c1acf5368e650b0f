"""Computes the fingerprint that all attempts of the same request share."""

from __future__ import annotations

from blake3 import blake3

from leadhollow.forward.request_body import RequestBody
from leadhollow.http1.messages import RequestHead

FINGERPRINT_BYTES = 16  # 1.5e-21 is the probability of any collision in a billion requests
SHORT_FINGERPRINT_CHARACTERS = 12


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


def short_fingerprint(fingerprint: bytes) -> str:
    """Return the prefix of a fingerprint that log lines and commands print."""
    return fingerprint.hex()[:SHORT_FINGERPRINT_CHARACTERS]


__all__ = ["FINGERPRINT_BYTES", "fingerprint_of", "short_fingerprint"]
