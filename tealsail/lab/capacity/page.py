"""Writes the tables of docs/CAPACITY.md between the page's markers, from the slopes of a run and the plan."""

import re
from collections.abc import Callable

from . import incidents, sizing
from .fit import Shape
from .points import Activity, Axis, Column, Cost
from .roles import Estimate
from .slopes import Slope, Slopes
from .tables import COST_UNITS, describe_shape, figure, has_cost

BEGIN = "<!-- capacity: {} -->"
END = "<!-- end of {} -->"
MARKED_SECTION = re.compile(r"<!-- capacity: (\w+) -->\n.*?<!-- end of \1 -->", re.S)
MISSING = "**missing**"
NOT_MEASURED = "not measured"


def table(head: list[str], rows: list[list[str]], right: set[int] = frozenset()) -> str:
    """A Markdown table; the columns with the numbers in `right` are aligned to the right."""
    lines = ["| " + " | ".join(head) + " |"]
    lines.append("| " + " | ".join("---:" if place in right else "---" for place in range(len(head))) + " |")
    lines += ["| " + " | ".join(row) + " |" for row in rows]
    return "\n".join(lines)


def with_error(value: float | None, error: float) -> str:
    """The value with half the width of its 95% interval."""
    if value is None:
        return NOT_MEASURED
    return f"{figure(value)} ±{figure(error)}" if error else figure(value)


def format_estimate(found: Estimate) -> str:
    """The estimate with its error, or that it was not measured."""
    return NOT_MEASURED if found.is_missing else with_error(found.value, found.error)


def run(slopes: Slopes, plan: sizing.Plan) -> str:
    """Section `run`: where and how the slopes were measured."""
    machine = slopes.machine
    changed = ", with uncommitted changes" if machine.changed else ""
    rows = [
        ["commit", f"{machine.commit}{changed}"],
        ["date", machine.date],
        ["processors", f"{len(machine.allowed)} used of {machine.cores}, {machine.model}"],
        ["Python, kernel", f"{machine.python}, {machine.kernel}"],
        ["load before and after", f"{machine.load_before:.2f}, {machine.load_after:.2f}"],
        ["duration, repeats of a size", f"{slopes.seconds:.0f} s, {slopes.repeats}"],
        ["not measured", "; ".join(slopes.problems) or "nothing"],
        ["kept although disturbed by the machine's host", "; ".join(slopes.disturbed) or "nothing"],
    ]
    return table(["the run", ""], rows)


def ordered(slopes: Slopes) -> list[Slope]:
    """The slopes with any cost, by axis, activity, cost and side."""
    return sorted(
        filter(has_cost, slopes.slopes),
        key=lambda each: (
            list(Axis).index(each.axis),
            list(Activity).index(each.name),
            list(Cost).index(each.cost),
            each.side,
        ),
    )


def slope_rows(slopes: Slopes, plan: sizing.Plan) -> str:
    """Section `slopes`: each slope on sockets with the growth of the facade's, then slopes of the facade alone."""
    rows = []
    for slope in ordered(slopes):
        if slope.column != Column.PROCESS:
            continue
        facade = slopes.find(slope.name, slope.axis, slope.cost, Column.FACADE)
        rows.append(slope_row(slope, facade))
    for slope in ordered(slopes):
        if slope.column == Column.FACADE and not slopes.find(slope.name, slope.axis, slope.cost):
            rows.append([*slope_row(slope, slope)[:3], "", "", "", *slope_row(slope, slope)[6:]])
    head = [
        "activity",
        "along",
        "cost",
        "smallest and largest size",
        "constant",
        "growth",
        "facade alone: growth",
        "shape",
        "line of code",
    ]
    return table(head, rows, {3, 4, 5, 6})


def growth(slope: Slope) -> str:
    """The coefficient with its error and, unless the slope is a line, the shape."""
    curve = slope.curve
    per = "" if curve.shape == Shape.LINE else f" x {curve.shape}"
    return f"{figure(curve.growth)} ±{figure(curve.growth_error)}{per}"


def slope_row(slope: Slope, facade: Slope | None) -> list[str]:
    """The cells of one slope, `facade` being the same slope of the facade alone."""
    first, last, curve = slope.samples[0], slope.samples[-1], slope.curve
    return [
        f"{slope.name}, {slope.side}",
        str(slope.axis),
        str(slope.cost),
        f"{first.x:,g}: {figure(first.mean())}; {last.x:,g}: {figure(last.mean())}",
        f"{figure(curve.constant)} ±{figure(curve.constant_error)}",
        growth(slope),
        growth(facade) if facade else "",
        describe_shape(slope),
        f"`{slope.cause}`" if slope.cause and curve.has_growth() else "",
    ]


