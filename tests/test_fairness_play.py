"""Long prompts and single sessions get their part: the policy alone, beside others, under several settings.

Engines read in turn, so a long prompt takes its time there; sizes within a class differ more than tenfold.
"""

from collections import defaultdict
from dataclasses import dataclass
from functools import partial

import pytest
from policy_fleet import BEGIN, CAPACITY, ENGINES, LAYOUTS, LOAD, Fleet, FrontNode, RequestDoor

from heathford.interface import Effect, Group, EngineKind, Role, Outcome, Workload

DAY = 24.0  # s in which requests arrive
FRONTS = 12
LARGEST, NEXT = 0.1, 0.2  # of a class's requests, by prompt
FEW, LARGEST_OF_FEW = 400, 0.25  # as the users count: a tenth of few requests would say nothing
QUIET, BUSY = 0.5, 1.2  # of all engines' capacity; for some seconds half as much again
SPREAD = 0.9  # of the logarithm of prompt lengths
TURNS = 5  # requests from which on a session can be said to be refused throughout

SETTINGS = {
    "three classes": [
        Workload(1.2, 0.04, 0.06, Effect.IDEMPOTENT, Group.ALL, 0.0, 3.0),
        Workload(3.0, 0.04, 0.08, Effect.IDEMPOTENT, Group.ALL, 0.0, 3.0),
        Workload(1.5, 0.04, 0.07, Effect.NON_IDEMPOTENT, Group.ALL, 0.0, 2.0),
    ],
    "many classes": [
        Workload(0.5, 0.03, 0.04, Effect.IDEMPOTENT, Group.ALL, 0.0, 1.0),
        Workload(1.0, 0.04, 0.06, Effect.IDEMPOTENCY_KEYED, Group.ZONE, 1.2, 3.0),
        Workload(1.5, 0.04, 0.06, Effect.NON_IDEMPOTENT, Group.ALL, 0.0, 8.0),
        Workload(2.0, 0.05, 0.06, Effect.IDEMPOTENCY_KEYED, Group.CELL, 9.0, 2.0),
        Workload(12.0, 0.15, 0.12, Effect.IDEMPOTENT, Group.ALL, 0.0, 0.2),
        Workload(4.0, 0.06, 0.08, Effect.IDEMPOTENCY_KEYED, Group.ALL, 3.0, 4.0),
    ],
    "one class": [Workload(0.8, 0.04, 0.06, Effect.NON_IDEMPOTENT, Group.ALL, 0.0, 1.0)],
}


@dataclass
class Asked:
    """One request and what became of it."""

    request_class: int
    session: str
    prompt: int
    answered: bool = False


class World(Fleet):
    """Requests of several classes and sizes; their engines read one after the other."""

    def __init__(self, load: float, kinds: list[EngineKind], classes: list[Workload], seed: int) -> None:
        self.load, self.classes = load, classes
        self.asked: dict[RequestDoor, Asked] = {}
        super().__init__(FRONTS, kinds, cold=0, seed=seed, day=DAY)

    def set_up(self) -> None:
        self.workloads = self.classes

    def ask(self) -> None:
        node: FrontNode = self.random.choice(self.nodes)
        place = self.random.randrange(len(self.classes))
        prompt = int(self.random.lognormvariate(7.0, SPREAD))
        text = str(self.random.randrange(30)) if self.random.random() < 0.6 else ""
        session = f"{place}.{self.random.randrange(40)}"
        door = RequestDoor(self, node)
        self.asked[door] = Asked(place, session, prompt)
        target = self.classes[place].latency_target
        door.handle = node.router.accept(
            door,
            place,
            0,
            session,
            text,
            prompt,
            min(prompt // 2, 500) if text else 0,
            100,
            0.0,
            self.now + 4 * target,
        )
        node.router.decide()

    def begin(self, door: RequestDoor, attempt: int, engine: int, timeout: float) -> None:
        role = self.kinds[engine % len(self.kinds)].role
        mean = 1645.0  # tokens: of prompts drawn as above
        work = 0.0 if role is Role.DECODE else self.asked[door].prompt / mean / CAPACITY * self.load / LOAD
        self.busy_until[engine] = max(self.now, self.busy_until[engine]) + work
        takes = self.busy_until[engine] - self.now + 0.02
        if takes >= timeout:
            self.later(timeout, door, attempt, Outcome.TIMED_OUT)
        elif role is Role.PREFILL:
            self.later(takes, door, attempt, Outcome.PREFILLED)
        else:
            self.at(self.now + takes, partial(self.first_token, door, attempt, takes))
            self.later(takes + 1.0, door, attempt, Outcome.FINISHED)

    def first_token(self, door: RequestDoor, attempt: int, latency: float) -> None:
        self.asked[door].answered = True
        super().first_token(door, attempt, latency)

    def by_class(self) -> dict[int, list[Asked]]:
        found = defaultdict(list)
        for asked in self.asked.values():
            found[asked.request_class].append(asked)
        return found


def share(asked: list[Asked]) -> float:
    return sum(one.answered for one in asked) / len(asked)


def played(load: float, layout: str, settings: str, seed: int) -> World:
    world = World(load, LAYOUTS[layout], SETTINGS[settings], seed)
    world.run()
    assert len(world.asked) > 0.8 * DAY * ENGINES * CAPACITY / len(LAYOUTS[layout]) * LOAD
    assert min(world.asked, key=lambda door: 0) and world.now > BEGIN + DAY - 1.0
    return world


@pytest.mark.parametrize("seed", [1, 2])
@pytest.mark.parametrize("settings", SETTINGS)
@pytest.mark.parametrize("layout", LAYOUTS)
@pytest.mark.parametrize("load, part", [(QUIET, 2 / 3), (BUSY, 1 / 2)], ids=["quiet", "busy"])
def test_the_largest_requests_keep_their_part_of_their_class(
    load: float, part: float, layout: str, settings: str, seed: int
) -> None:
    """Guards against load shedding that always meets the longest prompts."""
    for request_class, asked in played(load, layout, settings, seed).by_class().items():
        asked.sort(key=lambda one: -one.prompt)
        first = LARGEST_OF_FEW if len(asked) < FEW else LARGEST
        largest = asked[: int(first * len(asked))]
        following = asked[len(largest) : int((first + NEXT) * len(asked))]
        for name, some in (("largest", largest), ("next", following)):
            assert share(some) >= part * share(asked), f"{name} of class {request_class}"


@pytest.mark.parametrize("seed", [1, 2])
@pytest.mark.parametrize("settings", SETTINGS)
@pytest.mark.parametrize("layout", LAYOUTS)
def test_no_session_is_refused_throughout_while_there_is_room(layout: str, settings: str, seed: int) -> None:
    sessions = defaultdict(list)
    for asked in played(QUIET, layout, settings, seed).asked.values():
        sessions[asked.session].append(asked)
    refused = [name for name, asked in sessions.items() if len(asked) >= TURNS and not share(asked)]
    assert not refused
