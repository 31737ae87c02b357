"""Checks the records of a run against the rules that front nodes have to keep.

Shares no code with the front node, so that a fault there can't hide itself here.
"""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from math import inf, sqrt

from heathford.soak.excuses import EVENT_DELAYING_FAULTS, STOP_FAULTS, Excuses
from heathford.soak.plan import FaultKind
from heathford.soak.records import NEVER_ANSWERED, Record, RecordKind
from heathford.soak.relay import CLOSE_DELAY
from heathford.soak.request_history import Attempt, StateStatus, StateChange, RequestHistory, build_histories

ANSWER_SLACK = 0.5  # s past a client's deadline; an answer within it is worthless, but breaks no rule
HELD_SLACK = 0.3  # s past the limit for held prefill states
CLIENT_GONE_SLACK = 0.1  # s after a client's close in which an attempt may still be sent
SENT_BUDGET_SLACK = 0.15  # s by which the budget sent to an engine may exceed the time left
MAX_WAIT_BEHIND_EVENT = 5.0  # s that a client may wait after a running engine's last event
EVENT_SLACK = 0.3  # s that a front node may take to pass on an event
LIST_CHANGE_SLACK = 6.0  # s after which a list change has to be in effect, whatever discovery faults occurred
BAD_CLIENT_TIMEOUT = 3.0  # s within which a client without a complete request gets an answer or a close
ORDER_TOLERANCE = 0.005  # s; events on two connections that are closer were recorded in arbitrary order
REFUSAL_STATUSES = (429, 503)  # rate-limited answers, which promise that the request had no effect
JUDGED_BY_RECORDS = ("overdue", '"HELD"', "'HELD'")  # in log lines about time limits
STREAM_BREAKING_FAULTS = (  # the stream's connections break, or its engine stays silent
    FaultKind.LINK_RESET,
    FaultKind.LINK_CUT,
    FaultKind.LINK_REFUSED,
    FaultKind.LINK_SILENT,
    FaultKind.LINK_UNREAD,
    FaultKind.LINK_BREAKS,
    FaultKind.ENGINE_STOPPED,
)
DISCOVERY_DELAY_FAULTS = (  # these delay list changes; LIST_CHANGE_SLACK applies then
    FaultKind.DISCOVERY_SILENT,
    FaultKind.DISCOVERY_SLOW,
    FaultKind.DISCOVERY_RESET,
    FaultKind.RELOAD,
    FaultKind.SIGNAL_SERIES,
    FaultKind.LINK_BREAKS,
    FaultKind.CONNECT_FAILS,
)
MAX_DESCRIPTOR_GROWTH = 120  # descriptors
MAX_DESCRIPTORS = 400  # the limit that the soak configures
MAX_MEMORY_GROWTH_KB = 40_000


@dataclass(frozen=True)
class Limits:
    """The settings of the front nodes that the rules depend on; times in s.

    effects: the idempotency of each request class, as the settings name it. cold_budget: requests that a
    cold engine may get within cold_window.
    """

    held_limit: float
    drain_grace: float
    key_ttl: float
    effects: Mapping[str, str]
    cold_budget: float
    cold_window: float
    warm_after: float
    zones: Mapping[str, str] = field(default_factory=dict)  # of engines


@dataclass(frozen=True)
class Breach:
    """A rule broken during the run; times in s on the monotonic clock."""

    rule: str
    time: float
    request: str
    detail: str


