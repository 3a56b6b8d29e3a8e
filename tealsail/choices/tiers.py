"""The order in which a relay prefers zones: its own, near ones, far ones, by the operator's costs."""

from typing import NamedTuple


class Tier(NamedTuple):
    """Zones (their places in the platform's list) that are equally near to a relay."""

    cost: float
    zones: tuple[int, ...]


class Zoning(NamedTuple):
    """The operator's rules on zones.  Times are tenths of a ms, shares parts of one."""

    costs: dict[tuple[int, int], float]  # between two zones, the same both ways; 0 within one
    usual_cost: float = 1.0  # between those that are not named
    spill_share: float = 1.0  # of what a relay takes in a span may at most leave its first tier
    spill_over: float = 0.5  # of the next tier's own use may at most come to it on top
    spare: float = 1.4  # a tier does so many times its usual work
    panic: float = 0.3  # under so much of its usual capacity a tier is not preferred
    span: int = 20_000  # of the shares
    memory: int = 6_000_000  # half-life of what is usual
    first: float = 0.1  # of the way back: where it begins, and how it goes on
    step: int = 5_000
    least: int = 5  # answers in time that a step needs
    late_part: float = 0.1  # more late or failed answers than this turn it back
    wait: int = 5_000  # before a way back begins; twice as long for each flap
    longest_wait: int = 600_000
    calm: int = 300_000  # a zone that stayed for so long has not flapped


def tiers(own: int, zones: int, zoning: Zoning) -> list[Tier]:
    """The nearest first; zones of one cost share a tier."""
    by_cost: dict[float, list[int]] = {}
    for zone in range(zones):
        cost = 0.0 if zone == own else zoning.costs.get((own, zone), zoning.costs.get((zone, own), zoning.usual_cost))
        by_cost.setdefault(cost, []).append(zone)
    return [Tier(cost, tuple(by_cost[cost])) for cost in sorted(by_cost)]
