"""A front node as a process on loopback: the whole path, each fault, signals; stand-ins of the protocol."""

import asyncio
import os
import resource
import signal
import socket
import sys
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager
from functools import partial
from pathlib import Path
from typing import Any

import orjson
import pytest

from heathford.child_signals import send_signal
from heathford.discovery.client import DiscoveryClient
from heathford.fleet.endpoint_list import EndpointList
from heathford.interface import Health, Role
from heathford.standin.platform import EVENTS, GOOD, Agent, ScriptedEngine, settings

ALL = b"".join(EVENTS)
TEST_TIMEOUT = 20.0  # s for a test: far beyond what any takes


class NodeClient:
    """One connection; bytes as they come."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.reader, self.writer = reader, writer

    def send(self, data: bytes) -> None:
        self.writer.write(data)

    async def read_head(self) -> tuple[int, dict[str, str]]:
        lines = (await self.reader.readuntil(b"\r\n\r\n")).decode().split("\r\n")
        return int(lines[0].split()[1]), {
            k.lower(): v.strip() for k, _, v in (line.partition(":") for line in lines[1:] if line)
        }

    async def read_answer(self) -> tuple[int, bytes, bool]:
        """Status, body, and whether it was whole."""
        status, headers = await self.read_head()
        if "content-length" in headers:
            return status, await self.reader.readexactly(int(headers["content-length"])), True
        body = b""
        try:
            while size := int(await self.reader.readuntil(b"\r\n"), 16):
                body += (await self.reader.readexactly(size + 2))[:-2]
            await self.reader.readexactly(2)
        except (asyncio.IncompleteReadError, ConnectionError):
            return status, body, False
        return status, body, True

    async def read_until_closed(self) -> bytes:
        """What comes until the other side closes."""
        try:
            return await self.reader.read()
        except ConnectionError:
            return b""


def request_bytes(
    name: str,
    budget: str = "4000",
    workload: str = "chat",
    prompt: str = "9",
    body: bytes = b"",
    more: str = "",
    target: str = "/v1/chat/completions?v=1",
) -> bytes:
    body = body or orjson.dumps({"stream": True, "messages": [{"role": "user", "content": "x" * 36}]})
    return (
        f"POST {target} HTTP/1.1\r\nHost: o\r\nX-Call-Id: {name}\r\nX-Call-Class: {workload}\r\n"
        f"X-Route-Hash: s1\r\nX-Budget-Ms: {budget}\r\n{more}"
        f"X-Call-Info: prompt_len={prompt},prefix_len=0,max_out=20\r\n"
        f"Content-Length: {len(body)}\r\n\r\n"
    ).encode() + body


class NodeProcess:
    """A front node's process, its engines and discovery."""

    def __init__(self, folder: Path, *engines: ScriptedEngine) -> None:
        self.folder, self.engines, self.agent = folder, engines, Agent(*engines)
        self.process: asyncio.subprocess.Process | None = None
        self.clients: list[NodeClient] = []
        self.log_lines: list[dict[str, Any]] = []

    async def start(
        self,
        sockets: int = 256,
        limited: bool = False,
        before: Callable[["NodeProcess"], None] | None = None,
        **limits: Any,
    ) -> None:
        """limited: the process may have no more descriptors than it is told. before: called once what the
        front knows from before is written, and before it starts; then it is not waited for until the node
        watches."""
        for engine in self.engines:
            await engine.open()
        await self.agent.open()
        self.config: dict[str, Any] = {
            "discovery": self.agent.address,
            "limits": {"sockets": sockets},
            "seed": "1f",
            "settings": settings(**limits),
            "known": orjson.loads(self.agent.told(True, [e.row for e in self.engines])),
        }
        self.path = self.folder / "config.json"
        self.path.write_bytes(orjson.dumps(self.config))
        if before:
            before(self)
        self.process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "heathford",
            "--log",
            "json",
            "platform",
            cwd=Path(__file__).parent.parent,
            stderr=asyncio.subprocess.PIPE,
            preexec_fn=partial(resource.setrlimit, resource.RLIMIT_NOFILE, (sockets, sockets))
            if limited
            else None,
            env={
                **os.environ,
                "NODE_NAME": "n0",
                "NODE_LISTEN": "127.0.0.1:0",
                "NODE_DISCOVERY": self.agent.address,
                "NODE_CONFIG": str(self.path),
            },
        )
        ready = await self.until("ready")
        self.port = int(ready["listen"].rpartition(":")[2])
        if not before:
            await self.agent.until_watched()

    async def until(self, event: str) -> dict[str, Any]:
        """Until it has logged that."""
        assert self.process and self.process.stderr
        while line := await self.process.stderr.readline():
            self.log_lines.append(orjson.loads(line))
            if self.log_lines[-1]["event"] == event:
                return self.log_lines[-1]
        raise AssertionError(f"ended without {event}: {self.log_lines}")

    async def client(self) -> NodeClient:
        self.clients.append(NodeClient(*await asyncio.open_connection("127.0.0.1", self.port)))
        return self.clients[-1]

    async def request(self, name: str, **more: Any) -> tuple[int, bytes, bool]:
        client = await self.client()
        client.send(request_bytes(name, **more))
        return await client.read_answer()

    async def stop(self) -> None:
        for client in self.clients:
            client.writer.close()
        for engine in self.engines:
            engine.close()
        self.agent.close()
        if self.process:
            send_signal(self.process, signal.SIGKILL)
            await self.process.wait()


