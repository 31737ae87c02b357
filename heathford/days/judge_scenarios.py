"""The self-test of the judge: recordings with one violation each, which it must find, and clean ones.

The names of the scenarios are printed by the self-test.
"""

from collections.abc import Callable
from typing import Any

from heathford.days.judge import Judge, judge

Events = list[dict[str, Any]]
Scenario = Callable[["RecordingBuilder"], None]

HEADER = {
    "rules": {
        "drain_grace": 2.0,
        "pin_limit": 0.3,
        "cold_from": 0.34,
        "cold_multiple": 2.5,
        "cold_window": 2.0,
        "warm_after": 8.0,
        "stream_limit": 40.0,
    },
    "workloads": {
        name: {
            "latency_target": 1.0,
            "target_per_1000": 0.0,
            "token_target": 0.05,
            "effect": effect,
            "group": group,
            "memory_time": 2.0,
            "value": 1.0,
        }
        for name, effect, group in (
            ("free", "idempotent", "all"),
            ("marked", "tokened", "cell"),
            ("once", "non-idempotent", "all"),
        )
    },
    "engines": {
        "r1": {"zone": "a", "cell": "x", "sends": 10.0, "role": "read"},
        "w1": {"zone": "a", "cell": "x", "sends": 10.0, "role": "write"},
        "w2": {"zone": "a", "cell": "y", "sends": 10.0, "role": "write"},
    },
}


class RecordingBuilder:
    """Builds a recording event by event. Times are in seconds; requests and attempts are numbered."""

    def __init__(self) -> None:
        self.events: Events = []
        self.note(0.0, "day", "begin", **HEADER)
        for engine in ("r1", "w1", "w2"):
            self.notify(0.0, engine, "Running")

    def note(self, t: float, at: str, what: str, **fields: Any) -> None:
        self.events.append({"t": t, "at": at, "what": what, **fields})

    def notify(self, t: float, engine: str, phase: str, front: str = "f", start: str = "s0") -> None:
        self.note(t, "list", "told", front=front, engine=engine, phase=phase, start=start, version=1)

    def add_request(self, t: float, request_id: int, workload: str = "free") -> None:
        self.note(
            t,
            "client",
            "asked",
            session="s",
            front="f",
            id=request_id,
            first=f"s.{request_id}",
            workload=workload,
            timeout=4.0,
        )

    def add_chunk(self, t: float, request_id: int, number: int) -> None:
        self.note(
            t,
            "client",
            "chunk",
            session="s",
            front="f",
            id=request_id,
            completion=f"c{request_id}",
            text=f" x-{number}",
        )

    def add_final(self, t: float, request_id: int, final: str = "finished", tokens: int = 2) -> None:
        more = {"same": True, "tokens": tokens} if final == "finished" else {}
        self.note(
            t,
            "client",
            "final",
            session="s",
            front="f",
            id=request_id,
            completion=f"c{request_id}",
            final=final,
            **more,
        )

    def add_attempt(
        self, t: float, request_id: int, seq: int, engine: str, workload: str = "free", state: int = -1
    ) -> None:
        self.note(
            t,
            "engine",
            "sent",
            front="f",
            engine=engine,
            name=f"c{request_id}.{seq}",
            workload=workload,
            reading=engine[0] == "r",
            state=f"c{request_id}.{state}" if state >= 0 else None,
        )

    def add_first_chunk(self, t: float, request_id: int, seq: int, engine: str) -> None:
        self.note(t, "engine", "first", front="f", engine=engine, name=f"c{request_id}.{seq}")

    def end_attempt(
        self,
        t: float,
        request_id: int,
        seq: int,
        engine: str,
        how: str = "answered",
        status: int = 200,
        gone: bool = False,
    ) -> None:
        self.note(
            t,
            "engine",
            "ended",
            front="f",
            engine=engine,
            name=f"c{request_id}.{seq}",
            how=how,
            status=status if how == "answered" else 0,
            first=False,
            gone=gone,
        )

    def add_release(self, t: float, request_id: int, seq: int, engine: str) -> None:
        self.note(t, "engine", "let go", front="f", engine=engine, name=f"c{request_id}.{seq}")

    def add_prefill(self, request_id: int, workload: str = "free") -> None:
        """Add a request at 1.0 and its prefill attempt, which ends at 1.2."""
        self.add_request(1.0, request_id, workload)
        self.add_attempt(1.0, request_id, 0, "r1", workload)
        self.end_attempt(1.2, request_id, 0, "r1")

    def add_decode(self, request_id: int, seq: int = 1, workload: str = "free", at: float = 1.25) -> None:
        self.add_attempt(at, request_id, seq, "w1", workload, state=0)
        self.add_first_chunk(at + 0.1, request_id, seq, "w1")
        self.add_chunk(at + 0.1, request_id, 1)
        self.add_chunk(at + 0.2, request_id, 2)
        self.end_attempt(at + 0.2, request_id, seq, "w1")
        self.add_final(at + 0.2, request_id)

    def run_judge(self) -> Judge:
        self.note(60.0, "day", "end")
        return judge(sorted(self.events, key=lambda e: e["t"]))


