"""Batches of lines in, one reply a batch out."""

import sys
import traceback
from functools import partial
from typing import Any, BinaryIO, TextIO

from ..policy import Relay
from . import words


class BadInput(Exception):
    """A line that is not the wire's; the text says what is wrong with it."""


class Door:
    """Carries one instance's calls to the wire (the `Host` of that instance)."""

    def __init__(self, number: str, out: list[str]) -> None:
        self.number = number
        self.out = out

    def send(self, invocation: int, unit: int, wait: int) -> None:
        self.out.append(f"PLACE relay={self.number} requestId={invocation} unit={unit} maxWait={wait / 10}")

    def cancel(self, invocation: int, shot: int) -> None:
        self.out.append(f"CALL_OFF relay={self.number} requestId={invocation} try={shot}")

    def reject(self, invocation: int, come_back: int) -> None:
        self.out.append(f"SAY_NO relay={self.number} requestId={invocation} retryAfter={come_back / 10}")

    def forfeit(self, invocation: int) -> None:
        self.out.append(f"END_FAILED relay={self.number} requestId={invocation}")

    def vote(self, build: int, stage: int, verdict: int) -> None:
        self.out.append(f"BALLOT relay={self.number} ring={stage} buildNo={build} how={verdict}")

    def send_note(self, relay: int, data: bytes) -> None:
        self.out.append(f"TELL relay={self.number} neighbourId={relay} payload={data.hex() or '-'}")

    def wake(self, at: int, token: int) -> None:
        self.out.append(f"SLEEP relay={self.number} ctx={token} at={at / 10}")

    def log(self, text: str) -> None:
        self.out.append(f"RECORD relay={self.number} text={' '.join(text.split())}")


Fields = dict[str, str]
Entries = list[tuple[Any, ...]]


class Wire:
    """All instances of one process, and the numbered lists that their news refers to."""

    def __init__(self) -> None:
        self.now = 0
        self.out: list[str] = []
        self.relays: dict[str, Relay] = {}
        self.lists: dict[str, Entries] = {}
        self.filling: Entries = []
        self.missing = 0  # entries of a list still to come
        self.events = {
            "TOPOLOGY": self.topology,
            "DEMAND": self.demand,
            "REPLY": self.reply,
            "HEADERS": lambda relay, f: relay.on_started(int(f["requestId"]), int(f["try"])),
            "ABANDONED": lambda relay, f: relay.on_abandoned(int(f["requestId"])),
            "TIMER": lambda relay, f: relay.on_wake(int(f["ctx"])),
            "HEARD": lambda relay, f: relay.on_note(int(f["originPeer"]), unhex(f["payload"])),
            "STAGE": self.stage,
            "RETURNED": lambda relay, f: relay.on_wrong_answer(int(f["unit"]), int(f["grade"]), words.tenths(f["old"])),
        }

    def event(self, name: str, f: Fields) -> None:
        if self.missing and name != "ENTRY":
            raise BadInput(f"{self.missing} list entries are missing before {name}")
        if name == "ENTRY":
            if not self.missing:
                raise BadInput("a list entry outside a list")
            self.missing -= 1
            self.filling.append(
                (
                    int(f["unit"]),
                    int(float(f["release"])),
                    words.STATES[f["stageState"]],
                    int(f.get("campus", 0)),
                    int(f.get("pod", 0)),
                    float(f.get("share", 1)),
                    words.tenths(f.get("startTime", "0")),
                )
            )
        elif name == "DEFINE_LIST":
            self.filling = self.lists[f["slot"]] = []
            self.missing = int(f["hosts"])
        elif name == "ENLIST":
            number, seed = f.pop("relay"), int(f.pop("rngSeed"))
            door = Door(number, self.out)
            self.guarded(
                number, lambda: self.relays.__setitem__(number, Relay(door, words.settings(f), seed, self.now))
            )
        elif name == "RETIRE":
            self.relays.pop(f["relay"], None)
        elif name in self.events:
            relay = self.relays.get(f["relay"])
            if relay is None:
                raise BadInput(f"{name} for relay {f['relay']}, which has not been started")
            relay.now = self.now
            self.events[name](relay, f)

    def topology(self, relay: Relay, f: Fields) -> None:
        kind = words.LISTS[f["form"]]
        if kind != "failed":  # comes to those who ask; no deployment here has lists to ask for
            relay.on_list(kind, self.lists[f["slot"]])

    def demand(self, relay: Relay, f: Fields) -> None:
        relay.on_invocation(
            int(f["requestId"]),
            int(f["grade"]),
            int(f.get("team", 0)),
            f.get("resource"),
            words.tenths(f["giveUpAt"]),
            words.tenths(f.get("effort", "0")),
            f.get("againByClient") == "1",
        )

    def reply(self, relay: Relay, f: Fields) -> None:
        load = f.get("serverStats")
        seen = {k: float(v) for k, v in (p.split(":") for p in load.split(","))} if load else None
        relay.on_outcome(
            int(f["requestId"]),
            int(f["try"]),
            words.OUTCOMES[f["disposition"]],
            f.get("terminal") == "1",
            words.tenths(f["latency"]),
            seen,
        )

    def stage(self, relay: Relay, f: Fields) -> None:
        """The answer to a vote, the platform's news, or both: only an `ok` carries news."""
        if f["how"] == "1":
            relay.on_vote_answer(words.ANSWERS[f["disposition"]])
        if f["disposition"] == "ok":
            relay.on_stage(
                int(f["buildNo"]), int(f["ring"]), int(f["standing"]), float(f["mostShare"]), words.tenths(f["old"])
            )

    def guarded(self, number: str, call: Any) -> None:
        """An exception in the module is that instance's fault, told on the wire; the process goes on."""
        try:
            call()
        except BadInput:
            raise
        except Exception as problem:
            traceback.print_exc(file=sys.stderr)
            text = " ".join(f"{type(problem).__name__}: {problem}".split())
            self.out.append(f"FAULT relay={number} text={text}")


