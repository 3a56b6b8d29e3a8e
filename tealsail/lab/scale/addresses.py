"""Who listens where in a scale run: relays reach each other directly, and one listener serves all backends.

A backend has an address of its own instead of a port: the accepted socket tells the address that was connected to.
"""

from ..loopback.addresses import BACKENDS as BACKENDS_PORT, MESSAGES, Address, Addresses

FIRST_BACKEND_BYTE = 100  # second byte of backends' addresses; relays' own are below, a trial's pairs above
BACKEND_BYTES = 20  # second bytes that backends have
BYTE_VALUES = 250  # used of the third byte and of the fourth
MAX_BACKENDS = BACKEND_BYTES * BYTE_VALUES * BYTE_VALUES
UNUSED_HOST = "127.59.0.1"  # no process of a run has this address


class ScaleAddresses(Addresses):
    """Every address of a scale run, worked out from its block's first port."""

    def backend(self, relay: int, number: int) -> Address:
        """Where every relay reaches that backend.  Raises ValueError for more backends than have room."""
        if number >= MAX_BACKENDS:
            raise ValueError(f"a scale run has room for {MAX_BACKENDS} backends")
        second, rest = divmod(number, BYTE_VALUES * BYTE_VALUES)
        return Address(
            f"127.{FIRST_BACKEND_BYTE + second}.{rest // BYTE_VALUES}.{rest % BYTE_VALUES + 1}",
            self.port + BACKENDS_PORT,
        )

    def peer(self, relay: int, other: int) -> Address:
        """The other relay's own socket: nothing carries the datagrams, so nothing can cut them off."""
        return self.relay(other)

    def broadcast(self, relay: int) -> Address:
        """An unused address: only votes that need more than three relays are broadcast, and `runs.check` refuses
        scenarios with such votes."""
        return Address(UNUSED_HOST, self.port + MESSAGES)


def backend_number(host: str) -> int:
    """The number of the backend that has this address, -1 for none."""
    parts = host.split(".")
    if len(parts) != 4 or not all(part.isdigit() for part in parts):
        return -1
    first, second, third, fourth = (int(part) for part in parts)
    known = first == 127 and FIRST_BACKEND_BYTE <= second < FIRST_BACKEND_BYTE + BACKEND_BYTES and fourth >= 1
    return ((second - FIRST_BACKEND_BYTE) * BYTE_VALUES + third) * BYTE_VALUES + fourth - 1 if known else -1
