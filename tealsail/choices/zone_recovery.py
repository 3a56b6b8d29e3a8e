"""How a lost zone is brought back: in steps by time and by evidence, after a longer wait each time that it flaps."""

from .tiers import Zoning

UP = "up"
OUT = "out"
WAITING = "waiting"
RAMP = "ramp"


class ZoneRecovery:
    """The state of one zone, as one relay sees it: UP, OUT (lost), WAITING (available, before the ramp) or RAMP.

    `level` (0 to 1) is the part of the zone's capacity that is used.  `mark_lost` and `mark_available` are called as
    that is seen, `record_answer` for each answer, `update` twice a second.  All times are tenths of a ms.
    """

    def __init__(self, zoning: Zoning, jitter: float) -> None:
        """`jitter` (0 to 1) spreads the waits of relays that lost the zone at one moment."""
        self.zoning, self.jitter = zoning, jitter
        self.state, self.level = UP, 1.0
        self.flaps, self.since = 0, -1 << 60  # losses in a row without a calm time between; when the state began
        self.good = self.bad = 0  # answers in time and late, since the last step
        self.stepped_at = 0

    def mark_lost(self, now: int) -> None:
        """The zone is unreachable, or most of it is gone.  A loss soon after the last return is a flap."""
        if self.state in (OUT,):
            return
        soon = self.state != UP or now - self.since < self.zoning.calm
        self.flaps = self.flaps + 1 if soon else 0
        self.enter(OUT, 0.0, now)

    def mark_available(self, now: int) -> None:
        """The zone may be used again as far as is known: the wait begins."""
        if self.state == OUT:
            self.enter(WAITING, 0.0, now)

    def record_answer(self, in_time: bool) -> None:
        self.good, self.bad = self.good + in_time, self.bad + (not in_time)

    def record_reported(self, good: int, bad: int) -> None:
        """Answers that other relays reported."""
        self.good, self.bad = self.good + good, self.bad + bad

    def wait_time(self) -> int:
        """The wait before the ramp begins: twice as long for each flap, with a bound, times 0.75 to 1.25 by jitter."""
        zoning = self.zoning
        return int(min(zoning.longest_wait, zoning.wait << min(self.flaps, 20)) * (0.75 + 0.5 * self.jitter))

    def update(self, now: int, usual: float = 1 << 30) -> None:
        """Moves on by time and by the answers since the last step.

        `usual`: shots that a healthy zone is sent in a step.  A step needs the configured number of answers in time, or
        half of those that can be had, one at the least: among hundreds of relays each has few, and all of them together
        have many.
        """
        if self.state == WAITING and now >= self.since + self.wait_time():
            self.enter(RAMP, self.zoning.first, now)
        elif self.state == RAMP:
            seen = self.good + self.bad
            needed = max(1.0, min(self.zoning.least, self.level * usual / 2))
            if seen >= needed and self.bad > self.zoning.late_part * seen:
                self.level = max(self.zoning.first, self.level / 2)  # too many late answers: one step back
                self.good = self.bad = 0
                self.stepped_at = now
            elif now >= self.stepped_at + self.zoning.step and self.good >= needed:
                self.level, self.stepped_at, self.good, self.bad = min(1.0, 2 * self.level), now, 0, 0
                if self.level >= 1:
                    self.enter(UP, 1.0, now)
            elif now >= self.since + self.zoning.calm and not self.bad:
                self.enter(UP, 1.0, now)  # too little was sent there for so long to give evidence

    def enter(self, state: str, level: float, now: int) -> None:
        self.state, self.level, self.since, self.stepped_at, self.good, self.bad = state, level, now, now, 0, 0
