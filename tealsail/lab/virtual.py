"""A day in virtual time: the world's machines and real relays' decisions on one heap of events.

Each relay is the facade that real relays use (tealsail/facade.py), driven as tealsail/net/relay.py drives it.  The same
scenario and seed give the same events, byte for byte, on any machine.
"""

import heapq
from collections.abc import Callable
from typing import Any

from ..choices.clock import MIN_GAP_S, TENTHS_PER_SECOND, discard_evidence
from ..facade import (
    CancelShot,
    Facade,
    Forfeit,
    NoteReceived,
    Outcome,
    Reject,
    RolloutState,
    SendShot,
    Step,
    UnitEntry,
    Units,
    VoteAnswered,
)
from ..net.relay import unit_number
from ..parts import stable_hash
from ..record.lines import (
    VERSION,
    ConnectionOpened,
    EntryReceived,
    Head,
    InvocationEnded,
    InvocationTaken,
    Line,
    Log,
    News,
    RelayEvent,
    ShotAnswered,
    ShotEnded,
    ShotSent as ShotLine,
    ShotStarted,
)
from ..world.clients import Arrival
from ..world.day import Day, RelayCommand
from ..world.unit import NEVER, IncomingShot, Unit
from ..world.unit_list import Entry
from .scenario import Scenario
from .traffic import clients_of

BUFFER = 256  # notes that wait at a process that does not run; more are lost, as at a socket
GRACE = 600_000  # tenths of a ms after the last arrival: then a day is cut off
LINGER, LOOK, BOOT = 5_000, 500, 6_000  # of a planned restart: until it takes no more, looks, its start


class Out:
    """A shot on its way, at a unit or on its way back."""

    __slots__ = ("serving", "place", "unit", "name", "over", "holds", "new")

    def __init__(self, serving: "Serving", place: int, name: str) -> None:
        self.serving, self.place, self.name, self.over = serving, place, name, False
        self.unit: Unit | None = None
        self.holds: Unit | None = None  # whose connection it uses
        self.new = False  # and whether that was made for it


class Serving:
    """One invocation at its relay."""

    __slots__ = ("arrival", "number", "outs", "over", "wrong")

    def __init__(self, arrival: Arrival, number: int) -> None:
        self.arrival, self.number, self.over, self.wrong = arrival, number, False, False
        self.outs: dict[int, Out] = {}


