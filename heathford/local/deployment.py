"""Start and end the processes of a local deployment."""

import asyncio
import os
import signal
import sys
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

import orjson
import structlog

from heathford.child_signals import send_signal
from heathford.script.script import Declaration, Script

START_TIMEOUT = 20.0  # s until a process reports that it is ready; a dozen may start at once

log = structlog.get_logger()


class Process:
    """A heathford process and the JSON object that it printed when ready."""

    def __init__(self, name: str, process: asyncio.subprocess.Process, ready: dict[str, Any]) -> None:
        self.name, self.process, self.ready = name, process, ready

    @classmethod
    async def start(
        cls,
        name: str,
        *arguments: str,
        log_level: str = "warning",
        log_file: Any = None,
        program: tuple[str, ...] = (),
    ) -> "Process":
        """Start a process and wait until it is ready. Raises RuntimeError if it is not within START_TIMEOUT.

        program: a module and its arguments to run instead of the command line's module.
        """
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            *(program or ("heathford.cli.main",)),
            "--log-level",
            log_level,
            *arguments,
            stdin=asyncio.subprocess.PIPE,
            stdout=asyncio.subprocess.PIPE,
            stderr=log_file,
            start_new_session=True,
            env={**os.environ, "PYTHONPATH": os.pathsep.join(filter(None, sys.path))},
        )
        assert process.stdout
        try:
            line = await asyncio.wait_for(process.stdout.readline(), START_TIMEOUT)
            return cls(name, process, orjson.loads(line))
        except (TimeoutError, orjson.JSONDecodeError):
            send_signal(process, signal.SIGKILL)
            raise RuntimeError(f"{name} exited or timed out before it was ready") from None

    async def end(self, timeout: float = 5.0) -> int:
        """End the process by SIGTERM, or by SIGKILL after the time-out in s, and return its exit code."""
        if self.process.returncode is None:
            send_signal(self.process, signal.SIGTERM)
            try:
                await asyncio.wait_for(self.process.wait(), timeout)
            except TimeoutError:
                send_signal(self.process, signal.SIGKILL)
                await self.process.wait()
        return self.process.returncode or 0

    def kill(self) -> None:
        send_signal(self.process, signal.SIGKILL)


def registry_entry(
    script: Script, engine: Declaration, address: str, phase: str, start: str
) -> dict[str, Any]:
    """Return the registry's list entry of an engine. start: its start time in ISO 8601."""
    rack = script.named("rack", engine.rack)
    return {
        "metadata": {"name": engine.name, "uid": engine.name},
        "spec": {
            "address": address,
            "kind": engine.kind,
            "zone": rack.zone,
            "rack": engine.rack,
            "size": engine.size,
        },
        "status": {"phase": phase, "startTime": start},
    }


async def send_command(host: str, port: int, command: dict[str, Any]) -> Any:
    """Send a command to a stand-in and return its answer. Raises RuntimeError if the stand-in refuses it."""
    reader, writer = await asyncio.open_connection(host, port)
    try:
        body = orjson.dumps(command)
        writer.write(b"POST / HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n" % len(body) + body)
        head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").lower()
        length = int(head.partition("content-length:")[2].split("\r\n")[0])
        answer = orjson.loads(await reader.readexactly(length))
    finally:
        writer.close()
    if " 200 " not in head.split("\r\n")[0]:
        raise RuntimeError(f"stand-in refused the command {command}: {answer}")
    return answer


LONG_AGO = "2000-01-01T00:00:00+00:00"  # start time of an engine that is warm


