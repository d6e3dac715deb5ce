"""Checks of values that come from outside: type, range and length."""

from typing import Any

__all__ = [
    "MAX_DURATION_MS",
    "MAX_NUMBER",
    "MAX_TEXT",
    "check_text",
    "read_flag",
    "read_integer",
    "read_number",
    "read_text",
]

# Every integer up to this one is exact in JSON and in floating-point numbers.
MAX_NUMBER = 2**53
# Longer than the platform's longest key, which is 200 bytes.
MAX_TEXT = 256
# A day: no limit or pause of a request, a connection or a cold start lasts longer.
MAX_DURATION_MS = 86_400_000


def read_text(content: dict[str, Any], name: str, *, max_length: int = MAX_TEXT) -> str:
    """Return a text that may stand in a header and in a log line.

    Parameters
    ----------
    content : dict
        Decoded object.
    name : str
        Name of its field.
    max_length : int
        Longest allowed text, in characters.

    Raises
    ------
    KeyError
        If there is no such field.
    TypeError
        If it is not a text.
    ValueError
        If it is too long or holds control characters.
    """
    value = content[name]
    if not isinstance(value, str):
        raise TypeError(f"{name} is not a string")
    check_text(name, value, max_length=max_length)
    return value


def check_text(name: str, value: str, *, max_length: int = MAX_TEXT) -> None:
    """Raise an error if a text must not stand in a header or a log line.

    Raises
    ------
    ValueError
        If it is too long or holds control characters.
    """
    if len(value) > max_length:
        raise ValueError(f"{name} is longer than {max_length} characters")
    if not value.isprintable():
        raise ValueError(f"{name} contains control characters")


def read_number(
    content: dict[str, Any],
    name: str,
    *,
    default: float | None = None,
    least: float = 0,
    most: float = MAX_NUMBER,
) -> float:
    """Return a number within bounds.

    Parameters
    ----------
    content : dict
        Decoded object.
    name : str
        Name of its field.
    default : float, default=None
        Value if there is no such field or it is null; the field is required if None.
    least, most : float
        Smallest and largest allowed number.

    Raises
    ------
    KeyError
        If a required field is missing.
    TypeError
        If it is not a number.
    ValueError
        If it is out of range.
    """
    value = content.get(name)
    if value is None:
        if default is None:
            raise KeyError(name)
        return default
    if type(value) not in (int, float):
        raise TypeError(f"{name} is not a number")
    # Not a number in the sense of IEEE 754 compares as false.
    if not least <= value <= most:
        raise ValueError(f"{name} is not between {least} and {most}")
    number: float = value
    return number


def read_integer(
    content: dict[str, Any],
    name: str,
    *,
    default: int | None = None,
    most: int = MAX_NUMBER,
) -> int:
    """Return a number as `read_number`, without its fraction."""
    return int(read_number(content, name, default=default, most=most))


def read_flag(content: dict[str, Any], name: str) -> bool:
    """Return a flag, which is not set if there is no such field or it is null.

    Raises
    ------
    TypeError
        If it is neither true nor false.
    """
    value = content.get(name)
    if value is not None and not isinstance(value, bool):
        raise TypeError(f"{name} is neither true nor false")
    return bool(value)
