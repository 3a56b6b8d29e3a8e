"""Every decision of tealsail.  A host (calls: tealsail/host.py) builds one `Relay(host, facts, seed, now)`
for each instance, sets `relay.now` before each event and calls its `on_...` methods.  `facts` is a plain map
of settings (names: tealsail/adapter/words.py); times are whole tenths of a millisecond.  The design is told
in docs/design.md.  In order: what is tuned, the chain that an invocation passes, the judge, the relay."""
import struct
from collections import defaultdict
from math import erfc, sqrt
from typing import Any
from zlib import crc32

from .host import Host
from .parts import Chance, Invocation, Ring, Shot, Stage, Unit, mix, rank_test

SECOND = 10_000
ABSENT: dict[str, Any] = dict(
    index=0, relays=1, workloads=[], customers=[], caps=[0.0], stage_shares=[1.0], on_votes=0, hold_votes=0,
    back_votes=0, vote_life=6 * SECOND, vote_wait=SECOND, control="any", free_shots=0, exposure_per="all",
    exposure_span=2 * SECOND, guarded_stages=0, one_way=False, flag_share=1.0, most_shots=1, may_cancel=False,
    may_tell=False, may_advise=False, longest_advice=0, list_mode="pushed", warm_keys=False, cold_from=0.25,
    warm_up=5 * SECOND, fall_multiple=2.0, fall_span=SECOND, drain_grace=0,
    promised=SECOND, effect="one-shot", group="all", memory=0, payoff=1.0)       # these of a workload
ON, BACK = 1, 3                                  # verdicts of a vote
ON_TRIAL, GOING_BACK, RELEASED, WITHDRAWN = range(4)
NEVER_RAN = {"full", "unreachable", "moot"}      # outcomes that prove that a shot was not run
# A group's row for one workload: served, failed, histogram (bucket edges in parts of the promised time).
GROUPS = ("canary", "baseline", "before")
EDGES = (0.06, 0.1, 0.16, 0.26, 0.42, 0.67, 1.07)
ROW, BUCKETS = 2 + len(EDGES) + 1, 20            # and the buckets of every ring of time
TRIAL_PART = 0.9                                 # of the allowance, while earlier units can take the rest
BEAR = 1.3                                       # over its even share a unit can take so much for a while
JUDGES, VOTES_NEEDED = 3, ("on_votes", "hold_votes", "back_votes")
EARLY_MARGIN, EARLY_EXCESS = 0.015, 4.0          # back early: failures over what the baseline explains
SLOWER, REJECT_AT, LEAST = 1.5, 0.01, 20         # rank test: medians' ratio, level of all stages, outcomes
ALL_SLOWER, ALSO_SLOWER = 1.7, 1.2       # over before: earlier units, by traffic's rise squared; canary
SKIP = 2 * SECOND                                # of each new unit's life is no evidence on times
HORIZON = 3 * SECOND + SECOND // 4               # after the newest listed start (the clock's: a second)
LISTED = 0.7                                     # of a stage's units are to be seen before its horizon counts
LAUNCH = 8 * SECOND                              # by then a stage's units have started, or never will
PATIENCE = 5 * SECOND                            # how long past the horizon thin evidence is waited out
FRESH = 3 * SECOND                               # a judge not heard of for so long is taken for dead


class Workload:
    def __init__(self, place: int, facts: dict[str, Any]) -> None:
        facts = ABSENT | facts
        self.place, self.row = place, slice(place * ROW, (place + 1) * ROW)
        self.promised, self.effect, self.group = facts["promised"], facts["effect"], facts["group"]
        self.memory, self.payoff = facts["memory"], facts["payoff"]
        self.mean, self.deviation = self.promised / 5, self.promised / 10

    def patience(self) -> int:
        """After this a shot is late for its kind: mean and three deviations, bounded by the promise."""
        return int(min(max(self.mean + 3 * self.deviation, self.promised / 4), 0.75 * self.promised))


