"""Types of values in INI files, and their conversion from text."""

import ipaddress
import re
from typing import Any
from urllib.parse import urlsplit

from attrs import frozen

from damaskrill.configuration._faults import FaultCode

__all__ = [
    "Address",
    "Choice",
    "Duration",
    "Flag",
    "Integer",
    "InvalidValue",
    "Name",
    "NameList",
    "PrintableText",
    "Secret",
    "Size",
    "Url",
    "ValueType",
    "convert_value",
    "describe_type",
    "is_valid_name",
    "shorten_value",
]

MAX_NAME_LENGTH = 128
MAX_SHOWN_CHARACTERS = 60
MAX_PORT = 65_535
FLAG_VALUES = {"yes": True, "no": False}
DURATION_UNITS_MS = {"ms": 1, "s": 1_000, "min": 60_000, "h": 3_600_000}
SIZE_UNITS_BYTES = {
    "bytes": 1,
    "kB": 1_000,
    "MB": 1_000_000,
    "KiB": 1_024,
    "MiB": 1_048_576,
}
NAME_PATTERN = re.compile(rf"[A-Za-z0-9][A-Za-z0-9._-]{{0,{MAX_NAME_LENGTH - 1}}}")
# Bounded, so that no conversion to an integer can take long.
NUMBER_PATTERN = re.compile(r"([0-9]{1,15})[ \t]*([^0-9 \t.,]*)")


@frozen(kw_only=True)
class Integer:
    """Whole number, with an optional unit that must be the declared one."""

    minimum: int
    maximum: int
    unit: str = ""


@frozen(kw_only=True)
class Duration:
    """Time in milliseconds unless a unit follows."""

    minimum: int
    maximum: int


@frozen(kw_only=True)
class Size:
    """Number of bytes unless a unit follows."""

    minimum: int
    maximum: int


@frozen(kw_only=True)
class Flag:
    """``yes`` or ``no``."""


@frozen(kw_only=True)
class Name:
    """One name."""


@frozen(kw_only=True)
class NameList:
    """Names with spaces between them."""


@frozen(kw_only=True)
class PrintableText:
    """Any text on one line."""


@frozen(kw_only=True)
class Secret:
    """Text that is never shown; at least ``minimum_length`` characters."""

    minimum_length: int


@frozen(kw_only=True)
class Address:
    """``IP:port``."""


@frozen(kw_only=True)
class Url:
    """Address of an HTTP service."""


@frozen(kw_only=True)
class Choice:
    """One of several words; ``options`` maps them to values."""

    options: dict[str, Any]


ValueType = (
    Integer
    | Duration
    | Size
    | Flag
    | Name
    | NameList
    | PrintableText
    | Secret
    | Address
    | Url
    | Choice
)


class InvalidValue(ValueError):
    """A value does not fit its type; turned into a ``Fault`` by the caller.

    Parameters
    ----------
    code : FaultCode
        What kind of fault.
    expected : str
        What would be right.
    """

    def __init__(self, code: FaultCode, expected: str) -> None:
        super().__init__(expected)
        self.code = code
        self.expected = expected


def is_valid_name(name: str) -> bool:
    """Whether a name has allowed characters only."""
    return NAME_PATTERN.fullmatch(name) is not None


def convert_value(value_type: ValueType, text: str) -> Any:
    """Convert a value.

    Parameters
    ----------
    value_type : ValueType
        The declared type.
    text : str
        What the file says, without surrounding space.

    Returns
    -------
    object
        The value in the unit of its key.

    Raises
    ------
    InvalidValue
        If the text does not fit.
    """
    match value_type:
        case Integer(unit=unit):
            return _convert_number(value_type, text, {unit: 1})
        case Duration():
            return _convert_number(value_type, text, DURATION_UNITS_MS)
        case Size():
            return _convert_number(value_type, text, SIZE_UNITS_BYTES)
        case Flag():
            return _convert_choice(FLAG_VALUES, text)
        case Choice(options=options):
            return _convert_choice(options, text)
        case Name():
            return _check(text, is_valid_name(text), value_type)
        case NameList():
            names = tuple(text.split())
            _check(text, all(map(is_valid_name, names)), value_type)
            return names
        case PrintableText():
            return _check(text, text.isprintable(), value_type)
        case Secret(minimum_length=minimum_length):
            return _check(text, len(text) >= minimum_length, value_type)
        case Address():
            return _check(text, _is_address(text), value_type)
        case Url():
            return _check(text, _is_url(text), value_type)


def _convert_number(
    value_type: Integer | Duration | Size, text: str, units: dict[str, int]
) -> int:
    found = NUMBER_PATTERN.fullmatch(text)
    if found is None:
        raise InvalidValue(FaultCode.WRONG_VALUE, describe_type(value_type))
    number, unit = int(found[1]), found[2]
    factor = units.get(unit) if unit else 1
    if factor is None:
        known = ", ".join(unit for unit in units if unit) or "left out"
        raise InvalidValue(FaultCode.WRONG_UNIT, known)
    value = number * factor
    if not value_type.minimum <= value <= value_type.maximum:
        raise InvalidValue(FaultCode.OUT_OF_RANGE, describe_type(value_type))
    return value


def _convert_choice(options: dict[str, Any], text: str) -> Any:
    if text not in options:
        raise InvalidValue(FaultCode.WRONG_VALUE, _format_choices(options))
    return options[text]


def _check(text: str, is_valid: bool, value_type: ValueType) -> str:
    if not is_valid:
        raise InvalidValue(FaultCode.WRONG_VALUE, describe_type(value_type))
    return text


def _is_address(text: str) -> bool:
    host, separator, port = text.rpartition(":")
    if not separator or not re.fullmatch(r"[0-9]{1,5}", port):
        return False
    try:
        ipaddress.ip_address(host.removeprefix("[").removesuffix("]"))
    except ValueError:
        return False
    return int(port) <= MAX_PORT


def _is_url(text: str) -> bool:
    try:
        parts = urlsplit(text)
        return parts.scheme in ("http", "https") and bool(parts.hostname)
    except ValueError:
        return False


def _format_choices(choices: Any) -> str:
    return " or ".join(f"'{word}'" for word in choices)


def describe_type(value_type: ValueType) -> str:
    """Return what a value of the type must be, in plain words."""
    match value_type:
        case Integer(minimum=minimum, maximum=maximum, unit=unit):
            suffix = f" {unit}" if unit else ""
            return f"a whole number from {minimum} to {maximum}{suffix}"
        case Duration(minimum=minimum, maximum=maximum):
            units = ", ".join(DURATION_UNITS_MS)
            return f"a time from {minimum} to {maximum} ms (in ms, or with {units})"
        case Size(minimum=minimum, maximum=maximum):
            units = ", ".join(SIZE_UNITS_BYTES)
            return (
                f"a size from {minimum} to {maximum} bytes (in bytes, or with {units})"
            )
        case Flag():
            return _format_choices(FLAG_VALUES)
        case Choice(options=options):
            return _format_choices(options)
        case Name():
            return "a name"
        case NameList():
            return "names with spaces between them"
        case PrintableText():
            return "printable text"
        case Secret(minimum_length=minimum_length):
            return f"a secret of at least {minimum_length} characters"
        case Address():
            return "an IP number and a port, such as 10.0.0.1:7000"
        case Url():
            return "an address such as http://10.0.0.1:8500/text"


def shorten_value(text: str) -> str:
    """Return a value as it may stand in a sentence."""
    if len(text) <= MAX_SHOWN_CHARACTERS:
        return text
    return f"{text[:MAX_SHOWN_CHARACTERS]}..."
