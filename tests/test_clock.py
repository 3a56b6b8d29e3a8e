"""Time that neither stands still nor jumps: steps of the wall clock, stopped processes, and stamps of others."""

import unittest
from random import Random

from hypothesis import assume, given, strategies as st

from tealsail.choices.clock import MIN_GAP_S, Clock, StartTimes
from tealsail.net.discovery import read_news
from tealsail.net.relay import Relay

from .fake import READY, ROW, Reactor, client_query, message
from .test_relay import JSONRPC_PORT, LIST_PORT, UNIT_PORT, Story as RelayStory, config, listing, reply, told, unit

SECOND, START = 10_000, 1_700_000_000.0
STEPS = st.one_of(st.floats(1, 86_400), st.floats(-86_400, -1))


class Hands:
    """Two clocks that a story moves."""

    def __init__(self) -> None:
        self.steady, self.wall, self.gaps = 50.0, START, []
        self.clock = Clock(lambda: self.steady, lambda: self.wall, self.gaps.append)

    def run(self, seconds: float) -> None:
        for _ in range(round(2 * seconds)):
            self.steady, self.wall = self.steady + 0.5, self.wall + 0.5
            self.clock()


class Even(unittest.TestCase):
    @given(STEPS)
    def test_a_step_of_the_wall_clock_moves_nothing_and_is_noticed_once(self, step) -> None:
        hands = Hands()
        hands.run(3)
        hands.clock.look()
        before = hands.clock()
        hands.wall += step
        self.assertEqual(hands.clock(), before)
        self.assertAlmostEqual(hands.clock.look(), step, delta=1e-3)
        hands.run(5)
        self.assertEqual((hands.clock.look(), hands.clock() - before, hands.gaps), (0.0, 5 * SECOND, []))

    def test_a_time_in_which_nothing_ran_is_told_before_anybody_goes_on(self) -> None:
        hands = Hands()
        hands.run(2)
        hands.steady, hands.wall = hands.steady + 30, hands.wall + 30
        now = hands.clock()
        self.assertEqual(([round(gap) for gap in hands.gaps], now), ([30], int((START + 32) * SECOND)))
        hands.run(MIN_GAP_S)
        self.assertEqual(len(hands.gaps), 1)

    @given(STEPS, st.floats(2, 3600))
    def test_a_units_start_stays_what_it_was_taken_for_and_a_later_one_is_read_by_the_later_clock(
        self, step, age
    ) -> None:
        hands = Hands()
        stamps = StartTimes(hands.clock)
        started = int((hands.wall - age) * SECOND)
        first = stamps.start_time(7, started)
        hands.wall += step
        hands.clock.look()
        self.assertEqual(stamps.start_time(7, started), first)  # not started anew
        again = int((hands.wall - 1) * SECOND)
        assume(again != started)
        self.assertAlmostEqual(hands.clock() - stamps.start_time(7, again), SECOND, delta=20)

    def test_a_start_ahead_of_now_is_now(self) -> None:
        hands = Hands()  # a clock behind the platform's would keep a unit cold for as long
        self.assertEqual(StartTimes(hands.clock).start_time(7, int((START + 3600) * SECOND)), hands.clock())
        self.assertEqual(StartTimes(hands.clock).start_time(8, 0), 0)

    def test_what_left_the_list_is_forgotten(self) -> None:
        stamps = StartTimes(Hands().clock)
        for number in range(100):
            stamps.start_time(number, 1)
        stamps.retain({3, 500})
        self.assertEqual(set(stamps.known), {3})


class Steps(RelayStory):
    """The whole relay, its reactor on a steady clock, and a wall clock that a story sets."""

    def setUp(self) -> None:
        self.reactor, self.ahead = Reactor(), 0.0
        self.relay = Relay(self.reactor, told(config()), wall=lambda: self.reactor.seconds() + self.ahead)
        self.relay.start()
        self.factory = self.reactor.tcpServers[0][1]

    def test_after_a_step_back_of_an_hour_what_is_late_is_late(self) -> None:
        """Before, the relay's time stood still for that hour: no shot was ever late, no beat came."""
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

    def test_two_hundred_steps_of_a_second_to_a_day_and_each_invocation_is_answered_in_time(self) -> None:
        client, chance = self.client(client_query()), Random(5)
        wire = self.unit()
        wire.sent()
        wire.feed(ROW + READY)
        self.assertEqual(client.sent(), ROW + READY)
        self.wait(0.1)  # a connection that has just answered rests
        for _ in range(200):
            self.ahead += chance.choice((-1, 1)) * 86_400 ** chance.random()
            client.feed(client_query())
            asked = wire.sent()
            if b"id=9b1f" not in asked:  # idle for a while: it proves itself first
                wire.feed(message(b"I", b"") + READY)
                asked = wire.sent()
            self.assertIn(b"id=9b1f", asked)
            wire.feed(ROW + READY)
            self.assertEqual(client.sent(), ROW + READY)
            self.wait(1)
        self.assertGreater(self.relay.counters.counts["clock.steps"], 150)
        self.assertEqual(self.relay.facade.faults, 0)

    def test_after_a_stop_of_the_process_nothing_older_is_trusted(self) -> None:
        """A shot was out when the process was stopped: that it is late says nothing of its build or unit; the idle
        connections, the list and the platform's news may be old."""
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

    def test_a_listed_unit_does_not_start_anew_when_the_clock_steps(self) -> None:
        started = (self.reactor.seconds() - 100) * 1000
        entry = unit(UNIT_PORT) | {"startedAtMs": started}
        self.discovery(listing(42, True, entry))
        known = next(iter(self.relay.facade.relay.units.values()))
        self.ahead = -7200.0
        self.wait(2)
        self.relay.listed(read_news(listing(43, True, entry)))
        self.assertIs(next(iter(self.relay.facade.relay.units.values())), known)


del RelayStory


if __name__ == "__main__":
    unittest.main()
