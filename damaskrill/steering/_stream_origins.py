"""Software versions at which streams began, and where they may go on."""

from collections import OrderedDict
from collections.abc import Iterable, Iterator, Mapping, Sequence
from types import MappingProxyType

from attrs import define, evolve, field, frozen

from damaskrill.catalog import BackendServer
from damaskrill.steering._gossip import short_id

__all__ = [
    "UNLISTED_ORIGIN",
    "OriginEvidence",
    "StreamOrigins",
    "choose_origin",
    "find_origins",
    "hash_origin",
    "is_absence_confirmed",
]

ServerKey = tuple[str, int]
# Bounds the memory for records: at the largest fleets a router keeps about 50 a second.
MAX_RECORDS = 20_000
# Origin of streams that may have begun at processes which are not listed yet.
UNLISTED_ORIGIN = short_id("unlisted process")
# More servers than become other processes before the store lists these.
MAX_SUCCESSORS = 1_000
# Times that a caller may take for a stream and all its attempts, in time limits.
RETENTION_LIMITS = 2
# Routes without a limit on streams keep records for this time, in milliseconds.
MIN_RETENTION_MS = 10_000
# Time after its beginning in which a caller may still take a stream up, in time limits
# of its route: callers wait for about the same time. What served earlier is not needed.
MAX_AGE_LIMITS = 1.25


def find_origins(
    servers: Sequence[BackendServer],
    successors: Mapping[ServerKey, int] = MappingProxyType({}),
) -> dict[ServerKey, int]:
    """Return the origin of the streams that begin at each server of a service.

    Parameters
    ----------
    servers : sequence of BackendServer
        All servers of a service.
    successors : mapping of (str, int) to int, default={}
        Start times of the processes that servers have become since they were listed.

    Returns
    -------
    dict of (str, int) to int
        Short hash of service and software version, by incarnation. A stream may go on
        at a server with the same origin only.

    Notes
    -----
    A server whose entry names no version is an origin of its own, unless no entry of
    the service names one: then nothing says that the servers differ. So is a process
    that is not listed yet: its version is not known.
    """
    has_versions = any(server.version for server in servers)
    origins = {}
    for server in servers:
        if server.key in successors:
            started_at_ms = successors[server.key]
            process = evolve(server, version="", started_at_ms=started_at_ms)
            origins[server.key] = hash_origin(process, has_versions=True)
        else:
            origins[server.key] = hash_origin(server, has_versions=has_versions)
    return origins


def hash_origin(server: BackendServer, *, has_versions: bool) -> int:
    """Return the origin of a server; `has_versions` is whether any entry names one."""
    if server.version or not has_versions:
        return short_id(f"{server.service}\0{server.version}")
    return short_id(f"{server.service}\0{server.server_id}\0{server.started_at_ms}")


@frozen(kw_only=True)
class OriginEvidence:
    """What one router knows of the origin of a stream.

    Parameters
    ----------
    origin : int or None
        Origin of the stream; None if it is not known.
    is_recorded : bool
        Whether the router was told of the stream when it began.
    observed_ms : int
        Time for which the router has known the servers, in milliseconds.
    is_sole : bool
        Whether only the version of the origin has served. Otherwise the origin is that
        of streams from before the second version, and follows from the absence of a
        record, which any router may have that was told of the stream.
    """

    origin: int | None = None
    is_recorded: bool = False
    observed_ms: int = 0
    is_sole: bool = False

    @property
    def is_by_absence(self) -> bool:
        """Whether the origin follows from the absence of a record."""
        return self.origin is not None and not (self.is_recorded or self.is_sole)


def is_absence_confirmed(
    groups: Iterable[Iterable[OriginEvidence]], min_observed_ms: float = 0.0
) -> bool:
    """Return whether no router can have been told of a stream.

    Parameters
    ----------
    groups : iterable of iterable of OriginEvidence
        For each group of routers that tell each other, what those that have replied
        know. A router concludes from the absence of a record only if it was told of all
        streams in its group.
    min_observed_ms : float, default=0.0
        Time for which a router must have known the servers, in milliseconds.

    Notes
    -----
    Load pattern: most routers are killed while servers of two versions serve, and
    callers take up streams whose records were lost with them. A router that has no
    record, but was not told or has lost its memory since, proves nothing.
    """
    return all(
        any(
            each.is_by_absence and each.observed_ms >= min_observed_ms for each in group
        )
        for group in groups
    )


