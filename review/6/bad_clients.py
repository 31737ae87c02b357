"""Clients that send a large request again as soon as it is turned away.

Arguments: port of the front node, connections, seconds, and a number of this process.
"""

import asyncio
import sys
import time
from collections import Counter
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))
from kit_2 import Answer, Client, read_head

PROMPT = 62_000  # tokens, 248,000 bytes of body: the protocol allows 262,144
BUDGET_MS = 6_000
PORT, CONNECTIONS, SECONDS, NUMBER = int(sys.argv[1]), int(sys.argv[2]), float(sys.argv[3]), int(sys.argv[4])


async def client(connection: int, end: float, got: Counter[str]) -> None:
    """Ask and ask again on one connection."""
    try:
        reader, writer = await asyncio.open_connection("127.0.0.1", PORT, limit=1 << 20)
        asked = Client(None, None)
        asked.reader, asked.writer = reader, writer
        for attempt in range(1_000_000):
            if time.monotonic() >= end:
                break
            name = f"bad{NUMBER:x}{connection:04x}{attempt:08x}"
            writer.write(asked.request(name, PROMPT, BUDGET_MS))
            head = await read_head(reader)
            if head is None:
                got["a close"] += 1
                break
            answer = Answer()
            answer.headers = head[1]
            await asked.receive_body(answer)
            got[head[0].split(" ")[1]] += 1
        writer.close()
    except (OSError, asyncio.IncompleteReadError):
        got["a reset"] += 1


async def main() -> None:
    got: Counter[str] = Counter()
    end = time.monotonic() + SECONDS
    await asyncio.gather(*(client(i, end, got) for i in range(CONNECTIONS)))
    print(dict(got), flush=True)


asyncio.run(main())
