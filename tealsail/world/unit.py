"""One unit: cores shared by the shots in work, a waiting queue, cold starts, load reports, and faults.

Shots in work share the cores evenly (processor sharing).  This is simulated in the unit's virtual time, in which all
shots in work progress at the same speed: a shot ends when virtual time has advanced by its work, so a change of speed
changes one number and not one per shot.  Source: the usual virtual-time form of processor sharing, as in fair queueing.
"""

import heapq
from collections import deque
from typing import Any, NamedTuple

from ..parts import SlidingSum
from .builds import Build
from .random_draws import OUTCOME, UNIT_ERRORS, WORK, QuantileTable, uniform

NEVER = 1 << 60  # tenths of a ms
COLD_STEP = 500  # tenths of a ms between updates of a cold unit's speed
REPORTS = 64  # load reports kept


class UnitKind(NamedTuple):
    """What a unit is like.  Times are tenths of a ms."""

    cores: float = 2.0
    slots: int = 16  # shots in work at a time
    room: int = 32  # shots that wait behind them; further ones are turned away
    drag: float = 0.0  # loss of speed for each shot in work beyond the cores
    cold_from: float = 0.3  # share of its capacity at the start
    warm_up: int = 40_000  # time until it has all of its capacity
    fall_multiple: float = 4.0  # a cold unit crashes if it is sent more than this many times its capacity
    fall_span: int = 15_000  # over this time
    stops: bool = True  # work whose result nobody waits for is stopped
    report_every: int = 0  # between load reports; 0: none
    report_delay: int = 0  # age of a report when it is sent
    unsteady: float = 0.0  # share of shots that fail at once, whatever build it runs
    handshake: int = 0  # work of a new connection, done with the first shot on it
    connections: int = 0  # held at a time; 0: no limit


class IncomingShot(NamedTuple):
    """A shot as a unit receives it."""

    ref: Any  # the driver's reference, returned with the outcome
    invocation: int  # number of the invocation's first try, the same for each of its shots
    workload: int


class Job:
    """A shot that a unit holds, waiting or in work."""

    __slots__ = ("shot", "work", "ends", "is_stopped")

    def __init__(self, shot: IncomingShot, work: int) -> None:
        self.shot, self.work = shot, work
        self.ends = 0.0  # in the unit's virtual time
        self.is_stopped = False  # nobody waits for it any more

    def __lt__(self, other: "Job") -> bool:
        return self.ends < other.ends


