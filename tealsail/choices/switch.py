"""New settings in a running relay: what may change, and what holds until the last invocation of before is over.

The switch is one point between two events.  What was taken before is finished within the stricter of the two settings
where a rule differs, and so is what comes meanwhile: a moment of less freedom, for no more than the longest wait of a
client. The way back is the same step.
"""

from collections.abc import Callable, Iterable
from typing import Any

from ..policy import Relay
from ..settings import NAMES_BY_PATH

PATHS = {name: path for path, name in NAMES_BY_PATH.items()}
# what a running relay is built on: judges' order, windows, places of zones, connections
FIXED = (
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
OF_WORKLOAD = ("name", "effect", "group")
FOREIGN = {"fleetSize", "index", "requestClasses", "tenants"}  # as the platform names them: who, and for whom


def least_each(old: list[float], new: list[float]) -> list[float]:
    """The lower cap of each stage; of stages that only one has, that one's."""
    return [min(pair) for pair in zip(old, new)] + list(old[len(new) :]) + list(new[len(old) :])


STRICTER: dict[str, Callable[[Any, Any], Any]] = dict(
    most_shots=min,
    free_shots=min,
    guarded_stages=max,
    caps=least_each,
    may_cancel=min,
    may_advise=min,
    longest_advice=min,
    cold_from=min,
    warm_up=max,
    drain_grace=min,
)


def fixed(old: dict[str, Any], new: dict[str, Any]) -> list[str]:
    """Names, as the platform has them, of what differs and needs a restart."""
    found = [PATHS.get(name, name) for name in FIXED if old.get(name) != new.get(name)]
    for path, whole, names in (("requestClasses", "workloads", OF_WORKLOAD), ("tenants", "customers", ("name",))):
        before, after = ([[each.get(name) for name in names] for each in facts.get(whole, [])] for facts in (old, new))
        found += [path] * (before != after)
    return found


def changed(old: dict[str, Any], new: dict[str, Any]) -> list[str]:
    """Names of all that differs."""
    return [PATHS.get(name, name) for name in sorted({*old, *new}) if old.get(name) != new.get(name)]


def hold(relay: Relay, fresh: Relay, strict: bool) -> None:
    """The relay (tealsail/policy.py) holds the facts of `fresh`, which was built with them; if `strict`, the stricter
    of its own and those."""
    before = dict(relay.facts)
    for name in before.keys() - fresh.facts.keys():
        del relay.facts[name]
    for name, value in fresh.facts.items():
        both = strict and name in STRICTER and name in before
        relay.facts[name] = STRICTER[name](before[name], value) if both else value
    for mine, new in zip(relay.workloads, fresh.workloads):
        mine.promised, mine.payoff = new.promised, new.payoff
        mine.memory = min(mine.memory, new.memory) if strict else new.memory
    relay.judge.voters, relay.beside = fresh.judge.voters, fresh.beside
    relay.arrange()


class RestartNeeded(ValueError):
    """Settings that differ and need a restart, by name; `foreign`: so much that they are another fleet's or
    customer's."""

    def __init__(self, needs: list[str]) -> None:
        super().__init__(f"{', '.join(needs)}: needs a restart")
        self.is_foreign = not FOREIGN.isdisjoint(needs)


class Quiet:
    """A host that is asked for nothing."""

    def __getattr__(self, name: str) -> Callable[..., None]:
        return lambda *what: None


class LiveSettings:
    """The settings of one relay, and those on their way in."""

    def __init__(self, relay: Relay, facts: dict[str, Any]) -> None:
        self.relay, self.facts = relay, facts  # as they came
        self.fresh: Relay | None = None  # held strictly until what was at hand is over
        self.at_hand: set[int] = set()

    def change(self, facts: dict[str, Any]) -> list[str]:
        """New settings between two events; returns the names of what differs.  Nothing changes if it raises: Fixed
        for what needs a restart, or what the module raises that can't be built with them."""
        needs = fixed(self.facts, facts)
        if needs:
            raise RestartNeeded(needs)
        found, fresh = changed(self.facts, facts), Relay(Quiet(), facts, 0, self.relay.now)
        if found:
            self.facts, self.fresh, self.at_hand = facts, fresh, self.open(self.relay.known)
            hold(self.relay, fresh, bool(self.at_hand))
        return found

    def open(self, numbers: Iterable[int]) -> set[int]:
        """Those that are not over, or have shots out there."""
        known = self.relay.known
        return {
            number
            for number in numbers
            if number in known and (not known[number].is_over or known[number].open_shots())
        }

    def end_transition(self) -> None:
        """Asked now and then: once all that was taken before is over, the new settings alone hold."""
        if self.fresh and self.at_hand:
            self.at_hand = self.open(self.at_hand)
            if not self.at_hand:
                hold(self.relay, self.fresh, False)
        if not self.at_hand:
            self.fresh = None
