"""The operators' settings under the internal names that the decision module uses (its `facts`).

One table serves both forms that they come in: the simulator's path=value pairs and a real relay's nested JSON.  Names
and units are translated: times come in milliseconds and become whole tenths of a millisecond.  Nothing is decided here.
"""

from collections.abc import Iterator
from math import ceil, floor
from typing import Any

# Effects of a workload, from the operators' word to the internal one.
EFFECTS = {"read_like": "harmless", "idempotency_key": "stamped", "non_idempotent": "one-shot"}

# Path, without the places of list items -> internal name.
NAMES_BY_PATH = {
    "fleetSize": "relays",
    "index": "index",
    "zone": "zone",
    "discovery": "list_mode",
    "requestClasses": "workloads",
    "tenants": "customers",
    "overShareWorth": "over_share_payoff",
    "aim": "promised",
    "aimStretch": "promised_stretch",
    "deadline": "abandon",
    "effect": "effect",
    "group": "group",
    "memorySpan": "memory",
    "gain": "payoff",
    "lateValue": "late_payoff",
    "name": "name",
    "streaming": "streaming",
    "quotaPerS": "quota",
    "share": "share",
    "dcs": "zones",
    "clients.marksRetry": "marks_repeats",
    "worthBy": "payoff_by",
    "weights": "weights",
    "domain.control": "control",
    "domain.layout": "layout",
    "domain.toAdvance": "on_votes",
    "domain.holdVotes": "hold_votes",
    "domain.noesNeeded": "back_votes",
    "domain.minDwell": "bake",
    "domain.stageTime": "step",
    "domain.ballotTtl": "vote_life",
    "domain.apiTimeout": "vote_wait",
    "domain.callsPerS": "votes_per_second",
    "domain.behindPrice": "delay_price",
    "domain.blastPrice": "harm_price",
    "domain.foundShare": "flag_share",
    "domain.free": "free_shots",
    "domain.per": "exposure_per",
    "domain.span": "exposure_span",
    "domain.guardedStages": "guarded_stages",
    "domain.oneWay": "one_way",
    "domain.mostShares": "caps",
    "domain.waves": "stage_shares",
    "domain.warmKeys": "warm_keys",
    "domain.tallyEvery": "tally_every",
    "domain.sample": "tally_sample",
    "domain.repeatEvery": "news_every",
    "limits.cancel": "may_cancel",
    "limits.maxAttempts": "most_shots",
    "limits.parallelTries": "two_shots",
    "limits.retryAfter": "may_advise",
    "limits.maxRetryAfter": "longest_advice",
    "limits.mayTell": "may_tell",
    "limits.probes": "may_probe",
    "limits.openCap": "most_open",
    "limits.dialTimeout": "connect_wait",
    "limits.connIdle": "idle_time",
    "rules.answerSlack": "answer_slack",
    "rules.askWithin": "ask_within",
    "rules.coldFrom": "cold_from",
    "rules.drainGrace": "drain_grace",
    "rules.fallMultiple": "fall_multiple",
    "rules.overloadFor": "fall_span",
    "rules.warmUp": "warm_up",
    "charges.crossZone": "zone_price",
    "charges.waste": "waste_price",
    "charges.lateFail": "late_price",
    "charges.peer": "tell_price",
    "feedback.fields": "load_fields",
    "feedback.via": "load_via",
    "tick": "tick",
}

# Settings that are times, and how each is rounded so that no limit is overstepped.
TIME_ROUNDING = {
    name: floor
    for name in (
        "promised",
        "abandon",
        "memory",
        "bake",
        "step",
        "vote_life",
        "vote_wait",
        "tally_every",
        "longest_advice",
        "answer_slack",
        "ask_within",
        "drain_grace",
        "news_every",
        "connect_wait",
        "idle_time",
    )
}
TIME_ROUNDING.update({name: ceil for name in ("exposure_span", "fall_span", "warm_up", "tick")})

UNLISTED_CUSTOMER = ""  # stands for customers that the settings do not name
LIST_SETTINGS = {"caps", "stage_shares", "load_fields", "zones"}  # whose values are lists of numbers or names


def tenths(milliseconds: float) -> int:
    """A time in whole tenths of a millisecond, never later than it was."""
    return floor(milliseconds * 10 + 1e-6)


def parse_scalar(text: str) -> Any:
    """A text of the simulator's pairs as a bool, int or float, or as it is."""
    if text in ("true", "false"):
        return text == "true"
    try:
        return int(text)
    except ValueError:
        try:
            return float(text)
        except ValueError:
            return text


def convert(name: str, value: Any) -> Any:
    """One setting's value in internal words and units; `name` is the internal one."""
    if name in LIST_SETTINGS:
        if isinstance(value, str):
            return [parse_scalar(part) for part in value.split(",")] if value else []
        return value if isinstance(value, list) else [value]
    if isinstance(value, str):
        return EFFECTS.get(value, value)
    if name in TIME_ROUNDING and not isinstance(value, bool):
        # Rounded twice, so that figures of 0.1 ms survive binary fractions.
        return TIME_ROUNDING[name](round(value * 10, 3))
    return value


def flat_leaves(pairs: dict[str, str]) -> Iterator[tuple[list[str], Any]]:
    """The leaves of the simulator's form, as (parts of the path, value).

    A list of objects has its places in the path, and its length under `count`.
    """
    for path, text in pairs.items():
        name = NAMES_BY_PATH.get(path)
        yield path.split("."), text if name in LIST_SETTINGS else parse_scalar(text)


def nested_leaves(tree: dict[str, Any], path: tuple[str, ...] = ()) -> Iterator[tuple[list[str], Any]]:
    """The leaves of a real relay's form, objects in objects and lists of objects, as (parts of the path, value)."""
    for name, value in tree.items():
        if isinstance(value, dict):
            yield from nested_leaves(value, (*path, name))
        elif isinstance(value, list) and value and isinstance(value[0], dict):
            for place, item in enumerate(value):
                yield from nested_leaves(item, (*path, name, str(place)))
        else:
            yield [*path, name], value


def facts(leaves: Iterator[tuple[list[str], Any]]) -> dict[str, Any]:
    """A plain map from internal names to values; a path without an internal name is skipped."""
    named: dict[str, Any] = {}
    for parts, value in leaves:
        path = ".".join(parts)
        if len(parts) == 3 and parts[1].isdigit():
            list_name, name = NAMES_BY_PATH.get(parts[0]), NAMES_BY_PATH.get(parts[2])
            if list_name and name:
                items = named.setdefault(list_name, [])
                while len(items) <= int(parts[1]):
                    items.append({})
                items[int(parts[1])][name] = convert(name, value)
        elif path in NAMES_BY_PATH:
            named[NAMES_BY_PATH[path]] = convert(NAMES_BY_PATH[path], value)
    if named.get("customers"):  # others that ask must not be counted as one that is listed
        named["customers"].append({"name": UNLISTED_CUSTOMER, "share": 0})
    return named
