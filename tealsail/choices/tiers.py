"""The order in which a relay prefers zones: its own, near ones, far ones, by the costs that the operator sets."""

from typing import NamedTuple


class Tier(NamedTuple):
    """Zones (their places in the platform's list) that are equally near to a relay."""

    cost: float
    zones: tuple[int, ...]


class Zoning(NamedTuple):
    """The operator's rules on zones.  Times are tenths of a ms, shares parts of one."""

    costs: dict[tuple[int, int], float]  # between two zones, the same both ways; 0 within one
    usual_cost: float = 1.0  # between zones that `costs` does not name
    spill_share: float = 1.0  # most of what a relay takes in a span that may leave its first tier
    spill_over: float = 0.5  # most that may come to a zone of another tier, as a part of that zone's own usual use
    spare: float = 1.4  # a zone can do so many times its usual work
    panic: float = 0.3  # below this part of its usual capacity a zone is not preferred: nothing is spare then
    span: int = 20_000  # over which the shares are measured
    memory: int = 6_000_000  # half-life of a zone's usual weight
    first: float = 0.1  # part of its capacity that a zone gets when its ramp begins
    step: int = 5_000  # least time between two steps of a ramp
    least: int = 5  # answers in time that a step needs
    late_part: float = 0.1  # part of late or failed answers beyond which a ramp or spill is taken back
    wait: int = 5_000  # before a ramp begins; twice as long for each flap
    longest_wait: int = 600_000  # bound on that
    calm: int = 300_000  # a zone that stayed up for so long has not flapped


def tiers(own: int, zones: int, zoning: Zoning) -> list[Tier]:
    """The tiers of a relay in zone `own`, of zones numbered from 0, the nearest first; zones of one cost share a
    tier."""
    by_cost: dict[float, list[int]] = {}
    for zone in range(zones):
        cost = 0.0 if zone == own else zoning.costs.get((own, zone), zoning.costs.get((zone, own), zoning.usual_cost))
        by_cost.setdefault(cost, []).append(zone)
    return [Tier(cost, tuple(by_cost[cost])) for cost in sorted(by_cost)]
