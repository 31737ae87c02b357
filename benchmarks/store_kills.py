"""Kills a process that writes to a store, at random points under load, and looks at what is there after.

    python -m benchmarks.store_kills [TIMES]

The child adds to figures and says each write that was acknowledged; after kill -9 all of these must be there,
once, and the total must be the sum of the parts.
"""

import asyncio
import json
import random
import subprocess
import sys
import tempfile
from pathlib import Path

from heathford.store.files import RealFiles
from heathford.store.format import Change
from heathford.store.journal import recover
from heathford.store.store import Store

WRITERS = 16


async def child(folder: Path) -> None:
    store = await Store.open(folder)
    begin = int(store.get("front", b"start") or b"0") + 1
    await store.put("front", b"start", b"%d" % begin)

    async def writer(place: int) -> None:
        chance = random.Random(begin * WRITERS + place)
        for n in range(1_000_000):
            key, amount = b"%d-%d-%d" % (begin, place, n), chance.randrange(1, 100)
            total = int(store.get("sum", b"total") or b"0") + amount
            if n % 40 == 0:
                store.compact()
            await store.write([Change("one", key, b"%d" % amount), Change("sum", b"total", b"%d" % total)])
            print(json.dumps([key.decode(), amount]), flush=True)

    await asyncio.gather(*(writer(n) for n in range(WRITERS)))


def main() -> int:
    times = int(sys.argv[1]) if len(sys.argv) > 1 else 200
    chance, said = random.Random(1), dict[str, int]()
    failed = torn = 0
    with tempfile.TemporaryDirectory(dir=Path.cwd()) as place:
        folder = Path(place) / "store"
        for number in range(times):
            running = subprocess.Popen(
                [sys.executable, "-m", "benchmarks.store_kills", "child", str(folder)],
                stdout=subprocess.PIPE,
                text=True,
            )
            assert running.stdout
            until = chance.randrange(1, 400)
            for _, line in zip(range(until), running.stdout, strict=False):
                key, amount = json.loads(line)
                said[key] = amount
            running.kill()
            for line in running.stdout:  # what it had said before it died
                if line.endswith("]\n"):
                    key, amount = json.loads(line)
                    said[key] = amount
            running.wait()
            found = recover(RealFiles(folder))
            ones = {k.decode(): int(v) for k, (v, _) in found.view_builder.spaces.get("one", {}).items()}
            total = int(found.view_builder.spaces.get("sum", {}).get(b"total", (b"0", None))[0])
            torn += bool(found.torn)
            lost = [key for key in said if ones.get(key) != said[key]]
            if lost or found.damage or sum(ones.values()) != total:
                failed += 1
                print(
                    f"kill {number}: lost {lost[:5]}, damage {found.damage}, sum {sum(ones.values())}, "
                    f"total {total}",
                    flush=True,
                )
    print(f"{times} kills, {len(said)} writes acknowledged and there, {torn} torn ends, {failed} failed")
    return 1 if failed else 0


if __name__ == "__main__":
    if sys.argv[1:2] == ["child"]:
        asyncio.run(child(Path(sys.argv[2])))
    else:
        sys.exit(main())
