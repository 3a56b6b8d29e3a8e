"""The lines of code that make costs grow, named by module, function and a part of the line.

Each run looks up their numbers, so that the page names the lines as they are in the measured commit.
"""

import importlib
import inspect
from typing import Any, NamedTuple

from .points import Activity, Axis, Cost


class Place(NamedTuple):
    """A function of this package; `module` is its path below `tealsail`, `function` may hold a class name."""

    module: str
    function: str

    def resolve(self) -> Any:
        """Imports the function; raises AttributeError or ModuleNotFoundError if it does not exist."""
        owner = importlib.import_module(f"tealsail.{self.module}")
        for part in self.function.split("."):
            owner = getattr(owner, part)
        return owner

    def __str__(self) -> str:
        return f"`{self.module.replace('.', '/')}.py` {self.function}"


class Cause(NamedTuple):
    """A line of code; `text` is a part of it that occurs nowhere else in the function."""

    module: str
    function: str
    text: str

    def line(self) -> int:
        """The number of the line in its file; raises ValueError if the function has no such line."""
        rows, first = inspect.getsourcelines(Place(self.module, self.function).resolve())
        for place, row in enumerate(rows):
            if self.text in row:
                return first + place
        raise ValueError(f"tealsail.{self.module}: {self.function} has no line with {self.text!r}")

    def __str__(self) -> str:
        return f"{self.module.replace('.', '/')}.py:{self.line()} {self.function}: {self.text}"


SUM_CAPACITY = Cause("parts", "warm_and_cold_capacity", "for unit in row")
ARRANGE_UNITS = Cause("policy", "Relay.arrange", "sorted(self.units.values()")
HASH_UNIT_NUMBER = Cause("net.relay", "unit_number", "blake2b(")
PARSE_TENANTS = Cause("settings", "named_settings", "items[int(parts[1])][name] =")
COUNT_TENANTS = Cause("policy", "Admission.__init__", "self.by_customer =")
ADD_COUNTS = Cause("peer_messages", "CountPool.add", "for cell, count in zip")
COMPARE_SENDERS = Cause("parts", "is_uncorroborated", "min(most, many)")
SEND_SHOT = Cause("net.invocation", "ActiveInvocation.shoot", "relay.units.shoot(")
REPORT_SHOT = Cause("policy", "LoadTracking.report_shot", "self.send(tracker_index")
RECEIVE_MESSAGE = Cause("net.relay", "Relay.on_peer_message", "self.schedule_tick()")
DROP_LOADS = Cause("policy", "Relay.on_wake", "self.load_tracking.loads = drop_stale_senders(")
CREATE_UNIT = Cause("parts", "Unit.__init__", "self.number = number")

CAUSES: dict[tuple[Activity, Axis, Cost], Cause] = {
    (Activity.STANDING_STATE, Axis.UNITS, Cost.MEMORY): CREATE_UNIT,
    (Activity.STANDING_STATE, Axis.TENANTS, Cost.MEMORY): COUNT_TENANTS,
    (Activity.IDLE_SECOND, Axis.UNITS, Cost.PROCESSOR): SUM_CAPACITY,
    (Activity.CHANGED_ENTRY, Axis.UNITS, Cost.PROCESSOR): ARRANGE_UNITS,
    (Activity.WHOLE_LIST, Axis.UNITS, Cost.PROCESSOR): HASH_UNIT_NUMBER,
    (Activity.WHOLE_LIST, Axis.UNITS, Cost.BYTES_IN): HASH_UNIT_NUMBER,
    (Activity.SETTINGS_CHANGE, Axis.UNITS, Cost.PROCESSOR): ARRANGE_UNITS,
    (Activity.SETTINGS_CHANGE, Axis.TENANTS, Cost.PROCESSOR): PARSE_TENANTS,
    (Activity.REQUEST_SECOND, Axis.REQUEST_RATE, Cost.PROCESSOR): SEND_SHOT,
    (Activity.TRACKED_REQUEST_SECOND, Axis.REQUEST_RATE, Cost.PROCESSOR): REPORT_SHOT,
    (Activity.TRACKED_REQUEST_SECOND, Axis.REQUEST_RATE, Cost.DATAGRAMS_OUT): REPORT_SHOT,
    (Activity.TRACKER_SECOND, Axis.MESSAGE_RATE, Cost.PROCESSOR): RECEIVE_MESSAGE,
    (Activity.TRACKER_MESSAGE, Axis.UNITS, Cost.PROCESSOR): DROP_LOADS,
    (Activity.JUDGE_SECOND, Axis.MESSAGE_RATE, Cost.PROCESSOR): RECEIVE_MESSAGE,
    (Activity.JUDGE_IDLE_SECOND, Axis.RELAYS, Cost.PROCESSOR): COMPARE_SENDERS,
    (Activity.JUDGE_IDLE_SECOND, Axis.RELAYS, Cost.MEMORY): ADD_COUNTS,
    (Activity.CHANGED_ENTRY_SERIES, Axis.LIST_CHANGES, Cost.PROCESSOR): ARRANGE_UNITS,
    (Activity.WHOLE_LIST_SERIES, Axis.WHOLE_LISTS, Cost.PROCESSOR): HASH_UNIT_NUMBER,
    (Activity.SETTINGS_CHANGE_SERIES, Axis.SETTINGS_CHANGES, Cost.PROCESSOR): PARSE_TENANTS,
}


def describe_causes() -> dict[tuple, str]:
    """The causes as texts with the current line numbers, by activity, axis and cost."""
    return {key: str(cause) for key, cause in CAUSES.items()}
