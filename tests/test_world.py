"""The stand-ins without I/O: a story for each thing that they must do as real ones do."""

import unittest

from hypothesis import given, settings, strategies as st
from tealsail.world.platform import Desk, Plan
from tealsail.world.unit_list import Entry, Roster

from tealsail.world import random_draws
from tealsail.world.builds import Build
from tealsail.world.clients import STREAM, TRY, Clients, Habits, Workload
from tealsail.world.fleet import Fleet, Layout
from tealsail.world.network import Network, Paths, Trouble
from tealsail.world.unit import NEVER, Asked, Kind, Unit

MS, SECOND = 10, 10_000
TEN_MS = draws.Table((100, 100))
settings.register_profile("ci", max_examples=60, derandomize=True, deadline=None)
settings.load_profile("ci")


class Machine:
    """A unit and its clock; each invocation takes 10 ms of one core."""

    def __init__(self, build: Build = Build(1), started: int = 0, works: tuple = (TEN_MS,), **kind) -> None:
        self.unit = Unit(
            "u1", 1, build, Kind(**{"cores": 1.0, "slots": 4, "room": 2} | kind), 1.0, "a", 0, started, works, 7
        )
        self.ended: dict[object, tuple[int, str]] = {}

    def take(self, now: int, *refs: object) -> "Machine":
        for ref in refs:
            self.unit.take(now, Asked(ref, int(ref), 0))
        return self.hear(now)

    def hear(self, now: int) -> "Machine":
        for ref, outcome in self.unit.said:
            self.ended[ref] = now, outcome
        self.unit.said = []
        return self

    def until(self, end: int) -> "Machine":
        while self.unit.due <= end:
            due = self.unit.due
            self.unit.wake(due)
            self.hear(due)
        return self


