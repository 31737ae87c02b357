"""The life of a batch: its states, its counts, and what becomes of each line; no I/O."""

from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import Enum
from typing import Any

TRIES = 50  # of one line that is rate-limited, in all: with the waits below, hours
WAIT = 0.5  # s until a line that was rate-limited is asked again, doubled each time
WAIT_MOST = 60.0  # s
POISON = 3  # aborts of a line that may run again after which it is set apart: it is what aborts


class Status(Enum):
    """As the published API names them."""

    VALIDATING = "validating"
    FAILED = "failed"
    IN_PROGRESS = "in_progress"
    FINALIZING = "finalizing"
    COMPLETED = "completed"
    EXPIRED = "expired"
    CANCELLING = "cancelling"
    CANCELLED = "cancelled"


OVER = frozenset({Status.FAILED, Status.COMPLETED, Status.EXPIRED, Status.CANCELLED})
NEXT: Mapping[Status, frozenset[Status]] = {
    Status.VALIDATING: frozenset({Status.FAILED, Status.IN_PROGRESS, Status.CANCELLING}),
    Status.IN_PROGRESS: frozenset({Status.FINALIZING, Status.CANCELLING, Status.EXPIRED}),
    Status.FINALIZING: frozenset({Status.COMPLETED, Status.EXPIRED, Status.CANCELLED}),
    Status.CANCELLING: frozenset({Status.CANCELLED}),
}


class StatusError(Exception):
    """A batch can't go from one status to the other; the text says so."""


@dataclass
class Batch:
    """Times are wall, s. The marks say which lines have their answer in the output or error file."""

    id: str
    member: int
    input_file: str
    created: float
    window: float  # s within which it is to be done
    metadata: Mapping[str, str] = field(default_factory=dict)
    status: Status = Status.VALIDATING
    total: int = 0
    completed: int = 0
    failed: int = 0
    marks: bytearray = field(default_factory=bytearray)
    outputs: tuple[int, int] = (0, 0)  # bytes of output and error file that count
    output_file: str = ""
    error_file: str = ""
    times: dict[str, float] = field(default_factory=dict)
    mistakes: list[dict[str, Any]] = field(default_factory=list)

    @property
    def expires(self) -> float:
        return self.created + self.window

    def goes(self, status: Status, now: float) -> None:
        """Raises StatusError where the published life of a batch has no such step."""
        if status not in NEXT.get(self.status, frozenset()):
            raise StatusError(f"batch {self.id} is {self.status.value}: it can't become {status.value}")
        self.status = status
        self.times[status.value] = now

    def validated(self, total: int, now: float) -> None:
        self.total = total
        self.marks = bytearray((total + 7) // 8)
        self.goes(Status.IN_PROGRESS, now)

    def is_done(self, index: int) -> bool:
        return bool(self.marks[index // 8] & 1 << index % 8)

    def answered(self, index: int, good: bool) -> bool:
        """Counts a line's answer; False where it had one: it must not be written again."""
        if self.is_done(index):
            return False
        self.marks[index // 8] |= 1 << index % 8
        self.completed += good
        self.failed += not good
        return True

    @property
    def left(self) -> int:
        return self.total - self.completed - self.failed

    def kept(self) -> dict[str, Any]:
        """Plain values that read() takes."""
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
    def read(cls, said: Mapping[str, Any]) -> "Batch":
        plain = {k: v for k, v in said.items() if k not in ("status", "marks", "outputs")}
        first, second = said["outputs"]
        return cls(
            status=Status(said["status"]),
            marks=bytearray.fromhex(said["marks"]),
            outputs=(first, second),
            **plain,
        )

    def body(self, names: Mapping[str, str]) -> dict[str, Any]:
        """As the published API shows it; times in whole seconds; names: of files, by what they are."""

        def at(status: Status) -> int | None:
            found = self.times.get(status.value)
            return None if found is None else int(found)

        return {
            "id": self.id,
            "object": "batch",
            "endpoint": "/v1/completions",
            "status": self.status.value,
            "errors": {"object": "list", "data": self.mistakes} if self.mistakes else None,
            "input_file_id": self.input_file,
            "completion_window": f"{self.window / 3600:g}h",
            "output_file_id": names.get("output") or None,
            "error_file_id": names.get("error") or None,
            "created_at": int(self.created),
            "in_progress_at": at(Status.IN_PROGRESS),
            "expires_at": int(self.expires),
            "finalizing_at": at(Status.FINALIZING),
            "completed_at": at(Status.COMPLETED),
            "failed_at": at(Status.FAILED),
            "expired_at": at(Status.EXPIRED),
            "cancelling_at": at(Status.CANCELLING),
            "cancelled_at": at(Status.CANCELLED),
            "metadata": dict(self.metadata) or None,
            "request_counts": {"total": self.total, "completed": self.completed, "failed": self.failed},
        }


class Again(Enum):
    LATER = "later"
    NEVER = "never"  # its answer is written as it is


@dataclass
class Tries:
    """What one line has met so far; kept while the front runs."""

    refused: int = 0
    aborted: int = 0

    def after_refusal(self) -> tuple[Again, float]:
        """And s until it is asked again."""
        self.refused += 1
        wait = min(WAIT * 2 ** min(self.refused - 1, 10), WAIT_MOST)
        return (Again.LATER if self.refused < TRIES else Again.NEVER), wait

    def after_abort(self, harmless: bool) -> tuple[Again, float]:
        """harmless: it may run again. Guards against a line that breaks what answers it, again and again: it
        is set apart with its abort, and the others go on."""
        self.aborted += 1
        return (Again.LATER if harmless and self.aborted < POISON else Again.NEVER), WAIT * self.aborted
