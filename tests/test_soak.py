"""A short soak: real relays at the least limits, with crowds, hostile clients and signals drawn from seeds."""

import asyncio
import unittest

from tealsail.lab.soak.plan import draw
from tealsail.lab.soak.run import play, summary

SEEDS = range(1, 9)


class Soak(unittest.TestCase):
    # Guards against whatever kills a relay, or loses or repeats a request, where several faults come together.
    def test_seeded_runs_break_no_rule(self) -> None:
        for seed in SEEDS:
            with self.subTest(seed=seed):
                result = asyncio.run(play(draw(seed)))
                self.assertEqual(result.findings, [], summary(result))
                self.assertGreater(result.count("served"), 0)


if __name__ == "__main__":
    unittest.main()