def choose_origin(
    evidence: Iterable[OriginEvidence],
    min_observed_ms: float = 0.0,
    *,
    is_absent: bool = True,
) -> int | None:
    """Return the origin that the best evidence names; None if there is none.

    Parameters
    ----------
    evidence : iterable of OriginEvidence
        What each router knows.
    min_observed_ms : float, default=0.0
        Time for which a router must have known the servers so that it may conclude
        anything from them, in milliseconds.
    is_absent : bool, default=True
        Whether no router can have been told of the stream; otherwise conclusions from
        the absence of a record do not count.

    Notes
    -----
    A record goes before a conclusion from the versions that were serving. Of the
    conclusions, that of the router which has known the servers longest counts.
    """
    known = [
        each
        for each in evidence
        if each.origin is not None
        and (each.is_recorded or each.observed_ms >= min_observed_ms)
        and (is_absent or not each.is_by_absence)
    ]
    if not known:
        return None
    best = max(known, key=lambda each: (each.is_recorded, each.observed_ms))
    return best.origin


@define(kw_only=True)
class _ServiceHistory:
    """Origins of a service over the last retention time."""

    since_ms: float
    watched_since_ms: float = field(init=False)
    seen_at_ms: dict[int, float] = field(factory=dict)
    mixed_since_ms: float | None = None
    origin_before: int | None = None
    # Incarnations that are listed, and whether one with another origin than the one
    # before has gone since several versions serve.
    listed: Mapping[ServerKey, int] = field(factory=dict)
    has_lost_servers: bool = False

    def __attrs_post_init__(self) -> None:
        self.watched_since_ms = self.since_ms

    def observe(
        self,
        origins: Mapping[ServerKey, int],
        now_ms: float,
        retention_ms: float,
        *,
        is_current: bool,
    ) -> None:
        known = set(self.seen_at_ms)
        serving = set(origins.values())
        if not is_current:
            serving.add(UNLISTED_ORIGIN)
        for origin in serving:
            self.seen_at_ms[origin] = now_ms
        for origin, seen_at_ms in list(self.seen_at_ms.items()):
            if now_ms - seen_at_ms > retention_ms:
                del self.seen_at_ms[origin]
        if len(self.seen_at_ms) <= 1:
            self.mixed_since_ms = self.origin_before = None
            self.has_lost_servers = False
        elif self.mixed_since_ms is None:
            self.mixed_since_ms = now_ms
            self.origin_before = next(iter(known)) if len(known) == 1 else None
        self._compare_servers(self.listed, origins)
        self.listed = origins

    def _compare_servers(
        self, before: Mapping[ServerKey, int], now: Mapping[ServerKey, int]
    ) -> None:
        gone = before.keys() - now.keys()
        if self.mixed_since_ms is not None:
            lost = (before[key] != self.origin_before for key in gone)
            self.has_lost_servers = self.has_lost_servers or any(lost)

    def extend(self, servers: Mapping[ServerKey, int], since_ms: float) -> None:
        """Add what served before this router knew the servers.

        Parameters
        ----------
        servers : mapping of (str, int) to int
            Origins of the servers that were listed at some time, by incarnation.
        since_ms : float
            Time from which on they are known, in milliseconds.
        """
        origins = set(servers.values())
        for origin in origins:
            self.seen_at_ms.setdefault(origin, self.watched_since_ms)
        if len(self.seen_at_ms) > 1 and self.origin_before not in origins:
            self.mixed_since_ms, self.origin_before = since_ms, None
        self.since_ms = min(self.since_ms, since_ms)
        self._compare_servers(servers, self.listed)

    def find_sole(self, now_ms: float, max_age_ms: float) -> int | None:
        """Return the only origin that streams of some age can have."""
        recent = [
            origin
            for origin, seen_at_ms in self.seen_at_ms.items()
            if now_ms - seen_at_ms <= max_age_ms
        ]
        return recent[0] if len(recent) == 1 else None

    def find_unrecorded(self, now_ms: float, retention_ms: float) -> int | None:
        """Return the origin of a stream that was not recorded when it began."""
        if self.mixed_since_ms is None:
            return None
        is_recent = now_ms - self.mixed_since_ms < retention_ms
        return self.origin_before if is_recent else None


