"""Tells the beginning of a JSON object from bytes that can become none; no I/O."""

import ijson
from ijson.common import JSONError


class EventSink:
    """Receives the parser's events, which are of no interest here."""

    def send(self, event: object) -> None: ...


def begins_json_object(data: bytes) -> bool:
    """Return whether the data, not empty, is a JSON object or the beginning of one."""
    start = data.lstrip()
    if not start:
        return True
    if not start.startswith(b"{"):
        return False
    try:
        ijson.basic_parse_coro(EventSink()).send(start)
    except JSONError:
        return False
    return True
