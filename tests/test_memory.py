"""What a front node keeps across a restart: requests with an idempotency key, counts, number of starts."""

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

Scenario = Callable[["FrontRun"], Awaitable[None]]


class FrontRun:
    """A front node that runs in this process over the store of a folder."""

    def __init__(self, served: InProcessFront, memory: Memory) -> None:
        self.served, self.memory = served, memory

    async def request(self, key: str, **keywords: Any) -> dict[str, Any]:
        """Return the final answer of one request with that idempotency key, sent on a session of its own."""
        async with connect(self.served.url, subprotocols=["heathford.v2"]) as client:  # type: ignore[list-item]
            params = {"model": "w", "prompt": "x" * 40, "max_tokens": 3, "timeout": 3.0}
            await client.send(
                json.dumps(
                    {
                        "jsonrpc": "2.0",
                        "id": 1,
                        "method": "completions.create",
                        "params": {**params, "idempotency_key": key, **keywords},
                    }
                )
            )
            while True:
                reply: dict[str, Any] = json.loads(await client.recv())
                if "method" not in reply:
                    return reply


def run_scenarios(
    folder: Path, effect: Effect, *scenarios: Scenario, serves_without_store: bool = False, end: str = "close"
) -> None:
    """Run each scenario in a front node of its own over the same folder; end: how each run ends."""

    async def run_scenario(scenario: Scenario) -> None:
        served = InProcessFront(effect)
        memory = await Memory.open(folder, 60.0, serves_without_store)
        memory.restore(served.manager.idempotency_table, asyncio.get_running_loop().time())
        await memory.record_start(served.core.tally)
        served.manager.memory = memory
        async with asyncio.timeout(15.0):
            await scenario(FrontRun(served, memory))
            served.server.stop()
            if memory.store and end == "kill":  # nothing is written any longer
                memory.store.write = fail_write  # type: ignore[method-assign]
            await memory.close(served.core.tally)

    for scenario in scenarios:
        asyncio.run(run_scenario(scenario))


def fail_write(changes: Any) -> Any:
    raise StoreError("killed", None)  # type: ignore[arg-type]


@pytest.mark.parametrize("end", ["close", "kill"])
@pytest.mark.parametrize("effect", list(Effect))
def test_a_repeat_after_a_restart_gets_the_same_answer(tmp_path: Path, effect: Effect, end: str) -> None:
    first: dict[str, Any] = {}

    async def first_run(front: FrontRun) -> None:
        first.update(await front.request("k"))
        while front.memory.store and front.memory.store.pending:
            await asyncio.sleep(0.001)

    async def second_run(front: FrontRun) -> None:
        assert await front.request("k") == first and first["result"]["choices"][0]["text"] == "ttt"
        assert front.served.core.tally.taken == 0 and front.memory.start_number == 2
        other_body = await front.request("k", max_tokens=2)  # another body
        assert other_body["error"]["code"] == -32602

    run_scenarios(tmp_path, effect, first_run, second_run, end=end)


@pytest.mark.parametrize(
    "effect, runs_again",
    [(Effect.IDEMPOTENT, True), (Effect.IDEMPOTENCY_KEYED, False), (Effect.NON_IDEMPOTENT, False)],
)
def test_a_repeat_of_a_request_in_progress_when_its_front_was_killed(
    tmp_path: Path, effect: Effect, runs_again: bool
) -> None:
    async def first_run(front: FrontRun) -> None:
        front.served.link.paused = True
        reply_task = asyncio.ensure_future(front.request("k"))
        while not front.served.core.live:
            await asyncio.sleep(0.001)
        reply_task.cancel()
        front.memory.write_counts(front.served.core.tally)
        while front.memory.store and front.memory.store.pending:
            await asyncio.sleep(0.001)

    async def second_run(front: FrontRun) -> None:
        for _ in range(2):
            reply = await front.request("k")
            if runs_again:
                assert reply["result"]["final"] == "finished"
            else:
                assert (
                    reply["error"]["message"] == stored_answers.MAY_HAVE_RUN and front.served.link.sent == 0
                )
                assert reply["error"]["data"]["final"] == "aborted"
        assert front.memory.store
        totals = json.loads(front.memory.store.get(counts.SPACE, counts.TOTALS) or b"")
        assert totals["taken"] == 1 and totals["cut_off"] == 1

    async def third_run(front: FrontRun) -> None:
        assert front.memory.store and counts.count_unfinished(
            front.memory.store.get(counts.SPACE, counts.TOTALS)
        ) in (0, -0)

    run_scenarios(tmp_path, effect, first_run, second_run, third_run, end="kill")


