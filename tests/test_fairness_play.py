"""Long prompts and single sessions get their share of answers, with several routers and several settings.

Engines prefill one prompt at a time, so that a long one takes longer; lengths within a workload differ more
than tenfold.
"""

from collections import defaultdict
from dataclasses import dataclass
from functools import partial

import pytest
from policy_fleet import (
    START_TIME,
    CAPACITY,
    ENGINES,
    LAYOUTS,
    LOAD,
    SimulatedFleet,
    SimulatedFrontNode,
    SimulatedRequest,
)

from heathford.interface import Effect, Group, EngineKind, Role, Outcome, Workload

DURATION = 24.0  # s in which requests arrive
FRONTS = 12
LARGEST_SHARE, NEXT_SHARE = 0.1, 0.2  # shares of a workload's requests, by prompt length
FEW_REQUESTS, LARGEST_SHARE_OF_FEW = (
    400,
    0.25,
)  # a tenth of fewer requests would say nothing
QUIET_LOAD, BUSY_LOAD = 0.5, 1.2  # shares of all engines' capacity; for some s half as much again
PROMPT_LENGTH_SIGMA = 0.9  # standard deviation of the logarithm of prompt lengths
MIN_SESSION_REQUESTS = 5  # from which a session can be said to be refused throughout

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
class ClientRequest:
    """One request, and whether it was answered."""

    workload: int
    session: str
    prompt: int
    answered: bool = False


class MixedFleet(SimulatedFleet):
    """Requests of several workloads and sizes, at engines that prefill one prompt at a time."""

    def __init__(
        self, load: float, kinds: list[EngineKind], request_workloads: list[Workload], seed: int
    ) -> None:
        self.load, self.request_workloads = load, request_workloads
        self.client_requests: dict[SimulatedRequest, ClientRequest] = {}
        super().__init__(FRONTS, kinds, cold=0, seed=seed, duration=DURATION)

    def set_workloads(self) -> None:
        self.workloads = self.request_workloads

    def send_request(self) -> None:
        node: SimulatedFrontNode = self.random.choice(self.nodes)
        workload = self.random.randrange(len(self.request_workloads))
        prompt = int(self.random.lognormvariate(7.0, PROMPT_LENGTH_SIGMA))
        shared_prefix = str(self.random.randrange(30)) if self.random.random() < 0.6 else ""
        session = f"{workload}.{self.random.randrange(40)}"
        request = SimulatedRequest(self, node)
        self.client_requests[request] = ClientRequest(workload, session, prompt)
        target = self.request_workloads[workload].latency_target
        request.state = node.router.accept(
            request,
            workload,
            0,
            session,
            shared_prefix,
            prompt,
            min(prompt // 2, 500) if shared_prefix else 0,
            100,
            0.0,
            self.now + 4 * target,
        )
        node.router.decide()

    def simulate_attempt(self, request: SimulatedRequest, attempt: int, engine: int, timeout: float) -> None:
        role = self.kinds[engine % len(self.kinds)].role
        mean = 1645.0  # tokens: of the prompts drawn in send_request
        work = (
            0.0
            if role is Role.DECODE
            else self.client_requests[request].prompt / mean / CAPACITY * self.load / LOAD
        )
        self.busy_until[engine] = max(self.now, self.busy_until[engine]) + work
        latency = self.busy_until[engine] - self.now + 0.02
        if latency >= timeout:
            self.end_later(timeout, request, attempt, Outcome.TIMED_OUT)
        elif role is Role.PREFILL:
            self.end_later(latency, request, attempt, Outcome.PREFILLED)
        else:
            self.at(self.now + latency, partial(self.first_token, request, attempt, latency))
            self.end_later(latency + 1.0, request, attempt, Outcome.FINISHED)

    def first_token(self, request: SimulatedRequest, attempt: int, latency: float) -> None:
        self.client_requests[request].answered = True
        super().first_token(request, attempt, latency)

    def by_workload(self) -> dict[int, list[ClientRequest]]:
        found = defaultdict(list)
        for request in self.client_requests.values():
            found[request.workload].append(request)
        return found


def answered_share(requests: list[ClientRequest]) -> float:
    return sum(request.answered for request in requests) / len(requests)


def run_fleet(load: float, layout: str, settings: str, seed: int) -> MixedFleet:
    fleet = MixedFleet(load, LAYOUTS[layout], SETTINGS[settings], seed)
    fleet.run()
    assert len(fleet.client_requests) > 0.8 * DURATION * ENGINES * CAPACITY / len(LAYOUTS[layout]) * LOAD
    assert min(fleet.client_requests, key=lambda request: 0) and fleet.now > START_TIME + DURATION - 1.0
    return fleet


@pytest.mark.parametrize("seed", [1, 2])
@pytest.mark.parametrize("settings", SETTINGS)
@pytest.mark.parametrize("layout", LAYOUTS)
@pytest.mark.parametrize("load, min_ratio", [(QUIET_LOAD, 2 / 3), (BUSY_LOAD, 1 / 2)], ids=["quiet", "busy"])
def test_the_largest_requests_are_answered_nearly_as_often_as_their_workload(
    load: float, min_ratio: float, layout: str, settings: str, seed: int
) -> None:
    """Guards against load shedding that always sheds the longest prompts."""
    for workload, requests in run_fleet(load, layout, settings, seed).by_workload().items():
        requests.sort(key=lambda request: -request.prompt)
        first = LARGEST_SHARE_OF_FEW if len(requests) < FEW_REQUESTS else LARGEST_SHARE
        largest = requests[: int(first * len(requests))]
        following = requests[len(largest) : int((first + NEXT_SHARE) * len(requests))]
        for name, group in (("largest", largest), ("next", following)):
            assert answered_share(group) >= min_ratio * answered_share(requests), (
                f"{name} of workload {workload}"
            )


@pytest.mark.parametrize("seed", [1, 2])
@pytest.mark.parametrize("settings", SETTINGS)
@pytest.mark.parametrize("layout", LAYOUTS)
def test_no_session_is_refused_throughout_while_there_is_capacity(
    layout: str, settings: str, seed: int
) -> None:
    sessions = defaultdict(list)
    for request in run_fleet(QUIET_LOAD, layout, settings, seed).client_requests.values():
        sessions[request.session].append(request)
    refused = [
        name
        for name, requests in sessions.items()
        if len(requests) >= MIN_SESSION_REQUESTS and not answered_share(requests)
    ]
    assert not refused
