"""Connections of clients, in memory: queries, answers and their order, limits, and ends."""

import socket
import unittest

from twisted.internet.defer import Deferred

from tealsail.choices.memory_budget import LARGE_SHARE, ByteBudget, request_cost
from tealsail.choices.pipelining import MAX_ANSWER_BYTES, MAX_ANSWER_BYTES_IN_ALL, MAX_AT_ONCE, may_begin
from tealsail.net import answers, clients, messages, statements
from tealsail.net.counters import Counters

from .fake import READY, STARTUP, STARTUP_RESPONSE, MemoryTransport, Reactor, client_query, message

VALUE = messages.Value(
    messages.RowDescription(b"\0\1x", 1), messages.DataRow(b"\0\1y", 1), messages.CommandComplete(b"z\0")
)
EMPTY = message(b"Q", b"\0")


class ClientFixture(unittest.TestCase):
    """Connections in memory whose requests are taken by the test."""

    def setUp(self) -> None:
        self.taken: list[Deferred] = []
        self.cancelled: list[int] = []
        self.received_at: list[int] = []
        self.counters = Counters()
        self.reactor = Reactor()
        self.clients = clients.Clients(
            self.reactor, self.take, lambda: round(self.reactor.seconds() * 10_000), self.counters, 16
        )

    def take(self, statement: object, at: int, has_client_closed: object) -> Deferred:
        place = len(self.taken)
        self.received_at.append(at)
        self.taken.append(Deferred(lambda _: self.cancelled.append(place)))
        return self.taken[-1]

    def client(self, opened: bool = True) -> MemoryTransport:
        transport = MemoryTransport(self.clients.buildProtocol(None))
        if opened:
            transport.feed(STARTUP)
            transport.sent()
        return transport

    def end_codes(self) -> list[str]:
        return sorted(name.rpartition(".")[2] for name in self.counters.counts if "client.ended" in name)

    def wait(self, seconds: float) -> None:
        for _ in range(round(seconds * 10)):
            self.reactor.advance(0.1)


