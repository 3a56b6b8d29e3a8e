"""What crosses in the kernel: real sockets, and a loop that turns only when a story says so, on a clock that a story
moves.

Each story lays a query, an answer, an end or a list into the kernel's buffers first and lets the loop go on then, so
that nothing is left to luck.  docs/design/crossings.md lists them.
"""

import json
import os
import select
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import threading
import time
import tomllib
import unittest
from collections.abc import Callable

from twisted.internet.epollreactor import EPollReactor

from tealsail.choices.pauses import UNTOLD
from tealsail.net.relay import DRAIN_CHECK_S, STOP_GRACE_S, Relay

from .fake import GREETING, IDLE, OPENING, ROW, asking, field
from .test_relay import config, listing, reply, told, unit

EMPTY, NOTHING = field(b"Q", b"\0"), field(b"I", b"") + IDLE
PATIENCE = 20.0  # seconds of real time, for a machine that is busy with other things


def row(value: bytes) -> bytes:
    return (
        field(b"T", b"\0\1content\0" + bytes(16) + b"\0\1")
        + field(b"D", b"\0\1" + struct.pack(">I", len(value)) + value)
        + field(b"C", b"SELECT 1\0")
    )


def free_port() -> int:
    with socket.socket() as free:
        free.bind(("127.0.0.1", 0))
        return free.getsockname()[1]


class Crossing(unittest.TestCase):
    def setUp(self) -> None:
        self.now = 1_700_000_000.0
        self.reactor = EPollReactor()
        self.reactor.seconds = lambda: self.now
        self.unit_side = self.listening()
        self.agent_side = self.listening()
        self.port = free_port()

    def listening(self) -> socket.socket:
        server = socket.create_server(("127.0.0.1", 0))
        self.addCleanup(server.close)
        return server

    def started(self, *units: dict, held: bool = False, **more: object) -> Relay:
        """`held`: in its first instant, when its list has not come yet; else with its door open."""
        here = {"hostPort": f"127.0.0.1:{self.unit_side.getsockname()[1]}"}
        tree = (
            config(
                listen=f"127.0.0.1:{self.port}",
                peer_listen=f"127.0.0.1:{free_port()}",
                discovery=f"127.0.0.1:{self.agent_side.getsockname()[1]}",
                rollouts=config()["rollouts"] | {"address": "127.0.0.1:1"},
                known=listing(41, True, *(units or (unit(1) | here,))),
            )
            | more
        )
        self.tree = tree
        self.relay = Relay(self.reactor, told(tree))
        self.relay.start()
        self.addCleanup(self.reactor.removeAll)
        self.addCleanup(self.everything_closed)
        if not held:
            self.later(UNTOLD)
        return self.relay

    def everything_closed(self) -> None:
        for reader in self.reactor.removeAll():
            getattr(reader, "socket", self.unit_side).close()

    def turn(self) -> None:
        self.reactor.runUntilCurrent()
        self.reactor.doIteration(0.01)

    def until(self, what: Callable[[], object]) -> None:
        """The loop goes on, and time stands, until that is so."""
        end = time.monotonic() + PATIENCE
        while not what():
            self.assertLess(time.monotonic(), end, "it did not come")
            self.turn()

    def later(self, seconds: float) -> None:
        """Only the timers: nothing that came is read."""
        self.now += seconds
        self.reactor.runUntilCurrent()

    def pass_time(self, seconds: float) -> None:
        for _ in range(round(seconds * 20)):
            self.now += 0.05
            self.turn()

    def connect(self, turn: bool = True, rcvbuf: int = 0) -> socket.socket:
        client = socket.socket()
        self.addCleanup(client.close)
        if rcvbuf:
            client.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, rcvbuf)
        client.connect(("127.0.0.1", self.port))
        client.sendall(OPENING + EMPTY)
        if turn:
            self.assertTrue(self.got(client, NOTHING).endswith(NOTHING))
        return client

    def accept(self, server: socket.socket) -> socket.socket:
        self.until(lambda: select.select([server], [], [], 0)[0])
        inside = server.accept()[0]
        self.addCleanup(inside.close)
        return inside

    def shot(self) -> socket.socket:
        """The unit's end of a new connection with a query on it."""
        inside = self.accept(self.unit_side)
        inside.sendall(GREETING)
        self.got(inside, b"*/\0")
        return inside

    def got(self, sock: socket.socket, last: bytes) -> bytes:
        """All up to these bytes, or up to the end."""
        seen = b""
        while not seen.endswith(last):
            self.until(lambda: select.select([sock], [], [], 0)[0])
            data = sock.recv(1 << 16)
            if not data:
                break
            seen += data
        return seen

    def to_the_end(self, sock: socket.socket, seen: bytearray | None = None) -> bytes:
        """Raises ConnectionResetError where the end is none in order; what came before it is in `seen`."""
        seen = bytearray() if seen is None else seen
        while True:
            self.until(lambda: select.select([sock], [], [], 0)[0])
            data = sock.recv(1 << 16)
            if not data:
                return bytes(seen)
            seen += data

    def ended(self, sock: socket.socket) -> bytes:
        """All up to the end, in order or not."""
        seen = bytearray()
        try:
            return self.to_the_end(sock, seen)
        except ConnectionResetError:
            return bytes(seen)

    def in_kernel(self, client: socket.socket) -> None:
        """What that client wrote waits at the relay's end, unread."""
        here = next(
            each for each in self.relay.clients.connections if each.transport.getPeer().port == client.getsockname()[1]
        )
        self.assertTrue(select.select([here.transport.socket], [], [], PATIENCE)[0])

    def leaving(self) -> list[None]:
        """SIGTERM came, and the moment in which clients still come is over but for its last instant."""
        ended: list[None] = []
        self.relay.stop().addCallback(ended.append)
        self.later(STOP_GRACE_S - 0.001)
        return ended


