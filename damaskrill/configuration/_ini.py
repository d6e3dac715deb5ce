"""INI parser that keeps line numbers and reports all faults.

Notes
-----
The standard library's ``configparser`` stops at the first syntax error, does not keep
the line numbers of values, and takes several times as long for a text of 1 MB.
"""

import re
from typing import Any

from attrs import frozen

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
    "Block",
    "Entry",
    "build_section",
    "decode_content",
    "read_blocks",
    "read_values",
]

COMMENT_PREFIXES = ("#", ";")
MAX_HEADER_LENGTH = 2 * MAX_NAME_LENGTH
HEADER_START_PATTERN = re.compile(r"^[ \t]*\[", re.MULTILINE)


@frozen(kw_only=True)
class Entry:
    """Value of a ``key = value`` line."""

    line: int
    value: str


@frozen(kw_only=True)
class Block:
    """An unparsed section of a file.

    Parameters
    ----------
    header : str
        Text between the brackets, with runs of spaces collapsed.
    line : int
        Line number of the header.
    body : str
        Lines below the header.
    """

    header: str
    line: int
    body: str

    @property
    def kind(self) -> str:
        """First word of the header."""
        return self.header.partition(" ")[0]

    @property
    def name(self) -> str:
        """Rest of the header after the first word."""
        return self.header.partition(" ")[2]


def decode_content(content: bytes, max_bytes: int, faults: FaultList) -> str:
    """Decode a file; add a fault and return an empty string if that fails.

    Parameters
    ----------
    content : bytes
        Content of the file.
    max_bytes : int
        Largest allowed size, in bytes.
    faults : FaultList
        Collection to which faults are added.

    Returns
    -------
    str
        The decoded content.
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


def read_blocks(text: str, faults: FaultList) -> list[Block]:
    """Split a text into sections.

    Parameters
    ----------
    text : str
        The complete text.
    faults : FaultList
        Collection to which syntax errors are added.

    Returns
    -------
    list of Block
        Sections in file order; of duplicates only the first.
    """
    starts = [found.start() for found in HEADER_START_PATTERN.finditer(text)]
    _check_preamble(text[: starts[0]] if starts else text, faults)
    blocks: list[Block] = []
    lines_by_header: dict[str, int] = {}
    line, counted_to = 1, 0
    for start, end in zip(starts, [*starts[1:], len(text)]):
        line += text.count("\n", counted_to, start)
        counted_to = start
        header_line, _, body = text[start:end].partition("\n")
        header = _read_header(header_line.strip(), line, faults)
        first_line = lines_by_header.setdefault(header, line)
        if first_line == line:
            blocks.append(Block(header=header, line=line, body=body))
            continue
        code = FaultCode.DUPLICATE_SECTION
        shown = shorten_value(header)
        faults.add(line, code, header=shown, first_line=first_line)
    return blocks


def _read_header(line: str, number: int, faults: FaultList) -> str:
    header = " ".join(line[1:].removesuffix("]").split())
    is_closed = line.endswith("]") and len(line) <= MAX_HEADER_LENGTH
    if not is_closed or "[" in header or "]" in header:
        faults.add(number, FaultCode.INVALID_LINE)
    return header


def _check_preamble(text: str, faults: FaultList) -> None:
    for number, raw_line in enumerate(text.split("\n"), 1):
        line = raw_line.strip()
        if not line or line.startswith(COMMENT_PREFIXES):
            continue
        key, separator, _ = line.partition("=")
        if separator and key.strip():
            shown = shorten_value(key.strip())
            faults.add(number, FaultCode.KEY_OUTSIDE_SECTION, key=shown)
        else:
            faults.add(number, FaultCode.INVALID_LINE)


def read_entries(block: Block, faults: FaultList) -> dict[str, Entry]:
    """Parse the ``key = value`` lines of a section.

    Parameters
    ----------
    block : Block
        The section.
    faults : FaultList
        Collection to which faults are added.

    Returns
    -------
    dict of str to Entry
        Values by key; of duplicates only the first.
    """
    entries: dict[str, Entry] = {}
    for number, raw_line in enumerate(block.body.split("\n"), block.line + 1):
        line = raw_line.strip()
        if not line or line.startswith(COMMENT_PREFIXES):
            continue
        key, separator, value = line.partition("=")
        key = key.rstrip()
        if not separator or not key:
            faults.add(number, FaultCode.INVALID_LINE)
            continue
        entry = Entry(line=number, value=value.strip())
        first = entries.setdefault(key, entry)
        if first is not entry:
            code = FaultCode.DUPLICATE_KEY
            faults.add(number, code, key=shorten_value(key), first_line=first.line)
    return entries


def read_values(
    block: Block, schema: SectionSchema, faults: FaultList
) -> dict[str, Any]:
    """Convert the values of a section.

    Parameters
    ----------
    block : Block
        The section.
    schema : SectionSchema
        Schema of the section.
    faults : FaultList
        Collection to which faults are added.

    Returns
    -------
    dict
        Values by field of the schema's class, without those that have faults.
    """
    _check_name(block, schema, faults)
    entries = read_entries(block, faults)
    values: dict[str, Any] = {}
    if schema.name_field:
        values[schema.name_field] = block.name
    keys = schema.keys_by_name
    for name, entry in entries.items():
        key = keys.get(name)
        if key is None:
            _report_unknown_key(block, name, entry, keys, faults)
            continue
        try:
            values[name] = convert_value(key.value_type, entry.value)
        except InvalidValue as error:
            _report_invalid_value(key, entry, error, faults)
    for name in schema.required_names:
        if name not in entries:
            header = shorten_value(block.header)
            faults.add(block.line, FaultCode.MISSING_KEY, header=header, key=name)
    return values


def build_section(block: Block, schema: SectionSchema, faults: FaultList) -> Any:
    """Build the object of a section.

    Parameters
    ----------
    block, schema, faults
        As for ``read_values``.

    Returns
    -------
    object
        Instance of the schema's class. Fields whose values have faults hold defaults or
        empty strings, so that the valid ones can still be checked.
    """
    values = dict.fromkeys(schema.required_names, "")
    values.update(read_values(block, schema, faults))
    return schema.target(**values)


def _report_unknown_key(
    block: Block, name: str, entry: Entry, keys: dict[str, Key], faults: FaultList
) -> None:
    faults.add(
        entry.line,
        FaultCode.UNKNOWN_KEY,
        header=shorten_value(block.header),
        key=shorten_value(name),
        known=", ".join(keys),
    )


def _report_invalid_value(
    key: Key, entry: Entry, error: InvalidValue, faults: FaultList
) -> None:
    is_secret = isinstance(key.value_type, Secret)
    shown = "(hidden)" if is_secret else shorten_value(entry.value)
    expected = error.expected
    faults.add(entry.line, error.code, key=key.name, value=shown, expected=expected)


def _check_name(block: Block, schema: SectionSchema, faults: FaultList) -> None:
    name = block.name
    if not schema.name_field and name:
        known = f"[{schema.kind}], without a name"
        shown = shorten_value(block.header)
        code = FaultCode.UNKNOWN_SECTION
        faults.add(block.line, code, header=shown, known=known)
    elif schema.name_field and not is_valid_name(name):
        shown = shorten_value(name)
        limit = MAX_NAME_LENGTH
        faults.add(block.line, FaultCode.INVALID_NAME, name=shown, limit=limit)