def prefill(*script: str | bytes, uid: str = "r") -> ScriptedEngine:
    return ScriptedEngine(uid, "m0", True, *script)


def decode(*script: str | bytes, uid: str = "w") -> ScriptedEngine:
    return ScriptedEngine(uid, "m1", False, *script)


def run_scenario(
    folder: Path,
    engines: list[ScriptedEngine],
    scenario: Callable[[NodeProcess], Awaitable[None]],
    **limits: Any,
) -> None:
    async def run() -> None:
        node = NodeProcess(folder, *engines)
        try:
            async with asyncio.timeout(TEST_TIMEOUT):
                await node.start(**limits)
                await scenario(node)
                assert node.process and node.process.returncode in (None, 0)
        finally:
            await node.stop()

    asyncio.run(run())


def test_a_completion_is_read_then_written_and_passed_on_as_it_came(tmp_path: Path) -> None:
    prefill_engine, decode_engine = prefill(), decode()

    async def scenario(node: NodeProcess) -> None:
        client = await node.client()
        for n in range(3):  # on one connection
            client.send(request_bytes(f"c{n}"))
            assert await client.read_answer() == (200, ALL, True)
        assert prefill_engine.asked == decode_engine.asked == [("POST", f"c{n}") for n in range(3)]
        while prefill_engine.connected == len(
            prefill_engine.asked
        ):  # until a kept connection was used: some ms after an answer
            client.send(request_bytes(f"d{len(prefill_engine.asked)}"))
            assert await client.read_answer() == (200, ALL, True)
        assert (
            prefill_engine.bodies[0]
            == decode_engine.bodies[0]
            == request_bytes("x").partition(b"\r\n\r\n")[2]
        )
        assert 0 < int(decode_engine.heads[0]["x-budget-ms"]) <= 4000
        client.send(b"GET /health/ready HTTP/1.1\r\n\r\n")
        assert (await client.read_answer())[0] == 200
        client.send(request_bytes("c3") + request_bytes("c4"))  # pipelined: in order, one at a time
        assert [await client.read_answer() for _ in range(2)] == [(200, ALL, True)] * 2

    run_scenario(tmp_path, [prefill_engine, decode_engine], scenario)


CUT = (200, EVENTS[0], False)


