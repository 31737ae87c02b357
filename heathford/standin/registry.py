"""A stand-in registry: a list of engines and a watch of its changes, as in the Kubernetes API."""

import asyncio
from collections import deque
from typing import Any
from urllib.parse import parse_qs, urlsplit

import orjson

from heathford.standin.server import Exchange, Server

ENGINES_PATH = "/api/v1/engines"
BOOKMARK_INTERVAL = 1.0  # s between bookmarks of a watch without changes


class Registry:
    """The list of engines with its recent changes, and the faults injected into it.

    lag: delay of each change in s. history: number of changes kept; a watch that starts before them gets the
    error 410 Expired.
    """

    def __init__(self, lag: float, history: int) -> None:
        self.lag, self.version = lag, 1
        self.items: dict[str, dict[str, Any]] = {}  # published; a change appears here only after its lag
        self.changes: deque[tuple[int, str, dict[str, Any]]] = deque(maxlen=history)
        self.oldest_version = 1  # a watch may start at this version or later
        self.frozen = self.replay = False
        # by the client's host: addresses of engines as that host reaches them
        self.views: dict[str, dict[str, str]] = {}
        self.changed = asyncio.Condition()
        self.server = Server(self.handle)
        self.held_back: list[tuple[str, dict[str, Any]]] = []  # while frozen
        self.tasks: list[asyncio.Task[None]] = []

    async def handle(self, exchange: Exchange) -> None:
        url = urlsplit(exchange.path)
        query = parse_qs(url.query)
        if url.path != ENGINES_PATH or exchange.method != "GET":
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
                    "items": [self.as_seen_by(exchange, i) for i in self.items.values()],
                },
            )

    async def watch(self, exchange: Exchange, since: int) -> None:
        """Stream the changes after version `since` until the client closes the connection."""
        exchange.head(200, {"Content-Type": "application/json", "Transfer-Encoding": "chunked"})
        if self.replay:
            since = self.oldest_version
        while not exchange.peer_closed:
            if since < self.oldest_version:
                self.send_event(
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
            for version, event_type, item in list(self.changes):
                if version > since and not self.frozen:
                    self.send_event(exchange, event_type, self.as_seen_by(exchange, item))
                    since = version
            try:
                async with asyncio.timeout(BOOKMARK_INTERVAL), self.changed:
                    await self.changed.wait()
            except TimeoutError:
                self.send_event(exchange, "BOOKMARK", {"metadata": {"resourceVersion": str(since)}})

    def as_seen_by(self, exchange: Exchange, item: dict[str, Any]) -> dict[str, Any]:
        """Return the item with the engine's address as the client of the exchange reaches it."""
        address = self.views.get(exchange.peer, {}).get(item["metadata"]["name"])
        return {**item, "spec": {**item["spec"], "address": address}} if address else item

    def send_event(self, exchange: Exchange, event_type: str, item: dict[str, Any]) -> None:
        exchange.chunk(orjson.dumps({"type": event_type, "object": item}) + b"\n")

    async def publish(self, event_type: str, item: dict[str, Any]) -> None:
        """Apply a change after the lag and notify the watches; hold it back while the registry is frozen."""
        if self.lag:
            await asyncio.sleep(self.lag)
        if self.frozen:
            self.held_back.append((event_type, item))
            return
        self.version += 1
        item = {**item, "metadata": {**item["metadata"], "resourceVersion": str(self.version)}}
        name = item["metadata"]["name"]
        if event_type == "DELETED":
            self.items.pop(name, None)
        else:
            self.items[name] = item
        if len(self.changes) == self.changes.maxlen:
            self.oldest_version = self.changes[0][0]
        self.changes.append((self.version, event_type, item))
        async with self.changed:
            self.changed.notify_all()

    async def handle_command(self, exchange: Exchange) -> None:
        """Change the list or inject the fault that the JSON command asks for."""
        command = exchange.json() or {}
        do = command.get("do")
        if do == "put":
            item = command["item"]
            event_type = "MODIFIED" if item["metadata"]["name"] in self.items else "ADDED"
            self.publish_later(event_type, item)
        elif do == "put_now":  # the initial list, without lag
            lag, self.lag = self.lag, 0.0
            for item in command["items"]:
                await self.publish("ADDED", item)
            self.lag = lag
        elif do == "delete":
            self.publish_later("DELETED", self.items.get(command["name"]) or command["item"])
        elif do == "views":
            self.views = command["views"]
        elif do == "lag":
            self.lag = float(command["s"])
        elif do == "freeze":
            self.frozen = bool(command["on"])
            if not self.frozen:
                held_back, self.held_back = self.held_back, []
                for event_type, item in held_back:
                    self.publish_later(event_type, item)
        elif do == "cut":
            self.server.reset_connections()
        elif do == "compact":
            self.changes.clear()
            self.oldest_version = self.version
            self.server.reset_connections()
        elif do == "replay":
            self.replay = bool(command["on"])
            self.server.reset_connections()
        else:
            exchange.respond(400, {"error": f"unknown command {do!r}"})
            return
        exchange.respond(200, {"version": self.version})

    def publish_later(self, event_type: str, item: dict[str, Any]) -> None:
        task = asyncio.get_running_loop().create_task(self.publish(event_type, item))
        self.tasks.append(task)
        self.tasks = [t for t in self.tasks if not t.done()]
