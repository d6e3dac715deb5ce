"""The text in force by section, with a version for each section."""

from collections.abc import Mapping, Sequence

import attrs
import xxhash

from damaskrill.configuration import apply_sections, split_sections
from damaskrill.configuration._model import FleetText
from damaskrill.configuration._text import parse_text
from damaskrill.messages import RemovedSection, TextDelta, TextSection

__all__ = ["TextStore", "section_digest"]

# Removals that are older are forgotten; who is further behind takes the whole text.
MAX_REMOVED_SECTIONS = 1_024


def section_digest(header: str, content: bytes) -> int:
    """Return a 64-bit digest of a section."""
    return xxhash.xxh3_64_intdigest(header.encode() + b"\x00" + content)


@attrs.define(kw_only=True)
class _StoredSection:
    content: bytes
    version: int


class TextStore:
    """Sections of the text in force.

    Notes
    -----
    A section's version is that of the text in which it last changed, or a later one
    where versions were skipped. Therefore the sections with a version above ``v`` are
    at least those that have changed since ``v``, whichever way they came. The digest
    of the whole text is the exclusive or of its sections' digests, so that a delta
    changes it in the time that the delta's own length takes.
    """

    def __init__(self) -> None:
        self._text = FleetText()
        self._sections: dict[str, _StoredSection] = {}
        self._removed: dict[str, int] = {}
        self._history_start = 0
        self._digest = 0

    @property
    def text(self) -> FleetText:
        """The text in force; version 0 if there is none."""
        return self._text

    @property
    def version(self) -> int:
        """Version of the text in force."""
        return self._text.version

    @property
    def digest(self) -> int:
        """Digest of the whole text."""
        return self._digest

    def apply_full_text(self, content: bytes, version: int) -> None:
        """Put a text of the platform in force.

        Raises
        ------
        InvalidConfigurationError
            If it is invalid; the text in force stays.
        """
        if not self._sections:
            parse_text(content, version=version)
        sections = split_sections(content)
        changed = {
            header: each
            for header, each in sections.items()
            if header not in self._sections or self._sections[header].content != each
        }
        removed = [header for header in self._sections if header not in sections]
        try:
            text = apply_sections(self._text, changed, removed, version)
        except Exception:
            # Finds the faults again, with the lines of the whole text.
            parse_text(content, version=version)
            raise
        versions = dict.fromkeys(changed, version)
        self._commit(text, changed, versions, dict.fromkeys(removed, version))

    def apply_delta(self, delta: TextDelta) -> bool:
        """Put a peer's changes in force.

        Returns
        -------
        bool
            Whether the digest agrees; if not, the text in force stays.

        Raises
        ------
        InvalidConfigurationError
            If the result would be invalid; the text in force stays.
        """
        changed = {each.header: each.content for each in delta.sections}
        versions = {each.header: each.version for each in delta.sections}
        removed = {
            each.header: each.version
            for each in delta.removed
            if each.header in self._sections
        }
        if self._digest_after(changed, removed) != delta.digest:
            return False
        text = apply_sections(self._text, changed, list(removed), delta.version)
        self._commit(text, changed, versions, removed)
        return True

    def replace_sections(self, sections: Sequence[TextSection], version: int) -> None:
        """Put a peer's whole text in force.

        Raises
        ------
        InvalidConfigurationError
            If it is invalid; the text in force stays.
        """
        changed = {each.header: each.content for each in sections}
        versions = {each.header: each.version for each in sections}
        removed = [header for header in self._sections if header not in changed]
        text = apply_sections(self._text, changed, removed, version)
        self._commit(text, changed, versions, dict.fromkeys(removed, version))
        self._history_start = max(self._history_start, version)

    def sections(self) -> list[TextSection]:
        """Return all sections."""
        return [
            TextSection(header=header, content=each.content, version=each.version)
            for header, each in self._sections.items()
        ]

    def has_history_since(self, version: int) -> bool:
        """Whether all changes since a version are known."""
        return version >= max(1, self._history_start)

    def delta_since(self, version: int) -> TextDelta:
        """Return everything that has changed since a version."""
        return TextDelta(
            base_version=version,
            version=self.version,
            digest=self._digest,
            sections=tuple(each for each in self.sections() if each.version > version),
            removed=tuple(
                RemovedSection(header=header, version=removed_in)
                for header, removed_in in self._removed.items()
                if removed_in > version
            ),
        )

    def _digest_after(
        self, changed: Mapping[str, bytes], removed: Mapping[str, int]
    ) -> int:
        digest = self._digest
        for header in [*changed, *removed]:
            stored = self._sections.get(header)
            if stored is not None:
                digest ^= section_digest(header, stored.content)
        for header, content in changed.items():
            digest ^= section_digest(header, content)
        return digest

    def _commit(
        self,
        text: FleetText,
        changed: Mapping[str, bytes],
        versions: Mapping[str, int],
        removed: Mapping[str, int],
    ) -> None:
        self._digest = self._digest_after(changed, removed)
        self._text = text
        for header, content in changed.items():
            self._sections[header] = _StoredSection(
                content=content, version=versions[header]
            )
            self._removed.pop(header, None)
        for header, version in removed.items():
            del self._sections[header]
            self._removed[header] = version
        while len(self._removed) > MAX_REMOVED_SECTIONS:
            oldest = next(iter(self._removed))
            self._history_start = max(self._history_start, self._removed.pop(oldest))
