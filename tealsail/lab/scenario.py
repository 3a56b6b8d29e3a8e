"""Scenarios: operators' TOML files, typed and validated, and converted to parts of the world and relays' settings.

A scenario describes a fleet, its clients, the builds that are offered and the faults.  `base` names another file whose
tables this one overrides, so a variant is a file of a few lines.  Times of a scenario are in the unit that the field's
name ends in; times of the world are tenths of a millisecond.
"""

import tomllib
from pathlib import Path
from typing import Annotated, Any

import msgspec
from msgspec import Meta, Struct

from ..settings import named_settings, nested_leaves
from ..setup.document import Document, InvalidDocument, convert as read_document
from ..time_limits import TENTHS_PER_SECOND
from ..world.builds import Build
from ..world.clients import NUMBERS_PER_STREAM, ClientBehaviour, Workload, relay_weights
from ..world.day import DayParts
from ..world.faults import Fault
from ..world.fleet import FleetLayout
from ..world.network import NetworkPaths
from ..world.platform import RolloutPlan
from ..world.random_draws import QuantileTable, lognormal
from ..world.unit import UnitKind
from .script import BadScript, read_script

TENTHS_PER_MS = 10
MAX_BASE_DEPTH = 8  # files that override each other
# names in a scenario -> names in the platform's settings
EFFECTS = {"harmless": "read_like", "stamped": "idempotency_key", "one-shot": "non_idempotent"}

Share = Annotated[float, Meta(ge=0, le=1)]
Positive = Annotated[float, Meta(gt=0, le=1e9)]
Duration = Annotated[float, Meta(ge=0, le=1e7)]
Count = Annotated[int, Meta(ge=0, le=1_000_000)]
PositiveCount = Annotated[int, Meta(ge=1, le=100_000)]
Name = Annotated[str, Meta(pattern=r"^[A-Za-z0-9_-]{1,40}$")]


class BadScenario(Exception):
    """A scenario that can't be used; the text is one line with the path of the field."""


class Strict(Struct, forbid_unknown_fields=True, kw_only=True, frozen=True):
    """Base of the tables; unknown fields are errors."""


class Work(Strict):
    """Distribution of the work of an invocation, in milliseconds of one core: a lognormal given by its mean and
    coefficient of variation, or quantiles at equal steps of probability, which take precedence."""

    mean_ms: Positive = 20.0
    cv: Annotated[float, Meta(ge=0, le=10)] = 0.5
    quantiles_ms: list[Positive] = []

    def table(self) -> QuantileTable:
        """The distribution as a table of quantiles, in tenths of a ms."""
        if self.quantiles_ms:
            return QuantileTable(tuple(max(1, round(each * TENTHS_PER_MS)) for each in sorted(self.quantiles_ms)))
        return lognormal(self.mean_ms * TENTHS_PER_MS, self.cv)


class WorkloadTable(Strict):
    """A kind of invocation: its effect, its share of the arrivals, its work, latency target, deadline and value."""

    name: Name
    effect: str = "harmless"
    share: Positive = 1.0
    work: Work = Work()
    promised_ms: Positive = 300.0
    abandon_ms: Positive = 2000.0
    payoff: Positive = 1.0


class CustomerTable(Strict):
    """A customer and its share of the arrivals."""

    name: Name
    share: Positive = 1.0


class FleetTable(Strict):
    """Relays and units, and how units start and end."""

    relays: PositiveCount = 3
    units: PositiveCount = 12
    zones: tuple[Name, ...] = ("a",)
    cells: PositiveCount = 1
    speeds: Share = 0.1  # machines' speeds lie evenly within 1 ± this
    start_ms: tuple[Duration, Duration] = (800.0, 2000.0)  # least and most
    drain_ms: Duration = 2000.0
    notice_ms: Duration = 3000.0
    beside: bool = False  # units of a new build start beside the old ones, not in their place


class UnitTable(Strict):
    """What all units are like; see tealsail/world/unit.py, Kind."""

    cores: Positive = 2.0
    slots: PositiveCount = 16
    room: Count = 32
    drag: Share = 0.0
    cold_from: Annotated[float, Meta(gt=0, le=1)] = 0.3
    warm_up_ms: Duration = 4000.0
    fall_multiple: Positive = 4.0
    fall_ms: Positive = 1500.0
    stops: bool = True
    report_every_ms: Duration = 0.0
    report_delay_ms: Duration = 0.0
    errors: Share = 0.0
    handshake_work_ms: Duration = 0.0  # of one core, for each new connection
    connections: Count = 0  # open at a time; 0: no limit


