"""Carries /v1/files and /v1/batches, as the published API has them."""

import asyncio
from collections.abc import Mapping
from typing import Any

import orjson
from tornado.web import Finish, RequestHandler, stream_request_body

from heathford.batch.state import OVER, Batch, StatusError
from heathford.batch.lines import ENDPOINT
from heathford.batch.multipart import Multipart, MultipartError, What, boundary_of
from heathford.batch.runner import Runner
from heathford.batch.file_storage import FullError, Incoming
from heathford.completions import responses
from heathford.store.store import StoreError

MEMBER = "Heathford-Member"  # for whom; a session's `user`
PAGE, PAGE_MOST = 20, 100  # entries of a listing, as published
WINDOW_MOST = 7 * 24  # hours
SHORT = 4 << 10  # bytes of a form's field that is no file
METADATA = 16  # pairs at the most, as published


class Api(RequestHandler):
    def initialize(self, runner: Runner, members: Mapping[str, int]) -> None:
        self.runner, self.members = runner, members
        self.member = 0

    def prepare(self) -> Any:
        name = self.request.headers.get(MEMBER, "")
        if name and name not in self.members:
            self.refuse(403, "Forbidden", f"{MEMBER}: {name!r} is no member here")
        self.member = self.members.get(name, 0)

    def refuse(self, status: int, title: str, detail: str, **more: Any) -> None:
        """Ends the request."""
        self.set_status(status)
        self.set_header("Content-Type", responses.PROBLEM_TYPE)
        self.finish(responses.problem_body(status, title, detail, **more))
        raise Finish

    def say(self, value: Any) -> None:
        self.set_header("Content-Type", "application/json")
        self.finish(orjson.dumps(value))

    def page(self, entries: list[dict[str, Any]]) -> dict[str, Any]:
        """A part of a listing, by the published cursors."""
        after, limit = self.get_query_argument("after", ""), self.get_query_argument("limit", str(PAGE))
        if not limit.isdigit() or not 1 <= int(limit) <= PAGE_MOST:
            self.refuse(400, "Bad Request", f"limit: allowed is 1 to {PAGE_MOST}")
        ids = [entry["id"] for entry in entries]
        if after and after not in ids:
            self.refuse(400, "Bad Request", f"after: {after!r} is not in this listing")
        begin = ids.index(after) + 1 if after else 0
        part = entries[begin : begin + int(limit)]
        return {
            "object": "list",
            "data": part,
            "has_more": begin + len(part) < len(entries),
            "first_id": part[0]["id"] if part else None,
            "last_id": part[-1]["id"] if part else None,
        }

    def file_entry(self, name: str) -> dict[str, Any]:
        entry = self.runner.file_storage.get(name, self.member)
        if entry is None:
            self.refuse(404, "Not Found", f"no file {name!r} of this member")
            raise AssertionError
        return entry


def shown(entry: Mapping[str, Any]) -> dict[str, Any]:
    return {k: v for k, v in entry.items() if k != "member"} | {"status": "processed"}


@stream_request_body
class FilesHandler(Api):
    """Listing and upload; an upload goes to disk as it comes."""

    incoming: Incoming | None = None
    form: Multipart | None = None
    refusal: tuple[Any, ...] = ()

    def prepare(self) -> Any:
        super().prepare()
        self.fields: dict[str, bytes] = {}
        self.filename = self.field = ""
        if self.request.method != "POST":
            return
        connection: Any = self.request.connection
        connection.set_max_body_size(self.runner.file_storage.most + (1 << 20))
        try:
            self.form = Multipart(boundary_of(self.request.headers.get("Content-Type", "")))
        except MultipartError as problem:
            self.refuse(400, "Bad Request", str(problem))

    def data_received(self, chunk: bytes) -> None:
        if self.form is None:
            return
        try:
            for what, name, filename, data in self.form.feed(chunk):
                if what is What.PART:
                    self.field = name
                    if name == "file":
                        if self.incoming:
                            raise MultipartError("file: allowed is one")
                        self.filename, self.incoming = filename or "file", self.runner.file_storage.begin()
                    else:
                        self.fields[name] = b""
                elif what is What.DATA and self.field == "file" and self.incoming:
                    self.incoming.write(data)
                elif what is What.DATA:
                    self.fields[self.field] += data
                    if len(self.fields[self.field]) > SHORT:
                        raise MultipartError(f"{self.field}: allowed are {SHORT} bytes")
        except MultipartError as problem:
            self.broken(400, "Bad Request", str(problem))
        except FullError as problem:
            self.broken(413, "Content Too Large", str(problem))
        except OSError as problem:
            self.broken(507, "Insufficient Storage", f"the disk refuses it: {problem.strerror}")

    def broken(self, *refusal: Any) -> None:
        """The rest is read and thrown away, so that the client hears why: a connection closed over unread
        bytes is reset, and the answer lost."""
        self.drop()
        self.form, self.refusal = None, refusal

    def drop(self) -> None:
        if self.incoming:
            self.incoming.drop()
            self.incoming = None

    def on_connection_close(self) -> None:
        self.drop()

    async def post(self) -> None:
        if self.refusal:
            self.refuse(*self.refusal)
        if self.form is None or not self.form.over:
            self.drop()
            self.refuse(400, "Bad Request", "the body ends before its last boundary")
        purpose = self.fields.get("purpose", b"").decode("utf-8", "replace")
        if purpose != "batch":
            self.drop()
            self.refuse(400, "Bad Request", f"purpose: {purpose!r}; allowed is batch")
        if self.incoming is None:
            self.refuse(400, "Bad Request", "file: is missing")
            return
        incoming, file_storage = self.incoming, self.runner.file_storage
        self.incoming = None
        entry = file_storage.entry(incoming.name, self.member, self.filename[:256], "batch", incoming.size)
        try:
            await asyncio.get_running_loop().run_in_executor(None, incoming.ends)
            await file_storage.record(entry)
        except (OSError, StoreError) as problem:
            incoming.drop()
            self.refuse(507, "Insufficient Storage", f"the disk refuses it: {problem}")
        self.say(shown(entry))

    def get(self) -> None:
        purpose = self.get_query_argument("purpose", "")
        mine = [
            e
            for e in self.runner.file_storage.listed.values()
            if e["member"] == self.member and purpose in ("", e["purpose"])
        ]
        mine.sort(key=lambda e: (-e["created_at"], e["id"]))
        self.say(self.page([shown(e) for e in mine]))


