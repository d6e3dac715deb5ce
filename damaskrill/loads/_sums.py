"""Load sums by service and source, with expiry."""

import attrs

__all__ = ["LoadTable"]


@attrs.frozen(kw_only=True)
class _SourceSum:
    load_sum: int
    n_servers: int
    at_ms: int


class LoadTable:
    """Latest load sum of each source for each service.

    Parameters
    ----------
    valid_ms : int
        Age at which the sum of a source expires, in milliseconds.
    """

    def __init__(self, *, valid_ms: int) -> None:
        self._valid_ms = valid_ms
        self._services: dict[int, dict[str, _SourceSum]] = {}

    def put(
        self, service: int, source: str, load_sum: int, n_servers: int, now_ms: int
    ) -> None:
        """Store the sum of a source for a service."""
        source_sum = _SourceSum(load_sum=load_sum, n_servers=n_servers, at_ms=now_ms)
        self._services.setdefault(service, {})[source] = source_sum

    def total(self, service: int, now_ms: int, *, fresh_ms: int) -> tuple[int, int]:
        """Return the load and the number of backend servers over all sources.

        Parameters
        ----------
        service : int
            Number of the service.
        now_ms : int
            Current time in milliseconds.
        fresh_ms : int
            Age up to which the load of a source counts, in milliseconds; the number
            of its servers counts until the sum expires. A failed router thus lowers
            the mean until its servers have another owner.
        """
        sources = self._services.get(service)
        if not sources:
            return (0, 0)
        expired = [
            source
            for source, each in sources.items()
            if now_ms - each.at_ms > self._valid_ms
        ]
        for source in expired:
            del sources[source]
        load_sum = sum(
            each.load_sum
            for each in sources.values()
            if now_ms - each.at_ms <= fresh_ms
        )
        return (load_sum, sum(each.n_servers for each in sources.values()))

    def services(self) -> list[int]:
        """Return the sorted numbers of all services that have had a sum."""
        return sorted(self._services)

    def clear(self) -> None:
        """Remove all sums."""
        self._services.clear()
