"""Builds of the units' software, good and bad in the ways that builds are."""

from typing import NamedTuple

from .random_draws import TURNS, share


class Build(NamedTuple):
    """How a build behaves, against one that works as the settings say.  Times are tenths of a ms."""

    number: int
    pace: float = 1.0  # its work over the usual
    errors: float = 0.0  # share of invocations that end in an error
    only: int = -1  # errors and pace hold for this workload alone (-1: for all)
    above: float = 0.0  # errors and pace hold only above this busyness (held over cores)
    turns: tuple[int, int] = (0, 0)  # errors and pace hold only from an age of the unit between these
    wrong: float = 0.0  # share of answers that are wrong

    def acts(self, workload: int, age: int, busy: float, seed: int, unit: int) -> bool:
        """Whether its fault shows: for this workload, in a unit of that age (0: long ago) and busyness."""
        if self.only not in (-1, workload) or busy < self.above:
            return False
        first, last = self.turns
        return last == 0 or age >= first + int(share(seed, TURNS, unit, self.number) * (last - first))
