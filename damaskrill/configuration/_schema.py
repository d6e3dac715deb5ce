"""Declarations of sections and keys: the one source of validation and reference."""

from typing import Any

import attrs
from attrs import frozen

from damaskrill.configuration._values import ValueType

__all__ = ["FileSchema", "Key", "SectionSchema"]


@frozen(kw_only=True)
class Key:
    """One key of a section.

    Parameters
    ----------
    name : str
        Its name, which is also the field's name in the section's class.
    value_type : ValueType
        Type, unit and range.
    description : str
        What it means, for the reference page.
    """

    name: str
    value_type: ValueType
    description: str


@frozen(kw_only=True)
class SectionSchema:
    """One kind of section.

    Parameters
    ----------
    kind : str
        First word of its header.
    target : type
        ``attrs`` class whose fields the keys fill; it has the defaults.
    description : str
        What it is for, for the reference page.
    keys : tuple of Key
        Its keys, in the order of the reference page.
    name_field : str
        Field that the second word of the header fills; empty if there is none.
    """

    kind: str
    target: type
    description: str
    keys: tuple[Key, ...]
    name_field: str = ""

    @property
    def header(self) -> str:
        """Header as on the reference page."""
        if not self.name_field:
            return self.kind
        return f"{self.kind} {self.name_field.upper()}"

    @property
    def keys_by_name(self) -> dict[str, Key]:
        """Keys by their name."""
        return {key.name: key for key in self.keys}

    @property
    def required_names(self) -> tuple[str, ...]:
        """Names of the keys that have no default."""
        return tuple(key.name for key in self.keys if self.is_required(key))

    def is_required(self, key: Key) -> bool:
        """Whether a key has no default."""
        return self._field(key).default is attrs.NOTHING

    def default(self, key: Key) -> Any:
        """Return a key's default."""
        return self._field(key).default

    def _field(self, key: Key) -> Any:
        return attrs.fields_dict(self.target)[key.name]


@frozen(kw_only=True)
class FileSchema:
    """All sections that a file may have.

    Parameters
    ----------
    title : str
        Title of the reference page.
    introduction : str
        First paragraph of the reference page.
    sections : tuple of SectionSchema
        Kinds of sections.
    max_bytes : int
        Largest file, in bytes.
    """

    title: str
    introduction: str
    sections: tuple[SectionSchema, ...]
    max_bytes: int

    @property
    def sections_by_kind(self) -> dict[str, SectionSchema]:
        """Kinds of sections by the first word of their headers."""
        return {section.kind: section for section in self.sections}
