"""Ports that stay one's own while nobody listens on them."""

import socket


def reserved_port() -> socket.socket:
    """A socket bound to a port of its own, on which others may listen that set SO_REUSEADDR.

    As long as it is open, the system gives the port to nobody else, neither to a connection nor to a
    socket that asks for any port: a front node starts on it more than once. Two of these never share a
    port, since each is bound before it sets the option.
    """
    reserved = socket.socket()
    reserved.bind(("127.0.0.1", 0))
    reserved.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    return reserved
