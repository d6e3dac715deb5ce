"""Reads configuration files, and tells settings from a text."""

import re
from collections import Counter
from enum import Enum
from pathlib import Path

from damaskrill.configuration._settings import (
    SETTINGS_SCHEMA,
    Settings,
    parse_settings,
)
from damaskrill.configuration._text_schema import (
    MAX_TEXT_BYTES,
    TEAMS_KIND,
    TEXT_SCHEMA,
)
from damaskrill.exceptions import DamaskrillError

__all__ = [
    "FileKind",
    "UnreadableFileError",
    "guess_file_kind",
    "read_bounded_file",
    "read_settings",
]

HEADER_PATTERN = re.compile(rb"^[ \t]*\[[ \t]*([a-z_]+)", re.MULTILINE)


class FileKind(Enum):
    """What a file holds."""

    SETTINGS = "settings"
    TEXT = "operators' text"


class UnreadableFileError(DamaskrillError):
    """A file that was named cannot be read."""

    code = "unreadable_file"
    template = "the file {path} cannot be read: {reason}"


def read_bounded_file(path: str | Path) -> bytes:
    """Return a file's content, at most one byte more than a text may have.

    Parameters
    ----------
    path : str or Path
        The file.

    Returns
    -------
    bytes
        The content.

    Raises
    ------
    UnreadableFileError
        If it cannot be read.
    """
    try:
        with open(path, "rb") as file:
            return file.read(MAX_TEXT_BYTES + 1)
    except (OSError, ValueError) as error:
        reason = getattr(error, "strerror", None) or str(error)
        raise UnreadableFileError(path=path, reason=reason) from error


def guess_file_kind(content: bytes) -> FileKind:
    """Return what a file holds, by the kinds of its sections.

    Parameters
    ----------
    content : bytes
        The file.

    Returns
    -------
    FileKind
        Settings if most sections that are known belong there, else a text.
    """
    kinds = Counter(found.decode() for found in HEADER_PATTERN.findall(content))
    text_kinds = {*TEXT_SCHEMA.sections_by_kind, TEAMS_KIND}
    settings_kinds = set(SETTINGS_SCHEMA.sections_by_kind) - text_kinds
    n_settings = sum(kinds[kind] for kind in settings_kinds)
    n_text = sum(kinds[kind] for kind in text_kinds - {"backend_servers"})
    return FileKind.SETTINGS if n_settings > n_text else FileKind.TEXT


def read_settings(path: str | Path) -> Settings:
    """Read a settings file.

    Parameters
    ----------
    path : str or Path
        The file.

    Returns
    -------
    Settings
        The settings, with defaults where the file says nothing.

    Raises
    ------
    UnreadableFileError
        If the file cannot be read.
    InvalidConfigurationError
        If it has faults; carries all of them.
    """
    return parse_settings(read_bounded_file(path))
