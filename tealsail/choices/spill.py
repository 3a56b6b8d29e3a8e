"""Which part of its invocations a relay keeps in each tier, and which part no tier may take.

From what the zones can do now against what is usual there.  Every relay works this out alone, from the list and from
what it sees; nothing depends on what others have just decided, so relays that act at one moment do not swing.  Relays
of zones that are short share the next tier's room in proportion to what their zones are short of, which the list tells
all of them alike.
"""
from typing import NamedTuple

from .tiers import Tier, Zoning


class View(NamedTuple):
    """A zone: weights that are usual there, and that can be used now (silent, cold and returning units in part)."""
    usual: float
    able: float


class Split(NamedTuple):
    """`keep` by tier, nearest first: what is missing to one in all is to be rejected.  `room` by zone of the further
    tiers: the stated limit of what may go there, before evidence.  Both are parts of what a relay takes."""
    keep: list[float]
    room: dict[int, float]


def split(order: list[Tier], zones: dict[int, View], give: dict[int, float], zoning: Zoning) -> Split:
    """`give`: 0 to 1 by zone, how far evidence lets work spill there.  The first tier is the nearest that ever had
    units.  Where all zones fell alike nothing spills: there is nowhere better.  The usual use of a zone is taken to go
    with its usual weight."""
    part = {zone: view.able / view.usual if view.usual > 0 else 0.0 for zone, view in zones.items()}
    best = max(part.values(), default=0.0)
    if best <= 0:
        return Split([0.0] * len(order), {})
    health = {zone: each / best for zone, each in part.items()}
    short = {zone: view.usual * (1 - kept(part[zone], health[zone], zoning)) for zone, view in zones.items()}
    total, left, spilled, first = sum(short.values()), 1.0, 0.0, 0.0
    keep: list[float] = []
    room: dict[int, float] = {}
    for tier in order:
        usual = sum(zones[zone].usual for zone in tier.zones)
        if not first:                            # none nearer ever had units
            mine = sum(short[zone] for zone in tier.zones)
            takes, first = (1 - mine / usual if usual else 0.0), usual
        else:
            for zone in tier.zones:
                extra = zones[zone].usual * max(0.0, zoning.spill_over - zoning.spare * (1 - health[zone]))
                room[zone] = min(zoning.spill_share, extra / first * (mine / total if total else 0.0))
            takes = max(0.0, min(left, sum(room[zone] * give[zone] for zone in tier.zones), zoning.spill_share - spilled))
            spilled += takes
        keep.append(takes)
        left -= takes
    return Split(keep, room)


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
        """Twice a second, on what was seen since the last time that there was enough.  One late answer more than the part
        allows passes: else a relay with few answers takes chance for a fire (one late of three)."""
        seen = self.good + self.bad
        if seen >= self.FEW and self.bad > late_part * seen + 1:
            self.level = max(self.LEAST, self.level * self.FALL)
        elif not self.bad:
            self.level = min(1.0, self.level + self.RISE)
        if seen >= self.FEW:
            self.good = self.bad = 0
