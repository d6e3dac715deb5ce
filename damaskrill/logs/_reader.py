"""Streaming reader that merges several log files by time."""

import heapq
from collections.abc import Iterator, Sequence
from pathlib import Path

import orjson
from attrs import define, field

from damaskrill.exceptions import UnreadableLogError
from damaskrill.logs._line import LogLine, line_from_map

__all__ = ["DamagedLines", "LogReader"]

MAX_NAMED_LINES = 20
MAX_LINE_BYTES = 1_000_000


@define(kw_only=True)
class DamagedLines:
    """Number of the lines that could not be parsed, and positions of the first.

    Attributes
    ----------
    n_lines : int
        Number of damaged lines.
    names : list of str
        Positions of the first ``MAX_NAMED_LINES`` of them, as ``FILE:LINE``.
    """

    n_lines: int = 0
    names: list[str] = field(factory=list)

    def add(self, path: str, number: int) -> None:
        """Count a damaged line."""
        self.n_lines += 1
        if len(self.names) < MAX_NAMED_LINES:
            self.names.append(f"{path}:{number}")

    @property
    def sentence(self) -> str:
        """Sentence that lists the damaged lines; empty if there are none."""
        if not self.n_lines:
            return ""
        names = ", ".join(self.names)
        more = self.n_lines - len(self.names)
        tail = f" and {more} more" if more else ""
        noun = "line" if self.n_lines == 1 else "lines"
        return f"{self.n_lines} damaged {noun} skipped: {names}{tail}"


class LogReader:
    """Iterator over the log lines of one or several files.

    Parameters
    ----------
    paths : sequence of str
        Log files of one or several routers.
    substring : bytes, default=b""
        Lines that do not contain these bytes are skipped without parsing.

    Notes
    -----
    Only one line per file is in memory at a time. The files are merged by the times of
    their lines. Lines that are out of order within one file are not reordered.
    """

    def __init__(self, *, paths: Sequence[str], substring: bytes = b"") -> None:
        self._paths = tuple(paths)
        self._substring = substring
        self._damaged = DamagedLines()
        self._n_lines = 0

    @property
    def damaged(self) -> DamagedLines:
        """Lines that could not be parsed so far."""
        return self._damaged

    @property
    def n_lines(self) -> int:
        """Number of lines read so far, including damaged ones."""
        return self._n_lines

    def __iter__(self) -> Iterator[LogLine]:
        files = [self._read_file(path) for path in self._paths]
        if len(files) == 1:
            return files[0]
        return heapq.merge(*files, key=lambda line: line.at_ms)

    def _read_file(self, path: str) -> Iterator[LogLine]:
        try:
            with Path(path).open("rb") as stream:
                number = 0
                while raw := stream.readline(MAX_LINE_BYTES):
                    number += 1
                    line = self._read_line(path, number, raw)
                    if line is not None:
                        yield line
        except OSError as error:
            reason = error.strerror or repr(error)
            raise UnreadableLogError(path=path, reason=reason) from error

    def _read_line(self, path: str, number: int, raw: bytes) -> LogLine | None:
        if not raw.strip():
            return None
        self._n_lines += 1
        if self._substring not in raw:
            return None
        try:
            line = line_from_map(orjson.loads(raw))
        except orjson.JSONDecodeError:
            line = None
        if line is None:
            self._damaged.add(path, number)
        return line
