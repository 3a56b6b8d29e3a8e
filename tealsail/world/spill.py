"""Checker of the stated limit on spill between zones; it reads records only.

All relays together may send to a zone, from other zones, at most a stated share on top of what the zone's own relays
usually send to it.
"""

from collections import deque

from ..record.lines import Head, InvocationTaken, Line, ShotSent, UnitEvent
from ..time_limits import SECOND


class SpillChecker:
    """Reads a record line by line; times are tenths of a ms.

    `over` is the limit, as a share of a zone's usual traffic.  Results: `peak_fraction` is the most of the limit that
    was used (1 is the limit), `peaks` the most foreign shots in a window by zone, over the usual traffic, and
    `breaches` the number of shots beyond the limit.
    """

    WINDOW = 2 * SECOND  # in which foreign shots are counted
    USUAL_SPAN = 10 * SECOND  # over which the usual traffic is measured
    FEWEST_SHOTS = 20  # usual shots in a window; with fewer it is not judged
    DEVIATIONS = 3.0  # standard deviations that Poisson arrivals may add in a window

    def __init__(self, over: float) -> None:
        self.over = over
        self.zone_of: dict[str, str] = {}  # by unit
        self.relay_zones: list[str] = []
        self.taken: dict[str, deque[int]] = {}  # times at which a zone's relays took invocations, over the usual span
        self.foreign: dict[str, deque[int]] = {}  # times of foreign shots at a zone, over the window
        self.usual: dict[str, float] = {}  # the highest usual rate of a zone, per second
        self.peaks: dict[str, float] = {}
        self.peak_fraction, self.breaches = 0.0, 0

    def __call__(self, line: Line) -> None:
        match line:
            case Head():
                zones = line.day["fleet"]["zones"]
                self.relay_zones = [zones[relay % len(zones)] for relay in range(line.day["fleet"]["relays"])]
            case UnitEvent(_, unit, _, zone):
                self.zone_of[unit] = zone
            case InvocationTaken(at, relay):
                taken = self.taken.setdefault(self.relay_zones[relay], deque())
                taken.append(at)
                while taken[0] <= at - self.USUAL_SPAN:
                    taken.popleft()
                rate = len(taken) / self.USUAL_SPAN * SECOND if at > self.USUAL_SPAN else 0.0
                self.usual[self.relay_zones[relay]] = max(self.usual.get(self.relay_zones[relay], 0.0), rate)
            case ShotSent(at, relay, _, _, unit):
                zone = self.zone_of.get(unit, "")
                if zone != self.relay_zones[relay]:
                    self.check_foreign(at, zone)

    def check_foreign(self, at: int, zone: str) -> None:
        """Counts one shot from another zone and checks the window that ends with it."""
        foreign = self.foreign.setdefault(zone, deque())
        foreign.append(at)
        while foreign[0] <= at - self.WINDOW:
            foreign.popleft()
        usual = self.usual.get(zone, 0.0) * self.WINDOW / SECOND
        if usual < self.FEWEST_SHOTS:
            return
        allowed = self.over * usual
        self.peaks[zone] = max(self.peaks.get(zone, 0.0), len(foreign) / usual)
        self.peak_fraction = max(self.peak_fraction, len(foreign) / allowed if allowed else 9.0)  # 9: none is allowed
        self.breaches += len(foreign) > allowed + self.DEVIATIONS * (allowed + 1) ** 0.5 + len(self.relay_zones)
