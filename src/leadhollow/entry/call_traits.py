"""Fingerprints of a call behind gates, and of the messages that it shares with other calls."""

from __future__ import annotations

from collections.abc import Iterable

from blake3 import blake3

from leadhollow.decide.fingerprint_kind import FINGERPRINT_BYTES, MAX_PARTS, PART_TAG


def call_fingerprint(*, group: str, method: str, target: str, body: bytes) -> bytes:
    """Return the digest that all attempts at the same call share.

    Parameters
    ----------
    target
        Model or service, and path.
    """
    return _digest((method, target, group), body, FINGERPRINT_BYTES)


def message_fingerprints(messages: Iterable[tuple[str, str]], *, model: str) -> tuple[bytes, ...]:
    """Return the fingerprints of the messages that calls may share, each once.

    The last message of a conversation belongs to the call, whose own fingerprint stands for it.

    Parameters
    ----------
    messages
        Role and content of each message.
    """
    shared = dict.fromkeys(list(messages)[:-1][:MAX_PARTS])
    size = FINGERPRINT_BYTES - len(PART_TAG)
    return tuple(
        _digest((model, role), content.encode(), size) + PART_TAG for role, content in shared
    )


def _digest(names: Iterable[str], body: bytes, size: int) -> bytes:
    digest = blake3()
    for name in names:
        encoded = name.encode()
        digest.update(b"%d:%b" % (len(encoded), encoded))
    digest.update(body)
    return digest.digest(size)


__all__ = ["call_fingerprint", "message_fingerprints"]