class AtTheEnd(Crossing):
    def test_a_query_in_the_kernel_when_idle_connections_end_is_served(self) -> None:
        """Guards against an end over a query that is taken already: its client gets a reset for an answer."""
        self.started()
        client = self.connect()
        ended = self.leaving()
        client.sendall(asking(wait=3000))
        self.in_kernel(client)
        self.later(0.002)
        self.shot().sendall(ROW + IDLE)
        self.assertEqual(self.to_the_end(client), ROW + IDLE)
        client.close()
        self.pass_time(3 * DRAIN_CHECK_S)
        self.assertEqual(len(ended), 1)

    def test_connections_that_the_kernel_took_in_before_the_door_closed_are_served(self) -> None:
        """Guards against a port that closes over its backlog: all in it are reset."""
        self.started()
        self.leaving()
        clients = [self.connect(turn=False) for _ in range(150)]
        clients[-1].sendall(asking(wait=3000))
        self.later(0.002)
        self.shot().sendall(ROW + IDLE)
        self.assertTrue(self.to_the_end(clients[-1]).endswith(NOTHING + ROW + IDLE))
        for client in clients[:-1]:
            self.assertTrue(self.to_the_end(client).endswith(NOTHING))

    def test_who_was_welcomed_at_the_last_moment_still_asks(self) -> None:
        self.started()
        self.leaving()
        client = socket.create_connection(("127.0.0.1", self.port))
        self.addCleanup(client.close)
        client.sendall(OPENING)
        self.later(0.002)
        self.got(client, IDLE)
        client.sendall(asking(wait=3000))
        self.shot().sendall(ROW + IDLE)
        self.assertEqual(self.to_the_end(client), ROW + IDLE)

    def test_who_was_welcomed_just_before_the_door_closes_still_asks(self) -> None:
        """Guards against an end between the welcome and a query that is on its way: there is no door left for it to
        come again. One that says nothing for longer is ended."""
        self.started()
        ended = self.leaving()
        clients = [socket.create_connection(("127.0.0.1", self.port)) for _ in range(2)]
        for client in clients:
            self.addCleanup(client.close)
            client.sendall(OPENING)
            self.got(client, IDLE)
        self.later(0.002)
        clients[0].sendall(asking(wait=3000))
        self.shot().sendall(ROW + IDLE)
        self.assertEqual(self.to_the_end(clients[0]), ROW + IDLE)
        clients[0].close()
        self.pass_time(0.3 + DRAIN_CHECK_S)
        self.assertEqual(self.to_the_end(clients[1]), b"")
        clients[1].close()
        self.pass_time(3 * DRAIN_CHECK_S)
        self.assertEqual(len(ended), 1)

    def comes_and_is_served(self, ended: list[None], look: float = 0.0) -> None:
        """A new client whose query waits in the kernel while the timers of that long run; it is served, and the relay
        ends."""
        client = socket.create_connection(("127.0.0.1", self.port))
        self.addCleanup(client.close)
        client.sendall(OPENING + asking(wait=3000))
        self.later(look)
        self.shot().sendall(ROW + IDLE)
        self.assertTrue(self.to_the_end(client).endswith(ROW + IDLE))
        client.close()
        self.pass_time(4 * DRAIN_CHECK_S)
        self.assertEqual(len(ended), 1)

    def test_whose_query_crosses_the_end_of_its_connection_comes_again_and_is_served(self) -> None:
        """Guards against a door that closes before the connections do: the query that crossed has nowhere to go."""
        self.started()
        client = self.connect()
        ended = self.leaving()
        self.later(0.002)
        client.sendall(asking(wait=3000))  # our end is on its way to it
        self.assertEqual(self.to_the_end(client), b"")
        client.close()
        self.pass_time(DRAIN_CHECK_S)
        self.comes_and_is_served(ended)

    def test_who_comes_before_the_last_look_is_served(self) -> None:
        """Guards against an end over a connection that the kernel took in since the loop last asked."""
        self.started()
        ended = self.leaving()
        self.later(0.002)
        self.comes_and_is_served(ended, DRAIN_CHECK_S)

    def test_a_front_that_asks_while_this_relay_ends_is_not_told_that_it_is_ready(self) -> None:
        """Guards against new clients for a relay whose door is open only for those who crossed its end."""
        self.started()
        busy = self.connect()
        busy.sendall(asking(wait=3000))
        inside = self.shot()
        self.leaving()
        self.later(0.002)
        front = socket.create_connection(("127.0.0.1", self.port))
        self.addCleanup(front.close)
        front.sendall(OPENING + EMPTY)
        self.assertNotIn(field(b"I", b""), self.to_the_end(front))
        inside.sendall(ROW + IDLE)
        self.assertEqual(self.to_the_end(busy), ROW + IDLE)

    def test_who_comes_again_and_again_does_not_hold_the_end_up(self) -> None:
        self.started()
        ended = self.leaving()
        for _ in range(50):
            if not ended:
                client = socket.socket()
                self.addCleanup(client.close)
                if client.connect_ex(("127.0.0.1", self.port)) == 0:
                    client.sendall(OPENING)
            self.pass_time(0.1)
        self.assertEqual(len(ended), 1)

    def test_half_a_query_is_waited_for_but_not_for_ever(self) -> None:
        self.started()
        kept, lost = self.connect(), self.connect()
        for client in (kept, lost):
            client.sendall(asking(wait=3000)[:20])
            self.in_kernel(client)
            self.turn()
        ended = self.leaving()
        self.later(0.002)
        self.turn()
        kept.sendall(asking(wait=3000)[20:])
        self.shot().sendall(ROW + IDLE)
        self.assertEqual(self.to_the_end(kept), ROW + IDLE)
        kept.close()
        self.pass_time(2.2)
        self.assertEqual(self.to_the_end(lost), b"")
        self.pass_time(0.3)
        self.assertEqual(len(ended), 1)

    def slow_reader(self) -> tuple[socket.socket, bytes, list[None]]:
        """A client whose long answer waits in the relay while that ends; the answer, and whether the relay has
        ended."""
        self.started()
        client = self.connect(rcvbuf=4096)
        here = next(iter(self.relay.clients.connections))
        here.transport.socket.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4096)
        client.sendall(asking(wait=3000))
        inside, ended = self.shot(), self.leaving()
        self.later(0.002)
        inside.setblocking(False)
        answer, sent = row(bytes(200_000)) + IDLE, 0
        while sent < len(answer):
            sent += inside.send(answer[sent:])
            self.turn()
        self.until(lambda: here.clogged)
        return client, answer, ended

    def test_a_client_that_reads_late_gets_all_and_then_the_end(self) -> None:
        """Guards against a transport that asks a paused producer for more and forgets that it was to end."""
        client, answer, ended = self.slow_reader()
        self.assertEqual(self.to_the_end(client), answer)
        client.close()
        self.pass_time(3 * DRAIN_CHECK_S)
        self.assertEqual(len(ended), 1)

    def test_a_client_that_never_reads_does_not_hold_the_end_up(self) -> None:
        ended = self.slow_reader()[2]
        self.pass_time(2.5)
        self.assertEqual(ended, [])
        self.pass_time(0.8)
        self.assertEqual((len(ended), self.relay.counters.counts["client.ended.closing"]), (1, 1))

    def test_notes_come_as_long_as_somebody_is_served(self) -> None:
        """Guards against a relay that asks another which unit to take and does not hear the answer."""
        self.started()
        client = self.connect()
        client.sendall(asking(wait=3000))
        inside = self.shot()
        self.leaving()
        self.later(0.002)
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as other:
            other.sendto(b"note", self.relay.peer_listener.socket.getsockname())
            self.until(lambda: self.relay.counters.counts["peers.dropped"])
        inside.sendall(ROW + IDLE)
        self.assertEqual(self.to_the_end(client), ROW + IDLE)


