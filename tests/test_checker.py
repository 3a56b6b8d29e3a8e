"""The checker of the five rules: it reports each breach, alone, and none in records that keep the rules."""

import unittest

from tealsail.record.lines import (
    EntryReceived,
    Head,
    InvocationEnded,
    InvocationTaken,
    News,
    RelayEvent,
    ShotEnded,
    ShotSent,
    ShotStarted,
    Unit,
)
from tealsail.world.rules import Slack, check

SECOND = 10_000  # tenths of a ms
FACTS = {
    "workloads": [{"effect": "harmless"}, {"effect": "one-shot"}, {"effect": "stamped", "memory": SECOND}],
    "exposure_span": 2 * SECOND,
    "drain_grace": SECOND,
    "fall_multiple": 4.0,
    "fall_span": SECOND,
    "free_shots": 1,
    "caps": [0.2, 1.0],
    "answer_slack": 500,
}


def take(number: int, at: int = 0, workload: int = 0, relay: int = 0) -> InvocationTaken:
    return InvocationTaken(at, relay, number, at, workload, 0, "k", at + 3 * SECOND, number)


def shot(number: int, at: int, place: int = 0, unit: str = "u1", build: int = 1, relay: int = 0) -> ShotSent:
    return ShotSent(at, relay, number, place, unit, build, 100)


