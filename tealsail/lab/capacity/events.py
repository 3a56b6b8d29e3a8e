"""The sizes that are measured, and the events that both columns play: the same list, settings and messages."""

import os
from collections.abc import Sequence
from typing import Any, NamedTuple

from ... import notes
from ...facade import Facade
from ...settings import facts, nested_leaves
from .points import Axis

PAGE = os.sysconf("SC_PAGE_SIZE")  # bytes
BUILD, EARLIER = 2, 1  # on trial, and before
SIZES: dict[Axis, tuple[float, ...]] = {
    Axis.REQUESTS: (3, 14, 65, 300),
    Axis.MESSAGES: (12, 54, 250, 1200),
    Axis.UNITS: (120, 560, 2600, 12_000),
    Axis.TENANTS: (380, 1760, 8200, 38_000),
    Axis.RELAYS: (13, 60, 280, 1300),
    Axis.LIST_CHANGES: (1, 5, 22, 100),
    Axis.WHOLE_LISTS: (1, 5, 22, 100),
    Axis.SETTINGS: (1, 5, 22, 100),
}
STATE = (Axis.UNITS, Axis.TENANTS, Axis.RELAYS)  # each size needs a process of its own


class Setup(NamedTuple):
    """The size of the fleet that the measured relay is told of."""

    units: int = 120
    relays: int = 13
    tenants: int = 40
    index: int = 0
    may_tell: bool = True
    classes: int = 3


def settings(setup: Setup, advice_ms: int = 100) -> dict[str, Any]:
    """As the platform writes them; `advice_ms` is what a change of settings changes."""
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


def entry(place: int, address: str) -> dict[str, Any]:
    """One of a list's units, as the list has it; one in ten is of the build on trial."""
    return {
        "instanceId": f"service-{place % 530:03d}-{place:08x}",
        "hostPort": address,
        "zone": f"zone-{place % 8}",
        "cell": 0,
        "lifecycle": "ready",
        "weight": 1.0,
        "startedAtMs": 0,
        "build": BUILD if place % 10 == 0 else EARLIER,
    }


def order(relays: int) -> Any:
    """The decisions of some relay of that fleet, for who judges and who tracks load."""
    relay = Facade(facts(nested_leaves(settings(Setup(relays=relays)))), 0, lambda: 0).relay
    relay.on_stage(BUILD, 0, 0, 0.5, 0)
    return relay


def judges(relays: int) -> list[int]:
    return order(relays).judge.order


def trackers(relays: int) -> list[int]:
    return order(relays).load_tracking.order


def plain(relays: int) -> int:
    """The last in the judges' order that is no tracker."""
    relay = order(relays)
    return next(number for number in reversed(relay.judge.order) if number not in relay.load_tracking.order)


def told(sender: int, count: int, classes: int) -> list[bytes]:
    """All cells of a relay's counts, as messages."""
    cells = 30 * classes
    return notes.count_notes(BUILD, sender, [(cell, 1 + count % 60_000) for cell in range(cells)], cells)


def of_request(number: int, units: Sequence[int] = range(1200)) -> bytes:
    """The three messages of a request, one after the other, of units of these numbers."""
    request, place = divmod(number, 3)
    unit = units[request * 7919 % len(units)]
    if place == 1:
        return notes.ask_note(request, [units[(request * 7919 + 13 * each) % len(units)] for each in range(8)])
    return notes.load_note(number, unit, int(place == 0), 16 * (place == 2))
