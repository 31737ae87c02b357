"""State of a batch: its status, its counts, and retry decisions for its lines; no I/O."""

from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import Enum
from typing import Any

MAX_RATE_LIMITED_ATTEMPTS = 50  # of one line; with the delays below, 49 retries take about 43 min at least
RETRY_DELAY_SECONDS = 0.5  # before a rate-limited line is retried, doubled each time
MAX_RETRY_DELAY_SECONDS = 60.0
MAX_ABORTED_ATTEMPTS = 3  # of one line; after these the line itself is taken to be the cause


class Status(Enum):
    """Status of a batch, with the names of the published API."""

    VALIDATING = "validating"
    FAILED = "failed"
    IN_PROGRESS = "in_progress"
    FINALIZING = "finalizing"
    COMPLETED = "completed"
    EXPIRED = "expired"
    CANCELLING = "cancelling"
    CANCELLED = "cancelled"


FINAL_STATUSES = frozenset({Status.FAILED, Status.COMPLETED, Status.EXPIRED, Status.CANCELLED})
TRANSITIONS: Mapping[Status, frozenset[Status]] = {
    Status.VALIDATING: frozenset({Status.FAILED, Status.IN_PROGRESS, Status.CANCELLING}),
    Status.IN_PROGRESS: frozenset({Status.FINALIZING, Status.CANCELLING, Status.EXPIRED}),
    Status.FINALIZING: frozenset({Status.COMPLETED, Status.EXPIRED, Status.CANCELLED}),
    Status.CANCELLING: frozenset({Status.CANCELLED}),
}


class StatusError(Exception):
    """The batch can't change from its status to the requested one."""


@dataclass
class Batch:
    """A batch as it is stored; the names of the fields are keys of the stored record.

    Times are in seconds of the wall clock. `marks` is a bitmap of the lines that have a result in the output
    or the error file.
    """

    id: str
    member: int  # index of the tenant
    input_file: str
    created: float
    window: float  # completion window, s
    metadata: Mapping[str, str] = field(default_factory=dict)
    status: Status = Status.VALIDATING
    total: int = 0
    completed: int = 0
    failed: int = 0
    marks: bytearray = field(default_factory=bytearray)
    outputs: tuple[int, int] = (0, 0)  # valid bytes of the output and the error file
    output_file: str = ""
    error_file: str = ""
    times: dict[str, float] = field(default_factory=dict)
    mistakes: list[dict[str, Any]] = field(default_factory=list)

    @property
    def expires_at(self) -> float:
        return self.created + self.window

    def transition_to(self, status: Status, now: float) -> None:
        """Change the status; raises StatusError if the published API has no such transition."""
        if status not in TRANSITIONS.get(self.status, frozenset()):
            raise StatusError(f"batch {self.id} is {self.status.value}: it can't become {status.value}")
        self.status = status
        self.times[status.value] = now

    def mark_validated(self, total: int, now: float) -> None:
        self.total = total
        self.marks = bytearray((total + 7) // 8)
        self.transition_to(Status.IN_PROGRESS, now)

    def is_answered(self, index: int) -> bool:
        return bool(self.marks[index // 8] & 1 << index % 8)

    def mark_answered(self, index: int, succeeded: bool) -> bool:
        """Count a line's result; return False, and count nothing, if it had one already."""
        if self.is_answered(index):
            return False
        self.marks[index // 8] |= 1 << index % 8
        self.completed += succeeded
        self.failed += not succeeded
        return True

    @property
    def remaining(self) -> int:
        return self.total - self.completed - self.failed

    def to_record(self) -> dict[str, Any]:
        """Return the batch as plain values for storage; see `from_record`."""
        return {
            "id": self.id,
            "member": self.member,
            "input_file": self.input_file,
            "created": self.created,
            "window": self.window,
            "metadata": dict(self.metadata),
            "status": self.status.value,
            "total": self.total,
            "completed": self.completed,
            "failed": self.failed,
            "marks": self.marks.hex(),
            "outputs": list(self.outputs),
            "output_file": self.output_file,
            "error_file": self.error_file,
            "times": self.times,
            "mistakes": self.mistakes,
        }

    @classmethod
    def from_record(cls, record: Mapping[str, Any]) -> "Batch":
        plain = {k: v for k, v in record.items() if k not in ("status", "marks", "outputs")}
        first, second = record["outputs"]
        return cls(
            status=Status(record["status"]),
            marks=bytearray.fromhex(record["marks"]),
            outputs=(first, second),
            **plain,
        )

    def body(self, file_ids: Mapping[str, str]) -> dict[str, Any]:
        """Return the batch object of the published API; `file_ids` has the result files by kind."""

        def at(status: Status) -> int | None:
            time = self.times.get(status.value)
            return None if time is None else int(time)

        return {
            "id": self.id,
            "object": "batch",
            "endpoint": "/v1/completions",
            "status": self.status.value,
            "errors": {"object": "list", "data": self.mistakes} if self.mistakes else None,
            "input_file_id": self.input_file,
            "completion_window": f"{self.window / 3600:g}h",
            "output_file_id": file_ids.get("output") or None,
            "error_file_id": file_ids.get("error") or None,
            "created_at": int(self.created),
            "in_progress_at": at(Status.IN_PROGRESS),
            "expires_at": int(self.expires_at),
            "finalizing_at": at(Status.FINALIZING),
            "completed_at": at(Status.COMPLETED),
            "failed_at": at(Status.FAILED),
            "expired_at": at(Status.EXPIRED),
            "cancelling_at": at(Status.CANCELLING),
            "cancelled_at": at(Status.CANCELLED),
            "metadata": dict(self.metadata) or None,
            "request_counts": {"total": self.total, "completed": self.completed, "failed": self.failed},
        }


class RetryDecision(Enum):
    """Whether a line is retried."""

    LATER = "later"
    NEVER = "never"  # its failure is its result


@dataclass
class LineRetries:
    """Failed attempts of one line since the front node started."""

    rate_limited: int = 0
    aborted: int = 0

    def after_rate_limit(self) -> tuple[RetryDecision, float]:
        """Count a rate-limited attempt; return the decision and the delay of the retry in seconds."""
        self.rate_limited += 1
        delay = min(RETRY_DELAY_SECONDS * 2 ** min(self.rate_limited - 1, 10), MAX_RETRY_DELAY_SECONDS)
        return (
            RetryDecision.LATER if self.rate_limited < MAX_RATE_LIMITED_ATTEMPTS else RetryDecision.NEVER
        ), delay

    def after_abort(self, repeatable: bool) -> tuple[RetryDecision, float]:
        """Count an aborted attempt; return the decision and the delay of the retry in seconds.

        `repeatable` says whether the request may run again. A line that repeatedly breaks the engine which
        serves it fails, and the other lines continue.
        """
        self.aborted += 1
        return (
            RetryDecision.LATER if repeatable and self.aborted < MAX_ABORTED_ATTEMPTS else RetryDecision.NEVER
        ), RETRY_DELAY_SECONDS * self.aborted
