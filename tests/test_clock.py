"""The monotonic clock: steps of the wall clock, stopped processes, and start times of units."""

import unittest
from random import Random

from hypothesis import assume, given, strategies as st

from tealsail.choices.clock import MIN_GAP_S, Clock, StartTimes
from tealsail.net.discovery import read_list
from tealsail.net.relay import Relay

from .fake import READY, ROW, Reactor, client_query, message
from .test_relay import (
    JSONRPC_PORT,
    LIST_PORT,
    UNIT_PORT,
    RelayInMemory as RelayStory,
    config,
    listing,
    read_configuration,
    reply,
    unit,
)

SECOND, START = 10_000, 1_700_000_000.0
STEPS = st.one_of(st.floats(1, 86_400), st.floats(-86_400, -1))


class FakeClocks:
    """A steady and a wall clock that a test sets, and the Clock that reads them."""

    def __init__(self) -> None:
        self.steady, self.wall, self.gaps = 50.0, START, []
        self.clock = Clock(lambda: self.steady, lambda: self.wall, self.gaps.append)

    def run(self, seconds: float) -> None:
        for _ in range(round(2 * seconds)):
            self.steady, self.wall = self.steady + 0.5, self.wall + 0.5
            self.clock()


class MonotonicTime(unittest.TestCase):
    @given(STEPS)
    def test_a_step_of_the_wall_clock_moves_no_time_and_is_noticed_once(self, step) -> None:
        clocks = FakeClocks()
        clocks.run(3)
        clocks.clock.measure_step()
        before = clocks.clock()
        clocks.wall += step
        self.assertEqual(clocks.clock(), before)
        self.assertAlmostEqual(clocks.clock.measure_step(), step, delta=1e-3)
        clocks.run(5)
        self.assertEqual((clocks.clock.measure_step(), clocks.clock() - before, clocks.gaps), (0.0, 5 * SECOND, []))

    def test_what_waited_while_nothing_ran_came_as_long_ago_as_the_kernel_says(self) -> None:
        """Guards against a request that has its whole time again, since it was read late by a process that stood still,
        and against one that loses time since the process was only idle."""
        clocks = FakeClocks()
        self.run_in_small_steps(clocks)
        self.assertEqual(clocks.clock.arrival(0.4), clocks.clock())  # nothing stood still
        clocks.steady += 1.0
        clocks.clock()
        self.assertTrue(clocks.clock.may_have_waited())
        clocks.steady += 0.01
        now = clocks.clock()
        for age, waited in ((0.005, 0), (0.05, 0), (0.4, 4_000), (30.0, 10_100)):
            self.assertAlmostEqual(now - clocks.clock.arrival(age), waited, delta=1)
        clocks.steady += 0.09
        self.assertEqual(clocks.clock.arrival(0.08), clocks.clock())  # it came after that
        self.run_in_small_steps(clocks)
        self.assertFalse(clocks.clock.may_have_waited())

    def run_in_small_steps(self, clocks: FakeClocks) -> None:
        for _ in range(40):
            clocks.steady += 0.05
            clocks.clock()

    def test_a_gap_is_reported_before_the_caller_goes_on(self) -> None:
        clocks = FakeClocks()
        clocks.run(2)
        clocks.steady, clocks.wall = clocks.steady + 30, clocks.wall + 30
        now = clocks.clock()
        self.assertEqual(([round(gap) for gap in clocks.gaps], now), ([30], int((START + 32) * SECOND)))
        clocks.run(MIN_GAP_S)
        self.assertEqual(len(clocks.gaps), 1)

    @given(STEPS, st.floats(2, 3600))
    def test_a_units_start_keeps_its_first_conversion_and_a_later_start_is_converted_by_the_later_clock(
        self, step, age
    ) -> None:
        clocks = FakeClocks()
        starts = StartTimes(clocks.clock)
        started = int((clocks.wall - age) * SECOND)
        first = starts.start_time(7, started)
        clocks.wall += step
        clocks.clock.measure_step()
        self.assertEqual(starts.start_time(7, started), first)  # not restarted
        again = int((clocks.wall - 1) * SECOND)
        assume(again != started)
        self.assertAlmostEqual(clocks.clock() - starts.start_time(7, again), SECOND, delta=20)

    def test_a_start_ahead_of_now_counts_as_now(self) -> None:
        clocks = FakeClocks()  # else a clock behind the platform's would keep a unit cold for that long
        self.assertEqual(StartTimes(clocks.clock).start_time(7, int((START + 3600) * SECOND)), clocks.clock())
        self.assertEqual(StartTimes(clocks.clock).start_time(8, 0), 0)

    def test_units_that_left_the_list_are_forgotten(self) -> None:
        starts = StartTimes(FakeClocks().clock)
        for number in range(100):
            starts.start_time(number, 1)
        starts.retain({3, 500})
        self.assertEqual(set(starts.known), {3})