class AtTheClients(Crossing):
    def ended_over(self, code: str) -> None:
        """A query is in the kernel in the turn in which its idle connection would end with that code."""
        clients = self.started().clients
        client = self.connect()
        here = next(iter(clients.connections))
        here.asked, here.idle_since = code != "mute", clients.clock() - 25_000
        client.sendall(asking(wait=3000))
        self.in_kernel(client)
        clients.most = 16 if code == "mute" else 1
        if code == "no_room":
            self.assertFalse(clients.enter(type(here)(clients)))
        else:
            clients.sweep()
        self.shot().sendall(ROW + IDLE)
        self.assertEqual(self.got(client, IDLE), ROW + IDLE)

    def test_a_query_in_the_kernel_is_not_crowded_out(self) -> None:
        """Guards, as the next two, against the end of a connection that only looks idle: what it asked would be
        reset."""
        self.ended_over("crowded")

    def test_a_query_in_the_kernel_is_not_mute(self) -> None:
        self.ended_over("mute")

    def test_a_query_in_the_kernel_makes_no_room(self) -> None:
        self.ended_over("no_room")

    def behind_the_look(self, code: str) -> None:
        """A query right behind the look at its idle connection, before the loop turns again: its client, in order, asks
        where no end shows, and on a new connection else."""
        clients = self.started().clients
        client = self.connect()
        here = next(iter(clients.connections))
        here.asked, here.idle_since = code != "mute", clients.clock() - 25_000
        if code == "closing":
            self.leaving()
            self.later(0.002)
        elif code == "no_room":
            clients.most = 1
            clients.enter(type(here)(clients))
        else:
            clients.most = 16 if code == "mute" else 1
            clients.sweep()
        clients.most = 16
        if select.select([client], [], [], 0)[0]:
            self.assertEqual(client.recv(1, socket.MSG_DONTWAIT), b"", "an end in order")
            client.close()
            client = socket.create_connection(("127.0.0.1", self.port))
            self.addCleanup(client.close)
            client.sendall(OPENING)
        client.sendall(asking(wait=3000))
        self.shot().sendall(ROW + IDLE)
        self.assertTrue(self.got(client, ROW + IDLE).endswith(ROW + IDLE))
        self.assertEqual(clients.counters.counts[f"client.ended.{code}"], 1)

    def test_a_query_behind_the_look_when_idle_connections_end_is_served(self) -> None:
        """Guards, as the next three, against an end that comes a turn of the loop behind the look at the connection:
        what was asked meanwhile, on a connection that looked open, was dropped or reset."""
        self.behind_the_look("closing")

    def test_a_query_behind_the_look_is_not_crowded_out(self) -> None:
        self.behind_the_look("crowded")

    def test_a_query_behind_the_look_at_a_mute_connection_is_served(self) -> None:
        self.behind_the_look("mute")

    def test_a_query_behind_the_look_for_room_is_served(self) -> None:
        self.behind_the_look("no_room")

    def test_a_last_word_is_not_overtaken_by_a_reset(self) -> None:
        """Guards against an end with something unread, which is a reset and may destroy what was written before it."""
        self.started()
        client = self.connect()
        client.sendall(field(b"!", b""))
        self.in_kernel(client)
        client.sendall(bytes(300_000))
        said = self.to_the_end(client)
        self.assertEqual((said.count(b"C08P01\0"), said[:1]), (1, b"E"))
        client.sendall(bytes(1000))  # still no reset: it is read and dropped
        self.turn()
        client.close()
        self.until(lambda: not self.relay.clients.connections)

    def test_who_does_not_end_its_half_is_left(self) -> None:
        self.started()
        client = self.connect()
        client.sendall(field(b"!", b""))
        self.to_the_end(client)
        self.pass_time(0.6)
        self.assertEqual(len(self.relay.clients.connections), 0)
        self.assertEqual(self.relay.clients.reading_out, 0)


