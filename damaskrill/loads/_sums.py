"""Sums by service and source, each valid for a short time."""

import attrs

__all__ = ["LoadTable"]


@attrs.frozen(kw_only=True)
class _Reported:
    load_sum: int
    n_servers: int
    at_ms: int


class LoadTable:
    """Latest sums of several sources for several services.

    Parameters
    ----------
    valid_ms : int
        How long a source's sum counts, in milliseconds.
    """

    def __init__(self, *, valid_ms: int) -> None:
        self._valid_ms = valid_ms
        self._services: dict[int, dict[str, _Reported]] = {}

    def put(
        self, service: int, source: str, load_sum: int, n_servers: int, now_ms: int
    ) -> None:
        """Note a source's sum for a service."""
        reported = _Reported(load_sum=load_sum, n_servers=n_servers, at_ms=now_ms)
        self._services.setdefault(service, {})[source] = reported

    def total(self, service: int, now_ms: int, *, fresh_ms: int) -> tuple[int, int]:
        """Return load and number of backend servers over all sources.

        Parameters
        ----------
        service : int
            Number of the service.
        now_ms : int
            Present time in milliseconds.
        fresh_ms : int
            Age up to which a source's load counts, in milliseconds; the number of
            its servers counts as long as the sum is valid. A router that has failed
            thus lowers the mean until its servers have another owner.
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
        """Return the numbers of all services with a sum, sorted."""
        return sorted(self._services)

    def clear(self) -> None:
        """Forget all sums."""
        self._services.clear()
