"""One front node as a process: its parts, signals, descriptor limits and graceful shutdown."""

import asyncio
import asyncio.constants
import gc
import resource
import signal
import socket
import time
from collections.abc import Callable, Mapping
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import structlog

from heathford.bootinfo import NS_PER_SECOND, read_router_settings
from heathford.core.core import Core
from heathford.discovery.client import DiscoveryClient
from heathford.discovery.follower import ListChange
from heathford.early_signals import EARLY_SIGNALS
from heathford.fleet.endpoint_list import EndpointList
from heathford.platform.client_server import SHUTDOWN_ACCEPT_PERIOD, SWEEP_INTERVAL, ClientServer
from heathford.platform.link import PlatformLink
from heathford.platform.memory import DEFAULT_REQUEST_BYTES, request_bytes, resident_bytes
from heathford.platform.node_log import NodeLog
from heathford.platform.reload import ConfigurationReload
from heathford.platform.signals import handled_signals
from heathford.platform.start import (
    StartError,
    from_environment,
    parse_address,
    parse_seed,
    read_configuration,
)
from heathford.wire.http1 import MalformedMessageError
from heathford.wire.memory_budget import MemoryBudget
from heathford.wire.socket_state import poll_flags

# s before the client timeout by which the final answer is given: for its way to the client and loop lag.
ANSWER_MARGIN = 0.02
# Connections accepted in one turn of the event loop: those evicted for them are closed between two turns.
ACCEPTS_PER_TURN = 8
# Standard streams, the event loop's own, the listening socket, the configuration file, and three calls to
# discovery: one that timed out and whose list may still arrive, one being given up, and the next.
OWN_DESCRIPTORS = 17
# Accepted connections may be uncounted, or evicted ones not closed yet, for up to three turns.
RESERVED_DESCRIPTORS = OWN_DESCRIPTORS + 3 * ACCEPTS_PER_TURN
# Of the other descriptors: clients need a third of all for requests, and idle ones come on top.
CLIENT_SHARE = 0.55
ACCEPT_RETRY_INTERVAL = 0.02  # s, after accept(2) failed for want of descriptors or memory
LISTEN_BACKLOG = 1024  # connections that wait in the kernel
# s for which the address may be in use, or the system refuse a socket: a start has to be ready within 6 s.
LISTEN_TIMEOUT = 3.0
LISTEN_RETRY_INTERVAL = 0.05  # s
SHUTDOWN_CHECK_INTERVAL = 0.05  # s: small beside the 0.7 s after which the process may be killed
# Sweeps between two full garbage collections, 2 s in all. What is over is freed without them; they are for
# cycles that exceptions and asyncio leave. A collection takes about 3 ms.
SWEEPS_PER_COLLECTION = 8
# s to wait for the first list of the discovery agent on this machine: it answers at once, or not at all while
# discovery is down. That is time for more than two calls; a start may take 10 s.
FIRST_LIST_TIMEOUT = 0.5
LIST_RETRY_DELAY = 0.5  # s, after a list change failed to apply, until the whole list is requested

log = structlog.get_logger()


