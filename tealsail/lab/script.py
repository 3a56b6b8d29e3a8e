"""The language of what goes wrong in a day: one sentence a line, read with a grammar, into typed values.

    at 12s kill 3 units of zone b for 10s
    from 20s for 8s customer acme x 5
    from 30s for 6s list stale
"""
from typing import Any

from lark import Lark, Transformer, v_args
from lark.exceptions import LarkError, UnexpectedInput, VisitError

from ..world.faults import Fault

GRAMMAR = r"""
start: when what lasting?
when: "at" TIME -> at | "from" TIME "for" TIME -> during
lasting: "for" TIME

?what: verb units scope? -> units
     | "slow" units scope? by -> slow
     | "fail" PERCENT "of" "answers" "of" units scope? -> fail
     | "customer" NAME by -> customer
     | "traffic" by -> traffic
     | "list" "stale" -> list_stale
     | "platform" "silent" -> platform_silent
     | "platform" "busy" -> platform_busy
     | "notes" "lost" PERCENT? -> notes_lost
     | "kill" "relay" INT -> relay
     | "restart" "relay" INT -> restart
     | "cut" "relay" INT "from" "zone" NAME -> cut
     | "cut" "all" "relays" "from" "zone" NAME -> cut_all
     | "lose" "zone" NAME -> zone

!verb: "kill" | "hang" | "silence" | "drain"
units: INT _UNITS -> some | PERCENT "of" "units" -> part | "all" "units" -> every
scope: "of" "zone" NAME -> in_zone | "of" "build" INT -> of_build
     | "of" "zone" NAME "of" "build" INT -> in_both
by: "x" NUMBER

_UNITS: /units?/
TIME: /\d+(\.\d+)?(ms|s|m)/
PERCENT: /\d+(\.\d+)?%/
NUMBER: /\d+(\.\d+)?/
INT: /\d+/
NAME: /[A-Za-z][A-Za-z0-9_-]*/
%ignore /[ \t]+/
"""
LONGEST = 64 * 1024                              # characters of a script
UNITS = {"ms": 10, "s": 10_000, "m": 600_000}    # in tenths of a ms
EVERY_PART = 1.0
LASTING = ("surge", "list", "platform silent", "platform busy", "notes")


class Unclear(Exception):
    """A script that can't be read: one line with its line and column."""


@v_args(inline=True)
class Reader(Transformer):
    """Turns the grammar's trees into faults."""

    def TIME(self, text: Any) -> int:
        digits = text.rstrip("ms")
        return round(float(digits) * UNITS[text[len(digits):]])

    def PERCENT(self, text: Any) -> float:
        return float(text[:-1]) / 100

    INT, NUMBER, NAME = int, float, str

    def at(self, when: int) -> tuple[int, int]:
        return when, 0

    def during(self, when: int, span: int) -> tuple[int, int]:
        return when, span

    def lasting(self, span: int) -> int:
        return span

    def verb(self, word: Any) -> str:
        return str(word)

    def some(self, many: int) -> dict[str, Any]:
        return {"many": many}

    def part(self, part: float) -> dict[str, Any]:
        return {"part": part}

    def every(self) -> dict[str, Any]:
        return {"part": EVERY_PART}

    def in_zone(self, zone: str) -> dict[str, Any]:
        return {"zone": zone}

    def of_build(self, build: int) -> dict[str, Any]:
        return {"build": build}

    def in_both(self, zone: str, build: int) -> dict[str, Any]:
        return {"zone": zone, "build": build}

    def by(self, times: float) -> float:
        return times

    def units(self, verb: str, which: dict[str, Any], scope: dict[str, Any] | None = None) -> dict[str, Any]:
        return {"kind": verb, **which, **(scope or {})}

    def slow(self, which: dict[str, Any], *rest: Any) -> dict[str, Any]:
        scope = rest[0] if len(rest) > 1 else {}
        return {"kind": "slow", **which, **scope, "times": rest[-1]}

    def fail(self, part: float, which: dict[str, Any], scope: dict[str, Any] | None = None) -> dict[str, Any]:
        return {"kind": "fail", **which, **(scope or {}), "times": part}

    def customer(self, name: str, times: float) -> dict[str, Any]:
        return {"kind": "surge", "who": name, "times": times}

    def traffic(self, times: float) -> dict[str, Any]:
        return {"kind": "surge", "times": times}

    def list_stale(self) -> dict[str, Any]:
        return {"kind": "list"}

    def platform_silent(self) -> dict[str, Any]:
        return {"kind": "platform silent"}

    def platform_busy(self) -> dict[str, Any]:
        return {"kind": "platform busy"}

    def notes_lost(self, part: float = 1.0) -> dict[str, Any]:
        return {"kind": "notes", "times": part}

    def relay(self, number: int) -> dict[str, Any]:
        return {"kind": "relay", "who": str(number)}

    def restart(self, number: int) -> dict[str, Any]:
        return {"kind": "restart", "who": str(number)}

    def cut(self, number: int, zone: str) -> dict[str, Any]:
        return {"kind": "cut", "who": str(number), "zone": zone}

    def cut_all(self, zone: str) -> dict[str, Any]:
        return {"kind": "cut", "who": "all", "zone": zone}

    def zone(self, zone: str) -> dict[str, Any]:
        return {"kind": "zone", "zone": zone}

    def start(self, when: tuple[int, int], what: dict[str, Any], lasting: int = 0) -> Fault:
        at, span = when
        return Fault(at=at, span=span or lasting, **what)


PARSER = Lark(GRAMMAR, parser="lalr", lexer="contextual", maybe_placeholders=False)


def read_script(text: str) -> list[Fault]:
    """The faults of a script, in the order of their times; each keeps its own line of text.  Raises Unclear."""
    if len(text) > LONGEST:
        raise Unclear(f"longer than {LONGEST} characters")
    faults = []
    for number, line in enumerate(text.splitlines(), 1):
        words = line.split("#")[0].rstrip()      # the rest is a comment
        if not words.strip():
            continue
        try:
            fault = Reader().transform(PARSER.parse(words))
        except UnexpectedInput as problem:
            ended = getattr(getattr(problem, "token", None), "type", "") == "$END"
            column = len(words) + 1 if ended or problem.column < 1 else problem.column
            wanted = getattr(problem, "accepts", None) or getattr(problem, "allowed", None) or ()
            raise Unclear(f"line {number}, column {min(column, len(words) + 1)}: {words.strip()!r} can't be read "
                          "there" + (f"; {hint(wanted)}" if wanted else "")) from None
        except (VisitError, LarkError, OverflowError) as problem:
            raise Unclear(f"line {number}: {problem}") from None
        if fault.kind in LASTING and not fault.span:
            raise Unclear(f"line {number}: {words.strip()!r} needs a time that it lasts")
        if fault.kind in ("slow", "surge") and fault.times <= 0:
            raise Unclear(f"line {number}: {words.strip()!r}: a factor above nothing")
        faults.append(fault._replace(text=" ".join(words.split())))
    return sorted(faults, key=lambda fault: fault.at)


def hint(wanted: Any) -> str:
    """What might stand there, in words."""
    words = sorted({str(each).strip("_").lower().replace("$end", "the end") for each in wanted})
    return "expected " + ", ".join(words[:8])
