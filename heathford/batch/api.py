"""HTTP handlers of /v1/files and /v1/batches, as the published API defines them."""

import asyncio
from collections.abc import Mapping
from typing import Any

import orjson
from tornado.web import Finish, RequestHandler, stream_request_body

from heathford.batch.state import FINAL_STATUSES, Batch, StatusError
from heathford.batch.lines import ENDPOINT
from heathford.batch.multipart import MultipartParser, MultipartError, EventKind, parse_boundary
from heathford.batch.runner import Runner
from heathford.batch.file_storage import StorageLimitError, Upload
from heathford.completions import responses
from heathford.store.store import StoreError

MEMBER_HEADER = "Heathford-Member"  # names the tenant, as the `user` of a session does
DEFAULT_PAGE_SIZE, MAX_PAGE_SIZE = 20, 100  # entries of a listing, as in the published API
MAX_WINDOW_HOURS = 7 * 24
MAX_FIELD_BYTES = 4 << 10  # of a form field that is not a file
MAX_METADATA_PAIRS = 16  # as in the published API


class ApiHandler(RequestHandler):
    """Common part of the handlers: the tenant, problem documents and pages."""

    def initialize(self, runner: Runner, members: Mapping[str, int]) -> None:
        self.runner, self.members = runner, members
        self.tenant = 0

    def prepare(self) -> Any:
        name = self.request.headers.get(MEMBER_HEADER, "")
        if name and name not in self.members:
            self.send_problem(403, "Forbidden", f"{MEMBER_HEADER}: {name!r} is no member here")
        self.tenant = self.members.get(name, 0)

    def send_problem(self, status: int, title: str, detail: str, **more: Any) -> None:
        """Answer with a problem document and end the request by raising Finish."""
        self.set_status(status)
        self.set_header("Content-Type", responses.PROBLEM_TYPE)
        self.finish(responses.problem_body(status, title, detail, **more))
        raise Finish

    def send_json(self, value: Any) -> None:
        self.set_header("Content-Type", "application/json")
        self.finish(orjson.dumps(value))

    def select_page(self, entries: list[dict[str, Any]]) -> dict[str, Any]:
        """Return a page of a listing, by the query's `after` and `limit`."""
        after, limit = (
            self.get_query_argument("after", ""),
            self.get_query_argument("limit", str(DEFAULT_PAGE_SIZE)),
        )
        if not limit.isdigit() or not 1 <= int(limit) <= MAX_PAGE_SIZE:
            self.send_problem(400, "Bad Request", f"limit: allowed is 1 to {MAX_PAGE_SIZE}")
        ids = [entry["id"] for entry in entries]
        if after and after not in ids:
            self.send_problem(400, "Bad Request", f"after: {after!r} is not in this listing")
        start = ids.index(after) + 1 if after else 0
        page = entries[start : start + int(limit)]
        return {
            "object": "list",
            "data": page,
            "has_more": start + len(page) < len(entries),
            "first_id": page[0]["id"] if page else None,
            "last_id": page[-1]["id"] if page else None,
        }

    def file_entry(self, name: str) -> dict[str, Any]:
        """Return the entry of a file of the tenant, or answer with 404."""
        entry = self.runner.file_storage.get(name, self.tenant)
        if entry is None:
            self.send_problem(404, "Not Found", f"no file {name!r} of this member")
            raise AssertionError
        return entry


def file_body(entry: Mapping[str, Any]) -> dict[str, Any]:
    """Return the file object of the published API."""
    return {k: v for k, v in entry.items() if k != "member"} | {"status": "processed"}


