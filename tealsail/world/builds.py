"""Builds of the units' software, and the faults that a build may have."""

from typing import NamedTuple

from .random_draws import FAULT_AGE, uniform


class Build(NamedTuple):
    """How a build behaves, compared with one that works as the settings say.  Times are tenths of a ms.

    The conditions `only`, `above` and `turns` limit `pace`, `errors` and `wrong`; all of them must hold.
    """

    number: int
    pace: float = 1.0  # factor on the work of each invocation
    errors: float = 0.0  # share of invocations that end in an error
    only: int = -1  # index of the one affected workload (-1: all)
    above: float = 0.0  # affected only from this load on (shots held per core)
    turns: tuple[int, int] = (0, 0)  # affected from an age of the unit drawn from this range; (0, 0): from the start
    wrong: float = 0.0  # share of answers that are wrong

    def is_faulty(self, workload: int, age: int, load: float, seed: int, unit: int) -> bool:
        """Whether the fault shows for this workload in a unit of this age (NEVER for a unit that was there before the
        day) and load (shots held per core); `unit` is the unit's identity."""
        if self.only not in (-1, workload) or load < self.above:
            return False
        first, last = self.turns
        return last == 0 or age >= first + int(uniform(seed, FAULT_AGE, unit, self.number) * (last - first))
