"""DiscoveryFollower on a fake clock: each way in which a call can fail, and when a change is applied."""

import json
from collections.abc import Callable
from functools import partial
from heapq import heappop, heappush
from itertools import count, pairwise

import pytest
from hypothesis import given
from hypothesis import strategies as st

from heathford.discovery.follower import (
    READ_TIMEOUT,
    LIST_TIMEOUT,
    RETRY_DELAY_MAX,
    WATCH_SILENCE,
    Call,
    CallKind,
    DiscoveryFollower,
    ListChange,
)
from heathford.discovery.json_stream import JsonStream
from heathford.fleet.endpoint_list import EndpointList
from heathford.interface import Health, Role
from heathford.wire.http1 import MalformedMessageError

APPLIED_WITHIN = 6.0  # s after discovery had a change and could be reached: the requirement
DRAIN_GRACE = 0.25  # s after the end of an outage: the shortest drain grace known
HEARTBEAT_INTERVAL = 2.0  # s between two empty lines of a watch
HEAD = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"


def chunk(data: bytes) -> bytes:
    return b"%x\r\n%b\r\n" % (len(data), data)


class Discovery:
    """Discovery on a fake clock. Each call takes the next behaviour of its kind, or succeeds without one."""

    def __init__(self) -> None:
        self.now = 0.0
        self.event_queue: list[tuple[float, int, Callable[[], None]]] = []
        self.event_order = count()
        self.version = 1
        self.states = {"a": "SERVING", "b": "SERVING"}
        self.behaviours: dict[CallKind, list[str]] = {CallKind.LIST: [], CallKind.WATCH: []}
        self.indent: int | None = None
        self.call: Call | None = None
        self.watching: Call | None = None  # the watch that receives changes
        self.calls: list[tuple[float, CallKind]] = []
        self.known: dict[str, Health] = {}
        self.applied_at: dict[tuple[str, Health], float] = {}  # when the follower first reported it, s
        self.endpoints = EndpointList({"m": (0, Role.DECODE)}, ["z"])
        self.follower = DiscoveryFollower(self.endpoints, self.changed)

    # Called by the follower.

    def changed(self, change: ListChange) -> None:
        reported = {entry[0].name: entry[4] for entry in change.entries}
        if change.complete:
            reported |= {name: Health.REMOVED for name in self.known if name not in reported}
        self.known |= reported
        for name, health in reported.items():
            self.applied_at.setdefault((name, health), self.now)

    # The fake clock.

    def schedule(self, when: float, action: Callable[[], None]) -> None:
        heappush(self.event_queue, (when, next(self.event_order), action))

    def run(self, until: float) -> None:
        while True:
            if self.follower.call is not self.call:
                self.call = self.follower.call
                if self.call:
                    self.open(self.call)
            next_event = self.event_queue[0][0] if self.event_queue else until
            if min(next_event, self.follower.wake_at) >= until:
                self.now = until
                return
            if next_event <= self.follower.wake_at:
                self.now, _, action = heappop(self.event_queue)
                action()
            else:
                self.now = self.follower.wake_at
                self.follower.wake(self.now)

    # The discovery server.

    def open(self, call: Call) -> None:
        self.calls.append((self.now, call.kind))
        behaviours = self.behaviours[call.kind]
        behaviour = behaviours.pop(0) if behaviours else "good"
        self.respond(call, behaviour)

    def body(self, version: int, states: dict[str, str], complete: bool) -> bytes:
        targets = [
            {"uid": uid, "endpoint": "127.0.0.1:9000", "az": "z", "model": "m", "state": state}
            for uid, state in states.items()
        ]
        message = {"rev": version, "all": complete, "targets": targets}
        return json.dumps(message, indent=self.indent).encode()

    def send(self, call: Call, after: float, data: bytes) -> None:
        self.schedule(self.now + after, lambda: self.follower.received(call, data, 1000.0, self.now))

    def end(self, call: Call, after: float) -> None:
        self.schedule(self.now + after, lambda: self.follower.ended(call, "scripted", self.now))

    def respond(self, call: Call, behaviour: str) -> None:
        """Schedule what arrives on the connection of that call."""
        document = self.body(self.version, self.states, complete=True)
        answer = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(document) + document
        is_list = call.kind is CallKind.LIST
        complete_response = answer if is_list else HEAD
        match behaviour:
            case "good":
                self.send(call, 0.001, complete_response)
                if not is_list:
                    self.watching = call
                    self.schedule(self.now + HEARTBEAT_INTERVAL, lambda: self.send_heartbeat(call))
            case "refused":
                self.end(call, 0.001)
            case "silent":
                pass
            case "head only":
                self.send(call, 0.001, complete_response[: complete_response.index(b"\r\n\r\n") + 4])
            case "half":
                part = answer[: len(answer) // 2] if is_list else HEAD + chunk(document[: len(document) // 2])
                self.send(call, 0.001, part)
            case "reset":
                self.send(call, 0.001, complete_response[:20])
                self.end(call, 0.01)
            case "trickle":
                self.send(call, 0.001, answer[:60] if is_list else HEAD + chunk(b"{"))
                for n in range(400):
                    self.send(call, 0.1 * (n + 1), b" " if is_list else chunk(b" "))
            case "unreadable":
                self.send(call, 0.001, HEAD + chunk(b"\x00{]\n") + (b"0\r\n\r\n" if is_list else b""))
            case "unavailable":
                self.send(call, 0.001, b"HTTP/1.1 503 X\r\nContent-Length: 2\r\n\r\nno")
            case "replayed":
                replayed = self.body(self.version - 1, {}, complete=False)
                self.send(call, 0.001, HEAD + chunk(replayed + b"\n") + (b"0\r\n\r\n" if is_list else b""))
            case "pieces":
                for n, offset in enumerate(range(0, len(answer), 7)):
                    self.send(call, 0.01 * (n + 1), answer[offset : offset + 7])
            case _:
                raise AssertionError(behaviour)

    def send_heartbeat(self, call: Call) -> None:
        if self.watching is call:
            self.follower.received(call, chunk(b"\n"), 1000.0, self.now)
            self.schedule(self.now + HEARTBEAT_INTERVAL, lambda: self.send_heartbeat(call))

    def change(self, uid: str, state: str) -> None:
        """Change the state of an engine at discovery, and send the change to the open watch."""
        self.version += 1
        self.states[uid] = state
        if self.watching:
            line = self.body(self.version, {uid: state}, complete=False) + b"\n"
            self.follower.received(self.watching, chunk(line), 1000.0, self.now)


@pytest.fixture
def discovery() -> Discovery:
    server = Discovery()
    server.follower.start(0.0)
    return server


def test_the_list_is_fetched_and_then_watched(discovery: Discovery) -> None:
    discovery.run(5.0)
    assert [kind for _, kind in discovery.calls] == [CallKind.LIST, CallKind.WATCH]
    discovery.change("a", "DRAINING")
    assert discovery.applied_at["a", Health.DRAINING] == 5.0
    discovery.run(60.0)
    assert len(discovery.calls) == 2


FAILURES = [
    "refused",
    "silent",
    "head only",
    "half",
    "reset",
    "trickle",
    "unreadable",
    "unavailable",
    "replayed",
]


@pytest.mark.parametrize("second", [*FAILURES, "good"])
@pytest.mark.parametrize("first", FAILURES)
@pytest.mark.parametrize("after", [0.0, 0.5, 2.9])
def test_a_change_is_applied_in_time_whichever_calls_failed(
    discovery: Discovery, first: str, second: str, after: float
) -> None:
    """A watch fails, and so does the call for the list that follows. The change happens some time after the
    watch was opened, and is reported by the next whole list only."""
    discovery.run(3.0)
    discovery.behaviours[CallKind.WATCH] = [first, first]
    discovery.behaviours[CallKind.LIST] = ["good", second]
    assert discovery.call
    discovery.watching = None
    discovery.follower.ended(discovery.call, "reset", discovery.now)
    discovery.run(3.0 + after)
    changed_at = discovery.now
    discovery.change("a", "DRAINING")
    discovery.run(30.0)
    assert discovery.applied_at["a", Health.DRAINING] - changed_at < APPLIED_WITHIN - 0.5


@pytest.mark.parametrize("failure", ["refused", "silent", "head only", "half", "reset", "unavailable"])
@pytest.mark.parametrize("outage", [0.3, 0.97, 8.0, 8.11])
def test_after_an_outage_the_list_is_applied_within_the_shortest_drain_grace(
    discovery: Discovery, failure: str, outage: float
) -> None:
    discovery.run(3.0)
    discovery.behaviours[CallKind.LIST] = [failure] * 1000
    assert discovery.call
    discovery.watching = None
    discovery.follower.ended(discovery.call, "reset", discovery.now)
    discovery.run(3.0 + outage)
    discovery.behaviours[CallKind.LIST] = []
    discovery.change("a", "DRAINING")
    discovery.run(20.0)
    assert discovery.applied_at["a", Health.DRAINING] - (3.0 + outage) < DRAIN_GRACE
    assert len(discovery.calls) < 15 * (outage + 1)  # the agent is not overloaded


def test_a_silent_watch_is_distinguished_from_an_idle_one(discovery: Discovery) -> None:
    discovery.run(21.0)
    assert len(discovery.calls) == 2
    discovery.watching = None  # silent from its last heartbeat at 20 s
    discovery.change("a", "DRAINING")
    discovery.run(40.0)
    assert discovery.applied_at["a", Health.DRAINING] < 20.0 + WATCH_SILENCE + 0.1


def test_several_silent_watches_in_a_row(discovery: Discovery) -> None:
    """Three watches in a row are silent, and the first call for the list after each gets no answer."""
    discovery.run(3.0)
    discovery.behaviours[CallKind.WATCH] = ["silent"] * 3
    discovery.behaviours[CallKind.LIST] = ["silent", "good"] * 3
    discovery.watching = None
    changes = {"a": 6.0, "b": 9.3}
    for uid, when in changes.items():
        discovery.schedule(when, partial(discovery.change, uid, "DRAINING"))
    discovery.run(20.0)
    for uid, when in changes.items():
        assert discovery.applied_at[uid, Health.DRAINING] - when < APPLIED_WITHIN - 1.0


def test_a_list_that_arrives_in_pieces_is_applied(discovery: Discovery) -> None:
    discovery.behaviours[CallKind.LIST] = ["pieces"]
    discovery.run(2.0)
    assert discovery.known == {"a": Health.ON, "b": Health.ON}


def test_a_list_slower_than_the_first_time_out_is_applied(discovery: Discovery) -> None:
    """Each piece arrives in time, and the whole list takes 2 s."""
    discovery.behaviours[CallKind.LIST] = ["silent"]
    discovery.run(0.001)
    document = discovery.body(1, discovery.states, complete=True)
    answer = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(document) + document
    size = len(answer) // 20 + 1
    calls_made = len(discovery.calls)
    discovery.behaviours[CallKind.LIST] = ["silent"] * 100
    while ("a", Health.ON) not in discovery.applied_at and discovery.now < 20.0:
        if discovery.call and discovery.call.kind is CallKind.LIST and len(discovery.calls) > calls_made:
            calls_made = len(discovery.calls)
            for n in range(20):
                discovery.send(discovery.call, 0.1 * n, answer[n * size : (n + 1) * size])
        discovery.run(discovery.now + 0.01)
    assert discovery.applied_at["a", Health.ON] < LIST_TIMEOUT + 4.0


@pytest.mark.parametrize("indent", [1, 4])
def test_indented_objects_are_parsed_in_both_calls(discovery: Discovery, indent: int) -> None:
    discovery.indent = indent
    discovery.run(5.0)
    discovery.change("a", "DRAINING")
    discovery.run(5.5)
    assert discovery.known == {"a": Health.DRAINING, "b": Health.ON}
    assert discovery.applied_at["a", Health.DRAINING] == 5.0 and len(discovery.calls) == 2


def test_a_new_address_is_called_at_once_during_an_outage(discovery: Discovery) -> None:
    discovery.run(3.0)
    discovery.behaviours[CallKind.LIST] = ["silent"] * 1000
    assert discovery.call
    discovery.watching = None
    discovery.follower.ended(discovery.call, "reset", discovery.now)
    discovery.run(9.05)
    discovery.change("a", "DRAINING")
    discovery.behaviours[CallKind.LIST] = []
    discovery.follower.start(discovery.now)
    discovery.run(10.0)
    assert discovery.applied_at["a", Health.DRAINING] - 9.05 < 0.01


def test_bytes_of_a_dropped_call_are_ignored(discovery: Discovery) -> None:
    discovery.behaviours[CallKind.LIST] = ["silent"]
    discovery.run(0.01)
    dropped = discovery.call
    assert dropped
    discovery.run(READ_TIMEOUT + 0.01)
    discovery.send(dropped, 0.0, b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}")
    discovery.run(1.0)
    assert discovery.known == {"a": Health.ON, "b": Health.ON} and not discovery.follower.failures


class TestDiscoveryThatGoesBack:
    """Its version is lower than before, as after a restart from an older state or at another address."""

    @pytest.fixture
    def discovery(self, discovery: Discovery) -> Discovery:
        discovery.run(1.0)
        discovery.change("a", "DRAINING")
        discovery.change("b", "DELETED")
        discovery.version = 100
        discovery.change("c", "SERVING")
        assert discovery.known == {"a": Health.DRAINING, "b": Health.REMOVED, "c": Health.ON}
        discovery.version, discovery.states = 5, {"a": "SERVING", "b": "SERVING", "c": "SERVING"}
        return discovery

    def restart(self, discovery: Discovery) -> None:
        assert discovery.call
        discovery.watching = None
        discovery.follower.ended(discovery.call, "reset", discovery.now)
        discovery.run(discovery.now + 0.5)

    def test_no_drained_or_removed_engine_serves_again(self, discovery: Discovery) -> None:
        self.restart(discovery)
        assert discovery.known == {"a": Health.DRAINING, "b": Health.REMOVED, "c": Health.ON}

    def test_its_further_changes_are_applied(self, discovery: Discovery) -> None:
        self.restart(discovery)
        discovery.change("d", "SERVING")
        discovery.change("c", "DRAINING")
        assert discovery.known["c"] is Health.DRAINING and discovery.known["d"] is Health.ON

    def test_once_the_newest_version_is_reached_all_states_are_applied(self, discovery: Discovery) -> None:
        self.restart(discovery)
        discovery.version = 101
        discovery.change("a", "SERVING")
        assert discovery.known["a"] is Health.ON

    def test_an_older_change_on_an_open_watch_leads_to_a_whole_list(self, discovery: Discovery) -> None:
        """Ignored as a replay, it would have no effect until discovery reached the newest version again."""
        discovery.change("c", "DRAINING")
        discovery.run(discovery.now + 0.5)
        assert discovery.known["c"] is Health.DRAINING


def test_the_time_outs_add_up() -> None:
    assert WATCH_SILENCE > HEARTBEAT_INTERVAL + 0.5
    assert WATCH_SILENCE + LIST_TIMEOUT + RETRY_DELAY_MAX + READ_TIMEOUT < APPLIED_WITHIN - 1.0
    assert READ_TIMEOUT + RETRY_DELAY_MAX < DRAIN_GRACE


OBJECTS = st.recursive(
    st.integers() | st.text(max_size=5) | st.sampled_from(['"', "\\", "{", "}", "\n", '\\"{']),
    lambda inner: st.dictionaries(st.text(max_size=3), inner, max_size=3) | st.lists(inner, max_size=3),
    max_leaves=5,
)


@given(
    st.lists(st.dictionaries(st.text(max_size=3), OBJECTS, max_size=3), max_size=4),
    st.sampled_from([None, 1, 4]),
    st.lists(st.integers(0, 300), max_size=6),
)
def test_objects_do_not_depend_on_how_the_bytes_are_split(
    objects: list[dict[str, object]], indent: int | None, cuts: list[int]
) -> None:
    data = b"".join(json.dumps(each, indent=indent).encode() + b"\n\n" for each in objects)
    offsets = [0, *sorted(cuts), len(data)]
    stream = JsonStream(10_000)
    documents = [document for a, b in pairwise(offsets) for document in stream.feed(data[a:b])]
    assert [json.loads(document) for document in documents if document] == objects
    assert documents.count(b"") == len(objects)
    assert not stream.unfinished


@given(st.binary(max_size=200))
def test_malformed_bytes_raise_no_other_error(data: bytes) -> None:
    stream = JsonStream(100)
    try:
        for _ in stream.feed(data):
            pass
    except MalformedMessageError:
        return
    assert len(stream.line) + stream.size <= 100
