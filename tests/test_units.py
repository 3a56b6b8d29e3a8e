"""Units' connections in memory: kept, used again, and what may have run."""

import unittest

from twisted.internet.error import ConnectionDone

from tealsail.choices.endings import REST
from tealsail.net import messages, units
from tealsail.net.counters import Counters

from .fake import (
    READY,
    ROW,
    STARTUP,
    STARTUP_RESPONSE,
    MemoryTransport,
    Reactor,
    error_response,
    message,
)

QUERY, EMPTY, PROOF = (
    message(b"Q", b"text\0"),
    message(b"Q", b"\0"),
    message(b"I", b"") + READY,
)


class Stories(unittest.TestCase):
    def setUp(self) -> None:
        self.reactor = Reactor()
        self.units = units.Units(self.reactor, Counters(), 0.25, 30.0, 3)
        self.units.listed(1, "127.0.0.9:7001", 5, 0)
        self.stands = True

    def shoot(self, number: int = 1, wait: float = 1.0) -> list[units.ShotResult]:
        self.reactor.advance(REST)  # what has answered a moment ago is not taken again
        shot = self.units.shoot(number, lambda: b"text", wait, lambda: self.stands)
        self.shot, came = shot, []
        shot.done.addCallback(came.append)
        return came

    def complete_connect(self) -> MemoryTransport:
        wire = self.reactor.complete_connect(7001)
        wire.feed(STARTUP_RESPONSE)
        return wire

    def served(self) -> MemoryTransport:
        """A connection that is idle after one shot."""
        came, wire = self.shoot(), self.complete_connect()
        wire.sent()
        wire.feed(ROW + READY)
        self.assertEqual(came[0].outcome, "served")
        return wire

    def test_a_whole_answer_byte_by_byte_with_the_load_report_behind_it(self) -> None:
        came, wire = self.shoot(), self.reactor.complete_connect(7001)
        self.assertEqual(wire.sent(), STARTUP)
        wire.feed(STARTUP_RESPONSE, piece=1)
        self.assertEqual(wire.sent(), QUERY)
        wire.feed(ROW + message(b"S", b"stats\0inflight=7,util=0.61\0") + READY, piece=1)
        self.assertEqual(
            (came[0].outcome, messages.value_response(came[0].value), came[0].load),
            ("served", ROW + READY, {"inflight": 7.0, "util": 0.61}),
        )

    def proven(self, wire: MemoryTransport) -> bytes:
        """What is written to a kept connection once it has shown that it is there."""
        self.assertEqual(wire.sent(), EMPTY)
        wire.feed(PROOF, piece=1)
        return wire.sent()

    def test_a_kept_connection_that_is_gone_costs_no_shot(self) -> None:
        """Guards against shots written to what the unit has closed: for all that is known they may have run."""
        self.shoot(), self.shoot()
        first, second = self.complete_connect(), self.complete_connect()
        for wire in (first, second):
            wire.sent()
            wire.feed(ROW + READY)
        came = self.shoot()
        self.assertEqual(second.sent(), EMPTY)
        second.drop()
        self.assertEqual((self.proven(first), came), (QUERY, []))
        first.feed(ROW + READY)
        self.assertEqual(came[0].outcome, "served")
        came = self.shoot()
        first.sent()
        first.drop()
        self.assertTrue(self.complete_connect().sent().endswith(QUERY))  # a new one, once none is kept

    def test_a_unit_that_does_not_even_answer_nothing_is_out_of_reach(self) -> None:
        wire = self.served()
        came = self.shoot()
        self.reactor.advance(0.25)
        self.assertEqual(
            (came[0].outcome, wire.settle(), self.reactor.pending_connects(7001)), ("unreachable", True, [])
        )
        wire = self.served()
        came = self.shoot(wait=0.1)
        self.reactor.advance(0.1)  # no longer waited for before that is known
        self.reactor.advance(0.2)
        self.assertEqual((came[0].outcome, wire.settle()), ("moot", True))

    def test_more_than_the_answer_spoils_the_connection_and_not_the_answer(self) -> None:
        for more in (
            ROW + READY,
            ROW,
            READY,
            b"noise\0\0\0",
            PROOF,
            error_response("XX000"),
        ):
            for later in (False, True):
                came, wire = self.shoot(), self.complete_connect()
                wire.sent()
                wire.feed(ROW + READY + more * (not later))
                self.assertEqual(came[0].outcome, "served")
                further = self.shoot()  # while it is asked whether it is there
                if later:
                    self.assertEqual(wire.sent(), EMPTY)
                    wire.feed(more + PROOF if more != PROOF else b"x" * 9)
                self.assertTrue(wire.settle())
                self.assertNotIn(QUERY, wire.sent())
                other = self.complete_connect()
                self.assertEqual((further, other.sent()[-len(QUERY) :]), ([], QUERY))
                other.drop()

    def test_a_load_report_that_cannot_be_read_spoils_neither_the_answer_nor_the_belief(self) -> None:
        for report in (
            b"stats\0util=high\0",
            b"stats\0util=nan\0",
            b"stats\0inflight=-1\0",
            b"stats\0\xff\0",
            b"stats",
            b"a\0b\0c\0",
            b"stats\0util=1e99\0",
            b"stats\0\0",
        ):
            came, wire = self.shoot(), self.complete_connect()
            wire.sent()
            wire.feed(message(b"S", report) + ROW + READY)
            self.assertEqual((came[0].outcome, came[0].load, wire.closing), ("served", None, False))
            wire.drop()

    def test_the_connection_used_last_is_used_first_and_one_shot_at_a_time(self) -> None:
        self.shoot(), self.shoot()
        first, second = self.complete_connect(), self.complete_connect()
        for wire in (first, second):
            wire.sent()
            wire.feed(ROW + READY)
        self.shoot()
        self.assertEqual((first.sent(), self.proven(second)), (b"", QUERY))
        self.shoot()
        self.assertEqual((self.proven(first), self.reactor.pending_connects(7001)), (QUERY, []))

    def test_outcomes_by_what_came_back(self) -> None:
        wire = self.served()
        for answer, outcome in (
            (error_response("XX000"), "error"),
            (error_response("53300"), "full"),
            (error_response("57P03"), "error"),
        ):
            came = self.shoot()
            self.assertEqual(self.proven(wire), QUERY)
            wire.feed(answer + READY)
            self.assertEqual(came[0].outcome, outcome)

    def test_whether_it_may_have_run_is_decided_by_its_last_byte(self) -> None:
        for written, outcome in ((False, "unreachable"), (True, "reset")):
            came, wire = self.shoot(), self.complete_connect()
            if written:
                wire.sent()
            wire.drop(ConnectionDone())
            self.assertEqual(came[0].outcome, outcome)

    def test_an_answer_is_whole_though_the_connection_breaks_right_behind_it(self) -> None:
        for answer, outcome in ((ROW, "served"), (ROW[:-1], "reset")):
            came, wire = self.shoot(), self.complete_connect()
            wire.sent()
            wire.feed(answer)
            wire.drop()
            self.assertEqual(came[0].outcome, outcome)

    def test_never_run_if_refused_turned_away_at_setup_or_never_up(self) -> None:
        came = self.shoot()
        self.reactor.refuse_connect(7001)
        turned, wire = self.shoot(), self.reactor.complete_connect(7001)
        wire.feed(error_response("53300"))
        wire.drop()
        late, silent = self.shoot(), self.reactor.complete_connect(7001)
        self.reactor.advance(0.3)
        self.assertTrue(silent.settle())
        self.assertEqual([each[0].outcome for each in (came, turned, late)], ["unreachable", "full", "unreachable"])

    def test_a_pick_that_no_longer_stands_when_the_connection_is_up_is_not_written(self) -> None:
        came, wire = self.shoot(), self.reactor.complete_connect(7001)
        wire.sent()
        self.stands = False
        wire.feed(STARTUP_RESPONSE)
        self.assertEqual((wire.sent(), came[0].outcome), (b"", "moot"))

    def test_a_shot_given_up_is_told_once_its_connection_has_ended(self) -> None:
        """Guards against a further shot that is written while the one before it is still open."""
        came, wire = self.shoot(wait=0.2), self.complete_connect()
        wire.sent()
        self.reactor.advance(0.2)
        self.assertEqual((wire.closing, came), (True, []))
        wire.settle()
        self.assertEqual(came[0].outcome, "timeout")
        came = self.shoot(wait=0.2)
        self.reactor.advance(0.2)
        self.assertEqual(came[0].outcome, "moot")  # no byte of it was written

    def test_a_connection_set_up_too_late_for_its_shot_serves_the_next(self) -> None:
        self.shoot(wait=0.1)
        self.reactor.advance(0.1)
        wire = self.complete_connect()
        wire.sent()
        self.shoot()
        self.assertEqual(self.proven(wire), QUERY)

    def test_idle_connections_end_before_the_unit_would_end_them(self) -> None:
        wire = self.served()
        for _ in range(27):
            self.reactor.advance(1)
        self.assertFalse(wire.closing)
        for _ in range(3):
            self.reactor.advance(1)
        self.assertTrue(wire.settle())
        self.shoot()
        self.assertEqual(len(self.reactor.pending_connects(7001)), 1)

    def test_a_connection_that_has_ended_is_not_used_again(self) -> None:
        self.served().drop(ConnectionDone())
        self.shoot()
        self.assertEqual(len(self.reactor.pending_connects(7001)), 1)

    def test_an_id_that_comes_back_with_another_build_address_or_start_is_another_unit(self) -> None:
        for mark in (("127.0.0.9:7001", 6, 0), ("127.0.0.9:7001", 6, 50), ("127.0.0.8:7001", 6, 50)):
            wire = self.served()
            self.units.listed(1, *mark)
            self.assertTrue(wire.settle())
        self.units.unlisted(1)
        self.assertIsNone(self.units.shoot(1, lambda: b"", 1, lambda: True))

    def test_no_more_connections_than_there_is_room_for(self) -> None:
        idle = self.served()
        self.units.listed(2, "127.0.0.9:7002", 5, 0)
        self.shoot(2), self.shoot(2)
        self.assertFalse(idle.closing)
        self.shoot(2)
        self.assertTrue(idle.settle())
        self.assertEqual(self.shoot(2)[0].outcome, "unreachable")

    def test_a_unit_that_talks_nonsense_is_left(self) -> None:
        for nonsense in (
            message(b"!", b""),
            b"D\x7f\0\0\0",
            message(b"D", b""),
            message(b"R", b"\0\0\0\3"),
            message(b"D", b"\0\1") * 2,
            message(b"C", b"SELECT 0\0") + READY,
            READY,
            PROOF,
            ROW[:33] + message(b"D", b"\0\1\0\0\0\3\x9f\x03"),
            ROW[33:],
            b"D\xb2\xd0\x5e\0" + bytes(9000),
            message(b"T", b"\0\2content\0" + bytes(18)),
            message(b"D", b"\0\1\xff\xff\xff\xf0"),
            message(b"E", b"C\0\0"),
            message(b"T", b"\0\1" + b"x" * 40),
        ):
            came, wire = self.shoot(), self.complete_connect()
            wire.sent()
            wire.feed(nonsense, piece=len(nonsense) if len(came) else 1)
            self.assertTrue(wire.settle())
            self.assertEqual(came[0].outcome, "reset")
