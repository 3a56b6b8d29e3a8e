"""Which connections to units a relay opens before a request needs them: those to a build on trial.

A shot counts against the build's cap when it is written.  One that has waited for a new connection may be written when
the requests that allow it are no longer in the same window, so it is not sent, and the judges miss its outcome.
"""

from collections.abc import Sequence

from ..parts import RandomGenerator

CONNECTIONS_PER_UNIT = 8  # that the whole fleet opens ahead to one unit, since a unit holds only so many
MAX_CONNECTIONS = 8  # that one relay opens ahead
POOL_PART = 4  # at most one in so many of the connections that a relay may hold
SPREAD_PER_RELAY_S = 0.02  # for each relay of the fleet: time over which the relays open them
MAX_SPREAD_S = 2.0


def connections_to_open(units: Sequence[int], relays: int, max_connections: int) -> dict[int, int]:
    """How many connections to each unit are to be open.

    `units` are those of the build on trial in the order in which the relay uses them, `relays` is the size of the
    fleet, and the relay may hold `max_connections`.
    """
    if not units:
        return {}
    total = min(MAX_CONNECTIONS, CONNECTIONS_PER_UNIT * len(units) // max(1, relays), max_connections // POOL_PART)
    each, rest = divmod(total, len(units))
    counts = {unit: each + (place < rest) for place, unit in enumerate(units)}
    return {unit: count for unit, count in counts.items() if count}


def opening_delay(chance: RandomGenerator, relays: int) -> float:
    """Seconds until a relay opens them; relays hear of a new build together."""
    return min(MAX_SPREAD_S, SPREAD_PER_RELAY_S * relays) * chance.share()
