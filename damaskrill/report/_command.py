"""The command ``damaskrill report``."""

import sys
from collections.abc import Callable, Sequence
from pathlib import Path
from typing import TextIO

from damaskrill.exceptions import DamaskrillError, InvalidParameterError
from damaskrill.report._builder import build_report
from damaskrill.report._html import render_html
from damaskrill.report._json import render_json
from damaskrill.report._model import BurnReport
from damaskrill.report._objectives import read_objectives
from damaskrill.report._text import render_text

__all__ = ["RENDERERS", "report_burn"]

EXIT_SUCCESS = 0
EXIT_INVALID_INPUT = 2
RENDERERS: dict[str, Callable[[BurnReport], str]] = {
    "text": render_text,
    "json": render_json,
    "html": render_html,
}


def report_burn(
    paths: Sequence[str],
    *,
    text_path: str = "",
    form: str = "text",
    output_path: str = "",
    output: TextIO | None = None,
    errors: TextIO | None = None,
) -> int:
    """Write a report on error budget burn.

    Parameters
    ----------
    paths : sequence of str
        Log files of one or several routers.
    text_path : str, default=""
        Operators' text with the objectives; empty for the default objectives.
    form : {"text", "json", "html"}, default="text"
        Output format.
    output_path : str, default=""
        File to write to; empty for standard output.
    output, errors : text stream, default=None
        Streams for the report and for errors; standard output and standard error if
        None.

    Returns
    -------
    int
        Exit status: 0 if the report was written, 2 if a file cannot be read or
        written, or if the text or a parameter is invalid.
    """
    output = output if output is not None else sys.stdout
    errors = errors if errors is not None else sys.stderr
    try:
        renderer = _find_renderer(form)
        objectives = read_objectives(text_path)
        content = renderer(build_report(paths, objectives=objectives))
    except DamaskrillError as error:
        print(error, file=errors)
        return EXIT_INVALID_INPUT
    if not output_path:
        output.write(content)
        return EXIT_SUCCESS
    try:
        Path(output_path).write_text(content, encoding="utf-8")
    except OSError as error:
        print(f"output_unwritable: {output_path}: {error.strerror}", file=errors)
        return EXIT_INVALID_INPUT
    return EXIT_SUCCESS


def _find_renderer(form: str) -> Callable[[BurnReport], str]:
    renderer = RENDERERS.get(form)
    if renderer is None:
        expected = f"one of {', '.join(RENDERERS)}"
        raise InvalidParameterError(name="format", value=form, expected=expected)
    return renderer
