"""Load digests: messages, owners, the figures that the choice of unit reads, and bounds."""

import unittest
from collections import Counter

from hypothesis import given, settings, strategies as st

from tealsail import notes
from tealsail.choices import zone_reports
from tealsail.choices.digest_messages import DIGEST, QUIET_REPORT, REPORT, Message, Row, decode, encode
from tealsail.choices.load_digests import (
    BUDGET,
    DATAGRAM_OVERHEAD,
    DIGEST_BURST,
    DIGEST_LIFETIME,
    DIGEST_RATE,
    JUDGES_RATE,
    MAX_FOLLOWED,
    MIN_STOP,
    OUT_RATE,
    SECOND,
    SETTLE_TIME,
    Dropped,
    LoadDigests,
)
from tealsail.choices.load_owner import LISTEN_TIME, MAX_ROWS_KEPT, REPORT_LIFETIME, LoadOwner
from tealsail.choices.rendezvous import REPLICAS, Rendezvous
from tealsail.net.relay import unit_number
from tealsail.parts import RandomGenerator

settings.register_profile("ci", max_examples=60, derandomize=True, deadline=None)
settings.load_profile("ci")
UNITS = [unit_number(f"unit-{each}") for each in range(12_000)]
ROWS = st.builds(
    Row,
    st.integers(0, (1 << 56) - 1),
    st.integers(0, 255),
    st.integers(0, 65_535).map(lambda each: each / 256),
    st.integers(0, 255),
    st.integers(0, 255),
)


class FakeNetwork:
    """The digests of several relays, each message delivered at the next step of 5 ms.

    `used`: each relay's units.  Messages to and from `lost` relays are lost; `stopped` relays do not run, and messages
    to them wait.
    """

    def __init__(self, relays: int, used: list[list[int]]) -> None:
        self.now = 0
        self.relays = [LoadDigests(each, relays, 0, RandomGenerator(each)) for each in range(relays)]
        self.used, self.lost, self.stopped = used, set(), set()
        self.waiting: list[tuple[int, int, bytes]] = []
        self.bytes = Counter()

    def send_shots(self) -> None:
        """Each relay sends one shot to each of its units, which does not end."""
        for relay, units in zip(self.relays, self.used):
            for unit in units:
                relay.sent(unit, self.now)

    def run(self, until: int) -> None:
        while self.now < until:
            self.now += 50
            coming, self.waiting = self.waiting, []
            for sender, to, data in coming:
                if to in self.stopped:
                    self.waiting.append((sender, to, data))
                else:
                    self.bytes[to] += len(data) + DATAGRAM_OVERHEAD
                    self.deliver(to, self.relays[to].received(sender, data, self.now))
            for number, relay in enumerate(self.relays):
                if number not in self.stopped and relay.due <= self.now:
                    self.deliver(number, relay.tick(self.now))

    def deliver(self, sender: int, sends: list) -> None:
        for to, data in sends:
            self.bytes[sender] += len(data) + DATAGRAM_OVERHEAD
            if to not in self.lost and sender not in self.lost:
                self.waiting.append((sender, to, data))


def report(sequence: int, *rows: Row, epoch: int = 1, kind: int = REPORT) -> bytes:
    return encode(Message(kind, 0, sequence, epoch, rows))