class Intake(Stage):
    """Takes invocations and gives each its one final answer, at once where nothing can be sent."""
    FURTHER = 0.2                                # doubtful further shots an invocation: no storm of repeats

    purse = 5.0

    def forward(self, invocation: Invocation) -> None:
        self.purse = min(20.0, self.purse + (0 if invocation.shots else self.FURTHER))
        if not self.next.forward(invocation):
            self.end(invocation)

    def end(self, invocation: Invocation) -> None:
        """What is given up gets its answer at once: a rejection if trying again is known to do no harm."""
        invocation.over = True
        if self.relay.gate.may_reject(invocation):
            advice = min(SECOND // 2, self.facts["longest_advice"]) if self.facts["may_advise"] else 0
            self.relay.host.reject(invocation.number, advice)
        else:
            self.relay.host.forfeit(invocation.number)

    def overdue(self, invocation: Invocation) -> None:
        """A shot later than its kind, whose unit has answered nothing since, is called off for another one.
        Guards against hung, dead and very slow units; a unit that answers others is waited for."""
        shot = invocation.shots[-1]
        if not shot.ended and not invocation.over:
            again = self.relay.now + invocation.workload.patience() // 2
            if shot.unit.waiting <= shot.sent and self.purse >= 1:
                self.relay.host.cancel(invocation.number, len(invocation.shots) - 1)
            else:
                self.relay.host.wake(again, self.relay.WAKE_LATE + invocation.number)

    def backward(self, shot: Shot, outcome: str, latency: int) -> None:
        invocation = shot.invocation
        invocation.over |= outcome == "served"
        if invocation.over:
            return
        self.purse = max(-1.0, self.purse - (not shot.never_ran))
        go_on = self.purse >= 0 and self.relay.gate.may_repeat(invocation)
        (self.forward if go_on else self.end)(invocation)


class Admission(Stage):
    """Keeps queues short: a limit on this relay's shots out there falls with late answers, rises with those
    in time.  What pays little for its time, or is of a customer beyond its share, has less room.  Guards
    against overload whatever its cause; could harm where answers are late by nature."""
    LATE, RISE = 0.8, 0.1                        # late: of the promised time; a late answer costs 1

    def __init__(self, relay: "Relay") -> None:
        super().__init__(relay)
        self.limit, self.cut, self.cut_at = 40.0, 0, 0
        self.taken = Ring(4 * SECOND, BUCKETS)
        self.by_customer = [Ring(4 * SECOND, BUCKETS) for _ in self.facts["customers"]]

    def forward(self, invocation: Invocation) -> bool:
        if not invocation.shots:
            self.taken.add(self.relay.now, not invocation.repeat)
            for ring in self.by_customer[invocation.customer:invocation.customer + 1]:
                ring.add(self.relay.now)
            if self.out() + 1 > self.limit * self.part(invocation):
                return False
        return self.next.forward(invocation)

    def out(self) -> int:
        return sum(unit.out for unit in self.relay.units.values() if self.relay.choice.fit(unit))

    def part(self, invocation: Invocation) -> float:
        best, now = max(workload.payoff / workload.mean for workload in self.relay.workloads), self.relay.now
        part = 1.0 if invocation.workload.payoff / invocation.workload.mean > 0.7 * best else 0.85
        for ring in self.by_customer[invocation.customer:invocation.customer + 1]:
            fair = 1.3 * self.facts["customers"][invocation.customer].get("share", 1) * self.taken.total(now)
            part /= min(2.0, max(1.0, ring.total(now) / max(10.0, fair)))
        return part

    def backward(self, shot: Shot, outcome: str, latency: int) -> None:
        workload, latency_for_size = shot.invocation.workload, latency / max(1.0, shot.invocation.size)
        late = latency_for_size > self.LATE * workload.promised and shot.unit.waiting >= shot.sent
        if late and shot.sent >= self.cut_at:    # a cut by a third is given time to show
            self.limit, self.cut = max(3.0, self.limit - 1), self.cut + 1
            if self.cut > self.limit / 2:
                self.cut, self.cut_at = 0, self.relay.now
        elif outcome == "served" and not late and self.out() + 1 > 0.5 * self.limit:
            self.limit += self.RISE
        if outcome in ("served", "timeout", "cancelled"):
            workload.deviation += 0.05 * (abs(latency_for_size - workload.mean) - workload.deviation)
            workload.mean += 0.05 * (latency_for_size - workload.mean)
        super().backward(shot, outcome, latency)


class Trial(Stage):
    """Which build: the one on trial gets its units' share, under nine tenths of the allowance; an equal
    random slice of what goes to the earlier build is the baseline.  Counts the groups' outcomes."""

    def __init__(self, relay: "Relay") -> None:
        super().__init__(relay)
        self.lately = [0.0] * ROW * len(relay.workloads)
        self.new_build(-1)

    def new_build(self, build: int) -> None:
        self.build, self.owed = build, 0.0       # how far the canary group is ahead of the baseline
        self.groups = {name: [0] * len(self.lately) for name in GROUPS}
        self.groups["before"] = [int(count) for count in self.lately]
        self.taken_before, self.room_before = self.taken(), self.relay.room()

    def taken(self) -> int:
        return min(65535, int(self.relay.admission.taken.total(self.relay.now)))

    def forward(self, invocation: Invocation) -> bool:
        relay, units = self.relay, self.relay.units.values()
        new, old = ([unit for unit in units if relay.on_trial(unit.build) == side] for side in (True, False))
        wanted = bool(new and old) and not invocation.shots      # further shots keep off the build on trial
        if wanted:
            mine, others = (sum(unit.weight * relay.warmth(unit) for unit in side) for side in (new, old))
            slow, usual = (sum(unit.pace for unit in side) / len(side) for side in (new, old))
            share = mine / (mine + others * max(1.0, slow / usual))
            if relay.judge.verdict == BACK or relay.phase == GOING_BACK:
                share = max(0.0, 1 - BEAR * (1 - share))     # earlier units get what they can bear
            wanted = relay.chance.share() < share and \
                relay.gate.allowance(invocation, new[0].build, TRIAL_PART) >= 1
        # Departure: what earlier units cannot take (none left, cold ones full) may use the whole allowance.
        return any(self.next.forward(invocation, side) for side in ((new, old) if wanted else (old, new)))

    def group_of(self, unit: Unit) -> list[int] | None:
        """The counts that a shot is for, its own even if it is still out when the next build comes."""
        if unit.build == self.build:
            self.owed = min(50.0, self.owed + 1)
            return self.groups["canary"]
        if unit.build < self.build and self.owed > 0 and self.relay.chance.share() < 0.5:
            self.owed -= 1
            return self.groups["baseline"]
        return None

    def backward(self, shot: Shot, outcome: str, latency: int) -> None:
        workload, unit = shot.invocation.workload, shot.unit
        times = latency * shot.warmth / workload.promised
        bucket = workload.row.start + 2 + sum(times > edge for edge in EDGES)
        # Left out: one client's repeats where they are marked, and a unit's errors that are not its build's.
        if shot.group and not shot.invocation.repeat:
            own = unit.build == self.build and self.relay.choice.stands_out(unit)
            shot.group[workload.row.start] += outcome == "served"
            shot.group[workload.row.start + 1] += outcome == "error" and not own
            # Past its first 2 s a cold unit's times count by its warmth: the least that it can be.
            if outcome == "served" and self.relay.now - unit.started > SKIP:
                shot.group[bucket] += 1
        if outcome == "served" and shot.warmth >= 1 and not self.relay.on_trial(unit.build):
            self.lately[bucket] += 1
        super().backward(shot, outcome, latency)


class Choice(Stage):
    """Which unit: two random choices in the build, by shots out there, load heard of and answers seen."""
    REST, LONGEST_REST = SECOND // 2, 4 * SECOND

    def forward(self, invocation: Invocation, units: list[Unit]) -> bool:
        pick = self.relay.chance.pick
        used = [shot.unit for shot in invocation.shots]
        fit = [unit for unit in units if self.fit(unit) and unit not in used]
        for candidates in (fit, [unit for unit in units if unit not in fit]):    # the others only if need be
            key_unit = None                      # the key's own, where units work faster for known keys
            if invocation.key is not None and self.facts["warm_keys"] and candidates:
                key_unit = max(candidates, key=lambda unit: mix(invocation.key or 0, unit.number))
            while candidates:
                pair = (key_unit if key_unit in candidates else pick(candidates), pick(candidates))
                unit = min(pair, key=lambda unit: self.cost(unit) * (0.75 if unit is key_unit else 1))
                if self.next.forward(invocation, unit):
                    return True
                candidates = [other for other in candidates if other is not unit]
        return False

    def cost(self, unit: Unit) -> float:
        cost = (unit.out + 1) * unit.pace / (unit.weight * self.relay.warmth(unit))
        if self.relay.now - unit.load_at < 2 * SECOND:
            cost *= 1 + 2 * unit.util * unit.util + unit.queue / 4
        return cost

    def fit(self, unit: Unit) -> bool:
        """Not resting, one shot at a time after a rest, and not silent for longer than answers take."""
        now = self.relay.now
        return now >= unit.rest_until and not (
            unit.out and (unit.rest or now - unit.waiting > self.relay.patience))

    def stands_out(self, unit: Unit) -> bool:
        """Its errors are its own: its build's other units do much better and earlier units fail too or, with
        none left, under a third of the build's.  Few that fail in a build on trial alone count against it."""
        units = self.relay.units.values()
        others = [other.failing for other in units if other.build == unit.build and other is not unit]
        elsewhere = [other.failing for other in units if other.build != unit.build]
        few = max(elsewhere) > 0.1 if elsewhere else 3 * sum(each > 0.05 for each in others) < len(others)
        return few and unit.failing > 3 * sum(others) / max(1, len(others))

    def backward(self, shot: Shot, outcome: str, latency: int) -> None:
        unit, now, workload = shot.unit, self.relay.now, shot.invocation.workload
        unit.out -= 1
        if outcome in ("served", "error"):
            unit.waiting = now
            unit.failing += 0.15 * ((outcome == "error") - unit.failing)
        late = outcome in ("timeout", "cancelled") and latency >= workload.patience()
        if outcome == "served" or late:
            times = latency / max(1.0, shot.invocation.size) / workload.mean
            unit.pace += 0.1 * (min(8.0, 8.0 if late else times) - unit.pace)
        if outcome == "served":
            unit.rest = 0
        elif outcome in ("unreachable", "reset", "full") or (late and unit.waiting <= shot.sent) \
                or (outcome == "error" and self.stands_out(unit)):
            unit.rest = min(self.LONGEST_REST, 2 * unit.rest or self.REST)
            unit.rest_until = now + unit.rest    # dead, drained, silent or failing alone: it rests
        super().backward(shot, outcome, latency)


class Gate(Stage):
    """Every send passes here; each of the five rules is kept at one place of it."""
    COLD_PART = 1.5                              # of an even share, for what a cold unit can do now

    def __init__(self, relay: "Relay") -> None:
        super().__init__(relay)
        span = self.facts["exposure_span"]
        self.taken = [Ring(span, BUCKETS) for _ in relay.workloads]
        self.tried = defaultdict(lambda: [Ring(span, BUCKETS) for _ in relay.workloads])     # by build
        self.warm_sent = Ring(self.facts["fall_span"], BUCKETS)
        self.answered: dict[int, int] = {}       # key -> build that answered it (one-way roll-outs)

    def forward(self, invocation: Invocation, unit: Unit) -> bool:
        relay, now = self.relay, self.relay.now
        if not (self.answerable(invocation) and self.may_repeat(invocation, unit) and self.listed(unit)
                and self.warm_enough(invocation, unit) and self.exposed(invocation, unit)):
            return False
        shot = Shot(invocation, unit, now, relay.trial.group_of(unit), relay.warmth(unit))
        invocation.shots.append(shot)
        unit.waiting = unit.waiting if unit.out else now
        unit.out += 1
        unit.sent.add(now, invocation.size)
        if shot.warmth >= 1:
            self.warm_sent.add(now, invocation.size)
        self.tried[unit.build][invocation.workload.place].add(now)
        left, patience = invocation.give_up - now, invocation.workload.patience()
        follows = (invocation.workload.effect == "harmless" and left > 2 * patience
                   and len(invocation.shots) < self.facts["most_shots"])
        if follows and self.facts["may_cancel"]:
            relay.host.wake(now + patience, relay.WAKE_LATE + invocation.number)
        relay.host.send(invocation.number, unit.number,
                        2 * patience if follows and not self.facts["may_cancel"] else left)
        return True

    # No invocation is lost, and nothing is sent for one that is over.
    def answerable(self, invocation: Invocation) -> bool:
        shots_left = len(invocation.shots) < self.facts["most_shots"]
        return shots_left and not invocation.over and self.relay.now < invocation.give_up

    # No effect twice: what may have run goes out again, or is rejected, only as its workload allows.
    def may_repeat(self, invocation: Invocation, unit: Unit | None = None) -> bool:
        workload, first = invocation.workload, invocation.may_have_run()
        if workload.effect == "harmless" or first is None or invocation.out():
            return not invocation.out()          # one shot at a time, also where two are allowed
        if workload.effect != "stamped" or self.relay.now >= first.sent + workload.memory:
            return False
        return unit is None or workload.group == "all" or (
            unit.cell == first.unit.cell if workload.group == "cell" else unit.zone == first.unit.zone)

    def may_reject(self, invocation: Invocation) -> bool:
        workload, first = invocation.workload, invocation.may_have_run()
        return workload.effect == "harmless" or first is None or (
            workload.group == "all" and self.may_repeat(invocation))

    # Drains kept: a unit that drains or is gone leaves `relay.units` at once; only what is there gets shots.
    def listed(self, unit: Unit) -> bool:
        return self.relay.units.get(unit.number) is unit

    # No cold unit pushed over: it gets from each relay at most an even share of what that relay sends to warm
    # ones, by the least it can do now.  Those bear it, so all relays together stay below the fall.
    def warm_enough(self, invocation: Invocation, unit: Unit) -> bool:
        relay, now, size = self.relay, self.relay.now, invocation.size
        if relay.warmth(unit) >= 1:
            return True
        warm = sum(other.weight for other in relay.units.values() if relay.warmth(other) >= 1)
        even = self.warm_sent.total(now) / warm * unit.weight if warm else (
            sum(ring.total(now) for ring in self.taken) / len(relay.units)
            * self.facts["fall_span"] / self.facts["exposure_span"])
        even *= min(self.COLD_PART, self.facts["fall_multiple"] / 2) * relay.warmth(unit)
        return size <= 3 and unit.sent.total(now, partial=True) + size <= max(1.0, even)

    # Exposure within the cap.
    def exposed(self, invocation: Invocation, unit: Unit) -> bool:
        relay = self.relay
        if self.facts["one_way"] and relay.phase in (ON_TRIAL, RELEASED) and unit.build < relay.build \
                and invocation.key is not None and self.answered.get(invocation.key) == relay.build:
            return False
        if not relay.on_trial(unit.build):
            return True
        stage = relay.stage if unit.build == relay.build else 0
        guarded = stage < self.facts["guarded_stages"] and invocation.workload.effect != "harmless"
        return not guarded and relay.cap(unit.build) > 0 and self.allowance(invocation, unit.build) >= 1

    def allowance(self, invocation: Invocation, build: int, part: float = 1.0) -> float:
        """Shots at a build that are left in the window (partial oldest buckets count against us)."""
        now, place = self.relay.now, invocation.workload.place
        rows = slice(place, place + 1) if self.facts["exposure_per"] == "class" else slice(None)
        tried = sum(ring.total(now, partial=True) for ring in self.tried[build][rows])
        taken = sum(ring.total(now) for ring in self.taken[rows])
        return part * (self.facts["free_shots"] + self.relay.cap(build) * taken) - tried

    def backward(self, shot: Shot, outcome: str, latency: int) -> None:
        shot.ended, shot.never_ran = True, outcome in NEVER_RAN
        if outcome == "served" and shot.invocation.key is not None and self.facts["one_way"]:
            self.answered[shot.invocation.key] = shot.unit.build
        super().backward(shot, outcome, latency)


def median(counts: list[int]) -> float:
    """The median of bucket counts in parts of the promised time, inside a bucket by the edges' ratio."""
    half, edges = sum(counts) / 2, (EDGES[0] / 2, *EDGES, 2 * EDGES[-1], 2 * EDGES[-1])
    for place, count in enumerate(counts):
        if count and half <= count:
            return edges[place] * (edges[place + 1] / edges[place]) ** (half / count)
        half -= count
    return edges[-1]


def slower(mine: list[list[int]], others: list[list[int]], margin: float, level: float) -> bool:
    """The rank test, workload by workload, sums pooled; a failure ranks behind every answer."""
    excess = spread = ratio = weight = 0.0
    for new, old in zip(mine, others):
        new, old = new[2:] + [new[1]], old[2:] + [old[1]]
        if min(sum(new), sum(old)) >= 5:
            more, variance = rank_test(new, old)
            excess, spread = excess + more, spread + variance
            ratio, weight = ratio + sum(new) * median(new) / median(old), weight + sum(new)
    return weight >= LEAST and ratio > margin * weight and erfc(excess / sqrt(2 * spread)) / 2 < level


class Judge:
    """Pools the counts of all relays.  Only those drawn by hash for a build and stage vote."""

    def __init__(self, relay: "Relay") -> None:
        self.relay, self.facts, self.beat = relay, relay.facts, 0
        self.cast_at = self.busy_until = 0
        self.voted = self.cast = (-1, 0, 0)      # the vote last sent, and the one known to stand
        self.new_build()

    def new_build(self) -> None:
        self.heard: dict[tuple[int, int, int], list[int]] = {}   # sender, start, workload -> newest counts
        self.fresh: dict[int, int] = {}          # sender -> when last heard
        self.traffic: dict[int, tuple[int, int]] = {}            # sender -> taken of late, and before
        self.past, self.verdict = [None] * 12, 0         # the pool in the latest six seconds; what we are for

    def drawn(self) -> tuple[int, list[int]]:
        """How many vote, and all relays in the order that a hash of build and stage draws for them."""
        relay, seats = self.relay, max(JUDGES, *(int(self.facts[name]) for name in VOTES_NEEDED))
        return seats, sorted(range(self.facts["relays"]), key=lambda at: -mix(relay.build, relay.stage, at))

    def sitting(self) -> bool:
        """One of the judges, or the next in line for one that has not been heard of lately."""
        (seats, order), relay = self.drawn(), self.relay
        alive = [index for index in order[:seats + 1] if index == relay.index
                 or relay.now - self.fresh.get(index, relay.since) < FRESH]
        return relay.index in alive[:seats]

    def tell(self) -> None:
        """Our cumulative counts to the judges and the next in line; loss, reorder and restarts heal."""
        relay, trial, rows = self.relay, self.relay.trial, len(self.relay.workloads)
        for first in range(0, rows if trial.build >= 0 and self.facts["may_tell"] else 0, 4):
            span = slice(first * ROW, min(rows, first + 4) * ROW)
            counts = [min(65535, count) for name in GROUPS for count in trial.groups[name][span]]
            data = struct.pack(f"<HIHHH{len(counts)}H", trial.build, relay.born & 0xFFFFFFFF, first,
                               trial.taken(), trial.taken_before, *counts)
            seats, order = self.drawn()
            for index in [at for at in order[:seats + 1] if at != relay.index]:
                relay.host.tell(index, data)

    def hear(self, sender: int, data: bytes) -> None:
        relay = self.relay
        if len(data) < 12 or (len(data) - 12) % (2 * ROW * len(GROUPS)):
            return
        build, born, first, taken, before, *counts = struct.unpack(f"<HIHHH{(len(data) - 12) // 2}H", data)
        if build == relay.build and first * ROW + len(counts) // len(GROUPS) <= len(relay.trial.lately):
            self.fresh[sender], self.traffic[sender] = relay.now, (taken, before)
            known = self.heard.get((sender, born, first))
            if known is None or sum(counts) >= sum(known):       # cumulative: the larger is the newer
                self.heard[sender, born, first] = counts

    def pool(self) -> list[list[list[int]]]:
        """For each group its rows by workload, of all relays and their earlier starts."""
        pooled = [list(self.relay.trial.groups[name]) for name in GROUPS]
        for (_, _, first), counts in self.heard.items():
            part = len(counts) // len(GROUPS)
            for place, count in enumerate(counts):
                pooled[place // part][first * ROW + place % part] += count
        return [[group[workload.row] for workload in self.relay.workloads] for group in pooled]

    def fails(self, canary: list[list[int]], baseline: list[list[int]]) -> bool:
        """The crude margin on failures that the baseline does not explain, for each workload and for all."""
        sums = [[sum(column) for column in zip(*group)] for group in (canary, baseline)]
        return any(new[1] - (new[0] + new[1]) * old[1] / max(1, old[0] + old[1]) > EARLY_EXCESS
                   + EARLY_MARGIN * (new[0] + new[1]) for new, old in [*zip(canary, baseline), sums])

    def worse(self, pooled: list, recent: list) -> bool:
        """Slower than the earlier build.  Departure, for a build that slows old and new units alike: while
        it has shots, the earlier units now against the time before, more than a rise of traffic explains."""
        canary, baseline, before = pooled
        level, trial, relay = REJECT_AT / len(self.facts["stage_shares"]), self.relay.trial, self.relay
        if slower(canary, baseline, SLOWER, level):
            return True
        traffic = [(trial.taken(), trial.taken_before)] + [
            each for sender, each in self.traffic.items() if relay.now - self.fresh[sender] < FRESH]
        taken, then = (sum(column) for column in zip((0, 0), *(each for each in traffic if each[1])))
        rise = max(1.0, taken / relay.room() / (then or 0.01) * trial.room_before)
        now = recent[1] if sum(row[0] for row in recent[1]) >= LEAST else recent[0]
        return (slower(recent[0], before, ALSO_SLOWER, level)
                and slower(now, before, ALL_SLOWER * rise ** 2, level))

    def due(self) -> int:
        relay, shares = self.relay, self.facts["stage_shares"]   # the horizon: after the newest listed start
        starts = [unit.started for unit in relay.units.values() if unit.build == relay.build]
        places = shares[min(relay.stage, len(shares) - 1)] * len(relay.units)
        # With most of a stage's units unseen, the list is stale: what other units show is no evidence for it.
        stale = len(starts) < max(1, LISTED * places)
        newest = min(max([relay.since, *starts]), relay.since + LAUNCH)
        listing = SECOND * (len(starts) < int(places))
        return HORIZON + (relay.since + 2 * LAUNCH if stale else newest + listing)

    def consider(self) -> None:
        """Each half second: pool, judge, vote.  After the release too: the baseline is then remembered."""
        relay, place = self.relay, self.beat % len(self.past)
        self.beat += 1
        if not relay.workloads or relay.build < 0 or relay.phase not in (ON_TRIAL, RELEASED):
            return
        pooled = self.pool()
        old, self.past[place] = self.past[place] or [[[0] * ROW for _ in rows] for rows in pooled], pooled
        recent = [[[max(0, new - past) for new, past in zip(*row)] for row in zip(*rows)]
                  for rows in zip(pooled, old)]
        known = sum(row[0] + row[1] for row in pooled[1]) >= LEAST // 2    # else nothing to be held against
        if known and (self.fails(*pooled[:2]) or self.fails(recent[0], pooled[1])):
            self.verdict = BACK
        elif not self.verdict and relay.phase == ON_TRIAL and relay.now >= self.due():
            if self.worse(pooled, recent):
                self.verdict = BACK
            elif sum(row[0] + row[1] for row in pooled[0]) >= LEAST or relay.now >= self.due() + PATIENCE:
                self.verdict = ON
        self.vote(pooled)

    def vote(self, pooled: list) -> None:
        """Cast or renew; only for the build and stage last told."""
        relay, now, ballot = self.relay, self.relay.now, (self.relay.build, self.relay.stage, self.verdict)
        stands = self.cast == ballot and now - self.cast_at < self.facts["vote_life"] // 2
        useless = self.verdict == ON and (relay.phase != ON_TRIAL or self.facts["control"] == "timer")
        if not self.verdict or stands or useless or now < self.busy_until or not self.sitting():
            return
        self.busy_until, self.voted = now + self.facts["vote_wait"] + SECOND // 10, ballot
        relay.host.log(f"vote {self.verdict} on build {relay.build} stage {relay.stage}: " + " ".join(
            f"{name}" + "".join(f" {row[0]}-{row[1]}@{median(row[2:]):.2f}" for row in group)
            for name, group in zip(GROUPS, pooled)))
        relay.host.vote(*ballot)

    def answered(self, answer: str) -> None:
        self.busy_until = self.relay.now
        if answer == "ok":
            self.cast, self.cast_at = self.voted, self.relay.now
        elif answer != "timeout":                # moot, full or an error: it does not count; soon again
            self.busy_until += int((0.2 + 0.3 * self.relay.chance.share()) * SECOND)


class Relay:
    """One instance: what it knows, and the door through which events come in."""
    WAKE_BEAT, WAKE_LIST, WAKE_LATE = 0, 1, 1 << 32

    def __init__(self, host: Host, facts: dict[str, Any], seed: int, now: int) -> None:
        self.host, self.now, self.born, self.since = host, now, now, now
        self.facts = ABSENT | {name: fact for name, fact in facts.items() if fact != []}
        self.chance, self.index = Chance(seed), self.facts["index"]
        self.workloads = [Workload(place, each) for place, each in enumerate(self.facts["workloads"])]
        self.units: dict[int, Unit] = {}
        self.known: dict[int, Invocation] = {}   # taken, and not over or with shots still out
        self.build, self.stage, self.phase, self.told_cap = -1, 0, RELEASED, 1.0
        self.lowered, self.higher_cap = 0, 0.0   # when a cap was lowered, and from what
        self.usual_work, self.patience, self.list_failures = 0.0, SECOND, 0
        self.choice, self.admission, self.gate = Choice(self), Admission(self), Gate(self)
        self.intake, self.trial, self.judge = Intake(self), Trial(self), Judge(self)
        self.on_told, self.on_vote_answer = self.judge.hear, self.judge.answered
        chain = [self.intake, self.admission, self.trial, self.choice, self.gate]
        for before, after in zip(chain, chain[1:]):
            before.next, after.before = after, before
        host.wake(now + int((1 + self.chance.share()) * SECOND / 4), self.WAKE_BEAT)
        if self.facts["list_mode"] == "on_request":
            host.watch_list()

    def warmth(self, unit: Unit) -> float:
        """The part of its capacity that a unit has at the least."""
        age = max(0, self.now - unit.started)
        if not unit.started or age >= self.facts["warm_up"]:
            return 1.0
        return self.facts["cold_from"] + (1 - self.facts["cold_from"]) * age / self.facts["warm_up"]

    def room(self) -> float:
        return sum(unit.weight for unit in self.units.values()) or 0.01

    def on_trial(self, build: int) -> bool:
        return build > self.build >= 0 or (build == self.build and self.phase != RELEASED)

    def cap(self, build: int) -> float:
        """The share that binds: the one last told; during its grace the higher one if nothing else runs."""
        if build != self.build:
            return self.facts["caps"][0]
        if self.now < self.lowered + self.facts["drain_grace"] and not any(
                not self.on_trial(unit.build) for unit in self.units.values()):
            return max(self.told_cap, self.higher_cap)
        return self.told_cap

    def on_list(self, kind: str, entries: list[tuple]) -> None:
        if kind == "failed":                     # ask again; a standing watch is not hurt by that
            self.list_failures += 1
            delay = min(5 * SECOND, SECOND // 5 * 2 ** min(5, self.list_failures))
            return self.host.wake(self.now + int(delay * (0.5 + self.chance.share() / 2)), self.WAKE_LIST)
        self.list_failures, kept = 0, self.units if kind == "changes" else {}
        for number, build, state, zone, cell, weight, started in entries:
            unit = self.units.get(number)
            if unit is None or unit.build != build or unit.started < started:
                unit = Unit(number, build, started, Ring(self.facts["fall_span"], BUCKETS))
            unit.weight, unit.open, unit.zone, unit.cell = max(weight, 0.01), state == "open", zone, cell
            kept[number] = unit
        self.units = {number: unit for number, unit in kept.items() if unit.open}

    def on_invocation(self, number: int, workload: int, customer: int, key: str | None, give_up: int,
                      work: int, repeat: bool) -> None:
        self.usual_work += 0.01 * (work - self.usual_work) if self.usual_work else work
        size = work / self.usual_work if work else 1.0
        mark = crc32(key.encode()) if key else None
        invocation = Invocation(number, self.workloads[workload], customer, mark, give_up, size, repeat)
        self.known[number] = invocation
        self.gate.taken[workload].add(self.now)
        self.intake.forward(invocation)

    def on_outcome(self, number: int, place: int, outcome: str, over: bool, latency: int,
                   load: dict[str, float] | None) -> None:
        invocation = self.known.get(number)
        if invocation is None:
            return
        shot = invocation.shots[place]
        if load:
            shot.unit.util, shot.unit.queue = load.get("util", 0.0), load.get("queue", 0.0)
            shot.unit.load_at = self.now
        invocation.over |= over and outcome != "served"
        self.gate.backward(shot, outcome, latency)

    def on_started(self, number: int, place: int) -> None:
        if number in self.known:
            self.known[number].over = True       # an answer's stream has begun: nothing more may be sent

    def on_abandoned(self, number: int) -> None:
        invocation = self.known.get(number)
        if invocation and not invocation.over:
            invocation.over = True
            if invocation.out() and self.facts["may_cancel"]:
                self.host.cancel(number, len(invocation.shots) - 1)     # nobody waits for it any more

    def on_wake(self, token: int) -> None:
        if token == self.WAKE_BEAT:
            self.host.wake(self.now + SECOND // 2, self.WAKE_BEAT)
            self.known = {number: each for number, each in self.known.items() if not each.over or each.out()}
            self.patience = max([workload.patience() for workload in self.workloads], default=SECOND)
            for unit in self.units.values():     # what is not tried again is slowly forgiven
                unit.pace, unit.failing = unit.pace + 0.03 * (1 - unit.pace), 0.97 * unit.failing
            if not any(self.on_trial(unit.build) for unit in self.units.values()):
                self.trial.lately = [0.92 * count for count in self.trial.lately]
            self.judge.consider()
            if self.judge.beat % 2:
                self.judge.tell()
        elif token == self.WAKE_LIST:
            self.host.watch_list()
        elif token - self.WAKE_LATE in self.known:
            self.intake.overdue(self.known[token - self.WAKE_LATE])

    def on_stage(self, build: int, stage: int, phase: int, cap: float, age: int) -> None:
        if build == self.build and cap < self.told_cap:
            self.lowered, self.higher_cap = self.now, self.told_cap
        earlier = self.build, self.stage, self.phase
        self.build, self.stage, self.phase, self.told_cap = build, stage, phase, cap
        if build != earlier[0]:
            self.trial.new_build(build)
            self.judge.new_build()
        if (build, stage, phase) != earlier:
            self.since = self.now - age
            self.judge.verdict = 0

    def on_flag(self, unit: int, workload: int, age: int) -> None:
        if unit in self.units and self.units[unit].build == self.build:     # few are found, some falsely
            row, weight = self.workloads[workload].row, min(3, round(1 / max(0.01, self.facts["flag_share"])))
            self.trial.groups["canary"][row.start + 1] += weight
