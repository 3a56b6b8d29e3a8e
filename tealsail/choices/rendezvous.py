"""Which relays own a unit's load figures: rendezvous hashing of unit and relay.

Every relay works out the same order from two numbers and no message.  When a relay comes or goes only the units that it
owns change hands.  Source: Thaler and Ravishankar, Using Name-Based Mappings to Increase Hit Rates, 1998.
"""

from heapq import nlargest

from ..parts import stable_hash

REPLICAS = 2  # owners of a unit at a time: the first answers, the second stands by
RANKED = 4  # of a unit's order that are kept: the owners, and those who stand in for silent ones
SALT = 0x6C6F6164  # keeps these draws apart from the judges'
MULTIPLIER = 0xD6E8FEB86659FD93  # odd; its products' high bits depend on all bits of a factor
MASK = (1 << 64) - 1


class Rendezvous:
    """The order of owners for each unit, of relays numbered from 0."""

    def __init__(self, relays: int) -> None:
        self.salts = [stable_hash(SALT, relay) for relay in range(relays)]

    def ranked(self, unit: int) -> tuple[int, ...]:
        """The first few relays in this unit's order; about a millisecond at 1,300 relays, so not on a request's
        path."""
        key = stable_hash(unit, SALT)
        scores = [((salt ^ key) * MULTIPLIER) & MASK for salt in self.salts]
        return tuple(nlargest(RANKED, range(len(scores)), scores.__getitem__))
