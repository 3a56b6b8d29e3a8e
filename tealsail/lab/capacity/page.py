"""The tables of docs/CAPACITY.md, written between the page's markers from a run's slopes and the planned numbers."""

import re
from collections.abc import Callable

from . import incidents, sizing
from .fit import Shape
from .points import Activity, Axis, Column, Cost
from .roles import Estimate
from .slopes import Slope, Slopes
from .tables import COST_UNITS, describe_shape, figure, has_cost

BEGIN, END = "<!-- capacity: {} -->", "<!-- end of {} -->"
MARKED = re.compile(r"<!-- capacity: (\w+) -->\n.*?<!-- end of \1 -->", re.S)
MISSING, UNKNOWN = "**missing**", "not measured"


def table(head: list[str], rows: list[list[str]], right: set[int] = frozenset()) -> str:
    """A Markdown table; columns of `right` are set to the right."""
    lines = ["| " + " | ".join(head) + " |"]
    lines.append("| " + " | ".join("---:" if place in right else "---" for place in range(len(head))) + " |")
    lines += ["| " + " | ".join(row) + " |" for row in rows]
    return "\n".join(lines)


def with_error(value: float | None, error: float) -> str:
    if value is None:
        return UNKNOWN
    return f"{figure(value)} ±{figure(error)}" if error else figure(value)


def extent(found: Estimate) -> str:
    return UNKNOWN if found.missing else with_error(found.value, found.error)


def run(slopes: Slopes, plan: sizing.Plan) -> str:
    """Where and how the slopes were measured."""
    state = slopes.machine
    changed = ", with changes that were not committed" if state.changed else ""
    rows = [
        ["commit", f"{state.commit}{changed}"],
        ["date", state.date],
        ["processors", f"{len(state.allowed)} used of {state.cores}, {state.model}"],
        ["Python, kernel", f"{state.python}, {state.kernel}"],
        ["load before and after", f"{state.load_before:.2f}, {state.load_after:.2f}"],
        ["time, repeats of a size", f"{slopes.seconds:.0f} s, {slopes.repeats}"],
        ["not measured", "; ".join(slopes.problems) or "nothing"],
        ["kept though disturbed by the machine's host", "; ".join(slopes.disturbed) or "nothing"],
    ]
    return table(["the run", ""], rows)


def ordered(slopes: Slopes) -> list[Slope]:
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
    """Each slope on sockets, with the facade's beside it."""
    rows = []
    for slope in ordered(slopes):
        if slope.column != Column.PROCESS:
            continue
        alone = slopes.find(slope.name, slope.axis, slope.cost, Column.FACADE)
        rows.append(slope_row(slope, alone))
    for slope in ordered(slopes):
        if slope.column == Column.FACADE and not slopes.find(slope.name, slope.axis, slope.cost):
            rows.append([*slope_row(slope, slope)[:3], "", "", "", *slope_row(slope, slope)[6:]])
    head = [
        "what",
        "along",
        "cost",
        "at the ends",
        "constant",
        "growth",
        "facade alone: growth",
        "shape",
        "line of code",
    ]
    return table(head, rows, {3, 4, 5, 6})


def growth(slope: Slope) -> str:
    curve = slope.curve
    per = "" if curve.shape == Shape.LINE else f" x {curve.shape}"
    return f"{figure(curve.growth)} ±{figure(curve.growth_error)}{per}"


def slope_row(slope: Slope, alone: Slope | None) -> list[str]:
    first, last, curve = slope.samples[0], slope.samples[-1], slope.curve
    return [
        f"{slope.name}, {slope.side}",
        str(slope.axis),
        str(slope.cost),
        f"{first.x:,g}: {figure(first.mean())}; {last.x:,g}: {figure(last.mean())}",
        f"{figure(curve.constant)} ±{figure(curve.constant_error)}",
        growth(slope),
        growth(alone) if alone else "",
        describe_shape(slope),
        f"`{slope.cause}`" if slope.cause and curve.has_growth() else "",
    ]


def crooked(slopes: Slopes, plan: sizing.Plan) -> str:
    """Slopes of processor time that are no straight line, and the line of code behind them."""
    rows = [crooked_row(each) for each in ordered(slopes) if not each.curve.straight and each.cost == Cost.PROCESSOR]
    if not rows:
        return "None: every slope of processor time is a straight line within its points' errors."
    return table(["what", "along", "column", "points", "shape", "line of code"], rows)


def crooked_row(slope: Slope) -> list[str]:
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
    found = (f"{sample.x:,g}: {figure(sample.mean())}" for sample in slope.samples)
    return f"{'; '.join(found)} {COST_UNITS[slope.cost]}"


def carried(need: sizing.Need) -> str:
    return str(need.mechanism) if need.mechanism else MISSING


