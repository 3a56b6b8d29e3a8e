"""What a record says of a day: service, answers, latencies and what the roll-out cost, from its lines alone."""

from array import array

import msgspec
import numpy

from ..record.lines import (
    AnyLine,
    Fault,
    Head,
    InvocationEnded,
    InvocationTaken,
    Line,
    Log,
    ShotEnded,
    ShotSent,
    ShotStarted,
    StageChanged,
    Unit,
    Vote,
)

SECOND = 10_000
FORGET = 12 * SECOND  # after its abandon time a first try is counted as it stands


class Result(msgspec.Struct):
    """One day in figures.  `series` holds a value for each second of the day: asked, service; where there are zones,
    for each its service and asked, and `shots.a>b`, from relays of one zone to units of another; `cold`, how close a
    unit that had just started came to what it may be sent (1)."""

    name: str
    seed: int
    source: str
    figures: dict[str, float]
    series: dict[str, list[float]]
    curve: list[float] = []  # latency in ms at PARTS of those served
    breaches: dict[str, int] = {}
    notes: list[str] = []  # stages, verdicts with their reasons, votes and faults, a line each
    sent: dict[str, list[int]] = {}  # unit -> build, shots, served, errors, all else
    late_ms: float = 0.0  # by how much whoever played it ran late at worst
    use: dict[str, list[int]] = {}  # unit -> shots that came to it, by second
    owners: list[str] = []  # who acted for the fleet, a line for each change


PARTS = (0.0, 0.1, 0.25, 0.5, 0.75, 0.9, 0.95, 0.98, 0.99, 0.995, 0.999, 0.9999, 1.0)


class First:
    """A client's first try and what came of it and its repeats."""

    __slots__ = ("take", "touched", "answer")

    def __init__(self, take: InvocationTaken) -> None:
        self.take, self.touched, self.answer = take, False, ""


class Group:
    """Sums over first tries: of the whole day, of a workload, a customer or a zone."""

    __slots__ = ("asked", "honoured", "many", "within", "answers")

    def __init__(self) -> None:
        self.asked = self.honoured = 0.0
        self.many = self.within = 0
        self.answers: dict[str, int] = {}

    def add(self, payoff: float, kept: bool, answer: str) -> None:
        self.asked, self.many = self.asked + payoff, self.many + 1
        self.honoured, self.within = self.honoured + payoff * kept, self.within + kept
        self.answers[answer] = self.answers.get(answer, 0) + 1


def at_second(counts: array, second: int, more: float) -> None:
    """Adds to that second, and fills up what lies before."""
    if len(counts) <= second:
        counts.extend([0.0] * (second + 1 - len(counts)))
    counts[second] += more


def shares(asked: array, kept: array) -> list[float]:
    """1 where nothing was asked."""
    return [part / whole if whole else 1.0 for whole, part in zip(asked, kept)]


def quantiles(name: str, seen: array) -> dict[str, float]:
    """p50 and p99 in ms; nothing for nothing."""
    if not seen:
        return {}
    values = numpy.quantile(numpy.frombuffer(seen, dtype=numpy.int64), (0.5, 0.99))
    return {f"p50_ms{name}": float(values[0]) / 10, f"p99_ms{name}": float(values[1]) / 10}


def reason(text: str) -> str:
    """The module's line on a verdict in words: canary and baseline, served-failed@median by workload, pooled."""
    words = text.split()
    rows = words[7:]
    each = len(rows) // 3
    if words[:1] != ["verdict"] or not each:
        return text
    verdict = {"1": "on", "2": "hold", "3": "back"}.get(words[1], words[1])
    canary, baseline = " ".join(rows[:each]), " ".join(rows[each : 2 * each])
    return (
        f"verdict {verdict} on build {words[4]}: canary {canary}, baseline {baseline} "
        "(served-failed@median of the promise)"
    )


