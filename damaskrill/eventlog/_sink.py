"""Non-blocking writer of log lines to a file descriptor."""

import json
import os
import time

import orjson

__all__ = ["LineSink"]

# Lines beyond this rate are dropped and counted, and the count is logged later.
MAX_LINES_PER_S = 400
# Fraction of the rate that is reserved for lines about failures.
RESERVED_FRACTION = 0.5
MAX_PENDING_BYTES = 65_536


class LineSink:
    """Bounded, non-blocking writer of lines.

    Parameters
    ----------
    descriptor : int
        File descriptor to which lines are written. It is set to non-blocking mode.
    max_lines_per_s : int
        Maximum number of lines per second.

    Notes
    -----
    Lines are dropped and counted if the reader is too slow or the rate is exceeded. The
    number of dropped lines is logged as soon as lines can be written again. No line
    raises an error, whatever its fields hold: the decision that it tells of goes on.
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
        """Number of lines dropped since their count was last logged."""
        return self._n_dropped

    def write(self, line: dict[str, object], *, is_important: bool) -> None:
        """Write a line, or count it as dropped."""
        if not self._try_acquire(is_important) or not self._flush():
            self._n_dropped += 1
            return
        if self._n_dropped:
            notice = {
                "event": "lines_dropped",
                "at_ms": line.get("at_ms"),
                "n_lines": self._n_dropped,
            }
            self._n_dropped = 0
            self._pending += _encode(notice)
        self._pending += _encode(line)
        self._flush()

    def _try_acquire(self, is_important: bool) -> bool:
        second = int(time.monotonic())
        if second != self._second:
            self._second = second
            self._n_lines = 0
        fraction = 1.0 if is_important else 1.0 - RESERVED_FRACTION
        if self._n_lines >= self._max_lines_per_s * fraction:
            return False
        self._n_lines += 1
        return True

    def _flush(self) -> bool:
        while self._pending:
            try:
                n_written = os.write(self._descriptor, self._pending)
            except OSError:
                # The reader is not reading; pending bytes are kept for the next write.
                return len(self._pending) < MAX_PENDING_BYTES
            self._pending = self._pending[n_written:]
        return True


def _encode(line: dict[str, object]) -> bytes:
    try:
        return orjson.dumps(line, default=str) + b"\n"
    except TypeError:
        return _encode_slowly(line) + b"\n"


def _encode_slowly(line: dict[str, object]) -> bytes:
    """Encode a line with numbers or texts that have no place in usual JSON.

    Notes
    -----
    The standard library writes integers of any size, and escapes what is not Unicode.
    """
    try:
        return json.dumps(line, default=repr, skipkeys=True).encode()
    except (TypeError, ValueError, RecursionError) as error:
        reason = f"fields of {line.get('event')} were left out: {error}"
        at_ms = line.get("at_ms")
        content = {"event": "line_not_encoded", "at_ms": at_ms, "sentence": reason}
        return json.dumps(content, default=repr).encode()