@dataclass(frozen=True)
class Descriptors:
    """How many connections clients and engines may have; the rest keeps discovery reachable."""

    clients: int
    engines: int

    @classmethod
    def share(cls, limit: int) -> "Descriptors":
        """Divide the descriptors that the process may have."""
        free = limit - min(RESERVED_DESCRIPTORS, limit // 3)
        clients = int(CLIENT_SHARE * free)
        return cls(clients, free - clients)


class Node:
    """One front node: its core, its link to engines, its client connections and its view of discovery.

    configuration: as `read_configuration` returns it, from the file at `path`.
    """

    def __init__(
        self,
        name: str,
        listen: tuple[str, int],
        discovery: tuple[str, int],
        configuration: Mapping[str, Any],
        path: Path,
    ) -> None:
        self.name, self.listen, self.path = name, listen, path
        self.loop = asyncio.get_running_loop()
        settings = configuration["settings"]
        limits, router_settings = settings["policyLimits"], read_router_settings(settings)
        descriptors = Descriptors.share(
            int(configuration["limits"].get("sockets") or resource.getrlimit(resource.RLIMIT_NOFILE)[0])
        )
        self.endpoint_list = EndpointList(
            {
                kind: (index, engine_kind.role)
                for index, (kind, engine_kind) in enumerate(
                    zip(settings["kinds"], router_settings["kinds"], strict=True)
                )
            },
            settings["azs"],
            router_settings["warm_after"],
        )
        self.link = PlatformLink(
            limits["connectTimeoutNs"] / NS_PER_SECOND,
            router_settings["pin_limit"],
            limits["connIdleNs"] / NS_PER_SECOND,
            descriptors.engines,
            lambda: self.endpoint_list.serving_endpoints(router_settings["zone"]),
        )
        self.core = Core(
            self.loop,
            self.link,
            name,
            parse_seed(configuration),
            answer_margin=ANSWER_MARGIN,
            subscribe=settings.get("registryMode") == "subscribe",
            **router_settings,
        )
        self.clients = ClientServer(
            self.core,
            {category["name"]: index for index, category in enumerate(settings["categories"])},
            descriptors.clients,
            MemoryBudget(DEFAULT_REQUEST_BYTES),
        )
        self.memory_mb: float | None = configuration["limits"].get("memory_mb")
        self.core.on_endpoint_list_failure = self.request_list_later
        # Fetches the endpoint list and follows its changes.
        self.watch = DiscoveryClient(*discovery, self.endpoint_list, self.on_list_change)
        self.ending = asyncio.Event()
        self.known_list = configuration.get("known")
        self.server: asyncio.Server | None = None
        self.reload = ConfigurationReload(self.loop, path, self.apply_configuration).start
        self.sweeps = 0
        self.log = NodeLog(self.core, self.link, self.clients, self.endpoint_list)

    async def start(self) -> None:
        """Load the endpoint list and open the listening socket, unless told to end. Raises StartError."""
        if isinstance(self.known_list, dict):
            try:
                change = self.endpoint_list.apply_object(self.known_list, self.loop.time(), time.time())
                if change:
                    self.core.apply_endpoint_list(*change)
            except MalformedMessageError as exc:
                log.error("the endpoint list in the configuration is malformed", why=str(exc))
        self.watch.start()
        # The configuration's list may be out of date, and this process must follow the list of the discovery
        # agent from its first moment: without waiting, first attempts could go to engines that drain or are
        # removed. While the agent is silent a start takes longer, and the configuration's list is all there
        # is.
        if not await self.watch.wait_for_first_list(FIRST_LIST_TIMEOUT):
            log.warning("no endpoint list from discovery yet", known=len(self.endpoint_list.entries))
        sock = await self.open_listening_socket()
        if sock is None:
            return
        self.clients.memory.max_bytes = request_bytes(self.memory_mb, resident_bytes())
        sock.setblocking(False)
        # After ENFILE, ENOBUFS or ENOMEM asyncio would accept nothing for a second, and offers no other way
        # to change that. Costs fifty system calls a second while the shortage lasts.
        asyncio.constants.ACCEPT_RETRY_DELAY = ACCEPT_RETRY_INTERVAL  # type: ignore[misc, assignment]
        # asyncio also accepts up to `backlog` connections at once, before any evicted one is closed.
        self.server = await self.loop.create_server(self.clients.accept, sock=sock, backlog=ACCEPTS_PER_TURN)
        sock.listen(LISTEN_BACKLOG)
        self.listen = sock.getsockname()[:2]
        self.sweep()
        self.log.state()

    async def open_listening_socket(self) -> socket.socket | None:
        """Return the listening socket, or None if the process is told to end first.

        Retries, as another socket may hold the port or the system may be short of resources for a moment. A
        wrong NODE_LISTEN is therefore reported only after LISTEN_TIMEOUT, with StartError.
        """
        give_up_at = self.loop.time() + LISTEN_TIMEOUT
        warned = False
        while not self.ending.is_set():
            try:
                return socket.create_server(self.listen, backlog=LISTEN_BACKLOG)
            except OSError as exc:
                if self.loop.time() >= give_up_at:
                    raise StartError(f"cannot listen on NODE_LISTEN: {exc}") from None
                if not warned:
                    log.warning("listening failed; retrying", why=str(exc))
                warned = True
            await asyncio.sleep(LISTEN_RETRY_INTERVAL)
        return None

    def on_list_change(self, change: ListChange) -> None:
        """Hand a change of the endpoint list to the core."""
        self.log.list_changed(change)
        self.core.apply_endpoint_list(change.complete, change.entries)

    def request_list_later(self) -> None:
        """Schedule a request for the whole list: the last change was applied only in part."""
        self.loop.call_later(LIST_RETRY_DELAY, self.watch.start)

    def sweep(self, due: float = 0.0) -> None:
        """Close what is idle, collect garbage and measure the loop's lag; repeats itself.

        due: when this sweep was to run, in seconds on the event loop's clock; 0.0 at the first.
        """
        now = self.loop.time()
        # Scheduled before anything else: an exception below must not end the sweeps.
        self.loop.call_at(now + SWEEP_INTERVAL, self.sweep, now + SWEEP_INTERVAL)
        self.log.loop_lagged(now - due if due else 0.0)
        self.clients.sweep(now)
        self.link.pools.close_expired(now)
        self.sweeps += 1
        if self.sweeps % SWEEPS_PER_COLLECTION == 0:
            gc.collect()

    def apply_configuration(self, configuration: Mapping[str, Any]) -> None:
        """Follow discovery at the address in the configuration; for SIGHUP.

        Other changes of the configuration take effect at the next start.
        """
        discovery = parse_address(configuration["discovery"], "discovery")
        log.info("configuration read", discovery=f"{discovery[0]}:{discovery[1]}")
        if discovery != (self.watch.address, self.watch.port):
            self.watch.change_address(*discovery)

    def terminate(self) -> None:
        """Begin the graceful shutdown; further calls do nothing."""
        if not self.clients.stopping:
            self.clients.stop()
            log.info("ending", open=self.core.open_count, clients=len(self.clients.connections))
            self.ending.set()

    async def run(self) -> None:
        """Start, and serve until the shutdown is complete. Raises StartError."""
        if self.ending.is_set():
            return
        await self.start()
        log.info("ready", name=self.name, listen=f"{self.listen[0]}:{self.listen[1]}")
        gc.collect()
        gc.freeze()
        await self.ending.wait()
        await self.end()

    def idle(self) -> bool:
        """Whether no request, client connection or release is open any more."""
        return not (
            self.core.live or self.clients.connections or self.link.tasks.running or self.link.retry_timers
        )

    def has_pending_connection(self) -> bool:
        """Whether a connection waits to be accepted; also true while the kernel can't say.

        Closing the listening socket would reset it, though its client's request has reached this machine.
        Costs a system call.
        """
        if not self.server:
            return False
        flags_by_socket = [poll_flags(sock.fileno()) for sock in self.server.sockets]
        return any(flags is None or flags for flags in flags_by_socket)

    async def end(self) -> None:
        """Shut down gracefully.

        Serves on for SHUTDOWN_ACCEPT_PERIOD, then until every accepted request is answered. There is no
        limit to how long an answer may stream: an earlier end takes SIGKILL.
        """
        await asyncio.sleep(SHUTDOWN_ACCEPT_PERIOD)
        while True:
            self.clients.close_idle()
            self.clients.sweep(self.loop.time())
            if self.idle() and not self.has_pending_connection():
                break
            await asyncio.sleep(SHUTDOWN_CHECK_INTERVAL)
        if self.server:
            self.server.close()
        self.watch.stop()
        self.link.stop()
        log.info("ended", **self.core.tally.ends())


def log_unhandled(loop: asyncio.AbstractEventLoop, context: dict[str, Any]) -> None:
    """Log an exception that no callback or task handled; the event loop's exception handler.

    asyncio's default handler uses a logger that is silent here. An OSError is no fault of this program, and
    is logged as a warning.
    """
    exc = context.get("exception")
    log_call = log.warning if isinstance(exc, OSError) else log.error
    log_call("unhandled", message=context.get("message"), exc_info=exc)


async def run_node(variables: Mapping[str, str]) -> None:
    """Run a front node until SIGTERM or SIGINT. Raises StartError.

    SIGHUP reads the configuration again, SIGUSR1 logs the history of the last requests. Signals that came
    while the program was loaded are handled first.
    """
    loop = asyncio.get_running_loop()
    loop.set_exception_handler(log_unhandled)
    name, listen, discovery, path = from_environment(variables)
    node = Node(name, listen, discovery, read_configuration(path), path)
    handlers: dict[signal.Signals, Callable[[], None]] = {
        signal.SIGTERM: node.terminate,
        signal.SIGINT: node.terminate,
        signal.SIGHUP: node.reload,
        signal.SIGUSR1: node.log.history,
    }
    with handled_signals(loop, handlers):
        for number in EARLY_SIGNALS.received:
            handlers[number]()
        await node.run()