class Figures:
    """Feed it a record, line by line; then `result()`."""

    def __init__(self) -> None:
        self.head: Head | None = None
        self.open: dict[int, First] = {}  # by the number of the first try
        self.tries: dict[tuple[int, int], int] = {}  # relay and number -> first
        self.whole = Group()
        self.groups: dict[tuple[str, int | str], Group] = {}
        self.latencies: dict[tuple[str, int | str], array] = {}  # by workload, customer and zone, of those served
        self.served = array("q")  # and of all
        self.asked, self.kept = array("d"), array("d")  # payoff by second
        self.shots = self.at_trial = self.wasted = 0
        self.harmed = 0.0
        self.on_trial = -1
        self.offered: dict[int, int] = {}
        self.released: dict[int, int] = {}
        self.back: dict[int, int] = {}
        self.notes: list[str] = []
        self.sent: dict[str, list[int]] = {}  # as in a result
        self.at_unit: dict[tuple[int, int, int], list[int]] = {}  # shots that are out
        self.last = self.late = self.swept = 0

    def __call__(self, line: Line) -> None:
        kind = type(line)
        self.last = line.at
        if kind is InvocationTaken:
            self.take(line)
        elif kind is ShotSent:
            self.shot(line)
        elif kind is InvocationEnded:
            self.end(line)
        elif kind is ShotStarted:
            pass
        elif kind is Unit:
            self.zone_of[line.unit] = line.zone
        elif kind is ShotEnded:
            row = self.at_unit.pop((line.relay, line.number, line.place), None)
            if row:
                row[2 if line.outcome == "served" else 3 if line.outcome == "error" else 4] += 1
        elif kind is StageChanged:
            self.stage(line)
        elif kind is Head:
            self.begin(line)
        elif kind is Vote and line.answer == "ok" or kind is Fault or kind is Log and line.text.startswith("verdict"):
            self.note(line)

    def begin(self, head: Head) -> None:
        self.head = head
        self.workloads = head.facts.get("workloads", [])
        self.customers = [each.get("name", "") for each in head.facts.get("customers", [])]
        zones = head.day.get("fleet", {}).get("zones", [])
        self.zones = list(zones) if len(zones) > 1 else []
        self.by_zone = {zone: (array("d"), array("d")) for zone in self.zones}  # payoff asked and kept by second
        self.pairs: dict[tuple[str, str], array] = {}  # shots by second, from a zone to a zone
        self.zone_of: dict[str, str] = {}

    def take(self, line: InvocationTaken) -> None:
        number = line.first if line.first >= 0 else line.number  # a relay does not know whose repeat it took
        if number not in self.open:
            self.open[number] = First(line)
        self.tries[line.relay, line.number] = number
        if line.at > self.swept + FORGET:
            self.sweep(line.at)

    def shot(self, line: ShotSent) -> None:
        self.shots += 1
        row = self.sent.get(line.unit)
        if row is None or row[0] != line.build:  # a name may come back with another build: its last one is told
            row = self.sent[line.unit] = [line.build, 0, 0, 0, 0]
        row[1] += 1
        self.at_unit[line.relay, line.number, line.place] = row
        if self.zones and line.unit in self.zone_of:
            pair = self.zones[line.relay % len(self.zones)], self.zone_of[line.unit]
            counts = self.pairs.setdefault(pair, array("d"))
            at_second(counts, line.at // SECOND, 1.0)
        if line.build == self.on_trial:
            self.at_trial += 1
            first = self.open.get(self.tries.get((line.relay, line.number), -1))
            if first:
                first.touched = True

    def end(self, line: InvocationEnded) -> None:
        number = self.tries.pop((line.relay, line.number), None)
        first = self.open.get(number) if number is not None else None
        if first is None:
            return
        first.answer = line.answer
        if line.answer == "served":
            del self.open[number]
            self.count(first, line.at - first.take.intended)

    def sweep(self, now: int) -> None:
        """Those whose client has given up can't be served any more."""
        self.swept = now
        for number, first in list(self.open.items()):
            if now > first.take.give_up + SECOND and first.answer:
                del self.open[number]
                self.count(first, -1)

    def count(self, first: First, latency: int) -> None:
        take = first.take
        workload = self.workloads[take.workload]
        payoff, promised = workload.get("payoff", 1.0), workload["promised"]
        kept = 0 <= latency <= promised
        answer = ("kept" if kept else "late") if latency >= 0 else first.answer or "lost"
        self.whole.add(payoff, kept, answer)
        named = [("workload", take.workload), ("customer", take.customer)]
        if self.zones:
            named.append(("zone", self.zones[take.relay % len(self.zones)]))
        for name in named:
            if name not in self.groups:
                self.groups[name] = Group()
                self.latencies[name] = array("q")
            self.groups[name].add(payoff, kept, answer)
            if latency >= 0:
                self.latencies[name].append(latency)
        if latency >= 0:
            self.served.append(latency)
        second = take.intended // SECOND
        rows = [(self.asked, self.kept)]
        if self.zones:
            rows.append(self.by_zone[self.zones[take.relay % len(self.zones)]])
        for asked, kept_payoff in rows:
            at_second(asked, second, payoff)
            at_second(kept_payoff, second, payoff * kept)
        if first.touched and not kept:
            self.harmed += payoff

    def stage(self, line: StageChanged) -> None:
        self.note(line)
        if line.phase == "on trial":
            self.on_trial = line.build
            self.offered.setdefault(line.build, line.at)
        elif line.phase == "released":
            self.on_trial = -1
            self.released.setdefault(line.build, line.at)
        elif line.phase == "going back":
            self.back.setdefault(line.build, line.at)

    def note(self, line: AnyLine) -> None:
        if len(self.notes) < 200:
            match line:
                case StageChanged(at, build, stage, phase, cap):
                    self.notes.append(f"{at / SECOND:7.2f}s build {build} stage {stage} {phase}, cap {cap:.0%}")
                case Vote(at, relay, build, stage, verdict, _):
                    self.notes.append(
                        f"{at / SECOND:7.2f}s relay {relay} votes {verdict} on build {build} stage {stage}"
                    )
                case Log(at, relay, text):
                    self.notes.append(f"{at / SECOND:7.2f}s relay {relay}: {reason(text)}")
                case Fault(at, text):
                    self.notes.append(f"{at / SECOND:7.2f}s {text}")

    def result(self, breaches: dict[str, int] | None = None, late: int = 0) -> Result:
        for first in list(self.open.values()):
            self.count(first, -1)
        self.open.clear()
        head, whole = self.head, self.whole
        many = whole.many or 1
        figures = {"service": whole.honoured / (whole.asked or 1), "within": whole.within / many}
        for name in ("late", "rejected", "forfeited", "wrong", "lost"):
            figures[name] = whole.answers.get(name, 0) / many
        figures["harm"] = self.harmed / (whole.asked or 1)
        figures["at_trial"] = self.at_trial / (self.shots or 1)
        figures["shots"] = self.shots / many
        for build, at in self.offered.items():
            figures[f"released.{build}"] = float(build in self.released and build not in self.back)
            if build in self.back:
                figures[f"back_s.{build}"] = (self.back[build] - at) / SECOND
            elif build in self.released:
                figures[f"released_s.{build}"] = (self.released[build] - at) / SECOND
        figures |= quantiles("", self.served)
        for (kind, place), group in sorted(self.groups.items(), key=str):
            names = self.customers if kind == "customer" else [each["name"] for each in self.workloads]
            name = place if isinstance(place, str) else names[place] if place < len(names) else str(place)
            if name:
                asked, many = group.asked or 1, group.many or 1
                figures[f"service.{kind}.{name}"] = group.honoured / asked
                figures[f"within.{kind}.{name}"] = group.within / many
                for answer in ("late", "rejected", "forfeited"):
                    figures[f"{answer}.{kind}.{name}"] = group.answers.get(answer, 0) / many
                figures |= quantiles(f".{kind}.{name}", self.latencies[kind, place])
        served = numpy.frombuffer(self.served, dtype=numpy.int64) if self.served else numpy.zeros(0, numpy.int64)
        series = {"asked": [round(each, 6) for each in self.asked], "service": shares(self.asked, self.kept)}
        for zone, (asked, kept) in self.by_zone.items():
            series |= {f"asked.{zone}": [round(each, 6) for each in asked], f"service.{zone}": shares(asked, kept)}
        for (own, to), counts in sorted(self.pairs.items()):
            series[f"shots.{own}>{to}"] = list(counts)
        curve = [float(each) / 10 for each in numpy.quantile(served, PARTS)] if len(served) else []
        return Result(
            head.name, head.seed, head.source, figures, series, curve, breaches or {}, self.notes, self.sent, late / 10
        )
