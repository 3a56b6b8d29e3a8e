"""The backends as one process of a scale run has them: the world's machines, and the attempts that are at them.

Every process has all of them, and each machine queues only what relays of its own process send it; what all relays
together sent to one is read from the merged record.
"""

from collections.abc import Callable
from typing import Any, Protocol

from ...record.lines import Came, Done, Ran, Shot
from ...world.clients import TRY
from ...world.unit import NEVER, Asked, Unit
from ..loopback.trial_setup import TrialSetup
from .director_messages import Backend

Load = dict[str, float] | None


class Attempt(Protocol):
    """What a backend holds: an attempt of a relay, in this process or behind a socket."""

    relay: int
    number: int
    place: int
    name: str

    def answered(self, outcome: str, load: Load) -> None:
        """The backend's answer: served, wrong, error, full or reset."""


class Backends:
    """Takes attempts in, wakes the machines at work and hands on their answers; `fell` is told of one that falls."""

    def __init__(self, setup: TrialSetup, machines: dict[str, Unit], fell: Callable[[str], None]) -> None:
        self.setup, self.machines, self.fell = setup, machines, fell
        self.attempted: Callable[[int, str], None] = lambda relay, name: None  # told before an attempt is recorded
        self.kind, self.works = setup.scenario.kind(), setup.scenario.works()
        self.builds = setup.scenario.builds_by_number()
        self.timers: dict[str, Any] = {}  # backend at work -> when it is woken next
        self.places: dict[int, int] = {}  # request -> its attempts that came here

    def next_place(self, number: int) -> int:
        """A number for an attempt among those of its request."""
        place = self.places[number] = self.places.get(number, -1) + 1
        return place

    def forget(self, number: int) -> None:
        """The request is over."""
        self.places.pop(number, None)

    def running(self, name: str) -> Unit | None:
        machine = self.machines.get(name)
        return machine if machine and not machine.dead else None

    def take(self, attempt: Attempt, request_class: int, wait: int) -> bool:
        """False: nobody is there."""
        machine = self.running(attempt.name)
        if machine is None:
            return False
        now = self.setup.now()
        self.attempted(attempt.relay, attempt.name)
        self.setup.record_line(
            Shot(now, attempt.relay, attempt.number, attempt.place, attempt.name, machine.build.number, wait)
        )
        machine.take(now, Asked(attempt, attempt.number % TRY, request_class))
        self.touch(machine)
        return True

    def stop(self, attempt: Attempt) -> None:
        """Its relay waits no longer."""
        now = self.setup.now()
        self.setup.record_line(Came(now, attempt.relay, attempt.number, attempt.place, "cancelled"))
        machine = self.running(attempt.name)
        if machine:
            machine.stop(now, attempt)
            self.touch(machine)

    def change(self, word: Backend) -> None:
        """A backend comes up, goes, or changes."""
        machine, now = self.machines.get(word.name), self.setup.now()
        if machine and (word.dead or (machine.mark, machine.started) != (word.mark, word.started)):
            del self.machines[word.name]
            machine.die(now)
            self.touch(machine)
            machine = None
        if word.dead:
            return
        if machine is None:
            build = self.builds[word.build]
            machine = Unit(
                word.name,
                word.mark,
                build,
                self.kind,
                word.speed,
                word.zone,
                word.cell,
                word.started,
                self.works,
                self.setup.seed,
            )
            self.machines[word.name] = machine
        if machine.hung != word.hung:
            machine.hang(now, word.hung)
        if machine.slow != word.slow:
            machine.slow_down(now, word.slow)
        machine.errors = word.errors
        if word.draining and not machine.draining:
            machine.drain(now)
        self.touch(machine)

    def touch(self, machine: Unit) -> None:
        """Takes up what a machine said, and when it wants to be woken."""
        now, tell = self.setup.now(), self.setup.record_line
        taken, machine.taken = machine.taken, []
        for attempt, work in taken:
            tell(Ran(now, attempt.relay, attempt.number, attempt.place, machine.name, work))
        said, machine.said = machine.said, []
        for attempt, outcome in said:
            tell(Done(now, attempt.relay, attempt.number, attempt.place, machine.name, outcome))
            came = "served" if outcome == "wrong" else outcome
            tell(Came(now, attempt.relay, attempt.number, attempt.place, came))
            attempt.answered(outcome, machine.load(now) if machine.kind.report_every else None)
        if machine.fell and not machine.told_fallen:
            machine.told_fallen = True
            self.fell(machine.name)
        self.plan(machine)

    def plan(self, machine: Unit) -> None:
        timer, due = self.timers.get(machine.name), machine.due
        if due < NEVER and not machine.dead:
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
            self.touch(machine)
