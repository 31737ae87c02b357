"""Parse HTTP/1.1 exchanges as they pass a relay, and record them. Shares no code with the front node."""

from collections.abc import Callable
from typing import Any

import orjson

NoteFunction = Callable[..., None]


class HttpObserver:
    """Records the attempts and releases on one connection between a front node and an engine."""

    def __init__(self, note: NoteFunction) -> None:
        self.note = note
        self.from_front, self.from_engine = bytearray(), bytearray()
        self.attempt_name = ""  # of the request in flight, or the last one
        self.method = ""
        # has_first_text: whether a chunk with text came; a comment alone does not count.
        self.in_flight = self.has_first_text = self.chunked = self.in_body = False
        self.body_bytes_left = 0
        self.status = 0
        self.body = bytearray()

    def data_from_front(self, data: bytes) -> None:
        self.from_front += data
        while True:
            end = self.from_front.find(b"\r\n\r\n")
            if end < 0:
                return
            lines = self.from_front[:end].decode("latin-1").split("\r\n")
            fields = {name.lower(): value for name, _, value in (line.partition(": ") for line in lines[1:])}
            size = int(fields.get("content-length", "0"))
            if len(self.from_front) < end + 4 + size:
                return
            body = bytes(self.from_front[end + 4 : end + 4 + size])
            del self.from_front[: end + 4 + size]
            self.method, path, _ = lines[0].split(" ", 2)
            self.start_request(path, fields.get("x-request-id", ""), fields.get("idempotency-key", ""), body)

    def start_request(self, path: str, name: str, idempotency_key: str, body: bytes) -> None:
        if self.method == "DELETE":
            self.attempt_name = path.rsplit("/", 1)[-1]
            # Release of a prefill state; the text stands in recordings, as "let go answered" below does.
            self.note("let go", name=self.attempt_name)
        else:
            request: dict[str, Any] = orjson.loads(body)
            kv = request.get("kv_transfer_params") or {}
            self.attempt_name = name
            self.note(
                "sent",
                name=name,
                workload=request.get("model"),
                # Keys of recordings. reading: whether it is a prefill attempt; state: the prefill attempt
                # whose state a decode attempt fetches; mark: the idempotency key.
                reading=bool(kv.get("do_remote_decode")),
                state=kv.get("remote_request_id") if kv.get("do_remote_prefill") else None,
                mark=idempotency_key,
            )
        self.in_flight, self.has_first_text, self.in_body = True, False, False

    def data_to_front(self, data: bytes) -> None:
        self.from_engine += data
        while self.in_flight:
            if not self.in_body:
                end = self.from_engine.find(b"\r\n\r\n")
                if end < 0:
                    return
                head = self.from_engine[:end].decode("latin-1").lower()
                del self.from_engine[: end + 4]
                self.status = int(head.split(" ", 2)[1])
                self.chunked = "transfer-encoding: chunked" in head
                length = head.partition("content-length: ")[2].split("\r\n")[0]
                self.body_bytes_left = int(length) if length else 0
                self.in_body, self.body = True, bytearray()
            if self.chunked:
                if not self.process_chunk():
                    return
            else:
                part = self.from_engine[: self.body_bytes_left]
                self.body += part
                del self.from_engine[: len(part)]
                self.body_bytes_left -= len(part)
                if self.body_bytes_left:
                    return
                self.end_attempt("answered")

    def process_chunk(self) -> bool:
        """Process one chunk of the body and remove it from the buffer.

        Return False if it hasn't arrived whole. Records the first chunk that carries text, and the end of the
        attempt.
        """
        line = self.from_engine.find(b"\r\n")
        if line < 0:
            return False
        size = int(self.from_engine[:line], 16)
        if not size:
            end = self.from_engine.find(b"\r\n\r\n", line)
            if end < 0:
                return False
            del self.from_engine[: end + 4]
            self.end_attempt("answered")
            return True
        if len(self.from_engine) < line + 2 + size + 2:
            return False
        if not self.has_first_text and b'"text"' in self.from_engine[line + 2 : line + 2 + size]:
            self.has_first_text = True
            if self.method == "POST":
                self.note("first", name=self.attempt_name)
        del self.from_engine[: line + 2 + size + 2]
        return True

    def end_attempt(self, outcome: str) -> None:
        """Record the end of the request in flight, if there is one.

        outcome: "answered", "closed" by the front node, or "broken" by the engine.
        """
        if not self.in_flight:
            return
        self.in_flight = False
        if self.method == "POST":
            status = self.status if outcome == "answered" else 0
            self.note(
                "ended",
                name=self.attempt_name,
                how=outcome,
                status=status,
                first=self.has_first_text,
                gone=status == 410 and b"kv_state_gone" in self.body,
            )
        else:
            self.note(
                "let go answered", name=self.attempt_name, status=self.status if outcome == "answered" else 0
            )


class ListObserver:
    """Records what the registry's answers tell one front node of each engine."""

    def __init__(self, note: NoteFunction) -> None:
        self.note = note
        self.buffer = bytearray()
        self.watching: bool | None = None

    def data_to_front(self, data: bytes) -> None:
        self.buffer += data
        if self.watching is None:
            end = self.buffer.find(b"\r\n\r\n")
            if end < 0:
                return
            self.watching = b"chunked" in self.buffer[:end].lower()
            del self.buffer[: end + 4]
        if not self.watching:
            try:
                endpoint_list = orjson.loads(self.buffer)
            except orjson.JSONDecodeError:
                return
            names = []
            for item in endpoint_list["items"]:
                names.append(item["metadata"]["name"])
                self.note_engine(item, item["status"]["phase"])
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
                    self.note_engine(event["object"], "Gone" if event["type"] == "DELETED" else phase)

    def note_engine(self, item: dict[str, Any], phase: str) -> None:
        self.note(
            "told",
            engine=item["metadata"]["name"],
            phase=phase,
            start=item["status"]["startTime"],
            version=int(item["metadata"]["resourceVersion"]),
        )
