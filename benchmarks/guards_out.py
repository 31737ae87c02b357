"""Plays a day for each guard of the front, with that guard taken out: the judge must catch each.

python -m benchmarks.guards_out [SECONDS [GUARD or DAY …]]
"""

import asyncio
import sys
import tempfile
from pathlib import Path

from heathford.days.judge import judge
from heathford.days.play import play_day
from heathford.days.recording import events
from heathford.days.schema import DAY_FUNCTIONS
from heathford.script.script import read_script

ROOT = Path(__file__).parent.parent
# Guard, the day on which it matters, the check that must break.
CASES = [
    ("answers_twice", "quiet", "1 one final answer"),
    ("never_gives_up", "little-time", "1 in time"),
    ("sends_beside", "quiet", "2 no two out"),
    ("forgets_effects", "vanish", "2 no effect twice"),
    ("ignores_drains", "drain-waves", "3 drains kept"),
    ("crowds_cold_engines", "cold-crowd", "4 cold engines"),
    ("pins_states", "full-writers", "5 nothing pinned"),
    ("forgets_keys", "soak", "2 no two out"),
    ("closes_at_once", "front-killed", "1 one final answer"),
    ("closes_at_once", "soak", "1 one final answer"),
    ("lets_all_go", "soak", "2 no effect twice"),
    ("cancels_without_answer", "soak", "1 one final answer"),
    ("streams_on", "soak", "1 one final answer"),
    ("drops_what_is_slow", "soak", "1 whole text"),
]
LEAST = {"closes_at_once": 64.0}  # s that the day needs at least: the soak's front stops after 56 s


def main() -> int:
    seconds = float(sys.argv[1]) if len(sys.argv) > 1 else 20.0
    script = read_script(ROOT / "deploy" / "local.star")
    missed = 0
    only = sys.argv[2:]
    cases = [c for c in CASES if not only or c[0] in only or c[1] in only]
    whole: dict[str, bool] = {}  # days played with all guards
    for guard, day, check in cases:
        plan = read_script(ROOT / "days" / f"{day}.star", DAY_FUNCTIONS)
        for program in ((), ("benchmarks.unguarded_front", guard)):
            if not program and day in whole:
                continue
            with tempfile.TemporaryDirectory() as folder:
                path = Path(folder) / "recording.jsonl"
                asyncio.run(
                    play_day(
                        script,
                        plan,
                        max(seconds, LEAST.get(guard, 0.0)),
                        1,
                        path,
                        front_program=program,
                        logs=path.with_suffix(".log"),
                    )
                )
                found = judge(events(path)).findings()
            broken = {f.check: sum(g.check == f.check for g in found) for f in found}
            good = check in broken if program else not broken
            missed += not good
            if not program:
                whole[day] = good
            print(
                f"{'as wanted' if good else 'NOT AS WANTED'}: {day}, "
                f"{'without ' + guard if program else 'whole'}: {broken or 'nothing broken'}",
                flush=True,
            )
    print(f"{len(cases) + len(whole) - missed} passed, {missed} failed")
    return 1 if missed else 0


if __name__ == "__main__":
    sys.exit(main())