@pytest.mark.parametrize(
    "workload, read, write, answer, sent",
    [
        # What is known not to have run may be sent again, whatever its effect; what may have run only if that
        # does no harm.
        ("chat", ["full"], [], (200, ALL, True), 1),
        ("booking", ["error"], [], (200, ALL, True), 1),
        ("booking", ["reset"], [], (200, ALL, True), 1),
        ("booking", [], ["full"], (200, ALL, True), 2),
        ("chat", [], ["error"], (200, ALL, True), 2),
        ("booking", [], ["error"], 502, 1),
        ("booking", [], ["reset"], 502, 1),
        ("booking", [], ["busy"], 502, 1),
        ("chat", [], ["reset"], (200, ALL, True), 2),
        ("booking", [], ["gone"], (200, ALL, True), 2),
        # Spoilt before the first event: may have run. Later: it is the client's, and ends without its last
        # chunk.
        ("chat", [], [b"noise\r\n\r\n"], (200, ALL, True), 2),
        ("booking", [], [b"noise\r\n\r\n"], 502, 1),
        ("chat", [], ["break"], CUT, 1),
        ("chat", [], [GOOD[: GOOD.index(b"\r\n\r\n") + 4] + b"zz\r\n"], (200, ALL, True), 2),
        # Good though odd.
        ("booking", [], [b"HTTP/1.1 103 X\r\n\r\n" + GOOD], (200, ALL, True), 1),
        ("booking", [], [GOOD + GOOD], (200, ALL, True), 1),
    ],
)
def test_each_way_an_engine_can_end_a_dispatch(
    tmp_path: Path, workload: str, read: list[Any], write: list[Any], answer: Any, sent: int
) -> None:
    prefill_engine, decode_engine = prefill(*read), decode(*write)

    async def scenario(node: NodeProcess) -> None:
        found = await node.request("c0", workload=workload)
        assert found == answer if isinstance(answer, tuple) else found[0] == answer
        assert decode_engine.asked.count(("POST", "c0")) == sent
        # What came behind an answer is nobody's: the next gets its own.
        assert await node.request("c1", workload=workload) == (200, ALL, True)

    run_scenario(tmp_path, [prefill_engine, decode_engine], scenario)


def test_a_stream_spoilt_after_its_first_event_ends_without_the_last_chunk(tmp_path: Path) -> None:
    prefill_engine, decode_engine = prefill(), decode("spoil")

    async def scenario(node: NodeProcess) -> None:
        client = await node.client()
        client.send(request_bytes("c0"))
        assert (await client.read_head())[0] == 200
        assert (await client.reader.readuntil(b"\n\n\r\n")).endswith(EVENTS[0] + b"\r\n")
        decode_engine.held.set()
        assert await client.read_until_closed() == b"" and decode_engine.asked == [("POST", "c0")]

    run_scenario(tmp_path, [prefill_engine, decode_engine], scenario)


def test_an_engine_that_can_not_be_reached_is_passed_over(tmp_path: Path) -> None:
    prefill_engine, decode_engine, dead = prefill(), decode(), decode(uid="dead")

    async def scenario(node: NodeProcess) -> None:
        dead.close()
        for n in range(6):
            assert await node.request(f"c{n}", workload="booking") == (200, ALL, True)
        assert not dead.asked

    run_scenario(tmp_path, [prefill_engine, decode_engine, dead], scenario)


def test_one_that_gets_no_answer_is_answered_before_its_time_is_up(tmp_path: Path) -> None:
    prefill_engine, decode_engine = prefill(), decode("silent", "silent")

    async def scenario(node: NodeProcess) -> None:
        begun = asyncio.get_running_loop().time()
        status, _, whole = await node.request("c0", workload="booking", budget="700")
        assert (status, whole) == (502, True) and asyncio.get_running_loop().time() - begun < 0.75
        await prefill_engine.until(1, "DELETE")  # the state that it read is let go
        assert [name for method, name in decode_engine.asked if method == "POST"] == ["c0"]

    run_scenario(tmp_path, [prefill_engine, decode_engine], scenario)


def test_a_client_that_leaves_takes_its_dispatch_and_state_along(tmp_path: Path) -> None:
    prefill_engine, decode_engine = prefill("hold"), decode()

    async def scenario(node: NodeProcess) -> None:
        client = await node.client()
        client.send(request_bytes("c0"))
        await prefill_engine.until(1)
        client.writer.transport.abort()
        await decode_engine.until(0)
        held = asyncio.create_task(prefill_engine.until(1, "DELETE"))
        other = asyncio.create_task(decode_engine.until(1, "DELETE"))
        await asyncio.wait([held, other], return_when=asyncio.FIRST_COMPLETED)
        assert not [m for m, _ in decode_engine.asked if m == "POST"]

    run_scenario(tmp_path, [prefill_engine, decode_engine], scenario)


@pytest.mark.parametrize("left", [0, 1])
def test_a_layout_without_a_role_answers_at_once(tmp_path: Path, left: int) -> None:
    async def scenario(node: NodeProcess) -> None:
        loop = asyncio.get_running_loop()
        began = loop.time()
        assert (await node.request("c0"))[0] == 503
        assert (await node.request("c1", workload="booking"))[0] == 503
        assert loop.time() - began < 2.0  # of 8 that the two would wait

    run_scenario(tmp_path, [prefill() if left == 0 else decode()], scenario)


