"""One front: its core, its link to engines, its list, its sessions; started and stopped together."""

import asyncio
import signal
import ssl
import sys
import time
from collections.abc import Callable

import structlog
from tornado.httpserver import HTTPServer
from tornado.netutil import bind_sockets

from heathford.batch.api import routes as batch_routes
from heathford.batch.runner import Runner
from heathford.batch.file_storage import FileStorage
from heathford.completions.handler import routes
from heathford.core.core import Core
from heathford.engines.link import EngineLink
from heathford.front.memory import Memory
from heathford.fleet.list_watch import RegistryFollower
from heathford.fleet.registry_client import RegistryClient
from heathford.interface import Effect, Group, EngineKind, Role, Workload
from heathford.script.script import Script
from heathford.identity.idempotency_table import IdempotencyTable
from heathford.sessions.liveness import LivenessTimeouts
from heathford.sessions.limits import SessionCapacity
from heathford.sessions.workload_catalog import WorkloadLimits, WorkloadCatalog
from heathford.sessions.session import SessionManager
from heathford.sessions.fair_queue import FairQueue
from heathford.sessions.websocket import SessionServer
from heathford.tls.files import keys_from_script

log = structlog.get_logger()


class Front:
    """The front of that number in the script; the registry's address and port may be given beside it."""

    def __init__(self, script: Script, number: int, registry: tuple[str, int]) -> None:
        fronts = script.all("front")
        self.declared = fronts[number]
        zones = [z.name for z in script.all("zone")]
        kinds = script.all("kind")
        works, safety, dispatches = script.all("workload"), script.only("safety"), script.only("dispatches")
        seeds = script.all("seed")
        seed = (seeds[0].value if seeds else 0) * len(fronts) + number
        loop = asyncio.get_running_loop()
        self.keys, self.engine_keys = (
            keys_from_script(script, "service_tls"),
            keys_from_script(script, "engine_tls"),
        )
        for keys in (self.keys, self.engine_keys):
            if keys:
                keys.reload()
                if not keys.context:
                    raise RuntimeError("the keys can't be used")
        self.link = EngineLink(
            dispatches.connect_timeout,
            dispatches.connections,
            dispatches.idle,
            safety.stream_silence,
            dispatches.longest_line,
            safety.pin_limit,
            source=self.declared.address,
            tls=self.engine_keys.context if self.engine_keys else None,
        )
        self.core = Core(
            loop,
            self.link,
            instance_name(self.declared.name),
            seed,
            [EngineKind(Role(k.role), k.memory) for k in kinds],
            [
                Workload(
                    w.latency_target,
                    w.target_per_1000,
                    w.token_target,
                    Effect(w.effect),
                    Group(w.group),
                    w.memory_time,
                    w.value,
                )
                for w in works
            ],
            number,
            len(fronts),
            zones.index(self.declared.zone),
            dispatches.try_limit,
            safety.pin_limit,
            dispatches.may_cancel,
            dispatches.longest_retry,
            safety.warm_after,
            safety.cold_from,
            safety.cold_multiple,
            safety.cold_window,
            safety.answer_margin,
            safety.stream_limit,
        )
        follower = RegistryFollower(
            {k.name: (place, Role(k.role)) for place, k in enumerate(kinds)},
            zones,
            [r.name for r in script.all("rack")],
            seed,
            safety.warm_after,
        )
        self.registry = RegistryClient(
            *registry, follower, self.core.apply_endpoint_list, source=self.declared.address
        )
        figures = script.only("sessions")
        catalog = WorkloadCatalog(
            [
                WorkloadLimits(
                    place,
                    w.name,
                    w.client_timeout,
                    2 * w.target_per_1000,
                    w.longest,
                    w.bytes_per_token,
                    w.most_prompt,
                    w.latency_target,
                    w.target_per_1000,
                )
                for place, w in enumerate(works)
            ],
            [m.name for m in script.all("member")],
        )
        manager = SessionManager(
            self.core,
            catalog,
            SessionCapacity(figures.most_held, figures.most, figures.read_ahead),
            FairQueue(),
            IdempotencyTable(figures.identities, figures.come_back),
            loop.time,
            loop.call_at,
            figures.most_out,
            figures.most_waiting,
        )
        liveness_timeouts = LivenessTimeouts(figures.ping, figures.pong, figures.idle, figures.slow)
        self.session_server = SessionServer(
            manager, loop.time, liveness_timeouts, figures.unsent, figures.farewell, figures.compress, seed
        )
        application = self.session_server.application(figures.longest_message)
        application.add_handlers(".*", routes(manager, figures.unsent, figures.longest_message))
        self.server = HTTPServer(
            application,
            max_buffer_size=figures.longest_message,
            ssl_options=self.keys.context if self.keys else None,
        )
        # Sessions that are open go on with the keys they began with; who comes next gets the new ones.
        if self.keys:
            self.keys.changed = self.serve_with
        if self.engine_keys:
            self.engine_keys.changed = self.ask_with
        self.manager, self.come_back = manager, figures.come_back
        kept = script.all("store")
        self.folder = script.path.parent / kept[0].folder / self.declared.name if kept else None
        self.serves_without = bool(kept) and kept[0].without == "serve"
        self.memory: Memory | None = None
        batches = script.all("batches")
        self.batches = batches[0] if batches else None
        self.script_folder = script.path.parent
        self.runner: Runner | None = None
        self.application = application
        self.stop_within = figures.stop_within
        self.stopped = asyncio.Event()
        self.port = 0

    async def start(self) -> str:
        """Serves once the first list is there; returns the sessions' URL."""
        loop = asyncio.get_running_loop()
        self.following = loop.create_task(self.registry.run())
        self.watching = [loop.create_task(k.watch()) for k in (self.keys, self.engine_keys) if k]
        await self.registry.first_list.wait()
        if self.folder:
            memory = self.memory = await Memory.open(self.folder, self.come_back, self.serves_without)
            restored = memory.restore(self.manager.idempotency_table, loop.time())
            await memory.begin(self.core.tally)
            self.manager.memory = memory
            if self.batches and memory.store:
                folder = self.script_folder / self.batches.folder / self.declared.name
                file_storage = FileStorage(
                    folder, memory.store, self.batches.most_file, self.batches.most_files
                )
                self.runner = Runner(self.manager, memory.store, file_storage, loop.time)
                self.application.add_handlers(".*", batch_routes(self.runner, self.manager.catalog.tenants))
                self.runner.start()
            log.info("store open", start=memory.start, completions=restored)
        sockets = bind_sockets(self.declared.port, self.declared.address, backlog=1024)
        self.server.add_sockets(sockets)
        self.port = sockets[0].getsockname()[1]
        return f"{'wss' if self.keys else 'ws'}://{self.declared.address}:{self.port}/v1/sessions"

    def serve_with(self, context: ssl.SSLContext) -> None:
        self.server.ssl_options = context

    def ask_with(self, context: ssl.SSLContext) -> None:
        self.link.tls = context

    def look_at_keys(self) -> None:
        """Now, not at the next look."""
        for keys in (self.keys, self.engine_keys):
            if keys:
                keys.reload()

    def drain(self) -> None:
        log.info("draining", open=self.core.open_count)
        self.session_server.stop()

    async def stop(self) -> None:
        """Takes nothing new, ends what is held within the stated time, then leaves."""
        log.info("stopping", open=self.core.open_count)
        self.server.stop()
        if self.runner:
            await self.runner.stop()
        if not self.session_server.manager.stopping:
            self.session_server.stop()
        idle = asyncio.Event()
        self.core.idle_callbacks.append(idle.set)
        self.session_server.all_closed.clear()
        if not self.core.live:
            idle.set()
        if not self.session_server.open:
            self.session_server.all_closed.set()
        if not (idle.is_set() and self.session_server.all_closed.is_set()):
            try:
                await asyncio.wait_for(
                    asyncio.gather(idle.wait(), self.session_server.all_closed.wait()), self.stop_within
                )
            except TimeoutError:
                log.warning("stopped with completions open", open=self.core.open_count)
                for taken in list(self.core.live):
                    taken.abandon("the front stopped")
                await asyncio.sleep(0)
        self.session_server.close()
        if self.link.tasks.running:
            await asyncio.wait(list(self.link.tasks.running), timeout=self.link.pin_limit)
        for task in (self.following, *self.watching):
            task.cancel()
        self.link.stop()
        await self.server.close_all_connections()
        if self.memory:
            await self.memory.close(self.core.tally)
        tally = self.core.tally
        log.info(
            "stopped",
            taken=tally.taken,
            finished=tally.finished,
            rate_limited=tally.rate_limited,
            aborted=tally.aborted,
            left=tally.left,
            first_tries=self.session_server.manager.repeat_counter.first_requests,
            tries_again=self.session_server.manager.repeat_counter.repeats,
            faults=tally.faults,
            late=tally.late,
        )
        self.stopped.set()


def instance_name(front: str) -> str:
    """Guards against a front that restarts and calls a dispatch as it did before: engines would hold the two
    for one, and let go of the wrong state."""
    return f"{front}-{int(time.time() * 1000):x}"


async def run_front(
    script: Script,
    number: int,
    registry: tuple[str, int],
    ready: Callable[[str], None],
    with_parent: bool = False,
) -> None:
    """Runs until SIGTERM or SIGINT; with_parent: also until standard input closes. SIGUSR1 is a drain notice:
    nothing new is taken and sessions are closed over their window, but the process stays."""
    loop = asyncio.get_running_loop()
    ending = asyncio.Event()
    for sign in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(sign, ending.set)
    front = Front(script, number, registry)
    loop.add_signal_handler(signal.SIGUSR1, front.drain)
    loop.add_signal_handler(signal.SIGHUP, front.look_at_keys)
    if with_parent:
        reader = asyncio.StreamReader()
        await loop.connect_read_pipe(lambda: asyncio.StreamReaderProtocol(reader), sys.stdin)
        watching = loop.create_task(reader.read())
        watching.add_done_callback(lambda _: ending.set())
    url = await front.start()
    log.info("ready", url=url)
    ready(url)
    await ending.wait()
    await front.stop()
