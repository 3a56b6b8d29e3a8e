"""The results of a scale run from its record and costs: broken rules, windows between the script's faults, and costs by
role."""

from collections import Counter, deque
from collections.abc import Iterator

import msgspec
import numpy

from ...record.lines import FaultInjected, InvocationEnded, InvocationTaken, Line, Log, UnitEvent
from ...time_limits import TENTHS_PER_SECOND
from ...world.rules import SOCKET_SLACK
from ..runs import RecordEvaluation
from ..scenario import Scenario
from .director import Measurements, duty_owners

NO_VALUE = -1.0  # of a figure without data
MIN_LIFETIME_SHARE = 0.9  # of the day that a relay must have lived to count among costs
SETTLING_S = 1  # seconds at the day's beginning that no window counts
LATE_ARRIVAL = 100  # tenths of a ms; an arrival served later than that shows a busy machine, not slow relays
# how far a second may be from the mean of the calm ones to count as restored
RESTORED_TOLERANCES = {"service": 0.02, "waste": 0.05, "messages": 0.2}
LIST_EVENTS = ("runs", "drains", "gone")  # events of a backend that change the list
MAX_STALLED_SHARE = 0.02  # of the day; with more of it a run is void
CALM_SECONDS = 2  # in a row that must count as restored
MAX_BREACHES = 10  # that are written out


class Window(msgspec.Struct):
    """The figures between one kind of fault and the next, or between the beginning and the first fault.

    `service` is the share of requests that were served within their latency target, and `waste` the share of attempts
    that were wasted.  `worst_100ms` is the most attempts that came to one backend within 100 ms, over its even share
    then.  `p99_real_ms` is the latency at real relays, `p99_all_ms` that at all relays.  `restored_s` is the seconds
    from the last fault of the kind until all was as before, -1 if that was not within the window."""

    name: str
    begin_s: float
    end_s: float
    requests: int
    attempts: int
    service: float
    waste: float
    worst_100ms: float
    p99_real_ms: float
    p99_all_ms: float
    messages_per_second: float
    restored_s: float


class Spread(msgspec.Struct):
    """The mean, the 99th percentile and the worst of one figure over the processes of a role."""

    mean: float
    p99: float
    worst: float

    def __iter__(self) -> Iterator[float]:
        return iter((self.mean, self.p99, self.worst))


class RoleUsage(msgspec.Struct):
    """What one role's processes cost in the day.

    `processor` is in parts of a core, as if the run's clock were true.  `memory_mb` of hollow relays is what one adds
    to its process.  Datagrams and bytes are a second."""

    role: str
    many: int  # relays of the role
    processor: Spread
    memory_mb: Spread
    datagrams_out: Spread
    datagrams_in: Spread
    bytes_out: Spread
    bytes_in: Spread
    kinds: dict[str, float] = {}  # of hollow relays: mean parts of a core by kind of work


class Run(msgspec.Struct):
    """The results of a run, as they are written to JSON."""

    name: str
    seconds: float
    relays: int
    real: list[int]  # the real relays
    units: int
    requests_per_second: float
    list_changes_per_second: float
    tracker: int  # the load tracker before the first fault, -1 for none
    judges: list[int]  # then
    windows: list[Window]
    roles: list[RoleUsage]
    breaches: dict[str, int]  # by rule: how often it was broken
    broken: list[str]  # the first of the breaches, in words
    problems: list[str]  # what else went wrong, in words
    late_part: float  # share of arrivals at hollow relays that were served more than 10 ms late
    late_p99_ms: float
    stalled_part: float  # share of the day in which the worst process, the director among them, did not run in time
    memory_mb: float  # the most of all processes together
    processes: int
    setup_seconds: float  # true ones, until the day began
    day_seconds: float  # true ones, from the day's beginning to the last arrival
    group_cpu: list[float]  # parts of a core of each process of hollow relays, with its clients and backends
    director_cpu: float  # part of a core
    shed: int  # datagrams that hollow relays dropped: too many, or from nobody that they knew
    series: dict[str, list[float]]  # by name of a figure: its value in each second of the day

    @property
    def is_void(self) -> bool:
        """Whether the machine was too busy for the run: its latencies and times to restore are not to be used."""
        return self.stalled_part > MAX_STALLED_SHARE

    @property
    def has_passed(self) -> bool:
        """Whether the rules were kept and nothing else went wrong."""
        return not self.breaches and not self.problems


