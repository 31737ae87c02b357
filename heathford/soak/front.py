"""One front node as a process: started, signalled, measured, its log read."""

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
KEPT_OUTPUT_LINES = 3  # lines that are no JSON, told of a process that ends unexpectedly
MAX_COUNTED_DEADLINE = 3.0  # s of the deployment's longest deadline that count for the kill
KILL_MARGIN = 0.7  # s after that, from SIGTERM, at which SIGKILL comes at the earliest
NEW_CONNECTIONS_PERIOD = 0.3  # s from SIGTERM for which clients still open new ones
STALL_ALLOWANCE = 0.15  # s for which a process may be held up, as the users state
SIGNAL_SPACING = 0.002  # s between two signals of a series
RESTART_FAULTS = (FaultKind.TERMINATE, FaultKind.KILL, FaultKind.SIGNAL_SERIES, FaultKind.STOP_AMID_END)
INTERPRETER_START_TIME = (
    5.0  # s: a signal before the program's first line ends the process; the pages exclude it
)
MIN_RELOAD_DELAY = 1.0  # s from a start, and ready: the pages send no SIGHUP before
RELOAD_POLL_INTERVAL = 0.02  # s between two looks at that
REPORTED_LEVELS = ("error", "critical")
EXPECTED_ERRORS = ("configuration not taken",)
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
    """shims: rows of what the hook is told. discoveries: where discovery may be, the present one first."""

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
        self.is_ending = False  # it was told to end, or killed
        self.run_ended = False  # the run is
        self.logged_violations = 0  # by this process, a line each
        self.restart_lock = asyncio.Lock()
        self.started_at = self.ready_at = inf  # s on the machine's clock, of the present process

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
        began = monotonic()
        with (self.folder / f"{self.name}.log").open("ab", buffering=0) as log:
            while line := await process.stderr.readline():
                log.write(line)
                self.check_log_line(line)
        status = await process.wait()
        self.address.ready = False
        if not self.run_ended:
            early = status == -signal.SIGTERM and monotonic() - began < INTERPRETER_START_TIME
            expected = self.is_ending and (status in (0, -signal.SIGKILL) or early)
            self.record(
                RecordKind.EXIT,
                status,
                "" if expected else f"unexpected: {' / '.join(self.last_output_lines)}",
            )

    def check_log_line(self, line: bytes) -> None:
        try:
            said = orjson.loads(line)
        except orjson.JSONDecodeError:
            self.last_output_lines.append(line.decode(errors="replace").strip())
            if b"Traceback" in line or b"Error" in line:
                self.record(RecordKind.LOG, text=line.decode(errors="replace").strip())
            return
        if said.get("event") == "ready":
            self.address.ready = True
            self.ready_at = monotonic()
        if said.get("event") == "rule violated":
            self.logged_violations += 1
        counted = sum(said.get("violations", {}).values()) if said.get("event") == "state" else 0
        if counted > self.logged_violations:
            self.logged_violations = counted
            self.record(RecordKind.LOG, text=f"violations counted, and not all told: {said['violations']}")
        if said.get("level") in REPORTED_LEVELS and said.get("event") not in EXPECTED_ERRORS:
            self.record(RecordKind.LOG, text=line.decode()[:2_000].strip())

    def record(self, kind: RecordKind, value: float = 0.0, text: str = "") -> None:
        self.add_record(Record(monotonic(), kind, self.name, "", "", value, text))

    def send(self, number: signal.Signals) -> None:
        if self.process:
            send_signal(self.process, number)

    def can_reload(self) -> bool:
        """The pages: SIGHUP comes never in a process's first second, nor before it is ready."""
        return monotonic() >= max(self.started_at + MIN_RELOAD_DELAY, self.ready_at)

    async def inject(self, kind: FaultKind, seconds: float) -> None:
        """A trouble of this process itself."""
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
            if self.can_reload():  # it may have been started anew since
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
            told_at = monotonic()
            await self.terminate(kind)
            await asyncio.sleep(told_at + NEW_CONNECTIONS_PERIOD - monotonic())
            self.address.ready = False
            with suppress(TimeoutError):
                async with asyncio.timeout(told_at + self.kill_delay - monotonic()):
                    await process.wait()
        self.address.ready = False
        self.send(signal.SIGCONT)
        send_signal(process, signal.SIGKILL)
        if self.log_task:
            await asyncio.wait({self.log_task})  # a cancelled wait does not cancel what reads the log
        if not self.run_ended:
            await self.start()

    async def terminate(self, kind: FaultKind) -> None:
        """SIGTERM, alone or amid other signals."""
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
            place = Path(f"/proc/{self.process.pid}")
            descriptors = len(list((place / "fd").iterdir()))
            memory = next(
                line for line in (place / "status").read_text().splitlines() if line.startswith("VmRSS")
            )
            self.record(RecordKind.MEASURE, descriptors, memory.split()[1])

    async def stop(self) -> None:
        self.run_ended = self.is_ending = True
        self.send(signal.SIGCONT)
        self.send(signal.SIGKILL)
        if self.log_task:
            await asyncio.wait({self.log_task})
        self.reserved_socket.close()
