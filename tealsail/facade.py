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


class SendShot(NamedTuple):
    """Send it to this unit as its shot number `place`, and stop waiting after `wait`."""

    unit: int
    place: int
    wait: int


class Reject(NamedTuple):
    """Final answer: not done, trying again is harmless (after `come_back`, 0: no advice)."""

    come_back: int


class Forfeit(NamedTuple):
    """Final answer: failed, nothing is promised."""


Step = SendShot | Reject | Forfeit | None


class Outcome(NamedTuple):
    """How a shot ended: served, error, full, timeout, unreachable, reset, cancelled or moot."""

    number: int
    place: int
    outcome: str
    load: dict[str, float] | None = None


class ClientLeft(NamedTuple):
    """The client waits no longer."""

    number: int


class UnitEntry(NamedTuple):
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
    entries: list[UnitEntry]


class RolloutState(NamedTuple):
    """Where the newest build stands, and for how long already."""

    build: int
    stage: int
    phase: str
    cap: float
    age: int


class VoteAnswered(NamedTuple):
    """What came of the last vote: ok, moot, full, error or timeout."""

    answer: str


class NoteReceived(NamedTuple):
    """A note from another relay."""

    relay: int
    data: bytes


class WrongAnswer(NamedTuple):
    """A client found an answer of this unit wrong."""

    unit: int
    workload: int
    age: int


News = Outcome | ClientLeft | Units | RolloutState | VoteAnswered | NoteReceived | WrongAnswer


class Vote(NamedTuple):
    build: int
    stage: int
    verdict: str


class Note(NamedTuple):
    """To the relay of that number, or to all of them (-1)."""

    relay: int
    data: bytes


class CancelShot(NamedTuple):
    number: int
    place: int


class Actions(NamedTuple):
    """`steps`: what to do next with invocations that `pick` or `report` returned no step for (another relay was
    asked)."""

    votes: list[Vote]
    notes: list[Note]
    cancellations: list[CancelShot]
    lines: list[str]
    steps: list[tuple[int, Step]]


class Facade:
    """One relay's decisions.  It is the module's host (tealsail/host.py): what the module asks for while
    it handles a call is kept and returned.  An exception of the module is logged and costs at most the
    invocation at hand its answer."""

    def __init__(
        self,
        facts: dict[str, Any],
        seed: int,
        clock: Callable[[], int],
        extra_stages: Iterable[Callable[[Relay], Any]] = (),
    ) -> None:
        self.clock = clock
        self.step: Step = None
        self.at = 0  # the invocation that the call at hand is about
        self.actions = Actions([], [], [], [], [])
        self.wake_ups: list[tuple[int, int, int]] = []  # when, in what order, token
        self.count = self.waking = self.faults = 0
        self.workloads = {each["name"]: place for place, each in enumerate(facts.get("workloads", []))}
        self.customers = {each["name"]: place for place, each in enumerate(facts.get("customers", []))}
        self.relay = Relay(self, facts, seed, clock())
        for seat in extra_stages:  # stages of other choices (tealsail/choices/)
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
            case ClientLeft(number):
                return self.guarded(None, relay.on_abandoned, number)
            case Units(kind, entries):
                return self.guarded(None, relay.on_list, kind, entries)
            case RolloutState(build, stage, phase, cap, age):
                return self.guarded(None, relay.on_stage, build, stage, PHASES.index(phase), cap, age)
            case VoteAnswered(answer):
                return self.guarded(None, relay.on_vote_answer, answer)
            case NoteReceived(sender, data):
                return self.guarded(None, relay.on_note, sender, data)
            case WrongAnswer(unit, workload, age):
                return self.guarded(None, relay.on_wrong_answer, unit, workload, age)

    def tick(self) -> Actions:
        """What the module wants by itself; call it once `due` has come."""
        now = self.clock()
        while self.wake_ups and self.wake_ups[0][0] <= now:
            self.guarded(None, self.relay.on_wake, heapq.heappop(self.wake_ups)[2])
        actions, self.actions = self.actions, Actions([], [], [], [], [])
        return actions

    @property
    def due(self) -> int:
        """When to tick next: at once if something waits to be fetched."""
        return self.clock() if any(self.actions) else self.wake_ups[0][0] if self.wake_ups else 1 << 62

    def may_still_send(self, number: int, place: int) -> bool:
        """Whether a shot that has not been written yet may still go out as picked."""
        return bool(self.guarded(None, self.asked, number, place))

    def asked(self, number: int, place: int) -> None:
        self.step = SendShot(0, place, 0) if self.relay.may_still_send(number, place) else None

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
            self.actions.steps.append((invocation, step))

    # what the module asks of its host
    def send(self, invocation: int, unit: int, wait: int) -> None:
        self.next(invocation, SendShot(unit, len(self.relay.known[invocation].shots) - 1, wait))

    def cancel(self, invocation: int, shot: int) -> None:
        self.actions.cancellations.append(CancelShot(invocation, shot))

    def reject(self, invocation: int, come_back: int) -> None:
        self.next(invocation, Reject(come_back))

    def forfeit(self, invocation: int) -> None:
        self.next(invocation, Forfeit())

    def vote(self, build: int, stage: int, verdict: int) -> None:
        self.actions.votes.append(Vote(build, stage, VERDICTS[verdict]))

    def send_note(self, relay: int, data: bytes) -> None:
        self.actions.notes.append(Note(relay, data))

    def wake(self, at: int, token: int) -> None:
        self.waking += 1
        heapq.heappush(self.wake_ups, (at, self.waking, token))

    def log(self, text: str) -> None:
        self.actions.lines.append(text)
