"""Load of each backend server, from own counts and from what its answers say."""

import math
from collections.abc import Iterable

from attrs import define, frozen

from damaskrill.steering._short_ids import short_server_id

__all__ = ["LoadNews", "ServerLoads"]

ServerKey = tuple[str, int]
# Time after which what a server said about other routers' requests counts half:
# about the duration of a stream.
HALF_LIFE_MS = 1_500


@frozen
class LoadNews:
    """Load that a server stated to some router.

    Parameters
    ----------
    load_id : int
        Short hash of the incarnation.
    n_requests : int
        Its running and waiting requests.
    at_ms : float
        When it said so, on this router's steady clock in milliseconds.
    """

    load_id: int
    n_requests: int
    at_ms: float


@define(kw_only=True)
class _Load:
    """Counts of one incarnation."""

    n_own: int = 0
    n_others: float = 0.0
    n_said: int = 0
    said_at_ms: float = 0.0


class ServerLoads:
    """Requests at each backend server.

    Notes
    -----
    Answers the pattern of many routers in front of few servers: the own count alone
    does not see what others send. A server's answer tells its whole load; the part
    that is not this router's own fades until the next answer.
    """

    def __init__(self) -> None:
        self._loads: dict[ServerKey, _Load] = {}
        self._keys: dict[int, ServerKey] = {}

    def start(self, key: ServerKey) -> None:
        """Count a request that is being sent."""
        self._loads.setdefault(key, _Load()).n_own += 1

    def end(self, key: ServerKey) -> None:
        """Count the end of a request."""
        load = self._loads.get(key)
        if load is not None and load.n_own > 0:
            load.n_own -= 1

    def take_said(self, key: ServerKey, n_requests: int, at_ms: float) -> None:
        """Take the load that a server stated, its waiting requests included."""
        load = self._loads.setdefault(key, _Load())
        if at_ms <= load.said_at_ms:
            return
        load.n_said = n_requests
        load.n_others = max(0, n_requests - load.n_own)
        load.said_at_ms = at_ms

    def note_server(self, key: ServerKey) -> None:
        """Make a server known, so that what other routers tell of it is taken."""
        self._keys[short_server_id(key)] = key

    def take_news(self, news: Iterable[LoadNews]) -> None:
        """Take what other routers heard from servers."""
        for each in news:
            key = self._keys.get(each.load_id)
            if key is not None:
                self.take_said(key, each.n_requests, each.at_ms)

    def news_since(self, since_ms: float) -> list[LoadNews]:
        """Return what servers have said since a time, to this router or another."""
        return [
            LoadNews(short_server_id(key), load.n_said, load.said_at_ms)
            for key, load in self._loads.items()
            if load.said_at_ms > since_ms
        ]

    def n_own(self, key: ServerKey) -> int:
        """Return the number of this router's requests at a server."""
        load = self._loads.get(key)
        return load.n_own if load is not None else 0

    def estimate(self, key: ServerKey, now_ms: float) -> float:
        """Return the number of requests that are probably at a server."""
        load = self._loads.get(key)
        if load is None:
            return 0.0
        age_ms = now_ms - load.said_at_ms
        return load.n_own + load.n_others * math.exp2(-age_ms / HALF_LIFE_MS)

    def age_ms(self, key: ServerKey, now_ms: float) -> float:
        """Return how long ago a server stated its load; -1 if it has not."""
        load = self._loads.get(key)
        return now_ms - load.said_at_ms if load and load.said_at_ms else -1.0

    def forget_all_but(self, keys: set[ServerKey]) -> None:
        """Forget servers that are gone and have none of this router's requests."""
        for key in list(self._loads):
            if key not in keys and not self._loads[key].n_own:
                del self._loads[key]
                self._keys.pop(short_server_id(key), None)
