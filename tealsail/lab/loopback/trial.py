"""One trial: real relay processes, and the world behind sockets round them, in real time; `python -m` it.

This is the coordinator: it drives the day, keeps the list and the platform, and does to relays what the script says.
Backends, clients and the carrier of relays' messages are members of a process group (process_group.py): in this process
for a few relays, in processes of their own for many.
"""

import heapq
import json
import sys
import time
from collections import Counter
from collections.abc import Iterator
from pathlib import Path
from typing import Any

import msgspec

from ...record.files import Writer, read
from ...record.lines import VERSION, Head, Line, RecordEnd as Closed, ShotSent
from ...time_limits import TENTHS_PER_SECOND
from ...world.day import Day
from ...world.rules import SOCKET_SLACK
from ..figures import Result
from ..runs import RecordEvaluation
from ..scenario import Scenario, convert
from ..traffic import create_clients
from .addresses import LIST, PLATFORM, PortBlock
from .control_plane import PING_INTERVAL_S, DiscoveryService, PlatformService
from .process_fleet import ProcessFleet
from .process_group import LocalMember, ProcessMember, raise_descriptor_limit
from .process_messages import (
    AllAnswered,
    ArrivalsOver,
    BackendCrashed,
    BackendState,
    DayBegin,
    FinalReport,
    Message,
    NetworkState,
    RelayStates,
    Stop,
    Violation,
)
from .trial_setup import TrialSetup, use_shared_clock

READY_TIMEOUT_S = 30.0  # for all relays to come up
READY_TIMEOUT_PER_RELAY_S = 0.25  # more for each of them
ANSWER_GRACE_S = 10.0  # for answers after the last arrival
END_TIMEOUT_S = 25.0  # for the end of all processes
START_DELAY = 2_000  # tenths of a ms between the last relay's coming up and the day's beginning
LATE_ARRIVAL = 100  # tenths of a ms; an arrival that is sent later than that is too late
MAX_LATE_SHARE = 0.01  # of arrivals that are too late; with more of them a trial is void
MAX_LOCAL_RELAYS = 24  # relays up to which all members fit in the coordinator's process
RELAYS_PER_MEMBER = 200  # relays for which a member can play backends or clients
KILL_MARGIN = 10_000  # tenths of a ms; a request lost so near a relay's kill is lost by the kill
MAX_PROBLEMS = 100  # that are kept
MAX_LOST = 10  # lost requests that are reported
BACKLOG = 512  # connections that wait in the kernel to be accepted


