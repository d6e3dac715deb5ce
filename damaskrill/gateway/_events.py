"""Splitting of server-sent event streams into events."""

__all__ = ["EventSplitter", "parse_last_event_id"]


class EventSplitter:
    """Splitter of a byte stream into complete events.

    Notes
    -----
    A server may stop in the middle of an event; an incomplete event is never
    forwarded as if it were complete.
    """

    def __init__(self) -> None:
        self._remainder = b""

    @property
    def remainder(self) -> bytes:
        """Bytes after the last complete event."""
        return self._remainder

    def feed(self, data: bytes) -> bytes:
        """Add bytes and return the events that are complete now."""
        joined = self._remainder + data
        end = max(_find_end(joined, b"\n\n"), _find_end(joined, b"\r\n\r\n"))
        self._remainder = joined[end:]
        return joined[:end]


def _find_end(data: bytes, separator: bytes) -> int:
    position = data.rfind(separator)
    return position + len(separator) if position >= 0 else 0


def parse_last_event_id(events: bytes) -> int | None:
    """Return the last identifier in complete events; None if there is none."""
    position = events.rfind(b"\nid:")
    if position < 0:
        if not events.startswith(b"id:"):
            return None
        position = -1
    line_end = events.find(b"\n", position + 4)
    value = events[position + 4 : line_end].strip()
    return int(value) if value.isdigit() else None