class ClientConnections(ClientFixture):
    def test_declined_encryption_startup_and_empty_query_byte_by_byte(self) -> None:
        transport = self.client(opened=False)
        transport.feed(bytes.fromhex("0000000804d2162f0000000804d21630"), piece=1)
        self.assertEqual(transport.sent(), b"NN")
        transport.feed(STARTUP + EMPTY, piece=1)
        sent = transport.sent()
        self.assertTrue(sent.startswith(STARTUP_RESPONSE[:9]) and sent.endswith(READY + message(b"I", b"") + READY))

    def test_connection_without_a_complete_message_is_closed_within_three_seconds(self) -> None:
        """Guards against hundreds of silent connections, and against messages that never end."""
        silent, greeted, half = self.client(opened=False), self.client(), self.client()
        half.feed(client_query()[:9])
        self.wait(2.5)
        for transport in (silent, greeted, half):
            self.assertTrue(transport.settle())
        dribbling = self.client()
        dribbling.feed(client_query() + message(b"Q", bytes(3000))[:5])
        self.taken[0].callback(VALUE)
        for _ in range(25):
            self.wait(0.1)
            dribbling.feed(b"x")
        self.assertTrue(dribbling.settle())
        self.assertEqual(self.end_codes(), ["mute"])

    def test_connection_that_has_queried_may_stay_idle_and_send_a_query_in_pieces(self) -> None:
        transport = self.client()
        transport.feed(client_query())
        self.wait(4)
        self.taken[0].callback(VALUE)
        self.wait(60)
        transport.feed(client_query()[:20])
        self.wait(1.5)
        transport.feed(client_query()[20:])
        self.assertEqual((transport.closing, len(self.taken)), (False, 2))

    def test_idle_connections_are_closed_when_there_are_many(self) -> None:
        """Guards against clients with so many unused connections that none is left for their next query."""
        self.clients.max_connections = 8
        idle = [self.client(), self.client()]
        busy = self.client()
        for transport in idle:
            transport.feed(EMPTY)
        busy.feed(client_query())
        self.wait(0.5)
        self.assertEqual([transport.settle() for transport in (*idle, busy)], [True, True, False])
        kept = self.client()
        kept.feed(EMPTY)
        self.wait(5)
        self.assertFalse(kept.closing)
        self.assertEqual(self.end_codes(), ["crowded"])

    def test_too_many_queued_queries_end_the_connection_after_those_under_way(self) -> None:
        for piece, at_hand in ((7, MAX_AT_ONCE), (1 << 20, 0)):
            transport, before = self.client(), len(self.taken)
            transport.feed(client_query() * 300, piece=piece)
            transport.feed(client_query())
            self.assertEqual(len(self.taken) - before, at_hand)
            for request in reversed(self.taken[before:]):
                self.assertEqual((transport.value(), transport.closing), (b"", False))
                request.callback(VALUE)
            sent = transport.sent()
            self.assertTrue(sent.startswith(messages.value_response(VALUE) * at_hand + b"E"))
            self.assertEqual(sent.count(b"C08P01\0"), 1)
            self.assertTrue(transport.settle())
        self.assertEqual((len(self.taken), self.end_codes()), (MAX_AT_ONCE, ["flood"]))

    def test_connection_without_a_query_makes_room_first(self) -> None:
        old, silent = self.client(), self.client()
        self.wait(0.3)
        old.feed(EMPTY)
        self.wait(0.3)
        self.clients.max_connections = 3
        other = self.client()
        self.client()
        self.assertEqual([transport.closing for transport in (old, silent, other)], [False, True, False])

    def test_new_connection_is_not_evicted_before_its_first_query(self) -> None:
        """Guards against new connections that evict each other while old idle ones stay."""
        kept = [self.client(), self.client()]
        for transport in kept:
            transport.feed(EMPTY)
        self.wait(1)
        self.clients.max_connections = 3
        new = [self.client(), self.client(), self.client()]
        self.assertEqual([transport.closing for transport in kept + new], [True, True, False, False, False])

    def test_pipelined_queries_are_answered_in_order(self) -> None:
        transport = self.client(opened=False)
        transport.feed(STARTUP + client_query() + EMPTY + message(b"Q", b"SET x = 1\0") + client_query())
        transport.sent()
        self.assertEqual(len(self.taken), 2)
        self.taken[1].callback(answers.Rejected(25))
        self.assertEqual(transport.sent(), b"")
        self.taken[0].callback(VALUE)
        first = messages.value_response(VALUE) + message(b"I", b"") + READY + message(b"C", b"SET\0") + READY
        self.assertTrue(transport.value().startswith(first))
        self.assertIn(b"C53300\0", transport.value()[len(first) :])
        self.assertIn(b"D3\0", transport.sent())
        transport.feed(client_query())
        self.taken[2].callback(answers.Forfeited())
        self.assertNotIn(b"C53300\0", transport.value())
        self.assertNotIn(b"C57P03\0", transport.sent())

    def test_query_behind_a_slow_one_is_begun_at_once(self) -> None:
        """Guards against requests whose time runs out behind a slow one on the same connection."""
        transport = self.client()
        transport.feed(client_query())
        self.wait(1)
        transport.feed(client_query() * 2)
        self.assertEqual(self.received_at, [self.received_at[0]] + [self.received_at[0] + 10_000] * 2)
        self.taken[2].callback(answers.Forfeited())
        self.taken[1].callback(VALUE)
        self.assertEqual((transport.sent(), self.clients.answer_bytes > 0), (b"", True))
        self.taken[0].callback(answers.Rejected(0))
        self.assertEqual(
            transport.sent(),
            b"".join(answers.encode_answer(each) for each in (answers.Rejected(0), VALUE, answers.Forfeited())),
        )
        self.assertEqual(
            (self.clients.answer_bytes, transport.protocol.held_bytes, transport.protocol.is_idle()), (0, 0, True)
        )

    def test_number_of_queries_under_way_is_bounded_until_the_first_is_answered(self) -> None:
        transport = self.client()
        transport.feed(client_query() * MAX_AT_ONCE)
        transport.feed(client_query() * 2)
        self.assertEqual(len(self.taken), MAX_AT_ONCE)
        self.taken[1].callback(VALUE)
        self.assertEqual(len(self.taken), MAX_AT_ONCE)
        self.taken[0].callback(VALUE)
        self.assertEqual(len(self.taken), MAX_AT_ONCE + 2)

    def test_bytes_of_answers_that_wait_for_an_earlier_one_are_bounded(self) -> None:
        self.assertTrue(may_begin(0, MAX_ANSWER_BYTES, MAX_ANSWER_BYTES_IN_ALL))
        self.assertFalse(may_begin(1, MAX_ANSWER_BYTES, MAX_ANSWER_BYTES))
        self.assertFalse(may_begin(1, 0, MAX_ANSWER_BYTES_IN_ALL))
        transport, other = self.client(), self.client()
        transport.feed(client_query() * 2)
        self.taken[1].callback(VALUE._replace(row=messages.DataRow(bytes(MAX_ANSWER_BYTES), 1)))
        transport.feed(client_query())
        other.feed(client_query() * 2)
        self.assertEqual(len(self.taken), 4)
        self.taken[0].callback(VALUE)
        self.assertEqual((len(self.taken), self.clients.answer_bytes), (5, 0))

    def test_shutdown_closes_a_connection_after_the_last_of_several_answers(self) -> None:
        transport = self.client()
        transport.feed(client_query() * 3)
        self.clients.close()
        self.clients.end_without_query()
        for place in (2, 0, 1):
            self.assertFalse(transport.closing)
            self.taken[place].callback(VALUE)
        self.assertEqual((transport.sent(), transport.settle()), (messages.value_response(VALUE) * 3, True))

    def test_client_that_disconnects_cancels_all_its_requests(self) -> None:
        transport = self.client()
        transport.feed(client_query() * MAX_AT_ONCE)
        transport.feed(client_query() * 2)
        self.taken[1].callback(VALUE)
        transport.drop()
        begun = list(range(MAX_AT_ONCE))
        self.assertEqual(
            (self.cancelled, len(self.taken), self.end_codes()), (begun[:1] + begun[2:], MAX_AT_ONCE, ["left"])
        )
        self.assertEqual((self.clients.answer_bytes, self.clients.connections), (0, {}))

    def test_malformed_statement_gets_an_error_and_the_connection_goes_on(self) -> None:
        transport = self.client()
        transport.feed(message(b"Q", b"SELECT 1\0") + client_query(more=",z"))
        self.assertEqual(transport.sent().count(b"C42601\0"), 2)
        transport.feed(client_query())
        self.assertEqual(len(self.taken), 1)

    def test_bytes_read_ahead_are_bounded(self) -> None:
        transport = self.client()
        for state in ("producing", "producing", "paused"):
            transport.feed(client_query(name="x" * 40000))
            self.assertEqual(transport.producerState, state)
        for place in range(3):
            self.taken[place].callback(VALUE)
        self.assertEqual(transport.producerState, "producing")

    def test_extended_protocol_is_refused_once_up_to_its_sync(self) -> None:
        transport = self.client()
        transport.feed(message(b"P", b"\0\0\0\0") + message(b"B", b"\0") + EMPTY + message(b"S", b"") + EMPTY)
        sent = transport.sent()
        self.assertEqual(sent.count(b"C0A000\0"), 1)
        self.assertTrue(sent.endswith(READY + message(b"I", b"") + READY))

    def test_protocol_error_ends_the_connection_after_the_answers_still_due(self) -> None:
        for wrong in (b"Q\x7f\0\0\0", message(b"!", b""), message(b"Q", b"no end")):
            transport, place = self.client(), len(self.taken)
            transport.feed(client_query() + wrong + EMPTY)
            self.assertFalse(transport.closing)
            transport.feed(bytes(1000))  # what comes after the error is dropped
            self.assertLess(len(transport.protocol.splitter.held), 100)
            self.taken[place].callback(VALUE)
            sent = transport.sent()
            self.assertTrue(sent.startswith(messages.value_response(VALUE)))
            self.assertEqual(sent.count(b"SFATAL\0VFATAL\0C08P01\0"), 1)
            transport.feed(wrong)
            self.assertEqual(transport.sent(), b"")
            self.assertTrue(transport.settle())
        self.assertEqual(self.end_codes(), ["unreadable"])

    def test_connection_limit_closes_the_longest_idle_or_refuses_the_new_one(self) -> None:
        self.clients.max_connections = 3
        idle, *busy = self.client(), self.client(), self.client()
        for transport in busy:
            transport.feed(client_query())
        busy.append(self.client())
        self.assertTrue(idle.settle())
        busy[-1].feed(client_query())
        late = self.client(opened=False)
        late.feed(STARTUP)
        self.assertIn(b"C53300\0", late.sent())
        self.assertTrue(late.settle())
        self.assertEqual(self.end_codes(), ["full", "no_room"])

    # Guards against a crowd that stops half way and keeps its places, while those about to ask lose theirs.
    def test_a_client_that_stops_half_way_makes_room_before_one_that_is_about_to_ask(self) -> None:
        self.clients.max_connections = 2
        stalled = self.client()
        stalled.feed(client_query()[:9])
        self.wait(0.5)
        about_to_ask = self.client()
        stalled.feed(client_query()[9:12])
        self.client()
        self.assertEqual((stalled.settle(), about_to_ask.settle()), (True, False))

    # Guards against hundreds of connections whose queries hold the loop for seconds, while one query waits.
    def test_connections_begin_their_queries_in_turns_once_the_loop_has_taken_its_time(self) -> None:
        def take(statement: statements.Statement, at: int, has_client_closed: object) -> Deferred:
            self.reactor.rightNow += 0.006
            begun.append(statement.customer)
            return Deferred(lambda _: None)

        begun: list[str] = []
        self.clients.take = take
        many, one = self.client(), self.client()
        many.feed(client_query() * 10)
        one.feed(client_query().replace(b"t=acme", b"t=ines"))
        self.assertEqual((begun, many.producerState), (["acme"] * 2, "paused"))
        for _ in range(9):
            self.reactor.advance(0)
        self.assertEqual((begun, many.producerState), (["acme"] * 3 + ["ines"] + ["acme"] * 7, "producing"))

    # Guards against silent connections that keep those that there is room to refuse waiting in the kernel.
    def test_a_silent_connection_without_room_is_refused_within_a_moment(self) -> None:
        self.clients.max_connections = 1
        self.client().feed(client_query())
        silent = self.client(opened=False)
        self.wait(0.2)
        self.assertIn(b"C53300\0", silent.sent())
        self.assertTrue(silent.settle())
        self.assertEqual(self.end_codes(), ["full"])

    def test_no_query_is_begun_while_the_client_does_not_read(self) -> None:
        transport = self.client()
        transport.producer.pauseProducing()
        transport.feed(message(b"Q", b" " * 4000 + b"\0") * 20)
        self.assertEqual(transport.sent(), b"")
        self.assertEqual(transport.producerState, "paused")
        transport.producer.resumeProducing()
        self.assertEqual(transport.sent(), (message(b"I", b"") + READY) * 20)
        self.assertEqual(transport.producerState, "producing")

    def test_shutdown_closes_idle_connections_and_busy_ones_after_their_answer(self) -> None:
        idle, busy, young = self.client(), self.client(), self.client()
        idle.feed(EMPTY)
        busy.feed(client_query())
        self.clients.close()
        self.assertEqual((idle.settle(), busy.settle(), young.settle()), (True, False, False))
        self.wait(0.3)
        self.clients.close()
        self.assertTrue(young.settle())
        self.taken[0].callback(VALUE)
        self.assertEqual((busy.sent(), busy.settle()), (messages.value_response(VALUE), True))

    def test_cancel_request_and_terminate_end_the_connection(self) -> None:
        for data in (bytes.fromhex("0000001004d2162e") + bytes(8), STARTUP + message(b"X", b"")):
            transport = self.client(opened=False)
            transport.feed(data)
            self.assertTrue(transport.settle())
        self.assertEqual(self.end_codes(), ["cancel", "goodbye"])

    # Guards against requests that are sent on because their client's close was seen only behind all that is unread.
    def test_queries_in_front_of_a_close_are_not_begun(self) -> None:
        transport = self.client()
        transport.socket, other = socket.socketpair()
        self.addCleanup(transport.socket.close)
        transport.feed(client_query())
        other.close()
        transport.feed(client_query() * 3)
        self.assertTrue(transport.settle())
        self.assertEqual((len(self.taken), self.cancelled, self.end_codes()), (1, [0], ["left"]))


