"""Notes to and from the other relays, as UDP datagrams."""

from collections.abc import Callable

from twisted.internet.protocol import DatagramProtocol

from ..choices.rate_limits import SHOT_MESSAGE_LIMITS, RateLimiter
from ..notes import is_tracker_note
from .counters import Counters

MAX_DATAGRAM_BYTES = 256


def parse_address(address: str) -> tuple[str, int]:
    """Host and port of `host:port`."""
    host, port = address.rsplit(":", 1)
    return host, int(port)


class Peers(DatagramProtocol):
    """Sends notes to the other relays and receives theirs.

    A relay's number is its position in `addresses`; datagrams from other addresses are dropped.
    """

    noisy = False

    def __init__(
        self,
        addresses: list[str],
        broadcast_address: str,
        counters: Counters,
        on_note: Callable[[int, bytes], None],
        count_limit: RateLimiter,
        clock: Callable[[], int],
    ) -> None:
        """`on_note` gets a relay's number and its note.

        `count_limit` bounds the notes of counts; notes of shots, far more and small, have a bound of their own.
        `broadcast_address` is that of all relays together, or empty; `clock` gives tenths of a millisecond.
        """
        self.addresses = [parse_address(address) for address in addresses]
        self.numbers = {address: number for number, address in enumerate(self.addresses)}
        self.broadcast_address = parse_address(broadcast_address) if broadcast_address else None
        self.counters, self.on_note = counters, on_note
        self.count_limit, self.shot_limit, self.clock = count_limit, RateLimiter(SHOT_MESSAGE_LIMITS), clock

    def datagramReceived(self, data: bytes, address: tuple[str, int]) -> None:
        number = self.numbers.get(address)
        if number is None or len(data) > MAX_DATAGRAM_BYTES:
            self.counters.add("peers.dropped")
        elif not (self.shot_limit if is_tracker_note(data) else self.count_limit).allows(number, self.clock()):
            self.counters.add("peers.shed")
        else:
            self.counters.add("peers.heard")
            self.on_note(number, data)

    def send(self, number: int, data: bytes) -> None:
        """Send a note to the relay of that number, or to all relays (-1)."""
        to = self.broadcast_address if number < 0 else self.addresses[number] if number < len(self.addresses) else None
        if not to or not self.transport or len(data) > MAX_DATAGRAM_BYTES:
            self.counters.add("peers.unsent")
            return
        try:
            self.transport.write(data, to)
            self.counters.add("peers.told")
        except OSError:  # a full buffer or a refused port: notes may be lost
            self.counters.add("peers.unsent")
