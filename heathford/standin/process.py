"""Runs a stand-in as a process: says its ports on standard output; ends with its input or a signal."""

import asyncio
import signal
import sys

import orjson

from heathford.script.script import Script
from heathford.standin.engine import Engine
from heathford.standin.registry import Registry
from heathford.standin.server import Server
from heathford.tls.files import keys_from_script


async def until_told() -> None:
    """Ends at SIGTERM, SIGINT, or when the parent's end of standard input closes."""
    loop = asyncio.get_running_loop()
    ending = asyncio.Event()
    for sign in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(sign, ending.set)
    reader = asyncio.StreamReader()
    await loop.connect_read_pipe(lambda: asyncio.StreamReaderProtocol(reader), sys.stdin)
    closed = loop.create_task(reader.read())
    told = loop.create_task(ending.wait())
    await asyncio.wait([closed, told], return_when=asyncio.FIRST_COMPLETED)


async def run_engine(script: Script, name: str, address: str, warm: bool) -> None:
    declared = script.named("engine", name)
    kind, rack = script.named("kind", declared.kind), script.named("rack", declared.rack)
    safety = script.only("safety")
    engine = Engine(
        kind.role,
        name,
        rack.zone,
        rack.name,
        address,
        kind.memory,
        script.all("workload")[0].bytes_per_token,
        safety.warm_after,
        safety.cold_from,
        safety.cold_multiple,
        safety.cold_window,
        **kind.stand_in,
    )
    serve, fetch = keys_from_script(script, "stand_in_tls"), keys_from_script(script, "engine_tls")
    if serve:
        serve.reload()
        if not serve.context:
            raise RuntimeError("the stand-ins' keys can't be used")
        among = None
        if fetch:
            among = fetch.make_context()
            among.check_hostname = False  # states are fetched by address; the authority is still checked
        engine.secure(serve.context, among)
    if not warm:
        await engine.restart()
    else:
        engine.serve()
    commands = Server(engine.command)
    commands.open(address)
    say({"port": engine.port, "commands": commands.port, "started": engine.started})
    await until_told()


async def run_registry(script: Script, address: str, port: int) -> None:
    declared = script.only("registry")
    registry = Registry(declared.lag, declared.history)
    registry.server.open(address, port)
    commands = Server(registry.command)
    commands.open(address)
    say({"port": registry.server.port, "commands": commands.port})
    await until_told()


def say(value: object) -> None:
    sys.stdout.write(orjson.dumps(value).decode() + "\n")
    sys.stdout.flush()
