"""Validates the platform's settings as a whole before a relay takes any of them: types, bounds, and contradictions.

Settings that are absent keep their defaults (tealsail/policy.py).  Messages name a field as the platform does.
"""

from collections.abc import Iterator
from typing import Any, NamedTuple

from ..settings import NAMES_BY_PATH

# The decision module's name -> the platform's path.
PLATFORM_PATHS = {name: path for path, name in NAMES_BY_PATH.items()}
LARGEST = 1e9  # of a time in tenths of a millisecond, a count or a price


class InvalidSettings(ValueError):
    """A setting that can't be used; the text is one line that names the field."""


class Bound(NamedTuple):
    """The numbers from `low` to `high`, both included; with `whole`, only whole ones."""

    low: float
    high: float
    whole: bool = False


COUNT = Bound(0, LARGEST, True)
NON_NEGATIVE = Bound(0, LARGEST)  # a time, price, quota or number of shots
FRACTION = Bound(0, 1)
POSITIVE_TIME = Bound(1, LARGEST)  # at least a tenth of a millisecond
# Rules: a Bound for a number, a type, or the set of allowed texts.  Keys are the decision module's names; times are
# tenths of a millisecond.
RULES: dict[str, Bound | type | set[str]] = dict(
    relays=Bound(1, 1e6, True),
    index=COUNT,
    on_votes=COUNT,
    hold_votes=COUNT,
    back_votes=COUNT,
    vote_life=POSITIVE_TIME,
    vote_wait=POSITIVE_TIME,
    votes_per_second=Bound(0.001, LARGEST),
    control={"any", "share", "timer"},
    layout={"in_place", "beside"},
    free_shots=NON_NEGATIVE,
    exposure_per={"all", "class"},
    exposure_span=POSITIVE_TIME,
    guarded_stages=COUNT,
    one_way=bool,
    may_cancel=bool,
    may_tell=bool,
    may_advise=bool,
    may_probe=bool,
    longest_advice=NON_NEGATIVE,
    list_mode={"pushed", "on_request"},
    most_shots=Bound(1, 1000, True),
    cold_from=FRACTION,
    warm_up=NON_NEGATIVE,
    fall_multiple=Bound(0.001, LARGEST),
    fall_span=NON_NEGATIVE,
    drain_grace=NON_NEGATIVE,
    bake=NON_NEGATIVE,
    step=NON_NEGATIVE,
    connect_wait=POSITIVE_TIME,
    idle_time=POSITIVE_TIME,
    ask_within=POSITIVE_TIME,
    answer_slack=NON_NEGATIVE,
    flag_share=FRACTION,
    delay_price=NON_NEGATIVE,
    harm_price=NON_NEGATIVE,
    two_shots=bool,
    marks_repeats=bool,
    load_via={"answers", "probe", "none"},
)
WORKLOAD_RULES: dict[str, Bound | type | set[str]] = dict(
    promised=POSITIVE_TIME,
    abandon=POSITIVE_TIME,
    payoff=NON_NEGATIVE,
    memory=NON_NEGATIVE,
    effect={"harmless", "stamped", "one-shot"},
    group={"all", "zone", "cell"},
    name=str,
)
CUSTOMER_RULES: dict[str, Bound | type | set[str]] = dict(share=FRACTION, quota=NON_NEGATIVE, name=str)


def value_problem(rule: Bound | type | set[str], value: Any) -> str:
    """Returns what is wrong with a value, or an empty string for a valid one."""
    if isinstance(rule, set):
        return "" if isinstance(value, str) and value in rule else f"{value!r:.40} is none of {', '.join(sorted(rule))}"
    if isinstance(rule, type):
        return "" if isinstance(value, rule) else f"{value!r:.40} is not {rule.__name__}"
    if isinstance(value, bool) or not isinstance(value, (int, float)):
        return f"{value!r:.40} is not a number"
    if not rule.low <= value <= rule.high:  # false for NaN too, so that it is refused
        return f"{value} is not from {rule.low:g} to {rule.high:g}"
    return "is not whole" if rule.whole and value != int(value) else ""


def field_problems(rules: dict[str, Any], values: dict[str, Any], prefix: str = "") -> Iterator[str]:
    """Yields a line for each field that breaks its rule; `prefix` is the path of the object that holds the fields."""
    for name, rule in rules.items():
        problem = value_problem(rule, values[name]) if name in values else ""
        if problem:
            yield f"{prefix}{PLATFORM_PATHS.get(name, name)}: {problem}"


def contradictions(settings: dict[str, Any]) -> Iterator[str]:
    """Yields a line for each contradiction between settings that are valid one by one."""
    relays, control = settings.get("relays", 1), settings.get("control", "any")
    if settings.get("index", 0) >= relays:
        yield f"index: {settings['index']} of {relays} relays"
    for name in ("on_votes", "hold_votes", "back_votes"):
        if settings.get(name, 0) > relays:
            yield f"{PLATFORM_PATHS[name]}: {settings[name]} of {relays} relays"
    if control == "timer" and not settings.get("step", 1):
        yield "domain.stageTime: 0 under a timer"
    if control != "timer" and settings.get("on_votes", 1) < 1:
        yield f"domain.toAdvance: 0 under {control!r}: no build could go on"
    for name in ("caps", "stage_shares"):
        for value in settings.get(name, []):
            if value_problem(FRACTION, value):
                yield f"{PLATFORM_PATHS[name]}: {value_problem(FRACTION, value)}"
                return
    caps, shares = settings.get("caps", []), settings.get("stage_shares", [])
    if caps and shares and len(caps) != len(shares):
        yield f"domain.mostShares: {len(caps)} stages, domain.waves has {len(shares)}"
    if any(later < earlier for earlier, later in zip(shares, shares[1:])):
        yield "domain.waves: a stage is smaller than the one before"
    if settings.get("guarded_stages", 0) > max(len(caps), len(shares), 1):
        yield f"domain.guardedStages: {settings['guarded_stages']} of {max(len(caps), len(shares), 1)} stages"
    if settings.get("one_way"):
        yield "domain.oneWay: true is not supported"
    for index, workload in enumerate(settings["workloads"]):
        if workload.get("promised", 0) > workload.get("abandon", LARGEST):
            yield f"requestClasses.{index}.aim: later than its deadline"


def all_field_problems(settings: dict[str, Any]) -> Iterator[str]:
    """Yields a line for each setting that is invalid by itself."""
    if not settings.get("workloads"):
        yield "no workloads"
        return
    yield from field_problems(RULES, settings)
    for index, workload in enumerate(settings["workloads"]):
        yield from field_problems(WORKLOAD_RULES, workload, f"requestClasses.{index}.")
    for index, customer in enumerate(settings.get("customers", [])):
        yield from field_problems(CUSTOMER_RULES, customer, f"tenants.{index}.")
    names = [workload.get("name") for workload in settings["workloads"]]
    if len(set(names)) < len(names):
        yield "requestClasses: two have the same name"


def check_settings(settings: dict[str, Any]) -> None:
    """Raises InvalidSettings with the first problem.

    Contradictions are looked for only once every field is valid by itself.
    """
    for problem in all_field_problems(settings):
        raise InvalidSettings(problem)
    for problem in contradictions(settings):
        raise InvalidSettings(problem)
