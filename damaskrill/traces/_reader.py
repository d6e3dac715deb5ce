"""Reader that validates a trace line by line."""

from collections.abc import Iterable, Iterator
from pathlib import Path
from typing import Any

import orjson

from damaskrill.codec import message_from_map
from damaskrill.exceptions import UndecodableMessageError
from damaskrill.traces._errors import (
    TraceExpectationError,
    TraceHeaderError,
    TraceMessageError,
    TraceNotJsonError,
    TraceOrderError,
    TraceRouterError,
    TraceVersionError,
    UnreadableTraceError,
)
from damaskrill.traces._expectations import (
    EXPECT_KEY,
    EXPECTATION_TYPES,
    Expectation,
    ExpectedTextVersion,
    expectation_from_map,
)
from damaskrill.traces._format import (
    FORMAT_NAME,
    FORMAT_VERSION,
    TraceHeader,
    TraceInput,
    header_from_map,
    load_line,
)

__all__ = ["TraceReader", "open_trace"]

INPUT_KEYS = frozenset(("at_ms", "router", "message"))


class TraceReader:
    """Iterator over the inputs and expected outcomes of a trace.

    Parameters
    ----------
    lines : iterable of bytes
        Lines of the trace, starting with the header.
    path : str
        Path of the file, for errors.

    Raises
    ------
    TraceError
        If a line is not valid; the iteration ends there.

    Notes
    -----
    Only the header is stored, so that memory use does not depend on the trace length.
    """

    def __init__(self, *, lines: Iterable[bytes], path: str) -> None:
        self._path = path
        self._lines = enumerate(lines, start=1)
        self._previous_ms = 0
        self._header = self._read_header()
        self._router_names = frozenset(each.name for each in self._header.routers)

    @property
    def header(self) -> TraceHeader:
        """Header of the trace."""
        return self._header

    def __iter__(self) -> Iterator[tuple[int, TraceInput | Expectation]]:
        for number, line in self._lines:
            if not line.strip():
                continue
            content = self._load(number, line)
            self._check_time(number, content)
            if EXPECT_KEY in content:
                yield number, self._read_expectation(number, content)
            else:
                yield number, self._read_input(number, content)

    def _load(self, number: int, line: bytes) -> dict[str, Any]:
        try:
            content = load_line(line)
        except (orjson.JSONDecodeError, ValueError) as error:
            raise TraceNotJsonError(
                path=self._path, line=number, reason=str(error)
            ) from error
        if not isinstance(content, dict):
            raise TraceNotJsonError(
                path=self._path, line=number, reason="it is not an object"
            )
        return content

    def _read_header(self) -> TraceHeader:
        number, line = next(self._lines, (1, b""))
        if not line.strip():
            raise TraceHeaderError(path=self._path, line=number, reason="it is empty")
        content = self._load(number, line)
        if content.get("format") != FORMAT_NAME:
            reason = f"format is not {FORMAT_NAME!r}"
            raise TraceHeaderError(path=self._path, line=number, reason=reason)
        if content.get("version") != FORMAT_VERSION:
            raise TraceVersionError(
                path=self._path,
                line=number,
                version=content.get("version"),
                known=FORMAT_VERSION,
            )
        try:
            header = header_from_map(content)
        except Exception as error:
            raise TraceHeaderError(
                path=self._path, line=number, reason=repr(error)
            ) from error
        names = [each.name for each in header.routers]
        if not names or len(set(names)) != len(names):
            reason = "it must list at least one router, each name once"
            raise TraceHeaderError(path=self._path, line=number, reason=reason)
        return header

    def _check_time(self, number: int, content: dict[str, Any]) -> None:
        at_ms = content.get("at_ms")
        if type(at_ms) is not int or at_ms < self._previous_ms:
            raise TraceOrderError(
                path=self._path,
                line=number,
                at_ms=at_ms,
                previous_ms=self._previous_ms,
            )
        self._previous_ms = at_ms

    def _read_input(self, number: int, content: dict[str, Any]) -> TraceInput:
        if content.keys() != INPUT_KEYS:
            reason = f"an input has the fields {', '.join(sorted(INPUT_KEYS))}"
            raise TraceMessageError(path=self._path, line=number, reason=reason)
        self._check_router(number, content["router"])
        try:
            message = message_from_map(content["message"])
        except UndecodableMessageError as error:
            raise TraceMessageError(
                path=self._path, line=number, reason=error.details["reason"]
            ) from error
        return TraceInput(
            line=number,
            at_ms=content["at_ms"],
            router=content["router"],
            message=message,
        )

    def _read_expectation(self, number: int, content: dict[str, Any]) -> Expectation:
        kind = content[EXPECT_KEY]
        if kind not in EXPECTATION_TYPES:
            known = ", ".join(sorted(EXPECTATION_TYPES))
            reason = f"expect is {kind!r}; known are {known}"
            raise TraceExpectationError(path=self._path, line=number, reason=reason)
        try:
            expectation = expectation_from_map(content)
        except Exception as error:
            raise TraceExpectationError(
                path=self._path, line=number, reason=repr(error)
            ) from error
        if isinstance(expectation, ExpectedTextVersion):
            self._check_router(number, expectation.router)
        return expectation

    def _check_router(self, number: int, router: Any) -> None:
        if router not in self._router_names:
            raise TraceRouterError(path=self._path, line=number, router=router)


def open_trace(path: str) -> TraceReader:
    """Open a trace file.

    Parameters
    ----------
    path : str
        Path of the file.

    Returns
    -------
    TraceReader
        Reader positioned after the header.

    Raises
    ------
    TraceError
        If the file cannot be opened or its header is not valid.
    """
    return TraceReader(lines=_read_lines(path), path=path)


def _read_lines(path: str) -> Iterator[bytes]:
    try:
        with Path(path).open("rb") as stream:
            yield from stream
    except OSError as error:
        raise UnreadableTraceError(
            path=path, reason=error.strerror or repr(error)
        ) from error
