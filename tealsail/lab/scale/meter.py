"""What one hollow relay costs, in a process shared with hundreds: processor time by kind of work, and datagrams."""

import time
from collections.abc import Callable
from typing import Any

from twisted.internet.protocol import DatagramProtocol

NANO = 1e-9  # seconds


class Meter:
    """Processor time of a relay's code by kind of work.  The outermost call counts: a tick in it is its."""

    def __init__(self) -> None:
        self.cpu: dict[str, int] = {}  # kind of work -> nanoseconds
        self.sent = self.received = self.bytes_out = self.bytes_in = 0
        self.inside = False

    def run(self, kind: str, call: Callable[..., Any], *what: Any) -> Any:
        if self.inside:
            return call(*what)
        self.inside, begun = True, time.thread_time_ns()
        try:
            return call(*what)
        finally:
            self.cpu[kind] = self.cpu.get(kind, 0) + time.thread_time_ns() - begun
            self.inside = False

    def seconds(self) -> dict[str, float]:
        return {kind: spent * NANO for kind, spent in self.cpu.items()}


class MeteredTransport:
    """A UDP transport that counts what is written to it; `sent` is told of each datagram's address and size."""

    def __init__(self, inner: Any, meter: Meter, sent: Callable[[tuple[str, int], int], None]) -> None:
        self.inner, self.meter, self.sent = inner, meter, sent

    def write(self, data: bytes, address: tuple[str, int]) -> None:
        self.inner.write(data, address)
        self.meter.sent += 1
        self.meter.bytes_out += len(data)
        self.sent(address, len(data))

    def __getattr__(self, name: str) -> Any:
        return getattr(self.inner, name)


class MeteredPeers(DatagramProtocol):
    """Stands between a socket and the relay's own protocol for peers, and counts what passes."""

    noisy = False

    def __init__(
        self,
        inner: DatagramProtocol,
        meter: Meter,
        sent: Callable[[tuple[str, int], int], None],
        received: Callable[[tuple[str, int], int], None],
    ) -> None:
        self.inner, self.meter, self.sent, self.received = inner, meter, sent, received

    @property
    def transport(self) -> Any:
        return self.inner.transport

    @transport.setter
    def transport(self, transport: Any) -> None:
        self.inner.transport = transport and MeteredTransport(transport, self.meter, self.sent)

    def datagramReceived(self, data: bytes, address: tuple[str, int]) -> None:
        self.meter.received += 1
        self.meter.bytes_in += len(data)
        self.received(address, len(data))
        self.meter.run("messages", self.inner.datagramReceived, data, address)
