"""What the kernel knows of a connection: what of the written bytes has arrived, what there is room for, and when data
came.

Connections in memory, as tests use them, have no socket; of these nothing is known.
"""

import fcntl
import socket
import struct
import termios
from typing import Any, NamedTuple

# Linux's struct tcp_info (linux/tcp.h) up to the peer's window, and where its fields are.
TCP_INFO_BYTES = 232
STATE_AT = 0
RETRANSMITS_AT = 2  # of the oldest byte that is not acknowledged
SINCE_SENT_AT = 44  # milliseconds, by the kernel's clock
SINCE_RECEIVED_AT = 52  # the same for data that came
PEER_WINDOW_AT = 228
UINT32 = struct.Struct("I")
INT = struct.Struct("i")
ESTABLISHED = 1  # a connection of which no side has ended its half


class SendState(NamedTuple):
    """The sending side of a connection."""

    is_established: bool  # no side has ended its half
    is_resending: bool  # a byte was lost on its way, and is sent again
    since_sent_s: float  # seconds by the kernel's clock since it has last sent something
    unacknowledged: int  # bytes that were written and that the other side's machine has not acknowledged
    window: int  # bytes beyond the acknowledged ones that the other side's machine takes in

    def room(self) -> int:
        """How many more bytes the other side's machine takes in at once.

        There is none while an earlier byte is lost on its way, nor once a side has ended its half.
        """
        if not self.is_established or self.is_resending:
            return 0
        return max(0, self.window - self.unacknowledged)


def read_tcp_info(transport: Any) -> bytes | None:
    """The kernel's tcp_info of a transport's connection; None where the kernel does not tell it."""
    connection = getattr(transport, "socket", None)
    if connection is None:
        return None
    try:
        info = connection.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, TCP_INFO_BYTES)
    except OSError:
        return None
    return info if len(info) == TCP_INFO_BYTES and info[STATE_AT] else None


def seconds_since_received(transport: Any) -> float | None:
    """How long ago the last data came, by the kernel's clock; None where it does not tell."""
    info = read_tcp_info(transport)
    return None if info is None else UINT32.unpack_from(info, SINCE_RECEIVED_AT)[0] / 1000


def read_send_state(transport: Any) -> SendState | None:
    """The sending side of a transport's connection; None where the kernel does not tell it."""
    info = read_tcp_info(transport)
    if info is None:
        return None
    try:
        (unacknowledged,) = INT.unpack(fcntl.ioctl(transport.socket.fileno(), termios.TIOCOUTQ, bytes(INT.size)))
    except (OSError, ValueError):  # ValueError: the socket is closed
        return None
    return SendState(
        info[STATE_AT] == ESTABLISHED,
        bool(info[RETRANSMITS_AT]),
        UINT32.unpack_from(info, SINCE_SENT_AT)[0] / 1000,
        unacknowledged,
        UINT32.unpack_from(info, PEER_WINDOW_AT)[0],
    )
