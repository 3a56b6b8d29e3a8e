"""The lines of code behind what grows: named by module, function and a piece of the line, found again at each run."""

import importlib
import inspect
from typing import Any, NamedTuple

from .points import Axis, Cost, Name


class Place(NamedTuple):
    """A function of a module of this package."""

    module: str
    function: str

    def found(self) -> Any:
        """The function.  Raises AttributeError or ModuleNotFoundError if it is there no more."""
        owner = importlib.import_module(f"tealsail.{self.module}")
        for part in self.function.split("."):
            owner = getattr(owner, part)
        return owner

    def __str__(self) -> str:
        return f"`{self.module.replace('.', '/')}.py` {self.function}"


class Cause(NamedTuple):
    """A line of code; `text` is a part of it that occurs in that function alone."""

    module: str
    function: str
    text: str

    def line(self) -> int:
        """Raises ValueError if the function has no such line."""
        rows, first = inspect.getsourcelines(Place(self.module, self.function).found())
        for place, row in enumerate(rows):
            if self.text in row:
                return first + place
        raise ValueError(f"tealsail.{self.module}: {self.function} has no line with {self.text!r}")

    def __str__(self) -> str:
        return f"{self.module.replace('.', '/')}.py:{self.line()} {self.function}: {self.text}"


BEAT = Cause("parts", "warm_and_cold_capacity", "for unit in row")
LIST = Cause("policy", "Relay.arrange", "sorted(self.units.values()")
READING = Cause("net.relay", "unit_number", "blake2b(")
CUSTOMERS = Cause("settings", "facts", "items[int(parts[1])][name] =")
RINGS = Cause("policy", "Admission.__init__", "self.by_customer =")
POOL = Cause("notes", "CountPool.add", "for cell, count in zip")
SENDERS = Cause("parts", "is_uncorroborated", "min(most, many)")
SERVING = Cause("net.relay", "ActiveInvocation.shoot", "relay.units.shoot(")
TELLING = Cause("policy", "LoadTracking.report_shot", "self.send(tracker_index")
HEARING = Cause("net.relay", "Relay.on_peer_message", "self.schedule_tick()")
LOADS = Cause("policy", "Relay.on_wake", "self.load_tracking.loads = drop_stale_senders(")
UNITS = Cause("parts", "Unit.__init__", "self.number = number")

CAUSES: dict[tuple[Name, Axis, Cost], Cause] = {
    (Name.STANDING, Axis.UNITS, Cost.MEMORY): UNITS,
    (Name.STANDING, Axis.TENANTS, Cost.MEMORY): RINGS,
    (Name.IDLE, Axis.UNITS, Cost.PROCESSOR): BEAT,
    (Name.CHANGE, Axis.UNITS, Cost.PROCESSOR): LIST,
    (Name.WHOLE, Axis.UNITS, Cost.PROCESSOR): READING,
    (Name.WHOLE, Axis.UNITS, Cost.BYTES_IN): READING,
    (Name.RELOAD, Axis.UNITS, Cost.PROCESSOR): LIST,
    (Name.RELOAD, Axis.TENANTS, Cost.PROCESSOR): CUSTOMERS,
    (Name.REQUESTS, Axis.REQUESTS, Cost.PROCESSOR): SERVING,
    (Name.ASKING, Axis.REQUESTS, Cost.PROCESSOR): TELLING,
    (Name.ASKING, Axis.REQUESTS, Cost.DATAGRAMS_OUT): TELLING,
    (Name.TRACKING, Axis.MESSAGES, Cost.PROCESSOR): HEARING,
    (Name.TRACKED, Axis.UNITS, Cost.PROCESSOR): LOADS,
    (Name.COUNTS, Axis.MESSAGES, Cost.PROCESSOR): HEARING,
    (Name.JUDGING, Axis.RELAYS, Cost.PROCESSOR): SENDERS,
    (Name.JUDGING, Axis.RELAYS, Cost.MEMORY): POOL,
    (Name.CHANGES, Axis.LIST_CHANGES, Cost.PROCESSOR): LIST,
    (Name.WHOLES, Axis.WHOLE_LISTS, Cost.PROCESSOR): READING,
    (Name.RELOADS, Axis.SETTINGS, Cost.PROCESSOR): CUSTOMERS,
}


def causes() -> dict[tuple, str]:
    """As text with the line's number now."""
    return {key: str(cause) for key, cause in CAUSES.items()}
