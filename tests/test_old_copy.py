"""A relay that starts while discovery is silent: for how long, and for which units, its old list counts."""

import unittest

from hypothesis import given, strategies as st

from tealsail.choices import old_copy
from tealsail.choices.backoff import FIRST_LIST_WAIT_S, agent_backoff
from tealsail.choices.old_copy import GROUPS, OldCopy, UnitIdentity, answer, group_hashes, is_question
from tealsail.net.answers import REJECTED_CODE
from tealsail.parts import RandomGenerator
from tealsail.peer_messages import is_tracker_message, read as read_message

from .crossing import Crossing, free_port
from .fake import READY, ROW, client_query
from .test_relay import config, listing, reply, unit

GRACE_S = 1.0
HELD_UP_S = 0.15  # for which a process may be held up before a write (the operators' standing page)
UNITS = st.dictionaries(st.integers(0, 1 << 56), st.builds(UnitIdentity, st.integers(0, 99), st.just(0.0)), max_size=90)


class OldCopyOfTheList(unittest.TestCase):
    def copy(self, units: dict[int, UnitIdentity], relays: int = 5) -> OldCopy:
        return OldCopy(units, RandomGenerator(3), 2, relays)

    @given(UNITS, UNITS)
    def test_units_that_another_relay_lists_otherwise_are_not_confirmed(self, mine, theirs) -> None:
        copy = self.copy(mine)
        self.assertTrue(is_question(copy.question))
        self.assertTrue(copy.receive(answer(copy.question, group_hashes(theirs))))
        groups = {group for group in range(GROUPS) if self.group(mine, group) == self.group(theirs, group)}
        self.assertEqual(copy.confirmed(), {number for number in mine if number % GROUPS in groups})

    def group(self, units: dict[int, UnitIdentity], group: int) -> dict[int, UnitIdentity]:
        return {number: each for number, each in units.items() if number % GROUPS == group}

    def test_one_relay_that_differs_outweighs_another_that_agrees_and_no_answer_confirms_nothing(self) -> None:
        units = {number: UnitIdentity(41, 0.0) for number in range(60)}
        copy = self.copy(units)
        self.assertEqual(copy.confirmed(), frozenset())
        for theirs in (units, units | {7: UnitIdentity(41, 5.0)}):  # 7 has started anew
            copy.receive(answer(copy.question, group_hashes(theirs)))
        self.assertEqual(copy.confirmed(), set(units) - {7, 7 + GROUPS})

    def test_questions_go_to_a_few_others_and_end_with_the_second_answer(self) -> None:
        copy = self.copy({1: UnitIdentity(41, 0.0)})
        self.assertEqual(self.copy({}, relays=0).ask(), [])
        for _ in range(old_copy.ENOUGH_ANSWERS):
            asked = copy.ask()
            self.assertEqual((len(asked), len(set(asked)), set(asked) <= {0, 1, 3, 4}), (3, 3, True))
            copy.receive(answer(copy.question, group_hashes({})))
        self.assertEqual(copy.ask(), [])

    @given(st.binary(max_size=256))
    def test_other_messages_are_neither_questions_nor_answers(self, data) -> None:
        self.assertFalse(is_question(data) or self.copy({}).receive(data))

    def test_relays_of_older_versions_ignore_both_messages(self) -> None:
        copy = self.copy({1: UnitIdentity(41, 0.0)})
        for data in (copy.question, answer(copy.question, group_hashes({}))):
            self.assertLessEqual(len(data), 256)
            self.assertEqual((is_tracker_message(data), read_message(data)), (False, ()))

    def test_agent_is_asked_again_within_half_of_the_grace(self) -> None:
        for grace in (0.25, 1.0, 2.0, 60.0):
            backoff = agent_backoff(RandomGenerator(4), True, grace)
            self.assertLess(max(backoff.next() for _ in range(200)), max(0.1, min(grace / 2, 4.0)))


