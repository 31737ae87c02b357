"""A front node as a process on loopback, with stand-ins for engines and discovery.

Covers the path of a request, each outcome of an attempt, malformed requests, discovery, shutdown and start.
"""

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
from heathford.standin.platform import EVENTS, DECODE_RESPONSE, DiscoveryAgent, ScriptedEngine, settings

ALL = b"".join(EVENTS)
TEST_TIMEOUT = 20.0  # s: far longer than any test takes


class NodeClient:
    """One client connection."""

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
        """Read an answer; return its status, its body and whether it was complete."""
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
        """Read until the other side closes; return what came."""
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
    extra_headers: str = "",
    target: str = "/v1/chat/completions?v=1",
) -> bytes:
    body = body or orjson.dumps({"stream": True, "messages": [{"role": "user", "content": "x" * 36}]})
    return (
        f"POST {target} HTTP/1.1\r\nHost: o\r\nX-Call-Id: {name}\r\nX-Call-Class: {workload}\r\n"
        f"X-Route-Hash: s1\r\nX-Budget-Ms: {budget}\r\n{extra_headers}"
        f"X-Call-Info: prompt_len={prompt},prefix_len=0,max_out=20\r\n"
        f"Content-Length: {len(body)}\r\n\r\n"
    ).encode() + body


