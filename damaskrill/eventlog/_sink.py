"""Writes lines to a file descriptor without ever waiting for its reader."""

import os
import time

import orjson

__all__ = ["LineSink"]

# Lines a second; what is beyond is counted and told later.
MAX_LINES_PER_S = 400
# Part of the rate that only lines about failures may use.
RESERVED_FRACTION = 0.5
MAX_PENDING_BYTES = 65_536


class LineSink:
    """Bounded, non-blocking writer of lines.

    Parameters
    ----------
    descriptor : int
        Where lines go; it is made non-blocking.
    max_lines_per_s : int
        Most lines in a second.

    Notes
    -----
    Lines that the reader does not take in time, and lines beyond the rate, are
    dropped and counted. A line that says how many is written once there is room.
    """

    def __init__(
        self, *, descriptor: int, max_lines_per_s: int = MAX_LINES_PER_S
    ) -> None:
        self._descriptor = descriptor
        self._max_lines_per_s = max_lines_per_s
        self._pending = b""
        self._second = 0
        self._n_lines = 0
        self._n_dropped = 0
        os.set_blocking(descriptor, False)

    @property
    def n_dropped(self) -> int:
        """Lines dropped since the last line that told of them."""
        return self._n_dropped

    def write(self, line: dict[str, object], *, is_important: bool) -> None:
        """Write a line, or count it as dropped."""
        if not self._has_room(is_important) or not self._flush():
            self._n_dropped += 1
            return
        if self._n_dropped:
            told = {
                "event": "lines_dropped",
                "at_ms": line.get("at_ms"),
                "n_lines": self._n_dropped,
            }
            self._n_dropped = 0
            self._pending += orjson.dumps(told) + b"\n"
        self._pending += orjson.dumps(line, default=str) + b"\n"
        self._flush()

    def _has_room(self, is_important: bool) -> bool:
        second = int(time.monotonic())
        if second != self._second:
            self._second = second
            self._n_lines = 0
        part = 1.0 if is_important else 1.0 - RESERVED_FRACTION
        if self._n_lines >= self._max_lines_per_s * part:
            return False
        self._n_lines += 1
        return True

    def _flush(self) -> bool:
        while self._pending:
            try:
                n_written = os.write(self._descriptor, self._pending)
            except OSError:
                # The reader does not read; the line stays for the next try.
                return len(self._pending) < MAX_PENDING_BYTES
            self._pending = self._pending[n_written:]
        return True
