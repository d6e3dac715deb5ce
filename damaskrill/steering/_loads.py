"""Load of each backend server, from own counts and from what its answers say."""

import math

from attrs import define

__all__ = ["ServerLoads"]

ServerKey = tuple[str, int]
# Time after which what a server said about other routers' requests counts half:
# about the duration of a short stream.
HALF_LIFE_MS = 1_000


@define(kw_only=True)
class _Load:
    """Counts of one incarnation."""

    n_own: int = 0
    n_others: float = 0.0
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

    def start(self, key: ServerKey) -> None:
        """Count a request that is being sent."""
        self._loads.setdefault(key, _Load()).n_own += 1

    def end(self, key: ServerKey) -> None:
        """Count the end of a request."""
        load = self._loads.get(key)
        if load is not None and load.n_own > 0:
            load.n_own -= 1

    def take_said(self, key: ServerKey, n_requests: int, now_ms: float) -> None:
        """Take the load that a server states, its waiting requests included."""
        load = self._loads.setdefault(key, _Load())
        load.n_others = max(0, n_requests - load.n_own)
        load.said_at_ms = now_ms

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

    def forget_all_but(self, keys: set[ServerKey]) -> None:
        """Forget servers that are gone and have none of this router's requests."""
        for key in list(self._loads):
            if key not in keys and not self._loads[key].n_own:
                del self._loads[key]
