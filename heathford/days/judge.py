"""Check the five rules of the router against a recording.

Reads nothing else and shares no code with the front node. All times of a recording are of one clock. Two
events recorded within SIMULTANEOUS of each other can't be ordered: one turn of the recorder's event loop may
record them in either order. Events during a pause of the recorder are recorded late, so the length of such
pauses is subtracted from the time that an answer took or a prefill state was held.
"""

from bisect import bisect_left
from collections.abc import Iterable
from dataclasses import dataclass, field
from itertools import pairwise
from math import sqrt
from typing import Any

SIMULTANEOUS = 0.005  # s: one turn of the recorder's event loop under load
ANSWER_SLACK = 0.05  # s after the deadline at which a final answer may be recorded: the client's event loop
CLOSE_RACE = 0.1  # s within which a request and the close of its session may cross on the way
SIGMAS_ALLOWED = 2.0  # standard deviations by which attempts may exceed a cold engine's budget by chance
# A cold engine's budget counts as exceeded only if at least this share of the attempts came from front nodes
# that had been notified of its start.
MIN_INFORMED_SHARE = 2 / 3

Event = dict[str, Any]
CHECKS = {
    "1 one final answer": "each request accepted by a running front node has exactly one final answer",
    "1 in time": "it comes before the client timeout, or its stream starts by then and ends within its limit",
    "1 nothing after": "nothing is sent for a request after its final answer",
    "1 whole text": "the tokens sent are the answer's, none missing and none repeated",
    "2 no two out": "no two attempts of a request are in flight at once",
    "2 no effect twice": "non-idempotent: no attempt after one that may have run",
    "2 repeats in group": "tokened: retries only inside the group and the memory time",
    "2 harmless refusals": "rate-limited only where no attempt may have run, or engines recognize repeats",
    "3 drains kept": "no new attempt at an engine later than the grace after the front node was notified",
    "4 cold engines": "no cold engine gets more than its budget from all front nodes together",
    "5 nothing pinned": "a prefill state with no attempt in flight is fetched or released within the limit",
}


@dataclass
class Finding:
    """A violation of one check."""

    check: str
    time: float
    message: str


@dataclass
class Attempt:
    """One attempt at an engine, as the relay between it and the front node recorded it."""

    name: str
    front: str
    engine: str
    sent_at: float
    workload: str
    is_prefill: bool
    prefill_name: str | None  # the prefill attempt whose state it fetches
    idempotency_key: str = ""  # by which engines recognize repeats
    ended_at: float | None = None
    outcome: str = ""  # answered, closed by the front node, or broken by the engine
    status: int = 0
    first_chunk_at: float | None = None
    state_gone: bool = False  # the engine answered that the prefill state is gone

    @property
    def request_name(self) -> str:
        return self.name.rpartition(".")[0]

    @property
    def never_ran(self) -> bool:
        return self.is_prefill or (
            self.outcome == "answered" and (self.status in (429, 503) or self.state_gone)
        )


@dataclass
class ClientRequest:
    """One request of a client, as recorded at the client's socket. A repeat is another ClientRequest."""

    session: str
    front: str
    id: Any
    workload: str
    sent_at: float
    timeout: float
    request_name: str = ""
    first_chunk_at: float | None = None
    chunks: list[Event] = field(default_factory=list)
    finals: list[Event] = field(default_factory=list)
    after_final: list[Event] = field(default_factory=list)
    left: bool = False  # no answer is owed: the client left, or its front node was killed
    session_closed: bool = False  # by the front node, before any final answer