class ClientTable(Strict):
    """Arrivals at the relays, and how clients repeat."""

    rate: Annotated[float, Meta(gt=0, le=1e6)] = 100.0  # first tries a second, at all relays
    skew: Annotated[float, Meta(ge=0, le=4)] = 0.0
    hot: Positive = 1.0  # factor on relay 0's part of the arrivals, over what it gets by `skew`
    keys: PositiveCount = 1000
    repeats: Count = 0
    repeat_after_ms: Positive = 100.0
    marks: bool = True
    there_ms: Duration = 0.0  # overhead of the relay and its sockets on the way to a unit
    back_ms: Duration = 0.0  # the same on the way back
    trace: str = ""  # path of a record whose first tries replace random arrivals


class ListTable(Strict):
    """How late relays learn of changes of the list of units: least and most."""

    late_ms: tuple[Duration, Duration] = (200.0, 900.0)


class PlatformTable(Strict):
    """Stages of a roll-out and how votes move them; see tealsail/world/desk.py, Plan."""

    caps: Annotated[tuple[Share, ...], Meta(min_length=1)] = (0.2, 0.5, 1.0)
    shares: Annotated[tuple[Annotated[float, Meta(gt=0, le=1)], ...], Meta(min_length=1)] = (0.25, 0.5, 1.0)
    bake_ms: Positive = 1000.0
    on_votes: Count = 1
    back_votes: Count = 1
    vote_life_ms: Positive = 6000.0
    votes_per_second: PositiveCount = 50
    by_clock_ms: Duration = 0.0  # length of a stage; 0: votes move the stages
    free_shots: Count = 1
    span_ms: Positive = 2000.0
    news_ms: Duration = 5.0  # latency of the platform, each way


class NetworkTable(Strict):
    """One-way latencies, messages between relays, and connections to units."""

    near_ms: Duration = 0.2
    far_ms: Duration = 1.0
    handshake_ms: Duration = 0.5
    notes_ms: tuple[Duration, Duration] = (0.5, 5.0)  # of messages between relays, least and most
    notes_loss: Share = 0.0  # of the same
    connect_ms: Positive = 250.0
    idle_ms: Positive = 10_000.0
    distances_ms: dict[str, Duration] = {}  # between zones, as "a b" = 12.0


class BuildTable(Strict):
    """A build that is offered, and its faults.  `only`: the one workload that they affect; `turns_s`: least and most
    age of a unit from which they show, drawn for each unit."""

    number: Annotated[int, Meta(ge=1, lt=65_536)]
    offered_s: Duration
    pace: Positive = 1.0
    errors: Share = 0.0
    wrong: Share = 0.0
    only: str = ""
    above: Annotated[float, Meta(ge=0)] = 0.0
    fitted: bool = False  # pace and errors come from the file `fit`
    turns_s: tuple[Duration, Duration] = (0.0, 0.0)


class TrialTable(Strict):
    """Options of trials only.  `beside` is another checkout of the program, such as the previous release, that
    `beside_part` of the relays run at the start; `switch` in the script moves relays from one to the other."""

    beside: str = ""
    beside_part: Share = 0.0