class NodeProcess:
    """A front node's process, with its engines, its discovery and its clients."""

    def __init__(self, folder: Path, *engines: ScriptedEngine) -> None:
        self.folder, self.engines, self.agent = folder, engines, DiscoveryAgent(*engines)
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
        """Start the process, and wait until it is ready and watches discovery.

        limited: limit the process's descriptors to `sockets`. before: called once the configuration is
        written, before the process starts; with it, the watch is not waited for.
        """
        for engine in self.engines:
            await engine.open()
        await self.agent.open()
        self.config: dict[str, Any] = {
            "discovery": self.agent.address,
            "limits": {"sockets": sockets},
            "seed": "1f",
            "settings": settings(**limits),
            "known": orjson.loads(self.agent.list_message(True, [e.row for e in self.engines])),
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
        ready = await self.wait_for_log("ready")
        self.port = int(ready["listen"].rpartition(":")[2])
        if not before:
            await self.agent.wait_for_watchers()

    async def wait_for_log(self, event: str) -> dict[str, Any]:
        """Read the log until this event; return its line."""
        assert self.process and self.process.stderr
        while line := await self.process.stderr.readline():
            self.log_lines.append(orjson.loads(line))
            if self.log_lines[-1]["event"] == event:
                return self.log_lines[-1]
        raise AssertionError(f"ended without {event}: {self.log_lines}")

    async def client(self) -> NodeClient:
        self.clients.append(NodeClient(*await asyncio.open_connection("127.0.0.1", self.port)))
        return self.clients[-1]

    async def request(self, name: str, **fields: Any) -> tuple[int, bytes, bool]:
        client = await self.client()
        client.send(request_bytes(name, **fields))
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


def test_request_is_prefilled_decoded_and_streamed_unchanged(tmp_path: Path) -> None:
    prefill_engine, decode_engine = prefill(), decode()

    async def scenario(node: NodeProcess) -> None:
        client = await node.client()
        for n in range(3):  # on one connection
            client.send(request_bytes(f"c{n}"))
            assert await client.read_answer() == (200, ALL, True)
        assert (
            prefill_engine.received_requests
            == decode_engine.received_requests
            == [("POST", f"c{n}") for n in range(3)]
        )
        # Until a connection was reused, which happens some ms after an answer at the earliest.
        while prefill_engine.accepted_connections == len(prefill_engine.received_requests):
            client.send(request_bytes(f"d{len(prefill_engine.received_requests)}"))
            assert await client.read_answer() == (200, ALL, True)
        assert (
            prefill_engine.bodies[0]
            == decode_engine.bodies[0]
            == request_bytes("x").partition(b"\r\n\r\n")[2]
        )
        assert 0 < int(decode_engine.request_headers[0]["x-budget-ms"]) <= 4000
        client.send(b"GET /health/ready HTTP/1.1\r\n\r\n")
        assert (await client.read_answer())[0] == 200
        client.send(request_bytes("c3") + request_bytes("c4"))  # pipelined: in order, one at a time
        assert [await client.read_answer() for _ in range(2)] == [(200, ALL, True)] * 2

    run_scenario(tmp_path, [prefill_engine, decode_engine], scenario)


INCOMPLETE_STREAM = (200, EVENTS[0], False)


@pytest.mark.parametrize(
    "workload, prefill_script, decode_script, answer, decode_attempts",
    [
        # An attempt that is known not to have run may be retried whatever its effect, one that may have run
        # only if it is idempotent.
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
        # A stream malformed before its first event may have run. After that it belongs to the client, and
        # ends without its last chunk.
        ("chat", [], [b"noise\r\n\r\n"], (200, ALL, True), 2),
        ("booking", [], [b"noise\r\n\r\n"], 502, 1),
        ("chat", [], ["break"], INCOMPLETE_STREAM, 1),
        (
            "chat",
            [],
            [DECODE_RESPONSE[: DECODE_RESPONSE.index(b"\r\n\r\n") + 4] + b"zz\r\n"],
            (200, ALL, True),
            2,
        ),
        # Unusual, but valid.
        ("booking", [], [b"HTTP/1.1 103 X\r\n\r\n" + DECODE_RESPONSE], (200, ALL, True), 1),
        ("booking", [], [DECODE_RESPONSE + DECODE_RESPONSE], (200, ALL, True), 1),
    ],
)
def test_outcomes_of_attempts(
    tmp_path: Path,
    workload: str,
    prefill_script: list[Any],
    decode_script: list[Any],
    answer: Any,
    decode_attempts: int,
) -> None:
    prefill_engine, decode_engine = prefill(*prefill_script), decode(*decode_script)

    async def scenario(node: NodeProcess) -> None:
        answer_received = await node.request("c0", workload=workload)
        assert answer_received == answer if isinstance(answer, tuple) else answer_received[0] == answer
        assert decode_engine.received_requests.count(("POST", "c0")) == decode_attempts
        # Bytes behind an answer are discarded: the next request gets its own answer.
        assert await node.request("c1", workload=workload) == (200, ALL, True)

    run_scenario(tmp_path, [prefill_engine, decode_engine], scenario)


def test_stream_malformed_after_its_first_event_ends_without_the_last_chunk(tmp_path: Path) -> None:
    prefill_engine, decode_engine = prefill(), decode("spoil")

    async def scenario(node: NodeProcess) -> None:
        client = await node.client()
        client.send(request_bytes("c0"))
        assert (await client.read_head())[0] == 200
        assert (await client.reader.readuntil(b"\n\n\r\n")).endswith(EVENTS[0] + b"\r\n")
        decode_engine.resume.set()
        assert await client.read_until_closed() == b"" and decode_engine.received_requests == [("POST", "c0")]

    run_scenario(tmp_path, [prefill_engine, decode_engine], scenario)


def test_unreachable_engine_is_avoided(tmp_path: Path) -> None:
    prefill_engine, decode_engine, unreachable = prefill(), decode(), decode(uid="dead")

    async def scenario(node: NodeProcess) -> None:
        unreachable.close()
        for n in range(6):
            assert await node.request(f"c{n}", workload="booking") == (200, ALL, True)
        assert not unreachable.received_requests

    run_scenario(tmp_path, [prefill_engine, decode_engine, unreachable], scenario)


def test_unanswered_attempt_is_aborted_before_the_deadline(tmp_path: Path) -> None:
    prefill_engine, decode_engine = prefill(), decode("silent", "silent")

    async def scenario(node: NodeProcess) -> None:
        started_at = asyncio.get_running_loop().time()
        status, _, is_complete = await node.request("c0", workload="booking", budget="700")
        assert (status, is_complete) == (502, True) and asyncio.get_running_loop().time() - started_at < 0.75
        await prefill_engine.wait_for_requests(1, "DELETE")  # the prefill state is released
        assert [name for method, name in decode_engine.received_requests if method == "POST"] == ["c0"]

    run_scenario(tmp_path, [prefill_engine, decode_engine], scenario)


def test_client_that_leaves_has_its_attempt_and_state_cancelled(tmp_path: Path) -> None:
    prefill_engine, decode_engine = prefill("hold"), decode()

    async def scenario(node: NodeProcess) -> None:
        client = await node.client()
        client.send(request_bytes("c0"))
        await prefill_engine.wait_for_requests(1)
        client.writer.transport.abort()
        await decode_engine.wait_for_requests(0)
        held = asyncio.create_task(prefill_engine.wait_for_requests(1, "DELETE"))
        other_engine = asyncio.create_task(decode_engine.wait_for_requests(1, "DELETE"))
        await asyncio.wait([held, other_engine], return_when=asyncio.FIRST_COMPLETED)
        assert not [m for m, _ in decode_engine.received_requests if m == "POST"]

    run_scenario(tmp_path, [prefill_engine, decode_engine], scenario)


@pytest.mark.parametrize("remaining_role", [0, 1])
def test_request_is_refused_at_once_without_engines_of_a_role(tmp_path: Path, remaining_role: int) -> None:
    async def scenario(node: NodeProcess) -> None:
        loop = asyncio.get_running_loop()
        started_at = loop.time()
        assert (await node.request("c0"))[0] == 503
        assert (await node.request("c1", workload="booking"))[0] == 503
        assert loop.time() - started_at < 2.0  # the two could wait for 8 s

    run_scenario(tmp_path, [prefill() if remaining_role == 0 else decode()], scenario)


def test_rejection_has_a_retry_after_header(tmp_path: Path) -> None:
    async def scenario(node: NodeProcess) -> None:
        client = await node.client()
        client.send(request_bytes("c0", budget="300"))
        status, headers = await client.read_head()
        assert status == 503 and 0.0 < float(headers["retry-after"]) <= 1.0

    run_scenario(tmp_path, [prefill()], scenario)  # no decode engine at all


@pytest.mark.parametrize(
    "sent_bytes, status",
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
        (request_bytes("c0", extra_headers="X-Call-Id: c1\r\n"), 400),
        (request_bytes("c0", target="/v1/other"), 404),
        (request_bytes("c0", extra_headers="Transfer-Encoding: chunked\r\n"), 400),
        (b"GET /v1/chat/completions HTTP/1.1\r\n\r\n", 405),
        (b"POST /v1/chat/completions HTTP/1.1\r\nContent-Length: 62914560\r\n\r\n", 413),
        (b"\x00" * 100, 400),
        (b"GET /" + b"a" * 40_000, 431),
    ],
)
def test_malformed_request_is_refused_and_not_forwarded(
    tmp_path: Path, sent_bytes: bytes, status: int
) -> None:
    prefill_engine, decode_engine = prefill(), decode()

    async def scenario(node: NodeProcess) -> None:
        client = await node.client()
        client.send(sent_bytes)
        assert (await client.read_answer())[0] == status
        # Counts only the calls that a link makes: a front node of another test may look for its discovery,
        # which has ended, on a port that an engine here was given since.
        assert not [
            call
            for call in prefill_engine.received_requests + decode_engine.received_requests
            if call[0] in ("POST", "DELETE")
        ]
        assert await node.request("after") == (200, ALL, True)

    run_scenario(tmp_path, [prefill_engine, decode_engine], scenario)


