"""What is measured, in words of one meaning each, and the lines in which measuring processes say it."""

from enum import StrEnum

import msgspec


class Column(StrEnum):
    """On what a point was measured."""

    PROCESS = "process"  # `tealsail serve` with real sockets on loopback
    FACADE = "facade"  # the decisions alone, in a process of their own


class Axis(StrEnum):
    """What grows."""

    UNITS = "units"
    RELAYS = "relays"
    TENANTS = "tenants"
    REQUESTS = "requests a second"
    MESSAGES = "messages a second"
    LIST_CHANGES = "list changes"
    WHOLE_LISTS = "whole lists"
    SETTINGS = "settings changes"


class Side(StrEnum):
    """Whom the cost is for."""

    SERVING = "serving"
    CONTROL = "control"
    BOTH = "both"


class Cost(StrEnum):
    """What is counted; bytes are those of the application, without headers of TCP, UDP and IP."""

    PROCESSOR = "processor ms"
    MEMORY = "memory MB"
    BYTES_IN = "bytes in"
    BYTES_OUT = "bytes out"
    DATAGRAMS_IN = "datagrams in"
    DATAGRAMS_OUT = "datagrams out"


class Name(StrEnum):
    """Of what the cost is: one event, one second, or the standing state."""

    STANDING = "standing state"
    IDLE = "idle second"
    CHANGE = "changed entry"
    WHOLE = "whole list"
    RELOAD = "settings change"
    REQUEST = "request"
    REQUESTS = "second of requests"
    ASKING = "second of requests, tracker asked"
    TRACKING = "second of a tracker's messages"
    TRACKED = "tracker's message"
    COUNTS = "second of a judge's messages"
    JUDGING = "judge's idle second"
    CHANGES = "changed entries in a row"
    WHOLES = "whole lists in a row"
    RELOADS = "settings changes in a row"


class Point(msgspec.Struct, frozen=True):
    """One measured cost at one size."""

    name: Name
    axis: Axis
    column: Column
    cost: Cost
    side: Side
    x: float
    value: float


class Progress(msgspec.Struct, tag=True):
    """Measurements done, of how many, and the next one."""

    done: int
    total: int
    title: str


class Found(msgspec.Struct, tag=True):
    point: Point


class Problem(msgspec.Struct, tag=True):
    """A measurement that gave no point, and why."""

    text: str


class Disturbed(msgspec.Struct, tag=True):
    """Points that were kept though the machine's host took much of their time."""

    text: str


Line = Progress | Found | Problem | Disturbed
