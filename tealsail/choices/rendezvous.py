"""Which relays own a unit's load figures: rendezvous hashing of unit and relay.

Every relay works out the same order from the two numbers, without a message.  When a relay is added or removed, only
the units that it owns change their owner.  Source: Thaler and Ravishankar, Using Name-Based Mappings to Increase Hit
Rates, 1998.
"""

from heapq import nlargest

from ..parts import stable_hash

REPLICAS = 2  # owners of a unit at a time: the first answers, the second is its standby
RANKED = 4  # relays of a unit's order that are kept: the owners, and those that replace silent ones
SALT = 0x6C6F6164  # makes these draws independent of the draw of judges
MULTIPLIER = 0xD6E8FEB86659FD93  # odd; the high bits of its products depend on all bits of the other factor
MASK = (1 << 64) - 1  # products modulo 2**64


class Rendezvous:
    """The order of owners for each unit, among relays numbered from 0."""

    def __init__(self, relays: int) -> None:
        self.salts = [stable_hash(SALT, relay) for relay in range(relays)]

    def ranked(self, unit: int) -> tuple[int, ...]:
        """The first RANKED relays in this unit's order.  Takes about a millisecond at 1,300 relays, so it must not be
        called while an invocation waits."""
        key = stable_hash(unit, SALT)
        scores = [((salt ^ key) * MULTIPLIER) & MASK for salt in self.salts]
        return tuple(nlargest(RANKED, range(len(scores)), scores.__getitem__))
