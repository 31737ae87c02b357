"""Judges a run by its records: the users' rules and terms. Shares no code with the program."""

import re
from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass, field
from math import inf, sqrt
from signal import SIGKILL

from heathford.soak.plan import Kind
from heathford.soak.records import Record, Seen
from heathford.soak.relay import STEP_EVERY
from heathford.soak.stories import Attempt, Holding, Step, Story, stories_of

ANSWER_SLACK = 0.5  # s past a client's time within which an answer only earns nothing
HELD_SLACK = 0.3  # s beyond the pin limit
GONE_SLACK = 0.1  # s after a client's close
TOLD_SLACK = 0.15  # s by which the deadline told may be more than what is left
EVENT_SLACK = 0.3  # s in which an event is passed on
LIST_SLACK = 6.0  # s after which a list change counts, whatever failed
OWED_WITHIN = 3.0  # s in which a client that asks nothing whole is owed an answer or a close
HELD_UP = 0.15  # s for which a front node may be held up
SAME_TURN = 0.005  # s in which the soak's own order of two connections says nothing
OWN_BEHIND = 0.1  # s that the soak may be behind before what front nodes say of time is left to the records
OWN_SLACK = 0.03  # s: the soak's own turns, where its lag says nothing
TROUBLE_BEFORE = 1.0  # s before a time in which a trouble may still be felt there
REFUSED = (429, 503)
OVERDUE = re.compile(r'"completion": "([^"]+)".*"event": "overdue"')
JUDGED_BY_RECORDS = ("overdue", '"HELD"', "'HELD'")
STOPS = (Kind.STOP_SHORT, Kind.STOP_AMID_END, Kind.STOP_LONG)  # all but the last for HELD_UP at most
NEW_CONNECTIONS = 0.4  # s after SIGTERM up to which the pages have clients open new connections
STILL_TAKEN = 0.7  # s after SIGTERM up to which a request that SIGKILL finds unanswered is not lost
SEEN_ENDING = 0.1  # s between a process's end and what its clients and the soak see of it
LONGEST_END = 4.0  # s from SIGTERM to the kill at most, and a little
BREAK_STREAMS = (  # troubles that end a stream: its connections break, or its engine says nothing
    Kind.LINK_RESET,
    Kind.LINK_CUT,
    Kind.LINK_REFUSED,
    Kind.LINK_SILENT,
    Kind.LINK_UNREAD,
    Kind.LINK_BREAKS,
    Kind.ENGINE_STOPPED,
)
HIDE_DISCOVERY = (  # troubles by which a change of the list is told later: the pages count 6 s then
    Kind.DISCOVERY_SILENT,
    Kind.DISCOVERY_SLOW,
    Kind.DISCOVERY_RESET,
    Kind.RELOAD,
    Kind.SIGNAL_SERIES,
    Kind.LINK_BREAKS,
    Kind.CONNECT_FAILS,
)
DESCRIPTORS_GROW = 120
DESCRIPTORS_MOST = 400  # as the soak's configuration limits them
MEMORY_GROWS = 40_000  # kB


@dataclass(frozen=True)
class Limits:
    """As the settings say; times in s. effects: by class, as the settings name them."""

    pin: float
    grace: float
    window: float
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
    what: str


