"""A stand-in registry: a list of engines and a watch of its changes, in the published list-and-watch form."""

import asyncio
from collections import deque
from typing import Any
from urllib.parse import parse_qs, urlsplit

import orjson

from heathford.standin.server import Exchange, Server

PATH = "/api/v1/engines"
BOOKMARK = 1.0  # s between bookmarks of a quiet watch


class Registry:
    """lag: s by which news comes late; history: changes kept, before which a watch is told "too old"."""

    def __init__(self, lag: float, history: int) -> None:
        self.lag, self.version = lag, 1
        self.items: dict[str, dict[str, Any]] = {}  # as told: changes show here only once they are due
        self.changes: deque[tuple[int, str, dict[str, Any]]] = deque(maxlen=history)
        self.oldest = 1  # a watch may begin here or later
        self.frozen = self.replay = False
        self.views: dict[str, dict[str, str]] = {}  # by who asks: engines' addresses as seen from there
        self.changed = asyncio.Condition()
        self.server = Server(self.answer)
        self.late: list[tuple[str, dict[str, Any]]] = []
        self.tasks: list[asyncio.Task[None]] = []

    async def answer(self, exchange: Exchange) -> None:
        url = urlsplit(exchange.path)
        query = parse_qs(url.query)
        if url.path != PATH or exchange.method != "GET":
            exchange.respond(404, None)
        elif "watch" in query:
            await self.watch(exchange, int(query.get("resourceVersion", ["0"])[0]))
        else:
            exchange.respond(
                200,
                {
                    "kind": "EngineList",
                    "apiVersion": "heathford/v1",
                    "metadata": {"resourceVersion": str(self.version)},
                    "items": [self.seen(exchange, i) for i in self.items.values()],
                },
            )

    async def watch(self, exchange: Exchange, since: int) -> None:
        exchange.head(200, {"Content-Type": "application/json", "Transfer-Encoding": "chunked"})
        if self.replay:
            since = self.oldest
        while not exchange.gone:
            if since < self.oldest:
                self.line(
                    exchange,
                    "ERROR",
                    {
                        "kind": "Status",
                        "code": 410,
                        "reason": "Expired",
                        "message": f"too old resource version: {since}",
                    },
                )
                exchange.end()
                return
            for version, kind, item in list(self.changes):
                if version > since and not self.frozen:
                    self.line(exchange, kind, self.seen(exchange, item))
                    since = version
            try:
                async with asyncio.timeout(BOOKMARK), self.changed:
                    await self.changed.wait()
            except TimeoutError:
                self.line(exchange, "BOOKMARK", {"metadata": {"resourceVersion": str(since)}})

    def seen(self, exchange: Exchange, item: dict[str, Any]) -> dict[str, Any]:
        address = self.views.get(exchange.peer, {}).get(item["metadata"]["name"])
        return {**item, "spec": {**item["spec"], "address": address}} if address else item

    def line(self, exchange: Exchange, kind: str, item: dict[str, Any]) -> None:
        exchange.chunk(orjson.dumps({"type": kind, "object": item}) + b"\n")

    async def publish(self, kind: str, item: dict[str, Any]) -> None:
        if self.lag:
            await asyncio.sleep(self.lag)
        if self.frozen:
            self.late.append((kind, item))
            return
        self.version += 1
        item = {**item, "metadata": {**item["metadata"], "resourceVersion": str(self.version)}}
        name = item["metadata"]["name"]
        if kind == "DELETED":
            self.items.pop(name, None)
        else:
            self.items[name] = item
        if len(self.changes) == self.changes.maxlen:
            self.oldest = self.changes[0][0]
        self.changes.append((self.version, kind, item))
        async with self.changed:
            self.changed.notify_all()

    async def command(self, exchange: Exchange) -> None:
        said = exchange.json() or {}
        do = said.get("do")
        if do == "put":
            item = said["item"]
            kind = "MODIFIED" if item["metadata"]["name"] in self.items else "ADDED"
            self.soon(kind, item)
        elif do == "put_now":  # what stands when it starts
            lag, self.lag = self.lag, 0.0
            for item in said["items"]:
                await self.publish("ADDED", item)
            self.lag = lag
        elif do == "delete":
            self.soon("DELETED", self.items.get(said["name"]) or said["item"])
        elif do == "views":
            self.views = said["views"]
        elif do == "lag":
            self.lag = float(said["s"])
        elif do == "freeze":
            self.frozen = bool(said["on"])
            if not self.frozen:
                late, self.late = self.late, []
                for kind, item in late:
                    self.soon(kind, item)
        elif do == "cut":
            self.server.reset_all()
        elif do == "compact":
            self.changes.clear()
            self.oldest = self.version
            self.server.reset_all()
        elif do == "replay":
            self.replay = bool(said["on"])
            self.server.reset_all()
        else:
            exchange.respond(400, {"error": f"unknown command {do!r}"})
            return
        exchange.respond(200, {"version": self.version})

    def soon(self, kind: str, item: dict[str, Any]) -> None:
        task = asyncio.get_running_loop().create_task(self.publish(kind, item))
        self.tasks.append(task)
        self.tasks = [t for t in self.tasks if not t.done()]
