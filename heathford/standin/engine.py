"""A stand-in engine with slots, a queue, memory and steps, served by the published completions API.

The timing is a simple model and comes from no real engine. A step prefills up to a chunk of prompt tokens and
generates one token for each running answer. It takes longer with more prompt tokens, more running answers and
longer contexts.
"""

import asyncio
import ssl
import math
import time
from collections import deque
from datetime import UTC, datetime
from hashlib import blake2b
from math import ceil
from typing import Any

import orjson
from tornado.iostream import IOStream, StreamClosedError
from tornado.tcpclient import TCPClient

from heathford.standin.server import Exchange, Server

BLOCK_TOKENS = 64  # prompt tokens in a block of the prefix cache
TEXT_BLOCK_BYTES = 256  # bytes of a text prompt that count as one block
RELEASED_NAME_LIFETIME = 5.0  # s; a release may arrive before its prefill attempt has finished
STATE_BYTES_PER_TOKEN = 8  # prefill state, on the wire


class EngineRequest:
    """One attempt that the engine runs or queues, and its progress."""

    def __init__(
        self, exchange: Exchange, name: str, body: dict[str, Any], tokens: int, blocks: list[bytes]
    ) -> None:
        self.exchange, self.name, self.body, self.tokens, self.blocks = exchange, name, body, tokens, blocks
        self.cached_tokens = 0  # prompt tokens found in the prefix cache
        self.tokens_to_prefill = 0
        self.answer_length = 0  # tokens
        self.tokens_generated = 0
        self.seed = ""
        self.reserved_tokens = tokens
        self.done = asyncio.Event()