def not_straight(slopes: Slopes, plan: sizing.Plan) -> str:
    """Section `crooked`: slopes of processor time that are no straight line, with the line of code behind them."""
    rows = [
        not_straight_row(each) for each in ordered(slopes) if not each.curve.straight and each.cost == Cost.PROCESSOR
    ]
    if not rows:
        return "None: every slope of processor time is a straight line within its points' errors."
    return table(["activity", "along", "column", "points", "shape", "line of code"], rows)


def not_straight_row(slope: Slope) -> list[str]:
    """The cells of one slope that is no straight line."""
    cause = f"`{slope.cause}`" if slope.cause else "not found"
    return [
        f"{slope.name}, {slope.side}",
        str(slope.axis),
        str(slope.column),
        points(slope),
        describe_shape(slope),
        cause if slope.curve.has_growth() else "",
    ]


def points(slope: Slope) -> str:
    """The mean at each size."""
    found = (f"{sample.x:,g}: {figure(sample.mean())}" for sample in slope.samples)
    return f"{'; '.join(found)} {COST_UNITS[slope.cost]}"


def mechanism(need: sizing.Need) -> str:
    """The function that handles it, or that there is none."""
    return str(need.mechanism) if need.mechanism else MISSING


def allowance(need: sizing.Need) -> list[str]:
    """The cells of allowance and factor; a factor above one is set in bold."""
    factor = need.factor()
    limit = f"{figure(need.allowance)} {need.unit}" if need.allowance else ""
    if factor is None:
        return [limit, ""]
    return [limit, f"**{figure(factor)}**" if factor > 1 else figure(factor)]


def roles(slopes: Slopes, plan: sizing.Plan) -> str:
    """Section `roles`: all needs, role by role."""
    rows = [
        [
            str(need.role),
            need.what + (f" ({need.note})" if need.note else ""),
            f"{with_error(need.value, need.error)} {need.unit}".strip(),
            *allowance(need),
            need.source,
            mechanism(need),
        ]
        for need in sizing.needs(plan, slopes)
    ]
    head = ["role", "cost", "at planned size", "allowance", "factor", "source", "handled by"]
    return table(head, rows, {2, 3, 4})


def states(slopes: Slopes, plan: sizing.Plan) -> str:
    """Section `states`: the tables that the processes of each role hold."""
    rows = [
        [
            str(state.role),
            state.table,
            state.entries,
            NOT_MEASURED if state.bytes_each is None else f"{state.bytes_each:,.0f}",
            state.source,
            state.bound,
            str(state.emptied_by),
        ]
        for state in sizing.states(plan, slopes)
    ]
    return table(["role", "table", "entries", "bytes each", "source", "bound", "entries removed by"], rows, {2, 3})


def largest_share(tenants: int, exponent: float) -> float:
    """The share of requests of the first of so many tenants by a Zipf law."""
    return 1 / sum(rank**-exponent for rank in range(1, tenants + 1))


def assumed(slopes: Slopes, plan: sizing.Plan) -> str:
    """Section `assumed`: the assumptions where the operators gave no number, and the rows that depend on them."""
    fleet, assumption = plan.fleet, plan.assumed
    mean = fleet.requests_per_second / fleet.relays
    share = largest_share(fleet.tenants, assumption.zipf)
    used = assumption.units_used_by_relay
    rows = [
        ["requests fall evenly on relays", f"{mean:,.0f}/s each", "relay in the path"],
        [
            f"or one relay has {assumption.busiest_relay:g} times the mean",
            f"{mean * assumption.busiest_relay:,.0f}/s",
            f"relay in the path, {assumption.busiest_relay:g} times the mean",
        ],
        ["requests fall evenly on tenants", f"{fleet.requests_per_second / fleet.tenants:,.1f}/s each", "tenants"],
        [
            f"or by a Zipf law, exponent {assumption.zipf:g}",
            f"the first has {share:.1%}, {share * fleet.requests_per_second:,.0f}/s",
            "none of the slopes: a tenant's count costs the same however full it is",
        ],
        [
            "one relay fronts one list of units",
            f"{fleet.units:,} units; services ({fleet.services:,}) and routes ({fleet.routes:,}) do not exist here",
            "all rows along units; services and routes have no slope",
        ],
        [
            "connections of a unit",
            f"all relays to all units: {fleet.relays * fleet.units:,}, {fleet.relays:,} a unit; with {used} units used "
            f"by a relay {fleet.relays * used / fleet.units:.2f} a unit",
            "connections in the events; how many units a busy relay uses was not measured",
        ],
        [
            "one machine is one unit",
            f"{plan.list_changes_per_second():.3f} changed entries a second on an ordinary day "
            f"({assumption.entries_per_restart} a restart, {assumption.entries_per_failure} a failure)",
            "changed entries; events",
        ],
        [
            f"{fleet.zones} zones in all, of {fleet.regions} regions",
            f"{fleet.units / fleet.zones:,.0f} units each",
            "events",
        ],
        ["a rack", f"{assumption.units_per_rack} units", "events"],
        [
            "a judge receives all cells of three classes",
            f"{sizing.judge_messages(plan):,.0f} messages a second, at most",
            "judge and voter",
        ],
    ]
    return table(["assumption", "in numbers", "rows that depend on it"], rows)


