"""The last byte of a query: it is sent while the rules allow it, whoever stands still meanwhile."""

import array
import ctypes
import fcntl
import json
import re
import select
import socket
import struct
import termios
import time
from itertools import product
from random import Random
from types import SimpleNamespace

from tealsail.choices.query_ends import ALWAYS_ROOM_BYTES, MAX_HELD_BYTES
from tealsail.net.tcp_state import read_send_state

from .crossing import EMPTY, NOTHING, Crossing, row
from .fake import READY, STARTUP_RESPONSE, message
from .test_relay import config, listing, reply, state, unit

VALUE_BYTES = 65_536  # the largest value that the protocol allows; in hexadecimal form twice as long
SMALL_BUFFER = 32_768  # bytes of a unit's receive buffer, which the kernel doubles
MEMORY_S = 3.0  # of units for keyed requests, by the settings of `start`
WRITE_MARGIN_S = 0.15  # before the memory's end in which nothing is sent, for a process that is held up
SO_ATTACH_FILTER, SO_DETACH_FILTER = 26, 27  # of asm-generic/socket.h
RETURN_CONSTANT = 0x06  # instruction of a socket filter: how much of a packet is kept
REFUSED, FAILED = b"C53300\0", b"C58000\0"


class QueryEnds(Crossing):
    """One relay, whose units take in only a part of a query before their processes stand still."""

    asked = 0

    def start(self, *units: dict, cancel: bool = True, **more: object) -> None:
        self.set_buffer(SMALL_BUFFER)
        settings = config()["settings"] | {"fleetSize": 100}  # in which nobody opens connections ahead
        booking = {
            "name": "booking",
            "effect": "idempotency_key",
            "group": "all",
            "memorySpan": MEMORY_S * 1000,
            "aim": 1200,
            "deadline": 5000,
        }
        settings["requestClasses"].append(booking)
        settings["limits"] |= {"cancel": cancel, "mayTell": False}
        self.start_relay(*units, settings=settings, **more)

    def set_buffer(self, size: int) -> None:
        """The receive buffer of the unit's new connections."""
        self.unit_side.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, size)

    def listed(self, name: str = "s-1", **fields: object) -> dict:
        """The entry of the unit that listens at `unit_side`."""
        return unit(1, name) | {"hostPort": f"127.0.0.1:{self.unit_side.getsockname()[1]}"} | fields

    def ask(self, workload: str = "order", size: int = VALUE_BYTES, wait: int = 5000, more: str = "") -> socket.socket:
        """A client that has sent a query which writes a value of `size` bytes."""
        client = self.connect()
        self.asked += 1
        form = "INSERT INTO kv (name, content) VALUES ('k', '\\x%s') RETURNING content /* id=%d,c=%s,t=acme,d=%d%s */"
        self.text = (form % ("9f" * size, self.asked, workload, wait, more)).encode()
        client.sendall(message(b"Q", self.text + b"\0"))
        return client

    def limit_send_buffer(self, size: int) -> None:
        """The kernel's buffer of the relay's one connection to the unit."""
        (connection,) = next(iter(self.relay.units.pools.values())).all
        connection.transport.socket.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, size)

    def accept_startup(self) -> socket.socket:
        """The unit's end of a connection, after the startup message has come over it."""
        unit_end = self.accept(self.unit_side)
        self.receive_until(unit_end, b"\0\0")
        return unit_end

    def accept_part(self) -> socket.socket:
        """The unit's end of a connection to which all that the unit's machine takes in of a query has come, unread."""
        unit_end = self.accept(self.unit_side)
        unit_end.sendall(STARTUP_RESPONSE)
        self.run_until(lambda: self.unread(unit_end) > 60)  # more than the startup message
        self.run_turns()
        return unit_end

    def pass_real_time(self, seconds: float) -> None:
        end = time.monotonic() + seconds
        self.run_until(lambda: time.monotonic() > end)

    def run_turns(self) -> None:
        for _ in range(20):
            self.run_once()

    def unread(self, sock: socket.socket) -> int:
        """The bytes that have come and are not read."""
        count = array.array("i", [0])
        fcntl.ioctl(sock, termios.FIONREAD, count)
        return count[0]

    def read_all(self, unit_end: socket.socket, seconds: float = 0.3) -> bytes:
        """The unit goes on: all that it receives while so many seconds pass."""
        received = bytearray()
        for _ in range(round(seconds * 100)):
            self.now += 0.01
            self.run_once()
            while select.select([unit_end], [], [], 0)[0]:
                try:
                    data = unit_end.recv(1 << 16)
                except ConnectionResetError:
                    return bytes(received)
                if not data:
                    return bytes(received)
                received += data
        return bytes(received)

    def stand_still(self, unit_end: socket.socket, seconds: float) -> bytes:
        """The relay's process stands still while the unit goes on; returns what the unit receives until then."""
        received = bytearray()
        while select.select([unit_end], [], [], 0.05)[0]:
            received += unit_end.recv(1 << 16)
        self.now += seconds
        return bytes(received)

    def stand_still_for(self, seconds: float) -> None:
        """The relay's process does not run for so long; its clock and the kernel's go on."""
        select.select([], [], [], seconds)
        self.now += seconds

    def accept_query_text(self) -> bytes:
        """What the unit receives of a query that fits into its buffer."""
        unit_end = self.accept_startup()
        unit_end.sendall(STARTUP_RESPONSE)
        return self.receive_until(unit_end, b"*/\0")

    def answer_to(self, client: socket.socket) -> bytes:
        return self.receive_until(client, READY)

    def assert_incomplete(self, received: bytes) -> None:
        self.assertTrue(b"INSERT" in received, "no part of the query came")
        self.assertFalse(b"*/\0" in received, "the end of the query came")

    def repeat(self) -> tuple[socket.socket, socket.socket]:
        """The client of a keyed request that may have run, and the unit's end that has a part of its repeat."""
        self.start()
        client = self.ask("booking")
        first = self.accept_query()
        first.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        first.close()
        return client, self.accept_part()

    # Guards against a keyed repeat that runs again: its unit stands still while the units' memory ends (review case 6).
    def test_repeat_that_a_unit_takes_in_in_part_is_not_ended_after_the_units_memory(self) -> None:
        client, unit_end = self.repeat()
        self.pass_time(MEMORY_S - WRITE_MARGIN_S - 0.1)
        self.assertEqual(select.select([client], [], [], 0)[0], [])
        self.pass_time(0.15)
        self.assertIn(FAILED, self.answer_to(client))  # at once, not at the client's deadline
        self.assert_incomplete(self.read_all(unit_end))

    # Guards against the same where the relay stands still too: no timer can end the attempt in time then.
    def test_repeat_is_not_ended_by_the_kernel_while_the_relay_stands_still(self) -> None:
        client, unit_end = self.repeat()
        received = self.stand_still(unit_end, MEMORY_S)
        self.assert_incomplete(received + self.read_all(unit_end))
        self.assertIn(FAILED, self.answer_to(client))

    # Guards against a query for nobody: our kernel has all of it as its client leaves, and nothing may be called off.
    def test_query_is_not_ended_once_its_client_has_left(self) -> None:
        self.start(cancel=False)
        client = self.ask()
        unit_end = self.accept_part()
        client.close()
        self.run_until(lambda: self.relay.counters.counts["clients.left"])
        self.assert_incomplete(self.read_all(unit_end))
        self.assertEqual(self.relay.counters.counts["units.moot"], 1)

    # Guards against the same where the close is still unread as the unit has room: the relay stood still.
    def test_query_is_not_ended_if_the_client_left_while_the_relay_stood_still(self) -> None:
        self.start(cancel=False)
        client = self.ask()
        unit_end = self.accept_part()
        client.close()
        received = self.stand_still(unit_end, 0.5)
        self.assert_incomplete(received + self.read_all(unit_end))

    def trial_of_the_only_unit(self) -> socket.socket:
        """The unit's end that has a part of a query; the unit's build is on trial."""
        self.start(self.listed(build=42), rollouts={"address": "127.0.0.1:1", "news": state(42, 1, "canary", 1.0)})
        self.client = self.ask()
        return self.accept_part()

    # Guards against an attempt at a build whose cap was lowered before the attempt's last byte came.
    def test_query_is_not_ended_at_a_build_whose_cap_is_lowered_to_0(self) -> None:
        unit_end = self.trial_of_the_only_unit()
        self.relay.on_rollout_state(self.relay.configuration.state._replace(cap=0.0))
        self.pass_time(0.1)
        self.assert_incomplete(self.read_all(unit_end))
        self.assertIn(REFUSED, self.answer_to(self.client))

    # Guards against attempts that were counted as they were chosen, and all come in one window without requests.
    def test_query_at_a_build_on_trial_counts_when_it_ends(self) -> None:
        unit_end = self.trial_of_the_only_unit()
        arrivals = next(iter(self.relay.facade.relay.gate.arrivals.values()), {})
        self.assertEqual(sum(sum(each.sums) for each in arrivals.values()), 0)
        self.assertTrue(self.read_all(unit_end).endswith(b"*/\0"))
        arrivals = next(iter(self.relay.facade.relay.gate.arrivals.values()))
        self.assertEqual(sum(sum(max(0, amount) for amount in each.sums) for each in arrivals.values()), 1)

    # Guards against a query for a unit whose place has gone to another build or another process meanwhile.
    def test_query_is_not_ended_once_its_pool_is_closed(self) -> None:
        self.start()
        client = self.ask()
        agent = self.agent()
        unit_end = self.accept_part()
        agent.sendall(reply(listing(42, True, self.listed(build=40))))
        self.run_until(lambda: self.relay.units.retired)
        self.assert_incomplete(self.read_all(unit_end))
        again = self.accept_query()  # the unit's place is asked anew, since nothing ran
        again.sendall(row(b"v") + READY)
        self.assertEqual(self.answer_to(client), row(b"v") + READY)

    # Guards against a query that ends by a list which was changed while the relay stood still.
    def test_query_is_not_ended_before_news_that_has_arrived_is_read(self) -> None:
        self.start()
        self.ask()
        agent = self.agent()
        unit_end = self.accept_part()
        received = self.stand_still(unit_end, 0.5)
        agent.sendall(reply(listing(42, True, self.listed(lifecycle="draining"))))
        self.advance(0)  # timers come before what has arrived
        self.assert_incomplete(received + self.read_all(unit_end))

    # Guards against a query that begins by such a list: its connection came up while the relay stood still.
    def test_query_is_not_begun_before_news_that_has_arrived_is_read(self) -> None:
        self.start()
        client = self.ask("basket", size=1)
        agent = self.agent()
        unit_end = self.accept_startup()
        unit_end.sendall(STARTUP_RESPONSE)
        agent.sendall(reply(listing(42, True, self.listed(lifecycle="draining"))))
        self.now += 0.2  # less than the setup of a connection may take
        self.assertIn(REFUSED, self.answer_to(client))
        self.assertNotIn(b"INSERT", self.receive_all(unit_end))

    # Guards against the same with a cap that the platform has lowered.
    def test_query_is_not_begun_before_a_lowered_cap_that_has_arrived_is_read(self) -> None:
        platform_side = self.listener()
        address = f"127.0.0.1:{platform_side.getsockname()[1]}"
        self.start(self.listed(build=42), rollouts={"address": address, "news": state(42, 1, "canary", 1.0)})
        platform = self.accept(platform_side)
        self.receive_until(platform, b"\n")
        client = self.ask("basket", size=1)
        unit_end = self.accept_startup()
        unit_end.sendall(STARTUP_RESPONSE)
        news = {"jsonrpc": "2.0", "method": "stage", "params": state(42, 1, "canary", 0.0)}
        platform.sendall(json.dumps(news).encode() + b"\n")
        self.now += 0.2  # less than the setup of a connection may take
        self.assertIn(REFUSED, self.answer_to(client))
        self.assertNotIn(b"INSERT", self.receive_what_comes(unit_end))

    # Guards against a shot that is stopped, never ended, and yet counts as one that may have run.
    def test_query_that_is_stopped_before_its_end_never_ran(self) -> None:
        self.start()
        client = self.ask(wait=1000)
        unit_end = self.accept_part()
        self.pass_time(1.1)
        self.assertIn(REFUSED, self.answer_to(client))
        self.assert_incomplete(self.read_all(unit_end))

    # Guards against a shot that ends as never run, and whose last byte is sent in the turn in which it is called off.
    def test_query_is_not_ended_in_the_turn_in_which_its_shot_is_called_off(self) -> None:
        self.start()
        self.ask()
        unit_end = self.accept_part()
        received = self.stand_still(unit_end, 0.1)
        next(iter(self.relay.serving.values())).cancel_shot(0)
        self.assert_incomplete(received + self.read_all(unit_end))

    # Guards against a query that ends after its client's time, because the timer of its next check comes first.
    def test_query_is_not_ended_after_the_clients_time_by_a_relay_that_stood_still(self) -> None:
        self.start()
        client = self.ask(wait=1000)
        unit_end = self.accept_part()
        received = self.stand_still(unit_end, 2.0)
        self.assert_incomplete(received + self.read_all(unit_end))
        self.assertIn(REFUSED, self.answer_to(client))

    # Guards against a unit that is told, with the end of a long query, the time that was left at its beginning.
    def test_the_end_tells_the_time_that_is_left_then(self) -> None:
        self.start()
        client = self.ask(wait=1500, more=",x=" + "y" * 200)
        unit_end = self.accept_part()
        self.pass_time(0.7)
        received = self.read_all(unit_end)
        told = int(re.search(rb",d=(\d+)", received)[1])
        self.assertLessEqual(told, 800)
        self.assertGreater(told, 600)
        query = received[received.index(b"Q") :]
        self.assertEqual(len(query), struct.unpack(">I", query[1:5])[0] + 1)
        self.assertEqual(query[5:], self.text.replace(b",d=1500", b",d=%04d" % told) + b"\0")
        unit_end.sendall(row(b"v") + READY)
        self.assertEqual(self.answer_to(client), row(b"v") + READY)

    # Guards against a unit that is told the whole time of a request which waited while the relay stood still.
    def test_time_for_which_a_request_waited_for_a_relay_that_stood_still_counts(self) -> None:
        self.start()
        client = self.ask("basket", size=1, wait=1500)
        self.stand_still_for(0.4)
        unit_end = self.accept_query_text()
        told = int(re.search(rb",d=(\d+)", unit_end)[1])
        self.assertLessEqual(told, 1150)
        self.assertGreater(told, 1000)
        client.close()

    # Guards against such a request that is begun though its client's time is over.
    def test_request_whose_time_passed_while_the_relay_stood_still_is_rejected_at_once(self) -> None:
        self.start()
        client = self.ask("order", size=1, wait=300)
        self.stand_still_for(0.4)
        self.assertIn(REFUSED, self.answer_to(client))

    # Guards against a time that is taken off though the relay was only idle.
    def test_request_after_an_idle_time_has_its_whole_time(self) -> None:
        self.start()
        self.stand_still_for(0.4)
        client = self.ask("basket", size=1, wait=1500)
        told = int(re.search(rb",d=(\d+)", self.accept_query_text())[1])
        self.assertGreater(told, 1400)
        client.close()

    # Guards against the same where the part behind the time is too long to be held back.
    def test_an_end_that_tells_an_old_time_is_not_sent(self) -> None:
        self.start()
        self.ask(wait=1500, more=",x=" + "y" * MAX_HELD_BYTES)
        unit_end = self.accept_part()
        self.pass_time(0.3)
        self.assert_incomplete(self.read_all(unit_end))

    # Guards against a small query that does not fit into a unit's smaller receive buffer.
    def test_small_query_at_a_smaller_buffer_is_not_ended_once_its_client_has_left(self) -> None:
        self.start(cancel=False)
        self.set_buffer(1)
        client = self.ask(size=3000)
        unit_end = self.accept_part()
        client.close()
        self.run_until(lambda: self.relay.counters.counts["clients.left"])
        self.assert_incomplete(self.read_all(unit_end))

    # Guards against a short query that is written without a look at the room, and that waits in our kernel for some.
    def test_empty_buffers_have_the_room_that_is_always_counted_on(self) -> None:
        chance = Random(1)
        for _ in range(60):
            with socket.create_server(("127.0.0.1", 0)) as listener:
                listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 1200)
                sender = socket.create_connection(listener.getsockname())
                receiver = listener.accept()[0]
            with sender, receiver:
                for _ in range(40):
                    room = read_send_state(SimpleNamespace(socket=sender)).window
                    self.assertGreaterEqual(room, ALWAYS_ROOM_BYTES)
                    missing = chance.randrange(1, ALWAYS_ROOM_BYTES)
                    sender.sendall(bytes(missing))
                    while missing:
                        missing -= len(receiver.recv(chance.choice((10, 1000))))
                    if chance.random() < 0.8:
                        receiver.sendall(b"answer")
                        sender.recv(100)

    # Guards against a query that stays incomplete at a unit which reads all the time, whatever its buffer.
    def test_queries_of_all_sizes_reach_units_that_read(self) -> None:
        self.start()
        buffers, sizes = (1, 5000, SMALL_BUFFER, 1 << 20), (1, 500, 5000, VALUE_BYTES)
        for buffer, size, send_buffer in (*product(buffers, sizes, (None,)), *product(buffers, (25_000,), (4096,))):
            with self.subTest(buffer=buffer, send_buffer=send_buffer, size=size):
                self.set_buffer(buffer)
                client = self.ask("basket", size)
                unit_end = self.accept_startup()
                if send_buffer:
                    self.limit_send_buffer(send_buffer)
                unit_end.sendall(STARTUP_RESPONSE)
                received = self.read_all(unit_end, 0.5)
                self.assertTrue(b"9f" * size in received)
                self.assertTrue(received.endswith(b"*/\0"))
                unit_end.sendall(row(b"v") + READY)
                self.assertEqual(self.answer_to(client), row(b"v") + READY)
                self.relay.units.close_idle()

    # Guards against a repeat that waits at one standing unit until it may not be sent any more: others could take it.
    def test_query_moves_on_from_a_unit_that_takes_in_no_more(self) -> None:
        other_side = self.listener()
        other = unit(1, "s-2") | {"hostPort": f"127.0.0.1:{other_side.getsockname()[1]}"}
        self.start(self.listed(), other)
        other_side.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SMALL_BUFFER)
        client = self.ask(wait=2000)
        self.run_until(lambda: select.select([self.unit_side, other_side], [], [], 0)[0])
        standing, reading = self.unit_side, other_side
        if select.select([other_side], [], [], 0)[0]:
            standing, reading = reading, standing
        standing_end = self.accept(standing)
        standing_end.sendall(STARTUP_RESPONSE)
        self.pass_time(0.4)
        self.assertEqual(select.select([reading], [], [], 0)[0], [])  # a quarter of the time
        self.pass_time(0.2)
        reading_end = self.accept(reading)
        reading_end.sendall(STARTUP_RESPONSE)
        self.assertTrue(self.read_all(reading_end).endswith(b"*/\0"))
        self.assert_incomplete(self.read_all(standing_end))
        reading_end.sendall(row(b"v") + READY)
        self.assertEqual(self.answer_to(client), row(b"v") + READY)
        self.assertEqual(self.relay.counters.counts["units.withheld"], 1)

    def cut_off(self, unit_end: socket.socket) -> ctypes.Array:
        """The unit's machine drops all that comes over this connection, and acknowledges nothing."""
        drop_all = ctypes.create_string_buffer(struct.pack("HBBI", RETURN_CONSTANT, 0, 0, 0))
        program = struct.pack("HP", 1, ctypes.addressof(drop_all))
        unit_end.setsockopt(socket.SOL_SOCKET, SO_ATTACH_FILTER, program)
        return drop_all

    def has_come(self, client: socket.socket) -> bool:
        """Whether an answer has come; the relay's clock goes on by 10 ms, about as long as the loop waits then."""
        self.now += 0.01
        return bool(select.select([client], [], [], 0)[0])

    # Guards against a query that the kernel sends again whenever the way is open, long after the rules' time.
    def test_query_whose_end_is_lost_on_its_way_is_not_sent_again(self) -> None:
        self.start()
        client = self.ask(size=1)
        unit_end = self.accept(self.unit_side)
        unit_end.sendall(STARTUP_RESPONSE)
        self.receive_until(unit_end, b"*/\0")
        unit_end.sendall(row(b"v") + READY)
        self.assertEqual(self.answer_to(client), row(b"v") + READY)
        self.pass_time(0.1)
        client = self.ask(size=1)
        self.receive_until(unit_end, EMPTY)
        unit_end.sendall(NOTHING)
        instruction = self.cut_off(unit_end)
        self.run_until(lambda: self.has_come(client))
        self.assertIn(FAILED, self.answer_to(client))  # it may have come
        unit_end.setsockopt(socket.SOL_SOCKET, SO_DETACH_FILTER, 0)
        del instruction
        self.pass_real_time(1.0)
        self.assertEqual(self.read_all(unit_end), b"")  # at the most a reset
        self.assertEqual(self.relay.counters.counts["units.not_arrived"], 1)

    # Guards against the end of an attempt that its unit works on, and whose acknowledgement takes a moment.
    def test_query_that_has_arrived_stays_out_however_long_its_answer_takes(self) -> None:
        self.start()
        client = self.ask(size=1)
        unit_end = self.accept(self.unit_side)
        unit_end.sendall(STARTUP_RESPONSE)
        self.run_until(lambda: self.unread(unit_end) > 60)
        self.pass_real_time(0.1)
        self.pass_time(1.0)
        unit_end.sendall(row(b"v") + READY)
        self.assertEqual(self.answer_to(client), row(b"v") + READY)

    # Guards against an answer from a unit that has not got the whole query: no unit made it for that.
    def test_answer_before_the_end_of_the_query_is_not_passed_on(self) -> None:
        self.start()
        client = self.ask()
        unit_end = self.accept_part()
        unit_end.sendall(row(b"v") + READY)
        again = self.accept_query()
        again.sendall(row(b"w") + READY)
        self.assertEqual(self.answer_to(client), row(b"w") + READY)
