"""Who listens where in a scale run: relays reach each other directly, and one listener serves all backends.

A backend has an address of its own, not a port: the accepted socket tells the address that was connected to.
"""

from ..loopback.addresses import BACKENDS as BACKENDS_PORT, MESSAGES, Address, Addresses

BACKENDS = 100  # second byte of backends' addresses, from here on; relays' own is below, pairs' of trials above
BLOCK = 250  # last bytes used, and third bytes
MOST_BACKENDS = 20 * BLOCK * BLOCK
NOBODY = "127.59.0.1"  # no process of a run has this address


class ScaleAddresses(Addresses):
    """All that is known from the block's first port."""

    def backend(self, relay: int, number: int) -> Address:
        """Where every relay reaches that backend.  Raises ValueError for more backends than have room."""
        if number >= MOST_BACKENDS:
            raise ValueError(f"a scale run has room for {MOST_BACKENDS} backends")
        second, rest = divmod(number, BLOCK * BLOCK)
        return Address(f"127.{BACKENDS + second}.{rest // BLOCK}.{rest % BLOCK + 1}", self.port + BACKENDS_PORT)

    def peer(self, relay: int, other: int) -> Address:
        """Relays' datagrams go straight to each other's sockets: nothing carries them, so nothing can cut them off."""
        return self.relay(other)

    def everyone(self, relay: int) -> Address:
        """Nobody: a broadcast is needed only where more than three votes are, and `director` refuses such a day."""
        return Address(NOBODY, self.port + MESSAGES)


def backend_number(host: str) -> int:
    """The backend that an address is kept for, -1 for none."""
    parts = host.split(".")
    if len(parts) != 4 or not all(part.isdigit() for part in parts):
        return -1
    first, second, third, fourth = (int(part) for part in parts)
    known = first == 127 and BACKENDS <= second < BACKENDS + 20 and fourth >= 1
    return ((second - BACKENDS) * BLOCK + third) * BLOCK + fourth - 1 if known else -1
