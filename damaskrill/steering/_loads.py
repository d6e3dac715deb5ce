"""Load of each backend server, from local counts and from loads in its answers."""

import math
from collections.abc import Iterable

from attrs import define, field

from damaskrill.steering._gossip import short_server_id
from damaskrill.steering._server_load import ServerLoad
from damaskrill.steering._server_speeds import ServerSpeeds
from damaskrill.utils import LatestOrder

__all__ = ["LoadReport", "ServerLoads"]

ServerKey = tuple[str, int]
# Half-life of a reported load of other routers' requests: about the duration of a
# stream.
HALF_LIFE_MS = 1_500
# The same report arrives over several paths, with ages that differ by some
# milliseconds. Reports that are closer in time than this are treated as the same.
MIN_REPORT_GAP_MS = 50
# Older reports do not reflect the current load.
MAX_REPORT_AGE_MS = 2_000


@define
class LoadReport:
    """Load that a server reported to some router.

    Parameters
    ----------
    load_id : int
        Short hash of the server's incarnation.
    n_requests : int
        Its running and waiting requests.
    age_ms : int
        Time since the server reported the load, in milliseconds.
    n_slots : int
        Requests that it runs concurrently; 0 if it does not say, or if the router does
        not tell.
    slowness : float or None
        How long work takes there, relative to the usual time; None in the same cases.
    """

    load_id: int
    n_requests: int
    age_ms: int
    n_slots: int = 0
    slowness: float | None = None


@define(kw_only=True)
class _ServerLoad:
    """Load of one server incarnation."""

    n_own: int = 0
    n_others: float = 0.0
    n_reported: int = 0
    n_slots: int = 0
    slowness: float | None = None
    reported_at_ms: float = 0.0
    is_relayed: bool = False
    # Time of the newest report that was received or sent over each link.
    link_synced_at_ms: dict[str, float] = field(factory=dict)


