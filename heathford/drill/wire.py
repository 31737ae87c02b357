"""The simulator's events as calls on routers, and the routers' actions as messages to the simulator.

The simulated front nodes share nothing but the clock of the batch and the endpoint lists that are defined.
"""

import sys
import traceback
from collections.abc import Callable
from typing import Any

from heathford.bootinfo import NS_PER_SECOND, read_router_settings
from heathford.interface import RoutedRequest, Health, Outcome
from heathford.policy import Router

# The names on the wire.
HEALTH_BY_NAME = {"on": Health.ON, "fading": Health.DRAINING, "off": Health.REMOVED}
OUTCOME_BY_NAME = {
    "delivered": Outcome.FINISHED,
    "app_error": Outcome.ERROR,
    "shed": Outcome.FULL,
    "expired": Outcome.TIMED_OUT,
    "dial_failed": Outcome.UNREACHABLE,
    "dropped": Outcome.BROKEN,
    "revoked": Outcome.CANCELLED,
    "unused": Outcome.UNSENT,
    "READ": Outcome.PREFILLED,
}
LOAD_KEYS = {"cpu": "slots", "waiting": "queue", "active": "held", "x0": "memory"}


def to_nanoseconds(seconds: float) -> int:
    return max(0, round(seconds * NS_PER_SECOND))


class BatchClock:
    """The time of the batch that is being processed, in s."""

    now = 0.0


class WireRequest:
    """The actions for one request, encoded as messages; implements heathford.interface.RequestActions."""

    def __init__(self, emit: Callable[[str, dict[str, Any]], None], request_id: str) -> None:
        self.emit, self.request_id = emit, request_id

    def send(self, engine: int, timeout: float) -> None:
        self.emit(
            "relay", {"id": self.request_id, "engine": engine, "tryForNs": max(1, to_nanoseconds(timeout))}
        )

    def cancel(self, seq: int) -> None:
        self.emit("undoSend", {"id": self.request_id, "seqNo": seq})

    def rate_limit(self, retry_after: float) -> None:
        self.emit("shed", {"id": self.request_id, "coolDownNs": to_nanoseconds(retry_after)})

    def abort(self) -> None:
        self.emit("finishError", {"id": self.request_id})

    def release(self) -> None:
        self.emit("release", {"id": self.request_id})


class FrontNode:
    """One front node: its router, and the requests that are not done by their ids on the wire."""

    def __init__(
        self, front_id: int, clock: BatchClock, output: list[dict[str, Any]], event: dict[str, Any]
    ) -> None:
        self.front_id, self.output = front_id, output
        self.requests: dict[str, RoutedRequest] = {}
        info = event["bootInfo"]
        self.router = Router(
            clock,
            self,
            event["rngSeed"],
            subscribe=info.get("registryMode") == "subscribe",
            **read_router_settings(info),
        )

    def emit(self, name: str, fields: dict[str, Any]) -> None:
        self.output.append({name: {"who": self.front_id, **fields}})

    def wake(self, after: float) -> None:
        self.emit("setAlarm", {"sleepForNs": to_nanoseconds(after), "keyBack": 0})

    def subscribe(self) -> None:
        self.emit("streamChanges", {"on": True})

    def trace(self, text: str) -> None:
        self.emit("trace", {"text": text})

    def apply_endpoint_list(self, event: dict[str, Any], entries: list[dict[str, Any]]) -> None:
        """Apply a snapshot or a change of the endpoint list, or the news that it is unavailable."""
        if event["scope"] == "unavailable":
            self.router.list_request_failed()
            return
        self.router.begin_list_update(complete=event["scope"] != "update")
        for entry in entries:
            try:
                self.router.update_engine(
                    entry["engine"],
                    entry.get("rackZone", 0),
                    entry.get("model", 0),
                    entry.get("bay", 0),
                    HEALTH_BY_NAME[entry["health"]],
                    entry.get("nominal", 1.0),
                    entry.get("bootTimeNs", 0) / NS_PER_SECOND,
                )
            except (KeyError, IndexError, TypeError) as error:
                # Guards against one invalid entry that discards all others, drains among them. An engine of a
                # kind that the settings don't have gets no requests.
                self.trace(f"an entry that can't be read is passed over: {error!r} in {str(entry)[:80]}")
        self.router.end_list_update()

    def accept_request(self, event: dict[str, Any]) -> None:
        key = event["id"]
        request = self.router.accept(
            WireRequest(self.emit, key),
            event.get("type", 0),
            event.get("userGroup", 0),
            event.get("conversation", ""),
            event.get("sharedPrefix", ""),
            event.get("nPrompt", 0),
            event.get("sharedLen", 0),
            event.get("maxOut", 0),
            event.get("workHintNs", 0) / NS_PER_SECOND,
            event["dueNs"] / NS_PER_SECOND,
        )
        self.requests[key] = request

    def on_request_event(self, name: str, event: dict[str, Any]) -> None:
        """Pass on an event of a request: its first token, the end of an attempt, or that its client left."""
        request = self.requests.get(event["id"])
        if request is None:  # a late event of a request that is done
            return
        if name == "ackFirst":
            request.first_token(event.get("seqNo", 0), event.get("latencyNs", 0) / NS_PER_SECOND)
        elif name == "attemptEnd":
            load_report = {
                LOAD_KEYS[k]: v for k, v in (event.get("healthInfo") or {}).items() if k in LOAD_KEYS
            }
            request.ended(
                event.get("seqNo", 0),
                OUTCOME_BY_NAME[event["verdict"]],
                event.get("latencyNs", 0) / NS_PER_SECOND,
                event.get("closed", False),
                event.get("detail", 0),
                load_report,
            )
        else:
            request.client_left()

    def decide(self) -> None:
        self.router.decide()
        for key in [k for k, request in self.requests.items() if request.is_done]:
            del self.requests[key]


