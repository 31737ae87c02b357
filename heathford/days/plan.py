"""What clients will do on a day, laid out ahead: arrivals don't wait for answers. No I/O."""

import random
from collections.abc import Sequence
from dataclasses import dataclass
from hashlib import blake2b

from heathford.script.script import Declaration

SPREAD = 0.5  # sigma of the log of prompt lengths: long ones are a few times the mean


@dataclass(frozen=True)
class Turn:
    think: float  # s before it, after the answer to the last
    tokens: int  # new ones
    answer: int
    leaves: float | None  # s after asking at which the client goes
    cancels: float | None
    drops: float | None  # s after asking at which its socket is lost, and it comes again with its key


@dataclass(frozen=True)
class Editor:
    at: float  # s from the day's beginning
    workload: str
    member: str
    front: int  # by chance, of all
    shared: str  # name of the shared beginning
    shared_tokens: int
    turns: tuple[Turn, ...]
    timeout: float | None
    retries: int
    seed: int
    by: str  # socket: by itself; or the library that its program uses
    retry_share: float  # of a library's budget


def plan(loads: Sequence[Declaration], seconds: float, seed: int, fronts: int) -> list[Editor]:
    chance = random.Random(seed)
    editors = []
    for place, load in enumerate(loads):
        at = load.begin * seconds
        while (at := at + chance.expovariate(load.rate)) < load.end * seconds:
            count = 1
            while chance.random() < 1 - 1 / load.turns:
                count += 1
            turns = tuple(turn(load, chance) for _ in range(count))
            text = f"{'new' if load.unfamiliar else 'text'}-{place if load.unfamiliar else ''}-"
            text += str(min(int(chance.paretovariate(1.0)), load.texts))
            editors.append(
                Editor(
                    at,
                    load.workload,
                    load.member,
                    chance.randrange(fronts),
                    text if load.shared else "",
                    load.shared,
                    turns,
                    load.timeout,
                    load.retries,
                    chance.randrange(2**32),
                    load.by,
                    load.retry_share,
                )
            )
    return sorted(editors, key=lambda e: e.at)


def turn(load: Declaration, chance: random.Random) -> Turn:
    tokens = max(1, round(load.prompt * chance.lognormvariate(-(SPREAD**2) / 2, SPREAD)))
    leaves = chance.random() * 1.5 if chance.random() < load.leave else None
    cancels = chance.random() * 1.5 if chance.random() < load.cancel else None
    think = chance.expovariate(1 / load.think) if load.think else 0.0
    drops = chance.random() if load.comes_back and chance.random() < load.comes_back else None
    return Turn(think, tokens, load.answer, leaves, cancels, drops)


def text_of(name: str, tokens: int, bytes_per_token: float) -> str:
    """A text of that many tokens, always the same for a name."""
    size = int(tokens * bytes_per_token)
    parts = (blake2b(f"{name}:{n}".encode(), digest_size=32).hexdigest() for n in range(size // 64 + 1))
    return "".join(parts)[:size]
