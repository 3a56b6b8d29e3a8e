"""One process of hollow relays, with their requests and backends; the director starts it as `python -m` this module.

Messages from the director (director_messages.py) come in on standard input, and those to it go out on standard output.
"""

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
from ...net.answers import Rejected
from ...net.discovery import Entry as RelayEntry, ListUpdate
from ...net.messages import Value
from ...net.platform import PlatformState
from ...net.relay import unit_number
from ...net.relay_configuration import RelayConfiguration
from ...parts import stable_hash
from ...record.files import Writer
from ...record.lines import VERSION, EntryReceived, Head, InvocationEnded, StageReceived
from ...time_limits import TENTHS_PER_SECOND
from ...world.clients import Arrival
from ...world.day import Day
from ...world.unit_list import Entry
from ..loopback.clients import CLIENT_GRACE, statement_text, take_line
from ..loopback.control_plane import LIFECYCLES
from ..loopback.process_group import raise_descriptor_limit
from ..loopback.trial_setup import TrialSetup, use_shared_clock
from ..scenario import Scenario, convert
from ..traffic import create_clients
from . import director_messages
from .addresses import ScaleAddresses
from .backends import Backends
from .director_messages import RelayCost, decode, encode
from .hollow_relay import HollowRelay, ProcessServices

STALL_CHECK = 200  # tenths of a ms between checks of the event loop
MIN_STALL = 200  # tenths of a ms by which a check is late, from which on it is a stall
MAX_STALLS = 20_000  # that are kept
MAX_VIOLATIONS = 20  # that are sent to the director
MAX_LOG_LINE = 300  # characters of a relay's log line that are sent to the director
KB_PER_MB = 1024
UNUSED_ADDRESS = "127.59.0.1:1"  # listed for every backend: hollow relays open no connection
DESCRIPTORS = 1024  # that a relay is configured with


def proportional_memory() -> float:
    """This process's proportional share of memory (PSS), in MB."""
    text = Path("/proc/self/smaps_rollup").read_text()
    return int(text.split("\nPss:")[1].split()[0]) / KB_PER_MB


class PendingRequest:
    """One request of a client, at a hollow relay."""

    __slots__ = ("arrival", "relay", "answer", "timer", "is_over")

    def __init__(self, arrival: Arrival, relay: HollowRelay) -> None:
        self.arrival, self.relay, self.is_over = arrival, relay, False
        self.answer: Deferred | None = None
        self.timer: Any = None


class EndpointList:
    """The endpoint list, read once for all relays of the process; they share its entries."""

    def __init__(self, setup: TrialSetup, day: Day) -> None:
        self.setup = setup
        self.version = day.roster.version
        self.entries = {entry.name: self.relay_entry(entry) for entry in day.roster.whole(self.version)}
        self.names = {unit_number(name): name for name in self.entries}  # by the relay's number of a backend
        # by backend that drains or is gone: the first version that says so, and its entry there
        self.closed: dict[str, tuple[int, Entry]] = {}

    def relay_entry(self, entry: Entry) -> RelayEntry:
        """The entry as a relay reads it from discovery."""
        started = self.setup.unix_ms(entry.started) if entry.started else 0
        state = LIFECYCLES[entry.state]
        return RelayEntry(entry.name, UNUSED_ADDRESS, entry.zone, entry.cell, state, entry.weight, started, entry.build)

    def whole(self) -> ListUpdate:
        return ListUpdate(self.version, True, list(self.entries.values()))

    def apply(self, update: director_messages.ListUpdate) -> ListUpdate:
        """Take the update, and return the changes as relays get them."""
        self.version = update.version
        changed = []
        for entry in update.entries:
            self.names[unit_number(entry.name)] = entry.name
            relay_entry = self.relay_entry(entry)
            changed.append(relay_entry)
            if entry.state == "gone":
                self.entries.pop(entry.name, None)
            else:
                self.entries[entry.name] = relay_entry
            if entry.state == "open":
                self.closed.pop(entry.name, None)
            else:
                self.closed.setdefault(entry.name, (update.version, entry))
        return ListUpdate(update.version, False, changed)


