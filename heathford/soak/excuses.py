"""Faults and delays of a run that excuse what would break a rule otherwise."""

import re
from collections.abc import Iterable, Mapping, Sequence
from signal import SIGKILL

from heathford.soak.plan import FaultKind
from heathford.soak.records import Record, RecordKind
from heathford.soak.relay import STEP_INTERVAL
from heathford.soak.request_history import RequestHistory

STALL_ALLOWANCE = 0.15  # s for which a front node may be stopped, according to its specification
SOAK_LAG_THRESHOLD = 0.1  # s; with more lag the records are judged, not what front nodes log about time
SOAK_SLACK = 0.03  # s; covers lag of the soak below what it records
FAULT_AFTEREFFECT = 1.0  # s for which a fault may have effects after its end
OVERDUE_LOG_LINE = re.compile(r'"completion": "([^"]+)".*"event": "overdue"')
STOP_FAULTS = (
    FaultKind.STOP_SHORT,
    FaultKind.STOP_AMID_END,
    FaultKind.STOP_LONG,
)  # all but the last stop a front node for STALL_ALLOWANCE at most
NEW_CONNECTIONS_PERIOD = 0.4  # s after SIGTERM in which clients may still open new connections
ACCEPT_PERIOD = (
    0.7  # s after SIGTERM; SIGKILL may cut off the requests accepted until then, but no later ones
)
EXIT_SLACK = 0.1  # s between the end of a process and when its clients and the soak notice it
MAX_TERMINATION_TIME = 4.0  # s from SIGTERM to SIGKILL, with a margin
EVENT_DELAYING_FAULTS = (  # events reach the front node long after their engine wrote them
    FaultKind.LINK_SILENT,
    FaultKind.LINK_UNREAD,
    FaultKind.LINK_DELAY,
    FaultKind.LINK_DRIP,
    FaultKind.LINK_STEPS,
    FaultKind.ENGINE_STOPPED,
)


