"""Relays' messages on one UDP socket for all pairs: the address that a datagram was sent to tells who sent it to whom.

The kernel hands that address over with each datagram (IP_PKTINFO).  It is set in the same way as the source of what is
passed on, so the receiver sees the address at which it knows the sender.
"""

import heapq
import socket
import struct
from typing import Any

from ...time_limits import TENTHS_PER_SECOND
from ...world.network import Network
from . import addresses
from .process_messages import DayBegin, FinalReport, Message, NetworkState
from .trial_setup import TrialSetup

IP_PKTINFO = 8  # of Linux's <linux/in.h>; the socket module has no name for it yet
INFO = struct.Struct("=i4s4s")  # struct in_pktinfo: interface, local address, address sent to
ANCILLARY_ROOM = socket.CMSG_SPACE(INFO.size)
MAX_MESSAGE_BYTES = 256
READ_BATCH = 512  # datagrams read in one turn of the loop, so that others in the process get theirs
MAX_IN_FLIGHT = 100_000  # messages; more are dropped
SOCKET_BUFFER_BYTES = 8 * 1024 * 1024  # of each of the socket's buffers, as far as the system allows
EARLY_S = 0.0005  # messages that are due so soon are sent with those due now
MESSAGES_PER_DROP = 100  # one message in so many may be dropped


def sent_between(ancillary: list[tuple[int, int, bytes]]) -> tuple[int, int]:
    """Sender and receiver by the address that a datagram was sent to; (-1, -1) if the kernel did not say it."""
    for level, kind, info in ancillary:
        if (level, kind) == (socket.IPPROTO_IP, IP_PKTINFO):
            return addresses.relay_pair(INFO.unpack(info[: INFO.size])[2])
    return -1, -1


class MessageCarrier:
    """Carries messages between relays with the delays and losses of the simulated network (world/network.py)."""

    def __init__(self, setup: TrialSetup, index: int, count: int) -> None:
        self.setup = setup
        self.network = Network(setup.scenario.paths(), setup.scenario.relay_zones(), setup.seed)
        self.socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.socket.setblocking(False)
        self.socket.setsockopt(socket.IPPROTO_IP, IP_PKTINFO, 1)
        for buffer in (socket.SO_RCVBUF, socket.SO_SNDBUF):
            self.socket.setsockopt(socket.SOL_SOCKET, buffer, SOCKET_BUFFER_BYTES)
        self.socket.bind(("", setup.addresses.port + addresses.MESSAGES))
        self.in_flight: list[tuple[float, int, int, int, bytes]] = []  # due, number, sender, receiver, message
        self.count = self.carried = self.dropped = 0
        self.timer: Any = None
        setup.reactor.addReader(self)

    def receive(self, message: Message) -> None:
        match message:
            case DayBegin(start):
                self.setup.begin(start)
            case NetworkState(plain):
                self.network.restore(plain)

    # for the reactor
    def fileno(self) -> int:
        return self.socket.fileno()

    def logPrefix(self) -> str:
        return "notes"

    def connectionLost(self, reason: Any) -> None:
        """The reactor ends."""

    def doRead(self) -> None:
        for _ in range(READ_BATCH):
            try:
                data, ancillary, _, _ = self.socket.recvmsg(MAX_MESSAGE_BYTES + 1, ANCILLARY_ROOM)
            except (BlockingIOError, InterruptedError):
                return
            except OSError:  # an earlier message was sent to a closed port
                continue
            self.distribute(*sent_between(ancillary), data)

    def distribute(self, sender: int, receiver: int, data: bytes) -> None:
        relays = range(self.setup.relays)
        if sender not in relays:
            return
        if len(data) > MAX_MESSAGE_BYTES:
            self.setup.report_violation(f"relay {sender} sent a message of more than {MAX_MESSAGE_BYTES} bytes")
        elif receiver == addresses.BROADCAST:
            for other in relays:
                if other != sender:
                    self.carry(sender, other, data)
        elif receiver in relays:
            self.carry(sender, receiver, data)

    def carry(self, sender: int, receiver: int, data: bytes) -> None:
        seconds = self.setup.reactor.seconds()
        self.carried += 1
        for wait in self.network.note(self.setup.now(), sender, receiver):
            if len(self.in_flight) >= MAX_IN_FLIGHT:
                self.dropped += 1
                continue
            self.count += 1
            heapq.heappush(self.in_flight, (seconds + wait / TENTHS_PER_SECOND, self.count, sender, receiver, data))
        self.schedule()

    def schedule(self) -> None:
        if self.in_flight and not (self.timer and self.timer.active()):
            self.timer = self.setup.reactor.callLater(
                max(0.0, self.in_flight[0][0] - self.setup.reactor.seconds()), self.deliver
            )

    def deliver(self) -> None:
        now = self.setup.reactor.seconds() + EARLY_S
        while self.in_flight and self.in_flight[0][0] <= now:
            _, _, sender, receiver, data = heapq.heappop(self.in_flight)
            source, target = self.setup.addresses.peer(receiver, sender), self.setup.addresses.relay(receiver)
            info = INFO.pack(0, socket.inet_aton(source.host), bytes(4))
            try:
                self.socket.sendmsg([data], [(socket.IPPROTO_IP, IP_PKTINFO, info)], 0, (target.host, target.port))
            except OSError:  # nobody listens or the buffer is full: dropped, as datagrams may be
                self.dropped += 1
        self.schedule()

    def final_report(self) -> FinalReport:
        if self.dropped > self.carried // MESSAGES_PER_DROP:
            self.setup.report_violation(
                f"{self.dropped} of {self.carried} messages were dropped on their way for want of room"
            )
        return FinalReport({}, [], 0.0)
