"""Load digests: what each guard is there against."""

import unittest
from collections import Counter

from hypothesis import given, settings, strategies as st

from tealsail import notes
from tealsail.choices import zone_reports
from tealsail.choices.digest_messages import DIGEST, QUIET_REPORT, REPORT, Message, Row, decode, encode
from tealsail.choices.load_digests import (
    BUDGET,
    DATAGRAM,
    DIGEST_BURST,
    DIGEST_LIFE,
    JUDGES_PART,
    MOST_USED,
    OUT_RATE,
    OWNER_RATE,
    SECOND,
    SETTLES,
    STOPPED,
    Dropped,
    LoadDigests,
)
from tealsail.choices.load_owner import LIFE, LISTENS, MOST_ROWS_KEPT, LoadOwner
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


class Net:
    """Machines that hand each other their messages, each at the next step of 5 ms."""

    def __init__(self, relays: int, used: list[list[int]]) -> None:
        self.now = 0
        self.machines = [LoadDigests(each, relays, 0, RandomGenerator(each)) for each in range(relays)]
        self.used, self.lost, self.stopped = used, set(), set()
        self.waiting: list[tuple[int, int, bytes]] = []
        self.bytes = Counter()

    def attempt(self) -> None:
        for machine, units in zip(self.machines, self.used):
            for unit in units:
                machine.sent(unit, self.now)

    def run(self, until: int) -> None:
        while self.now < until:
            self.now += 50
            coming, self.waiting = self.waiting, []
            for sender, to, data in coming:
                if to in self.stopped:
                    self.waiting.append((sender, to, data))
                else:
                    self.bytes[to] += len(data) + DATAGRAM
                    self.send(to, self.machines[to].received(sender, data, self.now))
            for number, machine in enumerate(self.machines):
                if number not in self.stopped and machine.due <= self.now:
                    self.send(number, machine.tick(self.now))

    def send(self, sender: int, sends: list) -> None:
        for to, data in sends:
            self.bytes[sender] += len(data) + DATAGRAM
            if to not in self.lost and sender not in self.lost:
                self.waiting.append((sender, to, data))


def report(sequence: int, *rows: Row, epoch: int = 1, kind: int = REPORT) -> bytes:
    return encode(Message(kind, 0, sequence, epoch, rows))


class Messages(unittest.TestCase):
    @given(
        st.sampled_from([REPORT, QUIET_REPORT, DIGEST]), st.integers(0, 65_535), st.lists(ROWS, min_size=1, max_size=5)
    )
    def test_what_is_written_is_read(self, kind, sequence, rows):
        message = Message(kind, 0, sequence, 7, tuple(rows))
        self.assertEqual(decode(encode(message)), message)
        self.assertLessEqual(len(encode(message)), 256)

    @given(st.lists(ROWS, min_size=1, max_size=5), st.integers(0, 1 << 20), st.integers(1, 255))
    def test_one_spoilt_byte_is_seen(self, rows, place, change):
        data = bytearray(encode(Message(REPORT, 0, 1, 7, tuple(rows))))
        data[place % len(data)] ^= change
        self.assertIsNone(decode(bytes(data)))

    @given(st.binary(max_size=300))
    def test_anything_else_is_passed_over(self, data):
        decode(data)

    @given(st.lists(ROWS, min_size=1, max_size=5))
    def test_a_relay_of_before_ignores_them(self, rows):
        data = encode(Message(REPORT, 0, 1, 7, tuple(rows)))
        self.assertFalse(notes.is_tracker_note(data))
        self.assertEqual(notes.read(data), ())
        self.assertIsNone(hearsay.decode(data))

    def test_no_two_of_12_000_units_are_taken_for_one(self):
        read = {decode(report(1, Row(unit, 1, 0.0, 0, 0))).rows[0].unit for unit in UNITS}
        self.assertEqual(read, set(UNITS))

    def test_two_units_that_share_16_bits_have_loads_of_their_own(self):
        seen: dict[int, int] = {}
        first, second = next(
            (seen[unit & 0xFFFF], unit) for unit in UNITS if seen.setdefault(unit & 0xFFFF, unit) != unit
        )
        owner = LoadOwner()
        owner.take(1, decode(report(1, Row(first, 9, 9.0, 0, 0))), 0)
        self.assertEqual(owner.others(2, first, LISTENS).out, 9)
        self.assertIsNone(owner.others(2, second, LISTENS))


