"""A stand-in engine: slots, queue, memory and steps, served by the published completions API.

A simple model, not a measurement: a step reads up to a chunk of prompt tokens and gives each running answer a
token; it takes longer the more it reads, the more answers run and the longer their contexts are.
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

BLOCK = 64  # tokens of a kept block
TEXT_BLOCK = 256  # bytes of text that stand for a block
TOMBSTONE = 5.0  # s for which a name let go is remembered: a DELETE may overtake its read
MOVED_BYTES = 8  # bytes on the wire for a token of state


class Work:
    """One request in the engine."""

    def __init__(
        self, exchange: Exchange, name: str, body: dict[str, Any], tokens: int, blocks: list[bytes]
    ) -> None:
        self.exchange, self.name, self.body, self.tokens, self.blocks = exchange, name, body, tokens, blocks
        self.kept = 0  # prompt tokens found kept
        self.unread = 0
        self.length = 0  # of the answer
        self.given = 0
        self.seed = ""
        self.held = tokens
        self.done = asyncio.Event()


class Engine:
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
        self.slots, self.most_queued, self.step = slots, queue, step
        self.step_per_stream, self.step_per_context = step_per_stream, step_per_1000_context / 1000
        self.read_rate, self.most_chunk = read_rate, chunk
        self.rates = move_rate, rack_rate, zone_rate
        self.state_life, self.most_kept = state_life, kept_texts
        self.capacity = 0.0  # sends a second when warm, for the cold rule; 0: not known, never pushed over
        self.tls: ssl.SSLContext | None = None  # that it serves with
        self.fetch_tls: ssl.SSLContext | None = None  # that it fetches states with
        self.server = Server(self.answer)
        self.port = 0
        self.started = 0.0  # wall; 0: long warm
        self.slow = 1.0
        self.stalled_until = 0.0
        self.full_to = ""
        self.cut: list[str] = []  # zones that can't be reached
        self.stepping: asyncio.Task[None] | None = None
        self.begin()

    def begin(self) -> None:
        self.queue: deque[Work] = deque()
        self.running: list[Work] = []
        self.waiting = 0  # left in the queue when the last step began; what came since is no queue
        self.states: dict[str, tuple[Work, float]] = {}
        self.kept: dict[bytes, None] = {}
        self.let_go: dict[str, float] = {}
        self.arrivals: deque[float] = deque()
        self.down = False

    def secure(self, serve: ssl.SSLContext, fetch: ssl.SSLContext | None) -> None:
        self.tls, self.fetch_tls = serve, fetch
        self.server = Server(self.answer, serve)

    def serve(self) -> None:
        self.server.open(self.address, self.port)
        self.port = self.server.port
        self.stepping = asyncio.get_running_loop().create_task(self.steps())

    # Faults.

    async def die(self) -> None:
        self.server.reset_all()
        self.server.stop()
        if self.stepping:
            self.stepping.cancel()
        self.begin()
        self.server = Server(self.answer, self.tls)

    async def restart(self) -> None:
        await self.die()
        self.started = time.time()
        self.serve()

    @property
    def part(self) -> float:
        """The part of its capacity that it can give now."""
        age = time.time() - self.started
        warm = 1.0
        if self.warm_after:
            warm = min(1.0, self.cold_from + (1 - self.cold_from) * age / self.warm_after)
        return warm / self.slow

    def pushed(self) -> bool:
        """Counts an arrival; whether the engine falls over, as one that is cold and gets too much does."""
        now = time.time()
        if not self.capacity or now - self.started >= self.warm_after:
            return False
        self.arrivals.append(now)
        while self.arrivals[0] < now - self.cold_window:
            self.arrivals.popleft()
        budget = self.cold_multiple * self.part * self.capacity * self.cold_window
        return len(self.arrivals) > budget + 2 * math.sqrt(budget)

    # Requests.

    @property
    def used(self) -> int:
        return sum(w.held + w.given for w in self.running) + sum(w.tokens for w, _ in self.states.values())

    def report(self) -> dict[str, str]:
        load = {
            "application_utilization": round(len(self.running) / self.slots, 4),
            "mem_utilization": round(min(1.0, self.used / self.memory), 4),
            "named_metrics": {"queue": self.waiting, "held": len(self.running) + len(self.states)},
        }
        return {"endpoint-load-metrics": "JSON " + orjson.dumps(load).decode()}

    async def answer(self, exchange: Exchange) -> None:
        path = exchange.path
        if path.startswith("/v1/kv_transfers/"):
            name = path.rpartition("/")[2]
            if exchange.method == "DELETE":
                self.let_go[name] = time.time()
                found = self.states.pop(name, None)
                exchange.respond(204 if found else 404, None)
            else:
                await self.hand_over(exchange, name)
        elif path == "/v1/completions" and exchange.method == "POST":
            await self.complete(exchange)
        else:
            exchange.respond(404, {"error": {"code": "not_found"}})

    async def complete(self, exchange: Exchange) -> None:
        body = exchange.json()
        name = exchange.headers.get("x-request-id", "")
        if not isinstance(body, dict) or not isinstance(body.get("prompt"), str | list):
            exchange.respond(400, {"error": {"code": "bad_request"}})
            return
        if self.pushed():
            self.down = True
        if self.down:
            await self.die()
            return
        tokens, blocks = self.measure(body["prompt"])
        work = Work(exchange, name, body, tokens, blocks)
        if (self.full_to and body.get("model") == self.full_to) or len(self.queue) >= self.most_queued:
            exchange.respond(503, {"error": {"code": "full"}}, {"Retry-After": "1", **self.report()})
            return
        kv = body.get("kv_transfer_params") or {}
        work.seed = blake2b(orjson.dumps(body["prompt"]), digest_size=4).hexdigest()
        most = max(1, int(body.get("max_tokens") or 16))
        work.length = 1 + int(work.seed, 16) % most if self.role != "read" else 0
        if kv.get("do_remote_prefill"):
            if not await self.fetch(kv, work):
                if not exchange.gone:
                    exchange.respond(410, {"error": {"code": "kv_state_gone"}}, self.report())
                return
        elif self.role == "write":
            exchange.respond(410, {"error": {"code": "kv_state_gone"}}, self.report())
            return
        else:
            found = next((n for n, block in enumerate(blocks) if block not in self.kept), len(blocks))
            work.kept = min(found * BLOCK, tokens - 1)
            work.unread = tokens - work.kept
        self.queue.append(work)
        await work.done.wait()

    def measure(self, prompt: str | list[int]) -> tuple[int, list[bytes]]:
        """Tokens of a prompt, and a name for each whole block that tells all before it too."""
        if isinstance(prompt, str):
            data, size = prompt.encode("utf-8", "surrogatepass"), TEXT_BLOCK
            tokens = ceil(len(data) / self.bytes_per_token)
        else:
            data, size, tokens = b"".join(t.to_bytes(8) for t in prompt), 8 * BLOCK, len(prompt)
        chain = blake2b(digest_size=8)
        blocks = []
        for at in range(0, len(data) - size + 1, size):
            chain.update(data[at : at + size])
            blocks.append(chain.digest())
        return tokens, blocks

    def keep(self, blocks: list[bytes]) -> None:
        for block in blocks:
            self.kept.pop(block, None)
            self.kept[block] = None
        while len(self.kept) > self.most_kept:
            del self.kept[next(iter(self.kept))]

    # States.

    async def hand_over(self, exchange: Exchange, name: str) -> None:
        found = self.states.get(name)
        if not found:
            exchange.respond(404, None)
            return
        zone, rack = exchange.headers.get("x-zone"), exchange.headers.get("x-rack")
        rate = self.rates[0 if rack == self.rack else 1 if zone == self.zone else 2]
        left = found[0].tokens * MOVED_BYTES
        exchange.head(200, {"Content-Length": str(left)})
        while left and not exchange.gone:
            part = min(left, ceil(rate * MOVED_BYTES * 0.005))
            await asyncio.sleep(part / MOVED_BYTES / rate)
            exchange.write(bytes(part))
            left -= part
        if not exchange.gone:
            self.states.pop(name, None)

    async def fetch(self, kv: dict[str, Any], work: Work) -> bool:
        host, port, name = kv.get("remote_host"), kv.get("remote_port"), kv.get("remote_request_id")
        if kv.get("remote_zone") in self.cut and kv.get("remote_zone") != self.zone:
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
            left = work.tokens * MOVED_BYTES
            while left:
                left -= len(await stream.read_bytes(min(left, 65536), partial=True))
                if work.exchange.gone:
                    return False
            return True
        except (TimeoutError, StreamClosedError, OSError, ValueError):
            return False
        finally:
            if stream:
                stream.close()

    # Steps.

    async def steps(self) -> None:
        while True:
            now = time.time()
            for name, (_, until) in list(self.states.items()):
                if until < now:
                    del self.states[name]
            for name, at in list(self.let_go.items()):
                if at < now - TOMBSTONE:
                    del self.let_go[name]
            if now < self.stalled_until:
                await asyncio.sleep(0.01)
                continue
            self.drop_gone()
            self.admit()
            self.waiting = len(self.queue)
            if not self.running:
                await asyncio.sleep(0.002)
                continue
            read = self.read_some()
            streams = [w for w in self.running if not w.unread and w.length]
            context = sum(w.tokens + w.given for w in streams)
            took = (
                self.step * bool(streams)
                + self.step_per_stream * len(streams)
                + self.step_per_context * context
                + read / self.read_rate
            )
            await asyncio.sleep(max(took, 0.0005) / self.part)
            self.give(streams)

    def drop_gone(self) -> None:
        for work in [w for w in (*self.queue, *self.running) if w.exchange.gone]:
            if work in self.running:
                self.running.remove(work)
            else:
                self.queue.remove(work)
            work.done.set()

    def admit(self) -> None:
        while (
            self.queue
            and len(self.running) < self.slots
            and (not self.running or self.used + self.queue[0].tokens < self.memory)
        ):
            self.running.append(self.queue.popleft())

    def read_some(self) -> int:
        left = self.most_chunk
        for work in self.running:
            part = min(left, work.unread)
            work.unread -= part
            left -= part
            if not left:
                break
        return self.most_chunk - left

    def give(self, streams: list[Work]) -> None:
        for work in list(self.running):
            if self.role == "read" and not work.unread:
                self.running.remove(work)
                self.finish_read(work)
        for work in streams:
            if work.exchange.gone or work not in self.running:
                continue
            if not work.given:
                self.keep(work.blocks)
                work.exchange.head(
                    200,
                    {
                        "Content-Type": "text/event-stream",
                        "Transfer-Encoding": "chunked",
                        "Trailer": "endpoint-load-metrics",
                        **self.report(),
                    },
                )
            work.given += 1
            last = work.given == work.length
            choice = {
                "index": 0,
                "text": f" {work.seed}-{work.given}",
                "finish_reason": "stop" if last else None,
            }
            event: dict[str, Any] = {"object": "text_completion", "choices": [choice]}
            if last:
                event["usage"] = self.usage(work)
            work.exchange.chunk(b"data: " + orjson.dumps(event) + b"\n\n")
            if last:
                self.running.remove(work)
                work.exchange.chunk(b"data: [DONE]\n\n")
                work.exchange.end(self.report())
                work.done.set()

    def finish_read(self, work: Work) -> None:
        self.keep(work.blocks)
        if not work.exchange.gone and work.name not in self.let_go:
            self.states[work.name] = work, time.time() + self.state_life
            work.exchange.respond(
                200,
                {
                    "object": "text_completion",
                    "choices": [],
                    "usage": self.usage(work),
                    "kv_transfer_params": {
                        "do_remote_prefill": True,
                        "do_remote_decode": False,
                        "remote_engine_id": self.name,
                        "remote_host": self.address,
                        "remote_port": self.port,
                        "remote_request_id": work.name,
                        "remote_block_ids": [],
                        "remote_zone": self.zone,
                    },
                },
                self.report(),
            )
        work.done.set()

    def usage(self, work: Work) -> dict[str, Any]:
        return {
            "prompt_tokens": work.tokens,
            "completion_tokens": work.given,
            "total_tokens": work.tokens + work.given,
            "prompt_tokens_details": {"cached_tokens": work.kept},
        }

    # Commands.

    async def command(self, exchange: Exchange) -> None:
        said = exchange.json() or {}
        do = said.get("do")
        if do == "die":
            await self.die()
        elif do == "restart":
            await self.restart()
        elif do == "silent":
            self.server.silent = bool(said["on"])
        elif do == "stall":
            self.stalled_until = time.time() + float(said["for"])
        elif do == "slow":
            self.slow = float(said["times"])
        elif do == "forget":
            self.kept = {}
        elif do == "full_to":
            self.full_to = str(said["workload"])
        elif do == "cut":
            self.cut = list(said["zones"])
        elif do == "capacity":
            self.capacity = float(said["sends"])
        elif do == "states":
            exchange.respond(200, {"states": list(self.states), "running": [w.name for w in self.running]})
            return
        else:
            exchange.respond(400, {"error": f"unknown command {do!r}"})
            return
        exchange.respond(200, {"started": start_text(self.started), "down": self.down})


def start_text(wall: float) -> str:
    return datetime.fromtimestamp(wall, UTC).isoformat()
