"""Figures of a day from the lines of its record: service, answers, latencies and what the roll-out cost."""

from array import array

import msgspec
import numpy

from ..record.lines import (
    AnyLine,
    FaultInjected,
    Head,
    InvocationEnded,
    InvocationTaken,
    Line,
    Log,
    ShotEnded,
    ShotSent,
    ShotStarted,
    StageChanged,
    UnitEvent,
    Vote,
)
from ..time_limits import SECOND

SWEEP_INTERVAL = 12 * SECOND  # how often first tries past their deadline are counted as they stand


class Result(msgspec.Struct):
    """Figures of one day.  `series` holds a value for each second of the day: `asked` (payoff) and `service`; with
    several zones also both for each zone, and `shots.a>b`, from relays of zone a to units of zone b; `cold`, the
    largest load of a unit that had just started, over what it may be sent."""

    name: str
    seed: int
    source: str
    figures: dict[str, float]
    series: dict[str, list[float]]
    curve: list[float] = []  # latency in ms at the quantiles CURVE_QUANTILES of invocations served
    breaches: dict[str, int] = {}
    notes: list[str] = []  # a line for each stage, verdict with its reason, vote and fault
    sent: dict[str, list[int]] = {}  # unit -> build, shots, served, errors, other outcomes
    late_ms: float = 0.0  # worst lateness of the player, 0 in virtual time
    use: dict[str, list[int]] = {}  # unit -> shots that it got in each second
    owners: list[str] = []  # load tracker and judges, a line for each change


CURVE_QUANTILES = (0.0, 0.1, 0.25, 0.5, 0.75, 0.9, 0.95, 0.98, 0.99, 0.995, 0.999, 0.9999, 1.0)


class FirstTry:
    """A client's first try, the last answer to it or its repeats, and whether any shot went to the build on trial."""

    __slots__ = ("take", "used_trial_build", "answer")

    def __init__(self, take: InvocationTaken) -> None:
        self.take, self.used_trial_build, self.answer = take, False, ""


class Group:
    """Sums over first tries of the whole day, a workload, a customer or a zone: payoff asked and honoured (served
    within the latency target), their number and how many of them were, and numbers of answers."""

    __slots__ = ("asked", "honoured", "count", "within", "answers")

    def __init__(self) -> None:
        self.asked = self.honoured = 0.0
        self.count = self.within = 0
        self.answers: dict[str, int] = {}

    def add(self, payoff: float, kept: bool, answer: str) -> None:
        """Adds one first try; `kept`: served within the latency target."""
        self.asked, self.count = self.asked + payoff, self.count + 1
        self.honoured, self.within = self.honoured + payoff * kept, self.within + kept
        self.answers[answer] = self.answers.get(answer, 0) + 1


def add_at(series: array, second: int, amount: float) -> None:
    """Adds an amount to the value of a second; seconds that the series lacks are 0."""
    if len(series) <= second:
        series.extend([0.0] * (second + 1 - len(series)))
    series[second] += amount


def shares(asked: array, kept: array) -> list[float]:
    """Kept over asked, by second; 1 where nothing was asked."""
    return [part / whole if whole else 1.0 for whole, part in zip(asked, kept)]


def quantiles(name: str, latencies: array) -> dict[str, float]:
    """Figures p50 and p99 in ms of latencies in tenths of a ms, none if there are no latencies; `name` is appended to
    the figures' names."""
    if not latencies:
        return {}
    values = numpy.quantile(numpy.frombuffer(latencies, dtype=numpy.int64), (0.5, 0.99))
    return {f"p50_ms{name}": float(values[0]) / 10, f"p99_ms{name}": float(values[1]) / 10}


def describe_verdict(text: str) -> str:
    """The text for a judge's log line of a verdict: canary and baseline, each as served-failed@median by workload.
    Other lines are returned as they are."""
    words = text.split()
    rows = words[7:]
    size = len(rows) // 3
    if words[:1] != ["verdict"] or not size:
        return text
    verdict = {"1": "on", "2": "hold", "3": "back"}.get(words[1], words[1])
    canary, baseline = " ".join(rows[:size]), " ".join(rows[size : 2 * size])
    return (
        f"verdict {verdict} on build {words[4]}: canary {canary}, baseline {baseline} "
        "(served-failed@median of the promise)"
    )


