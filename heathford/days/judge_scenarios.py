"""Recordings with one seeded breach each, which the judge must find; and clean ones, which must pass."""

from collections.abc import Callable
from typing import Any

from heathford.days.judge import Judge, judge

Events = list[dict[str, Any]]
Scenario = Callable[["Story"], None]

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


class Story:
    """Builds a recording step by step."""

    def __init__(self) -> None:
        self.events: Events = []
        self.note(0.0, "day", "begin", **HEADER)
        for engine in ("r1", "w1", "w2"):
            self.told(0.0, engine, "Running")

    def note(self, t: float, at: str, what: str, **fields: Any) -> None:
        self.events.append({"t": t, "at": at, "what": what, **fields})

    def told(self, t: float, engine: str, phase: str, front: str = "f", start: str = "s0") -> None:
        self.note(t, "list", "told", front=front, engine=engine, phase=phase, start=start, version=1)

    def asked(self, t: float, key: int, workload: str = "free") -> None:
        self.note(
            t,
            "client",
            "asked",
            session="s",
            front="f",
            id=key,
            first=f"s.{key}",
            workload=workload,
            timeout=4.0,
        )

    def chunk(self, t: float, key: int, number: int) -> None:
        self.note(
            t, "client", "chunk", session="s", front="f", id=key, completion=f"c{key}", text=f" x-{number}"
        )

    def final(self, t: float, key: int, final: str = "finished", tokens: int = 2) -> None:
        more = {"same": True, "tokens": tokens} if final == "finished" else {}
        self.note(
            t, "client", "final", session="s", front="f", id=key, completion=f"c{key}", final=final, **more
        )

    def sent(
        self, t: float, key: int, seq: int, engine: str, workload: str = "free", state: int = -1
    ) -> None:
        self.note(
            t,
            "engine",
            "sent",
            front="f",
            engine=engine,
            name=f"c{key}.{seq}",
            workload=workload,
            reading=engine[0] == "r",
            state=f"c{key}.{state}" if state >= 0 else None,
        )

    def first(self, t: float, key: int, seq: int, engine: str) -> None:
        self.note(t, "engine", "first", front="f", engine=engine, name=f"c{key}.{seq}")

    def ended(
        self,
        t: float,
        key: int,
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
            name=f"c{key}.{seq}",
            how=how,
            status=status if how == "answered" else 0,
            first=False,
            gone=gone,
        )

    def let_go(self, t: float, key: int, seq: int, engine: str) -> None:
        self.note(t, "engine", "let go", front="f", engine=engine, name=f"c{key}.{seq}")

    def read(self, key: int, workload: str = "free") -> None:
        """Asked at 1.0, read by 1.2."""
        self.asked(1.0, key, workload)
        self.sent(1.0, key, 0, "r1", workload)
        self.ended(1.2, key, 0, "r1")

    def written(self, key: int, seq: int = 1, workload: str = "free", at: float = 1.25) -> None:
        self.sent(at, key, seq, "w1", workload, state=0)
        self.first(at + 0.1, key, seq, "w1")
        self.chunk(at + 0.1, key, 1)
        self.chunk(at + 0.2, key, 2)
        self.ended(at + 0.2, key, seq, "w1")
        self.final(at + 0.2, key)

    def judged(self) -> Judge:
        self.note(60.0, "day", "end")
        return judge(sorted(self.events, key=lambda e: e["t"]))


def clean_path(s: Story) -> None:
    for key, workload in enumerate(("free", "marked", "once")):
        s.read(key, workload)
        s.written(key, 1, workload)


def clean_full_then_elsewhere(s: Story) -> None:
    s.read(1, "once")
    s.sent(1.25, 1, 1, "w2", "once", state=0)
    s.ended(1.3, 1, 1, "w2", status=503)
    s.written(1, 2, "once", at=1.35)


def clean_let_go_and_refused(s: Story) -> None:
    s.read(1, "once")
    s.let_go(1.4, 1, 0, "r1")
    s.final(1.4, 1, "rate-limited")


def clean_drain_within_grace(s: Story) -> None:
    s.told(0.5, "w1", "Draining")
    s.read(1)
    s.written(1)


def clean_killed(s: Story) -> None:
    s.read(1)
    s.note(1.3, "day", "killed", front="f")