class AtTheUnits(Crossing):
    def test_a_second_answer_some_ms_late_is_not_the_next_querys(self) -> None:
        """Guards against a row that no unit made for the query: a second answer to the one before, behind the empty
        query's."""
        self.started()
        client = self.connect()
        client.sendall(asking(wait=3000))
        inside = self.shot()
        inside.sendall(row(b"first") + IDLE)
        self.assertEqual(self.got(client, IDLE), row(b"first") + IDLE)
        self.now += 0.002
        client.sendall(asking(wait=3000, name="other"))
        self.until(lambda: select.select([inside, self.unit_side], [], [], 0)[0])
        if select.select([inside], [], [], 0)[0]:
            inside.sendall(NOTHING)  # whether it is still there; and then the query
            self.got(inside, b"*/\0")
        other = self.shot() if select.select([self.unit_side], [], [], 0)[0] else inside
        inside.sendall(row(b"first") + IDLE)
        other.sendall(row(b"other") + IDLE)
        self.assertEqual(self.got(client, IDLE), row(b"other") + IDLE)

    def there(self, server: socket.socket, build: int = 41, lifecycle: str = "ready") -> dict:
        return unit(1, build=build, lifecycle=lifecycle) | {"hostPort": f"127.0.0.1:{server.getsockname()[1]}"}

    def told(self, *entries: dict) -> None:
        """A change of the list, read before anything else."""
        agent = self.accept(self.agent_side)
        self.got(agent, b"\r\n\r\n")
        agent.sendall(reply(listing(42, False, *entries)))
        self.until(lambda: self.relay.counters.counts["discovery.list.changes"])

    def test_a_unit_that_moves_while_a_connection_comes_up_is_asked_where_it_is_now(self) -> None:
        """Guards against a shot at an address that is listed no longer, under a number that is."""
        self.started()
        elsewhere = self.listening()
        client = self.connect()
        client.sendall(asking(wait=3000))
        former = self.accept(self.unit_side)
        self.told(self.there(elsewhere))
        former.sendall(GREETING)
        inside = self.accept(elsewhere)
        inside.sendall(GREETING)
        self.got(inside, b"*/\0")
        inside.sendall(ROW + IDLE)
        self.assertEqual(self.got(client, IDLE), ROW + IDLE)
        self.assertNotIn(b"SELECT", self.ended(former))

    def test_a_unit_that_ends_idle_connections_soon_gets_no_query_on_one_that_it_is_about_to_end(self) -> None:
        """Guards against one look a second at connections that the unit's machine ends after a third of one."""
        settings = config()["settings"]
        self.started(settings=settings | {"limits": settings["limits"] | {"connIdle": 300}})
        client = self.connect()
        client.sendall(asking(wait=3000))
        inside = self.shot()
        inside.sendall(ROW + IDLE)
        self.got(client, IDLE)
        for _ in range(29):
            self.later(0.01)
        client.sendall(asking(wait=3000))
        self.shot().sendall(ROW + IDLE)
        self.assertEqual(self.got(client, IDLE), ROW + IDLE)
        self.assertNotIn(b"Q", self.ended(inside))

    def test_a_unit_gone_and_back_in_one_answer_is_the_one_that_came_last(self) -> None:
        self.started()
        elsewhere = self.listening()
        self.told(self.there(self.unit_side, lifecycle="gone"), self.there(elsewhere, build=42))
        client = self.connect()
        client.sendall(asking(wait=3000))
        inside = self.accept(elsewhere)
        inside.sendall(GREETING)
        self.got(inside, b"*/\0")
        inside.sendall(ROW + IDLE)
        self.assertEqual(self.got(client, IDLE), ROW + IDLE)
        self.assertEqual(select.select([self.unit_side], [], [], 0)[0], [])

    def test_a_connection_that_comes_up_when_its_shot_is_over_carries_nothing(self) -> None:
        self.started()
        client = self.connect()
        client.sendall(asking(wait=3000))
        inside = self.accept(self.unit_side)
        client.close()
        self.until(lambda: self.relay.counters.counts["clients.left"])
        inside.sendall(GREETING)
        self.until(lambda: any(pool.idle for pool in self.relay.units.pools.values()))
        self.relay.units.forget_idle()
        self.assertNotIn(b"SELECT", self.ended(inside))

    def test_a_client_that_leaves_in_the_turn_of_its_answer_costs_nobody_else_anything(self) -> None:
        """The answer and the client's reset wait in the kernel together; the next client is served as ever."""
        self.started()
        client = self.connect()
        client.sendall(asking(wait=3000))
        inside = self.shot()
        inside.sendall(ROW + IDLE)
        client.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        client.close()
        self.until(lambda: self.relay.counters.counts["clients.connections"] and not self.relay.clients.connections)
        self.pass_time(0.1)
        client = self.connect()
        client.sendall(asking(wait=3000))
        other = inside if self.relay.units.held() else self.accept(self.unit_side)
        if other is not inside:
            other.sendall(GREETING)
        self.answer_checks(other)
        other.sendall(ROW + IDLE)
        self.assertEqual(self.got(client, IDLE), ROW + IDLE)
        self.assertEqual(self.relay.counters.counts["faults"], 0)

    def answer_checks(self, inside: socket.socket) -> None:
        """All up to the query; a check before it is answered."""
        seen = b""
        while not seen.endswith(b"*/\0"):
            self.until(lambda: select.select([inside], [], [], 0)[0])
            seen += inside.recv(1 << 16)
            if seen.endswith(EMPTY):
                inside.sendall(NOTHING)

    def test_spoilt_answers_lists_and_notes_end_nothing_but_themselves(self) -> None:
        self.started()
        client = self.connect()
        client.sendall(asking(wait=3000, workload="order"))
        self.shot().sendall(field(b"T", b"\xff\xff"))
        self.assertIn(b"C58000\0", self.got(client, IDLE))
        agent = self.accept(self.agent_side)
        self.got(agent, b"\r\n\r\n")
        agent.sendall(reply({"generation": "x", "instances": [7]}))
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as post:
            for spoilt in (b"", b"\0", bytes(300), b"\xff" * 256):
                post.sendto(spoilt, ("127.0.0.1", int(self.tree["peer_listen"].split(":")[1])))
        self.until(lambda: self.relay.counters.counts["discovery.unreadable"])
        self.pass_time(0.3)
        client.sendall(asking(wait=3000))
        self.shot().sendall(ROW + IDLE)
        self.assertEqual(self.got(client, IDLE), ROW + IDLE)
        counts = self.relay.counters.counts
        self.assertEqual((counts["faults"], self.relay.facade.faults, counts["units.unreadable"]), (0, 0, 1))

    def reset_under(self, size: int) -> bytes:
        """What a client is told whose one-shot query of so many bytes is on its way when the unit's side is reset."""
        self.started()
        client = self.connect()
        text = (
            b"INSERT INTO kv (name, content) VALUES ('k', '\\x%s') RETURNING content /* id=1,c=order,t=acme,d=3000 */"
        )
        client.sendall(field(b"Q", text % (b"00" * size) + b"\0"))
        inside = self.accept(self.unit_side)
        self.unit_side.close()  # nothing else to send it to
        pool = next(iter(self.relay.units.pools.values()))
        next(iter(pool.all)).transport.socket.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4096)
        inside.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        inside.sendall(GREETING)
        seen = b""
        while b"INSERT" not in seen:
            self.until(lambda: select.select([inside], [], [], 0)[0])
            seen += inside.recv(4096)
        inside.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        inside.close()
        return self.got(client, IDLE)

    def test_a_reset_before_the_last_byte_is_no_shot(self) -> None:
        """And so a rejection, harmless to repeat; with the next one guards against a one-shot that is sent twice or
        lost."""
        self.assertIn(b"C53300\0", self.reset_under(60_000))

    def test_a_reset_behind_the_last_byte_may_have_run(self) -> None:
        self.assertIn(b"C58000\0", self.reset_under(1))


