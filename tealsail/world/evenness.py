"""How evenly the load was spread over the fleet.  It reads records only and shares no code with the decisions.

- evenness: shots by unit over 5 s, as the 99th percentile and the least over the median;
- waste: the share of shots that came to a unit with all cores busy while a sound unit of its build had none;
- herd: the most shots that any unit got within 100 ms, over its even share in that time (at least one shot);
- idle: the longest time for which a sound unit got nothing, in shots that its even share would have been;
- handshakes: the most at one unit in a second;
- owners: which relay acted for the fleet, by what most relays say.

The `_chance` figures beside these are what independent even draws would have given: each shot drawn anew among the
units that were open to it.
"""

from collections import Counter, defaultdict
from typing import Any

from ..record.lines import (
    ConnectionOpened,
    Head,
    Line,
    Log,
    RelayEvent,
    ShotAnswered,
    ShotEnded,
    ShotStarted,
    UnitEvent,
)
from ..time_limits import SECOND
from .random_draws import PoissonGaps

WIDE_WINDOW = 50_000  # tenths of a ms, for evenness
BRIEF_WINDOW = 1_000  # tenths of a ms, for herds
FEWEST_UNITS = 5  # of a build, for a window to count
FEWEST_SHOTS_PER_UNIT = 10  # on average, for a wide window to count
MOST_OWNERS_KEPT = 200  # changes of the relays that act for the fleet
UNSOUND = ("hangs", "silent", "fails", "slows")  # events of a unit that make it unsound until it mends


class UnitState:
    """A unit, as the record has it up to now.

    `even` and `drawn_even` are its build's sum of even shares when the unit last got a shot, and when it was last
    drawn.
    """

    __slots__ = ("build", "is_open", "is_sound", "held", "even", "drawn_even")

    def __init__(self, build: int) -> None:
        self.build, self.is_open, self.is_sound = build, True, True
        self.held = 0  # shots that it holds
        self.even = self.drawn_even = 0.0


class Window:
    """Shots of one build by unit in a window of time, and as even draws would have spread them."""

    def __init__(self) -> None:
        self.begun, self.got, self.drawn = 0, Counter(), Counter()

    def restart(self, at: int) -> None:
        """Begins a new window at `at`."""
        self.begun = at
        self.got.clear()
        self.drawn.clear()


