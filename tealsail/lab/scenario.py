"""Scenarios: TOML of the operators, typed and checked, and what the world and the relays are made of by them.

A scenario says what a fleet is, what its clients do, which builds come and what goes wrong.  `base` names another
file whose tables this one lies over, so an option is a file of a few lines.  Times here are in the unit that a field's
name ends in; the world's are tenths of a millisecond.
"""

import tomllib
from pathlib import Path
from typing import Annotated, Any

import msgspec
from msgspec import Meta, Struct

from ..settings import facts, nested_leaves
from ..setup.document import Document, InvalidDocument, convert as read_document
from ..world.builds import Build
from ..world.clients import NUMBERS_PER_STREAM, ClientBehaviour, Workload, relay_weights
from ..world.day import DayParts
from ..world.faults import Fault
from ..world.fleet import FleetLayout
from ..world.network import NetworkPaths
from ..world.platform import RolloutPlan
from ..world.random_draws import QuantileTable, lognormal
from ..world.unit import UnitKind
from .script import Unclear, read_script

TENTHS, DEEPEST = 10, 8  # in a millisecond; files that lie over each other
EFFECTS = {"harmless": "read_like", "stamped": "idempotency_key", "one-shot": "non_idempotent"}

Share = Annotated[float, Meta(ge=0, le=1)]
Positive = Annotated[float, Meta(gt=0, le=1e9)]
Time = Annotated[float, Meta(ge=0, le=1e7)]
Count = Annotated[int, Meta(ge=0, le=1_000_000)]
Some = Annotated[int, Meta(ge=1, le=100_000)]
Word = Annotated[str, Meta(pattern=r"^[A-Za-z0-9_-]{1,40}$")]


class BadScenario(Exception):
    """One clear line with the path of the field."""


class Strict(Struct, forbid_unknown_fields=True, kw_only=True, frozen=True):
    """A table in which every field is known."""


class Work(Strict):
    """Milliseconds of one core: a mean and a coefficient of variation, or quantiles at even steps."""

    mean_ms: Positive = 20.0
    cv: Annotated[float, Meta(ge=0, le=10)] = 0.5
    quantiles_ms: list[Positive] = []

    def table(self) -> QuantileTable:
        if self.quantiles_ms:
            return QuantileTable(tuple(max(1, round(each * TENTHS)) for each in sorted(self.quantiles_ms)))
        return lognormal(self.mean_ms * TENTHS, self.cv)


class WorkloadTable(Strict):
    name: Word
    effect: str = "harmless"
    share: Positive = 1.0
    work: Work = Work()
    promised_ms: Positive = 300.0
    abandon_ms: Positive = 2000.0
    payoff: Positive = 1.0


class CustomerTable(Strict):
    name: Word
    share: Positive = 1.0


class FleetTable(Strict):
    relays: Some = 3
    units: Some = 12
    zones: tuple[Word, ...] = ("a",)
    cells: Some = 1
    speeds: Share = 0.1
    start_ms: tuple[Time, Time] = (800.0, 2000.0)
    drain_ms: Time = 2000.0
    notice_ms: Time = 3000.0
    beside: bool = False


class UnitTable(Strict):
    cores: Positive = 2.0
    slots: Some = 16
    room: Count = 32
    drag: Share = 0.0
    cold_from: Annotated[float, Meta(gt=0, le=1)] = 0.3
    warm_up_ms: Time = 4000.0
    fall_multiple: Positive = 4.0
    fall_ms: Positive = 1500.0
    stops: bool = True
    report_every_ms: Time = 0.0
    report_delay_ms: Time = 0.0
    errors: Share = 0.0
    handshake_work_ms: Time = 0.0  # of a core, for each new connection
    connections: Count = 0  # held at a time, 0: no limit


