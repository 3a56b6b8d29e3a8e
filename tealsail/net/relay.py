"""A relay: connects clients, units, discovery, the platform and other relays to the facade, which decides."""

from collections.abc import Callable
from typing import Any

from loguru import logger
from twisted.internet.defer import Deferred
from twisted.python.failure import Failure

from .. import settings
from ..choices.backoff import DEFAULT_ASK_WITHIN_S, Backoff, agent_backoff, fleet_backoff, initial_request_delay
from ..choices.clock import Clock, StartTimes, discard_evidence
from ..choices.connection_lifetimes import accept_delay
from ..choices.live_settings import LiveSettings, RestartNeeded
from ..choices.memory_budget import (
    BYTES_PER_MB,
    USED_AT_REST,
    ByteBudget,
    MemoryLevel,
    large_share,
    share_out,
)
from ..choices.open_ahead import connections_to_open, opening_delay
from ..choices.query_ends import UNREAD_CHECK_S
from ..choices.rate_limits import RateLimiter, count_message_limits
from ..choices.recent_ids import RecentIds
from ..facade import (
    Facade,
    Outcome,
    PeerMessageReceived,
    RolloutState,
    SendShot,
    UnitEntry,
    Units as Listing,
    VoteAnswered,
)
from ..parts import RandomGenerator, stable_hash
from ..policy import JUDGES
from ..time_limits import TENTHS_PER_SECOND
from .answers import Answer
from .clients import Clients
from .connections import cancel
from .counters import Counters
from .discovery import Discovery, Entry, ListUpdate, unit_number
from .first_list import FirstList
from .invocation import ActiveInvocation
from .kernel import limit_accepts, set_accepting_paused
from .peers import Peers, parse_address
from .platform import Platform, PlatformState
from .process_memory import ProcessMemory
from .relay_configuration import RelayConfiguration
from .shutdown import Shutdown
from .statements import Statement, StatementError
from .tcp_state import seconds_since_received
from .units import Units

LIST_PATH = "/catalog/members"
RESERVED_DESCRIPTORS = 64  # file descriptors for all but clients and units
MIN_DESCRIPTORS = 64  # for clients and units together, however few the relay may use
FACADE_STATES = {"ready": "open"}  # by discovery's name of a unit's state; the others keep their names
MAX_ACCEPTS = 8  # in one turn of the event loop
CLIENT_BACKLOG = 512  # connections that wait in the kernel to be accepted
CLOCK_CHECK_S = 1.0  # between checks for steps of the wall clock
MAX_TICK_WAIT_S = 1.0  # a tick comes at least this often, due or not