def no_answer(s: Story) -> None:
    s.read(1)
    s.let_go(1.3, 1, 0, "r1")


def session_closed_under_it(s: Story) -> None:
    """The front closes a session with a completion out; its client then goes."""
    s.read(1)
    s.note(1.3, "client", "closed", session="s", front="f", code=1001)
    s.let_go(1.3, 1, 0, "r1")
    s.note(1.4, "client", "leaves", session="s", front="f")


def two_answers(s: Story) -> None:
    clean_path(s)
    s.final(2.0, 0, "aborted")


def late_answer(s: Story) -> None:
    s.asked(1.0, 1)
    s.final(5.2, 1, "aborted")


def endless_stream(s: Story) -> None:
    s.asked(1.0, 1)
    s.chunk(1.5, 1, 1)
    s.final(43.0, 1, "finished", 1)


def chunk_after(s: Story) -> None:
    clean_path(s)
    s.chunk(2.0, 1, 3)


def token_twice(s: Story) -> None:
    s.asked(1.0, 1)
    for t, n in ((1.5, 1), (1.6, 2), (1.7, 2)):
        s.chunk(t, 1, n)
    s.final(1.8, 1, tokens=3)


def two_out(s: Story) -> None:
    s.asked(1.0, 1)
    s.sent(1.0, 1, 0, "w1")
    s.sent(1.2, 1, 1, "w2")
    s.ended(1.4, 1, 0, "w1", "closed")
    s.ended(1.6, 1, 1, "w2")
    s.final(1.6, 1, "aborted")


def read_beside_write(s: Story) -> None:
    s.read(1)
    s.sent(1.25, 1, 1, "w1", state=0)
    s.sent(1.5, 1, 2, "r1")
    s.ended(1.6, 1, 1, "w1", "broken")
    s.let_go(1.61, 1, 0, "r1")
    s.ended(1.65, 1, 2, "r1", "closed")
    s.final(1.7, 1, "aborted")


def repeat_beside(s: Story) -> None:
    """A client came again with its key, and the front sent it a second time."""
    for t, key in ((1.0, 1), (1.5, 2)):
        s.asked(t, key)
        s.sent(t, key, 0, "w1")
        s.events[-1]["mark"] = "k"
    for key in (1, 2):
        s.ended(2.0, key, 0, "w1")
        s.final(2.0, key, "aborted")


def repeat_after(s: Story) -> None:
    """A client came again after its dispatch had ended, and the front sent it a second time."""
    for key in (1, 2):
        s.asked(float(key), key, "once")
        s.sent(float(key), key, 0, "w1", "once")
        s.events[-1]["mark"] = "k"
        s.ended(key + 0.5, key, 0, "w1", "broken")
        s.final(key + 0.5, key, "aborted")


def clean_repeat_after_a_restart(s: Story) -> None:
    """What the front that died remembered is gone with it."""
    repeat_after(s)
    s.note(1.8, "day", "killed", front="f")


def repeat_after_a_restart_with_a_store(s: Story) -> None:
    clean_repeat_after_a_restart(s)
    s.events[0]["kept"] = True


def once_twice(s: Story) -> None:
    s.read(1, "once")
    s.sent(1.25, 1, 1, "w2", "once", state=0)
    s.ended(1.3, 1, 1, "w2", "broken")
    s.written(1, 2, "once", at=1.35)


def once_refused(s: Story) -> None:
    s.read(1, "once")
    s.sent(1.25, 1, 1, "w2", "once", state=0)
    s.ended(1.3, 1, 1, "w2", "closed")
    s.let_go(1.3, 1, 0, "r1")
    s.final(1.4, 1, "rate-limited")


def outside_group(s: Story) -> None:
    s.read(1, "marked")
    s.sent(1.25, 1, 1, "w2", "marked", state=0)
    s.ended(1.3, 1, 1, "w2", "broken")
    s.written(1, 2, "marked", at=1.35)


def after_memory_time(s: Story) -> None:
    s.asked(1.0, 1, "marked")
    s.sent(1.0, 1, 0, "w1", "marked")
    s.ended(1.3, 1, 0, "w1", "broken")
    s.sent(3.2, 1, 1, "w1", "marked")
    s.ended(3.3, 1, 1, "w1")
    s.final(3.4, 1, "aborted")