class Evenness:
    """Reads a record line by line, then `close` is called; results are `figures()`, `use()` and `owners`."""

    def __init__(self) -> None:
        self.cores = 1.0  # of a unit
        self.units: dict[str, UnitState] = {}
        self.open_units: dict[int, list[str]] = defaultdict(list)  # by build
        self.empty_units: dict[int, set[str]] = defaultdict(set)  # by build, those open and sound without any shot
        self.unit_of: dict[tuple[int, int, int], str] = {}  # relay, number and place of a shot -> unit that holds it
        self.even_sums: dict[int, float] = defaultdict(float)  # build -> sum of even shares so far
        self.wide: dict[int, Window] = defaultdict(Window)  # by build
        self.brief: dict[int, Window] = defaultdict(Window)
        self.spreads: list[tuple[float, float, float, float]] = []  # of wide windows: `spread` of shots and of draws
        self.herd = self.herd_chance = self.idle = self.idle_chance = 0.0
        self.shots = self.wasted = 0
        self.by_second: dict[str, Counter[int]] = defaultdict(Counter)  # unit -> second -> shots
        self.handshakes: Counter[tuple[str, int]] = Counter()  # by unit and second
        self.draws = PoissonGaps(7, 7)
        self.duties: dict[int, str] = {}  # relay -> who acts for the fleet, as it last logged
        self.owner, self.keepers_at_once = "", 1
        self.owners: list[str] = []  # a line of text for each change
        self.latest_at = 0  # time of the latest line
        self.handlers = {
            Head: self.read_head,
            UnitEvent: self.read_unit,
            ShotStarted: self.read_ran,
            ShotAnswered: self.read_done,
            ShotEnded: self.read_done,
            ConnectionOpened: self.read_met,
            Log: self.read_log,
            RelayEvent: self.read_life,
        }

    def __call__(self, line: Line) -> None:
        """Reads one line."""
        self.latest_at = line.at
        handler = self.handlers.get(type(line))
        if handler:
            handler(line)

    def read_head(self, line: Head) -> None:
        self.cores = float(line.day.get("unit", {}).get("cores", 2.0))

    # units
    def read_unit(self, line: UnitEvent) -> None:
        """A unit runs, ends, drains, becomes unsound or mends."""
        name = line.unit
        if line.event == "runs":
            self.close_unit(name)
            state = self.units[name] = UnitState(line.build)
            state.even = state.drawn_even = self.even_sums[line.build]
            self.open_units[line.build].append(name)
            self.empty_units[line.build].add(name)
        elif line.event in ("dies", "fell", "gone", "drains"):
            self.close_unit(name)
            if line.event != "drains":
                self.units.pop(name, None)
        elif name in self.units and line.event in UNSOUND:
            self.units[name].is_sound = False
            self.empty_units[line.build].discard(name)
        elif name in self.units and line.event == "mends":
            state = self.units[name]
            state.is_sound, state.even = True, self.even_sums[state.build]
            if state.is_open and not state.held:
                self.empty_units[state.build].add(name)

    def close_unit(self, name: str) -> None:
        """The unit is no longer open."""
        state = self.units.get(name)
        if state and state.is_open:
            self.measure_idle(state)
            state.is_open = False
            self.open_units[state.build].remove(name)
            self.empty_units[state.build].discard(name)

    def measure_idle(self, state: UnitState) -> None:
        """Takes into `idle` for how long the unit has got nothing up to now."""
        if state.is_open and state.is_sound:
            self.idle = max(self.idle, self.even_sums[state.build] - state.even)

    # shots
    def read_ran(self, line: ShotStarted) -> None:
        """A unit took a shot in: counts it, and a draw among the units that were open to it."""
        state = self.units.get(line.unit)
        if state is None:
            return
        key, build = (line.relay, line.number, line.place), state.build
        self.shots += 1
        self.by_second[line.unit][line.at // SECOND] += 1
        if state.held >= self.cores and self.empty_units[build]:
            self.wasted += 1
        self.unit_of[key] = line.unit
        state.held += 1
        self.empty_units[build].discard(line.unit)
        if not state.is_open:
            return
        candidates = self.open_units[build]
        drawn = candidates[min(len(candidates) - 1, int(self.draws.uniform() * len(candidates)))]
        self.end_windows(line.at, build)
        for window in (self.wide[build], self.brief[build]):
            window.got[line.unit] += 1
            window.drawn[drawn] += 1
        self.measure_idle(state)
        self.even_sums[build] += 1 / len(candidates)
        state.even = self.even_sums[build]
        drawn_state = self.units[drawn]
        if drawn_state.is_sound:
            self.idle_chance = max(self.idle_chance, self.even_sums[build] - drawn_state.drawn_even)
        drawn_state.drawn_even = self.even_sums[build]

    def end_windows(self, at: int, build: int) -> None:
        """Ends the build's windows whose time is over, and begins new ones."""
        wide, brief = self.wide[build], self.brief[build]
        if at >= brief.begun + BRIEF_WINDOW:
            self.end_brief(build, brief)
            brief.restart(at - at % BRIEF_WINDOW)
        if at >= wide.begun + WIDE_WINDOW:
            self.end_wide(build, wide)
            wide.restart(at - at % WIDE_WINDOW)

    def end_brief(self, build: int, window: Window) -> None:
        """Takes the window into `herd` and `herd_chance`."""
        units = len(self.open_units[build])
        if window.got and units >= FEWEST_UNITS:
            even = max(1.0, sum(window.got.values()) / units)
            self.herd = max(self.herd, max(window.got.values()) / even)
            self.herd_chance = max(self.herd_chance, max(window.drawn.values()) / even)

    def end_wide(self, build: int, window: Window) -> None:
        """Takes the window into `spreads`, for units that are open now: of those that came or went part would be
        missing."""
        names = [name for name in self.open_units[build] if name in window.got or self.units[name].is_sound]
        if len(names) >= FEWEST_UNITS and sum(window.got.values()) >= FEWEST_SHOTS_PER_UNIT * len(names):
            self.spreads.append(
                (*spread([window.got[name] for name in names]), *spread([window.drawn[name] for name in names]))
            )

    def read_done(self, line: ShotAnswered | ShotEnded) -> None:
        """A shot has ended, at its unit or for its relay, whichever comes first."""
        self.end_shot((line.relay, line.number, line.place))

    def end_shot(self, key: tuple[int, int, int]) -> None:
        name = self.unit_of.pop(key, None)
        state = self.units.get(name) if name else None
        if state and state.held:
            state.held -= 1
            if not state.held and state.is_open and state.is_sound:
                self.empty_units[state.build].add(name)

    def read_met(self, line: ConnectionOpened) -> None:
        self.handshakes[line.unit, line.at // SECOND] += 1

    # relays that act for the fleet
    def read_log(self, line: Log) -> None:
        """Reads the line of a relay's log that names the relays which act for the fleet."""
        if line.text.startswith("duties "):
            self.duties[line.relay] = line.text.split()[1]
            self.count_duties(line.at)

    def read_life(self, line: RelayEvent) -> None:
        """With a relay that goes down its shots end.  The model has no line for each of them; without this the units
        seemed busy for the rest of the day."""
        if line.event == "down":
            for key in [key for key in self.unit_of if key[0] == line.relay]:
                self.end_shot(key)
        if line.event == "down" and self.duties.pop(line.relay, None):
            self.count_duties(line.at)

    def count_duties(self, at: int) -> None:
        """Finds the owner that more than half of the relays name, and how many owners are named by more than a tenth
        of the relays each."""
        counts = Counter(self.duties.values())
        if counts:
            first = min(counts, key=lambda owner: (-counts[owner], owner))
            named = sum(count > len(self.duties) / 10 for count in counts.values())
            self.keepers_at_once = max(self.keepers_at_once, named if len(self.duties) >= 10 else 1)
            if first != self.owner and 2 * counts[first] > len(self.duties) and len(self.owners) < MOST_OWNERS_KEPT:
                self.owner = first
                self.owners.append(
                    f"{at / SECOND:7.2f}s {first} by the word of {counts[first]} of {len(self.duties)} relays"
                )

    # results
    def close(self) -> None:
        """Ends the record, and with it all windows."""
        for state in self.units.values():
            self.measure_idle(state)
        for build in list(self.brief):
            self.end_brief(build, self.brief[build])
            self.end_wide(build, self.wide[build])

    def figures(self) -> dict[str, float]:
        """Figures by name; empty for a record without units."""
        if not self.shots:
            return {}
        found = {
            "waste": self.wasted / self.shots,
            "herd": self.herd,
            "herd_chance": self.herd_chance,
            "idle": self.idle,
            "idle_chance": self.idle_chance,
        }
        for index, name in enumerate(("even_99th", "even_least", "even_99th_chance", "even_least_chance")):
            if self.spreads:
                found[name] = sum(each[index] for each in self.spreads) / len(self.spreads)
        if self.handshakes:
            found["handshakes_most"] = float(max(self.handshakes.values()))
        if self.owners:
            found["keepers_at_once"] = float(self.keepers_at_once)
        return found

    def use(self) -> dict[str, list[int]]:
        """Shots by second at each unit."""
        seconds = self.latest_at // SECOND + 1
        return {name: [counts[second] for second in range(seconds)] for name, counts in self.by_second.items()}


def spread(counts: list[int]) -> tuple[float, float]:
    """The 99th percentile and the least, over the median (taken as at least 1)."""
    ordered: list[Any] = sorted(counts)
    median = max(1, ordered[len(ordered) // 2])
    return ordered[min(len(ordered) - 1, int(0.99 * len(ordered)))] / median, ordered[0] / median
