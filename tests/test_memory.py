"""What a front keeps across a restart: identities with their answers, counts, its start number."""

import asyncio
import json
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

import pytest
from websockets.asyncio.client import connect

from heathford.core.core import Tally
from heathford.front.memory import Memory
from heathford.fuzz.sessions import InProcessFront
from heathford.identity import counts, stored_answers
from heathford.identity.shared_request import SharedRequest
from heathford.interface import Effect
from heathford.store.store import Store, StoreError

Scene = Callable[["Start"], Awaitable[None]]


class Start:
    """One start of a front over a folder, in this process."""

    def __init__(self, served: InProcessFront, memory: Memory) -> None:
        self.served, self.memory = served, memory

    async def ask(self, key: str, **more: Any) -> dict[str, Any]:
        """The final answer of one completion asked by that key, on a session of its own."""
        async with connect(self.served.url, subprotocols=["heathford.v2"]) as client:  # type: ignore[list-item]
            params = {"model": "w", "prompt": "x" * 40, "max_tokens": 3, "timeout": 3.0}
            await client.send(
                json.dumps(
                    {
                        "jsonrpc": "2.0",
                        "id": 1,
                        "method": "completions.create",
                        "params": {**params, "idempotency_key": key, **more},
                    }
                )
            )
            while True:
                said: dict[str, Any] = json.loads(await client.recv())
                if "method" not in said:
                    return said


def play(folder: Path, effect: Effect, *scenes: Scene, serves: bool = False, end: str = "close") -> None:
    """Each scene is a start of its own; end: how each ends."""

    async def run(scene: Scene) -> None:
        served = InProcessFront(effect)
        memory = await Memory.open(folder, 60.0, serves)
        memory.restore(served.manager.idempotency_table, asyncio.get_running_loop().time())
        await memory.begin(served.core.tally)
        served.manager.memory = memory
        async with asyncio.timeout(15.0):
            await scene(Start(served, memory))
            served.server.stop()
            if memory.store and end == "kill":  # nothing more is written, and nothing told
                memory.store.write = refuse  # type: ignore[method-assign]
            await memory.close(served.core.tally)

    for scene in scenes:
        asyncio.run(run(scene))


def refuse(changes: Any) -> Any:
    raise StoreError("killed", None)  # type: ignore[arg-type]


@pytest.mark.parametrize("end", ["close", "kill"])
@pytest.mark.parametrize("effect", list(Effect))
def test_a_repeat_after_a_restart_gets_the_same_answer(tmp_path: Path, effect: Effect, end: str) -> None:
    first: dict[str, Any] = {}

    async def before(start: Start) -> None:
        first.update(await start.ask("k"))
        while start.memory.store and start.memory.store.pending:
            await asyncio.sleep(0.001)

    async def after(start: Start) -> None:
        assert await start.ask("k") == first and first["result"]["choices"][0]["text"] == "ttt"
        assert start.served.core.tally.taken == 0 and start.memory.start == 2
        other = await start.ask("k", max_tokens=2)  # another body
        assert other["error"]["code"] == -32602

    play(tmp_path, effect, before, after, end=end)


@pytest.mark.parametrize(
    "effect, runs_again",
    [(Effect.IDEMPOTENT, True), (Effect.IDEMPOTENCY_KEYED, False), (Effect.NON_IDEMPOTENT, False)],
)
def test_a_repeat_of_one_that_was_out_when_its_front_was_killed(
    tmp_path: Path, effect: Effect, runs_again: bool
) -> None:
    async def before(start: Start) -> None:
        start.served.link.paused = True
        asking = asyncio.ensure_future(start.ask("k"))
        while not start.served.core.live:
            await asyncio.sleep(0.001)
        asking.cancel()
        start.memory.count_now(start.served.core.tally)
        while start.memory.store and start.memory.store.pending:
            await asyncio.sleep(0.001)

    async def after(start: Start) -> None:
        for _ in range(2):
            said = await start.ask("k")
            if runs_again:
                assert said["result"]["final"] == "finished"
            else:
                assert said["error"]["message"] == stored_answers.MAY_HAVE_RUN and start.served.link.sent == 0
                assert said["error"]["data"]["final"] == "aborted"
        assert start.memory.store
        totals = json.loads(start.memory.store.get(counts.SPACE, counts.TOTALS) or b"")
        assert totals["taken"] == 1 and totals["cut_off"] == 1

    async def again(start: Start) -> None:
        assert start.memory.store and counts.count_unfinished(
            start.memory.store.get(counts.SPACE, counts.TOTALS)
        ) in (0, -0)

    play(tmp_path, effect, before, after, again, end="kill")


