"""Measures one real relay on loopback at many sizes; a process of its own (`python -m` it), which says points as lines.

Each measurement starts a relay, reads its processor time, memory, bytes and datagrams over a window, and ends it.  What
the window would have cost without the events in it is taken off.  The process ends by itself: with its work, when
whoever started it closes its standard input, and at the latest after LONGEST seconds.
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

from .events import SIZES, STATE, Setup, judges, of_request, order, plain, settings, told, trackers
from .points import Axis, Column, Cost, Disturbed, Found, Line, Name, Point, Problem, Progress, Side
from .stand_ins import (
    HOST,
    MOST_CONNECTIONS,
    Clients,
    Count,
    ListStandIn,
    Meter,
    Peers,
    PlatformStandIn,
    UnitsStandIn,
    free_port,
)
from .subject import Subject, configuration, save

STEAL = 8  # the column of a processor's row in /proc/stat
LONGEST = 290.0  # seconds, all in all
DESCRIPTORS = 8_192
START = 15.0  # seconds until a relay serves
SETTLE, QUIET = 0.5, 0.3  # seconds: after a start; after events, until what they set off is over
IDLE, BUSY, EVENTS = 2.0, 1.5, 0.5  # seconds of a window: no events; requests or messages; few events
CHANGES = 10  # of a window
CONNECTIONS, RATE = 8, 80.0  # of clients, and their requests a second where it is not the rate that grows
OUT_OF_TIME = "out of time: what comes after has fewer repeats, or none"
TICK = 0.001  # seconds between looks at how many messages are due
STOLEN, TRIES = 0.05, 2  # of a window's time: with more taken by the machine's host it is played again; so often
LISTENING_JUDGES = 4  # the judges and the next in line
ENOUGH = 0.9  # of the events wanted: a window with fewer gives no point
IN_A_ROW_UNITS, WHOLES_UNITS = 1200, 400  # of the list, where changes or whole lists follow each other


Say = Callable[[Line], None]


class Reading(NamedTuple):
    """Of a relay's clocks and counts; `stolen` seconds have been taken from this processor by the machine's host."""

    at: float
    processor_ms: float
    stolen: float
    counts: dict[Count, int]


class Window(NamedTuple):
    """What a time cost, over that of an idle relay; the part of it that was stolen; what was played in it."""

    seconds: float
    processor_ms: float
    stolen: float
    counts: dict[Count, int]
    played: Any


class Fleet:
    """One measured relay and all that stands round it."""

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
        self.subject = Subject(reactor, self.path)
        self.idle_ms = 0.0  # processor time of a second without events
        self.stolen = 0.0  # the largest part of a window that counts

    async def begin(self) -> None:
        """The relay serves, has its list and its connections."""
        decisions = order(self.setup.relays)
        listening = (
            [*decisions.load_tracking.order, *decisions.judge.order[:LISTENING_JUDGES]] if self.setup.may_tell else []
        )
        for number in listening:
            if number != self.setup.index:
                self.peers.open(number)
        await self.within(self.subject.says(b"serving name="), START)
        self.list.waiting = Deferred()
        await self.within(self.list.waiting, START)
        await self.wait(SETTLE)

    def within(self, waited: Deferred, seconds: float) -> Deferred:
        return waited.addTimeout(seconds, self.reactor)

    def wait(self, seconds: float) -> Deferred:
        return deferLater(self.reactor, seconds, lambda: None)

    def read(self) -> Reading:
        return Reading(time.monotonic(), self.subject.processor_ms(), stolen_seconds(), dict(self.meter.counts))

    def since(self, before: Reading, played: Any) -> Window:
        now = self.read()
        seconds = now.at - before.at
        counts = {count: many - before.counts.get(count, 0) for count, many in now.counts.items()}
        processor = now.processor_ms - before.processor_ms - self.idle_ms * seconds
        return Window(seconds, processor, (now.stolen - before.stolen) / seconds, counts, played)

    async def window(self, play: Callable[[], Awaitable]) -> Window:
        """Plays it; again while the host takes too much, when the system does not count processor time well.  The one
        that was disturbed least counts."""
        found: list[Window] = []
        while len(found) < TRIES and (not found or found[-1].stolen > STOLEN):
            before = self.read()
            played = await play()
            found.append(self.since(before, played))
        least = min(found, key=lambda each: each.stolen)
        self.stolen = max(self.stolen, least.stolen)
        return least

    async def idle(self) -> dict[Count, float]:
        """A window without events; what a second of it costs is taken off from now on."""
        self.idle_ms = 0.0
        found = await self.window(lambda: self.wait(IDLE))
        self.idle_ms = found.processor_ms / found.seconds
        return {count: many / found.seconds for count, many in found.counts.items()}

    async def warm(self) -> None:
        """Connections of clients and units stand, and the relay has met its first units."""
        await self.clients.widen(CONNECTIONS)
        await self.clients.play(RATE, QUIET)
        await self.wait(QUIET)

    async def change(self) -> None:
        await self.within(self.list.change(int(time.time() * 1000)), START)

    async def whole(self) -> None:
        await self.within(self.list.whole(), START)

    async def reload(self, advice_ms: int) -> None:
        """New settings, and until they are taken."""
        tree = msgspec.json.decode(self.path.read_bytes())
        save(self.path, tree | {"settings": settings(self.setup, advice_ms)})
        taken = self.subject.says(b"configuration ")
        self.subject.signal("HUP")
        await self.within(taken, START)

    async def end(self) -> None:
        self.clients.close()
        self.subject.signal("KILL")
        await self.subject.ended
        for part in (self.list, self.platform, self.units, self.peers):
            part.close()


def stolen_seconds() -> float:
    """That the machine's host has taken from the processors that this process may use, so far."""
    allowed = {f"cpu{number}" for number in os.sched_getaffinity(0)}
    rows = (row.split() for row in Path("/proc/stat").read_text().splitlines())
    return sum(int(row[STEAL]) for row in rows if row[0] in allowed) / os.sysconf("SC_CLK_TCK")


