"""Judges a run by its records: the users' rules and terms. Shares no code with the program."""

import re
from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass, field
from math import inf, sqrt
from signal import SIGKILL

from heathford.soak.plan import FaultKind
from heathford.soak.records import Record, RecordKind
from heathford.soak.relay import STEP_INTERVAL
from heathford.soak.request_history import Attempt, StateStatus, StateChange, RequestHistory, build_histories

ANSWER_SLACK = 0.5  # s past a client's time within which an answer only earns nothing
HELD_SLACK = 0.3  # s beyond the pin limit
CLIENT_GONE_SLACK = 0.1  # s after a client's close
SENT_BUDGET_SLACK = 0.15  # s by which the deadline told may be more than what is left
EVENT_SLACK = 0.3  # s in which an event is passed on
LIST_CHANGE_SLACK = 6.0  # s after which a list change counts, whatever failed
BAD_CLIENT_TIMEOUT = 3.0  # s in which a client that asks nothing whole is owed an answer or a close
STALL_ALLOWANCE = 0.15  # s for which a front node may be held up
ORDER_TOLERANCE = 0.005  # s in which the soak's own order of two connections says nothing
SOAK_LAG_THRESHOLD = (
    0.1  # s that the soak may be behind before what front nodes say of time is left to the records
)
SOAK_SLACK = 0.03  # s: the soak's own turns, where its lag says nothing
FAULT_AFTEREFFECT = 1.0  # s before a time in which a trouble may still be felt there
REFUSAL_STATUSES = (429, 503)
OVERDUE_LOG_LINE = re.compile(r'"completion": "([^"]+)".*"event": "overdue"')
JUDGED_BY_RECORDS = ("overdue", '"HELD"', "'HELD'")
STOP_FAULTS = (
    FaultKind.STOP_SHORT,
    FaultKind.STOP_AMID_END,
    FaultKind.STOP_LONG,
)  # all but the last for HELD_UP at most
NEW_CONNECTIONS_PERIOD = 0.4  # s after SIGTERM up to which the pages have clients open new connections
ACCEPT_PERIOD = 0.7  # s after SIGTERM up to which a request that SIGKILL finds unanswered is not lost
EXIT_SLACK = 0.1  # s between a process's end and what its clients and the soak see of it
MAX_TERMINATION_TIME = 4.0  # s from SIGTERM to the kill at most, and a little
STREAM_BREAKING_FAULTS = (  # troubles that end a stream: its connections break, or its engine says nothing
    FaultKind.LINK_RESET,
    FaultKind.LINK_CUT,
    FaultKind.LINK_REFUSED,
    FaultKind.LINK_SILENT,
    FaultKind.LINK_UNREAD,
    FaultKind.LINK_BREAKS,
    FaultKind.ENGINE_STOPPED,
)
DISCOVERY_DELAY_FAULTS = (  # troubles by which a change of the list is told later: the pages count 6 s then
    FaultKind.DISCOVERY_SILENT,
    FaultKind.DISCOVERY_SLOW,
    FaultKind.DISCOVERY_RESET,
    FaultKind.RELOAD,
    FaultKind.SIGNAL_SERIES,
    FaultKind.LINK_BREAKS,
    FaultKind.CONNECT_FAILS,
)
MAX_DESCRIPTOR_GROWTH = 120
MAX_DESCRIPTORS = 400  # as the soak's configuration limits them
MAX_MEMORY_GROWTH_KB = 40_000  # kB


@dataclass(frozen=True)
class Limits:
    """As the settings say; times in s. effects: by class, as the settings name them."""

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
    rule: str
    time: float
    request: str
    detail: str


