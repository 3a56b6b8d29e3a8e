"""Relays' messages on one UDP socket for all pairs: the address that a datagram was sent to tells who sent it to whom.

The kernel hands that address over with each datagram (IP_PKTINFO).  It is set in the same way as the source of what is
passed on, so the receiver sees the address at which it knows the sender.
"""

import heapq
import socket
import struct
from typing import Any

from ...world.network import Network
from . import addresses
from .process_messages import DayBegin, FinalReport, Message, NetworkState
from .trial_setup import TrialSetup

IP_PKTINFO = 8  # of Linux's <linux/in.h>; the socket module has no name for it yet
INFO = struct.Struct("=i4s4s")  # struct in_pktinfo: interface, local address, address sent to
ANCILLARY_ROOM = socket.CMSG_SPACE(INFO.size)
LONGEST = 256  # bytes of a message
AT_ONCE = 512  # datagrams taken before others in the process get their turn
MOST_ON_THE_WAY = 100_000  # messages; more are lost
BUFFER = 8 * 1024 * 1024  # bytes of the socket's buffers, as far as the system allows
EARLY = 0.0005  # seconds: what is due so soon goes with what is due now
DROPPED_PART = 100  # one message in so many may find no room


def sent_between(ancillary: list[tuple[int, int, bytes]]) -> tuple[int, int]:
    """Sender and receiver by the address that a datagram was sent to; (-1, -1) if the kernel did not say it."""
    for level, kind, info in ancillary:
        if (level, kind) == (socket.IPPROTO_IP, IP_PKTINFO):
            return addresses.relay_pair(INFO.unpack(info[: INFO.size])[2])
    return -1, -1


class MessageCarrier:
    """Carries messages between relays, late or not at all, as the network has it."""

    def __init__(self, setup: TrialSetup, index: int, count: int) -> None:
        self.setup = setup
        self.network = Network(setup.scenario.paths(), setup.scenario.relay_zones(), setup.seed)
        self.socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.socket.setblocking(False)
        self.socket.setsockopt(socket.IPPROTO_IP, IP_PKTINFO, 1)
        for buffer in (socket.SO_RCVBUF, socket.SO_SNDBUF):
            self.socket.setsockopt(socket.SOL_SOCKET, buffer, BUFFER)
        self.socket.bind(("", setup.addresses.port + addresses.MESSAGES))
        self.on_the_way: list[tuple[float, int, int, int, bytes]] = []  # due, number, sender, receiver, message
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
        for _ in range(AT_ONCE):
            try:
                data, ancillary, _, _ = self.socket.recvmsg(LONGEST + 1, ANCILLARY_ROOM)
            except (BlockingIOError, InterruptedError):
                return
            except OSError:  # what an earlier message met at a closed port
                continue
            self.distribute(*sent_between(ancillary), data)

    def distribute(self, sender: int, receiver: int, data: bytes) -> None:
        relays = range(self.setup.relays)
        if sender not in relays:
            return
        if len(data) > LONGEST:
            self.setup.report_violation(f"relay {sender} sent a note of more than {LONGEST} bytes")
        elif receiver == addresses.EVERYONE:
            for other in relays:
                if other != sender:
                    self.carry(sender, other, data)
        elif receiver in relays:
            self.carry(sender, receiver, data)

    def carry(self, sender: int, receiver: int, data: bytes) -> None:
        seconds = self.setup.reactor.seconds()
        self.carried += 1
        for wait in self.network.note(self.setup.now(), sender, receiver):
            if len(self.on_the_way) >= MOST_ON_THE_WAY:
                self.dropped += 1
                continue
            self.count += 1
            heapq.heappush(self.on_the_way, (seconds + wait / 10_000, self.count, sender, receiver, data))
        self.schedule()

    def schedule(self) -> None:
        if self.on_the_way and not (self.timer and self.timer.active()):
            self.timer = self.setup.reactor.callLater(
                max(0.0, self.on_the_way[0][0] - self.setup.reactor.seconds()), self.deliver
            )

    def deliver(self) -> None:
        now = self.setup.reactor.seconds() + EARLY
        while self.on_the_way and self.on_the_way[0][0] <= now:
            _, _, sender, receiver, data = heapq.heappop(self.on_the_way)
            source, target = self.setup.addresses.peer(receiver, sender), self.setup.addresses.relay(receiver)
            info = INFO.pack(0, socket.inet_aton(source.host), bytes(4))
            try:
                self.socket.sendmsg([data], [(socket.IPPROTO_IP, IP_PKTINFO, info)], 0, (target.host, target.port))
            except OSError:  # nobody listens, or its buffer is full: lost, as datagrams may be
                self.dropped += 1
        self.schedule()

    def final_report(self) -> FinalReport:
        if self.dropped > self.carried // DROPPED_PART:
            self.setup.report_violation(f"{self.dropped} of {self.carried} notes found no room on their way")
        return FinalReport({}, [], 0.0)
