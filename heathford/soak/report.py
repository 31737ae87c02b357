"""Runs many seeds, and tells what was found and what was never met."""

import asyncio
from collections import Counter
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from itertools import combinations
from pathlib import Path

import orjson

from heathford.soak.oracle import Breach, Limits, Oracle
from heathford.soak.plan import Kind, Plan, draw, shrink
from heathford.soak.records import Record, Seen
from heathford.soak.run import World

SHRINK_TRIES = 12

Tell = Callable[[str], None]


@dataclass
class Outcome:
    """One run, judged."""

    plan: Plan
    breaches: list[Breach]
    asked: int
    answers: Counter[int]
    lost: int
    cut: int
    crossed: int
    lag: float


def judged(plan: Plan, records: Iterable[Record], limits: Limits) -> Outcome:
    records = list(records)
    oracle = Oracle(records, limits)
    breaches = oracle.judge()
    counts = Counter(record.kind for record in records)
    return Outcome(
        plan,
        breaches,
        counts[Seen.ASKED],
        Counter(int(record.value) for record in records if record.kind is Seen.ANSWERED),
        counts[Seen.LOST],
        counts[Seen.CUT],
        oracle.crossed,
        max((record.value for record in records if record.kind is Seen.LAG), default=0.0),
    )


def play(plan: Plan, fronts: int, folder: Path) -> Outcome:
    """Run a plan and judge it; the records and the front nodes' logs stay in the folder."""
    world = World(plan, fronts, folder)
    records = asyncio.run(world.run())
    with (folder / "records.jsonl").open("wb") as out:
        for record in records:
            out.write(
                orjson.dumps(
                    [
                        record.time,
                        record.kind.name,
                        record.front,
                        record.request,
                        record.engine,
                        record.value,
                        record.text,
                    ]
                )
                + b"\n"
            )
    (folder / "plan.json").write_text(plan.printed())
    return judged(plan, records, world.limits)


def tell_outcome(outcome: Outcome, tell: Tell) -> None:
    plan = outcome.plan
    answers = ", ".join(f"{status}: {count}" for status, count in sorted(outcome.answers.items()))
    tell(
        f"seed {plan.seed}: {outcome.asked} asked ({answers}; lost {outcome.lost}, cut {outcome.cut}, "
        f"crossed {outcome.crossed}), {len(plan.troubles)} troubles, own lag {outcome.lag:.3f} s, "
        f"{len(outcome.breaches)} breaches"
    )
    for rule, count in Counter(breach.rule for breach in outcome.breaches).items():
        first = next(breach for breach in outcome.breaches if breach.rule == rule)
        tell(f"  {count} x {rule}: at {first.time:.3f} {first.request}: {first.what}")


def never_met(plans: Iterable[Plan]) -> list[str]:
    """Pairs of troubles that touched in none of the plans."""
    met = set().union(*(plan.pairs for plan in plans))
    return [
        f"{one.name}+{other.name}"
        for one, other in combinations(Kind, 2)
        if frozenset({one, other}) not in met
    ]


def soak(seeds: Iterable[int], seconds: float, fronts: int, report: Path, shrinks: bool, tell: Tell) -> int:
    """Play all seeds; the number of those with a breach."""
    plans, failed = [], 0
    for seed in seeds:
        plan = draw(seed, seconds)
        plans.append(plan)
        outcome = play(plan, fronts, report / f"seed-{seed}")
        tell_outcome(outcome, tell)
        failed += bool(outcome.breaches)
        if outcome.breaches and shrinks:
            tell_shrunk(plan, outcome, fronts, report / f"shrunk-{seed}", tell)
    missing = never_met(plans)
    pairs = len(list(combinations(Kind, 2)))
    tell(
        f"{len(plans)} seeds, {failed} with a breach; {pairs - len(missing)} of {pairs} pairs of troubles met"
    )
    (report / "never-met.txt").write_text("\n".join(missing) + "\n")
    return failed


def tell_shrunk(plan: Plan, outcome: Outcome, fronts: int, folder: Path, tell: Tell) -> None:
    rules = {breach.rule for breach in outcome.breaches}

    def fails(fewer: Plan) -> bool:
        return bool(rules & {breach.rule for breach in play(fewer, fronts, folder).breaches})

    small = shrink(plan, fails, SHRINK_TRIES)
    tell(f"  still fails with {len(small.troubles)} of {len(plan.troubles)} troubles:\n{small.printed()}")
