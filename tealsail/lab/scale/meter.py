"""What one hollow relay costs in a process shared with hundreds: processor time by kind of work, and datagrams."""

import time
from collections.abc import Callable
from typing import Any

from twisted.internet.protocol import DatagramProtocol

SECONDS_PER_NANOSECOND = 1e-9


class Meter:
    """Processor time of a relay's code by kind of work, and its datagrams.

    Nested calls count for the outermost one: a tick within the handling of a message counts as that message."""

    def __init__(self) -> None:
        self.cpu: dict[str, int] = {}  # nanoseconds by kind of work
        self.sent = self.received = self.bytes_out = self.bytes_in = 0  # datagrams, and their bytes
        self.is_measuring = False

    def run(self, kind: str, call: Callable[..., Any], *arguments: Any) -> Any:
        """Call it, count its processor time for that kind of work, and return its result."""
        if self.is_measuring:
            return call(*arguments)
        self.is_measuring, begun = True, time.thread_time_ns()
        try:
            return call(*arguments)
        finally:
            self.cpu[kind] = self.cpu.get(kind, 0) + time.thread_time_ns() - begun
            self.is_measuring = False

    def seconds(self) -> dict[str, float]:
        """Processor seconds by kind of work."""
        return {kind: spent * SECONDS_PER_NANOSECOND for kind, spent in self.cpu.items()}


class MeteredTransport:
    """A UDP transport that counts what is written to it; `on_sent` gets each datagram's address and size in bytes."""

    def __init__(self, inner: Any, meter: Meter, on_sent: Callable[[tuple[str, int], int], None]) -> None:
        self.inner, self.meter, self.on_sent = inner, meter, on_sent

    def write(self, data: bytes, address: tuple[str, int]) -> None:
        self.inner.write(data, address)
        self.meter.sent += 1
        self.meter.bytes_out += len(data)
        self.on_sent(address, len(data))

    def __getattr__(self, name: str) -> Any:
        return getattr(self.inner, name)


class MeteredPeers(DatagramProtocol):
    """Stands between a socket and the relay's own protocol for messages, and counts what passes."""

    noisy = False

    def __init__(
        self,
        inner: DatagramProtocol,
        meter: Meter,
        on_sent: Callable[[tuple[str, int], int], None],
        on_received: Callable[[tuple[str, int], int], None],
    ) -> None:
        self.inner, self.meter, self.on_sent, self.on_received = inner, meter, on_sent, on_received

    @property
    def transport(self) -> Any:
        return self.inner.transport

    @transport.setter
    def transport(self, transport: Any) -> None:
        self.inner.transport = transport and MeteredTransport(transport, self.meter, self.on_sent)

    def datagramReceived(self, data: bytes, address: tuple[str, int]) -> None:
        self.meter.received += 1
        self.meter.bytes_in += len(data)
        self.on_received(address, len(data))
        self.meter.run("messages", self.inner.datagramReceived, data, address)
