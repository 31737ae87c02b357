"""Shows that an engine runs, right before something is sent that must not lie there unread."""

from collections.abc import Callable
from typing import TYPE_CHECKING

from heathford.core.doors import Endpoint
from heathford.platform.answers import LONGEST_LINE
from heathford.platform.exchange import EngineConnection, Exchange
from heathford.platform.state_release import release_request
from heathford.wire.http1 import NonsenseError, Response

if TYPE_CHECKING:
    from heathford.platform.link import PlatformLink

ANSWERS_WITHIN = 0.1  # s that an engine which runs may take for it: many round trips


class RunningProof(Exchange):
    """A release on a connection that is about to be used, in the name of a request that is over and holds
    nothing. Its answer shows that the engine has accepted that connection and reads it now.

    proven: gets the connection. not_proven: it is closed, and nothing but the release was sent on it.
    """

    link: "PlatformLink"

    def __init__(
        self, link: "PlatformLink", endpoint: Endpoint, name: str,
        proven: Callable[[EngineConnection], None], not_proven: Callable[[], None],
    ) -> None:
        super().__init__(link, endpoint, ANSWERS_WITHIN)
        self.name, self.proven, self.not_proven = name, proven, not_proven
        self.response = Response(LONGEST_LINE, LONGEST_LINE, strict=False)

    def start(self, connection: EngineConnection) -> None:
        """Ask on that connection."""
        self.begin(connection, lambda: release_request(self.endpoint, self.name))

    def fail(self) -> None:
        if not self.over:
            self.stop(keep=False)
            self.not_proven()

    def heard(self, data: bytes) -> None:
        try:
            for _ in self.response.feed(data):
                pass
        except NonsenseError:
            self.fail()
            return
        connection = self.connection
        if not self.response.done or not connection:
            return
        if not self.response.keep or not connection.quiet():
            self.fail()
            return
        self.connection = connection.user = None
        self.stop(keep=False)
        self.proven(connection)

    def timed_out(self) -> None:
        self.fail()

    def lost(self, unwritten: bool) -> None:
        self.connection = None
        self.fail()

    def closed_by_engine(self) -> None:
        self.fail()
