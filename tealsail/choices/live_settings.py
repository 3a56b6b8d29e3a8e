"""Changing the settings of a running relay: which may change, and what holds until the earlier invocations are over.

A change takes effect at one point between two events.  Invocations that were taken before it are finished within the
stricter of the two settings where a rule differs, and so are those that come meanwhile: a short time with less freedom,
no longer than the longest wait of a client.  Changing back works the same way.
"""

from collections.abc import Callable, Iterable
from typing import Any

from ..policy import Relay
from ..settings import NAMES_BY_PATH

PATHS = {name: path for path, name in NAMES_BY_PATH.items()}  # name of a setting -> the platform's name for it
# Settings that need a restart: the order of judges, windows, places of zones and connections of a running relay are
# built on them.
RESTART_SETTINGS = (
    "relays",
    "index",
    "zone",
    "zones",
    "list_mode",
    "exposure_span",
    "exposure_per",
    "connect_wait",
    "idle_time",
    "ask_within",
    "may_tell",
)
RESTART_SETTINGS_OF_WORKLOAD = ("name", "effect", "group")
# By the platform's names: where one of these differs, the settings are another relay's, fleet's or customer's.
IDENTITY_PATHS = {"fleetSize", "index", "requestClasses", "tenants"}


def lower_caps(old: list[float], new: list[float]) -> list[float]:
    """The lower cap of each stage; a stage that only one list has keeps its cap."""
    return [min(pair) for pair in zip(old, new)] + list(old[len(new) :]) + list(new[len(old) :])


# For each rule, the stricter of its old and new value.
STRICTER: dict[str, Callable[[Any, Any], Any]] = dict(
    most_shots=min,
    free_shots=min,
    guarded_stages=max,
    caps=lower_caps,
    may_cancel=min,
    may_advise=min,
    longest_advice=min,
    cold_from=min,
    warm_up=max,
    drain_grace=min,
)


def restart_paths(old: dict[str, Any], new: dict[str, Any]) -> list[str]:
    """The platform's names of the settings that differ and need a restart."""
    found = [PATHS.get(name, name) for name in RESTART_SETTINGS if old.get(name) != new.get(name)]
    for path, whole, names in (
        ("requestClasses", "workloads", RESTART_SETTINGS_OF_WORKLOAD),
        ("tenants", "customers", ("name",)),
    ):
        before, after = ([[each.get(name) for name in names] for each in facts.get(whole, [])] for facts in (old, new))
        found += [path] * (before != after)
    return found


def changed_paths(old: dict[str, Any], new: dict[str, Any]) -> list[str]:
    """The platform's names of all settings that differ."""
    return [PATHS.get(name, name) for name in sorted({*old, *new}) if old.get(name) != new.get(name)]


def install(relay: Relay, replacement: Relay, strict: bool) -> None:
    """Gives `relay` the settings of `replacement`, a relay that was built with the new ones; if `strict`, the stricter
    of its own and the new value where a rule differs."""
    before = dict(relay.facts)
    for name in before.keys() - replacement.facts.keys():
        del relay.facts[name]
    for name, value in replacement.facts.items():
        both = strict and name in STRICTER and name in before
        relay.facts[name] = STRICTER[name](before[name], value) if both else value
    for mine, new in zip(relay.workloads, replacement.workloads):
        mine.promised, mine.payoff = new.promised, new.payoff
        mine.memory = min(mine.memory, new.memory) if strict else new.memory
    relay.judge.voters, relay.beside = replacement.judge.voters, replacement.beside
    relay.arrange()


class RestartNeeded(ValueError):
    """Settings differ that only a restart can change; the text names them.  `is_foreign`: they are those of another
    relay, fleet or customer."""

    def __init__(self, paths: list[str]) -> None:
        super().__init__(f"{', '.join(paths)}: needs a restart")
        self.is_foreign = not IDENTITY_PATHS.isdisjoint(paths)


class NullHost:
    """A host (tealsail/host.py) that ignores all calls."""

    def __getattr__(self, name: str) -> Callable[..., None]:
        return lambda *what: None


class LiveSettings:
    """The settings of one running relay, and the change that is under way."""

    def __init__(self, relay: Relay, facts: dict[str, Any]) -> None:
        self.relay, self.facts = relay, facts  # the settings as they were handed in
        self.replacement: Relay | None = None  # built with the new settings; kept until the change is complete
        self.unfinished: set[int] = set()  # invocations that were taken before the change

    def change(self, facts: dict[str, Any]) -> list[str]:
        """Takes new settings, between two events; returns the names of those that differ.

        Raises RestartNeeded, or what policy.Relay raises if it cannot be built with them; nothing changes then.
        """
        needs = restart_paths(self.facts, facts)
        if needs:
            raise RestartNeeded(needs)
        found, replacement = changed_paths(self.facts, facts), Relay(NullHost(), facts, 0, self.relay.now)
        if found:
            self.facts, self.replacement, self.unfinished = facts, replacement, self.open(self.relay.known)
            install(self.relay, replacement, bool(self.unfinished))
        return found

    def open(self, numbers: Iterable[int]) -> set[int]:
        """Those of the invocations that are not over, or still have shots out."""
        known = self.relay.known
        return {
            number
            for number in numbers
            if number in known and (not known[number].is_over or known[number].open_shots())
        }

    def end_transition(self) -> None:
        """Puts the new settings alone into force once all earlier invocations are over; to be called regularly."""
        if self.replacement and self.unfinished:
            self.unfinished = self.open(self.unfinished)
            if not self.unfinished:
                install(self.relay, self.replacement, False)
        if not self.unfinished:
            self.replacement = None
