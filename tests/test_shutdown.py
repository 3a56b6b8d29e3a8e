"""The end of a relay: what clients send until the process has gone is answered (docs/design/crossings.md)."""

import socket
from contextlib import suppress

from tealsail.choices.connection_lifetimes import DRAIN_CHECK_S
from tealsail.net.answers import FORFEITED_CODE, REJECTED_CODE
from tealsail.net.shutdown import STOP_GRACE_S

from .crossing import EMPTY, NOTHING, Crossing, free_port, row
from .fake import READY, ROW, STARTUP, client_query, message
from .test_relay import config

# After SIGTERM a process may be killed: its longest deadline, here 3 s, and 0.7 s (the operators' protocol page).
KILL_AFTER_S = 3.7
HELD_UP_S = 0.15  # for which a process may be held up before it writes what it has to (the operators' standing page)


class AtTheEnd(Crossing):
    """What crosses the end of a relay."""

    def test_query_in_the_kernel_when_idle_connections_end_is_served(self) -> None:
        """Guards against closing a connection with a query unread: its client gets a reset for an answer."""
        self.start_relay()
        client = self.connect()
        ended = self.begin_stop()
        client.sendall(client_query(wait=3000))
        self.wait_until_unread(client)
        self.advance(0.002)
        self.accept_query().sendall(ROW + READY)
        self.assertEqual(self.receive_to_close(client), ROW + READY)
        client.close()
        self.pass_time(3 * DRAIN_CHECK_S)
        self.assertEqual(len(ended), 1)

    def test_connections_in_the_backlog_are_served_before_the_listener_closes(self) -> None:
        """Guards against a listener that closes with connections in its backlog: all of them are reset."""
        self.start_relay()
        self.begin_stop()
        clients = [self.connect(answered=False) for _ in range(150)]
        clients[-1].sendall(client_query(wait=3000))
        self.advance(0.002)
        self.accept_query().sendall(ROW + READY)
        self.assertTrue(self.receive_to_close(clients[-1]).endswith(NOTHING + ROW + READY))
        for client in clients[:-1]:
            self.assertTrue(self.receive_to_close(client).endswith(NOTHING))

    def test_client_welcomed_as_the_drain_begins_is_served(self) -> None:
        self.start_relay()
        self.begin_stop()
        client = socket.create_connection(("127.0.0.1", self.port))
        self.addCleanup(client.close)
        client.sendall(STARTUP)
        self.advance(0.002)
        self.receive_until(client, READY)
        client.sendall(client_query(wait=3000))
        self.accept_query().sendall(ROW + READY)
        self.assertEqual(self.receive_to_close(client), ROW + READY)

    def test_client_welcomed_just_before_the_drain_is_served_and_a_silent_one_ended(self) -> None:
        """Guards against closing a connection between the welcome and a query on its way, when the client has nowhere
        left to connect again.  A client that stays silent is ended."""
        self.start_relay()
        ended = self.begin_stop()
        clients = [socket.create_connection(("127.0.0.1", self.port)) for _ in range(2)]
        for client in clients:
            self.addCleanup(client.close)
            client.sendall(STARTUP)
            self.receive_until(client, READY)
        self.advance(0.002)
        clients[0].sendall(client_query(wait=3000))
        self.accept_query().sendall(ROW + READY)
        self.assertEqual(self.receive_to_close(clients[0]), ROW + READY)
        clients[0].close()
        self.pass_time(0.3 + DRAIN_CHECK_S)
        self.assertEqual(self.receive_to_close(clients[1]), b"")
        clients[1].close()
        self.pass_time(3 * DRAIN_CHECK_S)
        self.assertEqual(len(ended), 1)

    def new_client_is_served(self, ended: list[None], seconds: float = 0.0) -> None:
        """A new client whose query waits in the kernel while timers run for `seconds` is served; the relay ends."""
        client = socket.create_connection(("127.0.0.1", self.port))
        self.addCleanup(client.close)
        client.sendall(STARTUP + client_query(wait=3000))
        self.advance(seconds)
        self.accept_query().sendall(ROW + READY)
        self.assertTrue(self.receive_to_close(client).endswith(ROW + READY))
        client.close()
        self.pass_time(4 * DRAIN_CHECK_S)
        self.assertEqual(len(ended), 1)

    def test_client_whose_query_crossed_the_end_reconnects_and_is_served(self) -> None:
        """Guards against a listener that closes before the connections do: the query that crossed has nowhere to go."""
        self.start_relay()
        client = self.connect()
        ended = self.begin_stop()
        self.advance(0.002)
        client.sendall(client_query(wait=3000))  # while the relay's close is on its way
        self.assertEqual(self.receive_to_close(client), b"")
        client.close()
        self.pass_time(DRAIN_CHECK_S)
        self.new_client_is_served(ended)

    def test_client_that_connects_before_the_last_drain_check_is_served(self) -> None:
        """Guards against the end of a relay with a connection in the backlog since the loop last accepted."""
        self.start_relay()
        ended = self.begin_stop()
        self.advance(0.002)
        self.new_client_is_served(ended, DRAIN_CHECK_S)

    def test_readiness_query_gets_no_answer_from_a_draining_relay(self) -> None:
        """Guards against a front end that sends new clients to a draining relay, which listens only for clients whose
        query crossed the end of their connection."""
        self.start_relay()
        busy = self.connect()
        busy.sendall(client_query(wait=3000))
        unit_end = self.accept_query()
        self.begin_stop()
        self.advance(0.002)
        front_end = socket.create_connection(("127.0.0.1", self.port))
        self.addCleanup(front_end.close)
        front_end.sendall(STARTUP + EMPTY)
        self.assertNotIn(message(b"I", b""), self.receive_to_close(front_end))
        unit_end.sendall(ROW + READY)
        self.assertEqual(self.receive_to_close(busy), ROW + READY)

    def test_repeated_connections_do_not_delay_the_end_of_the_drain(self) -> None:
        self.start_relay()
        ended = self.begin_stop()
        for _ in range(50):
            if not ended:
                client = socket.socket()
                self.addCleanup(client.close)
                if client.connect_ex(("127.0.0.1", self.port)) == 0:
                    client.sendall(STARTUP)
            self.pass_time(0.1)
        self.assertEqual(len(ended), 1)

    def test_drain_waits_for_half_a_query_but_not_for_ever(self) -> None:
        self.start_relay()
        kept, lost = self.connect(), self.connect()
        for client in (kept, lost):
            client.sendall(client_query(wait=3000)[:20])
            self.wait_until_unread(client)
            self.run_once()
        ended = self.begin_stop()
        self.advance(0.002)
        self.run_once()
        kept.sendall(client_query(wait=3000)[20:])
        self.accept_query().sendall(ROW + READY)
        self.assertEqual(self.receive_to_close(kept), ROW + READY)
        kept.close()
        self.pass_time(2.2)
        self.assertEqual(self.receive_to_close(lost), b"")
        self.pass_time(0.3)
        self.assertEqual(len(ended), 1)

    def slow_reader(self) -> tuple[socket.socket, bytes, list[None]]:
        """A client whose long answer waits in the draining relay; the answer; and a list that is filled when the relay
        has ended."""
        self.start_relay()
        client = self.connect(rcvbuf=4096)
        connection = next(iter(self.relay.clients.connections))
        connection.transport.socket.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4096)
        client.sendall(client_query(wait=3000))
        unit_end, ended = self.accept_query(), self.begin_stop()
        self.advance(0.002)
        unit_end.setblocking(False)
        answer, sent = row(bytes(200_000)) + READY, 0
        while sent < len(answer):
            sent += unit_end.send(answer[sent:])
            self.run_once()
        self.run_until(lambda: connection.write_paused)
        return client, answer, ended

    def test_slow_reader_gets_its_whole_answer_and_then_the_end(self) -> None:
        """Guards against a transport that asks a paused producer for more and forgets that it was to close."""
        client, answer, ended = self.slow_reader()
        self.assertEqual(self.receive_to_close(client), answer)
        client.close()
        self.pass_time(3 * DRAIN_CHECK_S)
        self.assertEqual(len(ended), 1)

    def test_client_that_never_reads_does_not_delay_the_end_of_the_drain(self) -> None:
        ended = self.slow_reader()[2]
        self.pass_time(2.5)
        self.assertEqual(ended, [])
        self.pass_time(0.8)
        self.assertEqual((len(ended), self.relay.counters.counts["client.ended.closing"]), (1, 1))

    def one_shot_query(self, number: str = "9b1f") -> socket.socket:
        """A new client whose one-shot query has been read; it waits 5 s."""
        client = socket.create_connection(("127.0.0.1", self.port))
        self.addCleanup(client.close)
        taken = self.relay.counters.counts["clients.taken"]
        client.sendall(STARTUP + client_query(wait=5000, workload="order", number=number))
        self.run_until(lambda: self.relay.counters.counts["clients.taken"] > taken)
        return client

    def test_query_at_a_hung_unit_is_answered_before_the_stopped_process_may_be_killed(self) -> None:
        """Guards against a query taken after SIGTERM that waits for its client's deadline, beyond SIGKILL."""
        self.start_relay()
        ended = self.begin_stop()
        self.advance(0.002)
        client = self.one_shot_query()
        self.accept_query()  # and no answer
        self.pass_time(KILL_AFTER_S - STOP_GRACE_S - HELD_UP_S)
        self.assertIn(FORFEITED_CODE.encode(), self.receive_to_close(client))
        client.close()
        self.pass_time(3 * DRAIN_CHECK_S)
        self.assertEqual(len(ended), 1)

    def test_query_behind_one_of_before_the_stop_is_answered_before_the_kill(self) -> None:
        """Guards against an answer that is held back, beyond SIGKILL, by an earlier query of its connection."""
        self.start_relay()
        client = self.connect()
        client.sendall(client_query(wait=5000, workload="order"))
        self.accept_query()  # and no answer
        self.begin_stop()
        self.pass_time(0.3)
        client.sendall(client_query(wait=5000, workload="order", number="9b20"))
        self.accept_query().sendall(ROW + READY)
        self.pass_time(KILL_AFTER_S - STOP_GRACE_S - 0.3 - HELD_UP_S)
        answers = self.receive_to_close(client)
        self.assertIn(FORFEITED_CODE.encode(), answers)
        self.assertTrue(answers.endswith(ROW + READY))
        self.assertEqual(self.relay.counters.counts["clients.forfeited_at_stop"], 1)

    def test_query_shortly_before_the_kill_is_rejected_at_once(self) -> None:
        """Guards against a query that is begun although the process may be killed before it can be answered."""
        self.start_relay()
        self.one_shot_query()  # one at hand, so that the relay goes on
        self.accept_query()
        self.begin_stop()
        self.pass_time(KILL_AFTER_S - STOP_GRACE_S - HELD_UP_S)
        client = self.one_shot_query(number="9b20")
        self.assertIn(REJECTED_CODE.encode(), self.receive_to_close(client))

    def failed_at_the_deadline(self) -> list[None]:
        """A relay that has just answered its last open query, 0.25 s before it may be killed; the list as above."""
        self.start_relay()
        client = self.one_shot_query()
        self.accept_query()  # and no answer
        ended = self.begin_stop()
        self.pass_time(KILL_AFTER_S - STOP_GRACE_S - 0.25)
        self.assertIn(FORFEITED_CODE.encode(), self.receive_to_close(client))
        client.close()
        self.run_until(lambda: not self.relay.clients.connections)
        return ended

    def connect_again(self) -> socket.socket:
        """A client that sends a query that has crossed the end of its connection over a new one; nothing is read."""
        client = socket.create_connection(("127.0.0.1", self.port))
        self.addCleanup(client.close)
        client.sendall(STARTUP + client_query(wait=3000, number="9b20"))
        return client

    def test_query_in_the_backlog_of_a_relay_held_up_near_its_kill_is_answered(self) -> None:
        """Guards against a relay past its longest deadline that ends without a look at the backlog: review case 7."""
        ended = self.failed_at_the_deadline()
        clients = [self.connect_again() for _ in range(20)]
        self.advance(HELD_UP_S)  # all timers of that time are due at once
        for client in clients:
            self.assertIn(REJECTED_CODE.encode(), self.receive_to_close(client))
            client.close()
        self.pass_time(0.1)
        self.assertEqual(len(ended), 1)

    def test_query_unread_at_the_last_check_before_the_kill_is_answered(self) -> None:
        """Guards against the abort of an accepted connection whose query has arrived and is not read yet."""
        ended = self.failed_at_the_deadline()
        client = socket.create_connection(("127.0.0.1", self.port))
        self.addCleanup(client.close)
        client.sendall(STARTUP)
        self.receive_until(client, READY)
        client.sendall(client_query(wait=3000, number="9b20"))
        self.wait_until_unread(client)
        self.advance(0.17)
        self.assertIn(REJECTED_CODE.encode(), self.receive_to_close(client))
        self.pass_time(0.05)
        self.assertEqual(len(ended), 1)

    def test_relay_ends_before_the_kill_whatever_its_deadlines(self) -> None:
        """Guards against an end later than the earliest kill, with clients that do not read and others that connect and
        send again and again."""
        for longest, kill_after in ((1000, 1.7), (2000, 2.7), (3000, 3.7), (60_000, 3.7)):
            with self.subTest(longest=longest):
                settings = config()["settings"]
                classes = [each | {"deadline": longest} for each in settings["requestClasses"]]
                self.port = free_port()
                self.start_relay(settings=settings | {"requestClasses": classes})
                silent = self.connect()
                silent.sendall(client_query(wait=longest)[:20])
                ended = self.begin_stop()
                for _ in range(round((kill_after - STOP_GRACE_S) * 20)):
                    with suppress(ConnectionError):
                        self.connect_again()
                    self.pass_time(0.05)
                self.assertEqual(len(ended), 1)

    def test_peer_messages_are_taken_until_the_last_answer(self) -> None:
        """Guards against a relay that asks another which unit to take and does not receive the answer."""
        self.start_relay()
        client = self.connect()
        client.sendall(client_query(wait=3000))
        unit_end = self.accept_query()
        self.begin_stop()
        self.advance(0.002)
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as other:
            other.sendto(b"note", self.relay.peer_listener.socket.getsockname())
            self.run_until(lambda: self.relay.counters.counts["peers.dropped"])
        unit_end.sendall(ROW + READY)
        self.assertEqual(self.receive_to_close(client), ROW + READY)
