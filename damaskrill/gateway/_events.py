"""Splitting of server-sent event streams into events."""

from damaskrill.http1 import InvalidAnswerError

__all__ = [
    "MAX_EVENT_BYTES",
    "EventSplitter",
    "parse_first_event_id",
    "parse_last_event_id",
]

# Size of an event. Events carry a few tokens; this leaves room for a whole text.
MAX_EVENT_BYTES = 196_608
# Digits of an event's number; the largest 64-bit number has as many.
MAX_ID_DIGITS = 20
SEPARATORS = (b"\n\n", b"\r\n\r\n")
# Bytes of a separator that may have arrived before its last byte.
MAX_SPLIT_BYTES = max(len(each) for each in SEPARATORS) - 1


class EventSplitter:
    """Splitter of a byte stream into complete events.

    Notes
    -----
    A server may stop in the middle of an event; an incomplete event is never
    forwarded as if it were complete.
    """

    def __init__(self) -> None:
        self._pending = bytearray()

    @property
    def remainder(self) -> bytes:
        """Bytes after the last complete event."""
        return bytes(self._pending)

    def feed(self, data: bytes) -> bytes:
        """Add bytes and return the events that are complete now.

        Raises
        ------
        InvalidAnswerError
            If an event is too large.
        """
        pending = self._pending
        start = max(0, len(pending) - MAX_SPLIT_BYTES)
        pending += data
        end = max(_find_end(pending, separator, start) for separator in SEPARATORS)
        if not end and len(pending) > MAX_EVENT_BYTES:
            raise InvalidAnswerError(reason=f"event exceeds {MAX_EVENT_BYTES} bytes")
        events = bytes(pending[:end])
        del pending[:end]
        return events


def _find_end(data: bytearray, separator: bytes, start: int) -> int:
    position = data.rfind(separator, start)
    return position + len(separator) if position >= 0 else 0


def parse_first_event_id(events: bytes) -> int | None:
    """Return the first identifier in complete events; None if there is none."""
    if events.startswith(b"id:"):
        return _parse_id(events, 3)
    position = events.find(b"\nid:")
    return None if position < 0 else _parse_id(events, position + 4)


def parse_last_event_id(events: bytes) -> int | None:
    """Return the last identifier in complete events; None if there is none."""
    position = events.rfind(b"\nid:")
    if position < 0:
        if not events.startswith(b"id:"):
            return None
        position = -1
    return _parse_id(events, position + 4)


def _parse_id(events: bytes, start: int) -> int | None:
    value = events[start : events.find(b"\n", start)].strip()
    is_number = value.isdigit() and len(value) <= MAX_ID_DIGITS
    return int(value) if is_number else None
