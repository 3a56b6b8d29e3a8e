"""A short soak in which units and the relay stand still: real processes, and the rules on the last byte of a query."""

import asyncio
import unittest

from tealsail.lab.stalls.plan import draw
from tealsail.lab.stalls.run import play

SEEDS = range(1, 7)


class Stalls(unittest.TestCase):
    # Guards against whatever an attempt breaks that ends while its unit, the relay or both have stood still.
    def test_seeded_runs_break_no_rule(self) -> None:
        for seed in SEEDS:
            with self.subTest(seed=seed):
                result = asyncio.run(play(draw(seed)))
                self.assertEqual((result.findings, result.problems), ([], []))
                self.assertGreater(result.outcomes["served"], 0)


if __name__ == "__main__":
    unittest.main()
