"""Build a front node from the settings, and run it as a process.

Its parts are the core, the link to the engines, the follower of the endpoint list, the client sessions, the
store and the batch runner.
"""

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
    """One front node with all of its parts.

    number: the index of its section in the script. registry: the address and port of the registry. Raises
    RuntimeError if TLS keys are set and can't be loaded. Must be made in a running event loop.
    """

    def __init__(self, script: Script, number: int, registry: tuple[str, int]) -> None:
        fronts = script.all("front")
        self.front_settings = fronts[number]
        zones = [z.name for z in script.all("zone")]
        kinds = script.all("kind")
        workloads, safety_settings, attempt_settings = (
            script.all("workload"),
            script.only("safety"),
            script.only("dispatches"),
        )
        seed_sections = script.all("seed")
        seed = (seed_sections[0].value if seed_sections else 0) * len(fronts) + number
        loop = asyncio.get_running_loop()
        self.keys, self.engine_keys = (
            keys_from_script(script, "service_tls"),
            keys_from_script(script, "engine_tls"),
        )
        for keys in (self.keys, self.engine_keys):
            if keys:
                keys.reload()
                if not keys.context:
                    raise RuntimeError("TLS keys can't be loaded")
        self.link = EngineLink(
            attempt_settings.connect_timeout,
            attempt_settings.connections,
            attempt_settings.idle,
            safety_settings.stream_silence,
            attempt_settings.longest_line,
            safety_settings.pin_limit,
            source=self.front_settings.address,
            tls=self.engine_keys.context if self.engine_keys else None,
        )
        self.core = Core(
            loop,
            self.link,
            instance_name(self.front_settings.name),
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
                for w in workloads
            ],
            number,
            len(fronts),
            zones.index(self.front_settings.zone),
            attempt_settings.try_limit,
            safety_settings.pin_limit,
            attempt_settings.may_cancel,
            attempt_settings.longest_retry,
            safety_settings.warm_after,
            safety_settings.cold_from,
            safety_settings.cold_multiple,
            safety_settings.cold_window,
            safety_settings.answer_margin,
            safety_settings.stream_limit,
        )
        follower = RegistryFollower(
            {k.name: (position, Role(k.role)) for position, k in enumerate(kinds)},
            zones,
            [r.name for r in script.all("rack")],
            seed,
            safety_settings.warm_after,
        )
        self.registry = RegistryClient(
            *registry, follower, self.core.apply_endpoint_list, source=self.front_settings.address
        )
        session_settings = script.only("sessions")
        catalog = WorkloadCatalog(
            [
                WorkloadLimits(
                    position,
                    w.name,
                    w.client_timeout,
                    2 * w.target_per_1000,
                    w.longest,
                    w.bytes_per_token,
                    w.most_prompt,
                    w.latency_target,
                    w.target_per_1000,
                )
                for position, w in enumerate(workloads)
            ],
            [m.name for m in script.all("member")],
        )
        manager = SessionManager(
            self.core,
            catalog,
            SessionCapacity(session_settings.most_held, session_settings.most, session_settings.read_ahead),
            FairQueue(),
            IdempotencyTable(session_settings.identities, session_settings.come_back),
            loop.time,
            loop.call_at,
            session_settings.most_out,
            session_settings.most_waiting,
        )
        liveness_timeouts = LivenessTimeouts(
            session_settings.ping, session_settings.pong, session_settings.idle, session_settings.slow
        )
        self.session_server = SessionServer(
            manager,
            loop.time,
            liveness_timeouts,
            session_settings.unsent,
            session_settings.farewell,
            session_settings.compress,
            seed,
        )
        application = self.session_server.application(session_settings.longest_message)
        application.add_handlers(
            ".*", routes(manager, session_settings.unsent, session_settings.longest_message)
        )
        self.server = HTTPServer(
            application,
            max_buffer_size=session_settings.longest_message,
            ssl_options=self.keys.context if self.keys else None,
        )
        # Open sessions keep the TLS keys of their handshake; new connections use the reloaded keys.
        if self.keys:
            self.keys.changed = self.set_service_context
        if self.engine_keys:
            self.engine_keys.changed = self.set_engine_context
        self.manager, self.answer_retention = manager, session_settings.come_back
        store_sections = script.all("store")
        self.store_folder = (
            script.path.parent / store_sections[0].folder / self.front_settings.name
            if store_sections
            else None
        )
        self.serves_without_store = bool(store_sections) and store_sections[0].without == "serve"
        self.memory: Memory | None = None
        batch_sections = script.all("batches")
        self.batch_settings = batch_sections[0] if batch_sections else None
        self.script_folder = script.path.parent
        self.runner: Runner | None = None
        self.application = application
        self.stop_timeout = session_settings.stop_within
        self.stopped = asyncio.Event()
        self.port = 0

    async def start(self) -> str:
        """Wait for the first endpoint list, then listen for clients; return the URL of the sessions."""
        loop = asyncio.get_running_loop()
        self.registry_task = loop.create_task(self.registry.run())
        self.key_watch_tasks = [loop.create_task(k.watch()) for k in (self.keys, self.engine_keys) if k]
        await self.registry.first_list.wait()
        if self.store_folder:
            memory = self.memory = await Memory.open(
                self.store_folder, self.answer_retention, self.serves_without_store
            )
            restored = memory.restore(self.manager.idempotency_table, loop.time())
            await memory.record_start(self.core.tally)
            self.manager.memory = memory
            if self.batch_settings and memory.store:
                folder = self.script_folder / self.batch_settings.folder / self.front_settings.name
                file_storage = FileStorage(
                    folder, memory.store, self.batch_settings.most_file, self.batch_settings.most_files
                )
                self.runner = Runner(self.manager, memory.store, file_storage, loop.time)
                self.application.add_handlers(".*", batch_routes(self.runner, self.manager.catalog.tenants))
                self.runner.start()
            log.info("store open", start=memory.start_number, completions=restored)
        sockets = bind_sockets(self.front_settings.port, self.front_settings.address, backlog=1024)
        self.server.add_sockets(sockets)
        self.port = sockets[0].getsockname()[1]
        return f"{'wss' if self.keys else 'ws'}://{self.front_settings.address}:{self.port}/v1/sessions"

    def set_service_context(self, context: ssl.SSLContext) -> None:
        """Use that context for new connections from clients."""
        self.server.ssl_options = context

    def set_engine_context(self, context: ssl.SSLContext) -> None:
        """Use that context for new connections to engines."""
        self.link.tls = context

    def reload_keys(self) -> None:
        """Reload the TLS keys at once instead of at the next periodic check."""
        for keys in (self.keys, self.engine_keys):
            if keys:
                keys.reload()

    def drain(self) -> None:
        """Refuse new requests and close the sessions gradually; the process goes on."""
        log.info("draining", open=self.core.open_count)
        self.session_server.stop()

    async def stop(self) -> None:
        """Refuse new requests, wait for those in progress or the time-out, abandon the rest and close."""
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
                    asyncio.gather(idle.wait(), self.session_server.all_closed.wait()), self.stop_timeout
                )
            except TimeoutError:
                log.warning("stopped with completions open", open=self.core.open_count)
                for request in list(self.core.live):
                    request.abandon("the front stopped")
                await asyncio.sleep(0)
        self.session_server.close()
        if self.link.tasks.running:
            await asyncio.wait(list(self.link.tasks.running), timeout=self.link.pin_limit)
        for task in (self.registry_task, *self.key_watch_tasks):
            task.cancel()
        self.link.stop()
        await self.server.close_all_connections()
        if self.memory:
            await self.memory.close(self.core.tally)
        tally = self.core.tally
        log.info(
            "stopped",
            **tally.ends(),
            first_tries=self.session_server.manager.repeat_counter.first_requests,
            tries_again=self.session_server.manager.repeat_counter.repeats,
            faults=tally.faults,
            late=tally.late,
        )
        self.stopped.set()