class ClientTable(Strict):
    rate: Annotated[float, Meta(gt=0, le=1e6)] = 100.0
    skew: Annotated[float, Meta(ge=0, le=4)] = 0.0
    hot: Positive = 1.0  # relay 0 gets so many times what it would get by skew
    keys: Some = 1000
    repeats: Count = 0
    repeat_after_ms: Positive = 100.0
    marks: bool = True
    there_ms: Time = 0.0  # what the relay and its sockets add on the way to a unit
    back_ms: Time = 0.0  # and on the way back
    trace: str = ""  # a record whose first tries are sent in place of drawn ones


class ListTable(Strict):
    late_ms: tuple[Time, Time] = (200.0, 900.0)


class PlatformTable(Strict):
    caps: Annotated[tuple[Share, ...], Meta(min_length=1)] = (0.2, 0.5, 1.0)
    shares: Annotated[tuple[Annotated[float, Meta(gt=0, le=1)], ...], Meta(min_length=1)] = (0.25, 0.5, 1.0)
    bake_ms: Positive = 1000.0
    on_votes: Count = 1
    back_votes: Count = 1
    vote_life_ms: Positive = 6000.0
    votes_per_second: Some = 50
    by_clock_ms: Time = 0.0
    free_shots: Count = 1
    span_ms: Positive = 2000.0
    news_ms: Time = 5.0


class NetworkTable(Strict):
    near_ms: Time = 0.2
    far_ms: Time = 1.0
    handshake_ms: Time = 0.5
    notes_ms: tuple[Time, Time] = (0.5, 5.0)
    notes_loss: Share = 0.0
    connect_ms: Positive = 250.0
    idle_ms: Positive = 10_000.0
    distances_ms: dict[str, Time] = {}  # "a b" = 12.0


class BuildTable(Strict):
    """`only` names a workload; `turns_s`: its fault shows from an age of the unit drawn between these."""

    number: Annotated[int, Meta(ge=1, lt=65_536)]
    offered_s: Time
    pace: Positive = 1.0
    errors: Share = 0.0
    wrong: Share = 0.0
    only: str = ""
    above: Annotated[float, Meta(ge=0)] = 0.0
    fitted: bool = False  # pace and errors as `fit` has them
    turns_s: tuple[Time, Time] = (0.0, 0.0)


class TrialTable(Strict):
    """Of trials alone.  `beside` is another checkout of the program (the landing before, say), run by this part of
    the relays at the start; `switch` in the script moves relays from one to the other."""

    beside: str = ""
    beside_part: Share = 0.0


