"""Measures the decisions of one relay alone, without sockets; a process of its own (`python -m` it), for each size that
is a matter of memory.

The same events as on sockets (rig.py), handed to the facade; time is a number that this program moves.
"""

import sys
import time
from collections.abc import Callable
from typing import Any

import msgspec

from ... import notes
from ...choices.live_settings import LiveSettings
from ...facade import Facade, NoteReceived, Outcome, Reject, RolloutState, SendShot, UnitEntry, Units
from ...parts import stable_hash
from ...settings import facts, nested_leaves
from .events import BUILD, EARLIER, PAGE, Setup, judges, of_request, plain, settings, told, trackers
from .points import Axis, Column, Cost, Found, Name, Point, Side

REPEATS = 3  # of each measurement but that of memory
BEATS, REQUESTS, MESSAGES = 6, 200, 500  # of one
SECOND = 10_000  # tenths of a ms
BEAT = SECOND // 2
WAITS = 3 * SECOND
ROUND_TRIP = 20  # tenths of a ms until an answer


def memory_mb() -> float:
    with open("/proc/self/statm") as file:
        return int(file.read().split()[1]) * PAGE / 1e6


def listed(units: int) -> list[UnitEntry]:
    """The same list as on sockets, as the facade has it."""
    builds = (EARLIER if place % 10 else BUILD for place in range(units))
    return [UnitEntry(stable_hash(place) >> 8, build, "open", 0, 0, 1.0, 0) for place, build in enumerate(builds)]


class Alone:
    """One relay's decisions, with a clock of this program's."""

    def __init__(self, setup: Setup) -> None:
        self.setup, self.now = setup, 100 * SECOND
        self.known = facts(nested_leaves(settings(setup)))
        self.facade = Facade(self.known, 7, lambda: self.now)
        self.switch = LiveSettings(self.facade.relay, self.known)
        self.facade.report(RolloutState(BUILD, 0, "on trial", 0.5, 60 * SECOND))
        self.list = listed(setup.units)
        self.facade.report(Units("whole", self.list))
        self.sent = 0

    def change(self, number: int = 0) -> None:
        place = number % len(self.list)
        self.list[place] = self.list[place]._replace(started=self.now)
        self.facade.report(Units("changes", [self.list[place]]))

    def whole(self, number: int = 0) -> None:
        self.facade.report(Units("whole", self.list))

    def reload(self, number: int = 0) -> None:
        self.switch.change(facts(nested_leaves(settings(self.setup, 110 + number % 2))))

    def beat(self, number: int = 0) -> None:
        self.now += BEAT
        self.facade.tick()

    def request(self, step_tenths: int) -> None:
        """One request and all that it sets off; a tracker that is asked names the first."""
        self.now += step_tenths
        self.sent += 1
        name = f"t{self.sent * 7919 % self.setup.tenants}"
        number, step = self.facade.pick(f"w{self.sent % self.setup.classes}", name, "k", self.now + WAITS)
        if step is None:
            self.facade.report(
                NoteReceived(self.facade.relay.load_tracking.tracker_index(), notes.answer_note(number, 0))
            )
            steps = [each for at, each in self.facade.tick().steps if at == number]
            step = steps[0] if steps else None
        if isinstance(step, Reject) or not isinstance(step, SendShot):
            raise ValueError(f"a request got {step}")
        self.now += ROUND_TRIP
        self.facade.report(Outcome(number, step.place, "served"))
        self.facade.tick()

    def hear(self, sender: int, data: bytes) -> None:
        self.facade.report(NoteReceived(sender, data))


def took(act: Callable[[int], Any], many: int) -> list[float]:
    """Milliseconds of processor time, each; of some repeats."""
    found = []
    for repeat in range(REPEATS):
        before = time.process_time()
        for number in range(repeat * many, (repeat + 1) * many):
            act(number)
        found.append(1e3 * (time.process_time() - before) / many)
    return found


class Findings:
    """Says points of one axis."""

    def __init__(self, axis: Axis) -> None:
        self.axis = axis

    def __call__(
        self, name: Name, x: float, values: list[float], cost: Cost = Cost.PROCESSOR, times: float = 1.0
    ) -> None:
        side = Side.CONTROL
        if name in (Name.REQUEST, Name.ASKING):
            side = Side.BOTH
        elif name == Name.REQUESTS:
            side = Side.SERVING
        for value in values:
            point = Point(name, self.axis, Column.FACADE, cost, side, x, value * times)
            sys.stdout.buffer.write(msgspec.json.encode(Found(point)) + b"\n")