class Owners(unittest.TestCase):
    def test_units_are_shared_out_evenly(self):
        rendezvous = Rendezvous(100)
        owned = Counter(owner for unit in UNITS[:6_000] for owner in rendezvous.ranked(unit)[:REPLICAS])
        self.assertLess(max(owned.values()), 1.5 * 120)
        self.assertGreater(min(owned.values()), 0.5 * 120)

    def test_a_relay_that_comes_takes_its_own_part_and_moves_nothing_else(self):
        before, after = Rendezvous(100), Rendezvous(101)
        moved = 0
        for unit in UNITS[:3_000]:
            first, then = before.ranked(unit)[:REPLICAS], after.ranked(unit)[:REPLICAS]
            if first != then:
                moved += 1
                self.assertIn(100, then)
        self.assertLess(moved, 3 * 3_000 * REPLICAS / 101)

    def test_its_table_is_bounded_and_emptied(self):
        owner = LoadOwner()
        for place in range(MOST_ROWS_KEPT + 500):
            owner.put(1, Row(place, 1, 1.0, 0, 0), 0)
        self.assertEqual(owner.rows_kept, MOST_ROWS_KEPT)
        self.assertEqual(len(owner.units), MOST_ROWS_KEPT)
        owner.forget_old(LIFE)
        self.assertEqual((owner.rows_kept, owner.units), (0, {}))

    def test_a_report_that_was_overtaken_changes_nothing(self):
        owner = LoadOwner()
        self.assertTrue(owner.take(1, decode(report(2, Row(5, 3, 3.0, 0, 0))), 0))
        self.assertFalse(owner.take(1, decode(report(1, Row(5, 9, 9.0, 0, 0))), 1))
        self.assertEqual(owner.others(2, 5, LISTENS).out, 3)
        self.assertTrue(owner.take(1, decode(report(1, Row(5, 1, 1.0, 0, 0), epoch=2)), 2))  # started anew
        self.assertEqual(owner.others(2, 5, LISTENS).out, 1)


