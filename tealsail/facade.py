"""The decision module as plain calls that return what to do, for code that owns connections.

`Facade.pick` takes an invocation and returns what to do with it.  `Facade.report` takes an event and returns what to do
next with the invocation that it is about, if anything.  `Facade.tick` returns what the module asks for by itself:
votes, messages, shots to cancel, log lines, and steps that had to wait.  It is to be called once `Facade.due` has come.
Nothing is decided here.  Times are whole tenths of a millisecond of the clock handed in.
"""

import heapq
import traceback
from collections.abc import Callable, Iterable
from typing import Any, NamedTuple

from .policy import Relay
from .settings import UNLISTED_CUSTOMER

VERDICTS = ("none", "on", "hold", "back")
PHASES = ("on trial", "going back", "released", "withdrawn")


class SendShot(NamedTuple):
    """Send the invocation to this unit as its shot `shot_number`, from 0, and stop waiting after `wait`.

    A `wait` of 0 lasts until the client stops waiting.
    """

    unit: int
    shot_number: int
    wait: int


class Reject(NamedTuple):
    """Final answer: not done, trying again is harmless (after `retry_after` tenths of a ms; 0: no advice)."""

    retry_after: int


class Forfeit(NamedTuple):
    """Final answer: failed, and nothing is promised about its effect."""


Step = SendShot | Reject | Forfeit | None  # what to do next with an invocation; None: nothing for now


class Outcome(NamedTuple):
    """How shot `shot_number` of invocation `number` ended, and what the unit reported of its load (util, queue).

    Outcomes are served, error, full, timeout, unreachable, reset, cancelled, withheld (its last byte was not sent,
    since the unit's machine had no room for it) and moot.
    """

    number: int
    shot_number: int
    outcome: str
    load: dict[str, float] | None = None


class ClientLeft(NamedTuple):
    """The client of the invocation waits no longer."""

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
    """The state of the newest build: `phase` is one of `PHASES`, `cap` its largest share, and `age` how long so."""

    build: int
    stage: int
    phase: str
    cap: float
    age: int


class VoteAnswered(NamedTuple):
    """The platform's answer to the last vote: ok, moot, full, error or timeout."""

    answer: str


class PeerMessageReceived(NamedTuple):
    """A message from another relay."""

    relay: int
    data: bytes


class WrongAnswer(NamedTuple):
    """A client reports that an answer of this unit was wrong, `age` ago."""

    unit: int
    workload: int
    age: int


class ConfirmedUnits(NamedTuple):
    """The units of an old copy that may still get shots; the others wait for the next list."""

    numbers: frozenset[int]


Event = Outcome | ClientLeft | Units | ConfirmedUnits | RolloutState | VoteAnswered | PeerMessageReceived | WrongAnswer


class Vote(NamedTuple):
    """This relay's one vote; `verdict` is one of `VERDICTS`."""

    build: int
    stage: int
    verdict: str


class PeerMessage(NamedTuple):
    """A message to the relay of that number, or to all of them (-1)."""

    relay: int
    data: bytes


class CancelShot(NamedTuple):
    """Stop waiting for shot `shot_number` of invocation `number`."""

    number: int
    shot_number: int


class Actions(NamedTuple):
    """What the module asks for by itself.

    `lines` are for the log.  `steps` say what to do next with invocations for which `pick` or `report` returned no
    step, because another relay had to be asked.
    """

    votes: list[Vote]
    messages: list[PeerMessage]
    cancellations: list[CancelShot]
    lines: list[str]
    steps: list[tuple[int, Step]]


