"""A day of bookings at one front that is killed again and again, with a store: a repeat after a restart is
never a second dispatch. Then the same with what was kept not looked at, which the judge must catch.

    python -m benchmarks.kept_day [SECONDS [SEED …]]
"""

import asyncio
import sys
import tempfile
from pathlib import Path

from heathford.days.judge import judge, show_results
from heathford.days.play import play_day, summarize, show_summary
from heathford.days.recording import events
from heathford.days.schema import DAY_FUNCTIONS
from heathford.script.script import read_script

ROOT = Path(__file__).parent.parent
DAY = """
day("kept", seconds = 30.0)
editors("booking", member = "newsroom", rate = 10.0, turns = 1.0, think = 0.0, prompt = 400, answer = 200,
        comes_back = 0.2, retries = 6)
fault("kill_front", after = 3.0, every = 5.0, front = "north", lasts = 0.1)
"""


def main() -> int:
    seconds = float(sys.argv[1]) if len(sys.argv) > 1 else 30.0
    wrong = 0
    for seed in [int(s) for s in sys.argv[2:]] or [1]:
        for guard in ("", "forgets_restarts"):
            with tempfile.TemporaryDirectory(dir=Path.cwd()) as place:
                folder = Path(place)
                local = (
                    (ROOT / "deploy" / "local.star")
                    .read_text()
                    .replace('front("south", zone = "south", address = "127.0.1.2")', "")
                )
                (folder / "kept.star").write_text(local + '\nstore(folder = "store", without = "refuse")\n')
                (folder / "day.star").write_text(DAY)
                path = folder / "recording.jsonl"
                asyncio.run(
                    play_day(
                        read_script(folder / "kept.star"),
                        read_script(folder / "day.star", DAY_FUNCTIONS),
                        seconds,
                        seed,
                        path,
                        front_program=("benchmarks.unguarded_front", guard) if guard else (),
                        logs=path.with_suffix(".log"),
                    )
                )
                found = judge(events(path))
                broken = {f.check for f in found.findings()}
                good = (broken == {"2 no effect twice"}) if guard else not broken
                wrong += not good
                print(
                    f"seed {seed}, {'without ' + guard if guard else 'whole'}: "
                    f"{'as wanted' if good else 'NOT AS WANTED'}, {sorted(broken) or 'nothing broken'}, "
                    f"{sum(f.check == '2 no effect twice' for f in found.findings())} effects twice",
                    flush=True,
                )
                show_summary(summarize(path), found.workloads, print)
                if not good:
                    show_results(found, print)
    return 1 if wrong else 0


if __name__ == "__main__":
    sys.exit(main())