class FileHandler(Api):
    def get(self, name: str) -> None:
        self.say(shown(self.file_entry(name)))

    async def delete(self, name: str) -> None:
        self.file_entry(name)
        if name in self.runner.file_storage.in_use:
            self.refuse(409, "Conflict", "a batch that is not over, or a download, uses this file")
        try:
            await self.runner.file_storage.remove(name)
        except StoreError as problem:
            self.refuse(503, "Service Unavailable", str(problem))
        self.say({"id": name, "object": "file", "deleted": True})


class ContentHandler(Api):
    async def get(self, name: str) -> None:
        entry, file_storage = self.file_entry(name), self.runner.file_storage
        self.set_header("Content-Type", "application/jsonl")
        self.set_header("Content-Length", str(entry["bytes"]))
        file_storage.hold(name)
        try:
            for data in file_storage.chunks(name):
                self.write(data)
                await self.flush()
        finally:
            file_storage.let_go(name)
        await self.finish()


class BatchesHandler(Api):
    async def post(self) -> None:
        try:
            said = orjson.loads(self.request.body)
        except orjson.JSONDecodeError as problem:
            self.refuse(400, "Bad Request", f"no JSON: {problem}")
        if not isinstance(said, dict):
            self.refuse(400, "Bad Request", "the body: allowed is an object")
        if said.get("endpoint") != ENDPOINT:
            self.refuse(400, "Bad Request", f"endpoint: allowed is {ENDPOINT}")
        window = self.hours(said.get("completion_window"))
        metadata = said.get("metadata") or {}
        if (
            not isinstance(metadata, dict)
            or len(metadata) > METADATA
            or not all(isinstance(v, str) and len(k) <= 64 and len(v) <= 512 for k, v in metadata.items())
        ):
            self.refuse(400, "Bad Request", f"metadata: allowed are {METADATA} texts")
        name = said.get("input_file_id")
        entry = self.file_entry(name) if isinstance(name, str) else None
        if entry is None or entry["purpose"] != "batch":
            self.refuse(400, "Bad Request", "input_file_id: allowed is a file whose purpose is batch")
        try:
            batch = await self.runner.create(self.member, str(name), window, metadata)
        except StoreError as problem:
            self.refuse(503, "Service Unavailable", str(problem))
        self.say(body_of(batch))

    def hours(self, window: Any) -> float:
        """s"""
        if (
            not isinstance(window, str)
            or not window.endswith("h")
            or not window[:-1].isdigit()
            or not (1 <= int(window[:-1]) <= WINDOW_MOST)
        ):
            self.refuse(400, "Bad Request", f"completion_window: allowed is 1h to {WINDOW_MOST}h")
        return 3600.0 * int(window[:-1])

    def get(self) -> None:
        self.say(self.page([body_of(b) for b in self.runner.of(self.member)]))


def body_of(batch: Batch) -> dict[str, Any]:
    over = batch.status in OVER
    return batch.body({"output": batch.output_file, "error": batch.error_file} if over else {})


class BatchHandler(Api):
    def found(self, name: str) -> Batch:
        batch = self.runner.batches.get(name)
        if batch is None or batch.member != self.member:
            self.refuse(404, "Not Found", f"no batch {name!r} of this member")
            raise AssertionError
        return batch

    def get(self, name: str) -> None:
        self.say(body_of(self.found(name)))


class CancelHandler(BatchHandler):
    async def post(self, name: str) -> None:
        batch = self.found(name)
        try:
            await self.runner.cancel(batch)
        except StatusError as problem:
            self.refuse(409, "Conflict", str(problem))
        except StoreError as problem:
            self.refuse(503, "Service Unavailable", str(problem))
        self.say(body_of(batch))


def routes(runner: Runner, members: Mapping[str, int]) -> list[Any]:
    given = {"runner": runner, "members": members}
    return [
        (r"/v1/files", FilesHandler, given),
        (r"/v1/files/([\w-]+)", FileHandler, given),
        (r"/v1/files/([\w-]+)/content", ContentHandler, given),
        (r"/v1/batches", BatchesHandler, given),
        (r"/v1/batches/([\w-]+)", BatchHandler, given),
        (r"/v1/batches/([\w-]+)/cancel", CancelHandler, given),
    ]
