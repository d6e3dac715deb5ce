"""Schema classes of sections and keys, for validation and the reference pages."""

from typing import Any

import attrs
from attrs import frozen

from damaskrill.configuration._values import ValueType

__all__ = ["FileSchema", "Key", "SectionSchema"]


@frozen(kw_only=True)
class Key:
    """A key of a section.

    Parameters
    ----------
    name : str
        Name of the key and of the field in the section's class.
    value_type : ValueType
        Type, unit and range of its values.
    description : str
        Meaning of the key, for the reference page.
    """

    name: str
    value_type: ValueType
    description: str


@frozen(kw_only=True)
class SectionSchema:
    """A kind of section.

    Parameters
    ----------
    kind : str
        First word of the header.
    target : type
        ``attrs`` class whose fields the keys set; it defines the defaults.
    description : str
        Purpose of the section, for the reference page.
    keys : tuple of Key
        Keys, in the order of the reference page.
    name_field : str
        Field that the second word of the header sets; empty if there is none.
    """

    kind: str
    target: type
    description: str
    keys: tuple[Key, ...]
    name_field: str = ""

    @property
    def header(self) -> str:
        """Header as shown on the reference page."""
        if not self.name_field:
            return self.kind
        return f"{self.kind} {self.name_field.upper()}"

    @property
    def keys_by_name(self) -> dict[str, Key]:
        """Keys by name."""
        return {key.name: key for key in self.keys}

    @property
    def required_names(self) -> tuple[str, ...]:
        """Names of the keys without a default."""
        return tuple(key.name for key in self.keys if self.is_required(key))

    def is_required(self, key: Key) -> bool:
        """Whether a key has no default."""
        return self._field(key).default is attrs.NOTHING

    def default(self, key: Key) -> Any:
        """Return the default of a key."""
        return self._field(key).default

    def _field(self, key: Key) -> Any:
        return attrs.fields_dict(self.target)[key.name]


@frozen(kw_only=True)
class FileSchema:
    """Kinds of sections that a file may have.

    Parameters
    ----------
    title : str
        Title of the reference page.
    introduction : str
        First paragraph of the reference page.
    sections : tuple of SectionSchema
        Kinds of sections.
    max_bytes : int
        Maximum size of the file, in bytes.
    """

    title: str
    introduction: str
    sections: tuple[SectionSchema, ...]
    max_bytes: int

    @property
    def sections_by_kind(self) -> dict[str, SectionSchema]:
        """Kinds of sections by the first word of the header."""
        return {section.kind: section for section in self.sections}
