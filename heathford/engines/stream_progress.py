"""Decides when an engine's stream counts as failed for want of progress; no I/O."""

from heathford.wire.event_stream import EventStream

MAX_EVENT_TIME = 30.0  # s from one event to the end of the next, however steadily its bytes come
INCOMPLETE_EVENT_CHECK_INTERVAL = 1.0  # s between two checks whether it may become a sound one


class StreamProgress:
    """What has come of one stream, from its first event on.

    Progress is what the parser takes for the data of an event: an engine that still writes one is not
    silent, however long it takes. Framing, comments and blank lines are no progress, so that an engine that
    writes nothing else has failed after `max_silence` s, like one that writes nothing. One that never ends
    its event has failed as well.

    now: s on the loop's clock.
    """

    def __init__(self, max_silence: float, events: EventStream, now: float) -> None:
        self.max_silence, self.events = max_silence, events
        self.last_byte_at = self.last_progress_at = self.last_event_at = now
        self.seen_events, self.seen_data_bytes = events.event_count, events.incomplete_data_bytes
        self.bytes_since_event = 0  # received, those of the framing among them

    def received(self, now: float, size: int) -> None:
        """Record that so many bytes came, which the parser has been fed."""
        self.last_byte_at = now
        self.bytes_since_event += size
        data_bytes = self.events.incomplete_data_bytes
        if self.events.event_count > self.seen_events:
            self.seen_events, self.seen_data_bytes = self.events.event_count, data_bytes
            self.last_event_at = self.last_progress_at = now
            self.bytes_since_event = 0
        elif data_bytes > self.seen_data_bytes:
            self.seen_data_bytes = data_bytes
            self.last_progress_at = now

    def time_left(self, now: float) -> float:
        """Return the s until the stream has failed if nothing more comes; 0 or less if it has."""
        return min(self.last_progress_at + self.max_silence, self.last_event_at + MAX_EVENT_TIME) - now

    def next_check_in(self, now: float) -> float:
        """Return the s until the next check is due. Raises MalformedMessageError.

        Where an event is incomplete, what came of it is parsed, so this is to be called at the checks only.
        """
        time_left = self.time_left(now)
        if not self.events.has_incomplete_event:
            return time_left
        self.events.check_incomplete_data()
        return min(time_left, INCOMPLETE_EVENT_CHECK_INTERVAL)
