"""Every decision of tealsail.  A host (interface: tealsail/host.py) builds one `Relay(host, facts, seed, now)`
for each instance, sets `relay.now` before each event and calls the `on_...` methods; what the relay wants done
it asks of the host at once.  `facts` is a plain map of settings, named in tealsail/adapter/words.py.  Times are
whole tenths of a millisecond.  The design: docs/design.md.  Read from the top: tools, what is known of units,
the chain that each invocation passes (intake, admission, trial, choice, gate), the judge, the relay's door."""
import struct
from math import erfc, sqrt
from typing import Any, Iterable
from zlib import crc32

from .host import Host

SECOND = 10_000
ON, BACK = 1, 3                                  # verdicts of a vote
ON_TRIAL, GOING_BACK, RELEASED, WITHDRAWN = range(4)
NEVER_RAN = {"full", "unreachable", "moot"}      # outcomes that prove that a shot was not run
# the groups: a latency bucket's edge is this part of the promised time; failures rank as a ninth bucket
EDGES = (0.06, 0.1, 0.16, 0.26, 0.42, 0.67, 1.07)
GROUPS = ("canary", "baseline", "before")
ROW = 2 + len(EDGES) + 1                         # served, failed, histogram
TRIAL_PART = 0.9                                 # of the allowance; the rest is kept for further shots
JUDGES = 3
EARLY_MARGIN, EARLY_EXCESS = 0.05, 3.0           # back early: failures over the baseline's share
SLOWER, REJECT_AT, LEAST = 1.4, 0.01, 20        # the rank test at the horizon
ALL_SLOWER, STEADY = 2.0, 1.15   # and how far traffic may have risen
#                               # the baseline over the time before the trial
HORIZON = 3 * SECOND + SECOND // 4               # after the newest listed start (clock: about 1 s after it)
SKIP = 2 * SECOND                                # of a new unit's life
LAUNCH = 8 * SECOND                              # a stage's units have started by then at the latest
PATIENCE = 5 * SECOND                            # how long past the horizon thin evidence is waited out
FRESH = 3 * SECOND                               # older counts are stale


def mix(*parts: int) -> int:
    """A hash that is the same in every instance."""
    state = 0x9E3779B97F4A7C15
    for part in parts:
        state = ((state ^ part) * 0xBF58476D1CE4E5B9) & (1 << 64) - 1
        state ^= state >> 29
    return state


class Chance:
    """A linear congruential generator; its high bits are used."""

    def __init__(self, seed: int) -> None:
        self.state = mix(seed)

    def share(self) -> float:
        self.state = (self.state * 6364136223846793005 + 1442695040888963407) & (1 << 64) - 1
        return (self.state >> 33) / (1 << 31)

    def pick(self, items: list) -> Any:
        return items[int(self.share() * len(items))]


