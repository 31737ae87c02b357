"""The simulator's adapter as a process: short transcripts, and invalid input."""

import json
import subprocess
import sys
from pathlib import Path
from typing import Any

import pytest

SECOND = 1_000_000_000
BOOT_INFO = {
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
ENTRIES = [
    {"engine": 7, "rackZone": 0, "model": 0, "bay": 0, "health": "on"},
    {"engine": 8, "rackZone": 0, "model": 1, "bay": 0, "health": "on"},
]
START = [
    {"configure": {"who": 3, "rngSeed": 5, "bootInfo": BOOT_INFO}},
    {"defineList": {"list": 0, "rows": ENTRIES}},
    {"fleet": {"who": 3, "scope": "restored", "index": 1, "list": 0}},
]
JOB = {"jobIn": {"who": 3, "id": "a0", "conversation": "s", "dueNs": 9 * SECOND, "nPrompt": 4000}}


def attempt_end(verdict: str, seq: int, **more: Any) -> dict[str, Any]:
    return {"attemptEnd": {"who": 3, "id": "a0", "seqNo": seq, "engine": 7, "verdict": verdict, **more}}


def run_adapter(lines: list[str]) -> "subprocess.CompletedProcess[str]":
    return subprocess.run(
        [sys.executable, "-m", "heathford.drill"],
        input="\n".join(lines) + "\n",
        capture_output=True,
        text=True,
        cwd=Path(__file__).parent.parent,
        timeout=30,
    )


def action_names(reply: str) -> list[str]:
    actions = [pair for action in json.loads(reply)["output"] for pair in action.items()]
    return [f"{name} {fields.get('engine', '')}".strip() for name, fields in actions if name != "setAlarm"]


@pytest.mark.parametrize(
    "batches, replies",
    [
        (
            [
                START,
                [JOB],
                [attempt_end("READ", 0)],
                [{"ackFirst": {"who": 3, "id": "a0", "seqNo": 1}}],
                [attempt_end("delivered", 1, closed=True)],
                [attempt_end("delivered", 1, closed=True)],
            ],
            [[], ["relay 7"], ["relay 8"], [], [], []],
        ),
        (
            [START, [JOB], [{"dropped": {"who": 3, "id": "a0"}}], [attempt_end("READ", 0, closed=True)]],
            [[], ["relay 7"], ["undoSend"], ["release"]],
        ),
        (
            [
                START,
                [JOB, {"stop": {"who": 3}}, *START],
                [attempt_end("READ", 0)],
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
                    {"defineList": {"list": 0, "rows": ENTRIES}},
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
    run = run_adapter(lines)
    assert run.returncode == 0
    assert [action_names(line) for line in run.stdout.splitlines()] == replies


@pytest.mark.parametrize("line", ["{", "[]", '{"clockNs":1}', '{"clockNs":1,"msgs":[{"jobIn":{"id":"x"}}]}'])
def test_an_invalid_batch_ends_the_process_with_a_message(line: str) -> None:
    run = run_adapter([line])
    assert run.returncode == 2 and run.stdout == "" and "heathford.drill:" in run.stderr


def test_an_exception_in_a_decision_is_reported() -> None:
    job = {"jobIn": JOB["jobIn"] | {"type": 5}}
    run = run_adapter([json.dumps({"clockNs": SECOND, "msgs": [*START, job]})])
    assert "IndexError" in json.loads(run.stdout)["output"][0]["exception"]["text"]


@pytest.mark.parametrize(
    "invalid_fields", [{"model": 9}, {"health": "odd"}, {"engine": None, "health": []}, {"bootTimeNs": ""}]
)
def test_an_invalid_list_entry_is_traced_and_the_others_are_applied(invalid_fields: dict[str, Any]) -> None:
    entries = [{**ENTRIES[0], "engine": 9, **invalid_fields}, *ENTRIES]
    batches = [[START[0], {"defineList": {"list": 0, "rows": entries}}, START[2]], [JOB]]
    run = run_adapter(
        [json.dumps({"clockNs": (i + 1) * SECOND // 10, "msgs": m}) for i, m in enumerate(batches)]
    )
    first_reply, second_reply = (json.loads(line)["output"] for line in run.stdout.splitlines())
    assert "passed over" in first_reply[0]["trace"]["text"] and second_reply[0]["relay"]["engine"] == 7


def test_events_of_attempts_that_were_never_sent_are_ignored() -> None:
    first = {"ackFirst": {"who": 3, "id": "a0", "seqNo": 9}}
    batches = [START, [JOB], [attempt_end("READ", 7), first, attempt_end("READ", 0)]]
    run = run_adapter(
        [json.dumps({"clockNs": (i + 1) * SECOND // 10, "msgs": m}) for i, m in enumerate(batches)]
    )
    assert [action_names(line) for line in run.stdout.splitlines()] == [[], ["relay 7"], ["relay 8"]]
