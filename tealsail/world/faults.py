"""What goes wrong in a day, as typed values; the language they are written in is read in tealsail/lab/script.py."""

from typing import NamedTuple


class Fault(NamedTuple):
    """One line of a script.  Times are tenths of a ms; `span` 0: for good (or at once).

    `many` units or relays, or that `part` of them; of a `zone` ('': any) and a `build` (-1: any); `who` is a relay's
    number, what it does for the fleet (`keeper`, `judge`) or a customer's name; `times` is a factor (slow, surge,
    clock), a share (fail, notes, hold) or seconds (step); `whom`: what relays are cut from; `far`: how late or old
    notes are.
    """

    at: int
    span: int
    kind: str
    many: int = 0
    part: float = 0.0
    zone: str = ""
    build: int = -1
    who: str = ""
    times: float = 1.0
    whom: str = ""  # list, platform, others, zone NAME, or relays in the words of `party`
    one_way: bool = False  # what the first send does not reach the second; the way back is open
    far: int = 0
    party: tuple[str, int, float, str] = ("", 0, 0.0, "")  # of `whom`: who, many, part, zone
    text: str = ""
