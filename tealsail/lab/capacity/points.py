"""The vocabulary of the capacity measurements, and the messages with which measuring processes report their results.

The values of the enums are stored in docs/capacity.json and printed on the capacity page.
"""

from enum import StrEnum

import msgspec


class Column(StrEnum):
    """What a point was measured on."""

    PROCESS = "process"  # `tealsail serve` with real sockets on loopback
    FACADE = "facade"  # the facade without sockets, in a process of its own


class Axis(StrEnum):
    """The size that grows from one measurement to the next."""

    UNITS = "units"
    RELAYS = "relays"
    TENANTS = "tenants"
    REQUEST_RATE = "requests a second"
    MESSAGE_RATE = "messages a second"
    LIST_CHANGES = "list changes"
    WHOLE_LISTS = "whole lists"
    SETTINGS_CHANGES = "settings changes"


class Side(StrEnum):
    """What a cost is caused by."""

    SERVING = "serving"  # connections of clients and units
    CONTROL = "control"  # list, platform, settings, messages between relays, and beats
    BOTH = "both"  # processor time of requests together with the messages that they cause


class Cost(StrEnum):
    """The resource that is counted, with its unit.

    Bytes are those of the application, without headers of TCP, UDP and IP.
    """

    PROCESSOR = "processor ms"
    MEMORY = "memory MB"
    BYTES_IN = "bytes in"
    BYTES_OUT = "bytes out"
    DATAGRAMS_IN = "datagrams in"
    DATAGRAMS_OUT = "datagrams out"


class Activity(StrEnum):
    """What a cost is measured of: one event, one second, a series of events, or the memory of the process at rest."""

    STANDING_STATE = "standing state"
    IDLE_SECOND = "idle second"
    CHANGED_ENTRY = "changed entry"
    WHOLE_LIST = "whole list"
    SETTINGS_CHANGE = "settings change"
    REQUEST = "request"
    REQUEST_SECOND = "second of requests"
    TRACKED_REQUEST_SECOND = "second of requests, tracker asked"
    TRACKER_SECOND = "second of a tracker's messages"
    TRACKER_MESSAGE = "tracker's message"
    JUDGE_SECOND = "second of a judge's messages"
    JUDGE_IDLE_SECOND = "judge's idle second"
    CHANGED_ENTRY_SERIES = "changed entries in a row"
    WHOLE_LIST_SERIES = "whole lists in a row"
    SETTINGS_CHANGE_SERIES = "settings changes in a row"


class Point(msgspec.Struct, frozen=True):
    """One measured cost of an activity at the size `x` of an axis."""

    name: Activity
    axis: Axis
    column: Column
    cost: Cost
    side: Side
    x: float
    value: float


class Progress(msgspec.Struct, tag=True):
    """How many measurements are done, how many there are, and the title of the next one."""

    done: int
    total: int
    title: str


class PointMeasured(msgspec.Struct, tag=True):
    """A measurement gave this point."""

    point: Point


class Problem(msgspec.Struct, tag=True):
    """A measurement gave no point, for this reason."""

    text: str


class Disturbed(msgspec.Struct, tag=True):
    """Points were kept although the machine's host took much of the processor time while they were measured."""

    text: str


ReportLine = Progress | PointMeasured | Problem | Disturbed
