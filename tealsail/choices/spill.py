"""Which part of its invocations a relay keeps in each tier, and which part no tier may take.

From what the zones can do now against what is usual there.  Two views are kept apart.  What is agreed (the list, ways
back that it began, and what relays of a zone tell of their own) is the same for all relays, or nearly: by it the room
that each zone has for others' work is shared among the zones that are short.  What a relay alone sees (answers that
fail to come) decides what it wants to send elsewhere; of the room that nobody is agreed to need it may have its zone's
part.  So the sum stays under the stated limit whatever each relay sees, and nothing depends on what others have just
decided: relays that act at one moment do not swing.
"""

from typing import NamedTuple

from .tiers import Tier, Zoning


class View(NamedTuple):
    """A zone: weights that are usual there, that this relay can use now (silent, cold and returning units in part), and
    that all relays agree on."""

    usual: float
    able: float
    agreed: float


class Split(NamedTuple):
    """`keep` by tier, nearest first: what is missing to one in all is to be rejected.  `room` by zone of the further
    tiers: the stated limit of what may go there, before evidence.  Both are parts of what a relay takes."""

    keep: list[float]
    room: dict[int, float]


def split(
    order: list[Tier], zones: dict[int, View], give: dict[int, float], zoning: Zoning, company: float = 1.0
) -> Split:
    """`give`: 0 to 1 by zone, how far evidence lets work spill there.  `company`: the part of the relays of one's own
    zone that are in the same trouble; the fewer, the more each may have of what is their zone's together.  The first
    tier is the nearest that ever had units.  Where all zones fell alike nothing spills: there is nowhere better.  The
    usual use of a zone is taken to go with its usual weight."""
    part, health = parts({zone: view.able / view.usual if view.usual > 0 else 0.0 for zone, view in zones.items()})
    if not any(part.values()):
        return Split([0.0] * len(order), {})
    known, whole = parts({zone: view.agreed / view.usual if view.usual > 0 else 0.0 for zone, view in zones.items()})
    short = {zone: view.usual * (1 - kept(part[zone], health[zone], zoning)) for zone, view in zones.items()}
    agreed = {zone: view.usual * (1 - kept(known[zone], whole[zone], zoning)) for zone, view in zones.items()}
    total, usual_of_all = sum(agreed.values()), sum(view.usual for view in zones.values())
    left, spilled, first = 1.0, 0.0, 0.0
    nearest: tuple[int, ...] = ()
    keep: list[float] = []
    room: dict[int, float] = {}
    for tier in order:
        usual = sum(zones[zone].usual for zone in tier.zones)
        if not first:  # none nearer ever had units
            takes = 1 - sum(short[zone] for zone in tier.zones) / usual if usual else 0.0
            nearest, first = tier.zones, usual
        else:
            for zone in tier.zones:
                extra = zones[zone].usual * max(
                    0.0, zoning.spill_over - zoning.spare * (1 - min(health[zone], whole[zone]))
                )
                claims = {
                    other: min(agreed[other], extra * agreed[other] / total) if total else 0.0 for other in agreed
                }
                claimed = sum(claims.values()) - claims[zone]
                allowed, others = sum(claims[one] for one in nearest), usual_of_all - zones[zone].usual
                if others > 0:  # and of what nobody is agreed to need, one's own zone's part
                    allowed += max(0.0, extra - claimed) * first / others
                room[zone] = min(zoning.spill_share, allowed / first / company)
            takes = max(
                0.0, min(left, sum(room[zone] * give[zone] for zone in tier.zones), zoning.spill_share - spilled)
            )
            spilled += takes
        keep.append(takes)
        left -= takes
    return Split(keep, room)


def parts(part: dict[int, float]) -> tuple[dict[int, float], dict[int, float]]:
    """What is there of the usual, by zone, and the same against the best zone."""
    best = max(part.values(), default=0.0)
    return part, {zone: each / best if best > 0 else 0.0 for zone, each in part.items()}


def kept(part: float, health: float, zoning: Zoning) -> float:
    """What a zone does of its usual work itself: with something to spare, but not once most of it is out."""
    return min(1.0, health * (zoning.spare if part >= zoning.panic else 1.0))


class Give:
    """How far evidence lets work spill to a zone: falls by a third when what spilled there comes late, and rises by a
    twentieth each beat while it comes in time.  Guards against feeding a fire: a zone that slows while it absorbs."""

    FALL, RISE, LEAST, FEW = 2 / 3, 0.05, 0.05, 3

    def __init__(self) -> None:
        self.level, self.good, self.bad = 1.0, 0, 0

    def saw(self, late: bool) -> None:
        self.good, self.bad = self.good + (not late), self.bad + late

    def beat(self, late_part: float) -> None:
        """Twice a second, on what was seen since the last time that there was enough.  One late answer more than the
        part allows passes: else a relay with few answers takes chance for a fire (one late of three)."""
        seen = self.good + self.bad
        if seen >= self.FEW and self.bad > late_part * seen + 1:
            self.level = max(self.LEAST, self.level * self.FALL)
        elif not self.bad:
            self.level = min(1.0, self.level + self.RISE)
        if seen >= self.FEW:
            self.good = self.bad = 0
