"""The operator's document, and the record that a relay writes of its traffic without being delayed by it."""

import ast
import subprocess
import sys
import tempfile
import threading
import unittest
from graphlib import TopologicalSorter
from pathlib import Path

from tealsail.net.counters import Counters
from tealsail.net.relay import Relay
from tealsail.record import files
from tealsail.record.lines import (
    VERSION,
    EntryReceived,
    Head,
    InvocationEnded,
    InvocationTaken,
    RecordEnd,
    ShotEnded,
    ShotSent,
    StageReceived,
)
from tealsail.record.recorder import Recorder
from tealsail.setup import document

from .fake import READY, ROW, STARTUP, STARTUP_RESPONSE, MemoryTransport, Reactor, client_query, error_response
from .test_relay import UNIT_PORT, config, read_configuration

NET = Path(__file__).parent.parent / "tealsail" / "net"
HEAD = Head(0, VERSION, "relay", "n0", 0, {})


class Documents(unittest.TestCase):
    def test_absent_document_is_empty_and_errors_name_the_field(self) -> None:
        self.assertEqual(document.read("/nowhere/tealsail.toml"), document.Document())
        for tree, expected in (
            ({"recording": {}}, r"recording: .*missing required field `file`"),
            ({"recording": {"file": "a", "most_mb": 0}}, r"recording\.most_mb: expected `int` >= 1"),
            ({"recording": {"file": "a", "keys": "some"}}, r"recording\.keys: invalid enum"),
            ({"what": 1}, "unknown field `what`"),
        ):
            with self.assertRaisesRegex(document.InvalidDocument, expected) as caught:
                document.convert(tree, "t.toml")
            self.assertNotIn("\n", str(caught.exception))
        self.assertEqual(document.convert({"recording": {"file": "a"}}).recording.keys, "hashed")

    def test_file_that_is_not_toml_gives_one_line(self) -> None:
        with tempfile.NamedTemporaryFile("w", suffix=".toml") as file:
            file.write("[recording\n")
            file.flush()
            with self.assertRaisesRegex(document.InvalidDocument, r"\.toml: "):
                document.read(file.name)

    def test_relay_without_a_document_imports_none_of_its_libraries(self) -> None:
        process = subprocess.run(
            [
                sys.executable,
                "-B",
                "-c",
                "import sys, tealsail.command.serve, tealsail.command.main; print([name for name in "
                "('msgspec', 'numpy', 'lark', 'tealsail.record', 'tealsail.world', 'tealsail.lab') "
                "if name in sys.modules])",
            ],
            capture_output=True,
            text=True,
            timeout=60,
        )
        self.assertEqual(process.stdout.strip(), "[]", process.stderr)


class Imports(unittest.TestCase):
    def imported(self, path: Path) -> set[str]:
        """Modules of its package that a module imports, also inside functions or for type hints only."""
        nodes = [node for node in ast.walk(ast.parse(path.read_text())) if isinstance(node, ast.ImportFrom)]
        return {
            name for node in nodes if node.level == 1 for name in [node.module, *(each.name for each in node.names)]
        }

    def test_modules_of_the_network_have_no_import_cycle(self) -> None:
        modules = {path.stem: path for path in NET.glob("*.py")}
        graph = {name: self.imported(path) & modules.keys() for name, path in modules.items()}
        self.assertIn("recording", graph["relay"])
        TopologicalSorter(graph).prepare()  # raises CycleError


