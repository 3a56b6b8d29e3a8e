"""The simulated environment without I/O: units, draws, unit list, platform, fleet, clients and network."""

import unittest

from hypothesis import given, settings, strategies as st

from tealsail.world import random_draws
from tealsail.world.builds import Build
from tealsail.world.clients import NUMBERS_PER_STREAM, NUMBERS_PER_TRY, ClientBehaviour, Clients, Workload
from tealsail.world.fleet import Fleet, FleetLayout
from tealsail.world.network import Network, NetworkPaths, NoteFault
from tealsail.world.platform import Platform, RolloutPlan
from tealsail.world.unit import NEVER, IncomingShot, Unit, UnitKind
from tealsail.world.unit_list import Entry, UnitList

MS = 10  # tenths of a ms
SECOND = 10_000  # tenths of a ms
TEN_MS = random_draws.QuantileTable((100, 100))
settings.register_profile("ci", max_examples=60, derandomize=True, deadline=None)
settings.load_profile("ci")


class UnitHarness:
    """A unit and what came of its shots; each invocation takes 10 ms of one core."""

    def __init__(self, build: Build = Build(1), started: int = 0, works: tuple = (TEN_MS,), **kind) -> None:
        self.unit = Unit(
            "u1", 1, build, UnitKind(**{"cores": 1.0, "slots": 4, "room": 2} | kind), 1.0, "a", 0, started, works, 7
        )
        self.ended: dict[object, tuple[int, str]] = {}  # ref -> when, outcome

    def take(self, now: int, *refs: object) -> "UnitHarness":
        for ref in refs:
            self.unit.take(now, IncomingShot(ref, int(ref), 0))
        return self.collect(now)

    def collect(self, now: int) -> "UnitHarness":
        for ref, outcome in self.unit.outcomes:
            self.ended[ref] = now, outcome
        self.unit.outcomes = []
        return self

    def run_until(self, end: int) -> "UnitHarness":
        while self.unit.due <= end:
            due = self.unit.due
            self.unit.wake(due)
            self.collect(due)
        return self


