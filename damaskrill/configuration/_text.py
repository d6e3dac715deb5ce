"""Parser of the operators' text, an INI file, into a ``FleetText``."""

from damaskrill.configuration._faults import FaultList
from damaskrill.configuration._ini import decode_content, read_blocks
from damaskrill.configuration._model import FleetText
from damaskrill.configuration._teams import N_TEAM_BUCKETS, read_team_lines
from damaskrill.configuration._text_builder import FleetTextBuilder
from damaskrill.configuration._text_schema import MAX_TEXT_BYTES, TEAMS_KIND

__all__ = ["parse_text"]


def parse_text(content: bytes, *, version: int) -> FleetText:
    """Parse an operators' text.

    Parameters
    ----------
    content : bytes
        The text, in UTF-8.
    version : int
        Version number of the text on the platform.

    Returns
    -------
    FleetText
        The parsed text.

    Raises
    ------
    InvalidConfigurationError
        If the text has faults; holds all of them.
    """
    faults = FaultList()
    text = decode_content(content, MAX_TEXT_BYTES, faults)
    faults.raise_if_any()
    builder = FleetTextBuilder(FleetText())
    builder.buckets[:] = [{} for _ in range(N_TEAM_BUCKETS)]
    lines: dict[str, int] = {}
    for block in read_blocks(text, faults):
        lines[block.header] = block.line
        if block.header == TEAMS_KIND:
            read_team_lines(block.body, block.line + 1, builder.buckets, faults)
        else:
            builder.add_section(block, faults)
    builder.check_references(faults, lambda header: lines.get(header, 0))
    faults.raise_if_any()
    return builder.build(version)
