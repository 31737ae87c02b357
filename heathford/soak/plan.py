"""Which troubles come when: drawn from one seed, printable, replayable, and shrinkable."""

import json
from collections.abc import Callable, Sequence
from dataclasses import asdict, dataclass, replace
from enum import Enum
from itertools import combinations
from random import Random

TOUCH = 0.1  # s from a step of one trouble to the beginning of the next
QUIET = 1.0  # s at the beginning and the end of a run without trouble
WINDOWS = (0.9, 1.5)  # s for which a keyed repeat is known, drawn for each run: silences outlast both
DEADLINES = (0.4, 1.0, 3.0)  # s: the longest of the deployment, drawn for each run
SILENCES_DRAWN = 4  # times as often as other kinds, in every second run: one trouble on many requests
TIMES_SILENT = 3  # times that the engines of a role fall silent together
BETWEEN_SILENT = 0.6  # s between two of these
STOPS_IN_STEPS = 3  # front nodes held up while a link is read in steps
STOP_SECONDS = (0.05, 0.15)  # s of these, between


class Kind(Enum):
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
class Trouble:
    """One trouble. at and seconds from the start of the run; target: a number, taken modulo what there is."""

    kind: Kind
    target: int
    at: float
    seconds: float


@dataclass(frozen=True)
class Plan:
    """One run. longest_deadline: s that a client of the deployment may wait at most; window: s for which a
    keyed repeat is known."""

    seed: int
    seconds: float
    troubles: tuple[Trouble, ...]
    longest_deadline: float = 3.0
    window: float = 1.5

    def printed(self) -> str:
        """As JSON, read back by `read`."""
        rows = [{**asdict(trouble), "kind": trouble.kind.name} for trouble in self.troubles]
        said = {
            "seed": self.seed,
            "seconds": self.seconds,
            "longest_deadline": self.longest_deadline,
            "window": self.window,
        }
        return json.dumps({**said, "troubles": rows}, indent=1)

    @property
    def pairs(self) -> set[frozenset[Kind]]:
        """Kinds that overlap, or touch, in this plan."""
        found = set()
        for one, other in combinations(self.troubles, 2):
            first, second = sorted((one, other), key=lambda trouble: trouble.at)
            if second.at <= first.at + first.seconds + TOUCH:
                found.add(frozenset({first.kind, second.kind}))
        return found


def read(text: str) -> Plan:
    """A plan as `Plan.printed` wrote it. Raises ValueError or KeyError."""
    said = json.loads(text)
    return Plan(
        said["seed"],
        said["seconds"],
        tuple(
            Trouble(Kind[row["kind"]], row["target"], row["at"], row["seconds"]) for row in said["troubles"]
        ),
        said.get("longest_deadline", 3.0),
        said.get("window", 1.5),
    )


SILENCES = (Kind.LINK_SILENT, Kind.ENGINE_STOPPED, Kind.ROLE_SILENT, Kind.LINK_UNREAD)


def draw(seed: int, seconds: float) -> Plan:
    """Groups of two or three troubles that touch: each begins within TOUCH of a step of an earlier one."""
    random = Random(seed)
    longest_deadline, window = random.choice(DEADLINES), random.choice(WINDOWS)
    kinds = list(Kind) + (SILENCES_DRAWN - 1) * list(SILENCES) * random.choice((0, 1))
    troubles: list[Trouble] = []
    at = QUIET
    while at < seconds - QUIET:
        steps = [at]
        for _ in range(random.choice((2, 3, 3))):
            begin = max(QUIET, random.choice(steps) + random.uniform(-TOUCH, TOUCH))
            trouble = Trouble(
                random.choice(kinds),
                random.randrange(1_000),
                round(begin, 3),
                round(random.choice((0.15, 0.4, 1.0, 2.5)) * random.uniform(0.8, 1.2), 3),
            )
            troubles += repeated(trouble)
            if trouble.kind is Kind.LINK_STEPS:
                troubles += stops_beside(trouble, random)
            steps += [trouble.at, trouble.at + trouble.seconds]
        at += random.uniform(0.7, 1.6)
    in_time = [trouble for trouble in troubles if trouble.at < seconds]
    return Plan(
        seed, seconds, tuple(sorted(in_time, key=lambda trouble: trouble.at)), longest_deadline, window
    )


def repeated(trouble: Trouble) -> list[Trouble]:
    """A role that falls silent does so several times; all else comes once."""
    times = TIMES_SILENT if trouble.kind is Kind.ROLE_SILENT else 1
    apart = trouble.seconds + BETWEEN_SILENT
    return [replace(trouble, at=round(trouble.at + number * apart, 3)) for number in range(times)]


def stops_beside(trouble: Trouble, random: Random) -> list[Trouble]:
    """Front nodes that are held up while a link reads on."""
    return [
        Trouble(
            Kind.STOP_SHORT,
            random.randrange(1_000),
            round(trouble.at + random.uniform(0.0, trouble.seconds), 3),
            round(random.uniform(*STOP_SECONDS), 3),
        )
        for _ in range(STOPS_IN_STEPS)
    ]


def shrink(plan: Plan, fails: Callable[[Plan], bool], tries: int) -> Plan:
    """Drop troubles one after the other for as long as it still fails, with so many runs at most."""
    troubles: Sequence[Trouble] = plan.troubles
    place = 0
    while place < len(troubles) and tries > 0:
        fewer = replace(plan, troubles=(*troubles[:place], *troubles[place + 1 :]))
        tries -= 1
        if fails(fewer):
            troubles = fewer.troubles
        else:
            place += 1
    return replace(plan, troubles=tuple(troubles))