class Records(unittest.TestCase):
    """The record of a relay, and a recorder by itself."""

    def setUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.path = Path(folder.name) / "n0.record.gz"

    def relay(self, **recording) -> Relay:
        self.reactor = Reactor()
        converted = document.convert({"recording": {"file": str(self.path)} | recording})
        relay = Relay(self.reactor, read_configuration(config()), document=converted)
        relay.start()
        return relay

    def client(self, *data: bytes) -> MemoryTransport:
        wire = MemoryTransport(self.reactor.tcpServers[0][1].buildProtocol(None))
        wire.feed(STARTUP)
        wire.sent()
        wire.feed(b"".join(data))
        return wire

    def unit(self) -> MemoryTransport:
        wire = self.reactor.complete_connect(UNIT_PORT)
        wire.feed(STARTUP_RESPONSE)
        return wire

    def lines(self, kind: type) -> list:
        return [line for line in files.read(self.path) if type(line) is kind]

    def test_record_holds_invocations_shots_outcomes_and_answers(self) -> None:
        relay = self.relay()
        client = self.client(client_query())
        wire = self.unit()
        wire.sent()
        self.reactor.advance(0.03)
        wire.feed(ROW + READY)
        self.assertEqual(client.sent(), ROW + READY)
        client.feed(client_query(workload="order", more=",r=1"))
        wire.sent()
        wire.feed(READY)  # for the empty query that checks the connection first
        self.reactor.advance(0.6)
        wire.settle()
        relay.record.close()
        first, second = self.lines(InvocationTaken)
        self.assertEqual((first.first, second.first, first.workload, second.workload), (first.number, -1, 0, 1))
        self.assertEqual((len(first.key), first.key == second.key, "7f3a" in first.key), (16, True, False))
        self.assertEqual(first.deadline - first.at, 4800)
        shot = self.lines(ShotSent)[0]
        self.assertEqual((shot.unit, shot.build, shot.number), ("s-1", 41, first.number))
        came = self.lines(ShotEnded)[0]
        self.assertEqual((came.outcome, came.at - shot.at), ("served", 300))
        self.assertEqual([line.answer for line in self.lines(InvocationEnded)][0], "served")
        self.assertEqual([(line.unit, line.state) for line in self.lines(EntryReceived)], [("s-1", "open")])
        self.assertEqual([(line.build, line.phase) for line in self.lines(StageReceived)], [(41, "released")])
        self.assertEqual(self.lines(Head)[0].settings["workloads"][0]["name"], "basket")
        self.assertEqual(self.lines(RecordEnd)[0].lines, sum(1 for _ in files.read(self.path)) - 1)

    def test_client_that_leaves_and_failed_shot_are_recorded(self) -> None:
        relay = self.relay(keys="none")
        client = self.client(client_query(workload="order"))
        wire = self.unit()
        wire.sent()
        wire.feed(error_response("XX000") + READY)
        client.feed(client_query(number="9b20"))
        client.drop()
        relay.record.close()
        self.assertEqual([line.answer for line in self.lines(InvocationEnded)], ["forfeited", "left"])
        self.assertEqual({line.key for line in self.lines(InvocationTaken)}, {""})

    def recorder(self, path: Path | str, most_bytes: int = 1 << 20, most_waiting: int = 1000) -> Recorder:
        self.counters = Counters()
        return Recorder(path, HEAD, most_bytes, most_waiting, "plain", self.counters.add)

    def test_full_queue_drops_and_counts_lines_and_never_waits(self) -> None:
        recorder = self.recorder(self.path, most_waiting=100)
        gate, write = threading.Event(), recorder.writer

        class StalledWriter(files.Writer):
            """On a disk that does not write until the gate opens."""

            lines = 0

            def __init__(self) -> None:
                pass

            def __call__(self, line) -> None:
                gate.wait()
                write(line)

        recorder.writer = StalledWriter()
        for number in range(500):
            recorder.enqueue(InvocationEnded(number, 0, number, "served"))
        dropped = self.counters.counts["record.dropped"]
        self.assertTrue(399 <= dropped <= 400, dropped)
        gate.set()
        recorder.queued_lines.put(None)
        recorder.thread.join()
        write.close()
        self.assertEqual(len(self.lines(InvocationEnded)), 500 - dropped)

    def test_file_at_its_limit_ends_the_record_with_its_last_line(self) -> None:
        path = self.path.with_name("n0.record")
        recorder = self.recorder(path, most_bytes=50_000, most_waiting=100_000)
        for number in range(20_000):
            recorder.enqueue(InvocationEnded(number, 0, number, "served"))
        recorder.close()
        self.assertLess(path.stat().st_size, 80_000)
        self.assertIsInstance(list(files.read(path))[-1], RecordEnd)
        recorder.enqueue(InvocationEnded(1, 0, 1, "served"))
        self.assertGreater(self.counters.counts["record.dropped"], 0)

    def test_full_disk_ends_the_record_and_not_the_relay(self) -> None:
        recorder = self.recorder("/dev/full", most_waiting=100_000)
        for number in range(50_000):
            recorder.enqueue(InvocationEnded(number, 0, number, "served"))
        recorder.close()
        self.assertIn("No space left", recorder.problem)

    def test_record_that_can_not_be_opened_raises_at_the_start(self) -> None:
        with self.assertRaises(OSError):
            Relay(
                Reactor(),
                read_configuration(config()),
                document=document.convert({"recording": {"file": "/nowhere/at/all"}}),
            )


if __name__ == "__main__":
    unittest.main()
