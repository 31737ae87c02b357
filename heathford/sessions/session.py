"""The requests of one client, whatever its protocol: accepted, joined, refused, cancelled. Does no I/O."""

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
from heathford.sessions.guidance import Retry, retry_after_abort, retry_while_in_progress
from heathford.sessions.limits import MIN_TIME_LEFT, RETRY_AFTER, SessionCapacity, WaitingRequests
from heathford.sessions.workload_catalog import WorkloadCatalog
from heathford.sessions.fair_queue import MAX_WAIT_SHARE, FairQueue


class SessionWriter(Protocol):
    """Sends to a client in its own protocol.

    key: the client's id of a request; request: the name that the front node gave it, empty if it was not
    accepted. Each request gets exactly one of finished, rate_limited, aborted and conflict.
    """

    @property
    def slow(self) -> bool:
        """Whether more than the bound is unsent: tokens are then merged until the client catches up."""

    def resume_reading(self) -> None:
        """Read from the client again if that was paused: the session holds less than before."""

    def chunk(self, key: Any, request: str, text: str) -> None:
        """Send a piece of text."""
        ...

    def finished(self, key: Any, request: str, reason: str, usage: Mapping[str, Any], text: str) -> None:
        """Send the final answer; text: the complete text."""
        ...

    def rate_limited(self, key: Any, request: str, retry_after: float) -> None:
        """Send the final answer of a request that has not run; retry_after: s."""
        ...

    def aborted(self, key: Any, request: str, why: str, retry: Retry) -> None:
        """Send the final answer of a request that may have run."""
        ...

    def conflict(self, key: Any) -> None:
        """Refuse a request whose idempotency key belongs to a request with another body."""


class Memory(Protocol):
    """The store of requests with an idempotency key, as in heathford.front.memory.

    begins: records a request and calls `then` with whether that was stored. ended: records its final answer.
    forgets: removes it, so that a repeat runs anew.
    """

    def begins(
        self,
        tenant: int,
        idempotency_key: str,
        body_digest: bytes,
        effect: Effect,
        then: Callable[[bool], None],
    ) -> None: ...

    def ended(
        self, tenant: int, idempotency_key: str, body_digest: bytes, effect: Effect, shared: SharedRequest
    ) -> None: ...

    def forgets(self, tenant: int, idempotency_key: str, effect: Effect) -> None: ...


class SessionManager:
    """The state that all sessions of a front node share.

    now: the clock, in s; call_at: calls a function at a time of this clock. max_active: requests of one
    session that may be in progress at once; max_waiting: further ones that may wait for one of them to end.
    """

    def __init__(
        self,
        core: Core,
        catalog: WorkloadCatalog,
        capacity: SessionCapacity,
        fair_queue: "FairQueue[SessionRequest]",
        idempotency_table: IdempotencyTable,
        now: Callable[[], float],
        call_at: Callable[[float, Callable[[], None]], Cancellable],
        max_active: int,
        max_waiting: int,
    ) -> None:
        self.core, self.catalog, self.capacity, self.fair_queue = core, catalog, capacity, fair_queue
        self.idempotency_table, self.now, self.call_at = idempotency_table, now, call_at
        self.repeat_counter = RepeatCounter(idempotency_table.max_requests, idempotency_table.retention)
        self.max_active, self.max_waiting = max_active, max_waiting
        self.retry_after = RETRY_AFTER
        self.memory: Memory | None = None
        # Called for interactive requests with the latency of the first token as a share of its target, and
        # with the time per token of a finished stream as a share of its target.
        self.on_first_token: Callable[[float, float], None] = lambda latency_share, now: None
        self.on_stream_finished: Callable[[float, float], None] = lambda pace, now: None
        self.stopping = False
        self.count = 0
        self.admitting = False
        self.expiry_timer: Cancellable | None = None
        self.expiry_timer_at: float | None = None

    def admit_waiting(self) -> None:
        """Shed requests that have waited too long, and admit as many as the window has room for.

        Both may end requests and so call this method again: the outer call then runs another pass.
        """
        self.admit_again = True
        if self.admitting:
            return
        self.admitting = True
        try:
            while self.admit_again:
                self.admit_again = False
                for request in self.fair_queue.pop_expired(self.now()):
                    request.shed()
                while (admitted := self.fair_queue.pop_next(self.now())) is not None:
                    admitted.admit()
        finally:
            self.admitting = False
        if self.expiry_timer_at != self.fair_queue.next_expiry:
            if self.expiry_timer:
                self.expiry_timer.cancel()
            self.expiry_timer_at = next_expiry = self.fair_queue.next_expiry
            self.expiry_timer = (
                None if next_expiry is None else self.call_at(next_expiry, self.on_expiry_timer)
            )

    def on_expiry_timer(self) -> None:
        """Shed what has expired in the fair queue."""
        self.expiry_timer_at = None
        self.admit_waiting()

    def next_session_name(self) -> str:
        """Return a unique name; the router prefills the requests of one session at the same engine."""
        self.count += 1
        return f"{self.core.name}-{self.count}"