class Figures(unittest.TestCase):
    """What the choice gets."""

    def setUp(self):
        self.units = UNITS[:4]

    def net(self, relays: int = 6) -> Net:
        net = Net(relays, [self.units[:1] * 4] + [self.units for _ in range(relays - 1)])
        net.attempt()
        return net

    def test_a_unit_that_another_relay_loads_weighs_more(self):
        net = self.net()
        net.run(4 * SECOND)
        busy, idle = (net.machines[1].others(unit, net.now) for unit in self.units[:2])
        self.assertGreater(busy, idle + 0.5)

    def test_without_messages_all_units_are_alike_at_once(self):
        net = self.net()
        net.lost = set(range(6))
        net.run(4 * SECOND)
        self.assertEqual({machine.others(unit, net.now) for machine in net.machines[1:] for unit in self.units}, {0.0})

    def test_old_digests_fade_to_all_alike(self):
        net = self.net()
        net.run(4 * SECOND)
        net.lost = set(range(6))
        net.run(4 * SECOND + LIFE + DIGEST_LIFE + SECOND)  # a report's life, and its digest's
        for machine in net.machines[1:]:
            owned = [unit for unit in self.units if machine.own in machine.rendezvous.ranked(unit)[:REPLICAS]]
            left = {machine.others(unit, net.now) for unit in self.units if unit not in owned}
            self.assertLessEqual(len(left), 1)

    def test_a_shared_digest_moves_each_of_many_by_its_part(self):
        """Three relays, or 60 that share a unit: the sum of what all move by must not grow with them."""
        moves = []
        for relays in (3, 60):
            net = self.net(relays)
            net.run(9 * SECOND)
            digest = net.machines[1].followed[self.units[0]].digest
            before = net.machines[1].others(self.units[0], net.now) - net.machines[1].neutral
            moves.append(before / max(0.1, digest.mean - net.machines[1].neutral))
        self.assertGreater(moves[0], 0.7)
        self.assertLess(moves[1], 0.2)

    def test_an_owner_that_comes_back_trusts_nothing_older_than_its_stop(self):
        net = self.net()
        net.run(4 * SECOND)
        owner = net.machines[1].rendezvous.ranked(self.units[0])[0]
        net.stopped = {owner}
        net.run(9 * SECOND)
        self.assertTrue([each for each in net.waiting if each[1] == owner])
        net.stopped, machine = set(), net.machines[owner]
        net.run(net.now + 50)  # all that waited is read at once
        self.assertEqual(machine.owner.units, {})
        self.assertGreater(machine.dropped[Dropped.STOPPED], 0)
        self.assertEqual({machine.others(unit, net.now) for unit in self.units}, {0.0})
        net.run(net.now + SETTLES + 2 * SECOND)
        self.assertTrue(machine.owner.units)  # and goes on

    def test_a_stop_shorter_than_a_reports_life_is_a_stop_too(self):
        net = self.net()
        net.run(4 * SECOND)
        owner = net.machines[1].rendezvous.ranked(self.units[0])[0]
        self.assertTrue(net.machines[owner].owner.units)
        net.stopped = {owner}
        net.run(net.now + 2 * STOPPED)
        net.stopped = set()
        net.run(net.now + 50)
        self.assertEqual(net.machines[owner].owner.units, {})

    def test_others_go_to_the_standby_meanwhile(self):
        net = self.net()
        net.run(4 * SECOND)
        first, standby = net.machines[1].rendezvous.ranked(self.units[0])[:2]
        asker = next(each for each in range(1, 6) if each not in (first, standby))
        net.stopped = {first}
        net.run(10 * SECOND)
        followed = net.machines[asker].followed[self.units[0]]
        self.assertLess(net.now - followed.digest_at, DIGEST_LIFE // 2)

    def test_a_digest_that_was_held_up_is_as_old_as_its_report(self):
        machine = LoadDigests(0, 2, 0, RandomGenerator(1))
        machine.sent(5, 0)
        sends = []
        while not sends:
            sends = machine.tick(machine.due)
        asked = decode(sends[0].data)
        self.assertEqual(asked.kind, REPORT)
        began = machine.ran
        for late in range(began, began + DIGEST_LIFE, STOPPED // 2):
            machine.tick(late)
        digest = Message(DIGEST, 0, asked.sequence, asked.epoch, (Row(5, 9, 9.0, 1, 0),))
        machine.received(sends[0].relay, encode(digest), began + DIGEST_LIFE)
        self.assertEqual(machine.others(5, began + DIGEST_LIFE), 0.0)


class Bounds(unittest.TestCase):
    def test_what_is_sent_keeps_to_the_budget_whatever_the_units(self):
        for many in (4, 64, 400):
            net = Net(12, [UNITS[:many]] * 12)
            net.attempt()
            net.run(SECOND)
            net.bytes.clear()
            net.run(6 * SECOND)
            sent = [machine.counts["bytes_out"] for machine in net.machines]
            with self.subTest(units=many):
                self.assertLess(max(sent), OUT_RATE * 6 + DIGEST_BURST + 280)  # bytes in 6 s, of a bucket
                self.assertLess(sum(net.bytes.values()) / 12 / 5, BUDGET - JUDGES_PART)
                self.assertTrue(all(len(machine.followed) <= MOST_USED for machine in net.machines))

    def test_an_owner_that_is_asked_by_all_keeps_to_it_and_says_so(self):
        machine = LoadDigests(0, 1_300, 0, RandomGenerator(1))
        pause = 0
        for at in range(0, 5 * SECOND, 50):
            machine.tick(at)
            sender = 1 + at // 50 % 1_000
            for send in machine.received(sender, report(at // 50, Row(7, 1, 1.0, 0, 0), epoch=sender), at):
                pause = decode(send.data).pause
        self.assertLess(machine.counts["bytes_out"], OWNER_RATE * 5 + DIGEST_BURST)
        self.assertGreater(machine.dropped[Dropped.BUDGET], 0)
        self.assertGreater(pause, 2 * SECOND)

    def test_reports_of_its_own_leave_an_owner_enough_to_answer(self):
        """Guards against owners that fall silent under their own reports, and are left out for it."""
        machine = LoadDigests(0, 1_300, 0, RandomGenerator(1))
        for unit in UNITS[:32]:
            machine.sent(unit, 0)
        answered = 0
        for at in range(0, 10 * SECOND, 50):
            machine.tick(at)
            if not at % 1_000:  # ten a second, 520 bytes
                answered += len(
                    machine.received(1 + at // 1_000 % 50, report(1 + at // 1_000, Row(7, 1, 1.0, 0, 0)), at)
                )
        self.assertGreater(answered, 95)

    def test_owners_of_one_unit_at_a_time_are_worked_out(self):
        """Guards against a timer that keeps requests waiting for 64 units' orders at once."""
        machine = LoadDigests(0, 1_300, 0, RandomGenerator(1))
        for unit in UNITS[:32]:
            machine.sent(unit, 0)
        for count in range(1, 5):
            machine.report(count * SECOND)
            self.assertEqual(sum(bool(each.owners) for each in machine.followed.values()), count)

    def test_spoilt_foreign_and_old_messages_are_dropped_and_counted(self):
        machine = LoadDigests(0, 3, 0, RandomGenerator(1))
        good = report(5, Row(7, 1, 1.0, 0, 0))
        machine.received(1, good, 1)
        for sender, data, why in (
            (1, good[:-1] + bytes([good[-1] ^ 1]), Dropped.SPOILT),
            (9, good, Dropped.FOREIGN),
            (1, good, Dropped.OLD),
            (2, encode(Message(DIGEST, 0, 3, 0, (Row(7, 1, 1.0, 0, 0),))), Dropped.OLD),
        ):
            before = machine.dropped[why]
            self.assertEqual(machine.received(sender, data, 2), [])
            self.assertEqual(machine.dropped[why], before + 1)
        self.assertEqual(machine.owner.others(0, 7, LISTENS + 2).out, 1)

    def test_one_line_a_minute(self):
        machine = LoadDigests(0, 3, 0, RandomGenerator(1))
        for at in range(0, 130 * SECOND, SECOND // 2):
            machine.received(1, bytes(24), at)
            machine.tick(at)
        self.assertIn(len(machine.lines), (2, 3))

    def test_an_owner_answers_for_no_unit_that_it_has_just_begun_to_hear_of(self):
        machine = LoadDigests(0, 3, 0, RandomGenerator(1))
        for sequence, at in enumerate(range(SECOND, 5 * SECOND, SECOND // 2), 1):
            machine.tick(at)
            sends = machine.received(1, report(sequence, Row(7, 1, 1.0, 0, 0)), at)
            self.assertEqual(len(decode(sends[0].data).rows), at >= SECOND + LISTENS)

    def test_two_runs_are_the_same(self):
        counts = []
        for _ in range(2):
            net = Net(10, [UNITS[:20]] * 10)
            net.attempt()
            net.run(4 * SECOND)
            counts.append([(machine.counts, machine.neutral) for machine in net.machines])
        self.assertEqual(*counts)


if __name__ == "__main__":
    unittest.main()