@stream_request_body
class FilesHandler(ApiHandler):
    """Listing and upload; an upload is written to disk as it is received."""

    upload: Upload | None = None
    form: MultipartParser | None = None
    rejection: tuple[Any, ...] = ()

    def prepare(self) -> Any:
        super().prepare()
        self.fields: dict[str, bytes] = {}
        self.filename = self.field = ""
        if self.request.method != "POST":
            return
        connection: Any = self.request.connection
        connection.set_max_body_size(self.runner.file_storage.max_file_bytes + (1 << 20))
        try:
            self.form = MultipartParser(parse_boundary(self.request.headers.get("Content-Type", "")))
        except MultipartError as problem:
            self.send_problem(400, "Bad Request", str(problem))

    def data_received(self, chunk: bytes) -> None:
        if self.form is None:
            return
        try:
            for event, name, filename, data in self.form.feed(chunk):
                if event is EventKind.PART:
                    self.field = name
                    if name == "file":
                        if self.upload:
                            raise MultipartError("file: allowed is one")
                        self.filename, self.upload = (
                            filename or "file",
                            self.runner.file_storage.start_upload(),
                        )
                    else:
                        self.fields[name] = b""
                elif event is EventKind.DATA and self.field == "file" and self.upload:
                    self.upload.write(data)
                elif event is EventKind.DATA:
                    self.fields[self.field] += data
                    if len(self.fields[self.field]) > MAX_FIELD_BYTES:
                        raise MultipartError(f"{self.field}: allowed are {MAX_FIELD_BYTES} bytes")
        except MultipartError as problem:
            self.reject_upload(400, "Bad Request", str(problem))
        except StorageLimitError as problem:
            self.reject_upload(413, "Content Too Large", str(problem))
        except OSError as problem:
            self.reject_upload(507, "Insufficient Storage", f"the disk refuses it: {problem.strerror}")

    def reject_upload(self, *rejection: Any) -> None:
        """Discard the upload and keep the error for the answer at the end of the body.

        The rest of the body is read and dropped: closing a connection with unread bytes resets it, and the
        client would lose the answer.
        """
        self.discard()
        self.form, self.rejection = None, rejection

    def discard(self) -> None:
        if self.upload:
            self.upload.discard()
            self.upload = None

    def on_connection_close(self) -> None:
        self.discard()

    async def post(self) -> None:
        if self.rejection:
            self.send_problem(*self.rejection)
        if self.form is None or not self.form.finished:
            self.discard()
            self.send_problem(400, "Bad Request", "the body ends before its last boundary")
        purpose = self.fields.get("purpose", b"").decode("utf-8", "replace")
        if purpose != "batch":
            self.discard()
            self.send_problem(400, "Bad Request", f"purpose: {purpose!r}; allowed is batch")
        if self.upload is None:
            self.send_problem(400, "Bad Request", "file: is missing")
            return
        upload, file_storage = self.upload, self.runner.file_storage
        self.upload = None
        entry = file_storage.make_entry(upload.name, self.tenant, self.filename[:256], "batch", upload.size)
        try:
            await asyncio.get_running_loop().run_in_executor(None, upload.finish)
            await file_storage.record(entry)
        except (OSError, StoreError) as problem:
            upload.discard()
            self.send_problem(507, "Insufficient Storage", f"the disk refuses it: {problem}")
        self.send_json(file_body(entry))

    def get(self) -> None:
        purpose = self.get_query_argument("purpose", "")
        tenant_files = [
            e
            for e in self.runner.file_storage.entries.values()
            if e["member"] == self.tenant and purpose in ("", e["purpose"])
        ]
        tenant_files.sort(key=lambda e: (-e["created_at"], e["id"]))
        self.send_json(self.select_page([file_body(e) for e in tenant_files]))


class FileHandler(ApiHandler):
    """Metadata and deletion of a file."""

    def get(self, name: str) -> None:
        self.send_json(file_body(self.file_entry(name)))

    async def delete(self, name: str) -> None:
        self.file_entry(name)
        if name in self.runner.file_storage.use_counts:
            self.send_problem(409, "Conflict", "a batch that is not over, or a download, uses this file")
        try:
            await self.runner.file_storage.remove(name)
        except StoreError as problem:
            self.send_problem(503, "Service Unavailable", str(problem))
        self.send_json({"id": name, "object": "file", "deleted": True})


