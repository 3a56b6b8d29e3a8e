"""Measures one real relay on loopback at many sizes, in a process of its own (`python -m` this module).

The process writes its reports to the standard output, a JSON object a line.  Each measurement starts a relay, reads its
processor time, memory, bytes and datagrams over a window, and ends it.  What the window would have cost without the
events in it is subtracted.  The process ends when all is measured, when its standard input is closed, and at the latest
after MAX_RUN_TIME seconds.
"""

import os
import resource
import sys
import tempfile
import time
from collections.abc import Awaitable, Callable
from functools import partial
from pathlib import Path
from typing import Any, NamedTuple

import msgspec
from twisted.internet.defer import Deferred
from twisted.internet.task import deferLater

from .events import (
    SIZES,
    STATE_AXES,
    Setup,
    full_count_messages,
    judge_order,
    plain_relay,
    relay_decisions,
    request_message,
    settings,
    tracker_order,
)
from .measured_relay import MeasuredRelay, configuration, save
from .points import Activity, Axis, Column, Cost, Disturbed, Point, PointMeasured, Problem, Progress, ReportLine, Side
from .stand_ins import (
    HOST,
    MAX_CLIENT_CONNECTIONS,
    Clients,
    Count,
    ListStandIn,
    Meter,
    Peers,
    PlatformStandIn,
    UnitsStandIn,
    free_port,
)

STEAL_COLUMN = 8  # of a processor's row in /proc/stat
MAX_RUN_TIME = 290.0  # seconds
MAX_DESCRIPTORS = 8_192  # of this process
RESPONSE_TIMEOUT = 15.0  # seconds until a relay serves, or has taken a list or settings
START_PAUSE = 0.5  # seconds after a start
SETTLE_TIME = 0.3  # seconds after events, until the work that they cause is done
IDLE_WINDOW = 2.0  # seconds without events
LOAD_WINDOW = 1.5  # seconds of requests or messages
EVENT_WINDOW = 0.5  # seconds with a few events, at least
CHANGED_ENTRIES = 10  # of a window
CLIENT_CONNECTIONS = 8  # where it is not the rate of requests that grows
CLIENT_RATE = 80.0  # requests a second, where it is not the rate that grows
OUT_OF_TIME = "out of time: later measurements have fewer repeats, or none"
SEND_INTERVAL = 0.001  # seconds between two checks of how many messages are due
MAX_STOLEN = 0.05  # of a window's processor time, taken by the machine's host: above it the window is measured again
MAX_TRIES = 2  # of a window
LISTENING_JUDGES = 4  # the judges and the next in the order
MIN_SERVED = 0.9  # of the requests of a window: with fewer served there is no point
CHANGE_SERIES_UNITS = 1200  # in the list, for a series of changed entries
WHOLE_SERIES_UNITS = 400  # in the list, for a series of whole lists


Report = Callable[[ReportLine], None]


class Reading(NamedTuple):
    """A relay's processor time and traffic so far, at a monotonic time in seconds.

    `stolen` is how many seconds of this process's processors the machine's host has given to others.
    """

    at: float
    processor_ms: float
    stolen: float
    counts: dict[Count, int]


class Window(NamedTuple):
    """What a span of time cost beyond that of an idle relay.

    `stolen` is the fraction of the time that the machine's host gave to others; `result` is what the workload returned.
    """

    seconds: float
    processor_ms: float
    stolen: float
    counts: dict[Count, int]
    result: Any


