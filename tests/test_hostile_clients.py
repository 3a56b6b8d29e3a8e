"""Real relay processes at the least limits among hostile clients: memory, other clients' answers, and the rules."""

import asyncio
import tempfile
import unittest
from pathlib import Path

from tealsail.lab.soak.plan import Crowd, Plan
from tealsail.lab.soak.relay_process import Limits, resident_memory_mb
from tealsail.lab.soak.run import Run, RunResult, compile_program, play, summary

LEAST = Limits(32, 1024)  # the least memory that the pages name, with the most descriptors
UNIT_LATENCY_S = 0.02
SLACK_S = 0.05  # by which every time limit is longer on sockets
CROWD = 400
SECONDS = 3.0


class HostileClients(unittest.TestCase):
    """One relay, its usual clients, and hostile ones of one kind."""

    def play(
        self,
        kind: str,
        connections: int = 1,
        limits: Limits = LEAST,
        unit_latency_s: float = UNIT_LATENCY_S,
        value_bytes: int = 40,
    ) -> RunResult:
        crowd = Crowd(kind, 0, 0.2, SECONDS, connections)
        plan = Plan(1, limits, unit_latency_s=unit_latency_s, value_bytes=value_bytes, crowds=(crowd,))
        result = asyncio.run(play(plan))
        self.assertEqual(result.findings, [], summary(result))
        self.assertGreater(result.count("served"), 0)
        return result

    def assert_others_in_time(self, result: RunResult) -> None:
        self.assertLess(result.latency(0.5), UNIT_LATENCY_S + SLACK_S, summary(result))

    # Guards against partial messages of hundreds of clients that together take more than the process has.
    def test_hundreds_of_clients_stop_half_way_through_a_large_request(self) -> None:
        self.play("half", CROWD)

    # Guards against memory that a crowd has taken and that stays with the process when the crowd has gone.
    def test_memory_is_given_back_after_hundreds_of_clients_have_left(self) -> None:
        result = self.play("half", CROWD, limits=Limits(192, 1024))
        self.assertLess(result.end_mb - result.rest_mb, (result.peak_mb - result.rest_mb) / 2, summary(result))

    # Guards against the same where the partial messages keep growing.
    def test_hundreds_of_clients_write_large_requests_slowly(self) -> None:
        self.play("slow", CROWD)

    # Guards against startup messages of which each byte costs an object.
    def test_hundreds_of_clients_send_startups_of_very_many_short_parameters(self) -> None:
        self.play("parameters", CROWD)

    # Guards against comments of which each byte costs an object.
    def test_clients_send_comments_of_very_many_short_fields(self) -> None:
        self.play("fields", 40)

    # Guards against the parser's own memory for a value of the largest size, and against copies of requests under way.
    def test_hundreds_of_clients_write_values_of_the_largest_size_at_once(self) -> None:
        self.play("large", CROWD, unit_latency_s=1.0)

    # Guards against the same for reads of very long keys.
    def test_hundreds_of_clients_read_very_long_keys_at_once(self) -> None:
        self.play("keys", CROWD, unit_latency_s=1.0)

    # Guards against answers that pile up in the process for clients that do not read them.
    def test_hundreds_of_clients_ask_for_large_values_and_do_not_read(self) -> None:
        self.play("unread", CROWD, value_bytes=64 * 1024)

    # Guards against hundreds of connections that cost more than the process has.
    def test_hundreds_of_clients_connect_and_say_nothing(self) -> None:
        self.play("silent", CROWD)

    # Guards against a loop that serves one connection's small messages for as long as they come.
    def test_one_connection_sends_syncs_at_full_speed(self) -> None:
        self.assert_others_in_time(self.play("syncs"))

    # Guards against the same with messages that have no answer.
    def test_one_connection_sends_copy_messages_at_full_speed(self) -> None:
        self.assert_others_in_time(self.play("copies"))

    # Guards against the same before the startup message.
    def test_one_connection_asks_for_encryption_at_full_speed(self) -> None:
        self.assert_others_in_time(self.play("encryption"))

    # Guards against the same with messages that are refused.
    def test_one_connection_sends_extended_messages_at_full_speed(self) -> None:
        self.assert_others_in_time(self.play("extended"))

    # Guards against the same with queries that are answered at once.
    def test_one_connection_sends_empty_and_unsound_queries_at_full_speed(self) -> None:
        for kind in ("empty", "unsound"):
            self.assert_others_in_time(self.play(kind))

    # Guards against tables that grow with every new class, tenant, key or id.
    def test_one_connection_asks_under_ever_new_names_at_full_speed(self) -> None:
        self.assert_others_in_time(self.play("names"))

    # Guards against clients that connect again and again without waiting for an answer.
    def test_one_client_connects_and_closes_at_full_speed(self) -> None:
        self.assert_others_in_time(self.play("reconnect"))

    # Guards against an id that runs twice because it was forgotten when its client left.
    def test_an_id_comes_again_after_its_client_has_left(self) -> None:
        self.play("again", limits=Limits(192, 1024))

    # Guards against requests that are sent on after their client has closed with much unread.
    def test_clients_close_with_much_unread(self) -> None:
        self.play("leave", 20, limits=Limits(192, 1024))

    # Guards against a process that is over the least memory before its first client.
    def test_a_relay_at_rest_is_under_the_least_memory(self) -> None:
        self.assertLess(asyncio.run(resident_at_rest()), LEAST.memory_mb)


async def resident_at_rest() -> float:
    """The resident memory of a relay that has just started, in MB."""
    compile_program()
    with tempfile.TemporaryDirectory() as folder:
        run = Run(Plan(1, Limits(192, 1024)), Path(folder))
        try:
            await run.start()
            return resident_memory_mb(run.relays[0].life.process.pid)
        finally:
            await run.end()


if __name__ == "__main__":
    unittest.main()
