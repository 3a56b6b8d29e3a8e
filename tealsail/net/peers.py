"""Other relays: notes as UDP datagrams."""

from collections.abc import Callable

from twisted.internet.protocol import DatagramProtocol

from ..choices.rate_limits import SHOT_MESSAGE_LIMITS, RateLimiter
from ..notes import of_shots
from .counters import Counters

LONGEST = 256


def pair(address: str) -> tuple[str, int]:
    host, port = address.rsplit(":", 1)
    return host, int(port)


class Peers(DatagramProtocol):
    """What arrives counts only from an address of the list; a relay's number is its place there."""

    noisy = False

    def __init__(
        self,
        addresses: list[str],
        everyone: str,
        counters: Counters,
        heard: Callable[[int, bytes], None],
        flood: RateLimiter,
        clock: Callable[[], int],
    ) -> None:
        """`flood` bounds notes of counts; those of shots are many more and small, with a bound of their own."""
        self.addresses = [pair(address) for address in addresses]
        self.numbers = {address: number for number, address in enumerate(self.addresses)}
        self.everyone = pair(everyone) if everyone else None
        self.counters, self.heard = counters, heard
        self.flood, self.shots, self.clock = flood, RateLimiter(SHOT_MESSAGE_LIMITS), clock

    def datagramReceived(self, data: bytes, address: tuple[str, int]) -> None:
        number = self.numbers.get(address)
        if number is None or len(data) > LONGEST:
            self.counters.add("peers.dropped")
        elif not (self.shots if of_shots(data) else self.flood).allows(number, self.clock()):
            self.counters.add("peers.shed")
        else:
            self.counters.add("peers.heard")
            self.heard(number, data)

    def tell(self, number: int, data: bytes) -> None:
        """To the relay of that number, or to all (-1)."""
        to = self.everyone if number < 0 else self.addresses[number] if number < len(self.addresses) else None
        if not to or not self.transport or len(data) > LONGEST:
            self.counters.add("peers.unsent")
            return
        try:
            self.transport.write(data, to)
            self.counters.add("peers.told")
        except OSError:  # a full buffer or a refused port: notes may be lost
            self.counters.add("peers.unsent")
