"""One judge of a large fleet: the messages that it gets, their cost, and when it votes; also with faulty relays.

The judge is the facade that real relays use.  Of the other relays only the messages are simulated: random outcomes for
each, sent in the form, at the times and to the number of receivers that tealsail/policy.py has for them.
"""

import time
from collections.abc import Callable
from typing import NamedTuple

import numpy

from ..choices.rate_limits import RateLimiter, count_message_limits
from ..facade import Facade, PeerMessageReceived, RolloutState, UnitEntry, Units
from ..parts import stable_hash
from ..peer_messages import count_messages
from ..policy import CELLS_PER_WORKLOAD, GROUPS, JUDGES, MAX_EXTRA_TURNS, RELAYS_PER_TURN
from ..time_limits import SECOND
from .costs import sized_scenario

FLEET_SIZES = (50, 500, 1_000, 2_500, 10_000)
BEAT = 5_000  # tenths of a ms
UNITS = 60
ON_TRIAL_UNITS = 12
RUN_S = 24
# places in a row of counts
SERVED = 0
FAILED = 1
BUCKET = 4  # latency bucket of all answers here
START = 1_000 * SECOND  # tenths of a ms


class JudgeRun(NamedTuple):
    """One run of a judge.  `vote_s`: seconds from the first outcome to the judge's first vote, -1 for none."""

    relays: int
    notes: float  # messages a second that reach the judge
    taken: float  # messages a second that it accepts
    sent_bytes: float  # bytes a second that one relay sends to all receivers
    cpu: float  # part of a core that the judge spends on messages
    vote: str
    vote_s: float


