"""The way back of a zone that was lost: by time and by evidence, longer each time that it flaps."""

from .tiers import Zoning

UP, OUT, WAITING, RAMP = "up", "out", "waiting", "ramp"


class Returning:
    """One zone, as one relay sees it.  `level` (0 to 1) is the part of what it can do that it gets.

    Feed it `lost` and `there` as they are seen, each answer with `saw`, and `beat` twice a second with the time.
    `luck` (0 to 1) spreads what relays do at one moment.
    """

    def __init__(self, zoning: Zoning, luck: float) -> None:
        self.zoning, self.luck = zoning, luck
        self.state, self.level = UP, 1.0
        self.flaps, self.since = 0, -1 << 60  # how often it was lost of late; when the state began
        self.good = self.bad = 0  # answers in time and late, since the last step
        self.stepped = 0

    def lost(self, now: int) -> None:
        """Out of reach, or most of it gone.  A loss soon after the last return is a flap."""
        if self.state in (OUT,):
            return
        soon = self.state != UP or now - self.since < self.zoning.calm
        self.flaps = self.flaps + 1 if soon else 0
        self.turn(OUT, 0.0, now)

    def there(self, now: int) -> None:
        """It may be used again as far as is known: the wait begins."""
        if self.state == OUT:
            self.turn(WAITING, 0.0, now)

    def saw(self, in_time: bool) -> None:
        self.good, self.bad = self.good + in_time, self.bad + (not in_time)

    def told(self, good: int, bad: int) -> None:
        """What others saw."""
        self.good, self.bad = self.good + good, self.bad + bad

    def wait(self) -> int:
        """Before the way back begins: twice as long for each flap, with a bound, spread by luck."""
        zoning = self.zoning
        return int(min(zoning.longest_wait, zoning.wait << min(self.flaps, 20)) * (0.75 + 0.5 * self.luck))

    def beat(self, now: int, usual: float = 1 << 30) -> None:
        """`usual`: shots that the zone is sent in a step when it is whole.  A step needs so many answers in time, or
        half of what can be had, one at the least: among hundreds of relays each has little, and all of it together is
        much."""
        if self.state == WAITING and now >= self.since + self.wait():
            self.turn(RAMP, self.zoning.first, now)
        elif self.state == RAMP:
            seen = self.good + self.bad
            needed = max(1.0, min(self.zoning.least, self.level * usual / 2))
            if seen >= needed and self.bad > self.zoning.late_part * seen:
                self.level = max(self.zoning.first, self.level / 2)  # it falters: back, and again from there
                self.good = self.bad = 0
                self.stepped = now
            elif now >= self.stepped + self.zoning.step and self.good >= needed:
                self.level, self.stepped, self.good, self.bad = min(1.0, 2 * self.level), now, 0, 0
                if self.level >= 1:
                    self.turn(UP, 1.0, now)
            elif now >= self.since + self.zoning.calm and not self.bad:
                self.turn(UP, 1.0, now)  # nothing was sent there that could tell, for so long

    def turn(self, state: str, level: float, now: int) -> None:
        self.state, self.level, self.since, self.stepped, self.good, self.bad = state, level, now, now, 0, 0
