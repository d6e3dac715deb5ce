"""Destinations of recorded traces: streams and rotated files."""

from pathlib import Path
from typing import BinaryIO

from attrs import define, field, validators

__all__ = ["RotatingFileSink", "StreamSink"]

DEFAULT_MAX_BYTES = 16_000_000
DEFAULT_N_FILES = 4


@define(kw_only=True)
class StreamSink:
    """Sink that writes to an open binary stream, such as standard output.

    Parameters
    ----------
    stream : binary stream
        Stream to write to; not closed by the sink.
    """

    stream: BinaryIO

    def rotate_if_full(self, n_bytes: int) -> bool:
        """Return False; a stream is never rotated."""
        return False

    def write(self, line: bytes) -> None:
        """Write a line."""
        self.stream.write(line)

    def close(self) -> None:
        """Flush buffered lines."""
        self.stream.flush()


@define(kw_only=True)
class RotatingFileSink:
    """Sink that writes to a file and rotates it at a size limit.

    Parameters
    ----------
    path : str
        Path of the current file; older files have ``.1``, ``.2`` and so on appended.
    max_bytes : int
        Size of the inputs at which a new file is started, in bytes. Data written
        between a call of ``rotate_if_full`` that returned True and the next call is not
        counted.
    n_files : int
        Number of retained files, including the current one.
    """

    path: str
    max_bytes: int = field(default=DEFAULT_MAX_BYTES, validator=validators.ge(1))
    n_files: int = field(default=DEFAULT_N_FILES, validator=validators.ge(1))
    _stream: BinaryIO | None = field(default=None, init=False)
    _n_input_bytes: int = field(default=0, init=False)

    def rotate_if_full(self, n_bytes: int) -> bool:
        """Start a new file if a line does not fit; return whether one was started."""
        is_full = self._n_input_bytes + n_bytes > self.max_bytes
        if self._stream is None or not is_full or self._n_input_bytes == 0:
            self._n_input_bytes += n_bytes
            return False
        self._rotate()
        self._n_input_bytes = n_bytes
        return True

    def write(self, line: bytes) -> None:
        """Write a line."""
        if self._stream is None:
            self._stream = Path(self.path).open("wb")
        self._stream.write(line)

    def close(self) -> None:
        """Flush buffered lines and close the file."""
        if self._stream is not None:
            self._stream.close()

    def _rotate(self) -> None:
        assert self._stream is not None
        self._stream.close()
        for n in range(self.n_files - 1, 0, -1):
            source = self._numbered_path(n - 1)
            if source.exists():
                source.replace(self._numbered_path(n))
        self._stream = Path(self.path).open("wb")

    def _numbered_path(self, n: int) -> Path:
        return Path(f"{self.path}.{n}" if n else self.path)
