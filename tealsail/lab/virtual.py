"""The model: a day in virtual time, with the world's machines and the relays' decisions on one heap of events.

Each relay is the facade that real relays use (tealsail/facade.py), driven as tealsail/net/relay.py drives it.  The same
scenario and seed give the same events, byte for byte, on any machine.  Times are tenths of a millisecond.
"""

import heapq
from collections.abc import Callable
from typing import Any

from ..choices.clock import MIN_GAP_S, discard_evidence
from ..facade import (
    CancelShot,
    Facade,
    Forfeit,
    Outcome,
    PeerMessageReceived,
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
    RelayEvent,
    ShotAnswered,
    ShotEnded,
    ShotSent as ShotLine,
    ShotStarted,
    StageReceived,
)
from ..time_limits import TENTHS_PER_SECOND
from ..world.clients import Arrival
from ..world.day import Day, RelayCommand
from ..world.unit import NEVER, IncomingShot, Unit
from ..world.unit_list import Entry
from .scenario import Scenario
from .traffic import create_clients

SOCKET_BUFFER = 256  # messages that wait at a process that does not run; more are lost, as at a socket
MAX_OVERTIME = 600_000  # tenths of a ms after the scenario's length, at which the day is cut off
# planned restart of a relay, in tenths of a ms
RESTART_NOTICE = 5_000  # from the order until the relay takes no more invocations
DRAIN_CHECK_INTERVAL = 500
BOOT_TIME = 6_000


class InFlightShot:
    """A shot on its way to a unit, at the unit or on its way back."""

    __slots__ = ("invocation", "place", "unit", "name", "is_over", "connection_unit", "is_new_connection")

    def __init__(self, invocation: "Invocation", place: int, name: str) -> None:
        self.invocation, self.place, self.name, self.is_over = invocation, place, name, False
        self.unit: Unit | None = None
        self.connection_unit: Unit | None = None  # the unit whose connection it uses
        self.is_new_connection = False  # the connection was opened for it


class Invocation:
    """An invocation at its relay, with its shots in flight by place."""

    __slots__ = ("arrival", "number", "shots", "is_over", "is_wrong")

    def __init__(self, arrival: Arrival, number: int) -> None:
        self.arrival, self.number, self.is_over, self.is_wrong = arrival, number, False, False
        self.shots: dict[int, InFlightShot] = {}