class Scenario(Strict, kw_only=True):
    name: Annotated[str, Meta(min_length=1, max_length=80)]
    seconds: Annotated[float, Meta(gt=0, le=100_000)] = 60.0
    seed: Annotated[int, Meta(ge=0, lt=1 << 62)] = 1
    about: str = ""
    build: Annotated[int, Meta(ge=0, lt=65_535)] = 1  # what runs at the start
    script: str = ""
    fit: str = ""  # a file of `record fit --json`: work and overhead come from there
    fleet: FleetTable = FleetTable()
    unit: UnitTable = UnitTable()
    clients: ClientTable = ClientTable()
    roster: ListTable = msgspec.field(default=ListTable(), name="list")
    platform: PlatformTable = PlatformTable()
    network: NetworkTable = NetworkTable()
    workload: Annotated[list[WorkloadTable], Meta(min_length=1, max_length=64)]
    customer: Annotated[list[CustomerTable], Meta(max_length=1000)] = []
    builds: Annotated[list[BuildTable], Meta(max_length=100)] = []
    trial: TrialTable = TrialTable()
    document: dict[str, Any] = {}  # the relays' operator's document, as in deploy/tealsail.toml
    settings: dict[str, Any] = {}  # over the relays' own, in the platform's names, as paths

    # what the world is made of
    @property
    def span(self) -> int:
        """The day's length in tenths of a ms."""
        return int(self.seconds * 10_000)

    def layout(self) -> FleetLayout:
        table = self.fleet
        return FleetLayout(
            table.units,
            tuple(table.zones),
            table.cells,
            table.speeds,
            tenths_pair(table.start_ms),
            tenths(table.drain_ms),
            tenths(table.notice_ms),
            table.beside,
        )

    def kind(self) -> UnitKind:
        table = self.unit
        return UnitKind(
            table.cores,
            table.slots,
            table.room,
            table.drag,
            table.cold_from,
            tenths(table.warm_up_ms),
            table.fall_multiple,
            tenths(table.fall_ms),
            table.stops,
            tenths(table.report_every_ms),
            tenths(table.report_delay_ms),
            table.errors,
            tenths(table.handshake_work_ms),
            table.connections,
        )

    def works(self) -> list[QuantileTable]:
        return [each.work.table() for each in self.workload]

    def workloads(self) -> list[Workload]:
        return [
            Workload(each.name, each.effect, each.share, tenths(each.promised_ms), tenths(each.abandon_ms), each.payoff)
            for each in self.workload
        ]

    def habits(self) -> ClientBehaviour:
        table = self.clients
        return ClientBehaviour(
            table.rate, table.skew, table.keys, table.repeats, tenths(table.repeat_after_ms), table.marks, table.hot
        )

    def plan(self) -> RolloutPlan:
        table = self.platform
        return RolloutPlan(
            tuple(table.caps),
            tuple(table.shares),
            tenths(table.bake_ms),
            80_000,
            table.on_votes,
            table.back_votes,
            tenths(table.vote_life_ms),
            table.votes_per_second,
            tenths(table.by_clock_ms),
        )

    def paths(self) -> NetworkPaths:
        table = self.network
        least, most = tenths_pair(table.notes_ms)
        distances = {tuple(pair.split()): tenths(far) for pair, far in table.distances_ms.items()}
        return NetworkPaths(
            tenths(table.near_ms),
            tenths(table.far_ms),
            tenths(table.handshake_ms),
            least,
            most,
            table.notes_loss,
            distances,
        )

    def relay_zones(self) -> list[str]:
        return [self.fleet.zones[relay % len(self.fleet.zones)] for relay in range(self.fleet.relays)]

    def builds_by_number(self) -> dict[int, Build]:
        names = [each.name for each in self.workload]
        found = {
            each.number: Build(
                each.number,
                each.pace,
                each.errors,
                names.index(each.only) if each.only else -1,
                each.above,
                (tenths(each.turns_s[0] * 1000), tenths(each.turns_s[1] * 1000)),
                each.wrong,
            )
            for each in self.builds
        }
        return {self.build: Build(self.build)} | found

    def faults(self) -> list[Fault]:
        return read_script(self.script)

    def parts(self) -> DayParts:
        """All that the world is made of."""
        late = tenths_pair(self.roster.late_ms)
        return DayParts(
            self.layout(),
            self.kind(),
            self.builds_by_number(),
            self.build,
            self.works(),
            self.workloads(),
            [(each.name, each.share) for each in self.customer],
            self.habits(),
            self.plan(),
            self.paths(),
            self.relay_zones(),
            late,
            [(int(each.offered_s * 10_000), each.number) for each in self.builds],
            self.faults(),
            self.span,
        )

    def plain(self) -> dict[str, Any]:
        """As a plain map that `convert` reads."""
        return msgspec.to_builtins(self)

    def relay_settings(self, relay: int) -> dict[str, Any]:
        """What the platform tells that relay, in its own names and units."""
        platform, unit, network = self.platform, self.unit, self.network
        tree: dict[str, Any] = {
            "fleetSize": self.fleet.relays,
            "index": relay,
            "zone": self.relay_zones()[relay],
            "dcs": list(self.fleet.zones),
            "discovery": "pushed",
            "requestClasses": [
                {
                    "name": each.name,
                    "effect": EFFECTS[each.effect],
                    "aim": each.promised_ms,
                    "deadline": each.abandon_ms,
                    "gain": each.payoff,
                    "group": "all",
                }
                for each in self.workload
            ],
            "tenants": [{"name": each.name, "share": each.share} for each in self.customer],
            "domain": {
                "control": "timer" if platform.by_clock_ms else "any",
                "toAdvance": platform.on_votes,
                "holdVotes": 1,
                "noesNeeded": platform.back_votes,
                "minDwell": platform.bake_ms,
                "stageTime": platform.by_clock_ms or platform.bake_ms,
                "ballotTtl": platform.vote_life_ms,
                "apiTimeout": 1000,
                "callsPerS": platform.votes_per_second,
                "free": platform.free_shots,
                "per": "all",
                "span": platform.span_ms,
                "mostShares": list(platform.caps),
                "waves": list(platform.shares),
                "layout": "beside" if self.fleet.beside else "in_place",
            },
            "limits": {
                "cancel": True,
                "maxAttempts": 3,
                "parallelTries": False,
                "retryAfter": True,
                "maxRetryAfter": 500,
                "mayTell": self.fleet.relays > 1,
                "dialTimeout": network.connect_ms,
                "connIdle": network.idle_ms,
            },
            "rules": {
                "answerSlack": 100,
                "coldFrom": unit.cold_from,
                "drainGrace": 1000,
                "fallMultiple": unit.fall_multiple,
                "overloadFor": unit.fall_ms,
                "warmUp": unit.warm_up_ms,
            },
            "feedback": {"fields": ["util", "queue"] if unit.report_every_ms else []},
        }
        for path, value in self.settings.items():
            lay(tree, path, value)
        return tree

    def operators(self) -> Document:
        """Raises BadDocument."""
        return read_document(self.document)

    def facts(self, relay: int) -> dict[str, Any]:
        """The same under the module's names."""
        return facts(nested_leaves(self.relay_settings(relay)))


