"""The relay that wires clients, units, discovery, the platform and peers to the facade."""

from collections.abc import Callable
from typing import Any

from loguru import logger
from twisted.internet.defer import Deferred
from twisted.python.failure import Failure

from .. import settings
from ..choices.clock import Clock, Stamps, disregard
from ..choices.endings import LastLooks, door_held
from ..choices.flood import Flood, limits
from ..choices.pauses import WITHIN, Pauses, by_fleet, first_question
from ..choices.switch import Fixed, Switch
from ..facade import (
    Counted,
    Departed,
    Facade,
    Forfeit,
    Heard,
    Listed,
    Outcome,
    Reject,
    Shoot,
    Standing,
    Step,
    Units as Listing,
)
from ..parts import Chance, mix
from ..policy import JUDGES
from .clients import Answer, Clients, Forfeited, Rejected
from .counters import Counters
from .discovery import Discovery, Entry, News, number_of
from .kept import cancel
from .kernel import hold, take_in
from .peers import Peers, pair
from .platform import Platform, State
from .relay_configuration import Assignment
from .statements import Statement, Unclear, onward
from .units import Came, Shot, Units

PATH = "/catalog/members"
SPARE, FEWEST = 64, 64  # descriptors for all but clients and units; at least
OPEN = {"ready": "open"}  # other states keep their names
LINGER, LAST = 0.5, 0.05  # seconds after SIGTERM: clients still come; looks at the end
TENTHS = 10_000  # in a second
LOOK = 1.0  # seconds between looks at the clocks


