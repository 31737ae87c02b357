"""One front node as a process: start, signals, restarts, resource measurements and checks of its log."""

import asyncio
import os
import signal
import sys
from collections import deque
from collections.abc import Callable
from contextlib import suppress
from math import inf
from pathlib import Path
from time import monotonic
from typing import Any

import orjson

from heathford.child_signals import send_signal
from heathford.ports import reserved_port
from heathford.soak.client import FrontAddress
from heathford.soak.plan import FaultKind
from heathford.soak.records import Record, RecordKind
from heathford.standin.platform import SECOND

RecordCallback = Callable[[Record], None]
HOOK_FOLDER = Path(__file__).parent / "hook"
KEPT_OUTPUT_LINES = 3  # last lines on stderr that are not JSON, reported when a process ends unexpectedly
MAX_COUNTED_DEADLINE = 3.0  # s; a longer deadline of the deployment does not delay SIGKILL any further
KILL_MARGIN = 0.7  # s; SIGKILL follows SIGTERM after the deployment's longest deadline and this margin
NEW_CONNECTIONS_PERIOD = 0.3  # s after SIGTERM in which clients may still open new connections
STALL_ALLOWANCE = 0.15  # s for which a front node may be stopped, according to its specification
SIGNAL_SPACING = 0.002  # s between two signals of SIGNAL_SERIES
RESTART_FAULTS = (FaultKind.TERMINATE, FaultKind.KILL, FaultKind.SIGNAL_SERIES, FaultKind.STOP_AMID_END)
INTERPRETER_START_TIME = 5.0  # s; SIGTERM may end a process at once before the program's first line runs
MIN_RELOAD_DELAY = 1.0  # s from a start; operators send no SIGHUP earlier, nor before the node is ready
RELOAD_POLL_INTERVAL = 0.02  # s between two checks whether SIGHUP may be sent
REPORTED_LEVELS = ("error", "critical")  # log levels whose messages are recorded as errors
EXPECTED_ERRORS = ("configuration not taken",)  # log events that faults of the soak cause
CLOCK_STEPS = (5.0, -5.0, 3_600.0, -3_600.0)  # s by which the wall clock steps
SHIM_FAULTS = frozenset(
    {
        FaultKind.CLOCK,
        FaultKind.ACCEPT_FAILS,
        FaultKind.CONNECT_FAILS,
        FaultKind.SEND_SHORT,
        FaultKind.RECV_SHORT,
        FaultKind.LINK_BREAKS,
        FaultKind.LOG_FAILS,
        FaultKind.LOOKS_FAIL,
    }
)


