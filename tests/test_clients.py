"""Clients' connections in memory: what comes, what is answered, and how they end."""

import unittest

from twisted.internet.defer import Deferred

from tealsail.choices.pipelining import MOST_ANSWER_BYTES, MOST_ANSWER_BYTES_IN_ALL, MOST_AT_ONCE, may_begin
from tealsail.net import clients, messages
from tealsail.net.counters import Counters

from .fake import (
    READY,
    STARTUP,
    STARTUP_RESPONSE,
    MemoryTransport,
    Reactor,
    client_query,
    message,
)

VALUE = messages.Value(
    messages.RowDescription(b"\0\1x", 1), messages.DataRow(b"\0\1y", 1), messages.CommandComplete(b"z\0")
)
EMPTY = message(b"Q", b"\0")


class Stories(unittest.TestCase):
    def setUp(self) -> None:
        self.taken: list[Deferred] = []
        self.left: list[int] = []
        self.came_at: list[int] = []
        self.counters = Counters()
        self.reactor = Reactor()
        self.clients = clients.Clients(
            self.reactor, self.take, lambda: round(self.reactor.seconds() * 10_000), self.counters, 16
        )

    def take(self, statement: object, at: int) -> Deferred:
        place = len(self.taken)
        self.came_at.append(at)
        self.taken.append(Deferred(lambda _: self.left.append(place)))
        return self.taken[-1]

    def client(self, opened: bool = True) -> MemoryTransport:
        wire = MemoryTransport(self.clients.buildProtocol(None))
        if opened:
            wire.feed(STARTUP)
            wire.sent()
        return wire

    def codes(self) -> list[str]:
        return sorted(name.rpartition(".")[2] for name in self.counters.counts if "client.ended" in name)

    def test_encryption_declined_then_welcome_and_the_empty_query_byte_by_byte(self) -> None:
        wire = self.client(opened=False)
        wire.feed(bytes.fromhex("0000000804d2162f0000000804d21630"), piece=1)
        self.assertEqual(wire.sent(), b"NN")
        wire.feed(STARTUP + EMPTY, piece=1)
        sent = wire.sent()
        self.assertTrue(sent.startswith(STARTUP_RESPONSE[:9]) and sent.endswith(READY + message(b"I", b"") + READY))

    def wait(self, seconds: float) -> None:
        for _ in range(round(seconds * 10)):
            self.reactor.advance(0.1)

    def test_who_says_nothing_whole_is_told_so_and_left_within_three_seconds(self) -> None:
        """Guards against silent connections by hundreds, and lines that never end."""
        silent, greeted, half = self.client(opened=False), self.client(), self.client()
        half.feed(client_query()[:9])
        self.wait(2.5)
        for wire in (silent, greeted, half):
            self.assertTrue(wire.settle())
        dribbling = self.client()
        dribbling.feed(client_query() + message(b"Q", bytes(3000))[:5])
        self.taken[0].callback(VALUE)
        for _ in range(25):
            self.wait(0.1)
            dribbling.feed(b"x")
        self.assertTrue(dribbling.settle())
        self.assertEqual(self.codes(), ["mute"])

    def test_who_asked_once_may_stay_and_take_its_time_for_a_query_in_pieces(self) -> None:
        wire = self.client()
        wire.feed(client_query())
        self.wait(4)
        self.taken[0].callback(VALUE)
        self.wait(60)
        wire.feed(client_query()[:20])
        self.wait(1.5)
        wire.feed(client_query()[20:])
        self.assertEqual((wire.closing, len(self.taken)), (False, 2))

    def test_idle_connections_are_kept_only_while_there_are_few(self) -> None:
        """Guards against clients that hold so many unused ones that they find none for what comes next."""
        self.clients.max_connections = 8
        idle = [self.client(), self.client()]
        busy = self.client()
        for wire in idle:
            wire.feed(EMPTY)
        busy.feed(client_query())
        self.wait(0.5)
        self.assertEqual([wire.settle() for wire in (*idle, busy)], [True, True, False])
        kept = self.client()
        kept.feed(EMPTY)
        self.wait(5)
        self.assertFalse(kept.closing)
        self.assertEqual(self.codes(), ["crowded"])

    def test_hundreds_of_commands_at_once_end_with_those_at_hand(self) -> None:
        for piece, at_hand in ((7, MOST_AT_ONCE), (1 << 20, 0)):
            wire, before = self.client(), len(self.taken)
            wire.feed(client_query() * 300, piece=piece)
            wire.feed(client_query())
            self.assertEqual(len(self.taken) - before, at_hand)
            for request in reversed(self.taken[before:]):
                self.assertEqual((wire.value(), wire.closing), (b"", False))
                request.callback(VALUE)
            sent = wire.sent()
            self.assertTrue(sent.startswith(messages.value_response(VALUE) * at_hand + b"E"))
            self.assertEqual(sent.count(b"C08P01\0"), 1)
            self.assertTrue(wire.settle())
        self.assertEqual((len(self.taken), self.codes()), (MOST_AT_ONCE, ["flood"]))

    def test_who_never_asked_makes_room_first(self) -> None:
        old, silent = self.client(), self.client()
        self.wait(0.3)
        old.feed(EMPTY)
        self.wait(0.3)
        self.clients.max_connections = 3
        other = self.client()
        self.client()
        self.assertEqual([wire.closing for wire in (old, silent, other)], [False, True, False])

    def test_who_has_just_come_keeps_its_place_before_its_first_query_is_read(self) -> None:
        """Guards against new clients that push each other out while kept connections stay."""
        kept = [self.client(), self.client()]
        for wire in kept:
            wire.feed(EMPTY)
        self.wait(1)
        self.clients.max_connections = 3
        new = [self.client(), self.client(), self.client()]
        self.assertEqual([wire.closing for wire in kept + new], [True, True, False, False, False])

    def test_queries_one_behind_another_are_answered_in_their_order(self) -> None:
        wire = self.client(opened=False)
        wire.feed(STARTUP + client_query() + EMPTY + message(b"Q", b"SET x = 1\0") + client_query())
        wire.sent()
        self.assertEqual(len(self.taken), 2)
        self.taken[1].callback(clients.Rejected(25))
        self.assertEqual(wire.sent(), b"")
        self.taken[0].callback(VALUE)
        first = messages.value_response(VALUE) + message(b"I", b"") + READY + message(b"C", b"SET\0") + READY
        self.assertTrue(wire.value().startswith(first))
        self.assertIn(b"C53300\0", wire.value()[len(first) :])
        self.assertIn(b"D3\0", wire.sent())
        wire.feed(client_query())
        self.taken[2].callback(clients.Forfeited())
        self.assertNotIn(b"C53300\0", wire.value())
        self.assertNotIn(b"C57P03\0", wire.sent())

    def test_a_query_behind_a_slow_one_is_begun_when_it_comes(self) -> None:
        """Guards against requests that spend their time behind another on their connection."""
        wire = self.client()
        wire.feed(client_query())
        self.wait(1)
        wire.feed(client_query() * 2)
        self.assertEqual(self.came_at, [self.came_at[0]] + [self.came_at[0] + 10_000] * 2)
        self.taken[2].callback(clients.Forfeited())
        self.taken[1].callback(VALUE)
        self.assertEqual((wire.sent(), self.clients.answer_bytes > 0), (b"", True))
        self.taken[0].callback(clients.Rejected(0))
        self.assertEqual(
            wire.sent(),
            b"".join(clients.encode_answer(each) for each in (clients.Rejected(0), VALUE, clients.Forfeited())),
        )
        self.assertEqual((self.clients.answer_bytes, wire.protocol.held_bytes, wire.protocol.is_idle()), (0, 0, True))

    def test_so_many_are_under_way_at_once_and_the_next_follows_the_first_answer(self) -> None:
        wire = self.client()
        wire.feed(client_query() * MOST_AT_ONCE)
        wire.feed(client_query() * 2)
        self.assertEqual(len(self.taken), MOST_AT_ONCE)
        self.taken[1].callback(VALUE)
        self.assertEqual(len(self.taken), MOST_AT_ONCE)
        self.taken[0].callback(VALUE)
        self.assertEqual(len(self.taken), MOST_AT_ONCE + 2)

    def test_answers_that_wait_for_an_earlier_one_are_bounded(self) -> None:
        self.assertTrue(may_begin(0, MOST_ANSWER_BYTES, MOST_ANSWER_BYTES_IN_ALL))
        self.assertFalse(may_begin(1, MOST_ANSWER_BYTES, MOST_ANSWER_BYTES))
        self.assertFalse(may_begin(1, 0, MOST_ANSWER_BYTES_IN_ALL))
        wire, other = self.client(), self.client()
        wire.feed(client_query() * 2)
        self.taken[1].callback(VALUE._replace(row=messages.DataRow(bytes(MOST_ANSWER_BYTES), 1)))
        wire.feed(client_query())
        other.feed(client_query() * 2)
        self.assertEqual(len(self.taken), 4)
        self.taken[0].callback(VALUE)
        self.assertEqual((len(self.taken), self.clients.answer_bytes), (5, 0))

    def test_at_the_end_a_connection_closes_behind_the_last_of_several_answers(self) -> None:
        wire = self.client()
        wire.feed(client_query() * 3)
        self.clients.close()
        self.clients.abort_stalled()
        for place in (2, 0, 1):
            self.assertFalse(wire.closing)
            self.taken[place].callback(VALUE)
        self.assertEqual((wire.sent(), wire.settle()), (messages.value_response(VALUE) * 3, True))

    def test_a_client_that_closes_has_gone_away_with_all_that_it_asked(self) -> None:
        wire = self.client()
        wire.feed(client_query() * MOST_AT_ONCE)
        wire.feed(client_query() * 2)
        self.taken[1].callback(VALUE)
        wire.drop()
        begun = list(range(MOST_AT_ONCE))
        self.assertEqual((self.left, len(self.taken), self.codes()), (begun[:1] + begun[2:], MOST_AT_ONCE, ["left"]))
        self.assertEqual((self.clients.answer_bytes, self.clients.connections), (0, {}))

    def test_what_can_not_be_read_is_answered_and_the_connection_goes_on(self) -> None:
        wire = self.client()
        wire.feed(message(b"Q", b"SELECT 1\0") + client_query(more=",z"))
        self.assertEqual(wire.sent().count(b"C42601\0"), 2)
        wire.feed(client_query())
        self.assertEqual(len(self.taken), 1)

    def test_what_is_read_ahead_is_bounded(self) -> None:
        wire = self.client()
        for state in ("producing", "producing", "paused"):
            wire.feed(client_query(name="x" * 40000))
            self.assertEqual(wire.producerState, state)
        for place in range(3):
            self.taken[place].callback(VALUE)
        self.assertEqual(wire.producerState, "producing")

    def test_the_extended_protocol_is_declined_once_up_to_its_sync(self) -> None:
        wire = self.client()
        wire.feed(message(b"P", b"\0\0\0\0") + message(b"B", b"\0") + EMPTY + message(b"S", b"") + EMPTY)
        sent = wire.sent()
        self.assertEqual(sent.count(b"C0A000\0"), 1)
        self.assertTrue(sent.endswith(READY + message(b"I", b"") + READY))

    def test_a_lost_stream_ends_the_connection_behind_the_answers_still_due(self) -> None:
        for wrong in (b"Q\x7f\0\0\0", message(b"!", b""), message(b"Q", b"no end")):
            wire, place = self.client(), len(self.taken)
            wire.feed(client_query() + wrong + EMPTY)
            self.assertFalse(wire.closing)
            wire.feed(bytes(1000))  # what comes behind it is not kept
            self.assertLess(len(wire.protocol.splitter.held), 100)
            self.taken[place].callback(VALUE)
            sent = wire.sent()
            self.assertTrue(sent.startswith(messages.value_response(VALUE)))
            self.assertEqual(sent.count(b"SFATAL\0VFATAL\0C08P01\0"), 1)
            wire.feed(wrong)
            self.assertEqual(wire.sent(), b"")
            self.assertTrue(wire.settle())
        self.assertEqual(self.codes(), ["unreadable"])

    def test_a_full_house_ends_the_longest_idle_or_refuses_and_does_not_crash(self) -> None:
        self.clients.max_connections = 3
        idle, *busy = self.client(), self.client(), self.client()
        for wire in busy:
            wire.feed(client_query())
        busy.append(self.client())
        self.assertTrue(idle.settle())
        busy[-1].feed(client_query())
        late = self.client(opened=False)
        late.feed(STARTUP)
        self.assertIn(b"C53300\0", late.sent())
        self.assertTrue(late.settle())
        self.assertEqual(self.codes(), ["full", "no_room"])

    def test_answers_that_nobody_reads_do_not_pile_up(self) -> None:
        wire = self.client()
        wire.producer.pauseProducing()
        wire.feed(message(b"Q", b" " * 4000 + b"\0") * 20)
        self.assertEqual(wire.sent(), b"")
        self.assertEqual(wire.producerState, "paused")
        wire.producer.resumeProducing()
        self.assertEqual(wire.sent(), (message(b"I", b"") + READY) * 20)
        self.assertEqual(wire.producerState, "producing")

    def test_at_the_end_idle_connections_close_and_busy_ones_with_their_last_answer(self) -> None:
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

    def test_a_cancel_request_and_a_goodbye(self) -> None:
        for data in (bytes.fromhex("0000001004d2162e") + bytes(8), STARTUP + message(b"X", b"")):
            wire = self.client(opened=False)
            wire.feed(data)
            self.assertTrue(wire.settle())
        self.assertEqual(self.codes(), ["cancel", "goodbye"])
