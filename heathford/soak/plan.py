"""Which troubles come when: drawn from one seed, printable, replayable, and shrinkable."""

import json
from collections.abc import Callable, Sequence
from dataclasses import asdict, dataclass, replace
from enum import Enum
from itertools import combinations
from random import Random

ADJACENCY_GAP = 0.1  # s from a step of one trouble to the beginning of the next
FAULT_FREE_MARGIN = 1.0  # s at the beginning and the end of a run without trouble
KEY_TTLS = (0.9, 1.5)  # s for which a keyed repeat is known, drawn for each run: silences outlast both
LONGEST_DEADLINES = (0.4, 1.0, 3.0)  # s: the longest of the deployment, drawn for each run
SILENCE_WEIGHT = 4  # times as often as other kinds, in every second run: one trouble on many requests
ROLE_SILENCE_REPEATS = 3  # times that the engines of a role fall silent together
ROLE_SILENCE_GAP = 0.6  # s between two of these
STOPS_PER_STEPPED_LINK = 3  # front nodes held up while a link is read in steps
STOP_DURATIONS = (0.05, 0.15)  # s of these, between


class FaultKind(Enum):
    """Troubles. What they strike: a front node, an engine, its link, or a front node's discovery."""

    TERMINATE = "front: SIGTERM, SIGKILL later, start anew"
    KILL = "front: SIGKILL, start anew"
    RELOAD = "front: discovery moves, SIGHUP twice"
    STOP_SHORT = "front: SIGSTOP for 0.15 s"
    STOP_LONG = "front: SIGSTOP for longer"
    CLOCK = "front: its wall clock steps"
    ACCEPT_FAILS = "front: accept fails"
    CONNECT_FAILS = "front: connect and socket fail"
    SEND_SHORT = "front: short sends, EINTR, no memory to send"
    RECV_SHORT = "front: short reads, EINTR, no memory to read"
    LINK_BREAKS = "front: ETIMEDOUT or EHOSTUNREACH on a connection"
    LOG_FAILS = "front: writes of its log fail"
    ENGINE_DRAINS = "engine: drains, is replaced by a cold one"
    ENGINE_ERRORS = "engine: answers with errors"
    ENGINE_FULL = "engine: turns work away"
    ENGINE_HANGS = "engine: reads, and answers nothing"
    LINK_SILENT = "link of an engine: silent, with no error"
    LINK_DELAY = "link of an engine: late"
    LINK_DRIP = "link of an engine: byte by byte"
    LINK_CUT = "link of an engine: cut after some bytes"
    LINK_RESET = "link of an engine: reset"
    LINK_REFUSED = "link of an engine: refused"
    LINK_STEPS = "link of an engine: small receive buffer, read in steps, front nodes held up meanwhile"
    LINK_UNREAD = "link of an engine: accepts and never reads"
    DISCOVERY_SILENT = "discovery: silent"
    DISCOVERY_SLOW = "discovery: late"
    DISCOVERY_RESET = "discovery: reset"
    SIGNAL_SERIES = "front: SIGHUP, SIGTERM and SIGHUP within milliseconds, SIGKILL later"
    STOP_AMID_END = "front: SIGTERM while it is stopped by SIGSTOP for 0.15 s, SIGKILL later"
    ROLL = "fronts: one after another is told to end"
    ROLE_SILENT = "engines: four in five of one role silent together, with no error"
    CROWD = "clients: idle connections fill a front node's descriptors"
    CLIENTS_LEAVE = "clients: close in mid-request or while they wait"
    CLIENTS_BAD = "clients: half requests, nonsense, silence"
    LOOKS_FAIL = "front: poll, shutdown, ioctl and epoll_ctl fail"
    ENGINE_STOPPED = "engine: stopped; its machine takes what comes until its accept queue is full"


@dataclass(frozen=True)
class Fault:
    """One trouble. at and seconds from the start of the run; target: a number, taken modulo what there is."""

    kind: FaultKind
    target: int
    at: float
    seconds: float