class Judge:
    """Collects the events of a recording in their order, and checks what there is so far."""

    def __init__(self) -> None:
        self.rules: dict[str, float] = {}
        self.workloads: dict[str, Any] = {}
        self.engines: dict[str, Any] = {}
        self.client_requests: dict[tuple[str, Any], ClientRequest] = {}
        self.attempts: dict[tuple[str, str], Attempt] = {}
        self.releases: dict[str, list[float]] = {}  # times, by prefill attempt
        # Time, phase and start of each notification, by front node and engine.
        self.notifications: dict[tuple[str, str], list[tuple[float, str, str]]] = {}
        self.engine_starts: dict[str, list[tuple[float, str]]] = {}  # time and name of each start
        self.engine_exits: dict[str, list[float]] = {}
        self.front_exits: dict[str, list[float]] = {}
        self.unreachable_since: dict[tuple[str, str], list[float]] = {}  # by front node and engine
        self.has_store = False  # the front nodes' idempotency tables outlast their processes
        self.recording_gaps: list[tuple[float, float]] = []  # end and length of each pause of the recorder
        self.last_time = 0.0
        self.check_counts = dict.fromkeys(CHECKS, 0)

    def add_event(self, event: Event) -> None:
        """Add the next event. Raises KeyError or AttributeError for an event of no recording."""
        self.last_time = event["t"]
        getattr(self, "take_" + event["at"])(event["t"], event["what"], event)

    def take_day(self, t: float, kind: str, event: Event) -> None:
        if kind == "begin":
            self.rules, self.workloads, self.engines = event["rules"], event["workloads"], event["engines"]
            self.has_store = event.get("kept", False)
        elif kind == "started":
            self.engine_starts.setdefault(event["engine"], []).append((t, event["start"]))
        elif kind == "died":
            self.engine_exits.setdefault(event["engine"], []).append(t)
        elif kind in ("killed", "front ended"):
            self.front_exits.setdefault(event["front"], []).append(t)
            if kind == "killed":
                for request in self.client_requests.values():
                    request.left |= request.front == event["front"] and not request.finals
        elif kind == "cut":
            self.unreachable_since.setdefault((event["front"], event["engine"]), []).append(t)
        elif kind == "late":
            self.recording_gaps.append((t, event["by"]))

    def take_list(self, t: float, kind: str, event: Event) -> None:
        if kind == "told":
            notifications = self.notifications.setdefault((event["front"], event["engine"]), [])
            notifications.append((t, event["phase"], event["start"]))
        elif kind == "listed":
            for (front, engine), notifications in self.notifications.items():
                if front == event["front"] and engine not in event["engines"]:
                    notifications.append((t, "Gone", ""))

    def take_client(self, t: float, kind: str, event: Event) -> None:
        key = event.get("session", ""), event.get("id")
        if kind == "asked":
            self.client_requests[key] = ClientRequest(
                event["session"], event["front"], event["id"], event["workload"], t, event["timeout"]
            )
            return
        if kind == "closed":
            for request in self.client_requests.values():
                # Sent on a session that the front node was closing at that moment: never accepted.
                if request.session == event["session"] and not request.finals:
                    request.left |= t - request.sent_at < CLOSE_RACE
                    request.session_closed = True
            return
        request = self.client_requests.get(key)  # type: ignore[assignment]
        if request is None:
            return
        if kind == "chunk":
            (request.after_final if request.finals else request.chunks).append(event)
            request.first_chunk_at = request.first_chunk_at or t
            request.request_name = event["completion"]
        elif kind == "final":
            request.finals.append(event)
            request.request_name = event.get("completion") or request.request_name
        elif kind == "goes":  # recorded by the client itself: it is owed no answer
            request.left = True

    def take_engine(self, t: float, kind: str, event: Event) -> None:
        key = event["engine"], event["name"]
        if kind == "sent":
            self.attempts[key] = Attempt(
                event["name"],
                event["front"],
                event["engine"],
                t,
                event["workload"],
                event["reading"],
                event["state"],
                event.get("mark", ""),
            )
        elif kind == "let go":
            self.releases.setdefault(event["name"], []).append(t)
        elif key in self.attempts and kind == "first":
            self.attempts[key].first_chunk_at = t
        elif key in self.attempts and kind == "ended":
            attempt = self.attempts[key]
            attempt.ended_at, attempt.outcome, attempt.status, attempt.state_gone = (
                t,
                event["how"],
                event["status"],
                event["gone"],
            )

    def findings(self) -> list[Finding]:
        """Return the violations found in the events so far, by time, and count the checks made."""
        self.check_counts = dict.fromkeys(CHECKS, 0)
        violations: list[Finding] = []
        by_request: dict[str, list[Attempt]] = {}
        for attempt in self.attempts.values():
            by_request.setdefault(attempt.request_name, []).append(attempt)
        requests_by_name = {
            request.request_name: request for request in self.client_requests.values() if request.request_name
        }
        for request in self.client_requests.values():
            violations += self.check_final_answer(request)
        for request_name, group in by_request.items():
            group.sort(key=lambda a: a.sent_at)
            violations += self.check_effects(request_name, group, requests_by_name.get(request_name))
            violations += self.check_held_states(group)
        violations += self.check_repeats()
        violations += self.check_drains()
        violations += self.check_cold_engines()
        return sorted(violations, key=lambda finding: finding.time)

    def unrecorded_time(self, begin: float, end: float) -> float:
        """Return the seconds between the two in which the recorder was paused, and so recorded late."""
        low = bisect_left(self.recording_gaps, (begin, 0.0))
        high = bisect_left(self.recording_gaps, (end + SIMULTANEOUS, 0.0))
        return sum(by for _, by in self.recording_gaps[low : high + 1])

    def make_findings(self, check: str, violations: Iterable[tuple[float, str]]) -> list[Finding]:
        """Count one check made, and return its violations."""
        self.check_counts[check] += 1
        return [Finding(check, t, message) for t, message in violations]

    # Rule 1: each request has one final answer, in time.

    def check_final_answer(self, request: ClientRequest) -> list[Finding]:
        """Check one request as its client saw it. An answer is missing only once its deadline is over."""
        request_label = (
            f"{request.session}/{request.id} ({request.request_name or 'unnamed'}) at {request.front}"
        )
        deadline = request.sent_at + request.timeout + ANSWER_SLACK
        if request.first_chunk_at is not None and request.first_chunk_at <= deadline:
            deadline = request.first_chunk_at + self.rules["stream_limit"] + ANSWER_SLACK
        findings = []
        if (
            not request.left
            and not request.finals
            and (request.session_closed or self.last_time > deadline + 1.0)
        ):
            findings += self.make_findings(
                "1 one final answer", [(self.last_time, f"{request_label}: no final answer")]
            )
        else:
            findings += self.make_findings(
                "1 one final answer",
                [
                    (f["t"], f"{request_label}: another final answer: {f['final']}")
                    for f in request.finals[1:]
                ],
            )
        if request.finals:
            final = request.finals[0]
            took = final["t"] - request.sent_at
            findings += self.make_findings(
                "1 in time",
                [
                    (
                        final["t"],
                        f"{request_label}: {took:.3f} s after sending, "
                        f"client timeout {request.timeout:.3f} s",
                    )
                ]
                * (
                    final["t"] > deadline
                    and final["t"] - self.unrecorded_time(request.sent_at, final["t"]) > deadline
                ),
            )
            findings += self.make_findings(
                "1 nothing after", [(e["t"], f"{request_label}: a chunk") for e in request.after_final]
            )
            numbers = [
                token.rpartition("-")[2] for token in "".join(e["text"] for e in request.chunks).split()
            ]
            expected = [str(n + 1) for n in range(len(numbers))]
            is_wrong = numbers != expected or (
                final["final"] == "finished"
                and (not final.get("same", True) or len(numbers) != final.get("tokens", len(numbers)))
            )
            findings += self.make_findings(
                "1 whole text", [(final["t"], f"{request_label}: tokens {numbers[:50]}")] * is_wrong
            )
        return findings

    # Rule 2: no two attempts of a request in flight, and no effect twice.

    def check_effects(
        self, request_name: str, group: list[Attempt], request: ClientRequest | None
    ) -> list[Finding]:
        """Check the attempts of one request, in the order in which they were sent."""
        findings = []
        running: Attempt | None = None
        for attempt in group:
            overlaps = running is not None and self.may_overlap(running, attempt)
            previous = running.name if running else ""
            findings += self.make_findings(
                "2 no two out",
                [(attempt.sent_at, f"{attempt.name} to {attempt.engine} while {previous} is in flight")]
                * overlaps,
            )
            running = attempt
        settings = self.workloads[group[0].workload]
        effect = settings["effect"]
        may_have_run = [d for d in group if not d.never_ran]
        if effect == "non-idempotent":
            findings += self.make_findings(
                "2 no effect twice",
                [
                    (d.sent_at, f"{d.name} to {d.engine} after {may_have_run[0].name}, which may have run")
                    for d in group
                    if may_have_run and d.sent_at > may_have_run[0].sent_at
                ],
            )
        if effect == "tokened" and len(may_have_run) > 1:
            first = may_have_run[0]
            findings += self.make_findings(
                "2 repeats in group",
                [
                    (
                        d.sent_at,
                        f"{d.name} to {d.engine}, {d.sent_at - first.sent_at:.2f} s after {first.engine}",
                    )
                    for d in group
                    if not d.is_prefill
                    and d.sent_at > first.sent_at
                    and not (
                        self.in_same_group(settings["group"], first.engine, d.engine)
                        and d.sent_at - first.sent_at <= settings["memory_time"] + SIMULTANEOUS
                    )
                ],
            )
        if request and request.finals and request.finals[0]["final"] == "rate-limited":
            unsafe = effect == "non-idempotent" or (effect == "tokened" and settings["group"] != "all")
            findings += self.make_findings(
                "2 harmless refusals",
                [
                    (
                        request.finals[0]["t"],
                        f"{request_name} rate-limited after {d.name}, which may have run",
                    )
                    for d in may_have_run[:1]
                    if unsafe
                ],
            )
        return findings

    def may_overlap(self, before: Attempt, after: Attempt) -> bool:
        """Return whether `after` was sent while `before` was in flight, as far as their order is known."""
        if before.ended_at is None:
            return True
        return before.ended_at > after.sent_at + SIMULTANEOUS + self.unrecorded_time(
            after.sent_at, before.ended_at
        )

    def check_repeats(self) -> list[Finding]:
        """Check the attempts of requests with the same idempotency key at one front node.

        None is sent while one of another request is in flight, and no non-idempotent one is sent to a decode
        engine after one that may have run.
        """
        by_key: dict[tuple[str, str], list[Attempt]] = {}
        for attempt in self.attempts.values():
            if attempt.idempotency_key:
                by_key.setdefault((attempt.front, attempt.idempotency_key), []).append(attempt)
        findings = []
        for (front, idempotency_key), group in by_key.items():
            group.sort(key=lambda a: a.sent_at)
            for before, after in pairwise(group):
                overlapping = (
                    before.request_name != after.request_name
                    and self.may_overlap(before, after)
                    and not any(before.sent_at <= t <= after.sent_at for t in self.front_exits.get(front, []))
                )
                findings += self.make_findings(
                    "2 no two out",
                    [
                        (
                            after.sent_at,
                            f"{after.name} while {before.name} is in flight, both of key {idempotency_key}",
                        )
                    ]
                    * overlapping,
                )
            if self.workloads[group[0].workload]["effect"] != "non-idempotent":
                continue
            may_have_run = next((d for d in group if not d.never_ran), None)
            findings += self.make_findings(
                "2 no effect twice",
                [
                    (
                        d.sent_at,
                        f"{d.name} after {may_have_run.name}, which may have run, "
                        f"both of key {idempotency_key}",
                    )
                    for d in group
                    if may_have_run
                    and d.sent_at > may_have_run.sent_at
                    and d.request_name != may_have_run.request_name
                    and not d.is_prefill
                    and (
                        self.has_store
                        or not any(
                            may_have_run.sent_at <= t <= d.sent_at for t in self.front_exits.get(front, [])
                        )
                    )
                ],
            )
        return findings

    def in_same_group(self, group: str, a: str, b: str) -> bool:
        """Return whether two engines share their idempotency keys; group: "all", "zone" or "cell"."""
        return group == "all" or self.engines[a][group] == self.engines[b][group]

    # Rule 3: nothing new to a draining engine.

    def check_drains(self) -> list[Finding]:
        """Check that an engine gets no attempt later than the grace after the notice of its drain."""
        findings = []
        grace = self.rules["drain_grace"]
        for attempt in self.attempts.values():
            notifications = [
                notification
                for notification in self.notifications.get((attempt.front, attempt.engine), [])
                if notification[0] <= attempt.sent_at
            ]
            draining_since = None
            for t, phase, _ in notifications:
                if phase == "Running":
                    draining_since = None
                elif draining_since is None:
                    draining_since = t
            late = draining_since is not None and attempt.sent_at > draining_since + grace
            delay = attempt.sent_at - (draining_since or 0.0)
            findings += self.make_findings(
                "3 drains kept",
                [
                    (
                        attempt.sent_at,
                        f"{attempt.name} to {attempt.engine}, {delay:.2f} s after notice of its drain",
                    )
                ]
                * late,
            )
        return findings

    # Rule 4: slow start of cold engines.

    def check_cold_engines(self) -> list[Finding]:
        """Check, for each start of an engine, the attempts that it gets until it is warm."""
        findings = []
        rules = self.rules
        for engine, starts in self.engine_starts.items():
            for number, (started_at, start) in enumerate(starts):
                until = started_at + rules["warm_after"]
                if number + 1 < len(starts):
                    until = min(until, starts[number + 1][0])
                sent_attempts = sorted(
                    (d.sent_at, d.front)
                    for d in self.attempts.values()
                    if d.engine == engine and started_at <= d.sent_at < until
                )
                notified = {
                    front
                    for (front, name), notices in self.notifications.items()
                    if name == engine and any(s == start and t <= until for t, _, s in notices)
                }
                findings += self.make_findings(
                    "4 cold engines", self.find_excess(engine, started_at, sent_attempts, notified)[:1]
                )
        return findings

    def find_excess(
        self, engine: str, started_at: float, sent_attempts: list[tuple[float, str]], notified: set[str]
    ) -> list[tuple[float, str]]:
        """Return the times at which a cold engine got more than its budget, each with a message.

        sent_attempts: time and front node of each. notified: the front nodes notified of this start.
        """
        rules, capacity = self.rules, self.engines[engine]["sends"]
        violations = []
        low = 0
        for high, (t, _) in enumerate(sent_attempts):
            while sent_attempts[low][0] < t - rules["cold_window"]:
                low += 1
            age = max(0.0, t - rules["cold_window"] / 2 - started_at)
            warm_share = min(1.0, rules["cold_from"] + (1 - rules["cold_from"]) * age / rules["warm_after"])
            budget = rules["cold_multiple"] * warm_share * capacity * rules["cold_window"]
            count = high - low + 1
            informed_share = sum(front in notified for _, front in sent_attempts[low : high + 1]) / count
            if count > budget + SIGMAS_ALLOWED * sqrt(budget) and informed_share >= MIN_INFORMED_SHARE:
                violations.append(
                    (
                        t,
                        f"{count} attempts at {engine} within {rules['cold_window']:g} s, "
                        f"budget {budget:.1f}",
                    )
                )
        return violations

    # Rule 5: prefill states are held for a limited time.

    def check_held_states(self, group: list[Attempt]) -> list[Finding]:
        """Check how long the prefill states of one request are held while no attempt is in flight."""
        findings = []
        limit = self.rules["pin_limit"]
        for prefill in group:
            if (
                not (prefill.is_prefill and prefill.outcome == "answered" and prefill.status == 200)
                or prefill.ended_at is None
            ):
                continue
            since: float | None = prefill.ended_at
            release_times = [t for t in self.releases.get(prefill.name, []) if t >= prefill.sent_at]
            release_times += [t for t in self.engine_exits.get(prefill.engine, []) if t >= prefill.sent_at]
            release_times += [t for t in self.front_exits.get(prefill.front, []) if t >= prefill.sent_at]
            # At an engine that the front node can't reach, the engine's own limit releases the state.
            release_times += [
                t
                for t in self.unreachable_since.get((prefill.front, prefill.engine), [])
                if t >= prefill.sent_at
            ]
            released_at = min(release_times, default=None)
            for decode in [d for d in group if d.prefill_name == prefill.name]:
                if released_at is not None and released_at <= decode.sent_at:
                    break
                findings += self.check_hold_time(prefill, since, decode.sent_at, limit)
                since = decode.ended_at
                if decode.first_chunk_at is not None:
                    since = None
                    break
                if decode.ended_at is None:
                    since = None
            if since is not None:
                end = released_at if released_at is not None else self.last_time
                findings += self.check_hold_time(prefill, since, end, limit)
        return findings

    def check_hold_time(
        self, prefill: Attempt, since: float | None, until: float, limit: float
    ) -> list[Finding]:
        """Check one period without an attempt in flight; since: None if there was none."""
        exceeded = (
            since is not None
            and until - since > limit + SIMULTANEOUS
            and (until - since - self.unrecorded_time(since, until) > limit + SIMULTANEOUS)
        )
        return self.make_findings(
            "5 nothing pinned",
            [
                (
                    until,
                    f"{prefill.name} held at {prefill.engine} for {until - (since or 0.0):.3f} s, "
                    "no attempt in flight",
                )
            ]
            * exceeded,
        )