class Rules(unittest.TestCase):
    def broken(self, *lines, slack: Slack = Slack()) -> dict[str, int]:
        """Breaches by rule, without the rules that were kept."""
        checker = check([Head(0, 1, "model", "x", 1, FACTS), *lines], slack)
        self.assertEqual(len(checker.breaches), sum(checker.counts.values()))
        return {name: count for name, count in checker.counts.items() if count}

    def test_a_record_in_order_breaks_no_rule(self) -> None:
        self.assertEqual(
            self.broken(
                take(1),
                shot(1, 0),
                ShotEnded(50, 0, 1, 0, "reset"),
                shot(1, 50, 1),
                ShotEnded(90, 0, 1, 1, "served"),
                InvocationEnded(90, 0, 1, "served"),
            ),
            {},
        )

    def test_an_invocation_is_lost_without_an_answer_with_two_with_a_late_one_or_untaken(self) -> None:
        for lines in (
            [take(1)],
            [take(1), InvocationEnded(1, 0, 1, "served"), InvocationEnded(2, 0, 1, "rejected")],
            [take(1), InvocationEnded(3 * SECOND + 501, 0, 1, "forfeited")],
            [InvocationEnded(1, 0, 9, "served")],
        ):
            self.assertEqual(self.broken(*lines), {"lost": 1})

    def test_what_a_dead_relay_had_is_no_breach(self) -> None:
        self.assertEqual(
            self.broken(take(1), shot(1, 0), RelayEvent(50, 0, "down"), InvocationEnded(50, 0, 1, "lost")), {}
        )

    def test_a_shot_after_the_answer_is_a_breach(self) -> None:
        self.assertEqual(self.broken(take(1), InvocationEnded(1, 0, 1, "rejected"), shot(1, 2)), {"lost": 1})

    def test_a_second_copy_while_one_is_out_is_a_breach(self) -> None:
        self.assertEqual(
            self.broken(take(1), shot(1, 0), shot(1, 10, 1, "u2"), InvocationEnded(20, 0, 1, "served")), {"twice": 1}
        )

    def test_with_slack_an_end_seen_a_moment_late_is_no_second_copy_and_one_seen_much_later_is(self) -> None:
        for late, found in ((400, {}), (900, {"twice": 1})):
            self.assertEqual(
                self.broken(
                    take(1),
                    shot(1, 0),
                    shot(1, 10, 1, "u2"),
                    ShotEnded(10 + late, 0, 1, 0, "cancelled"),
                    InvocationEnded(2000, 0, 1, "served"),
                    slack=Slack(time=500),
                ),
                found,
            )

    def test_one_shot_work_that_may_have_run_must_not_be_sent_again_or_rejected(self) -> None:
        begun = [take(1, workload=1), shot(1, 0), ShotEnded(50, 0, 1, 0, "reset")]
        self.assertEqual(self.broken(*begun, shot(1, 60, 1), InvocationEnded(90, 0, 1, "forfeited")), {"twice": 1})
        self.assertEqual(self.broken(*begun, InvocationEnded(90, 0, 1, "rejected")), {"twice": 1})
        self.assertEqual(self.broken(*begun, InvocationEnded(90, 0, 1, "forfeited")), {})

    def test_one_shot_work_that_never_ran_may_be_sent_again(self) -> None:
        for outcome in ("full", "unreachable", "moot"):
            self.assertEqual(
                self.broken(
                    take(1, workload=1),
                    shot(1, 0),
                    ShotEnded(5, 0, 1, 0, outcome),
                    shot(1, 6, 1),
                    ShotEnded(9, 0, 1, 1, "served"),
                    InvocationEnded(9, 0, 1, "served"),
                ),
                {},
            )

    def test_stamped_work_may_be_sent_again_only_within_the_memory(self) -> None:
        for again, found in ((SECOND - 1, {}), (SECOND, {"twice": 1})):
            self.assertEqual(
                self.broken(
                    take(1, workload=2),
                    shot(1, 0),
                    ShotEnded(50, 0, 1, 0, "reset"),
                    shot(1, again, 1),
                    InvocationEnded(again + 9, 0, 1, "forfeited"),
                ),
                found,
            )

    def test_a_draining_unit_gets_nothing_after_the_grace_until_it_is_open_again(self) -> None:
        told = EntryReceived(100, 0, "u1", 1, "draining", 0)
        for at, found in ((100 + SECOND, {}), (101 + SECOND, {"drains": 1})):
            self.assertEqual(self.broken(told, take(1, at), shot(1, at), InvocationEnded(at, 0, 1, "served")), found)
        self.assertEqual(
            self.broken(
                told,
                EntryReceived(200, 0, "u1", 1, "gone", 0),
                EntryReceived(300, 0, "u1", 2, "open", 300),
                take(1, 5 * SECOND),
                shot(1, 5 * SECOND),
                InvocationEnded(5 * SECOND, 0, 1, "served"),
            ),
            {},
        )

    def test_a_cold_unit_sent_more_than_its_limit_within_the_span_is_a_breach(self) -> None:
        runs = Unit(100, "u1", 1, "a", "runs", 2.0, 0.5, 4 * SECOND)  # can do 1.0 then: 40,000 in a second
        for each, found in ((3900, {}), (4200, {"cold": 1})):
            self.assertEqual(
                self.broken(runs, *(ShotStarted(100 + 10 * n, 0, n, 0, "u1", each) for n in range(10))), found
            )
        self.assertEqual(self.broken(runs, *(ShotStarted(100 + 1200 * n, 0, n, 0, "u1", 4200) for n in range(10))), {})
        self.assertEqual(self.broken(runs, ShotStarted(5 * SECOND, 0, 1, 0, "u1", 900_000)), {})  # warm by then
        self.assertEqual(self.broken(runs, Unit(200, "u1", 1, "a", "fell", 2.0, 0.5, 4 * SECOND)), {"cold": 1})

    def test_exposure_beyond_the_cap_in_the_span_is_a_breach(self) -> None:
        lines = [take(number) for number in range(20)]
        news = [News(0, 0, 2, 0, "on trial", 0.2), EntryReceived(0, 0, "u2", 2, "open", 0)]
        for many, found in ((5, {}), (6, {"exposure": 1})):
            self.assertEqual(
                self.broken(
                    *news,
                    *lines,
                    *(shot(number, 10, unit="u2", build=2) for number in range(many)),
                    *(InvocationEnded(20, 0, number, "served") for number in range(20)),
                ),
                found,
            )

    def test_the_cap_binds_neither_a_released_build_nor_a_trial_at_another_relay(self) -> None:
        lines = [
            take(1),
            take(2),
            take(3),
            *(shot(number, 10, unit="u2", build=2) for number in (1, 2, 3)),
            *(InvocationEnded(20, 0, number, "served") for number in (1, 2, 3)),
        ]
        self.assertEqual(self.broken(News(0, 0, 2, 0, "released", 1.0), *lines), {})
        self.assertEqual(self.broken(News(0, 0, 2, 0, "on trial", 0.0), *lines), {"exposure": 2})
        self.assertEqual(self.broken(News(0, 1, 2, 0, "on trial", 0.0), *lines), {})

    def test_a_lowered_cap_binds_after_the_grace_for_shots_sent_from_then_on(self) -> None:
        news = [News(0, 0, 2, 0, "on trial", 1.0)]
        early = [
            line
            for number in range(5)
            for line in (take(number, 100), shot(number, 100, build=2), InvocationEnded(120, 0, number, "served"))
        ]
        lower = News(200, 0, 2, 0, "going back", 0.0)
        late = [
            line
            for number in (10, 11)
            for line in (
                take(number, 300 + SECOND),
                shot(number, 300 + SECOND, build=2),
                InvocationEnded(300 + SECOND, 0, number, "served"),
            )
        ]
        self.assertEqual(self.broken(*news, *early, lower), {})
        self.assertEqual(self.broken(*news, *early, lower, *late), {"exposure": 1})  # one is free

    def test_a_relay_that_restarts_knows_nothing_from_before(self) -> None:
        self.assertEqual(
            self.broken(
                EntryReceived(0, 0, "u1", 1, "draining", 0),
                RelayEvent(10, 0, "up"),
                take(1, 3 * SECOND),
                shot(1, 3 * SECOND),
                InvocationEnded(3 * SECOND, 0, 1, "served"),
            ),
            {},
        )


if __name__ == "__main__":
    unittest.main()
