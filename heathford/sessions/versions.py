"""Negotiates the version of both public protocols. Does no I/O.

A client names the versions that it supports as subprotocols when it opens a session (RFC 6455, section 1.9),
or the one that it uses in a header of an HTTP request. A client that names none uses version 1, which was
released before versions were named.
"""

from collections.abc import Sequence

CURRENT_VERSION, PREVIOUS_VERSION = 2, 1
SERVED_VERSIONS = (CURRENT_VERSION, PREVIOUS_VERSION)
VERSION_HEADER = "Heathford-Version"
SUBPROTOCOL_PREFIX = "heathford.v"  # followed by the version


class VersionError(Exception):
    """None of the versions that the client named is served; the text lists those that are."""

    def __init__(self, named: str) -> None:
        super().__init__(f"version {named} is not served; served are {', '.join(map(str, SERVED_VERSIONS))}")
        self.served = list(SERVED_VERSIONS)


def version_from_header(named: str | None) -> int:
    """Return the version named in the header, or version 1 if there is none. Raises VersionError."""
    if named is None:
        return PREVIOUS_VERSION
    if named.strip().isdigit() and int(named) in SERVED_VERSIONS:
        return int(named)
    raise VersionError(named.strip()[:40])


def version_from_subprotocols(offered: Sequence[str]) -> int:
    """Return the newest version offered that is served. Raises VersionError if there is none.

    Subprotocols of other programs are ignored; a session that offers none of ours uses version 1.
    """
    versions = [
        name.removeprefix(SUBPROTOCOL_PREFIX) for name in offered if name.startswith(SUBPROTOCOL_PREFIX)
    ]
    served = [int(name) for name in versions if name.isdigit() and int(name) in SERVED_VERSIONS]
    if versions and not served:
        raise VersionError(", ".join(versions)[:40])
    return max(served, default=PREVIOUS_VERSION)
