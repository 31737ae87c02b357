"""What was seen on the sockets, on the machine's one monotonic clock."""

from dataclasses import dataclass
from enum import Enum


class RecordKind(Enum):
    """Kinds of record. What a front node sends to an engine is noted before any trouble of the link."""

    ASKED = "a client's request was written whole"
    LEFT = "a client closed, or asked for nothing more"
    ANSWERED = "a client got a final answer"
    LOST = "a client's connection ended with no answer"
    CUT = "a client's stream ended before its end"
    FIRST_BYTE = "a front node began to send an attempt"
    LAST_BYTE = "it has written the attempt whole"
    DELIVERED = "an engine has read the attempt whole"
    ENGINE_SAID = "an engine has answered the attempt"
    PASSED_ON = "the attempt's answer has passed the link to the front node"
    GIVEN_UP = "a front node has closed the attempt's connection"
    RELEASED = "an engine has read a release"
    LATE_EVENT = "a client got an event that many seconds after its engine wrote it"
    EVENT_ON_THE_WAY = "the link passed an event on that many seconds after its engine wrote it"
    DRAINED = "a front node's discovery has told that an engine leaves"
    COLD = "an engine has started"
    TROUBLE = "a trouble began, for so many seconds"
    ENDING = "a front node was sent SIGTERM"
    EXIT = "a front node ended with that status"
    LOG = "a front node logged that something is wrong"
    WAITED = "a client that asks nothing whole got an answer or a close after so many seconds"
    LAG = "the soak's own loop was behind by so many seconds"
    MEASURE = "descriptors and memory of a front node"


@dataclass(frozen=True)
class Record:
    """time in s. value: by kind, a status, seconds, a budget in ms or a count; text: by kind, more words."""

    time: float
    kind: RecordKind
    front: str = ""
    request: str = ""
    engine: str = ""
    value: float = 0.0
    text: str = ""