def test_call_id_is_refused_while_its_request_is_open(tmp_path: Path) -> None:
    prefill_engine, decode_engine = prefill("hold"), decode()

    async def scenario(node: NodeProcess) -> None:
        first = await node.client()
        first.send(request_bytes("c0"))
        await prefill_engine.wait_for_requests(1)
        assert (await node.request("c0"))[0] == 409
        prefill_engine.resume.set()
        assert await first.read_answer() == (200, ALL, True)
        assert await node.request("c0") == (200, ALL, True)

    run_scenario(tmp_path, [prefill_engine, decode_engine], scenario)


def test_silent_connections_are_evicted_and_closed_in_time(tmp_path: Path) -> None:
    async def scenario(node: NodeProcess) -> None:
        started_at = asyncio.get_running_loop().time()
        silent = [await node.client() for _ in range(100)]  # clients may have about half of 64 descriptors
        assert await node.request("c0") == (200, ALL, True)
        sent_bytes = [await client.read_until_closed() for client in silent]
        assert asyncio.get_running_loop().time() - started_at < 3.0
        assert {line.split(b"\r\n")[0] for line in sent_bytes} <= {b"", b"HTTP/1.1 408 Request Timeout"}

    run_scenario(tmp_path, [prefill(), decode()], scenario, sockets=64)


