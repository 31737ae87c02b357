"""Runs plans from many seeds and reports breaches and the pairs of faults that never overlapped."""

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

SHRINK_MAX_RUNS = 12  # runs

PrintLine = Callable[[str], None]


@dataclass
class Outcome:
    """The results of one run.

    request_count: requests sent by clients. answers: final answers, by status. lost, cut: requests without
    an answer, streams cut off. resent: lost requests that their clients may send again. lag: s, the longest
    of the soak's own event loop.
    """

    plan: Plan
    breaches: list[Breach]
    request_count: int
    answers: Counter[int]
    lost: int
    cut: int
    resent: int
    lag: float


def judge_records(plan: Plan, records: Iterable[Record], limits: Limits) -> Outcome:
    """Return the outcome of a run after checking its records."""
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
    """Run a plan and check it; writes plan.json, records.jsonl and the front nodes' logs to the folder."""
    soak_run = SoakRun(plan, fronts, folder)
    records = asyncio.run(soak_run.run())
    with (folder / "records.jsonl").open("wb") as file:
        for record in records:
            file.write(
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
    return judge_records(plan, records, soak_run.limits)


def print_outcome(outcome: Outcome, print_line: PrintLine) -> None:
    plan = outcome.plan
    answers = ", ".join(f"{status}: {count}" for status, count in sorted(outcome.answers.items()))
    print_line(
        f"seed {plan.seed}: {outcome.request_count} asked ({answers}; lost {outcome.lost}, "
        f"cut {outcome.cut}, resent {outcome.resent}), {len(plan.faults)} faults, "
        f"own lag {outcome.lag:.3f} s, {len(outcome.breaches)} breaches"
    )
    for rule, count in Counter(breach.rule for breach in outcome.breaches).items():
        first = next(breach for breach in outcome.breaches if breach.rule == rule)
        print_line(f"  {count} x {rule}: at {first.time:.3f} {first.request}: {first.detail}")


def find_missing_pairs(plans: Iterable[Plan]) -> list[str]:
    """Return the pairs of fault kinds that overlap in none of the plans, as A+B."""
    overlapping = set().union(*(plan.overlapping_kinds for plan in plans))
    return [
        f"{one.name}+{other.name}"
        for one, other in combinations(FaultKind, 2)
        if frozenset({one, other}) not in overlapping
    ]


def run_seeds(
    seeds: Iterable[int], seconds: float, fronts: int, report: Path, shrinks: bool, print_line: PrintLine
) -> int:
    """Run a plan from each seed and return the number of those with a breach.

    fronts: front nodes of each run. report: the folder for records and logs. shrinks: whether to look for
    smaller plans that break the same rule.
    """
    plans, failed = [], 0
    for seed in seeds:
        plan = draw_plan(seed, seconds)
        plans.append(plan)
        outcome = run_plan(plan, fronts, report / f"seed-{seed}")
        print_outcome(outcome, print_line)
        failed += bool(outcome.breaches)
        if outcome.breaches and shrinks:
            print_shrunk(plan, outcome, fronts, report / f"shrunk-{seed}", print_line)
    missing = find_missing_pairs(plans)
    pairs = len(list(combinations(FaultKind, 2)))
    print_line(
        f"{len(plans)} seeds, {failed} with a breach; "
        f"{pairs - len(missing)} of {pairs} pairs of faults overlapped"
    )
    (report / "never-met.txt").write_text("\n".join(missing) + "\n")
    return failed


def print_shrunk(plan: Plan, outcome: Outcome, fronts: int, folder: Path, print_line: PrintLine) -> None:
    rules = {breach.rule for breach in outcome.breaches}

    def fails(fewer: Plan) -> bool:
        return bool(rules & {breach.rule for breach in run_plan(fewer, fronts, folder).breaches})

    smaller = shrink(plan, fails, SHRINK_MAX_RUNS)
    print_line(f"  still fails with {len(smaller.faults)} of {len(plan.faults)} faults:\n{smaller.to_json()}")
