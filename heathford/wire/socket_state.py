"""What the kernel knows of a connected socket that the event loop has not come to yet."""

import asyncio
import fcntl
import select
import struct
from dataclasses import dataclass

SIOCOUTQ = 0x5411  # SIOCOUTQ: bytes in the send queue that the peer has not confirmed
LOOKS = 3  # of which one has to succeed: the system may have no memory for a moment


@dataclass(frozen=True)
class SocketState:
    """unread: bytes or an end wait to be read.

    ended: the peer has closed or shut its side, or has reset the connection.
    """

    unread: bool
    ended: bool


NOTHING_KNOWN = SocketState(unread=True, ended=False)  # closes nothing, and gives up nothing


def poll_flags(descriptor: int) -> int | None:
    """What poll(2) tells of a descriptor now; None where the system has no memory to say it."""
    poll = select.poll()
    poll.register(descriptor, select.POLLIN | select.POLLRDHUP)
    for _ in range(LOOKS):
        try:
            found = poll.poll(0)
        except OSError:
            continue
        return found[0][1] if found else 0
    return None


def read_socket_state(transport: asyncio.Transport | None) -> SocketState:
    """Ask the kernel, without waiting. A transport that is closing has ended.

    Guards against acting on an order of events that is already out of date: a loop that is behind, or that
    reads a long backlog in parts, comes to an end or a request only several turns after it has arrived.
    Costs one call to the kernel.
    """
    if transport is None or transport.is_closing():
        return SocketState(unread=True, ended=True)
    flags = poll_flags(transport.get_extra_info("socket").fileno())
    if flags is None:
        return NOTHING_KNOWN
    ended = bool(flags & (select.POLLRDHUP | select.POLLHUP | select.POLLERR))
    return SocketState(unread=bool(flags), ended=ended)


def unacknowledged_bytes(transport: asyncio.Transport | None) -> int:
    """Bytes written that the peer's machine has not confirmed; 0 where the kernel does not say.

    Asked without waiting. Those that the kernel has not sent yet are among them: it may send them until the
    socket is closed, so they are not known to stay here. Costs a call to the kernel.
    """
    if transport is None or transport.is_closing():
        return 0
    descriptor = transport.get_extra_info("socket").fileno()
    try:
        answer = fcntl.ioctl(descriptor, SIOCOUTQ, bytes(4))
    except OSError:
        return 0
    return max(0, int(struct.unpack("i", answer)[0]))
