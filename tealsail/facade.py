"""The decision module in blocking style, for code that owns connections: `pick`, `report`, `tick`.

`pick` takes an invocation and returns what to do with it; `report` takes whatever was learnt and returns
what to do next with the invocation it is about, if anything; `tick` returns what the module wants by itself
(votes, notes, shots to call off, log lines) and is due at `Facade.due`.  Nothing is decided here.  Times are
whole tenths of a millisecond of the clock handed in.
"""

import heapq
import traceback
from collections.abc import Callable, Iterable
from typing import Any, NamedTuple

from .policy import Relay
from .settings import NOBODY

VERDICTS = ("none", "on", "hold", "back")
PHASES = ("on trial", "going back", "released", "withdrawn")


class Shoot(NamedTuple):
    """Send it to this unit as its shot number `place`, and stop waiting after `wait`."""

    unit: int
    place: int
    wait: int


class Reject(NamedTuple):
    """Final answer: not done, trying again is harmless (after `come_back`, 0: no advice)."""

    come_back: int


class Forfeit(NamedTuple):
    """Final answer: failed, nothing is promised."""


Step = Shoot | Reject | Forfeit | None


class Outcome(NamedTuple):
    """How a shot ended: served, error, full, timeout, unreachable, reset, cancelled or moot."""

    number: int
    place: int
    outcome: str
    load: dict[str, float] | None = None


class Departed(NamedTuple):
    """The client waits no longer."""

    number: int


class Listed(NamedTuple):
    """One entry of the list of units; `state` is open, draining or gone; `started` 0 for long ago."""

    unit: int
    build: int
    state: str
    zone: int
    cell: int
    weight: float
    started: int


class Units(NamedTuple):
    """The list of units: `kind` is changes, whole or old copy."""

    kind: str
    entries: list[Listed]


class Standing(NamedTuple):
    """Where the newest build stands, and for how long already."""

    build: int
    stage: int
    phase: str
    cap: float
    age: int


class Counted(NamedTuple):
    """What came of the last vote: ok, moot, full, error or timeout."""

    answer: str


class Heard(NamedTuple):
    """A note from another relay."""

    relay: int
    data: bytes


class Flagged(NamedTuple):
    """A client found an answer of this unit wrong."""

    unit: int
    workload: int
    age: int


News = Outcome | Departed | Units | Standing | Counted | Heard | Flagged


class Vote(NamedTuple):
    build: int
    stage: int
    verdict: str


class Note(NamedTuple):
    """To the relay of that number, or to all of them (-1)."""

    relay: int
    data: bytes


class CallOff(NamedTuple):
    number: int
    place: int


class Wants(NamedTuple):
    """`steps`: what to do next with invocations that `pick` or `report` returned no step for (another relay was
    asked)."""

    votes: list[Vote]
    notes: list[Note]
    calls_off: list[CallOff]
    lines: list[str]
    steps: list[tuple[int, Step]]


