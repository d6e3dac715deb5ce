"""The command ``damaskrill report``."""

from damaskrill.report import report_burn

__all__ = ["run"]


def run(
    *, log: tuple[str, ...], text: str = "", form: str = "text", output: str = ""
) -> int:
    """Report service-level burn by service and team, with the root causes.

    Parameters
    ----------
    log : tuple of str
        Log files of one or several routers.
    text : str
        Operators' text with the objectives; the defaults if left out.
    form : str
        ``text``, ``json`` or ``html``.
    output : str
        File to write to; standard output if left out.

    Returns
    -------
    int
        0 if it was written, 2 if a file or a parameter is not valid.
    """
    return report_burn(log, text_path=text, form=form, output_path=output)
