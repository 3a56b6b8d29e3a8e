"""The decisions of a relay: which unit gets an invocation, and how a new build is judged.

A newcomer's map.  An invocation (a client's request) passes through a chain of stages, each of which may hold it back:

1. `Intake` takes it, repeats it after a shot that failed, and ends it where nothing can be sent.
2. `Admission` limits how many shots of this relay are open at a time.
3. `Trial` chooses the build: the one on trial, or an earlier one.
4. Stages of other choices (tealsail/choices/) may follow, such as the choice of a zone.
5. `UnitChoice` chooses a unit of that build.
6. `Gate` keeps the rules that no shot may break, and hands the shot to the host.

The outcome of a shot comes back through the same stages in the opposite order.  Beside the chain stand `LoadTracking`,
which asks one relay of the fleet for the least loaded unit, and `Judge`, which pools the outcomes that all relays count
and votes on the build on trial.  `Relay` holds the state that they share, and is where events come in.

A host (tealsail/host.py) owns the sockets, the timers and the clock.  It builds a `Relay(host, settings, seed, now)`,
sets `now` before each event, calls the `on_...` method of the event, and carries out what the relay asks of it.  The
settings come under their internal names (tealsail/settings.py).  All times are whole tenths of a millisecond of one
clock.  Comments that begin with 'Departure:' say where the code departs from the published method, and why.
"""

from collections import defaultdict
from itertools import islice
from math import log, sqrt
from typing import Any

from . import peer_messages
from .host import Host
from .parts import (
    ArrivalBalance,
    ChainStage,
    ExposureSum,
    GrowthWindows,
    Invocation,
    RandomGenerator,
    Shot,
    SlidingSum,
    Unit,
    UnitLoad,
    Workload,
    connect,
    drop_stale_senders,
    is_slower,
    is_uncorroborated,
    largest_excess,
    median,
    split_by_trial,
    stable_hash,
    unexplained_failures,
    warm_and_cold_capacity,
)
from .time_limits import MAX_HOLD_UP, SECOND

# What holds for settings that the platform leaves out, of the fleet and of a workload; times in tenths of a ms.
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

# Verdicts of a vote on a build; 0 is none.
ON = 1
BACK = 3

# Phases of a build.
ON_TRIAL = 0
GOING_BACK = 1
RELEASED = 2

WITHHELD = "withheld"  # the outcome of a shot whose last byte was not sent, since its unit's machine had no room
OUTCOMES_NOT_RUN = {"full", "unreachable", "moot", WITHHELD}  # outcomes that prove that a shot did not run
NO_ROOM = 255  # the load tracker's answer where any unit would be late

# Counts of outcomes (shape: tealsail/parts.py).
GROUPS = ("canary", "baseline", "before")  # `before`: of earlier units before the build came
LATENCY_EDGES = (0.06, 0.1, 0.16, 0.26, 0.42, 0.67, 1.07)  # between buckets, as parts of the latency target
SENDER_SUMS = [(0, (1,)), (0, (0, 1)), (1, (1,)), (1, (0, 1))]  # group and columns: failures, outcomes; kept by sender
CELLS_PER_WORKLOAD = 2 + len(LATENCY_EDGES) + 1  # served, failed, and the buckets

WINDOW_BUCKETS = 20  # of each sliding sum

# Sending to a build.
TRIAL_ALLOWANCE_SHARE = 0.9  # of the exposure allowance, while earlier units can take the rest
RETURN_OVERLOAD = 1.3  # times an even share: what the remaining units can bear while a build goes back

# Messages between relays.
RELAYS_PER_TURN = 1000  # larger fleets send their counts in turns, since thousands of relays would drown their judges
MAX_EXTRA_TURNS = 7  # turns beyond the first
RESTART_COUNTS_ABOVE = 1 << 31  # counts sent that are larger begin anew from 0
JUDGES = 3  # of a build
JUDGE_TIMEOUT = 3 * SECOND  # a judge that is silent for so long is taken for dead
VOTER_RESERVE = 1.25  # voters for each vote that is needed

# A verdict of 'back' on failures beyond those that the baseline explains: EARLY_FAILURES and EARLY_FAILURE_SHARE of the
# outcomes, or EARLY_DEVIATIONS standard deviations of the difference, whichever is more.
EARLY_FAILURE_SHARE = 0.015
EARLY_FAILURES = 4.0
EARLY_DEVIATIONS = 3.0
BRIEF_WINDOW = 4  # beats; looked at only where at least BRIEF_WINDOW_UNITS units of the build have failed of late
BRIEF_WINDOW_UNITS = 3

# A verdict of 'back' on fewer failures that are beyond chance and on many units of the build.
BROAD_UNITS_RATIO = 4  # more than one unit in so many, and at least three units, have failed of late
BROAD_DEVIATIONS = 2.8  # standard deviations
# The longer a build is looked at, the more deviations are needed: with two looks a second, chance alone would pass a
# fixed level within minutes.  The level rises from this age of the build on.
BROAD_LEVEL_RISES_AFTER = 5 * SECOND

# A verdict of 'back' on latency.
SLOWER_RATIO = 1.6  # of medians
FEW_UNITS_MARGIN = 0.3  # added for a single warm unit, less for more of them: few may be slow machines
IDLE_BASELINE_MARGIN = 0.25  # added where earlier machines stay and idle
SLOWER_SIGNIFICANCE = 0.01  # level of the rank test, divided by the number of stages
LEAST_OUTCOMES = 20  # on each side, or the evidence is thin

# When a verdict of 'on' is due.
HORIZON = 3 * SECOND + SECOND // 4  # after the newest start of a listed unit of the build
THIN_EVIDENCE_WAIT = SECOND  # more, where evidence is thin

# What counts as evidence, and whose fault a failure is.
LEAST_CORROBORATION = 20  # failures expected at other relays, before a relay that alone reports them is disbelieved
MAX_UNMATCHED_FAR_SHOTS = 20  # far shots of the canary without an earlier unit as far away to compare with
OWN_FAULT_ERROR_RATE = 0.3  # more than that may be a unit's own fault
NORMAL_LATENCY_RATIO = 1.3  # a unit up to so much slower than usual is not avoided
COLD_LATENCY_AFTER = 2 * SECOND  # from a unit's start; before then its latencies are no evidence

LISTED_SHARE = 0.7  # of a stage's units have to be listed; what other units show is no evidence for these
LAUNCH_TIME = 8 * SECOND  # after a stage's begin: by then its units are all listed
REPORTED_SHOT_WEIGHT = 0.3  # of a shot that was assigned a moment ago, once it has been reported


