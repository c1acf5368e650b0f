"""Tests of metrics sent to a statsd sink."""

from __future__ import annotations

import socket
import threading
from types import SimpleNamespace

import pytest
import statsd.client.udp

from leadhollow.observe.metrics import Metrics
from leadhollow.settings.address import Address
from tests.support import PATIENCE_S

DATAGRAM_COUNT = 2_000  # datagrams; more than a socket queue holds


@pytest.fixture
def unread_sink(tmp_path, monkeypatch):
    """Make the client send to a socket whose queue fills up, like that of a slow link."""
    path = str(tmp_path / "sink")
    kind = (socket.AF_UNIX, socket.SOCK_DGRAM)
    with socket.socket(*kind) as sink:
        sink.bind(path)
        sockets = SimpleNamespace(
            **{name: getattr(socket, name) for name in ("AF_INET", "AF_INET6", "SOCK_DGRAM")},
            error=OSError,
            socket=socket.socket,
            getaddrinfo=lambda *_: [(*kind, 0, "", path)],
        )
        monkeypatch.setattr(statsd.client.udp, "socket", sockets)
        yield sink


class TestMetrics:
    # Guards against: a full send buffer of the metrics socket blocks the process.
    def test_are_dropped_if_socket_is_full(self, unread_sink):
        metrics = Metrics(sink=Address.parse("127.0.0.1:8125").unwrap(), prefix="p")

        def send() -> None:
            for _ in range(DATAGRAM_COUNT):
                metrics.count("requests")

        sending = threading.Thread(target=send, daemon=True)
        sending.start()
        sending.join(PATIENCE_S)
        assert not sending.is_alive()
        assert unread_sink.recv(100) == b"p.requests:1|c"