class ContentHandler(ApiHandler):
    """Download of a file."""

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
            file_storage.release(name)
        await self.finish()


class BatchesHandler(ApiHandler):
    """Creation and listing of batches."""

    async def post(self) -> None:
        try:
            fields = orjson.loads(self.request.body)
        except orjson.JSONDecodeError as problem:
            self.send_problem(400, "Bad Request", f"no JSON: {problem}")
        if not isinstance(fields, dict):
            self.send_problem(400, "Bad Request", "the body: allowed is an object")
        if fields.get("endpoint") != ENDPOINT:
            self.send_problem(400, "Bad Request", f"endpoint: allowed is {ENDPOINT}")
        window = self.parse_window(fields.get("completion_window"))
        metadata = fields.get("metadata") or {}
        if (
            not isinstance(metadata, dict)
            or len(metadata) > MAX_METADATA_PAIRS
            or not all(isinstance(v, str) and len(k) <= 64 and len(v) <= 512 for k, v in metadata.items())
        ):
            self.send_problem(400, "Bad Request", f"metadata: allowed are {MAX_METADATA_PAIRS} texts")
        name = fields.get("input_file_id")
        entry = self.file_entry(name) if isinstance(name, str) else None
        if entry is None or entry["purpose"] != "batch":
            self.send_problem(400, "Bad Request", "input_file_id: allowed is a file whose purpose is batch")
        try:
            batch = await self.runner.create(self.tenant, str(name), window, metadata)
        except StoreError as problem:
            self.send_problem(503, "Service Unavailable", str(problem))
        self.send_json(body_of(batch))

    def parse_window(self, window: Any) -> float:
        """Return a completion window in seconds, or answer with 400."""
        if (
            not isinstance(window, str)
            or not window.endswith("h")
            or not window[:-1].isdigit()
            or not (1 <= int(window[:-1]) <= MAX_WINDOW_HOURS)
        ):
            self.send_problem(400, "Bad Request", f"completion_window: allowed is 1h to {MAX_WINDOW_HOURS}h")
        return 3600.0 * int(window[:-1])

    def get(self) -> None:
        self.send_json(self.select_page([body_of(b) for b in self.runner.batches_of(self.tenant)]))


def body_of(batch: Batch) -> dict[str, Any]:
    """Return the batch object of the published API; result files are named once the batch has ended."""
    ended = batch.status in FINAL_STATUSES
    return batch.body({"output": batch.output_file, "error": batch.error_file} if ended else {})


class BatchHandler(ApiHandler):
    """Status of a batch."""

    def find_batch(self, name: str) -> Batch:
        """Return a batch of the tenant, or answer with 404."""
        batch = self.runner.batches.get(name)
        if batch is None or batch.member != self.tenant:
            self.send_problem(404, "Not Found", f"no batch {name!r} of this member")
            raise AssertionError
        return batch

    def get(self, name: str) -> None:
        self.send_json(body_of(self.find_batch(name)))


class CancelHandler(BatchHandler):
    """Cancellation of a batch."""

    async def post(self, name: str) -> None:
        batch = self.find_batch(name)
        try:
            await self.runner.cancel(batch)
        except StatusError as problem:
            self.send_problem(409, "Conflict", str(problem))
        except StoreError as problem:
            self.send_problem(503, "Service Unavailable", str(problem))
        self.send_json(body_of(batch))


def routes(runner: Runner, members: Mapping[str, int]) -> list[Any]:
    """Return the URL routes; `members` maps the names of the tenants to their indexes."""
    arguments = {"runner": runner, "members": members}
    return [
        (r"/v1/files", FilesHandler, arguments),
        (r"/v1/files/([\w-]+)", FileHandler, arguments),
        (r"/v1/files/([\w-]+)/content", ContentHandler, arguments),
        (r"/v1/batches", BatchesHandler, arguments),
        (r"/v1/batches/([\w-]+)", BatchHandler, arguments),
        (r"/v1/batches/([\w-]+)/cancel", CancelHandler, arguments),
    ]