class Scenario(Strict, kw_only=True):
    """A whole scenario; its methods build what a day is made of."""

    name: Annotated[str, Meta(min_length=1, max_length=80)]
    seconds: Annotated[float, Meta(gt=0, le=100_000)] = 60.0
    seed: Annotated[int, Meta(ge=0, lt=1 << 62)] = 1
    about: str = ""
    build: Annotated[int, Meta(ge=0, lt=65_535)] = 1  # the build that runs at the start
    script: str = ""
    fit: str = ""  # path of a file of `record fit --json`, which gives work and overhead
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
    document: dict[str, Any] = {}  # the operator's document of the relays, as in deploy/tealsail.toml
    settings: dict[str, Any] = {}  # path in the platform's settings -> value that overrides the relays' own

    # parts of the world
    @property
    def span(self) -> int:
        """Length of the day in tenths of a ms."""
        return int(self.seconds * TENTHS_PER_SECOND)

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
        """The distribution of work of each workload."""
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
            80_000,  # launched_by, 8 s: not an option of scenarios
            table.on_votes,
            table.back_votes,
            tenths(table.vote_life_ms),
            table.votes_per_second,
            tenths(table.by_clock_ms),
        )

    def paths(self) -> NetworkPaths:
        table = self.network
        least, most = tenths_pair(table.notes_ms)
        distances = {tuple(zones.split()): tenths(milliseconds) for zones, milliseconds in table.distances_ms.items()}
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
        """The zone of each relay, in turn."""
        return [self.fleet.zones[relay % len(self.fleet.zones)] for relay in range(self.fleet.relays)]

    def builds_by_number(self) -> dict[int, Build]:
        """All builds, with the one that runs at the start."""
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
        """The script's faults in order of time.  Raises BadScript."""
        return read_script(self.script)

    def parts(self) -> DayParts:
        """Everything that tealsail/world/day.py needs."""
        list_lateness = tenths_pair(self.roster.late_ms)
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
            list_lateness,
            [(int(each.offered_s * TENTHS_PER_SECOND), each.number) for each in self.builds],
            self.faults(),
            self.span,
        )

    def plain(self) -> dict[str, Any]:
        """As nested dicts that `convert` reads."""
        return msgspec.to_builtins(self)

    def relay_settings(self, relay: int) -> dict[str, Any]:
        """The settings that the platform sends to that relay, in the platform's names and units (ms).  Raises
        BadScenario for a path in `settings` that leads through a value."""
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
            set_by_path(tree, path, value)
        return tree

    def operator_document(self) -> Document:
        """The operator's document of the relays.  Raises BadDocument."""
        return read_document(self.document)

    def named_settings(self, relay: int) -> dict[str, Any]:
        """The relay's settings under the names that the relay uses, with times in tenths of a ms."""
        return named_settings(nested_leaves(self.relay_settings(relay)))


def tenths(milliseconds: float) -> int:
    """Whole tenths of a millisecond."""
    return round(milliseconds * TENTHS_PER_MS)


def tenths_pair(pair: tuple[float, float]) -> tuple[int, int]:
    return tenths(pair[0]), tenths(pair[1])


def set_by_path(tree: dict[str, Any], path: str, value: Any) -> None:
    """Sets the value at a dotted path, with the tables that are missing.  Raises BadScenario if the path leads through
    a value that is not a table."""
    *tables, last = path.split(".")
    for name in tables:
        tree = tree.setdefault(name, {})
        if not isinstance(tree, dict):
            raise BadScenario(f"settings.{path}: {name} is not a table")
    tree[last] = value


def merge(base: dict[str, Any], changes: dict[str, Any]) -> dict[str, Any]:
    """A new tree: tables of `changes` override those of `base` field by field; other values replace the old ones."""
    result = dict(base)
    for name, value in changes.items():
        old = result.get(name)
        result[name] = merge(old, value) if isinstance(old, dict) and isinstance(value, dict) else value
    return result


def read_tree(path: Path, depth: int = 0) -> dict[str, Any]:
    """A file's tables over those of its base; `depth` counts the files above it.  Raises BadScenario."""
    if depth > MAX_BASE_DEPTH:
        raise BadScenario(f"{path}: base: more than {MAX_BASE_DEPTH} files override each other")
    try:
        with open(path, "rb") as file:
            tree = tomllib.load(file)
    except (OSError, tomllib.TOMLDecodeError, UnicodeDecodeError) as problem:
        raise BadScenario(f"{path}: {problem}") from None
    for table, name in ((tree, "fit"), (tree.get("clients", {}), "trace"), (tree.get("trial", {}), "beside")):
        if isinstance(table, dict) and isinstance(table.get(name), str) and table[name]:
            table[name] = str(path.parent / table[name])  # relative to the file that names it
    base = tree.pop("base", None)
    if base is None:
        return tree
    if not isinstance(base, str):
        raise BadScenario(f"{path}: base: not a file name")
    return merge(read_tree(path.parent / base, depth + 1), tree)


def read(path: Path | str, changes: dict[str, Any] | None = None) -> Scenario:
    """Reads a scenario's file; `changes` override its fields.  Raises BadScenario."""
    return convert(merge(read_tree(Path(path)), changes or {}), str(path))


