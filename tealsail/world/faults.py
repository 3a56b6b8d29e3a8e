"""What goes wrong in a day, as typed values; the language they are written in is read in tealsail/lab/script.py."""
from typing import NamedTuple


class Fault(NamedTuple):
    """One line of a script.  Times are tenths of a ms; `span` 0: for good (or at once).

    `many` units or relays, or that `part` of them; of a `zone` ('': any) and a `build` (-1: any); `who` is a relay's
    number or a customer's name; `times` is a factor (slow, surge) or a share (fail, notes).
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
    text: str = ""