def test_shutdown_answers_all_accepted_requests(tmp_path: Path) -> None:
    prefill_engine, decode_engine = prefill(), decode("hold")

    async def scenario(node: NodeProcess) -> None:
        idle_client, busy_client, late_client = [await node.client() for _ in range(3)]
        idle_client.send(request_bytes("c0"))
        await decode_engine.wait_for_requests(1)
        decode_engine.resume.set()
        assert await idle_client.read_answer() == (200, ALL, True)
        decode_engine.resume.clear()
        decode_engine.script.append("hold")
        busy_client.send(request_bytes("c1"))
        await decode_engine.wait_for_requests(2)
        assert node.process
        send_signal(node.process, signal.SIGTERM)
        await node.wait_for_log("ending")
        busy_client.send(request_bytes("c3"))  # behind the open request
        late_client.send(b"GET /health/ready HTTP/1.1\r\n\r\n")
        status, headers = await late_client.read_head()
        assert status == 503 and headers["connection"] == "close"
        assert await node.request("c2") == (200, ALL, True)
        assert await idle_client.read_until_closed() == b""
        decode_engine.resume.set()
        assert [await busy_client.read_answer() for _ in range(2)] == [(200, ALL, True)] * 2
        await node.wait_for_log("ended")
        assert await node.process.wait() == 0

    run_scenario(tmp_path, [prefill_engine, decode_engine], scenario)


def test_reload_changes_the_discovery_address_unless_malformed(tmp_path: Path) -> None:
    prefill_engine, decode_engine, other_engine = prefill(), decode(), decode(uid="w2")

    async def scenario(node: NodeProcess) -> None:
        assert node.process
        node.path.write_text("{")
        send_signal(node.process, signal.SIGHUP)
        await node.wait_for_log("configuration not taken")
        assert await node.request("c0") == (200, ALL, True)
        incomplete_settings = {
            key: value for key, value in node.config["settings"].items() if key != "nInstances"
        }
        node.path.write_bytes(
            orjson.dumps({**node.config, "discovery": "127.0.0.1:1", "settings": incomplete_settings})
        )
        send_signal(node.process, signal.SIGHUP)
        log_line = await node.wait_for_log("configuration not taken")
        assert "nInstances is missing" in log_line["why"]
        await other_engine.open()
        new_agent = DiscoveryAgent(prefill_engine, other_engine)
        new_agent.version = 7
        await new_agent.open()
        node.path.write_bytes(orjson.dumps({**node.config, "discovery": new_agent.address}))
        send_signal(node.process, signal.SIGHUP)
        await new_agent.wait_for_watchers()
        assert await node.request("c1") == (200, ALL, True)
        assert ("POST", "c1") in other_engine.received_requests and (
            "POST",
            "c1",
        ) not in decode_engine.received_requests
        new_agent.close()
        other_engine.close()

    run_scenario(tmp_path, [prefill_engine, decode_engine], scenario)


def test_drain_is_kept_while_discovery_is_down(tmp_path: Path) -> None:
    prefill_engine, decode_engine, other_engine = prefill(), decode(), decode(uid="w2")

    async def scenario(node: NodeProcess) -> None:
        decode_engine.state = "DRAINING"
        node.agent.send_change(decode_engine.row)
        # Either engine may be chosen until the front node has received the drain: repeat until the other is
        # chosen three times in a row.
        for n in range(100):
            assert await node.request(f"c{n}") == (200, ALL, True)
            if len(other_engine.received_requests) >= 5 and other_engine.received_requests[-3:] == [
                ("POST", f"c{k}") for k in range(n - 2, n + 1)
            ]:
                break
        count = len(decode_engine.received_requests)
        node.agent.close()
        for n in range(5):
            assert await node.request(f"d{n}") == (200, ALL, True)
        assert len(decode_engine.received_requests) == count

    run_scenario(tmp_path, [prefill_engine, decode_engine, other_engine], scenario)


def test_start_waits_for_the_endpoint_list(tmp_path: Path) -> None:
    """The process is held to the agent's list from its first moment; the configured list may be out of date.

    The first call gets no answer, like one made while discovery is down; the second returns the list.
    """
    prefill_engine, decode_engine, other_engine = prefill(), decode(), decode(uid="w2")

    def swap_drain(node: NodeProcess) -> None:
        decode_engine.state, other_engine.state, node.agent.unanswered = "DRAINING", "SERVING", 1

    async def scenario(node: NodeProcess) -> None:
        assert await node.request("c0") == (200, ALL, True)
        assert not decode_engine.received_requests and ("POST", "c0") in other_engine.received_requests

    other_engine.state = "DRAINING"
    run_scenario(tmp_path, [prefill_engine, decode_engine, other_engine], scenario, before=swap_drain)


