"""The checker of the five rules, over a record and nothing else: it shares no code with the decisions it checks.

1. lost: each invocation that a relay took gets one final answer, in time; not two.
2. twice: no second copy while one is out; what may have run goes out again only as its workload allows.
3. drains: nothing goes to a unit later than the grace after this relay was told that it drains or is gone.
4. cold: no unit that has just started is sent more than so many times what it can do.
5. exposure: in any span a relay's shots at a build on trial stay within the free ones and the cap's share of what it
   took.

A relay's process that is stopped from outside keeps nothing in time: what it has to do within a time, it has that
much longer.
"""

from collections import deque
from typing import Any, NamedTuple

from ..record.lines import (
    EntryReceived,
    Head,
    InvocationEnded,
    InvocationTaken,
    Line,
    News,
    RelayEvent,
    ShotEnded,
    ShotSent,
    ShotStarted,
    Unit,
)

NEVER_RAN = ("full", "unreachable", "moot")
MOST_TOLD = 50  # breaches kept word for word
LONG_AGO, LATER = -1 << 60, 1 << 60
MOST_HALTS = 2_000  # of one relay that are kept
FORGET = 600_000  # tenths of a ms after which what is over is forgotten


class Breach(NamedTuple):
    """One rule broken, once."""

    at: int
    rule: str
    text: str


class Slack(NamedTuple):
    """What passes: times of the sockets' bench are 50 ms longer, 2 shots and 4% more pass there."""

    time: int = 0  # tenths of a ms
    shots: float = 0.0
    part: float = 0.0


class Open:
    """An invocation that a relay has at hand."""

    __slots__ = ("take", "out", "ran", "ran_at", "ended", "left", "doubt")

    def __init__(self, take: InvocationTaken) -> None:
        self.take, self.out, self.ran, self.ran_at, self.ended, self.left = take, {}, False, 0, False, False
        self.doubt: dict[int, int] = {}  # copies whose end may still be on its way to whoever looks: since when


class Cold:
    """What a unit that has just started was sent, as (when, work), in its latest span."""

    def __init__(self, line: Unit) -> None:
        self.line, self.sent, self.total, self.nearest = line, deque(), 0, 0.0