def events(slopes: Slopes, plan: sizing.Plan) -> str:
    """Section `events`: ordinary incidents and what they cause."""
    rows = [
        [
            each.name,
            f"{each.entries:,.0f} within {each.within}",
            f"{format_estimate(each.one_by_one_ms)}; {format_estimate(each.at_once_ms)}",
            format_estimate(each.bytes_to_all),
            f"{each.connections:,.0f}",
            f"{each.cold:,.1f}",
            f"{each.recovery_s:,.0f}",
            each.why,
        ]
        for each in incidents.incidents(plan, slopes)
    ]
    rows.append(settings_event(slopes, plan))
    head = [
        "event",
        "changed entries",
        "processor ms of a relay: one by one; in one response",
        "bytes to all relays",
        "connections and handshakes at units",
        "cold units at a time",
        "s until recovered",
        "why",
    ]
    return table(head, rows, {2, 3, 4, 5, 6})


def settings_event(slopes: Slopes, plan: sizing.Plan) -> list[str]:
    """The row of a change of configuration, which changes no entry of the list."""
    blocked = next(need for need in sizing.blocking_needs(plan, slopes) if "settings" in need.what)
    sent = sizing.estimate(slopes, Activity.SETTINGS_CHANGE, Axis.TENANTS, Cost.BYTES_IN, plan.fleet.tenants)
    total = sent.times(plan.fleet.relays)
    seconds = "not measured" if blocked.value is None else f"{blocked.value / 1000:.2f}"
    why = f"read and applied; no code sends it to the {plan.fleet.relays:,} relays"
    return [
        "a change of configuration",
        "0",
        with_error(blocked.value, blocked.error),
        format_estimate(total),
        "0",
        "0",
        seconds,
        why,
    ]


def exceeding(slopes: Slopes, plan: sizing.Plan) -> str:
    """Section `over`: the needs above their allowance, the largest factor first."""
    rows = [
        [
            f"{figure(need.factor() or 0)}",
            str(need.role),
            need.what,
            f"{with_error(need.value, need.error)} {need.unit}",
            f"{figure(need.allowance or 0)} {need.unit}",
            mechanism(need),
        ]
        for need in sizing.exceeding(sizing.needs(plan, slopes))
    ]
    return table(["factor", "role", "cost", "at planned size", "allowance", "handled by"], rows, {0, 3, 4})


SECTIONS: dict[str, Callable[[Slopes, sizing.Plan], str]] = {
    "run": run,
    "over": exceeding,
    "roles": roles,
    "states": states,
    "assumed": assumed,
    "events": events,
    "slopes": slope_rows,
    "crooked": not_straight,
}


def fill(text: str, slopes: Slopes, plan: sizing.Plan) -> str:
    """The page with its tables filled in; raises ValueError unless it has each section once and no other."""
    found = MARKED_SECTION.findall(text)
    if sorted(found) != sorted(SECTIONS):
        raise ValueError(f"the page has the sections {', '.join(found) or 'none'}, expected {', '.join(SECTIONS)}")
    return MARKED_SECTION.sub(lambda match: section(match[1], slopes, plan), text)


def section(name: str, slopes: Slopes, plan: sizing.Plan) -> str:
    """One section with its markers."""
    return "\n".join((BEGIN.format(name), SECTIONS[name](slopes, plan), END.format(name)))