class FleetOutcomes:
    """Cumulative counts of outcomes of all relays, an array of relays x cells, and what each relay has sent of them."""

    def __init__(self, relays: int, rate: float, errors: float, seed: int) -> None:
        self.chance = numpy.random.default_rng(seed)
        self.rate, self.errors = rate, errors
        self.counts = numpy.zeros((relays, len(GROUPS) * CELLS_PER_WORKLOAD), dtype=numpy.int64)
        self.sent = numpy.zeros_like(self.counts)

    def work(self, seconds: float) -> None:
        """Adds outcomes of some seconds, `rate` a second for each of canary and baseline; 0.3% of the baseline fail."""
        for group, errors in ((0, self.errors), (1, 0.003)):
            many = self.chance.poisson(self.rate * seconds, len(self.counts))
            failed = self.chance.binomial(many, errors)
            first = group * CELLS_PER_WORKLOAD
            self.counts[:, first + SERVED] += many - failed
            self.counts[:, first + FAILED] += failed
            self.counts[:, first + BUCKET] += many - failed

    def notes(self, relay: int, beat: int, thin: int, matched: bool = True, rows: bool = True) -> list[bytes]:
        """The messages of a relay at a beat, as in tealsail/policy.py, Judge.tell; one relay of `thin` sends at a time.
        `matched` and `rows` are off for the messages of earlier versions, in which only failures of the canary were
        told each half second, and in which changes were told by cell and not by row."""
        counts, sent = self.counts[relay], self.sent[relay]
        has_new_failures = (
            counts[FAILED] > sent[FAILED]
            or matched
            and counts[CELLS_PER_WORKLOAD + FAILED] > sent[CELLS_PER_WORKLOAD + FAILED]
        )
        if not ((beat // 2 + relay) % thin == 0 and (beat % 2 or has_new_failures)):
            return []
        is_full = (beat // 2 + relay) % 4 == 0
        changed = (
            numpy.repeat((counts != sent).reshape(-1, CELLS_PER_WORKLOAD).any(axis=1), CELLS_PER_WORKLOAD)
            if rows
            else counts != sent
        )
        cells = [(int(cell), int(counts[cell])) for cell in numpy.flatnonzero(counts * (changed | is_full))]
        self.sent[relay] = counts
        return count_messages(2, START, cells, len(counts)) if cells else []


def find_judge(relays: int) -> int:
    """The relay that comes first in the judges' order for build 2."""
    return max(range(relays), key=lambda at: stable_hash(2, at))


def play_judge(
    relays: int,
    rate: float,
    errors: float,
    seed: int = 1,
    in_turns: bool = True,
    faulty: int = 0,
    lies: int = 200,
    guarded: bool = True,
    seconds: int = RUN_S,
    matched: bool = True,
    together: bool = False,
    is_released: bool = False,
    turns_bad: tuple[float, float] = (1e9, 0.0),
    restart: float = 1e9,
    lost: tuple[float, float] = (1e9, 1e9),
    earlier: float = 0.0,
) -> JudgeRun:
    """Runs a judge until it votes, for `seconds` at the most.

    `rate`: outcomes a second of canary and of baseline at each relay, `errors`: the canary's share of failures;
    `in_turns`: relays of large fleets send in turns; `faulty` relays send `lies` messages a second that the canary
    fails, each with another start time; `guarded`: messages are limited by sender; `matched` as in
    FleetOutcomes.notes; `together`: all relays started in the same half second, so they send in the same;
    `is_released`: the build has been released, all its units fail a little as the judge itself sees them, and only a
    vote back ends the run; `turns_bad`: from that second on the canary fails with that share; `restart`: at that second
    the judge restarts and has lost all messages; `lost`: between these seconds no message arrives; `earlier`: the part
    of the relays that send as an earlier version does, as during an upgrade of the fleet.  1e9 seconds stand for never.
    """
    now, index = START, find_judge(relays)
    settings = sized_scenario(relays, UNITS).named_settings(index)

    def start_judge() -> Facade:
        """A relay that has just started, with the list of units and the roll-out state."""
        facade = Facade(settings, seed, lambda: now)
        facade.report(
            RolloutState(2, 0, "released" if is_released else "on trial", 1.0 if is_released else 0.2, now - START)
        )
        facade.report(
            Units(
                "whole",
                [
                    UnitEntry(unit, 2 if unit < ON_TRIAL_UNITS else 1, "open", 0, 0, 1.0, START - 20 * SECOND)
                    for unit in range(UNITS)
                ],
            )
        )
        return facade

    facade, has_restarted = start_judge(), False
    fleet, flood = (
        FleetOutcomes(relays, rate, errors, seed),
        RateLimiter(count_message_limits(len(facade.relay.judge.pooled.sums))),
    )
    thin = 1 + min(MAX_EXTRA_TURNS, relays // RELAYS_PER_TURN) if in_turns else 1
    senders = [relay for relay in range(relays) if relay != index]
    faulty_relays = senders[:faulty]
    arrived = accepted = sent_bytes = 0
    cpu_s, vote, vote_s = 0.0, "none", -1.0
    for beat in range(2 * seconds):
        now += BEAT
        if now - START > turns_bad[0] * SECOND:
            fleet.errors = turns_bad[1]
        fleet.work(BEAT / SECOND)
        messages = [
            (relay, data)
            for relay in senders[faulty:]
            for data in fleet.notes(
                relay,
                beat + (0 if together else stable_hash(relay, 5) % 2),
                thin,
                matched and relay >= earlier * relays,
                relay >= earlier * relays,
            )
        ]
        sent_bytes += sum(len(data) for _, data in messages)
        for relay in faulty_relays:
            messages += [
                (relay, data)
                for lie in range(lies // 2)
                for data in count_messages(
                    2, stable_hash(seed, beat, lie, relay) & 0xFFFFFFFF, [(FAILED, 40)], fleet.counts.shape[1]
                )
            ]
        if not has_restarted and now - START >= restart * SECOND:
            facade, has_restarted = start_judge(), True
        if lost[0] * SECOND <= now - START < lost[1] * SECOND:
            messages = []
        order = fleet.chance.permutation(len(messages))
        before = time.process_time()
        for place in order:
            relay, data = messages[place]
            if not guarded or flood.allows(relay, now):
                accepted += 1
                facade.report(PeerMessageReceived(relay, data))
        cpu_s += time.process_time() - before
        arrived += len(messages)
        for unit in facade.relay.units.values() if is_released else ():
            unit.error_rate = max(unit.error_rate, 0.01)
        votes = [each for each in facade.tick().votes if not is_released or each.verdict == "back"]
        if votes:
            vote, vote_s = votes[0].verdict, (now - START) / SECOND
            break
    run_s = (beat + 1) / 2
    return JudgeRun(
        relays,
        arrived / run_s,
        accepted / run_s,
        sent_bytes * (JUDGES + 1) / run_s / relays,
        cpu_s / run_s,
        vote,
        vote_s,
    )


class Row(NamedTuple):
    """A fleet's size and its runs: `before`, as in an earlier version, all relays sent each second, and failures of the
    canary each half second; `after`, relays send in turns."""

    relays: int
    before: JudgeRun
    after: JudgeRun
    back_before: JudgeRun  # with a build that fails 5%
    back_after: JudgeRun


def table(
    fleets: tuple[int, ...] = FLEET_SIZES, rate: float = 2.0, progress: Callable[[int, int], None] | None = None
) -> list[Row]:
    """Runs with a good build and with one that fails 5%, by fleet size; all relays started together."""
    rows = []
    for place, relays in enumerate(fleets):
        rows.append(
            Row(
                relays,
                *(
                    play_judge(relays, rate, errors, in_turns=now, matched=now, together=True)
                    for errors in (0.003, 0.05)
                    for now in (False, True)
                ),
            )
        )
        if progress:
            progress(place + 1, len(fleets))
    return rows


def faulty_relay_runs(
    faulty_counts: tuple[int, ...] = (0, 1, 5), relays: int = 50, rate: float = 20.0
) -> list[tuple[int, JudgeRun, JudgeRun]]:
    """Numbers of faulty relays in a fleet with a good build, and the runs without the limit on messages and with it."""
    return [
        (
            faulty,
            play_judge(relays, rate, 0.003, faulty=faulty, guarded=False),
            play_judge(relays, rate, 0.003, faulty=faulty),
        )
        for faulty in faulty_counts
    ]


class Mixed(NamedTuple):
    """A fleet during an upgrade: the numbers of runs in which the build is sent back."""

    earlier: float  # part of the relays that run the earlier version
    good: int
    bad: int  # with a build that fails 5%, after eight seconds without messages


def play_mixed_fleets(
    parts: tuple[float, ...] = (0.0, 0.1, 0.25, 0.5, 1.0), seeds: int = 5, relays: int = 400
) -> list[Mixed]:
    """Runs with a good build and relays that started together, and with a bad build whose first messages are lost, for
    each part of relays of the earlier version."""
    return [
        Mixed(
            part,
            *(
                sum(
                    play_judge(
                        relays,
                        rate,
                        errors,
                        seed,
                        seconds=12,
                        together=not lost,
                        earlier=part,
                        lost=(0.0, 8.0) if lost else (1e9, 1e9),
                    ).vote
                    == "back"
                    for seed in range(seeds)
                )
                for rate, errors, lost in ((20.0, 0.003, False), (4.0, 0.05, True))
            ),
        )
        for part in parts
    ]
