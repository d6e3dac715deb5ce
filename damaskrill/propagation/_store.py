"""Active text by section, with a version for each section."""

from collections.abc import Mapping, Sequence

import attrs
import xxhash

from damaskrill.configuration import apply_sections, split_sections
from damaskrill.configuration._model import FleetText
from damaskrill.configuration._text import parse_text
from damaskrill.messages import RemovedSection, TextDelta, TextSection

__all__ = ["TextStore", "section_digest"]

# Older removals are discarded; a router that is further behind gets the full text.
MAX_REMOVED_SECTIONS = 1_024


def section_digest(header: str, content: bytes) -> int:
    """Return a 64-bit digest of a section."""
    return xxhash.xxh3_64_intdigest(header.encode() + b"\x00" + content)


@attrs.define(kw_only=True)
class _StoredSection:
    content: bytes
    version: int


class TextStore:
    """Sections of the active text.

    Notes
    -----
    The version of a section is that of the text in which it last changed, or a later
    one if versions were skipped. Therefore the sections with a version above ``v``
    include all that have changed since ``v``, however they were received. The digest
    of the full text is the exclusive or of the digests of its sections, so that the
    time to update it depends only on the length of the delta.
    """

    def __init__(self) -> None:
        self._text = FleetText()
        self._sections: dict[str, _StoredSection] = {}
        self._removed: dict[str, int] = {}
        self._history_start = 0
        self._digest = 0

    @property
    def text(self) -> FleetText:
        """Active text; version 0 if there is none."""
        return self._text

    @property
    def version(self) -> int:
        """Version of the active text."""
        return self._text.version

    @property
    def digest(self) -> int:
        """Digest of the full text."""
        return self._digest

    def apply_full_text(self, content: bytes, version: int) -> None:
        """Activate a text that was read from the platform.

        Raises
        ------
        InvalidConfigurationError
            If the text is invalid; the active text is kept.
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
            # Finds the faults again, with their line numbers in the full text.
            parse_text(content, version=version)
            raise
        versions = dict.fromkeys(changed, version)
        self._commit(text, changed, versions, dict.fromkeys(removed, version))

    def apply_delta(self, delta: TextDelta) -> bool:
        """Apply the changes sent by a peer and activate the result.

        Returns
        -------
        bool
            Whether the digest matches; if not, the active text is kept.

        Raises
        ------
        InvalidConfigurationError
            If the result would be invalid; the active text is kept.
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
        """Activate a full text sent by a peer.

        Raises
        ------
        InvalidConfigurationError
            If the text is invalid; the active text is kept.
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
        """Return whether the store has all changes since a version."""
        return version >= max(1, self._history_start)

    def delta_since(self, version: int) -> TextDelta:
        """Return all changes since a version."""
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
