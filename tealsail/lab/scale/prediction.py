"""What a scale run cost beside what the slopes of `tealsail capacity` foretell at its own size."""

from typing import NamedTuple

from ..capacity.points import Cost, Side
from ..capacity.roles import FleetSize, Role, RoleCost, Term, foretell
from ..capacity.slopes import Slopes
from .results import RoleSeen, Run

NEAR = 0.2  # of what was foretold: within it the page's slope holds
MILLISECONDS = 1000  # in a second
ROLES = {
    "relay, hollow": Role.RELAY,
    "relay, real": Role.RELAY,
    "judge": Role.JUDGE,
    "load tracker": Role.TRACKER,
}
HOLLOW = "relay, hollow"
OF_MESSAGES = "messages"  # terms whose names begin so are datagrams' bytes; others are those of connections
CONTROL_KINDS = ("list", "messages", "rollout", "tick")  # of a hollow relay's work; the rest is for requests


class Compared(NamedTuple):
    """One cost of one role.  `because` names the largest term of what was foretold, with its slope."""

    role: str
    cost: str
    foretold: float
    error: float  # half the width of the 95% interval
    seen: float
    because: str

    @property
    def ratio(self) -> float:
        return self.seen / self.foretold if self.foretold else float("inf")

    @property
    def within(self) -> bool:
        return abs(self.ratio - 1) <= NEAR


def size_of(run: Run) -> FleetSize:
    return FleetSize(
        run.relays, run.units, run.requests_per_second, list_changes_per_second=run.list_changes_per_second
    )


def compare(run: Run, slopes: Slopes) -> list[Compared]:
    """For each role seen: processor time, memory, and datagrams with their bytes."""
    costs = {cost.role: cost for cost in foretell(size_of(run), slopes)}
    known = [seen for seen in run.roles if seen.role in ROLES]  # who is next in line has no row of its own
    return [each for seen in known for each in of_role(seen, costs[ROLES[seen.role]])]


def of_role(seen: RoleSeen, cost: RoleCost) -> list[Compared]:
    """A hollow relay has no connections: of it control alone is compared, and what it adds to its process."""
    hollow = seen.role == HOLLOW
    processor = sum(seen.kinds.get(kind, 0.0) for kind in CONTROL_KINDS) if hollow else seen.processor.mean
    side = Side.CONTROL if hollow else None
    found = [compared(seen, "processor ms/s", of(cost, Cost.PROCESSOR, side), MILLISECONDS * processor)]
    if not hollow:
        found.append(compared(seen, "memory MB", of(cost, Cost.MEMORY), seen.memory_mb.mean))
    for which, spread in (
        (Cost.DATAGRAMS_OUT, seen.datagrams_out),
        (Cost.DATAGRAMS_IN, seen.datagrams_in),
        (Cost.BYTES_OUT, seen.bytes_out),
        (Cost.BYTES_IN, seen.bytes_in),
    ):
        terms = [term for term in of(cost, which) if term.name.startswith(OF_MESSAGES)]
        found.append(compared(seen, f"{which}/s of messages", terms, spread.mean))
    return [each for each in found if each.foretold > 0]


def of(cost: RoleCost, which: Cost, side: Side | None = None) -> list[Term]:
    return [term for term in cost.terms if term.cost == which and side in (None, term.side) and not term.missing]


def compared(seen: RoleSeen, name: str, terms: list[Term], figure: float) -> Compared:
    total = sum(term.value for term in terms)
    error = sum(term.error**2 for term in terms) ** 0.5
    largest = max(terms, key=lambda term: term.value, default=None)
    because = f"{largest.name} {largest.value:.3g} ({largest.slope})" if largest else ""
    return Compared(seen.role, name, total, error, figure, because)
