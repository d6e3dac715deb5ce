"""The command ``damaskrill replay``."""

import sys
from collections.abc import Sequence
from typing import TextIO

from damaskrill.traces._errors import TraceError
from damaskrill.traces._reader import open_trace
from damaskrill.traces._replay import Difference, ReplayResult, replay_trace

__all__ = ["replay_files"]

EXIT_OK = 0
EXIT_DIFFERENCES = 1
EXIT_UNREADABLE = 2
COLUMN_GAP = "  "


def replay_files(
    paths: Sequence[str],
    *,
    output: TextIO | None = None,
    errors: TextIO | None = None,
) -> int:
    """Replay traces and print a result row for each.

    Parameters
    ----------
    paths : sequence of str
        Trace files.
    output : text stream, optional
        Stream for the result rows; standard output by default.
    errors : text stream, optional
        Stream for errors and for the progress of long traces; standard error by
        default.

    Returns
    -------
    int
        0 if all expected outcomes were met, 1 if there is a difference, 2 if a trace
        cannot be read.
    """
    output = output if output is not None else sys.stdout
    errors = errors if errors is not None else sys.stderr
    status = EXIT_OK
    for path in paths:
        status = max(status, _replay_file(path, output=output, errors=errors))
    return status


def _replay_file(path: str, *, output: TextIO, errors: TextIO) -> int:
    def report_progress(n_inputs: int) -> None:
        print(f"{path}: {n_inputs:,} inputs", file=errors, flush=True)

    try:
        result = replay_trace(open_trace(path), report_progress=report_progress)
    except TraceError as error:
        print(f"{error.location}: {error}", file=errors)
        return EXIT_UNREADABLE
    print(_format_row(path, result), file=output)
    for line in _format_differences(result.differences):
        print(line, file=output)
    return EXIT_DIFFERENCES if result.differences else EXIT_OK


def _format_row(path: str, result: ReplayResult) -> str:
    n_differences = len(result.differences)
    summary = f"{n_differences} differ" if n_differences else "all hold"
    return (
        f"{path}: {result.n_inputs} inputs, "
        f"{result.n_expectations} stated outcomes, {summary}"
    )


def _format_differences(differences: Sequence[Difference]) -> list[str]:
    if not differences:
        return []
    rows = [("line", "at_ms", "what", "stated", "actual")]
    rows += [
        (str(each.line), str(each.at_ms), each.subject, each.expected, each.actual)
        for each in differences
    ]
    widths = [max(len(row[n]) for row in rows) for n in range(len(rows[0]))]
    return [
        "  " + COLUMN_GAP.join(map(str.ljust, row, widths)).rstrip() for row in rows
    ]
