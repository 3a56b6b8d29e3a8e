"""A new process up to discovery's first list: clients are held for a moment, then the old copy serves while it may."""

from collections.abc import Callable
from typing import Any, Protocol

from loguru import logger

from ..choices.old_copy import FIRST_QUESTION_S, OldCopy, UnitIdentity, answer, expiry, group_hashes, is_question
from ..facade import ConfirmedUnits, Facade
from ..parts import RandomGenerator
from ..time_limits import TENTHS_PER_SECOND
from .connections import cancel
from .counters import Counters
from .kernel import set_accepting_paused
from .peers import Peers
from .units import Units


class StartingRelay(Protocol):
    """What this uses of its relay."""

    reactor: Any
    clock: Callable[[], int]  # tenths of a millisecond
    counters: Counters
    facade: Facade
    units: Units
    peers: Peers
    client_listener: Any
    jitter: RandomGenerator


class FirstList:
    """What a relay does until the first list has come, and the answers that it gives others that wait for theirs."""

    def __init__(self, relay: StartingRelay, process_started_at: int) -> None:
        """`process_started_at` is in tenths of a millisecond of the relay's clock."""
        self.relay, self.process_started_at = relay, process_started_at
        self.has_come = False
        self.hold_timer: Any = None  # of a client listener that is held
        self.expiry_timer: Any = None  # of the old copy
        self.question_timer: Any = None
        self.old_copy: OldCopy | None = None
        self.has_expired = False
        self.hashes: tuple[int, ...] | None = None  # of the present list, for answers; None: not known yet

    def start(self, hold_s: float) -> None:
        """Hold clients for `hold_s` seconds at the most, and use the old copy for no longer than it may be."""
        relay, settings = self.relay, self.relay.facade.relay.settings
        self.hold_timer = relay.reactor.callLater(hold_s, self.accept_clients)
        set_accepting_paused(relay.client_listener, True)
        if not settings["drain_grace"]:  # no rule on drains
            return
        expires_in = expiry(self.process_started_at, settings["drain_grace"]) - relay.clock()
        self.expiry_timer = relay.reactor.callLater(max(0, expires_in) / TENTHS_PER_SECOND, self.expire)
        relays = settings["relays"] if settings["may_tell"] else 0
        self.old_copy = OldCopy(self.listed_units(), relay.jitter, settings["index"], relays)
        self.question_timer = relay.reactor.callLater(FIRST_QUESTION_S, self.ask)

    def listed_units(self) -> dict[int, UnitIdentity]:
        """The identities of the units that are listed now."""
        identities = self.relay.units.identities.items()
        return {number: UnitIdentity(build, started) for number, (_, build, started) in identities}

    def is_holding(self) -> bool:
        """Whether clients are held in the kernel."""
        return self.hold_timer is not None

    def accept_clients(self) -> None:
        """Accept clients from now on if they were held in the kernel."""
        if self.hold_timer:
            cancel(self.hold_timer)
            self.hold_timer = None
            set_accepting_paused(self.relay.client_listener, False)

    def list_changed(self) -> None:
        """Discovery has sent a list, or changes of it."""
        self.hashes, self.has_come = None, True
        self.stop()
        self.accept_clients()

    def stop(self) -> None:
        """Ask no more, and let the list be as it is."""
        cancel(self.expiry_timer)
        cancel(self.question_timer)

    def ask(self) -> None:
        """Ask some other relays about the old copy; repeats itself until enough have answered."""
        others = self.old_copy.ask()
        for number in others:
            self.relay.counters.add("list.asked")
            self.relay.peers.send(number, self.old_copy.question)
        if others:
            self.question_timer = self.relay.reactor.callLater(self.old_copy.next_round_s(), self.ask)

    def take_message(self, number: int, data: bytes) -> bool:
        """Handle a relay's message if it is about an old copy; False: it is not."""
        if is_question(data):
            if self.has_come:
                if self.hashes is None:
                    self.hashes = group_hashes(self.listed_units())
                self.relay.peers.send(number, answer(data, self.hashes))
            return True
        if self.old_copy is None or not self.old_copy.receive(data):
            return False
        self.relay.counters.add("list.confirmed")
        if self.has_expired and not self.has_come:
            self.restrict_units()
        return True

    def expire(self) -> None:
        """The old copy counts no longer but for what other relays have confirmed."""
        self.has_expired = True
        self.relay.counters.add("list.expired")
        self.restrict_units()

    def restrict_units(self) -> None:
        """Have the facade send only to confirmed units."""
        confirmed, listed = self.old_copy.confirmed(), len(self.old_copy.numbers)
        logger.warning("no list from discovery since the start: sending to {} of {} units", len(confirmed), listed)
        self.relay.facade.report(ConfirmedUnits(confirmed))
