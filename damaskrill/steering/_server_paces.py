"""How much longer each server takes than it states, from the times of its answers."""

import math
from collections.abc import Collection

from attrs import define

__all__ = ["ServerPaces"]

# Answers over which the mean is taken, and answers that stand for a server like the
# others: with fewer, differences between requests would be taken for the server's.
N_ANSWERS = 30.0
N_PRIOR_ANSWERS = 4.0
# Bounds on the factor, which only has to hold until the server is replaced.
MAX_FACTOR = 10.0


@define
class _Pace:
    """Mean of the logarithms, and the weight of the answers in it."""

    log: float = 0.0
    n: float = 0.0


class ServerPaces:
    """Factor between the time of an answer and what its server states.

    Notes
    -----
    Handles servers that state a wrong figure, or whose kind of host is not in it: a
    server that always states a tenth would get most requests. Each server's answers are
    compared with those of the others of its service, relative to the slowness that it
    stated, so that the size of requests does not matter.
    """

    def __init__(self) -> None:
        self._paces: dict[int, _Pace] = {}

    def observe(self, server: int, duration_ms: float, slowness: float) -> None:
        """Record the time of an answer, and the slowness that the server stated."""
        if not (duration_ms > 0 and slowness > 0):
            return
        pace = self._paces.setdefault(server, _Pace())
        pace.n = min(N_ANSWERS, pace.n + 1)
        pace.log += (math.log(duration_ms / slowness) - pace.log) / pace.n

    def factors(self, servers: Collection[int]) -> dict[int, float]:
        """Return how much longer each server takes than it states.

        Parameters
        ----------
        servers : collection of int
            Short hashes of the servers of one service.

        Returns
        -------
        dict of int to float
            Value from 0.1 to 10 for each server; 1 for one like the others.
        """
        known = [self._paces[each] for each in servers if each in self._paces]
        if not known:
            return dict.fromkeys(servers, 1.0)
        logs = sorted(each.log for each in known)
        median = (logs[(len(logs) - 1) // 2] + logs[len(logs) // 2]) / 2
        found = {}
        for server in servers:
            pace = self._paces.get(server, _Pace(median))
            kept = pace.n / (pace.n + N_PRIOR_ANSWERS)
            factor = math.exp(kept * (pace.log - median))
            found[server] = max(1 / MAX_FACTOR, min(MAX_FACTOR, factor))
        return found

    def retain_only(self, servers: set[int]) -> None:
        """Discard all other servers."""
        for server in list(self._paces):
            if server not in servers:
                del self._paces[server]
