"""Access to what the kernel holds for a socket and the event loop has not handled yet.

Connections and ports in memory, as tests use them, have no socket; for these the functions find nothing or do nothing.
"""

import select
import socket
from collections.abc import Callable
from typing import Any

from twisted.internet.error import ConnectionDone
from twisted.python.failure import Failure


def has_unread_bytes(transport: Any) -> bool:
    """Whether received bytes wait in the kernel.  An end of the stream that waits does not count."""
    connection = getattr(transport, "socket", None)
    try:
        return bool(connection and connection.recv(1, socket.MSG_PEEK))
    except OSError:  # nothing there, or the connection has ended
        return False


def has_peer_closed(transport: Any) -> bool:
    """Whether the other side has ended its half of a connection, also where bytes before the end are unread."""
    connection = getattr(transport, "socket", None)
    if connection is None or connection.fileno() < 0:
        return False
    poll = select.poll()
    poll.register(connection, select.POLLRDHUP)
    return any(events & select.POLLRDHUP for _, events in poll.poll(0))


def write_now(transport: Any, data: bytes) -> int:
    """Give the kernel this data in this call, and return how many bytes it took.

    By itself the transport writes in the event loop's next turn.  It must hold nothing that is to be written before.
    """
    write = getattr(transport, "writeSomeData", None)
    if write is None:
        transport.write(data)
        return len(data)
    taken = write(data)
    return taken if isinstance(taken, int) else 0  # else the connection is lost, which the event loop will find


def half_close(transport: Any) -> None:
    """End our half of a connection behind what was written, in this call unless the kernel has no room for that.

    The event loop alone would do so in its next turn, tens of milliseconds later when it is busy.  A query that arrives
    in between would cross the end, though `has_unread_bytes` found nothing just before.
    """
    transport.loseWriteConnection()
    write = getattr(transport, "doWrite", None)
    if write:
        write()


def set_accepting_paused(port: Any, paused: bool) -> None:
    """Leave new connections in the kernel's backlog, or accept them again.

    The backlog has room for as many as the port was opened with.  A port that no longer listens is left alone.
    """
    if not getattr(port, "connected", True):
        return
    switch = getattr(port, "stopReading" if paused else "startReading", None)
    if switch:
        switch()


def limit_accepts(port: Any, most: int, room: Callable[[], int]) -> None:
    """Let a listening port accept at most so many connections in one turn of the event loop, and none without room.

    By itself it accepts ever more of them while there are more, and everything else waits; and where the process has no
    descriptor left, it closes what it accepts.  Without room it is paused (`set_accepting_paused` resumes it).
    """
    accept = getattr(port, "doRead", None)
    if accept is None:
        return

    def accept_some() -> None:
        port.numberAccepts = min(most, room())
        if port.numberAccepts > 0:
            accept()
        else:
            set_accepting_paused(port, True)

    port.doRead = accept_some


def accept_pending(port: Any, count: Callable[[], int]) -> None:
    """Accept all connections in a listening port's backlog; `count` is the number accepted since the start."""
    accept = getattr(port, "doRead", None)
    before = None
    while accept and before != (before := count()):
        accept()


def close_listener(port: Any, count: Callable[[], int], room: Callable[[], int]) -> bool:
    """Accept all connections in a listening port's backlog and close the port in the same call.

    Twisted's `stopListening` alone closes it in a later turn of the event loop, which resets what connects in between.
    Returns False, and leaves the port open, if there is no room for connections that may wait in the backlog.  `count`
    as for `accept_pending`; `room` is how many connections may be accepted.
    """
    accept_pending(port, count)
    if not room():
        return False
    if getattr(port, "connected", False):
        port.connectionLost(Failure(ConnectionDone()))
    return True
