"""The endpoint list's follower on a fake clock: every way a call can fail, and when a change is acted on."""

import json
from collections.abc import Callable
from functools import partial
from heapq import heappop, heappush
from itertools import count, pairwise

import pytest
from hypothesis import given
from hypothesis import strategies as st

from heathford.discovery.follower import (
    ANSWER_WITHIN,
    LIST_WITHIN,
    RETRY_MOST,
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

TOLD_WITHIN = 6.0  # s after discovery had a change and could be reached: the page's term
AT_ONCE = 0.25  # s after discovery's return: the shortest drain grace known
HEARTBEAT = 2.0  # s between two empty lines of a watch
HEAD = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"


def chunk(data: bytes) -> bytes:
    return b"%x\r\n%b\r\n" % (len(data), data)


class Discovery:
    """A server on the fake clock. Each call takes the next behaviour of its kind, or goes well."""

    def __init__(self) -> None:
        self.now = 0.0
        self.agenda: list[tuple[float, int, Callable[[], None]]] = []
        self.order = count()
        self.version = 1
        self.states = {"a": "SERVING", "b": "SERVING"}
        self.behaviours: dict[CallKind, list[str]] = {CallKind.LIST: [], CallKind.WATCH: []}
        self.indent: int | None = None
        self.call: Call | None = None
        self.watching: Call | None = None  # the watch that hears of changes
        self.calls: list[tuple[float, CallKind]] = []
        self.known: dict[str, Health] = {}
        self.acted: dict[tuple[str, Health], float] = {}  # when the follower first said so
        self.endpoints = EndpointList({"m": (0, Role.DECODE)}, ["z"])
        self.follower = DiscoveryFollower(self.endpoints, self.changed)

    # What the follower says.

    def changed(self, change: ListChange) -> None:
        said = {row[0].name: row[4] for row in change.entries}
        if change.complete:
            said |= {name: Health.REMOVED for name in self.known if name not in said}
        self.known |= said
        for name, health in said.items():
            self.acted.setdefault((name, health), self.now)

    # The clock.

    def at(self, when: float, do: Callable[[], None]) -> None:
        heappush(self.agenda, (when, next(self.order), do))

    def run(self, until: float) -> None:
        while True:
            if self.follower.call is not self.call:
                self.call = self.follower.call
                if self.call:
                    self.open(self.call)
            due = self.agenda[0][0] if self.agenda else until
            if min(due, self.follower.deadline) >= until:
                self.now = until
                return
            if due <= self.follower.deadline:
                self.now, _, do = heappop(self.agenda)
                do()
            else:
                self.now = self.follower.deadline
                self.follower.wake(self.now)

    # The server.

    def open(self, call: Call) -> None:
        self.calls.append((self.now, call.kind))
        behaviours = self.behaviours[call.kind]
        behaviour = behaviours.pop(0) if behaviours else "good"
        self.plan(call, behaviour)

    def body(self, version: int, states: dict[str, str], complete: bool) -> bytes:
        targets = [
            {"uid": uid, "endpoint": "127.0.0.1:9000", "az": "z", "model": "m", "state": state}
            for uid, state in states.items()
        ]
        said = {"rev": version, "all": complete, "targets": targets}
        return json.dumps(said, indent=self.indent).encode()

    def send(self, call: Call, after: float, data: bytes) -> None:
        self.at(self.now + after, lambda: self.follower.received(call, data, 1000.0, self.now))

    def end(self, call: Call, after: float) -> None:
        self.at(self.now + after, lambda: self.follower.ended(call, "scripted", self.now))

    def plan(self, call: Call, behaviour: str) -> None:
        """What comes on that connection, and when."""
        whole = self.body(self.version, self.states, complete=True)
        answer = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(whole) + whole
        is_list = call.kind is CallKind.LIST
        good = answer if is_list else HEAD
        match behaviour:
            case "good":
                self.send(call, 0.001, good)
                if not is_list:
                    self.watching = call
                    self.at(self.now + HEARTBEAT, lambda: self.beat(call))
            case "refused":
                self.end(call, 0.001)
            case "silent":
                pass
            case "head only":
                self.send(call, 0.001, good[: good.index(b"\r\n\r\n") + 4])
            case "half":
                part = answer[: len(answer) // 2] if is_list else HEAD + chunk(whole[: len(whole) // 2])
                self.send(call, 0.001, part)
            case "reset":
                self.send(call, 0.001, good[:20])
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
                old = self.body(self.version - 1, {}, complete=False)
                self.send(call, 0.001, HEAD + chunk(old + b"\n") + (b"0\r\n\r\n" if is_list else b""))
            case "pieces":
                for n, at in enumerate(range(0, len(answer), 7)):
                    self.send(call, 0.01 * (n + 1), answer[at : at + 7])
            case _:
                raise AssertionError(behaviour)

    def beat(self, call: Call) -> None:
        if self.watching is call:
            self.follower.received(call, chunk(b"\n"), 1000.0, self.now)
            self.at(self.now + HEARTBEAT, lambda: self.beat(call))

    def change(self, uid: str, state: str) -> None:
        """Discovery has it from now on, and a watch that hears says so."""
        self.version += 1
        self.states[uid] = state
        if self.watching:
            line = self.body(self.version, {uid: state}, complete=False) + b"\n"
            self.follower.received(self.watching, chunk(line), 1000.0, self.now)


@pytest.fixture
def discovery() -> Discovery:
    found = Discovery()
    found.follower.start(0.0)
    return found


def test_the_list_is_asked_for_and_then_watched(discovery: Discovery) -> None:
    discovery.run(5.0)
    assert [kind for _, kind in discovery.calls] == [CallKind.LIST, CallKind.WATCH]
    discovery.change("a", "DRAINING")
    assert discovery.acted["a", Health.DRAINING] == 5.0
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
def test_a_change_is_acted_on_in_time_whatever_failed(
    discovery: Discovery, first: str, second: str, after: float
) -> None:
    """A watch fails, and the list call that repairs it as well. The change comes some time after the watch
    was opened; nobody but a whole list tells of it."""
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
    assert discovery.acted["a", Health.DRAINING] - changed_at < TOLD_WITHIN - 0.5


@pytest.mark.parametrize("failure", ["refused", "silent", "head only", "half", "reset", "unavailable"])
@pytest.mark.parametrize("outage", [0.3, 0.97, 8.0, 8.11])
def test_after_an_outage_the_list_is_had_within_the_shortest_grace(
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
    assert discovery.acted["a", Health.DRAINING] - (3.0 + outage) < AT_ONCE
    assert len(discovery.calls) < 15 * (outage + 1)  # the agent is not pressed


def test_a_watch_that_falls_silent_is_told_from_one_that_rests(discovery: Discovery) -> None:
    discovery.run(21.0)
    assert len(discovery.calls) == 2
    discovery.watching = None  # silent from its last beat at 20 s
    discovery.change("a", "DRAINING")
    discovery.run(40.0)
    assert discovery.acted["a", Health.DRAINING] < 20.0 + WATCH_SILENCE + 0.1


def test_a_second_silence_while_the_first_is_repaired(discovery: Discovery) -> None:
    """Three watches in a row say nothing, and each first list call after them gets no answer."""
    discovery.run(3.0)
    discovery.behaviours[CallKind.WATCH] = ["silent"] * 3
    discovery.behaviours[CallKind.LIST] = ["silent", "good"] * 3
    discovery.watching = None
    changes = {"a": 6.0, "b": 9.3}
    for uid, when in changes.items():
        discovery.at(when, partial(discovery.change, uid, "DRAINING"))
    discovery.run(20.0)
    for uid, when in changes.items():
        assert discovery.acted[uid, Health.DRAINING] - when < TOLD_WITHIN - 1.0


def test_a_list_in_pieces_is_taken(discovery: Discovery) -> None:
    discovery.behaviours[CallKind.LIST] = ["pieces"]
    discovery.run(2.0)
    assert discovery.known == {"a": Health.ON, "b": Health.ON}


def test_a_list_slower_than_the_first_bound_is_heard_at_last(discovery: Discovery) -> None:
    """Each of its pieces comes in time, and all of them in 2 s."""
    discovery.behaviours[CallKind.LIST] = ["silent"]
    discovery.run(0.001)
    whole = discovery.body(1, discovery.states, complete=True)
    answer = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(whole) + whole
    size = len(answer) // 20 + 1
    asked = len(discovery.calls)
    discovery.behaviours[CallKind.LIST] = ["silent"] * 100
    while ("a", Health.ON) not in discovery.acted and discovery.now < 20.0:
        if discovery.call and discovery.call.kind is CallKind.LIST and len(discovery.calls) > asked:
            asked = len(discovery.calls)
            for n in range(20):
                discovery.send(discovery.call, 0.1 * n, answer[n * size : (n + 1) * size])
        discovery.run(discovery.now + 0.01)
    assert discovery.acted["a", Health.ON] < LIST_WITHIN + 4.0


@pytest.mark.parametrize("indent", [1, 4])
def test_indented_lists_are_read_in_both_calls(discovery: Discovery, indent: int) -> None:
    discovery.indent = indent
    discovery.run(5.0)
    discovery.change("a", "DRAINING")
    discovery.run(5.5)
    assert discovery.known == {"a": Health.DRAINING, "b": Health.ON}
    assert discovery.acted["a", Health.DRAINING] == 5.0 and len(discovery.calls) == 2


def test_an_address_that_moves_during_an_outage_is_asked_at_once(discovery: Discovery) -> None:
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
    assert discovery.acted["a", Health.DRAINING] - 9.05 < 0.01


def test_bytes_of_a_call_that_was_given_up_are_not_read(discovery: Discovery) -> None:
    discovery.behaviours[CallKind.LIST] = ["silent"]
    discovery.run(0.01)
    given_up = discovery.call
    assert given_up
    discovery.run(ANSWER_WITHIN + 0.01)
    discovery.send(given_up, 0.0, b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}")
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

    def test_nothing_drained_or_gone_serves_again(self, discovery: Discovery) -> None:
        self.restart(discovery)
        assert discovery.known == {"a": Health.DRAINING, "b": Health.REMOVED, "c": Health.ON}

    def test_its_further_changes_count(self, discovery: Discovery) -> None:
        self.restart(discovery)
        discovery.change("d", "SERVING")
        discovery.change("c", "DRAINING")
        assert discovery.known["c"] is Health.DRAINING and discovery.known["d"] is Health.ON

    def test_once_it_is_as_far_as_before_all_it_says_counts(self, discovery: Discovery) -> None:
        self.restart(discovery)
        discovery.version = 101
        discovery.change("a", "SERVING")
        assert discovery.known["a"] is Health.ON

    def test_a_change_on_an_open_watch_is_found_by_a_whole_list(self, discovery: Discovery) -> None:
        """Dropped as replayed, it would not be heard until discovery was as far as before."""
        discovery.change("c", "DRAINING")
        discovery.run(discovery.now + 0.5)
        assert discovery.known["c"] is Health.DRAINING


def test_the_bounds_add_up() -> None:
    assert WATCH_SILENCE > HEARTBEAT + 0.5
    assert WATCH_SILENCE + LIST_WITHIN + RETRY_MOST + ANSWER_WITHIN < TOLD_WITHIN - 1.0
    assert ANSWER_WITHIN + RETRY_MOST < AT_ONCE


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
def test_objects_are_the_same_however_the_bytes_are_split(
    objects: list[dict[str, object]], indent: int | None, cuts: list[int]
) -> None:
    data = b"".join(json.dumps(each, indent=indent).encode() + b"\n\n" for each in objects)
    places = [0, *sorted(cuts), len(data)]
    stream = JsonStream(10_000)
    found = [whole for a, b in pairwise(places) for whole in stream.feed(data[a:b])]
    assert [json.loads(whole) for whole in found if whole] == objects
    assert found.count(b"") == len(objects)
    assert not stream.unfinished


@given(st.binary(max_size=200))
def test_nonsense_is_refused_and_never_raises_anything_else(data: bytes) -> None:
    stream = JsonStream(100)
    try:
        for _ in stream.feed(data):
            pass
    except MalformedMessageError:
        return
    assert len(stream.line) + stream.size <= 100