def test_start_with_a_silent_agent_uses_the_configured_list(tmp_path: Path) -> None:
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
async def watching_client() -> AsyncIterator[tuple[ScriptedEngine, DiscoveryAgent, list[Health]]]:
    """Run a DiscoveryClient; yield an engine, its agent and the engine's states received, in order."""
    engine = decode()
    await engine.open()
    agent = DiscoveryAgent(engine)
    await agent.open()
    received_states: list[Health] = []
    host, _, port = agent.address.rpartition(":")
    watch = DiscoveryClient(
        host,
        int(port),
        EndpointList({"m1": (0, Role.DECODE)}, ["a", "b"]),
        lambda change: received_states.extend(row[4] for row in change.entries),
    )
    watch.start()
    try:
        async with asyncio.timeout(TEST_TIMEOUT):
            await agent.wait_for_watchers()
            yield engine, agent, received_states
    finally:
        watch.stop()
        agent.close()
        engine.close()


def test_drain_after_a_discovery_outage_is_received_within_the_shortest_grace(tmp_path: Path) -> None:
    """A list call made while discovery is down is never answered, and must not be waited for.

    On a fleet whose discovery was down for 8 s such a call was waited for 5 s, while engines were already
    draining according to the agent's list.
    """

    async def run() -> None:
        async with watching_client() as (engine, agent, received_states):
            agent.silent = True
            for connection in agent.watchers:
                connection.close()
            await asyncio.sleep(1.0)
            agent.silent, engine.state = False, "DRAINING"
            agent.version += 1
            await asyncio.sleep(0.5)
            assert received_states[-1] is Health.DRAINING

    asyncio.run(run())


@pytest.mark.parametrize("unanswered", [0, 2])
def test_silent_watch_is_reopened(monkeypatch: pytest.MonkeyPatch, unanswered: int) -> None:
    """The front node is held to changes that the watch misses, also if the next calls get no answer."""
    monkeypatch.setattr("heathford.discovery.follower.WATCH_SILENCE", 0.4)  # in place of 3 s

    async def run() -> None:
        async with watching_client() as (engine, agent, received_states):
            engine.state, agent.unanswered = "DRAINING", unanswered
            agent.version += 1  # without an event on the watch
            while not received_states or received_states[-1] is not Health.DRAINING:
                await asyncio.sleep(0.02)
            await agent.wait_for_watchers(2)

    asyncio.run(run())


@pytest.mark.parametrize(
    "variables, expected",
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
def test_failed_start_reports_its_reason(tmp_path: Path, variables: dict[str, str], expected: str) -> None:
    async def run() -> None:
        path = tmp_path / "config.json"
        text = variables.pop("text", "{}")
        path.write_bytes(
            text.encode()
            if text != "good"
            else orjson.dumps({"discovery": "127.0.0.1:1", "limits": {}, "settings": settings()})
        )
        environment = variables and {
            "NODE_NAME": "n",
            "NODE_LISTEN": "127.0.0.1:0",
            "NODE_DISCOVERY": "h:1",
            "NODE_CONFIG": str(path),
            **variables,
        }
        if expected.startswith("not a JSON") or "settings" in expected:
            environment = {
                "NODE_NAME": "n",
                "NODE_LISTEN": "127.0.0.1:0",
                "NODE_DISCOVERY": "h:1",
                "NODE_CONFIG": str(path),
            }
        if variables.get("NODE_LISTEN") == "taken":
            environment["NODE_LISTEN"] = f"127.0.0.1:{occupied.getsockname()[1]}"
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "heathford",
            "platform",
            cwd=Path(__file__).parent.parent,
            stderr=asyncio.subprocess.PIPE,
            env={**os.environ, **environment},
        )
        _, error = await process.communicate()
        assert process.returncode == 2 and expected in error.decode()

    with socket.create_server(("127.0.0.1", 0)) as occupied:
        asyncio.run(run())
