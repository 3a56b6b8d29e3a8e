"""Real relay processes with faults between them: what must hold at any speed of the machine."""

import json
import shutil
import subprocess
import sys
import tempfile
import time
import unittest
from pathlib import Path
from typing import Any

from tealsail.lab import trials
from tealsail.lab.figures import Result
from tealsail.lab.scenario import convert
from tealsail.record import files
from tealsail.record.lines import (
    EntryReceived,
    FaultInjected,
    InvocationEnded,
    InvocationTaken,
    Line,
    Log,
    RelayEvent,
    ShotStarted,
)

from .test_lab import SECOND, day

HOME = Path(__file__).parent.parent
FLEET = {"relays": 8, "units": 10, "zones": ["a", "b"], "start_ms": [300, 800]}
MIN_SERVICE = 0.6  # a wide margin, whatever else the machine does


class Processes(unittest.TestCase):
    """Eight relays; each test plays one kind of fault, and asserts what holds on a busy machine, too."""

    def play(self, script: str, **more: Any) -> tuple[Result, list[Line]]:
        tree = {
            "fleet": FLEET,
            "clients": {"rate": 120},
            "seconds": 7,
            "builds": {"offered_s": 900},
            "script": script,
        } | more
        scenario = convert(day(**tree))
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder) / "a.record.gz"
            result, breaches = trials.play(scenario, 5, path, Path(folder) / "logs", on_time=False)
            lines = list(files.read(path))
        self.assertEqual([each.text for each in breaches], [])  # of the rules; no relay crashed or lost a request
        self.assertEqual(result.breaches, {})
        answers = [(line.relay, line.number) for line in lines if isinstance(line, InvocationEnded)]
        self.assertEqual(
            sorted(answers), sorted({(line.relay, line.number) for line in lines if isinstance(line, InvocationTaken)})
        )
        self.assertEqual(sum(isinstance(line, FaultInjected) for line in lines), len(script.strip().splitlines()))
        self.assertGreater(result.figures["service"], MIN_SERVICE)
        return result, lines

    def lives(self, lines: list[Line], *events: str) -> list[tuple[int, int]]:
        return [
            (line.at, line.relay) for line in lines if isinstance(line, RelayEvent) and line.event in events and line.at
        ]

    def test_the_load_tracker_is_paused_and_comes_back_and_two_relays_get_a_third_of_a_core(self) -> None:
        result, lines = self.play("at 1.5s pause the keeper for 3s\nfrom 4s for 2s hold 2 relays to 30%")
        first = result.owners[0].split()[1]
        stopped, back = self.lives(lines, "stopped")[0], self.lives(lines, "on")[0]
        self.assertEqual(first, f"keeper={stopped[1]}")  # the relay that was paused is the one that the relays named
        self.assertEqual(back[1], stopped[1])
        self.assertGreater(back[0] - stopped[0], 2 * SECOND)
        self.assertFalse(
            [
                line
                for line in lines
                if isinstance(line, Log) and line.relay == stopped[1] and stopped[0] + SECOND // 10 < line.at < back[0]
            ]
        )  # it did not run
        followed = [line.text.split()[1] for line in lines if isinstance(line, Log) and stopped[0] < line.at < back[0]]
        self.assertGreater(sum(each != first for each in followed), 3)  # the others took another load tracker
        self.assertGreater(len(self.lives(lines, "stopped")), 20)  # turns of the two that were held

    def test_relays_are_killed_by_role_and_by_zone_and_a_quarter_restarts_in_order(self) -> None:
        result, lines = self.play(
            "at 1s kill the keeper for 500ms\nat 3s kill all relays of zone b for 500ms\nat 6s restart 25% of relays",
            seconds=8,
        )
        downs = self.lives(lines, "down")
        keeper = downs[0][1]
        self.assertEqual(f"keeper={keeper}", result.owners[0].split()[1])
        killed = {relay for at, relay in downs if 2.9 * SECOND < at < 5.9 * SECOND}
        self.assertEqual(killed | {keeper}, {1, 3, 5, 7, keeper})  # the first may not have been up again
        self.assertIn(len({relay for at, relay in downs if at > 5.9 * SECOND}), (1, 2))
        for relay in range(8):  # up and down take turns, also where a relay was killed while it came up
            events = [line.event for line in lines if isinstance(line, RelayEvent) and line.relay == relay]
            self.assertEqual(events, (["up", "down"] * len(events))[: len(events)])

    def test_relays_are_cut_from_each_other_one_way_and_both_from_the_list_and_from_the_platform(self) -> None:
        _, lines = self.play(
            "from 1s for 5s cut 2 relays from the list\n"
            "from 1s for 3s cut all relays of zone b from the others one way\n"
            "from 2s for 3s cut 3 relays from the platform\nfrom 4s for 1s cut neighbours\nat 2s kill 2 units",
            fleet=FLEET | {"notice_ms": 200.0},
        )
        told = {
            relay: [
                line.at
                for line in lines
                if isinstance(line, EntryReceived) and line.relay == relay and line.at and line.state == "gone"
            ]
            for relay in range(8)
        }
        late = [relay for relay, times in told.items() if times and min(times) > 6 * SECOND]
        self.assertEqual(len(late), 2)  # those that were cut from the list learn of it after the cut
        self.assertTrue(all(times for times in told.values()))

    def test_messages_are_lost_late_doubled_reordered_and_replayed(self) -> None:
        result, lines = self.play(
            "from 1s for 4s notes lost 30%\nfrom 1s for 4s notes late 50ms 50%\nfrom 1s for 4s notes doubled\n"
            "from 2s for 4s notes reordered 300ms\nfrom 2s for 4s notes replayed after 2s 50%"
        )
        self.assertGreater(sum(isinstance(line, ShotStarted) for line in lines), 500)

    def test_clocks_step_by_an_hour_and_run_a_fifth_fast(self) -> None:
        _, lines = self.play(
            "at 1s step clocks of 2 relays by -3600s\nat 2s step clocks of relay 3 by +3600s\n"
            "from 1s for 4s run clocks of relay 5 x 1.2"
        )
        by = [
            line.relay
            for line in lines
            if isinstance(line, InvocationEnded) and line.answer == "served" and line.at > 3 * SECOND
        ]
        self.assertEqual(set(by), set(range(8)))

    def test_lists_of_different_age_while_a_build_is_brought_in_by_relays_that_start_at_once(self) -> None:
        result, lines = self.play(
            "from 0.6s for 3s list stale at 50% of relays\nat 5s kill all relays for 0.5s",
            seconds=9,
            builds={"offered_s": 0.5},
            platform={"bake_ms": 400},
            clients={"rate": 120, "repeats": 2},
        )
        first: dict[int, int] = {}
        for line in lines:
            if isinstance(line, EntryReceived) and line.build == 2:
                first.setdefault(line.relay, line.at)
        self.assertEqual(sum(at >= 3.5 * SECOND for at in first.values()), 4)
        self.assertEqual({relay for at, relay in self.lives(lines, "down") if at >= 5 * SECOND}, set(range(8)))

    def test_relays_of_two_checkouts_side_by_side_and_switched_both_ways(self) -> None:
        with tempfile.TemporaryDirectory() as folder:
            other = Path(folder) / "tealsail"
            shutil.copytree(HOME / "tealsail", other, ignore=shutil.ignore_patterns("__pycache__"))
            path = other / "net" / "relay.py"  # as an earlier version: it does not log who acts
            path.write_text(path.read_text().replace('logger.info("duties', 'logger.debug("duties'))
            _, lines = self.play(
                "at 2s switch 25% of relays\nat 5s switch all relays of zone b",
                seconds=8,
                trial={"beside": folder, "beside_part": 0.5},
            )
        spoke = {line.relay for line in lines if isinstance(line, Log) and line.at < 2 * SECOND}
        self.assertEqual(spoke, {4, 5, 6, 7})  # the first half of the relays is of the other checkout, and did not log
        self.assertGreater(
            len({line.relay for line in lines if isinstance(line, Log) and line.at > 2 * SECOND} - spoke), 0
        )
        self.assertEqual({relay for at, relay in self.lives(lines, "down") if at > 5 * SECOND}, {1, 3, 5, 7})

    def test_members_of_the_process_group_in_processes_of_their_own(self) -> None:
        """As with hundreds of relays: units, clients and messages in their own processes, one clock, merged records."""
        result, lines = self.play(
            "at 2s pause the keeper for 1s\nfrom 1s for 1s silence 2 units\nat 3s kill 3 units for 1s",
            fleet=FLEET | {"relays": 26, "units": 12},
            clients={"rate": 80},
            seconds=5,
        )
        self.assertGreater(result.figures["stand_ins_cpu"], 0)
        self.assertEqual(lines, sorted(lines, key=lambda line: line.at))
        self.assertGreater(result.figures["relay_mb.mean"], 5)

    def test_a_trial_that_is_ended_early_leaves_no_relay_behind(self) -> None:
        """The 300 relays of a trial that was ended early once went on running."""
        with tempfile.TemporaryDirectory() as folder:
            order = {
                "scenario": convert(day(fleet=FLEET, seconds=60)).plain(),
                "seed": 5,
                "folder": folder,
                "record": "",
            }
            coordinator = subprocess.Popen(
                [sys.executable, "-B", "-m", "tealsail.lab.loopback.trial"],
                stdin=subprocess.PIPE,
                stdout=subprocess.DEVNULL,
                stderr=subprocess.DEVNULL,
            )
            coordinator.stdin.write(json.dumps(order).encode())
            coordinator.stdin.close()
            deadline = time.monotonic() + 60
            while len(self.processes(folder)) < 8 and time.monotonic() < deadline:
                time.sleep(0.05)  # until real processes are there; nothing is judged by this time
            running = self.processes(folder)
            coordinator.terminate()
            coordinator.wait(60)
            self.assertEqual((len(running), self.processes(folder)), (8, []))

    def processes(self, folder: str) -> list[str]:
        """Ids of the relay processes whose configuration is a file of that folder."""
        found = []
        for environment in Path("/proc").glob("[0-9]*/environ"):
            try:
                if f"EDGE_CONFIG={folder}/".encode() in environment.read_bytes():
                    found.append(environment.parent.name)
            except OSError:  # it has just ended
                continue
        return found


if __name__ == "__main__":
    unittest.main()