def clean_request(recording: RecordingBuilder) -> None:
    for request_id, workload in enumerate(("free", "marked", "once")):
        recording.add_prefill(request_id, workload)
        recording.add_decode(request_id, 1, workload)


def clean_retry_after_full_engine(recording: RecordingBuilder) -> None:
    recording.add_prefill(1, "once")
    recording.add_attempt(1.25, 1, 1, "w2", "once", state=0)
    recording.end_attempt(1.3, 1, 1, "w2", status=503)
    recording.add_decode(1, 2, "once", at=1.35)


def clean_released_and_rate_limited(recording: RecordingBuilder) -> None:
    recording.add_prefill(1, "once")
    recording.add_release(1.4, 1, 0, "r1")
    recording.add_final(1.4, 1, "rate-limited")


def clean_drain_within_grace(recording: RecordingBuilder) -> None:
    recording.notify(0.5, "w1", "Draining")
    recording.add_prefill(1)
    recording.add_decode(1)


def clean_front_node_killed(recording: RecordingBuilder) -> None:
    recording.add_prefill(1)
    recording.note(1.3, "day", "killed", front="f")


def no_final_answer(recording: RecordingBuilder) -> None:
    recording.add_prefill(1)
    recording.add_release(1.3, 1, 0, "r1")


def session_closed_during_request(recording: RecordingBuilder) -> None:
    """Let the front node close a session with a request in flight; the client then leaves."""
    recording.add_prefill(1)
    recording.note(1.3, "client", "closed", session="s", front="f", code=1001)
    recording.add_release(1.3, 1, 0, "r1")
    recording.note(1.4, "client", "leaves", session="s", front="f")


def two_final_answers(recording: RecordingBuilder) -> None:
    clean_request(recording)
    recording.add_final(2.0, 0, "aborted")


def late_final_answer(recording: RecordingBuilder) -> None:
    recording.add_request(1.0, 1)
    recording.add_final(5.2, 1, "aborted")


def endless_stream(recording: RecordingBuilder) -> None:
    recording.add_request(1.0, 1)
    recording.add_chunk(1.5, 1, 1)
    recording.add_final(43.0, 1, "finished", 1)


def chunk_after_final_answer(recording: RecordingBuilder) -> None:
    clean_request(recording)
    recording.add_chunk(2.0, 1, 3)


def repeated_token(recording: RecordingBuilder) -> None:
    recording.add_request(1.0, 1)
    for t, n in ((1.5, 1), (1.6, 2), (1.7, 2)):
        recording.add_chunk(t, 1, n)
    recording.add_final(1.8, 1, tokens=3)


def two_attempts_in_flight(recording: RecordingBuilder) -> None:
    recording.add_request(1.0, 1)
    recording.add_attempt(1.0, 1, 0, "w1")
    recording.add_attempt(1.2, 1, 1, "w2")
    recording.end_attempt(1.4, 1, 0, "w1", "closed")
    recording.end_attempt(1.6, 1, 1, "w2")
    recording.add_final(1.6, 1, "aborted")


