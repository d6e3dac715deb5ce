"""Write the generated reference pages in docs/reference/.

Usage: python tools/write_reference.py
"""

import importlib
import pkgutil
import sys
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
# Document the package of this checkout, not an installed one.
sys.path.insert(0, str(ROOT))

import damaskrill  # noqa: E402
from damaskrill.configuration import (  # noqa: E402
    FAULT_TEMPLATES,
    render_settings_reference,
    render_text_reference,
)
from damaskrill.exceptions import ERROR_TYPES  # noqa: E402
from damaskrill.messages._outcomes import CAUSE_TEMPLATES  # noqa: E402

FOLDER = ROOT / "docs" / "reference"

INTRODUCTION = """\
# Errors, causes and faults

Codes are stable; the words of a sentence may change. Words in braces are replaced by
what an occurrence concerns. This page is written by `tools/write_reference.py`.
"""


def import_all_modules():
    """Import all modules of the package, so that every error type is registered."""
    for module in pkgutil.walk_packages(damaskrill.__path__, "damaskrill."):
        if not module.name.endswith("__main__"):
            importlib.import_module(module.name)


def render_table(title, introduction, rows):
    """Return a section with a table of codes and sentences."""
    lines = [f"## {title}", "", introduction, "", "| code | sentence |", "|---|---|"]
    lines += [f"| `{code}` | {sentence} |" for code, sentence in rows]
    return "\n".join([*lines, ""])


def render_errors_reference():
    """Return the reference page of all error codes."""
    import_all_modules()
    errors = sorted(
        (code, error.template)
        for code, error in ERROR_TYPES.items()
        if error.__module__.startswith("damaskrill")
    )
    causes = [(code.value, CAUSE_TEMPLATES[code]) for code in CAUSE_TEMPLATES]
    faults = [(code.value, FAULT_TEMPLATES[code]) for code in FAULT_TEMPLATES]
    parts = [
        INTRODUCTION,
        render_table(
            "Causes",
            "Links of the chain that explains the outcome of a request, in answers, "
            "logs and `damaskrill explain`.",
            sorted(causes),
        ),
        render_table(
            "Errors",
            "Failures of a process, in logs, on standard error and in answers to "
            "malformed requests.",
            errors,
        ),
        render_table(
            "Faults of text and settings",
            "What `damaskrill check` prints, and the log where a text is refused.",
            sorted(faults),
        ),
    ]
    return "\n".join(parts)


def render_pages():
    """Return all generated pages by file name."""
    return {
        "text.md": render_text_reference(),
        "settings.md": render_settings_reference(),
        "errors.md": render_errors_reference(),
    }


def main():
    FOLDER.mkdir(parents=True, exist_ok=True)
    for name, content in render_pages().items():
        (FOLDER / name).write_text(content, encoding="utf-8")


if __name__ == "__main__":
    main()
