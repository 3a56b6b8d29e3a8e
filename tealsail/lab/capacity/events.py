"""The sizes that are measured, and the settings, lists and messages that both columns send to the measured relay."""

import os
from collections.abc import Sequence
from typing import Any, NamedTuple

from ... import peer_messages
from ...facade import Facade
from ...settings import named_settings, nested_leaves
from .points import Axis

PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")
CANARY_BUILD = 2
BASELINE_BUILD = 1
SIZES: dict[Axis, tuple[float, ...]] = {
    Axis.REQUEST_RATE: (3, 14, 65, 300),
    Axis.MESSAGE_RATE: (12, 54, 250, 1200),
    Axis.UNITS: (120, 560, 2600, 12_000),
    Axis.TENANTS: (380, 1760, 8200, 38_000),
    Axis.RELAYS: (13, 60, 280, 1300),
    Axis.LIST_CHANGES: (1, 5, 22, 100),
    Axis.WHOLE_LISTS: (1, 5, 22, 100),
    Axis.SETTINGS_CHANGES: (1, 5, 22, 100),
}
STATE_AXES = (Axis.UNITS, Axis.TENANTS, Axis.RELAYS)  # each of their sizes needs a process of its own


class Setup(NamedTuple):
    """The fleet around the measured relay, and the relay's index in it; `classes` counts request classes."""

    units: int = 120
    relays: int = 13
    tenants: int = 40
    index: int = 0
    may_tell: bool = True
    classes: int = 3


def settings(setup: Setup, advice_ms: int = 100) -> dict[str, Any]:
    """The settings as the platform writes them; each change of settings sets another `advice_ms`."""
    return {
        "fleetSize": setup.relays,
        "index": setup.index,
        "tenants": [{"name": f"t{place}", "share": 1 / setup.tenants} for place in range(setup.tenants)],
        "requestClasses": [
            {"name": f"w{place}", "effect": "read_like", "aim": 500, "deadline": 3000, "gain": 1}
            for place in range(setup.classes)
        ],
        "domain": {
            "mostShares": [0.5, 1.0],
            "waves": [0.1, 1.0],
            "span": 2000,
            "free": 1,
            "apiTimeout": 1200,
            "ballotTtl": 6000,
            "toAdvance": 2,
            "noesNeeded": 2,
        },
        "limits": {
            "maxAttempts": 3,
            "cancel": True,
            "mayTell": setup.may_tell,
            "dialTimeout": 250,
            "connIdle": 30000,
            "retryAfter": True,
            "maxRetryAfter": advice_ms,
        },
    }


def list_entry(place: int, address: str) -> dict[str, Any]:
    """The entry of one unit in the list of units; every tenth unit has the canary build."""
    return {
        "instanceId": f"service-{place % 530:03d}-{place:08x}",
        "hostPort": address,
        "zone": f"zone-{place % 8}",
        "cell": 0,
        "lifecycle": "ready",
        "weight": 1.0,
        "startedAtMs": 0,
        "build": CANARY_BUILD if place % 10 == 0 else BASELINE_BUILD,
    }


def relay_decisions(relays: int) -> Any:
    """The decision module of a relay in a fleet of that size, which knows the orders of judges and load trackers."""
    relay = Facade(named_settings(nested_leaves(settings(Setup(relays=relays)))), 0, lambda: 0).relay
    relay.on_stage(CANARY_BUILD, 0, 0, 0.5, 0)
    return relay


def judge_order(relays: int) -> list[int]:
    """The indexes of the relays in the order in which they judge, the judges first."""
    return relay_decisions(relays).judge.order


def tracker_order(relays: int) -> list[int]:
    """The indexes of the load trackers, the one in charge first."""
    return relay_decisions(relays).load_tracking.order


def plain_relay(relays: int) -> int:
    """The index of a relay that is neither judge nor load tracker: the last in the order of judges."""
    relay = relay_decisions(relays)
    return next(number for number in reversed(relay.judge.order) if number not in relay.load_tracking.order)


def full_count_messages(sender: int, count: int, classes: int) -> list[bytes]:
    """The messages with all cells of a relay's counts."""
    cells = 30 * classes  # three groups of ten cells for each request class
    return peer_messages.count_messages(
        CANARY_BUILD, sender, [(cell, 1 + count % 60_000) for cell in range(cells)], cells
    )


def request_message(number: int, units: Sequence[int] = range(1200)) -> bytes:
    """Message `number` of a sequence to the load tracker, where each request sends three: start, question, end.

    `units` holds the numbers of the units that the requests are for.
    """
    request, place = divmod(number, 3)
    unit = units[request * 7919 % len(units)]
    if place == 1:
        return peer_messages.question_message(
            request, [units[(request * 7919 + 13 * each) % len(units)] for each in range(8)]
        )
    return peer_messages.load_message(number, unit, int(place == 0), 16 * (place == 2))
