"""First-token latency of a front with a store and without, in one run, for what must not run twice.

python -m benchmarks.store_front [SECONDS [RATE]]
"""

import asyncio
import sys
import tempfile
from pathlib import Path

from benchmarks.front_cost import ROOT
from benchmarks.service_cost import Way, load, way
from heathford.local.deployment import Deployment
from heathford.script.script import read_script


async def measure(seconds: float, rate: float, folder: Path) -> None:
    source = (
        (ROOT / "benchmarks" / "one_front.star")
        .read_text()
        .replace('effect = "idempotent"', 'effect = "non-idempotent"')
    )
    plain, kept = folder / "plain.star", folder / "kept.star"
    plain.write_text(source)
    kept.write_text(
        source.replace("127.0.2.9", "127.0.2.10").replace("127.0.1.9", "127.0.1.12")
        + '\nstore(folder = "store", without = "refuse")\n'
    )
    deployments = [Deployment(read_script(plain)), Deployment(read_script(kept))]
    ways: list[Way] = []
    try:
        for deployment in deployments:
            await deployment.start_stand_ins()
            await deployment.list_engines(deployment.address)
            ways.append(way(await deployment.start_front(0), 0, None))
        await load(ways, 5.0, rate)
        for one in ways:
            one.begin()
        await load(ways, seconds, rate)
        for one, name in zip(ways, ("without", "with"), strict=True):
            p50, p99 = (one.times.get_value_at_percentile(p) / 1000 for p in (50, 99))
            base = [ways[0].times.get_value_at_percentile(p) / 1000 for p in (50, 99)]
            print(
                f"{name} a store: {one.count} finished, {one.failed} not; first token p50 {p50:.1f} ms "
                f"({p50 / base[0]:.2f}), p99 {p99:.1f} ms ({p99 / base[1]:.2f})",
                flush=True,
            )
        for one in ways:
            for client in one.clients:
                await client.close()
    finally:
        for deployment in deployments:
            await deployment.end()


if __name__ == "__main__":
    with tempfile.TemporaryDirectory(dir=Path.cwd()) as place:
        asyncio.run(
            measure(
                float(sys.argv[1]) if len(sys.argv) > 1 else 20.0,
                float(sys.argv[2]) if len(sys.argv) > 2 else 40.0,
                Path(place),
            )
        )