def unhex(text: str) -> bytes:
    return b"" if text == "-" else bytes.fromhex(text)


def decoded(line: str) -> tuple[str, Fields]:
    name, *pairs = line.split(" ")
    if not name.replace("_", "").isalpha() or not name.isupper():
        raise BadInput(f"unknown message name {name[:40]!r}")
    fields = {}
    for pair in pairs:
        key, mark, value = pair.partition("=")
        if not mark or not key:
            raise BadInput(f"{name}: {pair[:40]!r} is not name=value")
        fields[key] = value
    return name, fields


def serve(source: BinaryIO, sink: BinaryIO, complaints: TextIO) -> int:
    """Answer every batch until the input ends; a bad line ends it with one plain message."""
    wire = Wire()
    inside = False
    number = 0
    for raw in source:
        number += 1
        try:
            line = raw.decode("utf-8").rstrip("\r\n")
            if not line:
                continue
            name, fields = decoded(line)
            if name == "TURN":
                if inside:
                    raise BadInput("TURN inside a batch")
                wire.now, inside = words.tenths(fields["moment"]), True
            elif not inside:
                raise BadInput(f"{name} outside a batch")
            elif name == "FLUSH":
                if wire.missing:
                    raise BadInput(f"{wire.missing} list entries are missing before FLUSH")
                wire.out.append("READY\n")
                sink.write("\n".join(wire.out).encode())
                sink.flush()
                wire.out.clear()
                inside = False
            else:
                relayed(wire, name, fields)
        except BadInput as problem:
            print(f"tealsail.adapter: line {number}: {problem}", file=complaints)
            return 2
        except (KeyError, ValueError) as problem:  # a bad TURN, or bytes that are not UTF-8
            print(f"tealsail.adapter: line {number}: {type(problem).__name__}: {problem}", file=complaints)
            return 2
    return 0


def relayed(wire: Wire, name: str, fields: Fields) -> None:
    try:
        wire.event(name, fields)
    except BadInput:
        raise
    except Exception as problem:
        if came_from_here(problem):
            missing = isinstance(problem, KeyError)
            raise BadInput(
                f"{name}: " + (f"no or unknown {problem.args[0]!r}" if missing else str(problem))
            ) from problem
        wire.guarded(fields.get("relay", "0"), partial(raise_again, problem))


def came_from_here(problem: BaseException) -> bool:
    """Whether decoding failed, not the module: no frame of the traceback lies outside this package."""
    trace = problem.__traceback__
    while trace is not None:
        if trace.tb_frame.f_globals.get("__name__") == Relay.__module__:
            return False
        trace = trace.tb_next
    return True


def raise_again(problem: BaseException) -> None:
    raise problem
