"""Compares the forecast of each role's needs at the planned size with what the operators allow."""

import tomllib
from collections.abc import Iterator
from math import hypot
from pathlib import Path
from typing import NamedTuple

import msgspec

from ...choices.rate_limits import SHOT_MESSAGE_LIMITS
from ...peer_messages import UINT16_MAX
from .causes import Place
from .points import Activity, Axis, Cost, Side
from .roles import (
    MESSAGES_PER_REQUEST,
    Estimate,
    FleetSize,
    Role,
    RoleCost,
    estimate,
    estimate_over_base,
    forecast_role_costs,
    judge_messages_per_second,
)
from .slopes import Slopes

DAY = 86_400  # seconds
MINUTE = 60  # seconds
BEATS_PER_SECOND = 2
HEADER_BYTES = 28  # of IP and UDP, a datagram
BLOCKED_BY = "event loop blocked by "
MAX_DELAYED_PERCENT = 1.0  # of requests


class Fleet(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The planned size of the fleet."""

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
    """What the operators allow one relay for control.

    `core_part` is a fraction of a core, `added_ms` what 99 in 100 requests may be delayed by, `settings_in_force_s` the
    time until changed settings are in force on all relays.
    """

    core_part: float
    memory_mb: float
    bytes_per_second: float
    added_ms: float
    settings_in_force_s: float


class Assumed(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Assumptions where the operators gave no number.

    `entries_per_restart` and `entries_per_failure` count changed entries of the list of units.  `busiest_relay` is the
    rate of requests of the busiest relay over the mean.  `zipf` is the exponent of the law by which requests fall on
    tenants.  `units_used_by_relay` is how many units of each build a relay uses.
    """

    entries_per_restart: int
    entries_per_failure: int
    busiest_relay: float
    zipf: float
    units_per_rack: int
    rollout_minutes: float
    units_used_by_relay: int


class Plan(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The numbers to plan with, as docs/capacity.toml has them."""

    fleet: Fleet
    allowance: Allowance
    assumed: Assumed

    def list_changes_per_second(self) -> float:
        """Changed entries of the list, the mean of an ordinary day."""
        fleet, assumed = self.fleet, self.assumed
        entries = fleet.machines_restarted_per_day * assumed.entries_per_restart
        entries += fleet.machines_failed_per_day * assumed.entries_per_failure
        return entries / DAY

    def rollout_changes_per_second(self) -> float:
        """Changed entries of the list during a rollout that makes a day's restarts."""
        entries = self.fleet.machines_restarted_per_day * self.assumed.entries_per_restart
        return entries / (MINUTE * self.assumed.rollout_minutes)

    def size(self, times_the_mean: float = 1.0) -> FleetSize:
        """The fleet on an ordinary day; with `times_the_mean` each relay has that many times the planned requests."""
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
    """Reads a plan; raises ValueError, with the path, if the file is no plan."""
    try:
        return msgspec.convert(tomllib.loads(Path(path).read_text()), Plan)
    except (msgspec.ValidationError, tomllib.TOMLDecodeError) as problem:
        raise ValueError(f"{path}: {problem}") from None


class Need(NamedTuple):
    """One figure of a role at the planned size.

    `value` is None if it was not measured, `allowance` if the operators gave none, `mechanism` if no code handles it.
    """

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
        """The value over the allowance, None if either is unknown."""
        if self.value is None or not self.allowance:
            return None
        return self.value / self.allowance


RUN_BEAT = Place("policy", "Relay.on_wake")
APPLY_LIST = Place("policy", "Relay.on_list")
APPLY_SETTINGS = Place("choices.live_settings", "LiveSettings.change")
ASK_TRACKER = Place("policy", "LoadTracking.ask")
REPORT_SHOT = Place("policy", "LoadTracking.report_shot")
RECEIVE_LOAD = Place("policy", "LoadTracking.receive")
SERVE_REQUEST = Place("net.relay", "Relay.take")
LIMIT_TENANT = Place("policy", "Admission.limit_share")
ADD_COUNTS = Place("peer_messages", "CountPool.add")
UPDATE_VERDICT = Place("policy", "Judge.update_verdict")
RECEIVE_STATE = Place("net.platform", "Platform.on_message")
RECEIVE_LIST = Place("net.discovery", "Discovery.on_reply")
RELOAD_CONFIGURATION = Place("command.serve", "ConfigurationReloader.reload")
LIMIT_MESSAGES = Place("choices.rate_limits", "RateLimiter.allows")
ARRANGE_UNITS = Place("policy", "Relay.arrange")
SEND_COUNTS = Place("policy", "Judge.send_counts")
START_RELAY = Place("net.relay", "Relay.start")
MECHANISMS = {  # the code behind each term of a role's cost
    "the process itself": START_RELAY,
    "units": APPLY_LIST,
    "tenants": LIMIT_TENANT,
    "relays": SEND_COUNTS,
    "beats": RUN_BEAT,
    "beats, tenants": RUN_BEAT,
    "beats, relays": RUN_BEAT,
    "platform's messages": RECEIVE_STATE,
    "changed entries": APPLY_LIST,
    "whole lists": APPLY_LIST,
    "settings changes": APPLY_SETTINGS,
    "settings changes, units": APPLY_SETTINGS,
    "requests": SERVE_REQUEST,
    "messages for requests": REPORT_SHOT,
    "tests of the pool": UPDATE_VERDICT,
    "pool of counts": ADD_COUNTS,
    "messages of counts": ADD_COUNTS,
    "messages of loads": RECEIVE_LOAD,
}
COST_LABELS = {  # name and unit
    Cost.PROCESSOR: ("processor time", "ms/s"),
    Cost.MEMORY: ("memory", "MB"),
    Cost.BYTES_IN: ("bytes in", "B/s"),
    Cost.BYTES_OUT: ("bytes out", "B/s"),
    Cost.DATAGRAMS_IN: ("datagrams in", "/s"),
    Cost.DATAGRAMS_OUT: ("datagrams out", "/s"),
}
NEGLIGIBLE = 0.005  # of any unit: a smaller term gets no row


def allowance_of(plan: Plan, cost: Cost, side: Side) -> float | None:
    """What the operators allow one relay of that cost; None if they gave no limit."""
    if side != Side.CONTROL:
        return None
    limits = {
        Cost.PROCESSOR: 1000 * plan.allowance.core_part,
        Cost.MEMORY: plan.allowance.memory_mb,
        Cost.BYTES_IN: plan.allowance.bytes_per_second,
        Cost.BYTES_OUT: plan.allowance.bytes_per_second,
    }
    return limits.get(cost)


def term_needs(plan: Plan, cost: RoleCost, other: RoleCost | None = None) -> Iterator[Need]:
    """A row for each term of a role, without the terms that the other role has, too."""
    known = set(other.terms) if other else set()
    for term in cost.terms:
        if term in known or (term.value < NEGLIGIBLE and not term.is_missing):
            continue
        label, unit = COST_LABELS[term.cost]
        source = term.slope + (" (beyond what was measured)" if term.is_extrapolated else "")
        value = None if term.is_missing else term.value
        what = f"{label}, {term.side}: {term.name}"
        allowance = allowance_of(plan, term.cost, term.side)
        yield Need(cost.role, what, value, term.error, unit, allowance, source, MECHANISMS[term.name])


def total_needs(plan: Plan, cost: RoleCost) -> Iterator[Need]:
    """The totals of a role's control: processor time, memory, and bytes in both directions."""
    for kind in (Cost.PROCESSOR, Cost.MEMORY):
        value, error = cost.total(kind, Side.CONTROL)
        label, unit = COST_LABELS[kind]
        allowance = allowance_of(plan, kind, Side.CONTROL)
        yield Need(cost.role, f"{label}, control, in all", value, error, unit, allowance, "sum", RUN_BEAT)
    (bytes_in, error_in), (bytes_out, error_out) = (
        cost.total(kind, Side.CONTROL) for kind in (Cost.BYTES_IN, Cost.BYTES_OUT)
    )
    allowance = plan.allowance.bytes_per_second
    total, error = bytes_in + bytes_out, hypot(error_in, error_out)
    yield Need(cost.role, "bytes in and out, control, in all", total, error, "B/s", allowance, "sum", REPORT_SHOT)
    datagrams = [cost.total(kind, Side.CONTROL) for kind in (Cost.DATAGRAMS_IN, Cost.DATAGRAMS_OUT)]
    total += HEADER_BYTES * sum(value for value, _ in datagrams)
    error = hypot(error, *(HEADER_BYTES * each for _, each in datagrams))
    what = f"the same with {HEADER_BYTES} bytes of headers a datagram"
    yield Need(cost.role, what, total, error, "B/s", allowance, "sum", REPORT_SHOT)


def blocking_needs(plan: Plan, slopes: Slopes) -> Iterator[Need]:
    """How long one event blocks the relay's event loop, in which no request makes progress meanwhile."""
    fleet, processor = plan.fleet, Cost.PROCESSOR
    beat = estimate(slopes, Activity.IDLE_SECOND, Axis.UNITS, processor, fleet.units).times(1 / BEATS_PER_SECOND)
    change = estimate(slopes, Activity.CHANGED_ENTRY, Axis.UNITS, processor, fleet.units)
    whole = estimate(slopes, Activity.WHOLE_LIST, Axis.UNITS, processor, fleet.units)
    by_tenants = estimate(slopes, Activity.SETTINGS_CHANGE, Axis.TENANTS, processor, fleet.tenants)
    by_units = estimate_over_base(slopes, Activity.SETTINGS_CHANGE, Axis.UNITS, processor, fleet.units)
    settings = Estimate(
        by_tenants.value + by_units.value,
        hypot(by_tenants.error, by_units.error),
        f"{by_tenants.slope}, and {by_units.slope}",
        by_tenants.is_extrapolated or by_units.is_extrapolated,
        by_tenants.is_missing or by_units.is_missing,
    )
    seconds = DAY / fleet.settings_changes_per_day
    for what, found, mechanism, note in (
        ("a beat", beat, RUN_BEAT, f"{BEATS_PER_SECOND} a second"),
        ("a changed entry", change, ARRANGE_UNITS, f"one in {1 / plan.list_changes_per_second():.1f} s"),
        ("a whole list", whole, APPLY_LIST, "at the start, and after a list was lost"),
        ("a change of settings", settings, APPLY_SETTINGS, f"one in {seconds:.0f} s"),
    ):
        value = None if found.is_missing else found.value
        allowance = plan.allowance.added_ms
        yield Need(Role.RELAY, f"{BLOCKED_BY}{what}", value, found.error, "ms", allowance, found.slope, mechanism, note)


def delay_needs(plan: Plan, slopes: Slopes) -> Iterator[Need]:
    """How many requests arrive while one event blocks the loop for longer than a request may be delayed."""
    fleet, limit = plan.fleet, plan.allowance.added_ms
    rates = {
        "a beat": float(BEATS_PER_SECOND),
        "a changed entry": plan.list_changes_per_second(),
        "a change of settings": fleet.settings_changes_per_day / DAY,
    }
    percent = error = 0.0
    for need in blocking_needs(plan, slopes):
        rate = rates.get(need.what.removeprefix(BLOCKED_BY), 0.0)
        if need.value is not None and need.value > limit:
            percent += rate * need.value / 10
            error = hypot(error, rate * need.error / 10)
    what = f"requests that arrive while the event loop is blocked for over {limit:g} ms"
    source = "beats, changed entries and settings, each at its rate"
    yield Need(Role.RELAY, what, percent, error, "%", MAX_DELAYED_PERCENT, source, RUN_BEAT, "at most 1 in 100")
    what = "added to a request by the question to the load tracker"
    yield Need(Role.RELAY, what, None, 0.0, "ms", limit, "no slope: the measured relay shares its core", ASK_TRACKER)


def busiest_relay_needs(plan: Plan, slopes: Slopes) -> Iterator[Need]:
    """The relay with several times the mean rate of requests."""
    times = plan.assumed.busiest_relay
    relay = forecast_role_costs(plan.size(times), slopes)[0]
    served, error = relay.total(Cost.PROCESSOR, Side.SERVING)
    role = f"{Role.RELAY}, {times:g} times the mean"
    rate = times * plan.fleet.requests_per_second / plan.fleet.relays
    source = f"the same slopes at {rate:,.0f} requests a second"
    yield Need(
        role, "processor time, serving", served, error, "ms/s", 1000.0, source, SERVE_REQUEST, "a core has 1,000"
    )
    yield from (need._replace(role=role, source=source) for need in total_needs(plan, relay))


def tracker_limits(plan: Plan) -> Iterator[Need]:
    """Limits of one load tracker that do not depend on its processor."""
    fleet = plan.fleet
    messages = MESSAGES_PER_REQUEST * fleet.requests_per_second
    yield Need(
        Role.TRACKER,
        "messages received",
        messages,
        0.0,
        "/s",
        float(SHOT_MESSAGE_LIMITS.all),
        "three a request",
        LIMIT_MESSAGES,
    )
    values = UINT16_MAX + 1  # of the 16 bits of a unit's number that messages carry
    sharing = fleet.units * (1 - (1 - 1 / values) ** (fleet.units - 1))
    source = "computed: even draws of 16 bits"
    where = Place("peer_messages", "load_message")
    yield Need(Role.TRACKER, "units that share their 16 bits", sharing, 0.0, "", None, source, where, "0 are wanted")


def distribution_needs(plan: Plan, slopes: Slopes) -> Iterator[Need]:
    """What others have to send to all relays; of this the project has the relay's side only."""
    fleet, control = plan.fleet, Side.CONTROL
    discovery, configuration, platform = "discovery", "configuration service", "the platform"
    changed = estimate(slopes, Activity.CHANGED_ENTRY, Axis.UNITS, Cost.BYTES_IN, fleet.units, side=control)
    whole = estimate(slopes, Activity.WHOLE_LIST, Axis.UNITS, Cost.BYTES_IN, fleet.units, side=control)
    pings = estimate(slopes, Activity.IDLE_SECOND, Axis.UNITS, Cost.BYTES_IN, fleet.units, side=control)
    file = estimate(slopes, Activity.SETTINGS_CHANGE, Axis.TENANTS, Cost.BYTES_IN, fleet.tenants)
    day_rate, rollout_rate = plan.list_changes_per_second(), plan.rollout_changes_per_second()
    rate = fleet.settings_changes_per_day / DAY
    rows = (
        (discovery, "open watches", Estimate(fleet.relays, 0.0, "one a relay", False), "", None),
        (discovery, "bytes out on an ordinary day", changed.times(fleet.relays * day_rate), "B/s", None),
        (discovery, "bytes out in a rollout", changed.times(fleet.relays * rollout_rate), "B/s", None),
        (discovery, "bytes out, all relays restarted", whole.times(fleet.relays), "B", None),
        (platform, "open connections", Estimate(fleet.relays, 0.0, "one a relay", False), "", RECEIVE_STATE),
        (platform, "bytes out, pings", pings.times(fleet.relays), "B/s", RECEIVE_STATE),
        (configuration, "changes to send", Estimate(rate * fleet.relays, 0.0, "changes x relays", False), "/s", None),
        (configuration, "bytes of the whole file, to all relays", file.times(rate * fleet.relays), "B/s", None),
    )
    for role, what, found, unit, mechanism in rows:
        value = None if found.is_missing else found.value
        yield Need(role, what, value, found.error, unit, None, found.slope, mechanism)
    what, limit = "until settings are in force everywhere", plan.allowance.settings_in_force_s
    yield Need(configuration, what, None, 0.0, "s", limit, "nothing distributes them", None)


def control_machine_needs(plan: Plan, slopes: Slopes) -> Iterator[Need]:
    """The load of each control machine if they did what no code does today, or what is over a relay's allowance."""
    fleet, control = plan.fleet, Side.CONTROL
    role, machines = f"the {fleet.control_machines} control machines", fleet.control_machines
    changed = estimate(slopes, Activity.CHANGED_ENTRY, Axis.UNITS, Cost.BYTES_IN, fleet.units, side=control)
    file = estimate(slopes, Activity.SETTINGS_CHANGE, Axis.TENANTS, Cost.BYTES_IN, fleet.tenants)
    messages = MESSAGES_PER_REQUEST * fleet.requests_per_second
    tracked = estimate(slopes, Activity.TRACKER_SECOND, Axis.MESSAGE_RATE, Cost.PROCESSOR, messages, side=control)
    rollout_rate, rate = plan.rollout_changes_per_second(), fleet.settings_changes_per_day / DAY
    for what, found, unit in (
        ("of each: the list in a rollout, bytes out", changed.times(fleet.relays * rollout_rate / machines), "B/s"),
        ("of each: whole files of configuration, bytes out", file.times(fleet.relays * rate / machines), "B/s"),
        ("of each: the load tracker's messages, processor time", tracked.times(1 / machines), "ms/s"),
    ):
        yield Need(role, what, None if found.is_missing else found.value, found.error, unit, None, found.slope, None)


def needs(plan: Plan, slopes: Slopes) -> list[Need]:
    """All rows of all roles, in the order of the page."""
    relay, judge, tracker = forecast_role_costs(plan.size(), slopes)
    return [
        *term_needs(plan, relay),
        *total_needs(plan, relay),
        *blocking_needs(plan, slopes),
        *delay_needs(plan, slopes),
        *busiest_relay_needs(plan, slopes),
        *term_needs(plan, judge, relay),
        *total_needs(plan, judge),
        *term_needs(plan, tracker, relay),
        *total_needs(plan, tracker),
        *tracker_limits(plan),
        *distribution_needs(plan, slopes),
        *control_machine_needs(plan, slopes),
    ]


def exceeding(rows: list[Need]) -> list[Need]:
    """The rows above their allowance, the largest factor first."""
    found = [need for need in rows if (need.factor() or 0.0) > 1]
    return sorted(found, key=lambda need: -(need.factor() or 0.0))


class State(NamedTuple):
    """A table in the memory of a process at the planned size; `bytes_each` is None if it was not measured."""

    role: str
    table: str
    entries: str
    bytes_each: float | None
    source: str
    bound: str
    emptied_by: Place


def states(plan: Plan, slopes: Slopes) -> list[State]:
    """The tables of each role: their entries, their bounds, and the code that removes entries."""
    fleet = plan.fleet
    units, tenants = bytes_each(slopes, Axis.UNITS), bytes_each(slopes, Axis.TENANTS)
    pool = slopes.find(Activity.JUDGE_IDLE_SECOND, Axis.RELAYS, Cost.MEMORY)
    counts = (pool.curve.growth * 1e6, f"{pool.name}, {pool.axis}") if pool else (None, "not measured")
    list_bound = "the list of units; its body at most 8 MiB"
    return [
        State(Role.RELAY, "units and their pools", f"{fleet.units:,}", *units, list_bound, APPLY_LIST),
        State(
            Role.RELAY, "tenants' counts", f"{fleet.tenants:,}", *tenants, "the tenants of the settings", APPLY_SETTINGS
        ),
        State(
            Role.RELAY,
            "active requests",
            "not measured",
            None,
            "not measured",
            "half of the descriptors, one a connection",
            Place("net.invocation", "ActiveInvocation.remove_if_done"),
        ),
        State(
            Role.RELAY,
            "connections to units",
            "not measured",
            None,
            "not measured",
            "half of the descriptors",
            Place("net.units", "Units.has_room"),
        ),
        State(
            Role.JUDGE,
            "counts of each relay",
            f"{fleet.relays:,}",
            *counts,
            "senders x cells x two starts",
            Place("policy", "Judge.new_build"),
        ),
        State(
            Role.TRACKER,
            "loads by unit and sender",
            "units that each sender sent to in 5 s",
            None,
            "not measured",
            "65,536 units x relays; messages accepted in 5 s",
            Place("parts", "drop_stale_senders"),
        ),
    ]


def bytes_each(slopes: Slopes, axis: Axis) -> tuple[float | None, str]:
    """The bytes that one more of the axis takes, with their source; None if they were not measured."""
    slope = slopes.find(Activity.STANDING_STATE, axis, Cost.MEMORY)
    return (slope.curve.growth * 1e6, f"{slope.name}, {axis}") if slope else (None, "not measured")


def judge_messages(plan: Plan) -> float:
    """The most messages with counts that a judge receives in a second."""
    return judge_messages_per_second(plan.fleet.relays)