class SilentDiscovery(Crossing):
    """A relay of two that has started while discovery's agent says nothing."""

    def start(self, **limits: object) -> None:
        settings = config()["settings"] | {"rules": {"drainGrace": 1000 * GRACE_S}}
        settings["limits"] = settings["limits"] | limits
        self.peer_port = free_port()
        peers = [f"127.0.0.1:{self.peer_port}", "127.0.0.2:7946"]
        self.start_relay(settings=settings, peer_listen=peers[0], peers=peers)

    def ask(self, number: str) -> bytes:
        """What a new client gets for its query: a row, or the code of an error."""
        client = self.connect()
        client.sendall(client_query(wait=3000, number=number))
        taken = self.relay.counters.counts["clients.taken"]
        self.run_until(lambda: self.relay.counters.counts["clients.taken"] > taken)
        if self.relay.serving:
            self.accept_query().sendall(ROW + READY)
        return self.receive_until(client, READY)

    def test_old_list_counts_for_the_grace_and_what_comes_later_is_rejected(self) -> None:
        """Guards against work for a unit that drains: its agent had that before this process began, review case 9."""
        self.start()
        self.assertEqual(self.ask("1"), ROW + READY)
        self.advance(GRACE_S - HELD_UP_S - FIRST_LIST_WAIT_S)
        self.assertIn(REJECTED_CODE.encode(), self.ask("2"))
        unit_address = {"hostPort": f"127.0.0.1:{self.unit_side.getsockname()[1]}"}
        self.agent().sendall(reply(listing(42, True, unit(1) | unit_address)))
        self.run_until(lambda: self.relay.facade.relay.units)
        self.relay.units.close_idle()
        self.assertEqual(self.ask("3"), ROW + READY)

    def test_shot_that_waits_for_its_connection_as_the_grace_ends_is_not_written(self) -> None:
        """Guards against a check that is made once, before a wait."""
        self.start()
        client = self.connect()
        client.sendall(client_query(wait=3000))
        self.run_until(lambda: self.relay.serving)
        unit_end = self.accept(self.unit_side)
        self.advance(GRACE_S - HELD_UP_S - FIRST_LIST_WAIT_S)
        unit_end.close()
        self.assertIn(REJECTED_CODE.encode(), self.receive_until(client, READY))

    def test_units_that_another_relay_confirms_are_served_for_the_whole_outage(self) -> None:
        """Guards against a fleet that refuses everything, where most relays were restarted as discovery went silent."""
        self.start()
        first_list = self.relay.first_list
        hashes = group_hashes(first_list.listed_units())
        self.assertTrue(first_list.take_message(1, answer(first_list.old_copy.question, hashes)))
        self.advance(3 * GRACE_S)
        self.assertEqual(self.ask("1"), ROW + READY)

    def test_confirmation_after_the_grace_counts_too(self) -> None:
        self.start()
        first_list = self.relay.first_list
        hashes = group_hashes(first_list.listed_units())
        self.advance(3 * GRACE_S)
        self.assertIn(REJECTED_CODE.encode(), self.ask("1"))
        first_list.take_message(1, answer(first_list.old_copy.question, hashes))
        self.assertEqual(self.ask("2"), ROW + READY)

    def test_only_a_relay_with_a_list_of_discovery_answers_others(self) -> None:
        """Guards against old copies that confirm one another."""
        self.start()
        first_list, sent = self.relay.first_list, []
        self.relay.peers.send = lambda number, data: sent.append(number)
        question = OldCopy(first_list.listed_units(), RandomGenerator(9), 1, 2).question
        self.assertTrue(first_list.take_message(1, question))
        self.assertEqual(sent, [])
        self.agent().sendall(reply(listing(42, True, unit(1))))
        self.run_until(lambda: first_list.has_come)
        first_list.take_message(1, question)
        self.assertEqual(sent, [1])
