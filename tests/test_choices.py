"""Tiers, spill and the way back: choices without I/O."""

import unittest

from hypothesis import given, strategies as st
from tealsail.choices.zone_recovery import OUT, RAMP, UP, WAITING, Returning
from tealsail.choices.zone_reports import ALERT, EACH, MOST_WORDS, Hearsay, Seen, Word, decode, encode

from tealsail.choices.spill import Give, View, split
from tealsail.choices.tiers import Tier, Zoning, tiers
from tealsail.notes import read as read_note

SECOND = 10_000
RULES = Zoning({})
WEIGHTS = st.floats(0.1, 1000)


class Order(unittest.TestCase):
    def test_own_zone_first_and_equally_near_ones_together(self) -> None:
        rules = Zoning({(0, 1): 1.0, (2, 0): 1.0, (0, 3): 5.0})
        self.assertEqual(tiers(0, 4, rules), [Tier(0.0, (0,)), Tier(1.0, (1, 2)), Tier(5.0, (3,))])
        self.assertEqual(tiers(3, 4, rules), [Tier(0.0, (3,)), Tier(1.0, (1, 2)), Tier(5.0, (0,))])


class Spills(unittest.TestCase):
    """Zone 0 is the relay's own; 1 and 2 are equally near, 3 is far."""

    ORDER = [Tier(0.0, (0,)), Tier(1.0, (1, 2)), Tier(5.0, (3,))]

    def of(self, *able: float, give: float = 1.0, agreed: tuple[float, ...] = (), **rules) -> list:
        views = {zone: View(10.0, each, agreed[zone] if agreed else each) for zone, each in enumerate(able)}
        order = [tier._replace(zones=tuple(zone for zone in tier.zones if zone in views)) for tier in self.ORDER]
        found = split(order, views, dict.fromkeys(views, give), RULES._replace(**rules))
        return [round(each, 3) for each in found.keep]

    def test_a_tier_in_order_keeps_all_also_with_a_few_units_out(self) -> None:
        self.assertEqual(self.of(10, 10, 10), [1.0, 0.0, 0.0])
        self.assertEqual(self.of(7.5, 10, 10), [1.0, 0.0, 0.0])

    def test_half_a_tier_out_spills_what_the_rest_can_not_do(self) -> None:
        self.assertEqual(self.of(5, 10, 10), [0.7, 0.3, 0.0])

    def test_a_lost_tier_spills_to_the_stated_limits_and_the_rest_is_rejected(self) -> None:
        self.assertEqual(self.of(0, 10, 10), [0.0, 1.0, 0.0])  # half on top of each of two
        self.assertEqual(self.of(0, 10, 10, spill_over=0.2), [0.0, 0.4, 0.0])
        self.assertEqual(self.of(0, 10, 10, spill_share=0.6), [0.0, 0.6, 0.0])
        self.assertEqual(self.of(0, 10, 10, 10, spill_over=0.2), [0.0, 0.4, 0.2])  # and on to the far one
        self.assertEqual(self.of(0, 10, 10, give=0.5), [0.0, 0.5, 0.0])

    def test_two_lost_zones_share_the_room_of_the_third(self) -> None:
        self.assertEqual(self.of(0, 0, 10), [0.0, 0.25, 0.0])  # half on top, half of it for each
        self.assertEqual(self.of(0, 5, 10)[1], 0.385)  # one lost, one short of 0.3

    def test_a_tier_that_is_short_itself_takes_less(self) -> None:
        self.assertEqual(self.of(0, 7, 10, spill_over=0.3)[1], 0.294)
        self.assertEqual(self.of(0, 5, 5, 10, spill_over=0.2), [0.0, 0.0, 0.125])

    def test_where_all_fell_alike_nothing_spills(self) -> None:
        self.assertEqual(self.of(5, 5, 5), [1.0, 0.0, 0.0])  # beside: a release halves what is listed
        self.assertEqual(self.of(0, 0, 0), [0.0, 0.0, 0.0])

    def test_under_the_panic_threshold_the_rest_of_a_tier_is_not_preferred(self) -> None:
        self.assertEqual(self.of(2, 10, 10)[0], 0.2)
        self.assertEqual(self.of(4, 10, 10)[0], 0.56)

    def test_what_a_relay_alone_sees_gets_its_zones_part_of_the_room_that_nobody_is_agreed_to_need(self) -> None:
        self.assertEqual(self.of(0, 10, 10, agreed=(10, 10, 10)), [0.0, 0.5, 0.0])  # half of a half from each of two
        self.assertEqual(self.of(0, 0, 10, agreed=(10, 0, 10)), [0.0, 0.0, 0.0])  # all of it is the lost zone's

    def test_a_relay_whose_zone_never_had_units_uses_the_next_as_its_own(self) -> None:
        views = {0: View(0.0, 0.0, 0.0), 1: View(10.0, 10.0, 10.0), 2: View(10.0, 10.0, 10.0)}
        self.assertEqual(split(self.ORDER[:2], views, dict.fromkeys(views, 1.0), RULES).keep, [0.0, 1.0])

    @given(
        st.lists(st.tuples(WEIGHTS, st.floats(0, 1.5)), min_size=1, max_size=6),
        st.data(),
        st.floats(0, 1),
        st.floats(0, 2),
    )
    def test_no_zone_is_sent_more_than_the_stated_rate_by_all_relays_together(self, rows, data, share, over) -> None:
        """Each zone's relays decide alone; what comes to a zone from all others is summed up."""
        rules = RULES._replace(spill_share=share, spill_over=over)
        agreed = {zone: View(weight, 0.0, weight * part) for zone, (weight, part) in enumerate(rows)}
        views = agreed
        costs = {(a, b): data.draw(st.sampled_from([1.0, 2.0])) for a in views for b in views if a < b}
        come = dict.fromkeys(views, 0.0)
        for own in views:
            order = tiers(own, len(views), Zoning(costs))
            views = {
                zone: view._replace(able=view.usual * data.draw(st.sampled_from([0.0, 0.2, 0.8, 1.0])))
                for zone, view in agreed.items()
            }  # each sees something else
            give = {zone: data.draw(st.sampled_from([0.3, 1.0])) for zone in views}
            found = split(order, views, give, rules)
            self.assertTrue(all(each >= 0 for each in found.keep))
            self.assertLessEqual(sum(found.keep), 1 + 1e-9)
            self.assertLessEqual(sum(found.keep[1:]), share + 1e-9)
            for tier, part in list(zip(order, found.keep))[1:]:
                self.assertLessEqual(part, sum(found.room.get(zone, 0.0) for zone in tier.zones) + 1e-9)
            for zone, room in found.room.items():  # the most that the gate lets through
                come[zone] += room * views[own].usual
        for zone, view in agreed.items():
            self.assertLessEqual(come[zone], over * view.usual * (1 + 1e-6) + 1e-9)

    def test_spill_falls_back_when_what_spilled_comes_late_and_rises_slowly(self) -> None:
        give = Give()
        for _ in range(4):
            for late in (True, True, False):
                give.saw(late)
            give.beat(0.1)
        self.assertAlmostEqual(give.level, (2 / 3) ** 4)
        for _ in range(8):
            give.saw(False)
            give.beat(0.1)
        self.assertAlmostEqual(give.level, (2 / 3) ** 4 + 8 * 0.05)
        give.saw(True)  # one late answer among few is chance
        give.saw(False)
        give.saw(False)
        before = give.level
        give.beat(0.1)
        self.assertEqual(give.level, before)

    def test_two_hundred_relays_that_see_each_others_spill_do_not_swing(self) -> None:
        """A zone of three is lost; each relay sees lateness where the other two are over what they can do.  Usual use
        is 70%, so half of the lost zone's work fits: the sum must settle near that, with no great swings."""
        gives, load = [Give() for _ in range(200)], []
        views = {0: View(10.0, 0.0, 0.0), 1: View(10.0, 10.0, 10.0), 2: View(10.0, 10.0, 10.0)}
        for _ in range(200):
            spilled = sum(
                split(self.ORDER[:2], views, dict.fromkeys(views, give.level), RULES).keep[1] for give in gives
            ) / len(gives)
            busy = 0.7 * (1 + spilled / 2)
            load.append(busy)
            for give in gives:
                for _ in range(4):
                    give.saw(busy > 0.95)
                give.beat(0.1)
        self.assertLess(max(load[20:]), 1.0)
        self.assertGreater(sum(load[50:]) / 150, 0.8)


