"""What tries again add to the load while all engines are out for 10 s, within the budget and without it.

    python -m benchmarks.outage_retries [SEED …]

Both libraries ask at a steady rate; every engine dies at 8 s and comes back 10 s later. Counted from the
recording: first tries and tries again that fronts were sent during the outage and in the 5 s after.
"""

import asyncio
import sys
import tempfile
from pathlib import Path

from heathford.client.retry import MAX_CREDIT
from heathford.days.judge import judge
from heathford.days.play import play_day, summarize
from heathford.days.recording import events
from heathford.days.schema import DAY_FUNCTIONS
from heathford.script.script import read_script

ROOT = Path(__file__).parent.parent
BEGIN, LASTS, AFTER, SECONDS = 8.0, 10.0, 5.0, 28.0  # s
DAY = """
day("outage", seconds = 28.0)
editors("headline", member = "marketing", rate = 12.0, turns = 1.0, think = 0.0, prompt = 300, answer = 40,
        by = "websocket library", retry_share = {share})
editors("headline", member = "newsroom", rate = 12.0, turns = 1.0, think = 0.0, prompt = 300, answer = 40,
        by = "http library", retry_share = {share})
fault("restart", after = 8.0, zone = "north", lasts = 10.0)
fault("restart", after = 8.0, zone = "south", lasts = 10.0)
"""


def counted(path: Path) -> tuple[int, int]:
    """First tries, and tries again."""
    begun, first, again = 0.0, 0, 0
    seen: dict[str, None] = {}
    for event in events(path):
        if event["what"] == "begin":
            begun = event["t"]
        if event["at"] != "client" or event["what"] != "asked":
            continue
        new = event["first"] not in seen
        seen[event["first"]] = None
        if BEGIN <= event["t"] - begun < BEGIN + LASTS + AFTER:
            first, again = first + new, again + (not new)
    return first, again


def main() -> int:
    script = read_script(ROOT / "deploy" / "local.star")
    failed = 0
    for seed in [int(s) for s in sys.argv[1:]] or [1]:
        for share in (0.2, 100.0):
            with tempfile.TemporaryDirectory() as folder:
                day, path = Path(folder) / "day.star", Path(folder) / "recording.jsonl"
                day.write_text(DAY.format(share=share))
                asyncio.run(
                    play_day(
                        script,
                        read_script(day, DAY_FUNCTIONS),
                        SECONDS,
                        seed,
                        path,
                        logs=path.with_suffix(".log"),
                    )
                )
                first, again = counted(path)
                total = summarize(path)["headline"]
                broken = len(judge(events(path)).findings())
            most = share * first + 2 * MAX_CREDIT
            good = not broken and (share > 1 or again <= most)
            failed += not good
            print(
                f"seed {seed}, budget {share:g}: {first} first tries, {again} again, {again / first:.2f} a "
                f"first (at most {most / first:.2f}); value in time {total.met_targets / total.count:.3f}; "
                f"{broken} findings of the judge{'' if good else ': NOT AS WANTED'}",
                flush=True,
            )
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
