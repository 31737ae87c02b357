"""Runs the previous version, from its extracted archive, in a process of its own.

usage: version_1.py FOLDER ask | serve

ask: reads a request as a line of JSON from standard input and prints its outcome as a line, repeatedly.
serve: prints the port of a front node of that version and serves until standard input closes.
"""

import asyncio
import json
import sys
from typing import Any


def ask() -> None:
    from heathford.client import (
        Aborted,
        BadRequest,
        Blocking,
        Finished,
        HttpClient,
        NoFront,
        RateLimited,
        WebSocketClient,
    )

    def outcome(asked: dict[str, Any]) -> tuple[str, str, Any]:
        def make() -> Any:
            client = (HttpClient if asked["kind"] == "http" else WebSocketClient)(asked["addresses"], seed=1)
            client.fronts.order, client.fronts.current = list(range(len(asked["addresses"]))), 0
            return client

        async def run() -> Finished:
            async with make() as client:
                found: Finished = await client.complete(**asked["params"])
                return found

        try:
            if asked["blocking"]:
                with Blocking(make) as client:
                    found = client.complete(**asked["params"])
            else:
                found = asyncio.run(run())
            return "finished", found.text, found.tries
        except RateLimited as problem:
            return "rate-limited", problem.text, problem.retry_after > 0
        except (Aborted, BadRequest, NoFront) as problem:
            return type(problem).__name__.lower(), problem.text, None

    for line in sys.stdin:
        print(json.dumps(outcome(json.loads(line))), flush=True)


async def serve() -> None:
    # The class has this name in the archived version, which is what this process imports.
    from heathford.fuzz.sessions import Served  # type: ignore[attr-defined]

    served = Served()
    print(served.port, flush=True)
    await asyncio.get_running_loop().run_in_executor(None, sys.stdin.read)


if __name__ == "__main__":
    sys.path.insert(0, sys.argv[1])
    import heathford

    assert str(heathford.__file__).startswith(sys.argv[1]), (
        "the current version was loaded instead of the archive"
    )
    if sys.argv[2] == "ask":
        ask()
    else:
        asyncio.run(serve())
