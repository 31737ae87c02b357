"""Fault plans: which faults are injected when; generated from a seed, stored as JSON, and shrinkable."""

import json
from collections.abc import Callable, Sequence
from dataclasses import asdict, dataclass, replace
from enum import Enum
from itertools import combinations
from random import Random

ADJACENCY_GAP = 0.1  # s between the start or end of one fault and the start of the next, at most
FAULT_FREE_MARGIN = 1.0  # s without faults at the beginning and the end of a run
KEY_TTLS = (0.9, 1.5)  # s; one is drawn for each run; the longest silences outlast both
LONGEST_DEADLINES = (0.4, 1.0, 3.0)  # s; one is drawn for each run
SILENCE_WEIGHT = 4  # relative to other kinds, in half of the runs: one such fault affects many requests
ROLE_SILENCE_REPEATS = 3
ROLE_SILENCE_GAP = 0.6  # s between the end of one such silence and the start of the next
STOPS_PER_STEPPED_LINK = 3
STOP_DURATIONS = (0.05, 0.15)  # s; shortest and longest stop during a LINK_STEPS fault


class FaultKind(Enum):
    """Kinds of faults; each value names the target (front node, engine, link, discovery, clients) first.

    The member names are written to plan.json and records.jsonl.
    """

    TERMINATE = "front: SIGTERM, later SIGKILL, then a restart"
    KILL = "front: SIGKILL, then a restart"
    RELOAD = "front: the discovery address changes, SIGHUP twice"
    STOP_SHORT = "front: SIGSTOP for 0.15 s"
    STOP_LONG = "front: SIGSTOP for longer"
    CLOCK = "front: the wall clock steps"
    ACCEPT_FAILS = "front: accept fails"
    CONNECT_FAILS = "front: connect and socket fail"
    SEND_SHORT = "front: short sends, EINTR, ENOBUFS, ENOMEM"
    RECV_SHORT = "front: short reads, EINTR, ENOBUFS, ENOMEM"
    LINK_BREAKS = "front: ETIMEDOUT or EHOSTUNREACH on a connection"
    LOG_FAILS = "front: writes to the log fail"
    ENGINE_DRAINS = "engine: drains and is replaced by a cold one"
    ENGINE_ERRORS = "engine: answers with errors"
    ENGINE_FULL = "engine: rejects requests as overloaded"
    ENGINE_HANGS = "engine: reads, and answers nothing"
    LINK_SILENT = "link of an engine: silent, with no error"
    LINK_DELAY = "link of an engine: delayed"
    LINK_DRIP = "link of an engine: byte by byte"
    LINK_CUT = "link of an engine: cut after some bytes"
    LINK_RESET = "link of an engine: reset"
    LINK_REFUSED = "link of an engine: refused"
    LINK_STEPS = "link of an engine: small receive buffer, read at intervals, front nodes stopped meanwhile"
    LINK_UNREAD = "link of an engine: accepts connections and never reads"
    DISCOVERY_SILENT = "discovery: silent"
    DISCOVERY_SLOW = "discovery: delayed"
    DISCOVERY_RESET = "discovery: reset"
    SIGNAL_SERIES = "front: SIGHUP, SIGTERM and SIGHUP within milliseconds, SIGKILL later"
    STOP_AMID_END = "front: SIGTERM while stopped by SIGSTOP for 0.15 s, SIGKILL later"
    ROLL = "fronts: rolling restart, SIGTERM to one after another"
    ROLE_SILENT = "engines: links of four in five of one role silent at the same time, with no error"
    CROWD = "clients: idle connections fill a front node's descriptors"
    CLIENTS_LEAVE = "clients: close the connection in mid-request or while waiting"
    CLIENTS_BAD = "clients: incomplete requests, malformed bytes, silence"
    LOOKS_FAIL = "front: poll, shutdown, ioctl and epoll_ctl fail"
    ENGINE_SPOILS = "engine: spoils streams after their first events"
    ENGINE_WRITES_SLOWLY = "engine: writes sound events slowly"
    ENGINE_STOPPED = (
        "engine: stopped; the kernel accepts connections and bytes until its accept queue is full"
    )


@dataclass(frozen=True)
class Fault:
    """One fault; the field names are written to plan.json.

    at: s from the start of the run. seconds: how long it lasts. target: a number, taken modulo the number
    of possible targets of that kind.
    """

    kind: FaultKind
    target: int
    at: float
    seconds: float


@dataclass(frozen=True)
class Plan:
    """The faults and settings of one run.

    longest_deadline: s, the longest client deadline of the deployment. key_ttl: s for which an idempotency
    key is remembered (`window` in plan.json).
    """

    seed: int
    seconds: float
    faults: tuple[Fault, ...]
    longest_deadline: float = 3.0
    key_ttl: float = 1.5

    def to_json(self) -> str:
        """Return the plan as JSON for `parse_plan`."""
        fault_fields = [{**asdict(fault), "kind": fault.kind.name} for fault in self.faults]
        plan_fields = {
            "seed": self.seed,
            "seconds": self.seconds,
            "longest_deadline": self.longest_deadline,
            "window": self.key_ttl,
        }
        return json.dumps({**plan_fields, "troubles": fault_fields}, indent=1)

    @property
    def overlapping_kinds(self) -> set[frozenset[FaultKind]]:
        """Return the pairs of kinds that overlap in this plan, or are at most ADJACENCY_GAP interval."""
        found = set()
        for one, other in combinations(self.faults, 2):
            first, second = sorted((one, other), key=lambda fault: fault.at)
            if second.at <= first.at + first.seconds + ADJACENCY_GAP:
                found.add(frozenset({first.kind, second.kind}))
        return found


