"""One process of hollow relays: their requests, their backends, and what the director tells them; `python -m` it."""

import gc
import time
from collections import Counter
from pathlib import Path
from typing import Any

from loguru import logger
from twisted.internet.defer import Deferred
from twisted.internet.protocol import Protocol
from twisted.python.failure import Failure

from ...net import statements
from ...net.clients import Rejected
from ...net.discovery import Entry as Known, News
from ...net.platform import RolloutState
from ...net.relay import unit_number
from ...net.relay_configuration import RelayConfiguration
from ...net.units import Value
from ...parts import mix
from ...record.files import Writer
from ...record.lines import VERSION, End, Head, News as NewsLine, Told
from ...world.clients import Arrival
from ...world.day import Day
from ...world.roster import Entry
from ..loopback.clients import PATIENCE, statement_text, take_line
from ..loopback.control_plane import STATES
from ..loopback.process_group import raise_descriptor_limit
from ..loopback.trial_setup import TrialSetup, use_shared_clock
from ..scenario import Scenario, convert
from ..traffic import clients_of
from . import director_messages
from .addresses import ScaleAddresses
from .backends import Backends
from .director_messages import RelayCost, decode, encode
from .hollow_relay import HollowRelay, Outside

TENTHS = 10_000  # in a second
LOOK_EVERY, STALL = 200, 200  # tenths of a ms: between looks at the loop; later than that is a stall
MOST_STALLS = 20_000
MB = 1024  # kilobytes
SOMEWHERE = "127.59.0.1:1"  # every backend's address: hollow relays open no connection
SOCKETS = 1024  # descriptors that a relay is told it may use


def proportional_memory() -> float:
    """This process's own part of memory (PSS), in MB."""
    text = Path("/proc/self/smaps_rollup").read_text()
    return int(text.split("\nPss:")[1].split()[0]) / MB


class Serving:
    """One request of a client, at a hollow relay."""

    __slots__ = ("arrival", "relay", "answer", "timer", "over")

    def __init__(self, arrival: Arrival, relay: HollowRelay) -> None:
        self.arrival, self.relay, self.over = arrival, relay, False
        self.answer: Deferred | None = None
        self.timer: Any = None


class Listing:
    """The endpoint list, read once for all relays of the process; entries are shared between them."""

    def __init__(self, setup: TrialSetup, day: Day) -> None:
        self.setup = setup
        self.version = day.roster.version
        self.entries = {entry.name: self.known(entry) for entry in day.roster.whole(self.version)}
        self.names = {unit_number(name): name for name in self.entries}
        self.closed: dict[str, tuple[int, Entry]] = {}  # backend that drains or is gone -> since which version

    def known(self, entry: Entry) -> Known:
        started = self.setup.unix_ms(entry.started) if entry.started else 0
        state = STATES[entry.state]
        return Known(entry.name, SOMEWHERE, entry.zone, entry.cell, state, entry.weight, started, entry.build)

    def whole(self) -> News:
        return News(self.version, True, list(self.entries.values()))

    def change(self, word: director_messages.Listed) -> News:
        """What relays are told of the changes."""
        self.version = word.version
        told = []
        for entry in word.entries:
            self.names[unit_number(entry.name)] = entry.name
            known = self.known(entry)
            told.append(known)
            if entry.state == "gone":
                self.entries.pop(entry.name, None)
            else:
                self.entries[entry.name] = known
            if entry.state == "open":
                self.closed.pop(entry.name, None)
            else:
                self.closed.setdefault(entry.name, (word.version, entry))
        return News(word.version, False, told)


