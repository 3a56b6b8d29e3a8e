"""The platform: offers builds, brings them in by stages, counts the relays' votes and moves on or back."""

from typing import NamedTuple

ON_TRIAL, GOING_BACK, RELEASED, WITHDRAWN = "on trial", "going back", "released", "withdrawn"
NEVER = 1 << 60


class Plan(NamedTuple):
    """How the platform rolls out.  Times are tenths of a ms."""

    caps: tuple[float, ...] = (0.2, 0.5, 1.0)
    shares: tuple[float, ...] = (0.25, 0.5, 1.0)  # of the places that run the build, by stage
    bake: int = 10_000  # a stage's least time from when its units run
    launched_by: int = 80_000  # a stage's clock starts so late at the latest
    on_votes: int = 1
    back_votes: int = 1
    vote_life: int = 60_000
    votes_per_second: int = 50
    by_clock: int = 0  # 0: moved on by votes; else by the clock, after so long a stage


class State(NamedTuple):
    build: int
    stage: int
    phase: str
    cap: float
    since: int  # when it came to stand so


class Desk:
    """A machine without I/O.  `launch` (build, share of the places), `back` and `release` are kept in `orders` for
    whoever runs the units; `news` says that the state has changed."""

    def __init__(self, plan: Plan, build: int) -> None:
        self.plan = plan
        self.state = State(build, len(plan.shares) - 1, RELEASED, 1.0, 0)
        self.released = self.earlier = build  # the newest that was, and the one before it
        self.votes: dict[int, tuple[int, int, str, int]] = {}  # relay -> build, stage, verdict, until
        self.clock_at = NEVER  # when the stage's clock started
        self.orders: list[tuple[str, int, float]] = []
        self.news = False
        self.silent_until = self.busy_until = 0
        self.second, self.calls = -1, 0  # calls taken in this second
        self.seen = -1  # up to when the clock has been heeded

    def offer(self, now: int, build: int) -> None:
        """A new build; what was on trial until then is taken off."""
        if self.state.phase in (ON_TRIAL, GOING_BACK):
            self.orders.append(("back", self.state.build, 0.0))
        self.begin(now, build, 0)

    def begin(self, now: int, build: int, stage: int) -> None:
        self.state = State(build, stage, ON_TRIAL, self.plan.caps[min(stage, len(self.plan.caps) - 1)], now)
        self.clock_at, self.news = NEVER, True
        self.orders.append(("launch", build, self.plan.shares[stage]))

    def running(self, now: int, build: int, all_run: bool) -> None:
        """How far the launch is; the stage's clock starts once all run, or late at the latest."""
        if build == self.state.build and self.state.phase == ON_TRIAL and self.clock_at == NEVER:
            if all_run or now >= self.state.since + self.plan.launched_by:
                self.clock_at = now

    def vote(self, now: int, relay: int, build: int, stage: int, verdict: str) -> str:
        """Returns ok, moot, full, error or nothing: no answer comes."""
        if now < self.silent_until:
            return "nothing"
        if now // 10_000 != self.second:
            self.second, self.calls = now // 10_000, 0
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
        """Moves on or back as the votes that stand, and the clock, have it."""
        state, plan, self.seen = self.state, self.plan, now
        if now < self.silent_until or state.phase not in (ON_TRIAL, RELEASED):
            return
        standing = [
            verdict
            for build, stage, verdict, until in self.votes.values()
            if build == state.build and stage == state.stage and until > now
        ]
        if standing.count("back") >= plan.back_votes and state.build != self.base:
            self.state = state._replace(phase=GOING_BACK, cap=0.0, since=now)
            self.orders.append(("back", state.build, 0.0))
            self.news = True
        elif state.phase == ON_TRIAL and now >= self.clock_at + (plan.by_clock or plan.bake):
            if plan.by_clock or standing.count("on") >= plan.on_votes:
                if state.stage + 1 < len(plan.shares):
                    self.begin(now, state.build, state.stage + 1)
                else:
                    self.earlier, self.released = self.released, state.build
                    self.state = state._replace(phase=RELEASED, cap=1.0, since=now)
                    self.orders.append(("release", state.build, 1.0))
                    self.news = True

    @property
    def base(self) -> int:
        """The build to go back to; a build that stands at the day's start has none."""
        return self.earlier if self.state.build == self.released else self.released

    def gone_back(self, now: int, build: int) -> None:
        """Its units are gone."""
        if build == self.state.build and self.state.phase == GOING_BACK:
            self.state = self.state._replace(phase=WITHDRAWN, since=now)
            self.released = self.base
            self.news = True

    def silence(self, now: int, span: int) -> None:
        self.silent_until = max(self.silent_until, now + span)

    def busy(self, now: int, span: int) -> None:
        self.busy_until = max(self.busy_until, now + span)

    @property
    def due(self) -> int:
        """When the clock alone may move it; what has passed by then waits for votes."""
        if self.state.phase != ON_TRIAL:
            return NEVER
        late = self.state.since + self.plan.launched_by
        due = late if self.clock_at == NEVER else self.clock_at + (self.plan.by_clock or self.plan.bake)
        return due if due > self.seen else NEVER
