"""The roles of a fleet sized from measured slopes: what each process that holds one costs, term by term."""

from enum import StrEnum
from math import hypot

import msgspec

from .slopes import Axis, Cost, Name, Side, Slope, Slopes

MESSAGES_OF_A_REQUEST = 3  # to the load tracker: began, which is best, ended (policy.py, Guide)


class Role(StrEnum):
    """What a process does for the fleet."""

    RELAY = "relay in the path"
    JUDGE = "judge and voter"
    TRACKER = "load tracker"


class FleetSize(msgspec.Struct, frozen=True):
    """How large a fleet is, and what happens in it; rates are those of the whole fleet a second."""

    relays: int
    units: int
    requests_per_second: float
    tenants: int = 1
    list_changes_per_second: float = 0.0  # entries that change; each relay is sent each
    settings_changes_per_second: float = 0.0  # each relay takes each
    whole_lists_per_second: float = 0.0  # that one relay is sent
    tracker_is_asked: bool = True


class Term(msgspec.Struct, frozen=True):
    """One part of a role's cost, for one process and second (memory: as it stands).  `error` is half the width of the 95%
    interval of the fit, `beyond` says that the size is more than what was measured."""

    name: str
    side: Side
    cost: Cost
    value: float
    error: float
    slope: str
    beyond: bool = False
    missing: bool = False  # not measured: the value stands for nothing


class RoleCost(msgspec.Struct, frozen=True):
    """What one process of a role costs, its work as a relay in the path included: milliseconds of processor time, bytes and
    datagrams a second, and megabytes."""

    role: Role
    terms: list[Term]

    def total(self, cost: Cost, side: Side | None = None) -> tuple[float, float]:
        """The sum over terms of one cost, of both sides if none is given, and its error."""
        chosen = [term for term in self.terms if term.cost == cost and side in (None, term.side) and not term.missing]
        return sum(term.value for term in chosen), hypot(*(term.error for term in chosen))

    def core_part(self, side: Side | None = None) -> float:
        """Of one core, 1.0 for all of it."""
        return self.total(Cost.PROCESSOR, side)[0] / 1000

    def memory_mb(self) -> float:
        return self.total(Cost.MEMORY)[0]


def foretell(size: FleetSize, slopes: Slopes) -> list[RoleCost]:
    """What one process of each role costs in a fleet of that size."""
    path = relay_terms(size, slopes)
    return [
        RoleCost(Role.RELAY, path),
        RoleCost(Role.JUDGE, path + judge_terms(size, slopes)),
        RoleCost(Role.TRACKER, path + tracker_terms(size, slopes)),
    ]


def relay_terms(size: FleetSize, slopes: Slopes) -> list[Term]:
    return []


def judge_terms(size: FleetSize, slopes: Slopes) -> list[Term]:
    return []


def tracker_terms(size: FleetSize, slopes: Slopes) -> list[Term]:
    return []
