"""One scale run: real relays, processes of hollow ones, and all that they talk to; `runs.play` starts it in a process.

The director simulates the day (world/day.py), keeps the endpoint list and the platform, does to relays what the script
says, and serves the real relays' clients and backends itself.  It ends all that it started, at the latest when its time
is over.  All processes of a run are on the run's clock (slow_clock.py), which may be slower than the true one.
"""

import json
import os
import sys
import time
from pathlib import Path
from typing import Any

import msgspec
from twisted.internet.error import ProcessExitedAlready
from twisted.internet.protocol import ProcessProtocol
from twisted.python.failure import Failure

from ...facade import Facade, RolloutState
from ...record.files import read
from ...record.lines import VERSION, Head, InvocationTaken, Line, RecordEnd, RelayEvent, UnitEvent
from ...time_limits import TENTHS_PER_SECOND
from ...world.day import Day, RelayCommand
from ...world.unit import Unit
from ..loopback import process_messages as client_messages
from ..loopback.addresses import BACKENDS, LIST, PLATFORM, PortBlock
from ..loopback.control_plane import PING_INTERVAL_S, DiscoveryService, PlatformService
from ..loopback.process_group import raise_descriptor_limit
from ..loopback.trial_setup import TrialSetup, use_shared_clock
from ..scenario import Scenario, convert
from ..traffic import create_clients
from . import director_messages
from .addresses import ScaleAddresses
from .backends import Backends
from .director_messages import RelayCost, decode, encode
from .real_relays import CLOCK, BackendListener, ProcessCost, RealClients, RealRelays

START_DELAY_S = 0.5  # between the last relay's coming up and the day's beginning
ANSWER_GRACE_S = 6.0  # for answers after the last arrival
POSSIBLE_JUDGES = 4  # of a build: the judges, and the next in line
BACKLOG = 512  # connections that wait in the kernel to be accepted
KILL_MARGIN = TENTHS_PER_SECOND  # a request lost so near a relay's kill is lost by the kill
STALL_CHECK = 200  # tenths of a ms between checks of the event loop
MIN_STALL = 200  # tenths of a ms by which a check is late, from which on it is a stall
MAX_PROBLEMS = 100  # that are kept
MAX_ERROR_BYTES = 4_000  # of a process's standard error that are kept
MAX_ERROR_TEXT = 600  # characters of it that are reported
MAX_LOST = 10  # lost requests that are reported
PAGE_MB = 4096 / (1 << 20)  # of a page of memory


class Plan(msgspec.Struct, frozen=True):
    """How a scenario is played."""

    real: int  # relays that are real
    processes: int  # of hollow relays
    clock_rate: float  # of the run's clock: its seconds in a true one
    clock_start: float  # seconds of CLOCK_MONOTONIC at which the run's clock showed the same
    list_interval: float  # seconds for which changes of the list are gathered
    max_seconds: float  # true ones, after which all ends


class Measurements(msgspec.Struct):
    """What a run leaves beside its record."""

    real: list[int]  # the real relays
    has_begun: bool  # whether the day began
    problems: list[str]
    process_costs: list[ProcessCost]  # of real relays
    relay_costs: list[RelayCost]  # of hollow relays
    # by real relay, as hollow relays saw it: datagrams and bytes received of it, datagrams and bytes sent to it
    peer_traffic: dict[int, tuple[int, int, int, int]]
    traffic: dict[int, tuple[int, int]]  # by second of the day: datagrams that hollow relays sent and received
    # of each process of hollow relays: processor seconds, MB at the end, MB before its relays, number of relays
    groups: list[tuple[float, float, float, int]]
    lateness: dict[int, int]  # arrivals at hollow relays by how late they were served, in tenths of a ms
    stalls: list[list[tuple[int, int]]]  # of each process of hollow relays: begin and end, in tenths of a ms
    hollow: list[list[int]]  # of each process of hollow relays: its relays
    director_stalls: list[tuple[int, int]]  # in tenths of a ms
    director_cpu: float  # seconds
    memory_mb: float  # the most of all processes together; pages that they share count in each
    processes: int
    setup_seconds: float  # true ones, until the day began
    day_seconds: float  # true ones, from the day's beginning to the last arrival


