"""Faults of a day as typed values; the language in which they are written is read in tealsail/lab/script.py."""

from typing import NamedTuple


class Fault(NamedTuple):
    """One line of a script.  Times are tenths of a ms.

    It hits `many` units or relays, or a `part` of them (0 to 1), in a `zone` ('': any) and of a `build` (-1: any).  The
    reader of scripts sets these fields by name.
    """

    at: int
    span: int  # 0: permanent, or over at once
    kind: str
    many: int = 0
    part: float = 0.0
    zone: str = ""
    build: int = -1
    who: str = ""  # number of a relay, its role (`keeper`, `judge`, `judges`), a customer, or what happens to notes
    times: float = 1.0  # a factor (slow, surge, run clocks), a share (fail, notes, hold) or seconds (step clocks)
    whom: str = ""  # the other side of a cut: list, platform, others, zone NAME, or relays (those of `party`)
    one_way: bool = False  # the cut loses only what the first side sends to the second
    far: int = 0  # delay or age of notes
    party: tuple[str, int, float, str] = ("", 0, 0.0, "")  # relays of `whom`, as who, many, part, zone
    text: str = ""  # the line itself
