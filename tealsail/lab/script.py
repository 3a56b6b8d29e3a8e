"""The language of fault scripts: one sentence a line, parsed by a grammar into typed faults.

at 12s kill 3 units of zone b for 10s
from 20s for 8s customer acme x 5
from 30s for 6s list stale at 50% of relays
at 40s pause the keeper for 5s
from 50s for 8s cut relays of zone a from the others one way
"""

from typing import Any

from lark import Lark, Transformer, v_args
from lark.exceptions import LarkError, UnexpectedInput, VisitError

from ..world.faults import Fault

GRAMMAR = r"""
start: when what lasting?
when: "at" TIME -> at | "from" TIME "for" TIME -> during
lasting: "for" TIME

?what: verb party -> struck
     | "slow" units scope? by -> slow
     | "fail" PERCENT "of" "answers" "of" units scope? -> fail
     | "hold" relays "to" PERCENT -> hold
     | "customer" NAME by -> customer
     | "traffic" by -> traffic
     | "list" "stale" -> list_stale
     | "list" "stale" "at" relays -> list_stale_at
     | "platform" "silent" -> platform_silent
     | "platform" "busy" -> platform_busy
     | "notes" trouble -> notes
     | "cut" relays "from" others ONE_WAY? -> cut
     | "cut" "neighbours" -> ring
     | "step" "clocks" "of" relays "by" SIGNED -> step
     | "run" "clocks" "of" relays by -> run_clocks
     | "lose" "zone" NAME -> zone

!verb: "kill" | "hang" | "silence" | "drain" | "pause" | "restart" | "switch"
?party: units scope? -> units | relays
units: INT _UNITS -> some | PERCENT "of" "units" -> part | "all" "units" -> every
scope: "of" "zone" NAME -> in_zone | "of" "build" INT -> of_build
     | "of" "zone" NAME "of" "build" INT -> in_both
relays: "relay" INT -> one_relay | INT _RELAYS of_zone? -> some_relays | PERCENT "of" _RELAYS of_zone? -> part_relays
      | "all" _RELAYS of_zone? -> every_relay | "the" ROLE -> role
of_zone: "of" "zone" NAME -> in_zone
others: relays | "zone" NAME -> units_of | "the" SERVICE -> service | "the" "others" -> the_others
trouble: "lost" PERCENT? -> lost | "late" TIME PERCENT? -> late | "reordered" TIME PERCENT? -> reordered
       | "doubled" PERCENT? -> doubled | "replayed" "after" TIME PERCENT? -> replayed
by: "x" NUMBER

ROLE: "keeper" | "judges" | "judge"
SERVICE: "list" | "platform"
ONE_WAY: /one[ \t]+way/
_RELAYS: "relays"
_UNITS: /units?/
TIME: /\d+(\.\d+)?(ms|s|m)/
PERCENT: /\d+(\.\d+)?%/
NUMBER: /\d+(\.\d+)?/
SIGNED: /[+-]\d+(\.\d+)?s/
INT: /\d+/
NAME: /[A-Za-z][A-Za-z0-9_-]*/
%ignore /[ \t]+/
"""
MAX_SCRIPT_LENGTH = 64 * 1024  # characters
TIME_UNITS = {"ms": 10, "s": 10_000, "m": 600_000}  # in tenths of a ms
ALL = 1.0  # as a part
NEED_DURATION = ("surge", "list", "platform silent", "platform busy", "notes", "ring", "stale lists", "hold relays")
UNIT_VERBS = ("kill", "hang", "silence", "drain")
RELAY_VERBS = ("kill", "pause", "restart", "switch")


class BadScript(Exception):
    """A script that can't be read; the text is one line with the line and column of the script."""


