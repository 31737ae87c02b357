"""Records of what was observed on the sockets during a run, all on the machine's one monotonic clock."""

from dataclasses import dataclass
from enum import Enum


NEVER_ANSWERED = "never answered"  # text of a LOST record


class RecordKind(Enum):
    """Kinds of records; the member names are written to records.jsonl.

    What a front node sends to an engine is recorded before a fault of the link delays or drops it.
    """

    ASKED = "a client has written a complete request"
    LEFT = "a client closed the connection before its final answer"
    ANSWERED = "a client received a final answer"
    LOST = "a client's connection ended without an answer"
    CUT = "a client's stream was cut off"
    FIRST_BYTE = "a front node started to send an attempt"
    LAST_BYTE = "a front node has sent the complete attempt"
    DELIVERED = "an engine has read the complete attempt"
    ENGINE_SAID = "an engine has answered the attempt"
    FETCHED = "an engine has fetched the prefill state for a decode attempt"
    SPOILT = "an engine has written the last sound event of a stream that it spoils; text: how"
    WRITES_SLOWLY = "an engine has begun to write a sound stream slowly"
    PASSED_ON = "the attempt's answer has passed the link to the front node"
    GIVEN_UP = "a front node has closed the attempt's connection"
    RELEASED = "an engine has read a release"
    LATE_EVENT = "a client received an event; value: s since the engine wrote it"
    EVENT_ON_THE_WAY = "the link passed an event on; value: s since the engine wrote it"
    DRAINED = "a front node's discovery has announced that an engine drains"
    COLD = "an engine has started"
    TROUBLE = "a fault started; value: s for which it lasts, text: its kind"
    ENDING = "a front node was sent SIGTERM"
    EXIT = "a front node's process ended; value: its exit status, text: why it is unexpected, if it is"
    LOG = "a front node logged an error, or the soak noticed one"
    WAITED = "a client without a complete request got an answer or a close; value: s that it waited"
    LAG = "the soak's own event loop was late; value: s"
    MEASURE = "resources of a front node; value: open descriptors, text: resident memory in kB"


@dataclass(frozen=True)
class Record:
    """One observation; its fields are written to records.jsonl in this order.

    time: s. value: a status, seconds, a budget in ms or a count, depending on the kind. text: details,
    depending on the kind.
    """

    time: float
    kind: RecordKind
    front: str = ""
    request: str = ""
    engine: str = ""
    value: float = 0.0
    text: str = ""
