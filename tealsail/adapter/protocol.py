"""The simulator's line protocol: reads batches of events and answers each batch with the resulting actions.

A line is a message name and `name=value` fields, separated by single spaces.  TURN opens a batch and states the time,
FLUSH ends it; the answer to a batch is one line for each action of the relays, then READY.  Times on the wire are
milliseconds, inside the process whole tenths of a millisecond.
"""

import sys
import traceback
from functools import partial
from typing import Any, BinaryIO, TextIO

from ..policy import Relay
from . import translation


class ProtocolError(Exception):
    """A line that breaks the protocol; the text says how."""


class WireHost:
    """The `Host` (tealsail/host.py) of one relay: appends the relay's actions to the answer as lines."""

    def __init__(self, relay_id: str, output: list[str]) -> None:
        self.relay_id = relay_id  # as written on the wire
        self.output = output

    def send(self, invocation: int, unit: int, wait: int) -> None:
        self.output.append(f"PLACE relay={self.relay_id} requestId={invocation} unit={unit} maxWait={wait / 10}")

    def cancel(self, invocation: int, shot_number: int) -> None:
        self.output.append(f"CALL_OFF relay={self.relay_id} requestId={invocation} try={shot_number}")

    def reject(self, invocation: int, retry_after: int) -> None:
        self.output.append(f"SAY_NO relay={self.relay_id} requestId={invocation} retryAfter={retry_after / 10}")

    def forfeit(self, invocation: int) -> None:
        self.output.append(f"END_FAILED relay={self.relay_id} requestId={invocation}")

    def vote(self, build: int, stage: int, verdict: int) -> None:
        self.output.append(f"BALLOT relay={self.relay_id} ring={stage} buildNo={build} how={verdict}")

    def send_message(self, relay: int, data: bytes) -> None:
        self.output.append(f"TELL relay={self.relay_id} neighbourId={relay} payload={data.hex() or '-'}")

    def wake(self, at: int, token: int) -> None:
        self.output.append(f"SLEEP relay={self.relay_id} ctx={token} at={at / 10}")

    def log(self, text: str) -> None:
        self.output.append(f"RECORD relay={self.relay_id} text={' '.join(text.split())}")


Fields = dict[str, str]  # field name -> value, as on the wire
ListEntries = list[tuple[Any, ...]]  # rows in the form that `Relay.on_list` takes


class WireSession:
    """The state of one connection to the simulator: its relays, and the unit lists that TOPOLOGY names by slot.

    A unit list is a DEFINE_LIST line, which states the number of entries, and that many ENTRY lines directly after it.
    """

    def __init__(self) -> None:
        self.now = 0  # tenths of a millisecond
        self.output: list[str] = []  # lines of the answer to the present batch
        self.relays: dict[str, Relay] = {}  # by relay id
        self.lists: dict[str, ListEntries] = {}  # by slot
        self.open_list: ListEntries = []  # the list that takes the next entries
        self.missing_entries = 0  # of the open list, still to come
        self.handlers = {
            "TOPOLOGY": self.topology,
            "DEMAND": self.demand,
            "REPLY": self.reply,
            "HEADERS": lambda relay, fields: relay.on_started(int(fields["requestId"]), int(fields["try"])),
            "ABANDONED": lambda relay, fields: relay.on_abandoned(int(fields["requestId"])),
            "TIMER": lambda relay, fields: relay.on_wake(int(fields["ctx"])),
            "HEARD": lambda relay, fields: relay.on_peer_message(int(fields["originPeer"]), unhex(fields["payload"])),
            "STAGE": self.stage,
            "RETURNED": lambda relay, fields: relay.on_wrong_answer(
                int(fields["unit"]), int(fields["grade"]), translation.tenths(fields["old"])
            ),
        }

    def handle(self, name: str, fields: Fields) -> None:
        """Carries out one line of a batch; a message with an unknown name is skipped.

        Raises ProtocolError for a line out of place, and KeyError or ValueError for a missing or malformed field.
        ENLIST removes `relay` and `rngSeed` from `fields`: the others are the relay's settings.
        """
        if self.missing_entries and name != "ENTRY":
            raise ProtocolError(f"{self.missing_entries} list entries are missing before {name}")
        if name == "ENTRY":
            if not self.missing_entries:
                raise ProtocolError("a list entry outside a list")
            self.missing_entries -= 1
            self.open_list.append(
                (
                    int(fields["unit"]),
                    int(float(fields["release"])),
                    translation.UNIT_STATES[fields["stageState"]],
                    int(fields.get("campus", 0)),
                    int(fields.get("pod", 0)),
                    float(fields.get("share", 1)),
                    translation.tenths(fields.get("startTime", "0")),
                )
            )
        elif name == "DEFINE_LIST":
            self.open_list = self.lists[fields["slot"]] = []
            self.missing_entries = int(fields["hosts"])
        elif name == "ENLIST":
            relay_id, seed = fields.pop("relay"), int(fields.pop("rngSeed"))
            host = WireHost(relay_id, self.output)
            self.call_guarded(
                relay_id,
                lambda: self.relays.__setitem__(relay_id, Relay(host, translation.settings(fields), seed, self.now)),
            )
        elif name == "RETIRE":
            self.relays.pop(fields["relay"], None)
        elif name in self.handlers:
            relay = self.relays.get(fields["relay"])
            if relay is None:
                raise ProtocolError(f"{name} for relay {fields['relay']}, which has not been started")
            relay.now = self.now
            self.handlers[name](relay, fields)

    def topology(self, relay: Relay, fields: Fields) -> None:
        """A unit list for the relay, whole or changes only."""
        kind = translation.LIST_KINDS[fields["form"]]
        if kind != "failed":  # comes only to relays that request the list, and no deployment here has those
            relay.on_list(kind, self.lists[fields["slot"]])

    def demand(self, relay: Relay, fields: Fields) -> None:
        """A client's invocation arrived at the relay."""
        relay.on_invocation(
            int(fields["requestId"]),
            int(fields["grade"]),
            int(fields.get("team", 0)),
            fields.get("resource"),
            translation.tenths(fields["giveUpAt"]),
            translation.tenths(fields.get("effort", "0")),
            fields.get("againByClient") == "1",
        )

    def reply(self, relay: Relay, fields: Fields) -> None:
        """A shot ended; `serverStats` is the unit's load report as `name:value` pairs with commas between them."""
        load = fields.get("serverStats")
        reported = (
            {name: float(value) for name, value in (pair.split(":") for pair in load.split(","))} if load else None
        )
        relay.on_outcome(
            int(fields["requestId"]),
            int(fields["try"]),
            translation.OUTCOMES[fields["disposition"]],
            fields.get("terminal") == "1",
            translation.tenths(fields["latency"]),
            reported,
        )

    def stage(self, relay: Relay, fields: Fields) -> None:
        """The answer to a vote (`how` is 1), the present rollout stage, or both; only an `ok` carries the stage."""
        if fields["how"] == "1":
            relay.on_vote_answer(translation.VOTE_ANSWERS[fields["disposition"]])
        if fields["disposition"] == "ok":
            relay.on_stage(
                int(fields["buildNo"]),
                int(fields["ring"]),
                int(fields["standing"]),
                float(fields["mostShare"]),
                translation.tenths(fields["old"]),
            )

    def call_guarded(self, relay_id: str, call: Any) -> None:
        """Calls `call`; an exception becomes a FAULT line of that relay, and the process goes on."""
        try:
            call()
        except ProtocolError:
            raise
        except Exception as problem:
            traceback.print_exc(file=sys.stderr)
            text = " ".join(f"{type(problem).__name__}: {problem}".split())
            self.output.append(f"FAULT relay={relay_id} text={text}")