class Ring:
    """What is measured over time: sums in fixed buckets that are used again."""

    def __init__(self, span: int, buckets: int = 20) -> None:
        self.span, self.width, self.size = span, max(1, -(-span // buckets)), buckets + 2
        self.sums, self.stamps = [0.0] * self.size, [-1] * self.size

    def add(self, now: int, amount: float = 1) -> None:
        stamp = now // self.width
        place = stamp % self.size
        if self.stamps[place] != stamp:
            self.stamps[place], self.sums[place] = stamp, 0.0
        self.sums[place] += amount

    def total(self, now: int, partial: bool = False) -> float:
        """The last span; the oldest bucket, only partly inside, is counted if `partial`."""
        first = (now - self.span) // self.width + (0 if partial else 1)
        return sum(amount for stamp, amount in zip(self.stamps, self.sums) if stamp >= first)


class Workload:
    def __init__(self, place: int, facts: dict[str, Any]) -> None:
        self.place = place
        self.promised: int = facts.get("promised", SECOND)
        self.abandon: int = facts.get("abandon", 4 * self.promised)
        self.effect: str = facts.get("effect", "one-shot")
        self.group: str = facts.get("group", "all")
        self.memory: int = facts.get("memory", 0)
        self.payoff: float = facts.get("payoff", 1)
        self.late_payoff: float = facts.get("late_payoff", 0)
        self.mean, self.deviation = self.promised / 5, self.promised / 10

    def saw(self, latency: int, served: bool) -> None:
        self.deviation += 0.05 * (abs(latency - self.mean) - self.deviation)
        self.mean += 0.05 * (latency - self.mean)

    def patience(self) -> int:
        """After this an answer is late for its kind: mean and four deviations, bounded by the promise."""
        return int(min(max(self.mean + 3 * self.deviation, self.promised / 4), 0.75 * self.promised))

    def bucket(self, latency: int) -> int:
        return sum(latency > edge * self.promised for edge in EDGES)


class Unit:
    """A unit as this relay sees it.  A new start or another build is a new Unit: a new cold start."""

    def __init__(self, number: int, build: int, zone: int, cell: int, weight: float, started: int,
                 span: int) -> None:
        self.number, self.build, self.zone, self.cell = number, build, zone, cell
        self.weight, self.started = max(weight, 0.01), started
        self.open = True
        self.out = 0                             # shots of this relay that are out there
        self.pace = 1.0                          # its latencies over the workload's
        self.util, self.queue, self.load_at = 0.0, 0.0, 0
        self.failing = 0.0                       # share of errors among its latest answers
        self.waiting = 0                         # since when shots are out with no answer at all
        self.rest_until, self.rest = 0, 0
        self.sent = Ring(span)

    def warmth(self, now: int, cold_from: float, warm_up: int) -> float:
        """The part of its capacity that it has at the least."""
        if not self.started or now - self.started >= warm_up:
            return 1.0
        return cold_from + (1 - cold_from) * max(0, now - self.started) / warm_up


class Invocation:
    def __init__(self, number: int, workload: Workload, customer: int, key: int | None, give_up: int,
                 work: int, repeat: bool, now: int) -> None:
        self.number, self.workload, self.customer, self.key = number, workload, customer, key
        self.give_up, self.work, self.repeat, self.taken = give_up, work, repeat, now
        self.shots: list[Shot] = []
        self.over = False
        self.held_until = 0
        self.hedge = False                       # a second copy is wanted

    def out(self) -> int:
        return sum(not shot.ended for shot in self.shots)

    def may_have_run(self) -> "Shot | None":
        """The first shot that may have run (or may yet)."""
        return next((shot for shot in self.shots if not shot.never_ran), None)

    def promised(self) -> int:
        return self.taken + self.workload.promised


class Shot:
    def __init__(self, invocation: Invocation, unit: Unit, now: int, group: str) -> None:
        self.invocation, self.unit, self.sent, self.group = invocation, unit, now, group
        self.warmth = 1.0
        self.ended = self.never_ran = False


class Stage:
    """A link of the chain.  `forward` tells whether the invocation was sent, held or ended; `backward`
    takes what came back the other way."""

    def __init__(self, relay: "Relay") -> None:
        self.relay = relay
        self.next: Any = None
        self.before: Any = None

    def backward(self, shot: Shot, outcome: str, latency: int) -> None:
        self.before.backward(shot, outcome, latency)


class Intake(Stage):
    """Takes invocations, holds those that cannot be sent just now, and gives the one final answer."""
    HOLD = 0.15                                  # of the promised time
    FURTHER = 0.2                                # further shots after a doubtful one, for each invocation taken

    def __init__(self, relay: "Relay") -> None:
        super().__init__(relay)
        self.open: dict[int, Invocation] = {}
        self.held: list[Invocation] = []
        self.purse = 5.0                         # further shots that may still be spent: no storm of repeats

    def forward(self, invocation: Invocation) -> None:
        self.open[invocation.number] = invocation
        self.purse = min(20.0, self.purse + self.FURTHER)
        self.go(invocation)

    def go(self, invocation: Invocation) -> None:
        relay = self.relay
        if relay.now >= invocation.give_up:
            self.end(invocation)
        elif not self.next.forward(invocation) and not invocation.over and not invocation.out():
            if not invocation.held_until:
                invocation.held_until = min(relay.now + int(self.HOLD * invocation.workload.promised),
                                            invocation.give_up)
            if relay.now >= invocation.held_until:
                return self.end(invocation)
            if not self.held:
                relay.host.wake(relay.now + SECOND // 50, relay.WAKE_HELD)
            self.held.append(invocation)

    def try_held(self) -> None:
        waiting, self.held = self.held, []
        for invocation in waiting:
            if not invocation.over:
                self.go(invocation)

    def end(self, invocation: Invocation) -> None:
        """The final answer, at once: a rejection if trying again is known to do no harm."""
        invocation.over = True
        self.open.pop(invocation.number, None)
        if self.relay.gate.may_reject(invocation):
            advice = min(SECOND // 2, self.relay.facts.get("longest_advice", 0))
            self.relay.host.reject(invocation.number, advice if self.relay.facts.get("may_advise") else 0)
        else:
            self.relay.host.forfeit(invocation.number)

    def overdue(self, invocation: Invocation) -> None:
        """A shot later than its kind: where its unit has answered nothing since, it is called off for another;
        where copies are allowed one is sent beside it."""
        if invocation.over or invocation.out() != 1:
            return
        place, shot = next((place, shot) for place, shot in enumerate(invocation.shots) if not shot.ended)
        silent = shot.unit.waiting <= shot.sent
        if self.relay.facts.get("two_shots"):
            if self.purse >= 1 and (silent or self.relay.admission.out() < 0.7 * self.relay.admission.limit):
                self.purse -= 1
                invocation.hedge = True
                self.next.forward(invocation)
        elif silent and self.relay.facts.get("may_cancel") and self.relay.now < invocation.give_up:
            self.relay.host.cancel(invocation.number, place)
        else:
            self.relay.host.wake(self.relay.now + invocation.workload.patience() // 2,
                                 self.relay.WAKE_LATE + invocation.number)

    def backward(self, shot: Shot, outcome: str, latency: int) -> None:
        invocation = shot.invocation
        if invocation.over:
            return
        if outcome == "served":
            return self.close(invocation)
        if invocation.out():
            return
        if not shot.never_ran:
            if self.purse < 1:
                return self.end(invocation)
            self.purse -= 1
        if len(invocation.shots) >= self.relay.facts.get("most_shots", 1):
            return self.end(invocation)
        if not self.relay.gate.may_repeat(invocation):
            return self.end(invocation)
        self.go(invocation)

    def close(self, invocation: Invocation) -> None:
        """It has its answer: nothing more is sent, and copies still out are called off."""
        invocation.over = True
        self.open.pop(invocation.number, None)
        if self.relay.facts.get("may_cancel"):
            for place, shot in enumerate(invocation.shots):
                if not shot.ended:
                    self.relay.host.cancel(invocation.number, place)


class Admission(Stage):
    """Keeps queues short enough for answers in time: a limit on this relay's shots out there, which falls with
    each late answer and rises with those in time.  What finds no room is held a moment, then rejected; the less
    an invocation pays for its time, and the further its customer is over its share, the less of the limit."""
    LATE = 0.8                                   # of the promised time
    RISE = 0.15                                  # for each answer in time; a late one costs 1

    def __init__(self, relay: "Relay") -> None:
        super().__init__(relay)
        self.limit = 40.0
        self.taken = Ring(4 * SECOND)
        self.by_customer = [Ring(4 * SECOND) for _ in relay.facts.get("customers", [])]

    def forward(self, invocation: Invocation) -> bool:
        if not invocation.shots:
            if not invocation.held_until:
                self.taken.add(self.relay.now)
                if invocation.customer < len(self.by_customer):
                    self.by_customer[invocation.customer].add(self.relay.now)
            if self.out() + 1 > self.limit * self.part(invocation):
                return False
        return self.next.forward(invocation)

    def out(self) -> int:
        return sum(unit.out for unit in self.relay.units.values() if self.relay.choice.fit(unit))

    def part(self, invocation: Invocation) -> float:
        best = max(workload.payoff / workload.mean for workload in self.relay.workloads)
        part = 1.0 if invocation.workload.payoff / invocation.workload.mean > 0.7 * best else 0.85
        return part / self.greed(invocation)

    def greed(self, invocation: Invocation) -> float:
        """How far the invocation's customer is over its share of what this relay takes."""
        if invocation.customer >= len(self.by_customer):
            return 1.0
        share = self.relay.facts["customers"][invocation.customer].get("share", 1)
        all_taken = self.taken.total(self.relay.now)
        if all_taken < 20:
            return 1.0
        mine = self.by_customer[invocation.customer].total(self.relay.now)
        return min(2.0, max(1.0, mine / all_taken / share / 1.3))

    def backward(self, shot: Shot, outcome: str, latency: int) -> None:
        workload, work = shot.invocation.workload, self.relay.gate.work(shot.invocation)
        if outcome == "full" or (outcome in ("served", "timeout") and shot.unit.waiting >= shot.sent):
            if outcome == "full" or latency / max(1.0, work) > self.LATE * workload.promised:
                self.limit = max(3.0, self.limit - 1)
            elif self.out() > 0.6 * self.limit:
                self.limit += self.RISE
        if outcome in ("served", "timeout", "cancelled"):
            workload.saw(int(latency / max(1.0, work)), outcome == "served")
        super().backward(shot, outcome, latency)


class Trial(Stage):
    """Which build: the one on trial gets its units' share, under nine tenths of the allowance, and an equal
    random slice of what goes to the earlier build is the baseline.  Keeps the groups' counts."""

    def __init__(self, relay: "Relay") -> None:
        super().__init__(relay)
        self.groups: dict[str, list[int]] = {}
        self.build = -1
        self.lately = [0.0] * ROW * len(relay.workloads)
        self.owed = 0.0                          # baseline shots that the canary group is ahead

    def new_build(self, build: int) -> None:
        self.build, self.owed = build, 0.0
        self.groups = {name: [0] * ROW * len(self.relay.workloads) for name in ("canary", "baseline")}
        self.groups["before"] = [int(count) for count in self.lately]

        self.traffic_before = self.traffic()

    def traffic(self) -> float:
        """Invocations taken of late for each unit's worth of capacity."""
        room = sum(unit.weight for unit in self.relay.units.values() if unit.open and self.relay.choice.fit(unit))
        return self.relay.admission.taken.total(self.relay.now) / max(0.01, room)

    def forget(self) -> None:
        """While nothing is on trial the latest seconds are kept: the time before the next build."""
        self.lately = [0.85 * count for count in self.lately]

    def forward(self, invocation: Invocation) -> bool:
        relay, now = self.relay, self.relay.now
        new = [unit for unit in relay.units.values() if unit.open and relay.on_trial(unit.build)]
        old = [unit for unit in relay.units.values() if unit.open and not relay.on_trial(unit.build)]
        if not new or not old:
            return self.next.forward(invocation, [old or new])
        # where earlier units are left, a further shot keeps off the build on trial, and so do all that come
        # once this relay stands for sending it back
        wanted = not invocation.shots and relay.judge.verdict != BACK
        if wanted:
            shares = [sum(unit.weight * relay.warmth(unit) for unit in units) for units in (new, old)]
            wanted = (relay.chance.share() < shares[0] / (shares[0] + shares[1])
                      and relay.gate.allowance(invocation, new[0].build, TRIAL_PART) >= 1)
        return self.next.forward(invocation, [new, old] if wanted else [old])

    def group_of(self, unit: Unit) -> str:
        """The group that a shot counts for, or none."""
        if unit.build == self.build:
            if self.relay.on_trial(self.build):
                self.owed = min(50.0, self.owed + 1)
            return "canary"
        if unit.build < self.build and self.owed > 0 and self.relay.chance.share() < self.owed / 4:
            self.owed -= 1
            return "baseline"
        return ""

    def backward(self, shot: Shot, outcome: str, latency: int) -> None:
        if shot.group and shot.group in self.groups and not shot.invocation.repeat:
            row, counts = shot.invocation.workload.place * ROW, self.groups[shot.group]
            if outcome == "served":
                counts[row] += 1
                # the first 2 s are skipped; after that a cold unit's times count by its warmth, the least it can be
                if self.relay.now - shot.unit.started > SKIP or not shot.unit.started:
                    latency = int(latency * shot.warmth)
                    counts[row + 2 + shot.invocation.workload.bucket(latency)] += 1
            elif outcome == "error" and not self.relay.choice.stands_out(shot.unit):
                counts[row + 1] += 1
        if outcome == "served" and shot.warmth >= 1 and not self.relay.on_trial(shot.unit.build):
            self.lately[shot.invocation.workload.place * ROW + 2 + shot.invocation.workload.bucket(latency)] += 1
        super().backward(shot, outcome, latency)

    def flagged(self, unit: Unit, workload: Workload) -> None:
        """A wrong answer found by a client stands for several; not for all of them, as some reports are false."""
        weight = min(3, round(1 / max(0.01, self.relay.facts.get("flag_share", 1))))
        if unit.build == self.build:
            self.groups["canary"][workload.place * ROW + 1] += weight


class Choice(Stage):
    """Which unit: two random choices inside the build, by what is out there, heard and seen to come back."""
    REST, LONGEST_REST = SECOND // 2, 4 * SECOND

    def forward(self, invocation: Invocation, builds: list[list[Unit]]) -> bool:
        relay, now = self.relay, self.relay.now
        for units in builds:
            used = {shot.unit for shot in invocation.shots}
            fit = [unit for unit in units if self.fit(unit) and unit not in used]
            rest = [] if invocation.hedge else [unit for unit in units if unit not in fit]
            for candidates in (fit, rest):       # with no fit unit left the others may do
                left = list(candidates)
                while left:
                    first = self.first(invocation, left) if len(left) == len(candidates) else relay.chance.pick(left)
                    second = relay.chance.pick(left)
                    unit = min(first, second, key=lambda unit: self.cost(unit, unit is first and first is not second))
                    if self.next.forward(invocation, unit):
                        return True
                    left.remove(unit)
        return False

    def first(self, invocation: Invocation, units: list[Unit]) -> Unit:
        """Where units work faster for keys met lately, the key draws the first of the two choices."""
        if invocation.key is not None and self.relay.facts.get("warm_keys"):
            return max(units, key=lambda unit: mix(invocation.key, unit.number))
        return self.relay.chance.pick(units)

    def cost(self, unit: Unit, warm_key: bool) -> float:
        relay = self.relay
        cost = (unit.out + 1) * unit.pace / (unit.weight * relay.warmth(unit))
        if relay.now - unit.load_at < 2 * SECOND:
            cost *= 1 + 2 * unit.util * unit.util + unit.queue / 4
        if relay.facts.get("zone_price") and unit.zone != relay.facts.get("zone"):
            cost *= 1.1
        return cost * (0.75 if warm_key and relay.facts.get("warm_keys") else 1)

    def fit(self, unit: Unit) -> bool:
        """Not resting, not silent: shots out there with no answer for longer than answers take."""
        now = self.relay.now
        if now < unit.rest_until:
            return False
        if unit.rest and unit.out:               # cautious re-entry: one shot at a time until it answers
            return False
        return not (unit.out and now - unit.waiting > self.relay.patience)

    def stands_out(self, unit: Unit) -> bool:
        """Its errors are the unit's own, not its build's: the build's other units do much better."""
        others = [other.failing for other in self.relay.units.values()
                  if other.build == unit.build and other is not unit and other.open]
        return bool(others) and unit.failing > 0.3 and unit.failing > 3 * sum(others) / len(others)

    def backward(self, shot: Shot, outcome: str, latency: int) -> None:
        unit, now = shot.unit, self.relay.now
        unit.out -= 1
        if outcome in ("served", "error"):
            unit.waiting = now
            unit.failing += 0.15 * ((outcome == "error") - unit.failing)
        if outcome == "served":
            unit.rest = 0
            unit.pace += 0.15 * (min(8.0, latency / shot.invocation.workload.mean) - unit.pace)
            unit.pace = max(unit.pace, 0.2)
        late = outcome in ("timeout", "cancelled") and latency >= shot.invocation.workload.patience()
        if late:
            unit.pace += 0.15 * (8.0 - unit.pace)
        if outcome in ("unreachable", "reset") or (late and unit.waiting <= shot.sent) \
                or (outcome == "error" and self.stands_out(unit)):
            # dead, silent or failing on its own: it rests, longer each time
            unit.rest = min(self.LONGEST_REST, 2 * unit.rest or self.REST)
            unit.rest_until = now + unit.rest
        super().backward(shot, outcome, latency)


class Gate(Stage):
    """Every send passes here, and each of the five rules is kept at one place of it."""
    COLD_PART = 1.5                              # of an even share of the present capacity

    def __init__(self, relay: "Relay") -> None:
        super().__init__(relay)
        facts = relay.facts
        self.span = facts.get("exposure_span", 2 * SECOND)
        self.per_workload = facts.get("exposure_per") == "class"
        self.taken = [Ring(self.span) for _ in relay.workloads]
        self.tried: dict[int, list[Ring]] = {}   # shots at a build, by workload
        self.fall_span = facts.get("fall_span", SECOND)
        self.warm_sent = Ring(self.fall_span)
        self.answered: dict[int, int] = {}       # key -> build that answered it (one-way roll-outs)

    def take(self, invocation: Invocation) -> None:
        self.taken[invocation.workload.place].add(self.relay.now)

    def forward(self, invocation: Invocation, unit: Unit) -> bool:
        relay, now = self.relay, self.relay.now
        if not (self.answerable(invocation) and self.may_repeat(invocation, unit) and unit.open
                and self.warm_enough(invocation, unit) and self.exposed(invocation, unit)):
            return False
        shot = Shot(invocation, unit, now, relay.trial.group_of(unit))
        shot.warmth = relay.warmth(unit)
        invocation.shots.append(shot)
        if not unit.out:
            unit.waiting = now
        unit.out += 1
        cost = self.work(invocation)
        unit.sent.add(now, cost)
        if shot.warmth >= 1:
            self.warm_sent.add(now, cost)
        self.tried.setdefault(unit.build, [Ring(self.span) for _ in relay.workloads])[
            invocation.workload.place].add(now)
        relay.host.send(invocation.number, unit.number, self.wait(invocation))
        return True

    def wait(self, invocation: Invocation) -> int:
        """The time-out: from observed times where a further shot may follow, else until the client stops."""
        relay, left = self.relay, invocation.give_up - self.relay.now
        patience = invocation.workload.patience()
        may_follow = (invocation.workload.effect == "harmless" and left > 2 * patience
                      and len(invocation.shots) < relay.facts.get("most_shots", 1))
        if relay.facts.get("two_shots"):
            may_follow = may_follow and not invocation.hedge
        elif not relay.facts.get("may_cancel"):
            return 2 * patience if may_follow else left
        if may_follow:
            relay.host.wake(relay.now + patience, relay.WAKE_LATE + invocation.number)
        return left

    # No invocation is lost, and nothing is sent for one that is over.
    def answerable(self, invocation: Invocation) -> bool:
        return (not invocation.over and self.relay.now < invocation.give_up
                and len(invocation.shots) < self.relay.facts.get("most_shots", 1))

    # No effect twice.
    def may_repeat(self, invocation: Invocation, unit: Unit | None = None) -> bool:
        if invocation.out() and not self.relay.facts.get("two_shots"):
            return False
        workload, first = invocation.workload, invocation.may_have_run()
        if workload.effect == "harmless" or first is None:
            return True
        if workload.effect != "stamped" or self.relay.now >= first.sent + workload.memory:
            return False
        return unit is None or workload.group == "all" or (
            unit.cell == first.unit.cell if workload.group == "cell" else unit.zone == first.unit.zone)

    def may_reject(self, invocation: Invocation) -> bool:
        workload, first = invocation.workload, invocation.may_have_run()
        return (workload.effect == "harmless" or first is None
                or (workload.effect == "stamped" and workload.group == "all"
                    and self.relay.now < first.sent + workload.memory))

    # No cold unit pushed over: a cold unit gets from each relay no more than an even share of what this relay sends
    # to warm ones, by its present capacity.  As warm units bear that share, all relays together stay below the fall.
    def warm_enough(self, invocation: Invocation, unit: Unit) -> bool:
        relay, now = self.relay, self.relay.now
        warmth = relay.warmth(unit)
        if warmth >= 1:
            return True
        warm = sum(other.weight for other in relay.units.values() if other.open and relay.warmth(other) >= 1)
        even = self.warm_sent.total(now) / warm * unit.weight if warm else 0.0
        if not warm:
            even = sum(ring.total(now) for ring in self.taken) / max(1, len(relay.units)) * self.fall_span / self.span
        part = min(self.COLD_PART, relay.facts.get("fall_multiple", 2) / 2)
        cost = self.work(invocation)
        return unit.sent.total(now, partial=True) + cost <= max(1.0, part * warmth * even) and cost <= 3

    def work(self, invocation: Invocation) -> float:
        """An invocation's size by its hint, over the usual."""
        if not invocation.work:
            return 1.0
        return invocation.work / max(1.0, self.relay.usual_work)

    # Drains kept: a unit that drains or is gone is closed at once (`Relay.on_list`), and closed units get nothing.

    # Exposure within the cap.
    def exposed(self, invocation: Invocation, unit: Unit) -> bool:
        relay = self.relay
        if relay.facts.get("one_way") and invocation.key is not None and relay.phase in (ON_TRIAL, RELEASED) \
                and self.answered.get(invocation.key) == relay.build and unit.build < relay.build:
            return False
        if not relay.on_trial(unit.build):
            return True
        stage = relay.stage if unit.build == relay.build else 0
        if stage < relay.facts.get("guarded_stages", 0) and invocation.workload.effect != "harmless":
            return False
        return relay.cap(unit.build) > 0 and self.allowance(invocation, unit.build) >= 1

    def allowance(self, invocation: Invocation, build: int, part: float = 1.0) -> float:
        """Shots at a build that are left in the window (partial oldest buckets count against us)."""
        now, place = self.relay.now, invocation.workload.place
        tried = self.tried.get(build, [])
        if self.per_workload:
            tried, taken = tried[place:place + 1], self.taken[place].total(now)
        else:
            taken = sum(ring.total(now) for ring in self.taken)
        used = sum(ring.total(now, partial=True) for ring in tried)
        return part * (self.relay.facts.get("free_shots", 0) + self.relay.cap(build) * taken) - used

    def backward(self, shot: Shot, outcome: str, latency: int) -> None:
        shot.ended, shot.never_ran = True, outcome in NEVER_RAN
        if outcome == "served" and shot.unit.build == self.relay.build and shot.invocation.key is not None \
                and self.relay.facts.get("one_way"):
            self.answered[shot.invocation.key] = shot.unit.build
        super().backward(shot, outcome, latency)


def rank_test(canary: list[int], baseline: list[int]) -> tuple[float, float]:
    """Mann-Whitney's U of the canary on bucket counts, over its mean, and its variance (ties corrected)."""
    n, m = sum(canary), sum(baseline)
    total, below, above, ties = n + m, 0, 0.0, 0
    if not n or not m:
        return 0.0, 0.0
    for c, b in zip(canary, baseline):
        above += c * (below + b / 2)
        below += b
        ties += (c + b) ** 3 - (c + b)
    return above - n * m / 2, n * m / 12 * (total + 1 - ties / (total * (total - 1)))


def median(counts: list[int]) -> float:
    """The median of bucket counts in parts of the promised time, between edges by their ratio."""
    half, edges = sum(counts) / 2, (EDGES[0] / 2,) + EDGES + (EDGES[-1] * 2,) * 2
    for place, count in enumerate(counts):
        if count and half <= count:
            low = edges[place]
            return low * (edges[place + 1] / low) ** (half / count)
        half -= count
    return 0.0


class Judge:
    """Pools the counts of all relays.  Only relays drawn by hash for a build and stage vote."""

    def __init__(self, relay: "Relay") -> None:
        self.relay = relay
        self.build = -1
        self.new_build(-1)
        self.cast_at = self.tried_at = -LAUNCH
        self.busy_until = 0                      # a vote is under way

    def new_build(self, build: int) -> None:
        self.build = build
        self.heard: dict[tuple[int, int, int], list[int]] = {}   # sender, its start, place -> newest counts
        self.fresh: dict[int, int] = {}          # sender -> when last heard
        self.past: list[list[int] | None] = [None] * 12
        self.beat = 0
        self.new_stage()

    def new_stage(self) -> None:
        self.verdict = 0
        self.cast = 0                            # the verdict that the platform is known to hold

    def order(self) -> list[int]:
        relay = self.relay
        return sorted(range(relay.count), key=lambda index: -mix(relay.build, relay.stage, index))

    def seats(self) -> int:
        facts = self.relay.facts
        return max(JUDGES, *(int(facts.get(name, 0)) for name in ("on_votes", "hold_votes", "back_votes")))

    def sitting(self) -> bool:
        """One of the judges, or the next in line for one that has not been heard of lately."""
        relay, order = self.relay, self.order()
        here = [index for index in order if index == relay.index or index in order[:self.seats()]
                and (relay.now - self.fresh.get(index, relay.born) < FRESH)]
        return relay.index in here[:self.seats()]

    def tell(self) -> None:
        """Our cumulative counts to the judges and the next in line; loss, reorder and restarts heal."""
        relay, trial = self.relay, self.relay.trial
        if trial.build < 0 or not relay.facts.get("may_tell"):
            return
        rows = len(relay.workloads)
        for first in range(0, rows, 4):
            many = min(4, rows - first)
            counts = [min(65535, count) for name in GROUPS
                      for count in trial.groups[name][first * ROW:(first + many) * ROW]]
            data = struct.pack(f"<HIBB{len(counts)}H", trial.build, relay.born & 0xFFFFFFFF, first, many, *counts)
            for index in self.order()[:self.seats() + 1]:
                if index != relay.index:
                    relay.host.tell(index, data)

    def hear(self, sender: int, data: bytes) -> None:
        if len(data) < 8:
            return
        build, born, first, many = struct.unpack_from("<HIBB", data)
        if build != self.build or len(data) != 8 + 2 * len(GROUPS) * ROW * many:
            return
        counts = list(struct.unpack_from(f"<{len(GROUPS) * ROW * many}H", data, 8))
        known = self.heard.get((sender, born, first))
        if known is None or sum(counts) >= sum(known):
            self.heard[sender, born, first] = counts
        self.fresh[sender] = self.relay.now

    def pool(self) -> list[int]:
        """The groups' rows, one group after the other, of all relays."""
        groups, size = self.relay.trial.groups, ROW * len(self.relay.workloads)
        pooled = [count for name in GROUPS for count in groups[name]]
        for (_, _, first), counts in self.heard.items():
            part = len(counts) // len(GROUPS)
            for place, count in enumerate(counts):
                at = first * ROW + place % part
                if at < size:
                    pooled[place // part * size + at] += count
        return pooled

    def rows(self, pooled: list[int], new: int = 0, old: int = 1) -> list[tuple[list[int], list[int]]]:
        """Two groups' rows side by side, workload by workload."""
        size = len(pooled) // len(GROUPS)
        return [(pooled[new * size + row:new * size + row + ROW], pooled[old * size + row:old * size + row + ROW])
                for row in range(0, size, ROW)]

    def fails(self, pooled: list[int]) -> bool:
        """The crude margin, for each workload and for all: failures that the baseline's share leaves unexplained."""
        rows = list(self.rows(pooled))
        rows.append(tuple([sum(column) for column in zip(*side)] for side in zip(*rows)))
        for canary, baseline in rows:
            outcomes, known = canary[0] + canary[1], baseline[0] + baseline[1]
            expected = outcomes * baseline[1] / known if known else 0.0
            if canary[1] - expected > EARLY_EXCESS + EARLY_MARGIN * outcomes:
                return True
        return False

    def slower(self, new: list[list[int]], old: list[list[int]], margin: float) -> bool:
        """The rank test, workload by workload, their sums pooled; a failure ranks behind every answer."""
        excess = spread = ratio = weight = 0.0
        for canary, baseline in zip(new, old):
            mine, others = canary[2:] + [canary[1]], baseline[2:] + [baseline[1]]
            if sum(mine) < 5 or sum(others) < 5:
                continue
            more, variance = rank_test(mine, others)
            excess, spread = excess + more, spread + variance
            ratio, weight = ratio + sum(mine) * median(mine) / median(others), weight + sum(mine)
        if weight < LEAST or ratio <= margin * weight:
            return False
        return erfc(excess / sqrt(2 * spread)) / 2 < REJECT_AT

    def worse(self, pooled: list[int]) -> bool:
        """Slower than the earlier build now and, where traffic is what it was, both slower than before."""
        size, trial = len(pooled) // len(GROUPS), self.relay.trial
        canary, baseline, before = ([pooled[place:place + ROW] for place in range(first, first + size, ROW)]
                                    for first in (0, size, 2 * size))
        known = [[a + b for a, b in zip(*rows)] for rows in zip(baseline, before)]
        if self.slower(canary, baseline, SLOWER) or (
                self.slower(canary, known, SLOWER) and not self.slower(baseline, before, SLOWER)):
            return True
        return (trial.traffic() < STEADY * trial.traffic_before and self.slower(baseline, before, ALL_SLOWER)
                and self.slower(canary, before, ALL_SLOWER))

    def due(self) -> int:
        """The horizon: after the newest listed start of a unit of this build."""
        relay = self.relay
        starts = [unit.started for unit in relay.units.values() if unit.open and unit.build == relay.build]
        share = (relay.facts.get("stage_shares") or [1])[min(relay.stage, len(relay.facts.get("stage_shares") or [1]) - 1)]
        places = sum(unit.open for unit in relay.units.values())
        latest = relay.since + LAUNCH
        if len(starts) < max(1, int(share * places)):
            return latest + HORIZON
        return min(max(starts + [relay.since]), latest) + HORIZON

    def consider(self) -> None:
        """Each half second: pool, judge, vote."""
        relay = self.relay
        self.beat += 1
        if relay.build != self.build or relay.phase not in (ON_TRIAL, RELEASED):
            return
        pooled = self.pool()
        old = self.past[self.beat % len(self.past)]
        self.past[self.beat % len(self.past)] = pooled
        recent = [max(0, new - past) for new, past in zip(pooled, old)] if old else pooled
        size = len(pooled) // len(GROUPS)
        recent[size:] = pooled[size:]            # the baseline is remembered: later no earlier unit is left
        if self.verdict != BACK:
            self.why = " | ".join(f"{c[0]} {c[1]} {c[2:]}" for c in zip(*[iter(pooled)] * ROW))
        if self.fails(pooled) or self.fails(recent):
            self.verdict = BACK
        elif self.verdict == 0 and relay.phase == ON_TRIAL and relay.now >= self.due():
            seen = sum(canary[0] + canary[1] for canary, _ in self.rows(pooled))
            if self.worse(pooled):
                self.verdict = BACK
            elif seen >= LEAST or relay.now >= self.due() + PATIENCE:
                self.verdict = ON
        self.vote()

    def vote(self) -> None:
        """Cast or renew; never for a stage or build that is not the one last told."""
        relay, now = self.relay, self.relay.now
        verdict = self.verdict
        if not verdict or now < self.busy_until or not self.sitting():
            return
        if verdict == ON and (relay.phase != ON_TRIAL or relay.facts.get("control") == "timer"):
            return
        if self.cast == verdict and now - self.cast_at < relay.facts.get("vote_life", 6 * SECOND) // 2:
            return
        self.busy_until = now + relay.facts.get("vote_wait", SECOND) + SECOND // 10
        self.voted = verdict
        relay.host.log(f"vote {verdict} on build {relay.build} stage {relay.stage}: {self.why}")
        relay.host.vote(relay.build, relay.stage, verdict)

    def answered(self, answer: str) -> None:
        relay = self.relay
        if answer == "ok":
            self.cast, self.cast_at, self.busy_until = self.voted, relay.now, 0
        elif answer != "timeout":
            self.busy_until = relay.now + int((0.2 + 0.3 * relay.chance.share()) * SECOND)
        else:
            self.busy_until = 0


class Relay:
    """One instance: what it knows, and the door through which events come in."""
    WAKE_BEAT, WAKE_HELD, WAKE_LIST, WAKE_LATE = 0, 1, 2, 1 << 32

    def __init__(self, host: Host, facts: dict[str, Any], seed: int, now: int) -> None:
        self.host, self.facts, self.now, self.born = host, facts, now, now
        self.chance = Chance(seed)
        self.index, self.count = facts.get("index", 0), max(1, facts.get("relays", 1))
        self.workloads = [Workload(place, each) for place, each in enumerate(facts.get("workloads", []))]
        self.units: dict[int, Unit] = {}
        self.build, self.stage, self.phase, self.told_cap, self.since = -1, 0, RELEASED, 1.0, now
        self.usual_work = 0.0
        self.known: dict[int, Invocation] = {}   # taken, and not over or with shots still out
        self.patience = SECOND
        self.list_failures = 0
        self.lowered: tuple[int, float] = (-LAUNCH, 0.0)      # when a cap was lowered, and from what
        self.intake, self.admission, self.trial = Intake(self), Admission(self), Trial(self)
        self.choice, self.gate, self.judge = Choice(self), Gate(self), Judge(self)
        chain = [self.intake, self.admission, self.trial, self.choice, self.gate]
        for before, after in zip(chain, chain[1:]):
            before.next, after.before = after, before
        host.wake(now + SECOND // 4 + int(self.chance.share() * SECOND / 4), self.WAKE_BEAT)
        if facts.get("list_mode") == "on_request":
            host.watch_list()

    def warmth(self, unit: Unit) -> float:
        return unit.warmth(self.now, self.facts.get("cold_from", 1.0), self.facts.get("warm_up", 0))

    def on_trial(self, build: int) -> bool:
        return build > self.build >= 0 or (build == self.build and self.phase != RELEASED)

    def cap(self, build: int) -> float:
        """The share that binds: the one last told, a lower one from its grace on if nothing else runs."""
        if build != self.build:
            return (self.facts.get("caps") or [0.0])[0]
        at, earlier = self.lowered
        if self.now < at + self.facts.get("drain_grace", 0) and earlier > self.told_cap:
            if not any(unit.open and not self.on_trial(unit.build) for unit in self.units.values()):
                return earlier
        return self.told_cap

    def on_list(self, kind: str, entries: list[tuple]) -> None:
        if kind == "failed":
            self.list_failures += 1
            delay = min(5 * SECOND, SECOND // 5 * 2 ** min(5, self.list_failures))
            return self.host.wake(self.now + int(delay * (0.5 + self.chance.share() / 2)), self.WAKE_LIST)
        self.list_failures = 0
        named = set()
        for number, build, state, zone, cell, weight, started in entries:
            named.add(number)
            unit = self.units.get(number)
            if state == "gone":
                if unit:
                    unit.open = False
                    del self.units[number]
                continue
            if unit is None or unit.build != build or unit.started < started:
                if unit:
                    unit.open = False
                unit = Unit(number, build, zone, cell, weight, started, self.facts.get("fall_span", SECOND))
                self.units[number] = unit
            unit.weight = max(weight, 0.01)
            unit.open = state == "open"
        if kind != "changes":
            for number in [number for number in self.units if number not in named]:
                self.units.pop(number).open = False

    def on_invocation(self, number: int, workload: int, customer: int, key: str | None, give_up: int,
                      work: int, repeat: bool) -> None:
        if work:
            self.usual_work += 0.01 * (work - self.usual_work) if self.usual_work else work
        invocation = Invocation(number, self.workloads[workload], customer, crc32(key.encode()) if key else None,
                                give_up, work, repeat, self.now)
        self.known[number] = invocation
        self.gate.take(invocation)
        self.intake.forward(invocation)
        if invocation.over:
            self.known.pop(number, None)

    def on_outcome(self, number: int, place: int, outcome: str, over: bool, latency: int,
                   load: dict[str, float] | None) -> None:
        invocation = self.known.get(number)
        if invocation is None:
            return
        shot = invocation.shots[place]
        if load:
            shot.unit.util, shot.unit.queue = load.get("util", 0.0), load.get("queue", 0.0)
            shot.unit.load_at = self.now
        if over and outcome != "served":
            self.intake.close(invocation)
        self.gate.backward(shot, outcome, latency)
        if invocation.over and not invocation.out():
            self.known.pop(number, None)

    def on_started(self, number: int, place: int) -> None:
        """An answer's stream has begun: the client has it, nothing more may be sent."""
        invocation = self.intake.open.get(number)
        if invocation:
            invocation.over = True

    def on_abandoned(self, number: int) -> None:
        invocation = self.intake.open.get(number)
        if invocation:
            self.intake.close(invocation)

    def on_wake(self, token: int) -> None:
        if token == self.WAKE_BEAT:
            self.host.wake(self.now + SECOND // 2, self.WAKE_BEAT)
            for unit in self.units.values():     # what is not tried again is slowly forgiven
                unit.pace += 0.03 * (1 - unit.pace)
                unit.failing *= 0.97
            if not any(self.on_trial(unit.build) for unit in self.units.values()) and self.judge.beat % 2:
                self.trial.forget()
            self.patience = max([workload.patience() for workload in self.workloads], default=SECOND)
            self.judge.consider()
            if self.judge.beat % 2:
                self.judge.tell()
        elif token == self.WAKE_HELD:
            self.intake.try_held()
        elif token == self.WAKE_LIST:
            self.host.watch_list()
        elif token >= self.WAKE_LATE:
            invocation = self.intake.open.get(token - self.WAKE_LATE)
            if invocation:
                self.intake.overdue(invocation)

    def on_told(self, sender: int, data: bytes) -> None:
        self.judge.hear(sender, data)

    def on_vote_answer(self, answer: str) -> None:
        self.judge.answered(answer)

    def on_stage(self, build: int, stage: int, phase: int, cap: float, age: int) -> None:
        if (build, stage, phase, cap) != (self.build, self.stage, self.phase, self.told_cap):
            self.host.log(f"stage: build {build} stage {stage} phase {phase} cap {cap} age {age}")
        if build != self.build:
            self.trial.new_build(build)
            self.judge.new_build(build)
        elif (stage, phase) != (self.stage, self.phase):
            self.judge.new_stage()
        if build == self.build and cap < self.told_cap:
            self.lowered = (self.now, self.told_cap)
        if (build, stage, phase) != (self.build, self.stage, self.phase):
            self.since = self.now - age
        self.build, self.stage, self.phase, self.told_cap = build, stage, phase, cap

    def on_flag(self, unit: int, workload: int, age: int) -> None:
        found = self.units.get(unit)
        if found:
            self.trial.flagged(found, self.workloads[workload])
