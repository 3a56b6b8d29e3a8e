"""Connections to units, in memory: setup, reuse, outcomes of shots, and limits."""

import unittest

from twisted.internet.error import ConnectionDone

from tealsail.choices.connection_lifetimes import ANSWER_REST_S
from tealsail.choices.memory_budget import ByteBudget, answer_cost
from tealsail.net import messages, statements, unit_connection, units
from tealsail.net.counters import Counters

from .fake import READY, ROW, STARTUP, STARTUP_RESPONSE, MemoryTransport, Reactor, client_query, error_response, message

QUERY, EMPTY = client_query(wait=480), message(b"Q", b"\0")
STATEMENT = QUERY[5:-1]
PROBE_ANSWER = message(b"I", b"") + READY


class UnitConnections(unittest.TestCase):
    def setUp(self) -> None:
        self.reactor = Reactor()
        self.units = units.Units(self.reactor, Counters(), 0.25, 30.0, 3)
        self.units.listed(1, "127.0.0.9:7001", 5, 0)
        self.may_still_send = True

    # The test owns the shots.
    def query(self) -> statements.UnitQuery:
        return statements.UnitQuery(statements.read(STATEMENT), lambda: 480)

    def why_stop(self, waited_s: float) -> str | None:
        return None if self.may_still_send else "moot"

    def is_informed(self) -> bool:
        return True

    def may_send(self) -> bool:
        return self.may_still_send

    def shoot(self, number: int = 1, wait: float = 1.0) -> list[unit_connection.ShotResult]:
        self.reactor.advance(ANSWER_REST_S)  # a connection that has just answered is not reused at once
        shot = self.units.shoot(number, self, wait)
        self.shot, results = shot, []
        shot.done.addCallback(results.append)
        return results

    def complete_connect(self) -> MemoryTransport:
        transport = self.reactor.complete_connect(7001)
        transport.feed(STARTUP_RESPONSE)
        return transport

    def served(self) -> MemoryTransport:
        """A connection that is idle after one shot."""
        results, transport = self.shoot(), self.complete_connect()
        transport.sent()
        transport.feed(ROW + READY)
        self.assertEqual(results[0].outcome, "served")
        return transport

    def test_answer_that_arrives_byte_by_byte_with_a_load_report(self) -> None:
        results, transport = self.shoot(), self.reactor.complete_connect(7001)
        self.assertEqual(transport.sent(), STARTUP)
        transport.feed(STARTUP_RESPONSE, piece=1)
        self.assertEqual(transport.sent(), QUERY)
        transport.feed(ROW + message(b"S", b"stats\0inflight=7,util=0.61\0") + READY, piece=1)
        self.assertEqual(
            (results[0].outcome, messages.value_response(results[0].value), results[0].load),
            ("served", ROW + READY, {"inflight": 7.0, "util": 0.61}),
        )

    def answer_probe(self, transport: MemoryTransport) -> bytes:
        """What is written to an idle connection after its probe has been answered."""
        self.assertEqual(transport.sent(), EMPTY)
        transport.feed(PROBE_ANSWER, piece=1)
        return transport.sent()

    def test_idle_connection_that_the_unit_has_closed_gets_no_query(self) -> None:
        """Guards against a query written to a connection that the unit has closed, since it would count as one that may
        have run."""
        self.shoot(), self.shoot()
        first, second = self.complete_connect(), self.complete_connect()
        for transport in (first, second):
            transport.sent()
            transport.feed(ROW + READY)
        results = self.shoot()
        self.assertEqual(second.sent(), EMPTY)
        second.drop()
        self.assertEqual((self.answer_probe(first), results), (QUERY, []))
        first.feed(ROW + READY)
        self.assertEqual(results[0].outcome, "served")
        results = self.shoot()
        first.sent()
        first.drop()
        self.assertTrue(self.complete_connect().sent().endswith(QUERY))  # a new one, since none is idle

    def test_unit_that_does_not_answer_the_probe_is_unreachable(self) -> None:
        transport = self.served()
        results = self.shoot()
        self.reactor.advance(0.25)
        self.assertEqual(
            (results[0].outcome, transport.settle(), self.reactor.pending_connects(7001)), ("unreachable", True, [])
        )
        transport = self.served()
        results = self.shoot(wait=0.1)
        self.reactor.advance(0.1)  # the shot ends before the probe does
        self.reactor.advance(0.2)
        self.assertEqual((results[0].outcome, transport.settle()), ("moot", True))

    def test_messages_after_the_answer_end_the_connection_and_keep_the_answer(self) -> None:
        for more in (
            ROW + READY,
            ROW,
            READY,
            b"noise\0\0\0",
            PROBE_ANSWER,
            error_response("XX000"),
        ):
            for later in (False, True):
                results, transport = self.shoot(), self.complete_connect()
                transport.sent()
                transport.feed(ROW + READY + more * (not later))
                self.assertEqual(results[0].outcome, "served")
                further = self.shoot()  # the connection is being probed
                if later:
                    self.assertEqual(transport.sent(), EMPTY)
                    transport.feed(more + PROBE_ANSWER if more != PROBE_ANSWER else b"x" * 9)
                self.assertTrue(transport.settle())
                self.assertNotIn(QUERY, transport.sent())
                other = self.complete_connect()
                self.assertEqual((further, other.sent()[-len(QUERY) :]), ([], QUERY))
                other.drop()

    def test_malformed_load_report_is_ignored(self) -> None:
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
            results, transport = self.shoot(), self.complete_connect()
            transport.sent()
            transport.feed(message(b"S", report) + ROW + READY)
            self.assertEqual((results[0].outcome, results[0].load, transport.closing), ("served", None, False))
            transport.drop()

    def test_last_used_connection_is_reused_first_with_one_shot_at_a_time(self) -> None:
        self.shoot(), self.shoot()
        first, second = self.complete_connect(), self.complete_connect()
        for transport in (first, second):
            transport.sent()
            transport.feed(ROW + READY)
        self.shoot()
        self.assertEqual((first.sent(), self.answer_probe(second)), (b"", QUERY))
        self.shoot()
        self.assertEqual((self.answer_probe(first), self.reactor.pending_connects(7001)), (QUERY, []))

    def test_outcome_follows_from_the_error_code(self) -> None:
        transport = self.served()
        for answer, outcome in (
            (error_response("XX000"), "error"),
            (error_response("53300"), "full"),
            (error_response("57P03"), "error"),
        ):
            results = self.shoot()
            self.assertEqual(self.answer_probe(transport), QUERY)
            transport.feed(answer + READY)
            self.assertEqual(results[0].outcome, outcome)

    def test_query_may_have_run_only_if_its_last_byte_was_written(self) -> None:
        for taken, outcome in ((0, "unreachable"), (len(QUERY) - 1, "unreachable"), (len(QUERY), "reset")):
            results, transport = self.shoot(), self.reactor.complete_connect(7001)
            transport.kernel_room = taken
            transport.feed(STARTUP_RESPONSE)
            transport.drop(ConnectionDone())
            self.assertEqual(results[0].outcome, outcome)

    def test_complete_answer_counts_though_the_connection_breaks_before_ready_for_query(self) -> None:
        for answer, outcome in ((ROW, "served"), (ROW[:-1], "reset")):
            results, transport = self.shoot(), self.complete_connect()
            transport.sent()
            transport.feed(answer)
            transport.drop()
            self.assertEqual(results[0].outcome, outcome)

    def test_failed_connection_setup_means_that_nothing_was_run(self) -> None:
        results = self.shoot()
        self.reactor.refuse_connect(7001)
        turned, transport = self.shoot(), self.reactor.complete_connect(7001)
        transport.feed(error_response("53300"))
        transport.drop()
        late, silent = self.shoot(), self.reactor.complete_connect(7001)
        self.reactor.advance(0.3)
        self.assertTrue(silent.settle())
        self.assertEqual([each[0].outcome for each in (results, turned, late)], ["unreachable", "full", "unreachable"])

    def test_query_is_not_sent_if_the_choice_of_the_unit_no_longer_holds(self) -> None:
        results, transport = self.shoot(), self.reactor.complete_connect(7001)
        transport.sent()
        self.may_still_send = False
        transport.feed(STARTUP_RESPONSE)
        self.assertEqual((transport.sent(), results[0].outcome), (b"", "moot"))

    def test_stopped_shot_is_reported_after_its_connection_has_ended(self) -> None:
        """Guards against a next shot that is sent while the connection of the one before is still open."""
        results, transport = self.shoot(wait=0.2), self.complete_connect()
        transport.sent()
        self.reactor.advance(0.2)
        self.assertEqual((transport.closing, results), (True, []))
        transport.settle()
        self.assertEqual(results[0].outcome, "timeout")
        results = self.shoot(wait=0.2)
        self.reactor.advance(0.2)
        self.assertEqual(results[0].outcome, "moot")  # no byte of it was written

    def test_connection_that_is_ready_too_late_for_its_shot_serves_the_next(self) -> None:
        self.shoot(wait=0.1)
        self.reactor.advance(0.1)
        transport = self.complete_connect()
        transport.sent()
        self.shoot()
        self.assertEqual(self.answer_probe(transport), QUERY)

    def test_idle_connections_are_closed_before_the_unit_would_close_them(self) -> None:
        transport = self.served()
        for _ in range(27):
            self.reactor.advance(1)
        self.assertFalse(transport.closing)
        for _ in range(3):
            self.reactor.advance(1)
        self.assertTrue(transport.settle())
        self.shoot()
        self.assertEqual(len(self.reactor.pending_connects(7001)), 1)

    def test_ended_connection_is_not_reused(self) -> None:
        self.served().drop(ConnectionDone())
        self.shoot()
        self.assertEqual(len(self.reactor.pending_connects(7001)), 1)

    def test_unit_with_another_address_build_or_start_is_another_unit(self) -> None:
        for mark in (("127.0.0.9:7001", 6, 0), ("127.0.0.9:7001", 6, 50), ("127.0.0.8:7001", 6, 50)):
            transport = self.served()
            self.units.listed(1, *mark)
            self.assertTrue(transport.settle())
        self.units.unlisted(1)
        self.assertIsNone(self.units.shoot(1, self, 1))

    def test_connection_limit_closes_an_idle_one_or_opens_none(self) -> None:
        idle = self.served()
        self.units.listed(2, "127.0.0.9:7002", 5, 0)
        self.shoot(2), self.shoot(2)
        self.assertFalse(idle.closing)
        self.shoot(2)
        self.assertTrue(idle.settle())
        self.assertEqual(self.shoot(2)[0].outcome, "unreachable")

    def test_protocol_violation_by_a_unit_ends_its_connection(self) -> None:
        for nonsense in (
            message(b"!", b""),
            b"D\x7f\0\0\0",
            message(b"D", b""),
            message(b"R", b"\0\0\0\3"),
            message(b"D", b"\0\1") * 2,
            message(b"C", b"SELECT 0\0") + READY,
            READY,
            PROBE_ANSWER,
            ROW[:33] + message(b"D", b"\0\1\0\0\0\3\x9f\x03"),
            ROW[33:],
            b"D\xb2\xd0\x5e\0" + bytes(9000),
            message(b"T", b"\0\2content\0" + bytes(18)),
            message(b"D", b"\0\1\xff\xff\xff\xf0"),
            message(b"E", b"C\0\0"),
            message(b"T", b"\0\1" + b"x" * 40),
        ):
            results, transport = self.shoot(), self.complete_connect()
            transport.sent()
            transport.feed(nonsense, piece=len(nonsense) if len(results) else 1)
            self.assertTrue(transport.settle())
            self.assertEqual(results[0].outcome, "reset")

    def large_answer(self, size: int = 50_000) -> bytes:
        row = message(b"D", b"\0\1" + size.to_bytes(4, "big") + bytes(size))
        return message(b"T", b"\0\1content\0" + bytes(16) + b"\0\1") + row + message(b"C", b"SELECT 1\0") + READY

    # Guards against large answers that add up over connections.
    def test_large_answers_beyond_the_room_wait_at_their_units(self) -> None:
        self.units.answers.capacity = int(1.5 * answer_cost(50_000))
        results = [self.shoot(), self.shoot(), self.shoot()]
        transports = [self.complete_connect() for _ in results]
        for transport in transports:
            transport.sent()
            transport.feed(self.large_answer()[:20_000])
        self.assertEqual([each.producerState for each in transports], ["producing", "paused", "paused"])
        transports[0].feed(self.large_answer()[20_000:])
        self.assertEqual([each.producerState for each in transports], ["producing", "producing", "paused"])
        transports[1].drop()
        transports[2].feed(self.large_answer()[20_000:])
        self.assertEqual([each[0].outcome for each in results], ["served", "reset", "served"])
        self.assertEqual((self.units.answers.used, self.units.waiting, self.units.receiving), (0, {}, {}))

    # Guards against answers that never come because unread ones have taken all the room.
    def test_one_large_answer_is_received_however_little_room_there_is(self) -> None:
        self.units.answers = ByteBudget(0)
        results, transport = self.shoot(), self.complete_connect()
        transport.sent()
        transport.feed(self.large_answer(), piece=9000)
        self.assertEqual(results[0].outcome, "served")

    # Guards against a unit that keeps the loop busy with messages that nobody asked for.
    def test_connection_with_very_many_unasked_messages_is_ended(self) -> None:
        results, transport = self.shoot(), self.complete_connect()
        transport.sent()
        transport.feed(message(b"N", b"") * 60 + self.large_answer(9) + message(b"N", b"") * 60)
        self.assertEqual((results[0].outcome, transport.closing), ("served", False))
        transport.feed(message(b"S", b"stats\0util=0.5\0") * 10)
        self.assertTrue(transport.closing)
