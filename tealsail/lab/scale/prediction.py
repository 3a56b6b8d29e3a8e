"""The costs that a scale run measured beside those that the slopes of `tealsail capacity` predict for its size."""

from typing import NamedTuple

from ..capacity.points import Cost, Side
from ..capacity.roles import FleetSize, Role, RoleCost, Term, forecast_role_costs
from ..capacity.slopes import Slopes
from .results import RoleUsage, Run

TOLERANCE = 0.2  # share of the prediction within which a measured cost agrees with it
MS_PER_SECOND = 1000
CAPACITY_ROLES = {  # by a run's name of a role
    "relay, hollow": Role.RELAY,
    "relay, real": Role.RELAY,
    "judge": Role.JUDGE,
    "load tracker": Role.TRACKER,
}
HOLLOW_ROLE = "relay, hollow"
MESSAGE_PREFIX = "messages"  # of terms for datagrams; the others are for connections
CONTROL_KINDS = ("list", "messages", "rollout", "tick")  # of a hollow relay's work; the other kinds serve requests


class Comparison(NamedTuple):
    """One cost of one role.  `largest_term` is the largest term of the prediction, with its slope."""

    role: str
    cost: str
    predicted: float
    error: float  # half the width of the 95% interval
    measured: float
    largest_term: str

    @property
    def ratio(self) -> float:
        """Measured to predicted."""
        return self.measured / self.predicted if self.predicted else float("inf")

    @property
    def is_within(self) -> bool:
        """Whether the measured cost agrees with the prediction."""
        return abs(self.ratio - 1) <= TOLERANCE


def fleet_size(run: Run) -> FleetSize:
    return FleetSize(
        run.relays, run.units, run.requests_per_second, list_changes_per_second=run.list_changes_per_second
    )


def compare(run: Run, slopes: Slopes) -> list[Comparison]:
    """For each role of the run: processor time, memory, and datagrams with their bytes."""
    costs = {cost.role: cost for cost in forecast_role_costs(fleet_size(run), slopes)}
    known = [usage for usage in run.roles if usage.role in CAPACITY_ROLES]  # nothing is predicted for the next in line
    return [each for usage in known for each in compare_role(usage, costs[CAPACITY_ROLES[usage.role]])]


def compare_role(usage: RoleUsage, cost: RoleCost) -> list[Comparison]:
    """The comparisons of one role, without costs for which nothing is predicted.

    A hollow relay has no connections and shares its process: only the processor time of its control work and its
    messages are compared."""
    hollow = usage.role == HOLLOW_ROLE
    processor = sum(usage.kinds.get(kind, 0.0) for kind in CONTROL_KINDS) if hollow else usage.processor.mean
    side = Side.CONTROL if hollow else None
    found = [compare_cost(usage, "processor ms/s", select_terms(cost, Cost.PROCESSOR, side), MS_PER_SECOND * processor)]
    if not hollow:
        found.append(compare_cost(usage, "memory MB", select_terms(cost, Cost.MEMORY), usage.memory_mb.mean))
    for which, spread in (
        (Cost.DATAGRAMS_OUT, usage.datagrams_out),
        (Cost.DATAGRAMS_IN, usage.datagrams_in),
        (Cost.BYTES_OUT, usage.bytes_out),
        (Cost.BYTES_IN, usage.bytes_in),
    ):
        terms = [term for term in select_terms(cost, which) if term.name.startswith(MESSAGE_PREFIX)]
        found.append(compare_cost(usage, f"{which}/s of messages", terms, spread.mean))
    return [each for each in found if each.predicted > 0]


def select_terms(cost: RoleCost, which: Cost, side: Side | None = None) -> list[Term]:
    """The terms of one kind of cost that have a slope; with `side` only those of that side."""
    return [term for term in cost.terms if term.cost == which and side in (None, term.side) and not term.is_missing]


def compare_cost(usage: RoleUsage, name: str, terms: list[Term], measured: float) -> Comparison:
    predicted = sum(term.value for term in terms)
    error = sum(term.error**2 for term in terms) ** 0.5
    largest = max(terms, key=lambda term: term.value, default=None)
    largest_term = f"{largest.name} {largest.value:.3g} ({largest.slope})" if largest else ""
    return Comparison(usage.role, name, predicted, error, measured, largest_term)
