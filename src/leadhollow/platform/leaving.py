"""How engines say in answers that they leave."""

from __future__ import annotations

from leadhollow.http1.headers import Headers

SERVER_LEAVING = b"server-leaving"
LEAVES = b"1"


def announces_leaving(headers: Headers) -> bool:
    """Tell whether an answer says that its engine leaves."""
    return LEAVES in headers.get_all(SERVER_LEAVING)


__all__ = ["says_leaving"]
