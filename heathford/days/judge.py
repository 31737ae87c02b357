"""Judges the five rules over a recording. Reads nothing else and shares no code with the front.

Times on a recording are of one clock. Events that a relay notes within SAME of each other can't be ordered:
one turn of its loop may bring them in either order. Times in which the recorder says that it noted nothing
are taken off from how long a state was held or an answer took: what came in them was noted late.
"""

from bisect import bisect_left
from collections.abc import Iterable
from dataclasses import dataclass, field
from itertools import pairwise
from math import sqrt
from typing import Any

SAME = 0.005  # s: a turn of the relay's loop under load
SLACK = 0.05  # s beyond its client timeout at which a final answer may be noted: the client's own loop
CROSSING = 0.1  # s in which a question and the close of its session may cross
CHANCE = 2.0  # standard deviations of a cold engine's budget allowed for chance
TOLD_SHARE = 2 / 3  # of the work of a cold engine that came from fronts told of its start, for a breach

Event = dict[str, Any]
CHECKS = {
    "1 one final answer": "each completion that a running front took has exactly one final answer",
    "1 in time": "it comes before the client timeout, or its stream began by then and ends within its limit",
    "1 nothing after": "nothing is sent for a completion after its final answer",
    "1 whole text": "the tokens sent are the answer's, none missing and none twice",
    "2 no two out": "no two dispatches of a completion are out at once",
    "2 no effect twice": "non-idempotent: nothing after a dispatch that may have run",
    "2 repeats in group": "tokened: repeats only inside the group and the memory time",
    "2 harmless refusals": "rate-limited only where no dispatch may have run, or repeats are known",
    "3 drains kept": "nothing new to an engine later than the grace after the front was told",
    "4 cold engines": "no cold engine gets more than its budget from all fronts together",
    "5 nothing pinned": "a state with no dispatch out is sent or let go within the limit",
}


@dataclass
class Finding:
    check: str
    t: float
    what: str


@dataclass
class Dispatch:
    name: str
    front: str
    engine: str
    sent: float
    workload: str
    reading: bool
    state: str | None
    mark: str = ""  # by which repeats are known
    ended: float | None = None
    how: str = ""
    status: int = 0
    first: float | None = None
    gone: bool = False

    @property
    def completion(self) -> str:
        return self.name.rpartition(".")[0]

    @property
    def never_ran(self) -> bool:
        return self.reading or (self.how == "answered" and (self.status in (429, 503) or self.gone))


@dataclass
class Try:
    """One try of a client, as its own socket saw it."""

    session: str
    front: str
    id: Any
    workload: str
    asked: float
    timeout: float
    completion: str = ""
    first: float | None = None
    text: list[Event] = field(default_factory=list)
    finals: list[Event] = field(default_factory=list)
    after: list[Event] = field(default_factory=list)
    left: bool = False  # the client went, cancelled, or its front was killed
    closed: bool = False  # its session was closed by the front, before any final answer


