"""A retry whose engine reads it only after the time in which engines know an idempotency key."""

import asyncio
from pathlib import Path
from time import monotonic
from typing import Any

from raw_peers import FrontSetup, answer_releases, decode, prefill, request, run_scenario, until

from heathford.standin.platform import PREFILL_RESPONSE, SECOND

WINDOW = 1.5  # s for which engines know a key


def add_keyed_class(settings: dict[str, Any]) -> None:
    """Add a request class that may be retried by its idempotency key, in any zone."""
    settings["categories"].append(
        {
            **settings["categories"][0],
            "name": "order",
            "idempotency": "guarded",
            "group": "all",
            "keyTtlNs": int(WINDOW * SECOND),
        }
    )
    settings["familyInfo"]["tokenAimNs"].append(settings["familyInfo"]["tokenAimNs"][0])


def test_no_retry_is_read_after_the_window_by_an_engine_that_was_stopped(tmp_path: Path) -> None:
    """The front node closes the connection, but a resumed engine reads what its kernel has received."""

    async def scenario(setup: FrontSetup) -> None:
        prefill_engine, *decode_engines = setup.engines
        releases = asyncio.create_task(answer_releases(prefill_engine))
        client = setup.client()
        client.send(request("c0", request_class="order"))
        (await prefill_engine.wait_for_request()).sock.sendall(PREFILL_RESPONSE)
        await until(lambda: any(decode_engine.posts for decode_engine in decode_engines), "the first attempt")
        ran_at = monotonic()
        stopped = next(decode_engine for decode_engine in decode_engines if not decode_engine.posts)
        prefills = 1
        while monotonic() < ran_at + WINDOW:  # the stopped engine reads nothing
            if prefill_engine.posts > prefills:
                prefills += 1
                (await prefill_engine.wait_for_request(prefills)).sock.sendall(PREFILL_RESPONSE)
            await asyncio.sleep(0.005)
        releases.cancel()
        assert stopped.posts == 0

    run_scenario(tmp_path, scenario, prefill(), decode("w"), decode("w2"), change_settings=add_keyed_class)
