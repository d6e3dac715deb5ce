"""The command ``damaskrill check``."""

import sys

from damaskrill.configuration import (
    FileKind,
    InvalidConfigurationError,
    guess_file_kind,
    parse_settings,
    parse_text,
    read_bounded_file,
)

__all__ = ["run"]

EXIT_VALID = 0
EXIT_INVALID = 2
CHECKED_VERSION = 1


def run(file: str) -> int:
    """Validate settings or an operators' text.

    Prints ``FILE:LINE: CODE: sentence`` for every fault on standard error.

    Parameters
    ----------
    file : str
        File to validate. Its sections determine which of the two kinds it is.

    Returns
    -------
    int
        Exit status: 0 if the file is valid, 2 if not.
    """
    content = read_bounded_file(file)
    kind = guess_file_kind(content)
    try:
        if kind is FileKind.SETTINGS:
            parse_settings(content)
        else:
            parse_text(content, version=CHECKED_VERSION)
    except InvalidConfigurationError as error:
        for fault in error.faults:
            print(fault.describe(file), file=sys.stderr)
        return EXIT_INVALID
    print(f"{file}: valid {kind.value}")
    return EXIT_VALID