class Testbed:
    """One measured relay and the stand-ins around it."""

    def __init__(self, reactor: Any, setup: Setup, folder: Path) -> None:
        self.reactor, self.setup = reactor, setup
        self.meter = Meter()
        self.units = UnitsStandIn(reactor, self.meter)
        self.list = ListStandIn(reactor, self.meter, setup.units, self.units.address())
        self.platform = PlatformStandIn(reactor, self.meter)
        everyone = f"{HOST}:{free_port()}"
        self.peers = Peers(reactor, self.meter, setup.relays, setup.index, everyone)
        self.listen = f"{HOST}:{free_port()}"
        self.path = folder / "relay.json"
        addresses = {"list": self.list.address(), "platform": self.platform.address(), "everyone": everyone}
        save(self.path, configuration(setup, self.listen, addresses, self.peers.addresses))
        self.clients = Clients(reactor, self.meter, self.listen, setup.tenants, setup.classes)
        self.relay = MeasuredRelay(reactor, self.path)
        self.idle_ms = 0.0  # processor time of a second without events
        self.stolen = 0.0  # the largest stolen fraction of a window that was kept

    async def begin(self) -> None:
        """Waits until the relay serves, has its list of units and its connections."""
        decisions = relay_decisions(self.setup.relays)
        listening = (
            [*decisions.load_tracking.order, *decisions.judge.order[:LISTENING_JUDGES]] if self.setup.may_tell else []
        )
        for number in listening:
            if number != self.setup.index:
                self.peers.open(number)
        await self.within(self.relay.wait_for_log(b"serving name="), RESPONSE_TIMEOUT)
        self.list.relay_watches = Deferred()
        await self.within(self.list.relay_watches, RESPONSE_TIMEOUT)
        await self.wait(START_PAUSE)

    def within(self, awaited: Deferred, seconds: float) -> Deferred:
        """The same Deferred, which fails with TimeoutError after that time."""
        return awaited.addTimeout(seconds, self.reactor)

    def wait(self, seconds: float) -> Deferred:
        """Fires after that time."""
        return deferLater(self.reactor, seconds, lambda: None)

    def read(self) -> Reading:
        """The counters as they are now."""
        return Reading(time.monotonic(), self.relay.processor_ms(), stolen_seconds(), dict(self.meter.counts))

    def since(self, before: Reading, result: Any) -> Window:
        """What the time since a reading has cost."""
        now = self.read()
        seconds = now.at - before.at
        counts = {count: many - before.counts.get(count, 0) for count, many in now.counts.items()}
        processor = now.processor_ms - before.processor_ms - self.idle_ms * seconds
        return Window(seconds, processor, (now.stolen - before.stolen) / seconds, counts, result)

    async def window(self, play: Callable[[], Awaitable]) -> Window:
        """Plays a workload and returns the cost of the window.

        It is played again if the machine's host takes too much time, since the system does not count processor time
        well then.  The window with the smallest stolen fraction is kept.
        """
        windows: list[Window] = []
        while len(windows) < MAX_TRIES and (not windows or windows[-1].stolen > MAX_STOLEN):
            before = self.read()
            result = await play()
            windows.append(self.since(before, result))
        least_disturbed = min(windows, key=lambda each: each.stolen)
        self.stolen = max(self.stolen, least_disturbed.stolen)
        return least_disturbed

    async def idle(self) -> dict[Count, float]:
        """Measures a window without events, whose processor time a second is subtracted from all later windows.

        Returns the traffic of a second.
        """
        self.idle_ms = 0.0
        window = await self.window(lambda: self.wait(IDLE_WINDOW))
        self.idle_ms = window.processor_ms / window.seconds
        return {count: many / window.seconds for count, many in window.counts.items()}

    async def warm_up(self) -> None:
        """Opens the connections of clients, and sends requests so that those to units are open, too."""
        await self.clients.connect(CLIENT_CONNECTIONS)
        await self.clients.play(CLIENT_RATE, SETTLE_TIME)
        await self.wait(SETTLE_TIME)

    async def change(self) -> None:
        """Sends one changed entry of the list, and waits until the relay has taken it."""
        await self.within(self.list.change(int(time.time() * 1000)), RESPONSE_TIMEOUT)

    async def whole(self) -> None:
        """Sends the whole list, and waits until the relay has taken it."""
        await self.within(self.list.whole(), RESPONSE_TIMEOUT)

    async def reload(self, advice_ms: int) -> None:
        """Changes the settings, and waits until the relay has taken them."""
        tree = msgspec.json.decode(self.path.read_bytes())
        save(self.path, tree | {"settings": settings(self.setup, advice_ms)})
        taken = self.relay.wait_for_log(b"configuration ")
        self.relay.signal("HUP")
        await self.within(taken, RESPONSE_TIMEOUT)

    async def end(self) -> None:
        """Kills the relay and closes all stand-ins."""
        self.clients.close()
        self.relay.signal("KILL")
        await self.relay.ended
        for part in (self.list, self.platform, self.units, self.peers):
            part.close()


