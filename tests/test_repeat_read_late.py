"""A repeat whose engine reads it only after the window in which a key is known."""

import asyncio
from pathlib import Path
from time import monotonic
from typing import Any

from raw_peers import FrontSetup, answer_releases, decode, prefill, request, run_scenario, until

from heathford.standin.platform import READ, SECOND

WINDOW = 1.5  # s


def add_orders(told: dict[str, Any]) -> None:
    """A kind of request that is repeated by its key, in any zone."""
    told["categories"].append(
        {
            **told["categories"][0],
            "name": "order",
            "idempotency": "guarded",
            "group": "all",
            "keyTtlNs": int(WINDOW * SECOND),
        }
    )
    told["familyInfo"]["tokenAimNs"].append(told["familyInfo"]["tokenAimNs"][0])


def test_a_repeat_is_not_read_after_the_window_by_an_engine_that_was_stopped(tmp_path: Path) -> None:
    """The front node closes it, but what the engine's machine has taken is read once the engine goes on."""

    async def day(play: FrontSetup) -> None:
        reader, *writers = play.engines
        releases = asyncio.create_task(answer_releases(reader))
        client = play.client()
        client.send(request("c0", request_class="order"))
        (await reader.wait_for_request()).sock.sendall(READ)
        await until(lambda: any(writer.posts for writer in writers), "the first attempt")
        ran_at = monotonic()
        stopped = next(writer for writer in writers if not writer.posts)
        reads = 1
        while monotonic() < ran_at + WINDOW:  # the stopped engine reads nothing meanwhile
            if reader.posts > reads:
                reads += 1
                (await reader.wait_for_request(reads)).sock.sendall(READ)
            await asyncio.sleep(0.005)
        releases.cancel()
        assert stopped.posts == 0

    run_scenario(tmp_path, day, prefill(), decode("w"), decode("w2"), setting=add_orders)
