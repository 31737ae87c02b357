"""What the kernel knows of a connected socket that the event loop has not come to yet."""

import asyncio
import select
from dataclasses import dataclass


@dataclass(frozen=True)
class SocketState:
    """unread: bytes or an end wait to be read.

    ended: the peer has closed or shut its side, or has reset the connection.
    """

    unread: bool
    ended: bool


def state_of(transport: asyncio.Transport | None) -> SocketState:
    """Ask the kernel, without waiting. A transport that is closing has ended.

    Guards against acting on an order of events that is already out of date: a loop that is behind, or that
    reads a long backlog in parts, comes to an end or a request only several turns after it has arrived.
    Costs one call to the kernel.
    """
    if transport is None or transport.is_closing():
        return SocketState(unread=True, ended=True)
    poll = select.poll()
    poll.register(transport.get_extra_info("socket").fileno(), select.POLLIN | select.POLLRDHUP)
    found = poll.poll(0)
    flags = found[0][1] if found else 0
    ended = bool(flags & (select.POLLRDHUP | select.POLLHUP | select.POLLERR))
    return SocketState(unread=bool(flags), ended=ended)
