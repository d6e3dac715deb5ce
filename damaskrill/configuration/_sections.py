"""Splitting of a text into sections, and updates of a text by section.

Notes
-----
The sections of a text are its INI sections, except for ``[teams]``, which is split by a
hash of the team's name into buckets with the headers ``teams 0``, ``teams 1`` and so
on. The change of a team thus changes one bucket, about a thousandth of the section.
"""

from collections import defaultdict
from collections.abc import Iterable, Mapping

import xxhash

from damaskrill.configuration._faults import FaultCode, FaultList
from damaskrill.configuration._ini import Block, decode_content, read_blocks
from damaskrill.configuration._model import FleetText
from damaskrill.configuration._teams import (
    COMMENT_PREFIXES,
    N_TEAM_BUCKETS,
    TeamBucket,
    read_team_lines,
)
from damaskrill.configuration._text_builder import (
    FleetTextBuilder,
    report_unknown_section,
)
from damaskrill.configuration._text_schema import MAX_TEXT_BYTES, TEAMS_KIND
from damaskrill.configuration._values import shorten_value

__all__ = ["apply_sections", "digest_section", "split_sections"]


def digest_section(content: bytes) -> str:
    """Return a short hexadecimal digest of a section's content."""
    return xxhash.xxh3_64_hexdigest(content)


def split_sections(content: bytes) -> dict[str, bytes]:
    """Split a text into sections that can be replaced independently.

    Parameters
    ----------
    content : bytes
        The text, in UTF-8.

    Returns
    -------
    dict of str to bytes
        Content by header, including the header line. Comments and blank lines are
        removed, so that a change of these alone changes no section.

    Raises
    ------
    InvalidConfigurationError
        If the text cannot be split. Values are not checked.
    """
    faults = FaultList()
    text = decode_content(content, MAX_TEXT_BYTES, faults)
    sections: dict[str, bytes] = {}
    for block in read_blocks(text, faults):
        lines = _remove_comments(block.body)
        if block.kind == TEAMS_KIND and block.name:
            # Such headers are reserved for the buckets of a split text.
            report_unknown_section(block, faults)
        elif block.header == TEAMS_KIND:
            sections.update(_split_teams(lines))
        else:
            sections[block.header] = _join_lines(block.header, lines)
    faults.raise_if_any()
    return sections


def _remove_comments(body: str) -> list[str]:
    stripped = map(str.strip, body.split("\n"))
    return [line for line in stripped if line[:1] not in COMMENT_PREFIXES]


def _join_lines(header: str, lines: list[str]) -> bytes:
    return "\n".join([f"[{header}]", *lines, ""]).encode()


def _split_teams(lines: list[str]) -> dict[str, bytes]:
    buckets: list[list[str]] = [[] for _ in range(N_TEAM_BUCKETS)]
    digest = xxhash.xxh3_64_intdigest
    for line in lines:
        name = line.partition("=")[0].rstrip()
        buckets[digest(name.encode()) % N_TEAM_BUCKETS].append(line)
    return {
        f"{TEAMS_KIND} {number}": _join_lines(f"{TEAMS_KIND} {number}", bucket)
        for number, bucket in enumerate(buckets)
        if bucket
    }


def apply_sections(
    text: FleetText,
    changed: Mapping[str, bytes],
    removed: Iterable[str],
    version: int,
) -> FleetText:
    """Replace, add and remove sections of a text.

    Parameters
    ----------
    text : FleetText
        Text to update; not modified.
    changed : mapping of str to bytes
        New content by header, as returned by ``split_sections``.
    removed : iterable of str
        Headers of removed sections.
    version : int
        Version number of the new text on the platform.

    Returns
    -------
    FleetText
        The new text; it shares unchanged data with the old one.

    Raises
    ------
    InvalidConfigurationError
        If the new text would have faults. Their lines are counted from the section's
        header.

    Notes
    -----
    Only changed sections are converted. All references between sections are checked,
    unless only limits or teams have changed. The cost does not grow with the number of
    teams.
    """
    faults = FaultList()
    builder = FleetTextBuilder(text)
    for header in removed:
        kind, _, name = header.partition(" ")
        if kind == TEAMS_KIND:
            _replace_team_bucket(builder, Block(header=header, line=1, body=""), faults)
        else:
            builder.remove_section(kind, name)
    for header, content in changed.items():
        faults.section = header
        block = _read_single_block(header, content, faults)
        if block is None:
            continue
        if block.kind == TEAMS_KIND:
            _replace_team_bucket(builder, block, faults)
        else:
            builder.add_section(block, faults)
    faults.section = ""
    if builder.references_changed:
        builder.check_references(faults, lambda header: 0)
    faults.raise_if_any()
    return builder.build(version)


def _read_single_block(header: str, content: bytes, faults: FaultList) -> Block | None:
    blocks = read_blocks(decode_content(content, MAX_TEXT_BYTES, faults), faults)
    if len(blocks) == 1 and blocks[0].header == header:
        return blocks[0]
    faults.add(1, FaultCode.INVALID_LINE)
    return None


def _replace_team_bucket(
    builder: FleetTextBuilder, block: Block, faults: FaultList
) -> None:
    number = int(block.name) if block.name.isascii() and block.name.isdigit() else -1
    if not 0 <= number < N_TEAM_BUCKETS:
        known = f"[{TEAMS_KIND} 0] to [{TEAMS_KIND} {N_TEAM_BUCKETS - 1}]"
        header = shorten_value(block.header)
        faults.add(block.line, FaultCode.UNKNOWN_SECTION, header=header, known=known)
        return
    buckets: defaultdict[int, TeamBucket] = defaultdict(dict)
    read_team_lines(block.body, block.line + 1, buckets, faults)
    builder.buckets[number] = buckets.pop(number, {})
    misplaced = [name for bucket in buckets.values() for name in bucket]
    if misplaced:
        code = FaultCode.MISPLACED_TEAM
        faults.add(block.line, code, header=block.header, name=misplaced[0])
