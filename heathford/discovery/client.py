"""Carries the calls of a DiscoveryFollower over TCP, to an address that may change while it runs."""

import asyncio
import time
from collections.abc import Callable
from itertools import islice

import structlog

from heathford.discovery.follower import Call, DiscoveryFollower, ListChange
from heathford.fleet.endpoint_list import EndpointList
from heathford.wire.http1 import encode_request

PASSED_TOLD = 10  # entries of one list or change that are told one by one
LOGGED_FAILURES = 3  # in a row: while discovery is down the same line would come several times a second

log = structlog.get_logger()


class CallProtocol(asyncio.Protocol):
    """The connection of one call."""

    def __init__(self, client: "DiscoveryClient", call: Call) -> None:
        self.client = client
        self.call = call
        self.transport: asyncio.Transport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Send the call, unless it has been given up meanwhile."""
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport
        if self.client.protocols.get(self.call) is not self:
            transport.abort()
            return
        headers = {"Accept": "application/json"}
        transport.write(encode_request("GET", self.call.path, self.client.address, headers, b""))

    def data_received(self, data: bytes) -> None:
        """Hand the bytes on."""
        now = self.client.loop.time()
        self.client.follower.received(self.call, data, time.time(), now)
        self.client.follow()

    def connection_lost(self, problem: Exception | None) -> None:
        """Tell that the call has ended."""
        reason = f"connection lost: {problem!r}" if problem else "closed by discovery"
        self.client.follower.ended(self.call, reason, self.client.loop.time())
        self.client.follow()


class DiscoveryClient:
    """Follows discovery until it is stopped; `changed` gets every change of the list, in order."""

    def __init__(
        self, address: str, port: int, endpoints: EndpointList, changed: Callable[[ListChange], None]
    ) -> None:
        self.address, self.port = address, port
        self.endpoints = endpoints
        self.loop = asyncio.get_running_loop()
        self.follower = DiscoveryFollower(endpoints, self.tell(changed))
        self.first_list = asyncio.Event()
        self.protocols: dict[Call, CallProtocol] = {}  # of the calls that are open
        self.connecting: dict[Call, asyncio.Task[None]] = {}
        self.timer: asyncio.TimerHandle | None = None
        self.failures_seen = 0

    def start(self) -> None:
        """Ask for the whole list."""
        self.follower.start(self.loop.time())
        self.follow()

    def stop(self) -> None:
        """Close the open call and open no other."""
        self.follower.stop()
        self.follow()

    def change_address(self, address: str, port: int) -> None:
        """Follow another address from now on; the open call is given up."""
        self.address, self.port = address, port
        self.start()

    async def wait_for_first_list(self, within: float) -> bool:
        """Wait for the first whole list, that many seconds at most; return whether it is there."""
        try:
            await asyncio.wait_for(self.first_list.wait(), within)
        except TimeoutError:
            return False
        return True

    def tell(self, changed: Callable[[ListChange], None]) -> Callable[[ListChange], None]:
        """Log what could not be read beside each change."""

        def told(change: ListChange) -> None:
            self.tell_passed_over()
            changed(change)

        return told

    def follow(self) -> None:
        """Do what the follower wants now: exactly its calls are open, and its clock is set."""
        follower = self.follower
        if follower.listed:
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
        if follower.deadline < float("inf"):
            self.timer = self.loop.call_at(follower.deadline, self.wake)

    def wake(self) -> None:
        # A loop's timer may fire a hair early, by its clock's resolution.
        self.follower.wake(max(self.loop.time(), self.follower.deadline))
        self.follow()

    def tell_passed_over(self) -> None:
        """Guards against a list with hundreds of entries that can't be read, which would hold up the loop for
        as long as it takes to tell of each."""
        passed = self.endpoints.passed
        for what, why in islice(passed.items(), PASSED_TOLD):
            log.error("instance passed over", instance=what, why=why)
        if len(passed) > PASSED_TOLD:
            log.error("instances passed over", more=len(passed) - PASSED_TOLD)

    def log_failures(self) -> None:
        failures = self.follower.failures
        if self.failures_seen < failures <= LOGGED_FAILURES:
            log.warning("discovery", failed=self.follower.reason)
        self.failures_seen = failures

    def open(self, call: Call) -> None:
        protocol = self.protocols[call] = CallProtocol(self, call)
        self.connecting[call] = self.loop.create_task(self.connect(protocol))

    async def connect(self, protocol: CallProtocol) -> None:
        try:
            await self.loop.create_connection(lambda: protocol, self.address, self.port)
        except OSError as error:
            # Refused, or no descriptor is left: either way it is tried again.
            self.follower.ended(protocol.call, f"could not connect: {error}", self.loop.time())
            self.follow()

    def drop(self, call: Call) -> None:
        """Close the connection of a call, at once."""
        protocol = self.protocols.pop(call)
        connecting = self.connecting.pop(call, None)
        if connecting:
            connecting.cancel()
        if protocol.transport:
            protocol.transport.abort()
