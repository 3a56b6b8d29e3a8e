"""New settings in a running relay: checked as a whole, taken at one point, both ways; nothing lost or sent twice."""

import unittest

from tealsail import policy
from tealsail.choices.live_settings import LiveSettings, RestartNeeded
from tealsail.net import relay_configuration
from tealsail.setup.validation import InvalidSettings, check_settings

from . import test_relay
from .fake import HARMLESS, ONE_SHOT, READY, ROW, SECOND, RelayFixture, client_query, error_response
from .test_relay import config, read_configuration

TIMER_BESIDE = dict(
    control="timer",
    layout="beside",
    step=4 * SECOND,
    hold_votes=18,
    back_votes=1,
    on_votes=0,
    drain_grace=2500,
    guarded_stages=1,
)
SHARE_IN_PLACE = dict(control="share", layout="in_place", on_votes=1, back_votes=1)


def settings(**more: object) -> dict:
    """The platform's settings with some replaced; `limits__maxAttempts` stands for limits.maxAttempts."""
    tree = {name: dict(each) if isinstance(each, dict) else each for name, each in config()["settings"].items()}
    for path, value in more.items():
        where, _, name = path.partition("__")
        (tree[where] if name else tree)[name or where] = value
    return tree


class CheckedSettings(unittest.TestCase):
    def test_an_error_gives_the_platforms_name_of_a_wrong_setting(self) -> None:
        for more, said in (
            ({"domain__control": "clock"}, "domain.control: 'clock' is none of any, share, timer"),
            ({"domain__noesNeeded": -1}, "domain.noesNeeded: -1 is not from"),
            ({"domain__noesNeeded": 3}, "domain.noesNeeded: 3 of 2 relays"),
            ({"domain__free": float("nan")}, "domain.free: nan is not from"),
            ({"domain__toAdvance": 0}, "domain.toAdvance: 0 under"),
            ({"domain__waves": [0.5, 0.2]}, "domain.waves: a stage is smaller"),
            ({"domain__mostShares": [0.5]}, "domain.mostShares: 1 stages"),
            ({"domain__mostShares": [0.5, "all"]}, "domain.mostShares: 'all' is not a number"),
            ({"domain__guardedStages": 3}, "domain.guardedStages: 3 of 2"),
            ({"domain__oneWay": True}, "domain.oneWay: true is not supported"),
            ({"limits__maxAttempts": 1.5}, "limits.maxAttempts: is not whole"),
            ({"limits__cancel": "yes"}, "limits.cancel: 'yes' is not bool"),
            ({"index": 2}, "index: 2 of 2 relays"),
            ({"requestClasses": []}, "no workloads"),
        ):
            with (
                self.subTest(more),
                self.assertRaisesRegex(relay_configuration.ConfigurationError, f"settings: {said}"),
            ):
                read_configuration(config(settings=settings(**more)))
        late = [dict(each, aim=4000) for each in settings()["requestClasses"]]
        with self.assertRaisesRegex(
            relay_configuration.ConfigurationError, "requestClasses.0.aim: later than its deadline"
        ):
            read_configuration(config(settings=settings(requestClasses=late)))

    def test_settings_of_both_kinds_of_deployment_are_accepted(self) -> None:
        for overrides in (TIMER_BESIDE, SHARE_IN_PLACE, {}):
            check_settings(dict(overrides, relays=180, workloads=[dict(HARMLESS, name="a"), dict(ONE_SHOT, name="b")]))
        with self.assertRaises(InvalidSettings):
            check_settings(dict(TIMER_BESIDE, relays=180, step=0, workloads=[HARMLESS]))