LARGE_BYTES = 100_000


class RequestMemory(ClientFixture):
    """Connections in a process that has room for two large requests."""

    def setUp(self) -> None:
        super().setUp()
        self.clients.requests = ByteBudget(int(2.5 * request_cost(LARGE_BYTES) / LARGE_SHARE))

    def large_query(self) -> bytes:
        return client_query(name="x" * LARGE_BYTES)

    # Guards against large requests that add up over connections, and against a close where an answer is owed.
    def test_a_large_request_without_room_is_refused_in_its_turn(self) -> None:
        half = [self.client(), self.client()]
        for transport in half:
            transport.feed(self.large_query()[:50_000])
        third = self.client()
        third.feed(client_query() + self.large_query() + client_query(), piece=5000)
        self.assertEqual((len(self.taken), third.sent(), third.closing), (2, b"", False))
        self.assertLess(len(third.protocol.splitter.held), 5000)
        for deferred in self.taken:
            deferred.callback(VALUE)
        refused = answers.encode_answer(answers.Rejected(0))
        self.assertEqual(third.sent(), messages.value_response(VALUE) + refused + messages.value_response(VALUE))
        half[0].feed(self.large_query()[50_000:])
        self.assertEqual(len(self.taken), 3)

    # Guards against large requests that leave no room for small ones.
    def test_small_requests_have_room_of_their_own(self) -> None:
        for _ in range(3):
            self.client().feed(self.large_query()[:50_000])
        small = self.client()
        small.feed(client_query())
        self.assertEqual(len(self.taken), 1)

    # Guards against clients that stop half way and keep everybody else's large requests out.
    def test_a_request_that_is_incomplete_for_long_gives_its_room_to_another(self) -> None:
        stalled = self.client()
        stalled.feed(self.large_query()[:50_000])
        self.client().feed(self.large_query()[:50_000])
        self.wait(0.5)
        self.client().feed(self.large_query(), piece=5000)
        self.assertEqual((len(self.taken), len(stalled.protocol.splitter.held)), (1, 0))
        stalled.feed(self.large_query()[50_000:])
        self.assertEqual(stalled.sent(), answers.encode_answer(answers.Rejected(0)))

    # Guards against room that is never given back, whatever ends a request.
    def test_all_room_is_given_back(self) -> None:
        transports = [self.client() for _ in range(6)]
        for transport, ending in zip(transports, (self.large_query(), self.large_query()[:5000], b"!", EMPTY * 40)):
            transport.feed(client_query() + client_query(name="y" * 5000) + ending)
        for deferred in self.taken[::2]:
            deferred.callback(VALUE)
        for transport in transports:
            transport.drop()
        self.assertEqual((self.clients.requests.used, self.clients.incomplete), (0, {}))

    # Guards against answers that pile up in the process for clients that do not read them.
    def test_clients_that_leave_answers_unread_make_room_the_longest_first(self) -> None:
        self.clients.answers.capacity = 150_000
        value = VALUE._replace(row=messages.DataRow(bytes(100_000), 1))
        unread = [self.client(), self.client()]
        for transport, deferred in zip(unread, (0, 1)):
            transport.feed(client_query())
            transport.producer.pauseProducing()
            self.taken[deferred].callback(value)
            self.wait(0.3)
        self.assertEqual([each.settle() for each in unread], [False, False])
        self.wait(0.6)
        self.assertEqual([each.settle() for each in unread], [True, False])
        unread[1].producer.resumeProducing()
        self.assertEqual((self.clients.answers.used, self.end_codes()), (0, ["unread"]))
