"""Logging of message fields that this software does not decode."""

from __future__ import annotations

from collections.abc import Iterable

from leadhollow.http1.headers import Headers
from leadhollow.observe.logs import get_logger

MAX_NAMES = 64
"""Most names remembered per kind of message, so a sender cannot flood the logs."""

MAX_LOGGED_CHARACTERS = 64

log = get_logger("fields")


class UnknownFields:
    """Logs each unknown field of one kind of message once.

    Parameters
    ----------
    message
        Kind of message, as named in the log.
    known
        Names that are decoded, or ignored on purpose; in lower case for headers.
    unusual
        Known names that few messages have.

    Attributes
    ----------
    reported
        Unknown names that were logged.
    """

    __slots__ = ("_known", "_message", "_seen", "_unusual", "reported")

    def __init__(self, *, message: str, known: Iterable[str], unusual: Iterable[str] = ()) -> None:
        self._message = message
        self._unusual = frozenset(unusual)
        self._known = frozenset(known)
        self._seen: set[str | bytes] = set()
        self.reported: set[str] = set()

    def check_headers(self, headers: Headers, *, sender: str) -> bool:
        """Report unknown header fields; return False if the message has only usual ones."""
        seen = self._seen
        unusual = [name for name, _ in headers if name not in seen]
        for name in unusual:
            self._check(name, name.decode("latin-1").lower(), sender)
        return bool(unusual)

    def check_members(self, names: Iterable[str], *, sender: str) -> None:
        """Report unknown members of a JSON object."""
        for name in names:
            if name not in self._seen:
                self._check(name, name, sender)

    def _check(self, raw: str | bytes, name: str, sender: str) -> None:
        if len(self._seen) < MAX_NAMES and name not in self._unusual:
            self._seen.add(raw)
        if name in self._known or name in self.reported or len(self.reported) >= MAX_NAMES:
            return
        self.reported.add(name)
        log.warning(
            "unknown field",
            message_kind=self._message,
            field=name[:MAX_LOGGED_CHARACTERS],
            sender=sender,
        )


__all__ = ["MAX_NAMES", "UnknownFields"]