class Facade:
    """One relay's decisions.

    This is the module's host (tealsail/host.py): what the module asks for while it handles a call is kept and returned.
    An exception of the module is logged, and costs at most the current invocation its answer.
    """

    def __init__(
        self,
        settings: dict[str, Any],
        seed: int,
        clock: Callable[[], int],
        extra_stages: Iterable[Callable[[Relay], Any]] = (),
    ) -> None:
        self.clock = clock
        self.step: Step = None
        self.current = 0  # the invocation that the current call is about
        self.actions = Actions([], [], [], [], [])
        self.wake_ups: list[tuple[int, int, int]] = []  # a heap: when, in what order, token
        self.taken = self.wake_count = self.faults = 0  # invocations, wake-ups asked for, exceptions of the module
        self.workloads = {each["name"]: index for index, each in enumerate(settings.get("workloads", []))}
        self.customers = {each["name"]: index for index, each in enumerate(settings.get("customers", []))}
        self.relay = Relay(self, settings, seed, clock())
        for make_stage in extra_stages:  # stages of other choices (tealsail/choices/)
            self.relay.add_stage(make_stage(self.relay))

    def pick(
        self, workload: str, customer: str, key: str | None, deadline: int, work: int = 0, repeat: bool = False
    ) -> tuple[int, Step]:
        """Takes an invocation; returns its number from now on, and what to do with it.

        The step is None where it will come out of `tick`.  `deadline` is when the client stops waiting; `work` is 0
        where nothing is known of it; `repeat` says that the client marked it as a repeat.  Raises KeyError for a
        workload that the settings do not name.
        """
        self.taken += 1
        self.current = self.taken
        return self.taken, self.call_module(
            Forfeit(),
            self.relay.on_invocation,
            self.taken,
            self.workloads[workload],
            self.customer_index(customer),
            key,
            deadline,
            work,
            repeat,
        )

    def customer_index(self, customer: str) -> int:
        """The customer's index; customers that the settings do not name share one, which is no other's."""
        return self.customers.get(customer, self.customers.get(UNLISTED_CUSTOMER, 0))

    def effect(self, workload: str) -> str:
        """What a repeat of a request of that workload does: harmless, stamped or one-shot."""
        return self.relay.workloads[self.workloads[workload]].effect

    def report(self, event: Event) -> Step:
        """Takes an event; returns the next step of the invocation that an outcome is about."""
        relay = self.relay
        match event:
            case Outcome(number, shot_number, outcome, load):
                shots = relay.known[number].shots if number in relay.known else []
                latency = self.clock() - shots[shot_number].sent_at if shot_number < len(shots) else 0
                self.current = number
                return self.call_module(
                    Forfeit(), relay.on_outcome, number, shot_number, outcome, outcome == "served", latency, load
                )
            case ClientLeft(number):
                return self.call_module(None, relay.on_abandoned, number)
            case Units(kind, entries):
                return self.call_module(None, relay.on_list, kind, entries)
            case ConfirmedUnits(numbers):
                return self.call_module(None, relay.restrict_units, numbers)
            case RolloutState(build, stage, phase, cap, age):
                return self.call_module(None, relay.on_stage, build, stage, PHASES.index(phase), cap, age)
            case VoteAnswered(answer):
                return self.call_module(None, relay.on_vote_answer, answer)
            case PeerMessageReceived(sender, data):
                return self.call_module(None, relay.on_peer_message, sender, data)
            case WrongAnswer(unit, workload, age):
                return self.call_module(None, relay.on_wrong_answer, unit, workload, age)

    def tick(self) -> Actions:
        """Returns what the module asks for by itself; to be called once `due` has come."""
        now = self.clock()
        while self.wake_ups and self.wake_ups[0][0] <= now:
            self.call_module(None, self.relay.on_wake, heapq.heappop(self.wake_ups)[2])
        actions, self.actions = self.actions, Actions([], [], [], [], [])
        return actions

    @property
    def due(self) -> int:
        """When to call `tick` next: at once if something waits to be fetched."""
        return self.clock() if any(self.actions) else self.wake_ups[0][0] if self.wake_ups else 1 << 62

    def why_stop(self, number: int, shot_number: int, waited: int) -> str | None:
        """The outcome with which a shot ends whose last byte has not been sent; None: it may go on waiting.

        `waited` is the time since its connection was ready.
        """
        reasons: list[str | None] = ["moot"]  # where the module fails
        self.call_module(None, lambda: reasons.append(self.relay.why_stop(number, shot_number, waited)))
        return reasons[-1]

    def may_still_send(self, number: int, shot_number: int) -> bool:
        """Whether the last byte of a shot may be sent now; if so, the shot counts as sent."""
        return bool(self.call_module(None, self.check_may_still_send, number, shot_number))

    def check_may_still_send(self, number: int, shot_number: int) -> None:
        """Leaves a step, any one, if the shot may still be sent."""
        self.step = SendShot(0, shot_number, 0) if self.relay.may_still_send(number, shot_number) else None

    def call_module(self, failed: Step, call: Callable[..., None], *arguments: Any) -> Step:
        """Calls the module at the current time and returns the step that it left; `failed` if it raised."""
        self.step, self.relay.now = None, self.clock()
        try:
            call(*arguments)
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
        step, self.step, self.current = self.step, None, 0
        return step

    def leave_step(self, invocation: int, step: Step) -> None:
        """Keeps a step for the current call to return, or for `tick` if it is of another invocation."""
        if invocation == self.current:
            self.step = step
        else:
            self.actions.steps.append((invocation, step))

    # The calls of the `Host` protocol, described in tealsail/host.py.

    def send(self, invocation: int, unit: int, wait: int) -> None:
        self.leave_step(invocation, SendShot(unit, len(self.relay.known[invocation].shots) - 1, wait))

    def cancel(self, invocation: int, shot_number: int) -> None:
        self.actions.cancellations.append(CancelShot(invocation, shot_number))

    def reject(self, invocation: int, retry_after: int) -> None:
        self.leave_step(invocation, Reject(retry_after))

    def forfeit(self, invocation: int) -> None:
        self.leave_step(invocation, Forfeit())

    def vote(self, build: int, stage: int, verdict: int) -> None:
        self.actions.votes.append(Vote(build, stage, VERDICTS[verdict]))

    def send_message(self, relay: int, data: bytes) -> None:
        self.actions.messages.append(PeerMessage(relay, data))

    def wake(self, at: int, token: int) -> None:
        self.wake_count += 1
        heapq.heappush(self.wake_ups, (at, self.wake_count, token))

    def log(self, text: str) -> None:
        self.actions.lines.append(text)
