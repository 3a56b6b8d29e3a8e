"""How a relay divides its invocations among tiers of zones, and which part no tier may take.

The division follows from what the zones can do now, compared with what is usual there.  Two views are kept apart.  The
agreed view (the list, ramps that it began, and what relays of a zone report on their own zone) is the same for all
relays, or nearly so: by it each zone's room for work of others is shared among the zones that are short.  What a relay
alone sees (answers that fail to come) decides what it wants to send elsewhere; of the room that no zone is agreed to
need it may use its own zone's part.  So the sum stays within the stated limit whatever each relay sees, and nothing
depends on what others have just decided: relays that decide at one moment do not oscillate.
"""

from typing import NamedTuple

from .tiers import Tier, Zoning


class ZoneView(NamedTuple):
    """Weights of one zone: usual there; usable by this relay now (silent, cold and returning units in part); and usable
    as all relays agree."""

    usual: float
    usable: float
    agreed: float


class Split(NamedTuple):
    """Both are parts of what a relay takes.  `shares` by tier, nearest first: what they lack to one is to be rejected.
    `limits` by zone of the further tiers: the stated limit of what may go there, before evidence."""

    shares: list[float]
    limits: dict[int, float]


def split(
    order: list[Tier], zones: dict[int, ZoneView], factors: dict[int, float], zoning: Zoning, same_trouble: float = 1.0
) -> Split:
    """The division of one relay's invocations; `order` is its tiers, nearest first.

    `factors`: by zone, 0 to 1, how far evidence lets work spill there.  `same_trouble`: the part of the relays of this
    relay's zone that are in the same trouble; the fewer, the more each may use of what their zone may send elsewhere.
    The first tier is the nearest that ever had units.  Where all zones lost capacity alike nothing spills, as no zone
    is better off.  The usual work of a zone is assumed to be proportional to its usual weight.
    """
    part, health = parts({zone: view.usable / view.usual if view.usual > 0 else 0.0 for zone, view in zones.items()})
    if not any(part.values()):
        return Split([0.0] * len(order), {})
    agreed_part, agreed_health = parts(
        {zone: view.agreed / view.usual if view.usual > 0 else 0.0 for zone, view in zones.items()}
    )
    short = {zone: view.usual * (1 - kept_part(part[zone], health[zone], zoning)) for zone, view in zones.items()}
    agreed_short = {
        zone: view.usual * (1 - kept_part(agreed_part[zone], agreed_health[zone], zoning))
        for zone, view in zones.items()
    }
    total, usual_of_all = sum(agreed_short.values()), sum(view.usual for view in zones.values())
    remaining, spilled, nearest_usual = 1.0, 0.0, 0.0
    nearest: tuple[int, ...] = ()
    shares: list[float] = []
    limits: dict[int, float] = {}
    for tier in order:
        usual = sum(zones[zone].usual for zone in tier.zones)
        if not nearest_usual:  # no nearer tier ever had units
            taken = 1 - sum(short[zone] for zone in tier.zones) / usual if usual else 0.0
            nearest, nearest_usual = tier.zones, usual
        else:
            for zone in tier.zones:
                room = zones[zone].usual * max(
                    0.0, zoning.spill_over - zoning.spare * (1 - min(health[zone], agreed_health[zone]))
                )
                claims = {
                    other: min(agreed_short[other], room * agreed_short[other] / total) if total else 0.0
                    for other in agreed_short
                }
                claimed = sum(claims.values()) - claims[zone]
                allowed, others = sum(claims[one] for one in nearest), usual_of_all - zones[zone].usual
                if others > 0:  # and its own zone's part of the room that no zone is agreed to need
                    allowed += max(0.0, room - claimed) * nearest_usual / others
                limits[zone] = min(zoning.spill_share, allowed / nearest_usual / same_trouble)
            taken = max(
                0.0,
                min(remaining, sum(limits[zone] * factors[zone] for zone in tier.zones), zoning.spill_share - spilled),
            )
            spilled += taken
        shares.append(taken)
        remaining -= taken
    return Split(shares, limits)


def parts(part: dict[int, float]) -> tuple[dict[int, float], dict[int, float]]:
    """Zones' parts of their usual capacity, unchanged, and the same divided by the best zone's."""
    best = max(part.values(), default=0.0)
    return part, {zone: each / best if best > 0 else 0.0 for zone, each in part.items()}


def kept_part(part: float, health: float, zoning: Zoning) -> float:
    """The part of its usual work that a zone does itself: it has capacity to spare, but not below the panic part."""
    return min(1.0, health * (zoning.spare if part >= zoning.panic else 1.0))


class SpillFactor:
    """How far evidence lets work spill to one zone (`level`, 0 to 1): it falls by a third when spilled work comes back
    late, and rises by a twentieth at each update while it comes in time.

    Guards against overloading a zone that slows down while it takes the work of another.
    """

    FALL = 2 / 3  # factor on late answers
    RISE = 0.05  # at each update without late answers
    LEAST = 0.05  # lowest level
    MIN_ANSWERS = 3  # needed for a fall

    def __init__(self) -> None:
        self.level, self.good, self.bad = 1.0, 0, 0

    def record_answer(self, late: bool) -> None:
        self.good, self.bad = self.good + (not late), self.bad + late

    def update(self, late_part: float) -> None:
        """Called twice a second; judges the answers since there were last enough of them.

        One late answer more than `late_part` allows is accepted: else a relay with few answers takes chance for an
        overload (one late of three).
        """
        seen = self.good + self.bad
        if seen >= self.MIN_ANSWERS and self.bad > late_part * seen + 1:
            self.level = max(self.LEAST, self.level * self.FALL)
        elif not self.bad:
            self.level = min(1.0, self.level + self.RISE)
        if seen >= self.MIN_ANSWERS:
            self.good = self.bad = 0