class Rig:
    """All measurements of a run; `say` takes what they find."""

    def __init__(self, reactor: Any, say: Say) -> None:
        self.reactor, self.say = reactor, say
        self.fleet: Fleet | None = None
        self.title = ""
        self.over = False  # it is to end before its work is done

    async def run(self, plan: list["Measurement"]) -> None:
        """All of a plan."""
        for done, each in enumerate(plan):
            self.title = f"{each.title} {each.x:g}"
            self.say(Progress(done, len(plan), self.title))
            try:
                await each.call(self, each.x)
            except Exception as problem:  # one size less; the run says so
                if self.over:
                    return
                self.say(Problem(f"{self.title}: {type(problem).__name__}: {problem}"))
            finally:
                await self.end()
        self.say(Progress(len(plan), len(plan), "done"))

    async def begin(self, setup: Setup) -> Fleet:
        self.folder = tempfile.TemporaryDirectory(prefix="capacity-")
        self.fleet = Fleet(self.reactor, setup, Path(self.folder.name))
        await self.fleet.begin()
        return self.fleet

    async def end(self) -> None:
        fleet, self.fleet = self.fleet, None
        if fleet:
            if fleet.stolen > STOLEN:
                self.say(Disturbed(f"{self.title}: the host took {fleet.stolen:.0%} of a window"))
            await fleet.end()
            self.folder.cleanup()

    def found(self, name: Name, axis: Axis, cost: Cost, side: Side, x: float, value: float) -> None:
        self.say(Found(Point(name, axis, Column.PROCESS, cost, side, x, value)))

    def found_counts(self, name: Name, axis: Axis, x: float, counts: dict[Count, float], each: float = 1.0) -> None:
        """Bytes and datagrams, divided by `each`."""
        for (side, cost), many in sorted(counts.items()):
            self.found(name, axis, cost, side, x, many / each)

    async def stand(self, fleet: Fleet, axis: Axis, x: float) -> None:
        """Standing memory, and an idle second."""
        self.found(Name.STANDING, axis, Cost.MEMORY, Side.CONTROL, x, fleet.subject.memory_mb())
        counts = await fleet.idle()
        self.found(Name.IDLE, axis, Cost.PROCESSOR, Side.CONTROL, x, fleet.idle_ms)
        self.found_counts(Name.IDLE, axis, x, counts)

    async def events(self, fleet: Fleet, name: Name, axis: Axis, x: float, acts: list[Callable[[], Awaitable]]) -> None:
        """What each of some events costs; they lie in one window of whole beats."""

        async def play() -> None:
            until = time.monotonic() + EVENTS
            for act in acts:
                await act()
            await fleet.wait(max(QUIET, until - time.monotonic()))

        found = await fleet.window(play)
        counts = found.counts
        self.found(name, axis, Cost.PROCESSOR, Side.CONTROL, x, found.processor_ms / len(acts))
        if name == Name.RELOAD:  # the file is what the relay reads then
            counts = {Count(Side.CONTROL, Cost.BYTES_IN): len(acts) * fleet.path.stat().st_size}
        of_list = {count: many for count, many in counts.items() if count.cost in (Cost.BYTES_IN, Cost.BYTES_OUT)}
        self.found_counts(name, axis, x, of_list, len(acts))

    async def requests(self, fleet: Fleet, name: Name, axis: Axis, x: float, rate: float, a_second: bool) -> None:
        """Requests at that rate: the cost of each, or of a second of them."""
        side = Side.BOTH if fleet.setup.may_tell else Side.SERVING
        await fleet.clients.widen(MOST_CONNECTIONS if a_second else CONNECTIONS)
        seconds = BUSY if a_second else 1.0

        async def play() -> int:
            before = fleet.clients.served
            await fleet.clients.play(rate, seconds)
            await fleet.wait(QUIET)
            return fleet.clients.served - before

        found = await fleet.window(play)
        served = found.played
        if served < ENOUGH * round(rate * seconds):
            return self.say(Problem(f"{name} at {axis} {x:g}: {served} served of {rate * seconds:g}; no point"))
        each = served / rate if a_second else float(served)
        self.found(name, axis, Cost.PROCESSOR, side, x, found.processor_ms / each)
        self.found_counts(name, axis, x, found.counts, each)

    async def of_units(self, x: float) -> None:
        fleet = await self.begin(Setup(units=int(x), index=plain(13)))
        await self.stand(fleet, Axis.UNITS, x)
        await self.events(fleet, Name.CHANGE, Axis.UNITS, x, [fleet.change] * CHANGES)
        await self.events(fleet, Name.WHOLE, Axis.UNITS, x, [fleet.whole] * 2)
        advices = [lambda each=each: fleet.reload(each) for each in (110, 120)]
        await self.events(fleet, Name.RELOAD, Axis.UNITS, x, advices)
        await fleet.warm()
        await self.requests(fleet, Name.REQUEST, Axis.UNITS, x, RATE, False)

    async def of_tenants(self, x: float) -> None:
        fleet = await self.begin(Setup(tenants=int(x), index=plain(13)))
        await self.stand(fleet, Axis.TENANTS, x)
        advices = [lambda each=each: fleet.reload(each) for each in (110, 120)]
        await self.events(fleet, Name.RELOAD, Axis.TENANTS, x, advices)
        await fleet.warm()
        await self.requests(fleet, Name.REQUEST, Axis.TENANTS, x, RATE, False)

    async def of_relays(self, x: float) -> None:
        """A relay that is neither judge nor tracker, then one that judges and has heard of all."""
        fleet = await self.begin(Setup(relays=int(x), index=plain(int(x))))
        await self.stand(fleet, Axis.RELAYS, x)
        await self.end()
        fleet = await self.begin(Setup(relays=int(x), index=judges(int(x))[0]))
        for sender in range(int(x)):
            for data in told(sender, 1, fleet.setup.classes):
                if sender != fleet.setup.index:
                    fleet.peers.open(sender).tell(data)
            if sender % 20 == 19:  # below the most that a judge takes in a second
                await fleet.wait(0.02)
        await fleet.wait(SETTLE)
        self.found(Name.JUDGING, Axis.RELAYS, Cost.MEMORY, Side.CONTROL, x, fleet.subject.memory_mb())
        counts = await fleet.idle()
        self.found(Name.JUDGING, Axis.RELAYS, Cost.PROCESSOR, Side.CONTROL, x, fleet.idle_ms)
        self.found_counts(Name.JUDGING, Axis.RELAYS, x, counts)

    async def of_requests(self, x: float) -> None:
        """Rates up to this one: without messages between relays, and with a tracker that is asked."""
        for name, may_tell in ((Name.REQUESTS, False), (Name.ASKING, True)):
            fleet = await self.begin(Setup(may_tell=may_tell, index=plain(13)))
            await fleet.idle()
            await fleet.warm()
            for rate in up_to(Axis.REQUESTS, x):
                await self.requests(fleet, name, Axis.REQUESTS, rate, rate, True)
            await self.end()

    async def of_messages(self, x: float) -> None:
        """Messages a second to a load tracker, and to a judge of 1,300 relays."""
        fleet = await self.begin(Setup(units=1200, index=trackers(13)[0]))
        await self.messages(fleet, Name.TRACKING, x, of_request)
        await self.end()
        fleet = await self.begin(Setup(relays=1300, index=judges(1300)[0]))
        await self.messages(fleet, Name.COUNTS, x, lambda number: told(number // 2, number, 3)[number % 2])

    async def messages(self, fleet: Fleet, name: Name, most: float, data: Callable[[int], bytes]) -> None:
        """At rates up to this one, from all other relays in turn."""
        relays, index = fleet.setup.relays, fleet.setup.index
        ends = [fleet.peers.open(number) for number in range(relays) if number != index]
        await fleet.idle()
        sent = 0

        async def play(rate: float) -> None:
            nonlocal sent
            begun, first, wanted = time.monotonic(), sent, round(rate * BUSY)
            while sent < first + wanted:
                due = min(wanted, int((time.monotonic() - begun) * rate) + 1)
                while sent < first + due:
                    ends[sent // 3 % len(ends)].tell(data(sent))
                    sent += 1
                await fleet.wait(TICK)
            await fleet.wait(QUIET)

        for rate in up_to(Axis.MESSAGES, most):
            found = await fleet.window(partial(play, rate))
            self.found(name, Axis.MESSAGES, Cost.PROCESSOR, Side.CONTROL, rate, found.processor_ms / BUSY)
            self.found_counts(name, Axis.MESSAGES, rate, found.counts, BUSY)

    async def in_a_row(self, fleet: Fleet, name: Name, axis: Axis, most: float, act: Callable) -> None:
        """So many events, one behind the other: what all of them cost."""
        await fleet.idle()

        async def play(many: float) -> None:
            for number in range(int(many)):
                await act(number)
            await fleet.wait(QUIET)

        for many in up_to(axis, most):
            found = await fleet.window(partial(play, many))
            self.found(name, axis, Cost.PROCESSOR, Side.CONTROL, many, found.processor_ms)
            self.found_counts(name, axis, many, found.counts)
            self.found(name, axis, Cost.MEMORY, Side.CONTROL, many, fleet.subject.memory_mb())

    async def of_list_changes(self, x: float) -> None:
        fleet = await self.begin(Setup(units=IN_A_ROW_UNITS, index=plain(13)))
        await self.in_a_row(fleet, Name.CHANGES, Axis.LIST_CHANGES, x, lambda number: fleet.change())

    async def of_whole_lists(self, x: float) -> None:
        fleet = await self.begin(Setup(units=WHOLES_UNITS, index=plain(13)))
        await self.in_a_row(fleet, Name.WHOLES, Axis.WHOLE_LISTS, x, lambda number: fleet.whole())

    async def of_settings(self, x: float) -> None:
        fleet = await self.begin(Setup(index=plain(13)))
        await self.in_a_row(fleet, Name.RELOADS, Axis.SETTINGS, x, lambda number: fleet.reload(110 + number % 2))


class Measurement(NamedTuple):
    title: str
    x: float
    call: Callable[[Rig, float], Awaitable[None]]


CALLS: dict[Axis, Callable[[Rig, float], Awaitable[None]]] = {
    Axis.UNITS: Rig.of_units,
    Axis.TENANTS: Rig.of_tenants,
    Axis.RELAYS: Rig.of_relays,
    Axis.REQUESTS: Rig.of_requests,
    Axis.MESSAGES: Rig.of_messages,
    Axis.LIST_CHANGES: Rig.of_list_changes,
    Axis.WHOLE_LISTS: Rig.of_whole_lists,
    Axis.SETTINGS: Rig.of_settings,
}


def up_to(axis: Axis, most: float) -> list[float]:
    """Sizes of an axis that one process goes through."""
    return [x for x in SIZES[axis] if x <= most]


def plan(axes: list[Axis], repeats: int, points: int) -> list[Measurement]:
    """All once, then all again, so that a drift of the machine shows as spread; the first `points` sizes of each."""
    return [
        Measurement(str(axis), x, CALLS[axis])
        for _ in range(repeats)
        for axis in axes
        for x in (SIZES[axis][:points] if axis in STATE else SIZES[axis][points - 1 : points])
    ]


def main(arguments: list[str]) -> None:
    """Arguments: seconds, repeats, points a slope, names of axes (none: all)."""
    from twisted.internet import reactor
    from twisted.internet.protocol import Protocol
    from twisted.internet.stdio import StandardIO

    limit, most = resource.getrlimit(resource.RLIMIT_NOFILE)
    wanted = DESCRIPTORS if most == resource.RLIM_INFINITY else min(DESCRIPTORS, most)
    resource.setrlimit(resource.RLIMIT_NOFILE, (max(limit, wanted), most))
    encoder = msgspec.json.Encoder()

    def say(line: Line) -> None:
        sys.stdout.buffer.write(encoder.encode(line) + b"\n")
        sys.stdout.buffer.flush()

    rig = Rig(reactor, say)

    def over(result: Any = None) -> None:
        if result is not None:
            say(Problem(f"{rig.title}: {result}"))
        rig.over = True
        Deferred.fromCoroutine(rig.end()).addBoth(lambda _: reactor.stop() if reactor.running else None)

    class Ear(Protocol):
        def connectionLost(self, reason: Any = None) -> None:
            """Whoever started this has gone."""
            over()

    axes = [Axis(each) for each in arguments[3:]] or list(SIZES)
    StandardIO(Ear())
    reactor.callLater(min(LONGEST, float(arguments[0])), over, OUT_OF_TIME)
    work = Deferred.fromCoroutine(rig.run(plan(axes, int(arguments[1]), int(arguments[2]))))
    work.addCallbacks(over, over)
    reactor.run()


if __name__ == "__main__":
    main(sys.argv[1:])