@v_args(inline=True)
class Reader(Transformer):
    """Turns the grammar's trees into faults; methods have the names of rules and terminals.  Those of parties and
    troubles return fields of a Fault; `relays` among them marks a party of relays."""

    def TIME(self, text: Any) -> int:
        digits = text.rstrip("ms")
        return round(float(digits) * TIME_UNITS[text[len(digits) :]])

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
        return {"part": ALL}

    def in_zone(self, zone: str) -> dict[str, Any]:
        return {"zone": zone}

    def of_build(self, build: int) -> dict[str, Any]:
        return {"build": build}

    def in_both(self, zone: str, build: int) -> dict[str, Any]:
        return {"zone": zone, "build": build}

    def by(self, times: float) -> float:
        return times

    def units(self, which: dict[str, Any], scope: dict[str, Any] | None = None) -> dict[str, Any]:
        return {**which, **(scope or {})}

    def struck(self, verb: str, whom: dict[str, Any]) -> dict[str, Any]:
        relays = "relays" in whom
        if verb not in (RELAY_VERBS if relays else UNIT_VERBS):
            raise BadScript(f"{'relays' if relays else 'units'} can't be told to {verb}")
        return {"kind": f"{verb} relays" if relays else verb, **self.without_mark(whom)}

    def without_mark(self, whom: dict[str, Any]) -> dict[str, Any]:
        """The fields of a Fault, without the mark of relays."""
        return {name: value for name, value in whom.items() if name != "relays"}

    def one_relay(self, number: int) -> dict[str, Any]:
        return {"relays": True, "who": str(number)}

    def some_relays(self, many: int, scope: dict[str, Any] | None = None) -> dict[str, Any]:
        return {"relays": True, "many": many, **(scope or {})}

    def part_relays(self, part: float, scope: dict[str, Any] | None = None) -> dict[str, Any]:
        return {"relays": True, "part": part, **(scope or {})}

    def every_relay(self, scope: dict[str, Any] | None = None) -> dict[str, Any]:
        return {"relays": True, "part": ALL, **(scope or {})}

    def role(self, name: Any) -> dict[str, Any]:
        return {"relays": True, "who": str(name)}

    def hold(self, relays: dict[str, Any], part: float) -> dict[str, Any]:
        return {"kind": "hold relays", **self.without_mark(relays), "times": part}

    def list_stale_at(self, relays: dict[str, Any]) -> dict[str, Any]:
        return {"kind": "stale lists", **self.without_mark(relays)}

    def step(self, relays: dict[str, Any], seconds: Any) -> dict[str, Any]:
        return {"kind": "step clocks", **self.without_mark(relays), "times": float(seconds[:-1])}

    def run_clocks(self, relays: dict[str, Any], times: float) -> dict[str, Any]:
        return {"kind": "run clocks", **self.without_mark(relays), "times": times}

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

    def lost(self, part: float = ALL) -> dict[str, Any]:
        return {"who": "lost", "times": part}

    def late(self, far: int, part: float = ALL) -> dict[str, Any]:
        return {"who": "late", "times": part, "far": far}

    def reordered(self, far: int, part: float = ALL) -> dict[str, Any]:
        return {"who": "reordered", "times": part, "far": far}

    def doubled(self, part: float = ALL) -> dict[str, Any]:
        return {"who": "doubled", "times": part}

    def replayed(self, far: int, part: float = ALL) -> dict[str, Any]:
        return {"who": "replayed", "times": part, "far": far}

    def notes(self, trouble: dict[str, Any]) -> dict[str, Any]:
        return {"kind": "notes", **trouble}

    def others(self, relays: dict[str, Any]) -> dict[str, Any]:
        each = [relays.get("who", ""), relays.get("many", 0), relays.get("part", 0.0), relays.get("zone", "")]
        return {"whom": "relays", "party": tuple(each)}

    def units_of(self, zone: str) -> dict[str, Any]:
        return {"whom": f"zone {zone}"}

    def service(self, name: Any) -> dict[str, Any]:
        return {"whom": str(name)}

    def the_others(self) -> dict[str, Any]:
        return {"whom": "others"}

    def cut(self, relays: dict[str, Any], others: dict[str, Any], one_way: Any = None) -> dict[str, Any]:
        return {"kind": "cut", **self.without_mark(relays), **others, "one_way": bool(one_way)}

    def ring(self) -> dict[str, Any]:
        return {"kind": "ring"}

    def zone(self, zone: str) -> dict[str, Any]:
        return {"kind": "zone", "zone": zone}

    def start(self, when: tuple[int, int], what: dict[str, Any], lasting: int = 0) -> Fault:
        at, span = when
        return Fault(at=at, span=span or lasting, **what)


PARSER = Lark(GRAMMAR, parser="lalr", lexer="contextual", maybe_placeholders=False)


def read_script(text: str) -> list[Fault]:
    """The faults of a script in order of time, each with its line of text.  Raises BadScript."""
    if len(text) > MAX_SCRIPT_LENGTH:
        raise BadScript(f"longer than {MAX_SCRIPT_LENGTH} characters")
    faults = []
    for number, line in enumerate(text.splitlines(), 1):
        words = line.split("#")[0].rstrip()  # without a comment
        if not words.strip():
            continue
        try:
            fault = Reader().transform(PARSER.parse(words))
        except UnexpectedInput as problem:
            ended = getattr(getattr(problem, "token", None), "type", "") == "$END"
            column = len(words) + 1 if ended or problem.column < 1 else problem.column
            wanted = getattr(problem, "accepts", None) or getattr(problem, "allowed", None) or ()
            raise BadScript(
                f"line {number}, column {min(column, len(words) + 1)}: {words.strip()!r} can't be read "
                "there" + (f"; {expected_tokens(wanted)}" if wanted else "")
            ) from None
        except VisitError as problem:
            raise BadScript(f"line {number}: {words.strip()!r}: {problem.orig_exc}") from None
        except (LarkError, OverflowError) as problem:
            raise BadScript(f"line {number}: {problem}") from None
        if fault.kind in NEED_DURATION and not fault.span:
            raise BadScript(f"line {number}: {words.strip()!r} needs a time that it lasts")
        if fault.kind in ("slow", "surge") and fault.times <= 0:
            raise BadScript(f"line {number}: {words.strip()!r}: the factor must be above 0")
        faults.append(fault._replace(text=" ".join(words.split())))
    return sorted(faults, key=lambda fault: fault.at)


def expected_tokens(wanted: Any) -> str:
    """The tokens that would be accepted, in words."""
    words = sorted({str(each).strip("_").lower().replace("$end", "the end") for each in wanted})
    return "expected " + ", ".join(words[:8])