class WireAdapter:
    """All simulated front nodes of this process."""

    def __init__(self) -> None:
        self.clock = BatchClock()
        self.fronts: dict[int, FrontNode] = {}
        self.endpoint_lists: dict[int, list[dict[str, Any]]] = {}
        self.output: list[dict[str, Any]] = []

    def run_batch(self, clock_ns: int, events: list[dict[str, dict[str, Any]]]) -> list[dict[str, Any]]:
        """Process the events of one batch, let each front node concerned decide, and return all messages."""
        self.clock.now = clock_ns / NS_PER_SECOND
        self.output.clear()
        touched: dict[int, None] = {}
        for message in events:
            for name, event in message.items():
                self.handle_event(name, event)
                if "who" in event:
                    touched[event["who"]] = None
        for front_id in touched:
            if front_id in self.fronts:
                self.report_exceptions(front_id, "decide", self.fronts[front_id].decide)
        return self.output

    def handle_event(self, name: str, event: dict[str, Any]) -> None:
        if name == "defineList":
            self.endpoint_lists[event["list"]] = event["rows"]
            return
        front_id = event["who"]
        if name == "configure":
            self.report_exceptions(front_id, name, lambda: self.start_front(front_id, event))
            return
        front = self.fronts.get(front_id)
        if front is None:
            print(f"heathford.drill: {name} event for unknown front node {front_id}", file=sys.stderr)
        elif name == "stop":
            del self.fronts[front_id]
        elif name == "fleet":
            entries = self.endpoint_lists.get(event.get("list", -1), [])
            self.report_exceptions(front_id, name, lambda: front.apply_endpoint_list(event, entries))
        elif name == "jobIn":
            self.report_exceptions(front_id, name, lambda: front.accept_request(event))
        elif name in ("ackFirst", "attemptEnd", "dropped"):
            self.report_exceptions(front_id, name, lambda: front.on_request_event(name, event))

    def start_front(self, front_id: int, event: dict[str, Any]) -> None:
        self.fronts[front_id] = FrontNode(front_id, self.clock, self.output, event)

    def report_exceptions(self, front_id: int, name: str, call: Callable[[], None]) -> None:
        """Call a front node; report an exception as the wire's exception message, with its cause."""
        try:
            call()
        except Exception as error:
            traceback.print_exc()
            self.output.append({"exception": {"who": front_id, "text": f"{name}: {error!r}"}})