class HollowProcess:
    """Hundreds of hollow relays with their clients and backends; `send` takes messages to the director."""

    def __init__(self, reactor: Any, assignment: director_messages.ProcessAssignment, send: Any) -> None:
        self.reactor, self.assignment, self.send = reactor, assignment, send
        self.scenario: Scenario = convert(assignment.scenario)
        self.writer = Writer(assignment.record)
        self.writer(Head(0, VERSION, "trial", self.scenario.name, assignment.seed, {}))
        self.setup = TrialSetup(
            reactor, self.scenario, assignment.seed, assignment.port, self.writer, self.report_violation, send
        )
        self.setup.addresses = ScaleAddresses(assignment.port)
        day = Day(self.scenario.parts(), assignment.seed, create_clients(self.scenario, assignment.seed))
        self.clients, self.list_lags = day.clients, day.roster.lag
        self.endpoint_list = EndpointList(self.setup, day)
        self.backends = Backends(self.setup, day.fleet.units, lambda name: send(director_messages.BackendCrashed(name)))
        state = day.platform.state
        self.rollout = director_messages.RolloutUpdate(state.build, state.stage, state.phase, state.cap, 0)
        self.peers = [str(self.setup.addresses.relay(relay)) for relay in range(self.scenario.fleet.relays)]
        self.services = ProcessServices(
            self.backends, self.endpoint_list.names, self.vote, self.resend_list, self.count_sent, self.count_received
        )
        self.relays: dict[int, HollowRelay] = {}
        self.started_at: dict[int, float] = {}  # by relay, in seconds of the reactor
        self.ended_costs: list[RelayCost] = []  # of relays that were killed
        # by relay: the versions of the list that it got, each with its time of the day, in order
        self.list_versions: dict[int, list[tuple[int, int]]] = {}
        # relay and backend where the record says that the relay knew of the backend's end
        self.recorded_ends: set[tuple[int, str]] = set()
        self.backends.on_attempt = self.record_known_end
        self.pending: dict[int, PendingRequest] = {}  # by the request's number
        self.pending_repeats = 0  # that clients will send
        self.lateness: Counter[int] = Counter()  # arrivals by how late they were served, in tenths of a ms
        self.relay_numbers = {
            (address.host, address.port): relay
            for relay in range(self.scenario.fleet.relays)
            for address in [self.setup.addresses.relay(relay)]
        }
        # by other relay: datagrams and bytes received of it, datagrams and bytes sent to it
        self.peer_traffic: dict[int, list[int]] = {}
        self.is_closing = False  # the last request has arrived
        self.initial_mb = 0.0  # memory of the process before its relays were built
        self.cpu_begun = 0.0  # processor seconds when the day began
        self.setup_costs: dict[int, RelayCost] = {}  # by relay: its cost when the day began
        self.datagrams = (0, 0)  # sent and received until the last count
        self.violations = 0
        self.stalls: list[tuple[int, int]] = []
        self.checked_at = 0  # time of the last check for stalls
        logger.remove()
        logger.add(
            lambda text: self.report_violation(str(text).strip()[:MAX_LOG_LINE]), level="ERROR", format="{message}"
        )

    def report_violation(self, text: str) -> None:
        self.violations += 1
        if self.violations <= MAX_VIOLATIONS:
            self.send(director_messages.Violation(f"process {self.assignment.index}: {text}"))

    # relays
    def start_relays(self) -> None:
        """Start all relays, one in each turn of the loop; the garbage collector never looks at them again."""
        gc.collect()
        gc.disable()
        self.initial_mb = proportional_memory()
        self.start_next(list(reversed(self.assignment.relays)))

    def start_next(self, remaining: list[int]) -> None:
        if remaining:
            self.start(remaining.pop())
            self.reactor.callLater(0, self.start_next, remaining)
            return
        gc.collect()
        gc.freeze()
        gc.enable()
        self.send(director_messages.RelaysReady())

    def configuration(self, relay: int) -> RelayConfiguration:
        own, rollout = self.peers[relay], self.rollout
        age_ms = max(0, self.setup.now() - rollout.since) / 10
        state = PlatformState(rollout.build, rollout.stage, rollout.phase, rollout.cap, age_ms)
        seed = stable_hash(self.assignment.seed, relay, self.setup.now(), 17)
        named_settings = self.scenario.named_settings(relay)
        known = self.endpoint_list.whole()
        broadcast = str(self.setup.addresses.broadcast(relay))
        return RelayConfiguration(
            f"n{relay}", own, own, seed, DESCRIPTORS, own, self.peers, broadcast, "", state, known, named_settings
        )

    def start(self, relay: int) -> None:
        hollow = HollowRelay(self.reactor, self.configuration(relay), self.services, time.time)
        self.relays[relay], self.started_at[relay] = hollow, self.reactor.seconds()
        self.list_versions[relay] = [(self.endpoint_list.version, self.setup.now())]
        self.record_rollout(relay)
        hollow.start()

    def kill(self, relay: int) -> None:
        hollow = self.relays.pop(relay, None)
        if hollow is None:
            return
        self.ended_costs.append(self.cost(relay, hollow))
        for request in [each for each in self.pending.values() if each.relay is hollow]:
            self.finish(request, "lost", 0)
        hollow.kill()

    def record_rollout(self, relay: int) -> None:
        """Record that the relay gets the rollout state of now."""
        rollout = self.rollout
        self.setup.record_line(
            StageReceived(self.setup.now(), relay, rollout.build, rollout.stage, rollout.phase, rollout.cap)
        )

    def vote(self, relay: int, build: int, stage: int, verdict: str) -> None:
        self.send(director_messages.Vote(relay, build, stage, verdict))

    def resend_list(self, hollow: HollowRelay) -> None:
        """Give the relay the whole list, as it asks for."""
        self.reactor.callLater(0, self.deliver_list, hollow, self.endpoint_list.whole(), "whole")

    def deliver_list(self, hollow: HollowRelay, news: ListUpdate, kind: str) -> None:
        """Give the relay a list or changes, unless it has been killed since."""
        if self.relays.get(hollow.index) is hollow:
            self.list_versions[hollow.index].append((news.version, self.setup.now()))
            hollow.listed(news, kind)

    def record_known_end(self, relay: int, name: str) -> None:
        """Record for the checker when the relay learnt that this backend drains or is gone.

        This is done only for a relay that sends the backend an attempt, since all changes at all relays would be
        millions of lines.  The line has an earlier time than its neighbours; the director puts lines in order."""
        version, entry = self.endpoint_list.closed.get(name, (0, None))
        if entry is None or (relay, name) in self.recorded_ends:
            return
        at = next((at for received, at in self.list_versions[relay] if received >= version), None)
        if at is not None:
            self.recorded_ends.add((relay, name))
            self.setup.record_line(EntryReceived(at, relay, name, entry.build, entry.state, entry.started))

    def count_sent(self, address: tuple[str, int], size: int) -> None:
        counts = self.peer_traffic.setdefault(self.relay_numbers.get(address, -1), [0, 0, 0, 0])
        counts[2] += 1
        counts[3] += size

    def count_received(self, address: tuple[str, int], size: int) -> None:
        counts = self.peer_traffic.setdefault(self.relay_numbers.get(address, -1), [0, 0, 0, 0])
        counts[0] += 1
        counts[1] += size

    # messages of the director
    def receive(self, message: Any) -> None:
        match message:
            case director_messages.DayBegin(start):
                self.begin(start)
            case director_messages.BackendState():
                self.backends.update(message)
            case director_messages.ListUpdate():
                self.publish_list(self.endpoint_list.apply(message))
            case director_messages.RolloutUpdate():
                self.publish_rollout(message)
            case director_messages.KillRelay(relay):
                self.kill(relay)
            case director_messages.StartRelay(relay) if relay not in self.relays:
                self.start(relay)
            case director_messages.VoteAnswer(relay, answer) if relay in self.relays:
                self.relays[relay].on_vote_answer(answer)
            case director_messages.ArrivalsOver():
                self.is_closing = True
                self.report_when_answered()

    def begin(self, start: float) -> None:
        """The day begins; `start` is in seconds of the reactor."""
        self.setup.begin(start)
        self.cpu_begun = time.process_time()
        self.setup_costs = {relay: self.cost(relay, hollow) for relay, hollow in self.relays.items()}
        self.peer_traffic.clear()
        self.schedule_arrivals()
        self.reactor.callLater(self.setup.seconds_until(TENTHS_PER_SECOND), self.count_traffic, 0)
        self.reactor.callLater(self.setup.seconds_until(STALL_CHECK), self.check_stall)

    def check_stall(self) -> None:
        """Note a stall if this call is late by more than MIN_STALL; call again after STALL_CHECK."""
        now, due = self.setup.now(), self.checked_at + STALL_CHECK
        if now > due + MIN_STALL and len(self.stalls) < MAX_STALLS:
            self.stalls.append((due, now))
        self.checked_at = now
        self.reactor.callLater(STALL_CHECK / TENTHS_PER_SECOND, self.check_stall)

    def publish_list(self, news: ListUpdate) -> None:
        """Give changes of the list to each relay after its own lag."""
        for relay, hollow in self.relays.items():
            self.reactor.callLater(
                self.list_lags[relay] / TENTHS_PER_SECOND, self.deliver_list, hollow, news, "changes"
            )

    def publish_rollout(self, update: director_messages.RolloutUpdate) -> None:
        self.rollout = update
        for relay, hollow in list(self.relays.items()):
            self.record_rollout(relay)
            age_ms = max(0, self.setup.now() - update.since) / 10
            hollow.on_rollout_state(PlatformState(update.build, update.stage, update.phase, update.cap, age_ms))

    def count_traffic(self, second: int) -> None:
        """Report the datagrams of that second of the day; call again a second later."""
        meters = [hollow.meter for hollow in self.relays.values()]
        ended = sum(cost.sent for cost in self.ended_costs), sum(cost.received for cost in self.ended_costs)
        now = ended[0] + sum(meter.sent for meter in meters), ended[1] + sum(meter.received for meter in meters)
        self.send(director_messages.Traffic(second, now[0] - self.datagrams[0], now[1] - self.datagrams[1]))
        self.datagrams = now
        if not self.is_closing:
            self.reactor.callLater(
                self.setup.seconds_until((second + 2) * TENTHS_PER_SECOND), self.count_traffic, second + 1
            )

    # requests
    def schedule_arrivals(self) -> None:
        due = self.clients.due
        if due is not None:
            self.reactor.callLater(self.setup.seconds_until(due), self.take_arrivals)

    def take_arrivals(self) -> None:
        """Take all that are due by now: each process draws the same arrivals, and serves those of its relays."""
        clients, now, own = self.clients, self.setup.now(), set(self.assignment.relays)
        while clients.due is not None and clients.due <= now:
            arrival = clients.next()
            if arrival.relay in own:
                self.lateness[max(0, now - arrival.at)] += 1
                self.serve(arrival)
        self.schedule_arrivals()

    def choose_relay(self, relay: int) -> HollowRelay | None:
        """That relay, or the next of this process that is up."""
        if relay in self.relays:
            return self.relays[relay]
        own = self.assignment.relays
        index = own.index(relay)
        return next((self.relays[each] for each in own[index:] + own[:index] if each in self.relays), None)

    def serve(self, arrival: Arrival) -> None:
        """Hand a request to its relay; without any relay it is not recorded."""
        hollow, now = self.choose_relay(arrival.relay), self.setup.now()
        if hollow is None:
            return
        customer = self.setup.tenants[arrival.customer]
        self.setup.record_line(take_line(now, hollow.index, arrival))
        workload = self.scenario.workload[arrival.workload]
        wait_ms = max(1, (arrival.deadline - now) // 10)
        text = statement_text(arrival, workload.name, workload.effect, customer, wait_ms)
        request = self.pending[arrival.number] = PendingRequest(arrival, hollow)
        request.timer = self.reactor.callLater(
            self.setup.seconds_until(arrival.deadline + CLIENT_GRACE), self.time_out, request
        )
        request.answer = hollow.take(statements.read(text), hollow.clock())
        request.answer.addCallbacks(self.on_answer, self.on_cancelled, callbackArgs=(request,), errbackArgs=(request,))

    def on_answer(self, answer: Any, request: PendingRequest) -> None:
        """Finish the request in the loop's next turn, so that a client's work does not count as its relay's."""
        outcome = "served" if isinstance(answer, Value) else "rejected" if isinstance(answer, Rejected) else "forfeited"
        retry_after = answer.retry_after if isinstance(answer, Rejected) else 0
        self.reactor.callLater(0, self.finish, request, outcome, retry_after)

    def on_cancelled(self, reason: Failure, request: PendingRequest) -> None:
        """Nothing to do: the client has left (`time_out`)."""

    def time_out(self, request: PendingRequest) -> None:
        """The client waits no longer."""
        if not request.is_over:
            self.finish(request, "left", 0)
            request.answer.cancel()

    def finish(self, request: PendingRequest, answer: str, retry_after: int) -> None:
        """Record the answer, and schedule the client's repeat if it makes one."""
        if request.is_over:
            return
        request.is_over, arrival = True, request.arrival
        if request.timer.active():
            request.timer.cancel()
        self.pending.pop(arrival.number, None)
        self.setup.record_line(InvocationEnded(self.setup.now(), request.relay.index, arrival.number, answer))
        repeated = self.clients.answered(self.setup.now(), arrival, answer, retry_after)
        if repeated:
            self.pending_repeats += 1
            self.reactor.callLater(self.setup.seconds_until(repeated.at), self.repeat, repeated)
        self.report_when_answered()

    def repeat(self, arrival: Arrival) -> None:
        self.pending_repeats -= 1
        self.serve(arrival)
        self.report_when_answered()

    def report_when_answered(self) -> None:
        if self.is_closing and not self.pending and not self.pending_repeats:
            self.is_closing = False
            self.send(director_messages.AllAnswered())

    # costs
    def cost(self, relay: int, hollow: HollowRelay) -> RelayCost:
        """The relay's cost since it came up."""
        meter, counts = hollow.meter, hollow.counters.counts
        lived = self.reactor.seconds() - self.started_at[relay]
        shed = counts["peers.shed"] + counts["peers.dropped"]
        return RelayCost(
            relay, lived, meter.seconds(), meter.sent, meter.received, meter.bytes_out, meter.bytes_in, shed
        )

    def subtract_setup(self, total: RelayCost) -> RelayCost:
        """The cost without what the relay had cost before the day began."""
        before = self.setup_costs.get(total.relay)
        if before is None or before.lived > total.lived:  # it came up in the day
            return total
        cpu = {kind: seconds - before.cpu.get(kind, 0.0) for kind, seconds in total.cpu.items()}
        figures = [
            getattr(total, name) - getattr(before, name)
            for name in ("sent", "received", "bytes_out", "bytes_in", "shed")
        ]
        return RelayCost(total.relay, total.lived - before.lived, cpu, *figures)

    def final_report(self) -> director_messages.FinalReport:
        costs = [self.subtract_setup(self.cost(relay, hollow)) for relay, hollow in self.relays.items()]
        for hollow in self.relays.values():
            if hollow.facade.faults:
                self.report_violation(f"relay {hollow.index}: {hollow.facade.faults} faults of the decision module")
        self.writer.close()
        return director_messages.FinalReport(
            costs,
            time.process_time() - self.cpu_begun,
            proportional_memory(),
            self.initial_mb,
            dict(self.lateness),
            {relay: tuple(figures) for relay, figures in self.peer_traffic.items()},
            self.stalls,
        )


class DirectorConnection(Protocol):
    """Messages of the director as lines on standard input, and this process's on standard output."""

    def __init__(self, reactor: Any) -> None:
        self.reactor, self.buffer = reactor, b""
        self.process: HollowProcess | None = None

    def send(self, message: director_messages.Message) -> None:
        self.transport.write(encode(message))

    def dataReceived(self, data: bytes) -> None:
        *lines, self.buffer = (self.buffer + data).split(b"\n")
        for line in lines:
            self.receive(decode(line))

    def receive(self, message: Any) -> None:
        match message:
            case director_messages.ProcessAssignment():
                self.process = HollowProcess(self.reactor, message, self.send)
                self.process.start_relays()
            case director_messages.Stop():
                self.send(self.process.final_report())
                self.reactor.callLater(0.1, self.reactor.stop)
            case _:
                self.process.receive(message)

    def connectionLost(self, reason: Failure | None = None) -> None:
        """The director has ended."""
        if self.reactor.running:
            self.reactor.stop()


def main() -> None:
    from twisted.internet import reactor
    from twisted.internet.stdio import StandardIO

    raise_descriptor_limit()
    StandardIO(DirectorConnection(use_shared_clock(reactor)))
    reactor.run()


if __name__ == "__main__":
    main()
