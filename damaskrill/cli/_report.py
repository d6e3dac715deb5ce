"""The command ``damaskrill report``."""

from damaskrill.report import report_burn

__all__ = ["run"]


def run(
    *, log: tuple[str, ...], text: str = "", form: str = "text", output: str = ""
) -> int:
    """Report error budget burn by service and team, with the root causes.

    Parameters
    ----------
    log : tuple of str
        Log files of one or several routers.
    text : str, default=""
        Operators' text with the objectives; empty for the default objectives.
    form : {"text", "json", "html"}, default="text"
        Output format.
    output : str, default=""
        File to write to; empty for standard output.

    Returns
    -------
    int
        Exit status: 0 if the report was written, 2 if a file cannot be read or
        written, or if the text or a parameter is invalid.
    """
    return report_burn(log, text_path=text, form=form, output_path=output)
