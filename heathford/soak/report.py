"""Runs many seeds, and tells what was found and what was never met."""

import asyncio
from collections import Counter
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from itertools import combinations
from pathlib import Path

import orjson

from heathford.soak.oracle import Breach, Limits, Oracle
from heathford.soak.plan import FaultKind, Plan, draw_plan, shrink
from heathford.soak.records import Record, RecordKind
from heathford.soak.run import SoakRun

SHRINK_TRIES = 12

PrintLine = Callable[[str], None]


@dataclass
class Outcome:
    """One run, judged."""

    plan: Plan
    breaches: list[Breach]
    asked: int
    answers: Counter[int]
    lost: int
    cut: int
    resent: int
    lag: float


def judge_records(plan: Plan, records: Iterable[Record], limits: Limits) -> Outcome:
    records = list(records)
    oracle = Oracle(records, limits)
    breaches = oracle.judge()
    counts = Counter(record.kind for record in records)
    return Outcome(
        plan,
        breaches,
        counts[RecordKind.ASKED],
        Counter(int(record.value) for record in records if record.kind is RecordKind.ANSWERED),
        counts[RecordKind.LOST],
        counts[RecordKind.CUT],
        oracle.resent,
        max((record.value for record in records if record.kind is RecordKind.LAG), default=0.0),
    )


def run_plan(plan: Plan, fronts: int, folder: Path) -> Outcome:
    """Run a plan and judge it; the records and the front nodes' logs stay in the folder."""
    world = SoakRun(plan, fronts, folder)
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
    (folder / "plan.json").write_text(plan.to_json())
    return judge_records(plan, records, world.limits)


def print_outcome(outcome: Outcome, print_line: PrintLine) -> None:
    plan = outcome.plan
    answers = ", ".join(f"{status}: {count}" for status, count in sorted(outcome.answers.items()))
    print_line(
        f"seed {plan.seed}: {outcome.asked} asked ({answers}; lost {outcome.lost}, cut {outcome.cut}, "
        f"crossed {outcome.resent}), {len(plan.faults)} troubles, own lag {outcome.lag:.3f} s, "
        f"{len(outcome.breaches)} breaches"
    )
    for rule, count in Counter(breach.rule for breach in outcome.breaches).items():
        first = next(breach for breach in outcome.breaches if breach.rule == rule)
        print_line(f"  {count} x {rule}: at {first.time:.3f} {first.request}: {first.detail}")


def find_unmet_pairs(plans: Iterable[Plan]) -> list[str]:
    """Pairs of troubles that touched in none of the plans."""
    met = set().union(*(plan.overlapping_kinds for plan in plans))
    return [
        f"{one.name}+{other.name}"
        for one, other in combinations(FaultKind, 2)
        if frozenset({one, other}) not in met
    ]


def run_seeds(
    seeds: Iterable[int], seconds: float, fronts: int, report: Path, shrinks: bool, print_line: PrintLine
) -> int:
    """Play all seeds; the number of those with a breach."""
    plans, failed = [], 0
    for seed in seeds:
        plan = draw_plan(seed, seconds)
        plans.append(plan)
        outcome = run_plan(plan, fronts, report / f"seed-{seed}")
        print_outcome(outcome, print_line)
        failed += bool(outcome.breaches)
        if outcome.breaches and shrinks:
            print_shrunk(plan, outcome, fronts, report / f"shrunk-{seed}", print_line)
    missing = find_unmet_pairs(plans)
    pairs = len(list(combinations(FaultKind, 2)))
    print_line(
        f"{len(plans)} seeds, {failed} with a breach; {pairs - len(missing)} of {pairs} pairs of troubles met"
    )
    (report / "never-met.txt").write_text("\n".join(missing) + "\n")
    return failed


def print_shrunk(plan: Plan, outcome: Outcome, fronts: int, folder: Path, print_line: PrintLine) -> None:
    rules = {breach.rule for breach in outcome.breaches}

    def fails(fewer: Plan) -> bool:
        return bool(rules & {breach.rule for breach in run_plan(fewer, fronts, folder).breaches})

    small = shrink(plan, fails, SHRINK_TRIES)
    print_line(f"  still fails with {len(small.faults)} of {len(plan.faults)} troubles:\n{small.to_json()}")
