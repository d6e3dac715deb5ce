"""Finds prompt prefixes that are asked for so often that one engine is too few."""

import math
from collections.abc import Iterable, Mapping

from attrs import frozen

from damaskrill.steering._gossip import short_id
from damaskrill.steering._load_bounds import LoadBounds

__all__ = ["HotKeys", "KeyCounts"]

# Time in which the weight of a request falls to a half: a key that was hot for some
# seconds is spread until its requests have ended.
HALF_LIFE_MS = 4_000
# Requests of a key that must have been seen before it can be hot.
MIN_COUNT = 5.0
# Counts that are told to other routers; keys below are not hot.
MIN_PUBLISHED_COUNT = 1.5
MAX_KEYS = 4_096
MAX_PUBLISHED_KEYS = 16
PEER_COUNTS_TTL_MS = 2_500


@frozen
class KeyCounts:
    """Weighted requests that one router has seen.

    Parameters
    ----------
    n_requests : float
        All of them.
    by_key : mapping of int to float
        Those of its most frequent keys, by the key's short hash.
    """

    n_requests: float
    by_key: Mapping[int, float]


class HotKeys:
    """Counts requests by key, together with what neighbours have counted.

    Notes
    -----
    Answers the pattern of one dossier that many ask for at once, behind so many
    routers that each sees too little of it, and hears of an engine's load too late,
    to keep within the bound by loads alone.
    """

    def __init__(self) -> None:
        self._counts: dict[int, float] = {}
        self._n_requests = 0.0
        self._at_ms = 0.0
        self._peer_counts: dict[str, tuple[float, KeyCounts]] = {}

    def record_request(self, key: str, now_ms: float) -> None:
        """Count a request."""
        self._decay(now_ms)
        hashed = short_id(key)
        self._counts[hashed] = self._counts.get(hashed, 0.0) + 1
        self._n_requests += 1

    def apply_counts(self, router: str, counts: KeyCounts, now_ms: float) -> None:
        """Take what a neighbour has counted."""
        self._peer_counts[router] = (now_ms, counts)

    def local_counts(self, now_ms: float) -> KeyCounts:
        """Return what this router tells its neighbours."""
        self._decay(now_ms)
        frequent = [
            (count, key)
            for key, count in self._counts.items()
            if count >= MIN_PUBLISHED_COUNT
        ]
        frequent.sort(reverse=True)
        by_key = {key: count for count, key in frequent[:MAX_PUBLISHED_KEYS]}
        return KeyCounts(self._n_requests, by_key)

    def n_engines(
        self,
        key: str,
        *,
        n_all: int,
        mean_load: float,
        bounds: LoadBounds,
        now_ms: float,
    ) -> int:
        """Return over how many engines a key should be spread.

        Parameters
        ----------
        key : str
            The key.
        n_all : int
            Engines of the service.
        mean_load : float
            Mean number of requests at an engine.
        bounds : LoadBounds
            How unevenly engines may be loaded.
        now_ms : float
            Present time in milliseconds.
        """
        self._decay(now_ms)
        hashed = short_id(key)
        fresh = list(self._fresh_counts(now_ms))
        count = self._counts.get(hashed, 0.0)
        count += sum(each.by_key.get(hashed, 0.0) for each in fresh)
        if count < MIN_COUNT:
            return 1
        total = self._n_requests + sum(each.n_requests for each in fresh)
        load = count / total * mean_load * n_all
        # The engine has its other keys' load besides.
        allowed = bounds.key_fraction * mean_load + bounds.key_addend
        return max(1, min(n_all, math.ceil(load / allowed)))

    def _fresh_counts(self, now_ms: float) -> Iterable[KeyCounts]:
        for router, (at_ms, counts) in list(self._peer_counts.items()):
            if now_ms - at_ms > PEER_COUNTS_TTL_MS:
                del self._peer_counts[router]
            else:
                yield counts

    def _decay(self, now_ms: float) -> None:
        # Fading in steps keeps the cost of a request small.
        if now_ms - self._at_ms < HALF_LIFE_MS / 8:
            return
        factor = math.exp2((self._at_ms - now_ms) / HALF_LIFE_MS)
        self._at_ms = now_ms
        self._n_requests *= factor
        faded = {key: count * factor for key, count in self._counts.items()}
        self._counts = {key: count for key, count in faded.items() if count > 0.05}
        if len(self._counts) > MAX_KEYS:
            largest = sorted(self._counts, key=lambda key: -self._counts[key])
            self._counts = {key: self._counts[key] for key in largest[:MAX_KEYS]}