def prefill_while_decode_in_flight(recording: RecordingBuilder) -> None:
    recording.add_prefill(1)
    recording.add_attempt(1.25, 1, 1, "w1", state=0)
    recording.add_attempt(1.5, 1, 2, "r1")
    recording.end_attempt(1.6, 1, 1, "w1", "broken")
    recording.add_release(1.61, 1, 0, "r1")
    recording.end_attempt(1.65, 1, 2, "r1", "closed")
    recording.add_final(1.7, 1, "aborted")


def repeat_while_in_flight(recording: RecordingBuilder) -> None:
    """Let the front node send a client's repeat to an engine while the request is in flight."""
    for t, request_id in ((1.0, 1), (1.5, 2)):
        recording.add_request(t, request_id)
        recording.add_attempt(t, request_id, 0, "w1")
        recording.events[-1]["mark"] = "k"
    for request_id in (1, 2):
        recording.end_attempt(2.0, request_id, 0, "w1")
        recording.add_final(2.0, request_id, "aborted")


def repeat_of_non_idempotent(recording: RecordingBuilder) -> None:
    """Let the front node send a client's repeat to an engine after an attempt that may have run."""
    for request_id in (1, 2):
        recording.add_request(float(request_id), request_id, "once")
        recording.add_attempt(float(request_id), request_id, 0, "w1", "once")
        recording.events[-1]["mark"] = "k"
        recording.end_attempt(request_id + 0.5, request_id, 0, "w1", "broken")
        recording.add_final(request_id + 0.5, request_id, "aborted")


def clean_repeat_after_restart(recording: RecordingBuilder) -> None:
    """Without a store, the idempotency table of a front node is lost when its process ends."""
    repeat_of_non_idempotent(recording)
    recording.note(1.8, "day", "killed", front="f")


def repeat_after_restart_with_store(recording: RecordingBuilder) -> None:
    clean_repeat_after_restart(recording)
    recording.events[0]["kept"] = True


def non_idempotent_attempted_twice(recording: RecordingBuilder) -> None:
    recording.add_prefill(1, "once")
    recording.add_attempt(1.25, 1, 1, "w2", "once", state=0)
    recording.end_attempt(1.3, 1, 1, "w2", "broken")
    recording.add_decode(1, 2, "once", at=1.35)


def non_idempotent_rate_limited(recording: RecordingBuilder) -> None:
    recording.add_prefill(1, "once")
    recording.add_attempt(1.25, 1, 1, "w2", "once", state=0)
    recording.end_attempt(1.3, 1, 1, "w2", "closed")
    recording.add_release(1.3, 1, 0, "r1")
    recording.add_final(1.4, 1, "rate-limited")


def retry_outside_group(recording: RecordingBuilder) -> None:
    recording.add_prefill(1, "marked")
    recording.add_attempt(1.25, 1, 1, "w2", "marked", state=0)
    recording.end_attempt(1.3, 1, 1, "w2", "broken")
    recording.add_decode(1, 2, "marked", at=1.35)


def retry_after_memory_time(recording: RecordingBuilder) -> None:
    recording.add_request(1.0, 1, "marked")
    recording.add_attempt(1.0, 1, 0, "w1", "marked")
    recording.end_attempt(1.3, 1, 0, "w1", "broken")
    recording.add_attempt(3.2, 1, 1, "w1", "marked")
    recording.end_attempt(3.3, 1, 1, "w1")
    recording.add_final(3.4, 1, "aborted")


def attempt_after_drain_grace(recording: RecordingBuilder) -> None:
    recording.notify(0.5, "w1", "Draining")
    recording.add_attempt(2.6, 1, 0, "w1")
    recording.end_attempt(2.7, 1, 0, "w1")


def attempt_at_unlisted_engine(recording: RecordingBuilder) -> None:
    recording.note(0.5, "list", "listed", front="f", engines=["r1", "w2"])
    recording.add_attempt(2.6, 1, 0, "w1")
    recording.end_attempt(2.7, 1, 0, "w1")


def add_cold_start(recording: RecordingBuilder, attempts: int, interval: float) -> None:
    recording.note(1.0, "day", "started", engine="w1", start="s1")
    recording.notify(1.3, "w1", "Running", start="s1")
    for n in range(attempts):
        t = 1.4 + n * interval
        recording.add_attempt(t, n, 0, "w1")
        recording.end_attempt(t + 0.01, n, 0, "w1")


