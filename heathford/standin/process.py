"""Run a stand-in as a process that prints its ports as JSON on standard output."""

import asyncio
import signal
import sys

import orjson

from heathford.script.script import Script
from heathford.standin.engine import Engine
from heathford.standin.registry import Registry
from heathford.standin.server import Server
from heathford.tls.files import keys_from_script


async def wait_for_end() -> None:
    """Return at SIGTERM, SIGINT, or when the parent's end of standard input closes."""
    loop = asyncio.get_running_loop()
    end_requested = asyncio.Event()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, end_requested.set)
    reader = asyncio.StreamReader()
    await loop.connect_read_pipe(lambda: asyncio.StreamReaderProtocol(reader), sys.stdin)
    input_closed = loop.create_task(reader.read())
    signalled = loop.create_task(end_requested.wait())
    await asyncio.wait([input_closed, signalled], return_when=asyncio.FIRST_COMPLETED)


async def run_engine(script: Script, name: str, address: str, warm: bool) -> None:
    """Run the stand-in of the named engine until SIGTERM, SIGINT or end of input.

    warm: the engine has been up for long; otherwise its slow start begins now. Raises RuntimeError if the
    files of stand_in_tls can not be used.
    """
    declaration = script.named("engine", name)
    kind, rack = script.named("kind", declaration.kind), script.named("rack", declaration.rack)
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
    serve_keys, fetch_keys = keys_from_script(script, "stand_in_tls"), keys_from_script(script, "engine_tls")
    if serve_keys:
        serve_keys.reload()
        if not serve_keys.context:
            raise RuntimeError("the certificate or key of stand_in_tls can not be used")
        fetch_context = None
        if fetch_keys:
            fetch_context = fetch_keys.make_context()
            # Prefill states are fetched by address. The authority is still checked.
            fetch_context.check_hostname = False
        engine.use_tls(serve_keys.context, fetch_context)
    if not warm:
        await engine.restart()
    else:
        engine.serve()
    commands = Server(engine.handle_command)
    commands.open(address)
    print_json({"port": engine.port, "commands": commands.port, "started": engine.started})
    await wait_for_end()


async def run_registry(script: Script, address: str, port: int) -> None:
    """Run the stand-in registry until SIGTERM, SIGINT or end of input."""
    declaration = script.only("registry")
    registry = Registry(declaration.lag, declaration.history)
    registry.server.open(address, port)
    commands = Server(registry.handle_command)
    commands.open(address)
    print_json({"port": registry.server.port, "commands": commands.port})
    await wait_for_end()


def print_json(value: object) -> None:
    sys.stdout.write(orjson.dumps(value).decode() + "\n")
    sys.stdout.flush()