def after_drain(s: Story) -> None:
    s.told(0.5, "w1", "Draining")
    s.sent(2.6, 1, 0, "w1")
    s.ended(2.7, 1, 0, "w1")


def to_one_unlisted(s: Story) -> None:
    s.note(0.5, "list", "listed", front="f", engines=["r1", "w2"])
    s.sent(2.6, 1, 0, "w1")
    s.ended(2.7, 1, 0, "w1")


def cold(s: Story, sends: int, apart: float) -> None:
    s.note(1.0, "day", "started", engine="w1", start="s1")
    s.told(1.3, "w1", "Running", start="s1")
    for n in range(sends):
        t = 1.4 + n * apart
        s.sent(t, n, 0, "w1")
        s.ended(t + 0.01, n, 0, "w1")


def cold_burst(s: Story) -> None:
    cold(s, 40, 0.001)


def cold_stream(s: Story) -> None:
    cold(s, 160, 0.04)


def clean_cold(s: Story) -> None:
    cold(s, 30, 0.08)


def held_after_read(s: Story) -> None:
    s.read(1)
    s.written(1, at=1.6)


def held_while_late(s: Story) -> None:
    s.read(1)
    s.note(1.45, "day", "late", by=0.08)
    s.written(1, at=1.6)


def clean_noted_late(s: Story) -> None:
    s.read(1)
    s.note(1.59, "day", "late", by=0.3)
    s.written(1, at=1.6)


def held_after_refusal(s: Story) -> None:
    s.read(1)
    s.final(1.3, 1, "rate-limited")


def held_after_full(s: Story) -> None:
    s.read(1)
    s.sent(1.25, 1, 1, "w2", state=0)
    s.ended(1.3, 1, 1, "w2", status=503)
    s.let_go(1.7, 1, 0, "r1")
    s.final(1.7, 1, "rate-limited")


CLEAN: list[Scenario] = [
    clean_path,
    clean_full_then_elsewhere,
    clean_let_go_and_refused,
    clean_drain_within_grace,
    clean_killed,
    clean_cold,
    clean_noted_late,
    clean_repeat_after_a_restart,
]
VIOLATIONS: list[tuple[Scenario, str]] = [
    (no_answer, "1 one final answer"),
    (session_closed_under_it, "1 one final answer"),
    (two_answers, "1 one final answer"),
    (late_answer, "1 in time"),
    (endless_stream, "1 in time"),
    (chunk_after, "1 nothing after"),
    (token_twice, "1 whole text"),
    (two_out, "2 no two out"),
    (repeat_beside, "2 no two out"),
    (read_beside_write, "2 no two out"),
    (once_twice, "2 no effect twice"),
    (repeat_after, "2 no effect twice"),
    (repeat_after_a_restart_with_a_store, "2 no effect twice"),
    (once_refused, "2 harmless refusals"),
    (outside_group, "2 repeats in group"),
    (after_memory_time, "2 repeats in group"),
    (after_drain, "3 drains kept"),
    (to_one_unlisted, "3 drains kept"),
    (cold_burst, "4 cold engines"),
    (cold_stream, "4 cold engines"),
    (held_after_read, "5 nothing pinned"),
    (held_while_late, "5 nothing pinned"),
    (held_after_refusal, "5 nothing pinned"),
    (held_after_full, "5 nothing pinned"),
]


def failed_checks(tell: Scenario) -> set[str]:
    story = Story()
    tell(story)
    return {f.check for f in story.judged().findings()}


def run_self_test(show: Callable[[str], None]) -> bool:
    """True if each breach is found, alone, and each clean recording passes."""
    failed = 0
    for tell, wanted in [*((c, "") for c in CLEAN), *VIOLATIONS]:
        found = failed_checks(tell)
        good = found == ({wanted} if wanted else set())
        failed += not good
        show(
            f"{'passed' if good else 'FAILED'}  {tell.__name__.replace('_', ' ')}: "
            f"{'found ' + ', '.join(sorted(found)) if found else 'nothing found'}"
        )
    show(f"{len(CLEAN) + len(VIOLATIONS) - failed} passed, {failed} failed")
    return not failed
