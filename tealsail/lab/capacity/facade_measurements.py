"""Measures the facade of one relay without sockets, in a process of its own (`python -m` this module).

The facade gets the same events that process_measurements.py sends over sockets; its clock is a number that this program
moves.  Axes that are a matter of memory need a process for each size.
"""

import sys
import time
from collections.abc import Callable
from typing import Any

import msgspec

from ... import peer_messages
from ...choices.live_settings import LiveSettings
from ...facade import Facade, Outcome, PeerMessageReceived, Reject, RolloutState, SendShot, UnitEntry, Units
from ...parts import stable_hash
from ...settings import named_settings, nested_leaves
from ...time_limits import SECOND
from .events import (
    BASELINE_BUILD,
    CANARY_BUILD,
    PAGE_BYTES,
    Setup,
    full_count_messages,
    judge_order,
    plain_relay,
    request_message,
    settings,
    tracker_order,
)
from .points import Activity, Axis, Column, Cost, Point, PointMeasured, Side

REPEATS = 3  # of each measurement of processor time
BEATS = 6  # of one repeat
REQUESTS = 200  # of one repeat
MESSAGES = 500  # of one repeat
BEAT = SECOND // 2  # between two beats, in tenths of a ms
DEADLINE = 3 * SECOND  # of a request, in tenths of a ms
ROUND_TRIP = 20  # tenths of a ms until a unit answers


def memory_mb() -> float:
    """The resident memory of this process; 1 MB = 10^6 bytes."""
    with open("/proc/self/statm") as file:
        return int(file.read().split()[1]) * PAGE_BYTES / 1e6


def unit_entries(units: int) -> list[UnitEntry]:
    """The list of units that the other column gets over a socket, as the facade takes it."""
    builds = (BASELINE_BUILD if place % 10 else CANARY_BUILD for place in range(units))
    return [UnitEntry(stable_hash(place) >> 8, build, "open", 0, 0, 1.0, 0) for place, build in enumerate(builds)]


class SocketlessRelay:
    """The facade of one relay with the clock `now`, in tenths of a ms.

    Methods that take `number` are called with the number of the repetition.
    """

    def __init__(self, setup: Setup) -> None:
        self.setup = setup
        self.now = 100 * SECOND
        self.known = named_settings(nested_leaves(settings(setup)))
        self.facade = Facade(self.known, 7, lambda: self.now)
        self.live_settings = LiveSettings(self.facade.relay, self.known)
        self.facade.report(RolloutState(CANARY_BUILD, 0, "on trial", 0.5, 60 * SECOND))
        self.list = unit_entries(setup.units)
        self.facade.report(Units("whole", self.list))
        self.requests_sent = 0

    def change(self, number: int = 0) -> None:
        """One entry of the list changes: its unit has been restarted."""
        place = number % len(self.list)
        self.list[place] = self.list[place]._replace(started=self.now)
        self.facade.report(Units("changes", [self.list[place]]))

    def whole(self, number: int = 0) -> None:
        """The whole list arrives again."""
        self.facade.report(Units("whole", self.list))

    def reload(self, number: int = 0) -> None:
        """The settings change."""
        self.live_settings.change(named_settings(nested_leaves(settings(self.setup, 110 + number % 2))))

    def beat(self, number: int = 0) -> None:
        """Half a second passes without events."""
        self.now += BEAT
        self.facade.tick()

    def request(self, step_tenths: int) -> None:
        """Sends a request after that time and has a unit serve it; a load tracker that is asked names the first unit.

        Raises ValueError if the request is rejected or gets no unit.
        """
        self.now += step_tenths
        self.requests_sent += 1
        name = f"t{self.requests_sent * 7919 % self.setup.tenants}"
        number, step = self.facade.pick(f"w{self.requests_sent % self.setup.classes}", name, "k", self.now + DEADLINE)
        if step is None:
            self.facade.report(
                PeerMessageReceived(
                    self.facade.relay.load_tracking.tracker_index(), peer_messages.answer_message(number, 0)
                )
            )
            steps = [each for at, each in self.facade.tick().steps if at == number]
            step = steps[0] if steps else None
        if isinstance(step, Reject) or not isinstance(step, SendShot):
            raise ValueError(f"a request got no shot but {step}")
        self.now += ROUND_TRIP
        self.facade.report(Outcome(number, step.shot_number, "served"))
        self.facade.tick()

    def receive(self, sender: int, data: bytes) -> None:
        """A message arrives from the relay with the index `sender`."""
        self.facade.report(PeerMessageReceived(sender, data))


