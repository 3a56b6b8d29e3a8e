"""The checker of the stated limit on spill between zones, over a record and nothing else.

All relays together may send to a zone, from other zones, at most so much on top of what the zone's own relays usually
send it.
"""

from collections import deque

from ..record.lines import Head, InvocationTaken, Line, ShotSent, Unit

SECOND = 10_000


class Spill:
    """Feed it a record; `nearest` is the closest that the limit came (1 is the limit), `peaks` by zone the most that
    came from outside in a span over the usual own use, `breaches` how many shots were beyond it."""

    SPAN, USUAL, LEAST = 2 * SECOND, 10 * SECOND, 20  # of a window; of what is usual; shots that say something
    CHANCE = 3.0  # standard deviations that Poisson arrivals may add in a window

    def __init__(self, over: float) -> None:
        self.over = over
        self.zone_of: dict[str, str] = {}
        self.relays: list[str] = []
        self.asked: dict[str, deque[int]] = {}  # takes of a zone's relays in the usual span
        self.come: dict[str, deque[int]] = {}  # shots from outside in the span
        self.usual: dict[str, float] = {}  # the most that was usual, a second
        self.peaks: dict[str, float] = {}
        self.nearest, self.breaches = 0.0, 0

    def __call__(self, line: Line) -> None:
        match line:
            case Head():
                zones = line.day["fleet"]["zones"]
                self.relays = [zones[relay % len(zones)] for relay in range(line.day["fleet"]["relays"])]
            case Unit(_, unit, _, zone):
                self.zone_of[unit] = zone
            case InvocationTaken(at, relay):
                asked = self.asked.setdefault(self.relays[relay], deque())
                asked.append(at)
                while asked[0] <= at - self.USUAL:
                    asked.popleft()
                rate = len(asked) / self.USUAL * SECOND if at > self.USUAL else 0.0
                self.usual[self.relays[relay]] = max(self.usual.get(self.relays[relay], 0.0), rate)
            case ShotSent(at, relay, _, _, unit):
                zone = self.zone_of.get(unit, "")
                if zone != self.relays[relay]:
                    self.foreign(at, zone)

    def foreign(self, at: int, zone: str) -> None:
        come = self.come.setdefault(zone, deque())
        come.append(at)
        while come[0] <= at - self.SPAN:
            come.popleft()
        usual = self.usual.get(zone, 0.0) * self.SPAN / SECOND
        if usual < self.LEAST:
            return
        allowed = self.over * usual
        self.peaks[zone] = max(self.peaks.get(zone, 0.0), len(come) / usual)
        self.nearest = max(self.nearest, len(come) / allowed if allowed else 9.0)
        self.breaches += len(come) > allowed + self.CHANCE * (allowed + 1) ** 0.5 + len(self.relays)
