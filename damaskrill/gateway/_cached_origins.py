"""Origins of streams that only the engines' caches still show."""

from attrs import define, field

from damaskrill.catalog import BackendServer, Catalog
from damaskrill.eventlog import DecisionLog
from damaskrill.gateway._cache_reader import CacheReader
from damaskrill.steering import (
    CachedFinding,
    ServedServers,
    find_cached_origin,
    has_all_sources,
)
from damaskrill.utils import monotonic_now_ms

__all__ = ["CachedOrigins"]


@define(kw_only=True, eq=False)
class CachedOrigins:
    """Finds out from engines at which software version a stream began.

    Parameters
    ----------
    catalog : Catalog
        Configuration and servers.
    reader : CacheReader
        Reads what engines have cached.
    log : DecisionLog
        Log of decisions.
    """

    _catalog: Catalog
    _reader: CacheReader
    _log: DecisionLog
    _served: ServedServers = field(factory=ServedServers, init=False)

    def observe(self, service: str, servers: tuple[BackendServer, ...]) -> None:
        """Record servers that a service has, or had before this router knew them."""
        self._served.observe(service, servers, monotonic_now_ms())

    async def find(
        self,
        *,
        stream_id: str,
        part_id: str,
        service: str,
        observed_ms: float,
        max_age_ms: float,
    ) -> int | None:
        """Return the origin of a stream; None if the engines do not show it.

        Parameters
        ----------
        stream_id : str
            Attempt that began the stream.
        part_id : str
            Last part of its prompt; empty if the caller names no parts.
        service : str
            Service of the route that resumes it.
        observed_ms : float
            Time for which all servers of the service are known, in milliseconds.
        max_age_ms : float
            Age of the oldest streams that are taken up, in milliseconds.
        """
        spec = self._catalog.find_service(service)
        if spec is None or not spec.is_engine or not part_id:
            return None
        served = self._served.find(service, monotonic_now_ms(), max_age_ms)
        listed = self._catalog.find_servers(service)
        sources = self._reader.find_sources(listed)
        origin = None
        finding = CachedFinding.SOURCES_UNKNOWN
        is_known = bool(spec.n_memory_tokens) and observed_ms >= max_age_ms
        if is_known and has_all_sources(served, (each.key for each in sources)):
            contents = await self._reader.read(service, sources)
            # Servers may have come meanwhile.
            served = self._served.find(service, monotonic_now_ms(), max_age_ms)
            conclusion = find_cached_origin(
                part_id, served, contents, n_memory_tokens=spec.n_memory_tokens
            )
            origin, finding = conclusion.origin, conclusion.finding
        self._log.write(
            "stream_origin_sought",
            stream_id=stream_id,
            service=service,
            finding=finding.value,
            n_sources=len(sources),
            n_served=len(served),
            observed_ms=round(observed_ms),
        )
        return origin
