"""What one member that asks ten times what another does costs that one, with fair shares and without.

python -m benchmarks.fair_members [SECONDS [SEED …]]
"""

import asyncio
import sys
import tempfile
from pathlib import Path

from heathford.days.judge import judge
from heathford.days.play import play_day, summarize
from heathford.days.recording import events
from heathford.days.schema import DAY_FUNCTIONS
from heathford.script.script import read_script

ROOT = Path(__file__).parent.parent
ALONE = """
day("alone", seconds = 30.0)
editors("headline", member = "marketing", rate = 4.0, turns = 1.5, think = 0.5, prompt = 600, answer = 60)
"""
FLOOD = (
    ALONE
    + """
editors("catalogue", member = "newsroom", rate = 40.0, turns = 1.0, think = 0.0, prompt = 2400, answer = 60)
"""
)


def main() -> None:
    seconds = float(sys.argv[1]) if len(sys.argv) > 1 else 30.0
    script = read_script(ROOT / "deploy" / "local.star")
    for seed in [int(s) for s in sys.argv[2:]] or [1]:
        for name, text, guard in (
            ("alone", ALONE, ""),
            ("with the flood", FLOOD, ""),
            ("with the flood, no shares", FLOOD, "shares_nothing"),
        ):
            with tempfile.TemporaryDirectory() as folder:
                day = Path(folder) / "day.star"
                day.write_text(text)
                path = Path(folder) / "recording.jsonl"
                asyncio.run(
                    play_day(
                        script,
                        read_script(day, DAY_FUNCTIONS),
                        seconds,
                        seed,
                        path,
                        logs=path.with_suffix(".log"),
                        front_program=("benchmarks.unguarded_front", guard) if guard else (),
                    )
                )
                found = summarize(path)
                broken = judge(events(path)).findings()
            came = "; ".join(
                f"{workload}: value in time {total.met_targets / max(1, total.count):.3f} of {total.count}"
                for workload, total in sorted(found.items())
            )
            print(f"seed {seed}, {name}: {came}; {len(broken)} findings of the judge", flush=True)


if __name__ == "__main__":
    main()
