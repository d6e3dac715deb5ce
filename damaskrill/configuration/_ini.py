"""Reads INI lines into sections, with line numbers and all faults.

Notes
-----
The standard library's ``configparser`` stops at the first fault of structure, loses
the line numbers of values, and takes several times as long for a text of 1 MB.
"""

from typing import Any

from attrs import define, field, frozen

from damaskrill.configuration._faults import FaultCode, FaultList
from damaskrill.configuration._schema import Key, SectionSchema
from damaskrill.configuration._values import (
    MAX_NAME_LENGTH,
    InvalidValue,
    Secret,
    convert_value,
    is_valid_name,
    shorten_value,
)

__all__ = [
    "Entry",
    "RawSection",
    "build_section",
    "decode_content",
    "read_lines",
    "read_values",
]

COMMENT_MARKS = ("#", ";")


@frozen(kw_only=True)
class Entry:
    """One ``key = value``."""

    line: int
    value: str


@define(kw_only=True)
class RawSection:
    """A section whose values are not converted yet.

    Parameters
    ----------
    header : str
        Content of the brackets, with single spaces.
    line : int
        Line of the header.
    entries : dict of str to Entry
        Values by key.
    """

    header: str
    line: int
    entries: dict[str, Entry] = field(factory=dict)

    @property
    def kind(self) -> str:
        """First word of the header."""
        return self.header.partition(" ")[0]

    @property
    def name(self) -> str:
        """What follows the first word of the header."""
        return self.header.partition(" ")[2]


def decode_content(content: bytes, max_bytes: int, faults: FaultList) -> str:
    """Return a file's text; empty, with a fault noted, if it cannot be used.

    Parameters
    ----------
    content : bytes
        The file.
    max_bytes : int
        Largest allowed size, in bytes.
    faults : FaultList
        Where faults are noted.

    Returns
    -------
    str
        The text.
    """
    if len(content) > max_bytes:
        faults.add(0, FaultCode.TOO_LARGE, n_bytes=len(content), limit=max_bytes)
        return ""
    try:
        return content.decode("utf-8")
    except UnicodeDecodeError as error:
        line = content.count(b"\n", 0, error.start) + 1
        faults.add(line, FaultCode.NOT_UTF8, position=error.start)
        return ""


def read_lines(
    lines: list[str], faults: FaultList, first_line: int = 1
) -> list[RawSection]:
    """Read sections.

    Parameters
    ----------
    lines : list of str
        Lines without their ends.
    faults : FaultList
        Where faults of structure are noted.
    first_line : int, default=1
        Number of the first of these lines.

    Returns
    -------
    list of RawSection
        In the order of the file; of duplicates only the first.
    """
    sections: list[RawSection] = []
    lines_by_header: dict[str, int] = {}
    current: RawSection | None = None
    for number, raw_line in enumerate(lines, first_line):
        line = raw_line.strip()
        if not line or line.startswith(COMMENT_MARKS):
            continue
        if line.startswith("["):
            current = _read_header(line, number, faults)
            first = lines_by_header.setdefault(current.header, number)
            if first == number:
                sections.append(current)
                continue
            header = shorten_value(current.header)
            code = FaultCode.DUPLICATE_SECTION
            faults.add(number, code, header=header, first_line=first)
        else:
            _read_entry(line, number, current, faults)
    return sections


def _read_header(line: str, number: int, faults: FaultList) -> RawSection:
    if not line.endswith("]") or len(line) > 3 * MAX_NAME_LENGTH:
        faults.add(number, FaultCode.INVALID_LINE)
    header = " ".join(line.strip("[]").split())
    return RawSection(header=header, line=number)


def _read_entry(
    line: str, number: int, section: RawSection | None, faults: FaultList
) -> None:
    key, separator, value = line.partition("=")
    key = key.rstrip()
    if not separator or not key:
        faults.add(number, FaultCode.INVALID_LINE)
        return
    if section is None:
        faults.add(number, FaultCode.KEY_OUTSIDE_SECTION, key=shorten_value(key))
        return
    entry = Entry(line=number, value=value.strip())
    known = section.entries.setdefault(key, entry)
    if known is not entry:
        code = FaultCode.DUPLICATE_KEY
        faults.add(number, code, key=shorten_value(key), first_line=known.line)


def read_values(
    raw: RawSection, schema: SectionSchema, faults: FaultList
) -> dict[str, Any] | None:
    """Convert the values of a section.

    Parameters
    ----------
    raw : RawSection
        The section.
    schema : SectionSchema
        Its declaration.
    faults : FaultList
        Where faults are noted.

    Returns
    -------
    dict or None
        Values by field of the schema's class; None if the section has faults.
    """
    is_valid = _check_name(raw, schema, faults)
    values: dict[str, Any] = {}
    if schema.name_field:
        values[schema.name_field] = raw.name
    keys = schema.keys_by_name
    for name, entry in raw.entries.items():
        key = keys.get(name)
        if key is None:
            _note_unknown_key(raw, name, keys, faults)
            is_valid = False
            continue
        try:
            values[name] = convert_value(key.value_type, entry.value)
        except InvalidValue as error:
            _note_invalid_value(key, entry, error, faults)
            is_valid = False
    for name in schema.required_names:
        if name not in raw.entries:
            header = shorten_value(raw.header)
            faults.add(raw.line, FaultCode.MISSING_KEY, header=header, key=name)
            is_valid = False
    return values if is_valid else None


def build_section(raw: RawSection, schema: SectionSchema, faults: FaultList) -> Any:
    """Build the class of a section.

    Parameters
    ----------
    raw, schema, faults
        As for ``read_values``.

    Returns
    -------
    object or None
        Instance of the schema's class; None if the section has faults.
    """
    values = read_values(raw, schema, faults)
    return None if values is None else schema.target(**values)


def _note_unknown_key(
    raw: RawSection, name: str, keys: dict[str, Key], faults: FaultList
) -> None:
    faults.add(
        raw.entries[name].line,
        FaultCode.UNKNOWN_KEY,
        header=shorten_value(raw.header),
        key=shorten_value(name),
        known=", ".join(keys),
    )


def _note_invalid_value(
    key: Key, entry: Entry, error: InvalidValue, faults: FaultList
) -> None:
    is_secret = isinstance(key.value_type, Secret)
    shown = "(hidden)" if is_secret else shorten_value(entry.value)
    expected = error.expected
    faults.add(entry.line, error.code, key=key.name, value=shown, expected=expected)


def _check_name(raw: RawSection, schema: SectionSchema, faults: FaultList) -> bool:
    name = raw.name
    if not schema.name_field and not name:
        return True
    if schema.name_field and is_valid_name(name):
        return True
    if not schema.name_field:
        known = f"[{schema.kind}], without a name"
        shown = shorten_value(raw.header)
        faults.add(raw.line, FaultCode.UNKNOWN_SECTION, header=shown, known=known)
        return False
    shown = shorten_value(name)
    faults.add(raw.line, FaultCode.INVALID_NAME, name=shown, limit=MAX_NAME_LENGTH)
    return False
