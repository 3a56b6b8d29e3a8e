"""Forecasts what ordinary incidents cause at the planned size: changed entries, connections, cold units and bytes."""

from typing import NamedTuple

from ...policy import DEFAULTS, JUDGE_TIMEOUT, SECOND, UnitChoice
from .points import Activity, Axis, Cost, Side
from .roles import Estimate, estimate
from .sizing import DAY, MINUTE, Plan
from .slopes import Slopes

WARM_UP_S = DEFAULTS["warm_up"] / SECOND  # seconds, unless the platform's settings say otherwise
MAX_EJECTION_S = UnitChoice.MAX_EJECTION_TIME / SECOND  # seconds until a unit that failed is tried again, at most
JUDGE_TIMEOUT_S = JUDGE_TIMEOUT / SECOND  # seconds until the next in the order replaces a silent judge
HOUR = 3600  # seconds


class Incident(NamedTuple):
    """One incident with its cost: processor time is that of one relay, all else that of all relays together."""

    name: str
    entries: float  # changed entries of the list of units
    within: str  # the time in which they change
    one_by_one_ms: Estimate  # with each entry in a response of its own
    at_once_ms: Estimate  # with all entries in one response
    bytes_to_all: Estimate
    connections: float  # to units, lost and opened again
    cold: float  # cold units at a time
    recovery_s: float  # seconds until all is as before
    why: str  # what the time until recovery consists of


class EntryCosts(NamedTuple):
    """The costs of changed entries at the planned size, in milliseconds of processor time and in bytes.

    `first_ms` is the cost of a response with one entry, `further_ms` that of each further entry in the same response.
    """

    first_ms: Estimate
    further_ms: Estimate
    bytes_each: Estimate


def entry_costs(plan: Plan, slopes: Slopes) -> EntryCosts:
    """The costs of changed entries at the planned size."""
    units = plan.fleet.units
    first = estimate(slopes, Activity.CHANGED_ENTRY, Axis.UNITS, Cost.PROCESSOR, units)
    whole = estimate(slopes, Activity.WHOLE_LIST, Axis.UNITS, Cost.PROCESSOR, units)
    size = estimate(slopes, Activity.CHANGED_ENTRY, Axis.UNITS, Cost.BYTES_IN, units, side=Side.CONTROL)
    return EntryCosts(first, whole.times(1 / units), size)


def incident(
    plan: Plan,
    costs: EntryCosts,
    name: str,
    units: float,
    entries: float,
    within: str,
    cold: float,
    recovery_s: float,
    why: str,
) -> Incident:
    """An incident that takes down `units` units and changes `entries` entries of the list."""
    fleet, assumed = plan.fleet, plan.assumed
    connections_per_unit = fleet.relays * assumed.units_used_by_relay / fleet.units
    further = costs.further_ms.times(max(0.0, entries - 1))
    at_once = Estimate(
        costs.first_ms.value + further.value,
        costs.first_ms.error + further.error,
        f"{costs.first_ms.slope}, and {further.slope} for each further entry",
        costs.first_ms.is_extrapolated or further.is_extrapolated,
        costs.first_ms.is_missing or further.is_missing,
    )
    return Incident(
        name,
        entries,
        within,
        costs.first_ms.times(entries),
        at_once,
        costs.bytes_each.times(entries * fleet.relays),
        connections_per_unit * units,
        cold,
        recovery_s,
        why,
    )


def incidents(plan: Plan, slopes: Slopes) -> list[Incident]:
    """All incidents, in the order of the operators' list."""
    fleet, assumed, costs = plan.fleet, plan.assumed, entry_costs(plan, slopes)
    restarts, rack = fleet.machines_restarted_per_day, float(assumed.units_per_rack)
    zone, region = fleet.units / fleet.zones, fleet.units / fleet.regions
    rollout_s = MINUTE * assumed.rollout_minutes
    day_entries = plan.list_changes_per_second() * DAY
    rollout_entries = plan.rollout_changes_per_second() * rollout_s
    lost = f"ejections of at most {MAX_EJECTION_S:g} s; back, units are cold for {WARM_UP_S:g} s"
    judges = f"{lost}; a judge among the lost relays is replaced after {JUDGE_TIMEOUT_S:g} s"
    recovery_s = MAX_EJECTION_S + WARM_UP_S
    rows = (
        ("a rack or switch", rack, 2 * rack, "a moment, and back", rack, recovery_s, lost),
        ("a zone", zone, 2 * zone, "a moment, and back", zone, recovery_s, judges),
        ("a region cut off for an hour", region, 2 * region, "a moment, and back", region, HOUR + recovery_s, judges),
        ("restarts of a day", restarts, day_entries, "a day", restarts * WARM_UP_S / DAY, WARM_UP_S, "each by itself"),
        (
            "the same as a rollout",
            restarts,
            rollout_entries,
            f"{rollout_s / MINUTE:g} min",
            restarts * WARM_UP_S / rollout_s,
            rollout_s,
            lost,
        ),
    )
    return [incident(plan, costs, *row) for row in rows]