class Engine:
    """The stand-in engine of one process.

    role: "read" prefills only, "write" decodes only, "both" does both. Durations are in s, memory and chunk
    in tokens. A step takes `step` s if an answer runs, `step_per_stream` s for each running answer, and
    `step_per_1000_context` s for each 1000 tokens of their contexts; it prefills `read_rate` tokens a second.
    Prefill states are sent at `move_rate` tokens a second within a rack, `rack_rate` within a zone and
    `zone_rate` between zones, and are held for `state_life` s. `kept_texts` is the size of the prefix cache
    in blocks. The cold parameters describe the slow start; see `capacity_factor` and `record_arrival`.
    """

    def __init__(
        self,
        role: str,
        name: str,
        zone: str,
        rack: str,
        address: str,
        memory: int,
        bytes_per_token: float,
        warm_after: float,
        cold_from: float,
        cold_multiple: float,
        cold_window: float,
        slots: int,
        queue: int,
        step: float,
        step_per_stream: float,
        step_per_1000_context: float,
        read_rate: float,
        chunk: int,
        move_rate: float,
        rack_rate: float,
        zone_rate: float,
        state_life: float,
        kept_texts: int,
    ) -> None:
        self.role, self.name, self.zone, self.rack, self.address = role, name, zone, rack, address
        self.memory, self.bytes_per_token = memory, bytes_per_token
        self.warm_after, self.cold_from = warm_after, cold_from
        self.cold_multiple, self.cold_window = cold_multiple, cold_window
        self.slots, self.max_queued, self.step = slots, queue, step
        self.step_per_stream, self.step_per_context = step_per_stream, step_per_1000_context / 1000
        self.read_rate, self.max_chunk = read_rate, chunk
        self.transfer_rates = move_rate, rack_rate, zone_rate
        self.state_lifetime, self.max_cached_blocks = state_life, kept_texts
        self.capacity = 0.0  # requests a second when warm; 0: unknown, no overload while cold
        self.serve_tls: ssl.SSLContext | None = None  # of the server
        self.fetch_tls: ssl.SSLContext | None = None  # to fetch prefill states with
        self.server = Server(self.handle)
        self.port = 0
        self.started = 0.0  # wall clock, s; 0: has been warm for long
        self.slowdown = 1.0
        self.stalled_until = 0.0  # wall clock, s
        self.full_for_model = ""
        self.unreachable_zones: list[str] = []
        self.step_task: asyncio.Task[None] | None = None
        self.reset_state()

    def reset_state(self) -> None:
        """Drop all requests, held states and caches, as a new process starts without them."""
        self.queue: deque[EngineRequest] = deque()
        self.running: list[EngineRequest] = []
        self.queued_before_step = 0  # excludes requests that arrived during the current step
        self.held_states: dict[str, tuple[EngineRequest, float]] = {}
        self.cached_blocks: dict[bytes, None] = {}
        self.released_at: dict[str, float] = {}
        self.arrivals: deque[float] = deque()
        self.down = False

    def use_tls(self, serve: ssl.SSLContext, fetch: ssl.SSLContext | None) -> None:
        self.serve_tls, self.fetch_tls = serve, fetch
        self.server = Server(self.handle, serve)

    def serve(self) -> None:
        self.server.open(self.address, self.port)
        self.port = self.server.port
        self.step_task = asyncio.get_running_loop().create_task(self.run_steps())

    # Injected faults.

    async def crash(self) -> None:
        """Reset all connections and drop all state; the port refuses connections until a restart."""
        self.server.reset_connections()
        self.server.stop()
        if self.step_task:
            self.step_task.cancel()
        self.reset_state()
        self.server = Server(self.handle, self.serve_tls)

    async def restart(self) -> None:
        await self.crash()
        self.started = time.time()
        self.serve()

    @property
    def capacity_factor(self) -> float:
        """The share of the full speed that the engine has now, by its warm-up and an injected slowdown."""
        age = time.time() - self.started
        warm = 1.0
        if self.warm_after:
            warm = min(1.0, self.cold_from + (1 - self.cold_from) * age / self.warm_after)
        return warm / self.slowdown

    def record_arrival(self) -> bool:
        """Record a request's arrival and return whether it overloads the engine while it is cold.

        The budget of requests is exceeded only by more than two standard deviations of a Poisson count.
        """
        now = time.time()
        if not self.capacity or now - self.started >= self.warm_after:
            return False
        self.arrivals.append(now)
        while self.arrivals[0] < now - self.cold_window:
            self.arrivals.popleft()
        budget = self.cold_multiple * self.capacity_factor * self.capacity * self.cold_window
        return len(self.arrivals) > budget + 2 * math.sqrt(budget)

    # Requests.

    @property
    def used_memory(self) -> int:
        """The memory taken by running requests and held prefill states, in tokens."""
        return sum(r.reserved_tokens + r.tokens_generated for r in self.running) + sum(
            r.tokens for r, _ in self.held_states.values()
        )

    def load_report_headers(self) -> dict[str, str]:
        """Return the load as an ORCA report in the header `endpoint-load-metrics`."""
        load = {
            "application_utilization": round(len(self.running) / self.slots, 4),
            "mem_utilization": round(min(1.0, self.used_memory / self.memory), 4),
            "named_metrics": {
                "queue": self.queued_before_step,
                "held": len(self.running) + len(self.held_states),
            },
        }
        return {"endpoint-load-metrics": "JSON " + orjson.dumps(load).decode()}

    async def handle(self, exchange: Exchange) -> None:
        """Answer a request: a completion, or the fetch or release of a prefill state."""
        path = exchange.path
        if path.startswith("/v1/kv_transfers/"):
            name = path.rpartition("/")[2]
            if exchange.method == "DELETE":
                self.released_at[name] = time.time()
                held_state = self.held_states.pop(name, None)
                exchange.respond(204 if held_state else 404, None)
            else:
                await self.send_state(exchange, name)
        elif path == "/v1/completions" and exchange.method == "POST":
            await self.handle_completion(exchange)
        else:
            exchange.respond(404, {"error": {"code": "not_found"}})

    async def handle_completion(self, exchange: Exchange) -> None:
        body = exchange.json()
        name = exchange.headers.get("x-request-id", "")
        if not isinstance(body, dict) or not isinstance(body.get("prompt"), str | list):
            exchange.respond(400, {"error": {"code": "bad_request"}})
            return
        if self.record_arrival():
            self.down = True
        if self.down:
            await self.crash()
            return
        tokens, blocks = self.tokens_and_blocks(body["prompt"])
        request = EngineRequest(exchange, name, body, tokens, blocks)
        if (self.full_for_model and body.get("model") == self.full_for_model) or len(
            self.queue
        ) >= self.max_queued:
            exchange.respond(
                503, {"error": {"code": "full"}}, {"Retry-After": "1", **self.load_report_headers()}
            )
            return
        kv = body.get("kv_transfer_params") or {}
        request.seed = blake2b(orjson.dumps(body["prompt"]), digest_size=4).hexdigest()
        max_tokens = max(1, int(body.get("max_tokens") or 16))
        request.answer_length = 1 + int(request.seed, 16) % max_tokens if self.role != "read" else 0
        if kv.get("do_remote_prefill"):
            if not await self.fetch_state(kv, request):
                if not exchange.peer_closed:
                    exchange.respond(410, {"error": {"code": "kv_state_gone"}}, self.load_report_headers())
                return
        elif self.role == "write":
            exchange.respond(410, {"error": {"code": "kv_state_gone"}}, self.load_report_headers())
            return
        else:
            cached_block_count = next(
                (n for n, block in enumerate(blocks) if block not in self.cached_blocks), len(blocks)
            )
            request.cached_tokens = min(cached_block_count * BLOCK_TOKENS, tokens - 1)
            request.tokens_to_prefill = tokens - request.cached_tokens
        self.queue.append(request)
        await request.done.wait()

    def tokens_and_blocks(self, prompt: str | list[int]) -> tuple[int, list[bytes]]:
        """Return the number of tokens and, for each whole block, a hash of the prompt up to its end."""
        if isinstance(prompt, str):
            data, size = prompt.encode("utf-8", "surrogatepass"), TEXT_BLOCK_BYTES
            tokens = ceil(len(data) / self.bytes_per_token)
        else:
            data, size, tokens = b"".join(t.to_bytes(8) for t in prompt), 8 * BLOCK_TOKENS, len(prompt)
        chain = blake2b(digest_size=8)
        blocks = []
        for at in range(0, len(data) - size + 1, size):
            chain.update(data[at : at + size])
            blocks.append(chain.digest())
        return tokens, blocks

    def cache_blocks(self, blocks: list[bytes]) -> None:
        for block in blocks:
            self.cached_blocks.pop(block, None)
            self.cached_blocks[block] = None
        while len(self.cached_blocks) > self.max_cached_blocks:
            del self.cached_blocks[next(iter(self.cached_blocks))]

    # Prefill states.

    async def send_state(self, exchange: Exchange, name: str) -> None:
        """Send a held prefill state at the transfer rate to the engine that fetches it, then drop it."""
        held_state = self.held_states.get(name)
        if not held_state:
            exchange.respond(404, None)
            return
        zone, rack = exchange.headers.get("x-zone"), exchange.headers.get("x-rack")
        rate = self.transfer_rates[0 if rack == self.rack else 1 if zone == self.zone else 2]
        left = held_state[0].tokens * STATE_BYTES_PER_TOKEN
        exchange.head(200, {"Content-Length": str(left)})
        while left and not exchange.peer_closed:
            part = min(left, ceil(rate * STATE_BYTES_PER_TOKEN * 0.005))
            await asyncio.sleep(part / STATE_BYTES_PER_TOKEN / rate)
            exchange.write(bytes(part))
            left -= part
        if not exchange.peer_closed:
            self.held_states.pop(name, None)

    async def fetch_state(self, kv: dict[str, Any], request: EngineRequest) -> bool:
        """Fetch the prefill state from the engine that holds it and return whether it came whole."""
        host, port, name = kv.get("remote_host"), kv.get("remote_port"), kv.get("remote_request_id")
        if kv.get("remote_zone") in self.unreachable_zones and kv.get("remote_zone") != self.zone:
            return False
        stream: IOStream | None = None
        try:
            stream = await TCPClient().connect(
                str(host), int(port or 0), timeout=1.0, ssl_options=self.fetch_tls
            )
            await stream.write(
                f"GET /v1/kv_transfers/{name} HTTP/1.1\r\nHost: {host}\r\n"
                f"X-Zone: {self.zone}\r\nX-Rack: {self.rack}\r\n\r\n".encode()
            )
            head = (await stream.read_until(b"\r\n\r\n")).decode("latin-1")
            if " 200 " not in head.split("\r\n")[0]:
                return False
            left = request.tokens * STATE_BYTES_PER_TOKEN
            while left:
                left -= len(await stream.read_bytes(min(left, 65536), partial=True))
                if request.exchange.peer_closed:
                    return False
            return True
        except (TimeoutError, StreamClosedError, OSError, ValueError):
            return False
        finally:
            if stream:
                stream.close()

    # Steps.

    async def run_steps(self) -> None:
        """Run the engine's steps until cancelled, and expire held states and released names between them."""
        while True:
            now = time.time()
            for name, (_, expires_at) in list(self.held_states.items()):
                if expires_at < now:
                    del self.held_states[name]
            for name, at in list(self.released_at.items()):
                if at < now - RELEASED_NAME_LIFETIME:
                    del self.released_at[name]
            if now < self.stalled_until:
                await asyncio.sleep(0.01)
                continue
            self.drop_cancelled()
            self.admit()
            self.queued_before_step = len(self.queue)
            if not self.running:
                await asyncio.sleep(0.002)
                continue
            read = self.prefill_chunk()
            streams = [r for r in self.running if not r.tokens_to_prefill and r.answer_length]
            context = sum(r.tokens + r.tokens_generated for r in streams)
            took = (
                self.step * bool(streams)
                + self.step_per_stream * len(streams)
                + self.step_per_context * context
                + read / self.read_rate
            )
            await asyncio.sleep(max(took, 0.0005) / self.capacity_factor)
            self.generate_tokens(streams)

    def drop_cancelled(self) -> None:
        for request in [r for r in (*self.queue, *self.running) if r.exchange.peer_closed]:
            if request in self.running:
                self.running.remove(request)
            else:
                self.queue.remove(request)
            request.done.set()

    def admit(self) -> None:
        while (
            self.queue
            and len(self.running) < self.slots
            and (not self.running or self.used_memory + self.queue[0].tokens < self.memory)
        ):
            self.running.append(self.queue.popleft())

    def prefill_chunk(self) -> int:
        """Prefill up to a chunk of tokens of the running requests and return how many."""
        left = self.max_chunk
        for request in self.running:
            part = min(left, request.tokens_to_prefill)
            request.tokens_to_prefill -= part
            left -= part
            if not left:
                break
        return self.max_chunk - left

    def generate_tokens(self, streams: list[EngineRequest]) -> None:
        """Finish the prefill attempts that are done, and send one token of each running answer."""
        for request in list(self.running):
            if self.role == "read" and not request.tokens_to_prefill:
                self.running.remove(request)
                self.finish_prefill(request)
        for request in streams:
            if request.exchange.peer_closed or request not in self.running:
                continue
            if not request.tokens_generated:
                self.cache_blocks(request.blocks)
                request.exchange.head(
                    200,
                    {
                        "Content-Type": "text/event-stream",
                        "Transfer-Encoding": "chunked",
                        "Trailer": "endpoint-load-metrics",
                        **self.load_report_headers(),
                    },
                )
            request.tokens_generated += 1
            last = request.tokens_generated == request.answer_length
            choice = {
                "index": 0,
                "text": f" {request.seed}-{request.tokens_generated}",
                "finish_reason": "stop" if last else None,
            }
            event: dict[str, Any] = {"object": "text_completion", "choices": [choice]}
            if last:
                event["usage"] = self.usage(request)
            request.exchange.chunk(b"data: " + orjson.dumps(event) + b"\n\n")
            if last:
                self.running.remove(request)
                request.exchange.chunk(b"data: [DONE]\n\n")
                request.exchange.end(self.load_report_headers())
                request.done.set()

    def finish_prefill(self, request: EngineRequest) -> None:
        """Answer a prefill attempt and hold its state, unless it was cancelled or released before."""
        self.cache_blocks(request.blocks)
        if not request.exchange.peer_closed and request.name not in self.released_at:
            self.held_states[request.name] = request, time.time() + self.state_lifetime
            request.exchange.respond(
                200,
                {
                    "object": "text_completion",
                    "choices": [],
                    "usage": self.usage(request),
                    "kv_transfer_params": {
                        "do_remote_prefill": True,
                        "do_remote_decode": False,
                        "remote_engine_id": self.name,
                        "remote_host": self.address,
                        "remote_port": self.port,
                        "remote_request_id": request.name,
                        "remote_block_ids": [],
                        "remote_zone": self.zone,
                    },
                },
                self.load_report_headers(),
            )
        request.done.set()

    def usage(self, request: EngineRequest) -> dict[str, Any]:
        return {
            "prompt_tokens": request.tokens,
            "completion_tokens": request.tokens_generated,
            "total_tokens": request.tokens + request.tokens_generated,
            "prompt_tokens_details": {"cached_tokens": request.cached_tokens},
        }

    # Commands of tests and scripted days.

    async def handle_command(self, exchange: Exchange) -> None:
        """Inject the fault that the JSON command asks for, and answer with the engine's state."""
        command = exchange.json() or {}
        do = command.get("do")
        if do == "die":
            await self.crash()
        elif do == "restart":
            await self.restart()
        elif do == "silent":
            self.server.silent = bool(command["on"])
        elif do == "stall":
            self.stalled_until = time.time() + float(command["for"])
        elif do == "slow":
            self.slowdown = float(command["times"])
        elif do == "forget":
            self.cached_blocks = {}
        elif do == "full_to":
            self.full_for_model = str(command["workload"])
        elif do == "cut":
            self.unreachable_zones = list(command["zones"])
        elif do == "capacity":
            self.capacity = float(command["sends"])
        elif do == "states":
            exchange.respond(
                200, {"states": list(self.held_states), "running": [r.name for r in self.running]}
            )
            return
        else:
            exchange.respond(400, {"error": f"unknown command {do!r}"})
            return
        exchange.respond(200, {"started": utc_text(self.started), "down": self.down})


def utc_text(seconds: float) -> str:
    """Return a wall-clock time in s since the epoch in ISO 8601."""
    return datetime.fromtimestamp(seconds, UTC).isoformat()