class Messages(unittest.TestCase):
    @given(
        st.sampled_from([REPORT, QUIET_REPORT, DIGEST]), st.integers(0, 65_535), st.lists(ROWS, min_size=1, max_size=5)
    )
    def test_a_message_decodes_to_what_was_encoded(self, kind, sequence, rows):
        message = Message(kind, 0, sequence, 7, tuple(rows))
        self.assertEqual(decode(encode(message)), message)
        self.assertLessEqual(len(encode(message)), 256)

    @given(st.lists(ROWS, min_size=1, max_size=5), st.integers(0, 1 << 20), st.integers(1, 255))
    def test_one_corrupt_byte_is_detected(self, rows, place, change):
        data = bytearray(encode(Message(REPORT, 0, 1, 7, tuple(rows))))
        data[place % len(data)] ^= change
        self.assertIsNone(decode(bytes(data)))

    @given(st.binary(max_size=300))
    def test_any_other_bytes_are_decoded_without_an_error(self, data):
        decode(data)

    @given(st.lists(ROWS, min_size=1, max_size=5))
    def test_a_relay_that_does_not_know_the_messages_ignores_them(self, rows):
        data = encode(Message(REPORT, 0, 1, 7, tuple(rows)))
        self.assertFalse(notes.is_tracker_note(data))
        self.assertEqual(notes.read(data), ())
        self.assertIsNone(zone_reports.decode(data))

    def test_no_two_of_12_000_units_are_confused(self):
        read = {decode(report(1, Row(unit, 1, 0.0, 0, 0))).rows[0].unit for unit in UNITS}
        self.assertEqual(read, set(UNITS))

    def test_units_whose_numbers_share_16_bits_have_separate_loads(self):
        seen: dict[int, int] = {}
        first, second = next(
            (seen[unit & 0xFFFF], unit) for unit in UNITS if seen.setdefault(unit & 0xFFFF, unit) != unit
        )
        owner = LoadOwner()
        owner.take(1, decode(report(1, Row(first, 9, 9.0, 0, 0))), 0)
        self.assertEqual(owner.digest_row(2, first, LISTEN_TIME).out, 9)
        self.assertIsNone(owner.digest_row(2, second, LISTEN_TIME))


class Owners(unittest.TestCase):
    def test_units_are_divided_evenly_among_the_relays(self):
        rendezvous = Rendezvous(100)
        owned = Counter(owner for unit in UNITS[:6_000] for owner in rendezvous.ranked(unit)[:REPLICAS])
        self.assertLess(max(owned.values()), 1.5 * 120)
        self.assertGreater(min(owned.values()), 0.5 * 120)

    def test_a_new_relay_takes_over_its_part_of_the_units_and_no_other_unit_moves(self):
        before, after = Rendezvous(100), Rendezvous(101)
        moved = 0
        for unit in UNITS[:3_000]:
            first, then = before.ranked(unit)[:REPLICAS], after.ranked(unit)[:REPLICAS]
            if first != then:
                moved += 1
                self.assertIn(100, then)
        self.assertLess(moved, 3 * 3_000 * REPLICAS / 101)

    def test_an_owners_table_is_bounded_and_emptied(self):
        owner = LoadOwner()
        for place in range(MAX_ROWS_KEPT + 500):
            owner.put(1, Row(place, 1, 1.0, 0, 0), 0)
        self.assertEqual(owner.rows_kept, MAX_ROWS_KEPT)
        self.assertEqual(len(owner.units), MAX_ROWS_KEPT)
        owner.forget_old(REPORT_LIFETIME)
        self.assertEqual((owner.rows_kept, owner.units), (0, {}))

    def test_a_report_older_than_the_last_one_changes_nothing(self):
        owner = LoadOwner()
        self.assertTrue(owner.take(1, decode(report(2, Row(5, 3, 3.0, 0, 0))), 0))
        self.assertFalse(owner.take(1, decode(report(1, Row(5, 9, 9.0, 0, 0))), 1))
        self.assertEqual(owner.digest_row(2, 5, LISTEN_TIME).out, 3)
        self.assertTrue(owner.take(1, decode(report(1, Row(5, 1, 1.0, 0, 0), epoch=2)), 2))  # the sender has restarted
        self.assertEqual(owner.digest_row(2, 5, LISTEN_TIME).out, 1)