def processes_by_role(relays: int) -> dict[str, int]:
    """How many processes each role has; 0 stands for the coordinator's own."""
    if relays <= MAX_LOCAL_RELAYS:
        return {"units": 0, "clients": 0, "notes": 0}
    return {"units": 1 + relays // RELAYS_PER_MEMBER, "clients": 1 + relays // RELAYS_PER_MEMBER, "notes": 1}


class Trial:
    """Drives the simulated day and the relays' processes.

    `problems` says what relays did that no rule has a name for."""

    def __init__(self, reactor: Any, scenario: Scenario, seed: int, folder: Path) -> None:
        self.reactor, self.scenario, self.seed, self.folder = reactor, scenario, seed, folder
        self.relays = scenario.fleet.relays
        self.port_block = PortBlock(self.relays)
        self.lines: list[Line] = []
        self.problems: list[str] = []
        self.setup = TrialSetup(
            reactor, scenario, seed, self.port_block.port, self.lines.append, self.report_violation, self.receive
        )
        self.day = Day(scenario.parts(), seed, create_clients(scenario, seed))
        self.port_numbers: dict[str, int] = {}
        self.processes = ProcessFleet(
            self.setup, self.day, folder, self.port_number, self.relays_changed, self.stop_members
        )
        self.day.roles = self.processes.duty_holders
        self.discovery = DiscoveryService(self.setup, self.day, self.port_number)
        self.platform = PlatformService(self.setup, self.day, self.vote)
        self.members: dict[str, list[Any]] = {}
        self.backend_states: dict[str, BackendState] = {}  # as last sent to their members
        self.network_state: list[Any] = []  # as last sent
        self.waiting = 0  # members whose clients have no answer yet
        self.final_reports: list[FinalReport] = []
        self.costs: dict[str, float] = {}
        self.arrivals_over = self.is_over = False
        self.timer: Any = None

    def report_violation(self, text: str) -> None:
        if len(self.problems) < MAX_PROBLEMS:
            self.problems.append(text)

    def port_number(self, name: str) -> int:
        """The backend's number, for its port; one that comes back under its name keeps it."""
        return self.port_numbers.setdefault(name, len(self.port_numbers))

    def send(self, role: str, message: Message) -> None:
        for member in self.members[role]:
            member.send(message)

    # the course of a trial
    def start(self) -> None:
        setup, port = self.setup, self.port_block.port
        setup.record_line(
            Head(
                0,
                VERSION,
                "trial",
                self.scenario.name,
                self.seed,
                self.scenario.named_settings(0),
                self.scenario.plain(),
            )
        )
        self.reactor.listenTCP(port + LIST, self.discovery, BACKLOG)
        self.reactor.listenTCP(port + PLATFORM, self.platform, BACKLOG)
        for role, count in processes_by_role(self.relays).items():
            apart = [ProcessMember(setup, role, index, count, self.folder) for index in range(count)]
            self.members[role] = apart or [LocalMember(setup, role)]
        self.apply_changes()
        for relay in range(self.relays):
            self.processes.start(relay)
        self.reactor.callLater(READY_TIMEOUT_S + READY_TIMEOUT_PER_RELAY_S * self.relays, self.give_up_waiting)

    def give_up_waiting(self) -> None:
        if not self.setup.has_begun and not self.is_over:
            self.report_violation(f"{self.relays - len(self.processes.ready())} relays were not ready in time")
            self.finish()

    def relays_changed(self) -> None:
        if self.is_over:
            return
        self.send("clients", RelayStates(self.processes.ready(), self.processes.ending()))
        if not self.setup.has_begun and len(self.processes.ready()) == self.relays:
            start = self.reactor.seconds() + START_DELAY / TENTHS_PER_SECOND
            self.setup.begin(start)
            for role in self.members:
                self.send(role, DayBegin(start))
            self.wake()
            self.ping()
            self.reactor.callLater(
                self.scenario.span / TENTHS_PER_SECOND + START_DELAY / TENTHS_PER_SECOND, self.end_arrivals
            )

    def ping(self) -> None:
        self.platform.ping()
        if not self.is_over:
            self.reactor.callLater(PING_INTERVAL_S, self.ping)

    def end_arrivals(self) -> None:
        """The last request has arrived: end once all are answered, or after ANSWER_GRACE_S."""
        self.waiting, self.arrivals_over = len(self.members["clients"]), True
        self.send("clients", ArrivalsOver())
        self.reactor.callLater(ANSWER_GRACE_S, self.finish)

    def receive(self, message: Message) -> None:
        """A message from a member."""
        match message:
            case AllAnswered() if self.arrivals_over:
                self.waiting -= 1
                if not self.waiting:
                    self.finish()
            case BackendCrashed(name):
                unit = self.day.fleet.units.get(name)
                if unit and not unit.is_dead:
                    unit.crashed = unit.crash_reported = True
                    self.day.record_crash(self.setup.now(), unit)
                    self.apply_changes()
            case Violation(text):
                self.report_violation(text)
            case FinalReport():
                self.final_reports.append(message)
                if len(self.final_reports) == sum(len(each) for each in self.members.values()):
                    self.done()

    def finish(self) -> None:
        if not self.is_over:
            self.is_over = True
            self.costs = self.processes.costs()
            self.processes.end()
            self.reactor.callLater(END_TIMEOUT_S, self.done)

    def stop_members(self) -> None:
        """No relay is left: the members end."""
        for role in self.members:
            self.send(role, Stop())

    def done(self) -> None:
        if self.reactor.running:
            self.reactor.stop()

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
        wait = min(self.setup.seconds_until(self.day.due), 1.0)
        if self.timer and self.timer.active():
            self.timer.cancel()
        self.timer = self.reactor.callLater(wait, self.wake)

    def vote(self, relay: int, build: int, stage: int, verdict: str) -> str:
        answer = self.day.vote(self.setup.now(), relay, build, stage, verdict)
        self.reactor.callLater(0, self.apply_changes)
        return answer

    def backend_state(self, name: str, unit: Any) -> BackendState:
        return BackendState(
            name,
            self.port_number(name),
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

    def send_states(self) -> None:
        """Send the states of backends and of the network that have changed since they were last sent."""
        units = self.day.fleet.units
        for name, before in list(self.backend_states.items()):
            if name not in units and not before.is_dead:
                self.send_backend_state(msgspec.structs.replace(before, is_dead=True))
        for name, unit in units.items():
            now = self.backend_state(name, unit)
            if self.backend_states.get(name) != now:
                self.send_backend_state(now)
        plain = self.day.network.plain()
        if plain != self.network_state:
            self.network_state = plain
            for role in ("units", "notes"):
                self.send(role, NetworkState(plain))

    def send_backend_state(self, state: BackendState) -> None:
        """Send a backend's state to the one member that plays it."""
        members = self.members["units"]
        self.backend_states[state.name] = state
        members[state.number % len(members)].send(state)

    def apply_changes(self) -> None:
        """Carry out what the day has left to do."""
        day, setup = self.day, self.setup
        left = day.left()
        for line in left.lines:
            setup.record_line(line)
        self.send_states()
        for service in (self.discovery, self.platform):
            service.reset_cut_off()
        for version in left.list_versions:
            for relay, lag in enumerate(day.roster.lag):
                self.reactor.callLater(lag / TENTHS_PER_SECOND, self.discovery.publish, relay, version)
        if day.rollout_changed and setup.now() >= day.platform.silent_until:
            day.rollout_changed = False
            self.platform.publish()
        for order in left.relays:
            self.processes.execute(order)
        if setup.has_begun and not self.is_over:
            self.schedule()

    # results
    def record(self) -> Iterator[Line]:
        """The lines of all members in the order of their times."""
        members = [member for members in self.members.values() for member in members]
        files = [member.record for member in members if isinstance(member, ProcessMember)]
        streams = [(line for line in read(path) if not isinstance(line, (Head, Closed))) for path in sorted(files)]
        return heapq.merge(self.lines, *streams, key=lambda line: line.at)

    def lateness(self) -> tuple[int, float]:
        """The 99th percentile of how late arrivals were sent, in tenths of a ms, and the share of those too late."""
        counts: Counter[int] = Counter()
        for report in self.final_reports:
            counts.update(report.lateness)
        total, seen, ninety_ninth = counts.total(), 0, 0
        for late, count in sorted(counts.items()):
            seen += count
            if seen >= 0.99 * total:
                ninety_ninth = late
                break
        too_late = sum(count for late, count in counts.items() if late > LATE_ARRIVAL)
        return ninety_ninth, too_late / (total or 1)

    def lost_while_up(self) -> list[str]:
        """Requests that a relay lost although the script had not killed it, a sentence each."""
        return [
            f"relay {relay}, which nobody had killed, lost an invocation at {at / TENTHS_PER_SECOND:.3f}s"
            for report in self.final_reports
            for relay, at in report.lost_while_up
            if not any(abs(at - down) < KILL_MARGIN for down in self.processes.killed_at.get(relay, ()))
        ]


def judge(trial: Trial, path: str) -> tuple[Result, RecordEvaluation, bool]:
    """Figures and broken rules from the record, which goes to `path` if there is one; and whether the trial is void."""
    late, late_share = trial.lateness()
    judged = RecordEvaluation(trial.scenario.plain(), SOCKET_SLACK)
    writer = Writer(path) if path else None
    resent, taken = {tuple(each) for report in trial.final_reports for each in report.resent}, set()
    for line in trial.record():
        judged(line)
        if isinstance(line, ShotSent) and (line.relay, line.number) in resent:
            taken.add((line.relay, line.number))  # the relay had read the request after all, and never answered
        if writer:
            writer(line)
    if writer:
        writer.close(late)
    result = judged.result(late)
    lost = trial.lost_while_up() + [
        f"relay {relay} had sent {number} on and ended without an answer" for relay, number in sorted(taken)
    ]
    if lost:
        result.breaches["lost"] = result.breaches.get("lost", 0) + len(lost)
        trial.problems += lost[:MAX_LOST]
    if trial.problems:
        result.breaches["problems"] = len(trial.problems)
    own = time.process_time()
    result.figures.update(trial.costs, stand_ins_cpu=own + sum(report.cpu for report in trial.final_reports))
    return result, judged, late_share > MAX_LATE_SHARE


def main() -> None:
    """Read {scenario, seed, folder, record} from standard input, play, and write the result as JSON."""
    from twisted.internet import reactor

    order = json.load(sys.stdin)
    raise_descriptor_limit()
    trial = Trial(use_shared_clock(reactor), convert(order["scenario"]), order["seed"], Path(order["folder"]))
    reactor.callWhenRunning(trial.start)
    reactor.run()
    trial.processes.kill_all()
    trial.port_block.release()
    result, judged, void = judge(trial, order["record"])
    sys.stdout.buffer.write(
        msgspec.json.encode(
            {
                "result": result,
                "breaches": [list(each) for each in judged.breaches],
                "problems": trial.problems,
                "void": void,
            }
        )
    )


if __name__ == "__main__":
    main()
