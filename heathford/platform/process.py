"""One front node as a process: its core, link, door and watch; signals, limits, and an orderly end."""

import asyncio
import asyncio.constants
import gc
import resource
import signal
import socket
import time
from collections.abc import Callable, Mapping
from dataclasses import asdict, dataclass
from pathlib import Path
from typing import Any

import structlog

from heathford.bootinfo import NS_PER_SECOND, read_router_settings
from heathford.core.core import Core
from heathford.discovery.client import DiscoveryClient
from heathford.discovery.follower import ListChange
from heathford.early_signals import EARLY_SIGNALS
from heathford.fleet.endpoint_list import EndpointList
from heathford.log_stream import LOG_STREAM
from heathford.platform.client_server import STILL_ASKED, SWEEP, ClientServer
from heathford.platform.link import PlatformLink
from heathford.platform.reload import ConfigurationReload
from heathford.platform.signals import handled_signals
from heathford.platform.start import StartError, address_of, from_environment, seed_of, read_configuration
from heathford.wire.http1 import MalformedMessageError
from heathford.wire.socket_state import poll_flags

ANSWER_MARGIN = 0.02  # s before the client timeout by which it is answered: the way to it, and the loop's lag
ACCEPTED = 8  # connections accepted in one turn of the loop: those to be closed go between two turns
OWN_DESCRIPTORS = 17  # standard streams, the loop's own, the listening socket, the configuration's file, and
# three calls to discovery: the one that is listened to for longer, one that is given up, and the next
RESERVED = OWN_DESCRIPTORS + 3 * ACCEPTED  # accepted, but not counted or not closed yet for up to three turns
CLIENT_PART = 0.55  # of the others: clients hold a third of all for requests, idle ones come beside them
ACCEPT_AGAIN = 0.02  # s until connections are accepted again after the system had no room for one
BACKLOG = 1024  # connections that wait in the socket
LISTEN_PATIENCE = 3.0  # s for which an address may be taken, or a socket be refused: ready within 6 s counts
LISTEN_AGAIN = 0.05  # s between two tries
END_LOOK = 0.05  # s between two looks at whether all has ended: small beside the 0.7 s until a kill
TIDY = 8  # sweeps between two full collections of garbage, 2 s: completions and their dispatches point to
# each other, and left to its own pace the collector let ten times as many pile up; one takes about 3 ms
FIRST_LIST = 0.5  # s that the agent may take for its first list: it answers at once, or is silent while
# discovery is down. Two calls and more fit in; a start may take 10 s
LIST_AGAIN = 0.5  # s after a change of the list that could not be taken until the whole list is asked for
REASONS_TOLD = 40  # in a state line, the most frequent ones
TELL = 5.0  # s between two lines on what this front believes

log = structlog.get_logger()