def parse_plan(text: str) -> Plan:
    """Return the plan that `Plan.to_json` wrote. Raises ValueError or KeyError for other text."""
    plan_fields = json.loads(text)
    return Plan(
        plan_fields["seed"],
        plan_fields["seconds"],
        tuple(
            Fault(
                FaultKind[fault_fields["kind"]],
                fault_fields["target"],
                fault_fields["at"],
                fault_fields["seconds"],
            )
            for fault_fields in plan_fields["troubles"]
        ),
        plan_fields.get("longest_deadline", 3.0),
        plan_fields.get("window", 1.5),
    )


SILENCE_FAULTS = (
    FaultKind.LINK_SILENT,
    FaultKind.ENGINE_STOPPED,
    FaultKind.ROLE_SILENT,
    FaultKind.LINK_UNREAD,
)


STREAM_FAULTS = (FaultKind.ENGINE_SPOILS, FaultKind.ENGINE_WRITES_SLOWLY)
STREAM_FAULT_COUNTS = (2, 5)  # in one run, beside the groups of other faults; fewest and most
STREAM_FAULT_DURATIONS = (1.0, 4.0)  # s; shortest and longest
STREAM_JUDGEMENT_TIME = 7.0  # s before the end of a run, from which the end of a stream may be missed


def draw_plan(seed: int, seconds: float) -> Plan:
    """Return a plan with groups of two or three overlapping or adjacent faults, and faults of streams.

    Each fault of a group starts within ADJACENCY_GAP of the start or end of an earlier one.
    """
    random = Random(seed)
    longest_deadline, key_ttl = random.choice(LONGEST_DEADLINES), random.choice(KEY_TTLS)
    kinds = [kind for kind in FaultKind if kind not in STREAM_FAULTS]
    kinds += (SILENCE_WEIGHT - 1) * list(SILENCE_FAULTS) * random.choice((0, 1))
    faults: list[Fault] = []
    at = FAULT_FREE_MARGIN
    while at < seconds - FAULT_FREE_MARGIN:
        edges = [at]
        for _ in range(random.choice((2, 3, 3))):
            start = max(
                FAULT_FREE_MARGIN, random.choice(edges) + random.uniform(-ADJACENCY_GAP, ADJACENCY_GAP)
            )
            fault = Fault(
                random.choice(kinds),
                random.randrange(1_000),
                round(start, 3),
                round(random.choice((0.15, 0.4, 1.0, 2.5)) * random.uniform(0.8, 1.2), 3),
            )
            faults += repeat_role_silence(fault)
            if fault.kind is FaultKind.LINK_STEPS:
                faults += draw_stops_during(fault, random)
            edges += [fault.at, fault.at + fault.seconds]
        at += random.uniform(0.7, 1.6)
    faults += draw_stream_faults(seconds, random)
    in_time = [fault for fault in faults if fault.at < seconds]
    return Plan(seed, seconds, tuple(sorted(in_time, key=lambda fault: fault.at)), longest_deadline, key_ttl)


def repeat_role_silence(fault: Fault) -> list[Fault]:
    """Return the fault, several repeats at intervals if it silences a role: then it recurs within one run."""
    repeats = ROLE_SILENCE_REPEATS if fault.kind is FaultKind.ROLE_SILENT else 1
    interval = fault.seconds + ROLE_SILENCE_GAP
    return [replace(fault, at=round(fault.at + number * interval, 3)) for number in range(repeats)]


def draw_stream_faults(seconds: float, random: Random) -> list[Fault]:
    """Return faults of streams at times of their own: a stream outlasts most other faults."""
    latest = max(FAULT_FREE_MARGIN, seconds - STREAM_JUDGEMENT_TIME)
    return [
        Fault(
            random.choice(STREAM_FAULTS),
            random.randrange(1_000),
            round(random.uniform(FAULT_FREE_MARGIN, latest), 3),
            round(random.uniform(*STREAM_FAULT_DURATIONS), 3),
        )
        for _ in range(random.randint(*STREAM_FAULT_COUNTS))
    ]


def draw_stops_during(fault: Fault, random: Random) -> list[Fault]:
    """Return stops of front nodes while the fault, a link that is read at intervals, lasts."""
    return [
        Fault(
            FaultKind.STOP_SHORT,
            random.randrange(1_000),
            round(fault.at + random.uniform(0.0, fault.seconds), 3),
            round(random.uniform(*STOP_DURATIONS), 3),
        )
        for _ in range(STOPS_PER_STEPPED_LINK)
    ]


def shrink(plan: Plan, fails: Callable[[Plan], bool], max_runs: int) -> Plan:
    """Return the plan without the faults that it fails without; runs at most `max_runs` smaller plans."""
    faults: Sequence[Fault] = plan.faults
    index = 0
    while index < len(faults) and max_runs > 0:
        fewer = replace(plan, faults=(*faults[:index], *faults[index + 1 :]))
        max_runs -= 1
        if fails(fewer):
            faults = fewer.faults
        else:
            index += 1
    return replace(plan, faults=tuple(faults))