class AtTheList(Crossing):
    def agent(self) -> socket.socket:
        agent = self.accept(self.agent_side)
        self.got(agent, b"\r\n\r\n")
        return agent

    def test_a_watch_that_falls_silent_is_replaced_before_what_it_misses_counts_as_told(self) -> None:
        """Guards against shots at a unit whose end was told on a watch that never answers: it counts 2 s after its
        wait."""
        self.started()
        agent = self.agent()
        here = {"hostPort": f"127.0.0.1:{self.unit_side.getsockname()[1]}"}
        agent.sendall(reply(listing(42, True, unit(1) | here)))
        self.got(agent, b"\r\n\r\n")
        self.pass_time(20.9)
        self.assertEqual(select.select([self.agent_side], [], [], 0)[0], [])
        self.pass_time(0.5)
        new = self.agent()
        new.sendall(reply(listing(43, False, unit(1, lifecycle="draining") | here)))
        self.got(new, b"\r\n\r\n")
        client = self.connect()
        client.sendall(asking(wait=3000))
        self.assertIn(b"C53300\0", self.got(client, IDLE))

    def test_a_reply_that_comes_in_drops_is_given_up(self) -> None:
        """Guards against an agent that never ends what it began: each piece would give it another second."""
        self.started()
        agent = self.agent()
        whole = reply(listing(42, True))
        for place in range(0, 5):
            agent.sendall(whole[place : place + 1])
            self.pass_time(0.9)
            if self.relay.counters.counts["discovery.ended.silent"]:
                break
        self.assertEqual(self.relay.counters.counts["discovery.ended.silent"], 1)
        self.agent()

    def first_query(self) -> socket.socket:
        """A query that waits in the kernel of a relay which has just begun, and the loop has gone round many times."""
        self.started(held=True)
        client = socket.create_connection(("127.0.0.1", self.port))
        self.addCleanup(client.close)
        client.sendall(OPENING + asking(wait=3000))
        for _ in range(20):
            self.turn()
        return client

    def test_the_first_query_of_a_new_process_waits_for_the_list_that_counts_already(self) -> None:
        """Guards against a shot at a unit that was drained while this relay was down: what its agent has counts as
        told."""
        client = self.first_query()
        here = {"hostPort": f"127.0.0.1:{self.unit_side.getsockname()[1]}"}
        self.agent().sendall(reply(listing(42, True, unit(1, lifecycle="draining") | here)))
        self.assertIn(b"C53300\0", self.got(client, IDLE))
        self.assertEqual(select.select([self.unit_side], [], [], 0)[0], [])

    def test_a_list_that_says_nothing_holds_the_door_for_a_moment_only(self) -> None:
        client = self.first_query()
        self.later(UNTOLD)
        self.shot().sendall(ROW + IDLE)
        self.assertTrue(self.got(client, ROW + IDLE).endswith(ROW + IDLE))

    def test_a_relay_that_ends_before_its_list_came_serves_who_waits(self) -> None:
        client = self.first_query()
        ended: list[None] = []
        self.relay.stop().addCallback(ended.append)
        self.now += STOP_GRACE_S
        self.turn()
        self.shot().sendall(ROW + IDLE)
        self.assertTrue(self.to_the_end(client).endswith(ROW + IDLE))