class Figures:
    """Collects figures: call it with each line of a record, in order, then call `result`."""

    def __init__(self) -> None:
        self.head: Head | None = None
        self.open_tries: dict[int, FirstTry] = {}  # by number
        self.tries: dict[tuple[int, int], int] = {}  # relay and number of a try -> number of its first try
        self.whole = Group()
        self.groups: dict[tuple[str, int | str], Group] = {}
        self.latencies: dict[tuple[str, int | str], array] = {}  # of those served, by group, in tenths of a ms
        self.served = array("q")  # the same of the whole day
        self.asked, self.kept = array("d"), array("d")  # payoff by second: asked, and served in time
        self.shots = self.at_trial = self.wasted = 0
        self.harmed_payoff = 0.0
        self.build_on_trial = -1
        self.offered_at: dict[int, int] = {}
        self.released_at: dict[int, int] = {}
        self.sent_back_at: dict[int, int] = {}
        self.notes: list[str] = []
        self.sent: dict[str, list[int]] = {}  # as in a result
        # relay, number and place of a shot without an outcome -> its unit's row of `sent`
        self.shot_rows: dict[tuple[int, int, int], list[int]] = {}
        self.last = self.late = self.swept_at = 0

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
        elif kind is UnitEvent:
            self.unit_zones[line.unit] = line.zone
        elif kind is ShotEnded:
            row = self.shot_rows.pop((line.relay, line.number, line.place), None)
            if row:
                row[2 if line.outcome == "served" else 3 if line.outcome == "error" else 4] += 1
        elif kind is StageChanged:
            self.stage(line)
        elif kind is Head:
            self.begin(line)
        elif (
            kind is Vote
            and line.answer == "ok"
            or kind is FaultInjected
            or kind is Log
            and line.text.startswith("verdict")
        ):
            self.note(line)

    def begin(self, head: Head) -> None:
        """Takes workloads, customers and zones from the head."""
        self.head = head
        self.workloads = head.settings.get("workloads", [])
        self.customers = [each.get("name", "") for each in head.settings.get("customers", [])]
        zones = head.day.get("fleet", {}).get("zones", [])
        self.zones = list(zones) if len(zones) > 1 else []
        self.by_zone = {zone: (array("d"), array("d")) for zone in self.zones}  # as `asked` and `kept`
        self.shots_by_zones: dict[tuple[str, str], array] = {}  # relay's zone, unit's zone -> shots by second
        self.unit_zones: dict[str, str] = {}

    def take(self, line: InvocationTaken) -> None:
        """A relay has taken a try."""
        number = line.first if line.first >= 0 else line.number  # a relay's own record does not name the first try
        if number not in self.open_tries:
            self.open_tries[number] = FirstTry(line)
        self.tries[line.relay, line.number] = number
        if line.at > self.swept_at + SWEEP_INTERVAL:
            self.sweep(line.at)

    def shot(self, line: ShotSent) -> None:
        """A shot was sent."""
        self.shots += 1
        row = self.sent.get(line.unit)
        if row is None or row[0] != line.build:  # the unit may come back with another build: the last one counts
            row = self.sent[line.unit] = [line.build, 0, 0, 0, 0]
        row[1] += 1
        self.shot_rows[line.relay, line.number, line.place] = row
        if self.zones and line.unit in self.unit_zones:
            pair = self.zones[line.relay % len(self.zones)], self.unit_zones[line.unit]
            counts = self.shots_by_zones.setdefault(pair, array("d"))
            add_at(counts, line.at // SECOND, 1.0)
        if line.build == self.build_on_trial:
            self.at_trial += 1
            first = self.open_tries.get(self.tries.get((line.relay, line.number), -1))
            if first:
                first.used_trial_build = True

    def end(self, line: InvocationEnded) -> None:
        """A try has got its answer."""
        number = self.tries.pop((line.relay, line.number), None)
        first = self.open_tries.get(number) if number is not None else None
        if first is None:
            return
        first.answer = line.answer
        if line.answer == "served":
            del self.open_tries[number]
            self.count(first, line.at - first.take.intended)

    def sweep(self, now: int) -> None:
        """Counts first tries whose client has given up, since they can't be served any more."""
        self.swept_at = now
        for number, first in list(self.open_tries.items()):
            if now > first.take.deadline + SECOND and first.answer:
                del self.open_tries[number]
                self.count(first, -1)

    def count(self, first: FirstTry, latency: int) -> None:
        """Adds a first try to the sums; `latency`: from its intended send, in tenths of a ms, -1 if not served."""
        take = first.take
        workload = self.workloads[take.workload]
        payoff, promised = workload.get("payoff", 1.0), workload["promised"]
        kept = 0 <= latency <= promised
        answer = ("kept" if kept else "late") if latency >= 0 else first.answer or "lost"
        self.whole.add(payoff, kept, answer)
        keys = [("workload", take.workload), ("customer", take.customer)]
        if self.zones:
            keys.append(("zone", self.zones[take.relay % len(self.zones)]))
        for key in keys:
            if key not in self.groups:
                self.groups[key] = Group()
                self.latencies[key] = array("q")
            self.groups[key].add(payoff, kept, answer)
            if latency >= 0:
                self.latencies[key].append(latency)
        if latency >= 0:
            self.served.append(latency)
        second = take.intended // SECOND
        rows = [(self.asked, self.kept)]
        if self.zones:
            rows.append(self.by_zone[self.zones[take.relay % len(self.zones)]])
        for asked, kept_payoff in rows:
            add_at(asked, second, payoff)
            add_at(kept_payoff, second, payoff * kept)
        if first.used_trial_build and not kept:
            self.harmed_payoff += payoff

    def stage(self, line: StageChanged) -> None:
        """The roll-out has moved."""
        self.note(line)
        if line.phase == "on trial":
            self.build_on_trial = line.build
            self.offered_at.setdefault(line.build, line.at)
        elif line.phase == "released":
            self.build_on_trial = -1
            self.released_at.setdefault(line.build, line.at)
        elif line.phase == "going back":
            self.sent_back_at.setdefault(line.build, line.at)

    def note(self, line: AnyLine) -> None:
        """Adds a line to the notes, of which there are 200 at the most."""
        if len(self.notes) < 200:
            match line:
                case StageChanged(at, build, stage, phase, cap):
                    self.notes.append(f"{at / SECOND:7.2f}s build {build} stage {stage} {phase}, cap {cap:.0%}")
                case Vote(at, relay, build, stage, verdict, _):
                    self.notes.append(
                        f"{at / SECOND:7.2f}s relay {relay} votes {verdict} on build {build} stage {stage}"
                    )
                case Log(at, relay, text):
                    self.notes.append(f"{at / SECOND:7.2f}s relay {relay}: {describe_verdict(text)}")
                case FaultInjected(at, text):
                    self.notes.append(f"{at / SECOND:7.2f}s {text}")

    def result(self, breaches: dict[str, int] | None = None, late: int = 0) -> Result:
        """The result, once the record has ended; `late`: the worst lateness of the player, in tenths of a ms."""
        for first in list(self.open_tries.values()):
            self.count(first, -1)
        self.open_tries.clear()
        head, whole = self.head, self.whole
        count = whole.count or 1
        figures = {"service": whole.honoured / (whole.asked or 1), "within": whole.within / count}
        for name in ("late", "rejected", "forfeited", "wrong", "lost"):
            figures[name] = whole.answers.get(name, 0) / count
        figures["harm"] = self.harmed_payoff / (whole.asked or 1)
        figures["at_trial"] = self.at_trial / (self.shots or 1)
        figures["shots"] = self.shots / count
        for build, at in self.offered_at.items():
            figures[f"released.{build}"] = float(build in self.released_at and build not in self.sent_back_at)
            if build in self.sent_back_at:
                figures[f"back_s.{build}"] = (self.sent_back_at[build] - at) / SECOND
            elif build in self.released_at:
                figures[f"released_s.{build}"] = (self.released_at[build] - at) / SECOND
        figures |= quantiles("", self.served)
        for (kind, place), group in sorted(self.groups.items(), key=str):
            names = self.customers if kind == "customer" else [each["name"] for each in self.workloads]
            name = place if isinstance(place, str) else names[place] if place < len(names) else str(place)
            if name:
                asked, count = group.asked or 1, group.count or 1
                figures[f"service.{kind}.{name}"] = group.honoured / asked
                figures[f"within.{kind}.{name}"] = group.within / count
                for answer in ("late", "rejected", "forfeited"):
                    figures[f"{answer}.{kind}.{name}"] = group.answers.get(answer, 0) / count
                figures |= quantiles(f".{kind}.{name}", self.latencies[kind, place])
        served = numpy.frombuffer(self.served, dtype=numpy.int64) if self.served else numpy.zeros(0, numpy.int64)
        series = {"asked": [round(each, 6) for each in self.asked], "service": shares(self.asked, self.kept)}
        for zone, (asked, kept) in self.by_zone.items():
            series |= {f"asked.{zone}": [round(each, 6) for each in asked], f"service.{zone}": shares(asked, kept)}
        for (own, to), counts in sorted(self.shots_by_zones.items()):
            series[f"shots.{own}>{to}"] = list(counts)
        curve = [float(each) / 10 for each in numpy.quantile(served, CURVE_QUANTILES)] if len(served) else []
        return Result(
            head.name, head.seed, head.source, figures, series, curve, breaches or {}, self.notes, self.sent, late / 10
        )
