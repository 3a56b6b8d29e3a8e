"""Checker of the five rules.  It reads records only and shares no code with the decisions that it checks.

1. lost: each invocation that a relay took gets exactly one final answer, in time.
2. twice: no second copy of an invocation is out while one is; an invocation that may have run is sent again only as its
   workload allows.
3. drains: nothing is sent to a unit later than the grace after this relay learnt that it drains or is gone.
4. cold: no unit that has just started is sent more than a multiple of what it can do.
5. exposure: in any span a relay's shots at a build on trial stay within the free ones and the cap's share of the
   invocations that it took.

A relay's process that is stopped from outside cannot act in time: its time limits are extended by the time for which it
was stopped.  Times are tenths of a ms.
"""

from collections import deque
from typing import Any, NamedTuple

from ..record.lines import (
    EntryReceived,
    Head,
    InvocationEnded,
    InvocationTaken,
    Line,
    RelayEvent,
    ShotEnded,
    ShotSent,
    ShotStarted,
    StageReceived,
    UnitEvent,
)
from ..time_limits import MAX_HOLD_UP, SECOND

NEVER_RAN = ("full", "unreachable", "moot", "withheld")  # outcomes of shots that certainly had no effect
MOST_BREACHES_KEPT = 50  # with their text; all are counted
LONG_AGO = -1 << 60
STILL_STOPPED = 1 << 60  # end of a stop that has not ended yet
MOST_STOPS_KEPT = 2_000  # per relay
FORGET_AFTER = 600_000  # tenths of a ms after its answer an invocation is forgotten


class Breach(NamedTuple):
    """One breach of a rule."""

    at: int
    rule: str
    text: str


class Slack(NamedTuple):
    """What is tolerated beyond the rules.

    Trials on sockets tolerate 150 ms in time, 2 shots and 4% of exposure.  The sockets' bench allows 50 ms longer
    times, 2 shots and 4% more.
    """

    time: int = 0  # tenths of a ms
    shots: float = 0.0  # at a build on trial
    part: float = 0.0  # share that is added to the cap


SOCKET_SLACK = Slack(time=MAX_HOLD_UP, shots=2, part=0.04)  # of trials on sockets


class Invocation:
    """An invocation that a relay has taken.

    `outstanding` holds its shots that are out (place -> when sent); `maybe_ran` and `maybe_ran_at` say that a shot may
    have run, and when the first such shot was sent; `is_answered` and `client_left` say that it has its final answer.
    """

    __slots__ = ("take", "outstanding", "maybe_ran", "maybe_ran_at", "is_answered", "client_left", "overlapped")

    def __init__(self, take: InvocationTaken) -> None:
        self.take, self.outstanding, self.maybe_ran, self.maybe_ran_at = take, {}, False, 0
        self.is_answered, self.client_left = False, False
        self.overlapped: dict[int, int] = {}  # shots out when another was sent, whose ends may be recorded late: since


class ColdUnit:
    """The work that a unit which has just started was sent in the latest span, as (when, work)."""

    def __init__(self, line: UnitEvent) -> None:
        self.line, self.sent, self.total, self.peak_fraction = line, deque(), 0, 0.0


