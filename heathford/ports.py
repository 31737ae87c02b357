"""Reserve TCP ports that stay reserved while nothing listens on them."""

import socket


def reserved_port() -> socket.socket:
    """Return a socket bound to a free port, on which sockets with SO_REUSEADDR may listen.

    While it is open, the system assigns the port to no connection and to no socket that asks for any port,
    so that a front node can be started on it several times. Two reserved sockets never share a port, since
    each is bound before it sets the option.
    """
    reserved = socket.socket()
    reserved.bind(("127.0.0.1", 0))
    reserved.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    return reserved
