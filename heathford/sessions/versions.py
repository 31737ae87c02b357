"""Which versions of both public protocols are served, and what a client that names others is told; no I/O.

A client names what it speaks when it opens a session (subprotocols, RFC 6455, 1.9) or asks over HTTP (a
header). One that names nothing is of the time before versions had names.
"""

from collections.abc import Sequence

PRESENT, BEFORE = 2, 1
SERVED = (PRESENT, BEFORE)
HEADER = "Heathford-Version"
PREFIX = "heathford.v"  # of a session's subprotocol


class VersionError(Exception):
    """None of the versions named is served; the text says which are."""

    def __init__(self, named: str) -> None:
        super().__init__(f"version {named} is not served; served are {', '.join(map(str, SERVED))}")
        self.served = list(SERVED)


def of_header(named: str | None) -> int:
    """Raises VersionError."""
    if named is None:
        return BEFORE
    if named.strip().isdigit() and int(named) in SERVED:
        return int(named)
    raise VersionError(named.strip()[:40])


def of_subprotocols(offered: Sequence[str]) -> int:
    """The newest of those offered; raises VersionError where none is served. Other programs' subprotocols
    are passed over: a session that offers none of ours is one of the time before."""
    ours = [name.removeprefix(PREFIX) for name in offered if name.startswith(PREFIX)]
    good = [int(name) for name in ours if name.isdigit() and int(name) in SERVED]
    if ours and not good:
        raise VersionError(", ".join(ours)[:40])
    return max(good, default=BEFORE)