class HollowProcess:
    """Hundreds of hollow relays and what is round them; `say` takes words for the director."""

    def __init__(self, reactor: Any, cast: director_messages.Cast, say: Any) -> None:
        self.reactor, self.cast, self.say = reactor, cast, say
        self.scenario: Scenario = convert(cast.scenario)
        self.writer = Writer(cast.record)
        self.writer(Head(0, VERSION, "trial", self.scenario.name, cast.seed, {}))
        self.setup = TrialSetup(reactor, self.scenario, cast.seed, cast.port, self.writer, self.wrong, say)
        self.setup.addresses = ScaleAddresses(cast.port)
        day = Day(self.scenario.parts(), cast.seed, clients_of(self.scenario, cast.seed))
        self.clients, self.lags = day.clients, day.roster.lag
        self.listing = Listing(self.setup, day)
        self.backends = Backends(self.setup, day.fleet.units, lambda name: say(director_messages.Fell(name)))
        state = day.desk.state
        self.rollout = director_messages.Rollout(state.build, state.stage, state.phase, state.cap, 0)
        self.peers = [str(self.setup.addresses.relay(relay)) for relay in range(self.scenario.fleet.relays)]
        self.outside = Outside(
            self.backends, self.listing.names, self.vote, self.list_anew, self.note_sent, self.note_received
        )
        self.relays: dict[int, HollowRelay] = {}
        self.started: dict[int, float] = {}  # relay -> when it came up
        self.ended: list[RelayCost] = []  # of relays that were killed
        self.versions: dict[int, list[tuple[int, int]]] = {}  # relay -> (version, when it was told), in order
        self.recorded: set[tuple[int, str]] = (
            set()
        )  # relay and backend of which the record has that it drains or is gone
        self.backends.attempted = self.attempted
        self.serving: dict[int, Serving] = {}  # by the request's number
        self.repeats = 0  # of clients, to come
        self.late: Counter[int] = Counter()  # tenths of a ms -> arrivals that were so late
        self.numbers = {
            (place.host, place.port): relay
            for relay in range(self.scenario.fleet.relays)
            for place in [self.setup.addresses.relay(relay)]
        }
        self.heard_of: dict[int, list[int]] = {}  # other relay -> datagrams, bytes of it; datagrams, bytes to it
        self.closing = False
        self.bare_mb = 0.0
        self.cpu_begun = 0.0
        self.before: dict[int, RelayCost] = {}  # what relays had cost when the day began
        self.datagrams = (0, 0)
        self.wrongs = 0
        self.stalls: list[tuple[int, int]] = []
        self.looked = 0
        logger.remove()
        logger.add(lambda text: self.wrong(str(text).strip()[:300]), level="ERROR", format="{message}")

    def wrong(self, text: str) -> None:
        self.wrongs += 1
        if self.wrongs <= 20:
            self.say(director_messages.Wrong(f"process {self.cast.place}: {text}"))

    # relays
    def build(self) -> None:
        """All relays, one a turn; nothing of them is looked at by the collector again."""
        gc.collect()
        gc.disable()
        self.bare_mb = proportional_memory()
        self.build_next(list(reversed(self.cast.relays)))

    def build_next(self, left: list[int]) -> None:
        if left:
            self.start(left.pop())
            self.reactor.callLater(0, self.build_next, left)
            return
        gc.collect()
        gc.freeze()
        gc.enable()
        self.say(director_messages.Ready())

    def assignment(self, relay: int) -> RelayConfiguration:
        own, rollout = self.peers[relay], self.rollout
        age = max(0, self.setup.now() - rollout.since) / 10
        state = RolloutState(rollout.build, rollout.stage, rollout.phase, rollout.cap, age)
        seed = mix(self.cast.seed, relay, self.setup.now(), 17)
        facts = self.scenario.facts(relay)
        known = self.listing.whole()
        everyone = str(self.setup.addresses.everyone(relay))
        return RelayConfiguration(
            f"n{relay}", own, own, seed, SOCKETS, own, self.peers, everyone, "", state, known, facts
        )

    def start(self, relay: int) -> None:
        one = HollowRelay(self.reactor, self.assignment(relay), self.outside, time.time)
        self.relays[relay], self.started[relay] = one, self.reactor.seconds()
        self.versions[relay] = [(self.listing.version, self.setup.now())]
        self.tell_rollout(relay)
        one.start()

    def kill(self, relay: int) -> None:
        one = self.relays.pop(relay, None)
        if one is None:
            return
        self.ended.append(self.cost(relay, one))
        for serving in [each for each in self.serving.values() if each.relay is one]:
            self.finish(serving, "lost", 0)
        one.kill()

    def tell_rollout(self, relay: int) -> None:
        rollout = self.rollout
        self.setup.record_line(
            NewsLine(self.setup.now(), relay, rollout.build, rollout.stage, rollout.phase, rollout.cap)
        )

    def vote(self, relay: int, build: int, stage: int, verdict: str) -> None:
        self.say(director_messages.Vote(relay, build, stage, verdict))

    def list_anew(self, one: HollowRelay) -> None:
        self.reactor.callLater(0, self.tell_list, one, self.listing.whole(), "whole")

    def tell_list(self, one: HollowRelay, news: News, kind: str) -> None:
        if self.relays.get(one.index) is one:
            self.versions[one.index].append((news.version, self.setup.now()))
            one.listed(news, kind)

    def attempted(self, relay: int, name: str) -> None:
        """The record is told of what this relay knew of the backend's end, for the checker: of this one alone, since
        all changes at all relays would be millions of lines.  The director puts lines in order."""
        version, entry = self.listing.closed.get(name, (0, None))
        if entry is None or (relay, name) in self.recorded:
            return
        at = next((at for told, at in self.versions[relay] if told >= version), None)
        if at is not None:
            self.recorded.add((relay, name))
            self.setup.record_line(Told(at, relay, name, entry.build, entry.state, entry.started))

    def note_sent(self, address: tuple[str, int], size: int) -> None:
        other = self.heard_of.setdefault(self.numbers.get(address, -1), [0, 0, 0, 0])
        other[2] += 1
        other[3] += size

    def note_received(self, address: tuple[str, int], size: int) -> None:
        other = self.heard_of.setdefault(self.numbers.get(address, -1), [0, 0, 0, 0])
        other[0] += 1
        other[1] += size

    # what the director says
    def heard(self, word: Any) -> None:
        match word:
            case director_messages.Begin(zero):
                self.begin(zero)
            case director_messages.Backend():
                self.backends.change(word)
            case director_messages.Listed():
                self.list_changed(self.listing.change(word))
            case director_messages.Rollout():
                self.rollout_changed(word)
            case director_messages.Kill(relay):
                self.kill(relay)
            case director_messages.Start(relay) if relay not in self.relays:
                self.start(relay)
            case director_messages.Voted(relay, answer) if relay in self.relays:
                self.relays[relay].on_vote_answer(answer)
            case director_messages.Close():
                self.closing = True
                self.look()

    def begin(self, zero: float) -> None:
        self.setup.begin(zero)
        self.cpu_begun = time.process_time()
        self.before = {relay: self.cost(relay, one) for relay, one in self.relays.items()}
        self.heard_of.clear()
        self.next_arrival()
        self.reactor.callLater(self.setup.seconds_until(TENTHS), self.count_traffic, 0)
        self.reactor.callLater(self.setup.seconds_until(LOOK_EVERY), self.watch)

    def watch(self) -> None:
        """Notes when nothing ran for longer than a loop in good order takes for a turn."""
        now, due = self.setup.now(), self.looked + LOOK_EVERY
        if now > due + STALL and len(self.stalls) < MOST_STALLS:
            self.stalls.append((due, now))
        self.looked = now
        self.reactor.callLater(LOOK_EVERY / TENTHS, self.watch)

    def list_changed(self, news: News) -> None:
        for relay, one in self.relays.items():
            self.reactor.callLater(self.lags[relay] / TENTHS, self.tell_list, one, news, "changes")

    def rollout_changed(self, word: director_messages.Rollout) -> None:
        self.rollout = word
        for relay, one in list(self.relays.items()):
            self.tell_rollout(relay)
            age = max(0, self.setup.now() - word.since) / 10
            one.on_rollout_state(RolloutState(word.build, word.stage, word.phase, word.cap, age))

    def count_traffic(self, second: int) -> None:
        meters = [one.meter for one in self.relays.values()]
        gone = sum(cost.sent for cost in self.ended), sum(cost.received for cost in self.ended)
        now = gone[0] + sum(meter.sent for meter in meters), gone[1] + sum(meter.received for meter in meters)
        self.say(director_messages.Traffic(second, now[0] - self.datagrams[0], now[1] - self.datagrams[1]))
        self.datagrams = now
        if not self.closing:
            self.reactor.callLater(self.setup.seconds_until((second + 2) * TENTHS), self.count_traffic, second + 1)

    # requests
    def next_arrival(self) -> None:
        due = self.clients.due
        if due is not None:
            self.reactor.callLater(self.setup.seconds_until(due), self.arrive)

    def arrive(self) -> None:
        """All that are due by now; all processes draw all arrivals, and each serves those of its relays."""
        clients, now, own = self.clients, self.setup.now(), set(self.cast.relays)
        while clients.due is not None and clients.due <= now:
            arrival = clients.next()
            if arrival.relay in own:
                self.late[max(0, now - arrival.at)] += 1
                self.serve(arrival)
        self.next_arrival()

    def chosen(self, relay: int) -> HollowRelay | None:
        """The relay itself, or the next of this process that is up."""
        if relay in self.relays:
            return self.relays[relay]
        own = self.cast.relays
        place = own.index(relay)
        return next((self.relays[each] for each in own[place:] + own[:place] if each in self.relays), None)

    def serve(self, arrival: Arrival) -> None:
        one, now = self.chosen(arrival.relay), self.setup.now()
        if one is None:
            return
        customer = self.setup.tenants[arrival.customer]
        self.setup.record_line(take_line(now, one.index, arrival))
        table = self.scenario.workload[arrival.workload]
        wait = max(1, (arrival.give_up - now) // 10)
        text = statement_text(arrival, table.name, table.effect, customer, wait)
        serving = self.serving[arrival.number] = Serving(arrival, one)
        serving.timer = self.reactor.callLater(
            self.setup.seconds_until(arrival.give_up + PATIENCE), self.leave, serving
        )
        serving.answer = one.take(statements.read(text), one.clock())
        serving.answer.addCallbacks(self.answered, self.failed, callbackArgs=(serving,), errbackArgs=(serving,))

    def answered(self, answer: Any, serving: Serving) -> None:
        """In a turn of its own: what a client does is no part of what its relay costs."""
        word = "served" if isinstance(answer, Value) else "rejected" if isinstance(answer, Rejected) else "forfeited"
        retry_after = answer.retry_after if isinstance(answer, Rejected) else 0
        self.reactor.callLater(0, self.finish, serving, word, retry_after)

    def failed(self, reason: Failure, serving: Serving) -> None:
        """It was cancelled, since its client left."""

    def leave(self, serving: Serving) -> None:
        if not serving.over:
            self.finish(serving, "left", 0)
            serving.answer.cancel()

    def finish(self, serving: Serving, answer: str, retry_after: int) -> None:
        if serving.over:
            return
        serving.over, arrival = True, serving.arrival
        if serving.timer.active():
            serving.timer.cancel()
        self.serving.pop(arrival.number, None)
        self.setup.record_line(End(self.setup.now(), serving.relay.index, arrival.number, answer))
        again = self.clients.answered(self.setup.now(), arrival, answer, retry_after)
        if again:
            self.repeats += 1
            self.reactor.callLater(self.setup.seconds_until(again.at), self.again, again)
        self.look()

    def again(self, arrival: Arrival) -> None:
        self.repeats -= 1
        self.serve(arrival)
        self.look()

    def look(self) -> None:
        if self.closing and not self.serving and not self.repeats:
            self.closing = False
            self.say(director_messages.Answered())

    # what it cost
    def cost(self, relay: int, one: HollowRelay) -> RelayCost:
        meter, counts = one.meter, one.counters.counts
        lived = self.reactor.seconds() - self.started[relay]
        shed = counts["peers.shed"] + counts["peers.dropped"]
        return RelayCost(
            relay, lived, meter.seconds(), meter.sent, meter.received, meter.bytes_out, meter.bytes_in, shed
        )

    def of_the_day(self, now: RelayCost) -> RelayCost:
        """Less what it had cost before the day began."""
        before = self.before.get(now.relay)
        if before is None or before.lived > now.lived:  # it came up in the day
            return now
        cpu = {kind: seconds - before.cpu.get(kind, 0.0) for kind, seconds in now.cpu.items()}
        figures = [
            getattr(now, name) - getattr(before, name) for name in ("sent", "received", "bytes_out", "bytes_in", "shed")
        ]
        return RelayCost(now.relay, now.lived - before.lived, cpu, *figures)

    def over(self) -> director_messages.Over:
        costs = [self.of_the_day(self.cost(relay, one)) for relay, one in self.relays.items()]
        for one in self.relays.values():
            if one.facade.faults:
                self.wrong(f"relay {one.index}: {one.facade.faults} faults of the module")
        self.writer.close()
        return director_messages.Over(
            costs,
            time.process_time() - self.cpu_begun,
            proportional_memory(),
            self.bare_mb,
            dict(self.late),
            {relay: tuple(figures) for relay, figures in self.heard_of.items()},
            self.stalls,
        )


class Ear(Protocol):
    """The director's words come in as lines on standard input, and this process's go out on standard output."""

    def __init__(self, reactor: Any) -> None:
        self.reactor, self.held = reactor, b""
        self.process: HollowProcess | None = None

    def say(self, word: director_messages.Word) -> None:
        self.transport.write(encode(word))

    def dataReceived(self, data: bytes) -> None:
        *lines, self.held = (self.held + data).split(b"\n")
        for line in lines:
            self.heard(decode(line))

    def heard(self, word: Any) -> None:
        match word:
            case director_messages.Cast():
                self.process = HollowProcess(self.reactor, word, self.say)
                self.process.build()
            case director_messages.Stop():
                self.say(self.process.over())
                self.reactor.callLater(0.1, self.reactor.stop)
            case _:
                self.process.heard(word)

    def connectionLost(self, reason: Failure | None = None) -> None:
        """The director has gone."""
        if self.reactor.running:
            self.reactor.stop()


def main() -> None:
    from twisted.internet import reactor
    from twisted.internet.stdio import StandardIO

    raise_descriptor_limit()
    StandardIO(Ear(use_shared_clock(reactor)))
    reactor.run()


if __name__ == "__main__":
    main()