@dataclass(frozen=True)
class Descriptors:
    """How many connections clients and engines may have, so that discovery can always be called."""

    clients: int
    engines: int

    @classmethod
    def of(cls, limit: int) -> "Descriptors":
        """Share out all descriptors that the process may have."""
        free = limit - min(RESERVED, limit // 3)
        clients = int(CLIENT_PART * free)
        return cls(clients, free - clients)


class Node:
    """configuration: the configuration, checked."""

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
        limits, figures = settings["policyLimits"], read_router_settings(settings)
        descriptors = Descriptors.of(
            int(configuration["limits"].get("sockets") or resource.getrlimit(resource.RLIMIT_NOFILE)[0])
        )
        self.instances = EndpointList(
            {
                kind: (place, known.role)
                for place, (kind, known) in enumerate(zip(settings["kinds"], figures["kinds"], strict=True))
            },
            settings["azs"],
            figures["warm_after"],
        )
        self.link = PlatformLink(
            limits["connectTimeoutNs"] / NS_PER_SECOND,
            figures["pin_limit"],
            limits["connIdleNs"] / NS_PER_SECOND,
            descriptors.engines,
            lambda: self.instances.serving_endpoints(figures["zone"]),
        )
        self.core = Core(
            self.loop,
            self.link,
            name,
            seed_of(configuration),
            answer_margin=ANSWER_MARGIN,
            subscribe=settings.get("registryMode") == "subscribe",
            **figures,
        )
        self.clients = ClientServer(
            self.core,
            {c["name"]: place for place, c in enumerate(settings["categories"])},
            descriptors.clients,
        )
        self.core.on_endpoint_list_failure = self.ask_again
        self.watch = DiscoveryClient(*discovery, self.instances, self.list_changed)
        self.ending = asyncio.Event()
        self.known = configuration.get("known")
        self.server: asyncio.Server | None = None
        self.reload = ConfigurationReload(self.loop, path, self.configuration_read).begin
        self.sweeps = 0
        self.lag = 0.0  # the longest that the loop ran behind since it was last told

    async def start(self) -> None:
        if isinstance(self.known, dict):
            try:
                found = self.instances.apply_object(self.known, self.loop.time(), time.time())
                if found:
                    self.core.apply_endpoint_list(*found)
            except MalformedMessageError as problem:
                log.error("the engines known from before can't be read", why=str(problem))
        self.watch.start()
        # Guards against first dispatches to engines that drain, or are gone: what the agent has counts as
        # told from a process's first moment, what is known from before may be old. Costs the wait where the
        # agent is silent: then that list is all there is.
        if not await self.watch.wait_for_first_list(FIRST_LIST):
            log.warning("no list yet", known=len(self.instances.entries))
        sock = await self.listening_socket()
        if sock is None:
            return
        sock.setblocking(False)
        # Guards against a moment's ENFILE, ENOBUFS or ENOMEM, after which asyncio accepts nothing for a
        # second. Costs fifty calls to the kernel a second while it lasts. There is no other way to say it.
        asyncio.constants.ACCEPT_RETRY_DELAY = ACCEPT_AGAIN  # type: ignore[misc, assignment]
        # Its backlog is also how many asyncio accepts at once, before any that makes way is really closed.
        self.server = await self.loop.create_server(self.clients.accept, sock=sock, backlog=ACCEPTED)
        sock.listen(BACKLOG)
        self.listen = sock.getsockname()[:2]
        self.sweep()
        self.tell()

    async def listening_socket(self) -> socket.socket | None:
        """None if the process is told to end first. Raises StartError once LISTEN_PATIENCE is over.

        Guards against a refused start where another socket has the port, or the system has no room for one,
        for a moment. Could harm by telling a wrong NODE_LISTEN later.
        """
        gives_up = self.loop.time() + LISTEN_PATIENCE
        told_of = False
        while not self.ending.is_set():
            try:
                return socket.create_server(self.listen, backlog=BACKLOG)
            except OSError as problem:
                if self.loop.time() >= gives_up:
                    raise StartError(f"NODE_LISTEN can't be listened on: {problem}") from None
                if not told_of:
                    log.warning("can't listen yet", why=str(problem))
                told_of = True
            await asyncio.sleep(LISTEN_AGAIN)
        return None

    def list_changed(self, change: ListChange) -> None:
        self.core.apply_endpoint_list(change.complete, change.entries)

    def ask_again(self) -> None:
        """Guards against a list of which half was taken and which counts as current."""
        self.loop.call_later(LIST_AGAIN, self.watch.start)

    def sweep(self, due: float = 0.0) -> None:
        now = self.loop.time()
        # First of all: a fault below must not be the end of all sweeps.
        self.loop.call_at(now + SWEEP, self.sweep, now + SWEEP)
        self.lag = max(self.lag, now - due if due else 0.0)
        self.clients.sweep(now)
        self.link.pools.close_expired(now)
        self.sweeps += 1
        if self.sweeps % TIDY == 0:
            gc.collect()

    def tell(self) -> None:
        """What this front believes, to be held against what crossed the sockets."""
        tally, router = self.core.tally, self.core.router
        log.info(
            "state",
            taken=tally.taken,
            finished=tally.finished,
            limited=tally.rate_limited,
            aborted=tally.aborted,
            left=tally.left,
            late=tally.late,
            faults=tally.faults,
            live=len(self.core.live),
            clients=len(self.clients.connections),
            out=self.clients.evicted,
            refused=dict(self.clients.refused),
            ends={v.value: n for v, n in self.link.outcomes.items()},
            spoilt=self.link.malformed_answers,
            unreleased=self.link.failed_releases,
            engines=len(router.engines),
            conns=self.link.pools.open,
            version=self.instances.version,
            lag=round(self.lag, 3),
            held=self.core.held_state_summary(),
            violations={rule.name: n for rule, n in self.core.gate.violations.items()},
            gate={reason.name: n for reason, n in self.core.gate.refused.items()},
            reasons={": ".join(key): n for key, n in self.core.history.reasons.most_common(REASONS_TOLD)},
            logs_dropped=LOG_STREAM.dropped,
            mb=resource.getrusage(resource.RUSAGE_SELF).ru_maxrss // 1024,
            cpu=round(time.process_time(), 2),
        )
        self.lag = 0.0
        self.loop.call_later(TELL, self.tell)

    def tell_history(self) -> None:
        """SIGUSR1: what happened to the last requests, both clocks in each line."""
        wall_ahead = time.time() - self.loop.time()
        for record in self.core.history.newest():
            fields = asdict(record)
            fields["what"] = fields.pop("event")  # the log's own name for the kind of line
            log.info("history", wall=round(record.time + wall_ahead, 3), **fields)

    def configuration_read(self, found: Mapping[str, Any]) -> None:
        """SIGHUP: follows discovery where the configuration now says it is; whatever else that changes counts
        from the next start."""
        discovery = address_of(found["discovery"], "discovery")
        log.info("configuration read", discovery=f"{discovery[0]}:{discovery[1]}")
        if discovery != (self.watch.address, self.watch.port):
            self.watch.change_address(*discovery)

    def terminate(self) -> None:
        if not self.clients.stopping:
            self.clients.stop()
            log.info("ending", open=self.core.open_count, clients=len(self.clients.connections))
            self.ending.set()

    async def run(self) -> None:
        if self.ending.is_set():
            return
        await self.start()
        log.info("ready", name=self.name, listen=f"{self.listen[0]}:{self.listen[1]}")
        gc.collect()
        gc.freeze()
        await self.ending.wait()
        await self.end()

    def idle(self) -> bool:
        """Nothing that was taken is open any more."""
        return not (
            self.core.live or self.clients.connections or self.link.tasks.running or self.link.retry_timers
        )

    def someone_waits(self) -> bool:
        """A connection waits to be accepted. Guards against an end that resets it: what its client has sent
        was taken by this machine. Costs a call to the kernel."""
        if not self.server:
            return False
        looks = [poll_flags(sock.fileno()) for sock in self.server.sockets]
        return any(flags is None or flags for flags in looks)

    async def end(self) -> None:
        """Serves on for as long as clients may come, then until all that was taken is answered, however long
        an answer streams: who must have it sooner kills us."""
        await asyncio.sleep(STILL_ASKED)
        while True:
            self.clients.close_idle()
            self.clients.sweep(self.loop.time())
            if self.idle() and not self.someone_waits():
                break
            await asyncio.sleep(END_LOOK)
        if self.server:
            self.server.close()
        self.watch.stop()
        self.link.stop()
        tally = self.core.tally
        log.info(
            "ended",
            taken=tally.taken,
            finished=tally.finished,
            rate_limited=tally.rate_limited,
            aborted=tally.aborted,
            left=tally.left,
        )


def log_unhandled(loop: asyncio.AbstractEventLoop, context: dict[str, Any]) -> None:
    """An exception that a callback or a task let through. Guards against faults that nobody hears of: the
    loop's own words go to a logger that is silent here. What the system refused is no fault of ours."""
    problem = context.get("exception")
    tell = log.warning if isinstance(problem, OSError) else log.error
    tell("unhandled", message=context.get("message"), exc_info=problem)


async def run_node(variables: Mapping[str, str]) -> None:
    """Runs until SIGTERM or SIGINT; SIGHUP has the configuration read again. Raises StartError."""
    loop = asyncio.get_running_loop()
    loop.set_exception_handler(log_unhandled)
    name, listen, discovery, path = from_environment(variables)
    node = Node(name, listen, discovery, read_configuration(path), path)
    acts: dict[signal.Signals, Callable[[], None]] = {
        signal.SIGTERM: node.terminate,
        signal.SIGINT: node.terminate,
        signal.SIGHUP: node.reload,
        signal.SIGUSR1: node.tell_history,
    }
    with handled_signals(loop, acts):
        for sign in EARLY_SIGNALS.received:
            acts[sign]()
        await node.run()