def measure_ms(act: Callable[[int], Any], many: int) -> list[float]:
    """The processor time of one call of `act` in milliseconds, for each repeat of `many` calls."""
    measured = []
    for repeat in range(REPEATS):
        before = time.process_time()
        for number in range(repeat * many, (repeat + 1) * many):
            act(number)
        measured.append(1e3 * (time.process_time() - before) / many)
    return measured


class PointWriter:
    """Writes points of one axis to the standard output."""

    def __init__(self, axis: Axis) -> None:
        self.axis = axis

    def __call__(
        self, name: Activity, x: float, values: list[float], cost: Cost = Cost.PROCESSOR, times: float = 1.0
    ) -> None:
        """Writes a point for each value, multiplied by `times`."""
        side = Side.CONTROL
        if name in (Activity.REQUEST, Activity.TRACKED_REQUEST_SECOND):
            side = Side.BOTH
        elif name == Activity.REQUEST_SECOND:
            side = Side.SERVING
        for value in values:
            point = Point(name, self.axis, Column.FACADE, cost, side, x, value * times)
            sys.stdout.buffer.write(msgspec.json.encode(PointMeasured(point)) + b"\n")


def measure_units(x: float, write: PointWriter) -> None:
    """A relay with `x` units in its list, and a load tracker of as many."""
    relay = SocketlessRelay(Setup(units=int(x), index=plain_relay(13)))
    write(Activity.STANDING_STATE, x, [memory_mb()], Cost.MEMORY)
    write(Activity.IDLE_SECOND, x, measure_ms(relay.beat, BEATS), times=2)
    write(Activity.CHANGED_ENTRY, x, measure_ms(relay.change, BEATS))
    write(Activity.WHOLE_LIST, x, measure_ms(relay.whole, 1))
    write(Activity.SETTINGS_CHANGE, x, measure_ms(relay.reload, 1))
    write(Activity.REQUEST, x, measure_ms(lambda number: relay.request(100), REQUESTS))
    tracker = SocketlessRelay(Setup(units=int(x), index=tracker_order(13)[0]))
    numbers = [each.unit for each in tracker.list]
    sender = next(number for number in range(13) if number != tracker.setup.index)

    def track(number: int) -> None:
        tracker.now += 10
        tracker.receive(sender, request_message(number, numbers))
        tracker.facade.tick()

    write(Activity.TRACKER_MESSAGE, x, measure_ms(track, MESSAGES))


def measure_tenants(x: float, write: PointWriter) -> None:
    """A relay with `x` tenants in its settings."""
    relay = SocketlessRelay(Setup(tenants=int(x), index=plain_relay(13)))
    write(Activity.STANDING_STATE, x, [memory_mb()], Cost.MEMORY)
    write(Activity.IDLE_SECOND, x, measure_ms(relay.beat, BEATS), times=2)
    write(Activity.SETTINGS_CHANGE, x, measure_ms(relay.reload, 1))
    write(Activity.REQUEST, x, measure_ms(lambda number: relay.request(100), REQUESTS))