class NewSettings(Crossing):
    def changed(self, **more: object) -> None:
        self.relay.reconfigure(told(self.tree | more))

    def test_a_file_of_another_relay_or_customer_moves_nothing(self) -> None:
        self.started()
        settings, elsewhere = self.tree["settings"], {"discovery": "127.0.0.1:7"}
        others = [
            {"name": "n7"},
            {"listen": "127.0.0.8:5432"},
            {"peer_listen": "127.0.0.8:7946"},
            {"settings": settings | {"requestClasses": settings["requestClasses"][::-1]}},
            {"settings": settings | {"requestClasses": settings["requestClasses"][:1]}},
            {"settings": settings | {"tenants": [{"name": "umbrella", "share": 1}]}},
            {"settings": settings | {"fleetSize": 3}},
        ]
        for other in others:
            before = dict(self.relay.facade.relay.facts)
            with self.subTest(list(other)), self.assertRaises(ValueError):
                self.changed(**elsewhere, **other, rollouts=self.tree["rollouts"])
            self.assertEqual(self.relay.facade.relay.facts, before)
            self.assertEqual(self.relay.discovery.address, self.tree["discovery"])

    def test_what_needs_a_restart_is_kept_and_the_addresses_count(self) -> None:
        """Guards against a relay that stays with a list which nobody keeps up, for the sake of a time that it can't
        take."""
        self.started()
        settings = self.tree["settings"]
        before = dict(self.relay.facade.relay.facts)
        there = self.listening()
        self.changed(
            discovery=f"127.0.0.1:{there.getsockname()[1]}",
            settings=settings | {"limits": settings["limits"] | {"dialTimeout": 400, "maxAttempts": 1}},
        )
        self.assertEqual(self.relay.facade.relay.facts, before)
        self.assertEqual(self.relay.counters.counts["configuration.kept"], 1)
        self.got(self.accept(there), b"\r\n\r\n")

    def test_a_customer_that_the_settings_do_not_name_is_on_nobodys_account(self) -> None:
        """Guards against a stranger that uses up the share of whoever is listed first."""
        self.started()
        client = self.connect()
        client.sendall(asking(wait=3000).replace(b"t=acme", b"t=evil"))
        self.shot().sendall(ROW + IDLE)
        self.assertEqual(self.got(client, IDLE), ROW + IDLE)
        listed, strange = self.relay.facade.relay.admission.by_customer
        now = self.relay.facade.relay.now
        self.assertEqual((listed.total(now), strange.total(now)), (0, 1))


