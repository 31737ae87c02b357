"""Harnesses that run the router or the core without I/O and record their actions."""

import gc
from collections.abc import Callable, Iterator
from math import inf
from typing import Any

import pytest

from heathford.core.accepted_request import AcceptedRequest
from heathford.core.core import Core
from heathford.core.gate import Gate, Rule
from heathford.core.protocols import Arrival, CallEvents, Endpoint, ReleaseEvents
from heathford.interface import Effect, EngineKind, Group, Health, Outcome, Role, Workload
from heathford.policy import RequestState, Router
from heathford.policy.transfer import TransferRates

pytest_plugins = ["pytester", "known_red"]


def pytest_collection_finish() -> None:
    """Freeze the objects of the collected tests, as a front node freezes its own once it is ready.

    A full garbage collection over two thousand collected tests takes 0.10 to 0.18 s on a quiet machine, and
    fell into tests that measure hundredths of a second.
    """
    gc.collect()
    gc.freeze()


KINDS = [
    EngineKind(Role.PREFILL, 200_000),
    EngineKind(Role.DECODE, 150_000),
    EngineKind(Role.COMBINED, 200_000),
]


class RouterHarness:
    """A router with its clock and engines, which records the actions that the router asks for.

    It plays the protocols of the router's owner and of each request's owner.
    """

    def __init__(self, now: float = 100.0, **settings: Any) -> None:
        self.now = now
        self.actions: list[tuple[Any, ...]] = []
        self.attempt_timeout = 0.0  # s, of the last attempt
        self.retry_after = -1.0  # s, of the last rate-limited answer
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

    def engines(self, *entries: tuple[int, int], health: Health = Health.ON, started: float = 0.0) -> None:
        """Update engines, each given as number and kind; its cell is number // 10, its zone number // 100."""
        self.router.begin_list_update(complete=False)
        for number, kind in entries:
            self.router.update_engine(number, number // 100, kind, number // 10, health, 1.0, started)
        self.router.end_list_update()

    def submit(self, prompt: int = 5000, session: str = "s", shared: str = "", **more: Any) -> RequestState:
        """Have the router accept a request and decide. more: other arguments of Router.accept."""
        fields: dict[str, Any] = dict(
            workload=0,
            tenant=0,
            shared_tokens=0,
            max_answer_tokens=200,
            answer_hint=0.0,
            deadline=self.now + 5.0,
        )
        request = self.router.accept(self, session=session, shared=shared, prompt=prompt, **(fields | more))
        self.router.decide()
        return request

    def end_attempt(
        self,
        request: RequestState,
        outcome: Outcome,
        *,
        after: float = 0.1,
        detail: int = 0,
        closed: bool = False,
        **load: float,
    ) -> None:
        """End the request's last attempt, and have the router decide. after: s that pass before that."""
        self.now += after
        seq = len(request.attempts) - 1
        request.ended(seq, outcome, after, closed, detail, load)
        self.router.decide()

    def receive_first_token(self, request: RequestState, after: float = 0.1) -> None:
        """Deliver the first token of the request's last attempt. after: s that pass before that."""
        self.now += after
        request.first_token(len(request.attempts) - 1, after)
        self.router.decide()

    def wait(self, seconds: float) -> None:
        """Let time pass, with a decision every 20 ms."""
        end = self.now + seconds
        while self.now < end:
            self.now += 0.02
            self.router.decide()

    def new_actions(self) -> list[tuple[Any, ...]]:
        """Return the actions since the last call, without wake-ups."""
        actions, self.actions = [d for d in self.actions if d[0] != "wake"], []
        return actions

    def send(self, engine: int, timeout: float) -> None:
        assert timeout > 0
        self.attempt_timeout = timeout
        self.actions.append(("send", engine))

    def cancel(self, seq: int) -> None:
        self.actions.append(("cancel", seq))

    def rate_limit(self, retry_after: float) -> None:
        self.retry_after = retry_after
        self.actions.append(("rate_limit",))

    def abort(self) -> None:
        self.actions.append(("abort",))

    def release(self) -> None:
        self.actions.append(("release",))

    def wake(self, after: float) -> None:
        self.actions.append(("wake", after))

    def subscribe(self) -> None:
        self.actions.append(("subscribe",))


@pytest.fixture
def router_harness() -> Callable[..., RouterHarness]:
    return RouterHarness


class ManualTimer:
    def __init__(self, when: float, call: Callable[[], None]) -> None:
        self.when, self.call, self.cancelled = when, call, False

    def cancel(self) -> None:
        self.cancelled, self.call = True, lambda: None  # as asyncio does, to free the callback


class ManualLoop:
    """An event loop whose time moves only in `pass_time`."""

    def __init__(self) -> None:
        self.now = 100.0
        self.scheduled: list[Callable[[], None]] = []
        self.timers: list[ManualTimer] = []

    def time(self) -> float:
        return self.now

    def call_soon(self, call: Callable[[], None]) -> None:
        self.scheduled.append(call)

    def call_at(self, when: float, call: Callable[[], None]) -> ManualTimer:
        timer = ManualTimer(when, call)
        self.timers.append(timer)
        return timer

    def turn(self) -> None:
        """Run scheduled callbacks until there are none."""
        while self.scheduled:
            calls, self.scheduled = self.scheduled, []
            for call in calls:
                call()

    def pass_time(self, seconds: float) -> None:
        """Let time pass, running timers when they are due."""
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
    """An attempt that a RecordingLink was asked to send."""

    def __init__(self, engine: str, name: str, kv: Any, events: CallEvents) -> None:
        self.engine, self.name, self.kv, self.events, self.cancelled = engine, name, kv, events, False
        self.begun = True  # part of it has been sent
        self.withdrawn = False

    def cancel(self) -> None:
        self.cancelled = True
        self.events.ended(Outcome.CANCELLED, 0, {}, {})

    def is_progressing(self) -> bool:
        """Return False: whatever is sent has arrived already."""
        return False

    def give_up_unless_arrived(self) -> Arrival:
        """Report that the attempt has arrived, as here every one has."""
        return Arrival.CONFIRMED

    def withdraw(self) -> None:
        if not self.begun:
            self.withdrawn = True
            self.events.ended(Outcome.UNSENT, 0, {}, {})


class RecordingReleaseEvents:
    """Records the events of one release as lines."""

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
    """A link to engines that records attempts and releases, and sends nothing."""

    may_read_late = False  # whatever is sent is read at once

    def __init__(self) -> None:
        self.transfers = TransferRates()
        self.attempts: list[RecordedAttempt] = []
        self.released: list[str] = []
        self.confirms = True  # whether each release is confirmed at once
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
    """A response writer that records the answer."""

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
    """A core on a ManualLoop with a RecordingLink."""

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

    def engines(self, *entries: tuple[int, int], health: Health = Health.ON, started: float = 0.0) -> None:
        self.core.apply_endpoint_list(
            False,
            [
                (Endpoint(n, f"e{n}", KINDS[kind].role, "127.0.0.1", n), 0, kind, 1, health, 1.0, started)
                for n, kind in entries
            ],
        )
        self.loop.turn()

    def submit(self, prompt: int = 5000, timeout: float = 4.0) -> tuple[RecordingClient, AcceptedRequest]:
        """Have the core accept a request. prompt: tokens; timeout: s."""
        client = RecordingClient()
        accepted_request = self.core.accept(client, 0, 0, "s", "", prompt, 0, 100, timeout, {"prompt": "x"})
        self.loop.turn()
        return client, accepted_request

    def submit_named(self, name: str) -> tuple[RecordingClient, AcceptedRequest]:
        """Have the core accept a request whose attempts all carry its own name."""
        client = RecordingClient()
        accepted_request = self.core.accept(
            client, 0, 0, "s", "", 5000, 0, 100, 4.0, {"prompt": "x"}, name=name
        )
        self.loop.turn()
        return client, accepted_request

    def complete_prefill(self) -> None:
        """End the last attempt as a successful prefill."""
        attempt = self.link.attempts[-1]
        attempt.events.ended(Outcome.PREFILLED, 0, {}, {"kv": {"remote_request_id": attempt.name}})
        self.loop.turn()


@pytest.fixture(autouse=True)
def no_violations(monkeypatch: pytest.MonkeyPatch) -> Iterator[list[str]]:
    """Fail the test, whatever else it asserts, if the gate records a violation of a rule."""
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