class Judge:
    """Takes events in their order; findings() judges what there is by then."""

    def __init__(self) -> None:
        self.rules: dict[str, float] = {}
        self.workloads: dict[str, Any] = {}
        self.engines: dict[str, Any] = {}
        self.tries: dict[tuple[str, Any], Try] = {}
        self.dispatches: dict[tuple[str, str], Dispatch] = {}
        self.let_go: dict[str, list[float]] = {}
        self.told: dict[tuple[str, str], list[tuple[float, str, str]]] = {}
        self.starts: dict[str, list[tuple[float, str]]] = {}
        self.deaths: dict[str, list[float]] = {}
        self.killed: dict[str, list[float]] = {}
        self.cuts: dict[tuple[str, str], list[float]] = {}  # when a front could no longer reach an engine
        self.kept = False  # fronts have a store: what they knew outlasts them
        self.late: list[tuple[float, float]] = []  # when, and for how long before, nothing was noted
        self.last = 0.0
        self.counted = dict.fromkeys(CHECKS, 0)

    def add_event(self, event: Event) -> None:
        self.last = event["t"]
        getattr(self, "take_" + event["at"])(event["t"], event["what"], event)

    def take_day(self, t: float, what: str, event: Event) -> None:
        if what == "begin":
            self.rules, self.workloads, self.engines = event["rules"], event["workloads"], event["engines"]
            self.kept = event.get("kept", False)
        elif what == "started":
            self.starts.setdefault(event["engine"], []).append((t, event["start"]))
        elif what == "died":
            self.deaths.setdefault(event["engine"], []).append(t)
        elif what in ("killed", "front ended"):
            self.killed.setdefault(event["front"], []).append(t)
            if what == "killed":
                for one in self.tries.values():
                    one.left |= one.front == event["front"] and not one.finals
        elif what == "cut":
            self.cuts.setdefault((event["front"], event["engine"]), []).append(t)
        elif what == "late":
            self.late.append((t, event["by"]))

    def take_list(self, t: float, what: str, event: Event) -> None:
        if what == "told":
            told = self.told.setdefault((event["front"], event["engine"]), [])
            told.append((t, event["phase"], event["start"]))
        elif what == "listed":
            for (front, engine), told in self.told.items():
                if front == event["front"] and engine not in event["engines"]:
                    told.append((t, "Gone", ""))

    def take_client(self, t: float, what: str, event: Event) -> None:
        key = event.get("session", ""), event.get("id")
        if what == "asked":
            self.tries[key] = Try(
                event["session"], event["front"], event["id"], event["workload"], t, event["timeout"]
            )
            return
        if what == "closed":
            for one in self.tries.values():
                # Asked on a session that the front was closing at that moment: never taken.
                if one.session == event["session"] and not one.finals:
                    one.left |= t - one.asked < CROSSING
                    one.closed = True
            return
        one = self.tries.get(key)  # type: ignore[assignment]
        if one is None:
            return
        if what == "chunk":
            (one.after if one.finals else one.text).append(event)
            one.first = one.first or t
            one.completion = event["completion"]
        elif what == "final":
            one.finals.append(event)
            one.completion = event.get("completion") or one.completion
        elif what == "goes":  # noted by the client itself: it is owed nothing more
            one.left = True

    def take_engine(self, t: float, what: str, event: Event) -> None:
        key = event["engine"], event["name"]
        if what == "sent":
            self.dispatches[key] = Dispatch(
                event["name"],
                event["front"],
                event["engine"],
                t,
                event["workload"],
                event["reading"],
                event["state"],
                event.get("mark", ""),
            )
        elif what == "let go":
            self.let_go.setdefault(event["name"], []).append(t)
        elif key in self.dispatches and what == "first":
            self.dispatches[key].first = t
        elif key in self.dispatches and what == "ended":
            one = self.dispatches[key]
            one.ended, one.how, one.status, one.gone = t, event["how"], event["status"], event["gone"]

    def findings(self) -> list[Finding]:
        self.counted = dict.fromkeys(CHECKS, 0)
        out: list[Finding] = []
        by_completion: dict[str, list[Dispatch]] = {}
        for dispatch in self.dispatches.values():
            by_completion.setdefault(dispatch.completion, []).append(dispatch)
        finals = {one.completion: one for one in self.tries.values() if one.completion}
        for one in self.tries.values():
            out += self.one_answer(one)
        for completion, group in by_completion.items():
            group.sort(key=lambda d: d.sent)
            out += self.effects(completion, group, finals.get(completion))
            out += self.pinned(group)
        out += self.repeats_beside()
        out += self.drains()
        out += self.cold()
        return sorted(out, key=lambda f: f.t)

    def lateness(self, begin: float, end: float) -> float:
        """s between the two for which the recorder itself noted nothing, and so may have noted late."""
        low = bisect_left(self.late, (begin, 0.0))
        high = bisect_left(self.late, (end + SAME, 0.0))
        return sum(by for _, by in self.late[low : high + 1])

    def count(self, check: str, wrong: Iterable[tuple[float, str]]) -> list[Finding]:
        self.counted[check] += 1
        return [Finding(check, t, what) for t, what in wrong]

    # 1.

    def one_answer(self, one: Try) -> list[Finding]:
        who = f"{one.session}/{one.id} ({one.completion or 'unnamed'}) at {one.front}"
        due = one.asked + one.timeout + SLACK
        if one.first is not None and one.first <= due:
            due = one.first + self.rules["stream_limit"] + SLACK
        found = []
        if not one.left and not one.finals and (one.closed or self.last > due + 1.0):
            found += self.count("1 one final answer", [(self.last, f"{who}: no final answer")])
        else:
            found += self.count(
                "1 one final answer",
                [(f["t"], f"{who}: another final answer: {f['final']}") for f in one.finals[1:]],
            )
        if one.finals:
            final = one.finals[0]
            took = final["t"] - one.asked
            found += self.count(
                "1 in time",
                [(final["t"], f"{who}: {took:.3f} s after asking, client timeout {one.timeout:.3f} s")]
                * (final["t"] > due and final["t"] - self.lateness(one.asked, final["t"]) > due),
            )
            found += self.count("1 nothing after", [(e["t"], f"{who}: a chunk") for e in one.after])
            numbers = [part.rpartition("-")[2] for part in "".join(e["text"] for e in one.text).split()]
            whole = [str(n + 1) for n in range(len(numbers))]
            wrong = numbers != whole or (
                final["final"] == "finished"
                and (not final.get("same", True) or len(numbers) != final.get("tokens", len(numbers)))
            )
            found += self.count("1 whole text", [(final["t"], f"{who}: tokens {numbers[:50]}")] * wrong)
        return found

    # 2.

    def effects(self, completion: str, group: list[Dispatch], one: Try | None) -> list[Finding]:
        found = []
        running: Dispatch | None = None
        for dispatch in group:
            wrong = running is not None and self.overlap(running, dispatch)
            beside = running.name if running else ""
            found += self.count(
                "2 no two out",
                [(dispatch.sent, f"{dispatch.name} to {dispatch.engine} while {beside} is out")] * wrong,
            )
            running = dispatch
        terms = self.workloads[group[0].workload]
        effect = terms["effect"]
        risky = [d for d in group if not d.never_ran]
        if effect == "non-idempotent":
            found += self.count(
                "2 no effect twice",
                [
                    (d.sent, f"{d.name} to {d.engine} after {risky[0].name}, which may have run")
                    for d in group
                    if risky and d.sent > risky[0].sent
                ],
            )
        if effect == "tokened" and len(risky) > 1:
            first = risky[0]
            found += self.count(
                "2 repeats in group",
                [
                    (d.sent, f"{d.name} to {d.engine}, {d.sent - first.sent:.2f} s after {first.engine}")
                    for d in group
                    if not d.reading
                    and d.sent > first.sent
                    and not (
                        self.together(terms["group"], first.engine, d.engine)
                        and d.sent - first.sent <= terms["memory_time"] + SAME
                    )
                ],
            )
        if one and one.finals and one.finals[0]["final"] == "rate-limited":
            harm = effect == "non-idempotent" or (effect == "tokened" and terms["group"] != "all")
            found += self.count(
                "2 harmless refusals",
                [
                    (one.finals[0]["t"], f"{completion} rate-limited after {d.name}, which may have run")
                    for d in risky[:1]
                    if harm
                ],
            )
        return found

    def overlap(self, before: Dispatch, after: Dispatch) -> bool:
        """Whether one was sent while the other was out, as far as the recorder could tell their order."""
        if before.ended is None:
            return True
        return before.ended > after.sent + SAME + self.lateness(after.sent, before.ended)

    def repeats_beside(self) -> list[Finding]:
        """Repeats of a completion, known by their mark, at one front: none is sent while another is out, and
        none of a non-idempotent one is written after a dispatch that may have run."""
        by_mark: dict[tuple[str, str], list[Dispatch]] = {}
        for dispatch in self.dispatches.values():
            if dispatch.mark:
                by_mark.setdefault((dispatch.front, dispatch.mark), []).append(dispatch)
        found = []
        for (front, mark), group in by_mark.items():
            group.sort(key=lambda d: d.sent)
            for before, after in pairwise(group):
                beside = (
                    before.completion != after.completion
                    and self.overlap(before, after)
                    and not any(before.sent <= t <= after.sent for t in self.killed.get(front, []))
                )
                found += self.count(
                    "2 no two out",
                    [(after.sent, f"{after.name} while {before.name} is out, both marked {mark}")] * beside,
                )
            if self.workloads[group[0].workload]["effect"] != "non-idempotent":
                continue
            risky = next((d for d in group if not d.never_ran), None)
            found += self.count(
                "2 no effect twice",
                [
                    (d.sent, f"{d.name} after {risky.name}, which may have run, both marked {mark}")
                    for d in group
                    if risky
                    and d.sent > risky.sent
                    and d.completion != risky.completion
                    and not d.reading
                    and (self.kept or not any(risky.sent <= t <= d.sent for t in self.killed.get(front, [])))
                ],
            )
        return found

    def together(self, group: str, a: str, b: str) -> bool:
        return group == "all" or self.engines[a][group] == self.engines[b][group]

    # 3.

    def drains(self) -> list[Finding]:
        found = []
        grace = self.rules["drain_grace"]
        for dispatch in self.dispatches.values():
            told = [x for x in self.told.get((dispatch.front, dispatch.engine), []) if x[0] <= dispatch.sent]
            closed_since = None
            for t, phase, _ in told:
                if phase == "Running":
                    closed_since = None
                elif closed_since is None:
                    closed_since = t
            late = closed_since is not None and dispatch.sent > closed_since + grace
            after = dispatch.sent - (closed_since or 0.0)
            found += self.count(
                "3 drains kept",
                [(dispatch.sent, f"{dispatch.name} to {dispatch.engine}, {after:.2f} s after that was told")]
                * late,
            )
        return found

    # 4.

    def cold(self) -> list[Finding]:
        found = []
        rules = self.rules
        for engine, starts in self.starts.items():
            for number, (begun, start) in enumerate(starts):
                until = begun + rules["warm_after"]
                if number + 1 < len(starts):
                    until = min(until, starts[number + 1][0])
                sent = sorted(
                    (d.sent, d.front)
                    for d in self.dispatches.values()
                    if d.engine == engine and begun <= d.sent < until
                )
                told = {
                    front
                    for (front, e), x in self.told.items()
                    if e == engine and any(s == start and t <= until for t, _, s in x)
                }
                found += self.count("4 cold engines", self.pushed(engine, begun, sent, told)[:1])
        return found

    def pushed(
        self, engine: str, begun: float, sent: list[tuple[float, str]], told: set[str]
    ) -> list[tuple[float, str]]:
        rules, sends = self.rules, self.engines[engine]["sends"]
        wrong = []
        low = 0
        for high, (t, _) in enumerate(sent):
            while sent[low][0] < t - rules["cold_window"]:
                low += 1
            age = max(0.0, t - rules["cold_window"] / 2 - begun)
            part = min(1.0, rules["cold_from"] + (1 - rules["cold_from"]) * age / rules["warm_after"])
            budget = rules["cold_multiple"] * part * sends * rules["cold_window"]
            count = high - low + 1
            share = sum(front in told for _, front in sent[low : high + 1]) / count
            if count > budget + CHANCE * sqrt(budget) and share >= TOLD_SHARE:
                wrong.append(
                    (
                        t,
                        f"{count} dispatches to {engine} within {rules['cold_window']:g} s, "
                        f"budget {budget:.1f}",
                    )
                )
        return wrong

    # 5.

    def pinned(self, group: list[Dispatch]) -> list[Finding]:
        found = []
        limit = self.rules["pin_limit"]
        for read in group:
            if not (read.reading and read.how == "answered" and read.status == 200) or read.ended is None:
                continue
            since: float | None = read.ended
            freed = [t for t in self.let_go.get(read.name, []) if t >= read.sent]
            freed += [t for t in self.deaths.get(read.engine, []) if t >= read.sent]
            freed += [t for t in self.killed.get(read.front, []) if t >= read.sent]
            # What a front can't reach it can't let go: the engine's own limit does.
            freed += [t for t in self.cuts.get((read.front, read.engine), []) if t >= read.sent]
            over = min(freed, default=None)
            for later in [d for d in group if d.state == read.name]:
                if over is not None and over <= later.sent:
                    break
                found += self.held(read, since, later.sent, limit)
                since = later.ended
                if later.first is not None:
                    since = None
                    break
                if later.ended is None:
                    since = None
            if since is not None:
                end = over if over is not None else self.last
                found += self.held(read, since, end, limit)
        return found

    def held(self, read: Dispatch, since: float | None, until: float, limit: float) -> list[Finding]:
        wrong = (
            since is not None
            and until - since > limit + SAME
            and (until - since - self.lateness(since, until) > limit + SAME)
        )
        return self.count(
            "5 nothing pinned",
            [
                (
                    until,
                    f"{read.name} held at {read.engine} for {until - (since or 0.0):.3f} s, no dispatch out",
                )
            ]
            * wrong,
        )