class SecondFigures:
    """Figures by second of the day, from the record's lines as they pass.

    Requests and their answers count for the second that the request was meant for."""

    def __init__(self, judged: RecordEvaluation, real: list[int], seconds: int) -> None:
        self.judged, self.real = judged, set(real)
        self.attempts, self.wasted, self.worst_100ms = [0] * seconds, [0] * seconds, [0.0] * seconds
        self.requests, self.in_time = [0] * seconds, [0] * seconds  # in time: served within the latency target
        # of served requests: second, latency in tenths of a ms, whether at a real relay
        self.latencies: list[tuple[int, int, bool]] = []
        self.open: dict[tuple[int, int], InvocationTaken] = {}  # by relay and number of a request without an answer
        self.second, self.totals = 0, (0, 0)  # attempts and wasted ones until the second began

    def __call__(self, line: Line) -> None:
        while line.at // TENTHS_PER_SECOND > self.second and self.second < len(self.attempts):
            self.end_second()
        self.judged(line)
        if isinstance(line, InvocationTaken):
            self.open[line.relay, line.number] = line
        elif isinstance(line, InvocationEnded):
            self.end_request(line)

    def end_second(self) -> None:
        evenness = self.judged.evenness
        attempts, wasted = evenness.shots, evenness.wasted
        self.attempts[self.second], self.wasted[self.second] = attempts - self.totals[0], wasted - self.totals[1]
        self.worst_100ms[self.second], evenness.herd = evenness.herd, 0.0
        self.totals = attempts, wasted
        self.second += 1

    def end_request(self, line: InvocationEnded) -> None:
        take = self.open.pop((line.relay, line.number), None)
        if take is None:
            return
        second = min(take.intended // TENTHS_PER_SECOND, len(self.requests) - 1)
        self.requests[second] += take.number == take.first
        latency = line.at - take.intended
        if line.answer == "served":
            self.latencies.append((second, latency, line.relay in self.real))
            target = self.judged.figures.workloads[take.workload]["promised"]
            self.in_time[second] += latency <= target

    def p99(self, begin: int, end: int, real_only: bool) -> float:
        """The 99th percentile of latencies from one second to another, in ms."""
        chosen = [
            latency for second, latency, real in self.latencies if begin <= second < end and (real or not real_only)
        ]
        return float(numpy.quantile(chosen, 0.99)) / 10 if chosen else NO_VALUE


def evaluate_run(scenario: Scenario, measured: Measurements, lines: list[Line]) -> Run:
    """All results of a run; `lines` are its record."""
    judged = RecordEvaluation(scenario.plain(), SOCKET_SLACK)
    # the checker allows for the times in which a relay's process did not run
    for relays, stalls in zip(measured.hollow, measured.stalls):
        judged.rules.stops |= {relay: deque(map(list, stalls), maxlen=len(stalls) + 1) for relay in relays}
    seconds = SecondFigures(judged, measured.real, int(scenario.seconds))
    duties: Counter[str] = Counter()
    faults: list[FaultInjected] = []
    for line in lines:
        seconds(line)
        if isinstance(line, Log) and line.text.startswith("duties ") and not faults:
            duties[line.text] += 1
        elif isinstance(line, FaultInjected):
            faults.append(line)
    while seconds.second < len(seconds.attempts):
        seconds.end_second()
    result = judged.result(0)
    tracker, judges = duty_holders(duties)
    changes = sum(1 for line in lines if isinstance(line, UnitEvent) and line.at > 0 and line.event in LIST_EVENTS)
    lateness = measured.lateness
    arrivals = sum(lateness.values()) or 1
    messages = [float(measured.traffic.get(second, (0, 0))[0]) for second in range(len(seconds.attempts))]
    day = scenario.seconds
    return Run(
        scenario.name,
        day,
        scenario.fleet.relays,
        measured.real,
        scenario.fleet.units,
        scenario.clients.rate,
        changes / day,
        tracker,
        judges,
        windows(seconds, faults, messages),
        role_usages(scenario, measured, tracker, judges),
        result.breaches,
        [
            f"{breach.at / TENTHS_PER_SECOND:.3f}s {breach.rule}: {breach.text}"
            for breach in judged.breaches[:MAX_BREACHES]
        ],
        measured.problems,
        sum(count for late, count in lateness.items() if late > LATE_ARRIVAL) / arrivals,
        quantile(lateness, 0.99) / 10,
        max(sum(end - begin for begin, end in stalls) for stalls in (*measured.stalls, measured.director_stalls))
        / scenario.span,
        measured.memory_mb,
        measured.processes,
        measured.setup_seconds,
        measured.day_seconds,
        [cpu / day for cpu, _, _, _ in measured.groups],
        measured.director_cpu / day,
        sum(cost.shed for cost in measured.relay_costs),
        {
            "attempts": [float(each) for each in seconds.attempts],
            "waste": [wasted / (attempts or 1) for wasted, attempts in zip(seconds.wasted, seconds.attempts)],
            "worst_100ms": list(seconds.worst_100ms),
            "service": [in_time / (requests or 1) for in_time, requests in zip(seconds.in_time, seconds.requests)],
            "messages": messages,
        },
    )


def duty_holders(duties: Counter[str]) -> tuple[int, list[int]]:
    """The load tracker (-1 for none) and the judges that most real relays logged before the first fault.

    `duties` counts the texts of their log lines."""
    if not duties:
        return -1, []
    fields = dict(pair.split("=", 1) for pair in duties.most_common(1)[0][0].split()[1:])
    return int(fields["keeper"]), [int(each) for each in fields.get("judges", "").split(",") if each.isdigit()]


def quantile(counts: dict[int, int], share: float) -> float:
    """The smallest value that at least this share of all does not exceed; `counts` has how often each value is."""
    wanted, seen = share * sum(counts.values()), 0
    for value, count in sorted(counts.items()):
        seen += count
        if seen >= wanted:
            return float(value)
    return 0.0


def fault_kind(fault: FaultInjected) -> str:
    """A line of the script without its time: lines that are then the same are one kind of fault."""
    return " ".join(fault.text.split()[2:])


def windows(seconds: SecondFigures, faults: list[FaultInjected], messages: list[float]) -> list[Window]:
    """One for the calm before the first fault, and one from each kind's first line to the next kind's first.

    `messages`: the datagrams that hollow relays sent in each second."""
    end = len(seconds.attempts)
    kinds: list[tuple[str, int, int]] = []  # kind, and the seconds of its first and its last line
    for fault in faults:
        second = fault.at // TENTHS_PER_SECOND
        if kinds and kinds[-1][0] == fault_kind(fault):
            kinds[-1] = kinds[-1][0], kinds[-1][1], second
        else:
            kinds.append((fault_kind(fault), second, second))
    calm_end = kinds[0][1] if kinds else end
    calm = make_window(seconds, messages, "calm", SETTLING_S, calm_end)
    found = [calm]
    for index, (name, first, last) in enumerate(kinds):
        until = kinds[index + 1][1] if index + 1 < len(kinds) else end
        of_kind = make_window(seconds, messages, name, first, until)
        of_kind.restored_s = seconds_to_restore(seconds, messages, calm, last, until)
        found.append(of_kind)
    return found


def make_window(seconds: SecondFigures, messages: list[float], name: str, begin: int, end: int) -> Window:
    """The window from one second to another, without `restored_s`."""
    attempts, requests = sum(seconds.attempts[begin:end]), sum(seconds.requests[begin:end])
    return Window(
        name,
        float(begin),
        float(end),
        requests,
        attempts,
        sum(seconds.in_time[begin:end]) / (requests or 1),
        sum(seconds.wasted[begin:end]) / (attempts or 1),
        max(seconds.worst_100ms[begin:end], default=0.0),
        seconds.p99(begin, end, True),
        seconds.p99(begin, end, False),
        sum(messages[begin:end]) / max(1, end - begin),
        0.0,
    )


def seconds_to_restore(seconds: SecondFigures, messages: list[float], calm: Window, last: int, until: int) -> float:
    """Seconds from the last fault until CALM_SECONDS in a row are as the calm ones were; -1 if there are none by
    `until`."""

    def as_before(second: int) -> bool:
        service = seconds.in_time[second] / (seconds.requests[second] or 1)
        waste = seconds.wasted[second] / (seconds.attempts[second] or 1)
        return (
            service >= calm.service - RESTORED_TOLERANCES["service"]
            and waste <= calm.waste + RESTORED_TOLERANCES["waste"]
            and abs(messages[second] - calm.messages_per_second)
            <= RESTORED_TOLERANCES["messages"] * calm.messages_per_second
        )

    for second in range(last, until - CALM_SECONDS + 1):
        if all(as_before(each) for each in range(second, second + CALM_SECONDS)):
            return float(second - last)
    return -1.0


def spread_of(values: list[float]) -> Spread:
    if not values:
        return Spread(NO_VALUE, NO_VALUE, NO_VALUE)
    return Spread(sum(values) / len(values), float(numpy.quantile(values, 0.99)), max(values))


def role_usages(scenario: Scenario, measured: Measurements, tracker: int, judges: list[int]) -> list[RoleUsage]:
    """The hollow relays as one role, and the real ones by their duty: load tracker, judge, next in line or none.

    Hollow relays that did not live for most of the day are left out."""
    whole = [cost for cost in measured.relay_costs if cost.lived >= MIN_LIFETIME_SHARE * scenario.seconds]
    kinds = {kind for cost in whole for kind in cost.cpu}
    hollow = RoleUsage(
        "relay, hollow",
        len(whole),
        spread_of([sum(cost.cpu.values()) / cost.lived for cost in whole]),
        spread_of([(memory - initial) / count for _, memory, initial, count in measured.groups if count]),
        spread_of([cost.sent / cost.lived for cost in whole]),
        spread_of([cost.received / cost.lived for cost in whole]),
        spread_of([cost.bytes_out / cost.lived for cost in whole]),
        spread_of([cost.bytes_in / cost.lived for cost in whole]),
        {kind: sum(cost.cpu.get(kind, 0.0) / cost.lived for cost in whole) / len(whole) for kind in sorted(kinds)},
    )
    named = {"load tracker": [tracker], "judge": [relay for relay in judges if relay != tracker]}
    # the next in line have a role of their own, since they get the same messages as the owners of duties
    standing_by = [relay for relay in duty_owners(scenario) if relay not in (tracker, *judges)]
    named["next in line"] = [relay for relay in measured.real if relay in standing_by]
    named["relay, real"] = [relay for relay in measured.real if relay not in (tracker, *judges, *standing_by)]
    found = [hollow, *(real_role_usage(name, relays, scenario.seconds, measured) for name, relays in named.items())]
    return [role for role in found if role.many]


def real_role_usage(name: str, relays: list[int], seconds: float, measured: Measurements) -> RoleUsage:
    """What real relays cost: datagrams by their own counters, bytes as the sockets of the hollow relays saw them."""
    costs = [cost for cost in measured.process_costs if cost.relay in relays]
    traffic = [measured.peer_traffic.get(cost.relay, (0, 0, 0, 0)) for cost in costs]
    return RoleUsage(
        name,
        len(costs),
        spread_of([cost.cpu / seconds for cost in costs]),
        spread_of([cost.memory_mb for cost in costs]),
        spread_of([cost.counts.get("peers.told", 0) / seconds for cost in costs]),
        spread_of([cost.counts.get("peers.heard", 0) / seconds for cost in costs]),
        spread_of([counts[1] / seconds for counts in traffic]),
        spread_of([counts[3] / seconds for counts in traffic]),
    )
