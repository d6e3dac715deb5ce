"""Renders the reference pages of text and settings from their declarations."""

from enum import Enum
from typing import Any

from damaskrill.configuration._schema import FileSchema, Key, SectionSchema
from damaskrill.configuration._settings import SETTINGS_SCHEMA
from damaskrill.configuration._teams import MAX_TEAM_SHARE
from damaskrill.configuration._text_schema import TEAMS_KIND, TEXT_SCHEMA
from damaskrill.configuration._values import describe_type

__all__ = ["render_settings_reference", "render_text_reference"]

GENERATED_NOTE = "This page is written by `tools/write_reference.py`."
SYNTAX_NOTE = (
    "A line is a `[section]`, a `key = value`, empty, or a comment that starts with "
    "`#` or `;`. A value goes to the end of its line. Names consist of letters, "
    "digits, `.`, `_` and `-`. Where a unit may follow a number, a number alone is in "
    "the unit of the key."
)
TEAMS_SECTION = f"""\
## `[{TEAMS_KIND}]`

Teams that differ from the defaults `team_share` and `team_priority`. One line a team,
without declared keys:

    NAME = SHARE PRIORITY

The share is a whole number from 1 to {MAX_TEAM_SHARE}, the priority one from 0 (the
most urgent) to 9.
"""


def render_text_reference() -> str:
    """Return the reference page of the operators' text."""
    return f"{_render(TEXT_SCHEMA)}\n{TEAMS_SECTION}"


def render_settings_reference() -> str:
    """Return the reference page of the settings."""
    return _render(SETTINGS_SCHEMA)


def _render(schema: FileSchema) -> str:
    parts = [f"# {schema.title}\n", schema.introduction, "", SYNTAX_NOTE, ""]
    parts += [GENERATED_NOTE, ""]
    parts += [_render_section(section) for section in schema.sections]
    return "\n".join(parts)


def _render_section(section: SectionSchema) -> str:
    lines = [f"## `[{section.header}]`", "", section.description, ""]
    lines += ["| key | value | default | meaning |", "|---|---|---|---|"]
    lines += [_render_key(section, key) for key in section.keys]
    return "\n".join([*lines, ""])


def _render_key(section: SectionSchema, key: Key) -> str:
    default = "required"
    if not section.is_required(key):
        default = _render_default(section.default(key))
    expected = describe_type(key.value_type)
    return f"| `{key.name}` | {expected} | {default} | {key.description} |"


def _render_default(value: Any) -> str:
    match value:
        case bool():
            return "`yes`" if value else "`no`"
        case Enum():
            return f"`{value.value}`"
        case "" | ():
            return "empty"
        case _:
            return f"`{value}`"
