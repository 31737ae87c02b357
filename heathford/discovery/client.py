"""Make the calls of a DiscoveryFollower over TCP, to an address that may change in service."""

import asyncio
import time
from collections.abc import Callable
from itertools import islice

import structlog

from heathford.discovery.follower import Call, DiscoveryFollower, ListChange
from heathford.fleet.endpoint_list import EndpointList
from heathford.wire.http1 import encode_request

MAX_SKIPPED_LOGGED = 10  # skipped entries of one list or change that are logged one by one
MAX_FAILURES_LOGGED = 3  # in a row: while discovery is down the same line would come several times a second

log = structlog.get_logger()


class CallProtocol(asyncio.Protocol):
    """The connection of one call."""

    def __init__(self, client: "DiscoveryClient", call: Call) -> None:
        self.client = client
        self.call = call
        self.transport: asyncio.Transport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Send the request, unless the call has been dropped meanwhile."""
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport
        if self.client.protocols.get(self.call) is not self:
            transport.abort()
            return
        headers = {"Accept": "application/json"}
        transport.write(encode_request("GET", self.call.path, self.client.address, headers, b""))

    def data_received(self, data: bytes) -> None:
        """Pass the bytes on to the follower."""
        now = self.client.loop.time()
        self.client.follower.received(self.call, data, time.time(), now)
        self.client.synchronize()

    def connection_lost(self, error: Exception | None) -> None:
        """Notify the follower that the call has ended."""
        reason = f"connection lost: {error!r}" if error else "closed by discovery"
        self.client.follower.ended(self.call, reason, self.client.loop.time())
        self.client.synchronize()


class DiscoveryClient:
    """Follows discovery until it is stopped.

    changed: called with each change of the endpoint list, in order.
    """

    def __init__(
        self, address: str, port: int, endpoints: EndpointList, changed: Callable[[ListChange], None]
    ) -> None:
        self.address, self.port = address, port
        self.endpoints = endpoints
        self.loop = asyncio.get_running_loop()
        self.follower = DiscoveryFollower(endpoints, self.with_logging(changed))
        self.first_list = asyncio.Event()
        self.protocols: dict[Call, CallProtocol] = {}  # of the open calls
        self.connecting: dict[Call, asyncio.Task[None]] = {}
        self.timer: asyncio.TimerHandle | None = None
        self.last_failures = 0

    def start(self) -> None:
        """Fetch the whole list, then follow its changes."""
        self.follower.start(self.loop.time())
        self.synchronize()

    def stop(self) -> None:
        """Close all calls and make no others."""
        self.follower.stop()
        self.synchronize()

    def change_address(self, address: str, port: int) -> None:
        """Follow discovery at another address; open calls are closed."""
        self.address, self.port = address, port
        self.start()

    async def wait_for_first_list(self, timeout: float) -> bool:
        """Wait up to `timeout` seconds for the first whole list; return whether it has been applied."""
        try:
            await asyncio.wait_for(self.first_list.wait(), timeout)
        except TimeoutError:
            return False
        return True

    def with_logging(self, changed: Callable[[ListChange], None]) -> Callable[[ListChange], None]:
        """Return a callback that logs the skipped entries before it passes on the change."""

        def log_and_notify(change: ListChange) -> None:
            self.log_skipped()
            changed(change)

        return log_and_notify

    def synchronize(self) -> None:
        """Open and close connections as the follower requires, and set the timer."""
        follower = self.follower
        if follower.has_list:
            self.first_list.set()
        self.log_failures()
        calls = follower.calls
        for call in [call for call in self.protocols if call not in calls]:
            self.drop(call)
        if follower.call and follower.call not in self.protocols:
            self.open(follower.call)
        if self.timer:
            self.timer.cancel()
            self.timer = None
        if follower.wake_at < float("inf"):
            self.timer = self.loop.call_at(follower.wake_at, self.wake)

    def wake(self) -> None:
        # The loop may fire a timer early, by up to the resolution of its clock.
        self.follower.wake(max(self.loop.time(), self.follower.wake_at))
        self.synchronize()

    def log_skipped(self) -> None:
        """Log the skipped entries, up to a limit: logging hundreds of entries would block the event loop."""
        skipped = self.endpoints.skipped
        for entry, reason in islice(skipped.items(), MAX_SKIPPED_LOGGED):
            log.error("instance passed over", instance=entry, why=reason)
        if len(skipped) > MAX_SKIPPED_LOGGED:
            log.error("instances passed over", more=len(skipped) - MAX_SKIPPED_LOGGED)

    def log_failures(self) -> None:
        failures = self.follower.failures
        if self.last_failures < failures <= MAX_FAILURES_LOGGED:
            log.warning("call to discovery failed", failed=self.follower.reason)
        self.last_failures = failures

    def open(self, call: Call) -> None:
        protocol = self.protocols[call] = CallProtocol(self, call)
        self.connecting[call] = self.loop.create_task(self.connect(protocol))

    async def connect(self, protocol: CallProtocol) -> None:
        try:
            await self.loop.create_connection(lambda: protocol, self.address, self.port)
        except OSError as error:
            # Refused, or out of file descriptors: either way the follower retries.
            self.follower.ended(protocol.call, f"could not connect: {error}", self.loop.time())
            self.synchronize()

    def drop(self, call: Call) -> None:
        """Close the connection of a call at once."""
        protocol = self.protocols.pop(call)
        connecting = self.connecting.pop(call, None)
        if connecting:
            connecting.cancel()
        if protocol.transport:
            protocol.transport.abort()
