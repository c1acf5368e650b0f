"""What makes two requests the same one, whatever attempt ids their caller gives them."""

from __future__ import annotations

from blake3 import blake3

from leadhollow.forward.request_body import RequestBody
from leadhollow.http1.messages import RequestHead

FINGERPRINT_BYTES = 16  # of a billion requests two agree by chance with a probability of 1.5e-21
SHOWN_CHARACTERS = 12  # in log lines; as many as a person compares


def fingerprint_of(head: RequestHead, body: RequestBody, *, organisation: str) -> bytes:
    """Give the digest of a request's method, target, caller and body.

    Of a body that is too long to be kept, what arrived first and its length stand for all of it:
    whether a request may be sent has to be known before its end.

    Parameters
    ----------
    organisation
        Group of the caller, empty on a public route. Its keys may change meanwhile.
    """
    parts = (head.method, head.target, organisation.encode(), b"%d" % (body.length or 0))
    digest = blake3()
    for part in parts:
        digest.update(b"%d:" % len(part))
        digest.update(part)
    digest.update(body.buffered)
    return digest.digest(FINGERPRINT_BYTES)


def short_fingerprint(fingerprint: bytes) -> str:
    """Give a fingerprint as log lines and commands show it."""
    return fingerprint.hex()[:SHOWN_CHARACTERS]


__all__ = ["FINGERPRINT_BYTES", "fingerprint_of", "short_fingerprint"]