def test_a_request_is_recorded_on_disk_before_its_first_attempt(tmp_path: Path) -> None:
    async def scenario(front: FrontRun) -> None:
        store = front.memory.store
        assert store
        stored_records = []
        original_accept = front.served.core.accept

        def accept_and_record(*args: Any, **keywords: Any) -> Any:
            stored_records.append(
                json.loads(
                    store.durable_view.get(stored_answers.SPACE, stored_answers.store_key(0, "k"), store.now)
                    or b"{}"
                )
            )
            return original_accept(*args, **keywords)

        front.served.core.accept = accept_and_record  # type: ignore[method-assign]
        assert "result" in await front.request("k")
        assert [record["final"] for record in stored_records] == ["out"]

    run_scenarios(tmp_path, Effect.NON_IDEMPOTENT, scenario)


@pytest.mark.parametrize("serves_without_store, final", [(True, "finished"), (False, "rate-limited")])
@pytest.mark.parametrize("failure", ["gone", "slow"])
def test_the_rule_for_an_unavailable_or_slow_store(
    tmp_path: Path, serves_without_store: bool, final: str, failure: str
) -> None:
    async def scenario(front: FrontRun) -> None:
        store = front.memory.store
        assert store
        if failure == "gone":
            store.write = fail_write  # type: ignore[method-assign]
        else:
            loop = asyncio.get_running_loop()
            store.write = lambda changes: loop.create_future()  # type: ignore[method-assign]
        reply = await front.request("k")
        outcome = reply["result"]["final"] if "result" in reply else reply["error"]["data"]["final"]
        assert outcome == final and front.memory.unstored_requests == 1
        assert front.served.link.sent == (2 if serves_without_store else 0)

    run_scenarios(
        tmp_path, Effect.NON_IDEMPOTENT, scenario, serves_without_store=serves_without_store, end="kill"
    )


def test_a_folder_locked_by_another_front_counts_as_an_unavailable_store(tmp_path: Path) -> None:
    async def scenario() -> None:
        other_store = await Store.open(tmp_path)
        memory = await Memory.open(tmp_path, 60.0, True)
        assert memory.store is None
        permissions: list[bool] = []
        memory.begins(0, "k", b"", Effect.NON_IDEMPOTENT, permissions.append)
        assert permissions == [True]
        await other_store.close()

    asyncio.run(scenario())


def test_counts_add_up_when_some_writes_fail() -> None:
    tally, unwritten_counts, totals = Tally(), counts.UnwrittenCounts(), b""
    for step in range(50):
        tally.taken += 3
        tally.finished += 1
        tally.left += step % 2
        increase = unwritten_counts.unwritten({name: getattr(tally, name) for name in counts.NAMES})
        unwritten_counts.mark_written(increase)
        if step % 5 == 4:
            unwritten_counts.undo(increase)  # the write failed
            continue
        totals = counts.add_counts(totals, increase)
    totals = counts.add_counts(
        totals, unwritten_counts.unwritten({name: getattr(tally, name) for name in counts.NAMES})
    )
    stored_counts = json.loads(totals)
    assert (stored_counts["taken"], stored_counts["finished"], stored_counts["left"]) == (150, 50, 25)
    assert counts.count_unfinished(totals) == 75
    assert counts.count_unfinished(counts.add_counts(totals, {"cut_off": 75})) == 0


@pytest.mark.parametrize("value", [b"{}", b'{"body":"zz"}', b"[]", b'{"body":"","effect":"x","final":"out"}'])
def test_a_stored_request_that_cannot_be_decoded_raises(value: bytes) -> None:
    with pytest.raises(ValueError):
        stored_answers.decode_record(value)


def test_an_answer_too_long_to_be_stored_becomes_an_abort_with_that_reason() -> None:
    shared = SharedRequest()
    shared.tokens("x" * (stored_answers.MAX_ANSWER_CHARS + 1))
    shared.finished("stop", {})
    assert (
        stored_answers.decode_record(stored_answers.encode_final(b"d", Effect.IDEMPOTENCY_KEYED, shared))[
            2
        ].final_fields["why"]
        == stored_answers.ANSWER_TOO_LONG
    )