class ModelRelay:
    """One relay of the model: a facade, its invocations, and its idle connections to units."""

    def __init__(self, model: "Model", index: int, start: int) -> None:
        self.model, self.index = model, index
        settings = model.scenario.named_settings(index)
        self.rate = 1.0  # of its clock
        self.clock_set_at = model.now  # when the rate was set
        self.clock_reading = model.now  # what its clock showed then
        self.stopped_at = -1  # when its process was stopped; -1: it runs
        self.waiting_messages = 0  # messages that came while it was stopped
        self.backlog: list[tuple[int, Callable[..., None], tuple[Any, ...]]] = []
        self.duties = ""  # the last log line of load tracker and judges
        self.facade = Facade(
            settings, stable_hash(model.seed, index, start, 7), self.clock, model.document.extra_stages(settings)
        )
        self.invocations: dict[int, Invocation] = {}
        # unit -> number of idle connections, and when one was last used
        self.idle_connections: dict[str, list[int]] = {}
        self.timer = NEVER
        self.is_draining = False  # it is to restart and takes no more invocations

    # process
    def clock(self) -> int:
        """The reading of its clock: the day's time, unless the script makes the clock fast or slow."""
        now = self.model.now
        return (
            now
            if self.rate == 1.0 and self.clock_reading == self.clock_set_at
            else self.clock_reading + int((now - self.clock_set_at) * self.rate)
        )

    def set_clock_rate(self, rate: float) -> None:
        """Makes its clock run `rate` times as fast from now on."""
        self.clock_reading, self.clock_set_at, self.rate = self.clock(), self.model.now, rate

    def day_time(self, due: int) -> int:
        """The day's time at which its clock shows `due`."""
        return (
            due
            if self.rate == 1.0 and self.clock_reading == self.clock_set_at
            else self.clock_set_at + int((due - self.clock_reading) / self.rate) + 1
        )

    def defer(self, priority: int, call: Callable[..., None], *what: Any) -> bool:
        """Queues the event if the process is stopped, and returns whether it is.  Once the process runs again, its
        timers (`priority` 0) go before its sockets (1)."""
        if self.stopped_at < 0:
            return False
        self.backlog.append((priority, call, what))
        return True

    def stop(self) -> None:
        """Stops the process; events for it wait until it runs again."""
        if self.stopped_at < 0:
            self.stopped_at, self.waiting_messages = self.model.now, 0
            self.model.record(RelayEvent(self.model.now, self.index, "stopped"))

    def resume(self) -> None:
        """Runs the process again: deferred events come at once.  After a long gap it discards all older state and its
        connections, and fetches list and roll-out state again, as the daemon does."""
        if self.stopped_at < 0:
            return
        model, gap, backlog = self.model, self.model.now - self.stopped_at, self.backlog
        self.stopped_at, self.backlog = -1, []
        model.record(RelayEvent(model.now, self.index, "on"))
        if gap > MIN_GAP_S * TENTHS_PER_SECOND:
            discard_evidence(self.facade.relay, self.clock())
            for name, (idle, _) in self.idle_connections.items():
                if name in model.day.fleet.units:
                    model.day.fleet.units[name].disconnect(idle)
            self.idle_connections.clear()
            model.call_at(model.now + model.platform_delay, model.refresh, self.index)
        for _, call, what in sorted(backlog, key=lambda each: each[0]):
            call(*what)
        self.schedule()

    def receive(self, arrival: Arrival) -> None:
        """Records an invocation that has come to the relay's socket, and begins it."""
        model = self.model
        model.record(
            InvocationTaken(
                model.now,
                self.index,
                arrival.number,
                arrival.intended,
                arrival.workload,
                arrival.customer,
                arrival.key,
                arrival.deadline,
                arrival.first,
            )
        )
        if not self.defer(1, self.begin, arrival):
            self.begin(arrival)

    def begin(self, arrival: Arrival) -> None:
        """Gives the invocation to the facade; a stopped relay only reads it when it runs again."""
        model, facade = self.model, self.facade
        workload, customer = model.workload_names[arrival.workload], model.customer_names[arrival.customer]
        repeat = arrival.repeat and model.parts.behaviour.marks
        number, step = facade.pick(
            workload, customer, arrival.key, self.clock() + arrival.deadline - model.now, repeat=repeat
        )
        invocation = self.invocations[number] = Invocation(arrival, number)
        self.carry_out_step(invocation, step)
        self.schedule()

    def carry_out_step(self, invocation: Invocation, step: Step) -> None:
        """Carries out the facade's next step for an invocation."""
        if type(step) is SendShot and invocation.is_over:
            self.facade.report(Outcome(invocation.number, step.shot_number, "moot"))
        elif type(step) is SendShot:
            self.shoot(invocation, step)
        elif type(step) is Reject:
            self.send_answer(invocation, "rejected", step.retry_after)
        elif type(step) is Forfeit:
            self.send_answer(invocation, "forfeited")
        if invocation.is_over and not invocation.shots:
            self.invocations.pop(invocation.number, None)

    def send_answer(self, invocation: Invocation, answer: str, retry_after: int = 0) -> None:
        """Sends the client its answer; `retry_after`: advised wait before a repeat, in tenths of a ms, 0 for none."""
        if invocation.is_over:
            return
        invocation.is_over, model = True, self.model
        if model.return_delay:
            model.call_at(
                model.now + model.return_delay, model.answered, self.index, invocation.arrival, answer, retry_after
            )
        else:
            model.answered(self.index, invocation.arrival, answer, retry_after)

    def shoot(self, invocation: Invocation, step: SendShot) -> None:
        """Sends a shot to its unit, over an idle connection if there is one, and sets its time-out."""
        model, now = self.model, self.model.now
        name = model.unit_names[step.unit]
        listed_build = self.facade.relay.units[step.unit].build
        shot = invocation.shots[step.shot_number] = InFlightShot(invocation, step.shot_number, name)
        model.record(
            ShotLine(now, self.index, invocation.arrival.number, step.shot_number, name, listed_build, step.wait)
        )
        model.call_at(now + (step.wait if self.rate == 1.0 else int(step.wait / self.rate)), self.time_out, shot)
        unit = model.day.fleet.units.get(name)
        zone = unit.zone if unit else ""
        one_way = model.day.network.delay(self.index, zone)
        if unit is None or unit.is_dead:  # refused at once
            self.idle_connections.pop(name, None)
            model.call_at(now + 2 * one_way, self.shot_ended, shot, "unreachable")
        elif not model.day.network.reaches(now, self.index, name, zone):
            unit.disconnect(self.idle_connections.pop(name, (0, 0))[0])
            model.call_at(now + model.connect_wait, self.shot_ended, shot, "unreachable")
        else:
            idle = self.idle_connections.get(name)
            if idle and idle[0] and now - idle[1] < model.idle_time:
                idle[0] -= 1
                shot.connection_unit, wait = unit, 3 * one_way  # an empty query first proves that the connection works
            elif unit.connect():
                shot.connection_unit, shot.is_new_connection, wait = (
                    unit,
                    True,
                    3 * one_way + model.parts.paths.handshake,
                )
                model.record(ConnectionOpened(now, self.index, name))
            else:
                return model.call_at(now + 2 * one_way, self.shot_ended, shot, "full")
            model.call_at(now + wait + model.outward_delay, model.reach_unit, self, shot, unit)

    def expire(self, unit: Unit, used: int) -> None:
        """Closes the idle connections to a unit if none was used since `used`."""
        idle = self.idle_connections.get(unit.name)
        if idle and idle[1] <= used and self.model.relays[self.index] is self:
            unit.disconnect(idle[0])
            idle[0] = 0

    def shot_ended(self, shot: InFlightShot, outcome: str) -> None:
        """The relay learns the outcome of a shot."""
        if shot.is_over or self.defer(1, self.shot_ended, shot, outcome):
            return
        shot.is_over, invocation, model = True, shot.invocation, self.model
        invocation.shots.pop(shot.place, None)
        load = None
        if outcome == "wrong":  # a relay can't see that an answer is wrong
            invocation.is_wrong, outcome = True, "served"
        if shot.connection_unit and outcome in ("served", "error", "full"):
            idle = self.idle_connections.setdefault(shot.name, [0, 0])
            idle[0], idle[1] = idle[0] + 1, model.now
            if shot.connection_unit.kind.connections:
                model.call_at(model.now + model.idle_time, self.expire, shot.connection_unit, model.now)
        elif shot.connection_unit:
            shot.connection_unit.disconnect()
        if outcome in ("served", "error", "full"):
            load = shot.unit.load(model.now) if shot.unit and shot.unit.kind.report_every else None
        model.record(ShotEnded(model.now, self.index, invocation.arrival.number, shot.place, outcome))
        step = self.facade.report(Outcome(invocation.number, shot.place, outcome, load))
        if outcome == "served":
            self.send_answer(invocation, "wrong" if invocation.is_wrong else "served")
        self.carry_out_step(invocation, step)
        self.schedule()

    def time_out(self, shot: InFlightShot) -> None:
        if not shot.is_over and not self.defer(0, self.time_out, shot):
            self.cancel_shot(shot, "timeout")

    def cancel_shot(self, shot: InFlightShot, outcome: str) -> None:
        """Ends a shot before its answer, and stops it at its unit if it got there."""
        if shot.unit:
            self.model.call_at(
                self.model.now + self.model.day.network.delay(self.index, shot.unit.zone), self.model.stop_shot, shot
            )
        self.shot_ended(shot, outcome if shot.unit else "moot")  # moot: nothing had been written

    def schedule(self) -> None:
        """Ticks the facade at once if it wants something, else sets a timer for when it is due, as the daemon does."""
        facade = self.facade
        if self.stopped_at >= 0:
            return  # `resume` schedules
        actions = facade.actions
        if actions.votes or actions.messages or actions.cancellations or actions.lines or actions.steps:
            return self.tick()
        due = facade.wake_ups[0][0] if facade.wake_ups else NEVER
        if due < self.timer:
            self.timer = due
            self.model.call_at(max(self.day_time(due), self.model.now), self.wake, due)

    def wake(self, due: int) -> None:
        if due == self.timer and self.model.relays[self.index] is self and not self.defer(0, self.wake, due):
            self.timer = NEVER
            self.tick()

    def tick(self) -> None:
        """Ticks the facade and carries out what it wants."""
        model, actions = self.model, self.facade.tick()
        load_tracking, judges = self.facade.relay.load_tracking, self.facade.relay.judge.order[:3]
        duties = f"duties keeper={load_tracking.tracker_index()} judges={','.join(str(each) for each in judges)}"
        if duties != self.duties:
            self.duties = duties
            model.record(Log(model.now, self.index, duties))
        for text in actions.lines:
            model.record(Log(model.now, self.index, text))
        for number, step in actions.steps:
            if number in self.invocations:
                self.carry_out_step(self.invocations[number], step)
            elif type(step) is SendShot:
                self.facade.report(Outcome(number, step.shot_number, "moot"))
        for to, data in actions.messages:
            for other in range(len(model.relays)) if to < 0 else (to,):
                for wait in model.day.network.note(model.now, self.index, other) if other != self.index else ():
                    model.call_at(model.now + wait, model.deliver_message, other, self.index, data)
        for vote in actions.votes:
            model.call_at(model.now + model.platform_delay, model.vote, self, *vote)
        for what in actions.cancellations:
            self.call_off(what)
        self.schedule()

    def call_off(self, what: CancelShot) -> None:
        invocation = self.invocations.get(what.number)
        if invocation and what.shot_number in invocation.shots:
            self.cancel_shot(invocation.shots[what.shot_number], "cancelled")

    def receive_list(self, entries: list[Entry], kind: str) -> None:
        """Takes entries of the list of units; `kind` as in facade.Units."""
        model = self.model
        if self.defer(1, self.receive_list, entries, kind):
            return
        for entry in entries:
            model.record(EntryReceived(model.now, self.index, entry.name, entry.build, entry.state, entry.started))
        ahead = self.clock() - model.now  # units' starts come in the time of the other machines' clocks
        listed = [model.list_entry(entry) for entry in entries]
        self.facade.report(
            Units(
                kind,
                listed
                if not ahead
                else [each._replace(started=each.started and max(1, each.started + ahead)) for each in listed],
            )
        )
        self.schedule()

    def receive_state(self) -> None:
        """Takes the platform's roll-out state."""
        model, state = self.model, self.model.day.platform.state
        if self.defer(1, self.receive_state):
            return
        model.record(StageReceived(model.now, self.index, state.build, state.stage, state.phase, state.cap))
        self.facade.report(RolloutState(state.build, state.stage, state.phase, state.cap, model.now - state.since))
        self.schedule()