class ChangedSettings(unittest.TestCase):
    def story(self, **overrides) -> tuple[RelayFixture, LiveSettings]:
        story = RelayFixture(8, workloads=(HARMLESS, ONE_SHOT), relays=9, **overrides)
        return story, LiveSettings(story.relay, self.now(story))

    @staticmethod
    def now(story: RelayFixture, **more: object) -> dict:
        return dict(story.relay.settings, **more)

    def test_changes_there_and_back_during_a_trial_keep_the_evidence(self) -> None:
        story, live = self.story(**SHARE_IN_PLACE)
        story.trial(many=4)
        before, share = dict(story.relay.settings), story.relay.trial.share
        for _ in range(2):
            story.relay.trial.groups["canary"][0] += 5
            self.assertIn("domain.layout", live.change(dict(before, **TIMER_BESIDE)))
            self.assertEqual((story.relay.beside, story.relay.trial.share), (True, 1.0))
            live.change(dict(before, **dict(TIMER_BESIDE, back_votes=8)))
            self.assertEqual(story.relay.judge.voters, 11)
            live.change(before)
            live.end_transition()
            self.assertEqual(
                (story.relay.settings, story.relay.trial.share, story.relay.judge.voters),
                (before, share, policy.JUDGES),
            )
        self.assertEqual(story.relay.trial.groups["canary"][0], 10)  # no evidence is lost
        self.assertEqual(live.change(before), [])

    def test_earlier_invocations_are_finished_within_the_stricter_settings(self) -> None:
        for old, new in ((3, 1), (1, 3)):
            story, live = self.story(most_shots=old, may_tell=False)
            taken = story.take()
            live.change(self.now(story, most_shots=new))
            story.report_outcome(taken, "unreachable")
            self.assertEqual((len(story.sent(taken)), len(story.host.of("reject"))), (1, 1))
            live.end_transition()
            later = story.take()
            for shot_number in range(new):
                story.report_outcome(later, "unreachable", shot_number=shot_number)
            self.assertEqual(len(story.sent(later)), new)

    def test_a_change_that_needs_a_restart_is_refused_by_name_and_changes_nothing(self) -> None:
        story, live = self.story()
        before = dict(story.relay.settings)
        for more, name in (
            (dict(relays=10), "fleetSize"),
            (dict(exposure_span=SECOND), "domain.span"),
            (dict(workloads=[HARMLESS]), "requestClasses"),
            (dict(workloads=[HARMLESS, dict(ONE_SHOT, effect="harmless")]), "requestClasses"),
        ):
            with self.assertRaisesRegex(RestartNeeded, f"{name}: needs a restart"):
                live.change(self.now(story, drain_grace=1, **more))
        self.assertEqual(story.relay.settings, before)


class OnSockets(test_relay.RelayInMemory):
    """The relay of tests/test_relay.py, in memory, with the same fakes."""

    def timer_beside(self, **more: object) -> dict:
        return settings(
            domain__control="timer", domain__stageTime=4000, domain__toAdvance=0, domain__layout="beside", **more
        )

    def test_a_query_taken_before_a_change_is_answered_once_after_it(self) -> None:
        client = self.client(client_query(wait=3000, workload="order"))
        wire = self.unit()
        self.assertEqual(wire.sent().count(b"SELECT"), 1)
        self.relay.reconfigure(read_configuration(config(settings=self.timer_beside(limits__maxAttempts=1))))
        self.relay.reconfigure(read_configuration(config(settings=self.timer_beside())))  # two in a row
        self.assertTrue(self.relay.facade.relay.beside)
        wire.feed(ROW + READY)
        self.assertEqual((client.sent(), wire.sent()), (ROW + READY, b""))
        self.relay.reconfigure(read_configuration(config()))  # changing back works the same way
        self.wait(1)
        self.assertEqual((self.relay.facade.relay.beside, self.relay.live_settings.replacement), (False, None))
        self.assertEqual((self.relay.counters.counts["configuration.taken"], len(self.relay.serving)), (3, 0))

    def test_a_query_that_fails_after_a_change_is_not_retried_beyond_either_limit(self) -> None:
        client = self.client(client_query(wait=3000))
        self.relay.reconfigure(read_configuration(config(settings=self.timer_beside(limits__maxAttempts=1))))
        wire = self.unit()
        self.assertEqual(wire.sent().count(b"SELECT"), 1)
        wire.feed(error_response("XX000") + READY)
        self.assertEqual((wire.sent(), client.sent().count(b"C53300")), (b"", 1))

    def test_a_refused_configuration_changes_nothing_not_even_discovery(self) -> None:
        for tree in (config(discovery="127.0.0.1:8600", settings=settings(fleetSize=3)),):
            self.assertRaises(RestartNeeded, self.relay.reconfigure, read_configuration(tree))
        self.assertEqual(self.reactor.pending_connects(8600), [])


for name in [name for name in dir(test_relay.RelayInMemory) if name.startswith("test_")]:
    setattr(OnSockets, name, None)  # its own tests run in that module
