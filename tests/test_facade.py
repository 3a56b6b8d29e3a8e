"""The facade of the decision module, without sockets."""

import gc
import sys
import unittest

from tealsail.facade import (
    CancelShot,
    ClientLeft,
    Facade,
    Forfeit,
    Outcome,
    PeerMessageReceived,
    Reject,
    RolloutState,
    SendShot,
    UnitEntry,
    Units,
    WrongAnswer,
)
from tealsail.peer_messages import answer_message, read_tracker_message

from .fake import HARMLESS, ONE_SHOT, SECOND


class Clock:
    now = 100 * SECOND

    def __call__(self) -> int:
        return self.now


class FacadeCalls(unittest.TestCase):
    def setUp(self) -> None:
        self.clock = Clock()
        settings = dict(
            workloads=[dict(HARMLESS, name="basket"), dict(ONE_SHOT, name="order")],
            most_shots=3,
            customers=[dict(name="acme", share=1.0)],
            may_cancel=True,
            may_tell=True,
            relays=3,
        )
        self.facade = Facade(settings, 7, self.clock)
        self.facade.report(RolloutState(1, 1, "released", 1.0, 0))
        self.facade.report(Units("whole", [UnitEntry(unit, 1, "open", 0, 0, 1.0, 0) for unit in (5, 6)]))

    def pick(self, workload: str = "basket") -> tuple:
        return self.facade.pick(workload, "acme", "key", self.clock.now + 4 * SECOND)

    def test_every_pick_and_every_outcome_gives_a_step_until_the_answer(self) -> None:
        number, first = self.pick()
        self.assertIsInstance(first, SendShot)
        self.clock.now += 300
        further = self.facade.report(Outcome(number, 0, "unreachable"))
        self.assertEqual((further.shot_number, {first.unit, further.unit}), (1, {5, 6}))
        self.assertIsNone(self.facade.report(Outcome(number, 1, "served", {"util": 0.5})))
        self.assertEqual(self.facade.relay.units[further.unit].util, 0.5)

    # Guards against keys, which may be long, that stay until the garbage collector finds their invocations.
    def test_nothing_of_an_ended_invocation_holds_its_key(self) -> None:
        gc.disable()
        self.addCleanup(gc.enable)
        key = "k" * 100_000
        references = sys.getrefcount(key)
        number, _ = self.facade.pick("basket", "acme", key, self.clock.now + 4 * SECOND)
        self.facade.report(Outcome(number, 0, "served"))
        self.assertEqual(sys.getrefcount(key), references)

    def test_an_invocation_that_waits_for_the_load_tracker_gets_its_step_from_tick(self) -> None:
        """The step must be that of the waiting invocation, not of one that was picked meanwhile."""
        facade = Facade(
            dict(
                self.facade.relay.settings,
                relays=9,
                index=min(
                    {*range(9)}
                    - {*Facade(dict(self.facade.relay.settings, relays=9), 7, self.clock).relay.load_tracking.order}
                ),
            ),
            7,
            self.clock,
        )
        facade.report(RolloutState(1, 1, "released", 1.0, 0))
        facade.report(Units("whole", [UnitEntry(unit, 1, "open", 0, 0, 1.0, 0) for unit in (5, 6)]))
        self.facade = facade
        (answered, first_step), (unanswered, second_step) = self.pick(), self.pick("order")
        tracker, question = facade.tick().messages[0]
        self.assertEqual((first_step, second_step, read_tracker_message(question)[0]), (None, None, answered))
        self.assertIsNone(facade.report(PeerMessageReceived(tracker, answer_message(answered, 1))))
        ((number, step),) = facade.tick().steps
        self.assertEqual((number, step.unit), (answered, read_tracker_message(question)[3]))
        self.clock.now += facade.relay.load_tracking.ANSWER_TIMEOUT
        ((number, step),) = facade.tick().steps  # no answer: the relay has chosen itself
        self.assertEqual((number, type(step)), (unanswered, SendShot))
        self.assertIsNone(facade.report(Outcome(answered, 0, "served")))

    def test_a_one_shot_invocation_that_may_have_run_is_forfeited_and_an_unsent_one_rejected(self) -> None:
        number, _ = self.pick("order")
        self.assertEqual(self.facade.report(Outcome(number, 0, "reset")), Forfeit())
        self.facade.report(Units("whole", []))
        self.assertEqual(self.pick("order")[1], Reject(0))

    def test_cancellations_and_messages_come_from_the_tick_that_is_due(self) -> None:
        number, _ = self.pick()
        self.facade.tick()
        self.facade.report(ClientLeft(number))
        self.assertEqual(self.facade.due, self.clock.now)
        self.assertEqual(self.facade.tick().cancellations, [CancelShot(number, 0)])
        self.assertGreater(self.facade.due, self.clock.now)
        self.facade.report(RolloutState(2, 0, "on trial", 0.5, 0))
        messages = []
        for _ in range(8):
            self.clock.now = max(self.clock.now, self.facade.due)
            messages += self.facade.tick().messages
        self.assertEqual({message.relay for message in messages}, {1, 2})
        self.facade.report(PeerMessageReceived(1, messages[0].data))
        self.assertIn(1, self.facade.relay.judge.last_counts_at)

    def test_a_chosen_shot_may_be_sent_until_the_list_or_the_cap_forbids_it(self) -> None:
        number, step = self.pick()
        self.assertTrue(self.facade.may_still_send(number, 0))
        self.facade.report(Units("changes", [UnitEntry(step.unit, 1, "draining", 0, 0, 1.0, 0)]))
        self.assertFalse(self.facade.may_still_send(number, 0))
        self.facade.report(Units("whole", [UnitEntry(8, 2, "open", 0, 0, 1.0, 0)]))
        self.facade.report(RolloutState(2, 0, "on trial", 0.5, 0))
        number, step = self.pick()
        self.assertTrue(self.facade.may_still_send(number, 0))
        self.clock.now += 2 * SECOND
        self.facade.report(RolloutState(2, 0, "going back", 0.0, 0))
        self.assertFalse(self.facade.may_still_send(number, 0))

    def test_a_chosen_shot_may_not_be_sent_once_its_client_has_left(self) -> None:
        """Guards against an attempt for nobody, where the settings allow no cancellation of the shot that waits."""
        self.facade.relay.settings["may_cancel"] = False
        number, _ = self.pick("order")
        self.assertTrue(self.facade.may_still_send(number, 0))
        self.facade.report(ClientLeft(number))
        self.assertEqual(self.facade.tick().cancellations, [])
        self.assertFalse(self.facade.may_still_send(number, 0))

    def test_an_exception_of_the_module_is_logged_and_costs_at_most_that_invocation(self) -> None:
        self.facade.report(WrongAnswer(5, 99, 0))  # build 1, and no workload of that number
        number, _ = self.pick()
        self.facade.relay.choice.cost = lambda unit: 1 / 0
        self.assertEqual(self.facade.report(Outcome(number, 0, "unreachable")), Forfeit())
        self.assertEqual(self.facade.faults, 2)
        self.assertEqual(
            [line.split(":")[0] for line in self.facade.tick().lines], ["fault IndexError", "fault ZeroDivisionError"]
        )
        del self.facade.relay.choice.cost
        self.assertIsInstance(self.pick()[1], SendShot)
