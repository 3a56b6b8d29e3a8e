"""Every decision of tealsail.  A host (tealsail/host.py) builds a `Relay(host, facts, seed, now)`, sets `now`
and calls `on_...`.  `facts` is a plain map (names: tealsail/settings.py); times are tenths of a ms."""

from collections import defaultdict
from itertools import islice
from math import log, sqrt
from typing import Any

from . import notes
from .host import Host
from .parts import (
    ChainStage,
    Invocation,
    Load,
    RandomGenerator,
    Shot,
    SlidingSum,
    Tries,
    Unit,
    Windows,
    Workload,
    forget,
    in_rows,
    link,
    lone,
    median,
    part,
    slower,
    stable_hash,
    surplus,
    unexplained,
)

SECOND = 10_000
DEFAULTS: dict[str, Any] = dict(
    index=0,
    zone=0,
    relays=1,
    workloads=[],
    customers=[],
    caps=[0.0],
    stage_shares=[1.0],
    on_votes=0,
    back_votes=0,
    vote_life=6 * SECOND,
    vote_wait=SECOND,
    votes_per_second=50,
    control="any",
    free_shots=0,
    layout="in_place",
    exposure_per="all",
    exposure_span=2 * SECOND,
    guarded_stages=0,
    may_cancel=False,
    may_tell=False,
    may_advise=False,
    longest_advice=0,
    most_shots=1,
    cold_from=0.25,
    warm_up=5 * SECOND,
    drain_grace=0,
    bake=SECOND,
    promised=SECOND,
    effect="one-shot",
    group="all",
    memory=0,
    payoff=1.0,
)
ON, BACK, ON_TRIAL, GOING_BACK, RELEASED = 1, 3, 0, 1, 2  # verdicts of a vote; phases
NEVER_RAN, NO_ROOM = {"full", "unreachable", "moot"}, 255  # outcomes that prove it; a keeper's answer
GROUPS, EDGES = ("canary", "baseline", "before"), (0.06, 0.1, 0.16, 0.26, 0.42, 0.67, 1.07)
TOLD = [(0, (1,)), (0, (0, 1)), (1, (1,)), (1, (0, 1))]  # canary and baseline: failures, outcomes
CELLS_PER_WORKLOAD, BUCKETS = 2 + len(EDGES) + 1, 20  # served, failed, times in parts of the promise; of each ring
TRIAL_PART, BEAR = 0.9, 1.3  # of the allowance; over an even share, for a while
RELAYS_PER_TURN, MAX_EXTRA_TURNS, FULL = 1000, 7, 1 << 31  # relays; turns of telling, less one; counts told
JUDGES, JUDGE_TIMEOUT, SPARE = 3, 3 * SECOND, 1.25  # silent for so long: dead; voters over the need
EARLY_MARGIN, EARLY_EXCESS, CHANCE = 0.015, 4.0, 3.0  # over what the baseline explains, and its deviations
BRIEF, WIDE = 4, 3  # beats, if so many units of a build fail of late; where
BROAD, BEYOND, STEADY = 4, 2.8, 5 * SECOND  # one in so many does: deviations beyond chance, more
# of them the longer a build is looked at: else, of looks twice a second, chance alone passes within minutes
SLOWER, UNEVEN, WORKED, REJECT_AT, LEAST = 1.6, 0.3, 0.25, 0.01, 20  # ratio, of few, by idle; level, outcomes
HORIZON, PATIENCE = 3 * SECOND + SECOND // 4, SECOND  # after the newest listed start; and if thin
WITNESSES, MATCHED, OWN, USUAL = 20, 20, 0.3, 1.3  # due to others; far shots alone; its own: failing, slow
SKIP, LISTED, LAUNCH, NAMED = 2 * SECOND, 0.7, 8 * SECOND, 0.3  # new unit's; stage's; by then all; of late