def duty_owners(scenario: Scenario) -> list[int]:
    """The relays that may own a duty in this day: the possible load trackers, and each build's possible judges.

    They come from a facade that is built from the scenario's settings, so they are those that relays themselves see."""
    facade = Facade(scenario.named_settings(0), 1, lambda: 0)
    owners = dict.fromkeys(facade.relay.load_tracking.order)
    for build in (scenario.build, *(each.number for each in scenario.builds)):
        facade.report(RolloutState(build, 0, "on trial", scenario.platform.caps[0], 0))
        owners |= dict.fromkeys(facade.relay.judge.order[:POSSIBLE_JUDGES])
    return [relay for relay in owners if relay < scenario.fleet.relays]


def choose_real_relays(scenario: Scenario, count: int) -> list[int]:
    """The relays that are to be real, in order.

    Owners of duties come first, so that a duty's cost is that of a process; the others are spread over the fleet."""
    chosen = dict.fromkeys(duty_owners(scenario)[:count])
    step = max(1, scenario.fleet.relays // max(1, count))
    for start in range(step):
        chosen |= dict.fromkeys(range(start, scenario.fleet.relays, step))
    return sorted(list(chosen)[:count])


class HollowGroup(ProcessProtocol):
    """One process of hollow relays, as the director sees it."""

    def __init__(self, director: "Director", index: int, relays: list[int]) -> None:
        self.director, self.index, self.relays = director, index, relays
        self.record = director.folder / f"group-{index}.record"
        self.buffer, self.errors = b"", b""
        self.is_ready = self.has_answered = self.has_ended = False
        self.final_report: director_messages.FinalReport | None = None
        self.process = director.reactor.spawnProcess(self, sys.executable, director.program(), None)
        cores = sorted(os.sched_getaffinity(0))
        # else the kernel may run several processes on one core
        os.sched_setaffinity(self.process.pid, {cores[index % len(cores)]})
        scenario = director.scenario.plain()
        port = director.port_block.port
        self.send(
            director_messages.ProcessAssignment(
                index, director.plan.processes, scenario, director.seed, port, str(self.record), relays
            )
        )

    def send(self, message: director_messages.Message) -> None:
        if not self.has_ended:
            self.transport.write(encode(message))

    def outReceived(self, data: bytes) -> None:
        *lines, self.buffer = (self.buffer + data).split(b"\n")
        for line in lines:
            self.director.receive(self, decode(line))

    def errReceived(self, data: bytes) -> None:
        self.errors = (self.errors + data)[-MAX_ERROR_BYTES:]

    def processEnded(self, reason: Failure) -> None:
        self.has_ended = True
        if self.final_report is None:
            text = self.errors.decode(errors="replace").strip()[-MAX_ERROR_TEXT:] or reason.getErrorMessage()
            self.director.report_violation(f"process {self.index} ended early: {text}")
            self.director.on_group_lost()


class Director:
    """Drives the simulated day and the processes of relays; `problems` says what went wrong, apart from the rules."""

    def __init__(self, reactor: Any, scenario: Scenario, seed: int, folder: Path, plan: Plan) -> None:
        self.reactor, self.scenario, self.seed, self.folder, self.plan = reactor, scenario, seed, folder, plan
        self.lines: list[Line] = []
        self.problems: list[str] = []
        self.port_block = PortBlock(1)  # one block of ports: relays differ in their addresses
        self.setup = TrialSetup(
            reactor,
            scenario,
            seed,
            self.port_block.port,
            self.record_line,
            self.report_violation,
            self.receive_from_clients,
        )
        self.setup.addresses = ScaleAddresses(self.port_block.port)
        self.day = Day(scenario.parts(), seed, create_clients(scenario, seed))
        self.backend_numbers: dict[str, int] = {}
        self.backend_names: list[str] = []  # by number
        for name in self.day.fleet.units:
            self.backend_number(name)
        self.serving_relays: dict[int, int] = {}  # by request of a real relay's client: the relay that took it
        self.real = choose_real_relays(scenario, plan.real)
        self.relays = RealRelays(
            self.setup, self.day, folder, self.backend_number, self.relays_changed, self.on_real_relays_ended
        )
        self.relays.clock_rate, self.relays.clock_start = plan.clock_rate, plan.clock_start
        self.day.roles = self.relays.duty_holders
        self.discovery = DiscoveryService(self.setup, self.day, self.backend_number)
        self.platform = PlatformService(self.setup, self.day, self.vote)
        # the backends of real relays are machines of their own; those of `day` stay idle
        machines = Day(scenario.parts(), seed, create_clients(scenario, seed)).fleet.units
        self.backends = Backends(self.setup, machines, self.on_backend_crash)
        self.listener = BackendListener(
            self.backends, self.backend_name, lambda number: self.serving_relays.get(number, -1)
        )
        self.clients = RealClients(self.setup, self.real)
        self.groups: list[HollowGroup] = []
        self.group_of: dict[int, HollowGroup] = {}  # by hollow relay
        self.backend_states: dict[str, director_messages.BackendState] = {}  # as last sent, of backends that changed
        self.list_version, self.list_timer = self.day.roster.version, None
        self.traffic: dict[int, list[int]] = {}  # by second of the day: datagrams that hollow relays sent and received
        self.waiting = 0  # processes with clients that have no answer yet, the director among them
        self.arrivals_over = self.is_over = False
        self.timer: Any = None  # of the day's next event
        self.usage_before: dict[int, tuple[float, float]] = {}  # by real relay: seconds and MB when the day began
        self.costs: list[ProcessCost] = []
        self.memory_mb = 0.0
        self.day_began_at = self.started_at = self.arrivals_over_at = 0.0  # seconds of the run's clock
        self.cpu_begun = 0.0  # processor seconds when the day began
        self.stalls: list[tuple[int, int]] = []
        self.checked_at = 0  # time of the last check for stalls

    # what others need
    def backend_number(self, name: str) -> int:
        """The backend's number; one that comes back under its name keeps it."""
        if name not in self.backend_numbers:
            self.backend_numbers[name] = len(self.backend_names)
            self.backend_names.append(name)
        return self.backend_numbers[name]

    def backend_name(self, number: int) -> str:
        """The backend's name, an empty one for an unknown number."""
        return self.backend_names[number] if 0 <= number < len(self.backend_names) else ""

    def record_line(self, line: Line) -> None:
        if isinstance(line, InvocationTaken):
            self.serving_relays[line.number] = line.relay
        self.lines.append(line)

    def report_violation(self, text: str) -> None:
        if len(self.problems) < MAX_PROBLEMS:
            self.problems.append(text)

    def program(self) -> list[str]:
        """The command of a process of hollow relays."""
        module = f"{__package__}.hollow_process"
        if self.plan.clock_rate == 1.0:
            return [sys.executable, "-B", "-m", module]
        return [sys.executable, "-B", str(CLOCK), repr(self.plan.clock_rate), repr(self.plan.clock_start), module]

    # the course of a run
    def start(self) -> None:
        self.started_at = time.monotonic()
        scenario, port = self.scenario, self.port_block.port
        self.record_line(
            Head(0, VERSION, "trial", scenario.name, self.seed, scenario.named_settings(0), scenario.plain())
        )
        self.reactor.callLater(self.plan.max_seconds * self.plan.clock_rate, self.give_up)
        self.reactor.listenTCP(port + LIST, self.discovery, BACKLOG)
        self.reactor.listenTCP(port + PLATFORM, self.platform, BACKLOG)
        self.reactor.listenTCP(port + BACKENDS, self.listener, BACKLOG)
        hollow_relays = [relay for relay in range(scenario.fleet.relays) if relay not in set(self.real)]
        for index in range(self.plan.processes):
            group = HollowGroup(self, index, hollow_relays[index :: self.plan.processes])
            self.groups.append(group)
            self.group_of |= dict.fromkeys(group.relays, group)
        self.apply_changes()
        for relay in self.real:
            self.relays.start(relay)

    def give_up(self) -> None:
        if not self.is_over:
            self.report_violation(f"not over within {self.plan.max_seconds:.0f} s")
            self.finish()

    def relays_changed(self) -> None:
        """A real relay is ready or leaves."""
        if not self.is_over:
            self.clients.receive(client_messages.RelayStates(self.relays.ready(), self.relays.ending()))
            self.begin_if_ready()

    def begin_if_ready(self) -> None:
        """Let the day begin once all relays are up."""
        ready = all(group.is_ready for group in self.groups) and len(self.relays.ready()) == len(self.real)
        if self.setup.has_begun or not ready or self.is_over:
            return
        start = self.reactor.seconds() + START_DELAY_S
        for relay in self.group_of:
            self.record_line(RelayEvent(0, relay, "up"))
        self.setup.begin(start)
        self.clients.receive(client_messages.DayBegin(start))
        for group in self.groups:
            group.send(director_messages.DayBegin(start))
        self.wake()
        self.ping()
        self.reactor.callLater(START_DELAY_S, self.begin_day)
        self.reactor.callLater(START_DELAY_S + self.scenario.seconds, self.end_arrivals)

    def begin_day(self) -> None:
        self.day_began_at, self.cpu_begun = time.monotonic(), time.process_time()
        self.usage_before = self.relays.usage()
        self.relays.request_counters()
        self.check_memory()
        self.check_stall()

    def check_stall(self) -> None:
        """Note a stall if this call is late by more than MIN_STALL; call again after STALL_CHECK."""
        now = self.setup.now()
        if now > self.checked_at + STALL_CHECK + MIN_STALL:
            self.stalls.append((self.checked_at + STALL_CHECK, now))
        self.checked_at = now
        if not self.is_over:
            self.reactor.callLater(STALL_CHECK / TENTHS_PER_SECOND, self.check_stall)

    def check_memory(self) -> None:
        """Note the resident memory of all processes of the run together; call again after a second."""
        pids = [group.process.pid for group in self.groups] + [each.pid for _, each in self.relays.running.values()]
        total = 0.0
        for pid in (*pids, "self"):
            try:
                total += int(Path(f"/proc/{pid}/statm").read_text().split()[1]) * PAGE_MB
            except OSError:  # it has just ended
                continue
        self.memory_mb = max(self.memory_mb, total)
        if not self.is_over:
            self.reactor.callLater(1.0, self.check_memory)

    def ping(self) -> None:
        self.platform.ping()
        if not self.is_over:
            self.reactor.callLater(PING_INTERVAL_S, self.ping)

    def end_arrivals(self) -> None:
        """The last request has arrived: end once all are answered, or after ANSWER_GRACE_S."""
        self.waiting, self.arrivals_over = len(self.groups) + 1, True
        self.arrivals_over_at = time.monotonic()
        usage = self.relays.usage()
        for relay, (cpu, memory) in usage.items():
            if relay in self.usage_before and not self.relays.killed_at.get(relay):
                self.costs.append(ProcessCost(relay, cpu - self.usage_before[relay][0], memory, {}))
        self.relays.request_counters()
        self.clients.receive(client_messages.ArrivalsOver())
        for group in self.groups:
            group.send(director_messages.ArrivalsOver())
        self.reactor.callLater(ANSWER_GRACE_S, self.finish)

    def receive_from_clients(self, message: Any) -> None:
        """A message of the director's own clients, those of the real relays."""
        if isinstance(message, client_messages.AllAnswered):
            self.count_answered()

    def count_answered(self) -> None:
        """The clients of one process have all their answers."""
        self.waiting -= 1
        if self.arrivals_over and not self.waiting:
            self.finish()

    def receive(self, group: HollowGroup, message: Any) -> None:
        """A message of a process of hollow relays."""
        match message:
            case director_messages.RelaysReady():
                group.is_ready = True
                self.begin_if_ready()
            case director_messages.Vote(relay, build, stage, verdict):
                answer = self.vote(relay, build, stage, verdict)
                if answer != "nothing":
                    group.send(director_messages.VoteAnswer(relay, answer))
            case director_messages.BackendCrashed(name):
                self.on_backend_crash(name)
            case director_messages.Traffic(second, sent, received):
                so_far = self.traffic.setdefault(second, [0, 0])
                so_far[0] += sent
                so_far[1] += received
            case director_messages.Violation(text):
                self.report_violation(text)
            case director_messages.AllAnswered():
                self.count_answered()
            case director_messages.FinalReport():
                group.final_report = message
                self.stop_if_all_ended()

    def finish(self) -> None:
        if not self.is_over:
            self.is_over = True
            self.relays.end()
            for group in self.groups:
                group.send(director_messages.Stop())

    def on_real_relays_ended(self) -> None:
        self.stop_if_all_ended()

    def on_group_lost(self) -> None:
        """A process of hollow relays has ended early: end the run."""
        self.finish()
        self.stop_if_all_ended()

    def stop_if_all_ended(self) -> None:
        if (
            self.is_over
            and not self.relays.running
            and all(group.final_report or group.has_ended for group in self.groups)
        ):
            self.reactor.callLater(0, self.stop)

    def stop(self) -> None:
        if self.reactor.running:
            self.reactor.stop()

    def kill_processes(self) -> None:
        """Kill what still runs, and release the ports: no process outlives the director."""
        self.relays.kill_all()
        for group in self.groups:
            try:
                group.process.signalProcess("KILL")
            except ProcessExitedAlready:
                continue
        self.port_block.release()

    # the simulated day
    def wake(self) -> None:
        if self.is_over:
            return
        if self.setup.now() >= self.day.due:
            self.day.wake(self.setup.now())
            self.apply_changes()
        else:
            self.schedule()

    def schedule(self) -> None:
        """Set the timer of the day's next event."""
        if self.timer and self.timer.active():
            self.timer.cancel()
        self.timer = self.reactor.callLater(min(self.setup.seconds_until(self.day.due), 1.0), self.wake)

    def vote(self, relay: int, build: int, stage: int, verdict: str) -> str:
        """The platform's answer to a relay's vote."""
        answer = self.day.vote(self.setup.now(), relay, build, stage, verdict)
        self.reactor.callLater(0, self.apply_changes)
        return answer

    def on_backend_crash(self, name: str) -> None:
        unit = self.day.fleet.units.get(name)
        if unit and not unit.is_dead:
            unit.crashed = unit.crash_reported = True
            self.day.record_crash(self.setup.now(), unit)
            self.apply_changes()

    def apply_changes(self) -> None:
        """Carry out what the day has left to do."""
        left = self.day.left()
        for line in left.lines:
            self.record_line(line)
        changed = dict.fromkeys(line.unit for line in left.lines if isinstance(line, UnitEvent) and line.at)
        self.send_states(changed | dict.fromkeys(unit.name for unit in left.changed_units))
        if left.list_versions and not self.list_timer:
            self.list_timer = self.reactor.callLater(self.plan.list_interval, self.publish_list)
        if self.day.rollout_changed and self.setup.now() >= self.day.platform.silent_until:
            self.day.rollout_changed = False
            self.publish_rollout()
        for order in left.relays:
            self.execute(order)
        if self.setup.has_begun and not self.is_over:
            self.schedule()

    def send_states(self, names: dict[str, None]) -> None:
        """Send the states of these backends to all processes, where they have changed."""
        for name in names:
            unit = self.day.fleet.units.get(name)
            state = backend_state(name, unit)
            if self.backend_states.get(name) == state:
                continue
            before, self.backend_states[name] = self.backend_states.get(name), state
            self.backend_number(name)
            self.backends.update(state)
            if state.is_dead or before and (before.identity, before.started) != (state.identity, state.started):
                self.listener.reset_connections(name)
            for group in self.groups:
                group.send(state)

    def publish_list(self) -> None:
        """Publish what has changed since the last time; each relay gets it after its own lag."""
        self.list_timer, roster = None, self.day.roster
        since, self.list_version = self.list_version, roster.version
        last = {entry.name: entry for entry in roster.log[since : roster.version]}
        for group in self.groups:
            group.send(director_messages.ListUpdate(roster.version, list(last.values())))
        for relay in self.real:
            self.reactor.callLater(roster.lag[relay] / TENTHS_PER_SECOND, self.discovery.publish, relay, roster.version)

    def publish_rollout(self) -> None:
        state = self.day.platform.state
        self.platform.publish()
        for group in self.groups:
            group.send(director_messages.RolloutUpdate(state.build, state.stage, state.phase, state.cap, state.since))

    def execute(self, order: RelayCommand) -> None:
        """Do to a relay what the script says.

        Hollow relays can only be killed and come up again: they have no process of their own that could be stopped."""
        group = self.group_of.get(order.relay)
        if group is None:
            return self.relays.execute(order)
        match order.what:
            case "down":
                self.record_line(RelayEvent(self.setup.now(), order.relay, "down"))
                group.send(director_messages.KillRelay(order.relay))
            case "up":
                self.record_line(RelayEvent(self.setup.now(), order.relay, "up"))
                group.send(director_messages.StartRelay(order.relay))
            case _:
                self.report_violation(f"relay {order.relay} is hollow: '{order.what}' needs a real relay")

    # results
    def record(self) -> list[Line]:
        """The lines of all processes in the order of their times."""
        lines = list(self.lines)
        for group in self.groups:
            if group.record.exists():
                lines += [line for line in read(group.record) if not isinstance(line, (Head, RecordEnd))]
        return sorted(lines, key=lambda line: line.at)

    def lost_while_up(self) -> list[str]:
        """Requests that a real relay lost although the script had not killed it, a sentence each."""
        return [
            f"relay {relay}, which nobody had killed, lost a request at {at / TENTHS_PER_SECOND:.3f}s"
            for relay, at in self.clients.lost_while_up
            if not any(abs(at - down) < KILL_MARGIN for down in self.relays.killed_at.get(relay, ()))
        ]

    def measurements(self) -> Measurements:
        """All figures of the run, those of its processes added up."""
        lateness: dict[int, int] = {}
        reports = [group.final_report for group in self.groups if group.final_report]
        peer_traffic: dict[int, list[int]] = {}
        for report in reports:
            for late, count in report.lateness.items():
                lateness[late] = lateness.get(late, 0) + count
            for relay, figures in report.peer_traffic.items():
                if relay in self.real:
                    so_far = peer_traffic.setdefault(relay, [0, 0, 0, 0])
                    peer_traffic[relay] = [one + other for one, other in zip(so_far, figures)]
        return Measurements(
            self.real,
            self.setup.has_begun,
            self.problems + self.lost_while_up()[:MAX_LOST],
            [add_counts(cost, self.relays.read_counters(cost.relay)) for cost in self.costs],
            [cost for report in reports for cost in report.costs],
            {relay: tuple(figures) for relay, figures in peer_traffic.items()},
            {second: tuple(figures) for second, figures in sorted(self.traffic.items())},
            [
                (
                    group.final_report.cpu,
                    group.final_report.memory_mb,
                    group.final_report.initial_mb,
                    len(group.relays),
                )
                for group in self.groups
                if group.final_report
            ],
            lateness,
            [group.final_report.stalls if group.final_report else [] for group in self.groups],
            [group.relays for group in self.groups],
            self.stalls,
            time.process_time() - self.cpu_begun,
            self.memory_mb,
            1 + len(self.groups) + len(self.real),
            (self.day_began_at - self.started_at) / self.plan.clock_rate,
            (self.arrivals_over_at - self.day_began_at) / self.plan.clock_rate,
        )


def add_counts(cost: ProcessCost, counters: list[dict[str, int]]) -> ProcessCost:
    """The cost with the growth of the relay's counters in the day; `counters` are those that it wrote at the day's
    beginning and at its end.  Without both the cost stays as it is."""
    if len(counters) < 2:
        return cost
    first, last = counters[0], counters[1]
    return msgspec.structs.replace(cost, counts={name: count - first.get(name, 0) for name, count in last.items()})


def backend_state(name: str, unit: Unit | None) -> director_messages.BackendState:
    """A backend's state as the day's fleet has it; `unit` is None if it is gone."""
    if unit is None:
        return director_messages.BackendState(name, 0, 0, 1.0, "", 0, 0, False, 1.0, 0.0, False, True)
    return director_messages.BackendState(
        name,
        unit.identity,
        unit.build.number,
        unit.speed,
        unit.zone,
        unit.cell,
        unit.started,
        unit.is_hung,
        unit.slowdown,
        unit.errors,
        unit.is_draining,
        unit.is_dead,
    )


def main() -> None:
    """Read {scenario, seed, folder, plan} from standard input, play, and write the results (`Run`) as JSON."""
    from twisted.internet import reactor

    from .results import evaluate_run

    order = json.load(sys.stdin)
    raise_descriptor_limit()
    plan = msgspec.convert(order["plan"], Plan)
    director = Director(
        use_shared_clock(reactor), convert(order["scenario"]), order["seed"], Path(order["folder"]), plan
    )
    reactor.callWhenRunning(director.start)
    try:
        reactor.run()
    finally:
        director.kill_processes()
    run = evaluate_run(director.scenario, director.measurements(), director.record())
    sys.stdout.buffer.write(msgspec.json.encode(run))


if __name__ == "__main__":
    main()
