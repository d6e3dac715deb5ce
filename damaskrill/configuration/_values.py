"""Types of values in INI files and their conversion from strings."""

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
# The number of digits is bounded, so that no conversion to an integer is slow.
NUMBER_PATTERN = re.compile(r"([0-9]{1,15})[ \t]*([^0-9 \t.,]*)")


@frozen(kw_only=True)
class Integer:
    """Integer, with an optional unit that must be the declared one."""

    minimum: int
    maximum: int
    unit: str = ""


@frozen(kw_only=True)
class Duration:
    """Duration, in milliseconds without a unit."""

    minimum: int
    maximum: int


@frozen(kw_only=True)
class Size:
    """Size, in bytes without a unit."""

    minimum: int
    maximum: int


@frozen(kw_only=True)
class Flag:
    """``yes`` or ``no``."""


@frozen(kw_only=True)
class Name:
    """A single name."""


@frozen(kw_only=True)
class NameList:
    """Names separated by spaces."""


@frozen(kw_only=True)
class PrintableText:
    """Printable text on one line."""


@frozen(kw_only=True)
class Secret:
    """Text of at least ``minimum_length`` characters; hidden in faults."""

    minimum_length: int


@frozen(kw_only=True)
class Address:
    """``IP:port``."""


@frozen(kw_only=True)
class Url:
    """URL of an HTTP service."""


@frozen(kw_only=True)
class Choice:
    """One of several options; ``options`` maps them to values."""

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
    """A value does not match its type; the caller converts the error to a ``Fault``.

    Parameters
    ----------
    code : FaultCode
        Kind of fault.
    expected : str
        Description of a valid value.
    """

    def __init__(self, code: FaultCode, expected: str) -> None:
        super().__init__(expected)
        self.code = code
        self.expected = expected


def is_valid_name(name: str) -> bool:
    """Whether a string is a valid name."""
    return NAME_PATTERN.fullmatch(name) is not None


def convert_value(value_type: ValueType, text: str) -> Any:
    """Convert a string to a value.

    Parameters
    ----------
    value_type : ValueType
        The declared type.
    text : str
        Value in the file, without surrounding spaces.

    Returns
    -------
    object
        The value in the unit of its key.

    Raises
    ------
    InvalidValue
        If the string does not match the type.
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
        known = ", ".join(unit for unit in units if unit) or "omitted"
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
    return " or ".join(f"'{choice}'" for choice in choices)


def describe_type(value_type: ValueType) -> str:
    """Describe the valid values of a type."""
    match value_type:
        case Integer(minimum=minimum, maximum=maximum, unit=unit):
            suffix = f" {unit}" if unit else ""
            return f"an integer from {minimum} to {maximum}{suffix}"
        case Duration(minimum=minimum, maximum=maximum):
            units = ", ".join(DURATION_UNITS_MS)
            return f"a duration from {minimum} to {maximum} ms (in ms, or with {units})"
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
            return "names separated by spaces"
        case PrintableText():
            return "printable text"
        case Secret(minimum_length=minimum_length):
            return f"a secret of at least {minimum_length} characters"
        case Address():
            return "an IP address and a port, such as 10.0.0.1:7000"
        case Url():
            return "a URL such as http://10.0.0.1:8500/text"


def shorten_value(text: str) -> str:
    """Truncate a value to be quoted in a sentence."""
    if len(text) <= MAX_SHOWN_CHARACTERS:
        return text
    return f"{text[:MAX_SHOWN_CHARACTERS]}..."