class Figures(unittest.TestCase):
    """The figures that the choice of unit reads.  Relay 0 has four shots at the first unit."""

    def setUp(self):
        self.units = UNITS[:4]

    def network(self, relays: int = 6) -> FakeNetwork:
        network = FakeNetwork(relays, [self.units[:1] * 4] + [self.units for _ in range(relays - 1)])
        network.send_shots()
        return network

    def test_a_unit_with_shots_of_another_relay_has_a_higher_figure(self):
        network = self.network()
        network.run(4 * SECOND)
        busy, idle = (network.relays[1].others(unit, network.now) for unit in self.units[:2])
        self.assertGreater(busy, idle + 0.5)

    def test_without_messages_all_units_count_alike(self):
        network = self.network()
        network.lost = set(range(6))
        network.run(4 * SECOND)
        self.assertEqual(
            {relay.others(unit, network.now) for relay in network.relays[1:] for unit in self.units}, {0.0}
        )

    def test_old_digests_fade_until_all_units_count_alike(self):
        network = self.network()
        network.run(4 * SECOND)
        network.lost = set(range(6))
        network.run(4 * SECOND + REPORT_LIFETIME + DIGEST_LIFETIME + SECOND)  # lifetime of a report, and of its digest
        for relay in network.relays[1:]:
            owned = [unit for unit in self.units if relay.own_number in relay.rendezvous.ranked(unit)[:REPLICAS]]
            left = {relay.others(unit, network.now) for unit in self.units if unit not in owned}
            self.assertLessEqual(len(left), 1)

    def test_a_shared_digest_moves_each_of_many_relays_by_its_part(self):
        """Guards against a herd: the sum of what all relays that share a unit move by must not grow with their number
        (3 and 60 here)."""
        moves = []
        for relays in (3, 60):
            network = self.network(relays)
            network.run(9 * SECOND)
            digest = network.relays[1].followed[self.units[0]].digest
            before = network.relays[1].others(self.units[0], network.now) - network.relays[1].neutral
            moves.append(before / max(0.1, digest.mean - network.relays[1].neutral))
        self.assertGreater(moves[0], 0.7)
        self.assertLess(moves[1], 0.2)

    def test_an_owner_discards_what_is_older_than_the_end_of_its_stop(self):
        network = self.network()
        network.run(4 * SECOND)
        owner = network.relays[1].rendezvous.ranked(self.units[0])[0]
        network.stopped = {owner}
        network.run(9 * SECOND)
        self.assertTrue([each for each in network.waiting if each[1] == owner])
        network.stopped, relay = set(), network.relays[owner]
        network.run(network.now + 50)  # all waiting messages are read at once
        self.assertEqual(relay.load_owner.units, {})
        self.assertGreater(relay.dropped[Dropped.STOPPED], 0)
        self.assertEqual({relay.others(unit, network.now) for unit in self.units}, {0.0})
        network.run(network.now + SETTLE_TIME + 2 * SECOND)
        self.assertTrue(relay.load_owner.units)  # it works again

    def test_a_stop_shorter_than_a_reports_lifetime_counts_too(self):
        network = self.network()
        network.run(4 * SECOND)
        owner = network.relays[1].rendezvous.ranked(self.units[0])[0]
        self.assertTrue(network.relays[owner].load_owner.units)
        network.stopped = {owner}
        network.run(network.now + 2 * MIN_STOP)
        network.stopped = set()
        network.run(network.now + 50)
        self.assertEqual(network.relays[owner].load_owner.units, {})

    def test_other_relays_use_the_standby_while_an_owner_is_stopped(self):
        network = self.network()
        network.run(4 * SECOND)
        first, standby = network.relays[1].rendezvous.ranked(self.units[0])[:2]
        asker = next(each for each in range(1, 6) if each not in (first, standby))
        network.stopped = {first}
        network.run(10 * SECOND)
        followed = network.relays[asker].followed[self.units[0]]
        self.assertLess(network.now - followed.digest_at, DIGEST_LIFETIME // 2)

    def test_a_delayed_digest_is_as_old_as_the_report_that_it_answers(self):
        relay = LoadDigests(0, 2, 0, RandomGenerator(1))
        relay.sent(5, 0)
        sends = []
        while not sends:
            sends = relay.tick(relay.due)
        asked = decode(sends[0].data)
        self.assertEqual(asked.kind, REPORT)
        began = relay.ran
        for late in range(began, began + DIGEST_LIFETIME, MIN_STOP // 2):
            relay.tick(late)
        digest = Message(DIGEST, 0, asked.sequence, asked.epoch, (Row(5, 9, 9.0, 1, 0),))
        relay.received(sends[0].relay, encode(digest), began + DIGEST_LIFETIME)
        self.assertEqual(relay.others(5, began + DIGEST_LIFETIME), 0.0)


class Bounds(unittest.TestCase):
    def test_bytes_sent_keep_to_the_budget_whatever_the_number_of_units(self):
        for many in (4, 64, 400):
            network = FakeNetwork(12, [UNITS[:many]] * 12)
            network.send_shots()
            network.run(SECOND)
            network.bytes.clear()
            network.run(6 * SECOND)
            sent = [relay.counts["bytes_out"] for relay in network.relays]
            with self.subTest(units=many):
                self.assertLess(max(sent), OUT_RATE * 6 + DIGEST_BURST + 280)  # bytes in 6 s, and a full bucket
                self.assertLess(sum(network.bytes.values()) / 12 / 5, BUDGET - JUDGES_RATE)
                self.assertTrue(all(len(relay.followed) <= MAX_FOLLOWED for relay in network.relays))

    def test_an_owner_with_reports_from_all_relays_keeps_to_the_budget_and_asks_for_pauses(self):
        relay = LoadDigests(0, 1_300, 0, RandomGenerator(1))
        pause = 0
        for at in range(0, 5 * SECOND, 50):
            relay.tick(at)
            sender = 1 + at // 50 % 1_000
            for send in relay.received(sender, report(at // 50, Row(7, 1, 1.0, 0, 0), epoch=sender), at):
                pause = decode(send.data).pause
        self.assertLess(relay.counts["bytes_out"], DIGEST_RATE * 5 + DIGEST_BURST)
        self.assertGreater(relay.dropped[Dropped.BUDGET], 0)
        self.assertGreater(pause, 2 * SECOND)

    def test_an_owners_own_reports_leave_enough_bytes_for_digests(self):
        """Guards against owners that spend all bytes on their own reports, send no digests and are muted for it."""
        relay = LoadDigests(0, 1_300, 0, RandomGenerator(1))
        for unit in UNITS[:32]:
            relay.sent(unit, 0)
        answered = 0
        for at in range(0, 10 * SECOND, 50):
            relay.tick(at)
            if not at % 1_000:  # ten a second, 520 bytes
                answered += len(relay.received(1 + at // 1_000 % 50, report(1 + at // 1_000, Row(7, 1, 1.0, 0, 0)), at))
        self.assertGreater(answered, 95)

    def test_owners_are_worked_out_for_one_unit_at_a_time(self):
        """Guards against a timer that works out the owners of 64 units at once while invocations wait."""
        relay = LoadDigests(0, 1_300, 0, RandomGenerator(1))
        for unit in UNITS[:32]:
            relay.sent(unit, 0)
        for count in range(1, 5):
            relay.report(count * SECOND)
            self.assertEqual(sum(bool(each.owners) for each in relay.followed.values()), count)

    def test_corrupt_foreign_and_old_messages_are_dropped_and_counted(self):
        relay = LoadDigests(0, 3, 0, RandomGenerator(1))
        good = report(5, Row(7, 1, 1.0, 0, 0))
        relay.received(1, good, 1)
        for sender, data, why in (
            (1, good[:-1] + bytes([good[-1] ^ 1]), Dropped.SPOILT),
            (9, good, Dropped.FOREIGN),
            (1, good, Dropped.OLD),
            (2, encode(Message(DIGEST, 0, 3, 0, (Row(7, 1, 1.0, 0, 0),))), Dropped.OLD),
        ):
            before = relay.dropped[why]
            self.assertEqual(relay.received(sender, data, 2), [])
            self.assertEqual(relay.dropped[why], before + 1)
        self.assertEqual(relay.load_owner.digest_row(0, 7, LISTEN_TIME + 2).out, 1)

    def test_dropped_messages_are_logged_at_most_once_a_minute(self):
        relay = LoadDigests(0, 3, 0, RandomGenerator(1))
        for at in range(0, 130 * SECOND, SECOND // 2):
            relay.received(1, bytes(24), at)
            relay.tick(at)
        self.assertIn(len(relay.lines), (2, 3))

    def test_an_owner_sends_no_figures_of_a_unit_that_is_new_to_it(self):
        relay = LoadDigests(0, 3, 0, RandomGenerator(1))
        for sequence, at in enumerate(range(SECOND, 5 * SECOND, SECOND // 2), 1):
            relay.tick(at)
            sends = relay.received(1, report(sequence, Row(7, 1, 1.0, 0, 0)), at)
            self.assertEqual(len(decode(sends[0].data).rows), at >= SECOND + LISTEN_TIME)

    def test_two_runs_give_the_same_results(self):
        counts = []
        for _ in range(2):
            network = FakeNetwork(10, [UNITS[:20]] * 10)
            network.send_shots()
            network.run(4 * SECOND)
            counts.append([(relay.counts, relay.neutral) for relay in network.relays])
        self.assertEqual(*counts)


if __name__ == "__main__":
    unittest.main()
