"""Who listens where, in sockets that do not grow with pairs of relays and units.

A relay reaches every other party at an address kept for that relay alone, so that whoever is reached knows who calls.
Each party listens once, on the wildcard address at a port of its own, and reads which address was connected to; what
comes to an address outside 127.0.0.0/8 is closed.  A unit that is dead has no listener, so a connection is refused.
Relays themselves listen at one address each.
"""

import random
import socket
from typing import NamedTuple

FIRST, LAST, BLOCK = 10_000, 29_999, 2_000  # ports tried: below those that the system hands out; of one trial
TRIES = 200
LIST, PLATFORM, RELAYS, NOTES, UNITS = range(5)  # ports from the block's first on; units' are the rest
MOST_RELAYS, MOST_UNITS = 1_000, BLOCK - UNITS  # that have room
HOSTS, PAIRS = 60, 128  # second bytes: of a relay's own address, and from here on of pairs
EVERYONE = 1_023  # as the second of a pair: all others


class Place(NamedTuple):
    host: str
    port: int

    def __str__(self) -> str:
        return f"{self.host}:{self.port}"


class Addresses:
    """All that is known from the block's first port."""

    def __init__(self, port: int) -> None:
        self.port = port

    def at(self, service: int, relay: int) -> Place:
        """Where that relay reaches the list or the platform; also where it listens itself (RELAYS)."""
        return Place(f"127.{HOSTS}.{relay // 250}.{relay % 250 + 1}", self.port + service)

    def relay(self, relay: int) -> Place:
        """Where its clients connect, and where notes reach it."""
        return self.at(RELAYS, relay)

    def unit(self, relay: int, number: int) -> Place:
        """Raises ValueError for more units than have room."""
        if number >= MOST_UNITS:
            raise ValueError(f"a trial has room for {MOST_UNITS} units")
        return self.at(UNITS + number, relay)

    def peer(self, relay: int, other: int) -> Place:
        """`other`, as that relay reaches it."""
        pair = relay * 1_024 + other
        return Place(f"127.{PAIRS + (pair >> 16)}.{pair >> 8 & 255}.{pair & 255}", self.port + NOTES)

    def everyone(self, relay: int) -> Place:
        return self.peer(relay, EVERYONE)


def caller(host: str) -> int:
    """The relay that an address is kept for, -1 for none."""
    parts = host.split(".")
    known = len(parts) == 4 and parts[:2] == ["127", str(HOSTS)] and all(each.isdigit() for each in parts)
    return int(parts[2]) * 250 + int(parts[3]) - 1 if known else -1


def pair(address: bytes) -> tuple[int, int]:
    """Relay and other of a pair's address, as four bytes; (-1, -1) for what is none."""
    if len(address) != 4 or address[0] != 127 or address[1] < PAIRS:
        return -1, -1
    return divmod((address[1] - PAIRS << 16) + (address[2] << 8) + address[3], 1_024)


class PortBlock:
    """A block of ports, ours while `lock` is bound.  Raises OSError if none is free, ValueError for a fleet without
    room."""

    def __init__(self, relays: int) -> None:
        if relays > MOST_RELAYS:
            raise ValueError(f"a trial has room for {MOST_RELAYS} relays, not {relays}")
        draw = random.SystemRandom()
        for _ in range(TRIES):
            port = draw.randrange(FIRST, LAST - BLOCK + 2, BLOCK)
            lock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
            try:
                lock.bind(("127.0.0.1", port + LIST))  # datagrams: the list itself is asked over TCP
                self.port, self.lock = port, lock
                return
            except OSError:
                lock.close()
        raise OSError("no ports are free for a trial")

    def free(self) -> None:
        self.lock.close()