class Door:
    """One relay of the model: a facade, what it serves, and the connections that it keeps."""

    def __init__(self, model: "Model", index: int, start: int) -> None:
        self.model, self.index = model, index
        facts = model.scenario.facts(index)
        self.rate, self.since, self.zero = 1.0, model.now, model.now  # its clock: how fast, and what it showed when
        self.stopped, self.notes = -1, 0  # since when its process does not run; notes that wait for it
        self.backlog: list[tuple[int, Callable[..., None], tuple[Any, ...]]] = []
        self.duties = ""  # who acts for the fleet, as it last logged
        self.facade = Facade(
            facts, stable_hash(model.seed, index, start, 7), self.clock, model.document.extra_stages(facts)
        )
        self.serving: dict[int, Serving] = {}
        self.kept: dict[str, list[int]] = {}  # unit -> idle connections, and when one was last used
        self.timer = NEVER
        self.leaving = False  # it has been told to end, and takes no more

    # its process
    def clock(self) -> int:
        """What its clock shows: the day's time, unless the script has it fast or slow."""
        now = self.model.now
        return now if self.rate == 1.0 and self.zero == self.since else self.zero + int((now - self.since) * self.rate)

    def run_clock(self, rate: float) -> None:
        self.zero, self.since, self.rate = self.clock(), self.model.now, rate

    def later(self, due: int) -> int:
        """The day's time of a time on its clock."""
        return (
            due if self.rate == 1.0 and self.zero == self.since else self.since + int((due - self.zero) / self.rate) + 1
        )

    def waits(self, first: int, call: Callable[..., None], *what: Any) -> bool:
        """Whether its process does not run: then the event waits for it; its timers (`first` 0) go before its
        sockets."""
        if self.stopped < 0:
            return False
        self.backlog.append((first, call, what))
        return True

    def stop(self) -> None:
        if self.stopped < 0:
            self.stopped, self.notes = self.model.now, 0
            self.model.tell(RelayEvent(self.model.now, self.index, "stopped"))

    def go_on(self) -> None:
        """It runs again: what waited comes at once, and after a gap it trusts nothing older, as the daemon does."""
        if self.stopped < 0:
            return
        model, gap, backlog = self.model, self.model.now - self.stopped, self.backlog
        self.stopped, self.backlog = -1, []
        model.tell(RelayEvent(model.now, self.index, "on"))
        if gap > MIN_GAP_S * TENTHS_PER_SECOND:
            discard_evidence(self.facade.relay, self.clock())
            for name, (idle, _) in self.kept.items():
                if name in model.day.fleet.units:
                    model.day.fleet.units[name].disconnect(idle)
            self.kept.clear()
            model.later(model.now + model.news_wait, model.anew, self.index)
        for _, call, what in sorted(backlog, key=lambda each: each[0]):
            call(*what)
        self.schedule()

    def take(self, arrival: Arrival) -> None:
        model = self.model
        model.tell(
            InvocationTaken(
                model.now,
                self.index,
                arrival.number,
                arrival.intended,
                arrival.workload,
                arrival.customer,
                arrival.key,
                arrival.give_up,
                arrival.first,
            )
        )
        if not self.waits(1, self.taken, arrival):
            self.taken(arrival)

    def taken(self, arrival: Arrival) -> None:
        model, facade = self.model, self.facade
        workload, customer = model.names[arrival.workload], model.whose[arrival.customer]
        repeat = arrival.repeat and model.parts.behaviour.marks
        number, step = facade.pick(
            workload, customer, arrival.key, self.clock() + arrival.give_up - model.now, repeat=repeat
        )
        serving = self.serving[number] = Serving(arrival, number)
        self.follow(serving, step)
        self.schedule()

    def follow(self, serving: Serving, step: Step) -> None:
        if type(step) is SendShot and serving.over:
            self.facade.report(Outcome(serving.number, step.place, "moot"))
        elif type(step) is SendShot:
            self.shoot(serving, step)
        elif type(step) is Reject:
            self.end(serving, "rejected", step.come_back)
        elif type(step) is Forfeit:
            self.end(serving, "forfeited")
        if serving.over and not serving.outs:
            self.serving.pop(serving.number, None)

    def end(self, serving: Serving, answer: str, come_back: int = 0) -> None:
        if serving.over:
            return
        serving.over, model = True, self.model
        if model.back:
            model.later(model.now + model.back, model.answered, self.index, serving.arrival, answer, come_back)
        else:
            model.answered(self.index, serving.arrival, answer, come_back)

    def shoot(self, serving: Serving, step: SendShot) -> None:
        model, now = self.model, self.model.now
        name = model.unit_names[step.unit]
        believed = self.facade.relay.units[step.unit].build
        out = serving.outs[step.place] = Out(serving, step.place, name)
        model.tell(ShotLine(now, self.index, serving.arrival.number, step.place, name, believed, step.wait))
        model.later(now + (step.wait if self.rate == 1.0 else int(step.wait / self.rate)), self.overdue, out)
        unit = model.day.fleet.units.get(name)
        zone = unit.zone if unit else ""
        delay = model.day.network.delay(self.index, zone)
        if unit is None or unit.is_dead:  # refused at once
            self.kept.pop(name, None)
            model.later(now + 2 * delay, self.came, out, "unreachable")
        elif not model.day.network.reaches(now, self.index, name, zone):
            unit.disconnect(self.kept.pop(name, (0, 0))[0])
            model.later(now + model.connect_wait, self.came, out, "unreachable")
        else:
            kept = self.kept.get(name)
            if kept and kept[0] and now - kept[1] < model.idle_time:
                kept[0] -= 1
                out.holds, wait = unit, 3 * delay  # it proves itself by an empty query first
            elif unit.connect():
                out.holds, out.new, wait = unit, True, 3 * delay + model.parts.paths.handshake
                model.tell(ConnectionOpened(now, self.index, name))
            else:
                return model.later(now + 2 * delay, self.came, out, "full")
            model.later(now + wait + model.there, model.reach, self, out, unit)

    def expire(self, unit: Unit, used: int) -> None:
        """Connections that have stood idle since then end."""
        kept = self.kept.get(unit.name)
        if kept and kept[1] <= used and self.model.doors[self.index] is self:
            unit.disconnect(kept[0])
            kept[0] = 0

    def came(self, out: Out, outcome: str) -> None:
        """A shot has ended, for this relay."""
        if out.over or self.waits(1, self.came, out, outcome):
            return
        out.over, serving, model = True, out.serving, self.model
        serving.outs.pop(out.place, None)
        load = None
        if outcome == "wrong":  # a relay can't tell
            serving.wrong, outcome = True, "served"
        if out.holds and outcome in ("served", "error", "full"):
            kept = self.kept.setdefault(out.name, [0, 0])
            kept[0], kept[1] = kept[0] + 1, model.now
            if out.holds.kind.connections:
                model.later(model.now + model.idle_time, self.expire, out.holds, model.now)
        elif out.holds:
            out.holds.disconnect()
        if outcome in ("served", "error", "full"):
            load = out.unit.load(model.now) if out.unit and out.unit.kind.report_every else None
        model.tell(ShotEnded(model.now, self.index, serving.arrival.number, out.place, outcome))
        step = self.facade.report(Outcome(serving.number, out.place, outcome, load))
        if outcome == "served":
            self.end(serving, "wrong" if serving.wrong else "served")
        self.follow(serving, step)
        self.schedule()

    def overdue(self, out: Out) -> None:
        if not out.over and not self.waits(0, self.overdue, out):
            self.give_up(out, "timeout")

    def give_up(self, out: Out, outcome: str) -> None:
        if out.unit:
            self.model.later(
                self.model.now + self.model.day.network.delay(self.index, out.unit.zone), self.model.stop, out
            )
        self.came(out, outcome if out.unit else "moot")  # nothing was written yet

    def schedule(self) -> None:
        """As the daemon does: at once what is wanted, else when the facade is due."""
        facade = self.facade
        if self.stopped >= 0:
            return  # it looks when it runs again
        actions = facade.actions
        if actions.votes or actions.notes or actions.cancellations or actions.lines or actions.steps:
            return self.ticked()
        due = facade.wake_ups[0][0] if facade.wake_ups else NEVER
        if due < self.timer:
            self.timer = due
            self.model.later(max(self.later(due), self.model.now), self.wake, due)

    def wake(self, due: int) -> None:
        if due == self.timer and self.model.doors[self.index] is self and not self.waits(0, self.wake, due):
            self.timer = NEVER
            self.ticked()

    def ticked(self) -> None:
        model, actions = self.model, self.facade.tick()
        load_tracking, judges = self.facade.relay.load_tracking, self.facade.relay.judge.order[:3]
        duties = f"duties keeper={load_tracking.tracker_index()} judges={','.join(str(each) for each in judges)}"
        if duties != self.duties:
            self.duties = duties
            model.tell(Log(model.now, self.index, duties))
        for text in actions.lines:
            model.tell(Log(model.now, self.index, text))
        for number, step in actions.steps:
            if number in self.serving:
                self.follow(self.serving[number], step)
            elif type(step) is SendShot:
                self.facade.report(Outcome(number, step.place, "moot"))
        for to, data in actions.notes:
            for other in range(len(model.doors)) if to < 0 else (to,):
                for wait in model.day.network.note(model.now, self.index, other) if other != self.index else ():
                    model.later(model.now + wait, model.note, other, self.index, data)
        for vote in actions.votes:
            model.later(model.now + model.news_wait, model.vote, self, *vote)
        for what in actions.cancellations:
            self.call_off(what)
        self.schedule()

    def call_off(self, what: CancelShot) -> None:
        serving = self.serving.get(what.number)
        if serving and what.place in serving.outs:
            self.give_up(serving.outs[what.place], "cancelled")

    def listed(self, entries: list[Entry], kind: str) -> None:
        model = self.model
        if self.waits(1, self.listed, entries, kind):
            return
        for entry in entries:
            model.tell(EntryReceived(model.now, self.index, entry.name, entry.build, entry.state, entry.started))
        ahead = self.clock() - model.now  # units' starts are told in the time of all others' clocks
        told = [model.listed(entry) for entry in entries]
        self.facade.report(
            Units(
                kind,
                told
                if not ahead
                else [each._replace(started=each.started and max(1, each.started + ahead)) for each in told],
            )
        )
        self.schedule()

    def stood(self) -> None:
        model, state = self.model, self.model.day.platform.state
        if self.waits(1, self.stood):
            return
        model.tell(News(model.now, self.index, state.build, state.stage, state.phase, state.cap))
        self.facade.report(RolloutState(state.build, state.stage, state.phase, state.cap, model.now - state.since))
        self.schedule()


