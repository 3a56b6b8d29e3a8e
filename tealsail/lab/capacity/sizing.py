"""The operators' numbers against what the slopes foretell: each role's needs, allowances and factors."""

import tomllib
from collections.abc import Iterator
from math import hypot
from pathlib import Path
from typing import NamedTuple

import msgspec

from ...choices.rate_limits import SHOT_MESSAGE_LIMITS
from ...notes import UINT16_MAX
from .causes import Place
from .points import Axis, Cost, Name, Side
from .roles import MESSAGES_OF_A_REQUEST, Extent, FleetSize, Role, RoleCost, extent, foretell, more, tellings
from .slopes import Slopes

DAY = 86_400  # seconds
MINUTE = 60  # seconds
BEATS = 2  # a second
HEADERS = 28  # bytes of IP and UDP
HELD = "loop held by "
LATE_PART = 1.0  # of 100 requests


class Fleet(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """How large it is to be."""

    relays: int
    units: int
    services: int
    routes: int
    tenants: int
    requests_per_second: float
    regions: int
    zones: int
    settings_changes_per_day: float
    machines_failed_per_day: float
    machines_restarted_per_day: float
    control_machines: int


class Allowance(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Of one relay for control; milliseconds added to a request for 99 in 100; seconds until settings are in force."""

    core_part: float
    memory_mb: float
    bytes_per_second: float
    added_ms: float
    settings_in_force_s: float


class Assumed(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """What the operators did not say."""

    entries_per_restart: int
    entries_per_failure: int
    busiest_relay: float
    zipf: float
    units_per_rack: int
    rollout_minutes: float
    units_used_by_relay: int


class Plan(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The numbers to plan with."""

    fleet: Fleet
    allowance: Allowance
    assumed: Assumed

    def list_changes_per_second(self) -> float:
        """On an ordinary day, in the mean."""
        fleet, assumed = self.fleet, self.assumed
        entries = fleet.machines_restarted_per_day * assumed.entries_per_restart
        entries += fleet.machines_failed_per_day * assumed.entries_per_failure
        return entries / DAY

    def rollout_changes_per_second(self) -> float:
        entries = self.fleet.machines_restarted_per_day * self.assumed.entries_per_restart
        return entries / (MINUTE * self.assumed.rollout_minutes)

    def size(self, times_the_mean: float = 1.0) -> FleetSize:
        """Of an ordinary day; a relay with several times the mean of requests is sized as if all had as many."""
        fleet = self.fleet
        return FleetSize(
            fleet.relays,
            fleet.units,
            fleet.requests_per_second * times_the_mean,
            fleet.tenants,
            self.list_changes_per_second(),
            fleet.settings_changes_per_day / DAY,
        )


def read_plan(path: str | Path) -> Plan:
    """Raises ValueError for a file that is no such plan."""
    try:
        return msgspec.convert(tomllib.loads(Path(path).read_text()), Plan)
    except (msgspec.ValidationError, tomllib.TOMLDecodeError) as problem:
        raise ValueError(f"{path}: {problem}") from None


class Need(NamedTuple):
    """One figure of a role at the planned size.  `value` None: not measured; `allowance` None: the operators gave none;
    `mechanism` None: missing."""

    role: str
    what: str
    value: float | None
    error: float
    unit: str
    allowance: float | None
    source: str
    mechanism: Place | None
    note: str = ""

    def factor(self) -> float | None:
        """Over the allowance where it is above one."""
        if self.value is None or not self.allowance:
            return None
        return self.value / self.allowance


BEAT = Place("policy", "Relay.on_wake")
LIST = Place("policy", "Relay.on_list")
SWITCH = Place("choices.live_settings", "LiveSettings.change")
ASKING = Place("policy", "LoadTracking.ask")
TELLING = Place("policy", "LoadTracking.report_shot")
HEARING = Place("policy", "LoadTracking.receive")
SERVING = Place("net.relay", "Relay.take")
CUSTOMERS = Place("policy", "Admission.limit_share")
POOLING = Place("notes", "CountPool.add")
JUDGING = Place("policy", "Judge.update_verdict")
NEWS = Place("net.platform", "Platform.on_message")
WATCHING = Place("net.discovery", "Discovery.on_reply")
RELOADS = Place("command.serve", "ConfigurationReloader.reload")
SHEDDING = Place("choices.rate_limits", "RateLimiter.allows")
ARRANGING = Place("policy", "Relay.arrange")
JUDGES_TOLD = Place("policy", "Judge.send_counts")
STARTING = Place("net.relay", "Relay.start")
CARRIED = {
    "the process itself": STARTING,
    "units": LIST,
    "tenants": CUSTOMERS,
    "relays": JUDGES_TOLD,
    "beats": BEAT,
    "beats, tenants": BEAT,
    "beats, relays": BEAT,
    "platform's news": NEWS,
    "changed entries": LIST,
    "whole lists": LIST,
    "settings changes": SWITCH,
    "settings changes, units": SWITCH,
    "requests": SERVING,
    "messages for requests": TELLING,
    "looks at the pool": JUDGING,
    "pool of counts": POOLING,
    "messages of counts": POOLING,
    "messages of loads": HEARING,
}
WORDS = {
    Cost.PROCESSOR: ("processor time", "ms/s"),
    Cost.MEMORY: ("memory", "MB"),
    Cost.BYTES_IN: ("bytes in", "B/s"),
    Cost.BYTES_OUT: ("bytes out", "B/s"),
    Cost.DATAGRAMS_IN: ("datagrams in", "/s"),
    Cost.DATAGRAMS_OUT: ("datagrams out", "/s"),
}
NOTHING = 0.005  # of any unit: a term that is less gets no row


def allowed(plan: Plan, cost: Cost, side: Side) -> float | None:
    """What the operators allow one relay of that cost."""
    if side != Side.CONTROL:
        return None
    limits = {
        Cost.PROCESSOR: 1000 * plan.allowance.core_part,
        Cost.MEMORY: plan.allowance.memory_mb,
        Cost.BYTES_IN: plan.allowance.bytes_per_second,
        Cost.BYTES_OUT: plan.allowance.bytes_per_second,
    }
    return limits.get(cost)


def terms_of(plan: Plan, cost: RoleCost, without: RoleCost | None = None) -> Iterator[Need]:
    """A row for each term that the other role does not have, too."""
    known = set(without.terms) if without else set()
    for term in cost.terms:
        if term in known or (term.value < NOTHING and not term.missing):
            continue
        word, unit = WORDS[term.cost]
        source = term.slope + (" (beyond what was measured)" if term.beyond else "")
        value = None if term.missing else term.value
        what = f"{word}, {term.side}: {term.name}"
        allowance = allowed(plan, term.cost, term.side)
        yield Need(cost.role, what, value, term.error, unit, allowance, source, CARRIED[term.name])


def sums_of(plan: Plan, cost: RoleCost) -> Iterator[Need]:
    """The role's control as a whole, in processor time, memory and bytes both ways."""
    for kind in (Cost.PROCESSOR, Cost.MEMORY):
        value, error = cost.total(kind, Side.CONTROL)
        word, unit = WORDS[kind]
        allowance = allowed(plan, kind, Side.CONTROL)
        yield Need(cost.role, f"{word}, control, in all", value, error, unit, allowance, "sum", BEAT)
    (inward, first), (outward, second) = (cost.total(kind, Side.CONTROL) for kind in (Cost.BYTES_IN, Cost.BYTES_OUT))
    allowance = plan.allowance.bytes_per_second
    total, error = inward + outward, hypot(first, second)
    yield Need(cost.role, "bytes in and out, control, in all", total, error, "B/s", allowance, "sum", TELLING)
    datagrams = [cost.total(kind, Side.CONTROL) for kind in (Cost.DATAGRAMS_IN, Cost.DATAGRAMS_OUT)]
    total += HEADERS * sum(value for value, _ in datagrams)
    error = hypot(error, *(HEADERS * each for _, each in datagrams))
    what = f"the same with {HEADERS} bytes of headers a datagram"
    yield Need(cost.role, what, total, error, "B/s", allowance, "sum", TELLING)


def stops(plan: Plan, slopes: Slopes) -> Iterator[Need]:
    """How long one event holds the relay's loop, in which no request goes on."""
    fleet, processor = plan.fleet, Cost.PROCESSOR
    beat = extent(slopes, Name.IDLE, Axis.UNITS, processor, fleet.units).times(1 / BEATS)
    change = extent(slopes, Name.CHANGE, Axis.UNITS, processor, fleet.units)
    whole = extent(slopes, Name.WHOLE, Axis.UNITS, processor, fleet.units)
    tenants = extent(slopes, Name.RELOAD, Axis.TENANTS, processor, fleet.tenants)
    listed = more(slopes, Name.RELOAD, Axis.UNITS, processor, fleet.units)
    both = Extent(
        tenants.value + listed.value,
        hypot(tenants.error, listed.error),
        f"{tenants.slope}, and {listed.slope}",
        tenants.beyond or listed.beyond,
        tenants.missing or listed.missing,
    )
    seconds = DAY / fleet.settings_changes_per_day
    for what, found, mechanism, note in (
        ("a beat", beat, BEAT, f"{BEATS} a second"),
        ("a changed entry", change, ARRANGING, f"one in {1 / plan.list_changes_per_second():.1f} s"),
        ("a whole list", whole, LIST, "at a start, and after a list that was lost"),
        ("a change of settings", both, SWITCH, f"one in {seconds:.0f} s"),
    ):
        value = None if found.missing else found.value
        allowance = plan.allowance.added_ms
        yield Need(Role.RELAY, f"{HELD}{what}", value, found.error, "ms", allowance, found.slope, mechanism, note)


def held(plan: Plan, slopes: Slopes) -> Iterator[Need]:
    """The part of requests that come while one event holds the loop for longer than may be added to a request."""
    fleet, limit = plan.fleet, plan.allowance.added_ms
    rates = {
        "a beat": float(BEATS),
        "a changed entry": plan.list_changes_per_second(),
        "a change of settings": fleet.settings_changes_per_day / DAY,
    }
    part = error = 0.0
    for need in stops(plan, slopes):
        rate = rates.get(need.what.removeprefix(HELD), 0.0)
        if need.value is not None and need.value > limit:
            part += rate * need.value / 10
            error = hypot(error, rate * need.error / 10)
    what = f"requests that find the loop held for over {limit:g} ms"
    source = "beats, changed entries and settings, each as often as it comes"
    yield Need(Role.RELAY, what, part, error, "%", LATE_PART, source, BEAT, "99 in 100 may not")
    what = "added to a request by the question to the load tracker"
    yield Need(Role.RELAY, what, None, 0.0, "ms", limit, "no slope: the core is shared here", ASKING)


def busiest(plan: Plan, slopes: Slopes) -> Iterator[Need]:
    """A relay with several times the mean of requests."""
    times = plan.assumed.busiest_relay
    one = foretell(plan.size(times), slopes)[0]
    served, error = one.total(Cost.PROCESSOR, Side.SERVING)
    role = f"{Role.RELAY}, {times:g} times the mean"
    rate = times * plan.fleet.requests_per_second / plan.fleet.relays
    source = f"the same slopes at {rate:,.0f} requests a second"
    yield Need(role, "processor time, serving", served, error, "ms/s", 1000.0, source, SERVING, "a core has 1,000")
    yield from (need._replace(role=role, source=source) for need in sums_of(plan, one))


def tracking(plan: Plan) -> Iterator[Need]:
    """What one load tracker cannot do, whatever its processor."""
    fleet = plan.fleet
    messages = MESSAGES_OF_A_REQUEST * fleet.requests_per_second
    yield Need(
        Role.TRACKER, "messages taken", messages, 0.0, "/s", float(SHOT_MESSAGE_LIMITS.all), "three a request", SHEDDING
    )
    marks = UINT16_MAX + 1
    alike = fleet.units * (1 - (1 - 1 / marks) ** (fleet.units - 1))
    source = "worked out: even draws of 16 bits"
    where = Place("notes", "load_note")
    yield Need(Role.TRACKER, "units that share their 16 bits", alike, 0.0, "", None, source, where, "0 are wanted")


def handing_out(plan: Plan, slopes: Slopes) -> Iterator[Need]:
    """What others have to send all relays; none of it is in this project but for the relay's side of it."""
    fleet, control = plan.fleet, Side.CONTROL
    lists, settings, platform = "whoever hands out the list", "whoever hands out configuration", "the platform"
    changed = extent(slopes, Name.CHANGE, Axis.UNITS, Cost.BYTES_IN, fleet.units, side=control)
    whole = extent(slopes, Name.WHOLE, Axis.UNITS, Cost.BYTES_IN, fleet.units, side=control)
    news = extent(slopes, Name.IDLE, Axis.UNITS, Cost.BYTES_IN, fleet.units, side=control)
    file = extent(slopes, Name.RELOAD, Axis.TENANTS, Cost.BYTES_IN, fleet.tenants)
    day, roll = plan.list_changes_per_second(), plan.rollout_changes_per_second()
    rate = fleet.settings_changes_per_day / DAY
    rows = (
        (lists, "open watches", Extent(fleet.relays, 0.0, "one a relay", False), "", None),
        (lists, "bytes out on an ordinary day", changed.times(fleet.relays * day), "B/s", None),
        (lists, "bytes out in a roll-out", changed.times(fleet.relays * roll), "B/s", None),
        (lists, "bytes out, all relays started anew", whole.times(fleet.relays), "B", None),
        (platform, "open connections", Extent(fleet.relays, 0.0, "one a relay", False), "", NEWS),
        (platform, "bytes out, signs of life", news.times(fleet.relays), "B/s", NEWS),
        (settings, "changes to carry out", Extent(rate * fleet.relays, 0.0, "changes x relays", False), "/s", None),
        (settings, "bytes of the whole file, to all relays", file.times(rate * fleet.relays), "B/s", None),
    )
    for role, what, found, unit, mechanism in rows:
        value = None if found.missing else found.value
        yield Need(role, what, value, found.error, unit, None, found.slope, mechanism)
    what, limit = "until settings are in force everywhere", plan.allowance.settings_in_force_s
    yield Need(settings, what, None, 0.0, "s", limit, "nothing hands them out", None)


def control_machines(plan: Plan, slopes: Slopes) -> Iterator[Need]:
    """What would fall on each of them if they did what is missing, or what is over the allowance of a relay."""
    fleet, control = plan.fleet, Side.CONTROL
    role, many = f"the {fleet.control_machines} control machines", fleet.control_machines
    changed = extent(slopes, Name.CHANGE, Axis.UNITS, Cost.BYTES_IN, fleet.units, side=control)
    file = extent(slopes, Name.RELOAD, Axis.TENANTS, Cost.BYTES_IN, fleet.tenants)
    messages = MESSAGES_OF_A_REQUEST * fleet.requests_per_second
    tracked = extent(slopes, Name.TRACKING, Axis.MESSAGES, Cost.PROCESSOR, messages, side=control)
    roll, rate = plan.rollout_changes_per_second(), fleet.settings_changes_per_day / DAY
    for what, found, unit in (
        ("of each: the list in a roll-out, bytes out", changed.times(fleet.relays * roll / many), "B/s"),
        ("of each: whole files of configuration, bytes out", file.times(fleet.relays * rate / many), "B/s"),
        ("of each: the load tracker's messages, processor time", tracked.times(1 / many), "ms/s"),
    ):
        yield Need(role, what, None if found.missing else found.value, found.error, unit, None, found.slope, None)


def needs(plan: Plan, slopes: Slopes) -> list[Need]:
    """All rows of all roles."""
    relay, judge, tracker = foretell(plan.size(), slopes)
    return [
        *terms_of(plan, relay),
        *sums_of(plan, relay),
        *stops(plan, slopes),
        *held(plan, slopes),
        *busiest(plan, slopes),
        *terms_of(plan, judge, relay),
        *sums_of(plan, judge),
        *terms_of(plan, tracker, relay),
        *sums_of(plan, tracker),
        *tracking(plan),
        *handing_out(plan, slopes),
        *control_machines(plan, slopes),
    ]


def over(rows: list[Need]) -> list[Need]:
    """Those above their allowance, the worst factor first."""
    found = [need for need in rows if (need.factor() or 0.0) > 1]
    return sorted(found, key=lambda need: -(need.factor() or 0.0))


class State(NamedTuple):
    """A table that a process holds at the planned size."""

    role: str
    table: str
    entries: str
    bytes_each: float | None
    source: str
    bound: str
    emptied_by: Place


def states(plan: Plan, slopes: Slopes) -> list[State]:
    """What is held, how much of it, and who empties it."""
    fleet = plan.fleet
    units, tenants = each(slopes, Axis.UNITS), each(slopes, Axis.TENANTS)
    pool = slopes.find(Name.JUDGING, Axis.RELAYS, Cost.MEMORY)
    relays = (pool.curve.growth * 1e6, f"{pool.name}, {pool.axis}") if pool else (None, "not measured")
    list_bound = "the list as told; its body at most 8 MiB"
    return [
        State(Role.RELAY, "units and their pools", f"{fleet.units:,}", *units, list_bound, LIST),
        State(Role.RELAY, "tenants' counts", f"{fleet.tenants:,}", *tenants, "the tenants of the settings", SWITCH),
        State(
            Role.RELAY,
            "requests at hand",
            "not measured",
            None,
            "not measured",
            "half of the descriptors, one a connection",
            Place("net.relay", "ActiveInvocation.remove_if_done"),
        ),
        State(
            Role.RELAY,
            "connections to units",
            "not measured",
            None,
            "not measured",
            "half of the descriptors",
            Place("net.units", "Units.room"),
        ),
        State(
            Role.JUDGE,
            "counts of each relay",
            f"{fleet.relays:,}",
            *relays,
            "senders x cells x two starts",
            Place("policy", "Judge.new_build"),
        ),
        State(
            Role.TRACKER,
            "loads by unit and sender",
            "units that were sent to in 5 s, by each sender",
            None,
            "not measured",
            "65,536 units x relays; messages taken in 5 s",
            Place("parts", "drop_stale_senders"),
        ),
    ]


def each(slopes: Slopes, axis: Axis) -> tuple[float | None, str]:
    """Bytes of one more."""
    slope = slopes.find(Name.STANDING, axis, Cost.MEMORY)
    return (slope.curve.growth * 1e6, f"{slope.name}, {axis}") if slope else (None, "not measured")


def judge_messages(plan: Plan) -> float:
    return tellings(plan.fleet.relays)