def judge(events: Iterable[Event]) -> Judge:
    found = Judge()
    for event in events:
        found.add_event(event)
    return found


def judge_live(events: Iterable[Event], show: Any, every: float = 5.0) -> Judge:
    """Judges a recording while it grows, and shows each finding when it is first found. every: s of the
    recording between two looks."""
    found, shown, looked = Judge(), 0, 0.0
    for event in events:
        found.add_event(event)
        if event["t"] - looked >= every and found.rules:
            looked = event["t"]
            wrong = found.findings()
            for finding in wrong[shown:]:
                show(f"at {finding.t:.3f}: {finding.check}: {finding.what}")
            shown = max(shown, len(wrong))
    return found


def show_results(found: Judge, show: Any, most: int = 20) -> bool:
    """Shows each check with how often it was made; the last line counts them. True if all passed."""
    wrong = found.findings()
    by_check: dict[str, list[Finding]] = {}
    for finding in wrong:
        by_check.setdefault(finding.check, []).append(finding)
    for check, meaning in CHECKS.items():
        bad = by_check.get(check, [])
        show(
            f"{'FAILED' if bad else 'passed'}  {check}: {meaning} ({found.counted[check]} looked at"
            f"{f', {len(bad)} wrong' if bad else ''})"
        )
        for finding in bad[:most]:
            show(f"    at {finding.t:.3f}: {finding.what}")
    show(f"{len(CHECKS) - len(by_check)} passed, {len(by_check)} failed")
    return not wrong