class Excuses:
    """Tells what the faults of a run, and the soak's own delays, excuse; times in s.

    records: in the order of time. histories: of the requests, by name.
    """

    def __init__(self, records: Iterable[Record], histories: Mapping[str, RequestHistory]) -> None:
        records = list(records)
        self.histories = histories
        self.fault_records = [record for record in records if record.kind is RecordKind.TROUBLE]
        self.termination_records = [record for record in records if record.kind is RecordKind.ENDING]
        self.exit_records = [record for record in records if record.kind is RecordKind.EXIT]
        self.lag_records = [record for record in records if record.kind is RecordKind.LAG]

    def fault_active(
        self, since: float, until: float, *names: str, kinds: Sequence[FaultKind] = tuple(FaultKind)
    ) -> bool:
        """Return whether a fault of these kinds had an effect between `since` and `until`.

        names: front nodes and engines that the fault has to affect; any if there are none.
        """
        kind_names = {kind.name for kind in kinds}
        return any(
            fault.text in kind_names
            and fault.time <= until
            and fault.time + fault.value + FAULT_AFTEREFFECT >= since
            and (not names or fault.front in names or fault.engine in names)
            for fault in self.fault_records
        )

    def allowance(self, front: str, since: float, until: float) -> float:
        """Return the seconds for which the front node was stopped or the soak itself was late."""
        return self.stopped_time(front, since, until) + self.soak_lag(since, until) + SOAK_SLACK

    def soak_lag(self, since: float, until: float) -> float:
        """Return the sum of the soak's event loop lag in s; work of several iterations meets all of it."""
        return sum(lag.value for lag in self.lag_records if since <= lag.time <= until + 1.0)

    def overdue_within_stall_allowance(self, record: Record) -> bool:
        """Return whether a log line reports an overdue answer that was late by a tolerated stall at most.

        The front node logs it when its last timer before the client's deadline had to answer.
        """
        match = OVERDUE_LOG_LINE.search(record.text)
        history = self.histories.get(match[1]) if match else None
        return history is not None and any(
            answer.time
            <= history.asked_at
            + history.budget
            + STALL_ALLOWANCE
            + self.soak_lag(history.asked_at, answer.time)
            for answer in history.answers
        )

    def step_delay(self, engine: str, at: float) -> float:
        """Return the seconds by which a relay under LINK_STEPS may record bytes and closes too late."""
        read_in_steps = self.fault_active(at, at, engine, kinds=(FaultKind.LINK_STEPS,))
        return STEP_INTERVAL if read_in_steps else 0.0

    def soak_lagged(self, at: float) -> bool:
        """Return whether the soak itself was so late that front nodes may have logged it as delays."""
        return any(abs(lag.time - at) <= 1.0 and lag.value > SOAK_LAG_THRESHOLD for lag in self.lag_records)

    def stopped_time(self, front: str, since: float, until: float) -> float:
        """Return the seconds between `since` and `until` for which the front node was stopped."""
        names = {kind.name for kind in STOP_FAULTS}
        seconds = 0.0
        for fault in self.fault_records:
            if fault.front == front and fault.text in names:
                is_long = fault.text == FaultKind.STOP_LONG.name
                end = fault.time + (fault.value if is_long else min(fault.value, STALL_ALLOWANCE))
                seconds += max(0.0, min(until, end) - max(since, fault.time))
        return seconds

    def stopped_too_long(self, front: str, since: float, until: float) -> bool:
        """Return whether the front node was stopped for longer than STALL_ALLOWANCE.

        Stops since its SIGTERM count as well: after a long one it does not know how soon SIGKILL follows.
        """
        all_terminations = [record.time for record in self.termination_records if record.front == front]
        recent = [time for time in all_terminations if until - MAX_TERMINATION_TIME <= time <= until]
        return self.stopped_time(front, min([since, *recent]), until) > STALL_ALLOWANCE + SOAK_SLACK

    def connected_too_late(self, history: RequestHistory) -> bool:
        """Return whether the request was sent to a terminating process after NEW_CONNECTIONS_PERIOD.

        A process that has started since then has to answer it.
        """
        terminations = [
            r.time
            for r in self.termination_records
            if r.front == history.front and r.time <= history.asked_at
        ]
        if not terminations:
            return False
        has_exited = any(
            exited.front == history.front and terminations[-1] < exited.time <= history.asked_at
            for exited in self.exit_records
        )
        return not has_exited and history.asked_at > terminations[-1] + NEW_CONNECTIONS_PERIOD

    def killed(self, front: str, since: float, until: float) -> bool:
        """Return whether a plan's SIGKILL ended the front node between `since` and `until`."""
        return any(
            t.front == front and t.text == FaultKind.KILL.name and since - 0.1 <= t.time <= until
            for t in self.fault_records
        )

    def front_broken(self, history: RequestHistory, until: float) -> bool:
        """Return whether SIGKILL, or the front node's broken connections, excuse the end of a request."""
        return self.killed(history.front, history.asked_at, until + 1.0) or self.fault_active(
            history.asked_at, until, history.front, kinds=(FaultKind.LINK_BREAKS,)
        )

    def killed_while_terminating(self, history: RequestHistory, at: float) -> bool:
        """Return whether SIGKILL after SIGTERM excuses that the request is unanswered.

        The protocol specification, "Figures": requests that are unanswered at SIGKILL count as lost if they
        came more than 0.7 s after SIGTERM, and only then.
        """
        return any(
            exited.front == history.front
            and exited.value == -SIGKILL
            and abs(exited.time - at) <= EXIT_SLACK
            and history.asked_at <= termination.time + ACCEPT_PERIOD
            for exited in self.exit_records
            for termination in self.termination_records
            if termination.front == history.front
            and 0.0 <= exited.time - termination.time <= MAX_TERMINATION_TIME
        )

    def slow_stream_delayed(self, history: RequestHistory, until: float) -> bool:
        """Return whether a sound stream is written slowly, and faults of its link delay it further."""
        return history.last_attempt_slow and self.fault_active(
            history.asked_at, until, history.attempts[-1].engine, kinds=EVENT_DELAYING_FAULTS
        )