class Oracle:
    """Checks the records of one run; breaches are listed in the order of the checks."""

    def __init__(self, records: Iterable[Record], limits: Limits) -> None:
        self.records = sorted(records, key=lambda record: record.time)
        self.limits = limits
        self.breaches: list[Breach] = []
        self.resent = 0  # requests that were lost unread, which their clients may send again
        self.histories = build_histories(self.records)
        self.excuses = Excuses(self.records, self.histories)
        self.prefill_engines = {
            r.engine for r in self.records if r.kind is RecordKind.DELIVERED and r.text == "prefill"
        }
        self.run_end = self.records[-1].time if self.records else 0.0

    def add_breach(self, rule: str, time: float, request: str, detail: str) -> None:
        self.breaches.append(Breach(rule, time, request, detail))

    # The checks.

    def judge(self) -> list[Breach]:
        """Run all checks and return the breaches; to be called once."""
        for name, history in self.histories.items():
            if history.asked_at < inf:
                self.check_one_answer(name, history)
                self.check_effects(name, history)
                self.check_client_gone(name, history)
                self.check_sent_deadline(name, history)
                self.check_held_states(name, history)
                self.check_spoilt_streams(name, history)
        self.check_drains()
        self.check_slow_start()
        self.check_event_delays()
        self.check_processes()
        return self.breaches

    def check_one_answer(self, name: str, history: RequestHistory) -> None:
        if len(history.answers) > 1:
            self.add_breach("1 one answer", history.answers[1].time, name, "a second final answer")
        due = history.asked_at + history.budget + ANSWER_SLACK
        for lost in history.lost:
            if (
                self.excuses.front_broken(history, due)
                or history.left_at < inf
                or self.excuses.stopped_too_long(history.front, history.asked_at, lost.time)
            ):
                continue  # the specification allows stops of 0.15 s, not longer ones
            if lost.text == NEVER_ANSWERED and self.excuses.slow_stream_delayed(history, lost.time):
                continue  # the stream goes on, and the client waits for a limited time
            unread = not history.attempts  # clients send a request again if it was not read
            crowd_active = self.excuses.fault_active(
                lost.time, lost.time, history.front, kinds=(FaultKind.CROWD,)
            )
            too_late = lost.text == "new" and self.excuses.connected_too_late(history)
            if unread and (lost.text == "reused" or crowd_active or too_late):
                self.resent += 1
            else:
                self.add_breach("1 one answer", lost.time, name, f"lost: {lost.text}")
        for answer in history.answers:
            late = answer.time - due
            if answer.value != 200 and late > self.excuses.allowance(
                history.front, history.asked_at, answer.time
            ):
                self.add_breach("1 in time", answer.time, name, f"{answer.value:.0f}, {late:.2f} s late")
        for cut in history.cuts:
            engines = [attempt.engine for attempt in history.attempts]
            if (
                not self.excuses.front_broken(history, max(due, cut.time))
                and history.left_at == inf
                and not history.last_attempt_spoilt
                and not self.excuses.killed_while_terminating(history, cut.time)
                and not self.excuses.stopped_too_long(history.front, history.asked_at, cut.time)
                and not self.excuses.fault_active(
                    history.asked_at, cut.time, history.front, *engines, kinds=STREAM_BREAKING_FAULTS
                )
            ):
                self.add_breach("1 one answer", cut.time, name, "a stream was cut off without a fault")

    def check_spoilt_streams(self, name: str, history: RequestHistory) -> None:
        """Check how the client's connection ended behind a stream that its engine spoilt.

        The protocol specification: in time, and without the last chunk.
        """
        if not history.last_attempt_spoilt or history.left_at < inf:
            return
        attempt = history.attempts[-1]
        for answer in history.answers:
            if answer.value == 200:
                self.add_breach("1 spoilt stream", answer.time, name, f"ended whole: {attempt.spoilt_how}")
        if history.answers:
            return
        ended_at = min((end.time for end in [*history.cuts, *history.lost]), default=self.run_end)
        waited = ended_at - attempt.spoilt_at
        delayed = self.excuses.fault_active(
            attempt.spoilt_at, ended_at, attempt.engine, kinds=EVENT_DELAYING_FAULTS
        )
        allowed = MAX_WAIT_BEHIND_EVENT + self.excuses.allowance(history.front, attempt.spoilt_at, ended_at)
        if waited > allowed and not delayed:
            self.add_breach("1 left waiting", ended_at, name, f"for {waited:.3f} s: {attempt.spoilt_how}")

    def check_effects(self, name: str, history: RequestHistory) -> None:
        for earlier, later in zip(history.attempts, history.attempts[1:], strict=False):
            overlap_end = min(earlier.ended_at, later.last_byte_at) if later.last_byte_at < inf else inf
            # A relay that does not read notices neither when an attempt was written nor when it was closed.
            unobserved = self.excuses.fault_active(
                earlier.first_byte_at,
                later.last_byte_at,
                earlier.engine,
                later.engine,
                kinds=(FaultKind.LINK_UNREAD,),
            )
            # A close and a send at the same time reach the relay on two connections, in either order.
            exceeds_tolerance = (
                earlier.ended_at - later.last_byte_at
                > ORDER_TOLERANCE + self.excuses.step_delay(earlier.engine, later.last_byte_at)
            )
            if (
                earlier.last_byte_at < later.last_byte_at < inf
                and overlap_end == later.last_byte_at
                and exceeds_tolerance
                and not unobserved
            ):
                self.add_breach(
                    "2 no two out",
                    later.last_byte_at,
                    name,
                    f"in flight at {earlier.engine} when {later.engine} got the next attempt",
                )
        ran = [attempt for attempt in history.attempts if attempt.has_run]
        effect = self.limits.effects.get(history.request_class, "free")
        if effect == "free" or not ran:
            return
        for answer in history.answers:
            if answer.value in REFUSAL_STATUSES:
                self.add_breach(
                    "2 harmless refusals",
                    answer.time,
                    name,
                    f"{effect}: rate-limited, although it ran at {ran[0].engine}",
                )
        if effect == "single_shot" and len(ran) > 1:
            self.add_breach(
                "2 no effect twice", ran[1].delivered_at, name, f"ran at {ran[0].engine}, {ran[1].engine}"
            )
        for attempt in ran[1:]:
            if effect == "guarded" and attempt.delivered_at > ran[0].delivered_at + self.limits.key_ttl:
                self.add_breach("2 repeats in window", attempt.delivered_at, name, "past the window")
            zones = {self.limits.zones.get(a.engine) for a in (ran[0], attempt)}
            if effect == "guarded" and len(zones) > 1:
                self.add_breach("2 repeats in group", attempt.delivered_at, name, "in another zone")

    def check_client_gone(self, name: str, history: RequestHistory) -> None:
        for attempt in history.attempts:
            if self.excuses.fault_active(
                attempt.first_byte_at, attempt.first_byte_at, attempt.engine, kinds=(FaultKind.LINK_UNREAD,)
            ):
                continue  # recorded when it was read, long after it was written
            late = (
                attempt.first_byte_at
                - history.left_at
                - CLIENT_GONE_SLACK
                - self.excuses.step_delay(attempt.engine, attempt.first_byte_at)
            )
            if late > self.excuses.allowance(history.front, history.left_at, attempt.first_byte_at):
                self.add_breach(
                    "client gone",
                    attempt.first_byte_at,
                    name,
                    f"an attempt {late + CLIENT_GONE_SLACK:.3f} s after the client's close",
                )

    def check_sent_deadline(self, name: str, history: RequestHistory) -> None:
        for attempt in history.attempts:
            if attempt.last_byte_at < inf:
                excess = attempt.sent_budget - (history.asked_at + history.budget - attempt.last_byte_at)
                excess -= self.excuses.step_delay(attempt.engine, attempt.last_byte_at)
                # Bytes on an unread link are recorded when they are read, long after they were written.
                unread = self.excuses.fault_active(
                    attempt.last_byte_at, attempt.last_byte_at, attempt.engine, kinds=(FaultKind.LINK_UNREAD,)
                )
                if not unread and excess > SENT_BUDGET_SLACK + self.excuses.allowance(
                    history.front, history.asked_at, attempt.last_byte_at
                ):
                    self.add_breach(
                        "deadline told", attempt.last_byte_at, name, f"{excess:.3f} s more than the time left"
                    )

    def check_held_states(self, name: str, history: RequestHistory) -> None:
        """Check each period in which a prefill state is held and no arrived decode attempt is in flight."""
        changes = [StateChange(at, StateStatus.FREE, at, released=True) for at in history.releases]
        changes += [StateChange(at, StateStatus.FREE, at) for at in history.fetches]
        for attempt in history.attempts:
            changes += self.state_changes(history, attempt)
            if attempt.outcome == "read" and attempt.closed_at < attempt.answered_at:
                self.check_late_prefill(name, history, attempt)
        since, status = inf, StateStatus.FREE
        changes.sort(key=lambda change: change.time)
        for change in [*changes, StateChange(self.run_end, StateStatus.FREE, self.run_end)]:
            if status is StateStatus.HELD:
                self.check_held_time(name, history, since, change.time)
            if change.status is StateStatus.ATTEMPT_ENDED and status is not StateStatus.IN_FLIGHT:
                continue
            if change.status is StateStatus.IN_FLIGHT and status is StateStatus.FREE:
                continue
            if change.status is StateStatus.FREE and change.released and status is StateStatus.IN_FLIGHT:
                continue  # a release does not free a state that a decode attempt waits for
            since = change.counted_from
            status = StateStatus.HELD if change.status is StateStatus.ATTEMPT_ENDED else change.status

    def state_changes(self, history: RequestHistory, attempt: Attempt) -> "list[StateChange]":
        if attempt.outcome == "read":
            if attempt.closed_at < attempt.answered_at:
                return []  # see check_late_prefill
            # Without its complete answer an attempt is in flight until it is given up, at the latest when its
            # budget is used up.
            given_up_at = min(attempt.closed_at, attempt.first_byte_at + attempt.sent_budget)
            answer_incomplete = attempt.passed_on_at == inf or attempt.closed_at < inf
            since = given_up_at if answer_incomplete else attempt.passed_on_at
            return [StateChange(attempt.answered_at, StateStatus.HELD, max(attempt.answered_at, since))]
        # Only attempts that an engine has read count; a relay, a kernel or a stopped process may hold others.
        arrived_at = attempt.delivered_at
        if arrived_at == inf or attempt.is_prefill or attempt.engine in self.prefill_engines:
            return []
        if attempt.outcome == "gone":
            return [
                StateChange(arrived_at, StateStatus.FREE, arrived_at)
            ]  # the engine has found no held state
        if attempt.outcome == "stream":
            return [StateChange(arrived_at, StateStatus.FREE, arrived_at)]
        seen_at = history.end_seen_at(attempt, CLOSE_DELAY)
        in_flight = StateChange(arrived_at, StateStatus.IN_FLIGHT, arrived_at)
        return (
            [in_flight, StateChange(seen_at, StateStatus.ATTEMPT_ENDED, attempt.ended_at)]
            if attempt.ended_at < inf
            else [in_flight]
        )

    def check_late_prefill(self, name: str, history: RequestHistory, late_attempt: Attempt) -> None:
        """Check the state of a prefill attempt that succeeded although its connection had been closed.

        The protocol specification: it is held like any other state, and the limit does not run while another
        attempt is in flight. The first event of a stream frees all states of the request. A state whose
        prefill attempt its engine read only after the close is freed by the engine itself.
        """
        if late_attempt.delivered_at > late_attempt.closed_at:
            return
        since = late_attempt.answered_at
        for attempt in sorted(history.attempts, key=lambda attempt: attempt.first_byte_at):
            if attempt.delivered_at <= since + self.limits.held_limit and since < attempt.ended_at < inf:
                since = attempt.ended_at
        freed = [*history.releases, *history.fetches]
        freed_at = [time for time in freed if time >= late_attempt.answered_at]
        freed_at += [
            a.answered_at
            for a in history.attempts
            if a.outcome == "stream" and a.answered_at >= late_attempt.answered_at
        ]
        self.check_held_time(name, history, since, min(freed_at, default=self.run_end))

    def check_held_time(self, name: str, history: RequestHistory, since: float, until: float) -> None:
        limit = self.limits.held_limit + HELD_SLACK + self.excuses.allowance(history.front, since, until)
        excused = self.excuses.killed(history.front, history.asked_at, since + limit) or any(
            exited.front == history.front and history.asked_at <= exited.time <= since + limit
            for exited in self.excuses.exit_records
        )
        if until - since > limit and since + limit < self.run_end and not excused:
            self.add_breach("5 held", since + limit, name, f"held for {until - since:.3f} s")

    def check_drains(self) -> None:
        """Check that no attempt goes to a draining engine after the grace period.

        It starts when a front node's discovery announces the drain, and is longer if a fault delayed that.
        """
        for drain_record in self.records:
            if drain_record.kind is not RecordKind.DRAINED:
                continue
            is_delayed = self.excuses.fault_active(
                drain_record.time - 2.0,
                drain_record.time + 1.0,
                drain_record.front,
                kinds=DISCOVERY_DELAY_FAULTS,
            )
            last_fault_end = max(
                (
                    t.time + t.value
                    for t in self.excuses.fault_records
                    if t.front == drain_record.front and t.time <= drain_record.time + LIST_CHANGE_SLACK
                ),
                default=drain_record.time,
            )
            limit = (
                max(drain_record.time, last_fault_end) + LIST_CHANGE_SLACK
                if is_delayed
                else drain_record.time + self.limits.drain_grace
            )
            for name, history in self.histories.items():
                for attempt in history.attempts:
                    late = attempt.first_byte_at - limit
                    if (
                        history.front == drain_record.front
                        and attempt.engine == drain_record.engine
                        and late
                        > self.excuses.allowance(drain_record.front, limit - 0.5, attempt.first_byte_at)
                    ):
                        self.add_breach(
                            "3 drain",
                            attempt.first_byte_at,
                            name,
                            f"to {drain_record.engine}, {late:.3f} s past the grace period",
                        )

    def check_slow_start(self) -> None:
        budget = self.limits.cold_budget
        max_attempts = budget + (3 * sqrt(budget) + 3 if budget < 30 else 2 * sqrt(budget) + 2)
        for cold in self.records:
            if cold.kind is not RecordKind.COLD:
                continue
            times = sorted(
                a.first_byte_at
                for history in self.histories.values()
                for a in history.attempts
                if a.engine == cold.engine
                and cold.time <= a.first_byte_at < cold.time + self.limits.warm_after
            )
            for index, at in enumerate(times):
                count = sum(at <= other < at + self.limits.cold_window for other in times[index:])
                if count > max_attempts:
                    self.add_breach(
                        "4 cold", at, "", f"{cold.engine} got {count}, {max_attempts:.1f} are allowed"
                    )
                    break

    def check_event_delays(self) -> None:
        """Check how long front nodes took for events, from when the link passed them on.

        Delays before that are the link's.
        """
        link_delays = {
            (record.request, record.text): record.value
            for record in self.records
            if record.kind is RecordKind.EVENT_ON_THE_WAY
        }
        for record in self.records:
            if record.kind is not RecordKind.LATE_EVENT:
                continue
            held_back = record.value - link_delays.get((record.request, record.text), 0.0)
            front = self.histories[record.request].front
            since = record.time - held_back
            if held_back - EVENT_SLACK > self.excuses.allowance(front, since, record.time):
                self.add_breach("event held back", record.time, record.request, f"{held_back:.3f} s")

    def check_processes(self) -> None:
        first: dict[str, Record] = {}
        for record in self.records:
            if record.kind is RecordKind.EXIT and record.text:
                self.add_breach(
                    "crash", record.time, record.front, f"status {record.value:.0f}, {record.text}"
                )
            elif record.kind is RecordKind.WAITED:
                excess = record.value - BAD_CLIENT_TIMEOUT
                if excess > self.excuses.allowance(record.front, record.time - record.value, record.time):
                    self.add_breach(
                        "bad client", record.time, record.front, f"waited for {record.value:.3f} s"
                    )
            elif (
                record.kind is RecordKind.LOG
                and any(word in record.text for word in JUDGED_BY_RECORDS)
                and (
                    self.excuses.fault_active(record.time, record.time, record.front, kinds=STOP_FAULTS)
                    or self.excuses.soak_lagged(record.time)
                )
            ):
                continue  # the front node or the soak was stopped meanwhile: the records are judged instead
            elif record.kind is RecordKind.LOG and self.excuses.overdue_within_stall_allowance(record):
                continue  # the specification allows stops of 0.15 s
            elif record.kind is RecordKind.LOG:
                self.add_breach("log", record.time, record.request or record.front, record.text[:600])
            elif record.kind is RecordKind.MEASURE:
                baseline = first.setdefault(record.front, record)
                crowd_active = self.excuses.fault_active(
                    record.time, record.time, record.front, kinds=(FaultKind.CROWD,)
                )
                if record.value > MAX_DESCRIPTORS or (
                    record.value > baseline.value + MAX_DESCRIPTOR_GROWTH and not crowd_active
                ):
                    self.add_breach(
                        "descriptors",
                        record.time,
                        record.front,
                        f"{baseline.value:.0f} to {record.value:.0f}",
                    )
                if int(record.text) > int(baseline.text) + MAX_MEMORY_GROWTH_KB:
                    self.add_breach(
                        "memory", record.time, record.front, f"{baseline.text} to {record.text} kB"
                    )
