"""Detection of prompt prefixes that are requested too often for a single engine."""

import math
from collections.abc import Iterable, Mapping

from attrs import frozen

from damaskrill.steering._gossip import short_id
from damaskrill.steering._load_bounds import LoadBounds

__all__ = ["HotKeys", "KeyCounts"]

# Half-life of the weight of a request. A key that was hot for some seconds stays spread
# until its requests have ended.
HALF_LIFE_MS = 4_000
# Weighted requests below which a key is not hot.
MIN_COUNT = 5.0
# Counts below this are not published, as such keys are not hot.
MIN_PUBLISHED_COUNT = 1.5
MAX_KEYS = 4_096
MAX_PUBLISHED_KEYS = 16
PEER_COUNTS_TTL_MS = 2_500


@frozen
class KeyCounts:
    """Weighted request counts of one router.

    Parameters
    ----------
    n_requests : float
        Count of all requests.
    by_key : mapping of int to float
        Counts of the most frequent keys, by the key's short hash.
    """

    n_requests: float
    by_key: Mapping[int, float]


class HotKeys:
    """Counts requests by key, including the counts of neighbouring routers.

    Notes
    -----
    Handles many simultaneous requests for one prompt prefix, spread over so many
    routers that each sees only a few of them and receives an engine's load too late to
    stay within the load bound by loads alone.
    """

    def __init__(self) -> None:
        self._counts: dict[int, float] = {}
        self._n_requests = 0.0
        self._at_ms = 0.0
        self._peer_counts: dict[str, tuple[float, KeyCounts]] = {}

    def record_request(self, key: str, now_ms: float) -> None:
        """Record a request."""
        self._decay(now_ms)
        key_id = short_id(key)
        self._counts[key_id] = self._counts.get(key_id, 0.0) + 1
        self._n_requests += 1

    def apply_counts(self, router: str, counts: KeyCounts, now_ms: float) -> None:
        """Apply the counts of a neighbouring router."""
        self._peer_counts[router] = (now_ms, counts)

    def local_counts(self, now_ms: float) -> KeyCounts:
        """Return the counts that this router publishes to its neighbours."""
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
        """Return the number of engines over which a key is spread.

        Parameters
        ----------
        key : str
            The key.
        n_all : int
            Number of engines of the service.
        mean_load : float
            Mean number of requests per engine.
        bounds : LoadBounds
            Bounds on the load of an engine.
        now_ms : float
            Current time in milliseconds.
        """
        self._decay(now_ms)
        key_id = short_id(key)
        peers = list(self._current_peer_counts(now_ms))
        count = self._counts.get(key_id, 0.0)
        count += sum(each.by_key.get(key_id, 0.0) for each in peers)
        if count < MIN_COUNT:
            return 1
        total = self._n_requests + sum(each.n_requests for each in peers)
        load = count / total * mean_load * n_all
        # The engine also carries the load of its other keys.
        allowed = bounds.key_fraction * mean_load + bounds.key_addend
        return max(1, min(n_all, math.ceil(load / allowed)))

    def _current_peer_counts(self, now_ms: float) -> Iterable[KeyCounts]:
        for router, (at_ms, counts) in list(self._peer_counts.items()):
            if now_ms - at_ms > PEER_COUNTS_TTL_MS:
                del self._peer_counts[router]
            else:
                yield counts

    def _decay(self, now_ms: float) -> None:
        # Decay is applied in steps, so that most requests do not iterate over all keys.
        if now_ms - self._at_ms < HALF_LIFE_MS / 8:
            return
        factor = math.exp2((self._at_ms - now_ms) / HALF_LIFE_MS)
        self._at_ms = now_ms
        self._n_requests *= factor
        decayed = {key: count * factor for key, count in self._counts.items()}
        self._counts = {key: count for key, count in decayed.items() if count > 0.05}
        if len(self._counts) > MAX_KEYS:
            largest = sorted(self._counts, key=lambda key: -self._counts[key])
            self._counts = {key: self._counts[key] for key in largest[:MAX_KEYS]}