def unhex(text: str) -> bytes:
    """Decodes a payload: hexadecimal digits, or "-" for an empty one."""
    return b"" if text == "-" else bytes.fromhex(text)


def parse_line(line: str) -> tuple[str, Fields]:
    """Splits a line into its message name and fields.  Raises ProtocolError."""
    name, *pairs = line.split(" ")
    if not name.replace("_", "").isalpha() or not name.isupper():
        raise ProtocolError(f"unknown message name {name[:40]!r}")
    fields = {}
    for pair in pairs:
        key, equals_sign, value = pair.partition("=")
        if not equals_sign or not key:
            raise ProtocolError(f"{name}: {pair[:40]!r} is not name=value")
        fields[key] = value
    return name, fields


def serve(source: BinaryIO, sink: BinaryIO, errors: TextIO) -> int:
    """Answers each batch until the input ends; returns the exit code.

    A line that breaks the protocol ends the process with exit code 2 and one message on `errors` with its number.
    """
    session = WireSession()
    in_batch = False
    line_number = 0
    for raw in source:
        line_number += 1
        try:
            line = raw.decode("utf-8").rstrip("\r\n")
            if not line:
                continue
            name, fields = parse_line(line)
            if name == "TURN":
                if in_batch:
                    raise ProtocolError("TURN inside a batch")
                session.now, in_batch = translation.tenths(fields["moment"]), True
            elif not in_batch:
                raise ProtocolError(f"{name} outside a batch")
            elif name == "FLUSH":
                if session.missing_entries:
                    raise ProtocolError(f"{session.missing_entries} list entries are missing before FLUSH")
                session.output.append("READY\n")
                sink.write("\n".join(session.output).encode())
                sink.flush()
                session.output.clear()
                in_batch = False
            else:
                handle_line(session, name, fields)
        except ProtocolError as problem:
            print(f"tealsail.adapter: line {line_number}: {problem}", file=errors)
            return 2
        except (KeyError, ValueError) as problem:  # a bad TURN, or bytes that are not UTF-8
            print(f"tealsail.adapter: line {line_number}: {type(problem).__name__}: {problem}", file=errors)
            return 2
    return 0


def handle_line(session: WireSession, name: str, fields: Fields) -> None:
    """Carries out a line.

    A malformed line raises ProtocolError; a failure of the decision module becomes a FAULT line.
    """
    try:
        session.handle(name, fields)
    except ProtocolError:
        raise
    except Exception as problem:
        if is_decoding_error(problem):
            is_missing = isinstance(problem, KeyError)
            raise ProtocolError(
                f"{name}: " + (f"no or unknown {problem.args[0]!r}" if is_missing else str(problem))
            ) from problem
        session.call_guarded(fields.get("relay", "0"), partial(raise_again, problem))


def is_decoding_error(problem: BaseException) -> bool:
    """Whether decoding of the line failed: no frame of the traceback is in the decision module."""
    entry = problem.__traceback__
    while entry is not None:
        if entry.tb_frame.f_globals.get("__name__") == Relay.__module__:
            return False
        entry = entry.tb_next
    return True


def raise_again(problem: BaseException) -> None:
    raise problem