def convert(tree: dict[str, Any], where: str = "scenario") -> Scenario:
    """Validates nested dicts; `where` begins the text of errors.  Raises BadScenario."""
    try:
        scenario = msgspec.convert(tree, Scenario)
    except msgspec.ValidationError as problem:
        text, _, path = str(problem).partition(" - at `$")
        raise BadScenario(f"{where}: {path.strip('`.') or 'scenario'}: {text[:1].lower() + text[1:]}") from None
    check(scenario, where)
    return scenario


def check(scenario: Scenario, where: str) -> None:
    """Checks what a single field's type can't: fields against each other, names and files.  Raises BadScenario."""

    def fail(path: str, text: str) -> None:
        raise BadScenario(f"{where}: {path}: {text}")

    names = [each.name for each in scenario.workload]
    for index, each in enumerate(scenario.workload):
        if each.effect not in EFFECTS:
            fail(f"workload[{index}].effect", f"{each.effect!r} is not one of {', '.join(EFFECTS)}")
        if each.promised_ms > each.abandon_ms:
            fail(f"workload[{index}].promised_ms", "later than abandon_ms")
    for field, values in (
        ("workload", names),
        ("customer", [each.name for each in scenario.customer]),
        ("fleet.zones", scenario.fleet.zones),
        ("builds", [each.number for each in scenario.builds]),
    ):
        repeated = next((name for name in values if values.count(name) > 1), None)
        if repeated is not None:
            fail(field, f"{repeated} is listed twice")
    for index, each in enumerate(scenario.builds):
        if each.only and each.only not in names:
            fail(f"builds[{index}].only", f"no workload {each.only!r}")
        if each.number <= scenario.build:
            fail(f"builds[{index}].number", f"not above the build at the start, {scenario.build}")
        if each.turns_s[0] > each.turns_s[1]:
            fail(f"builds[{index}].turns_s", "the first is later than the second")
    for field in ("fleet.start_ms", "list.late_ms", "network.notes_ms"):
        table_name, name = field.split(".")
        least, most = getattr(getattr(scenario, table_name.replace("list", "roster")), name)
        if least > most:
            fail(field, "the first is greater than the second")
    arrival_weights = relay_weights(scenario.fleet.relays, scenario.clients.skew, scenario.clients.hot)
    # a tenth of the numbers is kept free, since arrivals are random
    if (
        scenario.clients.rate * scenario.seconds * max(arrival_weights) / sum(arrival_weights)
        > 0.9 * NUMBERS_PER_STREAM
    ):
        fail("clients.rate", f"more than {NUMBERS_PER_STREAM} first tries at one relay in {scenario.seconds:.0f} s")
    if len(scenario.platform.caps) < len(scenario.platform.shares):
        fail("platform.caps", "fewer than platform.shares")
    for pair in scenario.network.distances_ms:
        if len(pair.split()) != 2 or not set(pair.split()) <= set(scenario.fleet.zones):
            fail(f"network.distances_ms.{pair}", "not two of fleet.zones")
    try:
        for relay in range(min(scenario.fleet.relays, len(scenario.fleet.zones))):
            scenario.operator_document().extra_stages(scenario.named_settings(relay))
    except InvalidDocument as problem:
        fail("document", str(problem))
    if scenario.operator_document().recording:
        fail("document.recording", "a model or trial writes its own record")
    try:
        faults = scenario.faults()
    except BadScript as problem:
        fail("script", str(problem))
    if scenario.trial.beside and not (Path(scenario.trial.beside) / "tealsail" / "__main__.py").exists():
        fail("trial.beside", f"no checkout of the program at {scenario.trial.beside}")
    customers = [each.name for each in scenario.customer]
    for fault in faults:
        if fault.kind == "surge" and scenario.clients.trace:
            fail("script", f"{fault.text!r}: recorded traffic can't surge")
        if fault.kind == "surge" and fault.who and fault.who not in customers:
            fail("script", f"{fault.text!r}: no customer {fault.who}")
        if fault.zone and fault.zone not in scenario.fleet.zones:
            fail("script", f"{fault.text!r}: no zone {fault.zone}")
        for relay_name in (fault.who, fault.party[0]):
            if relay_name.isdigit() and int(relay_name) >= scenario.fleet.relays:
                fail("script", f"{fault.text!r}: there are relays 0 to {scenario.fleet.relays - 1}")
        for zone in (fault.whom.removeprefix("zone "), fault.party[3]):
            if (fault.whom.startswith("zone ") or zone == fault.party[3]) and zone and zone not in scenario.fleet.zones:
                fail("script", f"{fault.text!r}: no zone {zone}")
