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
from heathford.soak.plan import Kind
from heathford.soak.records import Record, Seen
from heathford.standin.platform import SECOND

Note = Callable[[Record], None]
HOOK = Path(__file__).parent / "hook"
LAST_WORDS = 3  # lines that are no JSON, told of a process that ends unexpectedly
LONGEST_COUNTED = 3.0  # s of the deployment's longest deadline that count for the kill
PAST_DEADLINE = 0.7  # s after that, from SIGTERM, at which SIGKILL comes at the earliest
NEW_CONNECTIONS = 0.3  # s from SIGTERM for which clients still open new ones
HELD_UP = 0.15  # s for which a process may be held up, as the users state
WITHIN_MILLISECONDS = 0.002  # s between two signals of a series
ENDINGS = (Kind.TERMINATE, Kind.KILL, Kind.SIGNAL_SERIES, Kind.STOP_AMID_END)
INTERPRETER_STARTS = 5.0  # s: a signal before the program's first line ends the process; the pages exclude it
RELOADED_AFTER = 1.0  # s from a start, and ready: the pages send no SIGHUP before
RELOAD_LOOK = 0.02  # s between two looks at that
WRONG = ("error", "critical")
EXPECTED = ("configuration not taken",)
STEPS = (5.0, -5.0, 3_600.0, -3_600.0)  # s by which the wall clock steps
SHIMMED = frozenset(
    {
        Kind.CLOCK,
        Kind.ACCEPT_FAILS,
        Kind.CONNECT_FAILS,
        Kind.SEND_SHORT,
        Kind.RECV_SHORT,
        Kind.LINK_BREAKS,
        Kind.LOG_FAILS,
        Kind.LOOKS_FAIL,
    }
)