class Units(unittest.TestCase):
    def test_one_core_is_shared_evenly_by_what_is_in_work(self) -> None:
        machine = Machine().take(0, 1)
        machine.take(50, 2).until(SECOND)  # 1 has 5 ms left, shared with 2 for 10 ms; then 2 alone for 5
        self.assertEqual(machine.ended, {1: (150, "served"), 2: (200, "served")})

    def test_two_cores_work_on_two_at_full_speed(self) -> None:
        machine = Machine(cores=2.0).take(0, 1, 2).until(SECOND)
        self.assertEqual({at for at, _ in machine.ended.values()}, {100})

    def test_what_finds_no_room_is_turned_away_and_runs_nothing(self) -> None:
        machine = Machine().take(0, *range(7))
        self.assertEqual(machine.ended, {6: (0, "full")})
        self.assertEqual(len(machine.unit.taken), 6)
        machine.until(SECOND)
        self.assertEqual([outcome for _, outcome in machine.ended.values()].count("served"), 6)

    def test_a_draining_unit_finishes_what_it_has_and_takes_nothing_new(self) -> None:
        machine = Machine().take(0, 1)
        machine.unit.drain(10)
        machine.take(20, 2).until(SECOND)
        self.assertEqual(machine.ended, {2: (20, "full"), 1: (100, "served")})

    def test_a_hung_unit_takes_and_ends_nothing_until_it_is_mended(self) -> None:
        machine = Machine().take(0, 1)
        machine.unit.hang(40)
        machine.take(50, 2)
        self.assertEqual(machine.unit.due, NEVER)
        machine.unit.hang(1040, False)
        machine.until(SECOND)
        self.assertEqual(machine.ended[1][0], 1040 + 120)
        self.assertEqual(machine.ended[2][0], 1040 + 160)

    def test_a_death_resets_what_is_held(self) -> None:
        machine = Machine().take(0, 1, 2)
        machine.unit.die(30)
        machine.hear(30).until(SECOND)
        self.assertEqual(machine.ended, {1: (30, "reset"), 2: (30, "reset")})
        self.assertEqual(machine.take(40, 3).ended[3], (40, "reset"))

    def test_work_that_nobody_waits_for_stops_only_where_that_is_its_habit(self) -> None:
        for stops, end in ((True, 150), (False, 200)):
            machine = Machine(stops=stops).take(0, 1, 2)
            machine.unit.stop(50 * 2, 1)  # half done: each has had 5 ms
            machine.until(SECOND)
            self.assertEqual(machine.ended[2][0], end)

    def test_a_cold_unit_is_slow_and_warms_evenly(self) -> None:
        machine = Machine(started=SECOND, cold_from=0.25, warm_up=4 * SECOND)
        self.assertEqual([machine.unit.warmth(at * SECOND) for at in (1, 3, 5)], [0.25, 0.625, 1.0])
        machine.take(SECOND, 1).until(5 * SECOND)
        self.assertAlmostEqual(machine.ended[1][0] - SECOND, 400, delta=8)

    def test_a_cold_unit_that_is_sent_too_much_falls_over_and_a_warm_one_does_not(self) -> None:
        for started, fell in ((SECOND, True), (0, False)):
            machine = Machine(started=started, fall_multiple=2.0, fall_span=SECOND // 2, slots=500, room=500)
            for number in range(100):  # 200 ms of work where 150 can be done, twice over
                machine.take(SECOND + number * 40, number)
            self.assertEqual(machine.unit.fell, fell)

    def test_a_build_that_fails_only_when_its_unit_is_busy(self) -> None:
        bad = Build(2, errors=1.0, above=3.0)
        self.assertEqual(Machine(bad).take(0, 1, 2).until(SECOND).ended[1][1], "served")
        crowded = Machine(bad).take(0, 1, 2, 3, 4).until(SECOND).ended
        self.assertEqual({outcome for _, outcome in crowded.values()}, {"served", "error"})

    def test_a_build_that_turns_bad_some_seconds_after_its_units_start(self) -> None:
        late = Build(2, errors=1.0, turns=(5 * SECOND, 11 * SECOND))
        first = []
        for mark in range(40):
            unit = Unit("u", mark, late, Kind(), 1.0, "a", 0, SECOND, [TEN_MS], 7)
            ages = [age for age in range(0, 13) if late.acts(0, age * SECOND, 0.0, 7, unit.mark)]
            first.append(ages[0])
            self.assertEqual(ages, list(range(ages[0], 13)))  # for good
        self.assertTrue(5 <= min(first) < 7 and 9 < max(first) <= 11, first)

    def test_a_build_that_fails_one_workload_and_one_whose_answers_are_wrong(self) -> None:
        only = Machine(Build(2, errors=1.0, only=1), works=[TEN_MS, TEN_MS])
        only.unit.take(0, Asked("x", 1, 0))
        only.unit.take(0, Asked("y", 2, 1))
        only.until(SECOND)
        self.assertEqual((only.ended["x"][1], only.ended["y"][1]), ("served", "error"))
        self.assertEqual(Machine(Build(2, wrong=1.0)).take(0, 1).until(SECOND).ended[1][1], "wrong")

    def test_reports_are_refreshed_now_and_then_and_come_late(self) -> None:
        machine = Machine(report_every=100, report_delay=50).take(0, 1, 2, 3)
        self.assertIsNone(machine.unit.load(20))
        self.assertEqual(machine.unit.load(60), {"util": 1.0, "queue": 0.0})
        machine.until(SECOND)
        self.assertEqual(machine.unit.load(SECOND)["queue"], 0.0)

    @given(
        st.lists(st.tuples(st.integers(0, 3000), st.integers(0, 999)), min_size=1, max_size=25, unique=True),
        st.floats(0.5, 4.0),
        st.integers(1, 8),
    )
    def test_no_work_is_lost_or_made_whatever_the_order(self, asked, cores, slots) -> None:
        machine = Machine(cores=cores, slots=slots, room=100, works=[draws.lognormal(100, 1.0)])
        for at, number in sorted(asked):
            machine.until(at)
            machine.take(at, number * 10_000 + at)
        machine.until(100 * SECOND)
        self.assertEqual(len(machine.ended), len(asked))
        self.assertEqual(machine.unit.jobs, {})
        work, last = sum(work for _, work in machine.unit.taken), max(at for at, _ in machine.ended.values())
        self.assertGreaterEqual(
            last - min(at for at, _ in asked) + len(asked) + 1, work / min(cores, slots, len(asked)) - 1
        )


class Draws(unittest.TestCase):
    def test_a_lognormal_keeps_its_mean_and_an_empirical_table_its_quantiles(self) -> None:
        table = draws.lognormal(300, 0.6)
        seen = [table.at(draws.share(3, draws.WORK, number)) for number in range(20_000)]
        self.assertAlmostEqual(sum(seen) / len(seen), 300, delta=6)
        again = draws.empirical(seen)
        self.assertAlmostEqual(again.at(0.5), table.at(0.5), delta=5)
        self.assertAlmostEqual(again.mean, 300, delta=8)

    def test_draws_for_one_purpose_say_nothing_of_another(self) -> None:
        one, other = (
            [draws.share(3, purpose, number) for number in range(2000)] for purpose in (draws.WORK, draws.FATE)
        )
        mean = [sum(each) / len(each) for each in (one, other)]
        together = sum(a * b for a, b in zip(one, other)) / len(one) - mean[0] * mean[1]
        self.assertLess(abs(together) * 12, 0.08)
        self.assertTrue(all(abs(each - 0.5) < 0.02 for each in mean))


class Lists(unittest.TestCase):
    def entry(self, name: str, state: str = "open", build: int = 1) -> Entry:
        return Entry(name, build, state, "a", 0, 1.0, 0)

    def test_changes_of_one_round_go_together_and_each_unit_once(self) -> None:
        roster = Roster(2_000, 9_000, 3, 7)
        first = roster.change(10, self.entry("u1"))
        self.assertEqual(roster.change(20, self.entry("u1", "draining")), first)
        roster.change(30, self.entry("u2"))
        version, news = roster.news(0, roster.version)
        self.assertEqual([(each.name, each.state) for each in news], [("u1", "draining"), ("u2", "open")])
        self.assertEqual(roster.news(0, version), (version, []))
        self.assertTrue(all(2_000 <= lag <= 9_000 for lag in roster.lag))

    def test_a_stale_list_tells_all_at_its_end(self) -> None:
        roster = Roster(0, 0, 1, 7)
        end = roster.stale(SECOND, 8 * SECOND)
        self.assertGreaterEqual(roster.change(2 * SECOND, self.entry("u1")), end)

    def test_the_whole_list_as_of_a_version(self) -> None:
        roster = Roster(0, 0, 1, 7)
        for entry in (self.entry("u1"), self.entry("u2"), self.entry("u1", "gone")):
            roster.change(0, entry)
        self.assertEqual(
            [[each.name for each in roster.whole(version)] for version in (1, 2, 3)], [["u1"], ["u1", "u2"], ["u2"]]
        )


class Platforms(unittest.TestCase):
    def setUp(self) -> None:
        self.desk = Desk(Plan(caps=(0.2, 1.0), shares=(0.5, 1.0), on_votes=2, back_votes=1), 1)

    def running(self, now: int, build: int = 2) -> None:
        self.desk.running(now, build, True)

    def test_a_stage_goes_on_with_votes_enough_once_its_clock_has_run(self) -> None:
        desk = self.desk
        desk.offer(0, 2)
        self.running(SECOND)
        self.assertEqual(desk.vote(SECOND, 0, 2, 0, "on"), "ok")
        self.assertEqual(desk.vote(SECOND, 1, 2, 0, "on"), "ok")
        self.assertEqual(desk.state.stage, 0)
        desk.count(2 * SECOND)
        self.assertEqual((desk.state.stage, desk.state.cap), (1, 1.0))
        self.assertEqual([order[0] for order in desk.orders], ["launch", "launch"])
        self.assertEqual(desk.vote(2 * SECOND, 0, 2, 0, "on"), "moot")

    def test_votes_end_with_their_life_and_one_relay_has_one(self) -> None:
        desk = self.desk
        desk.offer(0, 2)
        self.running(0)
        for at in (0, 10):
            desk.vote(at, 0, 2, 0, "on")
        desk.count(SECOND)
        self.assertEqual(desk.state.stage, 0)
        desk.vote(7 * SECOND, 1, 2, 0, "on")  # the first has run out
        self.assertEqual(desk.state.stage, 0)

    def test_back_from_trial_and_from_the_release_until_nothing_of_it_is_left(self) -> None:
        for released in (False, True):
            self.setUp()
            desk = self.desk
            desk.offer(0, 2)
            for stage in (0, 1) if released else ():
                self.running(stage * 3 * SECOND + 1)
                for relay in (0, 1):
                    desk.vote(stage * 3 * SECOND + 2, relay, 2, stage, "on")
                desk.count(stage * 3 * SECOND + 2 * SECOND)
            self.assertEqual(desk.state.phase, "released" if released else "on trial")
            desk.vote(9 * SECOND, 0, 2, desk.state.stage, "back")
            self.assertEqual((desk.state.phase, desk.state.cap, desk.base), ("going back", 0.0, 1))
            desk.gone_back(10 * SECOND, 2)
            self.assertEqual((desk.state.phase, desk.released), ("withdrawn", 1))

    def test_what_stood_at_the_start_can_not_be_sent_back(self) -> None:
        self.desk.vote(0, 0, 1, 1, "back")
        self.assertEqual(self.desk.state.phase, "released")

    def test_a_silent_and_a_busy_platform_and_too_many_calls(self) -> None:
        desk = self.desk
        desk.offer(0, 2)
        desk.silence(0, SECOND)
        self.assertEqual(desk.vote(5, 0, 2, 0, "back"), "nothing")
        desk.busy(SECOND, SECOND)
        self.assertEqual(desk.vote(SECOND, 0, 2, 0, "back"), "full")
        answers = [desk.vote(3 * SECOND, relay, 2, 0, "hold") for relay in range(60)]
        self.assertEqual((answers.count("ok"), answers.count("full")), (50, 10))

    def test_a_clock_that_waits_for_votes_asks_for_no_more_wakes(self) -> None:
        desk = self.desk
        desk.offer(0, 2)
        self.running(0)
        self.assertEqual(desk.due, SECOND)
        desk.count(SECOND)
        self.assertEqual(desk.due, NEVER)


class Fleets(unittest.TestCase):
    def fleet(self, **layout) -> Fleet:
        return Fleet(
            Layout(**{"places": 6, "start": (SECOND, 2 * SECOND)} | layout),
            Kind(),
            {1: Build(1), 2: Build(2)},
            [TEN_MS],
            1,
            7,
        )

    def counts(self, fleet: Fleet) -> dict[int, int]:
        builds = [unit.build.number for unit in fleet.units.values() if not unit.draining and not unit.dead]
        return {build: builds.count(build) for build in sorted(set(builds))}

    def test_in_place_each_machine_drains_once_its_successor_runs(self) -> None:
        fleet = self.fleet()
        fleet.launch(0, 2, 0.5)
        self.assertFalse(fleet.all_run(2))
        fleet.wake(SECOND - 1)
        self.assertEqual(self.counts(fleet), {1: 6})
        fleet.wake(2 * SECOND)
        self.assertEqual((self.counts(fleet), fleet.all_run(2)), ({1: 3, 2: 3}, True))
        fleet.back(3 * SECOND, 2, 1)
        fleet.wake(6 * SECOND)
        self.assertEqual(self.counts(fleet), {1: 6})
        fleet.wake(20 * SECOND)
        self.assertFalse(fleet.left(2))

    def test_beside_the_earlier_units_stay_until_the_release(self) -> None:
        fleet = self.fleet(beside=True)
        fleet.launch(0, 2, 1.0)
        fleet.wake(2 * SECOND)
        self.assertEqual(self.counts(fleet), {1: 6, 2: 6})
        fleet.back(3 * SECOND, 2, 1)
        self.assertEqual(self.counts(fleet), {1: 6})  # at once: nothing has to start
        fleet.launch(9 * SECOND, 2, 1.0)
        fleet.wake(12 * SECOND)
        fleet.release(12 * SECOND, 2)
        self.assertEqual(self.counts(fleet), {2: 6})

    def test_a_launch_that_is_called_back_never_runs(self) -> None:
        fleet = self.fleet()
        fleet.launch(0, 2, 1.0)
        fleet.back(10, 2, 1)
        fleet.wake(5 * SECOND)
        self.assertEqual(self.counts(fleet), {1: 6})

    def test_a_killed_unit_comes_back_cold_under_its_name_and_a_dead_one_leaves_the_list(self) -> None:
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

    def test_faults_hit_units_of_a_zone_or_a_build_and_the_same_ones_each_time(self) -> None:
        fleet = self.fleet(zones=("a", "b"))
        chosen = fleet.chosen(2, 0.0, "b", -1, 5)
        self.assertEqual({unit.zone for unit in chosen}, {"b"})
        self.assertEqual(chosen, fleet.chosen(2, 0.0, "b", -1, 5))
        self.assertEqual(len(fleet.chosen(0, 0.5, "", 1, 0)), 3)
        self.assertEqual(fleet.chosen(0, 1.0, "", 2, 0), [])


class Crowds(unittest.TestCase):
    def clients(self, **habits) -> Clients:
        return Clients(
            Habits(**{"rate": 100.0} | habits),
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

    def test_arrivals_come_in_order_at_their_rate_and_mix(self) -> None:
        found = self.all(self.clients())
        self.assertEqual(found, sorted(found, key=lambda each: each.at))
        self.assertAlmostEqual(len(found) / 6000, 1, delta=0.04)
        self.assertAlmostEqual(sum(each.workload for each in found) / len(found), 0.25, delta=0.03)
        self.assertAlmostEqual(sum(each.customer for each in found) / len(found), 0.8, delta=0.03)

    def test_a_surge_of_one_customer_leaves_all_other_arrivals_as_they_were(self) -> None:
        calm, clients = self.all(self.clients()), self.clients()
        clients.surge(0, 5.0, 20 * SECOND, 30 * SECOND)
        found = self.all(clients)
        more = [each for each in found if each not in calm]
        self.assertEqual([each for each in found if each in calm], calm)
        self.assertEqual({each.customer for each in more}, {0})
        self.assertTrue(all(20 * SECOND <= each.at < 30 * SECOND for each in more))
        self.assertAlmostEqual(len(more) / (100 * 0.2 * 4 * 10), 1, delta=0.1)

    def test_skewed_relays_and_an_even_split(self) -> None:
        heavy = [each.relay for each in self.all(self.clients(skew=2.0))]
        self.assertGreater(heavy.count(0) / len(heavy), 0.65)

    def test_repeats_wait_longer_each_time_and_never_what_must_not_run_twice(self) -> None:
        clients = self.clients(most_repeats=2, repeat_after=1000)
        first = next(each for each in self.all(clients) if each.workload == 0)
        again = clients.answered(first.at + 10, first, "rejected", 0)
        self.assertEqual((again.number, again.first, again.repeat), (first.number + TRY, first.number, True))
        third = clients.answered(again.at, again, "forfeited", 0)
        self.assertIsNone(clients.answered(third.at, third, "rejected", 0))
        self.assertIsNone(clients.answered(first.at, first._replace(workload=1), "forfeited", 0))
        self.assertIsNotNone(clients.answered(first.at, first._replace(workload=1), "rejected", 0))
        self.assertIsNone(clients.answered(first.give_up - 1, first, "rejected", 0))
        self.assertGreaterEqual(clients.answered(first.at, first, "rejected", 9_000).at, first.at + 9_000)
        self.assertEqual(first.first % TRY // STREAM, first.relay)


class Sockets(unittest.TestCase):
    def test_clients_heed_when_a_rejection_says_to_come_back(self) -> None:
        """Guards against the first real surge's fault: repeats came at once, and service was better than it can be."""
        from tealsail.lab.loopback.clients import read_retry_after
        from tealsail.net.messages import error_response

        self.assertEqual(
            [read_retry_after(error_response("53300", "no", after)[5:]) for after in (None, 500)], [0, 5000]
        )


class Networks(unittest.TestCase):
    def test_cuts_and_silences_end_and_notes_are_lost_at_their_rate(self) -> None:
        network = Network(Paths(distances={("a", "b"): 120}), ["a", "b"], 7)
        self.assertEqual((network.way(0, "a"), network.way(0, "b"), network.way(1, "a")), (2, 120, 120))
        network.cuts[0, "b"], network.silent["u1"] = SECOND, 2 * SECOND
        self.assertEqual([network.reaches(at, 0, "u2", "b") for at in (0, SECOND)], [False, True])
        self.assertEqual([network.reaches(at, 1, "u1", "a") for at in (0, 2 * SECOND)], [False, True])
        network.troubles.append(Trouble("lost", SECOND, 0.5))
        lost = sum(not network.note(0, 0, 1) for _ in range(1000))
        self.assertAlmostEqual(lost / 1000, 0.5, delta=0.06)
        self.assertEqual(sum(not network.note(SECOND, 0, 1) for _ in range(100)), 0)


if __name__ == "__main__":
    unittest.main()
