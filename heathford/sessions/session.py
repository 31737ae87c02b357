"""One client's completions, whatever protocol it speaks: what is taken, joined, refused or left. No I/O."""

from collections.abc import Callable, Mapping
from hashlib import blake2b
from math import inf
from typing import Any, Protocol

import orjson

from heathford.core.core import Core
from heathford.core.protocols import Cancellable
from heathford.identity.idempotency_table import LookupResult, IdempotencyTable
from heathford.identity.shared_request import SharedRequest
from heathford.identity.repeat_counter import RepeatCounter
from heathford.interface import Effect
from heathford.sessions.guidance import Retry, after_abort, still_out
from heathford.sessions.limits import LAST_CALL, RETRY_AFTER, SessionCapacity, Waiting
from heathford.sessions.workload_catalog import WorkloadCatalog
from heathford.sessions.fair_queue import WAIT, FairQueue


class SessionWriter(Protocol):
    """How a client is told, in its own protocol; `key` is the client's name for a completion, `completion`
    ours, empty where none was taken. One of the last four is said once for each that was asked."""

    @property
    def slow(self) -> bool:
        """The client has left more untaken than it may: tokens are merged until it catches up."""

    def resume_reading(self) -> None:
        """The session holds less than it did."""

    def chunk(self, key: Any, request: str, text: str) -> None: ...

    def finished(self, key: Any, request: str, reason: str, usage: Mapping[str, Any], text: str) -> None: ...

    def rate_limited(self, key: Any, request: str, retry_after: float) -> None: ...

    def aborted(self, key: Any, request: str, why: str, retry: Retry) -> None: ...

    def conflict(self, key: Any) -> None:
        """Its idempotency key stands for another completion."""


class Memory(Protocol):
    """What outlasts the front; as heathford.front.memory."""

    def begins(
        self, member: int, mark: str, digest: bytes, effect: Effect, then: Callable[[bool], None]
    ) -> None: ...

    def ended(self, member: int, mark: str, digest: bytes, effect: Effect, shared: SharedRequest) -> None: ...

    def forgets(self, member: int, mark: str, effect: Effect) -> None: ...


class SessionManager:
    """What the sessions of a front share. most_out: completions of one session out at once; most_waiting:
    that wait there for one of these to end. later: calls at a time of the clock `now`."""

    def __init__(
        self,
        core: Core,
        catalog: WorkloadCatalog,
        capacity: SessionCapacity,
        fair_queue: "FairQueue[SessionRequest]",
        identities: IdempotencyTable,
        now: Callable[[], float],
        later: Callable[[float, Callable[[], None]], Cancellable],
        max_active: int,
        max_waiting: int,
    ) -> None:
        self.core, self.catalog, self.capacity, self.fair_queue = core, catalog, capacity, fair_queue
        self.identities, self.now, self.later = identities, now, later
        self.repeat_counter = RepeatCounter(identities.max_requests, identities.retention)
        self.max_active, self.max_waiting = max_active, max_waiting
        self.retry_after = RETRY_AFTER
        self.memory: Memory | None = None
        # Gets what part of its latency target each session's completion took that somebody waits for.
        self.on_first_token: Callable[[float, float], None] = lambda part, now: None
        self.on_stream_finished: Callable[[float, float], None] = (
            lambda part, now: None
        )  # the same of its stream
        self.stopping = False
        self.count = 0
        self.sharing = False
        self.timer: Cancellable | None = None
        self.timer_at: float | None = None

    def share(self) -> None:
        """Lets in what the shares have room for, and turns away what has waited too long. What it calls may
        end completions and so call it again: the call that runs looks once more."""
        self.share_again = True
        if self.sharing:
            return
        self.sharing = True
        try:
            while self.share_again:
                self.share_again = False
                for answer in self.fair_queue.late(self.now()):
                    answer.turned_away()
                while (let_in := self.fair_queue.next(self.now())) is not None:
                    let_in.begin()
        finally:
            self.sharing = False
        if self.timer_at != self.fair_queue.due:
            if self.timer:
                self.timer.cancel()
            self.timer_at = due = self.fair_queue.due
            self.timer = None if due is None else self.later(due, self.share_late)

    def share_late(self) -> None:
        self.timer_at = None
        self.share()

    def next_session_name(self) -> str:
        """Of a session. Its completions are read where the last was, so no two sessions share one."""
        self.count += 1
        return f"{self.core.name}-{self.count}"