class FrontProcess:
    """A front node that is restarted under the same name and port; its log is checked while it runs.

    discovery_addresses: where its discovery listens; the first one is configured. shims: what
    hook/sitecustomize.py injects into the process, as (kind, from, until, clock step); times in s on the
    monotonic clock.
    """

    def __init__(
        self,
        name: str,
        folder: Path,
        settings: dict[str, Any],
        discovery_addresses: list[str],
        shims: list[tuple[str, float, float, float]],
        add_record: RecordCallback,
    ) -> None:
        self.name, self.folder, self.settings, self.add_record = name, folder, settings, add_record
        self.discovery_addresses, self.shims = discovery_addresses, shims
        longest = max(category["deadlineNs"] for category in settings["categories"]) / SECOND
        self.kill_delay = min(longest, MAX_COUNTED_DEADLINE) + KILL_MARGIN
        self.reserved_socket = reserved_port()
        self.address = FrontAddress(name, self.reserved_socket.getsockname()[1])
        self.last_output_lines: deque[str] = deque(maxlen=KEPT_OUTPUT_LINES)
        self.path = folder / f"{name}.json"
        self.process: asyncio.subprocess.Process | None = None
        self.log_task: asyncio.Task[None] | None = None
        self.is_ending = False  # the present process was sent SIGTERM or SIGKILL
        self.run_ended = False
        self.logged_violations = 0  # by the present process: "rule violated" lines
        self.restart_lock = asyncio.Lock()
        self.started_at = self.ready_at = inf  # s on the monotonic clock, of the present process

    def configure(self) -> None:
        self.path.write_bytes(
            orjson.dumps(
                {
                    "discovery": self.discovery_addresses[0],
                    "limits": {"sockets": 400},
                    "seed": 1,
                    "settings": self.settings,
                }
            )
        )

    async def start(self) -> None:
        self.is_ending = False
        self.logged_violations = 0
        self.last_output_lines.clear()
        self.started_at, self.ready_at = monotonic(), inf
        self.configure()
        self.process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "heathford",
            "--log",
            "json",
            "platform",
            stderr=asyncio.subprocess.PIPE,
            env={
                **os.environ,
                "NODE_NAME": self.name,
                "NODE_LISTEN": f"127.0.0.1:{self.address.port}",
                "NODE_DISCOVERY": self.discovery_addresses[0],
                "NODE_CONFIG": str(self.path),
                "PYTHONPATH": f"{HOOK_FOLDER}:{os.environ.get('PYTHONPATH', '')}",
                "SOAK_SHIMS": orjson.dumps(self.shims).decode(),
            },
        )
        self.log_task = asyncio.create_task(self.read_log(self.process))

    async def read_log(self, process: asyncio.subprocess.Process) -> None:
        assert process.stderr
        started_at = monotonic()
        with (self.folder / f"{self.name}.log").open("ab", buffering=0) as log:
            while line := await process.stderr.readline():
                log.write(line)
                self.check_log_line(line)
        status = await process.wait()
        self.address.ready = False
        if not self.run_ended:
            early = status == -signal.SIGTERM and monotonic() - started_at < INTERPRETER_START_TIME
            expected = self.is_ending and (status in (0, -signal.SIGKILL) or early)
            self.record(
                RecordKind.EXIT,
                status,
                "" if expected else f"unexpected: {' / '.join(self.last_output_lines)}",
            )

    def check_log_line(self, line: bytes) -> None:
        try:
            entry = orjson.loads(line)
        except orjson.JSONDecodeError:
            self.last_output_lines.append(line.decode(errors="replace").strip())
            if b"Traceback" in line or b"Error" in line:
                self.record(RecordKind.LOG, text=line.decode(errors="replace").strip())
            return
        if entry.get("event") == "ready":
            self.address.ready = True
            self.ready_at = monotonic()
        if entry.get("event") == "rule violated":
            self.logged_violations += 1
        counted_violations = sum(entry.get("violations", {}).values()) if entry.get("event") == "state" else 0
        if counted_violations > self.logged_violations:
            self.logged_violations = counted_violations
            self.record(RecordKind.LOG, text=f"violations counted, but not all logged: {entry['violations']}")
        if entry.get("level") in REPORTED_LEVELS and entry.get("event") not in EXPECTED_ERRORS:
            self.record(RecordKind.LOG, text=line.decode()[:2_000].strip())

    def record(self, kind: RecordKind, value: float = 0.0, text: str = "") -> None:
        self.add_record(Record(monotonic(), kind, self.name, "", "", value, text))

    def send(self, number: signal.Signals) -> None:
        if self.process:
            send_signal(self.process, number)

    def can_reload(self) -> bool:
        """Return whether SIGHUP may be sent: not in a process's first second, nor before it is ready."""
        return monotonic() >= max(self.started_at + MIN_RELOAD_DELAY, self.ready_at)

    async def inject(self, kind: FaultKind, seconds: float) -> None:
        """Inject a fault of the process itself and wait until it has ended."""
        if kind in (FaultKind.STOP_SHORT, FaultKind.STOP_LONG):
            self.send(signal.SIGSTOP)
            await asyncio.sleep(min(seconds, 0.15) if kind is FaultKind.STOP_SHORT else seconds)
            self.send(signal.SIGCONT)
        elif kind is FaultKind.RELOAD:
            while not self.can_reload():
                await asyncio.sleep(RELOAD_POLL_INTERVAL)
            self.discovery_addresses.reverse()
            self.configure()
            self.send(signal.SIGHUP)
            await asyncio.sleep(0.01)
            if self.can_reload():  # false if the process has been restarted since
                self.send(signal.SIGHUP)
        elif kind in RESTART_FAULTS:
            async with self.restart_lock:
                await self.restart(kind)

    async def restart(self, kind: FaultKind) -> None:
        process = self.process
        if process is None or process.returncode is not None or self.run_ended:
            return
        self.is_ending = True
        if kind is not FaultKind.KILL:
            terminated_at = monotonic()
            await self.terminate(kind)
            await asyncio.sleep(terminated_at + NEW_CONNECTIONS_PERIOD - monotonic())
            self.address.ready = False
            with suppress(TimeoutError):
                async with asyncio.timeout(terminated_at + self.kill_delay - monotonic()):
                    await process.wait()
        self.address.ready = False
        self.send(signal.SIGCONT)
        send_signal(process, signal.SIGKILL)
        if self.log_task:
            await asyncio.wait({self.log_task})  # cancelling wait() does not cancel the log task
        if not self.run_ended:
            await self.start()

    async def terminate(self, kind: FaultKind) -> None:
        """Send SIGTERM, alone or together with the other signals of the fault."""
        reloaded = kind is FaultKind.SIGNAL_SERIES and self.can_reload()
        if reloaded:
            self.discovery_addresses.reverse()
            self.configure()
            self.send(signal.SIGHUP)
            await asyncio.sleep(SIGNAL_SPACING)
        elif kind is FaultKind.STOP_AMID_END:
            self.send(signal.SIGSTOP)
        self.record(RecordKind.ENDING)
        self.send(signal.SIGTERM)
        if reloaded:
            await asyncio.sleep(SIGNAL_SPACING)
            self.send(signal.SIGHUP)
        elif kind is FaultKind.STOP_AMID_END:
            await asyncio.sleep(STALL_ALLOWANCE)
            self.send(signal.SIGCONT)

    def measure(self) -> None:
        if not self.process or self.process.returncode is not None:
            return
        with suppress(OSError, StopIteration):
            proc_folder = Path(f"/proc/{self.process.pid}")
            descriptors = len(list((proc_folder / "fd").iterdir()))
            memory = next(
                line for line in (proc_folder / "status").read_text().splitlines() if line.startswith("VmRSS")
            )
            self.record(RecordKind.MEASURE, descriptors, memory.split()[1])

    async def stop(self) -> None:
        self.run_ended = self.is_ending = True
        self.send(signal.SIGCONT)
        self.send(signal.SIGKILL)
        if self.log_task:
            await asyncio.wait({self.log_task})
        self.reserved_socket.close()