class Session:
    """One client's session: its requests in progress and those that wait within it."""

    def __init__(self, manager: SessionManager, writer: SessionWriter, name: str) -> None:
        self.manager, self.writer, self.name = manager, writer, name
        self.requests: dict[Any, SessionRequest] = {}  # active and waiting, by the client's id
        self.active = 0  # requests in progress
        self.held_bytes = 0
        self.interactive = True  # a person waits for the answers
        self.waiting: WaitingRequests[SessionRequest] = WaitingRequests(manager.max_waiting)
        self.expiry_timer: Cancellable | None = None

    def submit(
        self, key: Any, arguments: dict[str, Any], received: float, size: int, attempt: int = 1
    ) -> None:
        """Accept, join or refuse a request.

        key: the client's id, not in use by another request; arguments: from WorkloadCatalog.parse_request;
        received: time; size: bytes; attempt: the number that the client gives its attempt.
        """
        manager = self.manager
        manager.repeat_counter.count(arguments["member"], arguments["mark"], received, attempt)
        request = SessionRequest(self, key, arguments, received, size)
        if arguments["mark"]:
            request.body_digest = blake2b(orjson.dumps(arguments["body"]), digest_size=16).digest()
            lookup_result = request.find_by_key()
            if lookup_result is LookupResult.TABLE_FULL:
                self.refuse(key)
            if lookup_result is not LookupResult.NEW:
                return
        if manager.stopping or not manager.capacity.has_room_for(size):
            self.refuse(key)
        elif self.active < manager.max_active:
            self.register(request)
            self.enqueue(request)
        elif self.waiting.add(request.deadline, request):
            self.register(request)
            self.schedule_expiry()
        else:
            self.refuse(key)

    def refuse(self, key: Any) -> None:
        """Answer rate-limited for a request that was not accepted."""
        self.writer.rate_limited(key, "", self.manager.retry_after)

    def join(self, request: "SessionRequest", shared: SharedRequest) -> None:
        """Let a repeat receive the answer of the request in progress, without attempts of its own."""
        self.requests[request.key] = request
        request.shared = shared
        request.timer = self.manager.call_at(request.deadline, request.on_timeout)
        shared.join(request)

    def register(self, request: "SessionRequest") -> None:
        """Count a request and its bytes as held."""
        self.requests[request.key] = request
        self.held_bytes += request.size
        self.manager.capacity.held_bytes += request.size
        request.counts_bytes = True

    def enqueue(self, request: "SessionRequest") -> None:
        """Make a request active and put it into the fair queue."""
        manager, now = self.manager, self.manager.now()
        self.active += 1
        request.started = True
        expiry = min(now + MAX_WAIT_SHARE * request.latency_target, request.deadline - MIN_TIME_LEFT)
        manager.fair_queue.add(request.arguments["member"], self.name, request, now, expiry)
        manager.admit_waiting()

    def start_next(self) -> None:
        """Make waiting requests active while the session has room; shed them if the front node stops."""
        while self.active < self.manager.max_active and (request := self.waiting.pop_next()):
            if self.manager.stopping:
                request.shed()
            else:
                self.enqueue(request)

    def schedule_expiry(self) -> None:
        """Set the timer for the next waiting request that expires."""
        if self.expiry_timer:
            self.expiry_timer.cancel()
        next_expiry = self.waiting.next_expiry
        self.expiry_timer = (
            self.manager.call_at(next_expiry, self.shed_expired) if next_expiry is not None else None
        )

    def shed_expired(self) -> None:
        """Shed the waiting requests that can't be answered in time any more."""
        for request in self.waiting.pop_expired(self.manager.now()):
            request.shed()
        self.expiry_timer = None
        self.schedule_expiry()

    def cancel(self, key: Any) -> bool:
        """Cancel the request with the client's id; return whether there was one."""
        request = self.requests.get(key)
        if request is None:
            return False
        name = request.name
        request.leave(cancelled=True)
        self.writer.aborted(key, name, "cancelled by the client", Retry.NEVER)
        return True

    def client_left(self) -> None:
        """Drop the requests of a client that has disconnected.

        Idempotent requests that no other client waits for end at once. One that must not run twice goes on,
        and its answer is kept for a repeat with its key.
        """
        # Waiting requests first, so that none of them is started when an active one ends.
        for request in sorted(self.requests.values(), key=lambda r: r.started):
            request.leave(cancelled=False)
        if self.expiry_timer:
            self.expiry_timer.cancel()

    def flush_requests(self) -> None:
        """Send the tokens that were merged while the client was slow."""
        for request in list(self.requests.values()):
            request.flush()


