"""Compact table of the teams that differ from the defaults.

Notes
-----
The table is designed for texts with 44,000 teams, of which an update changes a few. It
is an immutable tuple of buckets; an update copies the tuple and replaces only the
buckets that change. Within a bucket a team is one packed integer.
"""

import re
from collections import defaultdict
from collections.abc import Iterator, Mapping, Sequence
from itertools import chain

import xxhash

from damaskrill.configuration._faults import FaultCode, FaultList
from damaskrill.configuration._model import TeamSpec
from damaskrill.configuration._values import (
    MAX_NAME_LENGTH,
    is_valid_name,
    shorten_value,
)

__all__ = [
    "MAX_TEAM_SHARE",
    "N_TEAM_BUCKETS",
    "TeamBucket",
    "TeamTable",
    "bucket_of_team",
    "pack_teams",
    "read_team_lines",
    "unpack_team",
]

N_TEAM_BUCKETS = 1_024
N_PRIORITIES = 10
MAX_TEAM_SHARE = 9_999
# First characters of lines without content; an empty line has the empty string.
COMMENT_PREFIXES = ("", "#", ";")
EXPECTED_TEAM_VALUE = f"a share from 1 to {MAX_TEAM_SHARE} and a priority from 0 to 9"
TEAM_LINE_PATTERN = re.compile(
    rf"([A-Za-z0-9][A-Za-z0-9._-]{{0,{MAX_NAME_LENGTH - 1}}})[ \t]*=[ \t]*"
    r"([1-9][0-9]{0,3})[ \t]+([0-9])"
)

# Share times ``N_PRIORITIES`` plus priority, by team name.
TeamBucket = dict[str, int]
TeamBuckets = list[TeamBucket] | defaultdict[int, TeamBucket]


def bucket_of_team(name: str) -> int:
    """Return the bucket number of a team."""
    return xxhash.xxh3_64_intdigest(name.encode()) % N_TEAM_BUCKETS


def unpack_team(packed: int) -> tuple[int, int]:
    """Return the share and priority of a packed team."""
    return divmod(packed, N_PRIORITIES)


def read_team_lines(
    body: str, first_line: int, buckets: TeamBuckets, faults: FaultList
) -> None:
    """Parse lines ``name = share priority`` into buckets.

    Parameters
    ----------
    body : str
        Lines to parse.
    first_line : int
        Line number of the first line.
    buckets : list or defaultdict of dict
        Buckets by number, to which teams are added.
    faults : FaultList
        Collection to which faults are added.
    """
    lines = body.split("\n")
    match_line = TEAM_LINE_PATTERN.fullmatch
    digest = xxhash.xxh3_64_intdigest
    duplicates: list[tuple[int, str]] = []
    for number, line in enumerate(lines, first_line):
        found = match_line(line) or _match_stripped_line(line, number, faults)
        if found is None:
            continue
        name, share, priority = found.groups()
        bucket = buckets[digest(name.encode()) % N_TEAM_BUCKETS]
        if name in bucket:
            duplicates.append((number, name))
            continue
        # The priority has one digit, so this is 10 * share + priority.
        bucket[name] = int(share + priority)
    if duplicates:
        _report_duplicates(duplicates, lines, first_line, faults)


def _match_stripped_line(
    line: str, number: int, faults: FaultList
) -> re.Match[str] | None:
    stripped = line.strip()
    if stripped[:1] in COMMENT_PREFIXES:
        return None
    found = TEAM_LINE_PATTERN.fullmatch(stripped)
    if found is None:
        _report_invalid_line(stripped, number, faults)
    return found


def _report_invalid_line(line: str, number: int, faults: FaultList) -> None:
    name, separator, value = (part.strip() for part in line.partition("="))
    shown = shorten_value(name)
    if not separator:
        faults.add(number, FaultCode.INVALID_LINE)
    elif not is_valid_name(name):
        limit = MAX_NAME_LENGTH
        faults.add(number, FaultCode.INVALID_NAME, name=shown, limit=limit)
    else:
        code = FaultCode.WRONG_VALUE
        value = shorten_value(value)
        faults.add(number, code, key=shown, value=value, expected=EXPECTED_TEAM_VALUE)


def _report_duplicates(
    duplicates: list[tuple[int, str]],
    lines: list[str],
    first_line: int,
    faults: FaultList,
) -> None:
    first_lines: dict[str, int] = {}
    for number, line in enumerate(lines, first_line):
        first_lines.setdefault(line.partition("=")[0].strip(), number)
    for number, name in duplicates:
        code = FaultCode.DUPLICATE_KEY
        faults.add(number, code, key=name, first_line=first_lines[name])


def pack_teams(teams: Mapping[str, TeamSpec]) -> list[TeamBucket]:
    """Distribute teams over buckets."""
    buckets: list[TeamBucket] = [{} for _ in range(N_TEAM_BUCKETS)]
    for name, spec in teams.items():
        packed = spec.share * N_PRIORITIES + spec.priority
        buckets[bucket_of_team(name)][name] = packed
    return buckets


class TeamTable(Mapping[str, TeamSpec]):
    """Immutable mapping of teams by name.

    Parameters
    ----------
    buckets : sequence of dict
        ``N_TEAM_BUCKETS`` buckets; must not be modified afterwards.
    """

    def __init__(self, buckets: Sequence[TeamBucket]) -> None:
        self._buckets = tuple(buckets)

    @property
    def buckets(self) -> tuple[TeamBucket, ...]:
        """Teams by bucket number."""
        return self._buckets

    def __getitem__(self, name: str) -> TeamSpec:
        packed = self._buckets[bucket_of_team(name)][name]
        share, priority = unpack_team(packed)
        return TeamSpec(name=name, share=share, priority=priority)

    def __iter__(self) -> Iterator[str]:
        return chain.from_iterable(self._buckets)

    def __len__(self) -> int:
        return sum(map(len, self._buckets))

    def __repr__(self) -> str:
        return f"TeamTable(n_teams={len(self)})"