class RuleChecker:
    """Reads a record line by line, then `close` is called.

    Results: `breaches`, `counts` by rule, and `peak_fraction` by rule, the most of a limit that was used (1 is the
    limit).
    """

    def __init__(self, slack: Slack = Slack()) -> None:
        self.slack = slack
        self.settings: dict[str, Any] = {}
        self.workloads: list[dict[str, Any]] = []
        self.breaches: list[Breach] = []
        self.counts = dict.fromkeys(("lost", "twice", "drains", "cold", "exposure"), 0)
        self.peak_fraction = {"cold": 0.0, "exposure": 0.0}
        self.cold_by_second: dict[int, float] = {}  # second -> the most of the cold limit that any unit used in it
        self.invocations: dict[tuple[int, int], Invocation] = {}  # by relay and number
        self.answered: deque[tuple[int, tuple[int, int]]] = deque()  # when, and relay and number
        self.leaving: dict[int, dict[str, int]] = {}  # relay -> unit that drains or is gone -> when the relay learnt it
        self.listed: dict[int, dict[str, int]] = {}  # relay -> unit -> build as last listed
        self.news: dict[int, StageReceived] = {}  # relay -> the latest rollout state that it received
        self.lowered: dict[int, tuple[int, float]] = {}  # relay -> when its cap was lowered, and from what
        self.taken: dict[int, deque[int]] = {}  # relay -> times at which it took invocations, in the span
        self.trial_shots: dict[tuple[int, int], deque[int]] = {}  # relay and build -> times of shots in the span
        self.cold_units: dict[str, ColdUnit] = {}
        self.stops: dict[int, deque[list[int]]] = {}  # relay -> when its process was stopped: from, to
        self.latest_at = 0  # time of the latest line
        self.handlers = {
            Head: self.read_head,
            InvocationTaken: self.read_take,
            ShotSent: self.read_shot,
            ShotEnded: self.read_came,
            InvocationEnded: self.read_end,
            ShotStarted: self.read_ran,
            UnitEvent: self.read_unit,
            EntryReceived: self.read_told,
            StageReceived: self.read_news,
            RelayEvent: self.read_life,
        }

    def __call__(self, line: Line) -> None:
        """Reads one line; a Head has to come first."""
        handler = self.handlers.get(type(line))
        self.latest_at = line.at
        if handler:
            handler(line)

    def add_breach(self, at: int, rule: str, text: str) -> None:
        """Counts a breach and keeps the first ones."""
        self.counts[rule] += 1
        if len(self.breaches) < MOST_BREACHES_KEPT:
            self.breaches.append(Breach(at, rule, text))

    def stopped_time(self, relay: int, first: int, last: int) -> int:
        """For how long between these times the relay's process was stopped."""
        return sum(max(0, min(last, to) - max(first, since)) for since, to in self.stops.get(relay, ()))

    def close(self) -> None:
        """Ends the record: invocations without an answer are lost."""
        for (relay, number), invocation in self.invocations.items():
            if not invocation.is_answered:
                self.add_breach(self.latest_at, "lost", f"relay {relay} never answered invocation {number}")

    def read_head(self, line: Head) -> None:
        self.settings, self.workloads = line.settings, line.settings.get("workloads", [])
        self.span = int(self.settings.get("exposure_span", 20_000))
        self.grace = int(self.settings.get("drain_grace", 0))
        self.fall = float(self.settings.get("fall_multiple", 2.0)), int(self.settings.get("fall_span", 20_000))

    # rules 1 and 2: lost, twice
    def read_take(self, line: InvocationTaken) -> None:
        self.invocations[line.relay, line.number] = Invocation(line)
        self.taken.setdefault(line.relay, deque()).append(line.at)

    def read_end(self, line: InvocationEnded) -> None:
        """An invocation has its final answer, or its client has left."""
        invocation = self.invocations.get((line.relay, line.number))
        if invocation is None:
            return self.add_breach(
                line.at, "lost", f"relay {line.relay} answered invocation {line.number}, which it had not taken"
            )
        if invocation.is_answered:
            return self.add_breach(line.at, "lost", f"relay {line.relay} answered invocation {line.number} twice")
        invocation.is_answered, invocation.client_left = True, line.answer == "left"
        if line.answer != "lost" and line.at > invocation.take.deadline + self.slack.time + int(
            self.settings.get("answer_slack", 0)
        ) + self.stopped_time(line.relay, invocation.take.at, line.at):
            self.add_breach(line.at, "lost", f"relay {line.relay} answered invocation {line.number} too late")
        if (
            line.answer == "rejected"
            and invocation.maybe_ran
            and self.workloads[invocation.take.workload].get("effect") == "one-shot"
        ):
            self.add_breach(
                line.at, "twice", f"relay {line.relay} rejected invocation {line.number}, which may have run"
            )
        self.answered.append((line.at, (line.relay, line.number)))
        while self.answered and self.answered[0][0] < line.at - FORGET_AFTER:
            self.invocations.pop(self.answered.popleft()[1], None)

    def read_shot(self, line: ShotSent) -> None:
        """A relay sent a shot: checks rules 1, 2, 3 and 5."""
        invocation = self.invocations.get((line.relay, line.number))
        if invocation and invocation.client_left and self.stopped_time(line.relay, invocation.take.at, line.at):
            pass  # its client left while the relay was stopped: it reads the query before the end of the connection
        elif invocation is None or invocation.is_answered:
            self.add_breach(
                line.at,
                "lost",
                f"relay {line.relay} sent a shot for invocation {line.number}, which it had answered or not taken",
            )
        else:
            if invocation.outstanding and not self.slack.time:
                self.add_breach(
                    line.at, "twice", f"relay {line.relay} sent invocation {line.number} while a copy was out"
                )
            for place in invocation.outstanding:
                invocation.overlapped.setdefault(place, line.at)
            workload = self.workloads[invocation.take.workload]
            if (
                invocation.maybe_ran
                and workload.get("effect") != "harmless"
                and (
                    workload.get("effect") != "stamped"
                    or line.at >= invocation.maybe_ran_at + workload.get("memory", 0)
                )
            ):
                self.add_breach(
                    line.at, "twice", f"relay {line.relay} sent invocation {line.number} again, which may have run"
                )
            invocation.outstanding[line.place] = line.at
        self.check_drained(line)
        self.check_exposure(line)

    def read_came(self, line: ShotEnded) -> None:
        """A shot has ended.  With slack, a second copy is a breach only if this shot stayed out beside it for
        longer."""
        invocation = self.invocations.get((line.relay, line.number))
        if invocation and line.place in invocation.outstanding:
            sent = invocation.outstanding.pop(line.place)
            since = invocation.overlapped.pop(line.place, line.at)
            if self.slack.time and line.at > since + self.slack.time + self.stopped_time(line.relay, since, line.at):
                self.add_breach(
                    line.at, "twice", f"relay {line.relay} had two copies of invocation {line.number} out at once"
                )
            if line.outcome not in NEVER_RAN and not invocation.maybe_ran:
                invocation.maybe_ran, invocation.maybe_ran_at = True, sent

    # rule 3: drains
    def read_told(self, line: EntryReceived) -> None:
        """A relay received an entry on a unit: it is open, or it is leaving (draining or gone)."""
        listed = self.listed.setdefault(line.relay, {})
        leaving = self.leaving.setdefault(line.relay, {})
        if line.state == "open":
            listed[line.unit] = line.build
            leaving.pop(line.unit, None)
        else:
            leaving.setdefault(line.unit, line.at)

    def check_drained(self, line: ShotSent) -> None:
        """Checks a shot against rule 3."""
        since = self.leaving.get(line.relay, {}).get(line.unit)
        if since is not None and line.at > since + self.grace + self.slack.time + self.stopped_time(
            line.relay, since, line.at
        ):
            self.add_breach(
                line.at,
                "drains",
                f"relay {line.relay} sent to {line.unit} {line.at - since} tenths of a ms after it was told",
            )

    # rule 4: cold
    def read_unit(self, line: UnitEvent) -> None:
        if line.event == "runs" and line.at > 0:
            self.cold_units[line.unit] = ColdUnit(line)
        elif line.event in ("dies", "fell", "gone"):
            self.cold_units.pop(line.unit, None)
        if line.event == "fell":
            self.add_breach(line.at, "cold", f"{line.unit} crashed under overload while cold")

    def read_ran(self, line: ShotStarted) -> None:
        """A unit took a shot in: checks the work that a cold unit was sent in the span that ends with it."""
        cold = self.cold_units.get(line.unit)
        if cold is None:
            return
        start, (multiple, span) = cold.line, self.fall
        age = line.at - start.at
        if age >= start.warm_up:
            del self.cold_units[line.unit]
            return
        cold.sent.append((line.at, line.work))
        cold.total += line.work
        while cold.sent[0][0] <= line.at - span:
            cold.total -= cold.sent.popleft()[1]
        capacity = start.capacity * (start.cold_from + (1 - start.cold_from) * age / start.warm_up)
        fraction = cold.total / (multiple * capacity * span)
        self.peak_fraction["cold"] = max(self.peak_fraction["cold"], fraction)
        second = line.at // SECOND
        self.cold_by_second[second] = max(self.cold_by_second.get(second, 0.0), fraction)
        if fraction > 1:
            self.add_breach(line.at, "cold", f"{line.unit} was sent {fraction:.2f} times its limit while cold")

    # rule 5: exposure
    def read_news(self, line: StageReceived) -> None:
        before = self.news.get(line.relay)
        if before and before.build == line.build and line.cap < before.cap:
            self.lowered[line.relay] = line.at, before.cap
        self.news[line.relay] = line

    def cap(self, line: ShotSent, build: int) -> float | None:
        """The cap on that build at the shot's relay; None if the build is not on trial there.  A lowered cap binds
        after the grace, for shots sent from then on."""
        news = self.news.get(line.relay)
        if news is None or build < news.build or (build == news.build and news.phase == "released"):
            return None
        if build > news.build:
            return self.settings.get("caps", [0.0])[0]
        at, higher = self.lowered.get(line.relay, (LONG_AGO, 0.0))
        late = self.slack.time + self.stopped_time(line.relay, at, line.at)
        return max(news.cap, higher) if line.at <= at + self.grace + late else news.cap

    def check_exposure(self, line: ShotSent) -> None:
        """Checks a shot against rule 5, in the span that ends with it.  Once a lowered cap binds, only shots sent since
        then count."""
        build = self.listed.get(line.relay, {}).get(line.unit, line.build)
        cap = self.cap(line, build)
        if cap is None:
            return
        shots = self.trial_shots.setdefault((line.relay, build), deque())
        shots.append(line.at)
        taken = self.taken.get(line.relay, deque())
        binds_at = self.lowered.get(line.relay, (LONG_AGO, 0.0))[0] + self.grace + self.slack.time
        for times, first in ((shots, binds_at if line.at > binds_at else LONG_AGO), (taken, LONG_AGO)):
            while times and times[0] <= max(first, line.at - self.span):
                times.popleft()
        allowed = self.settings.get("free_shots", 0) + self.slack.shots + cap * (1 + self.slack.part) * len(taken)
        self.peak_fraction["exposure"] = max(
            self.peak_fraction["exposure"],
            len(shots) / allowed if allowed else 9.0,  # 9: none is allowed
        )
        if len(shots) > allowed + 1e-9:
            self.add_breach(
                line.at, "exposure", f"relay {line.relay}: {len(shots)} shots at build {build}, {allowed:.1f} allowed"
            )

    def read_life(self, line: RelayEvent) -> None:
        """A relay that starts knows nothing of what it received before."""
        stops = self.stops.setdefault(line.relay, deque(maxlen=MOST_STOPS_KEPT))
        if line.event == "stopped":
            stops.append([line.at, STILL_STOPPED])
        elif stops and stops[-1][1] == STILL_STOPPED:
            # it runs again or has ended; what arrived while it was stopped counts as taken now
            stops[-1][1] = line.at
            taken = self.taken.get(line.relay, deque())
            self.taken[line.relay] = deque(max(at, line.at) if at >= stops[-1][0] else at for at in taken)
        if line.event == "up":
            for known in (self.leaving, self.listed, self.news, self.lowered, self.taken):
                known.pop(line.relay, None)
            for key in [key for key in self.trial_shots if key[0] == line.relay]:
                del self.trial_shots[key]


def check(lines: Any, slack: Slack = Slack()) -> RuleChecker:
    """Checks all lines of a record, an iterable."""
    checker = RuleChecker(slack)
    for line in lines:
        checker(line)
    checker.close()
    return checker