class ClockSteps(RelayStory):
    """The whole relay, its reactor on a steady clock, and a wall clock that a test sets."""

    def setUp(self) -> None:
        self.reactor, self.ahead = Reactor(), 0.0
        self.relay = Relay(self.reactor, read_configuration(config()), wall=lambda: self.reactor.seconds() + self.ahead)
        self.relay.start()
        self.factory = self.reactor.tcpServers[0][1]

    def test_after_a_step_back_of_an_hour_late_shots_still_time_out(self) -> None:
        """Guards against time that stands still until the wall clock has caught up: no shot timed out, no beat came."""
        client = self.client(client_query(workload="order"))
        wire = self.unit()
        wire.sent()
        self.ahead = -3600.0
        self.wait(0.5)
        wire.settle()
        self.assertIn(b"C58000\0", client.sent())
        beats = self.relay.facade.relay.judge.beat
        self.wait(2)
        self.assertGreaterEqual(self.relay.facade.relay.judge.beat, beats + 3)
        self.assertEqual(self.relay.counters.counts["clock.steps"], 1)

    def test_each_invocation_is_answered_in_time_through_two_hundred_steps_of_a_second_to_a_day(self) -> None:
        client, chance = self.client(client_query()), Random(5)
        wire = self.unit()
        wire.sent()
        wire.feed(ROW + READY)
        self.assertEqual(client.sent(), ROW + READY)
        self.wait(0.1)  # a connection is not reused right after an answer
        for _ in range(200):
            self.ahead += chance.choice((-1, 1)) * 86_400 ** chance.random()
            client.feed(client_query())
            asked = wire.sent()
            if b"id=9b1f" not in asked:  # idle for a while: the relay checks the connection first
                wire.feed(message(b"I", b"") + READY)
                asked = wire.sent()
            self.assertIn(b"id=9b1f", asked)
            wire.feed(ROW + READY)
            self.assertEqual(client.sent(), ROW + READY)
            self.wait(1)
        self.assertGreater(self.relay.counters.counts["clock.steps"], 150)
        self.assertEqual(self.relay.facade.faults, 0)

    def test_after_a_stop_of_the_process_no_earlier_state_is_trusted(self) -> None:
        """A shot that was out when the process stopped is late for that reason: it must not count against its build or
        unit.  Idle connections, the list and the platform's state may be out of date."""
        first = self.client(client_query())
        wire = self.unit()
        wire.sent()
        wire.feed(ROW + READY)
        first.sent()
        self.reactor.complete_connect(LIST_PORT).sent()
        self.reactor.complete_connect(JSONRPC_PORT).sent()
        second = self.client(client_query())
        wire.sent()
        relay = self.relay.facade.relay
        shot = next(iter(relay.known.values())).shots[0]
        shot.group = [0] * 100
        self.reactor.rightNow += 60  # nothing ran
        self.reactor.advance(0)
        self.reactor.advance(0.1)
        self.assertIsNone(shot.group)
        self.assertEqual(shot.unit.ejected_until, 0)  # the unit is not blamed
        wire.settle()
        self.assertIn(b"C", second.sent())
        self.assertEqual(self.relay.counters.counts["clock.gaps"], 1)
        whole = self.reactor.complete_connect(LIST_PORT)
        self.assertTrue(whole.sent().startswith(b"GET /catalog/members HTTP/1.1\r\n"))
        whole.feed(reply(listing(50, True, unit(7002, "s-2"))))
        self.assertEqual(len(relay.units), 1)
        self.reactor.complete_connect(JSONRPC_PORT)

    def test_a_listed_unit_does_not_count_as_restarted_when_the_clock_steps(self) -> None:
        started = (self.reactor.seconds() - 100) * 1000
        entry = unit(UNIT_PORT) | {"startedAtMs": started}
        self.discovery(listing(42, True, entry))
        known = next(iter(self.relay.facade.relay.units.values()))
        self.ahead = -7200.0
        self.wait(2)
        self.relay.listed(read_list(listing(43, True, entry)))
        self.assertIs(next(iter(self.relay.facade.relay.units.values())), known)


del RelayStory


if __name__ == "__main__":
    unittest.main()