class Model:
    """One run.  `listeners` get each line of the record as it happens; `events` counts what was played."""

    def __init__(self, scenario: Scenario, seed: int, listeners: list[Callable[[Line], Any]]) -> None:
        self.scenario, self.seed, self.listeners = scenario, seed, listeners
        self.now = self.events = self.count = 0
        self.document = scenario.operators()
        self.heap: list[tuple[int, int, Callable[..., None], tuple[Any, ...]]] = []
        self.parts = scenario.parts()
        self.day = Day(self.parts, seed, clients_of(scenario, seed))
        self.day.roles = self.acting
        self.names = [each.name for each in scenario.workload]
        self.whose = [each.name for each in scenario.customer] or [""]
        self.zones = {name: place for place, name in enumerate(scenario.fleet.zones)}
        self.unit_names: dict[int, str] = {}
        self.connect_wait = int(scenario.network.connect_ms * 10)
        self.idle_time = int(scenario.network.idle_ms * 10)
        self.there, self.back = int(scenario.clients.there_ms * 10), int(scenario.clients.back_ms * 10)
        self.news_wait = int(scenario.platform.news_ms * 10)
        self.open = self.waiting = 0  # invocations without an answer; repeats to come
        self.day_at = NEVER  # when the day is woken next
        self.doors: list[Door | None] = []
        self.starts = [0] * scenario.fleet.relays
        self.faults = 0

    def clock(self) -> int:
        return self.now

    def tell(self, line: Line) -> None:
        for listener in self.listeners:
            listener(line)

    def later(self, at: int, call: Callable[..., None], *what: Any) -> None:
        self.count += 1
        heapq.heappush(self.heap, (at, self.count, call, what))

    def play(self) -> "Model":
        """The whole day, and on until all is answered."""
        scenario = self.scenario
        self.tell(Head(0, VERSION, "model", scenario.name, self.seed, scenario.facts(0), scenario.plain()))
        self.took_up()
        for relay in range(scenario.fleet.relays):
            self.doors.append(None)
            self.start(relay)
        self.arrivals()
        heap, pop = self.heap, heapq.heappop
        end = scenario.span + GRACE
        while heap and (self.now < scenario.span or self.open or self.waiting) and self.now < end:
            self.now, _, call, what = pop(heap)
            self.events += 1
            call(*what)
        self.faults += sum(door.facade.faults for door in self.doors if door)
        return self

    # relays
    def start(self, relay: int) -> None:
        """From what is known at that place: the list as its agent has it, and the platform's state."""
        self.starts[relay] += 1
        door = self.doors[relay] = Door(self, relay, self.starts[relay])
        self.tell(RelayEvent(self.now, relay, "up"))
        roster = self.day.roster
        door.stood()
        door.listed(roster.whole(roster.told[relay]), "old copy")

    def end(self, relay: int) -> None:
        """Killed: what it had at hand is lost with it, and its connections end."""
        door, self.doors[relay] = self.doors[relay], None
        if door is None:
            return
        self.tell(RelayEvent(self.now, relay, "down"))
        self.faults += door.facade.faults
        for name, (idle, _) in door.kept.items():
            if name in self.day.fleet.units:
                self.day.fleet.units[name].disconnect(idle)
        for _, call, what in door.backlog:  # what it had not even read
            if call == door.taken:
                self.open -= 1
                self.tell(InvocationEnded(self.now, relay, what[0].number, "lost"))
        for serving in door.serving.values():
            for out in serving.outs.values():
                out.over = True
                if out.holds:
                    out.holds.disconnect()
                if out.unit:
                    self.later(self.now + self.parts.paths.near, self.stop, out)
            if not serving.over:
                serving.over = True
                self.open -= 1
                self.tell(InvocationEnded(self.now, relay, serving.arrival.number, "lost"))

    def acting(self, name: str) -> list[int]:
        """Who acts for the fleet as that, by the word of most relays."""
        words: dict[int, int] = {}
        for door in self.doors:
            if door:
                relay = door.facade.relay
                for each in (
                    [relay.load_tracking.tracker_index()]
                    if name == "keeper"
                    else relay.judge.order[: 3 if name == "judges" else 1]
                ):
                    words[each] = words.get(each, 0) + 1
        best = sorted((each for each in words if each >= 0), key=lambda each: (-words[each], each))
        return best[: 3 if name == "judges" else 1]

    def anew(self, relay: int) -> None:
        """One that did not run for a while asks for what others keep."""
        door, roster = self.doors[relay], self.day.roster
        if door and self.day.network.reaches_service(self.now, relay, "list"):
            door.listed(roster.whole(roster.told[relay]), "whole")
        if door:
            self.tell_state(relay)

    def carry_out(self, order: RelayCommand) -> None:
        """What the script does to a relay's process.  A step of its wall clock moves nothing: its time is even
        (tealsail/choices/clock.py).  A relay from another checkout is only restarted: the model has one program."""
        door = self.doors[order.relay]
        match order.what:
            case "down":
                self.end(order.relay)
            case "up" if door is None:
                self.start(order.relay)
            case "restart" | "switch":
                self.restart(order.relay)
            case "stop" if door:
                door.stop()
            case "on" if door:
                door.go_on()
            case "rate" if door:
                door.run_clock(order.amount)

    def restart(self, relay: int) -> None:
        """Planned: its clients still come for a moment, what it has is finished, then it starts anew."""
        self.later(self.now + LINGER, self.leave, relay)

    def leave(self, relay: int) -> None:
        door = self.doors[relay]
        if door:
            door.leaving = True
            self.left(door)

    def left(self, door: Door) -> None:
        if self.doors[door.index] is not door:
            return  # killed meanwhile
        if door.serving:
            return self.later(self.now + LOOK, self.left, door)
        self.end(door.index)
        self.later(self.now + BOOT, self.start, door.index)

    def note(self, to: int, sender: int, data: bytes) -> None:
        door = self.doors[to]
        if door and door.stopped >= 0:
            door.notes += 1
            if door.notes <= BUFFER:
                door.waits(1, self.note, to, sender, data)
        elif door:
            door.facade.report(NoteReceived(sender, data))
            door.schedule()

    def vote(self, door: Door, build: int, stage: int, verdict: str) -> None:
        if not self.day.network.reaches_service(self.now, door.index, "platform"):
            answer = "nothing"  # it never came
        else:
            answer = self.day.vote(self.now, door.index, build, stage, verdict)
            self.took_up()
        wait = self.news_wait if answer != "nothing" else int(self.scenario.facts(0)["vote_wait"])
        self.later(self.now + wait, self.counted, door, "timeout" if answer == "nothing" else answer)

    def counted(self, door: Door, answer: str) -> None:
        if self.doors[door.index] is door and not door.waits(1, self.counted, door, answer):
            door.facade.report(VoteAnswered(answer))
            door.schedule()

    # clients
    def arrivals(self) -> None:
        due = self.day.clients.due
        if due is not None:
            self.later(due, self.arrive)

    def arrive(self) -> None:
        self.serve(self.day.clients.next())
        self.arrivals()

    def again(self, arrival: Arrival) -> None:
        self.waiting -= 1
        self.serve(arrival)

    def answered(self, relay: int, arrival: Arrival, answer: str, come_back: int) -> None:
        """An answer has come to its client."""
        self.open -= 1
        self.tell(InvocationEnded(self.now, relay, arrival.number, answer))
        again = self.day.clients.answered(self.now, arrival, answer, come_back)
        if again:
            self.waiting += 1
            self.later(again.at, self.again, again)

    def serve(self, arrival: Arrival) -> None:
        """The front gives it to its relay, or to the next one that is up."""
        many = len(self.doors)
        for step in range(many):
            door = self.doors[(arrival.relay + step) % many]
            if door and not door.leaving:
                self.open += 1
                return door.take(arrival)

    # units
    def reach(self, door: Door, out: Out, unit: Unit) -> None:
        """The last byte of a shot has come to its unit."""
        if out.over:
            return
        if unit.is_dead:
            return door.came(out, "unreachable")
        out.unit = unit
        arrival = out.serving.arrival
        unit.take(self.now, IncomingShot((door, out), arrival.first, arrival.workload), out.new)
        self.touch(unit)

    def stop(self, out: Out) -> None:
        for ref in [ref for ref in out.unit.jobs if ref[1] is out]:
            out.unit.stop(self.now, ref)
        self.touch(out.unit)

    def touch(self, unit: Unit) -> None:
        """Takes up what a unit said, and when it wants to be woken."""
        for (door, out), work in unit.taken:
            self.tell(ShotStarted(self.now, door.index, out.serving.arrival.number, out.place, unit.name, work))
        unit.taken.clear()
        if unit.outcomes:
            outcomes, unit.outcomes = unit.outcomes, []
            network, now = self.day.network, self.now
            for (door, out), outcome in outcomes:
                self.tell(ShotAnswered(now, door.index, out.serving.arrival.number, out.place, unit.name, outcome))
                if not out.over and network.reaches(now, door.index, unit.name, unit.zone):
                    self.later(now + network.delay(door.index, unit.zone), door.came, out, outcome)
        if unit.crashed and unit.name in self.day.fleet.units and not unit.crash_reported:
            unit.crash_reported = True
            self.day.record_crash(self.now, unit)
            self.took_up()
        due = unit.due
        if due < unit.wake_at:
            unit.wake_at = due
            self.later(due, self.wake_unit, unit, due)

    def wake_unit(self, unit: Unit, due: int) -> None:
        if due == unit.wake_at:
            unit.wake_at = NEVER
            unit.wake(self.now)
            self.touch(unit)

    # the day
    def wake_day(self, due: int) -> None:
        if due == self.day_at:
            self.day_at = NEVER
            self.day.wake(self.now)
            self.took_up()

    def took_up(self) -> None:
        """Carries out what the day left to do."""
        day = self.day
        left = day.left()
        for line in left.lines:
            self.tell(line)
        for unit in left.changed_units:
            self.touch(unit)
        for version in left.list_versions:
            for relay, lag in enumerate(day.roster.lag):
                self.later(self.now + lag, self.tell_list, relay, version)
        if day.rollout_changed and self.now >= day.platform.silent_until:
            day.rollout_changed = False
            for relay in range(len(self.doors)):
                self.later(self.now + self.news_wait, self.tell_state, relay)
        for order in left.relays:
            self.carry_out(order)
        due = day.due
        if due < self.day_at:
            self.day_at = due
            self.later(max(due, self.now + 1), self.wake_day, due)

    def tell_list(self, relay: int, version: int) -> None:
        if self.day.roster.is_frozen(self.now, relay) or not self.day.network.reaches_service(self.now, relay, "list"):
            return  # told once it moves again, or is reached
        _, entries = self.day.roster.take_changes(relay, version)
        if entries and self.doors[relay]:
            self.doors[relay].listed(entries, "changes")

    def tell_state(self, relay: int) -> None:
        if (
            self.doors[relay]
            and self.now >= self.day.platform.silent_until
            and self.day.network.reaches_service(self.now, relay, "platform")
        ):
            self.doors[relay].stood()

    def listed(self, entry: Entry) -> UnitEntry:
        number = unit_number(entry.name)
        self.unit_names[number] = entry.name
        return UnitEntry(
            number, entry.build, entry.state, self.zones.get(entry.zone, 0), entry.cell, entry.weight, entry.started
        )
