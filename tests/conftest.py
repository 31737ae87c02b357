"""A router with stand-in doors that record what it asks for."""

import gc
from collections.abc import Callable, Iterator
from math import inf
from typing import Any

import pytest

from heathford.core.core import Core
from heathford.core.protocols import Arrival, CallEvents, Endpoint, ReleaseEvents
from heathford.core.gate import Gate, Rule
from heathford.core.accepted_request import AcceptedRequest
from heathford.interface import Effect, Group, Health, EngineKind, Role, Outcome, Workload
from heathford.policy import RequestState, Router
from heathford.policy.transfer import TransferRates

pytest_plugins = ["pytester", "known_red"]


def pytest_collection_finish() -> None:
    """As a front node does once it is ready. Guards against a pause of the test process's own: one full
    collection of all that two thousand collected tests are made of takes 0.10 to 0.18 s on a quiet machine,
    and fell into what tests measure in hundredths of a second."""
    gc.collect()
    gc.freeze()


KINDS = [
    EngineKind(Role.PREFILL, 200_000),
    EngineKind(Role.DECODE, 150_000),
    EngineKind(Role.COMBINED, 200_000),
]


class RouterHarness:
    """One instance, its clock, its engines and what was done for each completion."""

    def __init__(self, now: float = 100.0, **settings: Any) -> None:
        self.now = now
        self.done: list[tuple[Any, ...]] = []
        self.attempt_timeout = 0.0  # s that the last dispatch may take
        self.retry_after = -1.0  # s that the last rate-limited client should stay away
        effect, group = settings.pop("effect", Effect.IDEMPOTENT), settings.pop("group", Group.ALL)
        values: dict[str, Any] = dict(
            seed=1,
            kinds=KINDS,
            workloads=[Workload(1.0, 0.0, 0.05, effect, group, 2.0, 1.0)],
            number=0,
            fronts=1,
            zone=0,
            try_limit=6,
            pin_limit=0.3,
            may_cancel=True,
            may_delay_retries=True,
            longest_retry=2.0,
            warm_after=10.0,
            cold_from=0.3,
            cold_multiple=2.5,
            cold_window=2.0,
            read_in_place=False,
            subscribe=False,
        )
        self.router = Router(self, self, **(values | settings))  # type: ignore[arg-type]

    def engines(self, *rows: tuple[int, int], health: Health = Health.ON, started: float = 0.0) -> None:
        """Rows of number and kind; the cell is the number's tens, the zone its hundreds."""
        self.router.begin_list_update(complete=False)
        for number, kind in rows:
            self.router.update_engine(number, number // 100, kind, number // 10, health, 1.0, started)
        self.router.end_list_update()

    def take(self, prompt: int = 5000, session: str = "s", shared: str = "", **more: Any) -> RequestState:
        fields: dict[str, Any] = dict(
            workload=0,
            tenant=0,
            shared_tokens=0,
            max_answer_tokens=200,
            answer_hint=0.0,
            deadline=self.now + 5.0,
        )
        completion = self.router.accept(
            self, session=session, shared=shared, prompt=prompt, **(fields | more)
        )
        self.router.decide()
        return completion

    def end(
        self,
        completion: RequestState,
        verdict: Outcome,
        *,
        after: float = 0.1,
        detail: int = 0,
        closed: bool = False,
        **load: float,
    ) -> None:
        self.now += after
        seq = len(completion.attempts) - 1
        completion.ended(seq, verdict, after, closed, detail, load)
        self.router.decide()

    def first(self, completion: RequestState, after: float = 0.1) -> None:
        self.now += after
        completion.first_token(len(completion.attempts) - 1, after)
        self.router.decide()

    def wait(self, seconds: float) -> None:
        """Time passes, with the router woken as often as it asks for."""
        end = self.now + seconds
        while self.now < end:
            self.now += 0.02
            self.router.decide()

    def asked(self) -> list[tuple[Any, ...]]:
        """What was asked for since the last look, wake-ups aside."""
        done, self.done = [d for d in self.done if d[0] != "wake"], []
        return done

    def send(self, engine: int, timeout: float) -> None:
        assert timeout > 0
        self.attempt_timeout = timeout
        self.done.append(("send", engine))

    def cancel(self, seq: int) -> None:
        self.done.append(("cancel", seq))

    def rate_limit(self, retry_after: float) -> None:
        self.retry_after = retry_after
        self.done.append(("rate_limit",))

    def abort(self) -> None:
        self.done.append(("abort",))

    def release(self) -> None:
        self.done.append(("release",))

    def wake(self, after: float) -> None:
        self.done.append(("wake", after))

    def subscribe(self) -> None:
        self.done.append(("subscribe",))


@pytest.fixture
def router_harness() -> Callable[..., RouterHarness]:
    return RouterHarness


class ManualTimer:
    def __init__(self, when: float, call: Callable[[], None]) -> None:
        self.when, self.call, self.cancelled = when, call, False

    def cancel(self) -> None:
        self.cancelled, self.call = True, lambda: None  # as asyncio does: what it would have called is free


class ManualLoop:
    """A loop whose time moves only when told to."""

    def __init__(self) -> None:
        self.now = 100.0
        self.soon: list[Callable[[], None]] = []
        self.timers: list[ManualTimer] = []

    def time(self) -> float:
        return self.now

    def call_soon(self, call: Callable[[], None]) -> None:
        self.soon.append(call)

    def call_at(self, when: float, call: Callable[[], None]) -> ManualTimer:
        timer = ManualTimer(when, call)
        self.timers.append(timer)
        return timer

    def turn(self) -> None:
        while self.soon:
            calls, self.soon = self.soon, []
            for call in calls:
                call()

    def pass_time(self, seconds: float) -> None:
        end = self.now + seconds
        self.turn()
        while due := [t for t in self.timers if not t.cancelled and t.when <= end]:
            timer = min(due, key=lambda t: t.when)
            self.timers.remove(timer)
            self.now = max(self.now, timer.when)
            timer.call()
            self.turn()
        self.now = end


class RecordedAttempt:
    """A dispatch as a recording link holds it."""

    def __init__(self, engine: str, name: str, kv: Any, events: CallEvents) -> None:
        self.engine, self.name, self.kv, self.events, self.cancelled = engine, name, kv, events, False
        self.begun = True  # something of it has left
        self.withdrawn = False

    def cancel(self) -> None:
        self.cancelled = True
        self.events.ended(Outcome.CANCELLED, 0, {}, {})

    def is_progressing(self) -> bool:
        """What was sent has arrived, here."""
        return False

    def give_up_unless_arrived(self) -> Arrival:
        """What was sent has arrived, here."""
        return Arrival.CONFIRMED

    def withdraw(self) -> None:
        if not self.begun:
            self.withdrawn = True
            self.events.ended(Outcome.UNSENT, 0, {}, {})


class RecordingReleaseEvents:
    """What a link tells of one release, as lines."""

    def __init__(self) -> None:
        self.events: list[str] = []

    def requested(self, engine: str) -> None:
        self.events.append(f"asked {engine}")

    def not_confirmed(self, engine: str, status: int) -> None:
        self.events.append(f"unanswered {engine} {status}")

    def confirmed(self, engine: str) -> None:
        self.events.append(f"confirmed {engine}")

    def failed(self) -> None:
        self.events.append("failed")


class RecordingLink:
    may_read_late = False  # what was sent is read at once, here

    def __init__(self) -> None:
        self.transfers = TransferRates()
        self.attempts: list[RecordedAttempt] = []
        self.released: list[str] = []
        self.confirms = True  # each release, at once
        self.releases: list[ReleaseEvents] = []
        self.last_heard: dict[str, float] = {}
        self.liveness_checks: list[tuple[str, Callable[[bool], None]]] = []

    def send(
        self, endpoint: Endpoint, name: str, body: Any, kv: Any, mark: str, timeout: float, events: CallEvents
    ) -> RecordedAttempt:
        self.attempts.append(RecordedAttempt(endpoint.name, name, kv, events))
        return self.attempts[-1]

    def release(self, endpoint: Endpoint, name: str, events: ReleaseEvents) -> None:
        self.released.append(name)
        self.releases.append(events)
        if self.confirms:
            events.confirmed(endpoint.name)

    def last_received_at(self, endpoint: Endpoint) -> float:
        return self.last_heard.get(endpoint.name, -inf)

    def check_liveness(
        self, endpoint: Endpoint, name: str, within: float, told: Callable[[bool], None]
    ) -> None:
        self.liveness_checks.append((endpoint.name, told))


class RecordingClient:
    """A sink that keeps what it is told."""

    def __init__(self) -> None:
        self.text: list[str] = []
        self.finals: list[str] = []

    def client_connected(self) -> bool:
        return True

    def tokens(self, text: str) -> None:
        assert not self.finals
        self.text.append(text)

    def finished(self, reason: str, usage: Any) -> None:
        self.finals.append("finished")

    def rate_limited(self, retry_after: float) -> None:
        self.finals.append("rate-limited")

    def aborted(self, why: str) -> None:
        self.finals.append(f"aborted: {why}")


class CoreHarness:
    """A core on a loop whose time is told, with a link that records."""

    def __init__(
        self, effect: Effect = Effect.IDEMPOTENT, cold_multiple: float = 2.5, may_cancel: bool = True
    ) -> None:
        self.loop, self.link = ManualLoop(), RecordingLink()
        self.core = Core(
            self.loop,
            self.link,
            "f",
            1,
            KINDS,
            [Workload(1.0, 0.0, 0.05, effect, Group.ALL, 2.0, 1.0)],
            0,
            1,
            0,
            6,
            0.3,
            may_cancel,
            2.0,
            10.0,
            0.3,
            cold_multiple,
            2.0,
            answer_margin=0.1,
            stream_limit=5.0,
        )

    def engines(self, *rows: tuple[int, int], health: Health = Health.ON, started: float = 0.0) -> None:
        self.core.apply_endpoint_list(
            False,
            [
                (Endpoint(n, f"e{n}", KINDS[kind].role, "127.0.0.1", n), 0, kind, 1, health, 1.0, started)
                for n, kind in rows
            ],
        )
        self.loop.turn()

    def take(self, prompt: int = 5000, timeout: float = 4.0) -> tuple[RecordingClient, AcceptedRequest]:
        client = RecordingClient()
        taken = self.core.accept(client, 0, 0, "s", "", prompt, 0, 100, timeout, {"prompt": "x"})
        self.loop.turn()
        return client, taken

    def read(self) -> None:
        out = self.link.attempts[-1]
        out.events.ended(Outcome.PREFILLED, 0, {}, {"kv": {"remote_request_id": out.name}})
        self.loop.turn()


@pytest.fixture(autouse=True)
def no_violations(monkeypatch: pytest.MonkeyPatch) -> Iterator[list[str]]:
    """A rule that the gate sees violated fails the test, whatever else it asserts."""
    seen: list[str] = []
    count = Gate.record_violation

    def violation(self: Gate, rule: Rule, name: str, what: str) -> None:
        seen.append(f"{rule.name}: {name}: {what}")
        count(self, rule, name, what)

    monkeypatch.setattr(Gate, "record_violation", violation)
    yield seen
    assert not seen


@pytest.fixture
def core_harness() -> Callable[..., CoreHarness]:
    return CoreHarness