class Unit:
    """A state machine without I/O; times are tenths of a ms.

    The driver calls `take`, `stop`, `wake` and the faults with the time, fetches `outcomes` and `taken` after each
    call, and calls `wake` at `due`.  Outcomes are served, wrong, error, full or reset.  Work is tenths of a ms of one
    core of speed 1.  `identity` is a number of this process of the unit alone, on which its draws depend.
    """

    def __init__(
        self,
        name: str,
        identity: int,
        build: Build,
        kind: UnitKind,
        speed: float,
        zone: str,
        cell: int,
        started: int,
        works: list[QuantileTable],
        seed: int,
    ) -> None:
        self.name, self.identity, self.build, self.kind, self.speed = name, identity, build, kind, speed
        self.zone, self.cell, self.seed = zone, cell, seed
        self.started = started  # 0: before the day, so it is warm
        self.works = works  # distribution of the work, by workload
        self.at, self.virtual_time = started, 0.0  # real time of the latest `advance`, and the virtual time then
        self.slowdown, self.is_hung, self.is_dead, self.is_draining = 1.0, False, False, False
        self.errors = kind.unsteady
        self.jobs: dict[Any, Job] = {}  # by ref, in work or waiting
        self.heap: list[tuple[float, int, Job]] = []  # jobs in work by their ends, stopped ones among them
        self.working = self.count = 0  # jobs in work now, and begun so far
        self.queue: deque[Job] = deque()  # waiting
        self.rate = 0.0  # virtual time per real time
        self.received = SlidingSum(kind.fall_span, 20)  # work received while cold
        self.reports: deque[tuple[int, float, float]] = deque(maxlen=REPORTS)  # time, share of cores in use, queue
        self.outcomes: list[tuple[Any, str]] = []  # ref and outcome
        self.taken: list[tuple[Any, int]] = []  # ref and work of each shot let in, for the record
        self.crashed = self.crash_reported = False  # by overload while cold; for the driver, which reports it once
        self.open_connections = 0
        self.machine: Any = None  # of the fleet, that it runs on
        self.wake_at = NEVER  # for the driver: when it will call `wake`

    def warmth(self, now: int) -> float:
        """Share of the unit's capacity that it has."""
        age = now - self.started
        if not self.started or age >= self.kind.warm_up:
            return 1.0
        return self.kind.cold_from + (1 - self.kind.cold_from) * max(0, age) / self.kind.warm_up

    def capacity(self, now: int) -> float:
        """Work that it can do per unit of time."""
        return self.kind.cores * self.speed * self.warmth(now)

    # input
    def connect(self) -> bool:
        """Opens a connection; returns False if the limit is reached."""
        if self.kind.connections and self.open_connections >= self.kind.connections:
            return False
        self.open_connections += 1
        return True

    def disconnect(self, many: int = 1) -> None:
        self.open_connections = max(0, self.open_connections - many)

    def take(self, now: int, shot: IncomingShot, new: bool = False) -> None:
        """Receives a shot; `new`: it is the first one on its connection."""
        if self.is_dead:
            self.outcomes.append((shot.ref, "reset"))
            return
        self.advance(now)
        if self.is_draining or len(self.jobs) >= self.kind.slots + self.kind.room:
            self.outcomes.append((shot.ref, "full"))
            return
        work = self.work_of(now, shot)
        if self.warmth(now) < 1:
            self.received.add(now, work)
            if self.received.total(now) > self.kind.fall_multiple * self.capacity(now) * self.kind.fall_span:
                self.crashed = True
                self.die(now)
                self.outcomes.append((shot.ref, "reset"))
                return
        self.taken.append((shot.ref, work))
        if self.errors and uniform(self.seed, UNIT_ERRORS, shot.invocation, self.identity) < self.errors:
            self.outcomes.append((shot.ref, "error"))
            return
        job = self.jobs[shot.ref] = Job(shot, work + new * self.kind.handshake)
        self.queue.append(job)
        self.settle(now)

    def stop(self, now: int, ref: Any) -> None:
        """Nobody waits for this shot any more."""
        job = self.jobs.get(ref)
        if job is None or self.is_dead:
            return
        self.advance(now)
        if job in self.queue:
            self.queue.remove(job)
            del self.jobs[ref]
        elif self.kind.stops:
            job.is_stopped = True
            self.working -= 1
            del self.jobs[ref]
        self.settle(now)

    def wake(self, now: int) -> None:
        """Ends what is done by now; to be called at `due`."""
        if not self.is_dead:
            self.advance(now)
            self.settle(now)

    # faults and their ends
    def die(self, now: int) -> None:
        """Ends the process; the shots that it holds are reset."""
        self.outcomes += [(ref, "reset") for ref in self.jobs]
        self.jobs, self.heap, self.queue, self.working, self.is_dead = {}, [], deque(), 0, True

    def hang(self, now: int, on: bool = True) -> None:
        """From now on it takes shots in and works on none; with `on` False it works again."""
        self.advance(now)
        self.is_hung = on
        self.settle(now)

    def set_slowdown(self, now: int, factor: float) -> None:
        """Divides its speed by `factor` from now on; 1.0 ends the fault."""
        self.advance(now)
        self.slowdown = factor
        self.settle(now)

    def drain(self, now: int) -> None:
        """It finishes the shots that it has and turns new ones away."""
        self.is_draining = True

    # inside
    def work_of(self, now: int, shot: IncomingShot) -> int:
        """Work of a shot: the same for each try of an invocation, unless a fault of the build changes it."""
        work = self.works[shot.workload].at(uniform(self.seed, WORK, shot.invocation))
        build = self.build
        if build.pace != 1.0 and build.is_faulty(
            shot.workload, self.age(now), self.load_per_core(), self.seed, self.identity
        ):
            work = max(1, int(work * build.pace))
        return work

    def age(self, now: int) -> int:
        """NEVER for a unit that started before the day."""
        return now - self.started if self.started else NEVER

    def load_per_core(self) -> float:
        """Shots held per core."""
        return len(self.jobs) / self.kind.cores

    def advance(self, now: int) -> None:
        """Advances the virtual time up to now at the current rate."""
        if now > self.at:
            self.virtual_time += self.rate * (now - self.at)
            self.at = now

    def settle(self, now: int) -> None:
        """Ends jobs that are done, begins waiting ones, and updates the rate and the load reports."""
        while self.heap and (self.heap[0][2].is_stopped or self.heap[0][0] <= self.virtual_time + 1e-6):
            job = heapq.heappop(self.heap)[2]
            if not job.is_stopped:
                self.working -= 1
                del self.jobs[job.shot.ref]
                self.outcomes.append((job.shot.ref, self.outcome_of(now, job)))
        while self.queue and self.working < self.kind.slots:
            job = self.queue.popleft()
            job.ends = self.virtual_time + job.work
            self.count += 1
            heapq.heappush(self.heap, (job.ends, self.count, job))
            self.working += 1
        kind = self.kind
        excess = max(0.0, self.working - kind.cores)
        each = min(1.0, kind.cores / self.working) if self.working else 1.0  # cores per job
        self.rate = (
            0.0 if self.is_hung else each * self.speed * self.warmth(now) / self.slowdown / (1 + kind.drag * excess)
        )
        if kind.report_every and (not self.reports or now - self.reports[-1][0] >= kind.report_every):
            self.reports.append((now, min(1.0, self.working / kind.cores), float(len(self.queue))))

    def outcome_of(self, now: int, job: Job) -> str:
        """Served, or the fault of the build: error or wrong."""
        build = self.build
        if (build.errors or build.wrong) and build.is_faulty(
            job.shot.workload, self.age(now), self.load_per_core(), self.seed, self.identity
        ):
            draw = uniform(self.seed, OUTCOME, job.shot.invocation, self.identity)
            if draw < build.errors:
                return "error"
            if draw > 1 - build.wrong:
                return "wrong"
        return "served"

    def load(self, now: int) -> dict[str, float] | None:
        """The load report that an answer carries, `report_delay` old or older; None before the first."""
        for at, util, queue in reversed(self.reports):
            if at <= now - self.kind.report_delay:
                return {"util": util, "queue": queue}
        return None

    @property
    def due(self) -> int:
        """When to wake it; NEVER if nothing is in work."""
        if self.is_dead or not self.heap or self.rate <= 0:
            return NEVER
        left = self.heap[0][0] - self.virtual_time
        ends = self.at + max(1, int(left / self.rate + 0.999999))  # rounded up
        return min(ends, self.at + COLD_STEP) if self.warmth(self.at) < 1 else ends