def test_it_is_on_disk_before_the_first_dispatch_that_it_may_run(tmp_path: Path) -> None:
    async def scene(start: Start) -> None:
        store = start.memory.store
        assert store
        seen = []
        true = start.served.core.accept

        def take(*args: Any, **more: Any) -> Any:
            seen.append(
                json.loads(
                    store.durable_view.get(stored_answers.SPACE, stored_answers.store_key(0, "k"), store.now)
                    or b"{}"
                )
            )
            return true(*args, **more)

        start.served.core.accept = take  # type: ignore[method-assign]
        assert "result" in await start.ask("k")
        assert [s["final"] for s in seen] == ["out"]

    play(tmp_path, Effect.NON_IDEMPOTENT, scene)


@pytest.mark.parametrize("serves, final", [(True, "finished"), (False, "rate-limited")])
@pytest.mark.parametrize("trouble", ["gone", "slow"])
def test_the_rule_for_a_store_that_is_gone_or_slow(
    tmp_path: Path, serves: bool, final: str, trouble: str
) -> None:
    async def scene(start: Start) -> None:
        store = start.memory.store
        assert store
        if trouble == "gone":
            store.write = refuse  # type: ignore[method-assign]
        else:
            loop = asyncio.get_running_loop()
            store.write = lambda changes: loop.create_future()  # type: ignore[method-assign]
        said = await start.ask("k")
        got = said["result"]["final"] if "result" in said else said["error"]["data"]["final"]
        assert got == final and start.memory.without == 1
        assert start.served.link.sent == (2 if serves else 0)

    play(tmp_path, Effect.NON_IDEMPOTENT, scene, serves=serves, end="kill")


def test_a_folder_that_another_front_holds_is_no_store(tmp_path: Path) -> None:
    async def scene() -> None:
        first = await Store.open(tmp_path)
        memory = await Memory.open(tmp_path, 60.0, True)
        assert memory.store is None
        done: list[bool] = []
        memory.begins(0, "k", b"", Effect.NON_IDEMPOTENT, done.append)
        assert done == [True]
        await first.close()

    asyncio.run(scene())


def test_counts_add_up_whatever_is_written_and_lost() -> None:
    tally, deltas, totals = Tally(), counts.UnwrittenCounts(), b""
    for step in range(50):
        tally.taken += 3
        tally.finished += 1
        tally.left += step % 2
        more = deltas.unwritten({name: getattr(tally, name) for name in counts.NAMES})
        deltas.mark_written(more)
        if step % 5 == 4:
            deltas.undo(more)  # the write failed
            continue
        totals = counts.add_counts(totals, more)
    totals = counts.add_counts(
        totals, deltas.unwritten({name: getattr(tally, name) for name in counts.NAMES})
    )
    found = json.loads(totals)
    assert (found["taken"], found["finished"], found["left"]) == (150, 50, 25)
    assert counts.count_unfinished(totals) == 75
    assert counts.count_unfinished(counts.add_counts(totals, {"cut_off": 75})) == 0


@pytest.mark.parametrize("value", [b"{}", b'{"body":"zz"}', b"[]", b'{"body":"","effect":"x","final":"out"}'])
def test_a_kept_completion_that_cannot_be_read_is_told(value: bytes) -> None:
    with pytest.raises(ValueError):
        stored_answers.decode_record(value)


def test_an_answer_too_long_to_be_kept_is_an_abort_that_says_so() -> None:
    shared = SharedRequest()
    shared.tokens("x" * (stored_answers.MAX_ANSWER_CHARS + 1))
    shared.finished("stop", {})
    assert (
        stored_answers.decode_record(stored_answers.encode_final(b"d", Effect.IDEMPOTENCY_KEYED, shared))[
            2
        ].final_fields["why"]
        == stored_answers.ANSWER_TOO_LONG
    )
