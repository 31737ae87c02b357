"""A short transcript through the adapter, as a process."""

import json
import subprocess
import sys
from pathlib import Path
from typing import Any

import pytest

SECOND = 1_000_000_000
INFO = {
    "categories": [{"objectiveNs": SECOND, "idempotency": "free", "name": "w", "stream": True}],
    "familyInfo": {
        "memoryTokens": [200_000, 150_000],
        "roleByKind": ["read", "write"],
        "tokenAimNs": [50_000_000],
        "pinLimitNs": 300_000_000,
        "unknown": 1,
    },
    "policyLimits": {"tryLimit": 4, "cancel": True},
    "myNumber": 0,
    "nInstances": 1,
    "safety": {"warmAfterNs": SECOND, "coldFrom": 0.3, "tipMultiple": 2.5, "fallNs": SECOND},
}
ROWS = [
    {"engine": 7, "rackZone": 0, "model": 0, "bay": 0, "health": "on"},
    {"engine": 8, "rackZone": 0, "model": 1, "bay": 0, "health": "on"},
]
START = [
    {"configure": {"who": 3, "rngSeed": 5, "bootInfo": INFO}},
    {"defineList": {"list": 0, "rows": ROWS}},
    {"fleet": {"who": 3, "scope": "restored", "index": 1, "list": 0}},
]
JOB = {"jobIn": {"who": 3, "id": "a0", "conversation": "s", "dueNs": 9 * SECOND, "nPrompt": 4000}}


def end(verdict: str, seq: int, **more: Any) -> dict[str, Any]:
    return {"attemptEnd": {"who": 3, "id": "a0", "seqNo": seq, "engine": 7, "verdict": verdict, **more}}


def drill(lines: list[str]) -> "subprocess.CompletedProcess[str]":
    return subprocess.run(
        [sys.executable, "-m", "heathford.drill"],
        input="\n".join(lines) + "\n",
        capture_output=True,
        text=True,
        cwd=Path(__file__).parent.parent,
        timeout=30,
    )


def names(reply: str) -> list[str]:
    actions = [pair for action in json.loads(reply)["output"] for pair in action.items()]
    return [f"{name} {fields.get('engine', '')}".strip() for name, fields in actions if name != "setAlarm"]


@pytest.mark.parametrize(
    "batches, replies",
    [
        (
            [
                START,
                [JOB],
                [end("READ", 0)],
                [{"ackFirst": {"who": 3, "id": "a0", "seqNo": 1}}],
                [end("delivered", 1, closed=True)],
                [end("delivered", 1, closed=True)],
            ],
            [[], ["relay 7"], ["relay 8"], [], [], []],
        ),
        (
            [START, [JOB], [{"dropped": {"who": 3, "id": "a0"}}], [end("READ", 0, closed=True)]],
            [[], ["relay 7"], ["undoSend"], ["release"]],
        ),
        (
            [
                START,
                [JOB, {"stop": {"who": 3}}, *START],
                [end("READ", 0)],
                [{"alarm": {"who": 9, "keyBack": 1}}],
            ],
            [[], [], [], []],
        ),
        (
            [
                START,
                [
                    {"defineList": {"list": 0, "rows": []}},
                    {"fleet": {"who": 3, "scope": "replace", "list": 0}},
                    {"defineList": {"list": 0, "rows": ROWS}},
                    {"fleet": {"who": 3, "scope": "update", "list": 0}},
                ],
                [JOB],
            ],
            [[], [], ["relay 7"]],
        ),
    ],
)
def test_transcript(batches: list[list[dict[str, Any]]], replies: list[list[str]]) -> None:
    lines = [json.dumps({"clockNs": (i + 1) * SECOND // 10, "msgs": m}) for i, m in enumerate(batches)]
    run = drill(lines)
    assert run.returncode == 0
    assert [names(line) for line in run.stdout.splitlines()] == replies


@pytest.mark.parametrize("line", ["{", "[]", '{"clockNs":1}', '{"clockNs":1,"msgs":[{"jobIn":{"id":"x"}}]}'])
def test_input_that_is_no_batch_ends_with_a_message(line: str) -> None:
    run = drill([line])
    assert run.returncode == 2 and run.stdout == "" and "heathford.drill:" in run.stderr


def test_an_exception_in_the_decisions_is_reported() -> None:
    job = {"jobIn": JOB["jobIn"] | {"type": 5}}
    run = drill([json.dumps({"clockNs": SECOND, "msgs": [*START, job]})])
    assert "IndexError" in json.loads(run.stdout)["output"][0]["exception"]["text"]


@pytest.mark.parametrize(
    "wrong", [{"model": 9}, {"health": "odd"}, {"engine": None, "health": []}, {"bootTimeNs": ""}]
)
def test_an_entry_that_can_not_be_read_is_told_and_the_others_count(wrong: dict[str, Any]) -> None:
    rows = [{**ROWS[0], "engine": 9, **wrong}, *ROWS]
    batches = [[START[0], {"defineList": {"list": 0, "rows": rows}}, START[2]], [JOB]]
    run = drill([json.dumps({"clockNs": (i + 1) * SECOND // 10, "msgs": m}) for i, m in enumerate(batches)])
    told, sent = (json.loads(line)["output"] for line in run.stdout.splitlines())
    assert "passed over" in told[0]["trace"]["text"] and sent[0]["relay"]["engine"] == 7


def test_news_of_what_was_never_sent_is_ignored() -> None:
    first = {"ackFirst": {"who": 3, "id": "a0", "seqNo": 9}}
    batches = [START, [JOB], [end("READ", 7), first, end("READ", 0)]]
    run = drill([json.dumps({"clockNs": (i + 1) * SECOND // 10, "msgs": m}) for i, m in enumerate(batches)])
    assert [names(line) for line in run.stdout.splitlines()] == [[], ["relay 7"], ["relay 8"]]