class FrontProcess:
    """shims: rows of what the hook is told. discoveries: where discovery may be, the present one first."""

    def __init__(
        self,
        name: str,
        folder: Path,
        settings: dict[str, Any],
        discoveries: list[str],
        shims: list[tuple[str, float, float, float]],
        note: Note,
    ) -> None:
        self.name, self.folder, self.settings, self.note = name, folder, settings, note
        self.discoveries, self.shims = discoveries, shims
        longest = max(category["deadlineNs"] for category in settings["categories"]) / SECOND
        self.to_the_kill = min(longest, LONGEST_COUNTED) + PAST_DEADLINE
        self.reserved = reserved_port()
        self.address = FrontAddress(name, self.reserved.getsockname()[1])
        self.last_words: deque[str] = deque(maxlen=LAST_WORDS)
        self.path = folder / f"{name}.json"
        self.process: asyncio.subprocess.Process | None = None
        self.reading: asyncio.Task[None] | None = None
        self.ends = False  # it was told to end, or killed
        self.over = False  # the run is
        self.violations_told = 0  # by this process, a line each
        self.busy = asyncio.Lock()
        self.started_at = self.ready_at = inf  # s on the machine's clock, of the present process

    def configure(self) -> None:
        self.path.write_bytes(
            orjson.dumps(
                {
                    "discovery": self.discoveries[0],
                    "limits": {"sockets": 400},
                    "seed": 1,
                    "settings": self.settings,
                }
            )
        )

    async def start(self) -> None:
        self.ends = False
        self.violations_told = 0
        self.last_words.clear()
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
                "NODE_DISCOVERY": self.discoveries[0],
                "NODE_CONFIG": str(self.path),
                "PYTHONPATH": f"{HOOK}:{os.environ.get('PYTHONPATH', '')}",
                "SOAK_SHIMS": orjson.dumps(self.shims).decode(),
            },
        )
        self.reading = asyncio.create_task(self.read_log(self.process))

    async def read_log(self, process: asyncio.subprocess.Process) -> None:
        assert process.stderr
        began = monotonic()
        with (self.folder / f"{self.name}.log").open("ab", buffering=0) as log:
            while line := await process.stderr.readline():
                log.write(line)
                self.heed(line)
        status = await process.wait()
        self.address.ready = False
        if not self.over:
            early = status == -signal.SIGTERM and monotonic() - began < INTERPRETER_STARTS
            expected = self.ends and (status in (0, -signal.SIGKILL) or early)
            self.say(Seen.EXIT, status, "" if expected else f"unexpected: {' / '.join(self.last_words)}")

    def heed(self, line: bytes) -> None:
        try:
            said = orjson.loads(line)
        except orjson.JSONDecodeError:
            self.last_words.append(line.decode(errors="replace").strip())
            if b"Traceback" in line or b"Error" in line:
                self.say(Seen.LOG, text=line.decode(errors="replace").strip())
            return
        if said.get("event") == "ready":
            self.address.ready = True
            self.ready_at = monotonic()
        if said.get("event") == "rule violated":
            self.violations_told += 1
        counted = sum(said.get("violations", {}).values()) if said.get("event") == "state" else 0
        if counted > self.violations_told:
            self.violations_told = counted
            self.say(Seen.LOG, text=f"violations counted, and not all told: {said['violations']}")
        if said.get("level") in WRONG and said.get("event") not in EXPECTED:
            self.say(Seen.LOG, text=line.decode()[:2_000].strip())

    def say(self, kind: Seen, value: float = 0.0, text: str = "") -> None:
        self.note(Record(monotonic(), kind, self.name, "", "", value, text))

    def send(self, number: signal.Signals) -> None:
        if self.process:
            send_signal(self.process, number)

    def may_be_reloaded(self) -> bool:
        """The pages: SIGHUP comes never in a process's first second, nor before it is ready."""
        return monotonic() >= max(self.started_at + RELOADED_AFTER, self.ready_at)

    async def suffer(self, kind: Kind, seconds: float) -> None:
        """A trouble of this process itself."""
        if kind in (Kind.STOP_SHORT, Kind.STOP_LONG):
            self.send(signal.SIGSTOP)
            await asyncio.sleep(min(seconds, 0.15) if kind is Kind.STOP_SHORT else seconds)
            self.send(signal.SIGCONT)
        elif kind is Kind.RELOAD:
            while not self.may_be_reloaded():
                await asyncio.sleep(RELOAD_LOOK)
            self.discoveries.reverse()
            self.configure()
            self.send(signal.SIGHUP)
            await asyncio.sleep(0.01)
            if self.may_be_reloaded():  # it may have been started anew since
                self.send(signal.SIGHUP)
        elif kind in ENDINGS:
            async with self.busy:
                await self.restart(kind)

    async def restart(self, kind: Kind) -> None:
        process = self.process
        if process is None or process.returncode is not None or self.over:
            return
        self.ends = True
        if kind is not Kind.KILL:
            told_at = monotonic()
            await self.tell_to_end(kind)
            await asyncio.sleep(told_at + NEW_CONNECTIONS - monotonic())
            self.address.ready = False
            with suppress(TimeoutError):
                async with asyncio.timeout(told_at + self.to_the_kill - monotonic()):
                    await process.wait()
        self.address.ready = False
        self.send(signal.SIGCONT)
        send_signal(process, signal.SIGKILL)
        if self.reading:
            await asyncio.wait({self.reading})  # a cancelled wait does not cancel what reads the log
        if not self.over:
            await self.start()

    async def tell_to_end(self, kind: Kind) -> None:
        """SIGTERM, alone or amid other signals."""
        reloaded = kind is Kind.SIGNAL_SERIES and self.may_be_reloaded()
        if reloaded:
            self.discoveries.reverse()
            self.configure()
            self.send(signal.SIGHUP)
            await asyncio.sleep(WITHIN_MILLISECONDS)
        elif kind is Kind.STOP_AMID_END:
            self.send(signal.SIGSTOP)
        self.say(Seen.ENDING)
        self.send(signal.SIGTERM)
        if reloaded:
            await asyncio.sleep(WITHIN_MILLISECONDS)
            self.send(signal.SIGHUP)
        elif kind is Kind.STOP_AMID_END:
            await asyncio.sleep(HELD_UP)
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
            self.say(Seen.MEASURE, descriptors, memory.split()[1])

    async def stop(self) -> None:
        self.over = self.ends = True
        self.send(signal.SIGCONT)
        self.send(signal.SIGKILL)
        if self.reading:
            await asyncio.wait({self.reading})
        self.reserved.close()