class Facade:
    """One relay's decisions.  It is the module's host (tealsail/host.py): what the module asks for while
    it handles a call is kept and returned.  An exception of the module is logged and costs at most the
    invocation at hand its answer."""

    def __init__(
        self, facts: dict[str, Any], seed: int, clock: Callable[[], int], seats: Iterable[Callable[[Relay], Any]] = ()
    ) -> None:
        self.clock = clock
        self.step: Step = None
        self.at = 0  # the invocation that the call at hand is about
        self.wants = Wants([], [], [], [], [])
        self.wakes: list[tuple[int, int, int]] = []  # when, in what order, token
        self.count = self.waking = self.faults = 0
        self.workloads = {each["name"]: place for place, each in enumerate(facts.get("workloads", []))}
        self.customers = {each["name"]: place for place, each in enumerate(facts.get("customers", []))}
        self.relay = Relay(self, facts, seed, clock())
        for seat in seats:  # stages of other choices (tealsail/choices/)
            self.relay.seat(seat(self.relay))

    def pick(
        self, workload: str, customer: str, key: str | None, give_up: int, work: int = 0, repeat: bool = False
    ) -> tuple[int, Step]:
        """Take an invocation: its number from now on, and what to do with it (None: a step comes out of `tick`)."""
        self.count += 1
        self.at = self.count
        return self.count, self.guarded(
            Forfeit(),
            self.relay.on_invocation,
            self.count,
            self.workloads[workload],
            self.place(customer),
            key,
            give_up,
            work,
            repeat,
        )

    def place(self, customer: str) -> int:
        """Of a customer; one that nobody listed has the place for those, not another's."""
        return self.customers.get(customer, self.customers.get(NOBODY, 0))

    def report(self, news: News) -> Step:
        """Hand in what was learnt; the step is the next one of the invocation that an outcome is about."""
        relay = self.relay
        match news:
            case Outcome(number, place, outcome, load):
                shots = relay.known[number].shots if number in relay.known else []
                latency = self.clock() - shots[place].sent if place < len(shots) else 0
                self.at = number
                return self.guarded(
                    Forfeit(), relay.on_outcome, number, place, outcome, outcome == "served", latency, load
                )
            case Departed(number):
                return self.guarded(None, relay.on_abandoned, number)
            case Units(kind, entries):
                return self.guarded(None, relay.on_list, kind, entries)
            case Standing(build, stage, phase, cap, age):
                return self.guarded(None, relay.on_stage, build, stage, PHASES.index(phase), cap, age)
            case Counted(answer):
                return self.guarded(None, relay.on_vote_answer, answer)
            case Heard(sender, data):
                return self.guarded(None, relay.on_told, sender, data)
            case Flagged(unit, workload, age):
                return self.guarded(None, relay.on_flag, unit, workload, age)

    def tick(self) -> Wants:
        """What the module wants by itself; call it once `due` has come."""
        now = self.clock()
        while self.wakes and self.wakes[0][0] <= now:
            self.guarded(None, self.relay.on_wake, heapq.heappop(self.wakes)[2])
        wants, self.wants = self.wants, Wants([], [], [], [], [])
        return wants

    @property
    def due(self) -> int:
        """When to tick next: at once if something waits to be fetched."""
        return self.clock() if any(self.wants) else self.wakes[0][0] if self.wakes else 1 << 62

    def stands(self, number: int, place: int) -> bool:
        """Whether a shot that has not been written yet may still go out as picked."""
        return bool(self.guarded(None, self.asked, number, place))

    def asked(self, number: int, place: int) -> None:
        self.step = Shoot(0, place, 0) if self.relay.stands(number, place) else None

    def guarded(self, failed: Step, call: Callable[..., None], *what: Any) -> Step:
        self.step, self.relay.now = None, self.clock()
        try:
            call(*what)
        except Exception as problem:  # the module's fault must not end the process
            self.faults += 1
            self.step = failed
            self.log(
                f"fault {type(problem).__name__}: {problem}: "
                + " < ".join(
                    f"{frame.name}:{frame.lineno}"
                    for frame in reversed(traceback.extract_tb(problem.__traceback__)[-4:])
                )
            )
        step, self.step, self.at = self.step, None, 0
        return step

    def next(self, invocation: int, step: Step) -> None:
        """Of the call at hand, or of one that was kept until now."""
        if invocation == self.at:
            self.step = step
        else:
            self.wants.steps.append((invocation, step))

    # what the module asks of its host
    def send(self, invocation: int, unit: int, wait: int) -> None:
        self.next(invocation, Shoot(unit, len(self.relay.known[invocation].shots) - 1, wait))

    def cancel(self, invocation: int, shot: int) -> None:
        self.wants.calls_off.append(CallOff(invocation, shot))

    def reject(self, invocation: int, come_back: int) -> None:
        self.next(invocation, Reject(come_back))

    def forfeit(self, invocation: int) -> None:
        self.next(invocation, Forfeit())

    def vote(self, build: int, stage: int, verdict: int) -> None:
        self.wants.votes.append(Vote(build, stage, VERDICTS[verdict]))

    def tell(self, relay: int, data: bytes) -> None:
        self.wants.notes.append(Note(relay, data))

    def wake(self, at: int, token: int) -> None:
        self.waking += 1
        heapq.heappush(self.wakes, (at, self.waking, token))

    def log(self, text: str) -> None:
        self.wants.lines.append(text)
