"""Network addresses in the form that settings files use."""

from __future__ import annotations

import ipaddress

from result import Err, Ok, Result

from leadhollow.codes import Code
from leadhollow.failure import Failure

MAXIMUM_PORT = 65_535


class Address:
    """An IP address and a port.

    Parameters
    ----------
    host
        IP address as text.
    port
        0 makes the operating system choose a free port for a listener.
    """

    __slots__ = ("host", "port")

    def __init__(self, *, host: str, port: int) -> None:
        self.host = host
        self.port = port

    @classmethod
    def parse(cls, text: str) -> Result[Address, Failure]:
        """Parse ``HOST:PORT``, where the host is an IP address and not a name.

        Errors
        ------
        SETTINGS_FIELD
            The text has another form, or the port is out of range.
        """
        host, separator, port_text = text.rpartition(":")
        host = host.removeprefix("[").removesuffix("]")
        if not separator or not port_text.isascii() or not port_text.isdigit():
            return Err(_address_failure(text))
        try:
            ipaddress.ip_address(host)
        except ValueError:
            return Err(_address_failure(text))
        if int(port_text) > MAXIMUM_PORT:
            return Err(_address_failure(text))
        return Ok(cls(host=host, port=int(port_text)))

    def __str__(self) -> str:
        return f"[{self.host}]:{self.port}" if ":" in self.host else f"{self.host}:{self.port}"


def _address_failure(text: str) -> Failure:
    return Failure(
        code=Code.SETTINGS_FIELD, detail=f"expected IP-NUMBER:PORT, found {text!r}", field="address"
    )


__all__ = ["Address"]