def test_a_full_deployment_says_when_to_come_back(tmp_path: Path) -> None:
    async def scenario(node: NodeProcess) -> None:
        client = await node.client()
        client.send(request_bytes("c0", budget="300"))
        status, headers = await client.read_head()
        assert status == 503 and 0.0 < float(headers["retry-after"]) <= 1.0

    run_scenario(tmp_path, [prefill()], scenario)  # no writer at all


@pytest.mark.parametrize(
    "said, status",
    [
        (request_bytes(""), 400),
        (request_bytes("a/../b"), 400),
        (request_bytes("c0", workload="odd"), 400),
        (request_bytes("c0", budget="soon"), 400),
        (request_bytes("c0", budget="-5"), 400),
        (request_bytes("c0", budget="0"), 400),
        (request_bytes("c0", budget="9" * 30), 400),
        (request_bytes("c0", prompt="-1"), 400),
        (request_bytes("c0", prompt="1e3"), 400),
        (request_bytes("c0", prompt="9" * 12), 400),
        (request_bytes("c0", body=b"{"), 400),
        (request_bytes("c0", body=b"{}"), 400),
        (request_bytes("c0", more="X-Call-Id: c1\r\n"), 400),
        (request_bytes("c0", target="/v1/other"), 404),
        (request_bytes("c0", more="Transfer-Encoding: chunked\r\n"), 400),
        (b"GET /v1/chat/completions HTTP/1.1\r\n\r\n", 405),
        (b"POST /v1/chat/completions HTTP/1.1\r\nContent-Length: 62914560\r\n\r\n", 413),
        (b"\x00" * 100, 400),
        (b"GET /" + b"a" * 40_000, 431),
    ],
)
def test_what_makes_no_sense_is_refused_and_never_sent_on(tmp_path: Path, said: bytes, status: int) -> None:
    prefill_engine, decode_engine = prefill(), decode()

    async def scenario(node: NodeProcess) -> None:
        client = await node.client()
        client.send(said)
        assert (await client.read_answer())[0] == status
        # By none of the calls that a link makes. A front node of another test may look for its discovery,
        # which has ended, on a port that an engine here was given.
        assert not [
            call for call in prefill_engine.asked + decode_engine.asked if call[0] in ("POST", "DELETE")
        ]
        assert await node.request("after") == (200, ALL, True)

    run_scenario(tmp_path, [prefill_engine, decode_engine], scenario)


def test_the_id_of_an_open_completion_is_refused_until_it_is_over(tmp_path: Path) -> None:
    prefill_engine, decode_engine = prefill("hold"), decode()

    async def scenario(node: NodeProcess) -> None:
        first = await node.client()
        first.send(request_bytes("c0"))
        await prefill_engine.until(1)
        assert (await node.request("c0"))[0] == 409
        prefill_engine.held.set()
        assert await first.read_answer() == (200, ALL, True)
        assert await node.request("c0") == (200, ALL, True)

    run_scenario(tmp_path, [prefill_engine, decode_engine], scenario)


def test_silent_connections_make_way_and_are_closed_in_time(tmp_path: Path) -> None:
    async def scenario(node: NodeProcess) -> None:
        begun = asyncio.get_running_loop().time()
        silent = [await node.client() for _ in range(100)]  # half of 64 descriptors are clients'
        assert await node.request("c0") == (200, ALL, True)
        said = [await client.read_until_closed() for client in silent]
        assert asyncio.get_running_loop().time() - begun < 3.0
        assert {line.split(b"\r\n")[0] for line in said} <= {b"", b"HTTP/1.1 408 Request Timeout"}

    run_scenario(tmp_path, [prefill(), decode()], scenario, sockets=64)


