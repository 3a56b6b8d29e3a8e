"""Who listens where: each relay reaches every other party at addresses kept for that relay alone.

All are in 127.0.0.0/8 and share one port, which is free when a trial begins.
"""
import random
import socket
from typing import NamedTuple

FIRST, LAST = 20_000, 29_999                     # ports tried: below those that the system hands out
TRIES = 50
LIST, PLATFORM, RELAYS, PEERS, EVERYONE, UNITS = 40, 41, 42, 43, 44, 60
MOST_RELAYS, MOST_UNITS = 60, 60_000             # that have room


class Place(NamedTuple):
    host: str
    port: int

    def __str__(self) -> str:
        return f"{self.host}:{self.port}"


class Addresses:
    """Raises OSError if no port is free, ValueError for a fleet without room."""

    def __init__(self, relays: int) -> None:
        if relays > MOST_RELAYS:
            raise ValueError(f"a trial has room for {MOST_RELAYS} relays, not {relays}")
        for _ in range(TRIES):
            port = random.SystemRandom().randint(FIRST, LAST)
            if free(port):
                self.port = port
                return
        raise OSError("no port is free for a trial")

    def at(self, block: int, high: int, low: int) -> Place:
        return Place(f"127.{block}.{high}.{low + 1}", self.port)

    def list_of(self, relay: int) -> Place:
        return self.at(LIST, 0, relay)

    def platform_of(self, relay: int) -> Place:
        return self.at(PLATFORM, 0, relay)

    def relay(self, relay: int) -> Place:
        """Where its clients connect, and where notes reach it."""
        return self.at(RELAYS, 0, relay)

    def peer(self, relay: int, other: int) -> Place:
        """`other`, as that relay reaches it."""
        return self.at(PEERS, relay, other)

    def everyone(self, relay: int) -> Place:
        return self.at(EVERYONE, 0, relay)

    def unit(self, relay: int, number: int) -> Place:
        """Raises ValueError for more units than have room."""
        if number >= MOST_UNITS:
            raise ValueError(f"a trial has room for {MOST_UNITS} units")
        return self.at(UNITS + relay, number // 250, number % 250)


def free(port: int) -> bool:
    """Whether nobody listens at that port on any loopback address."""
    for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
        with socket.socket(socket.AF_INET, kind) as one:
            try:
                one.bind(("127.0.0.1", port))
            except OSError:
                return False
    return True
