"""Splits an event stream at the ends of its events."""

__all__ = ["EventSplitter", "parse_last_event_id"]


class EventSplitter:
    """Cuts the bytes of a stream into whole events.

    Notes
    -----
    A server may stop in the middle of an event; such a part is never passed on as
    if it were whole.
    """

    def __init__(self) -> None:
        self._remainder = b""

    @property
    def remainder(self) -> bytes:
        """Bytes after the last whole event."""
        return self._remainder

    def feed(self, data: bytes) -> bytes:
        """Take bytes and return all whole events that are there now."""
        joined = self._remainder + data
        end = max(_find_end(joined, b"\n\n"), _find_end(joined, b"\r\n\r\n"))
        self._remainder = joined[end:]
        return joined[:end]


def _find_end(data: bytes, separator: bytes) -> int:
    position = data.rfind(separator)
    return position + len(separator) if position >= 0 else 0


def parse_last_event_id(events: bytes) -> int | None:
    """Return the identifier of the last of some whole events; None if none has one."""
    position = events.rfind(b"\nid:")
    if position < 0:
        if not events.startswith(b"id:"):
            return None
        position = -1
    line_end = events.find(b"\n", position + 4)
    value = events[position + 4 : line_end].strip()
    return int(value) if value.isdigit() else None