class Oracle:
    """One run. Breaches are in the order of the checks."""

    def __init__(self, records: Iterable[Record], limits: Limits) -> None:
        self.records = sorted(records, key=lambda record: record.time)
        self.limits = limits
        self.breaches: list[Breach] = []
        self.crossed = 0  # requests whose kept connection ended under them: sent once more by clients
        self.stories = stories_of(self.records)
        self.troubles = [record for record in self.records if record.kind is Seen.TROUBLE]
        self.prefills = {r.engine for r in self.records if r.kind is Seen.DELIVERED and r.text == "prefill"}
        self.endings = [record for record in self.records if record.kind is Seen.ENDING]
        self.exits = [record for record in self.records if record.kind is Seen.EXIT]
        self.lags = [record for record in self.records if record.kind is Seen.LAG]
        self.end = self.records[-1].time if self.records else 0.0

    # What excuses.

    def within(self, since: float, until: float, *names: str, kinds: Sequence[Kind] = tuple(Kind)) -> bool:
        """A trouble of such a kind at one of these was felt in that time; without names, at anything."""
        known = {kind.name for kind in kinds}
        return any(
            trouble.text in known
            and trouble.time <= until
            and trouble.time + trouble.value + TROUBLE_BEFORE >= since
            and (not names or trouble.front in names or trouble.engine in names)
            for trouble in self.troubles
        )

    def allowance(self, front: str, since: float, until: float) -> float:
        """s for which the front node was stopped, or the soak itself behind."""
        return self.stopped(front, since, until) + self.behind(since, until) + OWN_SLACK

    def behind(self, since: float, until: float) -> float:
        """s by which the soak's own turns were late then: what takes several turns meets them all."""
        return sum(lag.value for lag in self.lags if since <= lag.time <= until + 1.0)

    def overdue_within_a_hold_up(self, record: Record) -> bool:
        """It says that it answered by its last resort, and the answer came no later than a hold-up past the
        client's time."""
        found = OVERDUE.search(record.text)
        story = self.stories.get(found[1]) if found else None
        return story is not None and any(
            answer.time <= story.asked + story.budget + HELD_UP + self.behind(story.asked, answer.time)
            for answer in story.answers
        )

    def step(self, engine: str, at: float) -> float:
        """s by which the relay of a link that is read in steps may note bytes and closes too late."""
        felt = self.within(at, at, engine, kinds=(Kind.LINK_STEPS,))
        return STEP_EVERY if felt else 0.0

    def soak_behind(self, at: float) -> bool:
        """The soak itself answered so late then that front nodes had to count it."""
        return any(abs(lag.time - at) <= 1.0 and lag.value > OWN_BEHIND for lag in self.lags)

    def stopped(self, front: str, since: float, until: float) -> float:
        """s of that time for which the front node was stopped."""
        names = {kind.name for kind in STOPS}
        seconds = 0.0
        for trouble in self.troubles:
            if trouble.front == front and trouble.text in names:
                long = trouble.text == Kind.STOP_LONG.name
                end = trouble.time + (trouble.value if long else min(trouble.value, HELD_UP))
                seconds += max(0.0, min(until, end) - max(since, trouble.time))
        return seconds

    def held_up(self, front: str, since: float, until: float) -> bool:
        """It was stopped for longer than the pages allow, in that time or since it was told to end: then it
        does not know how soon it is killed."""
        told = [record.time for record in self.endings if record.front == front]
        ends = [time for time in told if until - LONGEST_END <= time <= until]
        return self.stopped(front, min([since, *ends]), until) > HELD_UP + OWN_SLACK

    def opened_late(self, story: Story) -> bool:
        """It came first on a connection that was opened later after SIGTERM than the pages have it, to the
        process that was told to end: one that has started since owes it an answer."""
        told = [r.time for r in self.endings if r.front == story.front and r.time <= story.asked]
        if not told:
            return False
        ended = any(
            ended.front == story.front and told[-1] < ended.time <= story.asked for ended in self.exits
        )
        return not ended and story.asked > told[-1] + NEW_CONNECTIONS

    def killed(self, front: str, since: float, until: float) -> bool:
        return any(
            t.front == front and t.text == Kind.KILL.name and since - 0.1 <= t.time <= until
            for t in self.troubles
        )

    def killed_at_its_end(self, story: Story, at: float) -> bool:
        """The protocol page, "Figures": what SIGKILL finds unanswered after SIGTERM is lost if it came more
        than 0.7 s after SIGTERM, and not otherwise."""
        return any(
            ended.front == story.front
            and ended.value == -SIGKILL
            and abs(ended.time - at) <= SEEN_ENDING
            and story.asked <= told.time + STILL_TAKEN
            for ended in self.exits
            for told in self.endings
            if told.front == story.front and 0.0 <= ended.time - told.time <= LONGEST_END
        )

    def breach(self, rule: str, time: float, request: str, what: str) -> None:
        self.breaches.append(Breach(rule, time, request, what))

    # The checks.

    def judge(self) -> list[Breach]:
        for name, story in self.stories.items():
            if story.asked < inf:
                self.one_answer(name, story)
                self.no_effect_twice(name, story)
                self.client_gone(name, story)
                self.deadline_told(name, story)
                self.held(name, story)
        self.drains()
        self.cold_engines()
        self.events()
        self.processes()
        return self.breaches

    def one_answer(self, name: str, story: Story) -> None:
        if len(story.answers) > 1:
            self.breach("1 one answer", story.answers[1].time, name, "a second final answer")
        due = story.asked + story.budget + ANSWER_SLACK
        excused = self.killed(story.front, story.asked, due + 1.0) or self.within(
            story.asked, due, story.front, kinds=(Kind.LINK_BREAKS,)
        )
        for lost in story.lost:
            if excused or story.left < inf or self.held_up(story.front, story.asked, lost.time):
                continue  # the pages: a front node may be held up for 0.15 s, not for longer
            unread = not story.attempts  # the pages: it is sent once more where it was not read
            crowded = self.within(lost.time, lost.time, story.front, kinds=(Kind.CROWD,))
            uncalled = lost.text == "new" and self.opened_late(story)
            if unread and (lost.text == "reused" or crowded or uncalled):
                self.crossed += 1
            else:
                self.breach("1 one answer", lost.time, name, f"lost: {lost.text}")
        for answer in story.answers:
            late = answer.time - due
            if answer.value != 200 and late > self.allowance(story.front, story.asked, answer.time):
                self.breach("1 in time", answer.time, name, f"{answer.value:.0f}, {late:.2f} s late")
        for cut in story.cut:
            engines = [attempt.engine for attempt in story.attempts]
            if (
                not excused
                and story.left == inf
                and not self.killed_at_its_end(story, cut.time)
                and not self.held_up(story.front, story.asked, cut.time)
                and not self.within(story.asked, cut.time, story.front, *engines, kinds=BREAK_STREAMS)
            ):
                self.breach("1 one answer", cut.time, name, "a stream was cut without any trouble")

    def no_effect_twice(self, name: str, story: Story) -> None:
        for earlier, later in zip(story.attempts, story.attempts[1:], strict=False):
            overlap = min(earlier.end, later.last) if later.last < inf else inf
            # A relay that does not read sees neither when an attempt was written nor when it was closed.
            unseen = self.within(
                earlier.first, later.last, earlier.engine, later.engine, kinds=(Kind.LINK_UNREAD,)
            )
            # A close and a send of the same moment reach the relay on two connections, in either order.
            apart = earlier.end - later.last > SAME_TURN + self.step(earlier.engine, later.last)
            if earlier.last < later.last < inf and overlap == later.last and apart and not unseen:
                self.breach(
                    "2 no two out", later.last, name, f"{earlier.engine} is out, {later.engine} gets it"
                )
        ran = [attempt for attempt in story.attempts if attempt.ran]
        effect = self.limits.effects.get(story.request_class, "free")
        if effect == "free" or not ran:
            return
        for answer in story.answers:
            if answer.value in REFUSED:
                self.breach(
                    "2 harmless refusals",
                    answer.time,
                    name,
                    f"{effect}: refused, has run at {ran[0].engine}",
                )
        if effect == "single_shot" and len(ran) > 1:
            self.breach(
                "2 no effect twice", ran[1].delivered, name, f"ran at {ran[0].engine}, {ran[1].engine}"
            )
        for attempt in ran[1:]:
            if effect == "guarded" and attempt.delivered > ran[0].delivered + self.limits.window:
                self.breach("2 repeats in window", attempt.delivered, name, "past the window")
            zones = {self.limits.zones.get(a.engine) for a in (ran[0], attempt)}
            if effect == "guarded" and len(zones) > 1:
                self.breach("2 repeats in group", attempt.delivered, name, "in another zone")

    def client_gone(self, name: str, story: Story) -> None:
        for attempt in story.attempts:
            if self.within(attempt.first, attempt.first, attempt.engine, kinds=(Kind.LINK_UNREAD,)):
                continue  # noted when it was read, long after it was written
            late = attempt.first - story.left - GONE_SLACK - self.step(attempt.engine, attempt.first)
            if late > self.allowance(story.front, story.left, attempt.first):
                self.breach(
                    "client gone",
                    attempt.first,
                    name,
                    f"an attempt {late + GONE_SLACK:.3f} s after its close",
                )

    def deadline_told(self, name: str, story: Story) -> None:
        for attempt in story.attempts:
            if attempt.last < inf:
                more = attempt.told - (story.asked + story.budget - attempt.last)
                more -= self.step(attempt.engine, attempt.last)
                # An unread link's bytes are noted when they are read, long after they were written.
                unread = self.within(attempt.last, attempt.last, attempt.engine, kinds=(Kind.LINK_UNREAD,))
                if not unread and more > TOLD_SLACK + self.allowance(story.front, story.asked, attempt.last):
                    self.breach("deadline told", attempt.last, name, f"{more:.3f} s more than is left")

    def held(self, name: str, story: Story) -> None:
        """Each time in which a state is held and no attempt that has arrived is out."""
        steps = [Step(at, Holding.FREE, at, released=True) for at in story.releases]
        for attempt in story.attempts:
            steps += self.steps_of(story, attempt)
            if attempt.outcome == "read" and attempt.closed < attempt.said:
                self.late_read(name, story, attempt)
        since, holding = inf, Holding.FREE
        steps.sort(key=lambda step: step.time)
        for step in [*steps, Step(self.end, Holding.FREE, self.end)]:
            if holding is Holding.HELD:
                self.check_held(name, story, since, step.time)
            if step.holding is Holding.BACK and holding is not Holding.OUT:
                continue
            if step.holding is Holding.OUT and holding is Holding.FREE:
                continue
            if step.holding is Holding.FREE and step.released and holding is Holding.OUT:
                continue  # the bench page: a release leaves what an attempt waits for
            since = step.since
            holding = Holding.HELD if step.holding is Holding.BACK else step.holding

    def steps_of(self, story: Story, attempt: Attempt) -> "list[Step]":
        if attempt.outcome == "read":
            if attempt.closed < attempt.said:
                return []  # judged by `late_read`
            # Without its whole answer the attempt is out until it is given up, at its time at the latest.
            given_up = min(attempt.closed, attempt.first + attempt.told)
            unheard = attempt.heard == inf or attempt.closed < inf
            since = given_up if unheard else attempt.heard
            return [Step(attempt.said, Holding.HELD, max(attempt.said, since))]
        # Only what an engine has read is out: a relay, a kernel or a stopped process may keep the rest.
        arrived = attempt.delivered
        if arrived == inf or attempt.prefill or attempt.engine in self.prefills:
            return []
        if attempt.outcome == "gone":
            return [Step(arrived, Holding.FREE, arrived)]  # its engine has found that nothing is held
        if attempt.outcome == "stream":
            return [Step(arrived, Holding.FREE, arrived)]
        out = Step(arrived, Holding.OUT, arrived)
        return [out, Step(attempt.end, Holding.BACK, attempt.end)] if attempt.end < inf else [out]

    def late_read(self, name: str, story: Story, read: Attempt) -> None:
        """The protocol page: what a read has left that ended well as its connection was closed is held like
        any other state. While another attempt is out the limit does not run; by the bench page all goes with
        a stream's first event, and by itself what a read leaves that its engine got after it was given up."""
        if read.delivered > read.closed:
            return
        since = read.said
        for attempt in sorted(story.attempts, key=lambda attempt: attempt.first):
            if attempt.delivered <= since + self.limits.pin and since < attempt.end < inf:
                since = attempt.end
        ends = [time for time in story.releases if time >= read.said]
        ends += [a.said for a in story.attempts if a.outcome == "stream" and a.said >= read.said]
        self.check_held(name, story, since, min(ends, default=self.end))

    def check_held(self, name: str, story: Story, since: float, until: float) -> None:
        limit = self.limits.pin + HELD_SLACK + self.allowance(story.front, since, until)
        excused = self.killed(story.front, story.asked, since + limit) or any(
            ended.front == story.front and story.asked <= ended.time <= since + limit for ended in self.exits
        )
        if until - since > limit and since + limit < self.end and not excused:
            self.breach("5 held", since + limit, name, f"held for {until - since:.3f} s")

    def drains(self) -> None:
        """From when a front node's discovery has told of it; later where that or the front was in trouble."""
        for told in self.records:
            if told.kind is not Seen.DRAINED:
                continue
            troubled = self.within(told.time - 2.0, told.time + 1.0, told.front, kinds=HIDE_DISCOVERY)
            most = max(
                (
                    t.time + t.value
                    for t in self.troubles
                    if t.front == told.front and t.time <= told.time + LIST_SLACK
                ),
                default=told.time,
            )
            limit = max(told.time, most) + LIST_SLACK if troubled else told.time + self.limits.grace
            for name, story in self.stories.items():
                for attempt in story.attempts:
                    late = attempt.first - limit
                    if (
                        story.front == told.front
                        and attempt.engine == told.engine
                        and late > self.allowance(told.front, limit - 0.5, attempt.first)
                    ):
                        self.breach(
                            "3 drain",
                            attempt.first,
                            name,
                            f"to {told.engine}, {late:.3f} s past the grace",
                        )

    def cold_engines(self) -> None:
        budget = self.limits.cold_budget
        most = budget + (3 * sqrt(budget) + 3 if budget < 30 else 2 * sqrt(budget) + 2)
        for cold in self.records:
            if cold.kind is not Seen.COLD:
                continue
            times = sorted(
                a.first
                for story in self.stories.values()
                for a in story.attempts
                if a.engine == cold.engine and cold.time <= a.first < cold.time + self.limits.warm_after
            )
            for place, at in enumerate(times):
                count = sum(at <= other < at + self.limits.cold_window for other in times[place:])
                if count > most:
                    self.breach("4 cold", at, "", f"{cold.engine} got {count}, {most:.1f} are allowed")
                    break

    def events(self) -> None:
        """An event's time counts from when its link passed it on: a cut holds it back before that."""
        on_the_way = {
            (record.request, record.text): record.value
            for record in self.records
            if record.kind is Seen.EVENT_ON_THE_WAY
        }
        for record in self.records:
            if record.kind is not Seen.LATE_EVENT:
                continue
            held_back = record.value - on_the_way.get((record.request, record.text), 0.0)
            front = self.stories[record.request].front
            since = record.time - held_back
            if held_back - EVENT_SLACK > self.allowance(front, since, record.time):
                self.breach("event held back", record.time, record.request, f"{held_back:.3f} s")

    def processes(self) -> None:
        first: dict[str, Record] = {}
        for record in self.records:
            if record.kind is Seen.EXIT and record.text:
                self.breach("crash", record.time, record.front, f"status {record.value:.0f}, {record.text}")
            elif record.kind is Seen.WAITED:
                over = record.value - OWED_WITHIN
                if over > self.allowance(record.front, record.time - record.value, record.time):
                    self.breach("bad client", record.time, record.front, f"waited for {record.value:.3f} s")
            elif (
                record.kind is Seen.LOG
                and any(word in record.text for word in JUDGED_BY_RECORDS)
                and (
                    self.within(record.time, record.time, record.front, kinds=STOPS)
                    or self.soak_behind(record.time)
                )
            ):
                continue  # its time went by while it, or the soak, stood still: the records are judged
            elif record.kind is Seen.LOG and self.overdue_within_a_hold_up(record):
                continue  # the pages: a front node may be held up for 0.15 s
            elif record.kind is Seen.LOG:
                self.breach("log", record.time, record.request or record.front, record.text[:600])
            elif record.kind is Seen.MEASURE:
                begin = first.setdefault(record.front, record)
                crowded = self.within(record.time, record.time, record.front, kinds=(Kind.CROWD,))
                if record.value > DESCRIPTORS_MOST or (
                    record.value > begin.value + DESCRIPTORS_GROW and not crowded
                ):
                    self.breach(
                        "descriptors",
                        record.time,
                        record.front,
                        f"{begin.value:.0f} to {record.value:.0f}",
                    )
                if int(record.text) > int(begin.text) + MEMORY_GROWS:
                    self.breach("memory", record.time, record.front, f"{begin.text} to {record.text} kB")
