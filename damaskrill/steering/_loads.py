"""Load of each backend server, from own counts and from what its answers say."""

import math
from collections.abc import Iterable

from attrs import define, field

from damaskrill.steering._gossip import short_server_id

__all__ = ["LoadReport", "ServerLoads"]

ServerKey = tuple[str, int]
# Time after which what a server said about other routers' requests counts half:
# about the duration of a stream.
HALF_LIFE_MS = 1_500
# The same statement comes over several ways, some milliseconds apart; two statements
# that are nearer to each other tell the same.
MIN_REPORT_GAP_MS = 50
# Older loads say nothing about the present one.
MAX_REPORT_AGE_MS = 2_000


@define
class LoadReport:
    """Load that a server stated to some router.

    Parameters
    ----------
    load_id : int
        Short hash of the incarnation.
    n_requests : int
        Its running and waiting requests.
    age_ms : int
        How long ago it said so, in milliseconds.
    """

    load_id: int
    n_requests: int
    age_ms: int


@define(kw_only=True)
class _ServerLoad:
    """Counts of one incarnation."""

    n_own: int = 0
    n_others: float = 0.0
    n_reported: int = 0
    reported_at_ms: float = 0.0
    sequence_number: int = 0
    is_relayed: bool = False
    # When the newest statement was made that came over, or went over, each link.
    link_synced_at_ms: dict[str, float] = field(factory=dict)


class ServerLoads:
    """Requests at each backend server.

    Notes
    -----
    Answers the pattern of many routers in front of few servers: the own count alone
    does not see what others send. A server's answer tells its whole load; the part
    that is not this router's own fades until the next answer.
    """

    def __init__(self) -> None:
        self._loads: dict[ServerKey, _ServerLoad] = {}
        # The same, those with the newest statements last.
        self._by_sequence: dict[ServerKey, _ServerLoad] = {}
        self._keys: dict[int, ServerKey] = {}
        self._last_sequence_number = 0

    def start(self, key: ServerKey) -> None:
        """Count a request that is being sent."""
        self._loads.setdefault(key, _ServerLoad()).n_own += 1

    def end(self, key: ServerKey) -> None:
        """Count the end of a request."""
        load = self._loads.get(key)
        if load is not None and load.n_own > 0:
            load.n_own -= 1

    def observe_load(self, key: ServerKey, n_requests: int, at_ms: float) -> None:
        """Take the load that a server stated, its waiting requests included."""
        load = self._loads.setdefault(key, _ServerLoad())
        if at_ms > load.reported_at_ms:
            self._update(key, n_requests, at_ms, is_relayed=False)

    def _update(
        self, key: ServerKey, n_requests: int, at_ms: float, *, is_relayed: bool
    ) -> None:
        load = self._loads[key]
        self._by_sequence.pop(key, None)
        self._by_sequence[key] = load
        self._last_sequence_number += 1
        load.sequence_number, load.is_relayed = self._last_sequence_number, is_relayed
        load.n_reported = n_requests
        load.n_others = max(0, n_requests - load.n_own)
        load.reported_at_ms = at_ms

    def register_server(self, key: ServerKey) -> None:
        """Make a server known, so that what other routers tell of it is taken."""
        self._keys[short_server_id(key)] = key

    def apply_reports(
        self, news: Iterable[LoadReport], *, now_ms: float, source: str
    ) -> None:
        """Take what another router tells.

        Parameters
        ----------
        news : iterable of LoadNews
            What servers have said.
        now_ms : float
            Present time in milliseconds.
        source : str
            The link that it came from; it is not told over it again.
        """
        for each in news:
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

    def reports_after(
        self,
        number: int,
        *,
        now_ms: float,
        exclude_link: str = "",
        include_relayed: bool = True,
    ) -> tuple[list[LoadReport], int]:
        """Return what is to be told over a link: the last statement of each server.

        Parameters
        ----------
        number : int
            Number that the last call for this link returned; 0 for a new link.
        now_ms : float
            Present time in milliseconds.
        exclude_link : str, default=""
            The link; what has come over it, or nothing newer, is left out.
        include_relayed : bool, default=True
            Whether news that came from other routers are told too.

        Returns
        -------
        news : list of LoadNews
            In no order.
        number : int
            Number for the next call.
        """
        told = []
        oldest_ms = now_ms - MAX_REPORT_AGE_MS
        for key, load in reversed(self._by_sequence.items()):
            if load.sequence_number <= number:
                break
            reported_at_ms = load.reported_at_ms
            if reported_at_ms < oldest_ms or (load.is_relayed and not include_relayed):
                continue
            if (
                reported_at_ms - load.link_synced_at_ms.get(exclude_link, -math.inf)
                > MIN_REPORT_GAP_MS
            ):
                load.link_synced_at_ms[exclude_link] = reported_at_ms
                age_ms = round(now_ms - reported_at_ms)
                told.append(LoadReport(short_server_id(key), load.n_reported, age_ms))
        return told, self._last_sequence_number

    def n_own(self, key: ServerKey) -> int:
        """Return the number of this router's requests at a server."""
        load = self._loads.get(key)
        return load.n_own if load is not None else 0

    def estimate(self, key: ServerKey, now_ms: float) -> float:
        """Return the number of requests that are probably at a server."""
        load = self._loads.get(key)
        if load is None:
            return 0.0
        age_ms = now_ms - load.reported_at_ms
        return load.n_own + load.n_others * math.exp2(-age_ms / HALF_LIFE_MS)

    def age_ms(self, key: ServerKey, now_ms: float) -> float:
        """Return how long ago a server stated its load; -1 if it has not."""
        load = self._loads.get(key)
        return now_ms - load.reported_at_ms if load and load.reported_at_ms else -1.0

    def retain_only(self, keys: set[ServerKey]) -> None:
        """Forget servers that are gone and have none of this router's requests."""
        for key in list(self._loads):
            if key not in keys and not self._loads[key].n_own:
                del self._loads[key]
                self._by_sequence.pop(key, None)
                self._keys.pop(short_server_id(key), None)