class Session:
    def __init__(self, manager: SessionManager, writer: SessionWriter, name: str) -> None:
        self.manager, self.writer, self.name = manager, writer, name
        self.requests: dict[Any, SessionRequest] = {}  # out and waiting, by the client's id
        self.active = 0
        self.held_bytes = 0  # bytes
        self.interactive = True  # somebody, at a screen
        self.waiting: Waiting[SessionRequest] = Waiting(manager.max_waiting)
        self.expiry: Cancellable | None = None

    def submit(
        self, key: Any, arguments: dict[str, Any], received: float, size: int, attempt: int = 1
    ) -> None:
        """Takes what offers.read gave, of so many bytes; no two of one key are out at once. attempt: which
        try its client says that it is."""
        manager = self.manager
        manager.repeat_counter.count(arguments["member"], arguments["mark"], received, attempt)
        answer = SessionRequest(self, key, arguments, received, size)
        if arguments["mark"]:
            answer.digest = blake2b(orjson.dumps(arguments["body"]), digest_size=16).digest()
            found = answer.look_up()
            if found is LookupResult.TABLE_FULL:
                self.refuse(key)
            if found is not LookupResult.NEW:
                return
        if manager.stopping or not manager.capacity.fits(size):
            self.refuse(key)
        elif self.active < manager.max_active:
            self.hold(answer)
            self.start(answer)
        elif self.waiting.add(answer.due, answer):
            self.hold(answer)
            self.set_expiry()
        else:
            self.refuse(key)

    def refuse(self, key: Any) -> None:
        self.writer.rate_limited(key, "", self.manager.retry_after)

    def join(self, answer: "SessionRequest", shared: SharedRequest) -> None:
        """A repeat: it gets what the first gets, and no dispatch of its own."""
        self.requests[answer.key] = answer
        answer.shared = shared
        answer.timer = self.manager.later(answer.due, answer.out_of_time)
        shared.join(answer)

    def hold(self, answer: "SessionRequest") -> None:
        self.requests[answer.key] = answer
        self.held_bytes += answer.size
        self.manager.capacity.held_bytes += answer.size
        answer.holds = True

    def start(self, answer: "SessionRequest") -> None:
        """It takes a place in this session, and waits for its share of the front."""
        manager, now = self.manager, self.manager.now()
        self.active += 1
        answer.started = True
        until = min(now + WAIT * answer.target, answer.due - LAST_CALL)
        manager.fair_queue.asks(answer.arguments["member"], self.name, answer, now, until)
        manager.share()

    def next(self) -> None:
        """One of ours has ended: the next that waits takes its place."""
        while self.active < self.manager.max_active and (answer := self.waiting.next()):
            if self.manager.stopping:
                answer.turned_away()
            else:
                self.start(answer)

    def set_expiry(self) -> None:
        if self.expiry:
            self.expiry.cancel()
        due = self.waiting.due
        self.expiry = self.manager.later(due, self.expire) if due is not None else None

    def expire(self) -> None:
        for answer in self.waiting.late(self.manager.now()):
            answer.turned_away()
        self.expiry = None
        self.set_expiry()

    def cancel(self, key: Any) -> bool:
        """Whether there was one."""
        answer = self.requests.get(key)
        if answer is None:
            return False
        name = answer.name
        answer.leave(cancelled=True)
        self.writer.aborted(key, name, "cancelled by the client", Retry.NEVER)
        return True

    def client_left(self) -> None:
        """The client has gone. What may run again and nobody else waits for ends at once; what must not run
        twice goes on, and its answer is kept for a client that comes again with its key."""
        for answer in sorted(self.requests.values(), key=lambda a: a.started):  # so that none is begun for it
            answer.leave(cancelled=False)
        if self.expiry:
            self.expiry.cancel()

    def caught_up(self) -> None:
        """The client has taken what was said: tokens merged meanwhile go out."""
        for answer in list(self.requests.values()):
            answer.flush()