def allowance(need: sizing.Need) -> list[str]:
    factor = need.factor()
    limit = f"{figure(need.allowance)} {need.unit}" if need.allowance else ""
    if factor is None:
        return [limit, ""]
    return [limit, f"**{figure(factor)}**" if factor > 1 else figure(factor)]


def roles(slopes: Slopes, plan: sizing.Plan) -> str:
    """All needs, role by role."""
    rows = [
        [
            str(need.role),
            need.what + (f" ({need.note})" if need.note else ""),
            f"{with_error(need.value, need.error)} {need.unit}".strip(),
            *allowance(need),
            need.source,
            carried(need),
        ]
        for need in sizing.needs(plan, slopes)
    ]
    head = ["role", "what", "at that size", "allowance", "factor", "from", "carried by"]
    return table(head, rows, {2, 3, 4})


def states(slopes: Slopes, plan: sizing.Plan) -> str:
    rows = [
        [
            str(state.role),
            state.table,
            state.entries,
            UNKNOWN if state.bytes_each is None else f"{state.bytes_each:,.0f}",
            state.source,
            state.bound,
            str(state.emptied_by),
        ]
        for state in sizing.states(plan, slopes)
    ]
    return table(["role", "table", "entries", "bytes each", "from", "bound", "emptied by"], rows, {2, 3})


def largest_share(tenants: int, exponent: float) -> float:
    """Of requests that fall on the first of so many tenants by a Zipf law."""
    return 1 / sum(rank**-exponent for rank in range(1, tenants + 1))


def assumed(slopes: Slopes, plan: sizing.Plan) -> str:
    """What the operators did not say, in numbers, and what hangs on it."""
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
            "connections in the events; not measured how many a busy relay uses",
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
            "a judge is sent all cells of three classes",
            f"{sizing.judge_messages(plan):,.0f} messages a second, the most",
            "judge and voter",
        ],
    ]
    return table(["assumed", "in numbers", "rows that hang on it"], rows)


def events(slopes: Slopes, plan: sizing.Plan) -> str:
    rows = [
        [
            each.name,
            f"{each.entries:,.0f} within {each.within}",
            f"{extent(each.one_by_one_ms)}; {extent(each.at_once_ms)}",
            extent(each.bytes_to_all),
            f"{each.connections:,.0f}",
            f"{each.cold:,.1f}",
            f"{each.as_before_s:,.0f}",
            each.why,
        ]
        for each in incidents.incidents(plan, slopes)
    ]
    rows.append(settings_event(slopes, plan))
    head = [
        "event",
        "changed entries",
        "processor ms of a relay: one by one; in one answer",
        "bytes to all relays",
        "connections and handshakes at units",
        "cold units at a time",
        "s until as before",
        "why",
    ]
    return table(head, rows, {2, 3, 4, 5, 6})


def settings_event(slopes: Slopes, plan: sizing.Plan) -> list[str]:
    """A change of configuration, which moves no unit."""
    held = next(need for need in sizing.stops(plan, slopes) if "settings" in need.what)
    sent = sizing.extent(slopes, Activity.SETTINGS_CHANGE, Axis.TENANTS, Cost.BYTES_IN, plan.fleet.tenants)
    total = sent.times(plan.fleet.relays)
    seconds = "not measured" if held.value is None else f"{held.value / 1000:.2f}"
    why = f"read and taken; how it gets to {plan.fleet.relays:,} relays is missing"
    return ["a change of configuration", "0", with_error(held.value, held.error), extent(total), "0", "0", seconds, why]


def over(slopes: Slopes, plan: sizing.Plan) -> str:
    rows = [
        [
            f"{figure(need.factor() or 0)}",
            str(need.role),
            need.what,
            f"{with_error(need.value, need.error)} {need.unit}",
            f"{figure(need.allowance or 0)} {need.unit}",
            carried(need),
        ]
        for need in sizing.over(sizing.needs(plan, slopes))
    ]
    return table(["factor", "role", "what", "at that size", "allowance", "carried by"], rows, {0, 3, 4})


SECTIONS: dict[str, Callable[[Slopes, sizing.Plan], str]] = {
    "run": run,
    "over": over,
    "roles": roles,
    "states": states,
    "assumed": assumed,
    "events": events,
    "slopes": slope_rows,
    "crooked": crooked,
}


def filled(text: str, slopes: Slopes, plan: sizing.Plan) -> str:
    """The page with its tables.  Raises ValueError unless it has exactly the sections that there are."""
    found = MARKED.findall(text)
    if sorted(found) != sorted(SECTIONS):
        raise ValueError(f"the page has the sections {', '.join(found) or 'none'}, not {', '.join(SECTIONS)}")
    return MARKED.sub(lambda match: section(match[1], slopes, plan), text)


def section(name: str, slopes: Slopes, plan: sizing.Plan) -> str:
    return "\n".join((BEGIN.format(name), SECTIONS[name](slopes, plan), END.format(name)))
