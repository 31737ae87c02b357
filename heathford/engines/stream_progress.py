"""Decides when an engine's stream counts as failed for want of progress; no I/O."""

MAX_EVENT_TIME = 30.0  # s from one event to the end of the next, however steadily its bytes come


class StreamProgress:
    """What has come of one stream.

    An engine that still writes is not silent, however long it takes for an event. One that writes without
    ever ending an event has failed as well.

    max_silence: s without a byte after which the stream has failed. now: s on the loop's clock.
    """

    def __init__(self, max_silence: float, now: float) -> None:
        self.max_silence = max_silence
        self.last_byte_at = self.last_event_at = now
        self.bytes_since_event = 0  # received, those of the framing among them

    def received(self, now: float, size: int, ended_event: bool) -> None:
        """Record that so many bytes came; ended_event: an event is complete now."""
        self.last_byte_at = now
        self.bytes_since_event += size
        if ended_event:
            self.last_event_at = now
            self.bytes_since_event = 0

    def time_left(self, now: float) -> float:
        """Return the s until the stream has failed if nothing more comes; 0 or less if it has."""
        return min(self.last_byte_at + self.max_silence, self.last_event_at + MAX_EVENT_TIME) - now