class Serving:
    """One invocation on its way: a shot as the facade says, its outcome back, until there is an answer."""

    def __init__(self, relay: "Relay", statement: Statement, at: int) -> None:
        self.relay, self.statement = relay, statement
        self.answer: Deferred[Answer] = Deferred(self.left)
        self.over = False
        self.shots: dict[int, Shot] = {}  # those that are out
        self.number, step = relay.facade.pick(
            statement.workload,
            statement.customer,
            statement.key,
            at + settings.tenths(statement.wait),
            repeat=statement.repeat,
        )
        relay.serving[self.number] = self
        relay.ids.add(statement.id)
        if relay.record:
            relay.record.taken(self.number, statement, at)
        self.go_on(step)

    def go_on(self, step: Step) -> None:
        """As `follow`; a fault of ours costs this invocation alone."""
        try:
            self.follow(step)
        except Exception:
            self.relay.fault(Failure())
            self.end(Forfeited())
            self.forget()

    def follow(self, step: Step) -> None:
        match step:
            case Shoot(_, place, _) if self.over:
                self.relay.facade.report(Outcome(self.number, place, "moot"))
            case Shoot(unit, place, wait):
                self.shoot(unit, place, wait)
            case Reject(come_back):
                self.end(Rejected(come_back))
            case Forfeit():
                self.end(Forfeited())
        self.forget()

    def shoot(self, unit: int, place: int, wait: int) -> None:
        relay, until = self.relay, self.relay.clock() + wait
        relay.counters.add("units.shots")
        shot = relay.units.shoot(
            unit,
            lambda: onward(self.statement, max(1, -(-(until - relay.clock()) // 10))),
            wait / TENTHS,
            lambda: relay.facade.stands(self.number, place),
        )
        if shot is None:
            self.came(Came("moot"), place)
            return
        self.shots[place] = shot
        if relay.record:
            relay.record.shot(self.number, place, unit, wait)
        shot.done.addCallback(self.came, place)
        shot.done.addErrback(relay.fault)

    def came(self, came: Came, place: int) -> None:
        self.shots.pop(place, None)
        self.relay.counters.add(f"units.{came.outcome}")
        fields = self.relay.load_fields
        load = {name: figure for name, figure in (came.load or {}).items() if name in fields}
        if self.relay.record:
            self.relay.record.came(self.number, place, came.outcome)
        step = self.relay.facade.report(Outcome(self.number, place, came.outcome, load or None))
        if came.outcome == "served" and came.value:
            self.end(came.value)
        self.follow(step)
        self.relay.schedule()

    def end(self, answer: Answer) -> None:
        if not self.over:
            self.over = True
            if self.relay.record:
                self.relay.record.ended(self.number, answer)
            self.answer.callback(answer)

    def call_off(self, place: int) -> None:
        if place in self.shots:
            self.shots[place].stop("cancelled")

    def left(self, answer: Deferred) -> None:
        """The client has gone."""
        self.over = True
        if self.relay.record:
            self.relay.record.ended(self.number, None)
        self.relay.facade.report(Departed(self.number))
        self.relay.ticked()
        self.forget()

    def forget(self) -> None:
        if self.over and not self.shots:
            self.relay.serving.pop(self.number, None)
            self.relay.ids.discard(self.statement.id)


class Relay:
    """One relay, from `start` to `stop`; embedders hand in their own reactor, and the operator's document if they
    have one (tealsail/setup/document.py).  `wall` is Unix time in seconds where the reactor's clock is a steady one;
    without it the reactor's is taken for both.  Raises OSError if a record can't be opened."""

    def __init__(
        self,
        reactor: Any,
        told: Assignment,
        counters: Counters | None = None,
        document: Any = None,
        wall: Callable[[], float] | None = None,
    ) -> None:
        self.reactor, self.told, self.counters = reactor, told, counters or Counters()
        self.clock, self.due = Clock(reactor.seconds, wall or reactor.seconds, self.woke), 0
        self.stamps = Stamps(self.clock)
        facts = told.facts
        self.facade = Facade(facts, told.seed, self.clock, document.seats(facts) if document else ())
        self.switch = Switch(self.facade.relay, facts)
        room = max(FEWEST, told.sockets - SPARE) // 2
        self.units = Units(
            reactor,
            self.counters,
            facts.get("connect_wait", TENTHS) / TENTHS,
            facts.get("idle_time", 30 * TENTHS) / TENTHS,
            room,
        )
        self.clients = Clients(reactor, self.take, self.clock, self.counters, room)
        chance = Chance(mix(told.seed, facts.get("index", 0)))
        self.fleet = facts.get("relays", 1), facts.get("ask_within", WITHIN * TENTHS) / TENTHS
        self.chance = chance  # of what all relays do: apart from the module's
        self.discovery = Discovery(
            reactor, told.discovery, PATH, self.counters, self.listed, Pauses(chance), by_fleet(chance, *self.fleet)
        )
        self.platform = Platform(
            reactor,
            told.platform,
            facts.get("vote_wait", TENTHS) / TENTHS,
            self.counters,
            self.stood,
            self.counted,
            Pauses(chance),
        )
        self.peers = Peers(
            told.peers,
            told.everyone,
            self.counters,
            self.heard,
            Flood(limits(len(self.facade.relay.judge.pooled.sums))),
            self.clock,
        )
        self.load_fields = facts.get("load_fields", [])
        self.zones = {name: place for place, name in enumerate(facts.get("zones", []))}
        self.serving: dict[int, Serving] = {}
        self.ids: set[bytes] = set()  # of those that are being served
        self.door: Any = None  # where clients come in
        self.holding: Any = None  # the timer of a door that is held until the list has come
        self.post: Any = None  # where notes come in
        self.last_looks: LastLooks | None = None  # at who is left, once it ends
        self.timer: Any = None
        self.duties: tuple[int, ...] = ()  # the keeper and the judges, as last logged
        self.looking: Any = None  # the timer of the next look at the clocks
        self.stopped: Deferred[None] | None = None
        self.record: Any = None  # a tealsail.net.recording.Record, where the operator has one kept
        if document and document.recording:
            from .recording import Record

            self.record = Record(self, document.recording)

    def start(self) -> None:
        """Serve from what is known already; raises CannotListenError."""
        if self.told.state:
            self.stood(self.told.state)
        self.listed(self.told.known, "old copy")
        if self.told.peer_listen:
            host, port = pair(self.told.peer_listen)
            self.post = self.reactor.listenUDP(port, self.peers, host, maxPacketSize=2048)
        host, port = pair(self.told.listen)
        self.door = self.reactor.listenTCP(port, self.clients, 512, host)
        self.watch()
        if self.told.platform:
            self.platform.start()
        logger.info(
            "serving name={} listen={} units={}", self.told.name, self.told.listen, len(self.told.known.entries)
        )
        self.looking = self.reactor.callLater(LOOK, self.look)
        self.schedule()

    def watch(self) -> None:
        known = self.told.known
        wait = first_question(
            self.chance, *self.fleet, self.told.facts.get("list_mode") == "on_request", bool(known.entries)
        )
        held = door_held(wait)
        if held is not None:
            self.holding = self.reactor.callLater(held, self.open)
            hold(self.door, True)
        if wait is None:
            self.discovery.start()
        else:
            self.discovery.begin(known.version, wait)

    def open(self) -> None:
        """Clients may come in."""
        if self.holding:
            cancel(self.holding)
            self.holding = None
            hold(self.door, False)

    def look(self) -> None:
        """Steps of the wall clock are told and move nothing."""
        step = self.clock.look()
        if step:
            self.counters.add("clock.steps")
            logger.warning("clock: the wall clock stepped by {:+.3f} s; timers and deadlines go on evenly", step)
        self.say_duties()
        self.looking = self.reactor.callLater(LOOK, self.look)

    def say_duties(self) -> None:
        """Who acts for the fleet as far as this relay knows, whenever that has changed."""
        relay = self.facade.relay
        duties = relay.guide.keeper(), *relay.judge.order[:JUDGES]
        if duties != self.duties:
            self.duties = duties
            logger.info("duties keeper={} judges={}", duties[0], ",".join(str(each) for each in duties[1:]))

    def woke(self, gap: float) -> None:
        """After a time in which nothing ran nothing older is trusted: evidence at once, then what others keep."""
        self.counters.add("clock.gaps")
        logger.warning("clock: nothing ran for {:.1f} s; list and platform are asked anew", gap)
        disregard(self.facade.relay, self.clock.last)
        self.reactor.callLater(0, self.anew)

    def anew(self) -> None:
        if not self.stopped:
            self.units.forget_idle()
            self.discovery.anew()
            if self.told.platform:
                self.platform.anew()

    def assign(self, told: Assignment) -> None:
        """A new configuration: the settings, discovery and the platform.  Raises ValueError, and then changes
        nothing."""
        if told.own != self.told.own:
            raise ValueError(f"of another relay: {' '.join(told.own)}")
        try:
            settings_now = ",".join(self.switch.change(told.facts)) or "as before"
            self.load_fields = told.facts.get("load_fields", [])
            self.platform.vote_wait = told.facts.get("vote_wait", TENTHS) / TENTHS
            self.counters.add("configuration.taken")
        except Fixed as needs:  # the addresses still count: those of before fall silent
            if needs.foreign:
                raise
            settings_now = f"kept ({needs})"
            self.counters.add("configuration.kept")
        self.schedule()
        self.discovery.move(told.discovery)
        if told.platform:
            self.platform.move(told.platform)
        logger.info(
            "configuration discovery={} platform={} settings={}",
            self.discovery.address,
            self.platform.address,
            settings_now,
        )

    def take(self, statement: Statement, at: int) -> Deferred[Answer]:
        if statement.workload not in self.facade.workloads:
            raise Unclear("no such workload")
        if statement.id in self.ids:  # else units could not tell the two apart
            raise Unclear("the id of an open invocation")
        answer = Serving(self, statement, at).answer
        self.schedule()
        return answer

    def listed(self, news: News, kind: str = "") -> None:
        kind = kind or ("whole" if news.whole else "changes")
        self.counters.add(f"discovery.list.{kind.replace(' ', '_')}")
        entries = [entry for entry in news.entries if entry.address or entry.state != "ready"]
        for entry in entries:
            if entry.state == "ready":
                self.units.listed(number_of(entry.id), entry.address, entry.build, entry.started)
            else:
                self.units.unlisted(number_of(entry.id))
        if kind != "changes":
            here = {number_of(entry.id) for entry in entries}
            self.stamps.keep(here)
            for number in self.units.numbers():
                if number not in here:
                    self.units.unlisted(number)
        if self.record:
            self.record.listed(entries)
        self.facade.report(Listing(kind, [self.entry(entry) for entry in entries]))
        if kind != "old copy":
            self.open()
        self.schedule()

    def entry(self, entry: Entry) -> Listed:
        number = number_of(entry.id)
        return Listed(
            number,
            entry.build,
            OPEN.get(entry.state, entry.state),
            self.zones.get(entry.zone, 0),
            entry.cell,
            entry.weight,
            self.stamps.of(number, settings.tenths(entry.started)),
        )

    def stood(self, state: State) -> None:
        if self.record:
            self.record.stood(state)
        self.facade.report(Standing(state.build, state.stage, state.phase, state.cap, settings.tenths(state.age)))
        self.schedule()

    def counted(self, answer: str) -> None:
        self.facade.report(Counted(answer))
        self.schedule()

    def heard(self, number: int, data: bytes) -> None:
        self.facade.report(Heard(number, data))
        self.schedule()

    def schedule(self) -> None:
        """The next tick, when the facade is due."""
        due, active = self.facade.due, self.timer is not None and self.timer.active()
        if active and due >= self.due:
            return  # a tick too early does no harm
        if active:
            self.timer.cancel()
        self.due = due
        self.timer = self.reactor.callLater(min(max(0, due - self.clock()) / TENTHS, 1.0), self.ticked)

    def ticked(self) -> None:
        wants = self.facade.tick()
        self.switch.settle()
        for line in wants.lines:
            logger.info("module: {}", line)
        for number, step in wants.steps:
            if number in self.serving:
                self.serving[number].go_on(step)
            elif isinstance(step, Shoot):  # its client left meanwhile
                self.facade.report(Outcome(number, step.place, "moot"))
        for number, data in wants.notes:
            self.peers.tell(number, data)
        for vote in wants.votes:
            logger.info("vote build={} stage={} verdict={}", *vote)
            self.platform.vote(*vote)
        for number, place in wants.calls_off:
            if number in self.serving:
                self.serving[number].call_off(place)
        self.schedule()

    def fault(self, reason: Failure) -> None:
        """Network code went wrong with one invocation; the process goes on."""
        self.counters.add("faults")
        logger.error("fault: {}", reason.getTraceback())

    def count_seats(self) -> None:
        """What the seats of other choices counted, among the counters."""
        for seat in self.facade.relay.seats:
            for name, count in seat.counts.items():
                self.counters.counts[f"zones.{name}"] = count

    def stop(self) -> Deferred[None]:
        """Clients still come for a moment; then no new ones, and the end once all is answered."""
        if not self.stopped:
            logger.info("stopping: {} invocations at hand", len(self.serving))
            self.stopped = Deferred()
            self.reactor.callLater(LINGER, self.leave)
        return self.stopped

    def leave(self) -> None:
        """Idle connections end.  The door stays open until nobody is left, for those whose query crosses such an end
        and who come again; nobody else does.  Notes still come, since those who are served may need another relay's
        word."""
        self.open()
        self.clients.stop_sweeping()
        deadlines = [each.get("abandon", 0) for each in self.switch.facts["workloads"]]
        self.last_looks = LastLooks(self.clock(), deadlines)
        self.finish()

    def finish(self) -> None:
        """A look at who is left, again and again until it is the last: what the kernel has let in is ours."""
        now = self.clock()
        late = self.last_looks.late(now)
        if not late:
            take_in(self.door, lambda: self.counters.counts["clients.connections"])
        self.clients.close()
        over = self.last_looks.over(now, len(self.clients.connections))
        if late:  # who does not read its answer, or comes again and again, would keep this
            self.clients.cut()  # relay for ever
        if not over:
            self.reactor.callLater(LAST, self.finish)
            return
        self.door.stopListening()
        if self.post:
            self.post.stopListening()
        self.discovery.stop()
        self.platform.stop()
        self.looking.cancel()
        if self.record:
            self.record.close()
        self.count_seats()
        logger.info("counters {}", self.counters.show())
        self.stopped.callback(None)
