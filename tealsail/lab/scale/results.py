"""What a scale run shows, from its record and costs: rules, windows between the script's faults, and costs by role."""

from collections import Counter, deque
from collections.abc import Iterator

import msgspec
import numpy

from ...record.lines import End, Fault, Line, Log, Take, Unit
from ...world.rules import Slack
from ..runs import Judged
from ..scenario import Scenario
from .director import Played, duty_owners

SECOND = 10_000  # tenths of a ms
SLACK = Slack(time=1_500, shots=2, part=0.04)  # as a trial's: what sockets add
NONE = -1.0  # a figure of nothing
WHOLE_DAY = 0.9  # of the day that a relay must have lived to count among costs
SETTLING = 1  # seconds at the beginning that no window counts
LATE_TENTHS = 100  # an arrival that is served so late tells of the machine, not of relays
AS_BEFORE = {"service": 0.02, "waste": 0.05, "messages": 0.2}  # how near a second has to come to the calm mean
LISTED = ("runs", "drains", "gone")  # events of a backend that change the list
MOST_STALLED = 0.02  # of the day; with more of it a run is void
CALM_SECONDS = 2  # in a row, before all counts as it was


class Window(msgspec.Struct):
    """What was seen between one kind of fault and the next.  `worst_100ms`: the most attempts that came to one backend
    within 100 ms, over its even share then; `restored_s`: seconds from the last fault of the kind until all was as
    before (-1: not within the window)."""

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
    """Of one figure over the processes of a role."""

    mean: float
    p99: float
    worst: float

    def __iter__(self) -> Iterator[float]:
        return iter((self.mean, self.p99, self.worst))


class RoleSeen(msgspec.Struct):
    """What one role's processes cost in the day.  Processor time is parts of a core, had the clock been true;
    `memory_mb` of hollow relays is what one adds to its process."""

    role: str
    many: int
    processor: Spread
    memory_mb: Spread
    datagrams_out: Spread  # a second
    datagrams_in: Spread
    bytes_out: Spread
    bytes_in: Spread
    kinds: dict[str, float] = {}  # of hollow relays: parts of a core by kind of work, in the mean


class Run(msgspec.Struct):
    """A whole run, as it goes into JSON."""

    name: str
    seconds: float
    relays: int
    real: list[int]
    units: int
    requests_per_second: float
    list_changes_per_second: float
    tracker: int
    judges: list[int]
    windows: list[Window]
    roles: list[RoleSeen]
    breaches: dict[str, int]
    broken: list[str]
    problems: list[str]
    late_part: float  # of arrivals at hollow relays that were served 10 ms late or more
    late_p99_ms: float
    stalled_part: float  # of the day in which the worst process, the director among them, did not run in time
    memory_mb: float
    processes: int
    setup_seconds: float
    day_seconds: float
    group_cpu: list[float]  # parts of a core of each process of hollow relays, its stand-ins included
    director_cpu: float
    shed: int  # datagrams that hollow relays had no use for: too many, or from nobody
    series: dict[str, list[float]]

    @property
    def void(self) -> bool:
        """Whether the machine was too busy for it: latencies and times until all was as before count for nothing."""
        return self.stalled_part > MOST_STALLED

    @property
    def kept(self) -> bool:
        """Whether the rules were kept and nothing else went wrong."""
        return not self.breaches and not self.problems