class Rules:
    """Feed it a record, line by line; then read `breaches`, `counts` and `nearest` (the closest that each limit came:
    1 is the limit)."""

    def __init__(self, slack: Slack = Slack()) -> None:
        self.slack = slack
        self.facts: dict[str, Any] = {}
        self.effects: list[dict[str, Any]] = []
        self.breaches: list[Breach] = []
        self.counts = dict.fromkeys(("lost", "twice", "drains", "cold", "exposure"), 0)
        self.nearest = {"cold": 0.0, "exposure": 0.0}
        self.cold_by_second: dict[int, float] = {}  # the closest to the limit of any unit in that second
        self.open: dict[tuple[int, int], Open] = {}
        self.closed: deque[tuple[int, tuple[int, int]]] = deque()
        self.warned: dict[int, dict[str, int]] = {}  # relay -> unit that drains or is gone -> since
        self.listed: dict[int, dict[str, int]] = {}  # relay -> unit -> build as last listed
        self.news: dict[int, News] = {}
        self.lowered: dict[int, tuple[int, float]] = {}  # relay -> when its cap fell, and from what
        self.taken: dict[int, deque[int]] = {}
        self.tried: dict[tuple[int, int], deque[int]] = {}  # relay and build -> shots in the span
        self.cold: dict[str, Cold] = {}
        self.halts: dict[int, deque[list[int]]] = {}  # relay -> when its process stood still: from, to
        self.last = 0
        self.handlers = {
            Head: self.head,
            InvocationTaken: self.take,
            ShotSent: self.shot,
            ShotEnded: self.came,
            InvocationEnded: self.end,
            ShotStarted: self.ran,
            Unit: self.unit,
            EntryReceived: self.told,
            News: self.stood,
            RelayEvent: self.life,
        }

    def __call__(self, line: Line) -> None:
        handler = self.handlers.get(type(line))
        self.last = line.at
        if handler:
            handler(line)

    def breach(self, at: int, rule: str, text: str) -> None:
        self.counts[rule] += 1
        if len(self.breaches) < MOST_TOLD:
            self.breaches.append(Breach(at, rule, text))

    def halted(self, relay: int, first: int, last: int) -> int:
        """For how long of that time its process was stopped."""
        return sum(max(0, min(last, to) - max(first, since)) for since, to in self.halts.get(relay, ()))

    def close(self) -> None:
        """The record has ended: what is still open was lost."""
        for (relay, number), one in self.open.items():
            if not one.ended:
                self.breach(self.last, "lost", f"relay {relay} never answered {number}")

    def head(self, line: Head) -> None:
        self.facts, self.effects = line.facts, line.facts.get("workloads", [])
        self.span = int(self.facts.get("exposure_span", 20_000))
        self.grace = int(self.facts.get("drain_grace", 0))
        self.fall = float(self.facts.get("fall_multiple", 2.0)), int(self.facts.get("fall_span", 20_000))

    # 1 and 2
    def take(self, line: InvocationTaken) -> None:
        self.open[line.relay, line.number] = Open(line)
        self.taken.setdefault(line.relay, deque()).append(line.at)

    def end(self, line: InvocationEnded) -> None:
        one = self.open.get((line.relay, line.number))
        if one is None:
            return self.breach(line.at, "lost", f"relay {line.relay} answered {line.number}, which it had not taken")
        if one.ended:
            return self.breach(line.at, "lost", f"relay {line.relay} answered {line.number} twice")
        one.ended, one.left = True, line.answer == "left"
        if line.answer != "lost" and line.at > one.take.give_up + self.slack.time + int(
            self.facts.get("answer_slack", 0)
        ) + self.halted(line.relay, one.take.at, line.at):
            self.breach(line.at, "lost", f"relay {line.relay} answered {line.number} too late")
        if line.answer == "rejected" and one.ran and self.effects[one.take.workload].get("effect") == "one-shot":
            self.breach(line.at, "twice", f"relay {line.relay} rejected {line.number}, which may have run")
        self.closed.append((line.at, (line.relay, line.number)))
        while self.closed and self.closed[0][0] < line.at - FORGET:
            self.open.pop(self.closed.popleft()[1], None)

    def shot(self, line: ShotSent) -> None:
        one = self.open.get((line.relay, line.number))
        if one and one.left and self.halted(line.relay, one.take.at, line.at):
            pass  # its client left while it was stopped: it reads the query before that
        elif one is None or one.ended:
            self.breach(line.at, "lost", f"relay {line.relay} sent a shot for {line.number}, which was over")
        else:
            if one.out and not self.slack.time:
                self.breach(line.at, "twice", f"relay {line.relay} sent {line.number} while a copy was out")
            for place in one.out:
                one.doubt.setdefault(place, line.at)
            effect = self.effects[one.take.workload]
            if (
                one.ran
                and effect.get("effect") != "harmless"
                and (effect.get("effect") != "stamped" or line.at >= one.ran_at + effect.get("memory", 0))
            ):
                self.breach(line.at, "twice", f"relay {line.relay} sent {line.number} again, which may have run")
            one.out[line.place] = line.at
        self.drained(line)
        self.exposed(line)

    def came(self, line: ShotEnded) -> None:
        one = self.open.get((line.relay, line.number))
        if one and line.place in one.out:
            sent = one.out.pop(line.place)
            since = one.doubt.pop(line.place, line.at)
            if self.slack.time and line.at > since + self.slack.time + self.halted(line.relay, since, line.at):
                self.breach(line.at, "twice", f"relay {line.relay} had a copy of {line.number} out beside another")
            if line.outcome not in NEVER_RAN and not one.ran:
                one.ran, one.ran_at = True, sent

    # 3
    def told(self, line: EntryReceived) -> None:
        listed = self.listed.setdefault(line.relay, {})
        warned = self.warned.setdefault(line.relay, {})
        if line.state == "open":
            listed[line.unit] = line.build
            warned.pop(line.unit, None)
        else:
            warned.setdefault(line.unit, line.at)

    def drained(self, line: ShotSent) -> None:
        since = self.warned.get(line.relay, {}).get(line.unit)
        if since is not None and line.at > since + self.grace + self.slack.time + self.halted(
            line.relay, since, line.at
        ):
            self.breach(
                line.at, "drains", f"relay {line.relay} sent to {line.unit} {line.at - since} after it was told"
            )

    # 4
    def unit(self, line: Unit) -> None:
        if line.event == "runs" and line.at > 0:
            self.cold[line.unit] = Cold(line)
        elif line.event in ("dies", "fell", "gone"):
            self.cold.pop(line.unit, None)
        if line.event == "fell":
            self.breach(line.at, "cold", f"{line.unit} fell over")

    def ran(self, line: ShotStarted) -> None:
        cold = self.cold.get(line.unit)
        if cold is None:
            return
        start, (multiple, span) = cold.line, self.fall
        age = line.at - start.at
        if age >= start.warm_up:
            del self.cold[line.unit]
            return
        cold.sent.append((line.at, line.work))
        cold.total += line.work
        while cold.sent[0][0] <= line.at - span:
            cold.total -= cold.sent.popleft()[1]
        able = start.capacity * (start.cold_from + (1 - start.cold_from) * age / start.warm_up)
        part = cold.total / (multiple * able * span)
        self.nearest["cold"] = max(self.nearest["cold"], part)
        second = line.at // 10_000
        self.cold_by_second[second] = max(self.cold_by_second.get(second, 0.0), part)
        if part > 1:
            self.breach(line.at, "cold", f"{line.unit} was sent {part:.2f} of its limit")

    # 5
    def stood(self, line: News) -> None:
        before = self.news.get(line.relay)
        if before and before.build == line.build and line.cap < before.cap:
            self.lowered[line.relay] = line.at, before.cap
        self.news[line.relay] = line

    def cap(self, line: ShotSent, build: int) -> float | None:
        """The share that binds for that build at that relay; None where it is not on trial.  A lower one binds
        after the grace, for what is sent from then on."""
        news = self.news.get(line.relay)
        if news is None or build < news.build or (build == news.build and news.phase == "released"):
            return None
        if build > news.build:
            return self.facts.get("caps", [0.0])[0]
        at, higher = self.lowered.get(line.relay, (LONG_AGO, 0.0))
        late = self.slack.time + self.halted(line.relay, at, line.at)
        return max(news.cap, higher) if line.at <= at + self.grace + late else news.cap

    def exposed(self, line: ShotSent) -> None:
        build = self.listed.get(line.relay, {}).get(line.unit, line.build)
        cap = self.cap(line, build)
        if cap is None:
            return
        tried = self.tried.setdefault((line.relay, build), deque())
        tried.append(line.at)
        taken = self.taken.get(line.relay, deque())
        binds = self.lowered.get(line.relay, (LONG_AGO, 0.0))[0] + self.grace + self.slack.time
        for times, first in ((tried, binds if line.at > binds else LONG_AGO), (taken, LONG_AGO)):
            while times and times[0] <= max(first, line.at - self.span):
                times.popleft()
        allowed = self.facts.get("free_shots", 0) + self.slack.shots + cap * (1 + self.slack.part) * len(taken)
        self.nearest["exposure"] = max(self.nearest["exposure"], len(tried) / allowed if allowed else 9.0)
        if len(tried) > allowed + 1e-9:
            self.breach(
                line.at, "exposure", f"relay {line.relay}: {len(tried)} shots at build {build}, {allowed:.1f} allowed"
            )

    def life(self, line: RelayEvent) -> None:
        """A relay that starts knows nothing of what it was told before."""
        halts = self.halts.setdefault(line.relay, deque(maxlen=MOST_HALTS))
        if line.event == "stopped":
            halts.append([line.at, LATER])
        elif halts and halts[-1][1] == LATER:  # it runs again, or has ended; what came meanwhile it takes now
            halts[-1][1] = line.at
            taken = self.taken.get(line.relay, deque())
            self.taken[line.relay] = deque(max(at, line.at) if at >= halts[-1][0] else at for at in taken)
        if line.event == "up":
            for known in (self.warned, self.listed, self.news, self.lowered, self.taken):
                known.pop(line.relay, None)
            for key in [key for key in self.tried if key[0] == line.relay]:
                del self.tried[key]


def check(lines: Any, slack: Slack = Slack()) -> Rules:
    """All of a record, an iterator of lines."""
    rules = Rules(slack)
    for line in lines:
        rules(line)
    rules.close()
    return rules