class Deployment:
    """The stand-ins and front nodes of a script, each a process of its own."""

    def __init__(self, script: Script) -> None:
        self.script = script
        self.engines: dict[str, Process] = {}
        self.fronts: dict[str, Process] = {}
        self.registry: Process | None = None
        self.host = script.only("registry").address

    async def start_stand_ins(self) -> None:
        """Start the registry, then all engines at once."""
        path = str(self.script.path)
        self.registry = await Process.start(
            "registry",
            "stand-in",
            "registry",
            path,
            "--address",
            self.host,
            "--port",
            str(self.script.only("registry").port),
        )
        names = [e.name for e in self.script.all("engine")]
        started = await asyncio.gather(
            *(Process.start(n, "stand-in", "engine", path, "--name", n) for n in names)
        )
        self.engines = dict(zip(names, started, strict=True))

    def address(self, engine: str) -> str:
        return f"127.0.0.1:{self.engines[engine].ready['port']}"

    async def tell_registry(self, command: dict[str, Any]) -> Any:
        assert self.registry
        return await send_command(self.host, self.registry.ready["commands"], command)

    async def tell_engine(self, name: str, command: dict[str, Any]) -> Any:
        return await send_command("127.0.0.1", self.engines[name].ready["commands"], command)

    async def list_engines(self, address: Callable[[str], str]) -> None:
        """Publish all engines in the registry as warm. address: from an engine's name to its address."""
        await self.tell_registry(
            {
                "do": "put_now",
                "items": [
                    registry_entry(self.script, e, address(e.name), "Running", LONG_AGO)
                    for e in self.script.all("engine")
                ],
            }
        )

    async def start_front(
        self,
        number: int,
        registry: tuple[str, int] | None = None,
        log_file: Any = None,
        log_level: str = "warning",
        program: tuple[str, ...] = (),
    ) -> Process:
        """Start the front node with this index in the script and wait until it is ready.

        registry: host and port to connect to instead of the registry's own. program: see `Process.start`.
        """
        declaration = self.script.all("front")[number]
        assert self.registry
        host, port = registry or (self.host, self.registry.ready["port"])
        front = await Process.start(
            declaration.name,
            "front",
            str(self.script.path),
            "--number",
            str(number),
            "--registry",
            f"{host}:{port}",
            "--with-parent",
            log_file=log_file,
            log_level=log_level,
            program=program,
        )
        self.fronts[declaration.name] = front
        return front

    async def end(self) -> None:
        """End all processes, the front nodes first."""
        stop_within = self.script.only("sessions").stop_within
        await asyncio.gather(*(f.end(stop_within + 2.0) for f in self.fronts.values()))
        others = [*self.engines.values(), *([self.registry] if self.registry else [])]
        await asyncio.gather(*(p.end() for p in others))


async def run_up(
    script: Script, ready_file: Path | None, once_ready: Callable[[dict[str, Any]], Awaitable[int | None]]
) -> int:
    """Run the deployment until a signal, or until `once_ready` returns an exit code; return the exit code.

    once_ready: called with the URLs of the running deployment; None keeps it running. The exit code is 1 if
    the deployment did not start or one of its processes exited by itself.
    """
    loop = asyncio.get_running_loop()
    end_requested = asyncio.Event()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, end_requested.set)
    deployment = Deployment(script)
    code = 0
    try:
        await deployment.start_stand_ins()
        await deployment.list_engines(deployment.address)
        await asyncio.gather(*(deployment.start_front(n) for n in range(len(script.all("front")))))
        assert deployment.registry
        ready = {
            "fronts": [f.ready["url"] for f in deployment.fronts.values()],
            "engines": [f"http://{deployment.address(e)}" for e in deployment.engines],
            "registry": f"http://{deployment.host}:{deployment.registry.ready['port']}/api/v1/engines",
            "workloads": [w.name for w in script.all("workload")],
        }
        if ready_file:
            temporary_file = ready_file.with_name(ready_file.name + ".part")
            temporary_file.write_bytes(orjson.dumps(ready, option=orjson.OPT_INDENT_2))
            temporary_file.replace(ready_file)
        exit_code = await once_ready(ready)
        if exit_code is not None:
            return exit_code
        processes = [*deployment.fronts.values(), *deployment.engines.values(), deployment.registry]
        exit_tasks = [loop.create_task(p.process.wait(), name=p.name) for p in processes]
        signalled = loop.create_task(end_requested.wait())
        await asyncio.wait([signalled, *exit_tasks], return_when=asyncio.FIRST_COMPLETED)
        for task in exit_tasks:
            if task.done() and not end_requested.is_set():
                log.error("process exited unexpectedly", process=task.get_name(), code=task.result())
                code = 1
    except RuntimeError as start_error:
        log.error("deployment did not start", why=str(start_error))
        code = 1
    finally:
        await deployment.end()
    return code
