"""Conclusions from engines' caches about the software version that began a stream."""

from collections.abc import Iterable, Mapping
from enum import Enum

from attrs import define, field, frozen

from damaskrill.catalog import BackendServer
from damaskrill.steering._stream_origins import hash_origin

__all__ = [
    "CacheContent",
    "CachedConclusion",
    "CachedFinding",
    "ServedServers",
    "find_cached_origin",
    "has_all_sources",
]

# Share of an engine's memory up to which its cached parts show that it has evicted
# none lately. Runs need memory besides: parts yield to them only if they take more than
# the rest, which is several times what the prompts of a full batch add.
MAX_CACHED_SHARE = 0.5

ServerKey = tuple[str, int]


@frozen(kw_only=True)
class CacheContent:
    """What an incarnation of an engine states about its cache.

    Parameters
    ----------
    started_at_ms : int
        Start time of the engine's process, in Unix milliseconds.
    part_ids : frozenset of str
        Prompt parts that it holds for any model.
    n_tokens : int
        Tokens of all parts that it holds.
    """

    started_at_ms: int
    part_ids: frozenset[str]
    n_tokens: int


class CachedFinding(Enum):
    """What the engines' caches show about a stream."""

    FOUND = "found"
    SOURCES_UNKNOWN = "sources_unknown"
    NOT_HELD = "not_held"
    HELD_BY_SEVERAL = "held_by_several"
    OTHER_DOES_NOT_ANSWER = "other_does_not_answer"
    OTHER_MAY_HAVE_EVICTED = "other_may_have_evicted"


@frozen(kw_only=True)
class CachedConclusion:
    """Origin of a stream that follows from the engines' caches.

    Parameters
    ----------
    finding : CachedFinding
        What the caches show.
    origin : int or None, default=None
        The origin, if it follows.
    """

    finding: CachedFinding
    origin: int | None = None


def has_all_sources(
    served: Mapping[ServerKey, frozenset[int]], sources: Iterable[ServerKey]
) -> bool:
    """Return whether the caches of some engines may show an origin at all.

    Parameters
    ----------
    served : mapping of (str, int) to frozenset of int
        Origins of all incarnations that a stream may have begun at.
    sources : iterable of (str, int)
        Incarnations that may be asked.

    Notes
    -----
    It takes all incarnations of all versions but one, and one of that version.
    """
    asked = set(sources)
    all_origins = frozenset[int]().union(*served.values())
    missing = frozenset[int]().union(
        *(origins for key, origins in served.items() if key not in asked)
    )
    present = frozenset[int]().union(
        *(origins for key, origins in served.items() if key in asked)
    )
    is_single = all(len(origins) == 1 for origins in served.values())
    return (
        is_single
        and len(all_origins) > 1
        and (not missing or (len(missing) == 1 and missing <= present))
    )


def find_cached_origin(
    part_id: str,
    served: Mapping[ServerKey, frozenset[int]],
    contents: Mapping[ServerKey, CacheContent],
    *,
    n_memory_tokens: int,
) -> CachedConclusion:
    """Return the origin of a stream from the caches of the engines.

    Parameters
    ----------
    part_id : str
        Last part of the stream's prompt.
    served : mapping of (str, int) to frozenset of int
        Origins of all incarnations that the stream may have begun at, whether they
        still serve or not.
    contents : mapping of (str, int) to CacheContent
        What those that have answered state, read after the stream has been taken up.
    n_memory_tokens : int
        Tokens that the memory of an engine holds; 0 if it is not known.

    Notes
    -----
    Load pattern: all routers are killed at once while engines of two versions go on
    serving, and their callers come back within seconds. No router has a record of the
    streams, but the engine that began one has read its prompt and still holds the last
    part, which belongs to the request or to its session.

    A part at one version does not suffice, as a former request of the same session may
    have been read there. The stream began at that version only if it can have begun at
    no other: each incarnation that served with another version since the stream may
    have begun still runs, answers, does not hold the part, and has too little in its
    cache for having evicted any lately.
    """
    # Another incarnation may answer at the address before its own entry is known.
    contents = {
        key: content
        for key, content in contents.items()
        if content.started_at_ms == key[1]
    }
    if not n_memory_tokens or not has_all_sources(served, contents):
        finding = CachedFinding.SOURCES_UNKNOWN
        if n_memory_tokens and has_all_sources(served, served):
            finding = CachedFinding.OTHER_DOES_NOT_ANSWER
        return CachedConclusion(finding=finding)
    holders = {
        origin
        for key, origins in served.items()
        if key in contents and part_id in contents[key].part_ids
        for origin in origins
    }
    if len(holders) != 1:
        several, none = CachedFinding.HELD_BY_SEVERAL, CachedFinding.NOT_HELD
        return CachedConclusion(finding=several if holders else none)
    (origin,) = holders
    for key, origins in served.items():
        if origin in origins:
            continue
        content = contents.get(key)
        if content is None:
            return CachedConclusion(finding=CachedFinding.OTHER_DOES_NOT_ANSWER)
        if content.n_tokens > MAX_CACHED_SHARE * n_memory_tokens:
            return CachedConclusion(finding=CachedFinding.OTHER_MAY_HAVE_EVICTED)
    return CachedConclusion(finding=CachedFinding.FOUND, origin=origin)


@define(kw_only=True)
class _ServedServer:
    """An incarnation that has served, and the origins of its streams."""

    origins: set[int] = field(factory=set)
    seen_at_ms: float


class ServedServers:
    """Incarnations of servers at which a stream may have begun.

    Notes
    -----
    They are kept for the age up to which streams are taken up. For how long they are
    known at all, `StreamOrigins.observed_ms` tells.
    """

    def __init__(self) -> None:
        self._served: dict[str, dict[ServerKey, _ServedServer]] = {}

    def observe(
        self, service: str, servers: Iterable[BackendServer], now_ms: float
    ) -> None:
        """Record servers that a service has, or had up to some time."""
        listed = tuple(servers)
        has_versions = any(each.version for each in listed)
        served = self._served.setdefault(service, {})
        for server in listed:
            known = served.get(server.key)
            if known is None:
                known = served[server.key] = _ServedServer(seen_at_ms=now_ms)
            known.origins.add(hash_origin(server, has_versions=has_versions))
            known.seen_at_ms = max(known.seen_at_ms, now_ms)

    def find(
        self, service: str, now_ms: float, max_age_ms: float
    ) -> dict[ServerKey, frozenset[int]]:
        """Return the origins of all incarnations that served lately.

        Parameters
        ----------
        service : str
            The service.
        now_ms : float
            Current time in milliseconds.
        max_age_ms : float
            Age of the oldest streams that are taken up, in milliseconds.
        """
        served = self._served.get(service, {})
        for key, each in list(served.items()):
            if now_ms - each.seen_at_ms > max_age_ms:
                del served[key]
        return {key: frozenset(each.origins) for key, each in served.items()}
