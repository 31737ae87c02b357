"""What an engine's bytes mean in the platform's protocol, cut at every byte."""

import pytest

from heathford.interface import Outcome
from heathford.platform.answers import Answer
from heathford.standin.platform import EVENTS, GOOD, READ, STREAM, WORDS, chunk, whole
from heathford.wire.http1 import MalformedMessageError

ALL = b"".join(EVENTS)


def feed_in_steps(said: bytes, is_prefill: bool, step: int) -> tuple[bytes, object]:
    """What was passed on, and the verdict; None while it is not whole, "nonsense" once it is spoilt."""
    answer, passed = Answer(is_prefill), b""
    for at in range(0, len(said), step):
        try:
            passed += answer.feed(said[at : at + step])
            if answer.response.done:
                return passed, answer.outcome()
        except MalformedMessageError:
            return passed, "nonsense"
    return passed, None


UNTIL_CLOSE = b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nConnection: close\r\n\r\n"
READ_UNTIL_CLOSE = b"HTTP/1.1 202 Accepted\r\nConnection: close\r\n\r\n"


@pytest.mark.parametrize(
    "said, is_prefill, passed, verdict",
    [
        (UNTIL_CLOSE + ALL, False, ALL, (Outcome.FINISHED, 4)),
        (UNTIL_CLOSE + ALL[:-3], False, ALL.removesuffix(EVENTS[-1]), "nonsense"),
        (READ_UNTIL_CLOSE + b'{"cached_tokens":4}', True, b"", (Outcome.PREFILLED, 4)),
        (READ_UNTIL_CLOSE + b'{"cached_tok', True, b"", "nonsense"),
        (READ_UNTIL_CLOSE + b"x" * 300_000, True, b"", "nonsense"),
    ],
)
def test_an_answer_without_a_length_ends_with_its_connection(
    said: bytes, is_prefill: bool, passed: bytes, verdict: object
) -> None:
    for step in (1, 7, len(said)):
        answer, got = Answer(is_prefill), b""
        try:
            for at in range(0, len(said), step):
                got += answer.feed(said[at : at + step])
            assert not answer.response.done and not answer.keep
            answer.response.feed_eof()
            found: object = answer.outcome()
        except MalformedMessageError:
            found = "nonsense"
        assert (got, found) == (passed, verdict)


@pytest.mark.parametrize(
    "field, keep",
    [
        ("close", False),
        ("Close", False),
        ("keep-alive", True),
        ("keep-alive, close", False),
        ("x-closely", True),
        ("close , te", False),
    ],
)
def test_which_answers_end_their_connection(field: str, keep: bool) -> None:
    answer = Answer(is_prefill=False)
    answer.feed(f"HTTP/1.1 500 X\r\nConnection: {field}\r\nContent-Length: 0\r\n\r\n".encode())
    assert answer.response.done and answer.keep == keep


@pytest.mark.parametrize(
    "said, is_prefill, passed, verdict",
    [
        (GOOD, False, ALL, (Outcome.FINISHED, 4)),
        (READ, True, b"", (Outcome.PREFILLED, 4)),
        (whole(202, b'{"cached_tokens":-3}'), True, b"", (Outcome.PREFILLED, 0)),
        (whole(202, b"{"), True, b"", "nonsense"),
        (WORDS["error"], False, b"", (Outcome.ERROR, 0)),
        (WORDS["full"], True, b"", (Outcome.FULL, 0)),
        (WORDS["expired"], False, b"", (Outcome.FULL, 0)),
        (WORDS["busy"], False, b"", (Outcome.ERROR, 0)),
        (WORDS["gone"], False, b"", (Outcome.FULL, 1)),
        (whole(410), False, b"", (Outcome.ERROR, 0)),
        (whole(200, b"{}"), True, b"", (Outcome.ERROR, 0)),
        (whole(202, b"{}"), False, b"", (Outcome.ERROR, 0)),
        (whole(404), False, b"", (Outcome.ERROR, 0)),
        (b"HTTP/1.1 100 X\r\n\r\nHTTP/1.1 103 X\r\nA: 1\r\n\r\n" + GOOD, False, ALL, (Outcome.FINISHED, 4)),
        (
            GOOD.replace(b"\r\n\r\n", b"\r\nX-Load-Report: \xff;=\r\n\r\n", 1),
            False,
            ALL,
            (Outcome.FINISHED, 4),
        ),
        (WORDS["begin"], False, EVENTS[0], None),
        (STREAM + chunk(ALL[:100]) + chunk(ALL[100:]) + b"0\r\n\r\n", False, ALL, (Outcome.FINISHED, 4)),
        # Spoilt before the first event, after which another dispatch may go out, and later.
        (b"\x00\x01\x02noise", False, b"", "nonsense"),
        (b"HTTP/1.1 2x0 OK\r\n\r\n", False, b"", "nonsense"),
        (b"HTTP/1.1 200 OK\r\nA: " + b"a" * 20_000, False, b"", "nonsense"),
        (STREAM + b"zz\r\n", False, b"", "nonsense"),
        (STREAM + chunk(b"noise\n\n"), False, b"", "nonsense"),
        (STREAM + chunk(b"data: {]\n\n"), False, b"", "nonsense"),
        (STREAM + chunk(b"a" * 20_000), False, b"", "nonsense"),
        (STREAM + b"0\r\n\r\n", False, b"", "nonsense"),
        (STREAM + chunk(EVENTS[0]) + b"zz\r\n", False, EVENTS[0], "nonsense"),
        (STREAM + chunk(EVENTS[0]) + b"-5\r\n", False, EVENTS[0], "nonsense"),
        (STREAM + chunk(EVENTS[0]) + b"C0000000\r\ndata", False, EVENTS[0], "nonsense"),
        (STREAM + chunk(EVENTS[0]) + b"1\r\nabc\r\n", False, EVENTS[0], "nonsense"),
        (STREAM + chunk(EVENTS[0]) + b"0\r\n\r\n", False, EVENTS[0], "nonsense"),
        (STREAM + chunk(ALL) + chunk(EVENTS[0]), False, ALL, "nonsense"),
    ],
)
def test_one_meaning_for_every_answer(said: bytes, is_prefill: bool, passed: bytes, verdict: object) -> None:
    assert feed_in_steps(said, is_prefill, 1) == (passed, verdict)
    at_once, same = feed_in_steps(said, is_prefill, len(said))
    assert same == verdict and (at_once == passed or verdict == "nonsense")


def test_a_second_answer_behind_the_first_ends_the_connections_use() -> None:
    answer = Answer(is_prefill=False)
    assert answer.feed(GOOD + GOOD) == ALL
    assert answer.outcome() == (Outcome.FINISHED, 4) and not answer.keep
    clean = Answer(is_prefill=False)
    clean.feed(GOOD)
    assert clean.keep


def test_no_chunk_makes_memory_grow() -> None:
    answer = Answer(is_prefill=False)
    answer.feed(STREAM + chunk(EVENTS[0]) + b"3FFFF\r\n")
    with pytest.raises(MalformedMessageError):
        for _ in range(100):
            answer.feed(b"a" * 1000)
    assert len(answer.events.buffer) < 40_000
