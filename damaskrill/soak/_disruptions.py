"""Times at which routers and servers of a soak test were in trouble, or worked on."""

from collections import defaultdict
from collections.abc import Iterable

__all__ = ["RECONNECT_S", "Disruptions"]

# Time within which a killed or paused router must have reconnected. While the store or
# its link fails, and for this time after, changes need not arrive within their bounds.
RECONNECT_S = 3.0

Window = tuple[float, float]


class Disruptions:
    """Windows of unplanned faults and of planned work.

    Notes
    -----
    All times are on the monotonic clock, in seconds. Failures of the store excuse that
    a change is not known in time, but no interrupted request.
    """

    def __init__(self) -> None:
        self._by_router: dict[int, list[Window]] = defaultdict(list)
        self._cuts: dict[int, list[Window]] = defaultdict(list)
        self._by_server: dict[str, list[Window]] = defaultdict(list)
        self._stops: dict[int, list[float]] = defaultdict(list)
        self._planned: list[tuple[int | None, str, Window]] = []
        self._store: list[Window] = []

    def record_store(self, begin: float, end: float) -> None:
        """Record a failure of the store or of the link to it."""
        self._store.append((begin, end + RECONNECT_S))

    def hit_store(self, begin: float, end: float) -> bool:
        """Return whether the store was in trouble, or just had been, in a period."""
        return _overlaps(self._store, begin, end)

    def record_router(self, number: int, begin: float, end: float) -> None:
        """Record an unplanned fault of a router."""
        self._by_router[number].append((begin, end))

    def record_cut(self, number: int, begin: float, end: float) -> None:
        """Record that a router was cut off from the servers, not from the rest."""
        self._cuts[number].append((begin, end))

    def record_server(
        self, server_id: str, begin: float, end: float = float("inf")
    ) -> None:
        """Record an unplanned fault of a server or of its link."""
        self._by_server[server_id].append((begin, end))

    def record_planned(
        self, name: str, router: int | None, begin: float, end: float
    ) -> None:
        """Record planned work at one router, or at all if the number is None."""
        self._planned.append((router, name, (begin, end)))

    def record_stop(self, router: int, at: float) -> None:
        """Record that a router was told to stop."""
        self._stops[router].append(at)

    def stops_before(self, router: int, at: float) -> list[float]:
        """Return when a router was told to stop before a time."""
        return [each for each in self._stops.get(router, ()) if each <= at]

    def hit_router(self, number: int, begin: float, end: float) -> bool:
        """Return whether a router was in trouble at some time of a period."""
        is_cut = _overlaps(self._cuts.get(number, ()), begin, end)
        return is_cut or self.hit_process(number, begin, end)

    def hit_process(self, number: int, begin: float, end: float) -> bool:
        """Return whether a router was killed or paused in a period, or just before."""
        return _overlaps(self._by_router.get(number, ()), begin, end)

    def began_at_router(self, number: int, begin: float, end: float) -> bool:
        """Return whether a fault of a router began in a period."""
        windows = [*self._by_router.get(number, ()), *self._cuts.get(number, ())]
        return any(begin <= a <= end for a, _ in windows)

    def began_somewhere(self, begin: float, end: float) -> bool:
        """Return whether a router was killed or paused in a period."""
        windows = (each for group in self._by_router.values() for each in group)
        return any(begin <= a <= end for a, _ in windows)

    def hit_server(self, server_id: str, begin: float, end: float) -> bool:
        """Return whether a server was in trouble at some time of a period."""
        return _overlaps(self._by_server.get(server_id, ()), begin, end)

    def find_planned(self, router: int, begin: float, end: float) -> list[str]:
        """Return the names of the planned work that concerned a router in a period."""
        names = {
            name
            for number, name, window in self._planned
            if number in (None, router) and _overlaps([window], begin, end)
        }
        return sorted(names)


def _overlaps(windows: Iterable[Window], begin: float, end: float) -> bool:
    return any(a <= end and b >= begin for a, b in windows)