class Model:
    """One run of a scenario.  `listeners` get each line of the record as it happens; `events` counts the events that
    were played, `faults` the internal errors of the relays."""

    def __init__(self, scenario: Scenario, seed: int, listeners: list[Callable[[Line], Any]]) -> None:
        self.scenario, self.seed, self.listeners = scenario, seed, listeners
        self.now = self.events = self.sequence = 0
        self.document = scenario.operator_document()
        self.heap: list[tuple[int, int, Callable[..., None], tuple[Any, ...]]] = []
        self.parts = scenario.parts()
        self.day = Day(self.parts, seed, create_clients(scenario, seed))
        self.day.roles = self.acting_relays
        self.workload_names = [each.name for each in scenario.workload]
        self.customer_names = [each.name for each in scenario.customer] or [""]
        self.zones = {name: place for place, name in enumerate(scenario.fleet.zones)}
        self.unit_names: dict[int, str] = {}
        self.connect_wait = int(scenario.network.connect_ms * 10)
        self.idle_time = int(scenario.network.idle_ms * 10)
        self.outward_delay, self.return_delay = int(scenario.clients.there_ms * 10), int(scenario.clients.back_ms * 10)
        self.platform_delay = int(scenario.platform.news_ms * 10)
        self.open_invocations = self.pending_repeats = 0  # invocations without an answer, repeats to come
        self.day_due = NEVER  # when the day is to be woken next
        self.relays: list[ModelRelay | None] = []
        self.start_counts = [0] * scenario.fleet.relays
        self.faults = 0

    def clock(self) -> int:
        return self.now

    def record(self, line: Line) -> None:
        """Gives a line of the record to the listeners."""
        for listener in self.listeners:
            listener(line)

    def call_at(self, at: int, call: Callable[..., None], *what: Any) -> None:
        """Schedules a call at a time; calls at the same time run in the order in which they were scheduled."""
        self.sequence += 1
        heapq.heappush(self.heap, (at, self.sequence, call, what))

    def play(self) -> "Model":
        """Plays the whole day, and on until every invocation has its answer."""
        scenario = self.scenario
        self.record(Head(0, VERSION, "model", scenario.name, self.seed, scenario.named_settings(0), scenario.plain()))
        self.follow_day()
        for relay in range(scenario.fleet.relays):
            self.relays.append(None)
            self.start(relay)
        self.schedule_arrival()
        heap, pop = self.heap, heapq.heappop
        end = scenario.span + MAX_OVERTIME
        while heap and (self.now < scenario.span or self.open_invocations or self.pending_repeats) and self.now < end:
            self.now, _, call, what = pop(heap)
            self.events += 1
            call(*what)
        self.faults += sum(model_relay.facade.faults for model_relay in self.relays if model_relay)
        return self

    # relays
    def start(self, relay: int) -> None:
        """Starts a relay with the list as that relay was last told it, and the platform's roll-out state."""
        self.start_counts[relay] += 1
        model_relay = self.relays[relay] = ModelRelay(self, relay, self.start_counts[relay])
        self.record(RelayEvent(self.now, relay, "up"))
        roster = self.day.roster
        model_relay.receive_state()
        model_relay.receive_list(roster.whole(roster.agent_versions[relay]), "old copy")

    def kill(self, relay: int) -> None:
        """Kills a relay: its invocations are lost and its connections end."""
        model_relay, self.relays[relay] = self.relays[relay], None
        if model_relay is None:
            return
        self.record(RelayEvent(self.now, relay, "down"))
        self.faults += model_relay.facade.faults
        for name, (idle, _) in model_relay.idle_connections.items():
            if name in self.day.fleet.units:
                self.day.fleet.units[name].disconnect(idle)
        for _, call, what in model_relay.backlog:  # invocations that it had not read yet
            if call == model_relay.begin:
                self.open_invocations -= 1
                self.record(InvocationEnded(self.now, relay, what[0].number, "lost"))
        for invocation in model_relay.invocations.values():
            for shot in invocation.shots.values():
                shot.is_over = True
                if shot.connection_unit:
                    shot.connection_unit.disconnect()
                if shot.unit:
                    self.call_at(self.now + self.parts.paths.near, self.stop_shot, shot)
            if not invocation.is_over:
                invocation.is_over = True
                self.open_invocations -= 1
                self.record(InvocationEnded(self.now, relay, invocation.arrival.number, "lost"))

    def acting_relays(self, name: str) -> list[int]:
        """The relays that act as `keeper` (the load tracker), `judge` or `judges`, as most relays see it."""
        votes: dict[int, int] = {}
        for model_relay in self.relays:
            if model_relay:
                relay = model_relay.facade.relay
                for each in (
                    [relay.load_tracking.tracker_index()]
                    if name == "keeper"
                    else relay.judge.order[: 3 if name == "judges" else 1]
                ):
                    votes[each] = votes.get(each, 0) + 1
        best = sorted((each for each in votes if each >= 0), key=lambda each: (-votes[each], each))
        return best[: 3 if name == "judges" else 1]

    def refresh(self, relay: int) -> None:
        """A relay that was stopped for a while gets the whole list and the roll-out state again."""
        model_relay, roster = self.relays[relay], self.day.roster
        if model_relay and self.day.network.reaches_service(self.now, relay, "list"):
            model_relay.receive_list(roster.whole(roster.agent_versions[relay]), "whole")
        if model_relay:
            self.send_state(relay)

    def carry_out(self, order: RelayCommand) -> None:
        """Does to a relay's process what the script orders.  A step of the wall clock has no effect, since relays go
        by a steady clock (tealsail/choices/clock.py).  A switch to another checkout is only a restart: the model has
        one program."""
        model_relay = self.relays[order.relay]
        match order.what:
            case "down":
                self.kill(order.relay)
            case "up" if model_relay is None:
                self.start(order.relay)
            case "restart" | "switch":
                self.restart(order.relay)
            case "stop" if model_relay:
                model_relay.stop()
            case "on" if model_relay:
                model_relay.resume()
            case "rate" if model_relay:
                model_relay.set_clock_rate(order.amount)

    def restart(self, relay: int) -> None:
        """A planned restart: invocations still come for a moment, those at hand are finished, then it starts again."""
        self.call_at(self.now + RESTART_NOTICE, self.begin_drain, relay)

    def begin_drain(self, relay: int) -> None:
        model_relay = self.relays[relay]
        if model_relay:
            model_relay.is_draining = True
            self.finish_drain(model_relay)

    def finish_drain(self, model_relay: ModelRelay) -> None:
        """Ends a draining relay once it has nothing to serve, and starts it again."""
        if self.relays[model_relay.index] is not model_relay:
            return  # it was killed meanwhile
        if model_relay.invocations:
            return self.call_at(self.now + DRAIN_CHECK_INTERVAL, self.finish_drain, model_relay)
        self.kill(model_relay.index)
        self.call_at(self.now + BOOT_TIME, self.start, model_relay.index)

    def deliver_message(self, to: int, sender: int, data: bytes) -> None:
        """Delivers a message between relays; a stopped relay keeps SOCKET_BUFFER of them."""
        model_relay = self.relays[to]
        if model_relay and model_relay.stopped_at >= 0:
            model_relay.waiting_messages += 1
            if model_relay.waiting_messages <= SOCKET_BUFFER:
                model_relay.defer(1, self.deliver_message, to, sender, data)
        elif model_relay:
            model_relay.facade.report(PeerMessageReceived(sender, data))
            model_relay.schedule()

    def vote(self, model_relay: ModelRelay, build: int, stage: int, verdict: str) -> None:
        """A relay's vote reaches the platform, which answers or, if it is silent or cut off, lets it time out."""
        if not self.day.network.reaches_service(self.now, model_relay.index, "platform"):
            answer = "nothing"  # the vote was lost
        else:
            answer = self.day.vote(self.now, model_relay.index, build, stage, verdict)
            self.follow_day()
        wait = self.platform_delay if answer != "nothing" else int(self.scenario.named_settings(0)["vote_wait"])
        self.call_at(self.now + wait, self.vote_answered, model_relay, "timeout" if answer == "nothing" else answer)

    def vote_answered(self, model_relay: ModelRelay, answer: str) -> None:
        """A relay learns how its vote was counted."""
        if self.relays[model_relay.index] is model_relay and not model_relay.defer(
            1, self.vote_answered, model_relay, answer
        ):
            model_relay.facade.report(VoteAnswered(answer))
            model_relay.schedule()

    # clients
    def schedule_arrival(self) -> None:
        """Schedules the next first try."""
        due = self.day.clients.due
        if due is not None:
            self.call_at(due, self.arrive)

    def arrive(self) -> None:
        self.dispatch(self.day.clients.next())
        self.schedule_arrival()

    def repeat(self, arrival: Arrival) -> None:
        self.pending_repeats -= 1
        self.dispatch(arrival)

    def answered(self, relay: int, arrival: Arrival, answer: str, retry_after: int) -> None:
        """An answer has come to its client."""
        self.open_invocations -= 1
        self.record(InvocationEnded(self.now, relay, arrival.number, answer))
        again = self.day.clients.answered(self.now, arrival, answer, retry_after)
        if again:
            self.pending_repeats += 1
            self.call_at(again.at, self.repeat, again)

    def dispatch(self, arrival: Arrival) -> None:
        """Gives an invocation to its relay, or to the next one that is up and does not drain."""
        count = len(self.relays)
        for step in range(count):
            model_relay = self.relays[(arrival.relay + step) % count]
            if model_relay and not model_relay.is_draining:
                self.open_invocations += 1
                return model_relay.receive(arrival)

    # units
    def reach_unit(self, model_relay: ModelRelay, shot: InFlightShot, unit: Unit) -> None:
        """A shot has reached its unit."""
        if shot.is_over:
            return
        if unit.is_dead:
            return model_relay.shot_ended(shot, "unreachable")
        shot.unit = unit
        arrival = shot.invocation.arrival
        unit.take(self.now, IncomingShot((model_relay, shot), arrival.first, arrival.workload), shot.is_new_connection)
        self.collect(unit)

    def stop_shot(self, shot: InFlightShot) -> None:
        """Stops the work of a shot that the relay no longer waits for."""
        for ref in [ref for ref in shot.unit.jobs if ref[1] is shot]:
            shot.unit.stop(self.now, ref)
        self.collect(shot.unit)

    def collect(self, unit: Unit) -> None:
        """Takes a unit's new outcomes, and sets a timer for when it is due."""
        for (model_relay, shot), work in unit.taken:
            self.record(
                ShotStarted(self.now, model_relay.index, shot.invocation.arrival.number, shot.place, unit.name, work)
            )
        unit.taken.clear()
        if unit.outcomes:
            outcomes, unit.outcomes = unit.outcomes, []
            network, now = self.day.network, self.now
            for (model_relay, shot), outcome in outcomes:
                self.record(
                    ShotAnswered(now, model_relay.index, shot.invocation.arrival.number, shot.place, unit.name, outcome)
                )
                if not shot.is_over and network.reaches(now, model_relay.index, unit.name, unit.zone):
                    self.call_at(
                        now + network.delay(model_relay.index, unit.zone), model_relay.shot_ended, shot, outcome
                    )
        if unit.crashed and unit.name in self.day.fleet.units and not unit.crash_reported:
            unit.crash_reported = True
            self.day.record_crash(self.now, unit)
            self.follow_day()
        due = unit.due
        if due < unit.wake_at:
            unit.wake_at = due
            self.call_at(due, self.wake_unit, unit, due)

    def wake_unit(self, unit: Unit, due: int) -> None:
        if due == unit.wake_at:
            unit.wake_at = NEVER
            unit.wake(self.now)
            self.collect(unit)

    # the day
    def wake_day(self, due: int) -> None:
        if due == self.day_due:
            self.day_due = NEVER
            self.day.wake(self.now)
            self.follow_day()

    def follow_day(self) -> None:
        """Carries out what the day has left to do, and sets a timer for when it is due."""
        day = self.day
        left = day.left()
        for line in left.lines:
            self.record(line)
        for unit in left.changed_units:
            self.collect(unit)
        for version in left.list_versions:
            for relay, lag in enumerate(day.roster.lag):
                self.call_at(self.now + lag, self.send_list, relay, version)
        if day.rollout_changed and self.now >= day.platform.silent_until:
            day.rollout_changed = False
            for relay in range(len(self.relays)):
                self.call_at(self.now + self.platform_delay, self.send_state, relay)
        for order in left.relays:
            self.carry_out(order)
        due = day.due
        if due < self.day_due:
            self.day_due = due
            self.call_at(max(due, self.now + 1), self.wake_day, due)

    def send_list(self, relay: int, version: int) -> None:
        """Sends a relay the changes of the list up to a version."""
        if self.day.roster.is_frozen(self.now, relay) or not self.day.network.reaches_service(self.now, relay, "list"):
            return  # the list is sent once it is no longer stale or cut off
        _, entries = self.day.roster.take_changes(relay, version)
        if entries and self.relays[relay]:
            self.relays[relay].receive_list(entries, "changes")

    def send_state(self, relay: int) -> None:
        """Sends a relay the roll-out state, unless the platform is silent or out of reach."""
        if (
            self.relays[relay]
            and self.now >= self.day.platform.silent_until
            and self.day.network.reaches_service(self.now, relay, "platform")
        ):
            self.relays[relay].receive_state()

    def list_entry(self, entry: Entry) -> UnitEntry:
        """An entry of the list in the facade's form."""
        number = unit_number(entry.name)
        self.unit_names[number] = entry.name
        return UnitEntry(
            number, entry.build, entry.state, self.zones.get(entry.zone, 0), entry.cell, entry.weight, entry.started
        )
