"""Response header field with which a backend server announces that it is leaving."""

from __future__ import annotations

from leadhollow.http1.headers import Headers

SERVER_LEAVING = b"server-leaving"
LEAVING_VALUE = b"1"


def announces_leaving(headers: Headers) -> bool:
    """Tell whether a response announces that its backend server is leaving."""
    return LEAVING_VALUE in headers.get_all(SERVER_LEAVING)


__all__ = ["announces_leaving"]