SLOWLY = RULES._replace(step=SECOND, wait=SECOND)


class Ways(unittest.TestCase):
    def back(self, rules: Zoning = SLOWLY, flaps: int = 0, luck: float = 0.5) -> tuple[Returning, int]:
        zone, now = Returning(rules, luck), 0
        zone.lost(now)
        zone.flaps = flaps
        zone.there(now)
        return zone, now

    def levels(self, zone: Returning, now: int, seconds: int, good: int = 10, bad: int = 0) -> list[float]:
        found = []
        for _ in range(2 * seconds):
            now += SECOND // 2
            for _ in range(good):
                zone.saw(True)
            for _ in range(bad):
                zone.saw(False)
            zone.beat(now)
            found.append(zone.level)
        return found

    def test_nothing_while_out_then_a_wait_then_steps_by_time_and_evidence(self) -> None:
        zone, now = self.back()
        found = self.levels(zone, now, 8)
        self.assertEqual(found[:2], [0.0, RULES.first])
        self.assertEqual(sorted(found), found)
        self.assertEqual(zone.state, UP)
        for early, late in zip(found, found[2:]):  # in a second never more than twice as much
            self.assertLessEqual(late, max(RULES.first, 2 * early))

    def test_without_answers_no_step_whatever_the_clock_says(self) -> None:
        zone, now = self.back()
        self.assertEqual(set(self.levels(zone, now, 30, good=0)), {0.0, RULES.first})

    def test_a_zone_that_nothing_is_sent_to_is_whole_again_once_it_was_calm(self) -> None:
        zone, now = self.back()
        self.assertEqual(self.levels(zone, now, 32, good=0)[-1], 1.0)

    def test_it_turns_back_when_the_zone_falters(self) -> None:
        zone, now = self.back()
        up = self.levels(zone, now, 4)
        down = self.levels(zone, 4 * SECOND, 3, good=6, bad=4)
        self.assertLess(down[-1], up[-1])
        self.assertEqual((down[-1], zone.state), (RULES.first, RAMP))

    def test_a_zone_that_flaps_waits_longer_each_time_with_a_bound_and_a_calm_one_is_forgiven(self) -> None:
        zone, now, waits = Returning(SLOWLY, 0.5), 10 * SECOND * 100, []
        for _ in range(9):
            zone.lost(now)
            zone.there(now)
            waits.append(zone.wait())
            now += 5 * SECOND
        self.assertEqual(waits, [min(600_000, 10_000 << flap) for flap in range(9)])
        zone.turn(UP, 1.0, now)
        zone.lost(now + RULES.calm + 1)
        self.assertEqual((zone.flaps, zone.state), (0, OUT))
        zone.lost(now + RULES.calm + 2)  # told twice is lost once
        self.assertEqual(zone.flaps, 0)
        zone.there(now)
        self.assertEqual(zone.state, WAITING)

    def test_relays_do_not_come_back_at_one_moment(self) -> None:
        self.assertEqual([self.back(luck=luck)[0].wait() for luck in (0.0, 0.5, 1.0)], [7_500, 10_000, 12_500])

    def test_what_others_saw_is_evidence_for_a_relay_with_little_to_do(self) -> None:
        zone, now = self.back()
        for beat in range(1, 30):
            zone.told(EACH, 0)
            zone.beat(now + beat * SECOND // 2)
        self.assertEqual(zone.state, UP)


FIGURE = st.integers(0, 255)
SEEN = st.builds(Seen, FIGURE, FIGURE, FIGURE, FIGURE)


class Words(unittest.TestCase):
    """Zone 1 is spoken of; relays of zones 0, 1 and 2 speak."""

    REACHED, OUT_OF_REACH = Seen(1, 20, 0, 0), Seen(1, 0, 0, 20)

    def heard(self, *said: tuple[int, Seen]) -> Hearsay:
        found = Hearsay(40_000)
        for sender, (own, seen) in enumerate(said):
            found.add(sender, Word(own, True, False, (seen,)), 0)
        return found

    @given(FIGURE, st.booleans(), st.booleans(), st.lists(SEEN, max_size=80, unique_by=lambda seen: seen.zone))
    def test_a_word_is_read_as_it_was_written_and_is_no_note_of_the_judges(self, own, trouble, alone, rows) -> None:
        data = encode(Word(own, trouble, alone, tuple(rows)))
        self.assertLessEqual(len(data), 255)
        self.assertEqual(read_note(data), ())
        again = decode(data)
        self.assertEqual(again[:3], (own, trouble, alone))
        self.assertEqual(len(again.zones), min(63, len(rows)))
        self.assertLessEqual(set(again.zones), set(rows))

    @given(st.binary(max_size=300))
    def test_what_is_no_word_is_passed_over(self, data) -> None:
        word = decode(data)
        if word is not None:
            self.assertEqual(encode(word)[:2], data[:2])

    def test_one_relay_or_the_relays_of_one_zone_talk_nobody_out_of_a_zone(self) -> None:
        self.assertEqual(self.heard((0, self.OUT_OF_REACH), (0, self.OUT_OF_REACH)).doubts(), set())
        cut = [(0, self.OUT_OF_REACH)] * 20
        self.assertEqual(self.heard(*cut, (1, self.REACHED)).doubts(), set())
        self.assertEqual(self.heard(*cut, (2, self.OUT_OF_REACH), (1, self.REACHED)).doubts(), {1})

    def test_several_relays_cast_doubt_that_ends_with_their_words(self) -> None:
        found = self.heard(*[(0, self.OUT_OF_REACH)] * 2, (2, self.OUT_OF_REACH))
        self.assertEqual(found.doubts(), {1})
        found.forget(40_000)
        self.assertEqual(found.doubts(), set())

    def test_how_much_of_a_zone_is_in_trouble_by_its_own_relays_words(self) -> None:
        found = Hearsay(40_000)
        for sender, (own, alone) in enumerate(((1, True), (1, False), (0, False))):
            found.add(sender, Word(own, True, alone, ()), 0)
        self.assertEqual(found.troubled(2, True), {1: 0.5, 0: 0.0})
        self.assertEqual(found.troubled(1, True)[1], 2 / 3)
        self.assertEqual(self.heard().troubled(1, True), {})  # with nobody heard nothing is agreed

    def test_answers_count_once_a_span_and_no_relay_counts_for_many(self) -> None:
        found = self.heard((0, Seen(1, 200, 50, 0)), (2, self.OUT_OF_REACH))
        self.assertEqual(found.evidence(), [Seen(1, 8, 2, 0)])
        found.add(0, Word(0, True, False, (self.REACHED,)), 5_000)
        self.assertEqual(found.evidence(), [])  # the same answers, told again
        found.add(0, Word(0, True, False, (self.REACHED,)), 20_000)
        self.assertEqual(found.evidence(), [Seen(1, EACH, 0, 0)])

    def test_the_table_of_words_is_bounded_and_the_oldest_goes(self) -> None:
        found = self.heard(*[(0, self.REACHED)] * 1000)
        self.assertEqual((len(found.words), len(found.counted)), (MOST_WORDS, MOST_WORDS))
        self.assertLessEqual(len(found.evidence()), MOST_WORDS)

    def test_who_is_told_of_trouble_tells_too_for_a_while_and_that_does_not_feed_itself(self) -> None:
        found = self.heard((0, self.REACHED))
        self.assertEqual((found.alert(ALERT - 1), found.alert(ALERT)), (True, False))
        found.add(1, Word(0, False, False, (self.REACHED,)), ALERT)  # a word without trouble of its own
        self.assertFalse(found.alert(ALERT + 1))


if __name__ == "__main__":
    unittest.main()