def stolen_seconds() -> float:
    """How much time of the processors that this process may use the machine's host has given to others so far."""
    allowed = {f"cpu{number}" for number in os.sched_getaffinity(0)}
    rows = (row.split() for row in Path("/proc/stat").read_text().splitlines())
    return sum(int(row[STEAL_COLUMN]) for row in rows if row[0] in allowed) / os.sysconf("SC_CLK_TCK")


class ProcessMeasurements:
    """The measurements of a run, with one testbed at a time; `report` takes their results."""

    def __init__(self, reactor: Any, report: Report) -> None:
        self.reactor, self.report = reactor, report
        self.testbed: Testbed | None = None
        self.title = ""  # of the measurement under way
        self.is_ending = False  # the run is to end, perhaps before all is measured

    async def run(self, plan: list["Measurement"]) -> None:
        """Makes all measurements of a plan; one that fails is reported as a problem, and the others go on."""
        for done, measurement in enumerate(plan):
            self.title = f"{measurement.title} {measurement.x:g}"
            self.report(Progress(done, len(plan), self.title))
            try:
                await measurement.call(self, measurement.x)
            except Exception as problem:
                if self.is_ending:
                    return
                self.report(Problem(f"{self.title}: {type(problem).__name__}: {problem}"))
            finally:
                await self.end()
        self.report(Progress(len(plan), len(plan), "done"))

    async def begin(self, setup: Setup) -> Testbed:
        """Starts a testbed."""
        self.folder = tempfile.TemporaryDirectory(prefix="capacity-")
        self.testbed = Testbed(self.reactor, setup, Path(self.folder.name))
        await self.testbed.begin()
        return self.testbed

    async def end(self) -> None:
        """Ends the testbed, if there is one, and reports whether the machine's host disturbed it."""
        testbed, self.testbed = self.testbed, None
        if testbed:
            if testbed.stolen > MAX_STOLEN:
                self.report(Disturbed(f"{self.title}: the host took {testbed.stolen:.0%} of a window"))
            await testbed.end()
            self.folder.cleanup()

    def report_point(self, name: Activity, axis: Axis, cost: Cost, side: Side, x: float, value: float) -> None:
        """Reports one measured point."""
        self.report(PointMeasured(Point(name, axis, Column.PROCESS, cost, side, x, value)))

    def report_traffic(
        self, name: Activity, axis: Axis, x: float, counts: dict[Count, float], divisor: float = 1.0
    ) -> None:
        """Reports bytes and datagrams, divided by `divisor`."""
        for (side, cost), many in sorted(counts.items()):
            self.report_point(name, axis, cost, side, x, many / divisor)

    async def measure_at_rest(self, testbed: Testbed, axis: Axis, x: float) -> None:
        """Measures the memory and an idle second."""
        self.report_point(Activity.STANDING_STATE, axis, Cost.MEMORY, Side.CONTROL, x, testbed.relay.memory_mb())
        counts = await testbed.idle()
        self.report_point(Activity.IDLE_SECOND, axis, Cost.PROCESSOR, Side.CONTROL, x, testbed.idle_ms)
        self.report_traffic(Activity.IDLE_SECOND, axis, x, counts)

    async def measure_events(
        self, testbed: Testbed, name: Activity, axis: Axis, x: float, acts: list[Callable[[], Awaitable]]
    ) -> None:
        """Measures what each of some events costs, all in one window of whole beats."""

        async def play() -> None:
            until = time.monotonic() + EVENT_WINDOW
            for act in acts:
                await act()
            await testbed.wait(max(SETTLE_TIME, until - time.monotonic()))

        window = await testbed.window(play)
        counts = window.counts
        self.report_point(name, axis, Cost.PROCESSOR, Side.CONTROL, x, window.processor_ms / len(acts))
        if name == Activity.SETTINGS_CHANGE:  # the relay reads the file, which no meter counts
            counts = {Count(Side.CONTROL, Cost.BYTES_IN): len(acts) * testbed.path.stat().st_size}
        bytes_only = {count: many for count, many in counts.items() if count.cost in (Cost.BYTES_IN, Cost.BYTES_OUT)}
        self.report_traffic(name, axis, x, bytes_only, len(acts))

    async def measure_requests(
        self, testbed: Testbed, name: Activity, axis: Axis, x: float, rate: float, per_second: bool
    ) -> None:
        """Measures requests at that rate: the cost of a second of them, or of each."""
        side = Side.BOTH if testbed.setup.may_tell else Side.SERVING
        await testbed.clients.connect(MAX_CLIENT_CONNECTIONS if per_second else CLIENT_CONNECTIONS)
        seconds = LOAD_WINDOW if per_second else 1.0

        async def play() -> int:
            before = testbed.clients.served
            await testbed.clients.play(rate, seconds)
            await testbed.wait(SETTLE_TIME)
            return testbed.clients.served - before

        window = await testbed.window(play)
        served = window.result
        if served < MIN_SERVED * round(rate * seconds):
            return self.report(Problem(f"{name} at {axis} {x:g}: {served} served of {rate * seconds:g}; no point"))
        divisor = served / rate if per_second else float(served)
        self.report_point(name, axis, Cost.PROCESSOR, side, x, window.processor_ms / divisor)
        self.report_traffic(name, axis, x, window.counts, divisor)

    async def measure_units(self, x: float) -> None:
        """Measures a relay with `x` units in its list."""
        testbed = await self.begin(Setup(units=int(x), index=plain_relay(13)))
        await self.measure_at_rest(testbed, Axis.UNITS, x)
        await self.measure_events(testbed, Activity.CHANGED_ENTRY, Axis.UNITS, x, [testbed.change] * CHANGED_ENTRIES)
        await self.measure_events(testbed, Activity.WHOLE_LIST, Axis.UNITS, x, [testbed.whole] * 2)
        reloads = [lambda advice_ms=advice_ms: testbed.reload(advice_ms) for advice_ms in (110, 120)]
        await self.measure_events(testbed, Activity.SETTINGS_CHANGE, Axis.UNITS, x, reloads)
        await testbed.warm_up()
        await self.measure_requests(testbed, Activity.REQUEST, Axis.UNITS, x, CLIENT_RATE, False)

    async def measure_tenants(self, x: float) -> None:
        """Measures a relay with `x` tenants in its settings."""
        testbed = await self.begin(Setup(tenants=int(x), index=plain_relay(13)))
        await self.measure_at_rest(testbed, Axis.TENANTS, x)
        reloads = [lambda advice_ms=advice_ms: testbed.reload(advice_ms) for advice_ms in (110, 120)]
        await self.measure_events(testbed, Activity.SETTINGS_CHANGE, Axis.TENANTS, x, reloads)
        await testbed.warm_up()
        await self.measure_requests(testbed, Activity.REQUEST, Axis.TENANTS, x, CLIENT_RATE, False)

    async def measure_relays(self, x: float) -> None:
        """Measures a relay in a fleet of `x`: one that is neither judge nor tracker, then a judge with all counts."""
        testbed = await self.begin(Setup(relays=int(x), index=plain_relay(int(x))))
        await self.measure_at_rest(testbed, Axis.RELAYS, x)
        await self.end()
        testbed = await self.begin(Setup(relays=int(x), index=judge_order(int(x))[0]))
        for sender in range(int(x)):
            for data in full_count_messages(sender, 1, testbed.setup.classes):
                if sender != testbed.setup.index:
                    testbed.peers.open(sender).send(data)
            if sender % 20 == 19:  # stays below the messages a second that a judge accepts
                await testbed.wait(0.02)
        await testbed.wait(START_PAUSE)
        self.report_point(
            Activity.JUDGE_IDLE_SECOND, Axis.RELAYS, Cost.MEMORY, Side.CONTROL, x, testbed.relay.memory_mb()
        )
        counts = await testbed.idle()
        self.report_point(Activity.JUDGE_IDLE_SECOND, Axis.RELAYS, Cost.PROCESSOR, Side.CONTROL, x, testbed.idle_ms)
        self.report_traffic(Activity.JUDGE_IDLE_SECOND, Axis.RELAYS, x, counts)

    async def measure_request_rates(self, x: float) -> None:
        """Measures rates of requests up to `x`, without messages between relays, then with a load tracker asked."""
        for name, may_tell in ((Activity.REQUEST_SECOND, False), (Activity.TRACKED_REQUEST_SECOND, True)):
            testbed = await self.begin(Setup(may_tell=may_tell, index=plain_relay(13)))
            await testbed.idle()
            await testbed.warm_up()
            for rate in sizes_up_to(Axis.REQUEST_RATE, x):
                await self.measure_requests(testbed, name, Axis.REQUEST_RATE, rate, rate, True)
            await self.end()

    async def measure_message_rates(self, x: float) -> None:
        """Measures rates of messages up to `x`: to a load tracker, and to a judge of 1,300 relays."""
        testbed = await self.begin(Setup(units=1200, index=tracker_order(13)[0]))
        await self.measure_messages(testbed, Activity.TRACKER_SECOND, x, request_message)
        await self.end()
        testbed = await self.begin(Setup(relays=1300, index=judge_order(1300)[0]))
        await self.measure_messages(
            testbed, Activity.JUDGE_SECOND, x, lambda number: full_count_messages(number // 2, number, 3)[number % 2]
        )

    async def measure_messages(
        self, testbed: Testbed, name: Activity, highest: float, data: Callable[[int], bytes]
    ) -> None:
        """Measures rates of messages up to the highest, sent by all other relays in turn.

        `data` makes the message with a number.
        """
        relays, index = testbed.setup.relays, testbed.setup.index
        senders = [testbed.peers.open(number) for number in range(relays) if number != index]
        await testbed.idle()
        sent = 0

        async def play(rate: float) -> None:
            nonlocal sent
            begun, first, total = time.monotonic(), sent, round(rate * LOAD_WINDOW)
            while sent < first + total:
                due = min(total, int((time.monotonic() - begun) * rate) + 1)
                while sent < first + due:
                    senders[sent // 3 % len(senders)].send(data(sent))
                    sent += 1
                await testbed.wait(SEND_INTERVAL)
            await testbed.wait(SETTLE_TIME)

        for rate in sizes_up_to(Axis.MESSAGE_RATE, highest):
            window = await testbed.window(partial(play, rate))
            self.report_point(
                name, Axis.MESSAGE_RATE, Cost.PROCESSOR, Side.CONTROL, rate, window.processor_ms / LOAD_WINDOW
            )
            self.report_traffic(name, Axis.MESSAGE_RATE, rate, window.counts, LOAD_WINDOW)

    async def measure_series(self, testbed: Testbed, name: Activity, axis: Axis, most: float, act: Callable) -> None:
        """Measures series of up to `most` events, one after the other: what all events of a series cost together."""
        await testbed.idle()

        async def play(many: float) -> None:
            for number in range(int(many)):
                await act(number)
            await testbed.wait(SETTLE_TIME)

        for many in sizes_up_to(axis, most):
            window = await testbed.window(partial(play, many))
            self.report_point(name, axis, Cost.PROCESSOR, Side.CONTROL, many, window.processor_ms)
            self.report_traffic(name, axis, many, window.counts)
            self.report_point(name, axis, Cost.MEMORY, Side.CONTROL, many, testbed.relay.memory_mb())

    async def measure_list_changes(self, x: float) -> None:
        """Measures series of up to `x` changed entries."""
        testbed = await self.begin(Setup(units=CHANGE_SERIES_UNITS, index=plain_relay(13)))
        await self.measure_series(
            testbed, Activity.CHANGED_ENTRY_SERIES, Axis.LIST_CHANGES, x, lambda number: testbed.change()
        )

    async def measure_whole_lists(self, x: float) -> None:
        """Measures series of up to `x` whole lists."""
        testbed = await self.begin(Setup(units=WHOLE_SERIES_UNITS, index=plain_relay(13)))
        await self.measure_series(
            testbed, Activity.WHOLE_LIST_SERIES, Axis.WHOLE_LISTS, x, lambda number: testbed.whole()
        )

    async def measure_settings_changes(self, x: float) -> None:
        """Measures series of up to `x` changes of settings."""
        testbed = await self.begin(Setup(index=plain_relay(13)))
        await self.measure_series(
            testbed,
            Activity.SETTINGS_CHANGE_SERIES,
            Axis.SETTINGS_CHANGES,
            x,
            lambda number: testbed.reload(110 + number % 2),
        )


class Measurement(NamedTuple):
    """One measurement of the plan, at size `x` or, where one process measures several sizes, up to it."""

    title: str
    x: float
    call: Callable[[ProcessMeasurements, float], Awaitable[None]]


MEASUREMENTS: dict[Axis, Callable[[ProcessMeasurements, float], Awaitable[None]]] = {
    Axis.UNITS: ProcessMeasurements.measure_units,
    Axis.TENANTS: ProcessMeasurements.measure_tenants,
    Axis.RELAYS: ProcessMeasurements.measure_relays,
    Axis.REQUEST_RATE: ProcessMeasurements.measure_request_rates,
    Axis.MESSAGE_RATE: ProcessMeasurements.measure_message_rates,
    Axis.LIST_CHANGES: ProcessMeasurements.measure_list_changes,
    Axis.WHOLE_LISTS: ProcessMeasurements.measure_whole_lists,
    Axis.SETTINGS_CHANGES: ProcessMeasurements.measure_settings_changes,
}


def sizes_up_to(axis: Axis, most: float) -> list[float]:
    """The sizes of an axis that are measured with one relay process."""
    return [x for x in SIZES[axis] if x <= most]


def plan(axes: list[Axis], repeats: int, points: int) -> list[Measurement]:
    """The measurements of the first `points` sizes of each axis.

    All are made once, then all again, so that a drift of the machine shows as a spread between repeats.
    """
    return [
        Measurement(str(axis), x, MEASUREMENTS[axis])
        for _ in range(repeats)
        for axis in axes
        for x in (SIZES[axis][:points] if axis in STATE_AXES else SIZES[axis][points - 1 : points])
    ]


def main(arguments: list[str]) -> None:
    """Runs the measurements; arguments: seconds, repeats, points of a slope, and the axes (none: all)."""
    from twisted.internet import reactor
    from twisted.internet.protocol import Protocol
    from twisted.internet.stdio import StandardIO

    soft_limit, hard_limit = resource.getrlimit(resource.RLIMIT_NOFILE)
    wanted = MAX_DESCRIPTORS if hard_limit == resource.RLIM_INFINITY else min(MAX_DESCRIPTORS, hard_limit)
    resource.setrlimit(resource.RLIMIT_NOFILE, (max(soft_limit, wanted), hard_limit))
    encoder = msgspec.json.Encoder()

    def report(line: ReportLine) -> None:
        sys.stdout.buffer.write(encoder.encode(line) + b"\n")
        sys.stdout.buffer.flush()

    measurements = ProcessMeasurements(reactor, report)

    def finish(problem: Any = None) -> None:
        """Ends the run, early if there is a problem or the input was closed."""
        if problem is not None:
            report(Problem(f"{measurements.title}: {problem}"))
        measurements.is_ending = True
        Deferred.fromCoroutine(measurements.end()).addBoth(lambda _: reactor.stop() if reactor.running else None)

    class StandardInput(Protocol):
        def connectionLost(self, reason: Any = None) -> None:
            """The program that started this process has closed its input, or ended."""
            finish()

    axes = [Axis(each) for each in arguments[3:]] or list(SIZES)
    StandardIO(StandardInput())
    reactor.callLater(min(MAX_RUN_TIME, float(arguments[0])), finish, OUT_OF_TIME)
    work = Deferred.fromCoroutine(measurements.run(plan(axes, int(arguments[1]), int(arguments[2]))))
    work.addCallbacks(finish, finish)
    reactor.run()


if __name__ == "__main__":
    main(sys.argv[1:])
