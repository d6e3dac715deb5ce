"""Reading of configuration files and detection of their kind."""

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
    """Kind of a configuration file."""

    SETTINGS = "settings"
    TEXT = "operators' text"


class UnreadableFileError(DamaskrillError):
    """A file cannot be read."""

    code = "unreadable_file"
    template = "the file {path} cannot be read: {reason}"


def read_bounded_file(path: str | Path) -> bytes:
    """Read a file, up to one byte more than the size limit of a text.

    Parameters
    ----------
    path : str or Path
        Path of the file.

    Returns
    -------
    bytes
        The content; longer than the limit if the file is too large.

    Raises
    ------
    UnreadableFileError
        If the file cannot be read.
    """
    try:
        with open(path, "rb") as file:
            return file.read(MAX_TEXT_BYTES + 1)
    except (OSError, ValueError) as error:
        reason = getattr(error, "strerror", None) or str(error)
        raise UnreadableFileError(path=path, reason=reason) from error


def guess_file_kind(content: bytes) -> FileKind:
    """Guess the kind of a file from its section headers.

    Parameters
    ----------
    content : bytes
        Content of the file.

    Returns
    -------
    FileKind
        Settings if most of the known sections belong to settings, else a text.
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
        Path of the file.

    Returns
    -------
    Settings
        The settings, with defaults for keys that the file does not set.

    Raises
    ------
    UnreadableFileError
        If the file cannot be read.
    InvalidConfigurationError
        If the file has faults; holds all of them.
    """
    return parse_settings(read_bounded_file(path))