class Relay:
    """One relay, from `start` to `stop`.

    Programs that embed it hand in their own reactor, and the operator's document if there is one
    (tealsail/setup/document.py).  `wall` gives Unix time in seconds where the reactor's clock is a steady one; without
    it the reactor's clock is taken for both.  `read_memory` gives the bytes of memory that the process uses, where the
    relay has the process to itself.  `process_started` is when the process began, in seconds of the reactor's clock; by
    default now.  Raises OSError if a record can't be opened.
    """

    def __init__(
        self,
        reactor: Any,
        configuration: RelayConfiguration,
        counters: Counters | None = None,
        document: Any = None,
        wall: Callable[[], float] | None = None,
        read_memory: Callable[[], int] | None = None,
        process_started: float | None = None,
    ) -> None:
        self.reactor, self.configuration, self.counters = reactor, configuration, counters or Counters()
        self.clock, self.tick_at = Clock(reactor.seconds, wall or reactor.seconds, self.on_gap), 0
        process_age = 0.0 if process_started is None else max(0.0, reactor.seconds() - process_started)
        self.first_list = FirstList(self, self.clock() - int(process_age * TENTHS_PER_SECOND))
        self.start_times = StartTimes(self.clock)
        relay_settings = configuration.relay_settings
        self.facade = Facade(
            relay_settings, configuration.seed, self.clock, document.extra_stages(relay_settings) if document else ()
        )
        self.live_settings = LiveSettings(self.facade.relay, relay_settings)
        # To clients, and as many to units.
        max_connections = max(MIN_DESCRIPTORS, configuration.sockets - RESERVED_DESCRIPTORS) // 2
        self.memory_shares = share_out(
            int(configuration.memory_mb * BYTES_PER_MB), read_memory() if read_memory else USED_AT_REST
        )
        self.requests = ByteBudget(self.memory_shares.requests)
        self.answers = ByteBudget(self.memory_shares.answers)
        self.units = Units(
            reactor,
            self.counters,
            relay_settings.get("connect_wait", TENTHS_PER_SECOND) / TENTHS_PER_SECOND,
            relay_settings.get("idle_time", 30 * TENTHS_PER_SECOND) / TENTHS_PER_SECOND,
            max_connections,
            self.answers,
        )
        self.clients = Clients(
            reactor,
            self.take,
            self.clock,
            self.counters,
            max_connections,
            self.requests,
            self.answers,
            self.arrival,
        )
        jitter = RandomGenerator(stable_hash(configuration.seed, relay_settings.get("index", 0)))
        # The number of relays, and the seconds within which each asks for the list.
        self.fleet_pacing = (
            relay_settings.get("relays", 1),
            relay_settings.get("ask_within", DEFAULT_ASK_WITHIN_S * TENTHS_PER_SECOND) / TENTHS_PER_SECOND,
        )
        self.jitter = jitter  # spreads what all relays do at once; not the decision module's own generator
        is_pushed = relay_settings.get("list_mode") != "on_request"
        self.discovery = Discovery(
            reactor,
            configuration.discovery,
            LIST_PATH,
            self.counters,
            self.listed,
            agent_backoff(jitter, is_pushed, self.facade.relay.settings["drain_grace"] / TENTHS_PER_SECOND),
            fleet_backoff(jitter, *self.fleet_pacing),
            self.memory_shares.list_bytes,
        )
        self.platform = Platform(
            reactor,
            configuration.platform,
            relay_settings.get("vote_wait", TENTHS_PER_SECOND) / TENTHS_PER_SECOND,
            self.counters,
            self.on_rollout_state,
            self.on_vote_answer,
            Backoff(jitter),
        )
        self.peers = Peers(
            configuration.peers,
            configuration.broadcast,
            self.counters,
            self.on_peer_message,
            RateLimiter(count_message_limits(len(self.facade.relay.judge.pooled.sums))),
            self.clock,
        )
        self.load_fields = relay_settings.get("load_fields", [])
        self.zone_indexes = {name: index for index, name in enumerate(relay_settings.get("zones", []))}
        self.serving: dict[int, ActiveInvocation] = {}  # by the invocation's number
        self.open_ids: set[bytes] = set()  # the clients' ids of the invocations in `serving`
        self.recent_ids = RecentIds(len(self.facade.workloads))
        self.client_listener: Any = None
        self.peer_listener: Any = None
        self.timer: Any = None  # of the next tick
        self.open_ahead_timer: Any = None  # of the opening of connections to units on trial
        self.news_read_until = 0.0  # seconds of the reactor's clock; until then all news counts as read
        self.duties: tuple[int, ...] = ()  # the indexes of the load tracker and the judges, as last logged
        self.clock_check_timer: Any = None
        self.memory = (
            ProcessMemory(reactor, self.memory_shares, read_memory, self.counters, self.on_memory_level)
            if read_memory
            else None
        )
        self.shutdown: Shutdown | None = None  # once a stop is requested
        self.record: Any = None  # a tealsail.net.recording.Record if the operator's document asks for one
        if document and document.recording:
            from .recording import Record

            self.record = Record(self, document.recording)

    def start(self) -> None:
        """Listen, and serve with the rollout state and list of the configuration; raises CannotListenError."""
        if self.configuration.state:
            self.on_rollout_state(self.configuration.state)
        self.listed(self.configuration.known, "old copy")
        if self.configuration.peer_listen:
            host, port = parse_address(self.configuration.peer_listen)
            self.peer_listener = self.reactor.listenUDP(port, self.peers, host, maxPacketSize=2048)
        host, port = parse_address(self.configuration.listen)
        self.client_listener = self.reactor.listenTCP(port, self.clients, CLIENT_BACKLOG, host)
        limit_accepts(self.client_listener, MAX_ACCEPTS, self.clients.room)
        self.clients.on_room = self.resume_accepting
        self.start_discovery()
        if self.configuration.platform:
            self.platform.start()
        logger.info(
            "serving name={} listen={} units={}",
            self.configuration.name,
            self.configuration.listen,
            len(self.configuration.known.entries),
        )
        self.clock_check_timer = self.reactor.callLater(CLOCK_CHECK_S, self.check_clocks)
        if self.memory:
            self.memory.check()
        self.schedule_tick()

    def start_discovery(self) -> None:
        """Ask for the list at once, or after a delay that spreads the requests of a fleet that starts together.

        Clients that connect before the list has come may have to wait in the kernel's backlog, see `accept_delay`.
        """
        known = self.configuration.known
        delay = initial_request_delay(
            self.jitter,
            *self.fleet_pacing,
            self.configuration.relay_settings.get("list_mode") == "on_request",
            bool(known.entries),
        )
        hold_s = accept_delay(delay)
        if hold_s is not None:
            self.first_list.start(hold_s)
        if delay is None:
            self.discovery.start()
        else:
            self.discovery.start_later(known.version, delay)

    def accept_clients(self) -> None:
        """Accept clients from now on if they were held in the kernel."""
        self.first_list.accept_clients()

    def resume_accepting(self) -> None:
        """There is room for a client; but clients may be held for the list."""
        if not self.first_list.is_holding():
            set_accepting_paused(self.client_listener, False)

    def check_clocks(self) -> None:
        """Count and log a step of the wall clock, which moves no timer; call again after CLOCK_CHECK_S."""
        step = self.clock.measure_step()
        if step:
            self.counters.add("clock.steps")
            logger.warning("clock: the wall clock stepped by {:+.3f} s; timers and deadlines are not affected", step)
        self.log_duties()
        self.clock_check_timer = self.reactor.callLater(CLOCK_CHECK_S, self.check_clocks)

    def on_memory_level(self, level: MemoryLevel) -> None:
        """Memory has become short, or is short no longer."""
        self.clients.large_share = large_share(level)

    def log_duties(self) -> None:
        """Log which relays act for the fleet, as far as this one knows, if that has changed."""
        relay = self.facade.relay
        duties = relay.load_tracking.tracker_index(), *relay.judge.order[:JUDGES]
        if duties != self.duties:
            self.duties = duties
            logger.info("duties keeper={} judges={}", duties[0], ",".join(str(each) for each in duties[1:]))

    def on_gap(self, gap: float) -> None:
        """The process did not run for `gap` seconds: discard evidence from before, then refresh connections and
        state."""
        self.counters.add("clock.gaps")
        logger.warning(
            "clock: the process did not run for {:.1f} s; asking discovery and the platform for their state again", gap
        )
        discard_evidence(self.facade.relay, self.clock.last)
        self.reactor.callLater(0, self.refresh)

    def refresh(self) -> None:
        """Drop idle connections to units, and ask for the whole list and the rollout state on new connections."""
        if not self.shutdown:
            self.units.close_idle()
            self.discovery.reconnect()
            if self.configuration.platform:
                self.platform.reconnect()

    def reconfigure(self, configuration: RelayConfiguration) -> None:
        """Take new settings and new addresses of discovery and the platform.

        Settings that need a restart are refused, and the addresses still count.  Raises ValueError if the
        configuration is another relay's, fleet's or customer's, and passes on what the decision module raises for
        settings that it can't be built with; nothing changes then.
        """
        if configuration.identity != self.configuration.identity:
            raise ValueError(f"belongs to another relay: {' '.join(configuration.identity)}")
        try:
            settings_now = ",".join(self.live_settings.change(configuration.relay_settings)) or "as before"
            self.load_fields = configuration.relay_settings.get("load_fields", [])
            self.platform.vote_wait = (
                configuration.relay_settings.get("vote_wait", TENTHS_PER_SECOND) / TENTHS_PER_SECOND
            )
            self.counters.add("configuration.taken")
        except RestartNeeded as needs:  # the addresses still count, since those of before stop answering
            if needs.is_foreign:
                raise
            settings_now = f"kept ({needs})"
            self.counters.add("configuration.kept")
        self.schedule_tick()
        self.discovery.move(configuration.discovery)
        if configuration.platform:
            self.platform.move(configuration.platform)
        logger.info(
            "configuration discovery={} platform={} settings={}",
            self.discovery.address,
            self.platform.address,
            settings_now,
        )

    def take(self, statement: Statement, at: int, has_client_closed: Callable[[], bool]) -> Deferred[Answer]:
        """Begin an invocation that came at `at`, in tenths of a millisecond by the relay's clock.

        The caller cancels the Deferred if the client leaves; `has_client_closed` says whether it has, as far as the
        kernel knows.  Raises StatementError.
        """
        if statement.workload not in self.facade.workloads:
            raise StatementError("no such workload")
        if statement.id in self.open_ids:  # units tell invocations apart by it
            raise StatementError("the id of an open invocation")
        if statement.id in self.recent_ids:
            raise StatementError("the id of an earlier invocation")
        answer = ActiveInvocation(self, statement, at, has_client_closed).answer
        self.schedule_tick()
        return answer

    def arrival(self, transport: Any) -> int:
        """When the data that a transport delivers now came to this machine, by the relay's clock: it may have waited
        while the process stood still."""
        now = self.clock()
        age = seconds_since_received(transport) if self.clock.may_have_waited() else None
        return now if age is None else self.clock.arrival(age)

    def has_unread_news(self) -> bool:
        """Whether the kernel holds news of discovery or the platform, which count as known once they have arrived."""
        now = self.reactor.seconds()
        if now < self.news_read_until:
            return False
        if self.discovery.has_unread_data() or self.platform.has_unread_data():
            return True
        self.news_read_until = now + UNREAD_CHECK_S
        return False

    def deadline(self, statement: Statement, at: int) -> int:
        """When the client of a query that came at `at` has to have its answer, in tenths of a ms of the relay's clock.

        A relay that was told to stop may be killed before its client stops waiting.
        """
        deadline = at + settings.tenths(statement.wait)
        return min(deadline, self.shutdown.answer_deadline) if self.shutdown else deadline

    def client_deadlines(self) -> list[int]:
        """How long the clients of each workload wait at the most, in tenths of a millisecond."""
        return [each.get("abandon", 0) for each in self.live_settings.relay_settings["workloads"]]

    def listed(self, update: ListUpdate, kind: str = "") -> None:
        """Take a list of units or its changes; `kind` is that of facade.Units, by default as `update` says."""
        kind = kind or ("whole" if update.whole else "changes")
        self.counters.add(f"discovery.list.{kind.replace(' ', '_')}")
        entries = [entry for entry in update.entries if entry.address or entry.state != "ready"]
        for entry in entries:
            if entry.state == "ready":
                self.units.listed(unit_number(entry.id), entry.address, entry.build, entry.started_ms)
            else:
                self.units.unlisted(unit_number(entry.id))
        if kind != "changes":
            numbers = {unit_number(entry.id) for entry in entries}
            self.start_times.retain(numbers)
            for number in self.units.numbers():
                if number not in numbers:
                    self.units.unlisted(number)
        if self.record:
            self.record.units_listed(entries)
        self.facade.report(Listing(kind, [self.listed_unit(entry) for entry in entries]))
        if kind != "old copy":
            self.first_list.list_changed()
        self.schedule_open_ahead()
        self.schedule_tick()

    def schedule_open_ahead(self) -> None:
        """Open connections to units on trial soon, if there may be new ones among them."""
        if self.open_ahead_timer is None and not self.shutdown and self.facade.relay.trial_units():
            delay = opening_delay(self.jitter, self.fleet_pacing[0])
            self.open_ahead_timer = self.reactor.callLater(delay, self.open_ahead)

    def open_ahead(self) -> None:
        """Open connections to units on trial before a shot needs them."""
        self.open_ahead_timer = None
        if not self.shutdown:
            units = self.facade.relay.trial_units()
            self.units.open_ahead(connections_to_open(units, self.fleet_pacing[0], self.units.max_connections))

    def listed_unit(self, entry: Entry) -> UnitEntry:
        """The entry as the facade takes it."""
        number = unit_number(entry.id)
        return UnitEntry(
            number,
            entry.build,
            FACADE_STATES.get(entry.state, entry.state),
            self.zone_indexes.get(entry.zone, 0),
            entry.cell,
            entry.weight,
            self.start_times.start_time(number, settings.tenths(entry.started_ms)),
        )

    def on_rollout_state(self, state: PlatformState) -> None:
        if self.record:
            self.record.rollout_changed(state)
        self.facade.report(RolloutState(state.build, state.stage, state.phase, state.cap, settings.tenths(state.age)))
        self.schedule_open_ahead()
        self.schedule_tick()

    def on_vote_answer(self, answer: str) -> None:
        self.facade.report(VoteAnswered(answer))
        self.schedule_tick()

    def on_peer_message(self, number: int, data: bytes) -> None:
        """`number`: the index of the relay that sent it."""
        if not self.first_list.take_message(number, data):
            self.facade.report(PeerMessageReceived(number, data))
        self.schedule_tick()

    def schedule_tick(self) -> None:
        """Set the timer of the next tick for when the facade is due."""
        due, active = self.facade.due, self.timer is not None and self.timer.active()
        if active and due >= self.tick_at:
            return  # a tick too early does no harm
        if active:
            self.timer.cancel()
        self.tick_at = due
        self.timer = self.reactor.callLater(
            min(max(0, due - self.clock()) / TENTHS_PER_SECOND, MAX_TICK_WAIT_S), self.on_tick
        )

    def on_tick(self) -> None:
        """Carry out what the facade wants by itself."""
        actions = self.facade.tick()
        self.live_settings.end_transition()
        for line in actions.lines:
            logger.info("module: {}", line)
        for number, step in actions.steps:
            if number in self.serving:
                self.serving[number].execute_safely(step)
            elif isinstance(step, SendShot):  # its client has left meanwhile
                self.facade.report(Outcome(number, step.shot_number, "moot"))
        for number, data in actions.messages:
            self.peers.send(number, data)
        for vote in actions.votes:
            logger.info("vote build={} stage={} verdict={}", *vote)
            self.platform.vote(*vote)
        for number, shot_number in actions.cancellations:
            if number in self.serving:
                self.serving[number].cancel_shot(shot_number)
        self.schedule_tick()

    def log_fault(self, reason: Failure) -> None:
        """Count and log an exception in the network code of one invocation; the process goes on."""
        self.counters.add("faults")
        logger.error("fault: {}", reason.getTraceback())

    def collect_choice_counts(self) -> None:
        """Copy the counts of the stages that the operator's document adds (tealsail/choices/) into the counters."""
        for stage in self.facade.relay.extra_stages:
            for name, count in stage.counts.items():
                self.counters.counts[f"zones.{name}"] = count

    def stop(self) -> Deferred[None]:
        """Serve as before for a moment, then drain; the Deferred fires when all is answered and closed."""
        if not self.shutdown:
            self.shutdown = Shutdown(self)
        return self.shutdown.done

    def close(self) -> None:
        """Close all that is open, once no client is left."""
        self.client_listener.stopListening()
        if self.peer_listener:
            self.peer_listener.stopListening()
        self.discovery.stop()
        self.platform.stop()
        self.clock_check_timer.cancel()
        cancel(self.open_ahead_timer)
        self.first_list.stop()
        if self.memory:
            self.memory.stop()
        if self.record:
            self.record.close()
        self.collect_choice_counts()
        logger.info("counters {}", self.counters.show())
