"""Instances on the wire: one Front each, with nothing shared but the batch clock and the declared lists."""

import sys
import traceback
from collections.abc import Callable
from typing import Any

from heathford.bootinfo import NS_PER_SECOND, read_router_settings
from heathford.interface import RoutedRequest, Health, Outcome
from heathford.policy import Router

HEALTHS = {"on": Health.ON, "fading": Health.DRAINING, "off": Health.REMOVED}
VERDICTS = {
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
LOADS = {"cpu": "slots", "waiting": "queue", "active": "held", "x0": "memory"}


def nanoseconds(seconds: float) -> int:
    return max(0, round(seconds * NS_PER_SECOND))


class BatchClock:
    now = 0.0


class WireCompletion:
    """Encodes what is done for one completion."""

    def __init__(self, act: Callable[[str, dict[str, Any]], None], completion: str) -> None:
        self.act, self.completion = act, completion

    def send(self, engine: int, timeout: float) -> None:
        self.act("relay", {"id": self.completion, "engine": engine, "tryForNs": max(1, nanoseconds(timeout))})

    def cancel(self, seq: int) -> None:
        self.act("undoSend", {"id": self.completion, "seqNo": seq})

    def rate_limit(self, retry_after: float) -> None:
        self.act("shed", {"id": self.completion, "coolDownNs": nanoseconds(retry_after)})

    def abort(self) -> None:
        self.act("finishError", {"id": self.completion})

    def release(self) -> None:
        self.act("release", {"id": self.completion})


class Front:
    """One instance: its router, and the handles of what it holds by their ids on the wire."""

    def __init__(
        self, who: int, clock: BatchClock, output: list[dict[str, Any]], event: dict[str, Any]
    ) -> None:
        self.who, self.output = who, output
        self.handles: dict[str, RoutedRequest] = {}
        info = event["bootInfo"]
        self.router = Router(
            clock,
            self,
            event["rngSeed"],
            subscribe=info.get("registryMode") == "subscribe",
            **read_router_settings(info),
        )

    def act(self, name: str, fields: dict[str, Any]) -> None:
        self.output.append({name: {"who": self.who, **fields}})

    def wake(self, after: float) -> None:
        self.act("setAlarm", {"sleepForNs": nanoseconds(after), "keyBack": 0})

    def subscribe(self) -> None:
        self.act("streamChanges", {"on": True})

    def trace(self, text: str) -> None:
        self.act("trace", {"text": text})

    def fleet(self, event: dict[str, Any], rows: list[dict[str, Any]]) -> None:
        if event["scope"] == "unavailable":
            self.router.list_request_failed()
            return
        self.router.begin_list_update(complete=event["scope"] != "update")
        for row in rows:
            try:
                self.router.update_engine(
                    row["engine"],
                    row.get("rackZone", 0),
                    row.get("model", 0),
                    row.get("bay", 0),
                    HEALTHS[row["health"]],
                    row.get("nominal", 1.0),
                    row.get("bootTimeNs", 0) / NS_PER_SECOND,
                )
            except (KeyError, IndexError, TypeError) as problem:
                # Guards against one entry that costs all others, whose drains are in the same list. Could
                # harm where an engine is named by a kind that the settings don't have: it gets nothing.
                self.trace(f"an entry that can't be read is passed over: {problem!r} in {str(row)[:80]}")
        self.router.end_list_update()

    def job_in(self, event: dict[str, Any]) -> None:
        key = event["id"]
        handle = self.router.accept(
            WireCompletion(self.act, key),
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
        self.handles[key] = handle

    def on_handle(self, name: str, event: dict[str, Any]) -> None:
        handle = self.handles.get(event["id"])
        if handle is None:  # late news of something over
            return
        if name == "ackFirst":
            handle.first_token(event.get("seqNo", 0), event.get("latencyNs", 0) / NS_PER_SECOND)
        elif name == "attemptEnd":
            load = {LOADS[k]: v for k, v in (event.get("healthInfo") or {}).items() if k in LOADS}
            handle.ended(
                event.get("seqNo", 0),
                VERDICTS[event["verdict"]],
                event.get("latencyNs", 0) / NS_PER_SECOND,
                event.get("closed", False),
                event.get("detail", 0),
                load,
            )
        else:
            handle.client_left()

    def decide(self) -> None:
        self.router.decide()
        for key in [k for k, handle in self.handles.items() if handle.is_done]:
            del self.handles[key]


class Host:
    """All instances of this process."""

    def __init__(self) -> None:
        self.clock = BatchClock()
        self.fronts: dict[int, Front] = {}
        self.lists: dict[int, list[dict[str, Any]]] = {}
        self.output: list[dict[str, Any]] = []

    def play(self, clock_ns: int, events: list[dict[str, dict[str, Any]]]) -> list[dict[str, Any]]:
        self.clock.now = clock_ns / NS_PER_SECOND
        self.output.clear()
        touched: dict[int, None] = {}
        for message in events:
            for name, event in message.items():
                self.event(name, event)
                if "who" in event:
                    touched[event["who"]] = None
        for who in touched:
            if who in self.fronts:
                self.guarded(who, "decide", self.fronts[who].decide)
        return self.output

    def event(self, name: str, event: dict[str, Any]) -> None:
        if name == "defineList":
            self.lists[event["list"]] = event["rows"]
            return
        who = event["who"]
        if name == "configure":
            self.guarded(who, name, lambda: self.start(who, event))
            return
        front = self.fronts.get(who)
        if front is None:
            print(f"heathford.drill: {name} for unknown instance {who}", file=sys.stderr)
        elif name == "stop":
            del self.fronts[who]
        elif name == "fleet":
            rows = self.lists.get(event.get("list", -1), [])
            self.guarded(who, name, lambda: front.fleet(event, rows))
        elif name == "jobIn":
            self.guarded(who, name, lambda: front.job_in(event))
        elif name in ("ackFirst", "attemptEnd", "dropped"):
            self.guarded(who, name, lambda: front.on_handle(name, event))

    def start(self, who: int, event: dict[str, Any]) -> None:
        self.fronts[who] = Front(who, self.clock, self.output, event)

    def guarded(self, who: int, name: str, call: Callable[[], None]) -> None:
        """What goes wrong inside the decisions is reported as the wire provides, with its cause."""
        try:
            call()
        except Exception as problem:
            traceback.print_exc()
            self.output.append({"exception": {"who": who, "text": f"{name}: {problem!r}"}})
