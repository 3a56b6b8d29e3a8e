"""The platform: offers builds, rolls them out in stages, counts the relays' votes and moves a build on or back."""

from typing import NamedTuple

from ..time_limits import SECOND

ON_TRIAL = "on trial"
GOING_BACK = "going back"
RELEASED = "released"
WITHDRAWN = "withdrawn"
NEVER = 1 << 60  # tenths of a ms


class RolloutPlan(NamedTuple):
    """How the platform rolls a build out.  Times are tenths of a ms."""

    caps: tuple[float, ...] = (0.2, 0.5, 1.0)  # by stage, the share of invocations that may go to the build
    shares: tuple[float, ...] = (0.25, 0.5, 1.0)  # by stage, the share of machines that run the build
    bake: int = SECOND  # least time of a stage, from when its units run
    launched_by: int = 80_000  # a stage's clock starts at the latest so long after the stage
    on_votes: int = 1  # votes needed to go on
    back_votes: int = 1  # votes needed to go back
    vote_life: int = 60_000  # a vote counts for so long
    votes_per_second: int = 50  # more are answered "full"
    by_clock: int = 0  # 0: stages end by votes; else each ends after this time


class RolloutState(NamedTuple):
    """Where the roll-out of the newest build is; `since` is when this state began, in tenths of a ms."""

    build: int
    stage: int
    phase: str  # on trial, going back, released or withdrawn
    cap: float
    since: int


class Platform:
    """A state machine without I/O.

    `orders` holds what the driver has to do to the units: (launch, build, share of the machines), (back, build, 0) or
    (release, build, 1).  `state_changed` says that the state has to be sent to the relays.
    """

    def __init__(self, plan: RolloutPlan, build: int) -> None:
        self.plan = plan
        self.state = RolloutState(build, len(plan.shares) - 1, RELEASED, 1.0, 0)
        self.released = self.earlier = build  # the latest released build, and the one before it
        self.votes: dict[int, tuple[int, int, str, int]] = {}  # relay -> build, stage, verdict, time of expiry
        self.clock_at = NEVER  # when the stage's clock started
        self.orders: list[tuple[str, int, float]] = []
        self.state_changed = False
        self.silent_until = self.busy_until = 0
        self.second, self.calls = -1, 0  # the current second, and the calls in it
        self.counted_at = -1  # time of the latest `count`

    def offer(self, now: int, build: int) -> None:
        """Starts the trial of a new build; a build that is on trial is taken back."""
        if self.state.phase in (ON_TRIAL, GOING_BACK):
            self.orders.append(("back", self.state.build, 0.0))
        self.begin_stage(now, build, 0)

    def begin_stage(self, now: int, build: int, stage: int) -> None:
        self.state = RolloutState(build, stage, ON_TRIAL, self.plan.caps[min(stage, len(self.plan.caps) - 1)], now)
        self.clock_at, self.state_changed = NEVER, True
        self.orders.append(("launch", build, self.plan.shares[stage]))

    def update_launch(self, now: int, build: int, is_launched: bool) -> None:
        """Starts the stage's clock once all units of the launch run, or at the latest after `launched_by`."""
        if build == self.state.build and self.state.phase == ON_TRIAL and self.clock_at == NEVER:
            if is_launched or now >= self.state.since + self.plan.launched_by:
                self.clock_at = now

    def vote(self, now: int, relay: int, build: int, stage: int, verdict: str) -> str:
        """Takes a relay's vote (on, hold or back); returns ok, moot, full, or nothing where no answer is sent."""
        if now < self.silent_until:
            return "nothing"
        if now // SECOND != self.second:
            self.second, self.calls = now // SECOND, 0
        self.calls += 1
        if self.calls > self.plan.votes_per_second or now < self.busy_until:
            return "full"
        state = self.state
        if build != state.build or state.phase not in (ON_TRIAL, RELEASED):
            return "moot"
        if stage != state.stage:
            return "moot"
        self.votes[relay] = (build, stage, verdict, now + self.plan.vote_life)
        self.count(now)
        return "ok"

    def count(self, now: int) -> None:
        """Moves the build on or back, by the votes that have not expired and the stage's clock."""
        state, plan, self.counted_at = self.state, self.plan, now
        if now < self.silent_until or state.phase not in (ON_TRIAL, RELEASED):
            return
        verdicts = [
            verdict
            for build, stage, verdict, expires_at in self.votes.values()
            if build == state.build and stage == state.stage and expires_at > now
        ]
        if verdicts.count("back") >= plan.back_votes and state.build != self.base:
            self.state = state._replace(phase=GOING_BACK, cap=0.0, since=now)
            self.orders.append(("back", state.build, 0.0))
            self.state_changed = True
        elif state.phase == ON_TRIAL and now >= self.clock_at + (plan.by_clock or plan.bake):
            if plan.by_clock or verdicts.count("on") >= plan.on_votes:
                if state.stage + 1 < len(plan.shares):
                    self.begin_stage(now, state.build, state.stage + 1)
                else:
                    self.earlier, self.released = self.released, state.build
                    self.state = state._replace(phase=RELEASED, cap=1.0, since=now)
                    self.orders.append(("release", state.build, 1.0))
                    self.state_changed = True

    @property
    def base(self) -> int:
        """The build to go back to.  For the build that runs at the start of the day it is that build itself, which
        can't be taken back."""
        return self.earlier if self.state.build == self.released else self.released

    def complete_rollback(self, now: int, build: int) -> None:
        """To be called when no unit of a build that goes back is left."""
        if build == self.state.build and self.state.phase == GOING_BACK:
            self.state = self.state._replace(phase=WITHDRAWN, since=now)
            self.released = self.base
            self.state_changed = True

    def silence(self, now: int, span: int) -> None:
        """Sends nothing and counts no votes for `span`."""
        self.silent_until = max(self.silent_until, now + span)

    def make_busy(self, now: int, span: int) -> None:
        """Answers all votes with "full" for `span`."""
        self.busy_until = max(self.busy_until, now + span)

    @property
    def due(self) -> int:
        """When the clock alone may change the state.  A time that has been counted already is NEVER: from then on only
        votes change it."""
        if self.state.phase != ON_TRIAL:
            return NEVER
        latest_start = self.state.since + self.plan.launched_by
        due = latest_start if self.clock_at == NEVER else self.clock_at + (self.plan.by_clock or self.plan.bake)
        return due if due > self.counted_at else NEVER