class Seconds:
    """Figures by second of the day, from the record's lines as they pass."""

    def __init__(self, judged: Judged, real: list[int], seconds: int) -> None:
        self.judged, self.real = judged, set(real)
        self.shots, self.wasted, self.herd = [0] * seconds, [0] * seconds, [0.0] * seconds
        self.asked, self.kept = [0] * seconds, [0] * seconds
        self.latencies: list[tuple[int, int, bool]] = []  # second it was meant for, tenths of a ms, at a real relay
        self.open: dict[tuple[int, int], Take] = {}
        self.at, self.before = 0, (0, 0)

    def __call__(self, line: Line) -> None:
        while line.at // SECOND > self.at and self.at < len(self.shots):
            self.end_second()
        self.judged(line)
        if isinstance(line, Take):
            self.open[line.relay, line.number] = line
        elif isinstance(line, End):
            self.ended(line)

    def end_second(self) -> None:
        evenness = self.judged.evenness
        shots, wasted = evenness.shots, evenness.wasted
        self.shots[self.at], self.wasted[self.at] = shots - self.before[0], wasted - self.before[1]
        self.herd[self.at], evenness.herd = evenness.herd, 0.0
        self.before = shots, wasted
        self.at += 1

    def ended(self, line: End) -> None:
        take = self.open.pop((line.relay, line.number), None)
        if take is None:
            return
        second = min(take.intended // SECOND, len(self.asked) - 1)
        self.asked[second] += take.number == take.first
        latency = line.at - take.intended
        if line.answer == "served":
            self.latencies.append((second, latency, line.relay in self.real))
            promised = self.judged.figures.workloads[take.workload]["promised"]
            self.kept[second] += latency <= promised

    def p99(self, begin: int, end: int, real_alone: bool) -> float:
        chosen = [
            tenths for second, tenths, real in self.latencies if begin <= second < end and (real or not real_alone)
        ]
        return float(numpy.quantile(chosen, 0.99)) / 10 if chosen else NONE


def read_run(scenario: Scenario, played: Played, lines: list[Line]) -> Run:
    """All that is known of a run."""
    judged = Judged(scenario.plain(), SLACK)
    for relays, stalls in zip(
        played.hollow, played.stalls
    ):  # the checker's own allowance for a process that did not run
        judged.rules.halts |= {relay: deque(map(list, stalls), maxlen=len(stalls) + 1) for relay in relays}
    seconds = Seconds(judged, played.real, int(scenario.seconds))
    duties: Counter[str] = Counter()
    faults: list[Fault] = []
    for line in lines:
        seconds(line)
        if isinstance(line, Log) and line.text.startswith("duties ") and not faults:
            duties[line.text] += 1
        elif isinstance(line, Fault):
            faults.append(line)
    while seconds.at < len(seconds.shots):
        seconds.end_second()
    result = judged.result(0)
    tracker, judges = acting(duties)
    changes = sum(1 for line in lines if isinstance(line, Unit) and line.at > 0 and line.event in LISTED)
    late = played.late
    total = sum(late.values()) or 1
    messages = [float(played.traffic.get(second, (0, 0))[0]) for second in range(len(seconds.shots))]
    day = scenario.seconds
    return Run(
        scenario.name,
        day,
        scenario.fleet.relays,
        played.real,
        scenario.fleet.units,
        scenario.clients.rate,
        changes / day,
        tracker,
        judges,
        windows(seconds, faults, messages),
        roles(scenario, played, tracker, judges),
        result.breaches,
        [f"{breach.at / SECOND:.3f}s {breach.rule}: {breach.text}" for breach in judged.breaches[:10]],
        played.problems,
        sum(count for tenths, count in late.items() if tenths > LATE_TENTHS) / total,
        quantile(late, 0.99) / 10,
        max(sum(to - since for since, to in stalls) for stalls in (*played.stalls, played.director_stalls))
        / scenario.span,
        played.memory_mb,
        played.processes,
        played.setup_seconds,
        played.day_seconds,
        [cpu / day for cpu, _, _, _ in played.groups],
        played.director_cpu / day,
        sum(cost.shed for cost in played.relay_costs),
        {
            "attempts": [float(each) for each in seconds.shots],
            "waste": [wasted / (shots or 1) for wasted, shots in zip(seconds.wasted, seconds.shots)],
            "worst_100ms": list(seconds.herd),
            "service": [kept / (asked or 1) for kept, asked in zip(seconds.kept, seconds.asked)],
            "messages": messages,
        },
    )


def acting(duties: Counter[str]) -> tuple[int, list[int]]:
    """The load tracker and the judges by the word of most real relays, before the first fault; -1 for nobody."""
    if not duties:
        return -1, []
    words = dict(pair.split("=", 1) for pair in duties.most_common(1)[0][0].split()[1:])
    return int(words["keeper"]), [int(each) for each in words.get("judges", "").split(",") if each.isdigit()]


def quantile(counts: dict[int, int], part: float) -> float:
    wanted, seen = part * sum(counts.values()), 0
    for value, count in sorted(counts.items()):
        seen += count
        if seen >= wanted:
            return float(value)
    return 0.0


def sentence(fault: Fault) -> str:
    """A line of the script without its time: lines that say the same are one kind of fault."""
    return " ".join(fault.text.split()[2:])


def windows(seconds: Seconds, faults: list[Fault], messages: list[float]) -> list[Window]:
    """One for the calm before the first fault, and one from each kind's first line to the next kind's first."""
    end = len(seconds.shots)
    kinds: list[tuple[str, int, int]] = []  # sentence, seconds of its first and its last line
    for fault in faults:
        second = fault.at // SECOND
        if kinds and kinds[-1][0] == sentence(fault):
            kinds[-1] = kinds[-1][0], kinds[-1][1], second
        else:
            kinds.append((sentence(fault), second, second))
    calm_end = kinds[0][1] if kinds else end
    calm = window(seconds, messages, "calm", SETTLING, calm_end)
    found = [calm]
    for place, (name, first, last) in enumerate(kinds):
        until = kinds[place + 1][1] if place + 1 < len(kinds) else end
        one = window(seconds, messages, name, first, until)
        one.restored_s = restored(seconds, messages, calm, last, until)
        found.append(one)
    return found


def window(seconds: Seconds, messages: list[float], name: str, begin: int, end: int) -> Window:
    shots, asked = sum(seconds.shots[begin:end]), sum(seconds.asked[begin:end])
    return Window(
        name,
        float(begin),
        float(end),
        asked,
        shots,
        sum(seconds.kept[begin:end]) / (asked or 1),
        sum(seconds.wasted[begin:end]) / (shots or 1),
        max(seconds.herd[begin:end], default=0.0),
        seconds.p99(begin, end, True),
        seconds.p99(begin, end, False),
        sum(messages[begin:end]) / max(1, end - begin),
        0.0,
    )


def restored(seconds: Seconds, messages: list[float], calm: Window, last: int, until: int) -> float:
    """Seconds from the last fault until so many seconds in a row look as the calm ones did."""

    def as_before(second: int) -> bool:
        service = seconds.kept[second] / (seconds.asked[second] or 1)
        waste = seconds.wasted[second] / (seconds.shots[second] or 1)
        return (
            service >= calm.service - AS_BEFORE["service"]
            and waste <= calm.waste + AS_BEFORE["waste"]
            and abs(messages[second] - calm.messages_per_second) <= AS_BEFORE["messages"] * calm.messages_per_second
        )

    for second in range(last, until - CALM_SECONDS + 1):
        if all(as_before(each) for each in range(second, second + CALM_SECONDS)):
            return float(second - last)
    return -1.0


def spread(values: list[float]) -> Spread:
    if not values:
        return Spread(NONE, NONE, NONE)
    return Spread(sum(values) / len(values), float(numpy.quantile(values, 0.99)), max(values))


def roles(scenario: Scenario, played: Played, tracker: int, judges: list[int]) -> list[RoleSeen]:
    """Hollow relays one by one; real ones by what they do."""
    whole = [cost for cost in played.relay_costs if cost.lived >= WHOLE_DAY * scenario.seconds]
    kinds = {kind for cost in whole for kind in cost.cpu}
    hollow = RoleSeen(
        "relay, hollow",
        len(whole),
        spread([sum(cost.cpu.values()) / cost.lived for cost in whole]),
        spread([(memory - bare) / many for _, memory, bare, many in played.groups if many]),
        spread([cost.sent / cost.lived for cost in whole]),
        spread([cost.received / cost.lived for cost in whole]),
        spread([cost.bytes_out / cost.lived for cost in whole]),
        spread([cost.bytes_in / cost.lived for cost in whole]),
        {kind: sum(cost.cpu.get(kind, 0.0) / cost.lived for cost in whole) / len(whole) for kind in sorted(kinds)},
    )
    named = {"load tracker": [tracker], "judge": [relay for relay in judges if relay != tracker]}
    standing_by = [relay for relay in duty_owners(scenario) if relay not in (tracker, *judges)]  # hear what owners hear
    named["next in line"] = [relay for relay in played.real if relay in standing_by]
    named["relay, real"] = [relay for relay in played.real if relay not in (tracker, *judges, *standing_by)]
    found = [hollow, *(real_role(name, relays, scenario.seconds, played) for name, relays in named.items())]
    return [role for role in found if role.many]


def real_role(name: str, relays: list[int], seconds: float, played: Played) -> RoleSeen:
    """Datagrams from the relays' own counters; bytes as the sockets of the hollow relays saw them."""
    costs = [cost for cost in played.process_costs if cost.relay in relays]
    heard = [played.heard_of.get(cost.relay, (0, 0, 0, 0)) for cost in costs]
    return RoleSeen(
        name,
        len(costs),
        spread([cost.cpu / seconds for cost in costs]),
        spread([cost.memory_mb for cost in costs]),
        spread([cost.counts.get("peers.told", 0) / seconds for cost in costs]),
        spread([cost.counts.get("peers.heard", 0) / seconds for cost in costs]),
        spread([of_it[1] / seconds for of_it in heard]),
        spread([of_it[3] / seconds for of_it in heard]),
    )