class ServerLoads:
    """Number of requests at each backend server.

    Notes
    -----
    Handles many routers in front of few servers, where local counts miss the requests
    that other routers send. A server reports its total load in its answers. The share
    of other routers decays until the next report.

    Attributes
    ----------
    speeds : ServerSpeeds
        How long work takes at the servers that state it.
    """

    def __init__(self) -> None:
        self.speeds = ServerSpeeds()
        self._loads: dict[ServerKey, _ServerLoad] = {}
        # Servers in the order of their newest reports.
        self._reported: LatestOrder[ServerKey] = LatestOrder()
        self._keys: dict[int, ServerKey] = {}

    def start(self, key: ServerKey) -> None:
        """Count the start of a request."""
        self._loads.setdefault(key, _ServerLoad()).n_own += 1

    def end(self, key: ServerKey) -> None:
        """Count the end of a request."""
        load = self._loads.get(key)
        if load is not None and load.n_own > 0:
            load.n_own -= 1

    def observe_load(self, key: ServerKey, n_requests: int, at_ms: float) -> None:
        """Record the load that a server reported, including its waiting requests."""
        load = self._loads.setdefault(key, _ServerLoad())
        if at_ms > load.reported_at_ms:
            self._update(key, n_requests, at_ms, is_relayed=False)

    def observe_stated(self, key: ServerKey, stated: ServerLoad, at_ms: float) -> None:
        """Record all that a server stated of its load in an answer."""
        self.observe_load(key, stated.n_requests, at_ms)
        load = self._loads[key]
        load.n_slots, load.slowness = stated.n_slots, stated.slowness
        self.speeds.observe(short_server_id(key), stated, at_ms)

    def _update(
        self, key: ServerKey, n_requests: int, at_ms: float, *, is_relayed: bool
    ) -> None:
        load = self._loads[key]
        self._reported.update(key)
        load.is_relayed = is_relayed
        load.n_reported = n_requests
        load.n_others = max(0, n_requests - load.n_own)
        load.reported_at_ms = at_ms

    def register_server(self, key: ServerKey) -> None:
        """Register a server, so that reports of other routers about it are applied."""
        self._keys[short_server_id(key)] = key

    def apply_reports(
        self, reports: Iterable[LoadReport], *, now_ms: float, source: str
    ) -> None:
        """Apply the reports of another router.

        Parameters
        ----------
        reports : iterable of LoadReport
            The received reports.
        now_ms : float
            Current time in milliseconds.
        source : str
            Link over which the reports arrived; they are not sent back over it.
        """
        for each in reports:
            key = self._keys.get(each.load_id)
            if key is None:
                continue
            load = self._loads.get(key)
            if load is None:
                load = self._loads[key] = _ServerLoad()
            at_ms = now_ms - each.age_ms
            load.link_synced_at_ms[source] = at_ms
            if at_ms - load.reported_at_ms > MIN_REPORT_GAP_MS:
                self._update(key, each.n_requests, at_ms, is_relayed=True)
                load.n_slots, load.slowness = each.n_slots, each.slowness
                self.speeds.observe(each.load_id, _to_load(each), now_ms, each.age_ms)

    def reports_after(
        self,
        number: int,
        *,
        now_ms: float,
        exclude_link: str = "",
        include_relayed: bool = True,
    ) -> tuple[list[LoadReport], int]:
        """Return the reports to send over a link: the newest of each server.

        Parameters
        ----------
        number : int
            Number that the last call for this link returned; 0 for a new link.
        now_ms : float
            Current time in milliseconds.
        exclude_link : str, default=""
            The outgoing link. Reports that are not newer than the last one received or
            sent over it are omitted.
        include_relayed : bool, default=True
            Whether reports received from other routers are sent as well.

        Returns
        -------
        reports : list of LoadReport
            In no particular order.
        number : int
            Number for the next call.
        """
        selected = []
        oldest_ms = now_ms - MAX_REPORT_AGE_MS
        for key in self._reported.updated_after(number):
            load = self._loads[key]
            reported_at_ms = load.reported_at_ms
            if reported_at_ms < oldest_ms or (load.is_relayed and not include_relayed):
                continue
            if (
                reported_at_ms - load.link_synced_at_ms.get(exclude_link, -math.inf)
                > MIN_REPORT_GAP_MS
            ):
                load.link_synced_at_ms[exclude_link] = reported_at_ms
                age_ms = round(now_ms - reported_at_ms)
                selected.append(
                    LoadReport(
                        short_server_id(key),
                        load.n_reported,
                        age_ms,
                        load.n_slots,
                        load.slowness,
                    )
                )
        return selected, self._reported.last_number

    def n_own(self, key: ServerKey) -> int:
        """Return the number of this router's requests at a server."""
        load = self._loads.get(key)
        return load.n_own if load is not None else 0

    def stated_others(self, key: ServerKey) -> tuple[float, float]:
        """Return how many requests of other routers a server stated, and when."""
        load = self._loads.get(key)
        if load is None or not load.reported_at_ms:
            return 0.0, -math.inf
        return load.n_others, load.reported_at_ms

    def estimate(self, key: ServerKey, now_ms: float) -> float:
        """Return the estimated number of requests at a server."""
        load = self._loads.get(key)
        if load is None:
            return 0.0
        age_ms = now_ms - load.reported_at_ms
        return load.n_own + load.n_others * math.exp2(-age_ms / HALF_LIFE_MS)

    def told_by_peers(self, key: ServerKey) -> int | None:
        """Return the newest reported load; None if this router itself got it."""
        load = self._loads.get(key)
        return load.n_reported if load is not None and load.is_relayed else None

    def age_ms(self, key: ServerKey, now_ms: float) -> float:
        """Return the age of a server's last load report; -1 if there is none."""
        load = self._loads.get(key)
        return now_ms - load.reported_at_ms if load and load.reported_at_ms else -1.0

    def retain_only(self, keys: set[ServerKey]) -> None:
        """Discard all other servers that have no requests of this router."""
        for key in list(self._loads):
            if key not in keys and not self._loads[key].n_own:
                del self._loads[key]
                self._reported.discard(key)
                self._keys.pop(short_server_id(key), None)
        self.speeds.retain_only({short_server_id(key) for key in self._loads})


def _to_load(report: LoadReport) -> ServerLoad:
    # Routers tell the sum of running and waiting requests only.
    return ServerLoad(
        n_running=report.n_requests,
        n_waiting=0,
        n_slots=report.n_slots,
        slowness=report.slowness,
    )
