"""Fleets whose relays send the same request at the same time: how far backoff spreads them, and who is answered."""

import heapq
import unittest
from collections import Counter
from itertools import accumulate
from types import SimpleNamespace

from tealsail.choices.backoff import Backoff, fleet_backoff, initial_request_delay
from tealsail.parts import RandomGenerator
from tealsail.world.discovery_server import DiscoveryServer

RELAYS, WITHIN = 40, 10.0


def play(due: list[float], backoffs: list[Backoff], whole: bool) -> tuple[Counter, int]:
    """Plays 40 s; returns the requests by tenth of a second and how many relays were answered.

    `due` is when each relay asks first; a relay that is answered asks no more.
    """
    keeper, asked, answered = DiscoveryServer(), Counter(), 0
    heap = sorted(zip(due, range(len(due))))
    while heap and heap[0][0] < 40:
        now, number = heapq.heappop(heap)
        asked[int(now * 10)] += 1
        at, well = keeper.ask(now, whole)
        if not well:
            heapq.heappush(heap, (at + backoffs[number].next(), number))
        answered += well
    return asked, answered


class Fleets(unittest.TestCase):
    def test_a_fleet_that_starts_together_is_answered_relay_by_relay(self) -> None:
        """Guards against a fleet that retries in step: 40 relays asked together, and again after the same 0.1, 0.2 .. 2
        s, so most of them were never answered.  The first case plays that, with the same delays for all."""
        asked, answered = play(
            [0.0] * RELAYS, [Backoff(SimpleNamespace(share=lambda: 0.5)) for _ in range(RELAYS)], whole=True
        )
        self.assertLess(answered, RELAYS // 2)
        self.assertGreater(max(asked[at] for at in asked if at > 100), RELAYS // 2)  # still in step after 10 s
        for seed in range(10):
            chances = [RandomGenerator(100 * seed + number) for number in range(RELAYS)]
            asked, answered = play(
                [initial_request_delay(each, RELAYS, WITHIN, True, True) for each in chances],
                [fleet_backoff(each, RELAYS, WITHIN) for each in chances],
                whole=False,
            )
            self.assertGreater(answered, 0.8 * RELAYS)
            self.assertLessEqual(max(asked.values()), 6)

    def test_connections_that_ended_together_are_not_reopened_together(self) -> None:
        tries = Counter(
            int(10 * at)
            for backoff in [Backoff(RandomGenerator(number)) for number in range(RELAYS)]
            for at in accumulate(backoff.next() for _ in range(20))
        )
        self.assertLessEqual(max(tries[at] for at in range(20, 200)), RELAYS // 4)

    def test_a_relay_asks_again_within_the_required_time_whatever_it_is_told_to_wait(self) -> None:
        for relays in (1, 3, 40, 5000):
            backoff, chance = fleet_backoff(RandomGenerator(relays), relays, WITHIN), RandomGenerator(relays)
            self.assertLessEqual(backoff.next(), 1.9 * max(0.1, 0.05 * relays))
            self.assertLess(max(backoff.next(least) for least in (0, 3, 60) for _ in range(50)), 0.85 * WITHIN)
            self.assertLess(
                max(initial_request_delay(chance, relays, WITHIN, True, True) for _ in range(50)), 0.5 * WITHIN
            )