def cold_engine_burst(recording: RecordingBuilder) -> None:
    add_cold_start(recording, 40, 0.001)


def cold_engine_overload(recording: RecordingBuilder) -> None:
    add_cold_start(recording, 160, 0.04)


def clean_cold_engine(recording: RecordingBuilder) -> None:
    add_cold_start(recording, 30, 0.08)


def state_held_after_prefill(recording: RecordingBuilder) -> None:
    recording.add_prefill(1)
    recording.add_decode(1, at=1.6)


def state_held_despite_recording_gap(recording: RecordingBuilder) -> None:
    recording.add_prefill(1)
    recording.note(1.45, "day", "late", by=0.08)
    recording.add_decode(1, at=1.6)


def clean_recording_gap(recording: RecordingBuilder) -> None:
    recording.add_prefill(1)
    recording.note(1.59, "day", "late", by=0.3)
    recording.add_decode(1, at=1.6)


def state_held_after_rate_limit(recording: RecordingBuilder) -> None:
    recording.add_prefill(1)
    recording.add_final(1.3, 1, "rate-limited")


def state_held_after_full_engine(recording: RecordingBuilder) -> None:
    recording.add_prefill(1)
    recording.add_attempt(1.25, 1, 1, "w2", state=0)
    recording.end_attempt(1.3, 1, 1, "w2", status=503)
    recording.add_release(1.7, 1, 0, "r1")
    recording.add_final(1.7, 1, "rate-limited")


CLEAN: list[Scenario] = [
    clean_request,
    clean_retry_after_full_engine,
    clean_released_and_rate_limited,
    clean_drain_within_grace,
    clean_front_node_killed,
    clean_cold_engine,
    clean_recording_gap,
    clean_repeat_after_restart,
]
VIOLATIONS: list[tuple[Scenario, str]] = [
    (no_final_answer, "1 one final answer"),
    (session_closed_during_request, "1 one final answer"),
    (two_final_answers, "1 one final answer"),
    (late_final_answer, "1 in time"),
    (endless_stream, "1 in time"),
    (chunk_after_final_answer, "1 nothing after"),
    (repeated_token, "1 whole text"),
    (two_attempts_in_flight, "2 no two out"),
    (repeat_while_in_flight, "2 no two out"),
    (prefill_while_decode_in_flight, "2 no two out"),
    (non_idempotent_attempted_twice, "2 no effect twice"),
    (repeat_of_non_idempotent, "2 no effect twice"),
    (repeat_after_restart_with_store, "2 no effect twice"),
    (non_idempotent_rate_limited, "2 harmless refusals"),
    (retry_outside_group, "2 repeats in group"),
    (retry_after_memory_time, "2 repeats in group"),
    (attempt_after_drain_grace, "3 drains kept"),
    (attempt_at_unlisted_engine, "3 drains kept"),
    (cold_engine_burst, "4 cold engines"),
    (cold_engine_overload, "4 cold engines"),
    (state_held_after_prefill, "5 nothing pinned"),
    (state_held_despite_recording_gap, "5 nothing pinned"),
    (state_held_after_rate_limit, "5 nothing pinned"),
    (state_held_after_full_engine, "5 nothing pinned"),
]


def failed_checks(scenario: Scenario) -> set[str]:
    recording = RecordingBuilder()
    scenario(recording)
    return {f.check for f in recording.run_judge().findings()}


def run_self_test(show: Callable[[str], None]) -> bool:
    """Show the result of each scenario; return whether all passed.

    The judge must find each violation, and no other, and nothing in a clean recording.
    """
    failed = 0
    for scenario, expected in [*((c, "") for c in CLEAN), *VIOLATIONS]:
        found = failed_checks(scenario)
        passed = found == ({expected} if expected else set())
        failed += not passed
        show(
            f"{'passed' if passed else 'FAILED'}  {scenario.__name__.replace('_', ' ')}: "
            f"{'found ' + ', '.join(sorted(found)) if found else 'nothing found'}"
        )
    show(f"{len(CLEAN) + len(VIOLATIONS) - failed} passed, {failed} failed")
    return not failed