class Oracle:
    """One run. Breaches are in the order of the checks."""

    def __init__(self, records: Iterable[Record], limits: Limits) -> None:
        self.records = sorted(records, key=lambda record: record.time)
        self.limits = limits
        self.breaches: list[Breach] = []
        self.resent = 0  # requests whose kept connection ended under them: sent once more by clients
        self.histories = build_histories(self.records)
        self.fault_records = [record for record in self.records if record.kind is RecordKind.TROUBLE]
        self.prefill_engines = {
            r.engine for r in self.records if r.kind is RecordKind.DELIVERED and r.text == "prefill"
        }
        self.termination_records = [record for record in self.records if record.kind is RecordKind.ENDING]
        self.exit_records = [record for record in self.records if record.kind is RecordKind.EXIT]
        self.lag_records = [record for record in self.records if record.kind is RecordKind.LAG]
        self.run_end = self.records[-1].time if self.records else 0.0

    # What excuses.

    def fault_active(
        self, since: float, until: float, *names: str, kinds: Sequence[FaultKind] = tuple(FaultKind)
    ) -> bool:
        """A trouble of such a kind at one of these was felt in that time; without names, at anything."""
        known = {kind.name for kind in kinds}
        return any(
            fault.text in known
            and fault.time <= until
            and fault.time + fault.value + FAULT_AFTEREFFECT >= since
            and (not names or fault.front in names or fault.engine in names)
            for fault in self.fault_records
        )

    def allowance(self, front: str, since: float, until: float) -> float:
        """s for which the front node was stopped, or the soak itself behind."""
        return self.stopped_time(front, since, until) + self.soak_lag(since, until) + SOAK_SLACK

    def soak_lag(self, since: float, until: float) -> float:
        """s by which the soak's own turns were late then: what takes several turns meets them all."""
        return sum(lag.value for lag in self.lag_records if since <= lag.time <= until + 1.0)

    def overdue_within_stall_allowance(self, record: Record) -> bool:
        """It says that it answered by its last resort, and the answer came no later than a hold-up past the
        client's time."""
        found = OVERDUE_LOG_LINE.search(record.text)
        history = self.histories.get(found[1]) if found else None
        return history is not None and any(
            answer.time
            <= history.asked_at
            + history.budget
            + STALL_ALLOWANCE
            + self.soak_lag(history.asked_at, answer.time)
            for answer in history.answers
        )

    def step_delay(self, engine: str, at: float) -> float:
        """s by which the relay of a link that is read in steps may note bytes and closes too late."""
        felt = self.fault_active(at, at, engine, kinds=(FaultKind.LINK_STEPS,))
        return STEP_INTERVAL if felt else 0.0

    def soak_lagged(self, at: float) -> bool:
        """The soak itself answered so late then that front nodes had to count it."""
        return any(abs(lag.time - at) <= 1.0 and lag.value > SOAK_LAG_THRESHOLD for lag in self.lag_records)

    def stopped_time(self, front: str, since: float, until: float) -> float:
        """s of that time for which the front node was stopped."""
        names = {kind.name for kind in STOP_FAULTS}
        seconds = 0.0
        for fault in self.fault_records:
            if fault.front == front and fault.text in names:
                long = fault.text == FaultKind.STOP_LONG.name
                end = fault.time + (fault.value if long else min(fault.value, STALL_ALLOWANCE))
                seconds += max(0.0, min(until, end) - max(since, fault.time))
        return seconds

    def stopped_too_long(self, front: str, since: float, until: float) -> bool:
        """It was stopped for longer than the pages allow, in that time or since it was told to end: then it
        does not know how soon it is killed."""
        told = [record.time for record in self.termination_records if record.front == front]
        ends = [time for time in told if until - MAX_TERMINATION_TIME <= time <= until]
        return self.stopped_time(front, min([since, *ends]), until) > STALL_ALLOWANCE + SOAK_SLACK

    def connected_too_late(self, history: RequestHistory) -> bool:
        """It came first on a connection that was opened later after SIGTERM than the pages have it, to the
        process that was told to end: one that has started since owes it an answer."""
        told = [
            r.time
            for r in self.termination_records
            if r.front == history.front and r.time <= history.asked_at
        ]
        if not told:
            return False
        ended = any(
            ended.front == history.front and told[-1] < ended.time <= history.asked_at
            for ended in self.exit_records
        )
        return not ended and history.asked_at > told[-1] + NEW_CONNECTIONS_PERIOD

    def killed(self, front: str, since: float, until: float) -> bool:
        return any(
            t.front == front and t.text == FaultKind.KILL.name and since - 0.1 <= t.time <= until
            for t in self.fault_records
        )

    def killed_while_terminating(self, history: RequestHistory, at: float) -> bool:
        """The protocol page, "Figures": what SIGKILL finds unanswered after SIGTERM is lost if it came more
        than 0.7 s after SIGTERM, and not otherwise."""
        return any(
            ended.front == history.front
            and ended.value == -SIGKILL
            and abs(ended.time - at) <= EXIT_SLACK
            and history.asked_at <= told.time + ACCEPT_PERIOD
            for ended in self.exit_records
            for told in self.termination_records
            if told.front == history.front and 0.0 <= ended.time - told.time <= MAX_TERMINATION_TIME
        )

    def add_breach(self, rule: str, time: float, request: str, detail: str) -> None:
        self.breaches.append(Breach(rule, time, request, detail))

    # The checks.

    def judge(self) -> list[Breach]:
        for name, history in self.histories.items():
            if history.asked_at < inf:
                self.check_one_answer(name, history)
                self.check_effects(name, history)
                self.check_client_gone(name, history)
                self.check_sent_deadline(name, history)
                self.check_held_states(name, history)
        self.check_drains()
        self.check_slow_start()
        self.check_event_delays()
        self.check_processes()
        return self.breaches

    def check_one_answer(self, name: str, history: RequestHistory) -> None:
        if len(history.answers) > 1:
            self.add_breach("1 one answer", history.answers[1].time, name, "a second final answer")
        due = history.asked_at + history.budget + ANSWER_SLACK
        excused = self.killed(history.front, history.asked_at, due + 1.0) or self.fault_active(
            history.asked_at, due, history.front, kinds=(FaultKind.LINK_BREAKS,)
        )
        for lost in history.lost:
            if (
                excused
                or history.left_at < inf
                or self.stopped_too_long(history.front, history.asked_at, lost.time)
            ):
                continue  # the pages: a front node may be held up for 0.15 s, not for longer
            unread = not history.attempts  # the pages: it is sent once more where it was not read
            crowded = self.fault_active(lost.time, lost.time, history.front, kinds=(FaultKind.CROWD,))
            uncalled = lost.text == "new" and self.connected_too_late(history)
            if unread and (lost.text == "reused" or crowded or uncalled):
                self.resent += 1
            else:
                self.add_breach("1 one answer", lost.time, name, f"lost: {lost.text}")
        for answer in history.answers:
            late = answer.time - due
            if answer.value != 200 and late > self.allowance(history.front, history.asked_at, answer.time):
                self.add_breach("1 in time", answer.time, name, f"{answer.value:.0f}, {late:.2f} s late")
        for cut in history.cuts:
            engines = [attempt.engine for attempt in history.attempts]
            if (
                not excused
                and history.left_at == inf
                and not self.killed_while_terminating(history, cut.time)
                and not self.stopped_too_long(history.front, history.asked_at, cut.time)
                and not self.fault_active(
                    history.asked_at, cut.time, history.front, *engines, kinds=STREAM_BREAKING_FAULTS
                )
            ):
                self.add_breach("1 one answer", cut.time, name, "a stream was cut without any trouble")

    def check_effects(self, name: str, history: RequestHistory) -> None:
        for earlier, later in zip(history.attempts, history.attempts[1:], strict=False):
            overlap = min(earlier.ended_at, later.last_byte_at) if later.last_byte_at < inf else inf
            # A relay that does not read sees neither when an attempt was written nor when it was closed.
            unseen = self.fault_active(
                earlier.first_byte_at,
                later.last_byte_at,
                earlier.engine,
                later.engine,
                kinds=(FaultKind.LINK_UNREAD,),
            )
            # A close and a send of the same moment reach the relay on two connections, in either order.
            apart = earlier.ended_at - later.last_byte_at > ORDER_TOLERANCE + self.step_delay(
                earlier.engine, later.last_byte_at
            )
            if (
                earlier.last_byte_at < later.last_byte_at < inf
                and overlap == later.last_byte_at
                and apart
                and not unseen
            ):
                self.add_breach(
                    "2 no two out",
                    later.last_byte_at,
                    name,
                    f"{earlier.engine} is out, {later.engine} gets it",
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
                    f"{effect}: refused, has run at {ran[0].engine}",
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
            if self.fault_active(
                attempt.first_byte_at, attempt.first_byte_at, attempt.engine, kinds=(FaultKind.LINK_UNREAD,)
            ):
                continue  # noted when it was read, long after it was written
            late = (
                attempt.first_byte_at
                - history.left_at
                - CLIENT_GONE_SLACK
                - self.step_delay(attempt.engine, attempt.first_byte_at)
            )
            if late > self.allowance(history.front, history.left_at, attempt.first_byte_at):
                self.add_breach(
                    "client gone",
                    attempt.first_byte_at,
                    name,
                    f"an attempt {late + CLIENT_GONE_SLACK:.3f} s after its close",
                )

    def check_sent_deadline(self, name: str, history: RequestHistory) -> None:
        for attempt in history.attempts:
            if attempt.last_byte_at < inf:
                more = attempt.sent_budget - (history.asked_at + history.budget - attempt.last_byte_at)
                more -= self.step_delay(attempt.engine, attempt.last_byte_at)
                # An unread link's bytes are noted when they are read, long after they were written.
                unread = self.fault_active(
                    attempt.last_byte_at, attempt.last_byte_at, attempt.engine, kinds=(FaultKind.LINK_UNREAD,)
                )
                if not unread and more > SENT_BUDGET_SLACK + self.allowance(
                    history.front, history.asked_at, attempt.last_byte_at
                ):
                    self.add_breach(
                        "deadline told", attempt.last_byte_at, name, f"{more:.3f} s more than is left"
                    )

    def check_held_states(self, name: str, history: RequestHistory) -> None:
        """Each time in which a state is held and no attempt that has arrived is out."""
        steps = [StateChange(at, StateStatus.FREE, at, released=True) for at in history.releases]
        for attempt in history.attempts:
            steps += self.state_changes(history, attempt)
            if attempt.outcome == "read" and attempt.closed_at < attempt.answered_at:
                self.check_late_prefill(name, history, attempt)
        since, status = inf, StateStatus.FREE
        steps.sort(key=lambda step: step.time)
        for step in [*steps, StateChange(self.run_end, StateStatus.FREE, self.run_end)]:
            if status is StateStatus.HELD:
                self.check_held_time(name, history, since, step.time)
            if step.status is StateStatus.ATTEMPT_ENDED and status is not StateStatus.IN_FLIGHT:
                continue
            if step.status is StateStatus.IN_FLIGHT and status is StateStatus.FREE:
                continue
            if step.status is StateStatus.FREE and step.released and status is StateStatus.IN_FLIGHT:
                continue  # the bench page: a release leaves what an attempt waits for
            since = step.counted_from
            status = StateStatus.HELD if step.status is StateStatus.ATTEMPT_ENDED else step.status

    def state_changes(self, history: RequestHistory, attempt: Attempt) -> "list[StateChange]":
        if attempt.outcome == "read":
            if attempt.closed_at < attempt.answered_at:
                return []  # judged by `late_read`
            # Without its whole answer the attempt is out until it is given up, at its time at the latest.
            given_up = min(attempt.closed_at, attempt.first_byte_at + attempt.sent_budget)
            unheard = attempt.passed_on_at == inf or attempt.closed_at < inf
            since = given_up if unheard else attempt.passed_on_at
            return [StateChange(attempt.answered_at, StateStatus.HELD, max(attempt.answered_at, since))]
        # Only what an engine has read is out: a relay, a kernel or a stopped process may keep the rest.
        arrived = attempt.delivered_at
        if arrived == inf or attempt.is_prefill or attempt.engine in self.prefill_engines:
            return []
        if attempt.outcome == "gone":
            return [
                StateChange(arrived, StateStatus.FREE, arrived)
            ]  # its engine has found that nothing is held
        if attempt.outcome == "stream":
            return [StateChange(arrived, StateStatus.FREE, arrived)]
        out = StateChange(arrived, StateStatus.IN_FLIGHT, arrived)
        return (
            [out, StateChange(attempt.ended_at, StateStatus.ATTEMPT_ENDED, attempt.ended_at)]
            if attempt.ended_at < inf
            else [out]
        )

    def check_late_prefill(self, name: str, history: RequestHistory, read: Attempt) -> None:
        """The protocol page: what a read has left that ended well as its connection was closed is held like
        any other state. While another attempt is out the limit does not run; by the bench page all goes with
        a stream's first event, and by itself what a read leaves that its engine got after it was given up."""
        if read.delivered_at > read.closed_at:
            return
        since = read.answered_at
        for attempt in sorted(history.attempts, key=lambda attempt: attempt.first_byte_at):
            if attempt.delivered_at <= since + self.limits.held_limit and since < attempt.ended_at < inf:
                since = attempt.ended_at
        ends = [time for time in history.releases if time >= read.answered_at]
        ends += [
            a.answered_at
            for a in history.attempts
            if a.outcome == "stream" and a.answered_at >= read.answered_at
        ]
        self.check_held_time(name, history, since, min(ends, default=self.run_end))

    def check_held_time(self, name: str, history: RequestHistory, since: float, until: float) -> None:
        limit = self.limits.held_limit + HELD_SLACK + self.allowance(history.front, since, until)
        excused = self.killed(history.front, history.asked_at, since + limit) or any(
            ended.front == history.front and history.asked_at <= ended.time <= since + limit
            for ended in self.exit_records
        )
        if until - since > limit and since + limit < self.run_end and not excused:
            self.add_breach("5 held", since + limit, name, f"held for {until - since:.3f} s")

    def check_drains(self) -> None:
        """From when a front node's discovery has told of it; later where that or the front was in trouble."""
        for told in self.records:
            if told.kind is not RecordKind.DRAINED:
                continue
            troubled = self.fault_active(
                told.time - 2.0, told.time + 1.0, told.front, kinds=DISCOVERY_DELAY_FAULTS
            )
            most = max(
                (
                    t.time + t.value
                    for t in self.fault_records
                    if t.front == told.front and t.time <= told.time + LIST_CHANGE_SLACK
                ),
                default=told.time,
            )
            limit = (
                max(told.time, most) + LIST_CHANGE_SLACK if troubled else told.time + self.limits.drain_grace
            )
            for name, history in self.histories.items():
                for attempt in history.attempts:
                    late = attempt.first_byte_at - limit
                    if (
                        history.front == told.front
                        and attempt.engine == told.engine
                        and late > self.allowance(told.front, limit - 0.5, attempt.first_byte_at)
                    ):
                        self.add_breach(
                            "3 drain",
                            attempt.first_byte_at,
                            name,
                            f"to {told.engine}, {late:.3f} s past the grace",
                        )

    def check_slow_start(self) -> None:
        budget = self.limits.cold_budget
        most = budget + (3 * sqrt(budget) + 3 if budget < 30 else 2 * sqrt(budget) + 2)
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
            for place, at in enumerate(times):
                count = sum(at <= other < at + self.limits.cold_window for other in times[place:])
                if count > most:
                    self.add_breach("4 cold", at, "", f"{cold.engine} got {count}, {most:.1f} are allowed")
                    break

    def check_event_delays(self) -> None:
        """An event's time counts from when its link passed it on: a cut holds it back before that."""
        on_the_way = {
            (record.request, record.text): record.value
            for record in self.records
            if record.kind is RecordKind.EVENT_ON_THE_WAY
        }
        for record in self.records:
            if record.kind is not RecordKind.LATE_EVENT:
                continue
            held_back = record.value - on_the_way.get((record.request, record.text), 0.0)
            front = self.histories[record.request].front
            since = record.time - held_back
            if held_back - EVENT_SLACK > self.allowance(front, since, record.time):
                self.add_breach("event held back", record.time, record.request, f"{held_back:.3f} s")

    def check_processes(self) -> None:
        first: dict[str, Record] = {}
        for record in self.records:
            if record.kind is RecordKind.EXIT and record.text:
                self.add_breach(
                    "crash", record.time, record.front, f"status {record.value:.0f}, {record.text}"
                )
            elif record.kind is RecordKind.WAITED:
                over = record.value - BAD_CLIENT_TIMEOUT
                if over > self.allowance(record.front, record.time - record.value, record.time):
                    self.add_breach(
                        "bad client", record.time, record.front, f"waited for {record.value:.3f} s"
                    )
            elif (
                record.kind is RecordKind.LOG
                and any(word in record.text for word in JUDGED_BY_RECORDS)
                and (
                    self.fault_active(record.time, record.time, record.front, kinds=STOP_FAULTS)
                    or self.soak_lagged(record.time)
                )
            ):
                continue  # its time went by while it, or the soak, stood still: the records are judged
            elif record.kind is RecordKind.LOG and self.overdue_within_stall_allowance(record):
                continue  # the pages: a front node may be held up for 0.15 s
            elif record.kind is RecordKind.LOG:
                self.add_breach("log", record.time, record.request or record.front, record.text[:600])
            elif record.kind is RecordKind.MEASURE:
                begin = first.setdefault(record.front, record)
                crowded = self.fault_active(record.time, record.time, record.front, kinds=(FaultKind.CROWD,))
                if record.value > MAX_DESCRIPTORS or (
                    record.value > begin.value + MAX_DESCRIPTOR_GROWTH and not crowded
                ):
                    self.add_breach(
                        "descriptors",
                        record.time,
                        record.front,
                        f"{begin.value:.0f} to {record.value:.0f}",
                    )
                if int(record.text) > int(begin.text) + MAX_MEMORY_GROWTH_KB:
                    self.add_breach("memory", record.time, record.front, f"{begin.text} to {record.text} kB")