def measure_relays(x: float, write: PointWriter) -> None:
    """A relay in a fleet of `x`, and a judge that has the counts of all of them."""
    relay = SocketlessRelay(Setup(relays=int(x), index=plain_relay(int(x))))
    write(Activity.STANDING_STATE, x, [memory_mb()], Cost.MEMORY)
    write(Activity.IDLE_SECOND, x, measure_ms(relay.beat, BEATS), times=2)
    judge = SocketlessRelay(Setup(relays=int(x), index=judge_order(int(x))[0]))
    for sender in range(int(x)):
        if sender != judge.setup.index:
            for data in full_count_messages(sender, 1, judge.setup.classes):
                judge.receive(sender, data)
    write(Activity.JUDGE_IDLE_SECOND, x, [memory_mb()], Cost.MEMORY)
    write(Activity.JUDGE_IDLE_SECOND, x, measure_ms(judge.beat, BEATS), times=2)


def measure_requests(x: float, write: PointWriter) -> None:
    """`x` requests a second: without messages between relays, then with a load tracker that is asked."""
    step = max(1, int(SECOND / x) - ROUND_TRIP)
    silent = SocketlessRelay(Setup(may_tell=False, index=plain_relay(13)))
    write(Activity.REQUEST_SECOND, x, measure_ms(lambda number: silent.request(step), REQUESTS), times=x)
    telling = SocketlessRelay(Setup(index=plain_relay(13)))
    write(Activity.TRACKED_REQUEST_SECOND, x, measure_ms(lambda number: telling.request(step), REQUESTS), times=x)


def measure_messages(x: float, write: PointWriter) -> None:
    """`x` messages a second to a load tracker, and to a judge of 1,300 relays."""
    tracker = SocketlessRelay(Setup(units=1200, index=tracker_order(13)[0]))
    senders = [number for number in range(13) if number != tracker.setup.index]
    step = int(SECOND / x)

    def track(number: int) -> None:
        tracker.now += step
        tracker.receive(senders[number // 3 % len(senders)], request_message(number))
        tracker.facade.tick()

    write(Activity.TRACKER_SECOND, x, measure_ms(track, MESSAGES), times=x)
    judge = SocketlessRelay(Setup(relays=1300, index=judge_order(1300)[0]))
    others = [number for number in range(1300) if number != judge.setup.index]
    messages = [full_count_messages(number // 2, number, 3)[number % 2] for number in range(REPEATS * MESSAGES)]

    def count(number: int) -> None:
        judge.now += step
        judge.receive(others[number % len(others)], messages[number])
        judge.facade.tick()

    write(Activity.JUDGE_SECOND, x, measure_ms(count, MESSAGES), times=x)


def series(name: Activity, setup: Setup, act: str) -> Callable[[float, PointWriter], None]:
    """A measurement of `x` calls in a row of the method `act` of a relay."""

    def measure(x: float, write: PointWriter) -> None:
        write(name, x, measure_ms(getattr(SocketlessRelay(setup), act), int(x)), times=x)

    return measure


MEASUREMENTS: dict[Axis, Callable[[float, PointWriter], None]] = {
    Axis.UNITS: measure_units,
    Axis.TENANTS: measure_tenants,
    Axis.RELAYS: measure_relays,
    Axis.REQUEST_RATE: measure_requests,
    Axis.MESSAGE_RATE: measure_messages,
    Axis.LIST_CHANGES: series(Activity.CHANGED_ENTRY_SERIES, Setup(units=1200, index=plain_relay(13)), "change"),
    Axis.WHOLE_LISTS: series(Activity.WHOLE_LIST_SERIES, Setup(units=400, index=plain_relay(13)), "whole"),
    Axis.SETTINGS_CHANGES: series(Activity.SETTINGS_CHANGE_SERIES, Setup(index=plain_relay(13)), "reload"),
}


def main(arguments: list[str]) -> None:
    """Measures along an axis; arguments: the axis, and the sizes of it."""
    axis = Axis(arguments[0])
    for x in arguments[1:]:
        MEASUREMENTS[axis](float(x), PointWriter(axis))


if __name__ == "__main__":
    main(sys.argv[1:])
