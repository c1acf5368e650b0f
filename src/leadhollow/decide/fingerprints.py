"""Fingerprints of whole requests, and of the parts of prompts that several requests share.

A fingerprint of a part ends with a tag. One of a request has none, so that verdicts that were
stored before there were tags still apply.
"""

from __future__ import annotations

from collections.abc import Hashable, Iterable, Sequence
from enum import Enum
from typing import TypeVar

from blake3 import blake3

FINGERPRINT_BYTES = 16  # 1.5e-21 is the probability of any collision in a billion requests
PART_TAG = b"part"
SHORT_FINGERPRINT_CHARACTERS = 12

MAX_PARTS = 32
"""Parts of one prompt that get a fingerprint, from the first on. The size of a request alone would
allow thousands."""


Part = TypeVar("Part", bound=Hashable)


class FingerprintKind(Enum):
    """What a fingerprint is of."""

    REQUEST = "request"
    PART = "part"


def request_fingerprint(fields: Iterable[bytes], body: bytes) -> bytes:
    """Return the fingerprint of a request.

    Parameters
    ----------
    fields
        What tells it from others besides its body, such as method and target.
    """
    return _digest(fields, body, FINGERPRINT_BYTES)


def part_fingerprint(fields: Iterable[bytes], content: bytes) -> bytes:
    """Return the fingerprint of a part of a prompt.

    Parameters
    ----------
    fields
        What tells it from others besides its content, such as its model.
    """
    return _digest(fields, content, FINGERPRINT_BYTES - len(PART_TAG)) + PART_TAG


def shared_parts(parts: Sequence[Part]) -> list[Part]:
    """Return the parts of a prompt that other prompts may share, each once.

    The last one belongs to one request or session, whose own fingerprint stands for it.
    """
    return list(dict.fromkeys(parts[:-1][:MAX_PARTS]))


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


def _digest(fields: Iterable[bytes], content: bytes, size_bytes: int) -> bytes:
    digest = blake3()
    for field in fields:
        digest.update(b"%d:" % len(field))
        digest.update(field)
    digest.update(content)
    return digest.digest(size_bytes)


__all__ = [
    "FINGERPRINT_BYTES",
    "MAX_PARTS",
    "PART_TAG",
    "FingerprintKind",
    "count_requests",
    "kind_of",
    "part_fingerprint",
    "request_fingerprint",
    "shared_parts",
    "short_fingerprint",
]