class Intake(ChainStage):
    """Takes invocations and gives each its one final answer, at once where nothing can be sent.

    A budget limits repeats that might run twice, so that failures everywhere raise no storm of repeats.
    """

    RETRIES_PER_INVOCATION = 0.2  # that an invocation adds to the budget
    retry_budget = 1.0  # further shots after one that may have run

    def forward(self, invocation: Invocation) -> None:
        """Sends the invocation, or ends it."""
        self.retry_budget = min(20.0, self.retry_budget + (0 if invocation.shots else self.RETRIES_PER_INVOCATION))
        if not self.next.forward(invocation):
            self.end(invocation)

    def end(self, invocation: Invocation) -> None:
        """Gives an invocation that is not served its final answer: a rejection if trying again is known to do no harm.

        The client is advised to wait half a second, or the longest advice that the settings allow.
        """
        invocation.is_over = True
        if self.relay.gate.may_reject(invocation):
            advice = min(SECOND // 2, self.settings["longest_advice"]) if self.settings["may_advise"] else 0
            self.relay.host.reject(invocation.number, advice)
        else:
            self.relay.host.forfeit(invocation.number)

    def on_overdue(self, invocation: Invocation) -> None:
        """Cancels the latest shot if its unit is silent to others too, that is hung; else looks again later.

        A single silent shot may only be heavy work.
        """
        shot = invocation.shots[-1]
        if not shot.ended and not invocation.is_over:
            if shot.unit.silent_since <= shot.sent_at and shot.unit.open_shots > 1 and self.retry_budget >= 1:
                return self.relay.host.cancel(invocation.number, len(invocation.shots) - 1)
            again = self.relay.now + self.relay.admission.late_after(invocation.workload) // 2
            self.relay.host.wake(again, self.relay.WAKE_OVERDUE + invocation.number)

    def backward(self, shot: Shot, outcome: str, latency: int) -> None:
        """Repeats the invocation or ends it, unless the shot has served it."""
        invocation = shot.invocation
        invocation.is_over |= outcome == "served"
        if not invocation.is_over:
            self.retry_budget = max(-1.0, self.retry_budget - (not shot.never_ran))
            # A withheld shot was given up for another, which is neither in doubt nor one more attempt.
            is_paid = outcome == WITHHELD or self.retry_budget >= 0
            again = is_paid and self.relay.gate.may_repeat(invocation)
            (self.forward if again else self.end)(invocation)


class Admission(ChainStage):
    """Keeps queues at units short, against any overload, by a limit on this relay's open shots.

    The limit falls with late answers and rises with answers in time.  There is less room for a workload of less
    value for the time that it takes, and for a customer beyond its share.
    """

    LATE_PART = 1.0  # of the latency target: an answer that takes longer is late
    NO_QUEUE_PART = 0.5  # of the latency target: an answer that takes less met no queue
    LIMIT_STEP = 0.1  # that an answer in time adds to the limit
    LIMIT_CUT = 0.4  # of what is in use, and at most one shot, that a late answer takes off the limit
    FEW_SHOTS = 3  # a lower limit is a share instead: its part of so many is the share of invocations that is taken
    LEAST_SHARE = 0.15  # of invocations, which is always taken

    def __init__(self, relay: "Relay") -> None:
        super().__init__(relay)
        self.limit = 40.0  # of open shots
        self.peak = 1.0  # of open shots of late; fades by 2% with each invocation
        self.cuts = 0  # since `limit_cut_at`
        self.limit_cut_at = 0  # late shots sent before then cut no more
        self.open_shots = self.stalled_shots = 0  # of this relay; and those of them at units that do not answer
        self.invocations = SlidingSum(4 * SECOND, WINDOW_BUCKETS)  # without clients' repeats
        self.by_customer = [SlidingSum(4 * SECOND, WINDOW_BUCKETS) for _ in self.settings["customers"] or [{}]]
        for workload in relay.workloads:  # latencies, until some are seen
            workload.mean = workload.latency_target / 5
            workload.deviation = workload.latency_target / 10

    def late_after(self, workload: Workload) -> int:
        """The latency after which a shot is late for its workload: mean and three deviations, between a quarter and
        three quarters of its latency target."""
        late = workload.mean + 3 * workload.deviation
        return int(min(max(late, workload.latency_target / 4), 0.75 * workload.latency_target))

    def forward(self, invocation: Invocation) -> bool:
        """Holds a new invocation to the limit; further shots are not held."""
        if not invocation.shots:
            self.invocations.add(self.relay.now, not invocation.repeat)
            self.by_customer[invocation.customer].add(self.relay.now)
            share = self.limit_share(invocation)
            open_shots = self.open_shots - self.stalled_shots + 1
            draw = self.relay.random.share()
            self.peak = max(open_shots, 0.98 * self.peak)
            # Under FEW_SHOTS the limit is kept by chance: its part of FEW_SHOTS is the share of what is taken.
            if open_shots > share * max(self.FEW_SHOTS, self.limit) or draw > share * self.limit / self.FEW_SHOTS:
                return False
        return self.next.forward(invocation)

    def limit_share(self, invocation: Invocation) -> float:
        """The part of the limit that is open to an invocation, by its value and its customer's share of the work."""
        best, now = max(workload.value / workload.mean for workload in self.relay.workloads), self.relay.now
        part = 1.0 if invocation.workload.value / invocation.workload.mean > 0.7 * best else 0.85
        share = (self.settings["customers"] or [{}])[invocation.customer].get("share", 2)
        fair = max(10.0, 1.3 * share * self.invocations.total(now))
        return part / min(2.0, max(1.0, self.by_customer[invocation.customer].total(now) / fair))

    def backward(self, shot: Shot, outcome: str, latency: int) -> None:
        """Moves the limit, and the mean and deviation of the workload's latencies."""
        workload, latency_for_size = shot.invocation.workload, latency / max(1.0, shot.invocation.size)
        late = latency_for_size > self.LATE_PART * workload.latency_target and shot.unit.silent_since >= shot.sent_at
        open_shots = self.open_shots - self.stalled_shots + 1
        if late and shot.sent_at >= self.limit_cut_at:
            # A late answer cuts what is in use.  Once the cuts amount to about a third, time is given for them to show.
            used, self.cuts = min(self.limit, 2 * max(open_shots, self.peak)), self.cuts + 1
            self.limit = max(self.FEW_SHOTS * self.LEAST_SHARE, used - min(1.0, self.LIMIT_CUT * used))
            if self.cuts > self.limit / 2:
                self.cuts, self.limit_cut_at = 0, self.relay.now
        elif outcome == "served" and not late and (open_shots > 0.5 * self.limit or self.limit < self.FEW_SHOTS):
            easy = max(0.0, 1 - latency_for_size / (self.NO_QUEUE_PART * workload.latency_target))
            self.limit += self.LIMIT_STEP if self.limit > self.FEW_SHOTS else self.FEW_SHOTS * self.LIMIT_STEP * easy
        if outcome in ("served", "timeout", "cancelled"):
            workload.deviation += 0.05 * (abs(latency_for_size - workload.mean) - workload.deviation)
            workload.mean += 0.05 * (latency_for_size - workload.mean)
        super().backward(shot, outcome, latency)


class Trial(ChainStage):
    """Chooses the build.  The one on trial gets its units' share of the work, and an equal random slice of the rest is
    the baseline that it is compared with."""

    def __init__(self, relay: "Relay") -> None:
        super().__init__(relay)
        self.recent_counts = [0.0] * CELLS_PER_WORKLOAD * len(relay.workloads)  # of earlier builds' warm units
        self.new_build(-1)

    def new_build(self, build: int) -> None:
        """Begins to count for another build on trial."""
        self.build = build
        # Tier -> by how many shots the canary group is ahead of the baseline.
        self.baseline_deficit = defaultdict(float)
        self.groups = {name: [int(count) * (name == "before") for count in self.recent_counts] for name in GROUPS}

    def update_shares(self) -> None:
        """Works out the share of the build on trial, and the share that cold units may get."""
        # By row: its capacity, and the part of the whole weight that its cold units can bear.
        relay, (old, new), capacities, cold_parts = self.relay, self.relay.rows, [], []
        relay.warm_weight = 0
        for row in (old, new):
            warm, warming = warm_and_cold_capacity(row, relay.now - self.settings["warm_up"], relay.warmth)
            relay.warm_weight += warm
            capacities.append(warm + warming or 0.01)  # it is divided by
            cold_parts.append(warming / relay.total_weight)
        old_capacity, new_capacity = capacities
        relay.units_per_machine = 1 + min(1.0, len(relay.draining) / max(1, len(relay.units)))
        new_slowness, old_slowness = (sum(unit.latency_ratio for unit in row) / max(1, len(row)) for row in (new, old))
        # Where earlier machines stay, new ones take over the work of their places, as they will have to after the
        # release: what fails under load alone would pass at half of that use.  Cold ones get an even share of the work
        # of all units.
        if relay.beside:
            new_capacity -= cold_parts[1] * len(new) / max(1, len(new) + len(old)) * relay.total_weight
        self.share = min(
            1.0,
            new_capacity
            / (new_capacity * (not relay.beside) + old_capacity * max(1.0, new_slowness / max(0.01, old_slowness))),
        )
        if relay.judge.verdict == BACK or relay.phase == GOING_BACK:  # the other units get what they can bear
            self.share = max(0.0, 1 - RETURN_OVERLOAD * (1 - self.share)) * (not relay.beside)
        relay.cold_share = [
            (each / 2, each / max(0.01, drawn))  # where the other row was drawn, and where this one was
            for each, drawn in zip(cold_parts, (1 - self.share, self.share))
        ]

    def forward(self, invocation: Invocation) -> bool:
        """Draws the build for a new invocation, and passes it on with the units of that build, then of the other."""
        relay, (old, new) = self.relay, self.relay.rows
        if not relay.warm_weight and not invocation.shots:
            relay.gate.warm_work += invocation.size / relay.total_weight
        if invocation.asked_shot <= len(invocation.shots):  # else it was drawn before the load tracker was asked
            invocation.drawn_for_trial = (
                None if invocation.shots else bool(new) and (not old or relay.random.share() < self.share)
            )
        wanted = (
            invocation.drawn_for_trial
            and new
            and old
            and (relay.gate.allowance(invocation, new[0].build, TRIAL_ALLOWANCE_SHARE) >= 1)
        )
        # Departure: what earlier units cannot take, because none is left or they are cold and full, may use the whole
        # allowance.
        return any(self.next.forward(invocation, row) for row in ((new, old) if wanted else (old, new)))

    def group_of(self, unit: Unit) -> list[int] | None:
        """The group, as its counts, that a shot at the unit goes into, or None if it is no evidence.

        A shot at an earlier unit joins the baseline if the canary is ahead by more than a random threshold between 0
        and 2, of mean 1.

        The groups are matched in distance too, else a far zone would read as a slow build.
        """
        name, tier = "canary" if unit.build == self.build else "baseline", self.relay.tier(unit)
        if (
            unit.build > self.build
            or name == "baseline"
            and self.baseline_deficit[tier] <= 2 * self.relay.random.share()
        ):
            return None
        if name == "canary" and tier and self.baseline_deficit[tier] >= MAX_UNMATCHED_FAR_SHOTS:
            return None  # no earlier unit as far away to hold it against
        self.baseline_deficit[tier] = min(50.0, self.baseline_deficit[tier] + (1 if name == "canary" else -1))
        return self.groups[name]

    def backward(self, shot: Shot, outcome: str, latency: int) -> None:
        """Counts the outcome in the shot's group."""
        workload, unit = shot.invocation.workload, shot.unit
        times = latency * shot.warmth / workload.latency_target
        bucket = workload.cells.start + 2 + sum(times > edge for edge in LATENCY_EDGES)
        if shot.group and not shot.invocation.repeat:  # one client's repeats are no evidence
            shot.group[workload.cells.start] += outcome == "served"
            failed = outcome == "error" and not (unit.build == self.build and self.relay.choice.is_outlier(unit))
            # Departure: with no earlier machine left that would fail alike, a failure counts once another unit has
            # served the invocation.
            shot.group[workload.cells.start + 1] += (
                shot.invocation.has_unconfirmed_failure and outcome == "served" if self.relay.is_alone else failed
            )
            shot.invocation.has_unconfirmed_failure |= self.relay.is_alone and failed
            early = not self.relay.stage and self.relay.now - unit.started > COLD_LATENCY_AFTER  # no warm canary yet
            shot.group[bucket] += outcome == "served" and (shot.warmth >= 1 or early)
        if outcome == "served" and shot.warmth >= 1 and not self.relay.on_trial(unit.build):
            self.recent_counts[bucket] += 1
        super().backward(shot, outcome, latency)


class UnitChoice(ChainStage):
    """Chooses the unit: the cheaper of two random ones among few units of the build.

    Each relay uses the first few units of an order drawn by its own number, and one more whenever those are all busy.
    With little traffic it thus opens few connections, and knows its units.
    """

    BASE_EJECTION_TIME = SECOND // 2
    MAX_EJECTION_TIME = 4 * SECOND
    FEW_UNITS = 4
    NEW_CONNECTION_COST = 8  # in open shots, where connections fail
    used_units = FEW_UNITS  # of a row; one more each time they are all busy
    unreachable_rate = 0.0  # moving average of shots that found no connection (connections are dear, or few)

    def forward(self, invocation: Invocation, row: list[Unit]) -> bool:
        """Sends the invocation to a unit of the row, or asks the load tracker which of a few to take."""
        used = [shot.unit for shot in invocation.shots]
        pick = self.relay.random.pick
        load_tracking = self.relay.load_tracking
        few = max(int(self.used_units), load_tracking.CANDIDATES * load_tracking.is_enabled)
        side = bool(row) and self.relay.on_trial(row[0].build)
        if self.relay.gate.is_drawn_for_cold(invocation, side):
            cold = [unit for unit in row if self.relay.warmth(unit) < 1]
            if cold:  # else they have warmed up since, or are in other zones
                row, few = cold + row, min(few, len(cold))
        available = (unit for unit in row if self.is_available(unit) and unit not in used)
        near = list(islice(available, few))
        if near and all(unit.open_shots for unit in near):
            self.used_units += 1
            near += islice(available, 1)
        recommended, invocation.recommended = invocation.recommended, None
        if recommended in near and self.next.forward(invocation, recommended) or load_tracking.ask(invocation, near):
            return True
        while near:
            one = pick(near)
            unit = min(one, pick([unit for unit in near if unit is not one] or near), key=self.cost)
            if self.next.forward(invocation, unit):
                return True
            near.remove(unit)
            near += islice(available, 1)  # the gate refused it, as a cold one, say: the next of the row
        return any(self.next.forward(invocation, unit) for unit in row if unit in used or not self.is_available(unit))

    def cost(self, unit: Unit) -> float:
        """Expected wait at the unit in relative terms: open shots over capacity, times what is known of its speed."""
        relay = self.relay
        new = self.NEW_CONNECTION_COST * self.unreachable_rate * (unit.last_answer_at < self.relay.now - 10 * SECOND)
        cost = (unit.open_shots + new + relay.random.share()) * unit.latency_ratio / (unit.weight * relay.warmth(unit))
        if relay.now - unit.load_reported_at < 2 * SECOND:
            cost *= 1 + 2 * unit.util * unit.util + unit.queue / 4
        return cost

    def is_available(self, unit: Unit) -> bool:
        """Not ejected, with one shot at a time after an ejection, and not silent for longer than answers take."""
        return self.relay.now >= unit.ejected_until and not (
            unit.open_shots and (unit.ejection_time or self.relay.now - unit.silent_since > self.relay.silence_limit)
        )

    def is_outlier(self, unit: Unit) -> bool:
        """Whether a unit's errors are its own fault and not its build's.

        The build's other units do much better, and earlier units fail too or, with none left, under a third of the
        build's units fail.  The few units that fail in a build on trial alone count against the build.
        """
        seen = [
            other
            for other in self.relay.units.values()
            if other is not unit and other.last_answer_at > self.relay.now - 10 * SECOND
        ]
        others, elsewhere = (
            [other.error_rate for other in seen if (other.build == unit.build) == here] for here in (True, False)
        )
        is_exception = max(elsewhere) > 0.1 if elsewhere else 3 * sum(each > 0.05 for each in others) < len(others)
        return (
            len(others) > 1
            and is_exception
            and unit.error_rate > max(OWN_FAULT_ERROR_RATE, 3 * sum(others) / len(others))
        )

    def backward(self, shot: Shot, outcome: str, latency: int) -> None:
        """Updates what is known of the unit, and ejects it for a while if it is dead, drained, silent or an outlier."""
        unit, now, workload = shot.unit, self.relay.now, shot.invocation.workload
        unit.open_shots -= 1
        self.relay.load_tracking.report_shot(unit, outcome, latency / max(1.0, shot.invocation.size) / workload.mean)
        self.relay.admission.open_shots -= 1
        self.unreachable_rate += 0.1 * ((outcome == "unreachable") - self.unreachable_rate)
        if outcome in ("served", "error"):
            unit.silent_since, unit.last_answer_at, unit.connection_failures = now, now, 0
            unit.error_rate += 0.15 * ((outcome == "error") - unit.error_rate)
        late = outcome in ("timeout", "cancelled") and latency >= self.relay.admission.late_after(workload)
        if outcome == "served" or late:
            times = latency / max(1.0, shot.invocation.size) / workload.mean
            unit.latency_ratio += 0.1 * (min(8.0, 8.0 if late else times) - unit.latency_ratio)
        unit.connection_failures += (outcome in ("reset", "unreachable")) * (1 + (latency > SECOND // 10))
        if outcome == "served":
            unit.ejection_time = 0
        elif (
            outcome in ("full", WITHHELD)
            or unit.connection_failures > 1
            or (late and unit.silent_since <= shot.sent_at)
            or (outcome == "error" and self.is_outlier(unit))
        ):
            unit.ejection_time = min(self.MAX_EJECTION_TIME, 2 * unit.ejection_time or self.BASE_EJECTION_TIME)
            unit.ejected_until = now + unit.ejection_time
            for row in self.relay.rows:  # it goes to the end of its row
                row.sort(key=lambda other: other is unit)
        super().backward(shot, outcome, latency)


class LoadTracking:
    """Makes up for load reports of units that are missing, late or false.

    A relay of the fleet, the load tracker, receives a report of each shot of all relays, and is asked which of a few
    units has the fewest shots.  It is drawn by hash, so that all relays agree on it.  One that does not answer is left
    out for a while, and the next one takes its place.  Every relay has this object both to ask the tracker and to be
    it.
    """

    TRACKERS = 3  # relays drawn, of which the first that answers is the tracker
    CANDIDATES = 8  # units of one question
    BUSY_PART = 0.7  # of the latency target: a unit whose shots take longer to end is full
    ORDER_COST = 0.06  # of a shot, for each place behind the first in the asker's order
    ANSWER_TIMEOUT = SECOND // 10
    MUTE_TIME = 2 * SECOND  # for which a tracker that does not answer is left out
    REPORT_LIFETIME = 5 * SECOND

    def __init__(self, relay: "Relay") -> None:
        self.relay, settings = relay, relay.settings
        self.is_enabled = settings["may_tell"] and settings["relays"] > 1
        self.order = sorted(range(settings["relays"]), key=lambda at: stable_hash(0, at))[: self.TRACKERS]
        self.muted_until = dict.fromkeys(self.order, 0)
        self.pending: dict[int, Invocation] = {}  # held until the tracker's answer or the end of the wait
        self.unanswered = 0  # questions in a row
        self.reports_sent = 0
        self.first_report_at = 0  # as the tracker: when reports began, or began again after a span without completions
        self.completions = SlidingSum(2 * SECOND, WINDOW_BUCKETS)  # as the tracker: shots that ended
        self.loads: defaultdict[int, UnitLoad] = defaultdict(UnitLoad)  # as the tracker: what all relays have at a unit

    def tracker_index(self) -> int:
        """The relay that is the load tracker now, as far as this relay knows; -1 for none."""
        return next((at for at in self.order if self.is_enabled and self.muted_until[at] <= self.relay.now), -1)

    def ask(self, invocation: Invocation, near: list[Unit]) -> bool:
        """Asks the tracker which unit to take, once for each shot; `resume` goes on with the invocation.

        Returns whether the invocation waits for an answer.
        """
        tracker_index, relay = self.tracker_index(), self.relay
        if tracker_index < 0 or len(near) < 2 or invocation.asked_shot > len(invocation.shots):
            return False
        near.sort(key=lambda unit: unit.zone != relay.settings["zone"])  # its own zone first, all else being equal
        invocation.asked_shot, invocation.candidates = len(invocation.shots) + 1, near
        self.pending[invocation.number] = invocation
        relay.host.wake(
            min(relay.now + self.ANSWER_TIMEOUT, invocation.deadline), relay.WAKE_TRACKER_TIMEOUT + invocation.number
        )
        self.send(tracker_index, peer_messages.question_message(invocation.number, [unit.number for unit in near]))
        return True

    def send(self, tracker_index: int, data: bytes) -> None:
        """Sends a message to a relay, or handles it here if it is this one."""
        (self.receive if tracker_index == self.relay.index else self.relay.host.send_message)(tracker_index, data)

    def resume(self, number: int, index: int = -1) -> None:
        """Goes on with an invocation that waits: `index` is the tracker's choice among the candidates, -1 for no
        answer in time, or NO_ROOM."""
        if (invocation := self.pending.pop(number, None)) is None:
            return
        self.unanswered = 0 if index >= 0 else self.unanswered + 1
        if self.unanswered > 1:
            self.muted_until[self.tracker_index()], self.unanswered = self.relay.now + self.MUTE_TIME, 0
        if not invocation.is_over:
            invocation.recommended = invocation.candidates[index] if 0 <= index < len(invocation.candidates) else None
            if index == NO_ROOM or not self.relay.trial.forward(invocation):
                self.relay.intake.end(invocation)

    def report_shot(self, unit: Unit, outcome: str = "", times: float = 0.0) -> None:
        """Reports how many shots this relay has at the unit now, and what came of the last one.

        `times` is its latency over the usual one.
        """
        if (tracker_index := self.tracker_index()) >= 0:
            self.reports_sent, came = (
                self.reports_sent + 1,
                255 if outcome == "error" else min(254, int(16 * times)),
            )
            self.send(tracker_index, peer_messages.load_message(self.reports_sent, unit.number, unit.open_shots, came))

    def least_loaded(self, sender: int, keys: tuple[int, ...]) -> int:
        """As the tracker: the index of the unit with the lowest cost among `keys`, or NO_ROOM where all are full."""
        loads, now, since = [self.loads[key] for key in keys], self.relay.now, self.relay.now - self.ANSWER_TIMEOUT
        usual = sorted(load.error_rate for load in loads)[len(loads) // 2]
        costs = [
            (load.expected_shots(since, REPORTED_SHOT_WEIGHT) + 0.5 + self.ORDER_COST * index)
            * max(1.0, load.latency_ratio / NORMAL_LATENCY_RATIO)
            * (1 + 20 * max(0.0, load.error_rate - OWN_FAULT_ERROR_RATE - 2 * usual))
            for index, load in enumerate(loads)
        ]
        index = costs.index(min(costs))
        latency_target = min([each.latency_target for each in self.relay.workloads], default=SECOND)
        pace = max(LEAST_OUTCOMES, self.completions.total(now)) / (len(self.loads) * self.completions.span)
        if (
            loads[index].open_shots > self.BUSY_PART * latency_target * pace
            and now - self.first_report_at > 2 * self.completions.span
        ):
            return NO_ROOM  # but not from one that has just begun to receive reports, and knows no pace
        loads[index].assigned.append((sender, now))
        return index

    def receive(self, sender: int, data: bytes) -> None:
        """Handles a message of another relay: a report or a question as the tracker, an answer as the one who asked."""
        figures = peer_messages.read_tracker_message(data)
        if len(data) == 6:
            self.first_report_at = self.first_report_at if self.completions.total(self.relay.now) else self.relay.now
            self.loads[figures[1]].update(sender, figures[0], *figures[2:], self.relay.now)
            self.completions.add(self.relay.now, figures[3] > 0)
        elif len(data) == 5 and sender in self.order:
            self.resume(*figures)
        elif len(data) > 5 and figures:
            self.send(sender, peer_messages.answer_message(figures[0], self.least_loaded(sender, figures[2:])))


class Gate(ChainStage):
    """Every shot passes here.  Each of the five rules that no shot may break is kept in one method of this class."""

    COLD_LOAD_FACTOR = 1.5  # times an even share of the work, for what a cold unit can do now
    PROMPT_TIME = SECOND // 20  # after an invocation was taken: a shot written by then falls into the same windows
    # Parts of the time in which a shot can be sent, spent at a unit that takes in no more of it: before one that is
    # available is tried, and before one that is not.
    ROOM_WAIT_PART = 0.25
    LAST_ROOM_WAIT_PART = 0.5
    MIN_ROOM_WAIT = SECOND // 100  # even if that part is less
    MAX_WITHHELD_SHOTS = 6  # of an invocation; one more waits at its unit for as long as it may
    MOVE_CANDIDATES = 64  # units of the row that are looked at for another one

    def __init__(self, relay: "Relay") -> None:
        super().__init__(relay)
        self.all_workloads = tuple(range(len(relay.workloads)))
        self.invocations = [SlidingSum(self.settings["exposure_span"], WINDOW_BUCKETS) for _ in relay.workloads]
        self.exposures = defaultdict(  # by build, for each workload
            lambda: [ExposureSum(ring.span, WINDOW_BUCKETS) for ring in self.invocations]
        )
        span = self.settings["exposure_span"]
        self.arrivals = defaultdict(  # by build, and by what counts together
            lambda: defaultdict(lambda: ArrivalBalance(span, WINDOW_BUCKETS, self.PROMPT_TIME))
        )
        self.warm_work = 0.0  # work sent to warm units so far, for a unit of weight 1
        self.answer_rate = 1.0  # moving average of the shots that ended without an error

    def forward(self, invocation: Invocation, unit: Unit) -> bool:
        """Sends a shot to the unit if all rules allow it."""
        relay, now = self.relay, self.relay.now
        if not (
            self.may_send(invocation)
            and self.may_repeat(invocation, unit)
            and self.is_listed(unit)
            and self.is_warm_enough(invocation, unit)
            and self.is_within_cap(invocation, unit)
        ):
            return False
        shot = Shot(invocation, unit, now, relay.trial.group_of(unit), relay.warmth(unit))
        invocation.shots.append(shot)
        unit.silent_since = unit.silent_since if unit.open_shots else now
        unit.open_shots += 1
        relay.admission.open_shots += 1
        relay.load_tracking.report_shot(unit)
        if shot.warmth >= 1:
            self.warm_work += invocation.size / max(relay.warm_weight, unit.weight)
        unit.credit -= invocation.size
        self.exposures[unit.build][invocation.workload.index].add(now)
        wait, late_after = invocation.deadline - now, self.relay.admission.late_after(invocation.workload)
        if (
            invocation.workload.effect == "harmless"
            and wait > 2 * late_after
            and len(invocation.shots) < self.settings["most_shots"]
        ):
            if self.settings["may_cancel"]:
                relay.host.wake(now + late_after, relay.WAKE_OVERDUE + invocation.number)
            else:
                wait = 2 * late_after
        relay.host.send(invocation.number, unit.number, wait)
        return True

    def may_wait(self, shot: Shot) -> bool:
        """Whether a shot that waits for its connection, or for room at its unit, may still be sent.

        What may have changed since it was chosen is looked at again, but for room within the exposure, which may grow.
        """
        build = shot.unit.build
        return self.is_choice_valid(shot) and (not self.relay.on_trial(build) or self.relay.cap(build) > 0)

    def why_stop(self, shot: Shot, waited: int) -> str | None:
        """The outcome with which a shot ends that has waited so long for room at its unit; None: it may wait on."""
        if not self.may_wait(shot):
            return "moot"
        could_wait = self.send_until(shot) - self.relay.now + waited
        if waited < max(self.MIN_ROOM_WAIT, self.ROOM_WAIT_PART * could_wait):
            return None
        needs_available = waited < self.LAST_ROOM_WAIT_PART * could_wait
        return WITHHELD if self.has_alternative(shot, needs_available) else None

    def send_until(self, shot: Shot) -> int:
        """When a shot may be sent no longer, as far as that is known in advance."""
        invocation, first = shot.invocation, shot.invocation.may_have_run()
        if invocation.workload.effect == "stamped" and first is not shot:
            return min(invocation.deadline, self.remembered_until(first))
        return invocation.deadline

    def has_alternative(self, shot: Shot, needs_available: bool) -> bool:
        """Whether there is a unit that no rule can keep from getting a shot in place of this one: not one on trial."""
        invocation, relay = shot.invocation, self.relay
        used = [each.unit for each in invocation.shots]
        if sum(each.is_withheld for each in invocation.shots) >= self.MAX_WITHHELD_SHOTS:
            return False
        return any(
            unit not in used
            and (not needs_available or relay.choice.is_available(unit))
            and relay.warmth(unit) >= 1
            and self.is_in_group(invocation, unit)
            for unit in islice(relay.rows[0], self.MOVE_CANDIDATES)
        )

    def may_still_send(self, shot: Shot) -> bool:
        """Whether the last byte of a shot may be sent now; if so, the shot counts as written."""
        return self.is_choice_valid(shot) and (not self.relay.on_trial(shot.unit.build) or self.may_expose(shot))

    def is_choice_valid(self, shot: Shot) -> bool:
        """Whether somebody waits for the answer, units remember an earlier shot, and the unit is still listed."""
        invocation, first = shot.invocation, shot.invocation.may_have_run()
        if invocation.is_over or self.relay.now >= invocation.deadline:
            return False
        if invocation.workload.effect == "stamped" and first is not shot and not self.is_within_memory(first):
            return False
        return self.is_listed(shot.unit)

    def may_expose(self, shot: Shot) -> bool:
        """Rule 5 at the write, since an attempt counts when it arrives; one that is not written counts no more.

        A shot counts anew if the host asks again later, since a part of it did not leave.
        """
        relay, invocation, build = self.relay, shot.invocation, shot.unit.build
        if shot.written_at is not None and relay.now - shot.written_at <= self.PROMPT_TIME:
            return relay.cap(build) > 0
        may_write = relay.cap(build) > 0 and (
            self.is_prompt(invocation)
            or (self.allowance(invocation, build) >= 0 and self.may_arrive(invocation, build))
        )
        if may_write:
            shot.written_at = relay.now
            self.arrivals[build][self.counted(invocation.workload.index)].add_shot(relay.now)
        else:
            self.exposures[build][invocation.workload.index].remove(shot.sent_at)
        return may_write

    def is_prompt(self, invocation: Invocation) -> bool:
        """Whether a shot that is written now falls into the same windows as its invocation."""
        return self.relay.now - invocation.taken_at <= self.PROMPT_TIME

    def may_arrive(self, invocation: Invocation, build: int) -> bool:
        """Whether one more shot keeps to the cap in each window that ends now, also those without its invocation."""
        balance = self.arrivals[build][self.counted(invocation.workload.index)]
        return balance.excess(self.relay.now) + 1 <= max(1, self.settings["free_shots"])

    def may_send(self, invocation: Invocation) -> bool:
        """Rule 1: no invocation is lost, and nothing is sent for one that is over."""
        attempts = sum(not shot.is_withheld for shot in invocation.shots)  # an attempt counts with its last byte
        has_shots_left = attempts < self.settings["most_shots"]
        return has_shots_left and not invocation.is_over and self.relay.now < invocation.deadline

    def may_repeat(self, invocation: Invocation, unit: Unit | None = None) -> bool:
        """Rule 2: no effect happens twice.

        What may have run is sent again, or rejected, only as its workload allows.  Without a unit: whether it may be
        sent again at all.
        """
        workload, first = invocation.workload, invocation.may_have_run()
        if workload.effect == "harmless" or first is None or invocation.open_shots():
            return not invocation.open_shots()  # one shot at a time, also where the settings allow two
        if workload.effect != "stamped" or not self.is_within_memory(first):
            return False
        return unit is None or self.is_in_group(invocation, unit)

    def is_in_group(self, invocation: Invocation, unit: Unit) -> bool:
        """Whether the unit remembers what may have run of the invocation, if anything."""
        group, first = invocation.workload.group, invocation.may_have_run()
        if invocation.workload.effect != "stamped" or group == "all" or first is None:
            return True
        return unit.cell == first.unit.cell if group == "cell" else unit.zone == first.unit.zone

    def remembered_until(self, first: Shot) -> int:
        """Until when units drop a repeat of this shot, if one is sent by then."""
        return first.sent_at + first.invocation.workload.memory - MAX_HOLD_UP

    def is_within_memory(self, first: Shot) -> bool:
        """Whether units still drop a repeat of this shot if one is written now."""
        return self.relay.now < self.remembered_until(first)

    def may_reject(self, invocation: Invocation) -> bool:
        """Whether it does no harm if the client tries again."""
        workload, first = invocation.workload, invocation.may_have_run()
        return (
            workload.effect == "harmless" or first is None or (workload.group == "all" and self.may_repeat(invocation))
        )

    def is_listed(self, unit: Unit) -> bool:
        """Rule 3: drains are kept.  A unit that drains or is gone leaves `relay.units` at once, and gets no shots."""
        return self.relay.units.get(unit.number) is unit

    def is_warm_enough(self, invocation: Invocation, unit: Unit) -> bool:
        """Rule 4: no cold unit is overloaded.

        It gets an even share of the work by the least that it can do, with one draw for an invocation; there is no
        minimum.
        """
        relay, warmth = self.relay, self.relay.warmth(unit)
        if warmth < 1:
            grown = (self.warm_work - unit.credited_work) * self.COLD_LOAD_FACTOR * warmth * unit.weight
            unit.credit, unit.credited_work = min(1.0, unit.credit + grown), self.warm_work
        side, size = relay.on_trial(unit.build), invocation.size
        return warmth >= 1 or (self.is_drawn_for_cold(invocation, side) and unit.credit >= min(1, size) and size <= 3)

    def is_drawn_for_cold(self, invocation: Invocation, side: bool) -> bool:
        """Whether an invocation falls to the cold units of a side (of the build on trial, or not).

        Invocations that fail at once at any unit say nothing of units, so they count less: a cold unit was overloaded
        by its even share of very many of them.
        """
        share = self.relay.cold_share[side][invocation.drawn_for_trial is side]
        return invocation.cold_draw < share * self.answer_rate and not (invocation.repeat and self.answer_rate < 0.9)

    def is_within_cap(self, invocation: Invocation, unit: Unit) -> bool:
        """Rule 5: the exposure to a build on trial stays within its cap.

        In guarded stages the build gets only invocations that may run twice without harm.  A build newer than the
        newest that the platform has named is in stage 0.
        """
        relay = self.relay
        if not relay.on_trial(unit.build):
            return True
        stage = relay.stage if unit.build == relay.build else 0
        is_guarded = stage < self.settings["guarded_stages"] and invocation.workload.effect != "harmless"
        if is_guarded or relay.cap(unit.build) <= 0 or self.allowance(invocation, unit.build) < 1:
            return False
        return self.is_prompt(invocation) or self.may_arrive(invocation, unit.build)

    def counted(self, workload: int) -> tuple[int, ...]:
        """The indexes of the workloads whose invocations and shots count together with this one's."""
        return (workload,) if self.settings["exposure_per"] == "class" else self.all_workloads

    def allowance(self, invocation: Invocation, build: int, part: float = 1.0) -> float:
        """How many shots may still go to the build, of `part` of the whole allowance."""
        now, counted = self.relay.now, self.counted(invocation.workload.index)
        shots = sum(self.exposures[build][each].upper_bound(now) for each in counted)
        invocations = sum(self.invocations[each].total(now) for each in counted)
        return part * (self.settings["free_shots"] + self.relay.cap(build) * invocations) - shots

    def count_invocation(self, workload: int) -> None:
        """Counts an invocation that is taken now, and what it allows of shots at each build on trial."""
        now = self.relay.now
        self.invocations[workload].add(now)
        for build, exposures in self.exposures.items():
            exposures[workload].add(now, -self.relay.cap(build))
        for build, arrivals in self.arrivals.items():
            arrivals[self.counted(workload)].allow(now, self.relay.cap(build))

    def forget_builds_before(self, build: int) -> None:
        """Drops what was counted of earlier builds: a relay outlives many of them."""
        for counts in (self.exposures, self.arrivals):
            for each in [each for each in counts if each < build]:
                del counts[each]

    def backward(self, shot: Shot, outcome: str, latency: int) -> None:
        """Records that the shot has ended, and whether it is proved that it did not run."""
        shot.ended, shot.never_ran = True, outcome in OUTCOMES_NOT_RUN
        shot.is_withheld = outcome == WITHHELD
        self.answer_rate += 0.05 * ((outcome != "error") - self.answer_rate)
        super().backward(shot, outcome, latency)


class Judge:
    """Pools the counts of all relays and votes on the build on trial.

    Three judges are drawn by hash for a build, and stay for all its stages: newly drawn ones would receive the counts
    with failures first.  Departure: where more votes are needed than there are judges, the relays next in the order
    cast the verdict that any judge sends them.

    A beat is half a second.
    """

    def __init__(self, relay: "Relay") -> None:
        self.relay = relay
        self.settings = relay.settings
        self.beat = 0  # how many beats there have been
        self.standing_since = 0
        self.no_vote_before = 0
        self.last_vote = self.standing_vote = (-1, 0, 0)  # the vote last sent, and the one that the platform holds
        votes = ("back_votes",) if self.settings["control"] == "timer" else ("on_votes", "back_votes")
        needed = max(int(self.settings[name]) for name in votes)  # under a timer no vote of 'on' moves a stage
        self.voters = JUDGES if needed <= JUDGES else int(needed * VOTER_RESERVE) + 1
        self.new_build()

    def new_build(self) -> None:
        """Begins anew for another build on trial."""
        size = len(self.relay.trial.recent_counts)
        kinds = [
            [group * size + first + column for first in range(0, size, CELLS_PER_WORKLOAD) for column in columns]
            for group, columns in SENDER_SUMS
        ]
        self.pooled = peer_messages.CountPool(len(GROUPS) * size, kinds)  # what the other relays counted
        self.last_counts_at: dict[int, int] = {}  # relay -> when it last sent counts
        self.windows = GrowthWindows(BRIEF_WINDOW)
        self.build_since = self.relay.now
        self.counting_since = self.relay.started_at  # marks a series of this relay's counts that only grow
        self.count_base = [0] * len(self.pooled.sums)  # what earlier series held
        self.counts_sent = list(self.count_base)
        self.new_stage()

    def new_stage(self) -> None:
        """Takes the verdict back; the order of relays, judges first, depends on the build alone."""
        relay = self.relay
        self.order = sorted(
            range(max(self.settings["relays"], relay.index + 1)), key=lambda at: -stable_hash(relay.build, at)
        )
        self.rank, self.verdict = self.order.index(relay.index), 0

    def is_judging(self) -> bool:
        """Whether this is one of the judges, or the next in the order in place of one that is silent."""
        relay = self.relay
        alive = [
            index
            for index in self.order[: JUDGES + 1]
            if index == relay.index or relay.now - self.last_counts_at.get(index, relay.stage_since) < JUDGE_TIMEOUT
        ]
        return relay.index in alive[:JUDGES] or (self.rank < self.voters and not self.settings["may_tell"])

    def send_counts(self) -> None:
        """Sends this relay's cumulative counts to the judges and to the next relay in the order.

        Each second what has changed is sent, and every fourth time everything.  New failures are sent each half
        second, since a build that turns bad late must go back before the next one is due.  The baseline's failures are
        sent as soon as the canary's: else a judge of many relays would first receive those of relays whose canary
        failed, and send a good build back.
        """
        relay, trial, send = self.relay, self.relay.trial, self.relay.host.send_message
        counts = [count for name in GROUPS for count in trial.groups[name]]  # the canary's first
        counts = [count - base for count, base in zip(counts, self.count_base)]
        matched = 2 * len(trial.recent_counts)  # cells of canary and baseline
        has_new_failures = any(counts[at] > self.counts_sent[at] for at in range(1, matched, CELLS_PER_WORKLOAD))
        turns = 1 + min(MAX_EXTRA_TURNS, self.settings["relays"] // RELAYS_PER_TURN)
        is_my_turn = (self.beat // 2 + relay.index) % turns == 0 or self.rank <= JUDGES
        if trial.build < 0 or not self.settings["may_tell"] or not (is_my_turn and (self.beat % 2 or has_new_failures)):
            return
        if self.verdict and self.voters > JUDGES and self.is_judging():
            # Sent again, in case it was lost.
            send(-1, peer_messages.verdict_message(relay.build, relay.stage, self.verdict))
        sends_all = (self.beat // 2 + relay.index) % 4 == 0
        cells, self.counts_sent = (
            peer_messages.changed_cells(counts, [] if sends_all else self.counts_sent, CELLS_PER_WORKLOAD),
            counts,
        )
        for data in peer_messages.count_messages(trial.build, self.counting_since, cells, len(counts)):
            for index in self.order[: JUDGES + 1] if cells or self.rank <= JUDGES else ():
                if index != relay.index:
                    send(index, data)
        if max(counts, default=0) > RESTART_COUNTS_ABOVE:  # from here on as if this relay had started anew
            self.count_base, self.counting_since = (
                [base + count for base, count in zip(self.count_base, counts)],
                relay.now,
            )
            self.counts_sent = [0] * len(counts)

    def receive(self, sender: int, data: bytes) -> None:
        """Handles a message of another relay: its counts, or a judge's verdict."""
        relay, figures = self.relay, peer_messages.read(data)
        if not figures or figures[0] != relay.build:
            return
        if len(figures) > 3:
            self.last_counts_at[sender] = relay.now
            self.pooled.add(sender, figures[1], figures[4:])
        elif (
            sender in self.order[: JUDGES + 1]
            and figures[2] > self.verdict
            and (figures[1] == relay.stage or figures[2] == BACK)
        ):
            # A judge's verdict.  The voters spread their votes over the time that the platform needs for so many.
            self.verdict, excess_s = figures[2], self.voters / self.settings["votes_per_second"] - 1.5
            self.no_vote_before = relay.now + int(max(0.0, excess_s) * relay.random.share() * SECOND)
            if self.rank < self.voters:
                self.vote()

    def pool(self, sums: list[int] | None = None) -> list[list[list[int]]]:
        """This relay's counts and those of the others (or the given sums), as a pool."""
        own = [self.relay.trial.groups[name] for name in GROUPS]
        return self.pooled.with_own(own, self.relay.workloads, sums)

    def reported_by(self, group: int, *columns: int) -> dict[int, int]:
        """Relay -> what it has counted of a group, in these columns of its workloads' counts; this relay included."""
        own = sum(sum(self.relay.trial.groups[GROUPS[group]][column::CELLS_PER_WORKLOAD]) for column in columns)
        return self.pooled.by_sender[SENDER_SUMS.index((group, columns))] | {self.relay.index: own}

    def without_largest(self, reported: dict[int, int]) -> list[list[list[int]]]:
        """The pool without the relay that reported most."""
        return self.pool(self.pooled.without(max(reported, key=reported.__getitem__)))

    def without_uncorroborated(self, group: int) -> list[list[list[int]]] | None:
        """The pool without a relay that alone reports failures in a group, since it may lie; None if there is none."""
        failures, outcomes = self.reported_by(group, 1), self.reported_by(group, 0, 1)
        return self.without_largest(failures) if is_uncorroborated(failures, outcomes, LEAST_CORROBORATION) else None

    def has_many_failures(self, canary: list[list[int]], baseline: list[list[int]]) -> bool:
        """Whether, in a workload or in all, so many failures are left unexplained by the baseline that the build goes
        back early.

        Where many are expected they have to be beyond chance too (two counts of that mean differ with a variance of
        twice the mean): relays with failures report first, and so a judge receives many.
        """
        return any(
            failed - expected
            > max(EARLY_FAILURES + EARLY_FAILURE_SHARE * outcomes, EARLY_DEVIATIONS * sqrt(2 * expected))
            for outcomes, failed, expected in unexplained_failures(canary, baseline)
        )

    def is_worse(self, canary: list, baseline: list, before: list) -> bool:
        """Whether the build is slower than the earlier one.

        Departure: where earlier machines stay they idle, and a sound build looks slow beside them.  So it has to be
        slower than they were before the trial, too.
        """
        level, relay = SLOWER_SIGNIFICANCE / len(self.settings["stage_shares"]), self.relay
        units = [unit for unit in relay.units.values() if unit.build == relay.build]
        warm = sum(relay.warmth(unit) >= 1 for unit in units) or 1
        margin = (
            SLOWER_RATIO
            * (1 + FEW_UNITS_MARGIN / sqrt(warm))
            * relay.units_per_machine
            * (1 + IDLE_BASELINE_MARGIN * relay.beside)
        )
        held = (baseline, before)[: 1 + relay.beside]
        return all(is_slower(canary, each, LATENCY_EDGES, LEAST_OUTCOMES, margin, level) for each in held)

    def due_at(self) -> int:
        """The horizon: when a verdict on the stage is due, after the newest start of a listed unit of the build."""
        relay, shares = self.relay, self.settings["stage_shares"]
        starts = [unit.started for unit in relay.units.values() if unit.build == relay.build]
        fleet = len(relay.units) - relay.beside * len(starts)  # where earlier machines stay, they are the places
        places = shares[min(relay.stage, len(shares) - 1)] * fleet
        is_stale = len(starts) < max(1, LISTED_SHARE * places)  # too few are listed, and say nothing of those to come
        newest = min(max([relay.stage_since, *starts]), relay.stage_since + LAUNCH_TIME) + SECOND * (
            len(starts) < int(places)
        )
        quick = min(1.0, self.settings["bake"] / SECOND)  # a platform with short stages has a short horizon
        return int(HORIZON * quick) + (relay.stage_since + 2 * LAUNCH_TIME if is_stale else newest)

    def on_beat(self) -> None:
        """Brings the verdict up to date and votes, if that is this relay's part."""
        self.beat, is_judging = self.beat + 1, self.is_judging()
        if self.relay.workloads and self.relay.build >= 0 and self.relay.phase in (ON_TRIAL, RELEASED):
            if is_judging:
                self.update_verdict()
            if is_judging or self.rank < self.voters:
                self.vote()

    def update_verdict(self) -> None:
        """Judges the build by the pool; a changed verdict is logged, and sent to all where many have to vote."""
        relay, pooled = self.relay, self.pool()
        recent, brief, minute = self.windows.advance(self.beat, pooled)
        rates = [unit.error_rate for unit in relay.units.values() if unit.build == relay.build]
        is_wide = sum(each > 0.03 for each in rates) >= BRIEF_WINDOW_UNITS
        broad = BROAD_UNITS_RATIO * sum(each > 0.002 for each in rates)
        # Without a baseline there is nothing to compare with.
        is_known = sum(counts[0] + counts[1] for counts in pooled[1]) >= LEAST_OUTCOMES // 2
        earlier_verdict, is_thin = self.verdict, sum(counts[0] + counts[1] for counts in pooled[0]) < LEAST_OUTCOMES
        # Twice the relays whose counts came of late, this one counted once: evidence was lost where under half of the
        # fleet reports.
        doubled_reporting = 1 + 2 * sum(relay.now - at < 2 * JUDGE_TIMEOUT for at in self.last_counts_at.values())
        is_evidence_missing = self.settings["may_tell"] and doubled_reporting < self.settings["relays"]
        # Departure: fewer failures, if they are beyond chance and on a quarter of the build's units, also send it back.
        # That catches a build that turns bad late.
        threshold = sqrt(
            BROAD_DEVIATIONS**2 + 2 * log(max(1.0, (relay.now - self.build_since) / BROAD_LEVEL_RISES_AFTER))
        )
        is_failing = (
            any(self.has_many_failures(each, pooled[1]) for each in (pooled[0], recent[0], brief[0])[: 2 + is_wide])
            or broad > max(len(rates), 8)
            and max(largest_excess(pooled, each) for each in (brief, minute)) > threshold
        )
        corroborated = self.without_uncorroborated(0) or self.without_uncorroborated(1)
        # A relay whose failures are uncorroborated counts no more, nor does what came of its counts.  Nor can a relay
        # that reports a million served hide failures: they are looked for without the one that reported most, too.
        is_failing = (
            self.has_many_failures(*(corroborated or self.without_largest(self.reported_by(0, 0, 1)))[:2])
            or is_failing
            and not corroborated
        )
        if is_known and is_failing:
            self.verdict = BACK
        elif not self.verdict and relay.phase == ON_TRIAL and relay.now >= self.due_at():
            is_known = not is_thin or (relay.now >= self.due_at() + THIN_EVIDENCE_WAIT and not is_evidence_missing)
            self.verdict = BACK if self.is_worse(*pooled) else ON * is_known
        if self.verdict != earlier_verdict:
            if self.voters > JUDGES:  # at once: until the next beat the build would wait for its voters
                relay.host.send_message(-1, peer_messages.verdict_message(relay.build, relay.stage, self.verdict))
            relay.host.log(
                f"verdict {self.verdict} on build {relay.build} stage {relay.stage}:"
                + "".join(
                    f" {counts[0]}-{counts[1]}@{median(counts[2:], LATENCY_EDGES):.2f}"
                    for group in pooled
                    for counts in group
                )
            )

    def vote(self) -> None:
        """Casts the verdict, unless the platform holds it already, or it can have no effect, or has to wait."""
        relay, now, ballot = self.relay, self.relay.now, (self.relay.build, self.relay.stage, self.verdict)
        is_standing = self.standing_vote == ballot and now - self.standing_since < self.settings["vote_life"] // 2
        is_useless = self.verdict == ON and (relay.phase != ON_TRIAL or self.settings["control"] == "timer")
        if self.verdict and not is_standing and not is_useless and now >= self.no_vote_before:
            self.no_vote_before, self.last_vote = now + self.settings["vote_wait"] + SECOND // 10, ballot
            relay.host.vote(*ballot)

    def on_vote_answer(self, answer: str) -> None:
        """Takes the platform's answer to the last vote: ok, moot, full, error or timeout."""
        self.no_vote_before = self.relay.now
        if answer == "ok":
            self.standing_vote, self.standing_since = self.last_vote, self.relay.now
        elif answer != "timeout":  # the vote does not count, and is cast again soon
            self.no_vote_before += int((0.2 + 0.3 * self.relay.random.share()) * SECOND)


class Relay:
    """One relay's decisions: the state that the stages share, and the methods through which events come in."""

    # Tokens of wake-ups; the last two are added to the number of an invocation.
    WAKE_BEAT = 0
    WAKE_OVERDUE = 1 << 32
    WAKE_TRACKER_TIMEOUT = 1 << 40

    def __init__(self, host: Host, settings: dict[str, Any], seed: int, now: int) -> None:
        self.host = host
        self.now = now
        self.started_at = now
        self.stage_since = now
        self.settings = DEFAULTS | {name: value for name, value in settings.items() if value != []}
        self.random, self.index = RandomGenerator(seed), self.settings["index"]
        self.workloads = [
            Workload(at, CELLS_PER_WORKLOAD, DEFAULTS | each) for at, each in enumerate(self.settings["workloads"])
        ]
        self.units: dict[int, Unit] = {}  # those that are open
        self.withheld: dict[int, Unit] = {}  # units of an old copy that get no shots before the next list
        self.draining: set[int] = set()  # units whose successors may share their machines
        self.rows: tuple[list[Unit], ...] = ([], [])  # of earlier builds, and of those on trial
        self.known: dict[int, Invocation] = {}  # those that are not over, or have open shots
        self.build = -1  # the newest; -1: none is known
        self.stage = 0
        self.phase = RELEASED
        self.stated_cap = 1.0  # the platform's cap on the exposure to the build
        self.cap_lowered_at = 0
        self.previous_cap = 0.0  # before it was lowered
        self.mean_work = 0.0  # moving average of what clients say of an invocation's work
        self.silence_limit = SECOND  # for which a unit with open shots may be silent
        self.cold_share = [(0.0, 0.0)] * 2  # by row: of invocations drawn for the other row, and for this one
        self.total_weight = 0.01
        self.warm_weight = 0.0
        self.units_per_machine = 1.0
        self.beside = self.settings["layout"] == "beside"  # earlier builds' machines stay beside the new ones
        self.is_alone = False  # the build on trial: no earlier unit is left beside it
        self.choice, self.admission, self.gate = UnitChoice(self), Admission(self), Gate(self)
        self.intake, self.trial = Intake(self), Trial(self)
        self.judge, self.load_tracking = Judge(self), LoadTracking(self)
        self.extra_stages: list[Any] = []  # stages of other choices, before the choice of unit
        self.tier = lambda unit: 0  # how far a unit is, where an extra stage knows
        self.on_vote_answer = self.judge.on_vote_answer
        connect(self.intake, self.admission, self.trial, self.choice, self.gate)
        host.wake(now + int((1 + self.random.share()) * SECOND / 4), self.WAKE_BEAT)

    def add_stage(self, stage: Any) -> None:
        """Adds a stage between the choice of build and that of the unit.

        Its `arrange` is called when the list of units has changed, its `beat` each half second, and its `counts` are
        counters.
        """
        self.extra_stages.append(stage)
        self.load_tracking.is_enabled = False  # a relay that keeps to zones chooses alone
        connect(self.trial, *self.extra_stages, self.choice)

    def warmth(self, unit: Unit) -> float:
        """The part of its capacity that a unit has at the least; 1 for a warm one."""
        age = max(0, self.now - unit.started)
        if not unit.started or age >= self.settings["warm_up"]:
            return 1.0
        return self.settings["cold_from"] + (1 - self.settings["cold_from"]) * age / self.settings["warm_up"]

    def arrange(self) -> None:
        """Sorts the units into rows, in this relay's own order.  Too slow to be done for every shot."""
        ordered = sorted(self.units.values(), key=lambda unit: unit.order)
        self.total_weight = sum(unit.weight for unit in ordered) or 0.01
        self.rows = split_by_trial(ordered, self.on_trial)
        self.is_alone = self.beside and all(unit.build >= self.build for unit in ordered)
        self.trial.update_shares()
        for stage in self.extra_stages:
            stage.arrange()

    def on_trial(self, build: int) -> bool:
        """Whether the build is on trial or newer than the newest one that the platform has named."""
        return build > self.build >= 0 or (build == self.build and self.phase != RELEASED)

    def cap(self, build: int) -> float:
        """The part of the invocations that may go to a build on trial.

        A lowered cap binds after the drain's grace where no earlier unit is left.
        """
        grace = self.now < self.cap_lowered_at + self.settings["drain_grace"] and not self.rows[0]
        return self.settings["caps"][0] if build != self.build else max(self.stated_cap, grace * self.previous_cap)

    def trial_units(self) -> list[int]:
        """The numbers of the units on trial that may get shots, in the order in which this relay uses them."""
        if self.phase != ON_TRIAL:
            return []
        return [unit.number for unit in self.rows[1] if self.cap(unit.build) > 0]

    def on_list(self, kind: str, entries: list[tuple]) -> None:
        """Takes the list of units: `kind` is changes, whole or old copy.

        An entry is (number, build, state, zone, cell, weight, started), `state` being open, draining or gone.
        """
        known = self.units | self.withheld
        kept = known if kind == "changes" else {}
        # Too many draining units are some of which nobody ever said that they are gone.
        if kind != "changes" or len(self.draining) > 1000 + 2 * len(self.units):
            self.draining = set()
        for number, build, state, zone, cell, weight, started in entries:
            unit = known.get(number)
            if unit is None or unit.build != build or unit.started < started:
                unit = Unit(number, build, started, self.gate.warm_work, stable_hash(self.index, number))
            unit.weight, unit.open, unit.zone, unit.cell = max(weight, 0.01), state == "open", zone, cell
            kept[number] = unit
            (self.draining.add if state == "draining" else self.draining.discard)(number)
        self.units, self.withheld = {number: unit for number, unit in kept.items() if unit.open}, {}
        self.arrange()

    def restrict_units(self, numbers: frozenset[int]) -> None:
        """Withholds shots from all units of an old copy but these, up to the next list."""
        known = self.units | self.withheld
        self.units = {number: unit for number, unit in known.items() if number in numbers}
        self.withheld = {number: unit for number, unit in known.items() if number not in numbers}
        self.arrange()

    def on_invocation(
        self, number: int, workload: int, customer: int, key: str | None, deadline: int, work: int, repeat: bool
    ) -> None:
        """Takes an invocation.  `deadline` is when its client stops waiting; `work` is 0 where nothing is known of it;
        `repeat` says that the client marked it as a repeat."""
        self.mean_work += 0.01 * (work - self.mean_work) if self.mean_work else work
        size = work / self.mean_work if work else 1.0
        invocation = Invocation(number, self.workloads[workload], customer, deadline, size, repeat)
        invocation.taken_at, invocation.cold_draw = self.now, self.random.share()
        self.known[number] = invocation
        self.gate.count_invocation(workload)
        self.intake.forward(invocation)

    def on_outcome(
        self, number: int, shot_number: int, outcome: str, is_over: bool, latency: int, load: dict[str, float] | None
    ) -> None:
        """Takes the outcome of the invocation's shot `shot_number`, from 0.

        Outcomes are served, error, full, timeout, unreachable, reset, cancelled, withheld and moot.  `is_over` says
        that the invocation has ended with it; `load` is what the unit reported of itself.
        """
        invocation = self.known.get(number)
        if invocation is None:
            return
        shot = invocation.shots[shot_number]
        if load:
            unit = shot.unit
            unit.util, unit.queue, unit.load_reported_at = load.get("util", 0.0), load.get("queue", 0.0), self.now
        invocation.is_over |= is_over and outcome != "served"
        self.gate.backward(shot, outcome, latency)

    def on_started(self, number: int, shot_number: int) -> None:
        """Records that the stream of an answer has begun: nothing more may be sent."""
        if number in self.known:
            self.known[number].is_over = True

    def why_stop(self, number: int, shot_number: int, waited: int) -> str | None:
        """The outcome with which a shot ends that has waited so long for room at its unit; None: it may wait on."""
        return self.gate.why_stop(self.known[number].shots[shot_number], waited)

    def may_still_send(self, number: int, shot_number: int) -> bool:
        """Whether the last byte of a shot may be sent now."""
        return self.gate.may_still_send(self.known[number].shots[shot_number])

    def on_abandoned(self, number: int) -> None:
        """Ends an invocation whose client waits no longer, and cancels the one shot that may be open."""
        invocation = self.known.get(number)
        if invocation and not invocation.is_over:
            invocation.is_over = True
            if invocation.open_shots() and self.settings["may_cancel"]:
                self.host.cancel(number, len(invocation.shots) - 1)

    def on_wake(self, token: int) -> None:
        """Takes a wake-up that was asked of the host: a beat, an overdue shot, or the tracker's time to answer."""
        if token == self.WAKE_BEAT:
            # A beat falls on the horizon itself, so that nothing waits half a second longer than it must.
            due, after = self.judge.due_at(), self.now + SECOND // 2
            self.host.wake(due if self.now < due < after else after, self.WAKE_BEAT)
            self.known = {number: each for number, each in self.known.items() if not each.is_over or each.open_shots()}
            self.silence_limit = max([self.admission.late_after(each) for each in self.workloads], default=SECOND)
            busy = (unit for unit in self.units.values() if unit.open_shots)
            self.admission.stalled_shots = sum(unit.open_shots for unit in busy if not self.choice.is_available(unit))
            for unit in self.units.values():  # the record of a unit that is not tried again fades
                if unit.error_rate or unit.latency_ratio != 1:
                    unit.latency_ratio, unit.error_rate = (
                        unit.latency_ratio + 0.03 * (1 - unit.latency_ratio),
                        0.97 * unit.error_rate,
                    )
            # The counts fade only while no build is on trial: they are what the trial is compared with.
            self.trial.recent_counts = [count * (1 if self.rows[1] else 0.92) for count in self.trial.recent_counts]
            self.choice.used_units = max(self.choice.FEW_UNITS, 0.99 * self.choice.used_units)
            self.judge.on_beat()
            # Every 40th beat the rows are sorted anew, and units that were ejected get their places back.
            (self.trial.update_shares if self.judge.beat % 40 else self.arrange)()
            self.judge.send_counts()
            self.load_tracking.loads = drop_stale_senders(
                self.load_tracking.loads, self.now - self.load_tracking.REPORT_LIFETIME
            )
            for stage in self.extra_stages:
                stage.beat()
        elif token >= self.WAKE_TRACKER_TIMEOUT:
            self.load_tracking.resume(token - self.WAKE_TRACKER_TIMEOUT)
        elif token - self.WAKE_OVERDUE in self.known:
            self.intake.on_overdue(self.known[token - self.WAKE_OVERDUE])

    def on_peer_message(self, sender: int, data: bytes) -> None:
        """Takes a message of another relay (tealsail/peer_messages.py)."""
        (self.load_tracking if peer_messages.is_tracker_message(data) else self.judge).receive(sender, data)

    def on_stage(self, build: int, stage: int, phase: int, cap: float, age: int) -> None:
        """Takes the platform's state of the newest build: stage, phase, cap on its exposure, and since how long."""
        if build == self.build and cap < self.stated_cap:
            self.cap_lowered_at, self.previous_cap = self.now, self.stated_cap
        earlier = self.build, self.stage, self.phase
        self.build, self.stage, self.phase, self.stated_cap = build, stage, phase, cap
        if build != earlier[0]:
            self.trial.new_build(build)
            self.judge.new_build()
            self.gate.forget_builds_before(build)
        if (build, stage, phase) != earlier:
            self.stage_since = self.now - age
            self.judge.new_stage()
            self.arrange()

    def on_wrong_answer(self, unit: int, workload: int, age: int) -> None:
        """Takes a client's report that an answer of the unit was wrong: a failure in the unit's group.

        Some reports are false, so those on both builds count alike.
        """
        build, share = self.units[unit].build if unit in self.units else 0, self.trial.share
        mine = build == self.build
        if mine or build and self.rows[1] and self.random.share() * (1 - share) < share:
            group = self.trial.groups["canary" if mine else "baseline"]
            group[self.workloads[workload].cells.start + 1] += 1
