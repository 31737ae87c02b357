"""The order in which idle client connections are evicted."""

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


def test_eviction_order() -> None:
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


@pytest.mark.parametrize("new_idleness", [*Idleness, None])
def test_changed_connection_is_in_one_queue_only(new_idleness: Idleness | None) -> None:
    queues = EvictionQueues[Connection]()
    first, other = Connection("a", Idleness.ANSWERED, 1.0), Connection("b", Idleness.ANSWERED, 2.0)
    queues.update(first)
    queues.update(other)
    first.idleness, first.idle_since = new_idleness, 3.0
    queues.update(first)
    assert names(queues).count("a") == (new_idleness is not None) and len(queues) == 1 + (
        new_idleness is not None
    )
    queues.remove(first)
    queues.remove(first)
    assert names(queues) == ["b"]


def test_connection_answered_again_moves_to_the_end() -> None:
    queues = EvictionQueues[Connection]()
    first, other = Connection("a", Idleness.ANSWERED, 1.0), Connection("b", Idleness.ANSWERED, 2.0)
    queues.update(first)
    queues.update(other)
    first.idle_since = 3.0
    queues.update(first)
    assert names(queues) == ["b", "a"]
