"""Queries the kernel for the state of a socket that the event loop may not have handled yet."""

import asyncio
import fcntl
import select
import struct
from dataclasses import dataclass

FIONREAD = 0x541B  # ioctl: number of bytes that wait to be read
SIOCOUTQ = 0x5411  # ioctl: number of bytes in the send queue that the peer has not acknowledged
POLL_ATTEMPTS = 3  # the system may have no memory for a moment


@dataclass(frozen=True)
class SocketState:
    """The read side of a socket.

    unread: bytes or an end of stream wait to be read.

    ended: the peer has closed or shut down its side, or has reset the connection.
    """

    unread: bool
    ended: bool


UNKNOWN_STATE = SocketState(unread=True, ended=False)  # lets no connection be closed and no request given up


def poll_flags(descriptor: int) -> int | None:
    """Return what poll(2) reports for a descriptor now, or None where the system has no memory for it."""
    poll = select.poll()
    poll.register(descriptor, select.POLLIN | select.POLLRDHUP)
    for _ in range(POLL_ATTEMPTS):
        try:
            ready = poll.poll(0)
        except OSError:
            continue
        return ready[0][1] if ready else 0
    return None


def read_socket_state(transport: asyncio.Transport | None) -> SocketState:
    """Return the state of a transport's socket without waiting; a transport that is closing has ended.

    An event loop that is behind, or that reads a long backlog in parts, comes to an end of stream or to a
    request several iterations after it has arrived, so what the loop knows may be out of date. The cost is
    one system call.
    """
    if transport is None or transport.is_closing():
        return SocketState(unread=True, ended=True)
    flags = poll_flags(transport.get_extra_info("socket").fileno())
    if flags is None:
        return UNKNOWN_STATE
    ended = bool(flags & (select.POLLRDHUP | select.POLLHUP | select.POLLERR))
    return SocketState(unread=bool(flags), ended=ended)


def unread_bytes(transport: asyncio.Transport | None) -> int | None:
    """Return how many bytes wait to be read, or None where this is not known. Costs one system call."""
    return query_socket(transport, FIONREAD)


def query_socket(transport: asyncio.Transport | None, request: int) -> int | None:
    """Return the number that an ioctl(2) of the transport's socket yields, or None where it fails."""
    if transport is None or transport.is_closing():
        return None
    descriptor = transport.get_extra_info("socket").fileno()
    try:
        answer = fcntl.ioctl(descriptor, request, bytes(4))
    except OSError:
        return None
    return max(0, int(struct.unpack("i", answer)[0]))


def unacknowledged_bytes(transport: asyncio.Transport | None) -> int:
    """Return the written bytes that the peer's machine has not acknowledged, or 0 where this is not known.

    Bytes that the kernel has not sent yet are included: the kernel may send them until the socket is closed,
    so they are not known to stay on this machine. The cost is one system call, which does not wait.
    """
    return query_socket(transport, SIOCOUTQ) or 0
