"""Share of its requests that each backend server fails, as all routers saw it."""

import math
from collections.abc import Collection, Mapping

from attrs import define

__all__ = ["FailureShares"]

# Time in which a failure counts half. Servers that fail a part of their requests do so
# for some seconds (the users' page), and twice the reports' delay must not hide it.
HALF_LIFE_MS = 3_000.0
# Time in which a request counts half in the rate of the service: one router of 112 has
# about 1.5 a second, too few to count within the time above.
RATE_HALF_LIFE_MS = 10_000.0
# A share is drawn towards the service's own one as if so many requests had failed at
# that one: two failures at a server that got three requests are no evidence.
N_PRIOR_REQUESTS = 20.0


@define
class _DecayedSum:
    """Sum in which what is older counts less."""

    half_life_ms: float
    since_ms: float
    value: float = 0.0
    at_ms: float = 0.0

    def add(self, count: float, at_ms: float) -> None:
        """Add a count of any time, also of one before the last."""
        newest_ms = max(self.at_ms, at_ms)
        self.value = self.read(newest_ms)
        self.value += count * math.exp2((at_ms - newest_ms) / self.half_life_ms)
        self.at_ms = newest_ms

    def read(self, now_ms: float) -> float:
        """Return the sum."""
        return self.value * math.exp2(min(0.0, self.at_ms - now_ms) / self.half_life_ms)


def _window_ms(half_life_ms: float, duration_ms: float) -> float:
    """Return the time that a sum over a duration stands for."""
    kept = math.exp2(-max(0.0, duration_ms) / half_life_ms)
    return half_life_ms / math.log(2) * (1 - kept)


class FailureShares:
    """Share of requests that each server of a service fails.

    Notes
    -----
    Handles a server that fails a part of its requests while its health is good, behind
    many routers that each send it a request now and then. Failures are known from all
    routers, since they tell them at once. Requests are estimated: from the rate of this
    router, the number of routers, and the chance that each server had in this router's
    choices, which are like those of the others. Each share is drawn towards that of the
    whole service, so that no server stands out in a service that fails 14 of 100
    requests everywhere. Failures to reach a server do not count: they lose no request,
    and say as much about the router's path.
    """

    def __init__(self) -> None:
        self._failures: dict[int, _DecayedSum] = {}
        self._chances: dict[int, _DecayedSum] = {}
        self._rates: dict[int, _DecayedSum] = {}

    def record_failures(self, server: int, n_failed: int, at_ms: float) -> None:
        """Record failures that some router saw.

        Parameters
        ----------
        server : int
            Short hash of the server's incarnation.
        n_failed : int
            Number of requests that reached the server and failed.
        at_ms : float
            Time of the failures, in milliseconds.
        """
        if n_failed > 0:
            _add(self._failures, server, n_failed, at_ms, HALF_LIFE_MS)

    def record_choice(self, chances: Mapping[int, float], now_ms: float) -> None:
        """Record a choice of this router.

        Parameters
        ----------
        chances : mapping of int to float
            Chance that each server had; together 1.
        now_ms : float
            Current time in milliseconds.
        """
        for server, chance in chances.items():
            _add(self._chances, server, chance, now_ms, HALF_LIFE_MS)
            _add(self._rates, server, chance, now_ms, RATE_HALF_LIFE_MS)

    def find(
        self, servers: Collection[int], *, n_routers: int, now_ms: float
    ) -> dict[int, float]:
        """Return the share of failures of each server.

        Parameters
        ----------
        servers : collection of int
            Short hashes of the servers of one service.
        n_routers : int
            Number of routers, each with about as many requests as this one.
        now_ms : float
            Current time in milliseconds.

        Returns
        -------
        dict of int to float
            Value from 0 to 1 for each server.
        """
        failures = {each: self._read(self._failures, each, now_ms) for each in servers}
        n_requests = n_routers * self._find_n_own(servers, now_ms)
        n_failed = sum(failures.values())
        if not n_failed or not n_requests:
            return dict.fromkeys(servers, 0.0)
        chances = {each: self._read(self._chances, each, now_ms) for each in servers}
        n_chances = sum(chances.values()) or 1.0
        share = min(1.0, n_failed / n_requests)
        return {
            each: min(
                1.0,
                (failures[each] + N_PRIOR_REQUESTS * share)
                / (n_requests * chances[each] / n_chances + N_PRIOR_REQUESTS),
            )
            for each in servers
        }

    def retain_only(self, servers: set[int]) -> None:
        """Discard the sums of all other servers."""
        for sums in (self._failures, self._chances, self._rates):
            for server in list(sums):
                if server not in servers:
                    del sums[server]

    def _find_n_own(self, servers: Collection[int], now_ms: float) -> float:
        """Return this router's requests in the time that failures stand for."""
        known = [self._rates[each] for each in servers if each in self._rates]
        if not known:
            return 0.0
        duration_ms = max(1_000.0, now_ms - min(each.since_ms for each in known))
        per_ms = sum(each.read(now_ms) for each in known) / _window_ms(
            RATE_HALF_LIFE_MS, duration_ms
        )
        return per_ms * _window_ms(HALF_LIFE_MS, duration_ms)

    @staticmethod
    def _read(sums: Mapping[int, _DecayedSum], server: int, now_ms: float) -> float:
        return sums[server].read(now_ms) if server in sums else 0.0


def _add(
    sums: dict[int, _DecayedSum],
    server: int,
    count: float,
    at_ms: float,
    half_life_ms: float,
) -> None:
    found = sums.get(server)
    if found is None:
        found = sums[server] = _DecayedSum(half_life_ms, at_ms)
    found.add(count, at_ms)
