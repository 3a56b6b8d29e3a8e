"""Relays' datagrams on one UDP socket for all pairs: the address that a note was sent to tells who sent it and to whom.

The kernel says that address with each datagram (IP_PKTINFO), and it is set in the same way as the source of what is
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
ROOM = socket.CMSG_SPACE(INFO.size)
LONGEST, ROUND = 256, 512  # bytes of a note; datagrams taken before others get their turn
WAITING = 100_000  # notes on their way at a time; more are lost
BUFFER = 8 * 1024 * 1024  # bytes of the socket's buffers, as far as the system allows


class MessageCarrier:
    """Carries notes, late or not at all, as the network has it."""

    def __init__(self, setup: TrialSetup, place: int, many: int) -> None:
        self.setup = setup
        self.network = Network(setup.scenario.paths(), setup.scenario.relay_zones(), setup.seed)
        self.socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.socket.setblocking(False)
        self.socket.setsockopt(socket.IPPROTO_IP, IP_PKTINFO, 1)
        for buffer in (socket.SO_RCVBUF, socket.SO_SNDBUF):
            self.socket.setsockopt(socket.SOL_SOCKET, buffer, BUFFER)
        self.socket.bind(("", setup.addresses.port + addresses.NOTES))
        self.waiting: list[tuple[float, int, int, int, bytes]] = []
        self.count = self.carried = self.dropped = 0
        self.timer: Any = None
        setup.reactor.addReader(self)

    def receive(self, message: Message) -> None:
        match message:
            case DayBegin(start):
                self.setup.begin(start)
            case NetworkState(plain):
                self.network.take_over(plain)

    # for the reactor
    def fileno(self) -> int:
        return self.socket.fileno()

    def logPrefix(self) -> str:
        return "notes"

    def connectionLost(self, reason: Any) -> None:
        """The reactor ends."""

    def doRead(self) -> None:
        for _ in range(ROUND):
            try:
                data, ancillary, _, _ = self.socket.recvmsg(LONGEST + 1, ROOM)
            except (BlockingIOError, InterruptedError):
                return
            except OSError:  # what an earlier note met at a closed port
                continue
            sender, to = next(
                (
                    addresses.pair(INFO.unpack(info[: INFO.size])[2])
                    for level, kind, info in ancillary
                    if (level, kind) == (socket.IPPROTO_IP, IP_PKTINFO)
                ),
                (-1, -1),
            )
            if not 0 <= sender < self.setup.relays:
                continue
            if len(data) > LONGEST:
                self.setup.report_violation(f"relay {sender} sent a note of more than {LONGEST} bytes")
            elif to == addresses.EVERYONE:
                for other in range(self.setup.relays):
                    if other != sender:
                        self.carry(sender, other, data)
            elif 0 <= to < self.setup.relays:
                self.carry(sender, to, data)

    def carry(self, sender: int, to: int, data: bytes) -> None:
        seconds = self.setup.reactor.seconds()
        self.carried += 1
        for wait in self.network.note(self.setup.now(), sender, to):
            if len(self.waiting) >= WAITING:
                self.dropped += 1
                continue
            self.count += 1
            heapq.heappush(self.waiting, (seconds + wait / 10_000, self.count, sender, to, data))
        self.plan()

    def plan(self) -> None:
        if self.waiting and not (self.timer and self.timer.active()):
            self.timer = self.setup.reactor.callLater(
                max(0.0, self.waiting[0][0] - self.setup.reactor.seconds()), self.deliver
            )

    def deliver(self) -> None:
        now = self.setup.reactor.seconds() + 0.0005  # what is due within half a ms goes with it
        while self.waiting and self.waiting[0][0] <= now:
            _, _, sender, to, data = heapq.heappop(self.waiting)
            known, place = self.setup.addresses.peer(to, sender), self.setup.addresses.relay(to)
            info = INFO.pack(0, socket.inet_aton(known.host), bytes(4))
            try:
                self.socket.sendmsg([data], [(socket.IPPROTO_IP, IP_PKTINFO, info)], 0, (place.host, place.port))
            except OSError:  # nobody listens, or its buffer is full: lost, as notes may be
                self.dropped += 1
        self.plan()

    def final_report(self) -> FinalReport:
        if self.dropped > self.carried // 100:
            self.setup.report_violation(f"{self.dropped} of {self.carried} notes found no room on their way")
        return FinalReport({}, [], 0.0)
