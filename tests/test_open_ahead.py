"""Connections to units on trial that are opened ahead of requests, and the balance of shots as they arrive."""

import json
import unittest

from hypothesis import given, strategies as st

from tealsail.choices.open_ahead import CONNECTIONS_PER_UNIT, MAX_CONNECTIONS, POOL_PART, connections_to_open
from tealsail.parts import ArrivalBalance

from . import test_relay
from .fake import STARTUP, STARTUP_RESPONSE, MemoryTransport, client_query
from .test_relay import UNIT_PORT, listing, state, unit
from .test_units import EMPTY, PROBE_ANSWER

TRIAL_PORT = 7002
SPAN, LAG = 20_000, 500  # tenths of a millisecond


class ConnectionsToOpen(unittest.TestCase):
    @given(st.integers(1, 400), st.integers(1, 3000), st.integers(32, 4000))
    def test_neither_units_nor_the_relay_are_crowded_in_fleets_of_any_size(self, units, relays, most) -> None:
        counts = connections_to_open(range(units), relays, most)
        self.assertLessEqual(relays * sum(counts.values()), CONNECTIONS_PER_UNIT * units)
        self.assertLessEqual(sum(counts.values()), min(MAX_CONNECTIONS, most // POOL_PART))

    def test_a_small_fleet_shares_them_out_evenly(self) -> None:
        self.assertEqual(connections_to_open([7, 8, 9], 1, 480), {7: 3, 8: 3, 9: 2})
        self.assertEqual(connections_to_open([7, 8, 9], 5, 480), {7: 2, 8: 1, 9: 1})
        self.assertEqual(connections_to_open([], 1, 480), {})


class OpenedAhead(unittest.TestCase):
    """A relay of two, with two units, that is told of a build on trial before any request comes."""

    setUp = test_relay.RelayInMemory.setUp
    client = test_relay.RelayInMemory.client
    platform = test_relay.RelayInMemory.platform
    discovery = test_relay.RelayInMemory.discovery
    wait = test_relay.RelayInMemory.wait

    def begin_trial(self, phase: str, cap: float) -> list[MemoryTransport]:
        """The relay hears of the build and of its unit; returns the connections that come up."""
        self.platform().feed(
            b'{"method":"stage","params":%s}\n' % json.dumps(state(42, 1, phase, cap)).encode(),
        )
        self.discovery(listing(42, True, unit(UNIT_PORT), unit(TRIAL_PORT, "s-2", build=42)))
        self.wait(0.1)
        wires = [self.reactor.complete_connect(TRIAL_PORT) for _ in self.reactor.pending_connects(TRIAL_PORT)]
        for wire in wires:
            self.assertEqual(wire.sent(), STARTUP)
            wire.feed(STARTUP_RESPONSE)
        return wires

    def test_first_shots_at_a_unit_on_trial_need_not_wait_for_a_connection(self) -> None:
        """Guards against judges without outcomes where connections come up late: such shots may not be written."""
        wires = self.begin_trial("canary", 0.5)
        self.assertEqual(len(wires), CONNECTIONS_PER_UNIT // 2)
        for number in range(20):
            self.client(client_query(3000, number=str(number)))
        probed = [wire for wire in wires if wire.sent() == EMPTY]
        self.assertGreater(len(probed), 1)
        for wire in probed:
            wire.feed(PROBE_ANSWER)
            self.assertIn(b"SELECT content", wire.sent())

    def test_connections_that_have_ended_are_not_opened_again(self) -> None:
        for wire in self.begin_trial("canary", 0.5):
            wire.drop()
        self.relay.listed(self.relay.configuration.known._replace(whole=False, entries=[]))
        self.wait(5)
        self.assertEqual(self.reactor.pending_connects(TRIAL_PORT), [])

    def test_none_is_opened_for_a_released_build(self) -> None:
        self.assertEqual(self.begin_trial("stable", 1.0), [])

    def test_none_is_opened_for_a_build_that_goes_back(self) -> None:
        self.assertEqual(self.begin_trial("reverting", 0.0), [])


class Balance(unittest.TestCase):
    """`ArrivalBalance` against a count of each window by itself."""

    @given(st.lists(st.tuples(st.integers(1, 40), st.booleans()), max_size=60), st.sampled_from([0.0, 0.25, 1.0]))
    def test_excess_is_that_of_the_worst_window_wherever_it_begins(self, events, cap) -> None:
        balance, now, shots, taken = ArrivalBalance(SPAN, 20, LAG), 1_000_000, [], []
        for steps, is_shot in events:
            now += steps * balance.step
            if is_shot:
                balance.add_shot(now)
                shots.append(now)
            else:
                balance.allow(now, cap)
                taken.append(now)
        in_span = [begin for begin in shots if begin > now - SPAN]
        worst = max(
            [sum(at >= begin for at in shots) - cap * sum(at > begin - LAG for at in taken) for begin in in_span],
            default=-1e9,
        )
        none = -cap * sum(at > now - LAG for at in taken)  # the window that begins now
        self.assertGreaterEqual(balance.excess(now) + 1e-9, max(worst, none))
        if not shots or shots[0] > now - SPAN:
            self.assertAlmostEqual(balance.excess(now), max(worst, none))