def instance_name(front: str) -> str:
    """Return a name that is unique to this start of the front node.

    If attempts after a restart had the names of earlier ones, engines would take the two for one, and release
    the wrong prefill state.
    """
    return f"{front}-{int(time.time() * 1000):x}"


async def run_front(
    script: Script,
    number: int,
    registry: tuple[str, int],
    ready: Callable[[str], None],
    with_parent: bool = False,
) -> None:
    """Run a front node until SIGTERM or SIGINT; with_parent: or until standard input closes.

    ready: called with the URL of the sessions once clients can connect. SIGUSR1 is a drain notice: new
    requests are refused and the sessions are closed gradually, but the process goes on. SIGHUP reloads
    the TLS keys.
    """
    loop = asyncio.get_running_loop()
    stop_requested = asyncio.Event()
    for stop_signal in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(stop_signal, stop_requested.set)
    front = Front(script, number, registry)
    loop.add_signal_handler(signal.SIGUSR1, front.drain)
    loop.add_signal_handler(signal.SIGHUP, front.reload_keys)
    if with_parent:
        reader = asyncio.StreamReader()
        await loop.connect_read_pipe(lambda: asyncio.StreamReaderProtocol(reader), sys.stdin)
        parent_watch = loop.create_task(reader.read())
        parent_watch.add_done_callback(lambda _: stop_requested.set())
    url = await front.start()
    log.info("ready", url=url)
    ready(url)
    await stop_requested.wait()
    await front.stop()
