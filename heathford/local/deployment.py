"""Starts and ends the processes of a local deployment."""

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

PATIENCE = 20.0  # s for a process to say that it is ready: a dozen Pythons start together

log = structlog.get_logger()


class Process:
    """A heathford process and the line it said when ready."""

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
        """program: a module, with arguments of its own, that takes the command line's place."""
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
            line = await asyncio.wait_for(process.stdout.readline(), PATIENCE)
            return cls(name, process, orjson.loads(line))
        except (TimeoutError, orjson.JSONDecodeError):
            send_signal(process, signal.SIGKILL)
            raise RuntimeError(f"{name} did not start") from None

    async def end(self, patience: float = 5.0) -> int:
        if self.process.returncode is None:
            send_signal(self.process, signal.SIGTERM)
            try:
                await asyncio.wait_for(self.process.wait(), patience)
            except TimeoutError:
                send_signal(self.process, signal.SIGKILL)
                await self.process.wait()
        return self.process.returncode or 0

    def kill(self) -> None:
        send_signal(self.process, signal.SIGKILL)


def registry_entry(
    script: Script, engine: Declaration, address: str, phase: str, start: str
) -> dict[str, Any]:
    """An engine as the registry lists it."""
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


async def ask(host: str, port: int, said: dict[str, Any]) -> Any:
    """A command to a stand-in; its answer."""
    reader, writer = await asyncio.open_connection(host, port)
    try:
        body = orjson.dumps(said)
        writer.write(b"POST / HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n" % len(body) + body)
        head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").lower()
        length = int(head.partition("content-length:")[2].split("\r\n")[0])
        answer = orjson.loads(await reader.readexactly(length))
    finally:
        writer.close()
    if " 200 " not in head.split("\r\n")[0]:
        raise RuntimeError(f"{said}: {answer}")
    return answer


LONG_AGO = "2000-01-01T00:00:00+00:00"


class Deployment:
    """The stand-ins and fronts of a script, each a process, on ephemeral ports."""

    def __init__(self, script: Script) -> None:
        self.script = script
        self.engines: dict[str, Process] = {}
        self.fronts: dict[str, Process] = {}
        self.registry: Process | None = None
        self.host = script.only("registry").address

    async def start_stand_ins(self) -> None:
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

    async def tell_registry(self, said: dict[str, Any]) -> Any:
        assert self.registry
        return await ask(self.host, self.registry.ready["commands"], said)

    async def tell_engine(self, name: str, said: dict[str, Any]) -> Any:
        return await ask("127.0.0.1", self.engines[name].ready["commands"], said)

    async def list_engines(self, address: Callable[[str], str]) -> None:
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
        declared = self.script.all("front")[number]
        assert self.registry
        host, port = registry or (self.host, self.registry.ready["port"])
        front = await Process.start(
            declared.name,
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
        self.fronts[declared.name] = front
        return front

    async def end(self) -> None:
        stop_within = self.script.only("sessions").stop_within
        await asyncio.gather(*(f.end(stop_within + 2.0) for f in self.fronts.values()))
        others = [*self.engines.values(), *([self.registry] if self.registry else [])]
        await asyncio.gather(*(p.end() for p in others))


async def run_up(
    script: Script, ready_file: Path | None, once_ready: Callable[[dict[str, Any]], Awaitable[int | None]]
) -> int:
    """Runs the deployment until a signal, or until `once_ready` answers with an exit code; 1 if a process of
    it ended by itself."""
    loop = asyncio.get_running_loop()
    ending = asyncio.Event()
    for sign in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(sign, ending.set)
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
            part = ready_file.with_name(ready_file.name + ".part")
            part.write_bytes(orjson.dumps(ready, option=orjson.OPT_INDENT_2))
            part.replace(ready_file)
        early = await once_ready(ready)
        if early is not None:
            return early
        everyone = [*deployment.fronts.values(), *deployment.engines.values(), deployment.registry]
        watched = [loop.create_task(p.process.wait(), name=p.name) for p in everyone]
        told = loop.create_task(ending.wait())
        await asyncio.wait([told, *watched], return_when=asyncio.FIRST_COMPLETED)
        for task in watched:
            if task.done() and not ending.is_set():
                log.error("process ended by itself", process=task.get_name(), code=task.result())
                code = 1
    except RuntimeError as problem:
        log.error("deployment did not start", why=str(problem))
        code = 1
    finally:
        await deployment.end()
    return code