def judge(events: Iterable[Event]) -> Judge:
    """Return a judge that has all events of a recording."""
    judged = Judge()
    for event in events:
        judged.add_event(event)
    return judged


def judge_live(events: Iterable[Event], show: Any, interval: float = 5.0) -> Judge:
    """Check a recording while it is being written, and show each finding when it is first found.

    interval: seconds of the recording between two rounds of checks.
    """
    judged, shown, checked_at = Judge(), 0, 0.0
    for event in events:
        judged.add_event(event)
        if event["t"] - checked_at >= interval and judged.rules:
            checked_at = event["t"]
            violations = judged.findings()
            for finding in violations[shown:]:
                show(f"at {finding.time:.3f}: {finding.check}: {finding.message}")
            shown = max(shown, len(violations))
    return judged


def show_results(judged: Judge, show: Any, max_shown: int = 20) -> bool:
    """Show each check with its count and its first findings, and a summary; return whether all passed.

    max_shown: findings shown of each check.
    """
    violations = judged.findings()
    by_check: dict[str, list[Finding]] = {}
    for finding in violations:
        by_check.setdefault(finding.check, []).append(finding)
    for check, meaning in CHECKS.items():
        failures = by_check.get(check, [])
        show(
            f"{'FAILED' if failures else 'passed'}  {check}: {meaning} ({judged.check_counts[check]} checked"
            f"{f', {len(failures)} wrong' if failures else ''})"
        )
        for finding in failures[:max_shown]:
            show(f"    at {finding.time:.3f}: {finding.message}")
    show(f"{len(CHECKS) - len(by_check)} passed, {len(by_check)} failed")
    return not violations