class Units(unittest.TestCase):
    def test_one_core_is_shared_evenly_by_the_shots_in_work(self) -> None:
        harness = UnitHarness().take(0, 1)
        harness.take(50, 2).run_until(SECOND)  # 1 has 5 ms left, shared with 2 for 10 ms; then 2 alone for 5
        self.assertEqual(harness.ended, {1: (150, "served"), 2: (200, "served")})

    def test_two_cores_work_on_two_shots_at_full_speed(self) -> None:
        harness = UnitHarness(cores=2.0).take(0, 1, 2).run_until(SECOND)
        self.assertEqual({at for at, _ in harness.ended.values()}, {100})

    def test_a_shot_beyond_the_queue_is_turned_away_and_does_not_run(self) -> None:
        harness = UnitHarness().take(0, *range(7))
        self.assertEqual(harness.ended, {6: (0, "full")})
        self.assertEqual(len(harness.unit.taken), 6)
        harness.run_until(SECOND)
        self.assertEqual([outcome for _, outcome in harness.ended.values()].count("served"), 6)

    def test_a_draining_unit_finishes_its_shots_and_takes_no_new_ones(self) -> None:
        harness = UnitHarness().take(0, 1)
        harness.unit.drain(10)
        harness.take(20, 2).run_until(SECOND)
        self.assertEqual(harness.ended, {2: (20, "full"), 1: (100, "served")})

    def test_a_hung_unit_takes_shots_and_ends_none_until_it_is_mended(self) -> None:
        harness = UnitHarness().take(0, 1)
        harness.unit.hang(40)
        harness.take(50, 2)
        self.assertEqual(harness.unit.due, NEVER)
        harness.unit.hang(1040, False)
        harness.run_until(SECOND)
        self.assertEqual(harness.ended[1][0], 1040 + 120)
        self.assertEqual(harness.ended[2][0], 1040 + 160)

    def test_a_unit_that_dies_resets_the_shots_it_holds(self) -> None:
        harness = UnitHarness().take(0, 1, 2)
        harness.unit.die(30)
        harness.collect(30).run_until(SECOND)
        self.assertEqual(harness.ended, {1: (30, "reset"), 2: (30, "reset")})
        self.assertEqual(harness.take(40, 3).ended[3], (40, "reset"))

    def test_work_that_nobody_waits_for_is_stopped_only_by_units_that_do_so(self) -> None:
        for stops, end in ((True, 150), (False, 200)):
            harness = UnitHarness(stops=stops).take(0, 1, 2)
            harness.unit.stop(50 * 2, 1)  # half done: each has had 5 ms
            harness.run_until(SECOND)
            self.assertEqual(harness.ended[2][0], end)

    def test_a_cold_unit_is_slow_and_warms_up_linearly(self) -> None:
        harness = UnitHarness(started=SECOND, cold_from=0.25, warm_up=4 * SECOND)
        self.assertEqual([harness.unit.warmth(at * SECOND) for at in (1, 3, 5)], [0.25, 0.625, 1.0])
        harness.take(SECOND, 1).run_until(5 * SECOND)
        self.assertAlmostEqual(harness.ended[1][0] - SECOND, 400, delta=8)

    def test_an_overloaded_cold_unit_crashes_and_a_warm_one_does_not(self) -> None:
        for started, fell in ((SECOND, True), (0, False)):
            harness = UnitHarness(started=started, fall_multiple=2.0, fall_span=SECOND // 2, slots=500, room=500)
            for number in range(100):  # 200 ms of work where 150 can be done, twice over
                harness.take(SECOND + number * 40, number)
            self.assertEqual(harness.unit.crashed, fell)

    def test_a_build_that_fails_only_when_its_unit_is_busy(self) -> None:
        bad = Build(2, errors=1.0, above=3.0)
        self.assertEqual(UnitHarness(bad).take(0, 1, 2).run_until(SECOND).ended[1][1], "served")
        crowded = UnitHarness(bad).take(0, 1, 2, 3, 4).run_until(SECOND).ended
        self.assertEqual({outcome for _, outcome in crowded.values()}, {"served", "error"})

    def test_a_build_whose_fault_begins_at_an_age_of_its_unit(self) -> None:
        late = Build(2, errors=1.0, turns=(5 * SECOND, 11 * SECOND))
        first = []
        for mark in range(40):
            unit = Unit("u", mark, late, UnitKind(), 1.0, "a", 0, SECOND, [TEN_MS], 7)
            ages = [age for age in range(0, 13) if late.is_faulty(0, age * SECOND, 0.0, 7, unit.identity)]
            first.append(ages[0])
            self.assertEqual(ages, list(range(ages[0], 13)))  # for good
        self.assertTrue(5 <= min(first) < 7 and 9 < max(first) <= 11, first)

    def test_a_build_that_fails_one_workload_and_one_with_wrong_answers(self) -> None:
        only = UnitHarness(Build(2, errors=1.0, only=1), works=[TEN_MS, TEN_MS])
        only.unit.take(0, IncomingShot("x", 1, 0))
        only.unit.take(0, IncomingShot("y", 2, 1))
        only.run_until(SECOND)
        self.assertEqual((only.ended["x"][1], only.ended["y"][1]), ("served", "error"))
        self.assertEqual(UnitHarness(Build(2, wrong=1.0)).take(0, 1).run_until(SECOND).ended[1][1], "wrong")

    def test_load_reports_are_periodic_and_delayed(self) -> None:
        harness = UnitHarness(report_every=100, report_delay=50).take(0, 1, 2, 3)
        self.assertIsNone(harness.unit.load(20))
        self.assertEqual(harness.unit.load(60), {"util": 1.0, "queue": 0.0})
        harness.run_until(SECOND)
        self.assertEqual(harness.unit.load(SECOND)["queue"], 0.0)

    @given(
        st.lists(st.tuples(st.integers(0, 3000), st.integers(0, 999)), min_size=1, max_size=25, unique=True),
        st.floats(0.5, 4.0),
        st.integers(1, 8),
    )
    def test_no_work_is_lost_or_created_in_any_order_of_shots(self, asked, cores, slots) -> None:
        harness = UnitHarness(cores=cores, slots=slots, room=100, works=[random_draws.lognormal(100, 1.0)])
        for at, number in sorted(asked):
            harness.run_until(at)
            harness.take(at, number * 10_000 + at)
        harness.run_until(100 * SECOND)
        self.assertEqual(len(harness.ended), len(asked))
        self.assertEqual(harness.unit.jobs, {})
        work, last = sum(work for _, work in harness.unit.taken), max(at for at, _ in harness.ended.values())
        self.assertGreaterEqual(
            last - min(at for at, _ in asked) + len(asked) + 1, work / min(cores, slots, len(asked)) - 1
        )


class RandomDraws(unittest.TestCase):
    def test_a_lognormal_table_keeps_its_mean_and_an_empirical_one_its_quantiles(self) -> None:
        table = random_draws.lognormal(300, 0.6)
        seen = [table.at(random_draws.uniform(3, random_draws.WORK, number)) for number in range(20_000)]
        self.assertAlmostEqual(sum(seen) / len(seen), 300, delta=6)
        again = random_draws.empirical(seen)
        self.assertAlmostEqual(again.at(0.5), table.at(0.5), delta=5)
        self.assertAlmostEqual(again.mean, 300, delta=8)

    def test_draws_for_different_purposes_are_uncorrelated(self) -> None:
        one, other = (
            [random_draws.uniform(3, purpose, number) for number in range(2000)]
            for purpose in (random_draws.WORK, random_draws.OUTCOME)
        )
        mean = [sum(each) / len(each) for each in (one, other)]
        together = sum(a * b for a, b in zip(one, other)) / len(one) - mean[0] * mean[1]
        self.assertLess(abs(together) * 12, 0.08)
        self.assertTrue(all(abs(each - 0.5) < 0.02 for each in mean))


class UnitLists(unittest.TestCase):
    def entry(self, name: str, state: str = "open", build: int = 1) -> Entry:
        return Entry(name, build, state, "a", 0, 1.0, 0)

    def test_changes_of_one_round_are_published_together_with_each_unit_once(self) -> None:
        unit_list = UnitList(2_000, 9_000, 3, 7)
        first = unit_list.change(10, self.entry("u1"))
        self.assertEqual(unit_list.change(20, self.entry("u1", "draining")), first)
        unit_list.change(30, self.entry("u2"))
        version, changes = unit_list.take_changes(0, unit_list.version)
        self.assertEqual([(each.name, each.state) for each in changes], [("u1", "draining"), ("u2", "open")])
        self.assertEqual(unit_list.take_changes(0, version), (version, []))
        self.assertTrue(all(2_000 <= lag <= 9_000 for lag in unit_list.lag))

    def test_a_frozen_list_publishes_all_changes_at_the_end(self) -> None:
        unit_list = UnitList(0, 0, 1, 7)
        end = unit_list.freeze(SECOND, 8 * SECOND)
        self.assertGreaterEqual(unit_list.change(2 * SECOND, self.entry("u1")), end)

    def test_the_whole_list_as_of_an_earlier_version(self) -> None:
        unit_list = UnitList(0, 0, 1, 7)
        for entry in (self.entry("u1"), self.entry("u2"), self.entry("u1", "gone")):
            unit_list.change(0, entry)
        self.assertEqual(
            [[each.name for each in unit_list.whole(version)] for version in (1, 2, 3)], [["u1"], ["u1", "u2"], ["u2"]]
        )


class Platforms(unittest.TestCase):
    def setUp(self) -> None:
        self.platform = Platform(RolloutPlan(caps=(0.2, 1.0), shares=(0.5, 1.0), on_votes=2, back_votes=1), 1)

    def running(self, now: int, build: int = 2) -> None:
        self.platform.update_launch(now, build, True)

    def test_a_stage_advances_with_enough_votes_after_its_bake_time(self) -> None:
        platform = self.platform
        platform.offer(0, 2)
        self.running(SECOND)
        self.assertEqual(platform.vote(SECOND, 0, 2, 0, "on"), "ok")
        self.assertEqual(platform.vote(SECOND, 1, 2, 0, "on"), "ok")
        self.assertEqual(platform.state.stage, 0)
        platform.count(2 * SECOND)
        self.assertEqual((platform.state.stage, platform.state.cap), (1, 1.0))
        self.assertEqual([order[0] for order in platform.orders], ["launch", "launch"])
        self.assertEqual(platform.vote(2 * SECOND, 0, 2, 0, "on"), "moot")

    def test_votes_expire_and_each_relay_has_one(self) -> None:
        platform = self.platform
        platform.offer(0, 2)
        self.running(0)
        for at in (0, 10):
            platform.vote(at, 0, 2, 0, "on")
        platform.count(SECOND)
        self.assertEqual(platform.state.stage, 0)
        platform.vote(7 * SECOND, 1, 2, 0, "on")  # the first has run out
        self.assertEqual(platform.state.stage, 0)

    def test_a_build_goes_back_from_trial_and_from_release_until_it_is_withdrawn(self) -> None:
        for released in (False, True):
            self.setUp()
            platform = self.platform
            platform.offer(0, 2)
            for stage in (0, 1) if released else ():
                self.running(stage * 3 * SECOND + 1)
                for relay in (0, 1):
                    platform.vote(stage * 3 * SECOND + 2, relay, 2, stage, "on")
                platform.count(stage * 3 * SECOND + 2 * SECOND)
            self.assertEqual(platform.state.phase, "released" if released else "on trial")
            platform.vote(9 * SECOND, 0, 2, platform.state.stage, "back")
            self.assertEqual((platform.state.phase, platform.state.cap, platform.base), ("going back", 0.0, 1))
            platform.complete_rollback(10 * SECOND, 2)
            self.assertEqual((platform.state.phase, platform.released), ("withdrawn", 1))

    def test_the_build_of_the_start_can_not_be_sent_back(self) -> None:
        self.platform.vote(0, 0, 1, 1, "back")
        self.assertEqual(self.platform.state.phase, "released")

    def test_votes_to_a_silent_platform_a_busy_one_and_too_many_votes(self) -> None:
        platform = self.platform
        platform.offer(0, 2)
        platform.silence(0, SECOND)
        self.assertEqual(platform.vote(5, 0, 2, 0, "back"), "nothing")
        platform.make_busy(SECOND, SECOND)
        self.assertEqual(platform.vote(SECOND, 0, 2, 0, "back"), "full")
        answers = [platform.vote(3 * SECOND, relay, 2, 0, "hold") for relay in range(60)]
        self.assertEqual((answers.count("ok"), answers.count("full")), (50, 10))

    def test_a_stage_that_waits_for_votes_alone_is_not_due(self) -> None:
        platform = self.platform
        platform.offer(0, 2)
        self.running(0)
        self.assertEqual(platform.due, SECOND)
        platform.count(SECOND)
        self.assertEqual(platform.due, NEVER)


class Fleets(unittest.TestCase):
    def fleet(self, **layout) -> Fleet:
        return Fleet(
            FleetLayout(**{"machines": 6, "start": (SECOND, 2 * SECOND)} | layout),
            UnitKind(),
            {1: Build(1), 2: Build(2)},
            [TEN_MS],
            1,
            7,
        )

    def counts(self, fleet: Fleet) -> dict[int, int]:
        builds = [unit.build.number for unit in fleet.units.values() if not unit.is_draining and not unit.is_dead]
        return {build: builds.count(build) for build in sorted(set(builds))}

    def test_in_place_each_unit_drains_once_its_successor_runs(self) -> None:
        fleet = self.fleet()
        fleet.launch(0, 2, 0.5)
        self.assertFalse(fleet.is_launched(2))
        fleet.wake(SECOND - 1)
        self.assertEqual(self.counts(fleet), {1: 6})
        fleet.wake(2 * SECOND)
        self.assertEqual((self.counts(fleet), fleet.is_launched(2)), ({1: 3, 2: 3}, True))
        fleet.roll_back(3 * SECOND, 2, 1)
        fleet.wake(6 * SECOND)
        self.assertEqual(self.counts(fleet), {1: 6})
        fleet.wake(20 * SECOND)
        self.assertFalse(fleet.has_build(2))

    def test_beside_earlier_units_stay_until_the_release(self) -> None:
        fleet = self.fleet(beside=True)
        fleet.launch(0, 2, 1.0)
        fleet.wake(2 * SECOND)
        self.assertEqual(self.counts(fleet), {1: 6, 2: 6})
        fleet.roll_back(3 * SECOND, 2, 1)
        self.assertEqual(self.counts(fleet), {1: 6})  # at once: nothing has to start
        fleet.launch(9 * SECOND, 2, 1.0)
        fleet.wake(12 * SECOND)
        fleet.release(12 * SECOND, 2)
        self.assertEqual(self.counts(fleet), {2: 6})

    def test_a_launch_that_is_called_off_never_runs(self) -> None:
        fleet = self.fleet()
        fleet.launch(0, 2, 1.0)
        fleet.roll_back(10, 2, 1)
        fleet.wake(5 * SECOND)
        self.assertEqual(self.counts(fleet), {1: 6})

    def test_a_killed_unit_restarts_cold_under_its_name_and_a_dead_one_leaves_the_list(self) -> None:
        fleet = self.fleet(notice=2 * SECOND)
        one, two = list(fleet.units.values())[:2]
        fleet.changes.clear()
        fleet.kill(SECOND, one, SECOND)
        fleet.kill(SECOND, two)
        fleet.wake(2 * SECOND)
        again = fleet.units[one.name]
        self.assertEqual((again is one, again.started, again.warmth(2 * SECOND) < 1), (False, 2 * SECOND, True))
        fleet.wake(9 * SECOND)
        self.assertNotIn(two.name, fleet.units)
        self.assertEqual([(each.name, each.state) for each in fleet.changes], [(one.name, "open"), (two.name, "gone")])

    def test_faults_select_units_of_a_zone_or_a_build_and_the_same_ones_each_time(self) -> None:
        fleet = self.fleet(zones=("a", "b"))
        chosen = fleet.select(2, 0.0, "b", -1, 5)
        self.assertEqual({unit.zone for unit in chosen}, {"b"})
        self.assertEqual(chosen, fleet.select(2, 0.0, "b", -1, 5))
        self.assertEqual(len(fleet.select(0, 0.5, "", 1, 0)), 3)
        self.assertEqual(fleet.select(0, 1.0, "", 2, 0), [])


class ClientArrivals(unittest.TestCase):
    def clients(self, **behaviour) -> Clients:
        return Clients(
            ClientBehaviour(**{"rate": 100.0} | behaviour),
            [Workload("a", "harmless", 0.75, 100, 20_000, 1.0), Workload("b", "one-shot", 0.25, 100, 20_000, 1.0)],
            [0.2, 0.8],
            4,
            60 * SECOND,
            7,
        )

    def all(self, clients: Clients) -> list:
        found = []
        while clients.due is not None:
            found.append(clients.next())
        return found

    def test_arrivals_are_in_order_at_their_rate_and_mix(self) -> None:
        found = self.all(self.clients())
        self.assertEqual(found, sorted(found, key=lambda each: each.at))
        self.assertAlmostEqual(len(found) / 6000, 1, delta=0.04)
        self.assertAlmostEqual(sum(each.workload for each in found) / len(found), 0.25, delta=0.03)
        self.assertAlmostEqual(sum(each.customer for each in found) / len(found), 0.8, delta=0.03)

    def test_a_surge_of_one_customer_leaves_all_other_arrivals_unchanged(self) -> None:
        calm, clients = self.all(self.clients()), self.clients()
        clients.surge(0, 5.0, 20 * SECOND, 30 * SECOND)
        found = self.all(clients)
        more = [each for each in found if each not in calm]
        self.assertEqual([each for each in found if each in calm], calm)
        self.assertEqual({each.customer for each in more}, {0})
        self.assertTrue(all(20 * SECOND <= each.at < 30 * SECOND for each in more))
        self.assertAlmostEqual(len(more) / (100 * 0.2 * 4 * 10), 1, delta=0.1)

    def test_traffic_is_skewed_towards_the_first_relay(self) -> None:
        heavy = [each.relay for each in self.all(self.clients(skew=2.0))]
        self.assertGreater(heavy.count(0) / len(heavy), 0.65)

    def test_repeats_back_off_and_never_repeat_what_must_not_run_twice(self) -> None:
        clients = self.clients(most_repeats=2, repeat_after=1000)
        first = next(each for each in self.all(clients) if each.workload == 0)
        again = clients.answered(first.at + 10, first, "rejected", 0)
        self.assertEqual(
            (again.number, again.first, again.repeat), (first.number + NUMBERS_PER_TRY, first.number, True)
        )
        third = clients.answered(again.at, again, "forfeited", 0)
        self.assertIsNone(clients.answered(third.at, third, "rejected", 0))
        self.assertIsNone(clients.answered(first.at, first._replace(workload=1), "forfeited", 0))
        self.assertIsNotNone(clients.answered(first.at, first._replace(workload=1), "rejected", 0))
        self.assertIsNone(clients.answered(first.give_up - 1, first, "rejected", 0))
        self.assertGreaterEqual(clients.answered(first.at, first, "rejected", 9_000).at, first.at + 9_000)
        self.assertEqual(first.first % NUMBERS_PER_TRY // NUMBERS_PER_STREAM, first.relay)


class RetryAfter(unittest.TestCase):
    def test_clients_read_the_retry_after_of_a_rejection(self) -> None:
        """Guards against clients that repeat at once after a rejection: in a surge they would be served too well."""
        from tealsail.lab.loopback.clients import read_retry_after
        from tealsail.net.messages import error_response

        self.assertEqual(
            [read_retry_after(error_response("53300", "no", after)[5:]) for after in (None, 500)], [0, 5000]
        )


class Networks(unittest.TestCase):
    def test_cuts_and_silences_end_and_notes_are_lost_at_their_rate(self) -> None:
        network = Network(NetworkPaths(distances={("a", "b"): 120}), ["a", "b"], 7)
        self.assertEqual((network.delay(0, "a"), network.delay(0, "b"), network.delay(1, "a")), (2, 120, 120))
        network.zone_cuts[0, "b"], network.silent_units["u1"] = SECOND, 2 * SECOND
        self.assertEqual([network.reaches(at, 0, "u2", "b") for at in (0, SECOND)], [False, True])
        self.assertEqual([network.reaches(at, 1, "u1", "a") for at in (0, 2 * SECOND)], [False, True])
        network.note_faults.append(NoteFault("lost", SECOND, 0.5))
        lost = sum(not network.note(0, 0, 1) for _ in range(1000))
        self.assertAlmostEqual(lost / 1000, 0.5, delta=0.06)
        self.assertEqual(sum(not network.note(SECOND, 0, 1) for _ in range(100)), 0)


if __name__ == "__main__":
    unittest.main()
