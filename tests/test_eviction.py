"""Which connections make way, in which order, at what cost."""

from dataclasses import dataclass

import pytest

from heathford.platform.eviction import SILENT_GRACE, EvictionQueues, Idleness

NOW = 100.0


@dataclass(eq=False)
class Connection:
    name: str
    idleness: Idleness | None
    idle_since: float
    looks: int = 0


def names(queues: EvictionQueues[Connection]) -> list[str]:
    return [connection.name for connection in queues.eviction_order(NOW)]


def test_the_order_in_which_they_make_way() -> None:
    queues = EvictionQueues[Connection]()
    for connection in (
        Connection("silent", Idleness.SILENT, NOW - SILENT_GRACE),
        Connection("answered", Idleness.ANSWERED, NOW - 3),
        Connection("open", None, NOW - 50),
        Connection("asking", Idleness.PARTIAL_REQUEST, NOW - 9),
        Connection("shut", Idleness.HALF_CLOSED, NOW),
        Connection("fresh", Idleness.SILENT, NOW),
        Connection("answered later", Idleness.ANSWERED, NOW),
    ):
        queues.update(connection)
    assert names(queues) == ["shut", "silent", "answered", "answered later", "asking", "fresh"]
    assert len(queues) == 6


@pytest.mark.parametrize("then", [*Idleness, None])
def test_a_connection_that_changes_stands_in_one_place(then: Idleness | None) -> None:
    queues = EvictionQueues[Connection]()
    first, other = Connection("a", Idleness.ANSWERED, 1.0), Connection("b", Idleness.ANSWERED, 2.0)
    queues.update(first)
    queues.update(other)
    first.idleness, first.idle_since = then, 3.0
    queues.update(first)
    assert names(queues).count("a") == (then is not None) and len(queues) == 1 + (then is not None)
    queues.remove(first)
    queues.remove(first)
    assert names(queues) == ["b"]


def test_one_that_was_answered_again_goes_to_the_end() -> None:
    queues = EvictionQueues[Connection]()
    first, other = Connection("a", Idleness.ANSWERED, 1.0), Connection("b", Idleness.ANSWERED, 2.0)
    queues.update(first)
    queues.update(other)
    first.idle_since = 3.0
    queues.update(first)
    assert names(queues) == ["b", "a"]
