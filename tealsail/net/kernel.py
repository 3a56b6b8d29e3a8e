"""What the kernel holds already and the loop has not read: a look at it, and an end in the same call as the look."""

import socket
from collections.abc import Callable
from typing import Any


def unread(transport: Any) -> bool:
    """Whether bytes wait there unread.  An end that waits is none, nor is anything where there is no socket to look
    at."""
    held = getattr(transport, "socket", None)
    try:
        return bool(held and held.recv(1, socket.MSG_PEEK))
    except OSError:  # nothing there, or it has ended
        return False


def end_half(transport: Any) -> None:
    """End our half of a connection behind what was written, in this call unless the kernel has no room for that.

    The loop alone would do so a turn later, tens of ms where it is busy, and what comes meanwhile would cross the end
    though nothing was there at the look just before.
    """
    transport.loseWriteConnection()
    write = getattr(transport, "doWrite", None)  # connections in memory have no kernel behind them
    if write:
        write()


def hold(port: Any, held: bool) -> None:
    """Whether who comes waits in the kernel; there is room for as many as the port was made for."""
    turn = getattr(port, "stopReading" if held else "startReading", None)
    if turn:  # ports in memory have no kernel behind them
        turn()


def take_in(port: Any, count: Callable[[], int]) -> None:
    """Accept all that a listening port holds; `count` tells how many have been accepted so far."""
    accept = getattr(port, "doRead", None)  # ports in memory have no kernel behind them
    before = None
    while accept and before != (before := count()):
        accept()