@dataclass(frozen=True)
class Plan:
    """One run. longest_deadline: s that a client of the deployment may wait at most; window: s for which a
    keyed repeat is known."""

    seed: int
    seconds: float
    faults: tuple[Fault, ...]
    longest_deadline: float = 3.0
    key_ttl: float = 1.5

    def to_json(self) -> str:
        """As JSON, read back by `read`."""
        rows = [{**asdict(fault), "kind": fault.kind.name} for fault in self.faults]
        said = {
            "seed": self.seed,
            "seconds": self.seconds,
            "longest_deadline": self.longest_deadline,
            "window": self.key_ttl,
        }
        return json.dumps({**said, "troubles": rows}, indent=1)

    @property
    def overlapping_kinds(self) -> set[frozenset[FaultKind]]:
        """Kinds that overlap, or touch, in this plan."""
        found = set()
        for one, other in combinations(self.faults, 2):
            first, second = sorted((one, other), key=lambda fault: fault.at)
            if second.at <= first.at + first.seconds + ADJACENCY_GAP:
                found.add(frozenset({first.kind, second.kind}))
        return found


def parse_plan(text: str) -> Plan:
    """A plan as `Plan.printed` wrote it. Raises ValueError or KeyError."""
    said = json.loads(text)
    return Plan(
        said["seed"],
        said["seconds"],
        tuple(
            Fault(FaultKind[row["kind"]], row["target"], row["at"], row["seconds"])
            for row in said["troubles"]
        ),
        said.get("longest_deadline", 3.0),
        said.get("window", 1.5),
    )


SILENCE_FAULTS = (
    FaultKind.LINK_SILENT,
    FaultKind.ENGINE_STOPPED,
    FaultKind.ROLE_SILENT,
    FaultKind.LINK_UNREAD,
)


def draw_plan(seed: int, seconds: float) -> Plan:
    """Groups of two or three troubles that touch: each begins within TOUCH of a step of an earlier one."""
    random = Random(seed)
    longest_deadline, key_ttl = random.choice(LONGEST_DEADLINES), random.choice(KEY_TTLS)
    kinds = list(FaultKind) + (SILENCE_WEIGHT - 1) * list(SILENCE_FAULTS) * random.choice((0, 1))
    faults: list[Fault] = []
    at = FAULT_FREE_MARGIN
    while at < seconds - FAULT_FREE_MARGIN:
        steps = [at]
        for _ in range(random.choice((2, 3, 3))):
            begin = max(
                FAULT_FREE_MARGIN, random.choice(steps) + random.uniform(-ADJACENCY_GAP, ADJACENCY_GAP)
            )
            fault = Fault(
                random.choice(kinds),
                random.randrange(1_000),
                round(begin, 3),
                round(random.choice((0.15, 0.4, 1.0, 2.5)) * random.uniform(0.8, 1.2), 3),
            )
            faults += repeat_role_silence(fault)
            if fault.kind is FaultKind.LINK_STEPS:
                faults += draw_stops_during(fault, random)
            steps += [fault.at, fault.at + fault.seconds]
        at += random.uniform(0.7, 1.6)
    in_time = [fault for fault in faults if fault.at < seconds]
    return Plan(seed, seconds, tuple(sorted(in_time, key=lambda fault: fault.at)), longest_deadline, key_ttl)


def repeat_role_silence(fault: Fault) -> list[Fault]:
    """A role that falls silent does so several times; all else comes once."""
    times = ROLE_SILENCE_REPEATS if fault.kind is FaultKind.ROLE_SILENT else 1
    apart = fault.seconds + ROLE_SILENCE_GAP
    return [replace(fault, at=round(fault.at + number * apart, 3)) for number in range(times)]


def draw_stops_during(fault: Fault, random: Random) -> list[Fault]:
    """Front nodes that are held up while a link reads on."""
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
    """Drop troubles one after the other for as long as it still fails, with so many runs at most."""
    faults: Sequence[Fault] = plan.faults
    place = 0
    while place < len(faults) and max_runs > 0:
        fewer = replace(plan, faults=(*faults[:place], *faults[place + 1 :]))
        max_runs -= 1
        if fails(fewer):
            faults = fewer.faults
        else:
            place += 1
    return replace(plan, faults=tuple(faults))
