"""Follows HTTP/1.1 exchanges as they pass by. Reads only; shares no code with the front."""

from collections.abc import Callable
from typing import Any

import orjson

Note = Callable[..., None]


class Exchanges:
    """Both directions of one connection between a front and an engine."""

    def __init__(self, note: Note) -> None:
        self.note = note
        self.up, self.down = bytearray(), bytearray()
        self.name = ""  # of the request that is out, if any
        self.method = ""
        self.out = self.first = self.chunked = self.in_body = False
        self.left = 0
        self.status = 0
        self.body = bytearray()

    def sent(self, data: bytes) -> None:
        self.up += data
        while True:
            end = self.up.find(b"\r\n\r\n")
            if end < 0:
                return
            lines = self.up[:end].decode("latin-1").split("\r\n")
            fields = {name.lower(): value for name, _, value in (line.partition(": ") for line in lines[1:])}
            size = int(fields.get("content-length", "0"))
            if len(self.up) < end + 4 + size:
                return
            body = bytes(self.up[end + 4 : end + 4 + size])
            del self.up[: end + 4 + size]
            self.method, path, _ = lines[0].split(" ", 2)
            self.begin(path, fields.get("x-request-id", ""), fields.get("idempotency-key", ""), body)

    def begin(self, path: str, name: str, mark: str, body: bytes) -> None:
        if self.method == "DELETE":
            self.name = path.rsplit("/", 1)[-1]
            self.note("let go", name=self.name)
        else:
            said: dict[str, Any] = orjson.loads(body)
            kv = said.get("kv_transfer_params") or {}
            self.name = name
            self.note(
                "sent",
                name=name,
                workload=said.get("model"),
                reading=bool(kv.get("do_remote_decode")),
                state=kv.get("remote_request_id") if kv.get("do_remote_prefill") else None,
                mark=mark,
            )
        self.out, self.first, self.in_body = True, False, False

    def answered(self, data: bytes) -> None:
        self.down += data
        while self.out:
            if not self.in_body:
                end = self.down.find(b"\r\n\r\n")
                if end < 0:
                    return
                head = self.down[:end].decode("latin-1").lower()
                del self.down[: end + 4]
                self.status = int(head.split(" ", 2)[1])
                self.chunked = "transfer-encoding: chunked" in head
                length = head.partition("content-length: ")[2].split("\r\n")[0]
                self.left = int(length) if length else 0
                self.in_body, self.body = True, bytearray()
            if self.chunked:
                if not self.chunk():
                    return
            else:
                part = self.down[: self.left]
                self.body += part
                del self.down[: len(part)]
                self.left -= len(part)
                if self.left:
                    return
                self.end("answered")

    def chunk(self) -> bool:
        """Takes one chunk; False where it isn't whole yet."""
        line = self.down.find(b"\r\n")
        if line < 0:
            return False
        size = int(self.down[:line], 16)
        if not size:
            end = self.down.find(b"\r\n\r\n", line)
            if end < 0:
                return False
            del self.down[: end + 4]
            self.end("answered")
            return True
        if len(self.down) < line + 2 + size + 2:
            return False
        if not self.first and b'"text"' in self.down[line + 2 : line + 2 + size]:
            self.first = True
            if self.method == "POST":
                self.note("first", name=self.name)
        del self.down[: line + 2 + size + 2]
        return True

    def end(self, how: str) -> None:
        """How: answered, closed by the front, or broken by the engine."""
        if not self.out:
            return
        self.out = False
        if self.method == "POST":
            status = self.status if how == "answered" else 0
            self.note(
                "ended",
                name=self.name,
                how=how,
                status=status,
                first=self.first,
                gone=status == 410 and b"kv_state_gone" in self.body,
            )
        else:
            self.note("let go answered", name=self.name, status=self.status if how == "answered" else 0)


class Lists:
    """The list's answers to one front: what it is told of each engine."""

    def __init__(self, note: Note) -> None:
        self.note = note
        self.buffer = bytearray()
        self.watching: bool | None = None

    def answered(self, data: bytes) -> None:
        self.buffer += data
        if self.watching is None:
            end = self.buffer.find(b"\r\n\r\n")
            if end < 0:
                return
            self.watching = b"chunked" in self.buffer[:end].lower()
            del self.buffer[: end + 4]
        if not self.watching:
            try:
                whole = orjson.loads(self.buffer)
            except orjson.JSONDecodeError:
                return
            names = []
            for item in whole["items"]:
                names.append(item["metadata"]["name"])
                self.told(item, item["status"]["phase"])
            self.note("listed", engines=names)
            self.buffer.clear()
            return
        *lines, rest = bytes(self.buffer).split(b"\n")
        self.buffer = bytearray(rest)
        for line in lines:
            if line.startswith(b"{"):
                event = orjson.loads(line)
                if event["type"] in ("ADDED", "MODIFIED", "DELETED"):
                    phase = event["object"]["status"]["phase"]
                    self.told(event["object"], "Gone" if event["type"] == "DELETED" else phase)

    def told(self, item: dict[str, Any], phase: str) -> None:
        self.note(
            "told",
            engine=item["metadata"]["name"],
            phase=phase,
            start=item["status"]["startTime"],
            version=int(item["metadata"]["resourceVersion"]),
        )