def test_the_end_serves_on_and_answers_all_that_was_taken(tmp_path: Path) -> None:
    prefill_engine, decode_engine = prefill(), decode("hold")

    async def scenario(node: NodeProcess) -> None:
        idle, busy, late = [await node.client() for _ in range(3)]
        idle.send(request_bytes("c0"))
        await decode_engine.until(1)
        decode_engine.held.set()
        assert await idle.read_answer() == (200, ALL, True)
        decode_engine.held.clear()
        decode_engine.script.append("hold")
        busy.send(request_bytes("c1"))
        await decode_engine.until(2)
        assert node.process
        send_signal(node.process, signal.SIGTERM)
        await node.until("ending")
        busy.send(request_bytes("c3"))  # behind the one in hand
        late.send(b"GET /health/ready HTTP/1.1\r\n\r\n")
        status, headers = await late.read_head()
        assert status == 503 and headers["connection"] == "close"
        assert await node.request("c2") == (200, ALL, True)
        assert await idle.read_until_closed() == b""
        decode_engine.held.set()
        assert [await busy.read_answer() for _ in range(2)] == [(200, ALL, True)] * 2
        await node.until("ended")
        assert await node.process.wait() == 0

    run_scenario(tmp_path, [prefill_engine, decode_engine], scenario)


def test_a_new_configuration_moves_the_watch_and_a_broken_one_does_not(tmp_path: Path) -> None:
    prefill_engine, decode_engine, other = prefill(), decode(), decode(uid="w2")

    async def scenario(node: NodeProcess) -> None:
        assert node.process
        node.path.write_text("{")
        send_signal(node.process, signal.SIGHUP)
        await node.until("configuration not taken")
        assert await node.request("c0") == (200, ALL, True)
        without = {key: value for key, value in node.config["settings"].items() if key != "nInstances"}
        node.path.write_bytes(orjson.dumps({**node.config, "discovery": "127.0.0.1:1", "settings": without}))
        send_signal(node.process, signal.SIGHUP)
        told = await node.until("configuration not taken")
        assert "nInstances is missing" in told["why"]
        await other.open()
        moved = Agent(prefill_engine, other)
        moved.version = 7
        await moved.open()
        node.path.write_bytes(orjson.dumps({**node.config, "discovery": moved.address}))
        send_signal(node.process, signal.SIGHUP)
        await moved.until_watched()
        assert await node.request("c1") == (200, ALL, True)
        assert ("POST", "c1") in other.asked and ("POST", "c1") not in decode_engine.asked
        moved.close()
        other.close()

    run_scenario(tmp_path, [prefill_engine, decode_engine], scenario)


def test_a_drain_is_kept_and_discovery_that_is_down_changes_nothing(tmp_path: Path) -> None:
    prefill_engine, decode_engine, other = prefill(), decode(), decode(uid="w2")

    async def scenario(node: NodeProcess) -> None:
        decode_engine.state = "DRAINING"
        node.agent.say(decode_engine.row)
        # Until it is heard, either may be chosen; a change is heard in order, so ask until the other is.
        for n in range(100):
            assert await node.request(f"c{n}") == (200, ALL, True)
            if len(other.asked) >= 5 and other.asked[-3:] == [("POST", f"c{k}") for k in range(n - 2, n + 1)]:
                break
        count = len(decode_engine.asked)
        node.agent.close()
        for n in range(5):
            assert await node.request(f"d{n}") == (200, ALL, True)
        assert len(decode_engine.asked) == count

    run_scenario(tmp_path, [prefill_engine, decode_engine, other], scenario)


def test_a_new_process_asks_for_the_list_before_it_is_ready(tmp_path: Path) -> None:
    """What the agent has counts as told from the first moment: what is known from before may be old. The
    first call gets no answer, as one made while discovery is down; the list comes with the second."""
    prefill_engine, decode_engine, other = prefill(), decode(), decode(uid="w2")

    def drained_meanwhile(node: NodeProcess) -> None:
        decode_engine.state, other.state, node.agent.unanswered = "DRAINING", "SERVING", 1

    async def scenario(node: NodeProcess) -> None:
        assert await node.request("c0") == (200, ALL, True)
        assert not decode_engine.asked and ("POST", "c0") in other.asked

    other.state = "DRAINING"
    run_scenario(tmp_path, [prefill_engine, decode_engine, other], scenario, before=drained_meanwhile)


def test_with_a_silent_agent_a_process_starts_on_what_it_knew(tmp_path: Path) -> None:
    async def scenario(node: NodeProcess) -> None:
        assert node.log_lines[-1]["event"] == "ready" and node.log_lines[-2]["event"] == "state"
        assert "no endpoint list from discovery yet" in {line["event"] for line in node.log_lines}
        assert await node.request("c0") == (200, ALL, True)

    run_scenario(
        tmp_path,
        [prefill(), decode()],
        scenario,
        before=lambda node: setattr(node.agent, "silent", True),
    )