def tenths(milliseconds: float) -> int:
    return round(milliseconds * TENTHS)


def tenths_pair(pair: tuple[float, float]) -> tuple[int, int]:
    return tenths(pair[0]), tenths(pair[1])


def lay(tree: dict[str, Any], path: str, value: Any) -> None:
    """Sets one setting by its path; raises BadScenario where the path leads through what is no table."""
    *way, last = path.split(".")
    for name in way:
        tree = tree.setdefault(name, {})
        if not isinstance(tree, dict):
            raise BadScenario(f"settings.{path}: {name} is no table")
    tree[last] = value


def over(below: dict[str, Any], above: dict[str, Any]) -> dict[str, Any]:
    """Tables lie over tables field by field; anything else replaces what it lies over."""
    result = dict(below)
    for name, value in above.items():
        under = result.get(name)
        result[name] = over(under, value) if isinstance(under, dict) and isinstance(value, dict) else value
    return result


def read_tree(path: Path, depth: int = 0) -> dict[str, Any]:
    if depth > DEEPEST:
        raise BadScenario(f"{path}: base: more than {DEEPEST} files lie over each other")
    try:
        with open(path, "rb") as file:
            tree = tomllib.load(file)
    except (OSError, tomllib.TOMLDecodeError, UnicodeDecodeError) as problem:
        raise BadScenario(f"{path}: {problem}") from None
    for table, name in ((tree, "fit"), (tree.get("clients", {}), "trace"), (tree.get("trial", {}), "beside")):
        if isinstance(table, dict) and isinstance(table.get(name), str) and table[name]:
            table[name] = str(path.parent / table[name])  # as seen from the file that names it
    base = tree.pop("base", None)
    if base is None:
        return tree
    if not isinstance(base, str):
        raise BadScenario(f"{path}: base: not a file's name")
    return over(read_tree(path.parent / base, depth + 1), tree)


def read(path: Path | str, changes: dict[str, Any] | None = None) -> Scenario:
    """A scenario from its file, with `changes` laid over it.  Raises BadScenario with one line."""
    return convert(over(read_tree(Path(path)), changes or {}), str(path))


def convert(tree: dict[str, Any], where: str = "scenario") -> Scenario:
    """The same from a plain map."""
    try:
        scenario = msgspec.convert(tree, Scenario)
    except msgspec.ValidationError as problem:
        text, _, path = str(problem).partition(" - at `$")
        raise BadScenario(f"{where}: {path.strip('`.') or 'scenario'}: {text[:1].lower() + text[1:]}") from None
    check(scenario, where)
    return scenario


