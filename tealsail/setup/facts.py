"""Checks the platform's settings as a whole, before a relay takes any of them: types, bounds, and each against the
others.

What is absent keeps its default (tealsail/policy.py).  A line names the field as the platform does.
"""

from collections.abc import Iterator
from typing import Any, NamedTuple

from ..settings import NAMES_BY_PATH

PATHS = {name: path for path, name in NAMES_BY_PATH.items()}
MOST = 1e9  # tenths of a ms, and any count


class BadFacts(ValueError):
    """One line with the field."""


class Bound(NamedTuple):
    """Numbers between the two, both allowed; `whole` ones only."""

    low: float
    high: float
    whole: bool = False


COUNT, TIME, PART, SPAN = Bound(0, MOST, True), Bound(0, MOST), Bound(0, 1), Bound(1, MOST)
BOUNDS: dict[str, Bound | type | set[str]] = dict(
    relays=Bound(1, 1e6, True),
    index=COUNT,
    on_votes=COUNT,
    hold_votes=COUNT,
    back_votes=COUNT,
    vote_life=SPAN,
    vote_wait=SPAN,
    votes_per_second=Bound(0.001, MOST),
    control={"any", "share", "timer"},
    layout={"in_place", "beside"},
    free_shots=TIME,
    exposure_per={"all", "class"},
    exposure_span=SPAN,
    guarded_stages=COUNT,
    one_way=bool,
    may_cancel=bool,
    may_tell=bool,
    may_advise=bool,
    may_probe=bool,
    longest_advice=TIME,
    list_mode={"pushed", "on_request"},
    most_shots=Bound(1, 1000, True),
    cold_from=PART,
    warm_up=TIME,
    fall_multiple=Bound(0.001, MOST),
    fall_span=TIME,
    drain_grace=TIME,
    bake=TIME,
    step=TIME,
    connect_wait=SPAN,
    idle_time=SPAN,
    ask_within=SPAN,
    answer_slack=TIME,
    flag_share=PART,
    delay_price=TIME,
    harm_price=TIME,
    two_shots=bool,
    marks_repeats=bool,
    load_via={"answers", "probe", "none"},
)
OF_WORKLOAD: dict[str, Bound | type | set[str]] = dict(
    promised=SPAN,
    abandon=SPAN,
    payoff=TIME,
    memory=TIME,
    effect={"harmless", "stamped", "one-shot"},
    group={"all", "zone", "cell"},
    name=str,
)
OF_CUSTOMER: dict[str, Bound | type | set[str]] = dict(share=PART, quota=TIME, name=str)


def wrong(bound: Bound | type | set[str], value: Any) -> str:
    """What is wrong with a value; nothing, if it will do."""
    if isinstance(bound, set):
        return (
            "" if isinstance(value, str) and value in bound else f"{value!r:.40} is none of {', '.join(sorted(bound))}"
        )
    if isinstance(bound, type):
        return "" if isinstance(value, bound) else f"{value!r:.40} is not {bound.__name__}"
    if isinstance(value, bool) or not isinstance(value, (int, float)):
        return f"{value!r:.40} is not a number"
    if not bound.low <= value <= bound.high:  # nor is what is no number at all
        return f"{value} is not from {bound.low:g} to {bound.high:g}"
    return "is not whole" if bound.whole and value != int(value) else ""


def each(bounds: dict[str, Any], tree: dict[str, Any], where: str = "") -> Iterator[str]:
    for name, bound in bounds.items():
        problem = wrong(bound, tree[name]) if name in tree else ""
        if problem:
            yield f"{where}{PATHS.get(name, name)}: {problem}"


def together(facts: dict[str, Any]) -> Iterator[str]:
    """What contradicts itself."""
    relays, control = facts.get("relays", 1), facts.get("control", "any")
    if facts.get("index", 0) >= relays:
        yield f"index: {facts['index']} of {relays} relays"
    for name in ("on_votes", "hold_votes", "back_votes"):
        if facts.get(name, 0) > relays:
            yield f"{PATHS[name]}: {facts[name]} of {relays} relays"
    if control == "timer" and not facts.get("step", 1):
        yield "domain.stageTime: 0 under a timer"
    if control != "timer" and facts.get("on_votes", 1) < 1:
        yield f"domain.toAdvance: 0 under {control!r}: no build could go on"
    for name in ("caps", "stage_shares"):
        for value in facts.get(name, []):
            if wrong(PART, value):
                yield f"{PATHS[name]}: {wrong(PART, value)}"
                return
    caps, shares = facts.get("caps", []), facts.get("stage_shares", [])
    if caps and shares and len(caps) != len(shares):
        yield f"domain.mostShares: {len(caps)} stages, domain.waves has {len(shares)}"
    if any(later < earlier for earlier, later in zip(shares, shares[1:])):
        yield "domain.waves: a stage is smaller than the one before"
    if facts.get("guarded_stages", 0) > max(len(caps), len(shares), 1):
        yield f"domain.guardedStages: {facts['guarded_stages']} of {max(len(caps), len(shares), 1)} stages"
    if facts.get("one_way"):
        yield "domain.oneWay: true is not supported"
    for place, workload in enumerate(facts["workloads"]):
        if workload.get("promised", 0) > workload.get("abandon", MOST):
            yield f"requestClasses.{place}.aim: later than its deadline"


def problems(facts: dict[str, Any]) -> Iterator[str]:
    if not facts.get("workloads"):
        yield "no workloads"
        return
    yield from each(BOUNDS, facts)
    for place, workload in enumerate(facts["workloads"]):
        yield from each(OF_WORKLOAD, workload, f"requestClasses.{place}.")
    for place, customer in enumerate(facts.get("customers", [])):
        yield from each(OF_CUSTOMER, customer, f"tenants.{place}.")
    names = [workload.get("name") for workload in facts["workloads"]]
    if len(set(names)) < len(names):
        yield "requestClasses: two of one name"


def check(facts: dict[str, Any]) -> None:
    """Raises BadFacts with the first problem; contradictions are looked for among what is in bounds."""
    for problem in problems(facts):
        raise BadFacts(problem)
    for problem in together(facts):
        raise BadFacts(problem)