class StreamOrigins:
    """Records of the software versions at which streams began.

    Notes
    -----
    Load pattern: servers of two software versions serve side by side, and streams break
    off when servers crash or routers restart. What two versions write does not fit
    together, so that a stream goes on only at the version that began it.

    Streams are recorded only while two versions serve or have served shortly before,
    and as long as this is not known. Others began at the one version that was serving.
    This holds only for what a router has watched: after a restart of all, none knows
    which versions served before, unless the store's history tells.
    """

    def __init__(self) -> None:
        self._retention_ms: float = MIN_RETENTION_MS
        self._max_age_ms: float = MIN_RETENTION_MS
        self._records: OrderedDict[int, tuple[int, float]] = OrderedDict()
        self._histories: dict[str, _ServiceHistory] = {}
        self._servers: dict[str, Sequence[BackendServer]] = {}
        self._origins: dict[str, dict[ServerKey, int]] = {}
        self._successors: dict[ServerKey, int] = {}

    @property
    def n_records(self) -> int:
        """Number of streams that are recorded."""
        return len(self._records)

    @property
    def max_age_ms(self) -> float:
        """Age up to which streams are taken up, in milliseconds."""
        return self._max_age_ms

    def set_longest_stream(self, longest_stream_ms: float) -> None:
        """Keep records until the callers of the longest streams have given up."""
        self._retention_ms = max(MIN_RETENTION_MS, RETENTION_LIMITS * longest_stream_ms)
        self._max_age_ms = max(MIN_RETENTION_MS, MAX_AGE_LIMITS * longest_stream_ms)

    def origins_of(
        self, service: str, servers: Sequence[BackendServer]
    ) -> dict[ServerKey, int]:
        """Return the origins of a service's servers, by incarnation."""
        if self._servers.get(service) is not servers:
            self._servers[service] = servers
            self._origins[service] = find_origins(servers, self._successors)
        return self._origins[service]

    def origin_of(self, server: BackendServer, servers: Sequence[BackendServer]) -> int:
        """Return the origin of a server of a service.

        Parameters
        ----------
        server : BackendServer
            The server, which need not be listed any more.
        servers : sequence of BackendServer
            All servers of its service, as they are listed.
        """
        origin = self.origins_of(server.service, servers).get(server.key)
        if origin is not None:
            return origin
        return find_origins([*servers, server], self._successors)[server.key]

    def record_successor(self, server: BackendServer, started_at_ms: int) -> None:
        """Record that a server has become another process than the listed one.

        Parameters
        ----------
        server : BackendServer
            The server, as it is listed.
        started_at_ms : int
            Start time of the process, in Unix milliseconds; the listed one if the
            process is the listed one again.
        """
        self._successors.pop(server.key, None)
        if started_at_ms != server.started_at_ms:
            self._successors[server.key] = started_at_ms
        while len(self._successors) > MAX_SUCCESSORS:
            del self._successors[next(iter(self._successors))]
        self._servers.pop(server.service, None)

    def observe(
        self,
        service: str,
        servers: Sequence[BackendServer],
        now_ms: float,
        *,
        is_current: bool = True,
    ) -> None:
        """Record which servers a service has.

        Parameters
        ----------
        service : str
            The service.
        servers : sequence of BackendServer
            Its servers, as they are listed.
        now_ms : float
            Current time in milliseconds.
        is_current : bool, default=True
            Whether another process would be listed by now. Otherwise one of a version
            that is not known may serve beside those that are listed.
        """
        origins = self.origins_of(service, servers)
        if origins:
            history = self._histories.get(service)
            if history is None:
                history = self._histories[service] = _ServiceHistory(since_ms=now_ms)
            history.observe(origins, now_ms, self._retention_ms, is_current=is_current)

    def add_history(
        self, service: str, servers: Sequence[BackendServer], since_ms: float
    ) -> None:
        """Add which servers a service had before this router knew them.

        Parameters
        ----------
        service : str
            The service.
        servers : sequence of BackendServer
            All servers that were listed at some time, in all states.
        since_ms : float
            Time from which on they are known, in milliseconds.
        """
        history = self._histories.get(service)
        if history is not None:
            history.extend(find_origins(servers), since_ms)

    def observed_ms(self, service: str, now_ms: float) -> float:
        """Return for how long the servers of a service have been known."""
        history = self._histories.get(service)
        return now_ms - history.since_ms if history is not None else 0.0

    def unremembered_ms(self, service: str, now_ms: float) -> float:
        """Return the time until streams from before this router's start are too old.

        Returns
        -------
        float
            Time in milliseconds; 0 if they are too old.
        """
        history = self._histories.get(service)
        since_ms = now_ms if history is None else history.watched_since_ms
        return max(0.0, since_ms + self._max_age_ms - now_ms)

    def needs_records(self, service: str, now_ms: float) -> bool:
        """Return whether streams that begin now must be recorded.

        Notes
        -----
        Otherwise all routers conclude that they began at the one version that serves.
        """
        is_new = self.observed_ms(service, now_ms) < self._max_age_ms
        return is_new or self.is_mixed(service)

    def is_mixed(self, service: str) -> bool:
        """Return whether several versions serve, or have served shortly before."""
        history = self._histories.get(service)
        return history is not None and history.mixed_since_ms is not None

    def may_have_lost_servers(self, service: str, now_ms: float) -> bool:
        """Return whether servers of a second version may have gone lately.

        Notes
        -----
        Those of the version that served before do not count.
        """
        history = self._histories.get(service)
        is_known = self.observed_ms(service, now_ms) >= self._max_age_ms
        return history is None or not is_known or history.has_lost_servers

    def records(self, now_ms: float) -> Iterator[tuple[int, int, int]]:
        """Yield the stream, the origin and the age in milliseconds of each record."""
        for stream, (origin, recorded_at_ms) in self._records.items():
            yield stream, origin, round(now_ms - recorded_at_ms)

    def add_records(
        self, records: Iterable[tuple[int, int, int]], now_ms: float
    ) -> None:
        """Add the records of a peer, as `records` yields them."""
        for stream, origin, age_ms in records:
            if stream not in self._records:
                self._records[stream] = (origin, now_ms - age_ms)
        self._purge(now_ms)

    def record(self, stream: int, origin: int, now_ms: float) -> None:
        """Record that a stream has begun, or goes on."""
        self._records[stream] = (origin, now_ms)
        self._records.move_to_end(stream)
        self._purge(now_ms)

    def _purge(self, now_ms: float) -> None:
        while self._records:
            oldest, (_, recorded_at_ms) = next(iter(self._records.items()))
            is_expired = now_ms - recorded_at_ms > self._retention_ms
            if not is_expired and len(self._records) <= MAX_RECORDS:
                break
            del self._records[oldest]

    def find(
        self,
        stream: int,
        service: str,
        now_ms: float,
        *,
        told_since_ms: float = float("-inf"),
    ) -> OriginEvidence:
        """Return what is known of the origin of a stream.

        Parameters
        ----------
        stream : int
            Hash of the attempt that began the stream.
        service : str
            Service of the route that resumes it.
        now_ms : float
            Current time in milliseconds.
        told_since_ms : float, default=-inf
            Time since which this router would have been told of the stream, in
            milliseconds. Without a record, it began before two versions were serving
            only if this router would have been told since then.
        """
        history = self._histories.get(service)
        observed_ms = round(self.observed_ms(service, now_ms))
        record = self._records.get(stream)
        if record is not None and now_ms - record[1] <= self._retention_ms:
            return OriginEvidence(
                origin=record[0], is_recorded=True, observed_ms=observed_ms
            )
        if history is None:
            return OriginEvidence()
        sole = history.find_sole(now_ms, self._max_age_ms)
        if sole is not None:
            return OriginEvidence(origin=sole, observed_ms=observed_ms, is_sole=True)
        mixed_since_ms = history.mixed_since_ms
        if mixed_since_ms is None or mixed_since_ms < told_since_ms:
            return OriginEvidence(observed_ms=observed_ms)
        origin = history.find_unrecorded(now_ms, self._retention_ms)
        return OriginEvidence(origin=origin, observed_ms=observed_ms)

    def is_certain(self, service: str, evidence: OriginEvidence) -> bool:
        """Return whether no other router can know more than this evidence says."""
        if evidence.is_recorded:
            return True
        is_sole = evidence.is_sole and not self.is_mixed(service)
        return is_sole and evidence.observed_ms >= self._max_age_ms