class SessionRequest:
    """One completion as one client hears it. Tokens go out as they come; to a slow client, merged."""

    def __init__(
        self, session: Session, key: Any, arguments: dict[str, Any], received: float, size: int
    ) -> None:
        self.session, self.key, self.arguments, self.received, self.size = (
            session,
            key,
            arguments,
            received,
            size,
        )
        self.due: float = received + arguments["timeout"] - session.manager.core.answer_margin
        self.digest = b""
        self.shared: SharedRequest | None = None
        self.timer: Cancellable | None = None
        self.holds = self.started = self.over = False
        self.let_in: float | None = None  # since when it has a place in the shares' window
        self.first: float | None = None
        self.merged: list[str] = []
        self.text: list[str] = []

    @property
    def name(self) -> str:
        return self.shared.name if self.shared else ""

    @property
    def target(self) -> float:
        """s within which its first token is wanted."""
        return self.session.manager.catalog.latency_target(
            self.arguments["workload"], self.arguments["prompt"]
        )

    def look_up(self) -> LookupResult:
        """Joins one with its key that is known; NEW and NO_ROOM are left to the caller. A repeat gets what
        the first gets, and no dispatch of its own."""
        manager, member, mark = self.session.manager, self.arguments["member"], self.arguments["mark"]
        found, shared = manager.identities.look_up(member, mark, self.digest, manager.now())
        if found is LookupResult.CONFLICT:
            self.close()
            self.session.writer.conflict(self.key)
        elif shared is not None:
            self.give_back_place()
            self.session.requests[self.key] = self
            self.shared = shared
            self.timer = manager.later(self.due, self.out_of_time)
            shared.join(self)
        return found

    def begin(self) -> None:
        """Let in: it goes to the decisions."""
        manager, arguments = self.session.manager, self.arguments
        member, mark, now = arguments["member"], arguments["mark"], manager.now()
        self.let_in = now
        if manager.stopping:
            self.turned_away()
            return
        if mark:
            # Guards against two with one key that both waited here: each was new when it was asked.
            found = self.look_up()
            if found is LookupResult.TABLE_FULL:
                self.turned_away()
            if found is not LookupResult.NEW:
                return
        effect = manager.core.workloads[arguments["workload"]].effect

        def ended() -> None:
            # A refusal promises that a new try does no harm, so it must not be what the new try gets; and
            # what may run again is run again. All else is given again as it was.
            if shared.was_rate_limited or (effect is Effect.IDEMPOTENT and not shared.was_finished):
                manager.identities.remove(member, mark)
                if mark and manager.memory:
                    manager.memory.forgets(member, mark, effect)
            else:
                manager.identities.mark_ended(member, mark, manager.now())
                if mark and manager.memory:
                    manager.memory.ended(member, mark, self.digest, effect, shared)

        shared = self.shared = SharedRequest(ended)
        shared.join(self)
        if mark:
            manager.identities.add(member, mark, self.digest, effect, shared)
        if mark and manager.memory:
            manager.memory.begins(member, mark, self.digest, effect, lambda good: self.run(shared, good))
        else:
            self.run(shared, True)

    def run(self, shared: SharedRequest, good: bool) -> None:
        """It goes to the decisions, now that what must be kept of it is."""
        session = self.session
        if shared.over:
            return  # its clients have gone meanwhile
        if not good:
            shared.rate_limited(session.manager.retry_after)
            return
        taken = shared.request = session.manager.core.accept(
            shared, session=session.name, received=self.received, **self.arguments
        )
        shared.name = taken.name

    def turned_away(self) -> None:
        """There was no room for it in time, and nothing of it has run."""
        self.close()
        self.session.refuse(self.key)

    def give_back_place(self, part: float | None = None) -> None:
        """Its place in the shares' window, if it has one; part: of its latency target that it took."""
        if self.let_in is None:
            return
        manager, let_in, self.let_in = self.session.manager, self.let_in, None
        if part is None or self.due - self.received < self.target:
            # Nor does a client with little time tell of room.
            manager.fair_queue.gone(self.arguments["member"], manager.now())
        else:
            manager.fair_queue.answered(self.arguments["member"], let_in, part, manager.now())
            if self.session.interactive:
                manager.on_first_token(part, manager.now())
        manager.share()

    def client_connected(self) -> bool:
        return not self.over

    def tokens(self, text: str) -> None:
        if self.first is None:
            now = self.first = self.session.manager.now()
            if self.timer:
                self.timer.cancel()
            if self.let_in is not None:
                self.give_back_place((now - self.let_in) / self.target)
        self.merged.append(text)
        if not self.session.writer.slow:
            self.flush()

    def flush(self) -> None:
        if not self.merged:
            return
        part, self.merged = "".join(self.merged), []
        self.text.append(part)
        self.session.writer.chunk(self.key, self.name, part)

    def finished(self, reason: str, usage: Mapping[str, Any]) -> None:
        manager, tokens = self.session.manager, usage.get("completion_tokens")
        if self.started and self.first is not None and isinstance(tokens, int) and tokens > 1:
            wanted = manager.core.workloads[self.arguments["workload"]].token_target
            pace = (manager.now() - self.first) / (tokens - 1) / wanted
            manager.fair_queue.streamed(pace)
            if self.session.interactive:
                manager.on_stream_finished(pace, manager.now())
        self.flush()
        self.close()
        self.session.writer.finished(self.key, self.name, reason, usage, "".join(self.text))

    def rate_limited(self, retry_after: float) -> None:
        self.give_back_place(inf)
        self.close()
        self.session.writer.rate_limited(self.key, self.name, retry_after)

    def aborted(self, why: str) -> None:
        self.give_back_place(inf)
        self.flush()
        self.close()
        effect = self.session.manager.core.workloads[self.arguments["workload"]].effect
        self.session.writer.aborted(self.key, self.name, why, after_abort(effect))

    def out_of_time(self) -> None:
        """A repeat that joined one with more time left than its own client has."""
        if self.over or not self.shared:
            return
        self.shared.leave(self)
        self.close()
        self.session.writer.aborted(
            self.key, self.name, "still out: come again with the same key", still_out()
        )

    def leave(self, cancelled: bool) -> None:
        """The client wants it no more, or is gone."""
        manager, shared = self.session.manager, self.shared
        if shared is None and not self.started:
            self.session.waiting.take_out(self)
            self.session.set_expiry()
        self.close()
        if shared is None:
            return
        if shared.leave(self) and not shared.over:
            effect = manager.core.workloads[self.arguments["workload"]].effect
            if cancelled or effect is Effect.IDEMPOTENT or not self.arguments["mark"]:
                shared.abandon()

    def close(self) -> None:
        if self.over:
            return
        self.over = True
        session, manager = self.session, self.session.manager
        if self.timer:
            self.timer.cancel()
        manager.fair_queue.take_out(self, manager.now())
        self.give_back_place()
        if session.requests.get(self.key) is self:
            del session.requests[self.key]
        if self.holds:
            session.held_bytes -= self.size
            manager.capacity.held_bytes -= self.size
            session.writer.resume_reading()
        if self.started:
            session.active -= 1
            session.next()