@asynccontextmanager
async def watched() -> AsyncIterator[tuple[ScriptedEngine, Agent, list[Health]]]:
    """One engine, discovery, and the states that a Watch has heard there, in order; it watches."""
    engine = decode()
    await engine.open()
    agent = Agent(engine)
    await agent.open()
    heard: list[Health] = []
    host, _, port = agent.address.rpartition(":")
    watch = DiscoveryClient(
        host,
        int(port),
        EndpointList({"m1": (0, Role.DECODE)}, ["a", "b"]),
        lambda change: heard.extend(row[4] for row in change.entries),
    )
    watch.start()
    try:
        async with asyncio.timeout(TEST_TIMEOUT):
            await agent.until_watched()
            yield engine, agent, heard
    finally:
        watch.stop()
        agent.close()
        engine.close()


def test_what_discovery_has_after_a_silence_is_heard_within_the_shortest_grace(tmp_path: Path) -> None:
    """Seen on a fleet whose discovery was down for 8 s: the list call made meanwhile was never answered and
    waited for 5 s, while what the agent had counted as told and engines drained."""

    async def run() -> None:
        async with watched() as (engine, agent, heard):
            agent.silent = True
            for watching in agent.watching:
                watching.close()
            await asyncio.sleep(1.0)
            agent.silent, engine.state = False, "DRAINING"
            agent.version += 1
            await asyncio.sleep(0.5)
            assert heard[-1] is Health.DRAINING

    asyncio.run(run())


@pytest.mark.parametrize("unanswered", [0, 2])
def test_a_watch_that_has_fallen_silent_is_begun_anew(
    monkeypatch: pytest.MonkeyPatch, unanswered: int
) -> None:
    """What it misses counts as told all the same. Also where the first calls after it get no answer."""
    monkeypatch.setattr("heathford.discovery.follower.WATCH_SILENCE", 0.4)  # in place of 3 s

    async def run() -> None:
        async with watched() as (engine, agent, heard):
            engine.state, agent.unanswered = "DRAINING", unanswered
            agent.version += 1  # and the watch says nothing of it
            while not heard or heard[-1] is not Health.DRAINING:
                await asyncio.sleep(0.02)
            await agent.until_watched(2)

    asyncio.run(run())


@pytest.mark.parametrize(
    "variables, why",
    [
        ({}, "missing environment variables: NODE_NAME"),
        ({"NODE_LISTEN": "here"}, "NODE_LISTEN is not HOST:PORT"),
        ({"NODE_CONFIG": "nowhere.json"}, "the configuration can't be read"),
        ({"text": "[]"}, "not a JSON object"),
        (
            {"text": '{"limits":{},"settings":{},"discovery":"h:1"}'},
            "the settings can't be used: familyInfo is missing",
        ),
        ({"text": "good", "NODE_LISTEN": "taken"}, "cannot listen on NODE_LISTEN"),
    ],
)
def test_a_start_that_can_not_be_is_told(tmp_path: Path, variables: dict[str, str], why: str) -> None:
    async def run() -> None:
        path = tmp_path / "config.json"
        text = variables.pop("text", "{}")
        path.write_bytes(
            text.encode()
            if text != "good"
            else orjson.dumps({"discovery": "127.0.0.1:1", "limits": {}, "settings": settings()})
        )
        given = variables and {
            "NODE_NAME": "n",
            "NODE_LISTEN": "127.0.0.1:0",
            "NODE_DISCOVERY": "h:1",
            "NODE_CONFIG": str(path),
            **variables,
        }
        if why.startswith("not a JSON") or "settings" in why:
            given = {
                "NODE_NAME": "n",
                "NODE_LISTEN": "127.0.0.1:0",
                "NODE_DISCOVERY": "h:1",
                "NODE_CONFIG": str(path),
            }
        if variables.get("NODE_LISTEN") == "taken":
            given["NODE_LISTEN"] = f"127.0.0.1:{other.getsockname()[1]}"
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "heathford",
            "platform",
            cwd=Path(__file__).parent.parent,
            stderr=asyncio.subprocess.PIPE,
            env={**os.environ, **given},
        )
        _, error = await process.communicate()
        assert process.returncode == 2 and why in error.decode()

    with socket.create_server(("127.0.0.1", 0)) as other:
        asyncio.run(run())
