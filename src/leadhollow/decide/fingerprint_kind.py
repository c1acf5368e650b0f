"""What a fingerprint is of: a whole request, or a part of a prompt that several requests share.

A fingerprint of a part ends with a tag. One of a request has none, so that verdicts that were
stored before there were tags still apply.
"""

from __future__ import annotations

from collections.abc import Iterable
from enum import Enum

FINGERPRINT_BYTES = 16  # 1.5e-21 is the probability of any collision in a billion requests
PART_TAG = b"part"
SHORT_FINGERPRINT_CHARACTERS = 12

MAX_PARTS = 32
"""Parts of one prompt that get a fingerprint, from the first on. The size of a request alone would
allow thousands."""


class FingerprintKind(Enum):
    """What a fingerprint is of."""

    REQUEST = "request"
    PART = "part"


def kind_of(fingerprint: bytes) -> FingerprintKind:
    """Return what a fingerprint is of."""
    return FingerprintKind.PART if fingerprint.endswith(PART_TAG) else FingerprintKind.REQUEST


def count_requests(fingerprints: Iterable[bytes], *, besides: bytes = b"") -> int:
    """Return how many fingerprints are of requests, without counting the given one."""
    return sum(
        1
        for fingerprint in fingerprints
        if fingerprint != besides and kind_of(fingerprint) is FingerprintKind.REQUEST
    )


def short_fingerprint(fingerprint: bytes) -> str:
    """Return the prefix of a fingerprint that log lines and commands print."""
    return fingerprint.hex()[:SHORT_FINGERPRINT_CHARACTERS]


__all__ = [
    "FINGERPRINT_BYTES",
    "MAX_PARTS",
    "PART_TAG",
    "FingerprintKind",
    "count_requests",
    "kind_of",
    "short_fingerprint",
]