class SessionRequest:
    """One client's request, and the response writer that receives its answer from the core.

    Tokens are sent as they are received; to a slow client, merged.
    """

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
        self.deadline: float = received + arguments["timeout"] - session.manager.core.answer_margin
        self.body_digest = b""
        self.shared: SharedRequest | None = None
        self.timer: Cancellable | None = None
        self.counts_bytes = self.started = self.ended = False
        self.admitted_at: float | None = None  # if it has a place in the window
        self.first_token_at: float | None = None
        self.unsent_parts: list[str] = []
        self.text_parts: list[str] = []

    @property
    def name(self) -> str:
        """The name that the front node gave it, empty if it was not accepted."""
        return self.shared.name if self.shared else ""

    @property
    def latency_target(self) -> float:
        """Time in s within which its first token is wanted."""
        return self.session.manager.catalog.first_token_target(
            self.arguments["workload"], self.arguments["prompt"]
        )

    def find_by_key(self) -> LookupResult:
        """Look up the request by its idempotency key; join the known one, or report a conflict.

        NEW and TABLE_FULL are left to the caller. A repeat receives the answer of the request in progress,
        without attempts of its own.
        """
        manager, tenant, idempotency_key = (
            self.session.manager,
            self.arguments["member"],
            self.arguments["mark"],
        )
        lookup_result, shared = manager.idempotency_table.look_up(
            tenant, idempotency_key, self.body_digest, manager.now()
        )
        if lookup_result is LookupResult.CONFLICT:
            self.close()
            self.session.writer.conflict(self.key)
        elif shared is not None:
            self.leave_window()
            self.session.requests[self.key] = self
            self.shared = shared
            self.timer = manager.call_at(self.deadline, self.on_timeout)
            shared.join(self)
        return lookup_result

    def admit(self) -> None:
        """Take a place in the window, and pass the request to the core unless it joins a known one."""
        manager, arguments = self.session.manager, self.arguments
        tenant, idempotency_key, now = arguments["member"], arguments["mark"], manager.now()
        self.admitted_at = now
        if manager.stopping:
            self.shed()
            return
        if idempotency_key:
            # Two requests with one key may both have waited here: each was new when it was submitted.
            lookup_result = self.find_by_key()
            if lookup_result is LookupResult.TABLE_FULL:
                self.shed()
            if lookup_result is not LookupResult.NEW:
                return
        effect = manager.core.workloads[arguments["workload"]].effect

        def ended() -> None:
            # A rate-limited answer promises that a repeat is safe, so a repeat must not get that answer
            # again; an idempotent request that was aborted is run again. All other answers are kept.
            if shared.was_rate_limited or (effect is Effect.IDEMPOTENT and not shared.was_finished):
                manager.idempotency_table.remove(tenant, idempotency_key)
                if idempotency_key and manager.memory:
                    manager.memory.forgets(tenant, idempotency_key, effect)
            else:
                manager.idempotency_table.mark_ended(tenant, idempotency_key, manager.now())
                if idempotency_key and manager.memory:
                    manager.memory.ended(tenant, idempotency_key, self.body_digest, effect, shared)

        shared = self.shared = SharedRequest(ended)
        shared.join(self)
        if idempotency_key:
            manager.idempotency_table.add(tenant, idempotency_key, self.body_digest, effect, shared)
        if idempotency_key and manager.memory:
            manager.memory.begins(
                tenant,
                idempotency_key,
                self.body_digest,
                effect,
                lambda stored: self.pass_to_core(shared, stored),
            )
        else:
            self.pass_to_core(shared, True)

    def pass_to_core(self, shared: SharedRequest, stored: bool) -> None:
        """Pass the request to the core, now that the store has it; stored: whether that succeeded."""
        session = self.session
        if shared.over:
            return  # its clients have left in the meantime
        if not stored:
            shared.rate_limited(session.manager.retry_after)
            return
        accepted = shared.request = session.manager.core.accept(
            shared, session=session.name, received=self.received, **self.arguments
        )
        shared.name = accepted.name

    def shed(self) -> None:
        """Answer rate-limited: there was no capacity in time, and nothing has run."""
        self.close()
        self.session.refuse(self.key)

    def leave_window(self, latency_share: float | None = None) -> None:
        """Free its place in the window, if it has one.

        latency_share: latency of the first token as a share of its target; None if it says nothing.
        """
        if self.admitted_at is None:
            return
        manager, admitted_at, self.admitted_at = self.session.manager, self.admitted_at, None
        if latency_share is None or self.deadline - self.received < self.latency_target:
            # A client whose timeout is shorter than the latency target says nothing about the load either.
            manager.fair_queue.release(self.arguments["member"], manager.now())
        else:
            manager.fair_queue.record_first_token(
                self.arguments["member"], admitted_at, latency_share, manager.now()
            )
            if self.session.interactive:
                manager.on_first_token(latency_share, manager.now())
        manager.admit_waiting()

    # heathford.core.protocols.ResponseWriter

    def client_connected(self) -> bool:
        return not self.ended

    def tokens(self, text: str) -> None:
        if self.first_token_at is None:
            now = self.first_token_at = self.session.manager.now()
            if self.timer:
                self.timer.cancel()
            if self.admitted_at is not None:
                self.leave_window((now - self.admitted_at) / self.latency_target)
        self.unsent_parts.append(text)
        if not self.session.writer.slow:
            self.flush()

    def flush(self) -> None:
        """Send the merged tokens."""
        if not self.unsent_parts:
            return
        text, self.unsent_parts = "".join(self.unsent_parts), []
        self.text_parts.append(text)
        self.session.writer.chunk(self.key, self.name, text)

    def finished(self, reason: str, usage: Mapping[str, Any]) -> None:
        manager, tokens = self.session.manager, usage.get("completion_tokens")
        if self.started and self.first_token_at is not None and isinstance(tokens, int) and tokens > 1:
            target = manager.core.workloads[self.arguments["workload"]].token_target
            pace = (manager.now() - self.first_token_at) / (tokens - 1) / target
            manager.fair_queue.record_stream_pace(pace)
            if self.session.interactive:
                manager.on_stream_finished(pace, manager.now())
        self.flush()
        self.close()
        self.session.writer.finished(self.key, self.name, reason, usage, "".join(self.text_parts))

    def rate_limited(self, retry_after: float) -> None:
        self.leave_window(inf)
        self.close()
        self.session.writer.rate_limited(self.key, self.name, retry_after)

    def aborted(self, why: str) -> None:
        self.leave_window(inf)
        self.flush()
        self.close()
        effect = self.session.manager.core.workloads[self.arguments["workload"]].effect
        self.session.writer.aborted(self.key, self.name, why, retry_after_abort(effect))

    def on_timeout(self) -> None:
        """Abort a repeat that has timed out while the request that it joined goes on."""
        if self.ended or not self.shared:
            return
        self.shared.leave(self)
        self.close()
        self.session.writer.aborted(
            self.key, self.name, "still out: come again with the same key", retry_while_in_progress()
        )

    def leave(self, cancelled: bool) -> None:
        """Stop receiving the answer, because the client cancelled the request or has disconnected."""
        manager, shared = self.session.manager, self.shared
        if shared is None and not self.started:
            self.session.waiting.remove(self)
            self.session.schedule_expiry()
        self.close()
        if shared is None:
            return
        if shared.leave(self) and not shared.over:
            effect = manager.core.workloads[self.arguments["workload"]].effect
            if cancelled or effect is Effect.IDEMPOTENT or not self.arguments["mark"]:
                shared.abandon()

    def close(self) -> None:
        """Free what the request holds in the session, the fair queue and the window."""
        if self.ended:
            return
        self.ended = True
        session, manager = self.session, self.session.manager
        if self.timer:
            self.timer.cancel()
        manager.fair_queue.discard(self, manager.now())
        self.leave_window()
        if session.requests.get(self.key) is self:
            del session.requests[self.key]
        if self.counts_bytes:
            session.held_bytes -= self.size
            manager.capacity.held_bytes -= self.size
            session.writer.resume_reading()
        if self.started:
            session.active -= 1
            session.start_next()
