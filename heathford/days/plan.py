"""Plan what the clients do on a day. Arrivals are drawn ahead and don't wait for answers. No I/O."""

import random
from collections.abc import Sequence
from dataclasses import dataclass
from hashlib import blake2b

from heathford.script.script import Declaration

PROMPT_LENGTH_SIGMA = 0.5  # of the log of prompt lengths: long prompts are a few times the mean


@dataclass(frozen=True)
class Turn:
    """One prompt of an editor's session. The times after which something happens count from the request."""

    think_time: float  # s between the previous answer and this prompt
    new_tokens: int
    answer_tokens: int  # max_tokens of the request
    leaves_after: float | None  # s until the client leaves
    cancels_after: float | None  # s until the client cancels the request
    disconnects_after: float | None  # s until its socket is lost; it then repeats the request under its key


@dataclass(frozen=True)
class Editor:
    """One simulated user: a session with one or more turns."""

    start: float  # s from the beginning of the day
    workload: str
    tenant: str
    first_front: int  # index of the front node that it connects to first
    shared_prefix: str  # name of a prompt prefix that sessions share; empty: none
    shared_tokens: int
    turns: tuple[Turn, ...]
    timeout: float | None  # s; None: the workload's
    retries: int  # only without a client library
    seed: int
    client_kind: str  # "socket": a WebSocket of its own; otherwise the client library that it uses
    retry_share: float  # the retry budget of its client library


def plan(loads: Sequence[Declaration], seconds: float, seed: int, fronts: int) -> list[Editor]:
    """Return the editors of a day in the order of their starts.

    loads: the script's `editors` declarations. Sessions start by a Poisson process, and their turns are
    geometrically distributed.
    """
    rng = random.Random(seed)
    editors = []
    for load_index, load in enumerate(loads):
        start = load.begin * seconds
        while (start := start + rng.expovariate(load.rate)) < load.end * seconds:
            count = 1
            while rng.random() < 1 - 1 / load.turns:
                count += 1
            turns = tuple(make_turn(load, rng) for _ in range(count))
            prefix = f"{'new' if load.unfamiliar else 'text'}-{load_index if load.unfamiliar else ''}-"
            prefix += str(min(int(rng.paretovariate(1.0)), load.texts))
            editors.append(
                Editor(
                    start,
                    load.workload,
                    load.member,
                    rng.randrange(fronts),
                    prefix if load.shared else "",
                    load.shared,
                    turns,
                    load.timeout,
                    load.retries,
                    rng.randrange(2**32),
                    load.by,
                    load.retry_share,
                )
            )
    return sorted(editors, key=lambda editor: editor.start)


def make_turn(load: Declaration, rng: random.Random) -> Turn:
    """Draw one turn: log-normal prompt lengths, exponential think times."""
    new_tokens = max(
        1, round(load.prompt * rng.lognormvariate(-(PROMPT_LENGTH_SIGMA**2) / 2, PROMPT_LENGTH_SIGMA))
    )
    leaves_after = rng.random() * 1.5 if rng.random() < load.leave else None
    cancels_after = rng.random() * 1.5 if rng.random() < load.cancel else None
    think_time = rng.expovariate(1 / load.think) if load.think else 0.0
    disconnects_after = rng.random() if load.comes_back and rng.random() < load.comes_back else None
    return Turn(think_time, new_tokens, load.answer, leaves_after, cancels_after, disconnects_after)


def make_text(name: str, tokens: int, bytes_per_token: float) -> str:
    """Return a text of that many tokens, always the same for one name."""
    size = int(tokens * bytes_per_token)
    parts = (blake2b(f"{name}:{n}".encode(), digest_size=32).hexdigest() for n in range(size // 64 + 1))
    return "".join(parts)[:size]