def of_units(x: float, found: Findings) -> None:
    one = Alone(Setup(units=int(x), index=plain(13)))
    found(Name.STANDING, x, [memory_mb()], Cost.MEMORY)
    found(Name.IDLE, x, took(one.beat, BEATS), times=2)
    found(Name.CHANGE, x, took(one.change, BEATS))
    found(Name.WHOLE, x, took(one.whole, 1))
    found(Name.RELOAD, x, took(one.reload, 1))
    found(Name.REQUEST, x, took(lambda number: one.request(100), REQUESTS))
    tracker = Alone(Setup(units=int(x), index=trackers(13)[0]))
    numbers = [each.unit for each in tracker.list]
    sender = next(number for number in range(13) if number != tracker.setup.index)

    def track(number: int) -> None:
        tracker.now += 10
        tracker.hear(sender, of_request(number, numbers))
        tracker.facade.tick()

    found(Name.TRACKED, x, took(track, MESSAGES))


def of_tenants(x: float, found: Findings) -> None:
    one = Alone(Setup(tenants=int(x), index=plain(13)))
    found(Name.STANDING, x, [memory_mb()], Cost.MEMORY)
    found(Name.IDLE, x, took(one.beat, BEATS), times=2)
    found(Name.RELOAD, x, took(one.reload, 1))
    found(Name.REQUEST, x, took(lambda number: one.request(100), REQUESTS))


def of_relays(x: float, found: Findings) -> None:
    one = Alone(Setup(relays=int(x), index=plain(int(x))))
    found(Name.STANDING, x, [memory_mb()], Cost.MEMORY)
    found(Name.IDLE, x, took(one.beat, BEATS), times=2)
    judge = Alone(Setup(relays=int(x), index=judges(int(x))[0]))
    for sender in range(int(x)):
        if sender != judge.setup.index:
            for data in told(sender, 1, judge.setup.classes):
                judge.hear(sender, data)
    found(Name.JUDGING, x, [memory_mb()], Cost.MEMORY)
    found(Name.JUDGING, x, took(judge.beat, BEATS), times=2)


def of_requests(x: float, found: Findings) -> None:
    step = max(1, int(SECOND / x) - ROUND_TRIP)
    silent = Alone(Setup(may_tell=False, index=plain(13)))
    found(Name.REQUESTS, x, took(lambda number: silent.request(step), REQUESTS), times=x)
    telling = Alone(Setup(index=plain(13)))
    found(Name.ASKING, x, took(lambda number: telling.request(step), REQUESTS), times=x)


def of_messages(x: float, found: Findings) -> None:
    tracker = Alone(Setup(units=1200, index=trackers(13)[0]))
    senders = [number for number in range(13) if number != tracker.setup.index]
    step = int(SECOND / x)

    def track(number: int) -> None:
        tracker.now += step
        tracker.hear(senders[number // 3 % len(senders)], of_request(number))
        tracker.facade.tick()

    found(Name.TRACKING, x, took(track, MESSAGES), times=x)
    judge = Alone(Setup(relays=1300, index=judges(1300)[0]))
    others = [number for number in range(1300) if number != judge.setup.index]
    messages = [told(number // 2, number, 3)[number % 2] for number in range(REPEATS * MESSAGES)]

    def hear(number: int) -> None:
        judge.now += step
        judge.hear(others[number % len(others)], messages[number])
        judge.facade.tick()

    found(Name.COUNTS, x, took(hear, MESSAGES), times=x)


def in_a_row(name: Name, setup: Setup, act: str) -> Callable[[float, Findings], None]:
    def measure(x: float, found: Findings) -> None:
        found(name, x, took(getattr(Alone(setup), act), int(x)), times=x)

    return measure


MEASURES: dict[Axis, Callable[[float, Findings], None]] = {
    Axis.UNITS: of_units,
    Axis.TENANTS: of_tenants,
    Axis.RELAYS: of_relays,
    Axis.REQUESTS: of_requests,
    Axis.MESSAGES: of_messages,
    Axis.LIST_CHANGES: in_a_row(Name.CHANGES, Setup(units=1200, index=plain(13)), "change"),
    Axis.WHOLE_LISTS: in_a_row(Name.WHOLES, Setup(units=400, index=plain(13)), "whole"),
    Axis.SETTINGS: in_a_row(Name.RELOADS, Setup(index=plain(13)), "reload"),
}


def main(arguments: list[str]) -> None:
    """Arguments: an axis and sizes of it."""
    axis = Axis(arguments[0])
    for x in arguments[1:]:
        MEASURES[axis](float(x), Findings(axis))


if __name__ == "__main__":
    main(sys.argv[1:])