class Signals(unittest.TestCase):
    """The whole program as a process; what it reads at its start comes through a pipe that a story fills when it
    likes."""

    def setUp(self) -> None:
        self.folder = tempfile.TemporaryDirectory()
        self.addCleanup(self.folder.cleanup)
        self.path = os.path.join(self.folder.name, "config.json")
        self.port = free_port()
        self.tree = config(
            listen=f"127.0.0.1:{self.port}",
            discovery="127.0.0.1:1",
            peer_listen="",
            rollouts={"address": "127.0.0.1:1"},
        )

    def write(self, tree: object) -> None:
        whole = os.path.join(self.folder.name, "whole")
        with open(whole, "w") as file:
            file.write(tree if isinstance(tree, str) else json.dumps(tree))
        os.replace(whole, self.path)

    def process(self) -> subprocess.Popen:
        with open("deploy/balancer.toml", "rb") as file:
            line = tomllib.load(file)["run"].replace(".venv/bin/python", sys.executable)
        process = subprocess.Popen(
            ["/bin/sh", "-c", line], text=True, stderr=subprocess.PIPE, env=os.environ | {"EDGE_CONFIG": self.path}
        )
        limit = threading.Timer(3 * PATIENCE, process.kill)  # then what is waited for ends, and fails
        limit.start()
        self.addCleanup(limit.cancel)
        self.addCleanup(process.stderr.close)
        self.addCleanup(process.wait)
        self.addCleanup(process.kill)
        return process

    def said(self, process: subprocess.Popen, text: str) -> str:
        while text not in (line := process.stderr.readline()):
            self.assertTrue(line, f"it ended without {text!r}")
        return line

    def test_a_hangup_before_anything_is_read_is_kept_and_acted_on(self) -> None:
        """Guards against a new configuration that comes while a relay starts, and ends it."""
        os.mkfifo(self.path)
        process = self.process()
        with open(self.path, "w") as file:  # opens once it wants to read: it stands there until this is closed
            process.send_signal(signal.SIGHUP)
            process.send_signal(signal.SIGUSR1)
            self.write(self.tree | {"discovery": "127.0.0.1:2"})  # the hangup has this one read
            file.write(json.dumps(self.tree))
        self.said(process, "configuration discovery=127.0.0.1:2 ")
        process.send_signal(signal.SIGTERM)
        self.said(process, "counters ")
        self.assertEqual(process.wait(PATIENCE), 0)

    def test_every_signal_again_while_it_ends_changes_nothing(self) -> None:
        """Guards against an end that is asked for twice and fails for that."""
        self.write(self.tree)
        process = self.process()
        self.said(process, "serving")
        process.send_signal(signal.SIGTERM)
        self.said(process, "stopping")
        for number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP):
            process.send_signal(number)
        rest = process.stderr.read()
        self.assertEqual(process.wait(PATIENCE), 0)
        self.assertNotIn("network:", rest)
        self.assertNotIn("Traceback", rest)
        self.assertIn("configuration discovery=", rest)

    def test_a_file_that_is_half_written_when_it_is_told_of_is_read_once_it_is_whole(self) -> None:
        self.write(self.tree)
        process = self.process()
        self.said(process, "serving")
        self.write(json.dumps(self.tree)[:40])
        process.send_signal(signal.SIGHUP)
        self.assertIn("read again in", self.said(process, "configuration not taken"))
        self.write(self.tree | {"discovery": "127.0.0.1:2"})
        self.said(process, "configuration discovery=127.0.0.1:2 ")
        process.send_signal(signal.SIGTERM)
        process.stderr.read()
        self.assertEqual(process.wait(PATIENCE), 0)

    def client(self, data: bytes) -> socket.socket:
        client = socket.create_connection(("127.0.0.1", self.port), PATIENCE)
        self.addCleanup(client.close)
        client.sendall(data)
        return client

    def seen(self, sock: socket.socket, last: bytes) -> bytes:
        seen = b""
        while not seen.endswith(last):
            data = sock.recv(1 << 16)
            self.assertTrue(data, seen)
            seen += data
        return seen

    def answer(self, server: socket.socket, queries: int) -> None:
        """A unit that answers so many."""
        inside: dict[socket.socket, bytes] = {}
        while queries:
            ready = select.select([server, *inside], [], [], PATIENCE)[0]
            self.assertTrue(ready, f"{queries} queries did not come")
            for sock in ready:
                if sock is server:
                    new = server.accept()[0]
                    self.addCleanup(new.close)
                    new.sendall(GREETING)
                    inside[new] = b""
                elif not (data := sock.recv(1 << 16)):
                    del inside[sock]
                else:
                    inside[sock] += data
                    if inside[sock].endswith(b"*/\0"):
                        inside[sock], queries = b"", queries - 1
                        sock.sendall(ROW + IDLE)
                    elif inside[sock].endswith(EMPTY):
                        sock.sendall(NOTHING)

    def test_what_crosses_a_stopped_process_and_its_end_is_all_answered(self) -> None:
        """An answer, a query on an idle connection, one on a new connection and SIGTERM all wait in the kernel; it
        goes on then."""
        server = socket.create_server(("127.0.0.1", 0))
        self.addCleanup(server.close)
        self.write(
            self.tree | {"known": listing(41, True, unit(1) | {"hostPort": f"127.0.0.1:{server.getsockname()[1]}"})}
        )
        process = self.process()
        self.said(process, "serving")
        busy, idle = self.client(OPENING + asking(wait=20000)), self.client(OPENING + EMPTY)
        self.seen(idle, NOTHING)
        inside = server.accept()[0]
        self.addCleanup(inside.close)
        inside.sendall(GREETING)
        self.seen(inside, b"*/\0")
        process.send_signal(signal.SIGSTOP)
        os.waitid(os.P_PID, process.pid, os.WSTOPPED | os.WNOWAIT)
        inside.sendall(ROW + IDLE)
        idle.sendall(asking(wait=20000, number="9b2f"))
        late = self.client(OPENING + asking(wait=20000, number="9b3f"))
        process.send_signal(signal.SIGTERM)
        process.send_signal(signal.SIGCONT)
        self.answer(server, 2)
        for client in (busy, idle, late):
            self.assertTrue(self.seen(client, ROW + IDLE).endswith(ROW + IDLE))
            client.close()
        rest = process.stderr.read()
        self.assertEqual(process.wait(PATIENCE), 0)
        self.assertIn("clients.value=3", rest)
        for word in ("Traceback", "network:", "fault"):
            self.assertNotIn(word, rest)


if __name__ == "__main__":
    unittest.main()
