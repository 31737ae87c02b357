"""A busy day of editors with a batch at each front and without, and the batches alone.

    python -m benchmarks.batch_day [SECONDS [SEED …]]

Prints the sessions' value in time both ways and its fall, lines answered, and the share of the idle capacity
that they are: what the batches answer alone, less the sessions' completions.
"""

import asyncio
import json
import sys
import tempfile
from pathlib import Path

from tornado.httpclient import AsyncHTTPClient

from heathford.days.judge import judge
from heathford.days.play import WorkloadSummary, play_day, summarize
from heathford.days.recording import events
from heathford.days.schema import DAY_FUNCTIONS
from heathford.script.script import read_script

ROOT = Path(__file__).parent.parent
EDITORS = """
editors("headline", member = "marketing", rate = 4.0, turns = 2.0, think = 0.8, prompt = 600, answer = 60)
"""
NOBODY = """
editors("headline", member = "marketing", rate = 0.05, turns = 1.0, think = 0.0, prompt = 600, answer = 60)
"""
LINES = 6000
BOUNDARY = "b0undary"


def lines() -> bytes:
    body = {"model": "catalogue", "max_tokens": 60, "user": "newsroom"}
    return b"\n".join(
        json.dumps(
            {
                "custom_id": f"c{n}",
                "method": "POST",
                "url": "/v1/completions",
                "body": {**body, "prompt": f"{n} ".ljust(2400, "x")},
            }
        ).encode()
        for n in range(LINES)
    )


class Counts:
    def __init__(self) -> None:
        self.begun: dict[str, str] = {}  # batch, by front
        self.completed: dict[str, int] = {}

    async def beside(self, urls: list[str]) -> None:
        """A batch at each front; counts as long as the day goes on."""
        client = AsyncHTTPClient()
        bases = [url.replace("ws", "http", 1).removesuffix("/v1/sessions") for url in urls]
        form = (
            (
                f'--{BOUNDARY}\r\nContent-Disposition: form-data; name="purpose"\r\n\r\nbatch\r\n'
                f'--{BOUNDARY}\r\nContent-Disposition: form-data; name="file"; filename="a"\r\n\r\n'
            ).encode()
            + lines()
            + f"\r\n--{BOUNDARY}--\r\n".encode()
        )
        member = {"Heathford-Member": "newsroom"}
        for base in bases:
            answer = await client.fetch(
                f"{base}/v1/files",
                method="POST",
                body=form,
                headers={"Content-Type": f"multipart/form-data; boundary={BOUNDARY}", **member},
                request_timeout=60.0,
            )
            file = json.loads(answer.body)["id"]
            answer = await client.fetch(
                f"{base}/v1/batches",
                method="POST",
                headers=member,
                body=json.dumps(
                    {"input_file_id": file, "endpoint": "/v1/completions", "completion_window": "24h"}
                ),
            )
            self.begun[base] = json.loads(answer.body)["id"]
        while True:
            await asyncio.sleep(0.5)
            for base, batch in self.begun.items():
                answer = await client.fetch(f"{base}/v1/batches/{batch}", headers=member)
                self.completed[base] = json.loads(answer.body)["request_counts"]["completed"]


def play(folder: Path, loads: str, seconds: float, seed: int, batches: bool) -> tuple[float, int, int, int]:
    """Value in time, completions of sessions, lines answered, findings of the judge."""
    folder.mkdir()
    local = (ROOT / "deploy" / "local.star").read_text()
    (folder / "script.star").write_text(
        local
        + """
store(folder = "store", without = "refuse")
batches(folder = "files", most_file = 100000000, most_files = 1000000000)
"""
    )
    (folder / "day.star").write_text(f'day("busy", seconds = {seconds})\n' + loads)
    path, counts = folder / "recording.jsonl", Counts()
    asyncio.run(
        play_day(
            read_script(folder / "script.star"),
            read_script(folder / "day.star", DAY_FUNCTIONS),
            seconds,
            seed,
            path,
            logs=path.with_suffix(".log"),
            background_task=counts.beside if batches else None,
        )
    )
    total = summarize(path).get("headline", WorkloadSummary())
    broken = len(judge(events(path)).findings())
    return (
        total.met_targets / max(1, total.count),
        total.outcomes.get("finished", 0),
        sum(counts.completed.values()),
        broken,
    )


def main() -> None:
    seconds = float(sys.argv[1]) if len(sys.argv) > 1 else 30.0
    for seed in [int(s) for s in sys.argv[2:]] or [1]:
        with tempfile.TemporaryDirectory(dir=Path.cwd()) as place:
            root = Path(place)
            without, sessions, _, a = play(root / "without", EDITORS, seconds, seed, False)
            beside, _, done, b = play(root / "beside", EDITORS, seconds, seed, True)
            _, _, alone, c = play(root / "alone", NOBODY, seconds, seed, True)
        print(
            f"seed {seed}: sessions' value in time {without:.3f} without, {beside:.3f} beside batches, "
            f"fall {without - beside:.3f}; {done} lines beside {sessions} completions, {alone} alone: "
            f"{done / max(1, alone - sessions):.2f} of the idle capacity; {a + b + c} findings",
            flush=True,
        )


if __name__ == "__main__":
    main()