class Intake(ChainStage):
    """Takes invocations and gives each its one final answer, at once where nothing can be sent."""

    FURTHER, purse = 0.2, 1.0  # doubtful further shots an invocation; no storm of repeats

    def forward(self, invocation: Invocation) -> None:
        self.purse = min(20.0, self.purse + (0 if invocation.shots else self.FURTHER))
        if not self.next.forward(invocation):
            self.end(invocation)

    def end(self, invocation: Invocation) -> None:
        """What is given up gets its answer at once: a rejection if trying again is known to do no harm."""
        invocation.is_over = True
        if self.relay.gate.may_reject(invocation):
            advice = min(SECOND // 2, self.facts["longest_advice"]) if self.facts["may_advise"] else 0
            self.relay.host.reject(invocation.number, advice)
        else:
            self.relay.host.forfeit(invocation.number)

    def overdue(self, invocation: Invocation) -> None:
        """Called off if the unit is silent to others too: hung.  One alone may only be heavy work."""
        shot = invocation.shots[-1]
        if not shot.ended and not invocation.is_over:
            if shot.unit.silent_since <= shot.sent and shot.unit.open_shots > 1 and self.purse >= 1:
                return self.relay.host.cancel(invocation.number, len(invocation.shots) - 1)
            again = self.relay.now + self.relay.admission.patience(invocation.workload) // 2
            self.relay.host.wake(again, self.relay.WAKE_LATE + invocation.number)

    def backward(self, shot: Shot, outcome: str, latency: int) -> None:
        invocation = shot.invocation
        invocation.is_over |= outcome == "served"
        if not invocation.is_over:
            self.purse = max(-1.0, self.purse - (not shot.never_ran))
            again = self.purse >= 0 and self.relay.gate.may_repeat(invocation)
            (self.forward if again else self.end)(invocation)


class Admission(ChainStage):
    """Keeps queues short: a limit on this relay's shots out there falls with late answers, rises with those
    in time; less for what pays little or is of a customer beyond its share.  Guards against any overload."""

    LATE, EASY, RISE, CUT = 1.0, 0.5, 0.1, 0.4  # late, and with no queue: parts of the promise
    FEW, LEAST = 3, 0.15  # under so few the limit is a share taken, at least this one

    def __init__(self, relay: "Relay") -> None:
        super().__init__(relay)
        self.limit, self.peak, self.cut, self.limit_cut_at = 40.0, 1.0, 0, 0
        self.shots = self.stuck = 0  # out there, and those with units that are hung
        self.taken = SlidingSum(4 * SECOND, BUCKETS)
        self.by_customer = [SlidingSum(4 * SECOND, BUCKETS) for _ in self.facts["customers"] or [{}]]
        for workload in relay.workloads:  # latencies, until some are seen
            workload.mean, workload.deviation = workload.promised / 5, workload.promised / 10

    def patience(self, workload: Workload) -> int:
        """After this a shot is late for its kind: mean and three deviations, bounded by the promise."""
        late = workload.mean + 3 * workload.deviation
        return int(min(max(late, workload.promised / 4), 0.75 * workload.promised))

    def forward(self, invocation: Invocation) -> bool:
        if not invocation.shots:
            self.taken.add(self.relay.now, not invocation.repeat)
            self.by_customer[invocation.customer].add(self.relay.now)
            part, open_shots, luck = self.part(invocation), self.shots - self.stuck + 1, self.relay.random.share()
            self.peak = max(open_shots, 0.98 * self.peak)
            if open_shots > part * max(self.FEW, self.limit) or luck > part * self.limit / self.FEW:
                return False
        return self.next.forward(invocation)

    def part(self, invocation: Invocation) -> float:
        best, now = max(workload.payoff / workload.mean for workload in self.relay.workloads), self.relay.now
        part = 1.0 if invocation.workload.payoff / invocation.workload.mean > 0.7 * best else 0.85
        share = (self.facts["customers"] or [{}])[invocation.customer].get("share", 2)
        fair = max(10.0, 1.3 * share * self.taken.total(now))
        return part / min(2.0, max(1.0, self.by_customer[invocation.customer].total(now) / fair))

    def backward(self, shot: Shot, outcome: str, latency: int) -> None:
        workload, latency_for_size = shot.invocation.workload, latency / max(1.0, shot.invocation.size)
        late = latency_for_size > self.LATE * workload.promised and shot.unit.silent_since >= shot.sent
        open_shots = self.shots - self.stuck + 1
        if late and shot.sent >= self.limit_cut_at:  # of what is in use; a cut by a third is given time to show
            used, self.cut = min(self.limit, 2 * max(open_shots, self.peak)), self.cut + 1
            self.limit = max(self.FEW * self.LEAST, used - min(1.0, self.CUT * used))
            if self.cut > self.limit / 2:
                self.cut, self.limit_cut_at = 0, self.relay.now
        elif outcome == "served" and not late and (open_shots > 0.5 * self.limit or self.limit < self.FEW):
            easy = max(0.0, 1 - latency_for_size / (self.EASY * workload.promised))
            self.limit += self.RISE if self.limit > self.FEW else self.FEW * self.RISE * easy
        if outcome in ("served", "timeout", "cancelled"):
            workload.deviation += 0.05 * (abs(latency_for_size - workload.mean) - workload.deviation)
            workload.mean += 0.05 * (latency_for_size - workload.mean)
        super().backward(shot, outcome, latency)


class Trial(ChainStage):
    """Which build: the one on trial gets its units' share, an equal random slice of the rest is baseline."""

    def __init__(self, relay: "Relay") -> None:
        super().__init__(relay)
        self.lately = [0.0] * CELLS_PER_WORKLOAD * len(relay.workloads)
        self.new_build(-1)

    def new_build(self, build: int) -> None:
        self.build = build
        self.baseline_deficit = defaultdict(float)  # how far the canary group is ahead of the baseline, by tier
        self.groups = {name: [int(count) * (name == "before") for count in self.lately] for name in GROUPS}

    def weigh(self) -> None:
        relay, (old, new), able, cold = self.relay, self.relay.rows, [], []
        relay.warm_room = 0
        for row in (old, new):
            warm, warming = part(row, relay.now - self.facts["warm_up"], relay.warmth)
            relay.warm_room += warm
            able.append(warm + warming or 0.01)
            cold.append(warming / relay.room)
        others, mine = able
        relay.crowd = 1 + min(1.0, len(relay.leaving) / max(1, len(relay.units)))
        slow, usual = (sum(unit.pace for unit in row) / max(1, len(row)) for row in (new, old))
        # Where earlier machines stay, new ones take over their places' work, as they will have to: what fails
        # under load alone would pass at half of its use.  Cold ones get an even share of all units'.
        if relay.beside:
            mine -= cold[1] * len(new) / max(1, len(new) + len(old)) * relay.room
        self.share = min(1.0, mine / (mine * (not relay.beside) + others * max(1.0, slow / max(0.01, usual))))
        if relay.judge.verdict == BACK or relay.phase == GOING_BACK:  # others get what they can bear
            self.share = max(0.0, 1 - BEAR * (1 - self.share)) * (not relay.beside)
        relay.cold_share = [
            (each / 2, each / max(0.01, drawn))  # if drawn for the other row, or for this one
            for each, drawn in zip(cold, (1 - self.share, self.share))
        ]

    def forward(self, invocation: Invocation) -> bool:
        relay, (old, new) = self.relay, self.relay.rows
        if not relay.warm_room and not invocation.shots:
            relay.gate.even += invocation.size / relay.room
        if invocation.asked <= len(invocation.shots):  # else drawn already
            invocation.drawn = (
                None if invocation.shots else bool(new) and (not old or relay.random.share() < self.share)
            )
        wanted = invocation.drawn and new and old and (relay.gate.allowance(invocation, new[0].build, TRIAL_PART) >= 1)
        # Departure: what earlier units cannot take (none left, cold ones full) may use the whole allowance.
        return any(self.next.forward(invocation, row) for row in ((new, old) if wanted else (old, new)))

    def group_of(self, unit: Unit) -> list[int] | None:
        """Groups are matched in distance too: else a far zone would read as a slow build."""
        name, tier = "canary" if unit.build == self.build else "baseline", self.relay.tier(unit)
        if (
            unit.build > self.build
            or name == "baseline"
            and self.baseline_deficit[tier] <= 2 * self.relay.random.share()
        ):
            return None
        if name == "canary" and tier and self.baseline_deficit[tier] >= MATCHED:
            return None  # no earlier unit as far away to hold it against
        self.baseline_deficit[tier] = min(50.0, self.baseline_deficit[tier] + (1 if name == "canary" else -1))
        return self.groups[name]

    def backward(self, shot: Shot, outcome: str, latency: int) -> None:
        workload, unit = shot.invocation.workload, shot.unit
        times = latency * shot.warmth / workload.promised
        bucket = workload.row.start + 2 + sum(times > edge for edge in EDGES)
        if shot.group and not shot.invocation.repeat:  # one client's repeats are no evidence
            shot.group[workload.row.start] += outcome == "served"
            failed = outcome == "error" and not (unit.build == self.build and self.relay.choice.stands_out(unit))
            # Departure: with no earlier machine left to fail alike, it counts once another unit serves it
            shot.group[workload.row.start + 1] += (
                shot.invocation.blamed and outcome == "served" if self.relay.alone else failed
            )
            shot.invocation.blamed |= self.relay.alone and failed
            early = not self.relay.stage and self.relay.now - unit.started > SKIP  # no warm canary yet
            shot.group[bucket] += outcome == "served" and (shot.warmth >= 1 or early)
        if outcome == "served" and shot.warmth >= 1 and not self.relay.on_trial(unit.build):
            self.lately[bucket] += 1
        super().backward(shot, outcome, latency)


class UnitChoice(ChainStage):
    """Which unit: two random choices in the build among few units, in an order drawn by this relay's number,
    one more whenever those are all busy: with little traffic it opens few connections and knows its units."""

    REST, MAX_EJECTION_TIME, FEW, NEW = SECOND // 2, 4 * SECOND, 4, 8  # NEW: what a new connection costs,
    few, cut_off = FEW, 0.0  # where shots of late found none (dear or few connections)

    def forward(self, invocation: Invocation, row: list[Unit]) -> bool:
        used, pick, load_tracking = (
            [shot.unit for shot in invocation.shots],
            self.relay.random.pick,
            self.relay.load_tracking,
        )
        few = max(int(self.few), load_tracking.FEW * load_tracking.on)
        side = bool(row) and self.relay.on_trial(row[0].build)
        if self.relay.gate.lucky(invocation, side):
            cold = [unit for unit in row if self.relay.warmth(unit) < 1]
            if cold:  # else warmed since, or in other zones
                row, few = cold + row, min(few, len(cold))
        fit = (unit for unit in row if self.fit(unit) and unit not in used)
        near = list(islice(fit, few))
        if near and all(unit.open_shots for unit in near):
            self.few += 1
            near += islice(fit, 1)
        best, invocation.best = invocation.best, None
        if best in near and self.next.forward(invocation, best) or load_tracking.keeps(invocation, near):
            return True
        while near:
            one = pick(near)
            unit = min(one, pick([unit for unit in near if unit is not one] or near), key=self.cost)
            if self.next.forward(invocation, unit):
                return True
            near.remove(unit)
            near += islice(fit, 1)  # cold, say: the next in the row
        return any(self.next.forward(invocation, unit) for unit in row if unit in used or not self.fit(unit))

    def cost(self, unit: Unit) -> float:
        relay, new = self.relay, self.NEW * self.cut_off * (unit.met < self.relay.now - 10 * SECOND)
        cost = (unit.open_shots + new + relay.random.share()) * unit.pace / (unit.weight * relay.warmth(unit))
        if relay.now - unit.load_at < 2 * SECOND:
            cost *= 1 + 2 * unit.util * unit.util + unit.queue / 4
        return cost

    def fit(self, unit: Unit) -> bool:
        """Not resting, one shot at a time after a rest, and not silent for longer than answers take."""
        return self.relay.now >= unit.ejected_until and not (
            unit.open_shots and (unit.rest or self.relay.now - unit.silent_since > self.relay.patience)
        )

    def stands_out(self, unit: Unit) -> bool:
        """Its errors are its own: its build's other units do much better and earlier units fail too or, with
        none left, under a third of the build's.  Few that fail in a build on trial alone count against it."""
        seen = [
            other
            for other in self.relay.units.values()
            if other is not unit and other.met > self.relay.now - 10 * SECOND
        ]
        others, elsewhere = (
            [other.error_rate for other in seen if (other.build == unit.build) == here] for here in (True, False)
        )
        few = max(elsewhere) > 0.1 if elsewhere else 3 * sum(each > 0.05 for each in others) < len(others)
        return len(others) > 1 and few and unit.error_rate > max(OWN, 3 * sum(others) / len(others))

    def backward(self, shot: Shot, outcome: str, latency: int) -> None:
        unit, now, workload = shot.unit, self.relay.now, shot.invocation.workload
        unit.open_shots -= 1
        self.relay.load_tracking.send_note(unit, outcome, latency / max(1.0, shot.invocation.size) / workload.mean)
        self.relay.admission.shots -= 1
        self.cut_off += 0.1 * ((outcome == "unreachable") - self.cut_off)
        if outcome in ("served", "error"):
            unit.silent_since, unit.met, unit.connection_failures = now, now, 0
            unit.error_rate += 0.15 * ((outcome == "error") - unit.error_rate)
        late = outcome in ("timeout", "cancelled") and latency >= self.relay.admission.patience(workload)
        if outcome == "served" or late:
            times = latency / max(1.0, shot.invocation.size) / workload.mean
            unit.pace += 0.1 * (min(8.0, 8.0 if late else times) - unit.pace)
        unit.connection_failures += (outcome in ("reset", "unreachable")) * (1 + (latency > SECOND // 10))
        if outcome == "served":
            unit.rest = 0
        elif (
            outcome == "full"
            or unit.connection_failures > 1
            or (late and unit.silent_since <= shot.sent)
            or (outcome == "error" and self.stands_out(unit))
        ):
            unit.rest = min(self.MAX_EJECTION_TIME, 2 * unit.rest or self.REST)
            unit.ejected_until = now + unit.rest  # dead, drained, silent or failing alone: it rests, and goes
            for row in self.relay.rows:  # to the end of the row
                row.sort(key=lambda other: other is unit)
        super().backward(shot, outcome, latency)


class LoadTracking:
    """Stands in for load reports that are missing, late or false: a relay drawn by hash is told of each shot,
    and asked which of a few units has the least at hand.  A silent one is left out a while."""

    SEATS, FEW, HELD, NEARER, WAIT, MUTE, LIFE = 3, 8, 0.7, 0.06, SECOND // 10, 2 * SECOND, 5 * SECOND

    def __init__(self, relay: "Relay") -> None:
        self.relay, facts = relay, relay.facts
        self.on = facts["may_tell"] and facts["relays"] > 1
        self.order = sorted(range(facts["relays"]), key=lambda at: stable_hash(0, at))[: self.SEATS]
        self.mute = dict.fromkeys(self.order, 0)  # until when each is left out
        self.asked: dict[int, Invocation] = {}  # kept until the answer or the end of the wait
        self.connection_failures, self.told, self.began, self.ends = 0, 0, 0, SlidingSum(2 * SECOND, BUCKETS)
        self.loads: defaultdict[int, Load] = defaultdict(Load)  # the keeper's: what all have at a unit

    def tracker_index(self) -> int:
        return next((at for at in self.order if self.on and self.mute[at] <= self.relay.now), -1)

    def keeps(self, invocation: Invocation, near: list[Unit]) -> bool:
        """Asks once for each shot; `resume` goes on with it."""
        tracker_index, relay = self.tracker_index(), self.relay
        if tracker_index < 0 or len(near) < 2 or invocation.asked > len(invocation.shots):
            return False
        near.sort(key=lambda unit: unit.zone != relay.facts["zone"])  # its own first, all else being equal
        invocation.asked, invocation.near = len(invocation.shots) + 1, near
        self.asked[invocation.number] = invocation
        relay.host.wake(min(relay.now + self.WAIT, invocation.give_up), relay.WAKE_ASKED + invocation.number)
        self.send(tracker_index, notes.ask_note(invocation.number, [unit.number for unit in near]))
        return True

    def send(self, tracker_index: int, data: bytes) -> None:
        (self.hear if tracker_index == self.relay.index else self.relay.host.send_note)(tracker_index, data)

    def resume(self, number: int, place: int = -1) -> None:
        if (invocation := self.asked.pop(number, None)) is None:
            return
        self.connection_failures = 0 if place >= 0 else self.connection_failures + 1
        if self.connection_failures > 1:
            self.mute[self.tracker_index()], self.connection_failures = self.relay.now + self.MUTE, 0
        if not invocation.is_over:
            invocation.best = invocation.near[place] if 0 <= place < len(invocation.near) else None
            if place == NO_ROOM or not self.relay.trial.forward(invocation):
                self.relay.intake.end(invocation)

    def send_note(self, unit: Unit, outcome: str = "", times: float = 0.0) -> None:
        """How many shots this relay has at the unit now, and what came of the last."""
        if (tracker_index := self.tracker_index()) >= 0:
            self.told, came = self.told + 1, 255 if outcome == "error" else min(254, int(16 * times))
            self.send(tracker_index, notes.load_note(self.told, unit.number, unit.open_shots, came))

    def least(self, sender: int, keys: tuple[int, ...]) -> int:
        loads, now, since = [self.loads[key] for key in keys], self.relay.now, self.relay.now - self.WAIT
        usual = sorted(load.error_rate for load in loads)[len(loads) // 2]
        costs = [
            (load.at_hand(since, NAMED) + 0.5 + self.NEARER * place)
            * max(1.0, load.pace / USUAL)
            * (1 + 20 * max(0.0, load.error_rate - OWN - 2 * usual))
            for place, load in enumerate(loads)
        ]
        place = costs.index(min(costs))
        promise = min([each.promised for each in self.relay.workloads], default=SECOND)
        pace = max(LEAST, self.ends.total(now)) / (len(self.loads) * self.ends.span)
        if loads[place].open_shots > self.HELD * promise * pace and now - self.began > 2 * self.ends.span:
            return NO_ROOM  # not by one that has just begun to be told
        loads[place].given.append((sender, now))
        return place

    def hear(self, sender: int, data: bytes) -> None:
        figures = notes.read_tracker_note(data)
        if len(data) == 6:
            self.began = self.began if self.ends.total(self.relay.now) else self.relay.now
            self.loads[figures[1]].send_note(sender, figures[0], *figures[2:], self.relay.now)
            self.ends.add(self.relay.now, figures[3] > 0)
        elif len(data) == 5 and sender in self.order:
            self.resume(*figures)
        elif len(data) > 5 and figures:
            self.send(sender, notes.answer_note(figures[0], self.least(sender, figures[2:])))


class Gate(ChainStage):
    """Every send passes here; each of the five rules is kept at one place of it."""

    COLD_PART = 1.5  # of an even share, for what a cold unit can do now

    def __init__(self, relay: "Relay") -> None:
        super().__init__(relay)
        self.taken = [SlidingSum(self.facts["exposure_span"], BUCKETS) for _ in relay.workloads]
        self.tried = defaultdict(lambda: [Tries(ring.span, BUCKETS) for ring in self.taken])  # by build
        self.even = 0.0  # sent to warm units so far, for a weight of one
        self.sound = 1.0  # part of the latest shots that came to an answer

    def forward(self, invocation: Invocation, unit: Unit) -> bool:
        relay, now = self.relay, self.relay.now
        if not (
            self.answerable(invocation)
            and self.may_repeat(invocation, unit)
            and self.listed(unit)
            and self.warm_enough(invocation, unit)
            and self.exposed(invocation, unit)
        ):
            return False
        shot = Shot(invocation, unit, now, relay.trial.group_of(unit), relay.warmth(unit))
        invocation.shots.append(shot)
        unit.silent_since = unit.silent_since if unit.open_shots else now
        unit.open_shots += 1
        relay.admission.shots += 1
        relay.load_tracking.send_note(unit)
        if shot.warmth >= 1:
            self.even += invocation.size / max(relay.warm_room, unit.weight)
        unit.credit -= invocation.size
        self.tried[unit.build][invocation.workload.place].add(now)
        left, patience = invocation.give_up - now, self.relay.admission.patience(invocation.workload)
        if (
            invocation.workload.effect == "harmless"
            and left > 2 * patience
            and len(invocation.shots) < self.facts["most_shots"]
        ):
            if self.facts["may_cancel"]:
                relay.host.wake(now + patience, relay.WAKE_LATE + invocation.number)
            else:
                left = 2 * patience
        relay.host.send(invocation.number, unit.number, left)
        return True

    # No invocation is lost, and nothing is sent for one that is over.
    def answerable(self, invocation: Invocation) -> bool:
        few = len(invocation.shots) < self.facts["most_shots"]
        return few and not invocation.is_over and self.relay.now < invocation.give_up

    # No effect twice: what may have run goes out again, or is rejected, only as its workload allows.
    def may_repeat(self, invocation: Invocation, unit: Unit | None = None) -> bool:
        workload, first = invocation.workload, invocation.may_have_run()
        if workload.effect == "harmless" or first is None or invocation.open_shots():
            return not invocation.open_shots()  # one shot at a time, also where two are allowed
        if workload.effect != "stamped" or self.relay.now >= first.sent + workload.memory:
            return False
        return (
            unit is None
            or workload.group == "all"
            or (unit.cell == first.unit.cell if workload.group == "cell" else unit.zone == first.unit.zone)
        )

    def may_reject(self, invocation: Invocation) -> bool:
        workload, first = invocation.workload, invocation.may_have_run()
        return (
            workload.effect == "harmless" or first is None or (workload.group == "all" and self.may_repeat(invocation))
        )

    # Drains kept: a unit that drains or is gone leaves `relay.units` at once; only what is there gets shots.
    def listed(self, unit: Unit) -> bool:
        return self.relay.units.get(unit.number) is unit

    # No cold unit pushed over: an even share by the least they can do, one draw an invocation (no floor).
    def warm_enough(self, invocation: Invocation, unit: Unit) -> bool:
        relay, warmth = self.relay, self.relay.warmth(unit)
        if warmth < 1:
            grown = (self.even - unit.even) * self.COLD_PART * warmth * unit.weight
            unit.credit, unit.even = min(1.0, unit.credit + grown), self.even
        side, size = relay.on_trial(unit.build), invocation.size
        return warmth >= 1 or (self.lucky(invocation, side) and unit.credit >= min(1, size) and size <= 3)

    def lucky(self, invocation: Invocation, side: bool) -> bool:
        """A flood of what fails at once anywhere tells nothing of units: a cold one fell by its share."""
        share = self.relay.cold_share[side][invocation.drawn is side]
        return invocation.luck < share * self.sound and not (invocation.repeat and self.sound < 0.9)

    # Exposure within the cap.
    def exposed(self, invocation: Invocation, unit: Unit) -> bool:
        relay = self.relay
        if not relay.on_trial(unit.build):
            return True
        stage = relay.stage if unit.build == relay.build else 0
        guarded = stage < self.facts["guarded_stages"] and invocation.workload.effect != "harmless"
        return not guarded and relay.cap(unit.build) > 0 and self.allowance(invocation, unit.build) >= 1

    def allowance(self, invocation: Invocation, build: int, part: float = 1.0) -> float:
        now, place = self.relay.now, invocation.workload.place
        rows = slice(place, place + 1) if self.facts["exposure_per"] == "class" else slice(None)
        tried = sum(ring.most(now) for ring in self.tried[build][rows])
        taken = sum(ring.total(now) for ring in self.taken[rows])
        return part * (self.facts["free_shots"] + self.relay.cap(build) * taken) - tried

    def backward(self, shot: Shot, outcome: str, latency: int) -> None:
        shot.ended, shot.never_ran = True, outcome in NEVER_RAN
        self.sound += 0.05 * ((outcome != "error") - self.sound)
        super().backward(shot, outcome, latency)


class Judge:
    """Pools the counts of all relays.  Three are drawn by hash for a build, for all stages: new ones hear of
    failures first.  Departure: where more votes are needed, those next in order cast what any tells."""

    def __init__(self, relay: "Relay") -> None:
        self.relay, self.facts, self.beat, self.cast_at, self.busy_until = relay, relay.facts, 0, 0, 0
        self.voted = self.cast = (-1, 0, 0)  # the vote last sent, and the one known to stand
        votes = ("back_votes",) if self.facts["control"] == "timer" else ("on_votes", "back_votes")
        needed = max(int(self.facts[name]) for name in votes)  # no 'on' moves a stage under a timer
        self.voters = JUDGES if needed <= JUDGES else int(needed * SPARE) + 1
        self.new_build()

    def new_build(self) -> None:
        size = len(self.relay.trial.lately)
        kinds = [
            [group * size + row + column for row in range(0, size, CELLS_PER_WORKLOAD) for column in columns]
            for group, columns in TOLD
        ]
        self.pooled = notes.Pool(len(GROUPS) * size, kinds)  # what the others told
        self.heard: dict[int, int] = {}  # sender -> when
        self.windows = Windows(BRIEF)
        self.begun, self.born, self.base = self.relay.now, self.relay.born, [0] * len(self.pooled.sums)
        self.told = list(self.base)
        self.draw()

    def draw(self) -> None:
        relay = self.relay
        self.order = sorted(
            range(max(self.facts["relays"], relay.index + 1)), key=lambda at: -stable_hash(relay.build, at)
        )
        self.place, self.verdict = self.order.index(relay.index), 0

    def sitting(self) -> bool:
        """One of the judges, or the next in line for one that has not been heard of lately."""
        relay = self.relay
        alive = [
            index
            for index in self.order[: JUDGES + 1]
            if index == relay.index or relay.now - self.heard.get(index, relay.since) < JUDGE_TIMEOUT
        ]
        return relay.index in alive[:JUDGES] or (self.place < self.voters and not self.facts["may_tell"])

    def send_note(self) -> None:
        """Cumulative counts to the judges and the next in line: each second what is new, every fourth time
        all; new failures each half: what turns bad late must go before the next build is due.  The baseline's
        too: else a judge of many hears first of whoever saw the canary fail, and sends a good build back."""
        relay, trial, send_note = self.relay, self.relay.trial, self.relay.host.send_note
        counts = [count for name in GROUPS for count in trial.groups[name]]  # the canary's first
        counts = [count - base for count, base in zip(counts, self.base)]
        matched = 2 * len(trial.lately)  # cells of canary and baseline
        pressing = any(counts[at] > self.told[at] for at in range(1, matched, CELLS_PER_WORKLOAD))
        thin = 1 + min(
            MAX_EXTRA_TURNS, self.facts["relays"] // RELAYS_PER_TURN
        )  # else thousands of relays drown their judges
        turn = (self.beat // 2 + relay.index) % thin == 0 or self.place <= JUDGES
        if trial.build < 0 or not self.facts["may_tell"] or not (turn and (self.beat % 2 or pressing)):
            return
        if self.verdict and self.voters > JUDGES and self.sitting():
            send_note(-1, notes.verdict_note(relay.build, relay.stage, self.verdict))  # if it was lost
        whole = (self.beat // 2 + relay.index) % 4 == 0
        cells, self.told = notes.new_cells(counts, [] if whole else self.told, CELLS_PER_WORKLOAD), counts
        for data in notes.count_notes(trial.build, self.born, cells, len(counts)):
            for index in self.order[: JUDGES + 1] if cells or self.place <= JUDGES else ():
                if index != relay.index:
                    send_note(index, data)
        if max(counts, default=0) > FULL:  # from here on as if it had started anew
            self.base, self.born = [base + count for base, count in zip(self.base, counts)], relay.now
            self.told = [0] * len(counts)

    def hear(self, sender: int, data: bytes) -> None:
        relay, figures = self.relay, notes.read(data)
        if not figures or figures[0] != relay.build:
            return
        if len(figures) > 3:
            self.heard[sender] = relay.now
            self.pooled.add(sender, figures[1], figures[4:])
        elif (
            sender in self.order[: JUDGES + 1]
            and figures[2] > self.verdict
            and (figures[1] == relay.stage or figures[2] == BACK)
        ):  # a judge's word
            self.verdict, crowd = figures[2], self.voters / self.facts["votes_per_second"] - 1.5
            self.busy_until = relay.now + int(max(0.0, crowd) * relay.random.share() * SECOND)
            if self.place < self.voters:
                self.vote()

    def pool(self, sums: list[int] | None = None) -> list[list[list[int]]]:
        own = [self.relay.trial.groups[name] for name in GROUPS]
        return self.pooled.rows(own, self.relay.workloads, sums)

    def told_by(self, group: int, *columns: int) -> dict[int, int]:
        """What each relay told of a group, in these columns of its rows, and what this one counted itself."""
        own = sum(sum(self.relay.trial.groups[GROUPS[group]][column::CELLS_PER_WORKLOAD]) for column in columns)
        return self.pooled.told[TOLD.index((group, columns))] | {self.relay.index: own}

    def others(self, told: dict[int, int]) -> list[list[list[int]]]:
        """Without the relay that told most."""
        return self.pool(self.pooled.without(max(told, key=told.__getitem__)))

    def contradicted(self, group: int) -> list[list[list[int]]] | None:
        """What the others told, if one relay's failures in a group are its word alone: it may lie."""
        bad, seen = self.told_by(group, 1), self.told_by(group, 0, 1)
        return self.others(bad) if lone(bad, seen, WITNESSES) else None

    def fails(self, canary: list[list[int]], baseline: list[list[int]]) -> bool:
        """The crude margin on failures that the baseline does not explain, for each workload and for all; and
        beyond chance, where many are due: relays with failures tell first, and so a judge hears of many."""
        return any(
            bad - due > max(EARLY_EXCESS + EARLY_MARGIN * many, CHANCE * sqrt(2 * due))
            for many, bad, due in unexplained(canary, baseline)
        )

    def worse(self, canary: list, baseline: list, before: list) -> bool:
        """Slower than the earlier build.  Departure: where earlier machines stay they idle, and a sound build
        looks slow beside them; so it has to be slower than they were before the trial, too."""
        level, relay = REJECT_AT / len(self.facts["stage_shares"]), self.relay
        units = [unit for unit in relay.units.values() if unit.build == relay.build]
        warm = sum(relay.warmth(unit) >= 1 for unit in units) or 1  # few may be slow machines
        margin = SLOWER * (1 + UNEVEN / sqrt(warm)) * relay.crowd * (1 + WORKED * relay.beside)
        held = (baseline, before)[: 1 + relay.beside]
        return all(slower(canary, each, EDGES, LEAST, margin, level) for each in held)

    def due(self) -> int:
        relay, shares = self.relay, self.facts["stage_shares"]  # the horizon: after the newest listed start
        starts = [unit.started for unit in relay.units.values() if unit.build == relay.build]
        fleet = len(relay.units) - relay.beside * len(starts)  # earlier machines that stay are the places
        places = shares[min(relay.stage, len(shares) - 1)] * fleet
        stale = len(starts) < max(1, LISTED * places)  # what other units show is no evidence for these
        newest = min(max([relay.since, *starts]), relay.since + LAUNCH) + SECOND * (len(starts) < int(places))
        quick = min(1.0, self.facts["bake"] / SECOND)  # where the platform's times are short, so is this
        return int(HORIZON * quick) + (relay.since + 2 * LAUNCH if stale else newest)

    def consider(self) -> None:
        self.beat, sits = self.beat + 1, self.sitting()
        if self.relay.workloads and self.relay.build >= 0 and self.relay.phase in (ON_TRIAL, RELEASED):
            if sits:
                self.judge()
            if sits or self.place < self.voters:
                self.vote()

    def judge(self) -> None:
        relay, pooled = self.relay, self.pool()
        recent, brief, minute = self.windows.take(self.beat, pooled)
        seen = [unit.error_rate for unit in relay.units.values() if unit.build == relay.build]
        wide, broad = sum(each > 0.03 for each in seen) >= WIDE, BROAD * sum(each > 0.002 for each in seen)
        known = sum(row[0] + row[1] for row in pooled[1]) >= LEAST // 2  # else nothing to be held against
        before, thin = self.verdict, sum(row[0] + row[1] for row in pooled[0]) < LEAST
        heard = 1 + 2 * sum(relay.now - at < 2 * JUDGE_TIMEOUT for at in self.heard.values())
        deaf = self.facts["may_tell"] and heard < self.facts["relays"]  # then what is thin was lost
        # Departure: fewer failures, beyond chance and on a quarter of its units: a build that turns bad late
        random = sqrt(BEYOND**2 + 2 * log(max(1.0, (relay.now - self.begun) / STEADY)))
        error_rate = (
            any(self.fails(each, pooled[1]) for each in (pooled[0], recent[0], brief[0])[: 2 + wide])
            or broad > max(len(seen), 8)
            and max(surplus(pooled, each) for each in (brief, minute)) > random
        )
        rest = self.contradicted(0) or self.contradicted(1)
        # that relay's word counts no more, nor what came of it; who told of a million served hides nothing
        error_rate = self.fails(*(rest or self.others(self.told_by(0, 0, 1)))[:2]) or error_rate and not rest
        if known and error_rate:
            self.verdict = BACK
        elif not self.verdict and relay.phase == ON_TRIAL and relay.now >= self.due():
            known = not thin or (relay.now >= self.due() + PATIENCE and not deaf)
            self.verdict = BACK if self.worse(*pooled) else ON * known
        if self.verdict != before:
            if self.voters > JUDGES:  # at once: until the next beat a build waits for its voters
                relay.host.send_note(-1, notes.verdict_note(relay.build, relay.stage, self.verdict))
            relay.host.log(
                f"verdict {self.verdict} on build {relay.build} stage {relay.stage}:"
                + "".join(f" {row[0]}-{row[1]}@{median(row[2:], EDGES):.2f}" for rows in pooled for row in rows)
            )

    def vote(self) -> None:
        relay, now, ballot = self.relay, self.relay.now, (self.relay.build, self.relay.stage, self.verdict)
        may_still_send = self.cast == ballot and now - self.cast_at < self.facts["vote_life"] // 2
        useless = self.verdict == ON and (relay.phase != ON_TRIAL or self.facts["control"] == "timer")
        if self.verdict and not may_still_send and not useless and now >= self.busy_until:
            self.busy_until, self.voted = now + self.facts["vote_wait"] + SECOND // 10, ballot
            relay.host.vote(*ballot)

    def answered(self, answer: str) -> None:
        self.busy_until = self.relay.now
        if answer == "ok":
            self.cast, self.cast_at = self.voted, self.relay.now
        elif answer != "timeout":  # moot, full or an error: it does not count; soon again
            self.busy_until += int((0.2 + 0.3 * self.relay.random.share()) * SECOND)


class Relay:
    """One instance: what it knows, and the door through which events come in."""

    WAKE_BEAT, WAKE_LATE, WAKE_ASKED = 0, 1 << 32, 1 << 40

    def __init__(self, host: Host, facts: dict[str, Any], seed: int, now: int) -> None:
        self.host, self.now, self.born, self.since = host, now, now, now
        self.facts = DEFAULTS | {name: fact for name, fact in facts.items() if fact != []}
        self.random, self.index = RandomGenerator(seed), self.facts["index"]
        self.workloads = [
            Workload(at, CELLS_PER_WORKLOAD, DEFAULTS | each) for at, each in enumerate(self.facts["workloads"])
        ]
        self.units: dict[int, Unit] = {}
        self.leaving: set[int] = set()  # those that drain: their successors may share their machines
        self.rows: tuple[list[Unit], ...] = ([], [])  # of earlier builds, and on trial
        self.known: dict[int, Invocation] = {}  # taken, and not over or with shots still out
        self.build, self.stage, self.phase, self.stated_cap = -1, 0, RELEASED, 1.0
        self.lowered, self.higher_cap = 0, 0.0  # when a cap was lowered, and from what
        self.usual_work, self.patience, self.cold_share = 0.0, SECOND, [(0.0, 0.0)] * 2  # the last by row
        self.room, self.warm_room, self.crowd = 0.01, 0.0, 1.0  # weights: all, warm; units over machines
        self.beside, self.alone = self.facts["layout"] == "beside", False  # earlier ones stay; none left
        self.choice, self.admission, self.gate = UnitChoice(self), Admission(self), Gate(self)
        self.intake, self.trial = Intake(self), Trial(self)
        self.judge, self.load_tracking = Judge(self), LoadTracking(self)
        self.extra_stages: list[Any] = []  # stages of other choices, before the choice of unit
        self.tier = lambda unit: 0  # how far a unit is, where a seat knows
        self.on_vote_answer = self.judge.answered
        link(self.intake, self.admission, self.trial, self.choice, self.gate)
        host.wake(now + int((1 + self.random.share()) * SECOND / 4), self.WAKE_BEAT)

    def seat(self, stage: Any) -> None:
        """A stage between the choice of build and that of the unit; it is told of the list and of time."""
        self.extra_stages.append(stage)
        self.load_tracking.on = False  # who keeps to zones chooses alone
        link(self.trial, *self.extra_stages, self.choice)

    def warmth(self, unit: Unit) -> float:
        """The part of its capacity that a unit has at the least."""
        age = max(0, self.now - unit.started)
        if not unit.started or age >= self.facts["warm_up"]:
            return 1.0
        return self.facts["cold_from"] + (1 - self.facts["cold_from"]) * age / self.facts["warm_up"]

    def arrange(self) -> None:
        """The units of earlier builds and those on trial, in this relay's own order; not for every shot."""
        ordered = sorted(self.units.values(), key=lambda unit: unit.order)
        self.room = sum(unit.weight for unit in ordered) or 0.01
        self.rows = in_rows(ordered, self.on_trial)
        self.alone = self.beside and all(unit.build >= self.build for unit in ordered)
        self.trial.weigh()
        for seat in self.extra_stages:
            seat.arrange()

    def on_trial(self, build: int) -> bool:
        return build > self.build >= 0 or (build == self.build and self.phase != RELEASED)

    def cap(self, build: int) -> float:
        grace = self.now < self.lowered + self.facts["drain_grace"] and not self.rows[0]
        return self.facts["caps"][0] if build != self.build else max(self.stated_cap, grace * self.higher_cap)

    def on_list(self, kind: str, entries: list[tuple]) -> None:
        kept = self.units if kind == "changes" else {}
        if kind != "changes" or len(self.leaving) > 1000 + 2 * len(self.units):  # never told they went
            self.leaving = set()
        for number, build, state, zone, cell, weight, started in entries:
            unit = self.units.get(number)
            if unit is None or unit.build != build or unit.started < started:
                unit = Unit(number, build, started, self.gate.even, stable_hash(self.index, number))
            unit.weight, unit.open, unit.zone, unit.cell = max(weight, 0.01), state == "open", zone, cell
            kept[number] = unit
            (self.leaving.add if state == "draining" else self.leaving.discard)(number)
        self.units = {number: unit for number, unit in kept.items() if unit.open}
        self.arrange()

    def on_invocation(
        self, number: int, workload: int, customer: int, key: str | None, give_up: int, work: int, repeat: bool
    ) -> None:
        self.usual_work += 0.01 * (work - self.usual_work) if self.usual_work else work
        size = work / self.usual_work if work else 1.0
        invocation = Invocation(number, self.workloads[workload], customer, key, give_up, size, repeat)
        invocation.luck = self.random.share()
        self.known[number] = invocation
        self.gate.taken[workload].add(self.now)
        for build, tries in self.gate.tried.items():
            tries[workload].add(self.now, -self.cap(build))
        self.intake.forward(invocation)

    def on_outcome(
        self, number: int, place: int, outcome: str, is_over: bool, latency: int, load: dict[str, float] | None
    ) -> None:
        invocation = self.known.get(number)
        if invocation is None:
            return
        shot = invocation.shots[place]
        if load:
            unit = shot.unit
            unit.util, unit.queue, unit.load_at = load.get("util", 0.0), load.get("queue", 0.0), self.now
        invocation.is_over |= is_over and outcome != "served"
        self.gate.backward(shot, outcome, latency)

    def on_started(self, number: int, place: int) -> None:
        if number in self.known:
            self.known[number].is_over = True  # an answer's stream has begun: nothing more may be sent

    def may_still_send(self, number: int, place: int) -> bool:
        """Whether a shot may go out once its connection is up: guards against a list or cap changed since."""
        unit = self.known[number].shots[place].unit
        return self.gate.listed(unit) and (not self.on_trial(unit.build) or self.cap(unit.build) > 0)

    def on_abandoned(self, number: int) -> None:
        invocation = self.known.get(number)
        if invocation and not invocation.is_over:
            invocation.is_over = True
            if invocation.open_shots() and self.facts["may_cancel"]:
                self.host.cancel(number, len(invocation.shots) - 1)  # nobody waits for it any more

    def on_wake(self, token: int) -> None:
        if token == self.WAKE_BEAT:
            due, after = self.judge.due(), self.now + SECOND // 2  # no wait is lost at the horizon
            self.host.wake(due if self.now < due < after else after, self.WAKE_BEAT)
            self.known = {number: each for number, each in self.known.items() if not each.is_over or each.open_shots()}
            self.patience = max([self.admission.patience(each) for each in self.workloads], default=SECOND)
            busy = (unit for unit in self.units.values() if unit.open_shots)
            self.admission.stuck = sum(unit.open_shots for unit in busy if not self.choice.fit(unit))
            for unit in self.units.values():  # what is not tried again is slowly forgiven
                if unit.error_rate or unit.pace != 1:
                    unit.pace, unit.error_rate = unit.pace + 0.03 * (1 - unit.pace), 0.97 * unit.error_rate
            self.trial.lately = [count * (1 if self.rows[1] else 0.92) for count in self.trial.lately]
            self.choice.few = max(self.choice.FEW, 0.99 * self.choice.few)
            self.judge.consider()
            (self.trial.weigh if self.judge.beat % 40 else self.arrange)()  # who went to the end is forgiven
            self.judge.send_note()
            self.load_tracking.loads = forget(self.load_tracking.loads, self.now - self.load_tracking.LIFE)
            for seat in self.extra_stages:
                seat.beat()
        elif token >= self.WAKE_ASKED:
            self.load_tracking.resume(token - self.WAKE_ASKED)
        elif token - self.WAKE_LATE in self.known:
            self.intake.overdue(self.known[token - self.WAKE_LATE])

    def on_note(self, sender: int, data: bytes) -> None:
        (self.load_tracking if notes.is_tracker_note(data) else self.judge).hear(sender, data)

    def on_stage(self, build: int, stage: int, phase: int, cap: float, age: int) -> None:
        if build == self.build and cap < self.stated_cap:
            self.lowered, self.higher_cap = self.now, self.stated_cap
        earlier = self.build, self.stage, self.phase
        self.build, self.stage, self.phase, self.stated_cap = build, stage, phase, cap
        if build != earlier[0]:
            self.trial.new_build(build)
            self.judge.new_build()
            for each in [each for each in self.gate.tried if each < build]:
                del self.gate.tried[each]  # a relay outlives many builds
        if (build, stage, phase) != earlier:
            self.since = self.now - age
            self.judge.draw()
            self.arrange()

    def on_wrong_answer(self, unit: int, workload: int, age: int) -> None:
        build, share = self.units[unit].build if unit in self.units else 0, self.trial.share
        mine = build == self.build  # some reports are false: of both builds they count alike
        if mine or build and self.rows[1] and self.random.share() * (1 - share) < share:
            group = self.trial.groups["canary" if mine else "baseline"]
            group[self.workloads[workload].row.start + 1] += 1
