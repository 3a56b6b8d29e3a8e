"""The wire's words and units, translated to the project's own and back."""
from math import ceil, floor
from typing import Any

EFFECTS = {"read_like": "harmless", "idempotency_key": "stamped", "non_idempotent": "one-shot"}
OUTCOMES = {"ok": "served", "error": "error", "full": "full", "timeout": "timeout",
            "connect_failed": "unreachable", "reset": "reset", "cancelled": "cancelled", "moot": "moot"}
STATES = {"IN": "open", "LAME": "draining", "OUT": "gone"}
LISTS = {"patch": "changes", "whole": "whole", "stale_copy": "old copy", "broken": "failed"}
CONTROL = {"any": "any", "share": "share", "timer": "timer"}
ANSWERS = {"ok": "ok", "moot": "moot", "full": "full", "error": "error", "timeout": "timeout"}

# path on the wire (without the places of list items) -> the module's name
NAMES = {
    "fleetSize": "relays", "index": "index", "zone": "zone", "discovery": "list_mode",
    "requestClasses": "workloads", "tenants": "customers", "overShareWorth": "over_share_payoff",
    "aim": "promised", "aimStretch": "promised_stretch", "deadline": "abandon", "effect": "effect",
    "group": "group", "memorySpan": "memory", "gain": "payoff", "lateValue": "late_payoff", "name": "name",
    "streaming": "streaming", "quotaPerS": "quota", "share": "share",
    "clients.marksRetry": "marks_repeats", "worthBy": "payoff_by", "weights": "weights",
    "domain.control": "control", "domain.layout": "layout", "domain.toAdvance": "on_votes",
    "domain.holdVotes": "hold_votes", "domain.noesNeeded": "back_votes", "domain.minDwell": "bake",
    "domain.stageTime": "step", "domain.ballotTtl": "vote_life", "domain.apiTimeout": "vote_wait",
    "domain.callsPerS": "votes_per_second", "domain.behindPrice": "delay_price",
    "domain.blastPrice": "harm_price", "domain.foundShare": "flag_share", "domain.free": "free_shots",
    "domain.per": "exposure_per", "domain.span": "exposure_span", "domain.guardedStages": "guarded_stages",
    "domain.oneWay": "one_way", "domain.mostShares": "caps", "domain.waves": "stage_shares",
    "domain.warmKeys": "warm_keys", "domain.tallyEvery": "tally_every", "domain.sample": "tally_sample",
    "domain.repeatEvery": "news_every",
    "limits.cancel": "may_cancel", "limits.maxAttempts": "most_shots", "limits.parallelTries": "two_shots",
    "limits.retryAfter": "may_advise", "limits.maxRetryAfter": "longest_advice",
    "limits.mayTell": "may_tell", "limits.probes": "may_probe", "limits.openCap": "most_open",
    "rules.answerSlack": "answer_slack", "rules.askWithin": "ask_within", "rules.coldFrom": "cold_from",
    "rules.drainGrace": "drain_grace", "rules.fallMultiple": "fall_multiple",
    "rules.overloadFor": "fall_span", "rules.warmUp": "warm_up",
    "charges.crossZone": "zone_price", "charges.waste": "waste_price", "charges.lateFail": "late_price",
    "charges.peer": "tell_price", "feedback.fields": "load_fields", "feedback.via": "load_via",
    "tick": "tick",
}
# settings that are times: how to round them so that no limit is overstepped
TIMES = {name: floor for name in ("promised", "abandon", "memory", "bake", "step", "vote_life", "vote_wait",
                                  "tally_every", "longest_advice", "answer_slack", "ask_within",
                                  "drain_grace", "news_every")}
TIMES.update({name: ceil for name in ("exposure_span", "fall_span", "warm_up", "tick")})
LIST_VALUES = {"caps", "stage_shares", "load_fields"}


def tenths(text: str) -> int:
    """A time of the wire in whole tenths of a millisecond, never later than it was."""
    return floor(float(text) * 10 + 1e-6)


def plain(text: str) -> Any:
    if text in ("true", "false"):
        return text == "true"
    try:
        return int(text)
    except ValueError:
        try:
            return float(text)
        except ValueError:
            return EFFECTS.get(text, text)


def named(name: str, text: str) -> Any:
    """One setting's value under the module's name for it."""
    if name in LIST_VALUES:
        return [plain(part) for part in text.split(",")] if text else []
    value = plain(text)
    if name in TIMES and isinstance(value, (int, float)):
        # two steps, so that 0.1 ms figures survive binary fractions
        return TIMES[name](round(value * 10, 3))
    return value


def settings(pairs: dict[str, str]) -> dict[str, Any]:
    """The wire's path=value pairs as a plain map of the module's names; what has no name is skipped."""
    known: dict[str, Any] = {}
    for path, text in pairs.items():
        parts = path.split(".")
        if len(parts) == 3 and parts[1].isdigit():
            listed, name = NAMES.get(parts[0]), NAMES.get(parts[2])
            if listed and name:
                items = known.setdefault(listed, [])
                while len(items) <= int(parts[1]):
                    items.append({})
                items[int(parts[1])][name] = named(name, text)
        elif path in NAMES:
            known[NAMES[path]] = named(NAMES[path], text)
    return known
