"""The backends of one process of a scale run: simulated machines (world/unit.py) and the attempts that they have.

Every process has all backends, and each of them queues only what relays of its own process send it; what all relays
together sent to one is read from the merged record.
"""

from collections.abc import Callable
from typing import Any, Protocol

from ...record.lines import ShotAnswered, ShotEnded, ShotSent, ShotStarted
from ...world.clients import NUMBERS_PER_TRY
from ...world.unit import NEVER, IncomingShot, Unit
from ..loopback.trial_setup import TrialSetup
from .director_messages import BackendState

Load = dict[str, float] | None  # a backend's load report: figures by field; None if it sends none


class Attempt(Protocol):
    """An attempt of a relay at a backend, from this process or over a socket."""

    relay: int
    number: int  # of its request
    index: int  # among the attempts of its request that came to this process
    backend: str

    def on_answer(self, outcome: str, load: Load) -> None:
        """Take the backend's answer: served, wrong, error, full or reset."""


class Backends:
    """Takes attempts, wakes the machines at work and passes on their answers; `on_crash` gets the name of a backend
    that crashes under its load."""

    def __init__(self, setup: TrialSetup, machines: dict[str, Unit], on_crash: Callable[[str], None]) -> None:
        self.setup, self.machines, self.on_crash = setup, machines, on_crash
        # called with relay and backend before an attempt is recorded
        self.on_attempt: Callable[[int, str], None] = lambda relay, name: None
        self.kind, self.works = setup.scenario.kind(), setup.scenario.works()
        self.builds = setup.scenario.builds_by_number()
        self.timers: dict[str, Any] = {}  # by backend: the timer of its next wake-up
        self.last_indexes: dict[int, int] = {}  # by request: the index of its last attempt that came here

    def next_index(self, number: int) -> int:
        """The index of the next attempt of that request."""
        index = self.last_indexes[number] = self.last_indexes.get(number, -1) + 1
        return index

    def forget(self, number: int) -> None:
        """Drop the request's index once the request is over."""
        self.last_indexes.pop(number, None)

    def running(self, name: str) -> Unit | None:
        """The machine of that backend, None if it does not run."""
        machine = self.machines.get(name)
        return machine if machine and not machine.is_dead else None

    def take(self, attempt: Attempt, request_class: int, wait: int) -> bool:
        """Hand an attempt to its backend; False if that does not run.  `wait`: the relay's, in tenths of a ms."""
        machine = self.running(attempt.backend)
        if machine is None:
            return False
        now = self.setup.now()
        self.on_attempt(attempt.relay, attempt.backend)
        self.setup.record_line(
            ShotSent(now, attempt.relay, attempt.number, attempt.index, attempt.backend, machine.build.number, wait)
        )
        machine.take(now, IncomingShot(attempt, attempt.number % NUMBERS_PER_TRY, request_class))
        self.follow_up(machine)
        return True

    def cancel(self, attempt: Attempt) -> None:
        """Stop work on an attempt whose relay waits no longer."""
        now = self.setup.now()
        self.setup.record_line(ShotEnded(now, attempt.relay, attempt.number, attempt.index, "cancelled"))
        machine = self.running(attempt.backend)
        if machine:
            machine.stop(now, attempt)
            self.follow_up(machine)

    def update(self, state: BackendState) -> None:
        """Start, end or change a backend as the director says."""
        machine, now = self.machines.get(state.name), self.setup.now()
        if machine and (state.is_dead or (machine.identity, machine.started) != (state.identity, state.started)):
            del self.machines[state.name]
            machine.die(now)
            self.follow_up(machine)
            machine = None
        if state.is_dead:
            return
        if machine is None:
            build = self.builds[state.build]
            machine = Unit(
                state.name,
                state.identity,
                build,
                self.kind,
                state.speed,
                state.zone,
                state.cell,
                state.started,
                self.works,
                self.setup.seed,
            )
            self.machines[state.name] = machine
        if machine.is_hung != state.is_hung:
            machine.hang(now, state.is_hung)
        if machine.slowdown != state.slowdown:
            machine.set_slowdown(now, state.slowdown)
        machine.errors = state.errors
        if state.is_draining and not machine.is_draining:
            machine.drain(now)
        self.follow_up(machine)

    def follow_up(self, machine: Unit) -> None:
        """Record and pass on what a machine has begun and answered, and schedule its next wake-up."""
        now, record_line = self.setup.now(), self.setup.record_line
        taken, machine.taken = machine.taken, []
        for attempt, work in taken:
            record_line(ShotStarted(now, attempt.relay, attempt.number, attempt.index, machine.name, work))
        outcomes, machine.outcomes = machine.outcomes, []
        for attempt, outcome in outcomes:
            record_line(ShotAnswered(now, attempt.relay, attempt.number, attempt.index, machine.name, outcome))
            seen_outcome = "served" if outcome == "wrong" else outcome  # a relay can't tell a wrong answer
            record_line(ShotEnded(now, attempt.relay, attempt.number, attempt.index, seen_outcome))
            attempt.on_answer(outcome, machine.load(now) if machine.kind.report_every else None)
        if machine.crashed and not machine.crash_reported:
            machine.crash_reported = True
            self.on_crash(machine.name)
        self.schedule(machine)

    def schedule(self, machine: Unit) -> None:
        """Set the timer of the machine's next wake-up."""
        timer, due = self.timers.get(machine.name), machine.due
        if due < NEVER and not machine.is_dead:
            if timer and timer.active():
                timer.reset(self.setup.seconds_until(due))
            else:
                wait = self.setup.seconds_until(due)
                self.timers[machine.name] = self.setup.reactor.callLater(wait, self.wake, machine)
        elif timer:
            del self.timers[machine.name]
            if timer.active():
                timer.cancel()

    def wake(self, machine: Unit) -> None:
        if self.machines.get(machine.name) is machine:
            machine.wake(self.setup.now())
            self.follow_up(machine)
