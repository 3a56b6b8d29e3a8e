"""Who listens where, in sockets that do not grow with pairs of relays and backends.

A relay reaches every other party at an address kept for that relay alone, so that whoever is reached knows who calls.
Each party listens once, on the wildcard address at a port of its own, and reads which address was connected to; what
comes to an address outside 127.0.0.0/8 is closed.  A backend that is dead has no listener, so a connection is refused.
Relays themselves listen at one address each.
"""

import random
import socket
from typing import NamedTuple

FIRST_PORT = 10_000  # of all blocks
LAST_PORT = 29_999  # of all blocks; the system hands out higher ports to others
BLOCK_PORTS = 2_000  # ports of one trial
MAX_TRIES = 200  # blocks that a trial tries
LIST, PLATFORM, RELAYS, MESSAGES, BACKENDS = range(5)  # ports from the block's first on; backends have the rest
MAX_RELAYS = 1_000  # that have room
MAX_BACKENDS = BLOCK_PORTS - BACKENDS  # that have room
RELAY_BYTE = 60  # second byte of a relay's own address
FIRST_PAIR_BYTE = 128  # second byte of pairs' addresses, from here on
RELAYS_PER_BYTE = 250  # relays in one value of the third byte
PAIR_STEP = 1_024  # numbers of pairs for each first relay
BROADCAST = 1_023  # as the second of a pair: all others


class Address(NamedTuple):
    """Host and port; as text with a colon between."""

    host: str
    port: int

    def __str__(self) -> str:
        return f"{self.host}:{self.port}"


class Addresses:
    """Every address of a trial, worked out from its block's first port."""

    def __init__(self, port: int) -> None:
        self.port = port

    def at(self, service: int, relay: int) -> Address:
        """Where that relay reaches the list or the platform; also where it listens itself (RELAYS)."""
        return Address(
            f"127.{RELAY_BYTE}.{relay // RELAYS_PER_BYTE}.{relay % RELAYS_PER_BYTE + 1}", self.port + service
        )

    def relay(self, relay: int) -> Address:
        """Where its clients connect, and where other relays' messages reach it."""
        return self.at(RELAYS, relay)

    def backend(self, relay: int, number: int) -> Address:
        """Where that relay reaches a backend.  Raises ValueError for more backends than have room."""
        if number >= MAX_BACKENDS:
            raise ValueError(f"a trial has room for {MAX_BACKENDS} backends")
        return self.at(BACKENDS + number, relay)

    def peer(self, relay: int, other: int) -> Address:
        """Where that relay reaches `other`."""
        number = relay * PAIR_STEP + other
        return Address(
            f"127.{FIRST_PAIR_BYTE + (number >> 16)}.{number >> 8 & 255}.{number & 255}", self.port + MESSAGES
        )

    def broadcast(self, relay: int) -> Address:
        """Where that relay reaches all others at once."""
        return self.peer(relay, BROADCAST)


def calling_relay(host: str) -> int:
    """The relay that has this address for its calls, -1 for none."""
    parts = host.split(".")
    known = len(parts) == 4 and parts[:2] == ["127", str(RELAY_BYTE)] and all(each.isdigit() for each in parts)
    return int(parts[2]) * RELAYS_PER_BYTE + int(parts[3]) - 1 if known else -1


def relay_pair(address: bytes) -> tuple[int, int]:
    """Sender and receiver (BROADCAST for all) of a pair's address in four bytes; (-1, -1) if it is no such address."""
    if len(address) != 4 or address[0] != 127 or address[1] < FIRST_PAIR_BYTE:
        return -1, -1
    return divmod((address[1] - FIRST_PAIR_BYTE << 16) + (address[2] << 8) + address[3], PAIR_STEP)


class PortBlock:
    """A block of ports, kept for one trial as long as the socket `lock` is bound.

    Raises OSError if no block is free, and ValueError for more than MAX_RELAYS relays."""

    def __init__(self, relays: int) -> None:
        if relays > MAX_RELAYS:
            raise ValueError(f"a trial has room for {MAX_RELAYS} relays, not {relays}")
        random_draws = random.SystemRandom()
        for _ in range(MAX_TRIES):
            port = random_draws.randrange(FIRST_PORT, LAST_PORT - BLOCK_PORTS + 2, BLOCK_PORTS)
            lock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
            try:
                lock.bind(("127.0.0.1", port + LIST))  # datagrams: the list itself is asked over TCP
                self.port, self.lock = port, lock
                return
            except OSError:
                lock.close()
        raise OSError("no ports are free for a trial")

    def release(self) -> None:
        self.lock.close()