def check(scenario: Scenario, where: str) -> None:
    """Fields against each other."""

    def wrong(path: str, text: str) -> None:
        raise BadScenario(f"{where}: {path}: {text}")

    names = [each.name for each in scenario.workload]
    for place, each in enumerate(scenario.workload):
        if each.effect not in EFFECTS:
            wrong(f"workload[{place}].effect", f"{each.effect!r} is none of {', '.join(EFFECTS)}")
        if each.promised_ms > each.abandon_ms:
            wrong(f"workload[{place}].promised_ms", "later than abandon_ms")
    for field, listed in (
        ("workload", names),
        ("customer", [each.name for each in scenario.customer]),
        ("fleet.zones", scenario.fleet.zones),
        ("builds", [each.number for each in scenario.builds]),
    ):
        twice = next((name for name in listed if listed.count(name) > 1), None)
        if twice is not None:
            wrong(field, f"{twice} is there twice")
    for place, each in enumerate(scenario.builds):
        if each.only and each.only not in names:
            wrong(f"builds[{place}].only", f"no workload {each.only!r}")
        if each.number <= scenario.build:
            wrong(f"builds[{place}].number", f"not above the build at the start, {scenario.build}")
        if each.turns_s[0] > each.turns_s[1]:
            wrong(f"builds[{place}].turns_s", "the first is later than the second")
    for field in ("fleet.start_ms", "list.late_ms", "network.notes_ms"):
        table, name = field.split(".")
        least, most = getattr(getattr(scenario, table.replace("list", "roster")), name)
        if least > most:
            wrong(field, "the first is more than the second")
    parts = relay_weights(scenario.fleet.relays, scenario.clients.skew, scenario.clients.hot)
    if scenario.clients.rate * scenario.seconds * max(parts) / sum(parts) > 0.9 * NUMBERS_PER_STREAM:
        wrong("clients.rate", f"more than {NUMBERS_PER_STREAM} first tries at one relay in {scenario.seconds:.0f} s")
    if len(scenario.platform.caps) < len(scenario.platform.shares):
        wrong("platform.caps", "fewer than platform.shares")
    for pair in scenario.network.distances_ms:
        if len(pair.split()) != 2 or not set(pair.split()) <= set(scenario.fleet.zones):
            wrong(f"network.distances_ms.{pair}", "not two of fleet.zones")
    try:
        for relay in range(min(scenario.fleet.relays, len(scenario.fleet.zones))):
            scenario.operators().extra_stages(scenario.facts(relay))
    except InvalidDocument as problem:
        wrong("document", str(problem))
    if scenario.operators().recording:
        wrong("document.recording", "a model or trial writes its own record")
    try:
        faults = scenario.faults()
    except Unclear as problem:
        wrong("script", str(problem))
    if scenario.trial.beside and not (Path(scenario.trial.beside) / "tealsail" / "__main__.py").exists():
        wrong("trial.beside", f"no checkout of the program at {scenario.trial.beside}")
    customers = [each.name for each in scenario.customer]
    for fault in faults:
        if fault.kind == "surge" and scenario.clients.trace:
            wrong("script", f"{fault.text!r}: recorded traffic can't surge")
        if fault.kind == "surge" and fault.who and fault.who not in customers:
            wrong("script", f"{fault.text!r}: no customer {fault.who}")
        if fault.zone and fault.zone not in scenario.fleet.zones:
            wrong("script", f"{fault.text!r}: no zone {fault.zone}")
        for who in (fault.who, fault.party[0]):
            if who.isdigit() and int(who) >= scenario.fleet.relays:
                wrong("script", f"{fault.text!r}: there are relays 0 to {scenario.fleet.relays - 1}")
        for zone in (fault.whom.removeprefix("zone "), fault.party[3]):
            if (fault.whom.startswith("zone ") or zone == fault.party[3]) and zone and zone not in scenario.fleet.zones:
                wrong("script", f"{fault.text!r}: no zone {zone}")
